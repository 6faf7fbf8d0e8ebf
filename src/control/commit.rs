//! Commit of one change to the store, as a state machine without I/O.
//!
//! The change is written by compare-and-swap over the version that it was made from. If the
//! response to the write is lost, the configuration is read back. The change is stored if its
//! identifier is in the history; it conflicts with another change if the version has moved on
//! without it. While the version is unchanged, the same write is repeated; compare-and-swap lets at
//! most one of the repeated writes take effect.

use {
    crate::{
        config::{Change, Config, DecodeError, EditError, Proposal, Revision},
        store::{Entry, StoreError, Swap, Version},
    },
    derive_more::{Display, Error},
    smol_str::SmolStr,
    std::sync::Arc,
};

/// Time, from the first write, after which a write without a response is reported as unresolved.
pub const RESOLVE_TIMEOUT_US: u64 = 10_000_000;
/// Pause before the configuration is read back again.
pub const RESOLVE_PAUSE_MS: u32 = 250;

/// Next action of the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the configuration from the store, then call [`Commit::on_read`].
    Read,
    /// Write the configuration by compare-and-swap, then call [`Commit::on_write`].
    Write {
        /// Version that the key must have.
        expected: Version,
        /// Encoded configuration.
        value: Vec<u8>,
    },
    /// Wait, then call [`Commit::on_pause_end`].
    Pause {
        /// How long to wait.
        pause_ms: u32,
    },
    /// The commit is finished.
    Done(Result<Arc<Config>, CommitError>),
}

