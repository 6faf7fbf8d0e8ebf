//! Gate in front of the local worker: the one place that knows and decides what runs there.

use {
    crate::{
        collections::HashMap,
        mesh::{
            Mesh,
            directory::WorkerState,
            frame::{Call, CallResult, GateLoad, Pressure, Reply, WorkerLife},
            http,
            pool::{Breach, ExchangeError, WorkerAnswer},
            protocol::{WorkerOrders, WorkerReport},
            runtime::{now_us, until},
        },
        policy::gate::{Arrival, Finish, Gate, GateDecision, WorkKey},
        request::{Importance, Rank, Reason, Refusal, ServiceName},
        waiting::{DecisionReceiver, GateWaiters},
    },
    futures::future::{Either, select},
    smol_str::SmolStr,
    std::{collections::VecDeque, pin::pin, rc::Rc},
};

/// Time by which the gate gives up before the sender does, so that its verdict arrives in time.
const GIVE_UP_EARLY_US: u64 = 40_000;

/// Advice on when to come back with a request that the worker shed, if it gives none.
const SHED_RETRY_AFTER_MS: u32 = 100;

/// Departures that are remembered, so that a late report does not bring a worker back.
const MAX_DEPARTURES: usize = 16;

/// Departures that are published for the next daemon of the VM.
const MAX_PUBLISHED: usize = 4;

/// Request that the worker is running.
#[derive(Debug)]
pub struct Running {
    /// Importance of the client's request that it belongs to.
    pub root_importance: Importance,
    /// Place within the importance.
    pub bucket: u8,
    /// Calls between the client's request and this one.
    pub depth: u8,
    /// Deadline on the monotonic clock.
    pub deadline_us: u64,
    /// What its calls met.
    pub met: Met,
}

/// What the calls of a running request met.
#[derive(Debug, Clone, Default)]
pub struct Met {
    /// Most loaded service.
    pub pressure: Option<Pressure>,
    /// Whether there were calls.
    pub calls: bool,
    /// Whether a call failed for good.
    pub failure: bool,
}

/// Local worker as it last described itself.
#[derive(Debug, Clone)]
pub struct LocalWorker {
    /// What it said.
    pub report: WorkerReport,
    /// Whether its port was found closed or silent since.
    pub is_down: bool,
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others need to know.
    None,
    /// The worker takes requests, or takes them no longer.
    State,
    /// The report is out of date or of another worker.
    Ignored,
}

/// A worker that said that it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Departure {
    worker_id: SmolStr,
    /// Start of the life that left; `None` until a report tells it.
    born_unix_ms: Option<u64>,
}

/// State of the gate.
pub struct LocalGate {
    worker: Option<LocalWorker>,
    departures: VecDeque<Departure>,
    gate: Gate,
    waiting: GateWaiters,
    /// Requests at the worker, by attempt.
    pub running: HashMap<SmolStr, Running>,
    is_stopping: bool,
}

impl LocalGate {
    /// Gate of a VM whose worker has not been heard.
    pub fn new(gate: Gate) -> Self {
        Self {
            worker: None,
            departures: VecDeque::new(),
            gate,
            waiting: GateWaiters::default(),
            running: HashMap::default(),
            is_stopping: false,
        }
    }

    /// Last report of the worker; `None` while it takes no requests.
    fn serving(&self) -> Option<&WorkerReport> {
        let worker = self.worker.as_ref()?;
        let is_closed = worker.is_down || worker.report.is_draining || self.is_stopping;
        (!is_closed).then_some(&worker.report)
    }

    /// Worker as others may use it; `None` while it takes no requests.
    pub fn worker_state(&self) -> Option<WorkerState> {
        self.serving().map(|report| WorkerState {
            life: report.life.clone(),
            service: report.service.clone(),
            slots: report.slots,
        })
    }

    /// Takes a report of the local worker.
    pub fn report(&mut self, report: WorkerReport, now_us: u64) -> Change {
        if self.has_left(&report.life) {
            return Change::Ignored;
        }
        let before = self.worker_state();
        let mut actions = Vec::new();
        match &mut self.worker {
            Some(known) if known.report.life == report.life => {
                if report.sequence <= known.report.sequence {
                    return Change::Ignored;
                }
                let is_draining = known.report.is_draining || report.is_draining;
                known.report = report;
                known.report.is_draining = is_draining;
                known.is_down = false;
            }
            Some(known) if known.report.life.born_unix_ms > report.life.born_unix_ms => {
                return Change::Ignored;
            }
            _ => {
                self.gate.announce(report.slots, now_us);
                self.gate.reset(now_us, &mut actions);
                self.worker = Some(LocalWorker {
                    report,
                    is_down: false,
                });
            }
        }
        if let Some(worker) = &self.worker {
            self.gate.announce(worker.report.slots, now_us);
            if worker.report.cold_ms == 0 {
                self.gate.mark_warm(now_us);
            }
            let is_draining = worker.report.is_draining || self.is_stopping;
            self.gate.set_draining(is_draining, now_us, &mut actions);
        }
        self.waiting.apply(actions);
        if self.worker_state() == before {
            Change::None
        } else {
            Change::State
        }
    }

