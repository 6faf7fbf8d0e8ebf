//! HTTP client of the backend server on the same VM.

use {
    crate::{
        call::{Answer, Header, Request},
        framed::Framed,
        response::{self, ResponseError},
    },
    async_io::Timer,
    async_std::net::TcpStream,
    async_trait::async_trait,
    derive_more::{Display, Error},
    futures::future::{Either, select},
    http_types::{Body, Method, Url, headers},
    parking_lot::Mutex,
    smol_str::{SmolStr, ToSmolStr},
    std::{io, net::SocketAddr, pin::pin, str::FromStr, time::Duration},
};

/// Timeout for connecting to a backend server on the same VM.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Header with the ID of a call.
const CALL_ID: &str = "call-id";

/// Maximum number of idle connections kept open.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Context of a call that is sent to the backend server in headers.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// ID of the call; the backend server sends it with nested calls.
    pub call_id: SmolStr,
    /// ID of the client request.
    pub request_id: SmolStr,
    /// Class of the request.
    pub class: SmolStr,
    /// Remaining time until the deadline, which limits the wait for the response.
    pub remaining_us: u64,
    /// Deadline by the clock of the VM.
    pub deadline_unix_ms: u64,
}

/// Error of a call to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{step}: backend server {peer}: {detail}")]
pub struct BackendError {
    /// Step that failed.
    pub step: &'static str,
    /// Address of the backend server.
    pub peer: SocketAddr,
    /// Cause.
    pub detail: SmolStr,
    /// Whether any byte of the request may have reached the backend server.
    pub may_have_run: bool,
    /// Whether the deadline passed.
    pub timed_out: bool,
}

/// Client that runs requests on backend servers.
#[async_trait]
pub trait Backend: Send + Sync {
    /// Runs one request; dropping the future closes the connection and so cancels the request.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, the response is invalid, incomplete or too large, or the
    /// deadline passes.
    async fn run(
        &self,
        addr: SocketAddr,
        request: &Request,
        context: &CallContext,
    ) -> Result<Answer, BackendError>;

    /// Returns whether a process listens at the address; false only if the connection is refused.
    async fn is_listening(&self, addr: SocketAddr) -> bool;
}

/// Client for backend servers that speak HTTP/1.1.
#[derive(Debug)]
pub struct HttpBackend {
    max_body_bytes: usize,
    idle: Mutex<Vec<(SocketAddr, TcpStream)>>,
}

