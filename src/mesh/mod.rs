//! Daemon on the platform: the way of a request from a client to a worker and back.
//!
//! A client's connection ends in [`ingress`]; [`forward`] finds the route, asks for admission and
//! chooses a worker from the [`directory`]; a [`link`] carries the call to the daemon beside that
//! worker, whose [`gate`] alone decides what runs there. [`registry`] keeps the daemon's entry in
//! the platform's store and follows the others and the configuration. All of it runs on one thread.

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
    crash::Crashes,
    directory::{Announcement, Directory},
    frame::Message,
    gate::LocalGate,
    latency::Latencies,
    link::{Link, Outbox},
    pool::Pool,
    protocol::{Catalog, Protocol},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    registry::Registry,
    routes::{ClientLimits, ConfigVersion, RouteTable, Splitter},
    runtime::now_us,
    settings::MeshSettings,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::{Rc, Weak},
    },
};

/// Time after SIGTERM for which clients' requests are taken: the platform needs two questions a
/// second apart to see that the daemon is not ready, and its clients send until then.
const LAST_REQUEST_MS: u64 = 2_500;

/// State of one daemon.
pub struct Mesh {
    /// Settings of the process.
    pub settings: MeshSettings,
    /// Meaning of the platform's messages.
    pub protocol: Rc<dyn Protocol>,
    /// The platform's store.
    pub catalog: Rc<dyn Catalog>,
    /// Counters.
    pub metrics: Metrics,
    /// Latency histograms.
    pub latencies: Latencies,
    /// Configuration in force.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// Its document, for daemons that cannot reach the store.
    config_document: RefCell<Vec<u8>>,
    /// Order of the parts of each route.
    pub splitter: RefCell<Splitter>,
    /// Workers of all services.
    pub directory: RefCell<Directory>,
    /// Links to other daemons.
    pub links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// Sending sides of the links that other daemons made to this one.
    inbound: RefCell<Vec<Weak<Outbox>>>,
    /// The local worker's gate.
    pub gate: RefCell<LocalGate>,
    /// Connections to the local worker.
    pub pool: Pool,
    /// Admission of callers' requests.
    pub admission: RefCell<Admission>,
    /// Classes of requests that cannot succeed at present.
    pub prospects: RefCell<CircuitBreakers>,
    /// Extra sends to each service.
    pub allowances: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Requests that crash workers.
    pub crashes: Crashes,
    /// The daemon's share in the store.
    pub registry: Registry,
    /// Randomness.
    pub rng: RefCell<ChaCha8Rng>,
    /// Open client connections.
    pub clients: Cell<usize>,
    /// Client requests that are not answered yet.
    pub in_progress: Cell<usize>,
    /// Whether the entries of the daemons have been read once.
    pub is_directory_known: Cell<bool>,
    /// Whether the own entry has vanished from the store.
    pub is_entry_missing: Cell<bool>,
    stopping_since_us: Cell<Option<u64>>,
    born_unix_ms: u64,
    announced: RefCell<Announcement>,
}

/// What a daemon is made of.
pub struct Parts {
    /// Settings of the process.
    pub settings: MeshSettings,
    /// Meaning of the platform's messages.
    pub protocol: Rc<dyn Protocol>,
    /// The platform's store.
    pub catalog: Rc<dyn Catalog>,
    /// Start of the process on the wall clock.
    pub born_unix_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Mesh {
    /// Puts a daemon together; nothing runs yet.
    pub fn new(parts: Parts) -> Rc<Self> {
        let Parts {
            settings,
            protocol,
            catalog,
            born_unix_ms,
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
            daemon_born_unix_ms: born_unix_ms,
            sequence: 0,
            addr: settings.calls_addr,
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            worker: None,
            left: Vec::new(),
        };
        Rc::new(Self {
            gate: RefCell::new(LocalGate::new(Gate::new(rules, rng.random()))),
            pool: Pool::new(Rc::clone(&protocol)),
            settings,
            protocol,
            catalog,
            metrics: Metrics::local(),
            latencies: Latencies::default(),
            routes: RefCell::default(),
            config_document: RefCell::default(),
            splitter: RefCell::default(),
            directory: RefCell::new(directory),
            links: RefCell::default(),
            inbound: RefCell::default(),
            admission: RefCell::default(),
            prospects: RefCell::default(),
            allowances: RefCell::default(),
            crashes: Crashes::new(),
            registry: Registry::default(),
            rng: RefCell::new(rng),
            clients: Cell::new(0),
            in_progress: Cell::new(0),
            is_directory_known: Cell::new(false),
            is_entry_missing: Cell::new(false),
            stopping_since_us: Cell::new(None),
            born_unix_ms,
            announced: RefCell::new(announced),
        })
    }

    /// Tells whether the daemon takes clients.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.borrow().is_some() && self.is_directory_known.get()
    }

