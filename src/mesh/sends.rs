//! Sends of one request to workers: the choice of workers, retries, and the final result.

use {
    crate::{
        fleet::Reachability,
        mesh::{
            Mesh,
            directory::{Choice, Reach},
            forward::{Answer, Inbound, RoutedRequest},
            frame::{Call, CallResult, GateLoad, Reply, ServiceLoad},
            known_worker::SendOutcome,
            link::{Link, LinkResult},
            runtime::{now_us, sleep_until},
            work,
        },
        policy::{admission::BottleneckLoad, retry_budget::RetryBudget},
        request::{Incarnation, Outcome, Reason, Refusal, ServiceName},
    },
    futures::future::{Either, select},
    smol_str::SmolStr,
    std::{cell::RefMut, pin::pin, rc::Rc},
};

/// Largest number of gate rejections after which a request is still sent to another worker. More
/// would spread an overload.
const MAX_GATE_REJECTIONS: usize = 3;

/// Shortest remaining time in which another send is useful.
const MIN_RESEND_US: u64 = 20_000;

/// `Retry-After` advice while no worker or no configuration is known. After an outage of the store,
/// the daemons' entries are back within twice this time.
pub(super) const RETRY_AFTER_NO_WORKER_MS: u32 = 1_000;

/// Sends of a request so far.
#[derive(Debug)]
pub(super) struct SendHistory {
    /// VM of the latest send.
    pub(super) vm: SmolStr,
    reach: Reach,
    tried: Vec<Incarnation>,
    pub(super) sends: u32,
    pub(super) gate_rejections: usize,
    may_have_run: bool,
    /// Whether a downstream call of the latest run failed after all retries.
    pub(super) downstream_failed: bool,
}

/// Result of one send.
enum SendResult {
    /// Final answer of the worker.
    Answer(Answer),
    /// Failure of the worker, after which the request may be sent to another one.
    Failure(Failure),
    /// No answer, or a refusal by the gate.
    Refused(Refusal),
}

/// Failure that a worker answered with.
struct Failure {
    answer: Answer,
    /// Whether the worker states that it has not run the request.
    states_not_run: bool,
}

/// Result for the client if no further send is answered.
struct Fallback {
    failure: Option<Failure>,
    refusal: Refusal,
}

impl Mesh {
    /// Sends the request to workers until one answers or no further send is allowed.
    pub(super) async fn forward(
        self: &Rc<Self>,
        request: &RoutedRequest,
        inbound: &Inbound,
        history: &mut SendHistory,
    ) -> Result<Answer, Refusal> {
        let organisations = &request.table.organisations;
        let head = self.payload_head(&inbound.head, organisations, request.organisation);
        let payload = [head.as_slice(), inbound.body.as_slice()];
        self.retry_budget(&request.service)
            .count_first_send(self.settings.retry_budget, request.started_us);
        let mut fallback = Fallback {
            failure: None,
            refusal: Refusal::not_run(Reason::NoWorker).retry_after_ms(RETRY_AFTER_NO_WORKER_MS),
        };
        loop {
            let now_us = now_us();
            if now_us >= request.deadline_us {
                fallback.refusal = Refusal::not_run(Reason::Deadline);
                return fallback.into_result(history);
            }
            let reach = history.reach;
            let choice =
                self.directory
                    .borrow_mut()
                    .choose(&request.service, &history.tried, reach, now_us);
            let Some(choice) = choice else {
                return fallback.into_result(history);
            };
            if history.sends > 0 && !self.spend_retry_token(request, now_us) {
                return fallback.into_result(history);
            }
            let sent = self.send(request, payload, &choice, history).await;
            history.vm = choice.vm;
            history.tried.push(choice.incarnation);
            match sent {
                SendResult::Answer(answer) => return Ok(answer),
                SendResult::Failure(failure) => fallback.failure = Some(failure),
                SendResult::Refused(refusal) => fallback.refusal = refusal,
            }
            if !history.may_resend(request) {
                return fallback.into_result(history);
            }
        }
    }

