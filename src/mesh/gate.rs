//! Gate in front of the local worker, which alone decides which requests run on it.

use {
    crate::{
        collections::HashMap,
        fleet::member::AdvertisedWorker,
        mesh::{
            frame::{Call, GateLoad, ServiceLoad, WorkerIncarnation},
            protocol::WorkerReport,
            runtime::now_us,
        },
        policy::{
            failures::FailureShare,
            gate::{Arrival, Finish, Gate, GateDecision, WorkKey},
            rate::RequestRate,
        },
        request::{Importance, Incarnation, Level, Rank, Reason, Refusal},
        waiting::{DecisionReceiver, GateWaiters},
    },
    smol_str::SmolStr,
    std::collections::VecDeque,
};

/// Number of departures kept, so that a delayed report does not reactivate a worker that has left.
const MAX_DEPARTURES: usize = 16;

/// Number of departures published for the next incarnation of this VM's daemon.
const MAX_PUBLISHED_DEPARTURES: usize = 4;

/// Request that runs on the worker.
#[derive(Debug)]
pub struct Running {
    /// Importance of the client's request at the root of the call tree.
    pub root_importance: Importance,
    /// Random bucket that orders requests of the same importance.
    pub bucket: u8,
    /// Depth in the call tree; zero for the client's request.
    pub depth: u8,
    /// Deadline, in microseconds on the clock of [`now_us`].
    pub deadline_us: u64,
    /// Results of its downstream calls so far.
    pub downstream: DownstreamOutcome,
}

/// Results of the downstream calls of a running request.
#[derive(Debug, Clone, Default)]
pub struct DownstreamOutcome {
    /// Most loaded service that they reached.
    pub most_loaded: Option<ServiceLoad>,
    /// Whether any call was made.
    pub has_calls: bool,
    /// Whether any call failed after all retries.
    pub has_failure: bool,
}

/// Local worker, by its latest report.
#[derive(Debug, Clone)]
pub struct LocalWorker {
    /// Latest report.
    pub report: WorkerReport,
    /// Whether its port has refused connections or not responded since that report.
    pub is_down: bool,
}

/// Effect of a report or a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No change that peers need to know of.
    None,
    /// The state published to peers has changed.
    State,
    /// Out of date, or of an unknown worker.
    Ignored,
}

/// Announced departure of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Departure {
    worker_id: SmolStr,
    /// Start time of the incarnation that left; `None` until a report provides it.
    started_unix_ms: Option<u64>,
}

/// Local worker and the gate in front of it.
pub struct LocalGate {
    worker: Option<LocalWorker>,
    departures: VecDeque<Departure>,
    gate: Gate,
    waiters: GateWaiters,
    failures: FailureShare,
    /// Limit on the rate of requests that the worker names.
    rate: Option<RequestRate>,
    /// Requests that run on the worker, by attempt id.
    pub running: HashMap<SmolStr, Running>,
    is_stopping: bool,
}

impl LocalGate {
    /// Creates the gate of a VM whose worker has not sent a report yet.
    pub fn new(gate: Gate) -> Self {
        Self {
            worker: None,
            departures: VecDeque::new(),
            gate,
            waiters: GateWaiters::default(),
            failures: FailureShare::default(),
            rate: None,
            running: HashMap::default(),
            is_stopping: false,
        }
    }

    /// Latest report of the worker; `None` while it accepts no requests.
    fn serving(&self) -> Option<&WorkerReport> {
        let worker = self.worker.as_ref()?;
        let is_closed = worker.is_down || worker.report.is_draining || self.is_stopping;
        (!is_closed).then_some(&worker.report)
    }

    /// State of the worker as published to peers; `None` while it accepts no requests.
    pub fn worker_state(&self) -> Option<AdvertisedWorker> {
        self.serving().map(|report| AdvertisedWorker {
            incarnation: report.incarnation.number(),
            service: report.service.clone(),
            slots: report.slots,
            load: 0,
            level: Level::OPEN,
            draining: false,
        })
    }

    /// Id of the worker if it is this incarnation.
    pub(super) fn worker_id(&self, incarnation: Incarnation) -> Option<SmolStr> {
        let known = &self.worker.as_ref()?.report.incarnation;
        (known.number() == incarnation).then(|| known.id.clone())
    }

