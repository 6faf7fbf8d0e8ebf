//! Daemon on the users' platform: forwards clients' requests to workers and returns the answers.
//!
//! [`ingress`] serves clients' connections. [`forward`] finds the route of a request, applies
//! admission control and chooses a worker from the [`directory`]. A [`link`] carries the call to
//! the daemon beside that worker, whose [`gate`] alone decides what runs there. [`gossip`] keeps the
//! directory up to date. [`registry`] maintains the daemon's entry in the platform's store, through
//! which started daemons find each other, and watches the configuration. Everything runs on one
//! thread.

pub mod conn;
pub mod crash;
pub mod cursor;
pub mod daemon;
pub mod directory;
mod edge;
pub mod entry;
pub mod era;
pub mod forward;
pub mod frame;
pub mod gate;
pub mod gossip;
pub mod http;
pub mod ingress;
pub mod known_worker;
pub mod lag;
pub mod latency;
pub mod link;
pub mod organisations;
pub mod peers;
pub mod pool;
pub mod ports;
pub mod protocol;
pub mod quota;
pub mod registry;
pub mod routes;
pub mod runtime;
pub mod segments;
mod sends;
pub mod settings;
pub mod startup;
pub mod work;

use {
    crate::{
        collections::HashMap,
        config::{Config, Revision},
        fleet::{Fleet, member::Generation},
        logs::STATE,
        metrics::Metrics,
        place::Place,
        policy::{
            admission::Admission, circuit_breaker::CircuitBreakers, gate::Gate,
            retry_budget::RetryBudget, shed::GateRules,
        },
        request::ServiceName,
    },
    crash::CrashTracker,
    directory::Directory,
    event_listener::Event,
    frame::Message,
    gate::LocalGate,
    lag::ConfigRequests,
    latency::Latencies,
    link::{Link, Outbox},
    pool::Pool,
    protocol::{PlatformStore, Protocol},
    quota::Quotas,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    registry::Registry,
    routes::{ClientLimits, ConfigVersion, RouteTable, WeightedRoundRobin},
    runtime::now_us,
    settings::MeshSettings,
    startup::Startup,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::{Rc, Weak},
    },
    tokio::net::UdpSocket,
};

/// Longest time after SIGTERM during which clients' requests are still accepted. The platform needs
/// two readiness probes, one second apart, to detect that the daemon is not ready; clients send
/// requests until then.
const ACCEPT_AFTER_STOP_MAX_MS: u64 = 2_500;

/// Part of a short grace time during which requests are accepted, as a divisor. The rest is for
/// their answers.
const ACCEPT_AFTER_STOP_DIVISOR: u64 = 2;

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
    /// Origin of the configuration in force.
    config_source: Cell<Option<ConfigSource>>,
    /// Requests to peers for newer configurations.
    config_requests: RefCell<ConfigRequests>,
    /// Choice of a service for each request, by the weights of its route.
    pub round_robin: RefCell<WeightedRoundRobin>,
    /// Daemons of the deployment and their workers.
    pub fleet: RefCell<Fleet>,
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
    /// Socket for datagrams to other daemons, once it is bound.
    datagrams: RefCell<Option<Rc<UdpSocket>>>,
    /// Quotas of organisations.
    pub quotas: Quotas,
    /// Requests suspected of crashing workers.
    pub crashes: CrashTracker,
    /// Synchronisation with the store.
    pub registry: Registry,
    /// What is known since the start.
    pub startup: RefCell<Startup>,
    /// Random number generator, seeded by [`Parts::seed`].
    pub rng: RefCell<ChaCha8Rng>,
    /// Open client connections.
    pub clients: Cell<usize>,
    /// Client requests that have not been answered yet.
    pub in_progress: Cell<usize>,
    stopping_since_us: Cell<Option<u64>>,
    /// Notified when the daemon ends and open requests are given up.
    ending: Event,
}

/// Origin of a configuration document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum ConfigSource {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another daemon.
    #[display("peer")]
    Peer,
}

