//! Handling of one request: its route and position in the call tree, admission, sends and the final
//! answer.

use {
    crate::{
        mesh::{
            Mesh,
            edge::RETRY_AFTER_MIN_MS,
            gate::Running,
            http::{self, Head},
            organisations::{AuthenticationError, OrganisationKey, Organisations},
            protocol::RequestMetadata,
            routes::{Route, RouteTable},
            runtime::now_us,
            sends::{RETRY_AFTER_NO_WORKER_MS, SendHistory},
        },
        policy::suspect::Fingerprint,
        request::{Importance, Outcome, Reason, Refusal, ServiceName},
    },
    futures::future::{Either, select},
    rand::RngExt,
    smol_str::{SmolStr, format_smolstr},
    std::{pin::pin, rc::Rc},
};

/// Request as received.
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
    /// Encoded field lines, each with its line end.
    pub fields: Vec<u8>,
    /// Body.
    pub body: Vec<u8>,
}

/// Request with its route and its position in the call tree.
pub(super) struct RoutedRequest {
    pub(super) metadata: RequestMetadata,
    pub(super) route: Rc<Route>,
    pub(super) service: ServiceName,
    /// Organisation of the client; `None` for calls of the local worker and on public routes.
    pub(super) organisation: Option<OrganisationKey>,
    /// Requests that admission control treats alike: those of one route and of equally important
    /// organisations.
    pub(super) class: SmolStr,
    /// Configuration that the request was authenticated and routed by.
    pub(super) table: Rc<RouteTable>,
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
    /// Handles one request and returns its answer. Dropping the future cancels the request.
    pub async fn handle(self: &Rc<Self>, inbound: Inbound) -> Answer {
        let now_us = now_us();
        let Some(metadata) = self.protocol.request_metadata(&inbound.head) else {
            self.metrics.count("ingress.bad_request");
            return Answer::empty(400);
        };
        let attempt_id = metadata.attempt_id.clone();
        let table = self.routes.borrow().clone();
        let Some(table) = table else {
            let refusal = Refusal::not_run(Reason::NoWorker);
            return self.refusal_answer(
                &attempt_id,
                refusal.retry_after_ms(RETRY_AFTER_NO_WORKER_MS),
            );
        };
        let Some(route) = table.find(&inbound.head.host, inbound.head.path()) else {
            tracing::info!(attempt = %attempt_id, host = %inbound.head.host,
                version = %table.version, "no route");
            self.metrics.count("ingress.no_route");
            let mut answer = Answer::empty(404);
            self.protocol.write_refusal(&mut answer.fields, &attempt_id);
            return answer;
        };
        let credential = self.protocol.credential(&inbound.head);
        let organisation = match table
            .organisations
            .authenticate(credential, route.is_public)
        {
            Ok(organisation) => organisation,
            Err(error) => return self.challenge(&attempt_id, route, error),
        };
        let route = Rc::clone(route);
        let request = self.routed_request(metadata, &table, route, organisation, &inbound, now_us);
        let refused = self.admit(&request, now_us);
        let mut history = SendHistory::new();
        let mut open_request = OpenRequest {
            mesh: self,
            request: &request,
            is_open: true,
        };
        let result = match refused {
            Some(refusal) => Err(refusal),
            None => {
                self.forward_until_end(&request, &inbound, &mut history)
                    .await
            }
        };
        open_request.is_open = false;
        self.finish_request(&request, &history, result)
    }

    /// Forwards a request, and gives it up when the daemon ends.
    async fn forward_until_end(
        self: &Rc<Self>,
        request: &RoutedRequest,
        inbound: &Inbound,
        history: &mut SendHistory,
    ) -> Result<Answer, Refusal> {
        let ending = self.ending.listen();
        let forwarded = pin!(self.forward_with_token(request, inbound, history));
        match select(forwarded, ending).await {
            Either::Left((result, _)) => result,
            // An open send may have reached a worker.
            Either::Right(_) => Err(Refusal::unknown(Reason::Draining)),
        }
    }

    /// Forwards a request that its organisation's quota admits.
    async fn forward_with_token(
        self: &Rc<Self>,
        request: &RoutedRequest,
        inbound: &Inbound,
        history: &mut SendHistory,
    ) -> Result<Answer, Refusal> {
        let token = self.take_token(request).await?;
        let result = self.forward(request, inbound, history).await;
        if let (Some(token), Err(refusal)) = (&token, &result)
            && refusal.outcome == Outcome::NotRun
        {
            self.restore_token(token);
        }
        result
    }

    fn routed_request(
        &self,
        metadata: RequestMetadata,
        table: &Rc<RouteTable>,
        route: Rc<Route>,
        organisation: Option<OrganisationKey>,
        inbound: &Inbound,
        now_us: u64,
    ) -> RoutedRequest {
        let client_ms = metadata.remaining_ms.unwrap_or(route.timeout_ms);
        let deadline_us = now_us + client_ms.min(route.timeout_ms) * 1_000;
        let parent = self.parent(&metadata.attempt_id);
        let service = self.round_robin.borrow_mut().next_service(&route);
        let importance = table.importance(&route, organisation);
        let class = match table.organisation_rank(organisation) {
            0 => route.name.clone(),
            rank => format_smolstr!("{}+{rank}", route.name),
        };
        let mut request = RoutedRequest {
            importance: importance.at_gate(false),
            root_importance: importance,
            organisation,
            class,
            table: Rc::clone(table),
            bucket: self.rng.borrow_mut().random(),
            depth: 0,
            parent: None,
            fingerprint: self.fingerprint(inbound),
            started_us: now_us,
            deadline_us,
            service,
            route,
            metadata,
        };
        if let Some((id, running)) = parent {
            request.importance = running.0.at_gate(true);
            request.root_importance = running.0;
            request.bucket = running.1;
            request.depth = running.2.saturating_add(1);
            request.parent = Some(id);
        }
        request
    }

