//! Schedule of one daemon's store calls for the configuration, as a state machine without I/O.

use {
    crate::{
        config::{Config, DecodeError},
        control::election::ReaderRole,
        store::{Entry, StoreError, Version},
    },
    rand::{Rng, RngExt},
    std::sync::Arc,
};

/// Timeout of one watch.
pub const WATCH_WAIT_MS: u32 = 30_000;
/// Pause of a daemon that does not read the store.
pub const IDLE_PAUSE_MS: u32 = 1_000;

const FIRST_BACKOFF_MS: u32 = 200;
const MAX_BACKOFF_MS: u32 = 5_000;

/// Next action of the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Watch the configuration key, then call [`Watcher::on_response`].
    Watch {
        /// Version that is already known.
        after: Version,
        /// Longest time that the store may wait for a change.
        wait_ms: u32,
    },
    /// Wait without calling the store.
    Pause {
        /// How long to wait.
        pause_ms: u32,
    },
}

/// Result of one watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// A configuration newer than the known version.
    Config(Arc<Config>),
    /// The store holds no configuration.
    Empty,
    /// The configuration did not change.
    Unchanged,
    /// The stored value cannot be decoded.
    Unreadable(DecodeError),
    /// The call failed.
    Failed(StoreError),
}

/// State of one daemon's watch on the configuration.
#[derive(Debug, Clone, Default)]
pub struct Watcher {
    after: Version,
    has_read: bool,
    checked_interval: Option<u64>,
    failures: u32,
    backoff_ms: u32,
}

impl Watcher {
    /// Creates a watcher that knows no version; it reads the store once without waiting, whatever
    /// its role.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next step for a daemon in this role.
    pub fn step(&mut self, role: ReaderRole) -> Step {
        if self.backoff_ms > 0 {
            let pause_ms = std::mem::take(&mut self.backoff_ms);
            return Step::Pause { pause_ms };
        }
        match role {
            _ if !self.has_read => self.watch(0),
            ReaderRole::Watch => self.watch(WATCH_WAIT_MS),
            ReaderRole::Check { interval } if self.checked_interval != Some(interval) => {
                self.checked_interval = Some(interval);
                self.watch(0)
            }
            ReaderRole::Check { .. } | ReaderRole::Idle => Step::Pause {
                pause_ms: IDLE_PAUSE_MS,
            },
        }
    }

    /// Processes the response to a watch.
    pub fn on_response(
        &mut self,
        result: Result<Option<Entry>, StoreError>,
        rng: &mut dyn Rng,
    ) -> WatchOutcome {
        match result {
            Ok(entry) => self.on_success(entry),
            Err(error) => {
                self.back_off(rng);
                WatchOutcome::Failed(error)
            }
        }
    }

    /// Number of failed calls since the last successful one.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    fn watch(&self, wait_ms: u32) -> Step {
        Step::Watch {
            after: self.after,
            wait_ms,
        }
    }

    fn on_success(&mut self, entry: Option<Entry>) -> WatchOutcome {
        self.has_read = true;
        self.failures = 0;
        let Some(entry) = entry else {
            return if self.after == Version::ABSENT {
                WatchOutcome::Empty
            } else {
                WatchOutcome::Unchanged
            };
        };
        self.after = entry.version;
        match Config::decode(&entry.value) {
            Ok(config) => WatchOutcome::Config(Arc::new(config)),
            Err(error) => WatchOutcome::Unreadable(error),
        }
    }

    /// Backs off and forgets the known version, since the store may come back with different
    /// versions.
    fn back_off(&mut self, rng: &mut dyn Rng) {
        self.after = Version::ABSENT;
        let doublings = self.failures.min(8);
        let limit_ms = (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.backoff_ms = rng.random_range(limit_ms / 2..=limit_ms);
        self.failures += 1;
    }
}
