//! Several daemons in one process, with a network, backend servers and a store that can fail.

use {
    crate::{
        faults::{DeliveryEnd, FaultyNetwork, FaultyStore},
        servers::{Run, Servers},
    },
    async_io::Timer,
    async_trait::async_trait,
    futures::future::{Either, select},
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        call::{Call, CallHandler, PeerClient, PeerError, Reply, Request},
        clock::SystemClock,
        config::{Config, ServiceRule},
        control::enforced::LiveConfig,
        directory::{CallResult, Directory, Target, WorkerQuery},
        ingress::{Handler, IncomingRequest, Origin},
        local::WorkerLoss,
        metrics::Metrics,
        node::{Node, NodeParts},
        policy::drain::Stage,
        request::{Outcome, RequestId},
        settings::Settings,
        worker::Announcement,
    },
    smol_str::{SmolStr, format_smolstr},
    std::{
        future::Future,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        pin::pin,
        sync::Arc,
        time::Duration,
    },
};

const SETTINGS: &str = include_str!("../../examples/standalone.ini");
const TICK_MS: u64 = 5;
const POLL_INTERVAL_MS: u64 = 4;

/// Result of a request, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallerResult {
    Answer {
        status: u16,
        body: String,
    },
    Refused(shallotdeal::request::Refusal),
    /// The connection to the daemon broke, or the caller's timeout passed.
    NoReply,
}

impl CallerResult {
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.outcome == Outcome::NotRun)
    }
}

/// One worker in the directory.
#[derive(Debug, Clone)]
struct DirectoryEntry {
    service: SmolStr,
    target: Target,
    outstanding: u32,
}

/// Daemons, backend servers, network and store of one history.
pub(crate) struct Cluster {
    pub(crate) clock: Arc<SystemClock>,
    pub(crate) rng: Mutex<ChaCha8Rng>,
    pub(crate) net: Mutex<FaultyNetwork>,
    pub(crate) store: Arc<FaultyStore>,
    pub(crate) servers: Servers,
    pub(crate) config: Config,
    nodes: Mutex<Vec<(Arc<Node>, u64)>>,
    entries: Mutex<Vec<Option<DirectoryEntry>>>,
    services: Vec<(SmolStr, u32)>,
}

/// Calls of one daemon to the others over the faulty network.
struct FaultyPeers {
    cluster: Arc<Cluster>,
    from: usize,
}

struct FakeDirectory(Arc<Cluster>);

pub(crate) fn call_addr(index: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, 0, 1 + index as u8).into(), 7_000)
}

pub(crate) fn backend_addr(index: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, 0, 1 + index as u8).into(), 9_000)
}

pub(crate) fn index_of(addr: SocketAddr) -> usize {
    let IpAddr::V4(ip) = addr.ip() else { return 0 };
    usize::from(ip.octets()[3]) - 1
}

pub(crate) async fn pause_ms(millis: u64) {
    Timer::after(Duration::from_millis(millis)).await;
}

/// A request from a caller.
pub(crate) fn incoming(service: &str, class: &str, target: &str, id: u128) -> IncomingRequest {
    IncomingRequest {
        origin: Origin::Caller(Ipv4Addr::LOCALHOST.into()),
        service: service.into(),
        request: Request {
            method: "POST".into(),
            target: target.into(),
            headers: Vec::new(),
            body: Vec::new(),
        },
        request_id: RequestId(id),
        is_id_from_caller: false,
        class: Some(class.into()),
        timeout_ms: Some(2_000),
        attempt: 1,
        ticket: None,
        key: None,
        first_sent_unix_ms: None,
    }
}

impl Cluster {
    /// Creates a daemon and a backend server for each (service, slots).
    pub(crate) fn new(services: &[(&str, u32)], seed: u64) -> Arc<Self> {
        Self::with_config(services, seed, |_| {})
    }