    /// Takes the departure of the local worker. It also counts for a life that has not been heard
    /// yet, as when the daemon has just started.
    pub fn leave(&mut self, worker_id: &str, born_unix_ms: Option<u64>, now_us: u64) -> Change {
        let known = self.worker.as_mut().filter(|worker| {
            let life = &worker.report.life;
            life.id == worker_id && born_unix_ms.is_none_or(|born| born == life.born_unix_ms)
        });
        let Some(worker) = known else {
            self.note_departure(worker_id, born_unix_ms);
            return Change::Ignored;
        };
        worker.report.is_draining = true;
        let born_unix_ms = worker.report.life.born_unix_ms;
        self.note_departure(worker_id, Some(born_unix_ms));
        self.drain(now_us);
        Change::State
    }

    /// Lives that have left, the latest ones.
    pub fn departed(&self) -> Vec<WorkerLife> {
        let lives = self.departures.iter().rev().filter_map(|departure| {
            departure.born_unix_ms.map(|born_unix_ms| WorkerLife {
                id: departure.worker_id.clone(),
                born_unix_ms,
            })
        });
        lives.take(MAX_PUBLISHED).collect()
    }

    fn note_departure(&mut self, worker_id: &str, born_unix_ms: Option<u64>) {
        let departure = Departure {
            worker_id: worker_id.into(),
            born_unix_ms,
        };
        if self.departures.contains(&departure) {
            return;
        }
        self.departures.push_back(departure);
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.pop_front();
        }
    }

    /// Tells whether a life has left. A departure that does not tell its start is bound to the first
    /// life of that name that is heard after it.
    fn has_left(&mut self, life: &WorkerLife) -> bool {
        for departure in &mut self.departures {
            if departure.worker_id == life.id {
                let born_unix_ms = *departure.born_unix_ms.get_or_insert(life.born_unix_ms);
                if born_unix_ms == life.born_unix_ms {
                    return true;
                }
            }
        }
        false
    }

    /// Takes no new requests, as the daemon stops.
    pub fn stop(&mut self, now_us: u64) {
        self.is_stopping = true;
        self.drain(now_us);
    }

    fn drain(&mut self, now_us: u64) {
        let mut actions = Vec::new();
        self.gate.set_draining(true, now_us, &mut actions);
        self.waiting.apply(actions);
    }

    /// Notes that the worker's port is closed or silent; true if that is news.
    fn mark_down(&mut self, life: &WorkerLife, now_us: u64) -> bool {
        let Some(worker) = &mut self.worker else {
            return false;
        };
        if worker.report.life != *life || worker.is_down {
            return false;
        }
        worker.is_down = true;
        let mut actions = Vec::new();
        self.gate.reset(now_us, &mut actions);
        self.waiting.apply(actions);
        true
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_us: u64) {
        let mut actions = Vec::new();
        self.gate.tick(now_us, &mut actions);
        self.waiting.apply(actions);
    }

    /// Requests at the worker and requests that wait.
    pub fn in_hand(&self) -> usize {
        self.gate.in_flight() + self.waiting.len()
    }

    /// Load, for replies.
    pub fn load(&self, now_us: u64) -> GateLoad {
        let report = self.gate.report(now_us);
        GateLoad {
            in_flight: report.in_flight as u32,
            queued: report.queued.values().sum::<usize>() as u32,
            limit: report.limit,
            latency_us: report.latency_us as u32,
        }
    }

    /// Notes the load that a call of a running request met. Of one service the latest counts, of
    /// several the most loaded.
    pub fn note_pressure(&mut self, parent: &str, met: &Pressure) {
        let Some(running) = self.running.get_mut(parent) else {
            return;
        };
        match &mut running.met.pressure {
            Some(known) if known.service == met.service => {
                known.load_permille = met.load_permille;
                known.calls += met.calls;
            }
            Some(known) if known.load_permille >= met.load_permille => {}
            other => *other = Some(met.clone()),
        }
    }

    /// Notes the end of a call of a running request.
    pub fn note_call(&mut self, parent: &str, has_failed: bool) {
        if let Some(running) = self.running.get_mut(parent) {
            running.met.calls = true;
            running.met.failure |= has_failed;
        }
    }

    fn offer(&mut self, call: &Call, deadline_us: u64, now_us: u64) -> Result<Ticket, Refusal> {
        let is_served = self
            .serving()
            .is_some_and(|report| report.life == call.worker && report.service == call.service);
        if !is_served {
            return Err(Refusal::not_run(Reason::Draining));
        }
        let arrival = Arrival {
            rank: Rank::from_parts(call.importance, call.bucket),
            deadline_us,
            exclusive: call.exclusive,
        };
        let mut actions = Vec::new();
        let offer = self.gate.offer(arrival, now_us, &mut actions);
        self.waiting.apply(actions);
        match offer {
            GateDecision::Started(key) => Ok(Ticket { key, waiting: None }),
            GateDecision::Queued(key) => Ok(Ticket {
                key,
                waiting: Some(self.waiting.register(key)),
            }),
            GateDecision::Refused(refusal) => Err(refusal),
        }
    }

    fn finish(&mut self, key: WorkKey, finish: Finish, now_us: u64) {
        self.waiting.remove(key);
        let mut actions = Vec::new();
        self.gate.finish(key, finish, now_us, &mut actions);
        self.waiting.apply(actions);
    }
}

