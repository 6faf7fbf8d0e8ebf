//! The configuration in force at one daemon.

use {
    crate::{
        clock::Clock,
        config::{Config, Revision},
    },
    parking_lot::Mutex,
    std::{
        fmt::{self, Debug, Formatter},
        sync::Arc,
    },
};

/// How long a new daemon waits for a configuration before it serves with its built-in one.
pub const SETTLE_TIMEOUT_US: u64 = 5_000_000;

/// What became of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is in force from now on.
    Adopted {
        /// Revision that was in force before.
        from: Revision,
    },
    /// It is in force already.
    Known,
    /// A newer one is in force.
    Older,
}

/// Configuration in force at one daemon; its revision never goes down.
#[derive(Debug, Clone)]
pub struct Enforced {
    config: Arc<Config>,
    since_us: u64,
    settle_by_us: u64,
    settled: bool,
    adopted: u64,
    older: u64,
}

impl Enforced {
    /// Starts with a built-in configuration, until one is heard of.
    pub fn new(builtin: Config, now_us: u64) -> Self {
        Self {
            config: Arc::new(builtin),
            since_us: now_us,
            settle_by_us: now_us.saturating_add(SETTLE_TIMEOUT_US),
            settled: false,
            adopted: 0,
            older: 0,
        }
    }

    /// Takes a configuration heard from the store or a peer into force if it is newer.
    pub fn offer(&mut self, config: &Arc<Config>, now_us: u64) -> Offer {
        if self.config.precedence() > config.precedence() {
            self.older += 1;
            return Offer::Older;
        }
        self.settled |= config.revision > Revision::default();
        if self.config.precedence() == config.precedence() {
            return Offer::Known;
        }
        let from = self.config.revision;
        self.config = Arc::clone(config);
        self.since_us = now_us;
        self.adopted += 1;
        Offer::Adopted { from }
    }

    /// Notes that the store holds no configuration, so that the built-in one is right.
    pub fn settle(&mut self) {
        self.settled = true;
    }

    /// Whether the daemon may serve: a configuration was heard of, or none could be in time.
    pub fn is_settled(&self, now_us: u64) -> bool {
        self.settled || now_us >= self.settle_by_us
    }

    /// Whether the configuration in force is one that was heard of, not just the built-in one.
    pub fn is_heard(&self) -> bool {
        self.settled
    }

    /// Configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.config.revision
    }

    /// Time since which it is in force.
    pub fn since_us(&self) -> u64 {
        self.since_us
    }

    /// Number of configurations taken into force.
    pub fn adopted(&self) -> u64 {
        self.adopted
    }

    /// Number of older configurations that were offered.
    pub fn older(&self) -> u64 {
        self.older
    }
}

/// [`Enforced`] shared by the parts of a daemon.
pub struct Live {
    clock: Arc<dyn Clock>,
    enforced: Mutex<Enforced>,
}

impl Live {
    /// Starts with a built-in configuration.
    pub fn new(builtin: Config, clock: Arc<dyn Clock>) -> Self {
        let enforced = Enforced::new(builtin, clock.now_us());
        Self {
            clock,
            enforced: Mutex::new(enforced),
        }
    }

    /// See [`Enforced::offer`].
    pub fn offer(&self, config: &Arc<Config>) -> Offer {
        let offer = self.enforced.lock().offer(config, self.clock.now_us());
        if let Offer::Adopted { from } = offer {
            tracing::info!(%from, revision = %config.revision, "configuration in force");
        }
        offer
    }

    /// See [`Enforced::settle`].
    pub fn settle(&self) {
        self.enforced.lock().settle();
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(self.enforced.lock().config())
    }

    /// Copy of the state, for the dump.
    pub fn enforced(&self) -> Enforced {
        self.enforced.lock().clone()
    }

    /// See [`Enforced::is_heard`].
    pub fn is_heard(&self) -> bool {
        self.enforced.lock().is_heard()
    }

    /// See [`Enforced::is_settled`].
    pub fn is_settled(&self) -> bool {
        self.enforced.lock().is_settled(self.clock.now_us())
    }
}

impl Debug for Live {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Live")
            .field("enforced", &self.enforced)
            .finish_non_exhaustive()
    }
}