    /// Like `new`, with a changed configuration.
    pub(crate) fn with_config(
        services: &[(&str, u32)],
        seed: u64,
        change: impl FnOnce(&mut Config),
    ) -> Arc<Self> {
        let clock = Arc::new(SystemClock::new());
        let mut config = Config::initial();
        for (service, _) in services {
            let rule = ServiceRule {
                retry_ratio_percent: 100,
                ..ServiceRule::default()
            };
            config.services.insert((*service).into(), rule);
        }
        change(&mut config);
        let cluster = Arc::new(Self {
            store: Arc::new(FaultyStore::new(Arc::clone(&clock))),
            clock,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            net: Mutex::default(),
            servers: Servers::new(services.len()),
            config,
            nodes: Mutex::default(),
            entries: Mutex::new(vec![None; services.len()]),
            services: services
                .iter()
                .map(|(name, slots)| ((*name).into(), *slots))
                .collect(),
        });
        for index in 0..services.len() {
            let node = cluster.start_daemon(index);
            cluster.nodes.lock().push((node, 0));
            cluster.announce(index);
        }
        cluster
    }

    /// Runs a history on this thread while the daemons tick.
    pub(crate) fn run<T>(self: &Arc<Self>, history: impl Future<Output = T>) -> T {
        async_std::task::block_on(self.drive(history))
    }

    /// Runs a history concurrently with others while the daemons tick.
    pub(crate) async fn drive<T>(self: &Arc<Self>, history: impl Future<Output = T>) -> T {
        let ticks = async {
            loop {
                pause_ms(TICK_MS).await;
                (0..self.services.len()).for_each(|index| self.node(index).tick());
            }
        };
        match select(pin!(history), pin!(ticks)).await {
            Either::Left((ended, _)) => ended,
        }
    }

    /// Configuration in force from the start, as a daemon that has read the store knows it.
    fn live_config(&self) -> Arc<LiveConfig> {
        let live_config = LiveConfig::new(self.config.clone(), Arc::clone(&self.clock) as _);
        live_config.mark_authoritative();
        Arc::new(live_config)
    }

    fn start_daemon(self: &Arc<Self>, index: usize) -> Arc<Node> {
        let mut settings = Settings::try_from(SETTINGS).expect("settings");
        settings.place.name = format_smolstr!("node-{index}");
        settings.place.call_addr = call_addr(index);
        settings.limits.store_calls_per_min = 60_000;
        Node::new(NodeParts {
            settings,
            clock: Arc::clone(&self.clock) as _,
            metrics: Arc::new(Metrics::local()),
            backend: Arc::new(self.servers.clone().backend_for(Arc::clone(self))),
            peers: Arc::new(FaultyPeers {
                cluster: Arc::clone(self),
                from: index,
            }),
            directory: Arc::new(FakeDirectory(Arc::clone(self))),
            store: Arc::clone(&self.store) as _,
            live_config: self.live_config(),
            seed: self.rng.lock().random(),
        })
    }

    pub(crate) fn node(&self, index: usize) -> Arc<Node> {
        Arc::clone(&self.nodes.lock()[index].0)
    }

    fn incarnation(&self, index: usize) -> u64 {
        self.nodes.lock()[index].1
    }

    /// Announces the backend server to its daemon and adds it to the directory.
    pub(crate) fn announce(&self, index: usize) {
        let (service, slots) = self.services[index].clone();
        let node = self.node(index);
        let announcement = Announcement {
            service: service.clone(),
            addr: backend_addr(index),
            slots,
            connections: slots,
            instance: format_smolstr!("{}", self.servers.incarnation(index)),
        };
        assert!(node.accept_announcement(announcement).is_some());
        let incarnation = node.local.lock().incarnation().expect("a worker");
        let target = Target {
            call_addr: call_addr(index),
            incarnation,
        };
        let mut entries = self.entries.lock();
        if entries[index]
            .as_ref()
            .is_some_and(|known| known.target == target)
        {
            return;
        }
        let outstanding = 0;
        entries[index] = Some(DirectoryEntry {
            service,
            target,
            outstanding,
        });
    }

