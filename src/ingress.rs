//! HTTP/1.1 server for callers: receives requests and sends whole answers or typed refusals.

use {
    crate::{
        backend::end_to_end,
        call::{Answer, Request},
        connection::{CloseReason, linger, refuse, serve, wait_for_close},
        framed::Framed,
        metrics::Metrics,
        policy::suspect::Fingerprint,
        request::{Outcome, Reason, Refusal, RequestId},
        settings::Limits,
        spawn::spawn,
    },
    async_io::Timer,
    async_std::net::{TcpListener, TcpStream},
    async_trait::async_trait,
    futures::{
        AsyncReadExt, FutureExt,
        future::{Either, select},
    },
    http_types::headers,
    smol_str::{SmolStr, ToSmolStr},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        panic::AssertUnwindSafe,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Path at which callers obtain tickets.
const TICKETS_PATH: &str = "/.shallotdeal/tickets/:service";

/// Connections over the limit that are refused with an answer at the same time; further ones are
/// closed without one.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// Delay advised to a caller whose connection was over the limit.
const CONNECTION_RETRY_AFTER_MS: u32 = 1_000;

/// Delay after a failed accept.
const ACCEPT_RETRY_MS: u64 = 100;

/// Consecutive failures to accept after which the listener stops.
const MAX_ACCEPT_FAILURES: u32 = 100;

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller at this address.
    Caller(IpAddr),
    /// The local backend server, for the call of this identity.
    Nested(SmolStr),
}

/// One request as received.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Sender.
    pub origin: Origin,
    /// Called service.
    pub service: SmolStr,
    /// Request for the backend server.
    pub request: Request,
    /// Identity of the request.
    pub request_id: RequestId,
    /// Whether the caller has chosen the identity.
    pub is_id_from_caller: bool,
    /// Class, if the caller named one.
    pub class: Option<SmolStr>,
    /// Time within which the caller wants the answer.
    pub timeout_ms: Option<u64>,
    /// Number of this send of the request, from one; zero if the caller does not state it.
    pub attempt: u32,
    /// Ticket of a non-idempotent request.
    pub ticket: Option<SmolStr>,
    /// Caller's own key of a non-idempotent request.
    pub key: Option<SmolStr>,
    /// Time of the caller's first send, on its clock.
    pub first_sent_unix_ms: Option<u64>,
}

impl IncomingRequest {
    /// Tells whether this is the first send of the request, as far as the caller states.
    pub fn is_first(&self) -> bool {
        let is_unidentified =
            !self.is_id_from_caller && self.key.is_none() && self.ticket.is_none();
        self.attempt == 1 || (self.attempt == 0 && is_unidentified)
    }

    /// Hash of the request for the backend server.
    pub fn fingerprint(&self) -> Fingerprint {
        let Request {
            method,
            target,
            body,
            ..
        } = &self.request;
        Fingerprint::new(&self.service, method, target, body)
    }
}

/// Handler of callers' requests.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers one request; dropping the future cancels it.
    async fn handle(&self, incoming: IncomingRequest) -> Result<Arc<Answer>, Refusal>;

    /// Mints a ticket for one non-idempotent request.
    async fn ticket(&self, service: SmolStr) -> Result<SmolStr, Refusal>;
}

/// HTTP server for callers.
pub struct Ingress {
    handler: Arc<dyn Handler>,
    metrics: Arc<Metrics>,
    limits: Limits,
    connections: AtomicUsize,
    refused_connections: AtomicUsize,
}

type App = tide::Server<Arc<Ingress>>;

