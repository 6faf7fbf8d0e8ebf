//! Runs calls on the local worker.

use {
    crate::{
        backend::{BackendError, CallContext},
        call::{Answer, Call, CallHandler, Reply},
        local::{CallId, RunningCall, WorkerLoss},
        node::Node,
        policy::{
            dedup::{DedupDecision, DedupKey},
            gate::{Arrival, Finish, GateDecision, WorkKey},
            outcome::Denial,
            suspect::{Fingerprint, SuspectVerdict},
            ticket::Ticket,
        },
        request::{Incarnation, Level, Outcome, Reason, Refusal},
        spawn::spawn,
        trace::Event,
        waiting::DecisionReceiver,
    },
    async_trait::async_trait,
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    rand::RngExt,
    std::{net::SocketAddr, pin::pin, sync::Arc},
};

#[async_trait]
impl CallHandler for Arc<Node> {
    async fn handle_call(&self, call: Call) -> Reply {
        self.metrics.count("call.served");
        match call.ticket.as_deref().map(Ticket::try_from) {
            None => ServedCall::new(self, call).run(None).await,
            Some(Ok(ticket)) => self.serve_once(call, &ticket).await,
            Some(Err(_)) => Reply::refused(Refusal::not_run(Reason::BadRequest), Level::OPEN),
        }
    }

    fn config_document(&self) -> Vec<u8> {
        self.config().encode()
    }
}

impl Node {
    /// Runs a call with a ticket at most once, however often it is sent.
    async fn serve_once(self: &Arc<Self>, call: Call, ticket: &Ticket) -> Reply {
        let served_call = ServedCall::new(self, call);
        let reply = {
            let mut local = self.local.lock();
            let incarnation = local.last_incarnation;
            let now_unix_ms = self.clock.now_unix_ms();
            let decision =
                local
                    .dedup
                    .admit(ticket, served_call.fingerprint, incarnation, now_unix_ms);
            match decision {
                DedupDecision::Replay(answer) => return self.replay(answer),
                DedupDecision::Deny(denial) => {
                    return denied_reply(denial, None, local.gate.level());
                }
                DedupDecision::Join(key) => local.join(key),
                DedupDecision::Run(key) => {
                    let reply = local.join(key);
                    // The task outlives the call's connection, so that a resend gets its result.
                    spawn("order", Arc::clone(self).run_once(served_call, key));
                    reply
                }
            }
        };
        let task_failed = Reply::refused(Refusal::unknown(Reason::Internal), Level::OPEN);
        reply.await.unwrap_or(task_failed)
    }

    async fn run_once(self: Arc<Self>, served_call: ServedCall, key: DedupKey) {
        let once_run = OnceRun { node: self, key };
        let reply = served_call.run(Some(key)).await;
        once_run.reply_to_all(reply);
    }

    fn replay(&self, answer: Arc<Answer>) -> Reply {
        self.metrics.count("order.replayed");
        Reply {
            result: Ok(answer),
            retry_tokens: 0,
            path_level: Level::OPEN,
            is_final: false,
        }
    }

    /// Checks whether the worker's process has ended, and removes the worker if so.
    async fn detect_crash(&self, incarnation: Incarnation, addr: SocketAddr) -> bool {
        if self.backend.is_listening(addr).await {
            // A server restarted at the same address has another incarnation.
            return self.local.lock().incarnation() != Some(incarnation);
        }
        let now = self.now();
        let is_removed = self
            .local
            .lock()
            .remove_worker(incarnation, WorkerLoss::Crashed, now);
        if is_removed {
            self.metrics.count("worker.crashed");
            tracing::warn!(%incarnation, %addr, "backend server crashed");
        }
        true
    }
}

/// A call from another daemon, or from this one, to the local worker.
struct ServedCall {
    node: Arc<Node>,
    call: Call,
    fingerprint: Fingerprint,
    deadline_us: u64,
}

impl ServedCall {
    fn new(node: &Arc<Node>, call: Call) -> Self {
        let request = &call.request;
        let (service, method, target) = (&call.service, &request.method, &request.target);
        Self {
            fingerprint: Fingerprint::new(service, method, target, &request.body),
            deadline_us: node.clock.now_us().saturating_add(call.remaining_us),
            node: Arc::clone(node),
            call,
        }
    }

