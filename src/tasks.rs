//! Tree of the long-running tasks of one daemon.

use {
    crate::{
        announce,
        ask::executor::Executor,
        call::CallHandler,
        control::reader,
        directory::FleetDirectory,
        dump::Dump,
        fleet::{Fleet, udp::Gossip},
        ingress::Ingress,
        local::WorkerLoss,
        node::Node,
        operators,
        policy::drain::DrainAction,
        rpc::{client::ClientTask, server},
        supervisor::{Supervisor, TaskError},
        sync::{self, FleetView},
    },
    async_io::Timer,
    futures::FutureExt,
    parking_lot::Mutex,
    rand::RngExt,
    std::{io, sync::Arc, time::Duration},
};

/// Interval at which the queue, the drain and the worker's announcements are checked.
const TICK_MS: u64 = 10;

/// Interval at which expired records are dropped.
const SWEEP_MS: u64 = 1_000;

/// Maximum number of records of non-idempotent requests dropped in one sweep.
const SWEEP_RECORDS: usize = 2_000;

/// State that the tasks share.
pub struct Tasks {
    /// Shared state.
    pub node: Arc<Node>,
    /// View of the fleet.
    pub fleet: Arc<Mutex<Fleet>>,
    /// Gossip socket.
    pub gossip: Gossip,
    /// Choice of workers.
    pub directory: Arc<FleetDirectory>,
    /// Executor of operators' statements.
    pub executor: Arc<Executor>,
    /// State of the process, for operators.
    pub dump: Arc<Dump>,
    /// Task that sends calls to other daemons.
    pub client_task: ClientTask,
}

/// Builds the tree: requests and the fleet are branches that fail and restart independently.
pub fn supervise(tasks: Tasks) -> Supervisor {
    let metrics = Arc::clone(&tasks.node.metrics);
    let tasks = Arc::new(tasks);
    let mut root = Supervisor::new(metrics);
    let branch = Arc::clone(&tasks);
    root.add("requests", move || request_tasks(&branch).run().map(Err));
    root.add("fleet", move || fleet_tasks(&tasks).run().map(Err));
    root
}

fn request_tasks(tasks: &Arc<Tasks>) -> Supervisor {
    let node = &tasks.node;
    let listen = node.settings.listen;
    let limits = node.settings.limits;
    let mut branch = Supervisor::new(Arc::clone(&node.metrics));
    let ingress = Ingress::new(
        Arc::new(Arc::clone(node)),
        Arc::clone(&node.metrics),
        limits,
    );
    branch.add("ingress", move || {
        Arc::clone(&ingress)
            .listen(listen.callers_addr)
            .map(|ended| as_task_error("ingress", ended))
    });
    let client_task = tasks.client_task.clone();
    branch.add("calls to daemons", move || {
        client_task
            .clone()
            .run()
            .map(|()| Err(TaskError::new("calls to daemons", &"ended")))
    });
    let serve: Arc<dyn CallHandler> = Arc::new(Arc::clone(node));
    branch.add("calls from daemons", move || {
        server::listen(listen.calls_addr, Arc::clone(&serve))
            .map(|ended| as_task_error("calls from daemons", ended))
    });
    let worker = Arc::clone(node);
    branch.add("announce", move || {
        announce::listen(listen.worker_addr, Arc::clone(&worker))
            .map(|ended| as_task_error("announce", ended))
    });
    let operators = Arc::clone(tasks);
    branch.add("operators", move || {
        let executor = Arc::clone(&operators.executor);
        let dump = Arc::clone(&operators.dump) as _;
        operators::listen(listen.operators_addr, executor, dump)
            .map(|ended| as_task_error("operators", ended))
    });
    let ticker = Arc::clone(node);
    branch.add("tick", move || tick(Arc::clone(&ticker)));
    let sweeper = Arc::clone(tasks);
    branch.add("sweep", move || sweep(Arc::clone(&sweeper)));
    branch
}