impl Ingress {
    /// Creates a server that passes requests to `handler`.
    pub fn new(handler: Arc<dyn Handler>, metrics: Arc<Metrics>, limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            handler,
            metrics,
            limits,
            connections: AtomicUsize::new(0),
            refused_connections: AtomicUsize::new(0),
        })
    }

    /// Serves callers until the listener fails.
    ///
    /// # Errors
    ///
    /// Fails when connections can no longer be accepted.
    pub async fn listen(self: Arc<Self>, addr: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(addr).await?;
        let mut app = tide::with_state(Arc::clone(&self));
        app.at(TICKETS_PATH).post(mint_ticket);
        app.at("/:service").all(handle_request);
        app.at("/:service/").all(handle_request);
        app.at("/:service/*").all(handle_request);
        app.at("/").all(handle_request);
        app.at("/*").all(handle_request);
        let mut failures = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    failures = 0;
                    self.handle_connection(stream, &app);
                }
                Err(error) if failures >= MAX_ACCEPT_FAILURES => return Err(error),
                Err(_) => {
                    failures += 1;
                    self.metrics.count("ingress.accept_failed");
                    Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }

    fn handle_connection(self: &Arc<Self>, stream: TcpStream, app: &App) {
        if self.connections.load(Ordering::Relaxed) < self.limits.max_connections {
            self.connections.fetch_add(1, Ordering::Relaxed);
            spawn(
                "connection",
                Arc::clone(self).serve_connection(stream, app.clone()),
            );
            return;
        }
        self.metrics.count("ingress.connection_refused");
        if self.refused_connections.load(Ordering::Relaxed) < MAX_REFUSED_CONNECTIONS {
            self.refused_connections.fetch_add(1, Ordering::Relaxed);
            spawn("turn away", Arc::clone(self).refuse_connection(stream));
        }
    }

    async fn refuse_connection(self: Arc<Self>, stream: TcpStream) {
        let refusal = Refusal::not_run(Reason::Overload);
        refuse(stream, refusal.retry_after_ms(CONNECTION_RETRY_AFTER_MS)).await;
        self.refused_connections.fetch_sub(1, Ordering::Relaxed);
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, app: App) {
        let _ = stream.set_nodelay(true);
        let framed = Framed::new(stream.clone());
        let serving = AssertUnwindSafe(serve(&framed, &app, self.limits.read_timeout_ms));
        match serving.catch_unwind().await {
            Ok(CloseReason::Clean) => linger(stream).await,
            Ok(CloseReason::Malformed) => {
                self.metrics.count("ingress.malformed");
                refuse(stream, Refusal::not_run(Reason::BadRequest)).await;
            }
            Ok(CloseReason::HeadTimeout) => {
                self.metrics.count("ingress.head_overdue");
                refuse(stream, Refusal::not_run(Reason::BadRequest)).await;
            }
            Ok(CloseReason::ResponseStalled) => self.metrics.count("ingress.answer_stalled"),
            Err(_) => self.metrics.count("ingress.panicked"),
        }
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    async fn respond(&self, mut request: tide::Request<Arc<Self>>) -> tide::Response {
        let (request_id, result) = match request_id(&request) {
            Ok(requested_id) => {
                let request_id = requested_id.unwrap_or_else(new_request_id);
                let result = self
                    .handle_request(&mut request, request_id, requested_id.is_some())
                    .await;
                (request_id, result)
            }
            Err(refusal) => (new_request_id(), Err(refusal)),
        };
        let mut response = match result {
            Ok(answer) => self.answer_response(&answer),
            Err(refusal) => self.refusal_response(refusal),
        };
        if response.header(headers::CONNECTION).is_some()
            && let Some(framed) = request.ext::<Framed>()
        {
            framed.stop_reading();
        }
        response.insert_header("request-id", request_id.to_string());
        response
    }

    async fn handle_request(
        &self,
        request: &mut tide::Request<Arc<Self>>,
        request_id: RequestId,
        is_id_from_caller: bool,
    ) -> Result<Arc<Answer>, Refusal> {
        let framed = request.ext::<Framed>().cloned();
        let incoming = self
            .read_request(request, request_id, is_id_from_caller)
            .await?;
        let handling = AssertUnwindSafe(self.handler.handle(incoming)).catch_unwind();
        let ended = match framed {
            Some(framed) => {
                match select(pin!(handling), pin!(wait_for_close(framed.stream()))).await {
                    Either::Left((ended, _)) => ended,
                    Either::Right(_) => return Err(Refusal::unknown(Reason::Cancelled)),
                }
            }
            None => handling.await,
        };
        ended.unwrap_or_else(|_| {
            self.metrics.count("ingress.panicked");
            Err(Refusal::unknown(Reason::Internal))
        })
    }

    async fn read_request(
        &self,
        request: &mut tide::Request<Arc<Self>>,
        request_id: RequestId,
        is_id_from_caller: bool,
    ) -> Result<IncomingRequest, Refusal> {
        let body = self.read_body(request).await?;
        let service = request.param("service").unwrap_or_default().to_smolstr();
        let url = request.url();
        let path = url.path().strip_prefix('/').unwrap_or_default();
        let path = path.strip_prefix(service.as_str()).unwrap_or_default();
        let path = if path.is_empty() { "/" } else { path };
        let target = match url.query() {
            Some(query) => format!("{path}?{query}").to_smolstr(),
            None => path.to_smolstr(),
        };
        let origin = match header_text(request, "call-id") {
            Some(call_id) => Origin::Nested(call_id),
            None => Origin::Caller(caller_ip(request)),
        };
        let inner: &http_types::Request = request.as_ref();
        Ok(IncomingRequest {
            origin,
            service,
            request: Request {
                method: inner.method().to_smolstr(),
                target,
                headers: end_to_end(inner),
                body,
            },
            request_id,
            is_id_from_caller,
            class: header_text(request, "request-class"),
            timeout_ms: parsed_header(request, "request-timeout", |text| text.parse().ok())?,
            attempt: parsed_header(request, "request-attempt", |text| text.parse().ok())?
                .unwrap_or(0),
            ticket: header_text(request, "request-ticket"),
            key: header_text(request, "idempotency-key"),
            first_sent_unix_ms: parsed_header(request, "request-first-sent", |text| {
                text.parse().ok()
            })?,
        })
    }

    async fn read_body(&self, request: &mut tide::Request<Arc<Self>>) -> Result<Vec<u8>, Refusal> {
        if !has_unambiguous_length(request) {
            return Err(Refusal::not_run(Reason::BadRequest));
        }
        let expected_bytes = request.len();
        let limit_bytes = self.limits.max_body_bytes;
        if expected_bytes.is_some_and(|expected| expected > limit_bytes) {
            return Err(Refusal::not_run(Reason::TooLarge));
        }
        let mut body = Vec::new();
        let mut reader = request.take_body().take(limit_bytes as u64 + 1);
        let read = pin!(reader.read_to_end(&mut body));
        let timer = Timer::after(Duration::from_millis(self.limits.read_timeout_ms));
        let is_complete = matches!(select(read, timer).await, Either::Left((Ok(_), _)));
        if body.len() > limit_bytes {
            return Err(Refusal::not_run(Reason::TooLarge));
        }
        if !is_complete || expected_bytes.is_some_and(|expected| expected != body.len()) {
            return Err(Refusal::not_run(Reason::BadRequest));
        }
        Ok(body)
    }

    fn answer_response(&self, answer: &Answer) -> tide::Response {
        self.metrics.count("request.done");
        let status = tide::StatusCode::try_from(answer.status);
        let mut response = tide::Response::new(status.unwrap_or(tide::StatusCode::BadGateway));
        response.set_body(answer.body.as_slice());
        response.remove_header(headers::CONTENT_TYPE);
        for header in &answer.headers {
            response.append_header(header.name.as_str(), header.value.as_str());
        }
        response.insert_header("request-outcome", Outcome::Done.to_string());
        response
    }

    fn refusal_response(&self, refusal: Refusal) -> tide::Response {
        self.metrics.count(counter_of(refusal.reason));
        let mut response = tide::Response::new(status_of(refusal));
        response.insert_header("request-outcome", refusal.outcome.to_string());
        response.insert_header("request-reason", refusal.reason.to_string());
        if let Some(after_ms) = refusal.retry_after_ms {
            response.insert_header("retry-after", after_ms.div_ceil(1_000).to_string());
            response.insert_header("retry-after-ms", after_ms.to_string());
        }
        if matches!(refusal.reason, Reason::BadRequest | Reason::TooLarge) {
            response.insert_header("connection", "close");
        }
        response.set_body(format!("{refusal}\n"));
        response
    }
}