impl HttpBackend {
    /// Creates a client that rejects responses with larger bodies.
    pub fn new(max_body_bytes: usize) -> Self {
        Self {
            max_body_bytes,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection that is still open, or opens a new one.
    async fn connection(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        while let Some(stream) = self.take_idle(addr) {
            if is_open(&stream).await {
                return Ok(stream);
            }
        }
        let connect = pin!(TcpStream::connect(addr));
        let timer = Timer::after(Duration::from_millis(CONNECT_TIMEOUT_MS));
        let stream = match select(connect, timer).await {
            Either::Left((stream, _)) => stream?,
            Either::Right(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock();
        let index = idle.iter().rposition(|(peer, _)| *peer == addr)?;
        Some(idle.swap_remove(index).1)
    }

    /// Keeps a connection for later requests, and drops those to other addresses.
    fn keep_idle(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock();
        idle.retain(|(peer, _)| *peer == addr);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((addr, stream));
        }
    }

    /// Sends a request and reads its complete response.
    async fn exchange(
        &self,
        framed: Framed,
        addr: SocketAddr,
        request: http_types::Request,
    ) -> Result<Answer, ResponseError> {
        let is_head = request.method() == Method::Head;
        let own_id = request.header(CALL_ID).map(|own| own.last().to_smolstr());
        let mut head = response::send(&framed, request).await?;
        if let Some(named) = head.header(CALL_ID)
            && named
                .iter()
                .any(|id| own_id.as_deref() != Some(id.as_str()))
        {
            return Err(ResponseError::invalid("the response names another call"));
        }
        let body = response::read_body(&framed, &mut head, is_head, self.max_body_bytes).await?;
        if response::is_reusable(&framed, &head) {
            self.keep_idle(addr, framed.stream().clone());
        }
        Ok(Answer {
            status: head.status().into(),
            headers: end_to_end(&head),
            body,
        })
    }
}

#[async_trait]
impl Backend for HttpBackend {
    async fn run(
        &self,
        addr: SocketAddr,
        request: &Request,
        context: &CallContext,
    ) -> Result<Answer, BackendError> {
        let error = |step, detail, may_have_run, timed_out| BackendError {
            step,
            peer: addr,
            detail,
            may_have_run,
            timed_out,
        };
        let outgoing = to_http(addr, request, context)
            .map_err(|detail| error("build request", detail, false, false))?;
        let stream = self
            .connection(addr)
            .await
            .map_err(|source| error("connect", source.to_smolstr(), false, false))?;
        let framed = Framed::new(stream);
        let exchange = pin!(self.exchange(framed.clone(), addr, outgoing));
        let timer = Timer::after(Duration::from_micros(context.remaining_us));
        match select(exchange, timer).await {
            Either::Left((Ok(answer), _)) => Ok(answer),
            Either::Left((Err(failure), _)) => {
                let may_have_run = framed.write_attempted();
                let detail = failure.to_smolstr();
                Err(error(failure.step(), detail, may_have_run, false))
            }
            Either::Right(_) => {
                let may_have_run = framed.write_attempted();
                Err(error(
                    "wait for answer",
                    "deadline passed".into(),
                    may_have_run,
                    true,
                ))
            }
        }
    }

    async fn is_listening(&self, addr: SocketAddr) -> bool {
        let connect = pin!(TcpStream::connect(addr));
        let timer = Timer::after(Duration::from_millis(CONNECT_TIMEOUT_MS));
        match select(connect, timer).await {
            Either::Left((Err(error), _)) => error.kind() != io::ErrorKind::ConnectionRefused,
            _ => true,
        }
    }
}

/// Returns whether the server has neither closed an idle connection nor sent anything on it.
async fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    futures::poll!(pin!(stream.peek(&mut byte))).is_pending()
}

fn to_http(
    addr: SocketAddr,
    request: &Request,
    context: &CallContext,
) -> Result<http_types::Request, SmolStr> {
    let url = format!("http://{addr}{}", request.target);
    let url = Url::parse(&url).map_err(|error| error.to_smolstr())?;
    let method = Method::from_str(&request.method).map_err(|error| error.to_smolstr())?;
    let mut outgoing = http_types::Request::new(method, url);
    outgoing.set_body(Body::from_bytes(request.body.clone()));
    outgoing.remove_header(headers::CONTENT_TYPE);
    for header in &request.headers {
        outgoing.append_header(header.name.as_str(), header.value.as_str());
    }
    outgoing.insert_header(CALL_ID, context.call_id.as_str());
    outgoing.insert_header("request-id", context.request_id.as_str());
    outgoing.insert_header("request-class", context.class.as_str());
    let deadline = context.deadline_unix_ms.to_string();
    outgoing.insert_header("request-deadline", deadline);
    Ok(outgoing)
}

/// Headers that concern a single connection, or that the daemon itself evaluates or sets.
const HOP_HEADERS: &[&str] = &[
    CALL_ID,
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-connection",
    "request-attempt",
    "request-class",
    "request-deadline",
    "request-first-sent",
    "request-id",
    "request-outcome",
    "request-reason",
    "request-ticket",
    "request-timeout",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers of a message that are passed on.
pub fn end_to_end(message: &dyn AsHeaders) -> Vec<Header> {
    let all = message.as_headers().iter();
    let forwarded = all.filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
    forwarded
        .flat_map(|(name, values)| values.iter().map(move |value| (name, value)))
        // A line break in a value would end the header early at the next hop.
        .filter(|(_, value)| !value.as_str().contains(['\r', '\n']))
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_str().into(),
        })
        .collect()
}

/// Message with headers.
pub trait AsHeaders {
    /// Returns the headers of the message.
    fn as_headers(&self) -> &http_types::Headers;
}

impl AsHeaders for http_types::Request {
    fn as_headers(&self) -> &http_types::Headers {
        self.as_ref()
    }
}

impl AsHeaders for http_types::Response {
    fn as_headers(&self) -> &http_types::Headers {
        self.as_ref()
    }
}
