//! Queue of updates to be gossiped, by priority and then by the sends that remain.

use {
    crate::{collections::HashMap, place::DataCentre},
    std::cmp::Reverse,
};

/// Priority of an update in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// Changed loads, further heartbeats, and records received by anti-entropy.
    Low,
    /// Changed admission levels and revisions, and newly discovered data centres.
    Normal,
    /// Joins, drains, changes of status, changed record bodies, and changed workers of a summary.
    High,
}

/// Identifies a changed record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum UpdateKey {
    /// State of the member of this generation.
    MemberState(u64),
    /// Whole record of the member of this generation.
    MemberRecord(u64),
    /// Heartbeat of a data centre.
    Heartbeat(DataCentre),
    /// Summary with this key.
    Summary(u64),
}

/// Update in the queue.
#[derive(Debug, Clone, Copy)]
struct QueuedUpdate {
    priority: Priority,
    sends_left: u32,
}

/// Updates that have not been sent often enough yet.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    queued: HashMap<UpdateKey, QueuedUpdate>,
}

/// Maximum number of sends of an update of low priority.
const LOW_SENDS: u32 = 4;

impl UpdateQueue {
    /// Queues an update, or restarts its count of sends if it is already queued.
    ///
    /// The state of a member is not queued while its whole record is, which includes the state.
    pub(super) fn push(&mut self, key: UpdateKey, priority: Priority, members: usize) {
        let mut priority = priority;
        if let UpdateKey::MemberRecord(generation) = key {
            self.queued.remove(&UpdateKey::MemberState(generation));
        }
        if let UpdateKey::MemberState(generation) = key
            && let Some(update) = self.queued.get_mut(&UpdateKey::MemberRecord(generation))
        {
            update.sends_left = update.sends_left.max(sends(priority, members));
            update.priority = update.priority.max(priority);
            return;
        }
        if let Some(update) = self.queued.get(&key) {
            priority = priority.max(update.priority);
        }
        let sends_left = sends(priority, members);
        let update = QueuedUpdate {
            priority,
            sends_left,
        };
        self.queued.insert(key, update);
    }

    /// Returns the highest priority in the queue.
    pub(super) fn priority(&self) -> Option<Priority> {
        self.queued.values().map(|update| update.priority).max()
    }

    /// Returns the queued updates in the order in which they should be sent.
    pub(super) fn in_order(&self) -> Vec<(UpdateKey, Priority)> {
        let mut updates: Vec<_> = self.queued.iter().collect();
        updates.sort_unstable_by_key(|(key, update)| {
            (Reverse((update.priority, update.sends_left)), *key)
        });
        updates
            .into_iter()
            .map(|(key, update)| (key.clone(), update.priority))
            .collect()
    }

    /// Records one send of an update, and removes it after its last one.
    pub(super) fn record_sent(&mut self, key: &UpdateKey) {
        if let Some(update) = self.queued.get_mut(key) {
            update.sends_left = update.sends_left.saturating_sub(1);
            if update.sends_left == 0 {
                self.queued.remove(key);
            }
        }
    }

    /// Removes an update.
    pub(super) fn remove(&mut self, key: &UpdateKey) {
        self.queued.remove(key);
    }

    /// Returns the number of queued updates.
    pub(super) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Removes all updates.
    pub(super) fn clear(&mut self) {
        self.queued.clear();
    }
}

/// Returns the number of sends of an update, which grows with the logarithm of `members`.
fn sends(priority: Priority, members: usize) -> u32 {
    let log = (members + 1).next_power_of_two().trailing_zeros();
    match priority {
        Priority::Low => LOW_SENDS.min(log + 1),
        Priority::Normal => log + 1,
        Priority::High => log + 4,
    }
}
