//! When a daemon calls the store for the configuration, as a state machine without I/O.

use {
    crate::{
        config::{Config, DecodeError},
        control::election::Duty,
        store::{Entry, StoreError, Version},
    },
    rand::{Rng, RngExt},
    std::sync::Arc,
};

/// How long one watch waits.
pub const WATCH_WAIT_MS: u32 = 30_000;
/// Pause of a daemon that has nothing to read.
pub const IDLE_PAUSE_MS: u32 = 1_000;

const FIRST_BACKOFF_MS: u32 = 200;
const MAX_BACKOFF_MS: u32 = 5_000;

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Watch the key of the configuration.
    Watch {
        /// Version known already.
        after: Version,
        /// Longest wait.
        wait_ms: u32,
    },
    /// Wait without a call.
    Pause {
        /// How long to wait.
        pause_ms: u32,
    },
}

/// What a call brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// A configuration.
    Config(Arc<Config>),
    /// The store holds none.
    Empty,
    /// Nothing new.
    Same,
    /// Something that is no configuration.
    Unreadable(DecodeError),
    /// The store failed.
    Failed(StoreError),
}

/// State of one daemon's reading.
#[derive(Debug, Clone, Default)]
pub struct Watcher {
    after: Version,
    started: bool,
    checked: Option<u64>,
    failures: u32,
    backoff_ms: u32,
}

impl Watcher {
    /// Starts without knowledge; the first call is made whatever the duty, and waits for nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Next step for this duty.
    pub fn step(&mut self, duty: Duty) -> Step {
        if self.backoff_ms > 0 {
            let pause_ms = std::mem::take(&mut self.backoff_ms);
            return Step::Pause { pause_ms };
        }
        match duty {
            _ if !self.started => self.watch(0),
            Duty::Watch => self.watch(WATCH_WAIT_MS),
            Duty::Check { interval } if self.checked != Some(interval) => {
                self.checked = Some(interval);
                self.watch(0)
            }
            Duty::Check { .. } | Duty::Idle => Step::Pause {
                pause_ms: IDLE_PAUSE_MS,
            },
        }
    }

    /// Takes the answer to a watch.
    pub fn answered(
        &mut self,
        result: Result<Option<Entry>, StoreError>,
        rng: &mut dyn Rng,
    ) -> Seen {
        match result {
            Ok(entry) => self.succeed(entry),
            Err(error) => {
                self.fail(rng);
                Seen::Failed(error)
            }
        }
    }

    /// Failures since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    fn watch(&self, wait_ms: u32) -> Step {
        Step::Watch {
            after: self.after,
            wait_ms,
        }
    }

    fn succeed(&mut self, entry: Option<Entry>) -> Seen {
        self.started = true;
        self.failures = 0;
        let Some(entry) = entry else {
            return if self.after == Version::ABSENT {
                Seen::Empty
            } else {
                Seen::Same
            };
        };
        self.after = entry.version;
        match Config::decode(&entry.value) {
            Ok(config) => Seen::Config(Arc::new(config)),
            Err(error) => Seen::Unreadable(error),
        }
    }

    /// Backs off, and forgets the version, for a store may come back with other versions.
    fn fail(&mut self, rng: &mut dyn Rng) {
        self.after = Version::ABSENT;
        let doublings = self.failures.min(8);
        let limit_ms = (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.backoff_ms = rng.random_range(limit_ms / 2..=limit_ms);
        self.failures += 1;
    }
}
