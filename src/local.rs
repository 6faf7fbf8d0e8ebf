//! State of the local worker, the backend server on the same VM.

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
        waiting::GateWaiters,
        worker::Worker,
    },
    derive_more::Display,
    futures::channel::oneshot,
};

/// Identity of one running call; the backend server sends it with nested calls.
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
pub struct RunningCall {
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
    /// Retry token pool of the call and its nested calls.
    pub token_pool: TokenPoolKey,
    /// Lowest admission level that its nested calls observed.
    pub path_level: Level,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Incarnation of the worker that runs it.
    pub incarnation: Incarnation,
    /// Cancels the call when dropped.
    pub cancel: Option<oneshot::Sender<()>>,
}

/// State of the local worker.
pub struct Local {
    /// Backend server, once it has announced itself.
    pub worker: Option<Worker>,
    /// Latest incarnation of the backend server, whether or not it still runs.
    pub last_incarnation: Incarnation,
    /// Concurrency limit, queue and admission level.
    pub gate: Gate,
    /// Record of non-idempotent requests.
    pub dedup: DedupTable<Answer>,
    /// Progress of a drain.
    pub drain: Drain,
    /// Requests suspected of crashing workers.
    pub suspects: CrashSuspects,
    /// Retry token pools of running calls and of callers' requests.
    pub token_pools: TokenPools,
    /// Calls that the backend server is running.
    pub running: HashMap<CallId, RunningCall>,
    /// Sends that wait for the end of another send of the same request.
    pub joined: HashMap<DedupKey, Vec<oneshot::Sender<Reply>>>,
    /// Actions of the drain that are still to be carried out.
    pub drain_actions: Vec<DrainAction>,
    /// Signal to end the process.
    pub exit: Option<oneshot::Sender<()>>,
    /// Queued calls that wait for the gate's decision.
    pub waiting: GateWaiters,
}

/// How a worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerLoss {
    /// Its process has ended without notice, or another process took its place.
    Crashed,
    /// Its announcements have stopped.
    Silent,
}

/// The current time on both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time.
    pub us: u64,
    /// Wall clock.
    pub unix_ms: u64,
}

/// Rules of the local worker's state.
#[derive(Debug, Clone, Copy)]
pub struct LocalRules {
    /// Rules of the gate.
    pub gate: GateRules,
    /// Limits of the record of non-idempotent requests.
    pub dedup: crate::policy::dedup::DedupLimits,
    /// Limits of the record of crash suspects.
    pub suspects: crate::policy::suspect::SuspectLimits,
}

impl Local {
    /// Creates the state of a VM whose backend server has not announced itself.
    pub fn new(rules: LocalRules, seed: u64) -> Self {
        Self {
            worker: None,
            last_incarnation: Incarnation(0),
            gate: Gate::new(rules.gate, seed),
            dedup: DedupTable::new(rules.dedup),
            drain: Drain::new(),
            suspects: CrashSuspects::new(rules.suspects),
            token_pools: TokenPools::default(),
            running: HashMap::default(),
            joined: HashMap::default(),
            drain_actions: Vec::new(),
            exit: None,
            waiting: GateWaiters::default(),
        }
    }

    /// Removes the worker if it is still this incarnation, and returns whether it was.
    ///
    /// After a crash, all calls in flight become crash suspects.
    pub fn remove_worker(&mut self, incarnation: Incarnation, loss: WorkerLoss, now: Now) -> bool {
        let is_present = self.incarnation() == Some(incarnation);
        let Some(worker) = self.worker.take_if(|_| is_present) else {
            return false;
        };
        if loss == WorkerLoss::Crashed {
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

    /// Current incarnation of the worker.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.worker.as_ref().map(|worker| worker.incarnation)
    }

    /// Returns a receiver for the reply to a request that another send has started.
    pub fn join(&mut self, key: DedupKey) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.joined.entry(key).or_default().push(sender);
        receiver
    }

    /// Counts a call as ended.
    pub fn finish_call(&mut self) {
        let actions = self.drain.end_request();
        self.drain_actions.extend(actions);
    }

    /// Clears a crash suspect that was run in isolation and has been answered.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint, now_unix_ms: u64) {
        if self.suspects.verdict(fingerprint, now_unix_ms) == SuspectVerdict::RunAlone {
            self.suspects.clear(fingerprint);
        }
    }

    /// Cancels all running calls.
    pub fn cancel_all(&mut self) {
        for call in self.running.values_mut() {
            call.cancel = None;
        }
    }

    /// Signals the process to end.
    pub fn exit(&mut self) {
        if let Some(exit) = self.exit.take() {
            let _ = exit.send(());
        }
    }
}
