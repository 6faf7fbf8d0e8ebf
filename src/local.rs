//! The local worker: what stands between a call and the backend server on the same VM.

use {
    crate::{
        call::{Answer, Reply},
        collections::HashMap,
        policy::{
            dedup::{DedupKey, DedupTable},
            drain::{Drain, DrainAction},
            gate::Gate,
            retry::{TokenPoolKey, TokenPools},
            shed::GateRules,
            suspect::{CrashSuspects, Fingerprint, SuspectVerdict},
        },
        request::{ClassName, Importance, Incarnation, Level, RequestId},
        waiting::Waiting,
        worker::Worker,
    },
    derive_more::Display,
    futures::channel::oneshot,
};

/// Identity of one running call; the backend server shows it with nested calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display)]
#[display("{_0:016x}")]
pub struct CallId(pub u64);

impl TryFrom<&str> for CallId {
    type Error = std::num::ParseIntError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// One call that the backend server is running.
#[derive(Debug)]
pub struct Running {
    /// Client request that it belongs to.
    pub request_id: RequestId,
    /// Class of the request.
    pub class: ClassName,
    /// Importance of the class.
    pub importance: Importance,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Deadline on the monotonic clock.
    pub deadline_us: u64,
    /// Hops from the caller.
    pub depth: u8,
    /// Retries left to it and its nested calls.
    pub account: TokenPoolKey,
    /// Lowest admission level that its nested calls met.
    pub path_level: Level,
    /// Hash of what it runs.
    pub fingerprint: Fingerprint,
    /// Worker that runs it.
    pub incarnation: Incarnation,
    /// Ends the call when dropped.
    pub cut: Option<oneshot::Sender<()>>,
}

/// State of the local worker.
pub struct Local {
    /// Backend server, once it has announced itself.
    pub worker: Option<Worker>,
    /// Latest life of the backend server, whether or not it has ended.
    pub last_incarnation: Incarnation,
    /// Limit, queue and level.
    pub gate: Gate,
    /// Record of non-idempotent requests.
    pub once: DedupTable<Answer>,
    /// Way out.
    pub drain: Drain,
    /// Requests that may crash backend servers.
    pub suspects: CrashSuspects,
    /// Retry accounts of running calls and of callers' requests.
    pub accounts: TokenPools,
    /// Calls that the backend server is running.
    pub running: HashMap<CallId, Running>,
    /// Sends that wait for the end of another send of the same request.
    pub joined: HashMap<DedupKey, Vec<oneshot::Sender<Reply>>>,
    /// What the drain asks to be done.
    pub drain_actions: Vec<DrainAction>,
    /// Ends the process.
    pub exit: Option<oneshot::Sender<()>>,
    /// Queued calls that wait for the gate.
    pub waiting: Waiting,
}

/// How a worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Its process has ended without notice.
    Crash,
    /// It has fallen silent, or was replaced when nothing ran.
    Silence,
}

/// The present time on both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time.
    pub us: u64,
    /// Wall clock.
    pub unix_ms: u64,
}

/// Bounds on the memory of the local worker.
#[derive(Debug, Clone, Copy)]
pub struct LocalRules {
    /// Of the gate.
    pub gate: GateRules,
    /// Of the record of non-idempotent requests.
    pub once: crate::policy::dedup::DedupLimits,
    /// Of the record of suspects.
    pub suspects: crate::policy::suspect::SuspectLimits,
}

impl Local {
    /// Creates the state of a VM whose backend server has not announced itself.
    pub fn new(rules: LocalRules, seed: u64) -> Self {
        Self {
            worker: None,
            last_incarnation: Incarnation(0),
            gate: Gate::new(rules.gate, seed),
            once: DedupTable::new(rules.once),
            drain: Drain::new(),
            suspects: CrashSuspects::new(rules.suspects),
            accounts: TokenPools::default(),
            running: HashMap::default(),
            joined: HashMap::default(),
            drain_actions: Vec::new(),
            exit: None,
            waiting: Waiting::default(),
        }
    }

    /// Takes the loss of the worker; after a crash, everything in flight is blamed.
    pub fn lose_worker(&mut self, incarnation: Incarnation, loss: Loss, now: Now) -> bool {
        let is_present = self.incarnation() == Some(incarnation);
        let Some(worker) = self.worker.take_if(|_| is_present) else {
            return false;
        };
        if loss == Loss::Crash {
            let service = worker.announcement.service;
            let in_flight = self
                .running
                .values()
                .map(|call| (call.fingerprint, service.clone()));
            self.suspects
                .record_crash(incarnation, in_flight, now.unix_ms);
        }
        let mut actions = Vec::new();
        self.gate.reset(now.us, &mut actions);
        self.waiting.apply(actions);
        true
    }

    /// Identity of the present life of the worker.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.worker.as_ref().map(|worker| worker.incarnation)
    }

    /// Waits for the end of a request that another send has brought.
    pub fn join(&mut self, key: DedupKey) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.joined.entry(key).or_default().push(sender);
        receiver
    }

    /// Counts a call out.
    pub fn leave(&mut self) {
        let actions = self.drain.end_request();
        self.drain_actions.extend(actions);
    }

    /// Trusts a suspect again that has run to its end.
    pub fn clear(&mut self, fingerprint: Fingerprint, now_unix_ms: u64) {
        if self.suspects.verdict(fingerprint, now_unix_ms) == SuspectVerdict::RunAlone {
            self.suspects.clear(fingerprint);
        }
    }

    /// Cuts all calls that are running.
    pub fn cut_all(&mut self) {
        for call in self.running.values_mut() {
            call.cut = None;
        }
    }

    /// Lets the process end.
    pub fn exit(&mut self) {
        if let Some(exit) = self.exit.take() {
            let _ = exit.send(());
        }
    }
}
