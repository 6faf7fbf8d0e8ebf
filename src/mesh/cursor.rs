//! Position of the watch of the configuration: decides between waiting for changes and reading the
//! newest version.
//!
//! The store answers a watch with every version since the given revision, replaced ones included.
//! Load pattern: changes in quick succession, or an outage of the store during changes, over a link
//! that all daemons of a region share. Versions that are transferred more slowly than they are
//! written accumulate, so that each answer is longer than the one before. A daemon that is behind
//! therefore reads the newest version until it has caught up.
//!
//! A page of the store is not a snapshot: its revision may be that of a change which its entries do
//! not include. A watch after it would miss that change until the next one. A read therefore
//! continues after the revision of the entry that it brought, or after one that the store had stated
//! before the read began.
//!
//! A store that falls silent takes the calls that are under way and never answers them. During
//! frequent changes these are the next watches of all daemons at once, and no peer knows of a later
//! change. Such a watch waits for a short time only, so that a read can replace a lost one while the
//! change is still in time.

/// Parts of the time within which a change must be in force: the wait of a watch during frequent
/// changes, as long for its answer, and the rest for the read that replaces it.
const PROPAGATION_PARTS: u64 = 4;

/// Shortest such part. A slow store needs most of it for an answer to another region.
const MIN_PART_MS: u64 = 250;

/// Longest such part, as nothing is gained by a later finding.
const MAX_PART_MS: u64 = 2_500;

/// Longest wait of one watch that the platform allows.
const MAX_WAIT_MS: u64 = 30_000;

/// Time between two changes up to which changes are frequent.
const FREQUENT_CHANGE_US: u64 = 5_000_000;

/// Next call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextCall {
    /// Read the newest version.
    Read,
    /// Wait for changes after a revision.
    Watch {
        /// Revision of the store.
        after: u64,
        /// Longest wait.
        wait_ms: u64,
        /// Time after which a watch without an answer is given up, wait included.
        limit_ms: u64,
    },
}

/// Position in the history of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigCursor {
    /// Wait of a watch during frequent changes, and time limit of each answer after the wait.
    part_ms: u64,
    /// Revision up to which changes are known; `None` if it is unknown or too old.
    revision: Option<u64>,
    /// Newest revision that an earlier answer has stated. A read that begins now includes all changes
    /// up to it.
    stated: Option<u64>,
    /// Whether versions are written faster than they arrive.
    is_behind: bool,
    /// Time of the last change.
    changed_us: Option<u64>,
    /// Whether the last two changes followed each other soon.
    is_frequent: bool,
}

impl ConfigCursor {
    /// Begins with a read. A change must be in force within `propagation_ms`.
    pub fn new(propagation_ms: u64) -> Self {
        Self {
            part_ms: (propagation_ms / PROPAGATION_PARTS).clamp(MIN_PART_MS, MAX_PART_MS),
            revision: None,
            stated: None,
            is_behind: false,
            changed_us: None,
            is_frequent: false,
        }
    }

    /// Next call to the store.
    pub fn next_call(&self) -> NextCall {
        match self.revision {
            Some(after) if !self.is_behind => {
                let wait_ms = if self.is_frequent {
                    self.part_ms
                } else {
                    MAX_WAIT_MS
                };
                NextCall::Watch {
                    after,
                    wait_ms,
                    limit_ms: wait_ms + self.part_ms,
                }
            }
            _ => NextCall::Read,
        }
    }

    /// Records a read: the revision that its page states, the one at which the entry was written, and
    /// whether the version replaced the one in force.
    pub fn record_read(&mut self, stated: u64, written: Option<u64>, is_newer: bool, now_us: u64) {
        self.revision = written.max(self.stated);
        self.stated = self.stated.max(Some(stated));
        self.is_behind &= is_newer;
        if is_newer {
            self.record_change(now_us);
        }
    }

    /// Records the number of versions that a watch delivered up to a revision.
    pub fn record_changes(&mut self, revision: u64, versions: usize, now_us: u64) {
        self.revision = Some(revision);
        self.stated = self.stated.max(self.revision);
        self.is_behind = versions > 1;
        if versions > 0 {
            self.record_change(now_us);
        } else {
            self.is_frequent = false;
        }
    }

    fn record_change(&mut self, now_us: u64) {
        let last_us = self.changed_us.replace(now_us);
        self.is_frequent =
            last_us.is_some_and(|last_us| now_us.saturating_sub(last_us) < FREQUENT_CHANGE_US);
    }

    /// Forgets the position, as many versions may have been written since.
    pub fn reset(&mut self) {
        self.revision = None;
    }

    /// Forgets all revisions, as the store may give them out again.
    pub fn forget_revisions(&mut self) {
        self.revision = None;
        self.stated = None;
    }
}
