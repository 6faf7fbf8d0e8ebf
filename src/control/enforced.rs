//! The configuration that one daemon enforces.

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

/// Time that a new daemon waits for a configuration before it serves with the built-in one.
pub const INITIAL_CONFIG_TIMEOUT_US: u64 = 5_000_000;

/// Result of offering a configuration to a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// The offered configuration is newer and now in force.
    Adopted {
        /// Revision that was in force before the offer.
        from: Revision,
    },
    /// The offered configuration was already in force.
    Unchanged,
    /// A newer configuration is in force.
    Outdated,
}

/// Configuration that one daemon enforces; its revision never decreases.
#[derive(Debug, Clone)]
pub struct EnforcedConfig {
    config: Arc<Config>,
    since_us: u64,
    initial_deadline_us: u64,
    authoritative: bool,
    adopted_count: u64,
    outdated_count: u64,
}

impl EnforcedConfig {
    /// Starts with the built-in configuration, which is enforced until another one is received.
    pub fn new(builtin: Config, now_us: u64) -> Self {
        Self {
            config: Arc::new(builtin),
            since_us: now_us,
            initial_deadline_us: now_us.saturating_add(INITIAL_CONFIG_TIMEOUT_US),
            authoritative: false,
            adopted_count: 0,
            outdated_count: 0,
        }
    }

    /// Enforces a configuration received from the store or a peer if it is newer.
    pub fn offer(&mut self, config: &Arc<Config>, now_us: u64) -> OfferResult {
        if self.config.precedence() > config.precedence() {
            self.outdated_count += 1;
            return OfferResult::Outdated;
        }
        self.authoritative |= config.revision > Revision::default();
        if self.config.precedence() == config.precedence() {
            return OfferResult::Unchanged;
        }
        let from = self.config.revision;
        self.config = Arc::clone(config);
        self.since_us = now_us;
        self.adopted_count += 1;
        OfferResult::Adopted { from }
    }

    /// Records that the store holds no configuration, so the built-in one is authoritative.
    pub fn mark_authoritative(&mut self) {
        self.authoritative = true;
    }

    /// Returns whether the daemon may serve: it knows the authoritative configuration, or has
    /// waited [`INITIAL_CONFIG_TIMEOUT_US`] without receiving one.
    pub fn may_serve(&self, now_us: u64) -> bool {
        self.authoritative || now_us >= self.initial_deadline_us
    }

    /// Returns whether the configuration in force came from the store or a peer, or the store is
    /// known to hold none. If false, the built-in configuration is only assumed to be right.
    pub fn is_authoritative(&self) -> bool {
        self.authoritative
    }

    /// Configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.config.revision
    }

    /// Time at which the configuration came into force, in microseconds.
    pub fn since_us(&self) -> u64 {
        self.since_us
    }

    /// Number of offered configurations that came into force.
    pub fn adopted_count(&self) -> u64 {
        self.adopted_count
    }

    /// Number of offered configurations that were older than the one in force.
    pub fn outdated_count(&self) -> u64 {
        self.outdated_count
    }
}

/// [`EnforcedConfig`] shared by all tasks of a daemon.
pub struct LiveConfig {
    clock: Arc<dyn Clock>,
    enforced: Mutex<EnforcedConfig>,
}

impl LiveConfig {
    /// Starts with the built-in configuration.
    pub fn new(builtin: Config, clock: Arc<dyn Clock>) -> Self {
        let enforced = EnforcedConfig::new(builtin, clock.now_us());
        Self {
            clock,
            enforced: Mutex::new(enforced),
        }
    }

    /// See [`EnforcedConfig::offer`].
    pub fn offer(&self, config: &Arc<Config>) -> OfferResult {
        let result = self.enforced.lock().offer(config, self.clock.now_us());
        if let OfferResult::Adopted { from } = result {
            tracing::info!(%from, revision = %config.revision, "configuration in force");
        }
        result
    }

    /// See [`EnforcedConfig::mark_authoritative`].
    pub fn mark_authoritative(&self) {
        self.enforced.lock().mark_authoritative();
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(self.enforced.lock().config())
    }

    /// Copy of the state.
    pub fn enforced(&self) -> EnforcedConfig {
        self.enforced.lock().clone()
    }

    /// See [`EnforcedConfig::is_authoritative`].
    pub fn is_authoritative(&self) -> bool {
        self.enforced.lock().is_authoritative()
    }

    /// See [`EnforcedConfig::may_serve`].
    pub fn may_serve(&self) -> bool {
        self.enforced.lock().may_serve(self.clock.now_us())
    }
}

impl Debug for LiveConfig {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("LiveConfig")
            .field("enforced", &self.enforced)
            .finish_non_exhaustive()
    }
}