async fn handle_request(request: tide::Request<Arc<Ingress>>) -> tide::Result {
    let ingress = Arc::clone(request.state());
    Ok(ingress.respond(request).await)
}

async fn mint_ticket(request: tide::Request<Arc<Ingress>>) -> tide::Result {
    let ingress = Arc::clone(request.state());
    let service = request.param("service").unwrap_or_default().to_smolstr();
    let minted = ingress.handler.ticket(service).await;
    let mut response = match minted {
        Ok(ticket) => {
            let mut response = tide::Response::new(tide::StatusCode::Created);
            response.insert_header("request-ticket", ticket.as_str());
            response
        }
        Err(refusal) => ingress.refusal_response(refusal),
    };
    response.insert_header("request-id", new_request_id().to_string());
    Ok(response)
}

/// Tells whether the headers of a request state the length of its body unambiguously.
fn has_unambiguous_length(request: &tide::Request<Arc<Ingress>>) -> bool {
    let lengths = request.header(headers::CONTENT_LENGTH);
    let is_single = lengths.is_none_or(|lengths| lengths.iter().count() == 1);
    let codings = request.header(headers::TRANSFER_ENCODING);
    let is_chunked = codings.is_none_or(|codings| {
        codings.iter().count() == 1 && codings.as_str().eq_ignore_ascii_case("chunked")
    });
    is_single && is_chunked
}

