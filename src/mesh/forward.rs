//! Way of one request: route, admission, choice of a worker, sends, and the final answer.

use {
    crate::{
        mesh::{
            Mesh,
            directory::{Choice, Ended, Reach},
            frame::{Call, CallResult, Pressure, Reply, WorkerLife},
            gate::{self, Running},
            http::{self, Head},
            link::{Link, LinkResult},
            protocol::RequestFacts,
            routes::Route,
            runtime::{now_us, until},
        },
        policy::{
            admission::{Met, Verdict},
            suspect::Fingerprint,
        },
        request::{Importance, Outcome, Reason, Refusal, ServiceName},
    },
    futures::future::{Either, select},
    rand::RngExt,
    smol_str::SmolStr,
    std::{pin::pin, rc::Rc},
};

/// Importances of calls inside a request that has begun: they go before all new requests, since
/// turning one away wastes the work done so far.
const FRESH_IMPORTANCE_OFFSET: u8 = 16;

/// Gates that may turn a request away before it is given up; more would spread overload.
const MAX_TURNED_AWAY: usize = 3;

/// Shortest time left in which another send is of use.
const MIN_RESEND_US: u64 = 20_000;

/// Bounds of the advice on when to come back.
const RETRY_AFTER_MIN_MS: u32 = 100;
const RETRY_AFTER_MAX_MS: u32 = 2_000;

/// Part of the time left up to which callers wait as they are told; a later time is not honoured.
const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Advice when no worker is known or no configuration: the time in which the platform's entries are
/// back after an outage of the store is twice that.
const RETRY_AFTER_NOTHING_MS: u32 = 1_000;

/// A request as it came in.
#[derive(Debug)]
pub struct Inbound {
    /// Head.
    pub head: Head,
    /// Body.
    pub body: Vec<u8>,
}

/// Final answer to a client.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Fields, each with its line end.
    pub fields: Vec<u8>,
    /// Body.
    pub body: Vec<u8>,
}

/// A checked request on its way.
struct Outgoing {
    facts: RequestFacts,
    route: Rc<Route>,
    service: ServiceName,
    importance: Importance,
    root_importance: Importance,
    bucket: u8,
    depth: u8,
    parent: Option<SmolStr>,
    fingerprint: u64,
    started_us: u64,
    deadline_us: u64,
    payload_head: Vec<u8>,
}

/// What has become of a request so far.
#[derive(Debug)]
struct Trail {
    /// VM that the last send went to.
    vm: SmolStr,
    reach: Reach,
    tried: Vec<WorkerLife>,
    sends: u32,
    turned_away: usize,
    may_have_run: bool,
    /// Whether a call inside the last run failed for good.
    is_lost_below: bool,
}

/// What one send gave.
enum Sent {
    Answer(Answer, bool),
    Refused(Refusal),
}

impl Answer {
    fn empty(status: u16) -> Self {
        Self {
            status,
            fields: Vec::new(),
            body: Vec::new(),
        }
    }
}

impl Mesh {
    /// Answers one request; dropping the future cancels it.
    pub async fn handle(self: &Rc<Self>, inbound: Inbound) -> Answer {
        let now_us = now_us();
        let Some(facts) = self.protocol.request_facts(&inbound.head) else {
            self.metrics.count("ingress.bad_request");
            return Answer::empty(400);
        };
        let attempt_id = facts.attempt_id.clone();
        let table = self.routes.borrow().clone();
        let Some(table) = table else {
            let refusal = Refusal::not_run(Reason::NoWorker);
            return self
                .refusal_answer(&attempt_id, refusal.retry_after_ms(RETRY_AFTER_NOTHING_MS));
        };
        let Some(route) = table.find(&inbound.head.host, inbound.head.path()) else {
            tracing::info!(attempt = %attempt_id, host = %inbound.head.host,
                version = %table.version, "no route");
            self.metrics.count("ingress.no_route");
            let mut answer = Answer::empty(404);
            self.protocol.write_refusal(&mut answer.fields, &attempt_id);
            return answer;
        };
        let out = self.outgoing(facts, Rc::clone(route), &inbound, now_us);
        let refused = self.admit(&out, now_us);
        let mut trail = Trail::new();
        let result = match refused {
            Some(refusal) => Err(refusal),
            None => self.forward(&out, &inbound.body, &mut trail).await,
        };
        self.conclude(&out, &trail, result)
    }