    /// Applies a report of the local worker.
    pub fn report(&mut self, report: WorkerReport, now_us: u64) -> Change {
        if self.has_departed(&report.incarnation) {
            return Change::Ignored;
        }
        let before = self.worker_state();
        let mut actions = Vec::new();
        match &mut self.worker {
            Some(known) if known.report.incarnation == report.incarnation => {
                if report.sequence <= known.report.sequence {
                    return Change::Ignored;
                }
                let is_draining = known.report.is_draining || report.is_draining;
                if known.is_down {
                    self.gate.assume_need(now_us);
                }
                known.report = report;
                known.report.is_draining = is_draining;
                known.is_down = false;
            }
            Some(known)
                if known.report.incarnation.started_unix_ms
                    > report.incarnation.started_unix_ms =>
            {
                return Change::Ignored;
            }
            _ => {
                self.gate.announce(report.slots, now_us);
                self.gate.reset(now_us, &mut actions);
                if report.warm_up_remaining_ms == 0 {
                    // It ran before this daemon did, and may have named a limit.
                    self.gate.assume_need(now_us);
                }
                self.failures = FailureShare::default();
                self.rate = None;
                self.worker = Some(LocalWorker {
                    report,
                    is_down: false,
                });
            }
        }
        if let Some(worker) = &self.worker {
            self.gate.announce(worker.report.slots, now_us);
            if worker.report.warm_up_remaining_ms == 0 {
                self.gate.mark_warm(now_us);
            }
            let is_draining = worker.report.is_draining || self.is_stopping;
            self.gate.set_draining(is_draining, now_us, &mut actions);
        }
        self.waiters.apply(actions);
        if self.worker_state() == before {
            Change::None
        } else {
            Change::State
        }
    }

    /// Applies the departure of a worker. A departure of an incarnation that has not sent a report
    /// yet, for example after a restart of the daemon, applies to its later reports.
    pub fn leave(&mut self, worker_id: &str, started_unix_ms: Option<u64>, now_us: u64) -> Change {
        let known = self.worker.as_mut().filter(|worker| {
            let incarnation = &worker.report.incarnation;
            incarnation.id == worker_id
                && started_unix_ms.is_none_or(|started| started == incarnation.started_unix_ms)
        });
        let Some(worker) = known else {
            self.record_departure(worker_id, started_unix_ms);
            return Change::Ignored;
        };
        worker.report.is_draining = true;
        let started_unix_ms = worker.report.incarnation.started_unix_ms;
        self.record_departure(worker_id, Some(started_unix_ms));
        self.drain(now_us);
        Change::State
    }

    /// Applies the departure of an incarnation that says in an answer that it leaves.
    pub(super) fn leave_incarnation(&mut self, incarnation: Incarnation, now_us: u64) -> Change {
        let worker = self.worker.as_ref().filter(|worker| {
            worker.report.incarnation.number() == incarnation && !worker.report.is_draining
        });
        let Some(worker) = worker else {
            return Change::None;
        };
        let WorkerIncarnation {
            id,
            started_unix_ms,
        } = worker.report.incarnation.clone();
        self.leave(&id, Some(started_unix_ms), now_us)
    }

    /// Latest incarnations that have left, most recent first.
    pub fn departed(&self) -> Vec<WorkerIncarnation> {
        let incarnations = self.departures.iter().rev().filter_map(|departure| {
            departure
                .started_unix_ms
                .map(|started_unix_ms| WorkerIncarnation {
                    id: departure.worker_id.clone(),
                    started_unix_ms,
                })
        });
        incarnations.take(MAX_PUBLISHED_DEPARTURES).collect()
    }

