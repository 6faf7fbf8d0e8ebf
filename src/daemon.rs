//! One daemon process: its parts, tasks and end.

use {
    crate::{
        announce,
        backend::HttpBackend,
        call::Serve,
        clock::{Clock, SystemClock},
        config::Config,
        control::{enforced::Live, reader},
        directory::FleetDirectory,
        fleet::{
            Fleet, FleetRules,
            member::Generation,
            route::{RouteRules, Router},
            udp::Gossip,
        },
        ingress::Ingress,
        local::Loss,
        metrics::Metrics,
        node::{Node, Parts},
        operators,
        rpc::{client, server},
        settings::{Settings, StoreKind},
        store::{Store, http::HttpStore, memory::MemoryStore},
        supervisor::{Supervisor, TaskError},
        sync::{self, View},
    },
    async_io::Timer,
    async_std::{net::TcpListener, task},
    futures::FutureExt,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{sync::Arc, thread, time::Duration},
};

/// Interval at which queues, drains and worker lapses are looked at.
const TICK_MS: u64 = 10;

/// Runs a daemon until it is told to end or cannot go on.
///
/// # Errors
///
/// Fails with the task that could not be kept running.
pub fn run(settings: Settings) -> Result<(), TaskError> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let metrics = Arc::new(open_metrics(&settings)?);
    let (peers, client_task) = client::client(settings.listen.calls_addr.ip());
    let store = open_store(&settings, &clock);
    let config = match settings.store {
        StoreKind::Memory => Config::standalone(),
        StoreKind::Http(_) => Config::initial(),
    };
    let live = Arc::new(Live::new(config, Arc::clone(&clock)));
    let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
    let generation = Generation::starting(clock.now_unix_ms(), rng.random());
    let fleet = Fleet::new(
        FleetRules::default(),
        settings.place.clone(),
        generation,
        rng.random(),
    );
    let fleet = Arc::new(Mutex::new(fleet));
    fleet.lock().join(&settings.seeds);
    let router = Router::new(RouteRules::default());
    let directory = FleetDirectory::new(Arc::clone(&fleet), router, rng.clone());
    let gossip = task::block_on(Gossip::bind(
        settings.listen.gossip_addr,
        Arc::clone(&fleet),
        Arc::clone(&clock),
    ))
    .map_err(|error| TaskError::new("gossip", &error))?;
    let node = Node::new(Parts {
        backend: Arc::new(HttpBackend::new(settings.limits.max_body_bytes)),
        settings,
        clock,
        metrics,
        peers: Arc::new(peers),
        directory: Arc::new(directory),
        store,
        live,
        seed: rng.random(),
    });
    start_calls(Arc::clone(&node), client_task)?;
    tracing::info!(daemon = %node.settings.place.name, "started");
    Err(task::block_on(supervise(&node, &fleet, gossip).run()))
}

fn open_metrics(settings: &Settings) -> Result<Metrics, TaskError> {
    match &settings.metrics {
        None => Ok(Metrics::local()),
        Some(sink) => Metrics::statsd(sink).map_err(|error| TaskError::new("metrics", &error)),
    }
}

fn open_store(settings: &Settings, clock: &Arc<dyn Clock>) -> Arc<dyn Store> {
    match settings.store {
        StoreKind::Memory => Arc::new(MemoryStore::new(Arc::clone(clock))),
        StoreKind::Http(addr) => Arc::new(HttpStore::new(addr)),
    }
}

/// Starts the thread that capnp-rpc's objects live on.
fn start_calls(node: Arc<Node>, client_task: client::ClientTask) -> Result<(), TaskError> {
    let addr = node.settings.listen.calls_addr;
    let listener =
        task::block_on(TcpListener::bind(addr)).map_err(|error| TaskError::new("calls", &error))?;
    let serve: Arc<dyn Serve> = Arc::new(node);
    let work = move || {
        task::block_on(async move {
            let listening = task::spawn_local(server::listen(listener, serve));
            client_task.run().await;
            listening.cancel().await;
        });
    };
    thread::Builder::new()
        .name("calls".to_owned())
        .spawn(work)
        .map_err(|error| TaskError::new("calls", &error))?;
    Ok(())
}

