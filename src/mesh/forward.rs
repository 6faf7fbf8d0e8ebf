//! Way of one request: its route and place in the call tree, admission, sends, and the final answer.

use {
    crate::{
        mesh::{
            Mesh,
            edge::RETRY_AFTER_MIN_MS,
            gate::Running,
            http::{self, Head},
            protocol::RequestFacts,
            routes::Route,
            runtime::now_us,
            sends::{RETRY_AFTER_NOTHING_MS, Trail},
        },
        policy::suspect::Fingerprint,
        request::{Importance, Outcome, Reason, Refusal, ServiceName},
    },
    rand::RngExt,
    smol_str::SmolStr,
    std::rc::Rc,
};

/// Importances of calls inside a request that has begun: they go before all new requests, since
/// turning one away wastes the work done so far.
const FRESH_IMPORTANCE_OFFSET: u8 = 16;

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
pub(super) struct Outgoing {
    pub(super) facts: RequestFacts,
    pub(super) route: Rc<Route>,
    pub(super) service: ServiceName,
    pub(super) importance: Importance,
    pub(super) root_importance: Importance,
    pub(super) bucket: u8,
    pub(super) depth: u8,
    pub(super) parent: Option<SmolStr>,
    pub(super) fingerprint: u64,
    pub(super) started_us: u64,
    pub(super) deadline_us: u64,
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
            None => self.forward(&out, &inbound, &mut trail).await,
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

    pub(super) fn payload_head(&self, head: &Head) -> Vec<u8> {
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
                    prospects.record_result(&out.route.name, was_lost, now_us());
                }
                // One kind of line each, so that many good answers displace no failure.
                macro_rules! log_answer {
                    () => {
                        tracing::info!(attempt = %out.facts.attempt_id, route = %out.route.name,
                            service = %out.service, status = answer.status, took_us,
                            depth = out.depth, vm = %trail.vm, sends = trail.sends,
                            turned_away = trail.turned_away, version = %self.config_version(),
                            "answered")
                    };
                }
                if answer.status < 400 {
                    self.metrics.count("answer.good");
                    log_answer!();
                } else {
                    self.metrics.count("answer.failed");
                    log_answer!();
                }
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