    /// Retry budget of a service.
    fn retry_budget(&self, service: &ServiceName) -> RefMut<'_, RetryBudget> {
        RefMut::map(self.retry_budgets.borrow_mut(), |retry_budgets| {
            retry_budgets.entry(service.clone()).or_default()
        })
    }

    /// Takes a token for one more send from the service's retry budget, and counts the result.
    /// Returns whether there was a token.
    fn spend_retry_token(&self, request: &RoutedRequest, now_us: u64) -> bool {
        let table = self.routes.borrow();
        let importance_index = table.as_ref().map_or(0, |table| {
            table.route_importance_index(request.root_importance)
        });
        let mut retry_budget = self.retry_budget(&request.service);
        let has_token = retry_budget.try_extra_send(
            self.settings.retry_budget,
            importance_index,
            request.depth,
            now_us,
        );
        if has_token {
            self.metrics.count("retry.sent");
        } else {
            self.metrics.count("retry.over_ratio");
        }
        has_token
    }

    /// Sends the request to one worker.
    async fn send(
        self: &Rc<Self>,
        request: &RoutedRequest,
        payload: [&[u8]; 2],
        choice: &Choice,
        history: &mut SendHistory,
    ) -> SendResult {
        let sent_us = now_us();
        let mut open_send = OpenSend::new(self, choice);
        let call = request.call(choice, self, payload[0].len(), sent_us);
        let result = match select(
            pin!(self.deliver(choice, call, &payload)),
            sleep_until(request.deadline_us),
        )
        .await
        {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                open_send.finish(SendOutcome::Failed, None);
                return history.record_unknown_outcome(Reason::Deadline);
            }
        };
        let (reply, payload) = match result {
            Ok(reply) => reply,
            Err(error) => {
                tracing::info!(attempt = %request.metadata.attempt_id, vm = %choice.vm, %error,
                    "call lost");
                open_send.finish(SendOutcome::Unreachable, None);
                self.fleet.borrow_mut().record_reachability(
                    choice.incarnation,
                    Reachability::Unreachable,
                    now_us(),
                );
                if !error.may_have_arrived {
                    return SendResult::Refused(Refusal::not_run(Reason::Unreachable));
                }
                return history.record_unknown_outcome(Reason::Broken);
            }
        };
        if !reply.result.is_valid(&payload) {
            tracing::warn!(attempt = %request.metadata.attempt_id, vm = %choice.vm,
                result = ?reply.result, payload_bytes = payload.len(), "invalid reply");
            self.metrics.count("peers.invalid_reply");
            open_send.finish(SendOutcome::Failed, Some(reply.load));
            return history.record_unknown_outcome(Reason::Broken);
        }
        history.sends += u32::from(reply.was_sent);
        history.gate_rejections += usize::from(!reply.was_sent);
        history.downstream_failed = reply.downstream_failed;
        let most_loaded = reply.most_loaded.clone();
        let sent = self.handle_reply(
            request, choice, open_send, &reply, payload, history, sent_us,
        );
        self.record_service_load(request, most_loaded.as_ref(), history.downstream_failed);
        sent
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "one reply and the state that it changes"
    )]
    fn handle_reply(
        &self,
        request: &RoutedRequest,
        choice: &Choice,
        mut open_send: OpenSend<'_>,
        reply: &Reply,
        mut payload: Vec<u8>,
        history: &mut SendHistory,
        sent_us: u64,
    ) -> SendResult {
        match reply.result {
            CallResult::Answer {
                status,
                head_bytes,
                not_run,
            } => {
                let took_us = now_us().saturating_sub(sent_us);
                let has_failed = not_run || (status >= 500 && !reply.downstream_failed);
                self.retry_budget(&request.service)
                    .observe_run(reply.made_calls);
                let outcome = if has_failed {
                    SendOutcome::Failed
                } else {
                    SendOutcome::Answered { took_us }
                };
                open_send.finish(outcome, Some(reply.load));
                history.may_have_run |= !not_run;
                let body = payload.split_off(head_bytes as usize);
                let answer = Answer {
                    status,
                    fields: payload,
                    body,
                };
                if !has_failed || (!request.route.idempotent && !not_run) {
                    return SendResult::Answer(answer);
                }
                SendResult::Failure(Failure {
                    answer,
                    states_not_run: not_run,
                })
            }
            CallResult::Refused(refusal) => {
                let outcome = if reply.was_sent {
                    SendOutcome::Failed
                } else {
                    SendOutcome::Rejected
                };
                open_send.finish(outcome, Some(reply.load));
                if matches!(refusal.reason, Reason::Draining | Reason::Unreachable) {
                    let mut directory = self.directory.borrow_mut();
                    directory.mark_refused(choice.key, choice.incarnation);
                }
                if !reply.was_sent && refusal.reason.lacks_capacity() {
                    history.reach = Reach::Region;
                }
                history.may_have_run |= refusal.outcome == Outcome::Unknown;
                SendResult::Refused(refusal)
            }
        }
    }

    async fn deliver(self: &Rc<Self>, choice: &Choice, call: Call, parts: &[&[u8]]) -> LinkResult {
        if choice.addr == self.settings.calls_addr {
            return Ok(work::serve(self, &call, &parts.concat()).await);
        }
        let link = self.link(choice.addr);
        Link::call(&link, self, call, parts).await?.reply().await
    }

    /// Records the most loaded service that a request depends on: its own service, by the load of
    /// all known workers, or a service reached by its downstream calls. A downstream call reports
    /// it to its parent request, a client's request to admission control.
    fn record_service_load(
        &self,
        request: &RoutedRequest,
        downstream: Option<&ServiceLoad>,
        has_failed: bool,
    ) {
        let now_us = now_us();
        let own = ServiceLoad {
            service: request.service.clone(),
            load_permille: self
                .directory
                .borrow()
                .load_permille(&request.service, now_us),
            calls: 1,
        };
        let most_loaded = match downstream {
            Some(downstream) if downstream.load_permille >= own.load_permille => downstream,
            _ => &own,
        };
        if let Some(parent) = &request.parent {
            self.gate
                .borrow_mut()
                .record_service_load(parent, most_loaded);
            return;
        }
        let bottleneck = BottleneckLoad {
            service: &most_loaded.service,
            load_permille: most_loaded.load_permille,
            calls: most_loaded.calls,
            has_failed,
        };
        let (class, importance) = (&request.class, request.root_importance);
        let mut admission = self.admission.borrow_mut();
        admission.report(class, importance, bottleneck, now_us);
    }
}