struct Ticket {
    key: WorkKey,
    waiting: Option<DecisionReceiver>,
}

/// Place at the gate; given back when dropped.
struct Slot<'a> {
    mesh: &'a Mesh,
    key: WorkKey,
    attempt_id: Option<SmolStr>,
    finish: Finish,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut gate = self.mesh.gate.borrow_mut();
        gate.finish(self.key, self.finish, now_us());
        if let Some(attempt_id) = &self.attempt_id {
            gate.running.remove(attempt_id);
        }
    }
}

/// Runs a call on the local worker; dropping the future cancels it.
pub async fn serve(mesh: &Rc<Mesh>, call: &Call, payload: &[u8]) -> (Reply, Vec<u8>) {
    if mesh.crashes.is_quarantined(call.fingerprint) {
        return mesh.refused(call, Refusal::not_run(Reason::Quarantined), false);
    }
    let started_us = now_us();
    let deadline_us = (started_us + call.remaining_us).saturating_sub(GIVE_UP_EARLY_US);
    let ticket = mesh.gate.borrow_mut().offer(call, deadline_us, started_us);
    let ticket = match ticket {
        Ok(ticket) => ticket,
        Err(refusal) => return mesh.refused(call, refusal, false),
    };
    let mut slot = Slot {
        mesh,
        key: ticket.key,
        attempt_id: None,
        finish: Finish::Cancelled,
    };
    if let Some(waiting) = ticket.waiting {
        let verdict = match select(waiting, until(deadline_us)).await {
            Either::Left((verdict, _)) => {
                verdict.unwrap_or(Err(Refusal::not_run(Reason::Internal)))
            }
            Either::Right(_) => Err(Refusal::not_run(Reason::Deadline)),
        };
        if let Err(refusal) = verdict {
            drop(slot);
            return mesh.refused(call, refusal, false);
        }
    }
    mesh.run(call, payload, &mut slot, deadline_us).await
}

impl Mesh {
    fn refused(&self, call: &Call, refusal: Refusal, was_sent: bool) -> (Reply, Vec<u8>) {
        let load = self.gate.borrow().load(now_us());
        tracing::info!(attempt = %call.attempt_id, route = %call.route, %refusal, was_sent,
            in_flight = load.in_flight, queued = load.queued, limit = load.limit,
            remaining_us = call.remaining_us, "refused by the gate");
        self.metrics.count("gate.refused");
        (
            self.reply(CallResult::Refused(refusal), was_sent, Met::default()),
            Vec::new(),
        )
    }

    fn reply(&self, result: CallResult, was_sent: bool, met: Met) -> Reply {
        let mut load = self.gate.borrow().load(now_us());
        // The request itself still has its slot.
        load.in_flight = load.in_flight.saturating_sub(u32::from(was_sent));
        Reply {
            result,
            was_sent,
            load,
            made_calls: met.calls,
            met_failure: met.failure,
            pressure: met.pressure,
        }
    }

