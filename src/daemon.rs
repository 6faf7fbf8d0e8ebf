//! One daemon process: its parts, tasks and end.

use {
    crate::{
        announce,
        backend::HttpBackend,
        call::Serve,
        clock::{Clock, SystemClock},
        config::Config,
        control::enforced::Live,
        directory::Directory,
        ingress::Ingress,
        local::Loss,
        metrics::Metrics,
        node::{Node, Parts},
        operators,
        rpc::{client, server},
        settings::{Settings, StoreKind},
        store::{Store, http::HttpStore, memory::MemoryStore},
        supervisor::{Supervisor, TaskError},
    },
    async_io::Timer,
    async_std::{net::TcpListener, task},
    futures::FutureExt,
    rand::RngExt,
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
    let directory: Arc<dyn Directory> = Arc::new(crate::directory::Solo);
    let node = Node::new(Parts {
        backend: Arc::new(HttpBackend::new(settings.limits.max_body_bytes)),
        settings,
        clock,
        metrics,
        peers: Arc::new(peers),
        directory,
        store,
        live,
        seed: rand::rng().random(),
    });
    start_calls(Arc::clone(&node), client_task)?;
    tracing::info!(daemon = %node.settings.place.name, "started");
    Err(task::block_on(supervise(&node).run()))
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
fn supervise(node: &Arc<Node>) -> Supervisor {
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
    root
}

fn named(task: &'static str, ended: std::io::Result<()>) -> Result<(), TaskError> {
    ended.map_err(|error| TaskError::new(task, &error))
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