impl ConfigSource {
    /// Name of the counter of versions that came into force from this source.
    fn counter(self) -> &'static str {
        match self {
            Self::Store => "config.from_store",
            Self::Peer => "config.from_peer",
        }
    }
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
        let place = Place {
            name: settings.name.clone(),
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
            call_addr: settings.calls_addr,
            gossip_addr: settings.calls_addr,
        };
        let generation = Generation::starting(started_unix_ms, rng.random());
        let fleet = Fleet::new(gossip::rules(), place, generation, rng.random());
        let quotas = Quotas::new(settings.quota, fleet.local_member(), now_us());
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
            config_source: Cell::new(None),
            config_requests: RefCell::default(),
            round_robin: RefCell::default(),
            fleet: RefCell::new(fleet),
            directory: RefCell::new(directory),
            links: RefCell::default(),
            inbound: RefCell::default(),
            admission: RefCell::default(),
            circuit_breakers: RefCell::default(),
            retry_budgets: RefCell::default(),
            datagrams: RefCell::default(),
            quotas,
            crashes: CrashTracker::new(),
            registry: Registry::default(),
            startup: RefCell::default(),
            rng: RefCell::new(rng),
            clients: Cell::new(0),
            in_progress: Cell::new(0),
            stopping_since_us: Cell::new(None),
            ending: Event::new(),
        })
    }

    /// Returns whether the daemon is ready to serve clients.
    pub fn is_ready(&self) -> bool {
        let own = Revision(self.config_version().0);
        let newest = self
            .fleet
            .borrow()
            .newest_config()
            .map(|newest| newest.revision);
        let mut startup = self.startup.borrow_mut();
        !self.is_stopping()
            && self.routes.borrow().is_some()
            && startup.is_settled(own, newest, now_us())
    }

    /// Returns whether the daemon is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since_us.get().is_some()
    }

    /// Returns whether new client requests are accepted. A stopping daemon accepts them for a short
    /// time and then refuses them, as it may exit before it can answer.
    pub fn accepts_requests(&self, now_us: u64) -> bool {
        let share_ms = self.settings.usable_grace_ms() / ACCEPT_AFTER_STOP_DIVISOR;
        let accept_us = share_ms.min(ACCEPT_AFTER_STOP_MAX_MS) * 1_000;
        let since_us = self.stopping_since_us.get();
        since_us.is_none_or(|since_us| now_us.saturating_sub(since_us) < accept_us)
    }

    /// Starts the shutdown: the gate stops accepting requests, and those in flight continue.
    pub fn stop(self: &Rc<Self>, now_us: u64) {
        self.stopping_since_us.set(Some(now_us));
        self.gate.borrow_mut().stop(now_us);
        self.resign_quotas(now_us);
        self.publish();
    }

    /// Gives up all open client requests; they are answered at once.
    pub fn give_up_requests(&self) {
        self.ending.notify(usize::MAX);
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

    /// Returns the link to the daemon at an address, creating it if necessary.
    pub fn link(&self, addr: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        Rc::clone(links.entry(addr).or_insert_with(|| Link::new(addr)))
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

    /// Registers the outbox of a connection that another daemon opened.
    pub fn add_inbound(&self, outbox: &Rc<Outbox>) {
        self.inbound.borrow_mut().push(Rc::downgrade(outbox));
    }

    /// Applies a configuration document and returns whether it is now in force. A malformed one, or
    /// one that is not newer than the configuration in force, is ignored.
    pub fn apply_config(self: &Rc<Self>, document: &[u8], source: ConfigSource) -> bool {
        let table = match self.protocol.decode_config(document) {
            Ok(table) => table,
            Err(error) => {
                self.metrics.count("config.refused");
                tracing::warn!(target: STATE, %error, %source, in_force = %self.config_version(),
                    "malformed configuration ignored");
                return false;
            }
        };
        let in_force = self.config_version();
        if self.routes.borrow().is_some() && table.version <= in_force {
            return false;
        }
        tracing::info!(target: STATE, version = %table.version, replaced = %in_force, %source,
            routes = table.len(), organisations = table.organisations.len(), bytes = document.len(), "configuration in force");
        self.metrics.count(source.counter());
        self.fleet
            .borrow_mut()
            .set_revision(Revision(table.version.0));
        self.quotas.apply(&table.organisations);
        *self.routes.borrow_mut() = Some(Rc::new(table));
        *self.config_document.borrow_mut() = document.to_vec();
        self.config_source.set(Some(source));
        true
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
            Message::Config => {
                self.apply_config(payload, ConfigSource::Peer);
            }
            Message::Crashes(crashes) => self.merge_crashes(crashes),
            Message::Call(..) | Message::Reply(..) | Message::Cancel(_) => {
                self.metrics.count("peers.unexpected");
            }
        }
    }

    fn compare_version(&self, version: u64, outbox: &Outbox) {
        if self.is_config_request_due(Revision(version), now_us()) {
            outbox.push(&Message::ConfigWanted, &[]);
        }
    }

    /// Returns whether to ask the peer that has reported a configuration for it now.
    fn is_config_request_due(&self, reported: Revision, now_us: u64) -> bool {
        let in_force = Revision(self.config_version().0);
        let source = self.config_source.get();
        let mut requests = self.config_requests.borrow_mut();
        requests.is_due(in_force, source, reported, now_us)
    }
}
