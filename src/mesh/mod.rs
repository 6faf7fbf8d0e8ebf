//! Daemon on the users' platform: forwards clients' requests to workers and returns the answers.
//!
//! [`ingress`] serves clients' connections. [`forward`] finds the route of a request, applies
//! admission control and chooses a worker from the [`directory`]. A [`link`] carries the call to
//! the daemon beside that worker, whose [`gate`] alone decides what runs there. [`registry`]
//! maintains the daemon's entry in the platform's store and watches the other entries and the
//! configuration. Everything runs on one thread.

pub mod conn;
pub mod crash;
pub mod daemon;
pub mod directory;
mod edge;
pub mod forward;
pub mod frame;
pub mod gate;
pub mod http;
pub mod ingress;
pub mod latency;
pub mod link;
pub mod peers;
pub mod pool;
pub mod ports;
pub mod protocol;
pub mod registry;
pub mod routes;
pub mod runtime;
mod sends;
pub mod settings;

use {
    crate::{
        collections::HashMap,
        config::Config,
        metrics::Metrics,
        policy::{
            admission::Admission, circuit_breaker::CircuitBreakers, gate::Gate,
            retry_budget::RetryBudget, shed::GateRules,
        },
        request::ServiceName,
    },
    crash::CrashTracker,
    directory::{Announcement, Directory},
    frame::Message,
    gate::LocalGate,
    latency::Latencies,
    link::{Link, Outbox},
    pool::Pool,
    protocol::{PlatformStore, Protocol},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    registry::Registry,
    routes::{ClientLimits, ConfigVersion, RouteTable, WeightedRoundRobin},
    runtime::now_us,
    settings::MeshSettings,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::{Rc, Weak},
    },
};

/// Time after SIGTERM during which clients' requests are still accepted. The platform needs two
/// readiness probes, one second apart, to detect that the daemon is not ready; clients send
/// requests until then.
const ACCEPT_AFTER_STOP_MS: u64 = 2_500;

/// State of one daemon.
pub struct Mesh {
    /// Settings of the process.
    pub settings: MeshSettings,
    /// Decoder and encoder of the platform's messages.
    pub protocol: Rc<dyn Protocol>,
    /// The platform's store.
    pub store: Rc<dyn PlatformStore>,
    /// Counters.
    pub metrics: Metrics,
    /// Latency histograms.
    pub latencies: Latencies,
    /// Configuration in force.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// Document of the configuration in force, for peers that cannot reach the store.
    config_document: RefCell<Vec<u8>>,
    /// Choice of a service for each request, by the weights of its route.
    pub round_robin: RefCell<WeightedRoundRobin>,
    /// Workers of all services.
    pub directory: RefCell<Directory>,
    /// Links to other daemons.
    pub links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// Outboxes of the connections that other daemons opened to this one.
    inbound: RefCell<Vec<Weak<Outbox>>>,
    /// The local worker's gate.
    pub gate: RefCell<LocalGate>,
    /// Connections to the local worker.
    pub pool: Pool,
    /// Admission control of clients' requests.
    pub admission: RefCell<Admission>,
    /// Request classes whose downstream calls currently fail.
    pub circuit_breakers: RefCell<CircuitBreakers>,
    /// Retry budget of each service.
    pub retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Requests suspected of crashing workers.
    pub crashes: CrashTracker,
    /// Store connectivity and entries missing from the store.
    pub registry: Registry,
    /// Random number generator, seeded by [`Parts::seed`].
    pub rng: RefCell<ChaCha8Rng>,
    /// Open client connections.
    pub clients: Cell<usize>,
    /// Client requests that have not been answered yet.
    pub in_progress: Cell<usize>,
    /// Whether the daemons' entries have been read from the store at least once.
    pub is_directory_loaded: Cell<bool>,
    /// Whether this daemon's entry is missing from the store.
    pub is_own_entry_missing: Cell<bool>,
    stopping_since_us: Cell<Option<u64>>,
    started_unix_ms: u64,
    announced: RefCell<Announcement>,
}

