//! Sends of one request: the choice of workers, sends after a failure, and what became of them.

use {
    crate::{
        mesh::{
            Mesh,
            directory::{Choice, Ended, Reach},
            forward::{Answer, Inbound, Outgoing},
            frame::{Call, CallResult, GateLoad, Pressure, Reply, WorkerLife},
            gate,
            link::{Link, LinkResult},
            runtime::{now_us, until},
        },
        policy::{admission::BottleneckLoad, retry_budget::RetryBudget},
        request::{Outcome, Reason, Refusal, ServiceName},
    },
    futures::future::{Either, select},
    smol_str::SmolStr,
    std::{cell::RefMut, pin::pin, rc::Rc},
};

/// Gates that may turn a request away before it is given up; more would spread overload.
const MAX_TURNED_AWAY: usize = 3;

/// Shortest time left in which another send is of use.
const MIN_RESEND_US: u64 = 20_000;

/// Advice when no worker is known or no configuration: the time in which the platform's entries are
/// back after an outage of the store is twice that.
pub(super) const RETRY_AFTER_NOTHING_MS: u32 = 1_000;

/// What has become of a request so far.
#[derive(Debug)]
pub(super) struct Trail {
    /// VM that the last send went to.
    pub(super) vm: SmolStr,
    reach: Reach,
    tried: Vec<WorkerLife>,
    pub(super) sends: u32,
    pub(super) turned_away: usize,
    may_have_run: bool,
    /// Whether a call inside the last run failed for good.
    pub(super) is_lost_below: bool,
}

/// What one send gave.
enum Sent {
    /// The worker's answer to the request, which is final.
    Answer(Answer),
    /// A failure of the worker, after which the request may be sent elsewhere.
    Failure(Failure),
    /// No answer.
    Refused(Refusal),
}

/// A worker's own failure.
struct Failure {
    answer: Answer,
    /// Whether it says that the request has not run.
    is_promise: bool,
}

/// What there is to tell the client if no further send answers.
struct TrailEnd {
    failure: Option<Failure>,
    refusal: Refusal,
}

impl Mesh {
    /// Sends the request to workers until one answers or there is no use in going on.
    pub(super) async fn forward(
        self: &Rc<Self>,
        out: &Outgoing,
        inbound: &Inbound,
        trail: &mut Trail,
    ) -> Result<Answer, Refusal> {
        let head = self.payload_head(&inbound.head);
        let payload = [head.as_slice(), inbound.body.as_slice()];
        self.allowance(&out.service)
            .count_first_send(self.settings.allowance, out.started_us);
        let mut end = TrailEnd {
            failure: None,
            refusal: Refusal::not_run(Reason::NoWorker).retry_after_ms(RETRY_AFTER_NOTHING_MS),
        };
        loop {
            let now_us = now_us();
            if now_us >= out.deadline_us {
                end.refusal = Refusal::not_run(Reason::Deadline);
                return end.conclude(trail);
            }
            let reach = trail.reach;
            let choice =
                self.directory
                    .borrow_mut()
                    .choose(&out.service, &trail.tried, reach, now_us);
            let Some(choice) = choice else {
                return end.conclude(trail);
            };
            if trail.sends > 0 && !self.allows_extra(out, now_us) {
                return end.conclude(trail);
            }
            let sent = self.send(out, payload, &choice, trail).await;
            trail.vm = choice.vm;
            trail.tried.push(choice.life);
            match sent {
                Sent::Answer(answer) => return Ok(answer),
                Sent::Failure(failure) => end.failure = Some(failure),
                Sent::Refused(refusal) => end.refusal = refusal,
            }
            if !trail.may_go_on(out) {
                return end.conclude(trail);
            }
        }
    }

