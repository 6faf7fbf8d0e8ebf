//! Runs calls on the local worker, through its gate.

use {
    crate::{
        mesh::{
            Mesh,
            frame::{Call, CallResult, Reply},
            gate::{Change, DownstreamOutcome, Running},
            http::{self, BodyBuffer},
            organisations::AuthenticationError,
            pool::{ExchangeError, ExchangeErrorKind, WorkerAnswer},
            protocol::{RequestContext, WorkerStatement},
            runtime::{now_us, sleep_until},
        },
        policy::{
            gate::{Finish, WorkKey},
            rate::RequestRate,
        },
        request::{Incarnation, Reason, Refusal, ServiceName},
    },
    futures::future::{Either, select},
    smol_str::{SmolStr, ToSmolStr},
    std::{pin::pin, rc::Rc},
};

/// Time before the sender's deadline at which the gate gives up, so that its reply arrives in time.
const GATE_DEADLINE_MARGIN_US: u64 = 40_000;

/// `Retry-After` advice for a request that the worker shed without giving any.
const SHED_RETRY_AFTER_MS: u32 = 100;

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
    let deadline_us = started_us
        .saturating_add(call.remaining_us)
        .saturating_sub(GATE_DEADLINE_MARGIN_US);
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
        answer.body.write(&mut payload);
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