    fn outgoing(
        &self,
        facts: RequestFacts,
        route: Rc<Route>,
        inbound: &Inbound,
        now_us: u64,
    ) -> Outgoing {
        let client_ms = facts.remaining_ms.unwrap_or(route.timeout_ms);
        let deadline_us = now_us + client_ms.min(route.timeout_ms) * 1_000;
        let parent = self.parent(&facts.attempt_id);
        let service = self.splitter.borrow_mut().next(&route);
        let mut out = Outgoing {
            importance: Importance(route.importance.0.saturating_add(FRESH_IMPORTANCE_OFFSET)),
            root_importance: route.importance,
            bucket: self.rng.borrow_mut().random(),
            depth: 0,
            parent: None,
            fingerprint: self.fingerprint(inbound),
            started_us: now_us,
            deadline_us,
            payload_head: self.payload_head(&inbound.head),
            service,
            route,
            facts,
        };
        if let Some((id, running)) = parent {
            out.importance = Importance(running.0.0.min(FRESH_IMPORTANCE_OFFSET - 1));
            out.root_importance = running.0;
            out.bucket = running.1;
            out.depth = running.2.saturating_add(1);
            out.parent = Some(id);
        }
        out
    }

    fn fingerprint(&self, inbound: &Inbound) -> u64 {
        let Head { method, target, .. } = &inbound.head;
        Fingerprint::new(&self.settings.service, method, target, &inbound.body).0
    }

    /// Request of the local worker that a call belongs to. The id of a call often begins with that
    /// of its request; where it does not, the call counts as a request of its own.
    fn parent(&self, attempt_id: &str) -> Option<(SmolStr, (Importance, u8, u8))> {
        let (parent, _) = attempt_id.rsplit_once('.')?;
        let gate = self.gate.borrow();
        let (id, running): (&SmolStr, &Running) = gate.running.get_key_value(parent)?;
        Some((
            id.clone(),
            (running.root_importance, running.bucket, running.depth),
        ))
    }

