//! Sends a request to workers until one answers or it must not be sent again.

use {
    crate::{
        call::{Answer, Call, CallHandler, PeerError, Reply},
        directory::{CallResult, Target, WorkerQuery},
        node::Node,
        policy::{
            outcome::{Denial, EarlierSends, GateReply, outcome_for_caller},
            paths::PathLevels,
            retry::{DelegatedTokens, Retry, RetryContext},
            suspect::SuspectVerdict,
        },
        request::{Incarnation, Level, Outcome, Reason, Refusal},
        trace::Event,
        validation::OutgoingRequest,
    },
    async_io::Timer,
    futures::future::{Either, select},
    parking_lot::Mutex,
    std::{pin::pin, sync::Arc, time::Duration},
};

/// Expected size of an answer, for the choice of a worker.
const EXPECTED_ANSWER_BYTES: u32 = 2_048;

/// Maximum number of sends of one call under the baseline policy.
const MAX_BASELINE_SENDS: usize = 3;

/// Sends of a request so far, and their combined result.
#[derive(Debug, Default)]
struct SendHistory {
    tried: Vec<Incarnation>,
    /// Retries that used no retry token.
    moves: u8,
    may_have_run: bool,
    /// Whether the request has not run under its ticket and never will.
    is_final: bool,
}