impl RoutedRequest {
    fn call(&self, choice: &Choice, mesh: &Mesh, head_bytes: usize, now_us: u64) -> Call {
        Call {
            attempt_id: self.metadata.attempt_id.clone(),
            route: self.route.name.clone(),
            service: self.service.clone(),
            worker: choice.incarnation,
            caller_service: mesh.own_service().clone(),
            importance: self.importance,
            root_importance: self.root_importance,
            bucket: self.bucket,
            depth: self.depth,
            idempotent: self.route.idempotent,
            exclusive: false,
            fingerprint: self.fingerprint,
            remaining_us: self.deadline_us.saturating_sub(now_us),
            head_bytes: head_bytes as u32,
        }
    }
}

impl SendHistory {
    pub(super) fn new() -> Self {
        Self {
            vm: SmolStr::default(),
            reach: Reach::Anywhere,
            tried: Vec::new(),
            sends: 0,
            gate_rejections: 0,
            may_have_run: false,
            downstream_failed: false,
        }
    }

    /// Records a send without a reply; the request may have run.
    fn record_unknown_outcome(&mut self, reason: Reason) -> SendResult {
        self.sends += 1;
        self.may_have_run = true;
        SendResult::Refused(Refusal::unknown(reason))
    }

    /// Returns whether the request may be sent again. Only requests that reached a worker count as
    /// sends; gate rejections are limited separately.
    fn may_resend(&self, request: &RoutedRequest) -> bool {
        let has_time = request.deadline_us.saturating_sub(now_us()) > MIN_RESEND_US;
        let is_allowed = self.sends < request.route.max_attempts
            && (request.route.idempotent || !self.may_have_run);
        has_time && self.gate_rejections <= MAX_GATE_REJECTIONS && (self.sends == 0 || is_allowed)
    }
}

impl Fallback {
    /// Returns the result for the client after all sends. A worker's failure takes precedence over
    /// a refusal by a daemon, unless it states that the request has not run while another send may
    /// have run it.
    fn into_result(self, history: &SendHistory) -> Result<Answer, Refusal> {
        match self.failure {
            Some(failure) if !(failure.states_not_run && history.may_have_run) => {
                Ok(failure.answer)
            }
            _ => Err(self.refusal.unknown_if(history.may_have_run)),
        }
    }
}

/// Guard of an outstanding send; dropped without a result, it records the send as cancelled.
struct OpenSend<'a> {
    mesh: &'a Mesh,
    choice: &'a Choice,
    is_open: bool,
}

impl<'a> OpenSend<'a> {
    fn new(mesh: &'a Mesh, choice: &'a Choice) -> Self {
        mesh.directory.borrow_mut().record_send(choice.key);
        Self {
            mesh,
            choice,
            is_open: true,
        }
    }

    fn finish(&mut self, outcome: SendOutcome, load: Option<GateLoad>) {
        self.is_open = false;
        let mut directory = self.mesh.directory.borrow_mut();
        directory.record_outcome(self.choice.key, outcome, load, now_us());
    }
}

impl Drop for OpenSend<'_> {
    fn drop(&mut self) {
        if self.is_open {
            self.finish(SendOutcome::Cancelled, None);
        }
    }
}