fn fleet_tasks(tasks: &Arc<Tasks>) -> Supervisor {
    let mut branch = Supervisor::new(Arc::clone(&tasks.node.metrics));
    let (node, fleet, gossip) = (
        Arc::clone(&tasks.node),
        Arc::clone(&tasks.fleet),
        tasks.gossip.clone(),
    );
    let socket = gossip.clone();
    branch.add("gossip", move || sync::gossip(socket.clone()));
    let (publisher, view) = (Arc::clone(&node), Arc::clone(&fleet));
    branch.add("publish", move || {
        sync::publish(Arc::clone(&publisher), Arc::clone(&view), gossip.clone())
    });
    let (follower, view) = (Arc::clone(&node), Arc::clone(&fleet));
    branch.add("follow", move || {
        sync::fetch_configs(Arc::clone(&follower), Arc::clone(&view))
    });
    let (seeker, view) = (Arc::clone(&node), Arc::clone(&fleet));
    branch.add("seek", move || {
        sync::maintain_seeds(Arc::clone(&seeker), Arc::clone(&view))
    });
    branch.add("reader", move || {
        read_config(Arc::clone(&node), Arc::clone(&fleet))
    });
    branch
}

fn as_task_error(task: &'static str, ended: io::Result<()>) -> Result<(), TaskError> {
    ended.map_err(|error| TaskError::new(task, &error))
}

/// Reads the configuration from the store while this daemon is one of its readers.
async fn read_config(node: Arc<Node>, fleet: Arc<Mutex<Fleet>>) -> Result<(), TaskError> {
    let own = node.settings.place.name.clone();
    let (store, live_config) = (Arc::clone(&node.store), Arc::clone(&node.live_config));
    let clock = Arc::clone(&node.clock);
    let seed = node.rng.lock().random();
    reader::run(
        own,
        store,
        live_config,
        Arc::new(FleetView(fleet)),
        clock,
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

async fn sweep(tasks: Arc<Tasks>) -> Result<(), TaskError> {
    loop {
        Timer::after(Duration::from_millis(SWEEP_MS)).await;
        let now = tasks.node.now();
        let link_bytes_per_s = tasks.node.settings.limits.region_link_bytes_per_s;
        tasks.directory.sweep(link_bytes_per_s, now.us);
        tasks.node.edge_paths.lock().expire(now.us);
        tasks.node.nested_paths.lock().expire(now.us);
        let mut local = tasks.node.local.lock();
        local.dedup.sweep(now.unix_ms, SWEEP_RECORDS);
        local.suspects.sweep(now.unix_ms);
    }
}

impl Node {
    /// Advances the local worker's gate and drain to the current time, and removes the worker if it
    /// has stopped announcing itself.
    pub fn tick(&self) {
        let now = self.now();
        let stop_limit_ms = self.config().rules.stop_limit_ms;
        let mut local = self.local.lock();
        let mut actions = Vec::new();
        local.gate.tick(now.us, &mut actions);
        local.waiting.apply(actions);
        let drain_actions = local.drain.tick(stop_limit_ms, now.us);
        local.drain_actions.extend(drain_actions);
        for action in std::mem::take(&mut local.drain_actions) {
            self.metrics.count("drain.step");
            tracing::info!(%action, "drain");
            match action {
                DrainAction::Cut { .. } => local.cancel_all(),
                DrainAction::Exit => local.exit(),
                // The backend server reads these from the answer to its next announcement, and the
                // other daemons from the published worker.
                DrainAction::AnnounceLeaving
                | DrainAction::AnnounceServing
                | DrainAction::ReleaseStop => {}
            }
        }
        let timed_out = local
            .worker
            .as_ref()
            .filter(|worker| worker.has_timed_out(now.us));
        if let Some(incarnation) = timed_out.map(|worker| worker.incarnation) {
            local.remove_worker(incarnation, WorkerLoss::Silent, now);
            self.metrics.count("worker.silent");
            tracing::warn!(%incarnation, "backend server has stopped announcing itself");
        }
    }
}