    fn payload_head(&self, head: &Head) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        for part in [
            head.method.as_str(),
            " ",
            head.target.as_str(),
            " HTTP/1.1\r\n",
        ] {
            out.extend_from_slice(part.as_bytes());
        }
        head.write_fields(&mut out, |name| self.protocol.is_own_field(name));
        out
    }

    /// Refuses a caller's request that a stopping daemon may not live to answer, or that has no
    /// prospect deep in the call graph.
    fn admit(&self, out: &Outgoing, now_us: u64) -> Option<Refusal> {
        if self.crashes.is_quarantined(out.fingerprint) {
            let refusal = Refusal::not_run(Reason::Quarantined);
            return Some(refusal.retry_after_ms(RETRY_AFTER_MAX_MS));
        }
        if out.depth > 0 {
            return None;
        }
        if !self.takes_requests(now_us) {
            return Some(Refusal::not_run(Reason::Draining));
        }
        if let Some(refusal) = self.lacks_prospect(out, now_us) {
            return Some(refusal);
        }
        let draw = self.rng.borrow_mut().random();
        let verdict = self
            .admission
            .borrow_mut()
            .decide(&out.route.name, draw, now_us);
        let Verdict::Refuse {
            scarce,
            load_permille,
            admitted_share,
        } = verdict
        else {
            return None;
        };
        self.metrics.count("edge.refused");
        tracing::info!(attempt = %out.facts.attempt_id, route = %out.route.name, %scarce,
            load_permille, admitted_share, "refused at the edge");
        let jitter: f64 = self.rng.borrow_mut().random_range(0.5..1.5);
        let after_ms = f64::from(RETRY_AFTER_MIN_MS) + 800.0 * (1.0 - admitted_share) * jitter;
        let after_ms = (after_ms as u32).min(out.longest_retry_after_ms(now_us));
        Some(Refusal::not_run(Reason::Overload).retry_after_ms(after_ms))
    }

    /// Refuses a request of a class that is lost through its calls at present.
    fn lacks_prospect(&self, out: &Outgoing, now_us: u64) -> Option<Refusal> {
        let draw = self.rng.borrow_mut().random();
        let lost_in_row = self
            .prospects
            .borrow()
            .refuses(&out.route.name, draw, now_us)?;
        self.metrics.count("edge.hopeless");
        tracing::info!(attempt = %out.facts.attempt_id, route = %out.route.name, lost_in_row,
            "refused, as its calls fail");
        // Spread over the later half of the time in which the caller may come back.
        let spread: f64 = self.rng.borrow_mut().random_range(0.5..1.0);
        let after_ms = f64::from(out.longest_retry_after_ms(now_us)) * spread;
        Some(Refusal::not_run(Reason::Overload).retry_after_ms(after_ms as u32))
    }

    /// Sends the request to workers until one answers or there is no use in going on.
    async fn forward(
        self: &Rc<Self>,
        out: &Outgoing,
        body: &[u8],
        trail: &mut Trail,
    ) -> Result<Answer, Refusal> {
        self.allowances
            .borrow_mut()
            .entry(out.service.clone())
            .or_default()
            .first(self.settings.allowance, out.started_us);
        let mut last = Refusal::not_run(Reason::NoWorker).retry_after_ms(RETRY_AFTER_NOTHING_MS);
        loop {
            let now_us = now_us();
            if now_us >= out.deadline_us {
                return Err(trail.conclude(Refusal::not_run(Reason::Deadline)));
            }
            let reach = trail.reach;
            let choice =
                self.directory
                    .borrow_mut()
                    .choose(&out.service, &trail.tried, reach, now_us);
            let Some(choice) = choice else {
                return Err(trail.conclude(last));
            };
            let sent = self.send(out, body, &choice, trail).await;
            trail.vm = choice.vm;
            trail.tried.push(choice.life);
            match sent {
                Sent::Answer(answer, is_final) => {
                    if is_final || !self.may_send_again(out, trail, false) {
                        return Ok(answer);
                    }
                }
                Sent::Refused(refusal) => {
                    last = refusal;
                    let was_run = refusal.outcome == Outcome::Unknown;
                    if !self.may_send_again(out, trail, was_run) {
                        return Err(trail.conclude(refusal));
                    }
                }
            }
        }
    }

    /// Decides whether the request goes to another worker. Only what reached a worker counts as a
    /// send; a gate that turns a request away costs none.
    fn may_send_again(&self, out: &Outgoing, trail: &Trail, was_run: bool) -> bool {
        let now_us = now_us();
        let has_time = out.deadline_us.saturating_sub(now_us) > MIN_RESEND_US;
        if !has_time || trail.turned_away > MAX_TURNED_AWAY {
            return false;
        }
        if trail.sends == 0 {
            return true;
        }
        if (was_run || trail.may_have_run) && !out.route.idempotent {
            return false;
        }
        if trail.sends >= out.route.max_attempts {
            return false;
        }
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances.entry(out.service.clone()).or_default();
        let table = self.routes.borrow();
        let place = table
            .as_ref()
            .map_or(0, |table| table.place(out.root_importance));
        let is_paid = allowance.extra(self.settings.allowance, place, out.depth, now_us);
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
        body: &[u8],
        choice: &Choice,
        trail: &mut Trail,
    ) -> Sent {
        let sent_us = now_us();
        let mut picked = Picked::new(self, choice);
        let call = out.call(choice, self, sent_us);
        let parts = [out.payload_head.as_slice(), body];
        let result = match select(
            pin!(self.deliver(choice, call, &parts)),
            until(out.deadline_us),
        )
        .await
        {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                picked.end(Ended::Failed, None);
                trail.sends += 1;
                trail.may_have_run = true;
                return Sent::Refused(Refusal::unknown(Reason::Deadline));
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
                trail.sends += 1;
                trail.may_have_run = true;
                return Sent::Refused(Refusal::unknown(Reason::Broken));
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
                let mut allowances = self.allowances.borrow_mut();
                let allowance = allowances.entry(out.service.clone()).or_default();
                allowance.ran(reply.made_calls);
                drop(allowances);
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
                let is_final = !has_failed || (!out.route.idempotent && !not_run);
                Sent::Answer(answer, is_final)
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
                if !reply.was_sent && refusal.reason.is_load() {
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
        let met = Met {
            service: &pressure.service,
            load_permille: pressure.load_permille,
            calls: pressure.calls,
        };
        let (class, importance) = (&out.route.name, out.route.importance);
        let mut admission = self.admission.borrow_mut();
        admission.report(class, importance, met, now_us);
    }

    /// Turns the result into the client's answer, and logs it.
    fn conclude(&self, out: &Outgoing, trail: &Trail, result: Result<Answer, Refusal>) -> Answer {
        let took_us = now_us().saturating_sub(out.started_us);
        if let Some(parent) = &out.parent {
            let has_failed = result.as_ref().map_or(true, |answer| answer.status >= 500);
            self.gate.borrow_mut().note_call(parent, has_failed);
        }
        if out.depth == 0 {
            self.latencies.record("request", took_us);
        }
        match result {
            Ok(answer) => {
                if out.depth == 0 {
                    let was_lost = answer.status >= 500 && trail.is_lost_below;
                    let mut prospects = self.prospects.borrow_mut();
                    prospects.ran(&out.route.name, was_lost, now_us());
                }
                if answer.status < 400 {
                    self.metrics.count("answer.good");
                } else {
                    self.metrics.count("answer.failed");
                }
                tracing::info!(attempt = %out.facts.attempt_id, route = %out.route.name,
                    service = %out.service, status = answer.status, took_us, depth = out.depth,
                    vm = %trail.vm, sends = trail.sends, turned_away = trail.turned_away,
                    version = %self.config_version(), "answered");
                answer
            }
            Err(refusal) => {
                tracing::info!(attempt = %out.facts.attempt_id, route = %out.route.name,
                    service = %out.service, %refusal, took_us, depth = out.depth,
                    vm = %trail.vm, sends = trail.sends, turned_away = trail.turned_away,
                    remaining_us = out.deadline_us.saturating_sub(now_us()),
                    version = %self.config_version(), "refused");
                self.refusal_answer(&out.facts.attempt_id, refusal)
            }
        }
    }

    fn refusal_answer(&self, attempt_id: &str, refusal: Refusal) -> Answer {
        self.metrics.count("answer.refused");
        let status = match (refusal.outcome, refusal.reason) {
            (Outcome::NotRun, Reason::Overload) => 429,
            (Outcome::NotRun, _) => 503,
            (_, Reason::Deadline) => 504,
            _ => 502,
        };
        let mut answer = Answer::empty(status);
        self.protocol.write_refusal(&mut answer.fields, attempt_id);
        if refusal.outcome == Outcome::NotRun {
            let after_ms = refusal.retry_after_ms.unwrap_or(RETRY_AFTER_MIN_MS);
            http::write_retry_after(&mut answer.fields, after_ms);
        }
        answer
    }
}

impl Outgoing {
    fn call(&self, choice: &Choice, mesh: &Mesh, now_us: u64) -> Call {
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
            head_bytes: self.payload_head.len() as u32,
        }
    }

    /// Latest time for the caller to come back, by its own account of the time left.
    fn longest_retry_after_ms(&self, now_us: u64) -> u32 {
        let took_ms = now_us.saturating_sub(self.started_us) / 1_000;
        let left_ms = self
            .facts
            .remaining_ms
            .map_or(f64::from(RETRY_AFTER_MAX_MS), |ms| {
                ms.saturating_sub(took_ms) as f64 * RETRY_AFTER_SHARE
            });
        (left_ms as u32).min(RETRY_AFTER_MAX_MS)
    }
}

impl Trail {
    fn new() -> Self {
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

    /// What the client is told, in view of all sends.
    fn conclude(&self, refusal: Refusal) -> Refusal {
        refusal.doubt(self.may_have_run)
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

    fn end(&mut self, ended: Ended, load: Option<crate::mesh::frame::GateLoad>) {
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