    /// Extra sends to a service.
    fn allowance(&self, service: &ServiceName) -> RefMut<'_, RetryBudget> {
        RefMut::map(self.allowances.borrow_mut(), |allowances| {
            allowances.entry(service.clone()).or_default()
        })
    }

    /// Asks the service's allowance for one more send, and counts it.
    fn allows_extra(&self, out: &Outgoing, now_us: u64) -> bool {
        let table = self.routes.borrow();
        let place = table
            .as_ref()
            .map_or(0, |table| table.place(out.root_importance));
        let mut allowance = self.allowance(&out.service);
        let is_paid = allowance.try_extra_send(self.settings.allowance, place, out.depth, now_us);
        if is_paid {
            self.metrics.count("retry.sent");
        } else {
            self.metrics.count("retry.over_ratio");
        }
        is_paid
    }

    /// Sends the request to one worker.
    async fn send(
        self: &Rc<Self>,
        out: &Outgoing,
        payload: [&[u8]; 2],
        choice: &Choice,
        trail: &mut Trail,
    ) -> Sent {
        let sent_us = now_us();
        let mut picked = Picked::new(self, choice);
        let call = out.call(choice, self, payload[0].len(), sent_us);
        let result = match select(
            pin!(self.deliver(choice, call, &payload)),
            until(out.deadline_us),
        )
        .await
        {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                picked.end(Ended::Failed, None);
                return trail.left_in_doubt(Reason::Deadline);
            }
        };
        let (reply, payload) = match result {
            Ok(reply) => reply,
            Err(error) => {
                tracing::info!(attempt = %out.facts.attempt_id, vm = %choice.vm, %error, "call lost");
                picked.end(Ended::Unreachable, None);
                if !error.may_have_arrived {
                    return Sent::Refused(Refusal::not_run(Reason::Unreachable));
                }
                return trail.left_in_doubt(Reason::Broken);
            }
        };
        trail.sends += u32::from(reply.was_sent);
        trail.turned_away += usize::from(!reply.was_sent);
        trail.is_lost_below = reply.met_failure;
        let pressure = reply.pressure.clone();
        let sent = self.received(out, choice, picked, &reply, payload, trail, sent_us);
        self.note_pressure(out, pressure.as_ref());
        sent
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "one reply and the state that it changes"
    )]
    fn received(
        &self,
        out: &Outgoing,
        choice: &Choice,
        mut picked: Picked<'_>,
        reply: &Reply,
        mut payload: Vec<u8>,
        trail: &mut Trail,
        sent_us: u64,
    ) -> Sent {
        match reply.result {
            CallResult::Answer {
                status,
                head_bytes,
                not_run,
            } => {
                let took_us = now_us().saturating_sub(sent_us);
                let has_failed = not_run || (status >= 500 && !reply.met_failure);
                self.allowance(&out.service).observe_run(reply.made_calls);
                let ended = if has_failed {
                    Ended::Failed
                } else {
                    Ended::Answered { took_us }
                };
                picked.end(ended, Some(reply.load));
                trail.may_have_run |= !not_run;
                let body = payload.split_off((head_bytes as usize).min(payload.len()));
                let answer = Answer {
                    status,
                    fields: payload,
                    body,
                };
                if !has_failed || (!out.route.idempotent && !not_run) {
                    return Sent::Answer(answer);
                }
                Sent::Failure(Failure {
                    answer,
                    is_promise: not_run,
                })
            }
            CallResult::Refused(refusal) => {
                let ended = if reply.was_sent {
                    Ended::Failed
                } else {
                    Ended::TurnedAway
                };
                picked.end(ended, Some(reply.load));
                if matches!(refusal.reason, Reason::Draining | Reason::Unreachable) {
                    let mut directory = self.directory.borrow_mut();
                    directory.refuse_life(choice.key, &choice.life);
                }
                if !reply.was_sent && refusal.reason.lacks_capacity() {
                    trail.reach = Reach::Region;
                }
                trail.may_have_run |= refusal.outcome == Outcome::Unknown;
                Sent::Refused(refusal)
            }
        }
    }

    async fn deliver(self: &Rc<Self>, choice: &Choice, call: Call, parts: &[&[u8]]) -> LinkResult {
        if choice.addr == self.settings.calls_addr {
            return Ok(gate::serve(self, &call, &parts.concat()).await);
        }
        let link = self.link(choice.addr);
        Link::call(&link, self, call, parts).await?.reply().await
    }

    /// Notes the most loaded service on the way of a request: the one that it was sent to, as seen
    /// from here over all of its workers, or one that its own calls met.
    fn note_pressure(&self, out: &Outgoing, met: Option<&Pressure>) {
        let now_us = now_us();
        let own = Pressure {
            service: out.service.clone(),
            load_permille: self.directory.borrow().load_permille(&out.service, now_us),
            calls: 1,
        };
        let pressure = match met {
            Some(met) if met.load_permille >= own.load_permille => met,
            _ => &own,
        };
        if let Some(parent) = &out.parent {
            self.gate.borrow_mut().note_pressure(parent, pressure);
            return;
        }
        let met = BottleneckLoad {
            service: &pressure.service,
            load_permille: pressure.load_permille,
            calls: pressure.calls,
        };
        let (class, importance) = (&out.route.name, out.route.importance);
        let mut admission = self.admission.borrow_mut();
        admission.report(class, importance, met, now_us);
    }
}