/// Inputs for building a [`Mesh`].
pub struct Parts {
    /// Settings of the process.
    pub settings: MeshSettings,
    /// Decoder and encoder of the platform's messages.
    pub protocol: Rc<dyn Protocol>,
    /// The platform's store.
    pub store: Rc<dyn PlatformStore>,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Mesh {
    /// Builds a daemon without starting any task.
    pub fn new(parts: Parts) -> Rc<Self> {
        let Parts {
            settings,
            protocol,
            store,
            started_unix_ms,
            seed,
        } = parts;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rules = GateRules::new(Config::default().rules.recovery_weight_percent);
        let directory = Directory::new(
            settings.data_centre.clone(),
            settings.region.clone(),
            rng.random(),
        );
        let announced = Announcement {
            vm: settings.name.clone(),
            daemon_started_unix_ms: started_unix_ms,
            sequence: 0,
            addr: settings.calls_addr,
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            worker: None,
            departed: Vec::new(),
        };
        Rc::new(Self {
            gate: RefCell::new(LocalGate::new(Gate::new(rules, rng.random()))),
            pool: Pool::new(Rc::clone(&protocol)),
            settings,
            protocol,
            store,
            metrics: Metrics::local(),
            latencies: Latencies::default(),
            routes: RefCell::default(),
            config_document: RefCell::default(),
            round_robin: RefCell::default(),
            directory: RefCell::new(directory),
            links: RefCell::default(),
            inbound: RefCell::default(),
            admission: RefCell::default(),
            circuit_breakers: RefCell::default(),
            retry_budgets: RefCell::default(),
            crashes: CrashTracker::new(),
            registry: Registry::default(),
            rng: RefCell::new(rng),
            clients: Cell::new(0),
            in_progress: Cell::new(0),
            is_directory_loaded: Cell::new(false),
            is_own_entry_missing: Cell::new(false),
            stopping_since_us: Cell::new(None),
            started_unix_ms,
            announced: RefCell::new(announced),
        })
    }

    /// Returns whether the daemon is ready to serve clients.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.borrow().is_some() && self.is_directory_loaded.get()
    }