    /// Replaces a daemon by a new one without its state.
    pub(crate) fn restart_daemon(self: &Arc<Self>, index: usize) {
        let old = self.node(index);
        let node = self.start_daemon(index);
        {
            let mut nodes = self.nodes.lock();
            let incarnation = nodes[index].1 + 1;
            nodes[index] = (node, incarnation);
        }
        let mut local = old.local.lock();
        if let Some(incarnation) = local.incarnation() {
            local.remove_worker(incarnation, WorkerLoss::Silent, old.now());
        }
        local.cancel_all();
        drop(local);
        self.announce(index);
    }

    /// Crashes the backend server and restarts it after `down_ms`.
    pub(crate) async fn crash_server(&self, index: usize, down_ms: u64) {
        self.servers.crash(index);
        pause_ms(down_ms).await;
        self.servers.start(index);
        self.announce(index);
    }

    /// Sends a caller's request to one daemon; the connection breaks if the daemon restarts.
    pub(crate) async fn ask(
        &self,
        index: usize,
        incoming: IncomingRequest,
        timeout_ms: u64,
    ) -> CallerResult {
        let (node, incarnation) = (self.node(index), self.incarnation(index));
        let broken = async {
            for _ in 0..timeout_ms.div_ceil(POLL_INTERVAL_MS) {
                pause_ms(POLL_INTERVAL_MS).await;
                if self.incarnation(index) != incarnation {
                    return;
                }
            }
        };
        let handled = node.handle(incoming);
        match select(handled, Box::pin(broken)).await {
            Either::Left((Ok(answer), _)) => CallerResult::Answer {
                status: answer.status,
                body: String::from_utf8_lossy(&answer.body).into(),
            },
            Either::Left((Err(refusal), _)) => CallerResult::Refused(refusal),
            Either::Right(_) => CallerResult::NoReply,
        }
    }

    /// Copies the crash suspects of each daemon to all others.
    pub(crate) fn share_suspects(&self) {
        let count = self.services.len();
        for from in 0..count {
            let deaths = self.node(from).local.lock().suspects.digest(64);
            for to in (0..count).filter(|to| *to != from) {
                self.node(to).local.lock().suspects.merge(deaths.clone());
            }
        }
    }

    /// Sum of a counter over all daemons.
    pub(crate) fn total_count(&self, name: &str) -> u64 {
        let counts = (0..self.services.len()).map(|index| self.node(index).metrics.get(name));
        counts.sum()
    }

    pub(crate) fn draw(&self, below: u64) -> u64 {
        self.rng.lock().random_range(0..below)
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.servers.runs()
    }

    /// Checks that no daemon keeps any state of ended requests.
    pub(crate) fn assert_no_leak(&self, context: &str) {
        for index in 0..self.services.len() {
            let node = self.node(index);
            let local = node.local.lock();
            let report = local.drain.report();
            let remaining = [
                local.token_pools.len(),
                local.running.len(),
                local.joined.len(),
                local.waiting.len(),
                local.gate.in_flight(),
                local.gate.report(node.clock.now_us()).queued.values().sum(),
                report.in_flight as usize,
                report.relayed as usize,
                local.dedup.report().open,
            ];
            assert_eq!(remaining, [0; 9], "{context}: state left at daemon {index}");
        }
        let entries = self.entries.lock();
        let outstanding: u32 = entries.iter().flatten().map(|one| one.outstanding).sum();
        assert_eq!(outstanding, 0, "{context}: outstanding calls");
    }

    /// Waits until all outstanding calls have ended.
    pub(crate) async fn settle(&self) {
        for _ in 0..400 {
            let is_busy = |index: usize| {
                let node = self.node(index);
                let local = node.local.lock();
                let report = local.drain.report();
                !local.joined.is_empty() || report.in_flight + report.relayed > 0
            };
            let busy = (0..self.services.len()).any(is_busy);
            if !busy && self.net.lock().duplicates_in_flight == 0 {
                break;
            }
            pause_ms(2).await;
        }
        pause_ms(2).await;
    }
}

