//! Several daemons in one process, with a network, backend servers and a store that fail.

use {
    crate::{
        faults::{End, Net, Weather},
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
        directory::{Directory, Ended, Target, Wanted},
        ingress::{Handle, Incoming, Origin},
        local::Loss,
        metrics::Metrics,
        node::{Node, Parts},
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
const STEP_MS: u64 = 4;

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Said {
    Answer {
        status: u16,
        body: String,
    },
    Refused(shallotdeal::request::Refusal),
    /// The connection to the daemon broke, or the caller gave up.
    Nothing,
}

impl Said {
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.outcome == Outcome::NotRun)
    }
}

/// One worker, as the directory knows it.
#[derive(Debug, Clone)]
struct Listed {
    service: SmolStr,
    target: Target,
    outstanding: u32,
}

/// Everything that outlives a daemon.
pub(crate) struct World {
    pub(crate) clock: Arc<SystemClock>,
    pub(crate) rng: Mutex<ChaCha8Rng>,
    pub(crate) net: Mutex<Net>,
    pub(crate) store: Arc<Weather>,
    pub(crate) servers: Servers,
    pub(crate) config: Config,
    nodes: Mutex<Vec<(Arc<Node>, u64)>>,
    listed: Mutex<Vec<Option<Listed>>>,
    services: Vec<(SmolStr, u32)>,
}

/// One daemon's way to the others.
struct Links {
    world: Arc<World>,
    from: usize,
}

struct Listing(Arc<World>);

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

/// A request of a caller.
pub(crate) fn incoming(service: &str, class: &str, target: &str, id: u128) -> Incoming {
    Incoming {
        origin: Origin::Caller(Ipv4Addr::LOCALHOST.into()),
        service: service.into(),
        request: Request {
            method: "POST".into(),
            target: target.into(),
            headers: Vec::new(),
            body: Vec::new(),
        },
        request_id: RequestId(id),
        has_own_id: false,
        class: Some(class.into()),
        timeout_ms: Some(2_000),
        attempt: 1,
        ticket: None,
        key: None,
        first_sent_unix_ms: None,
    }
}

impl World {
    /// Starts a daemon and a backend server for each (service, slots).
    pub(crate) fn new(services: &[(&str, u32)], seed: u64) -> Arc<Self> {
        Self::with(services, seed, |_| {})
    }

    /// As `new`, with a changed configuration.
    pub(crate) fn with(
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
        let world = Arc::new(Self {
            store: Arc::new(Weather::new(Arc::clone(&clock))),
            clock,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            net: Mutex::default(),
            servers: Servers::new(services.len()),
            config,
            nodes: Mutex::default(),
            listed: Mutex::new(vec![None; services.len()]),
            services: services
                .iter()
                .map(|(name, slots)| ((*name).into(), *slots))
                .collect(),
        });
        for index in 0..services.len() {
            let node = world.make(index);
            world.nodes.lock().push((node, 0));
            world.announce(index);
        }
        world
    }

    /// Runs a history on this thread, with time passing at the daemons.
    pub(crate) fn run<T>(self: &Arc<Self>, history: impl Future<Output = T>) -> T {
        async_std::task::block_on(self.drive(history))
    }

    /// Runs a history beside others.
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
    fn live(&self) -> Arc<LiveConfig> {
        let live = LiveConfig::new(self.config.clone(), Arc::clone(&self.clock) as _);
        live.mark_authoritative();
        Arc::new(live)
    }

    fn make(self: &Arc<Self>, index: usize) -> Arc<Node> {
        let mut settings = Settings::try_from(SETTINGS).expect("settings");
        settings.place.name = format_smolstr!("node-{index}");
        settings.place.call_addr = call_addr(index);
        settings.limits.store_calls_per_min = 60_000;
        Node::new(Parts {
            settings,
            clock: Arc::clone(&self.clock) as _,
            metrics: Arc::new(Metrics::local()),
            backend: Arc::new(self.servers.clone().of(Arc::clone(self))),
            peers: Arc::new(Links {
                world: Arc::clone(self),
                from: index,
            }),
            directory: Arc::new(Listing(Arc::clone(self))),
            store: Arc::clone(&self.store) as _,
            live: self.live(),
            seed: self.rng.lock().random(),
        })
    }