    /// Returns whether the daemon is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since_us.get().is_some()
    }

    /// Returns whether new client requests are accepted. A stopping daemon accepts them for a short
    /// time and then refuses them, as it may exit before it can answer.
    pub fn accepts_requests(&self, now_us: u64) -> bool {
        let since_us = self.stopping_since_us.get();
        since_us
            .is_none_or(|since_us| now_us.saturating_sub(since_us) < ACCEPT_AFTER_STOP_MS * 1_000)
    }

    /// Starts the shutdown: the gate stops accepting requests, and those in flight continue.
    pub fn stop(self: &Rc<Self>, now_us: u64) {
        self.stopping_since_us.set(Some(now_us));
        self.gate.borrow_mut().stop(now_us);
        self.publish();
    }

    /// Number of client requests in progress and of requests running or queued at the gate.
    pub fn outstanding(&self) -> usize {
        self.in_progress.get() + self.gate.borrow().outstanding()
    }

    /// Version of the configuration in force; zero if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map(|table| table.version)
            .unwrap_or_default()
    }

    /// Limits on clients' requests and connections.
    pub fn client_limits(&self) -> ClientLimits {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map(|table| table.limits)
            .unwrap_or_default()
    }

    /// Announcement of this daemon, as last published.
    pub fn own_announcement(&self) -> Announcement {
        self.announced.borrow().clone()
    }

    /// Returns the link to the daemon at an address, creating it if necessary.
    pub fn link(&self, addr: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        Rc::clone(links.entry(addr).or_insert_with(|| Link::new(addr)))
    }

    /// Publishes the state of the local worker to peers and the store if it has changed.
    pub fn publish(&self) {
        let (worker, departed) = {
            let gate = self.gate.borrow();
            (gate.worker_state(), gate.departed())
        };
        let announcement = {
            let mut announced = self.announced.borrow_mut();
            let is_published = announced.worker == worker && announced.departed == departed;
            if is_published && announced.sequence > 0 {
                return;
            }
            announced.worker = worker;
            announced.departed = departed;
            announced.sequence += 1;
            announced.clone()
        };
        self.apply_announcement(announcement.clone(), "self");
        self.registry.wake();
        self.broadcast(&Message::Announce(announcement));
    }

    /// Sends a message over all open connections to other daemons, whichever side opened them.
    pub fn broadcast(&self, message: &Message) {
        for link in self.links.borrow().values() {
            link.send_if_connected(message);
        }
        self.inbound.borrow_mut().retain(|outbox| {
            let outbox = outbox.upgrade();
            outbox.inspect(|outbox| outbox.push(message, &[])).is_some()
        });
    }

    /// Registers the outbox of a connection that another daemon opened, and sends this daemon's
    /// announcement over it.
    pub fn add_inbound(&self, outbox: &Rc<Outbox>) {
        outbox.push(&Message::Announce(self.own_announcement()), &[]);
        self.inbound.borrow_mut().push(Rc::downgrade(outbox));
    }

    /// Applies an announcement to the directory. If it is from the previous incarnation of this
    /// VM's daemon, only its departures are applied.
    pub fn apply_announcement(&self, announcement: Announcement, source: &'static str) {
        if announcement.vm == self.settings.name
            && announcement.daemon_started_unix_ms != self.started_unix_ms
        {
            self.apply_previous_departures(&announcement);
            return;
        }
        let vm = announcement.vm.clone();
        let worker = announcement.worker.clone();
        if self.directory.borrow_mut().apply_announcement(announcement) {
            let service = worker.as_ref().map(|worker| worker.service.as_str());
            let incarnation = worker.as_ref().map(|worker| worker.incarnation.to_string());
            tracing::info!(%vm, source, service, worker = incarnation, "worker of a VM changed");
        }
    }

    /// Applies the departures that the previous incarnation of this VM's daemon acknowledged.
    fn apply_previous_departures(&self, previous: &Announcement) {
        for incarnation in previous.departed.iter().rev() {
            let mut gate = self.gate.borrow_mut();
            let change = gate.leave(&incarnation.id, Some(incarnation.started_unix_ms), now_us());
            tracing::info!(worker = %incarnation, ?change,
                "applied a departure acknowledged by the previous daemon");
        }
        if !previous.departed.is_empty() {
            self.publish();
        }
    }

    /// Applies a configuration document. A malformed one, or one that is not newer than the
    /// configuration in force, is ignored.
    pub fn apply_config(self: &Rc<Self>, document: &[u8], source: &'static str) {
        let table = match self.protocol.decode_config(document) {
            Ok(table) => table,
            Err(error) => {
                self.metrics.count("config.refused");
                tracing::warn!(%error, source, in_force = %self.config_version(),
                    "malformed configuration ignored");
                return;
            }
        };
        let in_force = self.config_version();
        if self.routes.borrow().is_some() && table.version <= in_force {
            return;
        }
        tracing::info!(version = %table.version, replaced = %in_force, source,
            routes = table.len(), "configuration in force");
        let version = table.version;
        *self.routes.borrow_mut() = Some(Rc::new(table));
        *self.config_document.borrow_mut() = document.to_vec();
        self.broadcast(&Message::Ping(version.0));
    }

    /// Handles a message from a peer that is not part of a call.
    pub fn handle_message(self: &Rc<Self>, message: Message, payload: &[u8], outbox: &Outbox) {
        match message {
            Message::Ping(version) => {
                outbox.push(&Message::Pong(self.config_version().0), &[]);
                self.compare_version(version, outbox);
            }
            Message::Pong(version) => self.compare_version(version, outbox),
            Message::ConfigWanted => {
                let document = self.config_document.borrow();
                if !document.is_empty() {
                    outbox.push(&Message::Config, &[&document]);
                }
            }
            Message::Config => self.apply_config(payload, "peer"),
            Message::Announce(announcement) => self.apply_announcement(announcement, "peer"),
            Message::Crashes(crashes) => self.merge_crashes(crashes),
            Message::Call(..) | Message::Reply(..) | Message::Cancel(_) => {
                self.metrics.count("peers.unexpected");
            }
        }
    }

    fn compare_version(&self, version: u64, outbox: &Outbox) {
        if version > self.config_version().0 {
            outbox.push(&Message::ConfigWanted, &[]);
        }
    }
}
