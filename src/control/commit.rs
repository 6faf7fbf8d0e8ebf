//! One change on its way into the store, as a state machine without I/O.
//!
//! The change is written only over the version that it was made from. When the answer to the write
//! is lost, the configuration is read back: the change is stored if its identity is in the history,
//! and lost to another if the version moved without it. While the version has not moved, the same
//! write is repeated; compare-and-swap lets at most one of them take effect.

use {
    crate::{
        config::{Change, Config, DecodeError, EditError, Proposal, Revision},
        store::{Entry, StoreError, Swap, Version},
    },
    derive_more::{Display, Error},
    smol_str::SmolStr,
    std::sync::Arc,
};

/// How long a write with a lost answer is followed up.
pub const RESOLVE_TIMEOUT_US: u64 = 10_000_000;
/// Pause between two attempts to read back.
pub const RESOLVE_PAUSE_MS: u32 = 250;

/// What is to be done next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the configuration from the store.
    Read,
    /// Write it by compare-and-swap.
    Write {
        /// Version that the key must be at.
        expected: Version,
        /// Encoded configuration.
        value: Vec<u8>,
    },
    /// Wait, then go on with [`Commit::paused`].
    Pause {
        /// How long to wait.
        pause_ms: u32,
    },
    /// The end.
    Done(Result<Arc<Config>, CommitError>),
}

/// Why a change is not known to be stored.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display, Error)]
pub enum CommitError {
    /// The change cannot be applied to the present configuration; nothing was changed.
    #[display("{_0}")]
    Invalid(#[error(source)] EditError),
    /// Another change came first; nothing was changed.
    #[display("another change came first: the configuration is at revision {revision}")]
    Lost {
        /// Revision of the configuration now.
        revision: Revision,
        /// The change that won, if it is known.
        winner: Option<Change>,
    },
    /// The store did not take the change; nothing was changed.
    #[display("nothing was changed: {_0}")]
    Store(#[error(source)] StoreError),
    /// The store holds something that is no configuration; nothing was changed.
    #[display("nothing was changed: {_0}")]
    Unreadable(#[error(source)] DecodeError),
    /// A change with another text has this identity; nothing was changed.
    #[display("the identity {id} belongs to another change")]
    Reused {
        /// Identity of both changes.
        id: SmolStr,
    },
    /// The answer to the write was lost and the store could not be read since.
    #[display("change {id} may take effect; look for it in the history")]
    Unresolved {
        /// Identity of the change.
        id: SmolStr,
    },
}

/// State of one change.
#[derive(Debug, Clone)]
pub struct Commit {
    proposal: Proposal,
    local: Arc<Config>,
    now_unix_ms: u64,
    written: Option<Written>,
}

#[derive(Debug, Clone)]
struct Written {
    expected: Version,
    config: Arc<Config>,
    give_up_at_us: u64,
    uncertain: bool,
}

impl Commit {
    /// Prepares a change; `local` is the configuration in force at this daemon.
    pub fn new(proposal: Proposal, local: Arc<Config>, now_unix_ms: u64) -> Self {
        Self {
            proposal,
            local,
            now_unix_ms,
            written: None,
        }
    }

    /// First step.
    pub fn start(&self) -> Step {
        Step::Read
    }

    /// Step after a pause.
    pub fn paused(&self) -> Step {
        Step::Read
    }

    /// Step after a read.
    pub fn read(&mut self, result: Result<Option<Entry>, StoreError>, now_us: u64) -> Step {
        match (result, self.written.clone()) {
            (Ok(entry), None) => self.propose(entry.as_ref(), now_us),
            (Ok(entry), Some(written)) => self.read_back(entry.as_ref(), &written),
            (Err(error), None) => Step::Done(Err(CommitError::Store(error))),
            (Err(_), Some(written)) => self.follow_up(&written, now_us),
        }
    }

    /// Step after a write.
    pub fn written(&mut self, result: Result<Swap, StoreError>, now_us: u64) -> Step {
        let Some(mut written) = self.written.clone() else {
            return Step::Read;
        };
        match result {
            Ok(Swap::Applied(_)) => Step::Done(Ok(written.config)),
            Ok(Swap::Conflict(entry)) => self.judge(entry.as_ref(), &written),
            Err(error) => {
                written.uncertain |= matches!(error, StoreError::Uncertain { .. });
                self.written = Some(written.clone());
                if written.uncertain {
                    return self.follow_up(&written, now_us);
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
            return Step::Done(self.repeated(change, &base));
        }
        if self
            .proposal
            .if_revision
            .is_some_and(|seen| seen != base.revision)
        {
            return Step::Done(Err(lost(&base, base.revision)));
        }
        match base.apply(&self.proposal, self.now_unix_ms) {
            Ok(next) => self.write(version(entry), Arc::new(next), now_us),
            Err(error) => Step::Done(Err(CommitError::Invalid(error))),
        }
    }

    /// The newer of what the store holds and what is in force here, should the store have lost it.
    fn base(&self, stored: Option<Config>) -> Arc<Config> {
        stored
            .filter(|stored| stored.precedence() >= self.local.precedence())
            .map_or_else(|| Arc::clone(&self.local), Arc::new)
    }

    /// Outcome of a change whose identity is in the history before its first write.
    fn repeated(&self, change: &Change, base: &Arc<Config>) -> Result<Arc<Config>, CommitError> {
        if change.text == self.proposal.text {
            return Ok(Arc::clone(base));
        }
        let id = change.id.clone();
        Err(CommitError::Reused { id })
    }

    fn write(&mut self, expected: Version, config: Arc<Config>, now_us: u64) -> Step {
        let written = Written {
            expected,
            config,
            give_up_at_us: now_us.saturating_add(RESOLVE_TIMEOUT_US),
            uncertain: false,
        };
        let step = written.step();
        self.written = Some(written);
        step
    }

    fn read_back(&self, entry: Option<&Entry>, written: &Written) -> Step {
        if version(entry) == written.expected {
            return written.step();
        }
        self.judge(entry, written)
    }

    fn judge(&self, entry: Option<&Entry>, written: &Written) -> Step {
        let present = match decode(entry) {
            Ok(present) => present.unwrap_or_default(),
            Err(error) if written.uncertain => return self.unresolved_after(&error),
            Err(error) => return Step::Done(Err(CommitError::Unreadable(error))),
        };
        if present.change(&self.proposal.id).is_some() {
            return Step::Done(Ok(Arc::new(present)));
        }
        if written.uncertain && !present.remembers(written.config.revision) {
            return self.unresolved();
        }
        Step::Done(Err(lost(&present, written.config.revision)))
    }

    fn follow_up(&self, written: &Written, now_us: u64) -> Step {
        if now_us >= written.give_up_at_us {
            return self.unresolved();
        }
        Step::Pause {
            pause_ms: RESOLVE_PAUSE_MS,
        }
    }

    fn unresolved_after(&self, error: &DecodeError) -> Step {
        tracing::warn!(%error, "configuration unreadable");
        self.unresolved()
    }

    fn unresolved(&self) -> Step {
        let id = self.proposal.id.clone();
        Step::Done(Err(CommitError::Unresolved { id }))
    }
}

impl Written {
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

fn lost(present: &Config, wanted: Revision) -> CommitError {
    let winner = present
        .history
        .iter()
        .find(|change| change.revision == wanted)
        .or_else(|| present.last_change());
    CommitError::Lost {
        revision: present.revision,
        winner: winner.cloned(),
    }
}