    pub(crate) fn node(&self, index: usize) -> Arc<Node> {
        Arc::clone(&self.nodes.lock()[index].0)
    }

    fn life(&self, index: usize) -> u64 {
        self.nodes.lock()[index].1
    }

    /// The backend server announces itself, and the directory learns of it.
    pub(crate) fn announce(&self, index: usize) {
        let (service, slots) = self.services[index].clone();
        let node = self.node(index);
        let announcement = Announcement {
            service: service.clone(),
            addr: backend_addr(index),
            slots,
            connections: slots,
            instance: format_smolstr!("{}", self.servers.life(index)),
        };
        assert!(node.announced(announcement).is_some());
        let incarnation = node.local.lock().incarnation().expect("a worker");
        let target = Target {
            call_addr: call_addr(index),
            incarnation,
        };
        let mut listed = self.listed.lock();
        if listed[index]
            .as_ref()
            .is_some_and(|known| known.target == target)
        {
            return;
        }
        let outstanding = 0;
        listed[index] = Some(Listed {
            service,
            target,
            outstanding,
        });
    }

    /// The daemon dies with all that it remembers, and another takes its place.
    pub(crate) fn restart_daemon(self: &Arc<Self>, index: usize) {
        let old = self.node(index);
        let node = self.make(index);
        {
            let mut nodes = self.nodes.lock();
            let life = nodes[index].1 + 1;
            nodes[index] = (node, life);
        }
        let mut local = old.local.lock();
        if let Some(incarnation) = local.incarnation() {
            local.lose_worker(incarnation, Loss::Silence, old.now());
        }
        local.cut_all();
        drop(local);
        self.announce(index);
    }

    /// The backend server dies and comes back after a while.
    pub(crate) async fn crash_server(&self, index: usize, down_ms: u64) {
        self.servers.crash(index);
        pause_ms(down_ms).await;
        self.servers.start(index);
        self.announce(index);
    }

    /// A caller's request to one daemon; the connection breaks if the daemon dies.
    pub(crate) async fn ask(&self, index: usize, incoming: Incoming, patience_ms: u64) -> Said {
        let (node, life) = (self.node(index), self.life(index));
        let dead = async {
            for _ in 0..patience_ms.div_ceil(STEP_MS) {
                pause_ms(STEP_MS).await;
                if self.life(index) != life {
                    return;
                }
            }
        };
        let handled = node.handle(incoming);
        match select(handled, Box::pin(dead)).await {
            Either::Left((Ok(answer), _)) => Said::Answer {
                status: answer.status,
                body: String::from_utf8_lossy(&answer.body).into(),
            },
            Either::Left((Err(refusal), _)) => Said::Refused(refusal),
            Either::Right(_) => Said::Nothing,
        }
    }

    /// Suspects known anywhere become known everywhere.
    pub(crate) fn share_suspects(&self) {
        let count = self.services.len();
        for from in 0..count {
            let deaths = self.node(from).local.lock().suspects.digest(64);
            for to in (0..count).filter(|to| *to != from) {
                self.node(to).local.lock().suspects.merge(deaths.clone());
            }
        }
    }

    /// Events of one name counted at all daemons.
    pub(crate) fn counted(&self, name: &str) -> u64 {
        let counts = (0..self.services.len()).map(|index| self.node(index).metrics.get(name));
        counts.sum()
    }

    pub(crate) fn draw(&self, below: u64) -> u64 {
        self.rng.lock().random_range(0..below)
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.servers.runs()
    }

    /// Checks that nothing of the ended requests is left at any daemon.
    pub(crate) fn assert_no_leak(&self, context: &str) {
        for index in 0..self.services.len() {
            let node = self.node(index);
            let local = node.local.lock();
            let report = local.drain.report();
            let left = [
                local.accounts.len(),
                local.running.len(),
                local.joined.len(),
                local.waiting.len(),
                local.gate.in_flight(),
                local.gate.report(node.clock.now_us()).queued.values().sum(),
                report.in_flight as usize,
                report.relayed as usize,
                local.once.report().open,
            ];
            assert_eq!(left, [0; 9], "{context}: left at {index}");
        }
        let listed = self.listed.lock();
        let outstanding: u32 = listed.iter().flatten().map(|one| one.outstanding).sum();
        assert_eq!(outstanding, 0, "{context}: outstanding calls");
    }

