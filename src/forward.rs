//! Sending a request to workers until one answers or there is no use in going on.

use {
    crate::{
        call::{Answer, Call, CallHandler, PeerError, Reply},
        directory::{Ended, Target, Wanted},
        entry::Outgoing,
        node::Node,
        policy::{
            outcome::{Denial, EarlierSends, GateReply, outcome_for_caller},
            paths::PathLevels,
            retry::{DelegatedTokens, Retry, RetryContext},
            suspect::SuspectVerdict,
        },
        request::{Incarnation, Level, Outcome, Reason, Refusal},
        trace::Event,
    },
    async_io::Timer,
    futures::future::{Either, select},
    parking_lot::Mutex,
    std::{pin::pin, sync::Arc, time::Duration},
};

/// Size of an answer, for the choice of a worker.
const EXPECTED_ANSWER_BYTES: u32 = 2_048;

/// Sends of one call beyond which the baseline gives up.
const BASELINE_SENDS: usize = 3;

/// What has come of a request so far.
#[derive(Debug, Default)]
struct Trail {
    tried: Vec<Incarnation>,
    moves: u8,
    may_have_run: bool,
    is_final: bool,
}

impl Node {
    /// Sends a checked request and answers with the whole answer or why there is none.
    pub async fn forward(self: &Arc<Self>, out: &Outgoing) -> Result<Arc<Answer>, Refusal> {
        let mut trail = Trail {
            may_have_run: !out.first_attempt,
            ..Trail::default()
        };
        loop {
            let refusal = match self.attempt(out, &mut trail).await {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            if !self.may_go_on(out, &mut trail, refusal) {
                return Err(trail.conclude(refusal));
            }
            self.trace(out.request_id, Event::Retried(refusal));
        }
    }

    /// Sends the request to one worker.
    async fn attempt(
        self: &Arc<Self>,
        out: &Outgoing,
        trail: &mut Trail,
    ) -> Result<Arc<Answer>, Refusal> {
        let now_us = self.clock.now_us();
        let remaining_us = out.deadline_us.saturating_sub(now_us);
        let suspicion = self.suspicion(out);
        let target = self
            .check(out, suspicion, now_us)
            .and_then(|()| self.target(out, trail, remaining_us, now_us))?;
        let loan = self.local.lock().accounts.delegate(out.account);
        let loan = loan.ok_or(Refusal::not_run(Reason::Cancelled))?;
        let is_exclusive = suspicion == SuspectVerdict::RunAlone;
        let call = out.call(target, remaining_us, &loan, is_exclusive);
        if trail.tried.is_empty() {
            self.ratio(&out.service, |ratio| ratio.count_first(now_us));
        }
        trail.tried.push(target.incarnation);
        let picked = Picked::new(self, target, now_us);
        let sent = self.send(target, call, out).await;
        self.settle(out, trail, picked, loan, sent)
    }

    /// Takes note that a worker crashed while it ran the request.
    fn blame(&self, out: &Outgoing, incarnation: Incarnation) {
        let blamed = [(out.fingerprint, out.service.clone())];
        let now_unix_ms = self.clock.now_unix_ms();
        self.local
            .lock()
            .suspects
            .record_crash(incarnation, blamed, now_unix_ms);
    }

    fn suspicion(&self, out: &Outgoing) -> SuspectVerdict {
        if self.is_baseline() {
            return SuspectVerdict::Run;
        }
        let now_unix_ms = self.clock.now_unix_ms();
        let local = self.local.lock();
        local.suspects.verdict(out.fingerprint, now_unix_ms)
    }

    /// Refuses what is not to be sent at all.
    fn check(&self, out: &Outgoing, suspicion: SuspectVerdict, now_us: u64) -> Result<(), Refusal> {
        if out.deadline_us <= now_us {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        if suspicion == SuspectVerdict::Quarantined {
            return Err(Refusal::not_run(Reason::Quarantined));
        }
        self.check_path(out, now_us)
    }

    /// Refuses at once what a service further on would refuse.
    fn check_path(&self, out: &Outgoing, now_us: u64) -> Result<(), Refusal> {
        if self.is_baseline() {
            return Ok(());
        }
        let admitted = self
            .paths(out)
            .lock()
            .admit(&out.service, out.rank(), now_us);
        if admitted.is_err() {
            self.metrics.count("edge.refused");
            let level = self
                .paths(out)
                .lock()
                .level(&out.service, out.importance, now_us);
            self.note_path_level(out, level);
        }
        admitted
    }

    fn target(
        &self,
        out: &Outgoing,
        trail: &Trail,
        remaining_us: u64,
        now_us: u64,
    ) -> Result<Target, Refusal> {
        if let Some(ticket) = &out.ticket {
            let target = Target {
                call_addr: ticket.call_addr,
                incarnation: ticket.incarnation,
            };
            return Ok(target);
        }
        let wanted = Wanted {
            service: &out.service,
            rank: out.rank(),
            remaining_us,
            tried: &trail.tried,
            transfer_bytes: EXPECTED_ANSWER_BYTES + out.request.body.len() as u32,
        };
        self.directory
            .choose(&wanted, now_us)
            .ok_or(Refusal::not_run(Reason::NoWorker))
    }

    async fn send(
        self: &Arc<Self>,
        target: Target,
        call: Call,
        out: &Outgoing,
    ) -> Result<Reply, PeerError> {
        let limit_us = call
            .remaining_us
            .min(u64::from(out.service_rule.timeout_ms) * 1_000);
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

    fn settle(
        &self,
        out: &Outgoing,
        trail: &mut Trail,
        picked: Picked<'_>,
        loan: DelegatedTokens,
        sent: Result<Reply, PeerError>,
    ) -> Result<Arc<Answer>, Refusal> {
        let now_us = self.clock.now_us();
        let reply = match sent {
            Ok(reply) => reply,
            Err(error) => return Err(self.unanswered(out, trail, picked, loan, &error)),
        };
        self.local
            .lock()
            .accounts
            .take_back(out.account, loan, reply.retry_tokens);
        let target = picked.target;
        self.paths(out).lock().observe(
            &out.service,
            out.importance,
            target.incarnation,
            reply.path_level,
            now_us,
        );
        self.note_path_level(out, reply.path_level);
        picked.end(Ended::Answered);
        let refusal = match reply.result {
            Ok(answer) => {
                let now_unix_ms = self.clock.now_unix_ms();
                self.local.lock().clear(out.fingerprint, now_unix_ms);
                return Ok(answer);
            }
            Err(refusal) => refusal,
        };
        trail.may_have_run |= refusal.outcome == Outcome::Unknown;
        if refusal.reason == Reason::Crashed {
            self.blame(out, target.incarnation);
        }
        if !out.needs_ticket() {
            return Err(refusal);
        }
        let denial = match (refusal.outcome, reply.is_final) {
            (Outcome::NotRun, true) => Denial::Never(refusal.reason),
            (Outcome::NotRun, false) => Denial::NotNow(refusal.reason),
            _ => Denial::Maybe(refusal.reason),
        };
        trail.is_final = matches!(denial, Denial::Never(_));
        Err(judge(
            out,
            GateReply::Denial(denial),
            refusal.retry_after_ms,
        ))
    }

    fn unanswered(
        &self,
        out: &Outgoing,
        trail: &mut Trail,
        picked: Picked<'_>,
        loan: DelegatedTokens,
        error: &PeerError,
    ) -> Refusal {
        tracing::debug!(%error, "no reply");
        self.metrics.count("call.unanswered");
        trail.may_have_run |= error.may_have_run;
        if !error.may_have_run {
            self.local
                .lock()
                .accounts
                .take_back_unsent(out.account, loan);
        }
        picked.end(Ended::Unreachable);
        let reason = if error.may_have_run {
            Reason::Broken
        } else {
            Reason::Unreachable
        };
        if out.needs_ticket() {
            return judge(out, GateReply::Nothing(reason), None);
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

    /// Decides whether to send the request once more, and pays for it.
    fn may_go_on(&self, out: &Outgoing, trail: &mut Trail, refusal: Refusal) -> bool {
        if out.ticket.is_some() || trail.tried.is_empty() {
            return false;
        }
        if self.is_baseline() {
            return out.idempotent && trail.tried.len() < BASELINE_SENDS;
        }
        let now_us = self.clock.now_us();
        let attempt = RetryContext {
            idempotent: out.idempotent,
            moves: trail.moves,
            remaining_us: out.deadline_us.saturating_sub(now_us),
            expected_us: 0,
        };
        match attempt.decide(refusal) {
            Retry::PassUp => false,
            Retry::Move => {
                trail.moves += 1;
                self.metrics.count("call.moved");
                true
            }
            Retry::Paid => self.pay(out, now_us),
        }
    }

    fn pay(&self, out: &Outgoing, now_us: u64) -> bool {
        let ratio_percent = out.service_rule.retry_ratio_percent;
        if !self.ratio(&out.service, |ratio| ratio.try_retry(ratio_percent, now_us)) {
            self.metrics.count("retry.over_ratio");
            return false;
        }
        let is_paid = self.local.lock().accounts.spend(out.account);
        self.metrics.count(if is_paid {
            "retry.sent"
        } else {
            "retry.no_token"
        });
        is_paid
    }

    fn paths(&self, out: &Outgoing) -> &Mutex<PathLevels> {
        if out.parent.is_some() {
            &self.nested_paths
        } else {
            &self.edge_paths
        }
    }

    /// Carries a level met by a nested call to the call that it is nested in.
    fn note_path_level(&self, out: &Outgoing, level: Level) {
        let Some(parent) = out.parent else {
            return;
        };
        if let Some(running) = self.local.lock().running.get_mut(&parent) {
            running.path_level = running.path_level.min(level);
        }
    }
}

impl Outgoing {
    /// The call that takes the request to one worker.
    fn call(
        &self,
        target: Target,
        remaining_us: u64,
        loan: &DelegatedTokens,
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
            retry_tokens: loan.tokens(),
            depth: self.depth,
            ticket: self.ticket.as_ref().map(|ticket| ticket.to_string().into()),
            first_attempt: self.first_attempt,
            exclusive,
            request: Arc::clone(&self.request),
        }
    }
}

impl Trail {
    /// What the sender is told, in view of all sends.
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

fn judge(out: &Outgoing, heard: GateReply, retry_after_ms: Option<u32>) -> Refusal {
    match outcome_for_caller(out.first_attempt, EarlierSends::Nothing, heard) {
        Ok(()) => Refusal::unknown(Reason::Internal),
        Err(refusal) => Refusal {
            retry_after_ms,
            ..refusal
        },
    }
}

/// A worker that a call is under way to; a call that is given up counts as cancelled.
struct Picked<'a> {
    node: &'a Node,
    target: Target,
    started_us: u64,
    ended: Ended,
}

impl<'a> Picked<'a> {
    fn new(node: &'a Node, target: Target, now_us: u64) -> Self {
        node.directory.started(target, now_us);
        Self {
            node,
            target,
            started_us: now_us,
            ended: Ended::Cancelled,
        }
    }

    fn end(mut self, ended: Ended) {
        self.ended = ended;
    }
}

impl Drop for Picked<'_> {
    fn drop(&mut self) {
        let now_us = self.node.clock.now_us();
        let latency_us = now_us.saturating_sub(self.started_us);
        self.node
            .directory
            .ended(self.target, self.ended, latency_us, now_us);
    }
}