impl Node {
    /// Sends a validated request, with retries, and returns the whole answer or the final refusal.
    pub async fn forward(
        self: &Arc<Self>,
        outgoing: &OutgoingRequest,
    ) -> Result<Arc<Answer>, Refusal> {
        let mut history = SendHistory {
            may_have_run: !outgoing.first_attempt,
            ..SendHistory::default()
        };
        loop {
            let refusal = match self.attempt(outgoing, &mut history).await {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            if !self.may_retry(outgoing, &mut history, refusal) {
                return Err(history.conclude(refusal));
            }
            self.trace(outgoing.request_id, Event::Retried(refusal));
        }
    }

    /// Sends the request to one worker.
    async fn attempt(
        self: &Arc<Self>,
        outgoing: &OutgoingRequest,
        history: &mut SendHistory,
    ) -> Result<Arc<Answer>, Refusal> {
        let now_us = self.clock.now_us();
        let remaining_us = outgoing.deadline_us.saturating_sub(now_us);
        let suspect_verdict = self.suspect_verdict(outgoing);
        let target = self
            .check_before_send(outgoing, suspect_verdict, now_us)
            .and_then(|()| self.choose_target(outgoing, history, remaining_us, now_us))?;
        let delegated = self.local.lock().token_pools.delegate(outgoing.token_pool);
        let delegated = delegated.ok_or(Refusal::not_run(Reason::Cancelled))?;
        let is_exclusive = suspect_verdict == SuspectVerdict::RunAlone;
        let call = outgoing.call(target, remaining_us, &delegated, is_exclusive);
        if history.tried.is_empty() {
            self.with_retry_ratio(&outgoing.service, |ratio| ratio.count_first(now_us));
        }
        history.tried.push(target.incarnation);
        let outstanding = OutstandingCall::new(self, target, now_us);
        let sent = self.send(target, call, outgoing).await;
        self.handle_result(outgoing, history, outstanding, delegated, sent)
    }

    /// Records that a worker crashed while it ran the request.
    fn record_crash(&self, outgoing: &OutgoingRequest, incarnation: Incarnation) {
        let suspect = [(outgoing.fingerprint, outgoing.service.clone())];
        let now_unix_ms = self.clock.now_unix_ms();
        self.local
            .lock()
            .suspects
            .record_crash(incarnation, suspect, now_unix_ms);
    }

    fn suspect_verdict(&self, outgoing: &OutgoingRequest) -> SuspectVerdict {
        if self.is_baseline() {
            return SuspectVerdict::Run;
        }
        let now_unix_ms = self.clock.now_unix_ms();
        let local = self.local.lock();
        local.suspects.verdict(outgoing.fingerprint, now_unix_ms)
    }

    /// Refuses a request that must not be sent to any worker.
    fn check_before_send(
        &self,
        outgoing: &OutgoingRequest,
        suspect_verdict: SuspectVerdict,
        now_us: u64,
    ) -> Result<(), Refusal> {
        if outgoing.deadline_us <= now_us {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        if suspect_verdict == SuspectVerdict::Quarantined {
            return Err(Refusal::not_run(Reason::Quarantined));
        }
        self.check_path(outgoing, now_us)
    }

    /// Refuses a request that a service further down the call path would refuse.
    fn check_path(&self, outgoing: &OutgoingRequest, now_us: u64) -> Result<(), Refusal> {
        if self.is_baseline() {
            return Ok(());
        }
        let admitted =
            self.paths(outgoing)
                .lock()
                .admit(&outgoing.service, outgoing.rank(), now_us);
        if admitted.is_err() {
            self.metrics.count("edge.refused");
            let level =
                self.paths(outgoing)
                    .lock()
                    .level(&outgoing.service, outgoing.importance, now_us);
            self.record_path_level(outgoing, level);
        }
        admitted
    }

    fn choose_target(
        &self,
        outgoing: &OutgoingRequest,
        history: &SendHistory,
        remaining_us: u64,
        now_us: u64,
    ) -> Result<Target, Refusal> {
        if let Some(ticket) = &outgoing.ticket {
            let target = Target {
                call_addr: ticket.call_addr,
                incarnation: ticket.incarnation,
            };
            return Ok(target);
        }
        let query = WorkerQuery {
            service: &outgoing.service,
            rank: outgoing.rank(),
            remaining_us,
            tried: &history.tried,
            transfer_bytes: EXPECTED_ANSWER_BYTES + outgoing.request.body.len() as u32,
        };
        self.directory
            .choose(&query, now_us)
            .ok_or(Refusal::not_run(Reason::NoWorker))
    }

    async fn send(
        self: &Arc<Self>,
        target: Target,
        call: Call,
        outgoing: &OutgoingRequest,
    ) -> Result<Reply, PeerError> {
        let limit_us = call
            .remaining_us
            .min(u64::from(outgoing.service_rule.timeout_ms) * 1_000);
        let is_local = target.call_addr == self.settings.place.call_addr;
        let work = async {
            if is_local {
                return Ok(self.handle_call(call).await);
            }
            self.peers.call(target.call_addr, call).await
        };
        let timer = Timer::after(Duration::from_micros(limit_us));
        match select(pin!(work), timer).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(PeerError {
                step: "wait for reply",
                peer: target.call_addr,
                detail: "timeout".into(),
                may_have_run: true,
            }),
        }
    }

    fn handle_result(
        &self,
        outgoing: &OutgoingRequest,
        history: &mut SendHistory,
        outstanding: OutstandingCall<'_>,
        delegated: DelegatedTokens,
        sent: Result<Reply, PeerError>,
    ) -> Result<Arc<Answer>, Refusal> {
        let now_us = self.clock.now_us();
        let reply = match sent {
            Ok(reply) => reply,
            Err(error) => {
                return Err(self.handle_no_reply(
                    outgoing,
                    history,
                    outstanding,
                    delegated,
                    &error,
                ));
            }
        };
        self.local
            .lock()
            .token_pools
            .take_back(outgoing.token_pool, delegated, reply.retry_tokens);
        let target = outstanding.target;
        self.paths(outgoing).lock().observe(
            &outgoing.service,
            outgoing.importance,
            target.incarnation,
            reply.path_level,
            now_us,
        );
        self.record_path_level(outgoing, reply.path_level);
        outstanding.end(CallResult::Answered);
        let refusal = match reply.result {
            Ok(answer) => {
                let now_unix_ms = self.clock.now_unix_ms();
                self.local
                    .lock()
                    .clear_suspect(outgoing.fingerprint, now_unix_ms);
                return Ok(answer);
            }
            Err(refusal) => refusal,
        };
        history.may_have_run |= refusal.outcome == Outcome::Unknown;
        if refusal.reason == Reason::Crashed {
            self.record_crash(outgoing, target.incarnation);
        }
        if !outgoing.needs_ticket() {
            return Err(refusal);
        }
        let denial = match (refusal.outcome, reply.is_final) {
            (Outcome::NotRun, true) => Denial::Never(refusal.reason),
            (Outcome::NotRun, false) => Denial::NotNow(refusal.reason),
            _ => Denial::Maybe(refusal.reason),
        };
        history.is_final = matches!(denial, Denial::Never(_));
        Err(ticket_refusal(
            outgoing,
            GateReply::Denial(denial),
            refusal.retry_after_ms,
        ))
    }

    fn handle_no_reply(
        &self,
        outgoing: &OutgoingRequest,
        history: &mut SendHistory,
        outstanding: OutstandingCall<'_>,
        delegated: DelegatedTokens,
        error: &PeerError,
    ) -> Refusal {
        tracing::debug!(%error, "no reply");
        self.metrics.count("call.unanswered");
        history.may_have_run |= error.may_have_run;
        if !error.may_have_run {
            self.local
                .lock()
                .token_pools
                .take_back_unsent(outgoing.token_pool, delegated);
        }
        outstanding.end(CallResult::Unreachable);
        let reason = if error.may_have_run {
            Reason::Broken
        } else {
            Reason::Unreachable
        };
        if outgoing.needs_ticket() {
            return ticket_refusal(outgoing, GateReply::Nothing(reason), None);
        }
        let outcome = if error.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        Refusal {
            outcome,
            reason,
            retry_after_ms: None,
        }
    }

    /// Decides whether to send the request again, and spends a retry token if that needs one.
    fn may_retry(
        &self,
        outgoing: &OutgoingRequest,
        history: &mut SendHistory,
        refusal: Refusal,
    ) -> bool {
        if outgoing.ticket.is_some() || history.tried.is_empty() {
            return false;
        }
        if self.is_baseline() {
            return outgoing.idempotent && history.tried.len() < MAX_BASELINE_SENDS;
        }
        let now_us = self.clock.now_us();
        let context = RetryContext {
            idempotent: outgoing.idempotent,
            moves: history.moves,
            remaining_us: outgoing.deadline_us.saturating_sub(now_us),
            expected_us: 0,
        };
        match context.decide(refusal) {
            Retry::PassUp => false,
            Retry::Move => {
                history.moves += 1;
                self.metrics.count("call.moved");
                true
            }
            Retry::Paid => self.spend_retry(outgoing, now_us),
        }
    }

    fn spend_retry(&self, outgoing: &OutgoingRequest, now_us: u64) -> bool {
        let ratio_percent = outgoing.service_rule.retry_ratio_percent;
        if !self.with_retry_ratio(&outgoing.service, |ratio| {
            ratio.try_retry(ratio_percent, now_us)
        }) {
            self.metrics.count("retry.over_ratio");
            return false;
        }
        let is_paid = self.local.lock().token_pools.spend(outgoing.token_pool);
        self.metrics.count(if is_paid {
            "retry.sent"
        } else {
            "retry.no_token"
        });
        is_paid
    }

    fn paths(&self, outgoing: &OutgoingRequest) -> &Mutex<PathLevels> {
        if outgoing.parent.is_some() {
            &self.nested_paths
        } else {
            &self.edge_paths
        }
    }

    /// Records an admission level observed by a nested call in the call that it is nested in.
    fn record_path_level(&self, outgoing: &OutgoingRequest, level: Level) {
        let Some(parent) = outgoing.parent else {
            return;
        };
        if let Some(running) = self.local.lock().running.get_mut(&parent) {
            running.path_level = running.path_level.min(level);
        }
    }
}

impl OutgoingRequest {
    /// Builds the call that sends the request to one worker.
    fn call(
        &self,
        target: Target,
        remaining_us: u64,
        delegated: &DelegatedTokens,
        exclusive: bool,
    ) -> Call {
        Call {
            request_id: self.request_id,
            service: self.service.clone(),
            class: self.class.clone(),
            importance: self.importance,
            idempotent: self.idempotent,
            incarnation: target.incarnation,
            remaining_us,
            retry_tokens: delegated.tokens(),
            depth: self.depth,
            ticket: self.ticket.as_ref().map(|ticket| ticket.to_string().into()),
            first_attempt: self.first_attempt,
            exclusive,
            request: Arc::clone(&self.request),
        }
    }
}

impl SendHistory {
    /// Refusal for the caller, with the result of all sends taken into account.
    fn conclude(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run && !self.is_final {
            return Refusal {
                outcome: Outcome::Unknown,
                ..refusal
            };
        }
        refusal
    }
}

fn ticket_refusal(
    outgoing: &OutgoingRequest,
    gate_reply: GateReply,
    retry_after_ms: Option<u32>,
) -> Refusal {
    match outcome_for_caller(outgoing.first_attempt, EarlierSends::Nothing, gate_reply) {
        Ok(()) => Refusal::unknown(Reason::Internal),
        Err(refusal) => Refusal {
            retry_after_ms,
            ..refusal
        },
    }
}

/// A call sent to a worker; counts as cancelled if it is dropped before its end.
struct OutstandingCall<'a> {
    node: &'a Node,
    target: Target,
    started_us: u64,
    outcome: CallResult,
}

impl<'a> OutstandingCall<'a> {
    fn new(node: &'a Node, target: Target, now_us: u64) -> Self {
        node.directory.call_started(target, now_us);
        Self {
            node,
            target,
            started_us: now_us,
            outcome: CallResult::Cancelled,
        }
    }

    fn end(mut self, outcome: CallResult) {
        self.outcome = outcome;
    }
}

impl Drop for OutstandingCall<'_> {
    fn drop(&mut self) {
        let now_us = self.node.clock.now_us();
        let latency_us = now_us.saturating_sub(self.started_us);
        self.node
            .directory
            .call_ended(self.target, self.outcome, latency_us, now_us);
    }
}
