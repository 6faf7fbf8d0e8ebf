//! Priority queue of work that waits for a slot.

use {
    crate::request::{Importance, Rank},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Order among queued work of the same importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueueOrder {
    /// First in, first out.
    #[default]
    OldestFirst,
    /// Last in, first out.
    NewestFirst,
}

/// Handle of one queued entry; needed to remove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    rank: Rank,
    deadline_us: u64,
    sequence: u64,
}

impl QueueEntry {
    /// Deadline of the entry.
    pub fn deadline_us(&self) -> u64 {
        self.deadline_us
    }

    /// Rank of the entry.
    pub fn rank(&self) -> Rank {
        self.rank
    }
}

/// Queued work, indexed by start order, by rank and by deadline.
#[derive(Debug)]
pub struct Queue<K> {
    by_start: BTreeMap<(Importance, u64), (QueueEntry, K)>,
    by_rank: BTreeMap<(Rank, Reverse<u64>), QueueEntry>,
    by_deadline: BTreeSet<(u64, Rank, u64)>,
    counts: BTreeMap<Importance, usize>,
    next_sequence: u64,
}

impl<K: Copy> Queue<K> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            by_start: BTreeMap::new(),
            by_rank: BTreeMap::new(),
            by_deadline: BTreeSet::new(),
            counts: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Adds an entry and returns its handle.
    pub fn push(&mut self, rank: Rank, deadline_us: u64, key: K) -> QueueEntry {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let entry = QueueEntry {
            rank,
            deadline_us,
            sequence,
        };
        self.by_start
            .insert((rank.importance(), sequence), (entry, key));
        self.by_rank.insert((rank, Reverse(sequence)), entry);
        self.by_deadline.insert((deadline_us, rank, sequence));
        *self.counts.entry(rank.importance()).or_default() += 1;
        entry
    }

    /// Removes an entry and returns its key; `None` if it was removed before.
    pub fn remove(&mut self, entry: QueueEntry) -> Option<K> {
        let QueueEntry {
            rank,
            deadline_us,
            sequence,
        } = entry;
        let (_, key) = self.by_start.remove(&(rank.importance(), sequence))?;
        self.by_rank.remove(&(rank, Reverse(sequence)));
        self.by_deadline.remove(&(deadline_us, rank, sequence));
        if let Some(count) = self.counts.get_mut(&rank.importance()) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&rank.importance());
            }
        }
        Some(key)
    }

    /// Entry to start next.
    pub fn next_to_start(&self, order: QueueOrder) -> Option<(QueueEntry, K)> {
        let (&(importance, _), first) = self.by_start.first_key_value()?;
        if order == QueueOrder::OldestFirst {
            return Some(*first);
        }
        let same = (importance, 0)..=(importance, u64::MAX);
        self.by_start
            .range(same)
            .next_back()
            .map(|(_, entry)| *entry)
    }

    /// Entry with the greatest rank, the first to be evicted; the oldest among equals.
    pub fn least_important(&self) -> Option<QueueEntry> {
        self.by_rank.last_key_value().map(|(_, entry)| *entry)
    }

    /// Entry with the earliest deadline, if that deadline is not after `until_us`.
    pub fn expired(&self, until_us: u64) -> Option<QueueEntry> {
        let &(deadline_us, rank, sequence) = self.by_deadline.first()?;
        (deadline_us <= until_us).then_some(QueueEntry {
            rank,
            deadline_us,
            sequence,
        })
    }

    /// Number of entries that are at least as important as `importance`.
    pub fn count_at_least(&self, importance: Importance) -> usize {
        self.counts
            .range(..=importance)
            .map(|(_, count)| count)
            .sum()
    }

    /// Number of entries per importance.
    pub fn counts(&self) -> &BTreeMap<Importance, usize> {
        &self.counts
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.by_start.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }
}

impl<K: Copy> Default for Queue<K> {
    fn default() -> Self {
        Self::new()
    }
}