/// Builds the tree of tasks.
fn supervise(node: &Arc<Node>, fleet: &Arc<Mutex<Fleet>>, gossip: Gossip) -> Supervisor {
    let mut root = Supervisor::new(Arc::clone(&node.metrics));
    let listen = node.settings.listen;
    let ingress = Ingress::new(
        Arc::new(Arc::clone(node)),
        Arc::clone(&node.metrics),
        node.settings.limits,
    );
    root.add("ingress", move || {
        let ingress = Arc::clone(&ingress);
        ingress
            .listen(listen.callers_addr)
            .map(|ended| named("ingress", ended))
    });
    let worker_node = Arc::clone(node);
    root.add("announce", move || {
        let node = Arc::clone(&worker_node);
        announce::listen(listen.worker_addr, node).map(|ended| named("announce", ended))
    });
    let operator_node = Arc::clone(node);
    root.add("operators", move || {
        let operate = Arc::new(Arc::clone(&operator_node));
        let token = operator_node.settings.token.clone();
        operators::listen(listen.operators_addr, operate, token)
            .map(|ended| named("operators", ended))
    });
    let ticking_node = Arc::clone(node);
    root.add("tick", move || tick(Arc::clone(&ticking_node)));
    root.add("gossip", move || sync::gossip(gossip.clone()));
    let pair = (Arc::clone(node), Arc::clone(fleet));
    let (publish, follow, seek) = (pair.clone(), pair.clone(), pair);
    root.add("publish", move || {
        sync::publish(Arc::clone(&publish.0), Arc::clone(&publish.1))
    });
    root.add("follow", move || {
        sync::follow(Arc::clone(&follow.0), Arc::clone(&follow.1))
    });
    root.add("seek", move || {
        sync::seek(Arc::clone(&seek.0), Arc::clone(&seek.1))
    });
    let (reading, view) = (Arc::clone(node), Arc::clone(fleet));
    root.add("reader", move || {
        read_config(Arc::clone(&reading), Arc::clone(&view))
    });
    root
}

fn named(task: &'static str, ended: std::io::Result<()>) -> Result<(), TaskError> {
    ended.map_err(|error| TaskError::new(task, &error))
}

/// Reads the configuration from the store, as far as this daemon is in charge of it.
async fn read_config(node: Arc<Node>, fleet: Arc<Mutex<Fleet>>) -> Result<(), TaskError> {
    let own = node.settings.place.name.clone();
    let (store, live) = (Arc::clone(&node.store), Arc::clone(&node.live));
    let seed = node.rng.lock().random();
    reader::run(
        own,
        store,
        live,
        Arc::new(View(fleet)),
        Arc::clone(&node.clock),
        seed,
    )
    .await;
    Ok(())
}

async fn tick(node: Arc<Node>) -> Result<(), TaskError> {
    loop {
        Timer::after(Duration::from_millis(TICK_MS)).await;
        node.tick();
    }
}

impl Node {
    /// Lets time pass for the local worker.
    fn tick(&self) {
        let now = self.now();
        let stop_limit_ms = self.config().rules.stop_limit_ms;
        let mut local = self.local.lock();
        let mut actions = Vec::new();
        local.gate.tick(now.us, &mut actions);
        local.apply(actions);
        let drain_actions = local.drain.tick(stop_limit_ms, now.us);
        local.drain_actions.extend(drain_actions);
        let lapsed = local
            .worker
            .as_ref()
            .filter(|worker| worker.has_lapsed(now.us));
        if let Some(incarnation) = lapsed.map(|worker| worker.incarnation) {
            local.lose_worker(incarnation, Loss::Silence, now);
            self.metrics.count("worker.silent");
            tracing::warn!(%incarnation, "backend server has fallen silent");
        }
    }
}
