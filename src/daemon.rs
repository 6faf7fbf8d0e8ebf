//! One daemon process: construction, run and shutdown.

use {
    crate::{
        ask::executor::Executor,
        backend::HttpBackend,
        clock::{Clock, SystemClock},
        config::Config,
        control::{committer::Committer, enforced::LiveConfig},
        directory::FleetDirectory,
        dump::Dump,
        fleet::{
            Fleet, FleetRules,
            member::Generation,
            route::{RouteRules, Router},
            udp::Gossip,
        },
        metrics::Metrics,
        node::{Node, NodeParts},
        rpc::client,
        settings::{Settings, StoreKind},
        store::{Store, http::HttpStore, memory::MemoryStore},
        supervisor::TaskError,
        sync::FleetView,
        tasks::{Tasks, supervise},
        view::NodeView,
    },
    async_global_executor::GlobalExecutorConfig,
    async_std::task,
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{io, sync::Arc, thread},
};

/// Runs a daemon until it is asked to end or a task has failed too often.
///
/// All requests are handled on the current thread: at the request rate of one daemon, passing them
/// between threads costs more than it gains.
///
/// # Errors
///
/// Fails if a part of the daemon cannot be set up, or with the error of the task that failed too
/// often.
pub fn run(settings: Settings) -> Result<(), TaskError> {
    async_global_executor::init_with_config(
        GlobalExecutorConfig::default()
            .with_min_threads(1)
            .with_max_threads(1),
    );
    let tasks = build(settings)?;
    let node = Arc::clone(&tasks.node);
    let gossip = tasks.gossip.clone();
    let (exit, exited) = oneshot::channel();
    node.local.lock().exit = Some(exit);
    watch_signals(Arc::clone(&node)).map_err(|error| TaskError::new("signals", &error))?;
    tracing::info!(daemon = %node.settings.place.name, "started");
    task::block_on(async {
        let tree = Box::pin(supervise(tasks).run());
        match select(tree, exited).await {
            Either::Left((fault, _)) => Err(fault),
            Either::Right(_) => {
                gossip.leave().await;
                tracing::info!(daemon = %node.settings.place.name, "ended");
                Ok(())
            }
        }
    })
}

/// Creates all parts of the daemon without running them.
fn build(settings: Settings) -> Result<Tasks, TaskError> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let metrics = Arc::new(open_metrics(&settings)?);
    let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
    let (peers, client_task) = client::client(settings.listen.calls_addr.ip());
    let store = open_store(&settings, &clock);
    let live_config = Arc::new(LiveConfig::new(first_config(&settings), Arc::clone(&clock)));
    let fleet = open_fleet(&settings, clock.as_ref(), &mut rng);
    let gossip = open_gossip(&settings, &fleet, &clock)?;
    let router = Router::new(RouteRules::default());
    let directory = Arc::new(FleetDirectory::new(
        Arc::clone(&fleet),
        router,
        ChaCha8Rng::from_rng(&mut rng),
    ));
    let committer = Committer::new(
        Arc::clone(&store),
        Arc::clone(&live_config),
        Arc::new(FleetView(Arc::clone(&fleet))),
        Arc::clone(&clock),
    );
    let token = settings.token.clone();
    let node = Node::new(NodeParts {
        backend: Arc::new(HttpBackend::new(settings.limits.max_body_bytes)),
        settings,
        clock,
        metrics,
        peers: Arc::new(peers),
        directory: Arc::clone(&directory) as _,
        store,
        live_config,
        seed: rng.random(),
    });
    let view = NodeView {
        node: Arc::clone(&node),
        fleet: Arc::clone(&fleet),
    };
    let executor = Arc::new(Executor::new(Arc::new(view), Arc::new(committer), token));
    let dump = Arc::new(Dump {
        node: Arc::clone(&node),
        fleet: Arc::clone(&fleet),
        directory: Arc::clone(&directory),
        gossip: gossip.clone(),
    });
    Ok(Tasks {
        node,
        fleet,
        gossip,
        directory,
        executor,
        dump,
        client_task,
    })
}

fn first_config(settings: &Settings) -> Config {
    match settings.store {
        StoreKind::Memory => Config::standalone(),
        StoreKind::Http(_) => Config::initial(),
    }
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

fn open_fleet(settings: &Settings, clock: &dyn Clock, rng: &mut ChaCha8Rng) -> Arc<Mutex<Fleet>> {
    let generation = Generation::starting(clock.now_unix_ms(), rng.random());
    let place = settings.place.clone();
    let mut fleet = Fleet::new(FleetRules::default(), place, generation, rng.random());
    fleet.join(&settings.seeds);
    Arc::new(Mutex::new(fleet))
}

fn open_gossip(
    settings: &Settings,
    fleet: &Arc<Mutex<Fleet>>,
    clock: &Arc<dyn Clock>,
) -> Result<Gossip, TaskError> {
    let bound = Gossip::bind(
        settings.listen.gossip_addr,
        Arc::clone(fleet),
        Arc::clone(clock),
    );
    task::block_on(bound).map_err(|error| TaskError::new("gossip", &error))
}

/// Starts a drain when the process gets SIGTERM or SIGINT.
fn watch_signals(node: Arc<Node>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let drain_on_signal = move || {
        for _ in signals.forever() {
            tracing::info!("signal received, draining");
            node.update_drain(|requests| requests.daemon = true);
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(drain_on_signal)?;
    Ok(())
}
