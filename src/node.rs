//! State that the parts of one daemon share.

use {
    crate::{
        backend::Backend,
        call::{Answer, PeerClient},
        clock::Clock,
        collections::HashMap,
        config::Config,
        control::enforced::LiveConfig,
        directory::Directory,
        entry::Outgoing,
        ingress::{Handle, Incoming, Origin},
        local::{Local, LocalRules, Now},
        metrics::Metrics,
        policy::{
            bind::{BindLimits, Binder},
            dedup::DedupLimits,
            floor::ImportanceFloor,
            paths::PathLevels,
            retry::{CallerRetryRatio, RetryRatio, TokenPoolKey},
            shed::GateRules,
            suspect::SuspectLimits,
        },
        request::{Reason, Refusal, RequestId, ServiceName},
        settings::{PolicyKind, Settings},
        store::Store,
        trace::{Event, Traces},
    },
    async_trait::async_trait,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    smol_str::SmolStr,
    std::sync::Arc,
};

/// Part of a minute's store calls that may be made at once, as a divisor.
const BURST_SHARE: u32 = 8;

/// Cells in which callers' resends are counted.
const CALLER_CELLS: usize = 4_096;

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
    pub peers: Arc<dyn PeerClient>,
    /// Workers of all services.
    pub directory: Arc<dyn Directory>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Configuration in force.
    pub live: Arc<LiveConfig>,
    /// State of the local worker.
    pub local: Mutex<Local>,
    /// Levels that callers' requests have met.
    pub edge_paths: Mutex<PathLevels>,
    /// Levels that the local worker's nested calls have met.
    pub nested_paths: Mutex<PathLevels>,
    /// Order among classes across services.
    pub floor: Mutex<ImportanceFloor>,
    /// Resends of callers.
    pub callers: Mutex<CallerRetryRatio>,
    /// Retries to each service.
    pub ratios: Mutex<HashMap<ServiceName, RetryRatio>>,
    /// Bindings of callers' own keys.
    pub binder: Binder,
    /// What became of recent requests.
    pub traces: Mutex<Traces>,
    /// Randomness.
    pub rng: Mutex<ChaCha8Rng>,
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
    pub peers: Arc<dyn PeerClient>,
    /// Workers of all services.
    pub directory: Arc<dyn Directory>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Configuration in force.
    pub live: Arc<LiveConfig>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Node {
    /// Puts a node together.
    pub fn new(parts: Parts) -> Arc<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(parts.seed);
        let binder = Binder::new(BindLimits {
            calls_per_min: parts.settings.limits.store_calls_per_min,
            burst: parts
                .settings
                .limits
                .store_calls_per_min
                .div_ceil(BURST_SHARE),
            ..BindLimits::default()
        });
        let rules = local_rules(&parts.settings, &parts.live.config());
        Arc::new(Self {
            local: Mutex::new(Local::new(rules, rng.random())),
            callers: Mutex::new(CallerRetryRatio::new(CALLER_CELLS, rng.random())),
            settings: parts.settings,
            clock: parts.clock,
            metrics: parts.metrics,
            backend: parts.backend,
            peers: parts.peers,
            directory: parts.directory,
            store: parts.store,
            live: parts.live,
            edge_paths: Mutex::default(),
            nested_paths: Mutex::default(),
            floor: Mutex::default(),
            ratios: Mutex::default(),
            binder,
            traces: Mutex::default(),
            rng: Mutex::new(rng),
        })
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.live.config()
    }

    /// Present time on both clocks.
    pub fn now(&self) -> Now {
        Now {
            us: self.clock.now_us(),
            unix_ms: self.clock.now_unix_ms(),
        }
    }

    /// Tells whether the daemon only passes requests on, for comparison.
    pub fn is_baseline(&self) -> bool {
        self.settings.policy == PolicyKind::Baseline
    }

    /// Asks or changes the retry ratio of a service.
    pub fn ratio<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryRatio) -> T) -> T {
        let mut ratios = self.ratios.lock();
        match ratios.get_mut(service) {
            Some(ratio) => act(ratio),
            None => act(ratios.entry(service.clone()).or_default()),
        }
    }
}