    async fn run(self, dedup_key: Option<DedupKey>) -> Reply {
        let mut slot = match self.acquire_slot().await {
            Ok(slot) => slot,
            Err(refusal) => {
                self.node
                    .trace(self.call.request_id, Event::RefusedByGate(refusal));
                return self.refuse(dedup_key, refusal);
            }
        };
        let Some((started, cancelled)) = self.start(&mut slot, dedup_key) else {
            return self.refuse(dedup_key, Refusal::not_run(Reason::Cancelled));
        };
        let running = pin!(self.node.backend.run(
            started.addr,
            &self.call.request,
            &started.call_context
        ));
        let result = match select(running, cancelled).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(cancelled_at_stop_limit(started.addr)),
        };
        let has_crashed = match &result {
            Err(error) if !error.timed_out => {
                self.node
                    .detect_crash(self.call.incarnation, started.addr)
                    .await
            }
            _ => false,
        };
        self.finish(slot, dedup_key, result, has_crashed)
    }

    /// Waits until the gate admits the call.
    async fn acquire_slot(&self) -> Result<Slot, Refusal> {
        let (mut slot, decision) = self.offer_to_gate()?;
        if let Some(decision) = decision {
            let verdict = decision
                .await
                .unwrap_or(Err(Refusal::not_run(Reason::Internal)));
            if let Err(refusal) = verdict {
                slot.key = None;
                return Err(refusal);
            }
        }
        Ok(slot)
    }

    fn offer_to_gate(&self) -> Result<(Slot, Option<DecisionReceiver>), Refusal> {
        let node = &self.node;
        let now = node.now();
        let mut local = node.local.lock();
        if local.incarnation() != Some(self.call.incarnation) {
            return Err(Refusal::not_run(Reason::Unreachable));
        }
        if node.is_baseline() {
            local.drain.begin_request()?;
            return Ok((self.new_slot(None), None));
        }
        let verdict = local.suspects.verdict(self.fingerprint, now.unix_ms);
        if verdict == SuspectVerdict::Quarantined {
            return Err(Refusal::not_run(Reason::Quarantined));
        }
        local.drain.begin_request()?;
        let arrival = Arrival {
            rank: self.call.rank(),
            deadline_us: self.deadline_us,
            exclusive: self.call.exclusive || verdict == SuspectVerdict::RunAlone,
        };
        let mut actions = Vec::new();
        let offer = local.gate.offer(arrival, now.us, &mut actions);
        local.waiting.apply(actions);
        match offer {
            GateDecision::Started(key) => Ok((self.new_slot(Some(key)), None)),
            GateDecision::Queued(key) => {
                let decision = local.waiting.register(key);
                Ok((self.new_slot(Some(key)), Some(decision)))
            }
            GateDecision::Refused(refusal) => {
                local.finish_call();
                Err(refusal)
            }
        }
    }

    fn new_slot(&self, key: Option<WorkKey>) -> Slot {
        let node = Arc::clone(&self.node);
        Slot {
            node,
            incarnation: self.call.incarnation,
            key,
            call_id: None,
            finish: Finish::Cancelled,
            is_held: true,
        }
    }

    /// Records the call as running, before the request is sent to the backend server.
    fn start(
        &self,
        slot: &mut Slot,
        dedup_key: Option<DedupKey>,
    ) -> Option<(StartedCall, oneshot::Receiver<()>)> {
        let node = &self.node;
        let call = &self.call;
        let now = node.now();
        let call_id = CallId(node.rng.lock().random());
        let mut local = node.local.lock();
        let addr = local
            .worker
            .as_ref()
            .map(|worker| worker.announcement.addr)?;
        let is_current = local.incarnation() == Some(call.incarnation);
        if !is_current || dedup_key.is_some_and(|key| !local.dedup.start(key)) {
            return None;
        }
        let (cancel, cancelled) = oneshot::channel();
        let token_pool = local.token_pools.open(call.retry_tokens);
        let running = RunningCall {
            request_id: call.request_id,
            class: call.class.clone(),
            importance: call.importance,
            idempotent: call.idempotent,
            deadline_us: self.deadline_us,
            depth: call.depth,
            token_pool,
            path_level: Level::OPEN,
            fingerprint: self.fingerprint,
            incarnation: call.incarnation,
            cancel: Some(cancel),
        };
        local.running.insert(call_id, running);
        slot.call_id = Some(call_id);
        let remaining_us = self.deadline_us.saturating_sub(now.us);
        let call_context = CallContext {
            call_id: call_id.to_string().into(),
            request_id: call.request_id.to_string().into(),
            class: call.class.clone(),
            remaining_us,
            deadline_unix_ms: now.unix_ms + remaining_us / 1_000,
        };
        Some((StartedCall { addr, call_context }, cancelled))
    }

    fn refuse(&self, dedup_key: Option<DedupKey>, refusal: Refusal) -> Reply {
        let mut local = self.node.local.lock();
        let level = local.gate.level();
        let mut reply = match dedup_key {
            Some(key) => {
                let denial = local.dedup.refuse(key, refusal.reason);
                denied_reply(denial, refusal.retry_after_ms, level)
            }
            None => Reply::refused(refusal, level),
        };
        reply.retry_tokens = self.call.retry_tokens;
        reply
    }

    fn finish(
        &self,
        mut slot: Slot,
        dedup_key: Option<DedupKey>,
        result: Result<Answer, BackendError>,
        has_crashed: bool,
    ) -> Reply {
        slot.finish = if result.is_ok() {
            Finish::Done
        } else {
            Finish::Failed
        };
        let (retry_tokens, nested_level) = slot.release();
        let mut local = self.node.local.lock();
        let path_level = nested_level.min(local.gate.level());
        let refusal = match result {
            Ok(answer) => {
                local.clear_suspect(self.fingerprint, self.node.clock.now_unix_ms());
                let answer = Arc::new(answer);
                if let Some(key) = dedup_key {
                    local
                        .dedup
                        .finish(key, Arc::clone(&answer), answer.size_bytes());
                }
                return Reply {
                    result: Ok(answer),
                    retry_tokens,
                    path_level,
                    is_final: false,
                };
            }
            Err(error) => refusal_for(&error, has_crashed),
        };
        let mut reply = match dedup_key {
            Some(key) => denied_reply(local.dedup.mark_lost(key, refusal.reason), None, path_level),
            None => Reply::refused(refusal, path_level),
        };
        reply.retry_tokens = retry_tokens;
        reply
    }
}