#[async_trait]
impl PeerClient for FaultyPeers {
    async fn call(&self, peer: SocketAddr, call: Call) -> Result<Reply, PeerError> {
        let cluster = &self.cluster;
        let to = index_of(peer);
        let delivery = cluster
            .net
            .lock()
            .draw_delivery(self.from, to, &cluster.rng);
        let error = |step, may_have_run| PeerError {
            step,
            peer,
            detail: "fault".into(),
            may_have_run,
        };
        if delivery.end == DeliveryEnd::Refused {
            return Err(error("connect", false));
        }
        pause_ms(delivery.delay_ms).await;
        if delivery.end == DeliveryEnd::LostBefore {
            return Err(error("send", true));
        }
        if delivery.is_duplicated {
            cluster.deliver_again(to, call.clone());
        }
        let (node, incarnation) = (cluster.node(to), cluster.incarnation(to));
        let is_broken = || {
            cluster.incarnation(to) != incarnation
                || cluster.net.lock().is_partitioned(self.from, to)
        };
        let broken = async {
            while !is_broken() {
                pause_ms(POLL_INTERVAL_MS).await;
            }
        };
        let served = node.handle_call(call);
        match select(served, Box::pin(broken)).await {
            Either::Left((reply, _)) if delivery.end != DeliveryEnd::LostAfter => Ok(reply),
            _ => Err(error("wait for reply", true)),
        }
    }

    async fn fetch_config(&self, peer: SocketAddr) -> Result<Vec<u8>, PeerError> {
        Ok(self.cluster.node(index_of(peer)).config_document())
    }
}

impl Cluster {
    /// Delivers a call a second time and drops its reply.
    fn deliver_again(self: &Arc<Self>, to: usize, call: Call) {
        self.net.lock().duplicates_in_flight += 1;
        let (cluster, node) = (Arc::clone(self), self.node(to));
        let again = async move {
            pause_ms(cluster.draw(4)).await;
            node.handle_call(call).await;
            cluster.net.lock().duplicates_in_flight -= 1;
        };
        drop(async_std::task::spawn_local(again));
    }
}

impl Directory for FakeDirectory {
    fn choose(&self, query: &WorkerQuery<'_>, _now_us: u64) -> Option<Target> {
        let entries = self.0.entries.lock();
        let fits = |one: &&DirectoryEntry| {
            one.service == *query.service && !query.tried.contains(&one.target.incarnation)
        };
        let candidates: Vec<_> = entries.iter().flatten().filter(fits).collect();
        if candidates.is_empty() || self.0.net.lock().hides_workers {
            return None;
        }
        Some(candidates[self.0.draw(candidates.len() as u64) as usize].target)
    }

    fn call_started(&self, target: Target, _now_us: u64) {
        self.0.count(target, |outstanding| *outstanding += 1);
    }

    fn call_ended(&self, target: Target, _outcome: CallResult, _latency_us: u64, _now_us: u64) {
        self.0.count(target, |outstanding| *outstanding -= 1);
    }

    fn has_worker(&self, service: &str) -> bool {
        let entries = self.0.entries.lock();
        entries.iter().flatten().any(|one| one.service == service)
    }
}

impl Cluster {
    fn count(&self, target: Target, act: impl FnOnce(&mut u32)) {
        let mut entries = self.entries.lock();
        let known = entries
            .iter_mut()
            .flatten()
            .find(|one| one.target == target);
        if let Some(one) = known {
            act(&mut one.outstanding);
        }
    }

    pub(crate) fn has_stopped(&self, index: usize) -> bool {
        self.node(index).local.lock().drain.stage() == Stage::Stopped
    }
}