    /// Tells whether the daemon is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since_us.get().is_some()
    }

    /// Tells whether new requests of clients are taken. A stopping daemon takes them for a while,
    /// and refuses later ones, as it may not live to answer them.
    pub fn takes_requests(&self, now_us: u64) -> bool {
        let since_us = self.stopping_since_us.get();
        since_us.is_none_or(|since_us| now_us.saturating_sub(since_us) < LAST_REQUEST_MS * 1_000)
    }

    /// Takes no new work; what is under way goes on.
    pub fn stop(self: &Rc<Self>, now_us: u64) {
        self.stopping_since_us.set(Some(now_us));
        self.gate.borrow_mut().stop(now_us);
        self.publish();
    }

    /// Requests and calls under way.
    pub fn in_hand(&self) -> usize {
        self.in_progress.get() + self.gate.borrow().in_hand()
    }

    /// Version of the configuration in force; zero if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map(|table| table.version)
            .unwrap_or_default()
    }

    /// Bounds on clients.
    pub fn client_limits(&self) -> ClientLimits {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map(|table| table.limits)
            .unwrap_or_default()
    }

    /// What others are to know of this daemon.
    pub fn own_announcement(&self) -> Announcement {
        self.announced.borrow().clone()
    }

    /// Link to the daemon at an address.
    pub fn link(&self, addr: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        Rc::clone(links.entry(addr).or_insert_with(|| Link::new(addr)))
    }

    /// Tells the others and the store of a change of the local worker.
    pub fn publish(&self) {
        let (worker, left) = {
            let gate = self.gate.borrow();
            (gate.worker_state(), gate.departed())
        };
        let announcement = {
            let mut announced = self.announced.borrow_mut();
            let is_known = announced.worker == worker && announced.left == left;
            if is_known && announced.sequence > 0 {
                return;
            }
            announced.worker = worker;
            announced.left = left;
            announced.sequence += 1;
            announced.clone()
        };
        self.learn(announcement.clone(), "self");
        self.registry.wake();
        self.tell_all(&Message::Announce(announcement));
    }

    /// Tells all daemons that a connection exists to, whichever side made it.
    pub fn tell_all(&self, message: &Message) {
        for link in self.links.borrow().values() {
            link.tell(message);
        }
        self.inbound.borrow_mut().retain(|outbox| {
            let outbox = outbox.upgrade();
            outbox.inspect(|outbox| outbox.push(message, &[])).is_some()
        });
    }

    /// Takes the sending side of a link that another daemon made.
    pub fn add_inbound(&self, outbox: &Rc<Outbox>) {
        outbox.push(&Message::Announce(self.own_announcement()), &[]);
        self.inbound.borrow_mut().push(Rc::downgrade(outbox));
    }

    /// Takes what a daemon says of itself.
    pub fn learn(&self, announcement: Announcement, source: &'static str) {
        if announcement.vm == self.settings.name
            && announcement.daemon_born_unix_ms != self.born_unix_ms
        {
            self.succeed(&announcement);
            return;
        }
        let vm = announcement.vm.clone();
        let worker = announcement.worker.clone();
        if self.directory.borrow_mut().learn(announcement) {
            let service = worker.as_ref().map(|worker| worker.service.as_str());
            let life = worker.as_ref().map(|worker| worker.life.to_string());
            tracing::info!(%vm, source, service, worker = life, "worker of a VM changed");
        }
    }

    /// Takes over the departures that this VM's previous daemon has acknowledged.
    fn succeed(&self, previous: &Announcement) {
        for life in previous.left.iter().rev() {
            let mut gate = self.gate.borrow_mut();
            let change = gate.leave(&life.id, Some(life.born_unix_ms), now_us());
            tracing::info!(worker = %life, ?change, "departure known from the daemon before");
        }
        if !previous.left.is_empty() {
            self.publish();
        }
    }

    /// Takes a configuration document; one that is older or malformed changes nothing.
    pub fn take_config(self: &Rc<Self>, document: &[u8], source: &'static str) {
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
        self.tell_all(&Message::Ping(version.0));
    }

    /// Takes a message that belongs to no call.
    pub fn heard(self: &Rc<Self>, message: Message, payload: &[u8], outbox: &Outbox) {
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
            Message::Config => self.take_config(payload, "peer"),
            Message::Announce(announcement) => self.learn(announcement, "peer"),
            Message::Deaths(deaths) => self.learn_deaths(deaths),
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
