//! Queue of news that still have to be passed on, the most urgent and least often sent first.

use {
    crate::{collections::HashMap, place::DataCentre},
    std::cmp::Reverse,
};

/// Order in which news travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// Load and levels.
    Low,
    /// Summaries and beats of other data centres, revisions, digests of suspects.
    Normal,
    /// Joins, drains, suspicions, deaths and refutations.
    High,
}

/// Record that has changed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Subject {
    /// Light part of the member of this generation.
    Light(u64),
    /// Whole record of the member of this generation.
    Member(u64),
    /// Beat of a data centre.
    Beat(DataCentre),
    /// Summary with this key.
    Summary(u64),
}

#[derive(Debug, Clone, Copy)]
struct Item {
    urgency: Urgency,
    sends_left: u32,
}

/// News not yet passed on often enough.
#[derive(Debug, Default)]
pub(super) struct News {
    items: HashMap<Subject, Item>,
}

/// Times that news of low urgency are passed on.
const LOW_SENDS: u32 = 4;

impl News {
    /// Queues a record, or starts it over if it is queued.
    pub(super) fn push(&mut self, subject: Subject, urgency: Urgency, members: usize) {
        let mut urgency = urgency;
        if let Subject::Member(generation) = subject {
            self.items.remove(&Subject::Light(generation));
        }
        if let Subject::Light(generation) = subject
            && let Some(item) = self.items.get_mut(&Subject::Member(generation))
        {
            item.sends_left = item.sends_left.max(sends(urgency, members));
            item.urgency = item.urgency.max(urgency);
            return;
        }
        if let Some(item) = self.items.get(&subject) {
            urgency = urgency.max(item.urgency);
        }
        let sends_left = sends(urgency, members);
        let item = Item {
            urgency,
            sends_left,
        };
        self.items.insert(subject, item);
    }

    /// Highest urgency that is queued.
    pub(super) fn urgency(&self) -> Option<Urgency> {
        self.items.values().map(|item| item.urgency).max()
    }

    /// Subjects in the order in which they should be sent.
    pub(super) fn in_order(&self) -> Vec<(Subject, Urgency)> {
        let mut queued: Vec<_> = self.items.iter().collect();
        queued.sort_unstable_by_key(|(subject, item)| {
            (Reverse((item.urgency, item.sends_left)), *subject)
        });
        queued
            .into_iter()
            .map(|(subject, item)| (subject.clone(), item.urgency))
            .collect()
    }

    /// Notes that a record was sent once.
    pub(super) fn sent(&mut self, subject: &Subject) {
        if let Some(item) = self.items.get_mut(subject) {
            item.sends_left = item.sends_left.saturating_sub(1);
            if item.sends_left == 0 {
                self.items.remove(subject);
            }
        }
    }

    /// Forgets a record.
    pub(super) fn forget(&mut self, subject: &Subject) {
        self.items.remove(subject);
    }

    /// Number of records queued.
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// Forgets all records.
    pub(super) fn clear(&mut self) {
        self.items.clear();
    }
}

fn sends(urgency: Urgency, members: usize) -> u32 {
    let log = (members + 1).next_power_of_two().trailing_zeros();
    match urgency {
        Urgency::Low => LOW_SENDS.min(log + 1),
        Urgency::Normal => log + 1,
        Urgency::High => log + 4,
    }
}
