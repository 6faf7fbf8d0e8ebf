//! Running calls on the local worker.

use {
    crate::{
        backend::{BackendError, CallContext},
        call::{Answer, Call, CallHandler, Reply},
        local::{CallId, Loss, Running},
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
        waiting::Waiter,
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
            None => Work::new(self, call).run(None).await,
            Some(Ok(ticket)) => self.serve_once(call, &ticket).await,
            Some(Err(_)) => Reply::refused(Refusal::not_run(Reason::BadRequest), Level::OPEN),
        }
    }

    fn config_document(&self) -> Vec<u8> {
        self.config().encode()
    }
}

impl Node {
    /// Runs a call under a ticket, at most once however often it comes.
    async fn serve_once(self: &Arc<Self>, call: Call, ticket: &Ticket) -> Reply {
        let work = Work::new(self, call);
        let waiting = {
            let mut local = self.local.lock();
            let incarnation = local.last_incarnation;
            let now_unix_ms = self.clock.now_unix_ms();
            let admission = local
                .once
                .admit(ticket, work.fingerprint, incarnation, now_unix_ms);
            match admission {
                DedupDecision::Replay(answer) => return self.replayed(answer),
                DedupDecision::Deny(denial) => return denied(denial, None, local.gate.level()),
                DedupDecision::Join(key) => local.join(key),
                DedupDecision::Run(key) => {
                    let waiting = local.join(key);
                    // The run outlives the connection that brought it, so that a resend finds it.
                    spawn("order", Arc::clone(self).run_once(work, key));
                    waiting
                }
            }
        };
        let lost = Reply::refused(Refusal::unknown(Reason::Internal), Level::OPEN);
        waiting.await.unwrap_or(lost)
    }

    async fn run_once(self: Arc<Self>, work: Work, key: DedupKey) {
        let order = Order { node: self, key };
        let reply = work.run(Some(key)).await;
        order.tell(reply);
    }

    fn replayed(&self, answer: Arc<Answer>) -> Reply {
        self.metrics.count("order.replayed");
        Reply {
            result: Ok(answer),
            retry_tokens: 0,
            path_level: Level::OPEN,
            is_final: false,
        }
    }

    /// Finds out whether the worker's process has ended, and takes its death.
    async fn has_crashed(&self, incarnation: Incarnation, addr: SocketAddr) -> bool {
        if self.backend.is_listening(addr).await {
            // A server that has come back at the address has another incarnation.
            return self.local.lock().incarnation() != Some(incarnation);
        }
        let now = self.now();
        let is_new = self.local.lock().lose_worker(incarnation, Loss::Crash, now);
        if is_new {
            self.metrics.count("worker.crashed");
            tracing::warn!(%incarnation, %addr, "backend server crashed");
        }
        true
    }
}

/// One call on its way through the gate and the backend server.
struct Work {
    node: Arc<Node>,
    call: Call,
    fingerprint: Fingerprint,
    deadline_us: u64,
}

impl Work {
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