/// Bounds on the local worker's state under this configuration.
pub fn local_rules(settings: &Settings, config: &Config) -> LocalRules {
    LocalRules {
        gate: GateRules::new(config.rules.recovery_weight_percent),
        once: DedupLimits {
            max_entries: settings.limits.order_records,
            max_refused: settings.limits.order_records / 2,
            max_answer_bytes: settings.limits.answer_memory_bytes,
            ..DedupLimits::default()
        },
        suspects: SuspectLimits::default(),
    }
}

#[async_trait]
impl Handle for Arc<Node> {
    async fn handle(&self, incoming: Incoming) -> Result<Arc<Answer>, Refusal> {
        let request_id = incoming.request_id;
        let is_nested = matches!(incoming.origin, Origin::Nested(_));
        let result = self.answer(incoming).await;
        if !is_nested {
            let event = match &result {
                Ok(answer) => Event::Answered {
                    status: answer.status,
                },
                Err(refusal) => Event::Refused(*refusal),
            };
            self.trace(request_id, event);
        }
        result
    }

    async fn ticket(&self, service: SmolStr) -> Result<SmolStr, Refusal> {
        let ticket = self.mint(&service)?;
        Ok(ticket.to_string().into())
    }
}

impl Node {
    async fn answer(self: &Arc<Self>, incoming: Incoming) -> Result<Arc<Answer>, Refusal> {
        let is_first = incoming.is_first() || matches!(incoming.origin, Origin::Nested(_));
        let early = |refusal: Refusal| refusal.doubt(!is_first);
        let _relay = Relay::enter(self).map_err(early)?;
        let mut out = self.enter(incoming, self.clock.now_us()).map_err(early)?;
        let _account = out.parent.is_none().then(|| Opened {
            node: self,
            account: out.account,
        });
        if out.needs_ticket() && !self.is_baseline() {
            self.bind(&mut out).await.map_err(early)?;
        }
        if out.parent.is_some() || self.is_baseline() {
            return self.forward(&out).await;
        }
        self.check_floor(&out)?;
        let result = self.forward(&out).await;
        self.note_floor(&out, &result);
        result
    }

    /// Refuses a request while more important ones are being refused here.
    fn check_floor(&self, out: &Outgoing) -> Result<(), Refusal> {
        let now_us = self.clock.now_us();
        let floor = self.floor.lock();
        if floor.admits(out.importance, now_us) {
            return Ok(());
        }
        let refusal = Refusal::not_run(Reason::Overload).doubt(!out.first_attempt);
        Err(refusal.retry_after_ms(floor.retry_after_ms(now_us)))
    }

    /// Orders that are shed keep less important requests out, to whatever service.
    fn note_floor(&self, out: &Outgoing, result: &Result<Arc<Answer>, Refusal>) {
        let Err(refusal) = result else {
            return;
        };
        let is_shed = matches!(refusal.reason, Reason::Overload | Reason::WorkerFull);
        if is_shed && !out.idempotent {
            let now_us = self.clock.now_us();
            self.floor.lock().record_refusal(out.importance, now_us);
        }
    }

    /// Records what happened to a request.
    pub fn trace(&self, request_id: RequestId, event: Event) {
        let now_unix_ms = self.clock.now_unix_ms();
        self.traces.lock().add(request_id, event, now_unix_ms);
    }
}

/// Account of a caller's request; closed however the request ends.
struct Opened<'a> {
    node: &'a Node,
    account: TokenPoolKey,
}

impl Drop for Opened<'_> {
    fn drop(&mut self) {
        self.node.local.lock().accounts.close(self.account);
    }
}

/// A request that the daemon passes on; it does not end before them.
struct Relay<'a> {
    node: &'a Node,
}

impl<'a> Relay<'a> {
    fn enter(node: &'a Node) -> Result<Self, Refusal> {
        node.local.lock().drain.begin_relay()?;
        Ok(Self { node })
    }
}

impl Drop for Relay<'_> {
    fn drop(&mut self) {
        let mut local = self.node.local.lock();
        let actions = local.drain.end_relay();
        local.drain_actions.extend(actions);
    }
}