    async fn run(
        self: &Rc<Self>,
        call: &Call,
        payload: &[u8],
        slot: &mut Slot<'_>,
        deadline_us: u64,
    ) -> (Reply, Vec<u8>) {
        let now_us = now_us();
        if deadline_us <= now_us {
            return self.refused(call, Refusal::not_run(Reason::Deadline), false);
        }
        let running = Running {
            root_importance: call.root_importance,
            bucket: call.bucket,
            depth: call.depth,
            deadline_us,
            met: Met::default(),
        };
        self.gate
            .borrow_mut()
            .running
            .insert(call.attempt_id.clone(), running);
        slot.attempt_id = Some(call.attempt_id.clone());
        let request = self.worker_request(call, payload, (deadline_us - now_us) / 1_000);
        let is_head = payload.starts_with(b"HEAD ");
        let addr = self.settings.worker_addr;
        let exchange = pin!(
            self.pool
                .exchange(addr, &request, &call.attempt_id, is_head)
        );
        let result = match select(exchange, until(deadline_us)).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                let refusal = Refusal::unknown(Reason::Deadline);
                slot.finish = Finish::Failed;
                return self.refused(call, refusal, true);
            }
        };
        let met = {
            let gate = self.gate.borrow();
            let running = gate.running.get(&call.attempt_id);
            running
                .map(|running| running.met.clone())
                .unwrap_or_default()
        };
        match result {
            Ok(answer) => {
                let took_us = crate::mesh::runtime::now_us() - now_us;
                self.latencies.record("worker", took_us);
                self.answered(call, slot, &answer, met)
            }
            Err(error) => {
                slot.finish = Finish::Failed;
                self.broken(call, &error)
            }
        }
    }

    /// The request as the worker gets it.
    fn worker_request(&self, call: &Call, payload: &[u8], remaining_ms: u64) -> Vec<u8> {
        let (head, body) = payload.split_at((call.head_bytes as usize).min(payload.len()));
        let mut request = Vec::with_capacity(payload.len() + 256);
        request.extend_from_slice(head);
        let orders = WorkerOrders {
            remaining_ms,
            worker_id: &call.worker.id,
            caller_service: &call.caller_service,
        };
        self.protocol.write_orders(&mut request, orders);
        let has_body = !(head.starts_with(b"GET ") || head.starts_with(b"HEAD "));
        if has_body || !body.is_empty() {
            http::write_number(&mut request, "Content-Length", body.len());
        }
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(body);
        request
    }

    fn answered(
        self: &Rc<Self>,
        call: &Call,
        slot: &mut Slot<'_>,
        answer: &WorkerAnswer,
        met: Met,
    ) -> (Reply, Vec<u8>) {
        let facts = self.protocol.answer_facts(&answer.head);
        if facts.is_other_worker {
            slot.finish = Finish::Cancelled;
            self.worker_down(&call.worker, "another worker answers at its address");
            return self.refused(call, Refusal::not_run(Reason::Unreachable), true);
        }
        slot.finish = if facts.is_not_run {
            Finish::Failed
        } else {
            Finish::Done
        };
        let mut payload = Vec::with_capacity(answer.body.len() + 512);
        answer.head.write_fields(&mut payload, |_| false);
        if !facts.is_not_run {
            self.clear_suspect(call.fingerprint);
        } else if answer.head.field("retry-after").is_none() {
            http::write_retry_after(&mut payload, SHED_RETRY_AFTER_MS);
        }
        let result = CallResult::Answer {
            status: answer.head.status,
            head_bytes: payload.len() as u32,
            not_run: facts.is_not_run,
        };
        payload.extend_from_slice(&answer.body);
        (self.reply(result, true, met), payload)
    }

    fn broken(self: &Rc<Self>, call: &Call, error: &ExchangeError) -> (Reply, Vec<u8>) {
        tracing::info!(attempt = %call.attempt_id, route = %call.route, worker = %call.worker,
            %error, "no whole answer from worker");
        self.metrics.count("worker.broken");
        if error.breach == Breach::Cut {
            self.crashes.cut(call);
            self.check_worker(&call.worker);
        }
        if error.breach == Breach::NoConnection {
            self.worker_down(&call.worker, &error.detail);
        }
        let refusal = if error.may_have_run {
            Refusal::unknown(Reason::Broken)
        } else {
            Refusal::not_run(Reason::Unreachable)
        };
        self.refused(call, refusal, error.may_have_run)
    }

    pub(super) fn worker_down(self: &Rc<Self>, life: &WorkerLife, cause: &str) {
        if self.gate.borrow_mut().mark_down(life, now_us()) {
            tracing::warn!(worker = %life, cause, "worker lost");
            self.metrics.count("worker.lost");
            self.pool.clear();
            self.blame_cuts(life);
            self.publish();
        }
    }

    /// Name of the service beside this daemon.
    pub fn own_service(&self) -> &ServiceName {
        &self.settings.service
    }
}
