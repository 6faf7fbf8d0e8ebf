//! When a stored change is accepted: once its revision is in force at every live daemon.

use {
    crate::config::Revision,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// How long the answer to an operator waits for the confirmations.
pub const CONFIRM_TIMEOUT_US: u64 = 10_000_000;
/// Pause between two looks at the confirmations.
pub const CONFIRM_PAUSE_MS: u32 = 50;

/// What is known of the revisions in force elsewhere.
pub trait Confirmations: Send + Sync {
    /// Names of live daemons, or of data centres, not known to enforce `revision` or a newer one.
    fn lagging(&self, revision: Revision) -> Vec<SmolStr>;
}

/// How far a stored change has come.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Serialize, Deserialize)]
#[serde(tag = "standing", rename_all = "lowercase")]
pub enum Standing {
    /// It is in force at every live daemon.
    #[display("accepted")]
    Accepted,
    /// It is in the store, and in force everywhere but there.
    #[display("stored; not confirmed by {}", missing.join(", "))]
    Stored {
        /// Daemons or data centres that have not confirmed it.
        missing: Vec<SmolStr>,
    },
}

/// Wait for the confirmations of one revision.
#[derive(Debug, Clone, Copy)]
pub struct Confirm {
    revision: Revision,
    give_up_at_us: u64,
}

impl Confirm {
    /// Begins to wait.
    pub fn new(revision: Revision, now_us: u64) -> Self {
        Self {
            revision,
            give_up_at_us: now_us.saturating_add(CONFIRM_TIMEOUT_US),
        }
    }

    /// Looks at the confirmations; `None` if it is worth to wait longer.
    pub fn poll(&self, confirmations: &dyn Confirmations, now_us: u64) -> Option<Standing> {
        let missing = confirmations.lagging(self.revision);
        if missing.is_empty() {
            return Some(Standing::Accepted);
        }
        (now_us >= self.give_up_at_us).then_some(Standing::Stored { missing })
    }
}
