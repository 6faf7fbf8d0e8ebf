//! Callers' HTTP/1.1: requests in, whole answers or typed refusals out.

use {
    crate::{
        backend::end_to_end,
        call::{Answer, Request},
        metrics::Metrics,
        policy::suspect::Fingerprint,
        request::{Outcome, Reason, Refusal, RequestId},
        settings::Limits,
        spawn::spawn,
    },
    async_h1::server::{ConnectionStatus, Server},
    async_io::Timer,
    async_std::net::{TcpListener, TcpStream},
    async_trait::async_trait,
    futures::{
        AsyncReadExt, AsyncWriteExt, FutureExt,
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
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Path under which the daemon itself answers callers.
const TICKETS_PATH: &str = "/.shallotdeal/tickets/:service";

/// Answer to bytes that are no HTTP/1.1 request.
const MALFORMED: &[u8] = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\
request-outcome: not-run\r\nrequest-reason: bad-request\r\n\r\n";

/// Time for a client to read the answer to bytes that are no request.
const LINGER_MS: u64 = 200;

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller at this address.
    Caller(IpAddr),
    /// The local backend server, for the call of this identity.
    Nested(SmolStr),
}

/// One request as it came in.
#[derive(Debug, Clone)]
pub struct Incoming {
    /// Who sent it.
    pub origin: Origin,
    /// Service that it is for.
    pub service: SmolStr,
    /// What the backend server is to run.
    pub request: Request,
    /// Identity.
    pub request_id: RequestId,
    /// Whether the caller has chosen the identity.
    pub has_own_id: bool,
    /// Class, if the caller named one.
    pub class: Option<SmolStr>,
    /// Time in which the caller wants the answer.
    pub timeout_ms: Option<u64>,
    /// Count of sends of this request, from one; zero if the caller does not say.
    pub attempt: u32,
    /// Ticket of a non-idempotent request.
    pub ticket: Option<SmolStr>,
    /// Caller's own key of a non-idempotent request.
    pub key: Option<SmolStr>,
    /// When the caller sent the request first, on its clock.
    pub first_sent_unix_ms: Option<u64>,
}

impl Incoming {
    /// Hash of what the backend server is to run.
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

/// What handles requests.
#[async_trait]
pub trait Handle: Send + Sync {
    /// Answers one request; dropping the future cancels it.
    async fn handle(&self, incoming: Incoming) -> Result<Arc<Answer>, Refusal>;

    /// Mints a ticket for one non-idempotent request.
    async fn ticket(&self, service: SmolStr) -> Result<SmolStr, Refusal>;
}

/// HTTP server for callers.
pub struct Ingress {
    handle: Arc<dyn Handle>,
    metrics: Arc<Metrics>,
    limits: Limits,
    connections: AtomicUsize,
}

/// Connection that a request came over.
struct Connection(TcpStream);

type App = tide::Server<Arc<Ingress>>;

impl Ingress {
    /// Creates a server that hands requests to `handle`.
    pub fn new(handle: Arc<dyn Handle>, metrics: Arc<Metrics>, limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            handle,
            metrics,
            limits,
            connections: AtomicUsize::new(0),
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
        app.at(TICKETS_PATH).post(ticket);
        app.at("/:service").all(pass);
        app.at("/:service/*").all(pass);
        loop {
            let (stream, _) = listener.accept().await?;
            if self.connections.load(Ordering::Relaxed) >= self.limits.max_connections {
                self.metrics.count("ingress.connection_refused");
                continue;
            }
            self.connections.fetch_add(1, Ordering::Relaxed);
            spawn(
                "connection",
                Arc::clone(&self).connection(stream, app.clone()),
            );
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, app: App) {
        let _ = stream.set_nodelay(true);
        let serving = AssertUnwindSafe(serve(&stream, &app, self.limits.read_timeout_ms));
        match serving.catch_unwind().await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => {
                self.metrics.count("ingress.malformed");
                refuse_malformed(stream).await;
            }
            Err(_) => self.metrics.count("ingress.panicked"),
        }
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    async fn answer(&self, mut request: tide::Request<Arc<Self>>) -> tide::Response {
        let connection = request.ext::<Arc<Connection>>().cloned();
        let incoming = match self.incoming(&mut request).await {
            Ok(incoming) => incoming,
            Err(refusal) => return self.refused(refusal),
        };
        let request_id = incoming.request_id;
        let work = pin!(self.handle.handle(incoming));
        let result = match connection {
            Some(connection) => match select(work, pin!(hang_up(&connection.0))).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(Refusal::unknown(Reason::Cancelled)),
            },
            None => work.await,
        };
        let mut response = match result {
            Ok(answer) => self.done(&answer),
            Err(refusal) => self.refused(refusal),
        };
        response.insert_header("request-id", request_id.to_string());
        response
    }

    async fn incoming(&self, request: &mut tide::Request<Arc<Self>>) -> Result<Incoming, Refusal> {
        let body = self.body(request).await?;
        let service = request.param("service").unwrap_or_default().to_smolstr();
        let url = request.url();
        let path = url.path().strip_prefix('/').unwrap_or_default();
        let path = path.strip_prefix(service.as_str()).unwrap_or_default();
        let path = if path.is_empty() { "/" } else { path };
        let target = match url.query() {
            Some(query) => format!("{path}?{query}").to_smolstr(),
            None => path.to_smolstr(),
        };
        let origin = match text(request, "call-id") {
            Some(call_id) => Origin::Nested(call_id),
            None => Origin::Caller(caller_ip(request)),
        };
        let own_id = parsed(request, "request-id", parse_request_id)?;
        let inner: &http_types::Request = request.as_ref();
        Ok(Incoming {
            origin,
            service,
            request: Request {
                method: inner.method().to_smolstr(),
                target,
                headers: end_to_end(inner),
                body,
            },
            request_id: own_id.unwrap_or_else(|| RequestId(rand::random())),
            has_own_id: own_id.is_some(),
            class: text(request, "request-class"),
            timeout_ms: parsed(request, "request-timeout", |text| text.parse().ok())?,
            attempt: parsed(request, "request-attempt", |text| text.parse().ok())?.unwrap_or(0),
            ticket: text(request, "request-ticket"),
            key: text(request, "idempotency-key"),
            first_sent_unix_ms: parsed(request, "request-first-sent", |text| text.parse().ok())?,
        })
    }

    async fn body(&self, request: &mut tide::Request<Arc<Self>>) -> Result<Vec<u8>, Refusal> {
        let expected_bytes = request.len();
        let limit_bytes = self.limits.max_body_bytes;
        if expected_bytes.is_some_and(|expected| expected > limit_bytes) {
            return Err(Refusal::not_run(Reason::TooLarge));
        }
        let mut body = Vec::new();
        let mut reader = request.take_body().take(limit_bytes as u64 + 1);
        let read = pin!(reader.read_to_end(&mut body));
        let timer = Timer::after(Duration::from_millis(self.limits.read_timeout_ms));
        let is_read = matches!(select(read, timer).await, Either::Left((Ok(_), _)));
        if body.len() > limit_bytes {
            return Err(Refusal::not_run(Reason::TooLarge));
        }
        if !is_read || expected_bytes.is_some_and(|expected| expected != body.len()) {
            return Err(Refusal::not_run(Reason::BadRequest));
        }
        Ok(body)
    }

    fn done(&self, answer: &Answer) -> tide::Response {
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

    fn refused(&self, refusal: Refusal) -> tide::Response {
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

async fn serve(stream: &TcpStream, app: &App, read_timeout_ms: u64) -> http_types::Result<()> {
    let peer = stream.peer_addr().ok();
    let connection = Arc::new(Connection(stream.clone()));
    let has_head = Arc::new(AtomicBool::new(false));
    let endpoint = |mut request: http_types::Request| {
        has_head.store(true, Ordering::Relaxed);
        request.set_peer_addr(peer);
        request.ext_mut().insert(Arc::clone(&connection));
        let app = app.clone();
        async move { app.respond(request).await }
    };
    let mut server = Server::new(stream.clone(), endpoint);
    loop {
        has_head.store(false, Ordering::Relaxed);
        let overdue = pin!(head_overdue(&has_head, read_timeout_ms));
        match select(pin!(server.accept_one()), overdue).await {
            Either::Left((Ok(ConnectionStatus::KeepAlive), _)) => {}
            Either::Left((Err(error), _)) => return Err(error),
            _ => return Ok(()),
        }
    }
}

/// Ends when a request's head is not there in time; never ends otherwise.
async fn head_overdue(has_head: &AtomicBool, read_timeout_ms: u64) {
    Timer::after(Duration::from_millis(read_timeout_ms)).await;
    if has_head.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

async fn refuse_malformed(mut stream: TcpStream) {
    let _ = stream.write_all(MALFORMED).await;
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut rest = [0; 4_096];
    let drain = pin!(async { while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {} });
    select(drain, Timer::after(Duration::from_millis(LINGER_MS))).await;
}

/// Waits until the other side has closed the connection.
async fn hang_up(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}

async fn pass(request: tide::Request<Arc<Ingress>>) -> tide::Result {
    let ingress = Arc::clone(request.state());
    Ok(ingress.answer(request).await)
}

async fn ticket(request: tide::Request<Arc<Ingress>>) -> tide::Result {
    let ingress = Arc::clone(request.state());
    let service = request.param("service").unwrap_or_default().to_smolstr();
    let minted = ingress.handle.ticket(service).await;
    Ok(match minted {
        Ok(ticket) => {
            let mut response = tide::Response::new(tide::StatusCode::Created);
            response.insert_header("request-ticket", ticket.as_str());
            response
        }
        Err(refusal) => ingress.refused(refusal),
    })
}

fn caller_ip(request: &tide::Request<Arc<Ingress>>) -> IpAddr {
    let addr: Option<SocketAddr> = request.peer_addr().and_then(|addr| addr.parse().ok());
    addr.map_or(IpAddr::from([0, 0, 0, 0]), |addr| addr.ip())
}

fn text(request: &tide::Request<Arc<Ingress>>, name: &str) -> Option<SmolStr> {
    request
        .header(name)
        .map(|values| values.last().as_str().trim().to_smolstr())
}

fn parsed<T>(
    request: &tide::Request<Arc<Ingress>>,
    name: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, Refusal> {
    match text(request, name) {
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

fn status_of(refusal: Refusal) -> tide::StatusCode {
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

/// Counter of refusals for this reason.
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
    }
}
