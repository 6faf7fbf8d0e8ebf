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
        ingress::{Handler, IncomingRequest, Origin},
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
        validation::OutgoingRequest,
    },
    async_trait::async_trait,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    smol_str::SmolStr,
    std::sync::Arc,
};

/// The allowed burst of store calls is the limit per minute divided by this.
const STORE_BURST_DIVISOR: u32 = 8;

/// Cells of the table that counts callers' resends.
const CALLER_CELLS: usize = 4_096;

/// Shared state of one daemon.
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Clock.
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
    pub live_config: Arc<LiveConfig>,
    /// State of the local worker.
    pub local: Mutex<Local>,
    /// Admission levels observed by callers' requests.
    pub edge_paths: Mutex<PathLevels>,
    /// Admission levels observed by the local worker's nested calls.
    pub nested_paths: Mutex<PathLevels>,
    /// Refuses less important requests to any service while more important ones are refused.
    pub floor: Mutex<ImportanceFloor>,
    /// First sends and resends of each caller.
    pub callers: Mutex<CallerRetryRatio>,
    /// First sends and retries to each service.
    pub retry_ratios: Mutex<HashMap<ServiceName, RetryRatio>>,
    /// Binds callers' own keys to tickets.
    pub binder: Binder,
    /// Events of recent requests, for operators.
    pub traces: Mutex<Traces>,
    /// Random number generator.
    pub rng: Mutex<ChaCha8Rng>,
}

/// Arguments of [`Node::new`].
pub struct NodeParts {
    /// Settings of the process.
    pub settings: Settings,
    /// Clock.
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
    pub live_config: Arc<LiveConfig>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Node {
    /// Creates the state of a daemon without a worker.
    pub fn new(parts: NodeParts) -> Arc<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(parts.seed);
        let binder = Binder::new(BindLimits {
            calls_per_min: parts.settings.limits.store_calls_per_min,
            burst: parts
                .settings
                .limits
                .store_calls_per_min
                .div_ceil(STORE_BURST_DIVISOR),
            ..BindLimits::default()
        });
        let rules = local_rules(&parts.settings, &parts.live_config.config());
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
            live_config: parts.live_config,
            edge_paths: Mutex::default(),
            nested_paths: Mutex::default(),
            floor: Mutex::default(),
            retry_ratios: Mutex::default(),
            binder,
            traces: Mutex::default(),
            rng: Mutex::new(rng),
        })
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.live_config.config()
    }

    /// Current time on both clocks.
    pub fn now(&self) -> Now {
        Now {
            us: self.clock.now_us(),
            unix_ms: self.clock.now_unix_ms(),
        }
    }

    /// Tells whether the daemon only forwards requests, as a baseline for comparisons.
    pub fn is_baseline(&self) -> bool {
        self.settings.policy == PolicyKind::Baseline
    }

    /// Calls `act` with the retry ratio of a service.
    pub fn with_retry_ratio<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryRatio) -> T,
    ) -> T {
        let mut retry_ratios = self.retry_ratios.lock();
        match retry_ratios.get_mut(service) {
            Some(ratio) => act(ratio),
            None => act(retry_ratios.entry(service.clone()).or_default()),
        }
    }
}

/// Rules of the local worker's state under this configuration.
pub fn local_rules(settings: &Settings, config: &Config) -> LocalRules {
    LocalRules {
        gate: GateRules::new(config.rules.recovery_weight_percent),
        dedup: DedupLimits {
            max_entries: settings.limits.order_records,
            max_refused: settings.limits.order_records / 2,
            max_answer_bytes: settings.limits.answer_memory_bytes,
            ..DedupLimits::default()
        },
        suspects: SuspectLimits::default(),
    }
}

#[async_trait]
impl Handler for Arc<Node> {
    async fn handle(&self, incoming: IncomingRequest) -> Result<Arc<Answer>, Refusal> {
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
        let ticket = self.mint_ticket(&service)?;
        Ok(ticket.to_string().into())
    }
}

impl Node {
    async fn answer(self: &Arc<Self>, incoming: IncomingRequest) -> Result<Arc<Answer>, Refusal> {
        let is_first = incoming.is_first() || matches!(incoming.origin, Origin::Nested(_));
        let refused_before_send = |refusal: Refusal| refusal.unknown_if(!is_first);
        let _relay = RelayGuard::enter(self).map_err(refused_before_send)?;
        let mut outgoing = self
            .accept(incoming, self.clock.now_us())
            .map_err(refused_before_send)?;
        let _token_pool = outgoing.parent.is_none().then(|| TokenPoolGuard {
            node: self,
            token_pool: outgoing.token_pool,
        });
        if outgoing.needs_ticket() && !self.is_baseline() {
            self.bind(&mut outgoing)
                .await
                .map_err(refused_before_send)?;
        }
        if outgoing.parent.is_some() || self.is_baseline() {
            return self.forward(&outgoing).await;
        }
        self.check_floor(&outgoing)?;
        let result = self.forward(&outgoing).await;
        self.update_floor(&outgoing, &result);
        result
    }

    /// Refuses a request while more important ones are being refused here.
    fn check_floor(&self, outgoing: &OutgoingRequest) -> Result<(), Refusal> {
        let now_us = self.clock.now_us();
        let floor = self.floor.lock();
        if floor.admits(outgoing.importance, now_us) {
            return Ok(());
        }
        let refusal = Refusal::not_run(Reason::Overload).unknown_if(!outgoing.first_attempt);
        Err(refusal.retry_after_ms(floor.retry_after_ms(now_us)))
    }

    /// Refuses less important requests to all services for a while after a non-idempotent request
    /// was shed.
    fn update_floor(&self, outgoing: &OutgoingRequest, result: &Result<Arc<Answer>, Refusal>) {
        let Err(refusal) = result else {
            return;
        };
        let is_shed = matches!(refusal.reason, Reason::Overload | Reason::WorkerFull);
        if is_shed && !outgoing.idempotent {
            let now_us = self.clock.now_us();
            self.floor
                .lock()
                .record_refusal(outgoing.importance, now_us);
        }
    }

    /// Records an event of a request.
    pub fn trace(&self, request_id: RequestId, event: Event) {
        let now_unix_ms = self.clock.now_unix_ms();
        self.traces.lock().add(request_id, event, now_unix_ms);
    }
}

/// Closes the retry token pool of a caller's request when dropped.
struct TokenPoolGuard<'a> {
    node: &'a Node,
    token_pool: TokenPoolKey,
}

impl Drop for TokenPoolGuard<'_> {
    fn drop(&mut self) {
        self.node.local.lock().token_pools.close(self.token_pool);
    }
}

/// Counts a caller's request as in flight through this daemon until dropped; the daemon does not
/// exit before.
struct RelayGuard<'a> {
    node: &'a Node,
}

impl<'a> RelayGuard<'a> {
    fn enter(node: &'a Node) -> Result<Self, Refusal> {
        node.local.lock().drain.begin_relay()?;
        Ok(Self { node })
    }
}

impl Drop for RelayGuard<'_> {
    fn drop(&mut self) {
        let mut local = self.node.local.lock();
        let actions = local.drain.end_relay();
        local.drain_actions.extend(actions);
    }
}