impl Outgoing {
    fn call(&self, choice: &Choice, mesh: &Mesh, head_bytes: usize, now_us: u64) -> Call {
        Call {
            attempt_id: self.facts.attempt_id.clone(),
            route: self.route.name.clone(),
            service: self.service.clone(),
            worker: choice.life.clone(),
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

impl Trail {
    pub(super) fn new() -> Self {
        Self {
            vm: SmolStr::default(),
            reach: Reach::Anywhere,
            tried: Vec::new(),
            sends: 0,
            turned_away: 0,
            may_have_run: false,
            is_lost_below: false,
        }
    }

    /// Counts a send of which nothing came back.
    fn left_in_doubt(&mut self, reason: Reason) -> Sent {
        self.sends += 1;
        self.may_have_run = true;
        Sent::Refused(Refusal::unknown(reason))
    }

    /// Tells whether another send may be tried. Only what reached a worker counts as a send; a gate
    /// that turns a request away costs none.
    fn may_go_on(&self, out: &Outgoing) -> bool {
        let has_time = out.deadline_us.saturating_sub(now_us()) > MIN_RESEND_US;
        let is_allowed =
            self.sends < out.route.max_attempts && (out.route.idempotent || !self.may_have_run);
        has_time && self.turned_away <= MAX_TURNED_AWAY && (self.sends == 0 || is_allowed)
    }
}

impl TrailEnd {
    /// What the client is told, in view of all sends. A worker's failure goes before one of our own,
    /// unless it says that the request has not run and a later send may have run it.
    fn conclude(self, trail: &Trail) -> Result<Answer, Refusal> {
        match self.failure {
            Some(failure) if !(failure.is_promise && trail.may_have_run) => Ok(failure.answer),
            _ => Err(self.refusal.unknown_if(trail.may_have_run)),
        }
    }
}

/// A send under way; one that is given up counts as cancelled.
struct Picked<'a> {
    mesh: &'a Mesh,
    choice: &'a Choice,
    is_open: bool,
}

impl<'a> Picked<'a> {
    fn new(mesh: &'a Mesh, choice: &'a Choice) -> Self {
        mesh.directory.borrow_mut().sent(choice.key);
        Self {
            mesh,
            choice,
            is_open: true,
        }
    }

    fn end(&mut self, ended: Ended, load: Option<GateLoad>) {
        self.is_open = false;
        let mut directory = self.mesh.directory.borrow_mut();
        directory.ended(self.choice.key, ended, load, now_us());
    }
}

impl Drop for Picked<'_> {
    fn drop(&mut self) {
        if self.is_open {
            self.end(Ended::Cancelled, None);
        }
    }
}