/// Run of a non-idempotent request; all sends that wait for it get its reply, also after a panic.
struct OnceRun {
    node: Arc<Node>,
    key: DedupKey,
}

impl OnceRun {
    fn reply_to_all(&self, mut reply: Reply) {
        let senders = self.node.local.lock().joined.remove(&self.key);
        for sender in senders.unwrap_or_default() {
            // A send that was cancelled can be repeated; its ticket's record has the result.
            let _ = sender.send(reply.clone());
            reply.retry_tokens = 0;
        }
    }
}

impl Drop for OnceRun {
    fn drop(&mut self) {
        let denial = self
            .node
            .local
            .lock()
            .dedup
            .mark_lost(self.key, Reason::Internal);
        self.reply_to_all(denied_reply(denial, None, Level::OPEN));
    }
}

/// Where and how to send the call to the backend server.
struct StartedCall {
    addr: SocketAddr,
    call_context: CallContext,
}

/// Slot of the gate; released when dropped.
struct Slot {
    node: Arc<Node>,
    incarnation: Incarnation,
    key: Option<WorkKey>,
    call_id: Option<CallId>,
    finish: Finish,
    is_held: bool,
}

impl Slot {
    /// Releases the slot; returns the remaining retry tokens and the lowest admission level that
    /// nested calls observed.
    fn release(&mut self) -> (u8, Level) {
        self.is_held = false;
        let now_us = self.node.clock.now_us();
        let mut local = self.node.local.lock();
        let running = self
            .call_id
            .take()
            .and_then(|call_id| local.running.remove(&call_id));
        if let Some(key) = self.key.take() {
            local.waiting.remove(key);
            let mut actions = Vec::new();
            local.gate.finish(key, self.finish, now_us, &mut actions);
            local.waiting.apply(actions);
        }
        // A new incarnation of the worker counts only its own requests.
        if local.last_incarnation == self.incarnation {
            local.finish_call();
        }
        running.map_or((0, Level::OPEN), |running| {
            (
                local.token_pools.close(running.token_pool),
                running.path_level,
            )
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_held {
            self.release();
        }
    }
}

fn denied_reply(denial: Denial, retry_after_ms: Option<u32>, path_level: Level) -> Reply {
    let outcome = match denial {
        Denial::Never(_) | Denial::NotNow(_) => Outcome::NotRun,
        Denial::Maybe(_) => Outcome::Unknown,
    };
    let refusal = Refusal {
        outcome,
        reason: denial.reason(),
        retry_after_ms,
    };
    let is_final = matches!(denial, Denial::Never(_));
    Reply {
        is_final,
        ..Reply::refused(refusal, path_level)
    }
}

fn refusal_for(error: &BackendError, has_crashed: bool) -> Refusal {
    tracing::debug!(%error, "call failed");
    let outcome = if error.may_have_run {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    let reason = match (error.timed_out, error.may_have_run) {
        (true, _) => Reason::Deadline,
        (false, true) if has_crashed => Reason::Crashed,
        (false, true) => Reason::Broken,
        (false, false) => Reason::Unreachable,
    };
    Refusal {
        outcome,
        reason,
        retry_after_ms: None,
    }
}

fn cancelled_at_stop_limit(addr: SocketAddr) -> BackendError {
    BackendError {
        step: "wait for answer",
        peer: addr,
        detail: "cancelled at the stop limit".into(),
        may_have_run: true,
        timed_out: false,
    }
}