    fn fingerprint(&self, inbound: &Inbound) -> u64 {
        let Head { method, target, .. } = &inbound.head;
        Fingerprint::new(&self.settings.service, method, target, &inbound.body).0
    }

    /// Returns the running request of the local worker that a call belongs to. The id of a call is
    /// usually that of its request with a suffix; a call with any other id is treated as a client's
    /// request.
    fn parent(&self, attempt_id: &str) -> Option<(SmolStr, (Importance, u8, u8))> {
        let (parent, _) = attempt_id.rsplit_once('.')?;
        let gate = self.gate.borrow();
        let (id, running): (&SmolStr, &Running) = gate.running.get_key_value(parent)?;
        Some((
            id.clone(),
            (running.root_importance, running.bucket, running.depth),
        ))
    }

    /// Answers a request that is not authenticated.
    fn challenge(&self, attempt_id: &str, route: &Route, error: AuthenticationError) -> Answer {
        tracing::info!(attempt = %attempt_id, route = %route.name, %error,
            version = %self.config_version(), "not authenticated");
        self.metrics.count("ingress.not_authenticated");
        let mut answer = Answer::empty(401);
        self.protocol.write_refusal(&mut answer.fields, attempt_id);
        self.protocol.write_challenge(&mut answer.fields);
        answer
    }

    /// Encodes the request line and the end-to-end fields as the head of a call's payload, without
    /// the fields that the daemon sets itself, and with the organisation of the client. Daemons of
    /// earlier builds pass it on to their workers unchanged.
    pub(super) fn payload_head(
        &self,
        head: &Head,
        organisations: &Organisations,
        organisation: Option<OrganisationKey>,
    ) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        for part in [
            head.method.as_str(),
            " ",
            head.target.as_str(),
            " HTTP/1.1\r\n",
        ] {
            out.extend_from_slice(part.as_bytes());
        }
        let hides_credentials = !organisations.is_empty();
        head.write_fields(&mut out, |name| {
            self.protocol.is_daemon_field(name)
                || (hides_credentials && self.protocol.is_credential_field(name))
        });
        if let Some(key) = organisation {
            let name = &organisations.get(key).name;
            self.protocol.write_organisation(&mut out, name);
        }
        out
    }

    /// Records and logs the result, and converts it to the client's answer.
    fn finish_request(
        &self,
        request: &RoutedRequest,
        history: &SendHistory,
        result: Result<Answer, Refusal>,
    ) -> Answer {
        let took_us = now_us().saturating_sub(request.started_us);
        if let Some(parent) = &request.parent {
            let has_failed = result.as_ref().map_or(true, |answer| answer.status >= 500);
            self.gate
                .borrow_mut()
                .record_downstream_call(parent, has_failed);
        }
        if request.depth == 0 {
            self.latencies.record("request", took_us);
        }
        match result {
            Ok(answer) => {
                if request.depth == 0 {
                    let failed_downstream = answer.status >= 500 && history.downstream_failed;
                    let mut circuit_breakers = self.circuit_breakers.borrow_mut();
                    circuit_breakers.record_result(
                        &request.route.name,
                        failed_downstream,
                        now_us(),
                    );
                }
                // Separate call sites, so that rate limiting of the log lines for successful
                // answers does not drop those of failures.
                macro_rules! log_answer {
                    () => {
                        tracing::info!(attempt = %request.metadata.attempt_id,
                            route = %request.route.name, service = %request.service,
                            status = answer.status, took_us, depth = request.depth,
                            vm = %history.vm, sends = history.sends,
                            turned_away = history.gate_rejections,
                            version = %self.config_version(), "answered")
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
                tracing::info!(attempt = %request.metadata.attempt_id, route = %request.route.name,
                    service = %request.service, %refusal, took_us, depth = request.depth,
                    vm = %history.vm, sends = history.sends, turned_away = history.gate_rejections,
                    remaining_us = request.deadline_us.saturating_sub(now_us()),
                    version = %self.config_version(), "refused");
                self.refusal_answer(&request.metadata.attempt_id, refusal)
            }
        }
    }

    fn refusal_answer(&self, attempt_id: &str, refusal: Refusal) -> Answer {
        self.metrics.count("answer.refused");
        let status = match (refusal.outcome, refusal.reason) {
            (Outcome::NotRun, Reason::Overload | Reason::QuotaExceeded) => 429,
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

/// Guard of a request that has no answer yet; dropped before, it records that the client has left.
struct OpenRequest<'a> {
    mesh: &'a Mesh,
    request: &'a RoutedRequest,
    is_open: bool,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let request = self.request;
        self.mesh.metrics.count("request.cancelled");
        tracing::info!(attempt = %request.metadata.attempt_id, route = %request.route.name,
            took_us = now_us().saturating_sub(request.started_us), depth = request.depth,
            "cancelled, as the client has left");
    }
}