    async fn run(self, once: Option<DedupKey>) -> Reply {
        let mut slot = match self.slot().await {
            Ok(slot) => slot,
            Err(refusal) => {
                self.node
                    .trace(self.call.request_id, Event::TurnedAway(refusal));
                return self.refuse(once, refusal);
            }
        };
        let Some((started, cut)) = self.start(&mut slot, once) else {
            return self.refuse(once, Refusal::not_run(Reason::Cancelled));
        };
        let work = pin!(self.node.backend.run(
            started.addr,
            &self.call.request,
            &started.instructions
        ));
        let result = match select(work, cut).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(cut_off(started.addr)),
        };
        let has_crashed = match &result {
            Err(error) if !error.timed_out => {
                self.node
                    .has_crashed(self.call.incarnation, started.addr)
                    .await
            }
            _ => false,
        };
        self.finish(slot, once, result, has_crashed)
    }

    /// Waits for the gate.
    async fn slot(&self) -> Result<Slot, Refusal> {
        let (mut slot, waiting) = self.offer()?;
        if let Some(waiting) = waiting {
            let verdict = waiting
                .await
                .unwrap_or(Err(Refusal::not_run(Reason::Internal)));
            if let Err(refusal) = verdict {
                slot.key = None;
                return Err(refusal);
            }
        }
        Ok(slot)
    }

    fn offer(&self) -> Result<(Slot, Option<Waiter>), Refusal> {
        let node = &self.node;
        let now = node.now();
        let mut local = node.local.lock();
        if local.incarnation() != Some(self.call.incarnation) {
            return Err(Refusal::not_run(Reason::Unreachable));
        }
        if node.is_baseline() {
            local.drain.begin_request()?;
            return Ok((self.slot_for(None), None));
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
            GateDecision::Started(key) => Ok((self.slot_for(Some(key)), None)),
            GateDecision::Queued(key) => {
                let waiting = local.waiting.wait(key);
                Ok((self.slot_for(Some(key)), Some(waiting)))
            }
            GateDecision::Refused(refusal) => {
                local.leave();
                Err(refusal)
            }
        }
    }

    fn slot_for(&self, key: Option<WorkKey>) -> Slot {
        let node = Arc::clone(&self.node);
        Slot {
            node,
            incarnation: self.call.incarnation,
            key,
            call_id: None,
            finish: Finish::Cancelled,
            is_open: true,
        }
    }

    /// Records that the backend server is about to get the request.
    fn start(
        &self,
        slot: &mut Slot,
        once: Option<DedupKey>,
    ) -> Option<(Started, oneshot::Receiver<()>)> {
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
        if !is_current || once.is_some_and(|key| !local.once.start(key)) {
            return None;
        }
        let (cut, receiver) = oneshot::channel();
        let account = local.accounts.open(call.retry_tokens);
        let running = Running {
            request_id: call.request_id,
            class: call.class.clone(),
            importance: call.importance,
            idempotent: call.idempotent,
            deadline_us: self.deadline_us,
            depth: call.depth,
            account,
            path_level: Level::OPEN,
            fingerprint: self.fingerprint,
            incarnation: call.incarnation,
            cut: Some(cut),
        };
        local.running.insert(call_id, running);
        slot.call_id = Some(call_id);
        let remaining_us = self.deadline_us.saturating_sub(now.us);
        let instructions = CallContext {
            call_id: call_id.to_string().into(),
            request_id: call.request_id.to_string().into(),
            class: call.class.clone(),
            remaining_us,
            deadline_unix_ms: now.unix_ms + remaining_us / 1_000,
        };
        Some((Started { addr, instructions }, receiver))
    }

    fn refuse(&self, once: Option<DedupKey>, refusal: Refusal) -> Reply {
        let mut local = self.node.local.lock();
        let level = local.gate.level();
        let mut reply = match once {
            Some(key) => {
                let denial = local.once.refuse(key, refusal.reason);
                denied(denial, refusal.retry_after_ms, level)
            }
            None => Reply::refused(refusal, level),
        };
        reply.retry_tokens = self.call.retry_tokens;
        reply
    }

    fn finish(
        &self,
        mut slot: Slot,
        once: Option<DedupKey>,
        result: Result<Answer, BackendError>,
        has_crashed: bool,
    ) -> Reply {
        slot.finish = if result.is_ok() {
            Finish::Done
        } else {
            Finish::Failed
        };
        let (retry_tokens, nested_level) = slot.end();
        let mut local = self.node.local.lock();
        let path_level = nested_level.min(local.gate.level());
        let refusal = match result {
            Ok(answer) => {
                local.clear(self.fingerprint, self.node.clock.now_unix_ms());
                let answer = Arc::new(answer);
                if let Some(key) = once {
                    local
                        .once
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
        let mut reply = match once {
            Some(key) => denied(local.once.mark_lost(key, refusal.reason), None, path_level),
            None => Reply::refused(refusal, path_level),
        };
        reply.retry_tokens = retry_tokens;
        reply
    }
}

/// One order in the record; its end is told to all who wait for it, also after a panic.
struct Order {
    node: Arc<Node>,
    key: DedupKey,
}

impl Order {
    fn tell(&self, mut reply: Reply) {
        let waiting = self.node.local.lock().joined.remove(&self.key);
        for sender in waiting.unwrap_or_default() {
            // Who has gone away resends and finds the record.
            let _ = sender.send(reply.clone());
            reply.retry_tokens = 0;
        }
    }
}

impl Drop for Order {
    fn drop(&mut self) {
        let denial = self
            .node
            .local
            .lock()
            .once
            .mark_lost(self.key, Reason::Internal);
        self.tell(denied(denial, None, Level::OPEN));
    }
}

/// What the backend server is given.
struct Started {
    addr: SocketAddr,
    instructions: CallContext,
}

/// Place at the gate; given back when dropped.
struct Slot {
    node: Arc<Node>,
    incarnation: Incarnation,
    key: Option<WorkKey>,
    call_id: Option<CallId>,
    finish: Finish,
    is_open: bool,
}

impl Slot {
    /// Gives the place back; returns the retries left and the lowest level met by nested calls.
    fn end(&mut self) -> (u8, Level) {
        self.is_open = false;
        let now_us = self.node.clock.now_us();
        let mut local = self.node.local.lock();
        let running = self
            .call_id
            .take()
            .and_then(|call_id| local.running.remove(&call_id));
        if let Some(key) = self.key.take() {
            local.waiting.forget(key);
            let mut actions = Vec::new();
            local.gate.finish(key, self.finish, now_us, &mut actions);
            local.waiting.apply(actions);
        }
        // A new life of the worker counts its own requests only.
        if local.last_incarnation == self.incarnation {
            local.leave();
        }
        running.map_or((0, Level::OPEN), |running| {
            (local.accounts.close(running.account), running.path_level)
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_open {
            self.end();
        }
    }
}

fn denied(denial: Denial, retry_after_ms: Option<u32>, path_level: Level) -> Reply {
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

fn cut_off(addr: SocketAddr) -> BackendError {
    BackendError {
        step: "wait for answer",
        peer: addr,
        detail: "cut off".into(),
        may_have_run: true,
        timed_out: false,
    }
}
