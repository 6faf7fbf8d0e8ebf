//! Bounded priority queue of work that waits for a slot.

use {
    crate::request::{Importance, Rank},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Order among waiting work of the same importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Order {
    /// First come, first served.
    #[default]
    OldestFirst,
    /// Last come, first served.
    NewestFirst,
}

/// Position of one waiting entry; needed to remove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    rank: Rank,
    deadline_us: u64,
    seq: u64,
}

impl Ticket {
    /// Deadline of the entry.
    pub fn deadline_us(&self) -> u64 {
        self.deadline_us
    }

    /// Rank of the entry.
    pub fn rank(&self) -> Rank {
        self.rank
    }
}

/// Waiting work, found by importance, by rank and by deadline.
#[derive(Debug)]
pub struct Queue<K> {
    by_start: BTreeMap<(Importance, u64), (Ticket, K)>,
    by_rank: BTreeMap<(Rank, Reverse<u64>), Ticket>,
    by_deadline: BTreeSet<(u64, Rank, u64)>,
    counts: BTreeMap<Importance, usize>,
    next_seq: u64,
}

impl<K: Copy> Queue<K> {
    /// Empty queue.
    pub fn new() -> Self {
        Self {
            by_start: BTreeMap::new(),
            by_rank: BTreeMap::new(),
            by_deadline: BTreeSet::new(),
            counts: BTreeMap::new(),
            next_seq: 0,
        }
    }

    /// Adds an entry.
    pub fn push(&mut self, rank: Rank, deadline_us: u64, key: K) -> Ticket {
        let seq = self.next_seq;
        self.next_seq += 1;
        let ticket = Ticket {
            rank,
            deadline_us,
            seq,
        };
        self.by_start
            .insert((rank.importance(), seq), (ticket, key));
        self.by_rank.insert((rank, Reverse(seq)), ticket);
        self.by_deadline.insert((deadline_us, rank, seq));
        *self.counts.entry(rank.importance()).or_default() += 1;
        ticket
    }

    /// Removes an entry.
    pub fn remove(&mut self, ticket: Ticket) -> Option<K> {
        let Ticket {
            rank,
            deadline_us,
            seq,
        } = ticket;
        let (_, key) = self.by_start.remove(&(rank.importance(), seq))?;
        self.by_rank.remove(&(rank, Reverse(seq)));
        self.by_deadline.remove(&(deadline_us, rank, seq));
        if let Some(count) = self.counts.get_mut(&rank.importance()) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&rank.importance());
            }
        }
        Some(key)
    }

    /// Entry that starts next.
    pub fn best(&self, order: Order) -> Option<(Ticket, K)> {
        let (&(importance, _), first) = self.by_start.first_key_value()?;
        if order == Order::OldestFirst {
            return Some(*first);
        }
        let same = (importance, 0)..=(importance, u64::MAX);
        self.by_start
            .range(same)
            .next_back()
            .map(|(_, entry)| *entry)
    }

    /// Least important entry; the oldest among equals.
    pub fn worst(&self) -> Option<Ticket> {
        self.by_rank.last_key_value().map(|(_, ticket)| *ticket)
    }

    /// Entry with the earliest deadline, if that is not after `until_us`.
    pub fn expired(&self, until_us: u64) -> Option<Ticket> {
        let &(deadline_us, rank, seq) = self.by_deadline.first()?;
        (deadline_us <= until_us).then_some(Ticket {
            rank,
            deadline_us,
            seq,
        })
    }

    /// Number of entries that are at least as important.
    pub fn ahead(&self, importance: Importance) -> usize {
        self.counts
            .range(..=importance)
            .map(|(_, count)| count)
            .sum()
    }

    /// Number of entries for each importance.
    pub fn counts(&self) -> &BTreeMap<Importance, usize> {
        &self.counts
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.by_start.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }
}

impl<K: Copy> Default for Queue<K> {
    fn default() -> Self {
        Self::new()
    }
}