/// Reason why a change was not stored, or is not known to be.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display, Error)]
pub enum CommitError {
    /// The change cannot be applied to the current configuration; nothing was changed.
    #[display("{_0}")]
    Invalid(#[error(source)] EditError),
    /// Another change was stored first; nothing was changed.
    #[display("another change came first: the configuration is at revision {revision}")]
    Conflict {
        /// Current revision of the configuration.
        revision: Revision,
        /// Change that was stored instead, if it is known.
        winner: Option<Change>,
    },
    /// The store call failed without effect; nothing was changed.
    #[display("nothing was changed: {_0}")]
    Store(#[error(source)] StoreError),
    /// The stored configuration cannot be decoded; nothing was changed.
    #[display("nothing was changed: {_0}")]
    Unreadable(#[error(source)] DecodeError),
    /// Another change, with a different text, has this identifier; nothing was changed.
    #[display("change ID {id} is already used by another change")]
    Reused {
        /// Identifier of both changes.
        id: SmolStr,
    },
    /// The response to the write was lost, and reading back did not show whether it took effect.
    #[display("change {id} may take effect; look for it in the history")]
    Unresolved {
        /// Identifier of the change.
        id: SmolStr,
    },
}

/// State of one commit.
#[derive(Debug, Clone)]
pub struct Commit {
    proposal: Proposal,
    local: Arc<Config>,
    now_unix_ms: u64,
    pending: Option<PendingWrite>,
}

/// Write that was sent and is not known to have succeeded.
#[derive(Debug, Clone)]
struct PendingWrite {
    expected: Version,
    config: Arc<Config>,
    give_up_at_us: u64,
    /// Whether the response to a write was lost, so that it may have taken effect.
    uncertain: bool,
}

impl Commit {
    /// Prepares a commit; `local` is the configuration that this daemon enforces.
    pub fn new(proposal: Proposal, local: Arc<Config>, now_unix_ms: u64) -> Self {
        Self {
            proposal,
            local,
            now_unix_ms,
            pending: None,
        }
    }

    /// Returns the first step.
    pub fn start(&self) -> Step {
        Step::Read
    }

    /// Returns the next step after a pause.
    pub fn on_pause_end(&self) -> Step {
        Step::Read
    }

    /// Returns the next step after a read.
    pub fn on_read(&mut self, result: Result<Option<Entry>, StoreError>, now_us: u64) -> Step {
        match (result, self.pending.clone()) {
            (Ok(entry), None) => self.propose(entry.as_ref(), now_us),
            (Ok(entry), Some(pending)) => self.repeat_or_resolve(entry.as_ref(), &pending),
            (Err(error), None) => Step::Done(Err(CommitError::Store(error))),
            (Err(_), Some(pending)) => self.pause_or_give_up(&pending, now_us),
        }
    }

    /// Returns the next step after a write.
    pub fn on_write(&mut self, result: Result<Swap, StoreError>, now_us: u64) -> Step {
        let Some(mut pending) = self.pending.clone() else {
            return Step::Read;
        };
        match result {
            Ok(Swap::Applied(_)) => Step::Done(Ok(pending.config)),
            Ok(Swap::Conflict(entry)) => self.resolve(entry.as_ref(), &pending),
            Err(error) => {
                pending.uncertain |= matches!(error, StoreError::Uncertain { .. });
                self.pending = Some(pending.clone());
                if pending.uncertain {
                    return self.pause_or_give_up(&pending, now_us);
                }
                Step::Done(Err(CommitError::Store(error)))
            }
        }
    }

    fn propose(&mut self, entry: Option<&Entry>, now_us: u64) -> Step {
        let stored = match decode(entry) {
            Ok(stored) => stored,
            Err(error) => return Step::Done(Err(CommitError::Unreadable(error))),
        };
        let base = self.base(stored);
        if let Some(change) = base.change(&self.proposal.id) {
            return Step::Done(self.existing_change_result(change, &base));
        }
        if self
            .proposal
            .if_revision
            .is_some_and(|seen| seen != base.revision)
        {
            return Step::Done(Err(conflict(&base, base.revision)));
        }
        match base.apply(&self.proposal, self.now_unix_ms) {
            Ok(next) => self.write(version(entry), Arc::new(next), now_us),
            Err(error) => Step::Done(Err(CommitError::Invalid(error))),
        }
    }

    /// Returns the stored configuration, or the local one if that is newer because the store lost
    /// writes.
    fn base(&self, stored: Option<Config>) -> Arc<Config> {
        stored
            .filter(|stored| stored.precedence() >= self.local.precedence())
            .map_or_else(|| Arc::clone(&self.local), Arc::new)
    }

    /// Result for a change whose identifier is in the history before its first write.
    fn existing_change_result(
        &self,
        change: &Change,
        base: &Arc<Config>,
    ) -> Result<Arc<Config>, CommitError> {
        if change.text == self.proposal.text {
            return Ok(Arc::clone(base));
        }
        let id = change.id.clone();
        Err(CommitError::Reused { id })
    }

    fn write(&mut self, expected: Version, config: Arc<Config>, now_us: u64) -> Step {
        let pending = PendingWrite {
            expected,
            config,
            give_up_at_us: now_us.saturating_add(RESOLVE_TIMEOUT_US),
            uncertain: false,
        };
        let step = pending.step();
        self.pending = Some(pending);
        step
    }

    /// Repeats the write while the version is unchanged.
    fn repeat_or_resolve(&self, entry: Option<&Entry>, pending: &PendingWrite) -> Step {
        if version(entry) == pending.expected {
            return pending.step();
        }
        self.resolve(entry, pending)
    }

    /// Decides from the stored configuration, whose version has moved on, whether the write took
    /// effect.
    fn resolve(&self, entry: Option<&Entry>, pending: &PendingWrite) -> Step {
        let stored = match decode(entry) {
            Ok(stored) => stored.unwrap_or_default(),
            Err(error) if pending.uncertain => return self.unresolved_unreadable(&error),
            Err(error) => return Step::Done(Err(CommitError::Unreadable(error))),
        };
        if stored.change(&self.proposal.id).is_some() {
            return Step::Done(Ok(Arc::new(stored)));
        }
        // The history is bounded: the change may have been stored and since dropped from it.
        if pending.uncertain && !stored.has_change_at(pending.config.revision) {
            return self.unresolved();
        }
        Step::Done(Err(conflict(&stored, pending.config.revision)))
    }

    fn pause_or_give_up(&self, pending: &PendingWrite, now_us: u64) -> Step {
        if now_us >= pending.give_up_at_us {
            return self.unresolved();
        }
        Step::Pause {
            pause_ms: RESOLVE_PAUSE_MS,
        }
    }

    fn unresolved_unreadable(&self, error: &DecodeError) -> Step {
        tracing::warn!(%error, "stored configuration cannot be decoded");
        self.unresolved()
    }

    fn unresolved(&self) -> Step {
        let id = self.proposal.id.clone();
        Step::Done(Err(CommitError::Unresolved { id }))
    }
}

impl PendingWrite {
    fn step(&self) -> Step {
        Step::Write {
            expected: self.expected,
            value: self.config.encode(),
        }
    }
}

fn decode(entry: Option<&Entry>) -> Result<Option<Config>, DecodeError> {
    entry.map(|entry| Config::decode(&entry.value)).transpose()
}

fn version(entry: Option<&Entry>) -> Version {
    entry.map_or(Version::ABSENT, |entry| entry.version)
}

fn conflict(stored: &Config, wanted: Revision) -> CommitError {
    let winner = stored
        .history
        .iter()
        .find(|change| change.revision == wanted)
        .or_else(|| stored.last_change());
    CommitError::Conflict {
        revision: stored.revision,
        winner: winner.cloned(),
    }
}
