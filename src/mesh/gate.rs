//! Gate in front of the local worker, which alone decides which requests run on it.

use {
    crate::{
        collections::HashMap,
        fleet::member::AdvertisedWorker,
        mesh::{
            Mesh,
            frame::{Call, CallResult, GateLoad, Reply, ServiceLoad, WorkerIncarnation},
            http,
            organisations::AuthenticationError,
            pool::{ExchangeError, ExchangeErrorKind, WorkerAnswer},
            protocol::{RequestContext, WorkerReport, WorkerStatement},
            runtime::{now_us, sleep_until},
        },
        policy::{
            failures::FailureShare,
            gate::{Arrival, Finish, Gate, GateDecision, WorkKey},
            rate::RequestRate,
        },
        request::{Importance, Incarnation, Level, Rank, Reason, Refusal, ServiceName},
        waiting::{DecisionReceiver, GateWaiters},
    },
    futures::future::{Either, select},
    smol_str::{SmolStr, ToSmolStr},
    std::{collections::VecDeque, pin::pin, rc::Rc},
};

/// Time before the sender's deadline at which the gate gives up, so that its reply arrives in time.
const GATE_DEADLINE_MARGIN_US: u64 = 40_000;

/// `Retry-After` advice for a request that the worker shed without giving any.
const SHED_RETRY_AFTER_MS: u32 = 100;

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
    fn worker_id(&self, incarnation: Incarnation) -> Option<SmolStr> {
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
    fn leave_incarnation(&mut self, incarnation: Incarnation, now_us: u64) -> Change {
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
    fn mark_down(&mut self, incarnation: Incarnation, now_us: u64) -> bool {
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
    fn record_result(&mut self, has_failed: bool) {
        self.failures.record(has_failed, now_us());
    }

    /// Limit on the rate of requests that the worker names.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Applies the limit on the rate of requests that an answer of the worker names. Returns
    /// whether the worker has begun or ceased to name one.
    fn record_rate(
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

    fn offer(&mut self, call: &Call, deadline_us: u64, now_us: u64) -> Result<GateEntry, Refusal> {
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

    fn finish(&mut self, key: WorkKey, finish: Finish, now_us: u64) {
        self.waiters.remove(key);
        let mut actions = Vec::new();
        self.gate.finish(key, finish, now_us, &mut actions);
        self.waiters.apply(actions);
    }
}

/// Request that the gate has started or queued.
struct GateEntry {
    key: WorkKey,
    /// Decision on a queued request; `None` for a started one.
    decision: Option<DecisionReceiver>,
}

/// Guard of a request at the gate; releases its slot or its place in the queue when dropped.
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

/// Runs a call on the local worker. Dropping the future cancels the call.
pub async fn serve(mesh: &Rc<Mesh>, call: &Call, payload: &[u8]) -> (Reply, Vec<u8>) {
    if mesh.crashes.is_quarantined(call.fingerprint) {
        return mesh.refusal_reply(call, Refusal::not_run(Reason::Quarantined), false);
    }
    let started_us = now_us();
    let deadline_us = (started_us + call.remaining_us).saturating_sub(GATE_DEADLINE_MARGIN_US);
    let entry = mesh.gate.borrow_mut().offer(call, deadline_us, started_us);
    let entry = match entry {
        Ok(entry) => entry,
        Err(refusal) => return mesh.refusal_reply(call, refusal, false),
    };
    let mut slot = Slot {
        mesh,
        key: entry.key,
        attempt_id: None,
        finish: Finish::Cancelled,
    };
    if let Some(decision) = entry.decision {
        let verdict = match select(decision, sleep_until(deadline_us)).await {
            Either::Left((verdict, _)) => {
                verdict.unwrap_or(Err(Refusal::not_run(Reason::Internal)))
            }
            Either::Right(_) => Err(Refusal::not_run(Reason::Deadline)),
        };
        if let Err(refusal) = verdict {
            drop(slot);
            return mesh.refusal_reply(call, refusal, false);
        }
    }
    mesh.run_on_worker(call, payload, &mut slot, deadline_us)
        .await
}

/// Runs a call from a build that knows no organisations. Checks the client's API key and sets the
/// organisation, as the daemon that the client called has not.
pub async fn serve_unchecked(
    mesh: &Rc<Mesh>,
    mut call: Call,
    payload: Vec<u8>,
) -> (Reply, Vec<u8>) {
    let table = mesh.routes.borrow().clone();
    let Some(table) = table.filter(|table| !table.organisations.is_empty()) else {
        return serve(mesh, &call, &payload).await;
    };
    let (head, body) = payload.split_at((call.head_bytes as usize).min(payload.len()));
    let parsed = http::parse_request(&[head, b"\r\n"].concat());
    let Ok(Some((head, _))) = parsed else {
        let refusal = Refusal::not_run(Reason::BadRequest);
        return mesh.refusal_reply(&call, refusal, false);
    };
    let is_public = table
        .find(&head.host, head.path())
        .is_some_and(|route| route.is_public);
    let credential = mesh.protocol.credential(&head);
    match table.organisations.authenticate(credential, is_public) {
        Ok(organisation) => {
            let mut checked = mesh.payload_head(&head, &table.organisations, organisation);
            call.head_bytes = checked.len() as u32;
            checked.extend_from_slice(body);
            serve(mesh, &call, &checked).await
        }
        Err(error) => mesh.unauthenticated_reply(&call, error),
    }
}

impl Mesh {
    /// Reply to a call whose client has no valid API key.
    fn unauthenticated_reply(&self, call: &Call, error: AuthenticationError) -> (Reply, Vec<u8>) {
        tracing::info!(attempt = %call.attempt_id, route = %call.route, %error,
            "not authenticated by a daemon of an earlier build");
        self.metrics.count("gate.not_authenticated");
        let mut fields = Vec::new();
        self.protocol.write_refusal(&mut fields, &call.attempt_id);
        self.protocol.write_challenge(&mut fields);
        let result = CallResult::Answer {
            status: 401,
            head_bytes: fields.len() as u32,
            not_run: true,
        };
        (
            self.reply(result, false, DownstreamOutcome::default()),
            fields,
        )
    }

    fn refusal_reply(&self, call: &Call, refusal: Refusal, was_sent: bool) -> (Reply, Vec<u8>) {
        let load = self.gate.borrow().load(now_us());
        tracing::info!(attempt = %call.attempt_id, route = %call.route, %refusal, was_sent,
            in_flight = load.in_flight, queued = load.queued, limit = load.limit,
            remaining_us = call.remaining_us, "refused by the gate");
        self.metrics.count("gate.refused");
        (
            self.reply(
                CallResult::Refused(refusal),
                was_sent,
                DownstreamOutcome::default(),
            ),
            Vec::new(),
        )
    }

    fn reply(&self, result: CallResult, was_sent: bool, downstream: DownstreamOutcome) -> Reply {
        let mut load = self.gate.borrow().load(now_us());
        // The finished request still occupies its slot.
        load.in_flight = load.in_flight.saturating_sub(u32::from(was_sent));
        Reply {
            result,
            was_sent,
            load,
            made_calls: downstream.has_calls,
            downstream_failed: downstream.has_failure,
            most_loaded: downstream.most_loaded,
        }
    }

    async fn run_on_worker(
        self: &Rc<Self>,
        call: &Call,
        payload: &[u8],
        slot: &mut Slot<'_>,
        deadline_us: u64,
    ) -> (Reply, Vec<u8>) {
        let now_us = now_us();
        if deadline_us <= now_us {
            return self.refusal_reply(call, Refusal::not_run(Reason::Deadline), false);
        }
        let worker_id = self.gate.borrow().worker_id(call.worker);
        let Some(worker_id) = worker_id else {
            return self.refusal_reply(call, Refusal::not_run(Reason::Draining), false);
        };
        let running = Running {
            root_importance: call.root_importance,
            bucket: call.bucket,
            depth: call.depth,
            deadline_us,
            downstream: DownstreamOutcome::default(),
        };
        self.gate
            .borrow_mut()
            .running
            .insert(call.attempt_id.clone(), running);
        slot.attempt_id = Some(call.attempt_id.clone());
        let remaining_ms = (deadline_us - now_us) / 1_000;
        let request = self.worker_request(call, payload, &worker_id, remaining_ms);
        let is_head_request = payload.starts_with(b"HEAD ");
        let addr = self.settings.worker_addr;
        let exchange = pin!(
            self.pool
                .exchange(addr, &request, &call.attempt_id, is_head_request)
        );
        let result = match select(exchange, sleep_until(deadline_us)).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                let refusal = Refusal::unknown(Reason::Deadline);
                slot.finish = Finish::Failed;
                // A request with downstream calls may have waited for those.
                let mut gate = self.gate.borrow_mut();
                let running = gate.running.get(&call.attempt_id);
                if running.is_none_or(|running| !running.downstream.has_calls) {
                    gate.record_result(true);
                }
                drop(gate);
                return self.refusal_reply(call, refusal, true);
            }
        };
        let downstream = {
            let gate = self.gate.borrow();
            let running = gate.running.get(&call.attempt_id);
            running
                .map(|running| running.downstream.clone())
                .unwrap_or_default()
        };
        match result {
            Ok(answer) => {
                let took_us = crate::mesh::runtime::now_us() - now_us;
                self.latencies.record("worker", took_us);
                self.handle_answer(call, slot, &answer, downstream)
            }
            Err(error) => {
                slot.finish = Finish::Failed;
                self.gate.borrow_mut().record_result(true);
                self.handle_exchange_error(call, &error)
            }
        }
    }

    /// Encodes the request that is sent to the worker.
    fn worker_request(
        &self,
        call: &Call,
        payload: &[u8],
        worker_id: &str,
        remaining_ms: u64,
    ) -> Vec<u8> {
        let (head, body) = payload.split_at((call.head_bytes as usize).min(payload.len()));
        let mut request = Vec::with_capacity(payload.len() + 256);
        request.extend_from_slice(head);
        let context = RequestContext {
            remaining_ms,
            worker_id,
            caller_service: &call.caller_service,
        };
        self.protocol.write_request_context(&mut request, context);
        let has_body = !(head.starts_with(b"GET ") || head.starts_with(b"HEAD "));
        if has_body || !body.is_empty() {
            http::write_number(&mut request, "Content-Length", body.len());
        }
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(body);
        request
    }

    fn handle_answer(
        self: &Rc<Self>,
        call: &Call,
        slot: &mut Slot<'_>,
        answer: &WorkerAnswer,
        downstream: DownstreamOutcome,
    ) -> (Reply, Vec<u8>) {
        let metadata = self.protocol.answer_metadata(&answer.head);
        if metadata.is_other_worker {
            slot.finish = Finish::Cancelled;
            self.mark_worker_down(call.worker, "another worker answers at its address");
            return self.refusal_reply(call, Refusal::not_run(Reason::Unreachable), true);
        }
        if metadata.is_stamped || metadata.is_not_run {
            self.apply_statement(call.worker, metadata.statement);
        }
        slot.finish = if metadata.is_not_run {
            Finish::Failed
        } else {
            Finish::Done
        };
        let is_failure = answer.head.status >= 500 && !downstream.has_failure;
        self.gate
            .borrow_mut()
            .record_result(metadata.is_not_run || is_failure);
        let mut payload = Vec::with_capacity(answer.body.len() + 512);
        answer.head.write_fields(&mut payload, |_| false);
        if !metadata.is_not_run {
            self.clear_suspect(call.fingerprint);
        } else if answer.head.field("retry-after").is_none() {
            http::write_retry_after(&mut payload, SHED_RETRY_AFTER_MS);
        }
        let result = CallResult::Answer {
            status: answer.head.status,
            head_bytes: payload.len() as u32,
            not_run: metadata.is_not_run,
        };
        payload.extend_from_slice(&answer.body);
        (self.reply(result, true, downstream), payload)
    }

    /// Applies what the worker says of itself in a genuine answer.
    fn apply_statement(self: &Rc<Self>, worker: Incarnation, statement: WorkerStatement<'_>) {
        self.apply_rate(worker, statement.rate);
        if statement.is_leaving {
            self.apply_departure(worker);
        }
    }

    /// Applies the limit on the rate of requests that a genuine answer names. An unreadable one
    /// leaves the present limit as it is.
    fn apply_rate(&self, worker: Incarnation, named: Option<&str>) {
        let rate = match named.map(RequestRate::try_from).transpose() {
            Ok(rate) => rate,
            Err(error) => {
                self.metrics.count("worker.bad_limit");
                tracing::warn!(%worker, %error, "unreadable limit of the worker ignored");
                return;
            }
        };
        if self.gate.borrow_mut().record_rate(worker, rate, now_us()) {
            let rate = rate.map(|rate| rate.to_smolstr());
            tracing::info!(%worker, ?rate, "limit named by the worker");
            self.metrics.count("worker.limit_changes");
        }
    }

    /// Stops sending requests to a worker that says in an answer that it leaves.
    fn apply_departure(self: &Rc<Self>, worker: Incarnation) {
        let change = self.gate.borrow_mut().leave_incarnation(worker, now_us());
        if change == Change::State {
            self.publish_worker_change(change, &worker.to_string(), "answer");
            self.registry.wake();
        }
    }

    fn handle_exchange_error(
        self: &Rc<Self>,
        call: &Call,
        error: &ExchangeError,
    ) -> (Reply, Vec<u8>) {
        tracing::info!(attempt = %call.attempt_id, route = %call.route, worker = %call.worker,
            %error, "no whole answer from worker");
        self.metrics.count("worker.broken");
        if error.kind == ExchangeErrorKind::ConnectionLost {
            self.crashes.record_interrupted(call);
            self.check_worker_alive(call.worker);
        }
        if error.kind == ExchangeErrorKind::NoConnection {
            self.mark_worker_down(call.worker, &error.detail);
        }
        let refusal = if error.may_have_run {
            Refusal::unknown(Reason::Broken)
        } else {
            Refusal::not_run(Reason::Unreachable)
        };
        self.refusal_reply(call, refusal, error.may_have_run)
    }

    pub(super) fn mark_worker_down(self: &Rc<Self>, incarnation: Incarnation, cause: &str) {
        if self.gate.borrow_mut().mark_down(incarnation, now_us()) {
            tracing::warn!(worker = %incarnation, cause, "worker lost");
            self.metrics.count("worker.lost");
            self.pool.clear();
            self.suspect_interrupted(incarnation);
            self.publish();
        }
    }

    /// Service of the local worker.
    pub fn own_service(&self) -> &ServiceName {
        &self.settings.service
    }
}