    fn record_departure(&mut self, worker_id: &str, started_unix_ms: Option<u64>) {
        let departure = Departure {
            worker_id: worker_id.into(),
            started_unix_ms,
        };
        if self.departures.contains(&departure) {
            return;
        }
        self.departures.push_back(departure);
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.pop_front();
        }
    }

    /// Returns whether an incarnation has left. A departure without a start time is assigned to the
    /// first incarnation of that name that reports afterwards.
    fn has_departed(&mut self, incarnation: &WorkerIncarnation) -> bool {
        for departure in &mut self.departures {
            if departure.worker_id == incarnation.id {
                let started_unix_ms = *departure
                    .started_unix_ms
                    .get_or_insert(incarnation.started_unix_ms);
                if started_unix_ms == incarnation.started_unix_ms {
                    return true;
                }
            }
        }
        false
    }

    /// Stops accepting requests because the daemon is shutting down.
    pub fn stop(&mut self, now_us: u64) {
        self.is_stopping = true;
        self.drain(now_us);
    }

    fn drain(&mut self, now_us: u64) {
        let mut actions = Vec::new();
        self.gate.set_draining(true, now_us, &mut actions);
        self.waiters.apply(actions);
    }

    /// Marks the worker as down; returns whether it was up before.
    pub(super) fn mark_down(&mut self, incarnation: Incarnation, now_us: u64) -> bool {
        let Some(worker) = &mut self.worker else {
            return false;
        };
        if worker.report.incarnation.number() != incarnation || worker.is_down {
            return false;
        }
        worker.is_down = true;
        let mut actions = Vec::new();
        self.gate.reset(now_us, &mut actions);
        self.waiters.apply(actions);
        true
    }

    /// Advances the gate to the current time, which refuses expired requests and starts queued
    /// ones.
    pub fn tick(&mut self, now_us: u64) {
        let mut actions = Vec::new();
        self.gate.tick(now_us, &mut actions);
        self.waiters.apply(actions);
    }

    /// Number of requests in flight or queued.
    pub fn outstanding(&self) -> usize {
        self.gate.in_flight() + self.waiters.len()
    }

    /// Current load, as reported in replies.
    pub fn load(&self, now_us: u64) -> GateLoad {
        let report = self.gate.report(now_us);
        GateLoad {
            in_flight: report.in_flight as u32,
            queued: report.queued.values().sum::<usize>() as u32,
            limit: report.limit,
            latency_us: report.latency_us as u32,
            failed_permille: self.failures.permille(),
        }
    }

    /// Records the load that a downstream call of a running request reported. Keeps only the most
    /// loaded service, with its latest load.
    pub fn record_service_load(&mut self, parent: &str, load: &ServiceLoad) {
        let Some(running) = self.running.get_mut(parent) else {
            return;
        };
        match &mut running.downstream.most_loaded {
            Some(known) if known.service == load.service => {
                known.load_permille = load.load_permille;
                known.calls += load.calls;
            }
            Some(known) if known.load_permille >= load.load_permille => {}
            other => *other = Some(load.clone()),
        }
    }

    /// Records the result of a downstream call of a running request.
    pub fn record_downstream_call(&mut self, parent: &str, has_failed: bool) {
        if let Some(running) = self.running.get_mut(parent) {
            running.downstream.has_calls = true;
            running.downstream.has_failure |= has_failed;
        }
    }

    /// Records whether the worker has failed a request.
    pub(super) fn record_result(&mut self, has_failed: bool) {
        self.failures.record(has_failed, now_us());
    }

    /// Limit on the rate of requests that the worker names.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Applies the limit on the rate of requests that an answer of the worker names. Returns
    /// whether the worker has begun or ceased to name one.
    pub(super) fn record_rate(
        &mut self,
        incarnation: Incarnation,
        rate: Option<RequestRate>,
        now_us: u64,
    ) -> bool {
        if self.worker_id(incarnation).is_none() {
            return false;
        }
        let mut actions = Vec::new();
        self.gate.set_rate(rate, now_us, &mut actions);
        self.waiters.apply(actions);
        let before = std::mem::replace(&mut self.rate, rate);
        before.is_some() != rate.is_some()
    }

    pub(super) fn offer(
        &mut self,
        call: &Call,
        deadline_us: u64,
        now_us: u64,
    ) -> Result<GateEntry, Refusal> {
        let is_served = self.serving().is_some_and(|report| {
            report.incarnation.number() == call.worker && report.service == call.service
        });
        if !is_served {
            return Err(Refusal::not_run(Reason::Draining));
        }
        let arrival = Arrival {
            rank: Rank::from_parts(call.importance, call.bucket),
            deadline_us,
            exclusive: call.exclusive,
        };
        let mut actions = Vec::new();
        let decision = self.gate.offer(arrival, now_us, &mut actions);
        self.waiters.apply(actions);
        match decision {
            GateDecision::Started(key) => Ok(GateEntry {
                key,
                decision: None,
            }),
            GateDecision::Queued(key) => Ok(GateEntry {
                key,
                decision: Some(self.waiters.register(key)),
            }),
            GateDecision::Refused(refusal) => Err(refusal),
        }
    }

    pub(super) fn finish(&mut self, key: WorkKey, finish: Finish, now_us: u64) {
        self.waiters.remove(key);
        let mut actions = Vec::new();
        self.gate.finish(key, finish, now_us, &mut actions);
        self.waiters.apply(actions);
    }
}

/// Request that the gate has started or queued.
pub(super) struct GateEntry {
    pub(super) key: WorkKey,
    /// Decision on a queued request; `None` for a started one.
    pub(super) decision: Option<DecisionReceiver>,
}