fn request_id(request: &tide::Request<Arc<Ingress>>) -> Result<Option<RequestId>, Refusal> {
    parsed_header(request, "request-id", parse_request_id)
}

pub(crate) fn new_request_id() -> RequestId {
    RequestId(rand::random())
}

fn caller_ip(request: &tide::Request<Arc<Ingress>>) -> IpAddr {
    let addr: Option<SocketAddr> = request.peer_addr().and_then(|addr| addr.parse().ok());
    addr.map_or(IpAddr::from([0, 0, 0, 0]), |addr| addr.ip())
}

fn header_text(request: &tide::Request<Arc<Ingress>>, name: &str) -> Option<SmolStr> {
    request
        .header(name)
        .map(|values| values.last().as_str().trim().to_smolstr())
}

fn parsed_header<T>(
    request: &tide::Request<Arc<Ingress>>,
    name: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, Refusal> {
    match header_text(request, name) {
        None => Ok(None),
        Some(text) => parse(&text)
            .map(Some)
            .ok_or(Refusal::not_run(Reason::BadRequest)),
    }
}

fn parse_request_id(text: &str) -> Option<RequestId> {
    let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex
        .then(|| u128::from_str_radix(text, 16).ok().map(RequestId))
        .flatten()
}

pub(crate) fn status_of(refusal: Refusal) -> tide::StatusCode {
    use tide::StatusCode;
    match (refusal.outcome, refusal.reason) {
        (_, Reason::BadRequest) => StatusCode::BadRequest,
        (_, Reason::TooLarge) => StatusCode::PayloadTooLarge,
        (_, Reason::UnknownService) => StatusCode::NotFound,
        (_, Reason::TicketRequired) => StatusCode::PreconditionRequired,
        (_, Reason::Deadline) => StatusCode::GatewayTimeout,
        (Outcome::Unknown, _) => StatusCode::BadGateway,
        _ => StatusCode::ServiceUnavailable,
    }
}

/// Name of the counter of refusals for this reason.
pub fn counter_of(reason: Reason) -> &'static str {
    match reason {
        Reason::Overload => "refused.overload",
        Reason::WorkerFull => "refused.worker_full",
        Reason::Deadline => "refused.deadline",
        Reason::Draining => "refused.draining",
        Reason::Quarantined => "refused.quarantined",
        Reason::RetriesSpent => "refused.retries_spent",
        Reason::NoWorker => "refused.no_worker",
        Reason::UnknownService => "refused.unknown_service",
        Reason::BadRequest => "refused.bad_request",
        Reason::TooLarge => "refused.too_large",
        Reason::TicketRequired => "refused.ticket_required",
        Reason::TicketVoid => "refused.ticket_void",
        Reason::Unreachable => "refused.unreachable",
        Reason::Broken => "refused.broken",
        Reason::Cancelled => "refused.cancelled",
        Reason::Crashed => "refused.crashed",
        Reason::StoreUnavailable => "refused.store_unavailable",
        Reason::Internal => "refused.internal",
        Reason::QuotaExceeded => "refused.quota_exceeded",
    }
}
