//! Confirmation of stored changes: a change is accepted once its revision is in force at every live
//! daemon.

use {
    crate::config::Revision,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// Longest time that the answer to an operator waits for the confirmations.
pub const CONFIRM_TIMEOUT_US: u64 = 10_000_000;
/// Interval at which the confirmations are polled.
pub const CONFIRM_PAUSE_MS: u32 = 50;

/// Source of the revisions that other daemons are known to enforce.
pub trait Confirmations: Send + Sync {
    /// Names of the live daemons, or data centres, not known to enforce `revision` or a newer one.
    fn lagging(&self, revision: Revision) -> Vec<SmolStr>;
}

/// State of a stored change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Serialize, Deserialize)]
#[serde(tag = "standing", rename_all = "lowercase")]
pub enum ChangeStatus {
    /// The change is in force at every live daemon.
    #[display("accepted")]
    Accepted,
    /// The change is stored, but not confirmed by all daemons.
    #[display("stored; not confirmed by {}", missing.join(", "))]
    Stored {
        /// Daemons or data centres that have not confirmed the change.
        missing: Vec<SmolStr>,
    },
}

/// Bounded wait for the confirmations of one revision.
#[derive(Debug, Clone, Copy)]
pub struct ConfirmationWait {
    revision: Revision,
    give_up_at_us: u64,
}

impl ConfirmationWait {
    /// Starts the wait.
    pub fn new(revision: Revision, now_us: u64) -> Self {
        Self {
            revision,
            give_up_at_us: now_us.saturating_add(CONFIRM_TIMEOUT_US),
        }
    }

    /// Checks the confirmations; `None` while some are missing and the timeout has not passed.
    pub fn poll(&self, confirmations: &dyn Confirmations, now_us: u64) -> Option<ChangeStatus> {
        let missing = confirmations.lagging(self.revision);
        if missing.is_empty() {
            return Some(ChangeStatus::Accepted);
        }
        (now_us >= self.give_up_at_us).then_some(ChangeStatus::Stored { missing })
    }
}
