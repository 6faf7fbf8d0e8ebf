//! State that the parts of one daemon share.

use {
    crate::{
        backend::Backend,
        call::Peers,
        clock::Clock,
        config::Config,
        directory::Directory,
        local::Local,
        metrics::Metrics,
        settings::Settings,
    },
    parking_lot::{Mutex, RwLock},
    rand::{SeedableRng, rngs::StdRng},
    std::sync::Arc,
};

/// One daemon.
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The local backend server.
    pub backend: Arc<dyn Backend>,
    /// Other daemons.
    pub peers: Arc<dyn Peers>,
    /// Workers of all services.
    pub directory: Arc<dyn Directory>,
    /// Configuration in force.
    pub config: RwLock<Arc<Config>>,
    /// State of the local worker.
    pub local: Mutex<Local>,
    /// Randomness.
    pub rng: Mutex<StdRng>,
}

/// What a node is made of.
pub struct Parts {
    /// Settings of the process.
    pub settings: Settings,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The local backend server.
    pub backend: Arc<dyn Backend>,
    /// Other daemons.
    pub peers: Arc<dyn Peers>,
    /// Workers of all services.
    pub directory: Arc<dyn Directory>,
    /// Configuration to begin with.
    pub config: Config,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Node {
    /// Puts a node together.
    pub fn new(parts: Parts) -> Arc<Self> {
        Arc::new(Self {
            settings: parts.settings,
            clock: parts.clock,
            metrics: parts.metrics,
            backend: parts.backend,
            peers: parts.peers,
            directory: parts.directory,
            config: RwLock::new(Arc::new(parts.config)),
            local: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(parts.seed)),
        })
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.read())
    }
}