    /// Waits until the calls that are still on their way have ended.
    pub(crate) async fn settle(&self) {
        for _ in 0..400 {
            let is_busy = |index: usize| {
                let node = self.node(index);
                let local = node.local.lock();
                let report = local.drain.report();
                !local.joined.is_empty() || report.in_flight + report.relayed > 0
            };
            let busy = (0..self.services.len()).any(is_busy);
            if !busy && self.net.lock().on_their_way == 0 {
                break;
            }
            pause_ms(2).await;
        }
        pause_ms(2).await;
    }
}

#[async_trait]
impl PeerClient for Links {
    async fn call(&self, peer: SocketAddr, call: Call) -> Result<Reply, PeerError> {
        let world = &self.world;
        let to = index_of(peer);
        let fate = world.net.lock().fate(self.from, to, &world.rng);
        let error = |step, may_have_run| PeerError {
            step,
            peer,
            detail: "fault".into(),
            may_have_run,
        };
        if fate.end == End::Refused {
            return Err(error("connect", false));
        }
        pause_ms(fate.delay_ms).await;
        if fate.end == End::LostBefore {
            return Err(error("send", true));
        }
        if fate.is_duplicated {
            world.deliver_again(to, call.clone());
        }
        let (node, life) = (world.node(to), world.life(to));
        let is_cut = || world.life(to) != life || world.net.lock().is_cut(self.from, to);
        let broken = async {
            while !is_cut() {
                pause_ms(STEP_MS).await;
            }
        };
        let served = node.handle_call(call);
        match select(served, Box::pin(broken)).await {
            Either::Left((reply, _)) if fate.end != End::LostAfter => Ok(reply),
            _ => Err(error("wait for reply", true)),
        }
    }

    async fn fetch_config(&self, peer: SocketAddr) -> Result<Vec<u8>, PeerError> {
        Ok(self.world.node(index_of(peer)).config_document())
    }
}

impl World {
    /// The network delivers a call a second time; its answer goes nowhere.
    fn deliver_again(self: &Arc<Self>, to: usize, call: Call) {
        self.net.lock().on_their_way += 1;
        let (world, node) = (Arc::clone(self), self.node(to));
        let again = async move {
            pause_ms(world.draw(4)).await;
            node.handle_call(call).await;
            world.net.lock().on_their_way -= 1;
        };
        drop(async_std::task::spawn_local(again));
    }
}

impl Directory for Listing {
    fn choose(&self, wanted: &Wanted<'_>, _now_us: u64) -> Option<Target> {
        let listed = self.0.listed.lock();
        let fits = |one: &&Listed| {
            one.service == *wanted.service && !wanted.tried.contains(&one.target.incarnation)
        };
        let able: Vec<_> = listed.iter().flatten().filter(fits).collect();
        if able.is_empty() || self.0.net.lock().is_unlisted {
            return None;
        }
        Some(able[self.0.draw(able.len() as u64) as usize].target)
    }

    fn started(&self, target: Target, _now_us: u64) {
        self.0.count(target, |outstanding| *outstanding += 1);
    }

    fn ended(&self, target: Target, _ended: Ended, _latency_us: u64, _now_us: u64) {
        self.0.count(target, |outstanding| *outstanding -= 1);
    }

    fn knows(&self, service: &str) -> bool {
        let listed = self.0.listed.lock();
        listed.iter().flatten().any(|one| one.service == service)
    }
}

impl World {
    fn count(&self, target: Target, act: impl FnOnce(&mut u32)) {
        let mut listed = self.listed.lock();
        let known = listed.iter_mut().flatten().find(|one| one.target == target);
        if let Some(one) = known {
            act(&mut one.outstanding);
        }
    }

    pub(crate) fn has_stopped(&self, index: usize) -> bool {
        self.node(index).local.lock().drain.stage() == Stage::Stopped
    }
}
