//! The backend server, as the daemon on its VM sees it.

use {
    crate::{
        call::{Answer, Header, Request},
        framed::Framed,
    },
    async_h1::client,
    async_io::Timer,
    async_std::net::TcpStream,
    async_trait::async_trait,
    derive_more::{Display, Error},
    futures::{
        AsyncReadExt,
        future::{Either, select},
    },
    http_types::{Body, Method, Url, headers},
    parking_lot::Mutex,
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::{io, net::SocketAddr, pin::pin, str::FromStr, time::Duration},
};

/// Longest wait for a connection to a backend server on the same VM.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Idle connections kept open.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// What a backend server is told about a call, besides the request itself.
#[derive(Debug, Clone)]
pub struct Instructions {
    /// Identity that nested calls show to the daemon.
    pub call_id: SmolStr,
    /// Client request.
    pub request_id: SmolStr,
    /// Class of the request.
    pub class: SmolStr,
    /// Time left until the deadline.
    pub remaining_us: u64,
    /// Deadline on the VM's clock.
    pub deadline_unix_ms: u64,
}

/// Failure of a call to a backend server.
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

/// Way to run requests on a backend server.
#[async_trait]
pub trait Backend: Send + Sync {
    /// Runs one request; dropping the future cancels it at the backend server.
    async fn run(
        &self,
        addr: SocketAddr,
        request: &Request,
        instructions: &Instructions,
    ) -> Result<Answer, BackendError>;

    /// Tells whether anything listens at the address; false only if the system says so.
    async fn is_listening(&self, addr: SocketAddr) -> bool;
}

/// Backend servers that speak HTTP/1.1.
#[derive(Debug)]
pub struct HttpBackend {
    max_body_bytes: usize,
    idle: Mutex<Vec<(SocketAddr, TcpStream)>>,
}

impl HttpBackend {
    /// Creates an adapter that refuses answers with larger bodies.
    pub fn new(max_body_bytes: usize) -> Self {
        Self {
            max_body_bytes,
            idle: Mutex::default(),
        }
    }

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

    fn keep_idle(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock();
        idle.retain(|(peer, _)| *peer == addr);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((addr, stream));
        }
    }

    async fn exchange(
        &self,
        framed: Framed,
        addr: SocketAddr,
        request: http_types::Request,
    ) -> Result<Answer, (&'static str, SmolStr)> {
        let is_head = request.method() == Method::Head;
        let response = client::connect(framed.clone(), request)
            .await
            .map_err(|error| ("send request", error.to_smolstr()))?;
        let is_closing = response
            .header(headers::CONNECTION)
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        let answer = self.whole_answer(&framed, response, is_head).await?;
        if !is_closing && !framed.has_surplus() {
            self.keep_idle(addr, framed.stream().clone());
        }
        Ok(answer)
    }

    async fn whole_answer(
        &self,
        framed: &Framed,
        mut response: http_types::Response,
        is_head: bool,
    ) -> Result<Answer, (&'static str, SmolStr)> {
        let status = u16::from(response.status());
        if status < 200 {
            return Err(("read answer", "the answer is only an interim one".into()));
        }
        let has_body = !is_head && status != 204 && status != 304;
        let expected_bytes = content_length(&response)?;
        if has_body && expected_bytes.is_none() && !is_chunked(&response) {
            return Err(("read answer", "the answer does not tell its length".into()));
        }
        let mut body = Vec::new();
        if has_body {
            framed.expect_body(expected_bytes.map(|expected| expected as u64));
            let limit_bytes = self.max_body_bytes as u64 + 1;
            let mut reader = response.take_body().take(limit_bytes);
            reader
                .read_to_end(&mut body)
                .await
                .map_err(|error| ("read answer", error.to_smolstr()))?;
        }
        if body.len() > self.max_body_bytes {
            return Err(("read answer", "the answer is too large".into()));
        }
        match expected_bytes {
            Some(expected) if has_body && expected != body.len() => {
                let found = body.len();
                let detail = format_smolstr!("cut after {found} of {expected} bytes");
                Err(("read answer", detail))
            }
            _ => Ok(Answer {
                status,
                headers: end_to_end(&response),
                body,
            }),
        }
    }
}

#[async_trait]
impl Backend for HttpBackend {
    async fn run(
        &self,
        addr: SocketAddr,
        request: &Request,
        instructions: &Instructions,
    ) -> Result<Answer, BackendError> {
        let fault = |step, detail, may_have_run, timed_out| BackendError {
            step,
            peer: addr,
            detail,
            may_have_run,
            timed_out,
        };
        let outgoing = to_http(addr, request, instructions)
            .map_err(|detail| fault("build request", detail, false, false))?;
        let stream = self
            .connection(addr)
            .await
            .map_err(|error| fault("connect", error.to_smolstr(), false, false))?;
        let framed = Framed::new(stream);
        let exchange = pin!(self.exchange(framed.clone(), addr, outgoing));
        let timer = Timer::after(Duration::from_micros(instructions.remaining_us));
        match select(exchange, timer).await {
            Either::Left((Ok(answer), _)) => Ok(answer),
            Either::Left((Err((step, detail)), _)) => {
                Err(fault(step, detail, framed.was_offered(), false))
            }
            Either::Right(_) => {
                let sent = framed.was_offered();
                Err(fault(
                    "wait for answer",
                    "deadline passed".into(),
                    sent,
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

/// An idle connection is open if there is nothing to read from it yet.
async fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    futures::poll!(pin!(stream.peek(&mut byte))).is_pending()
}

fn content_length(
    response: &http_types::Response,
) -> Result<Option<usize>, (&'static str, SmolStr)> {
    let Some(lengths) = response.header(headers::CONTENT_LENGTH) else {
        return Ok(None);
    };
    let length = lengths.last().as_str();
    let is_single = lengths.iter().all(|other| other.as_str() == length);
    match length.parse() {
        Ok(length_bytes) if is_single => Ok(Some(length_bytes)),
        _ => Err(("read answer", "the answer's length is not clear".into())),
    }
}

fn is_chunked(response: &http_types::Response) -> bool {
    let codings = response.header(headers::TRANSFER_ENCODING);
    codings.is_some_and(|codings| {
        codings.iter().count() == 1 && codings.as_str().eq_ignore_ascii_case("chunked")
    })
}

fn to_http(
    addr: SocketAddr,
    request: &Request,
    instructions: &Instructions,
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
    outgoing.insert_header("call-id", instructions.call_id.as_str());
    outgoing.insert_header("request-id", instructions.request_id.as_str());
    outgoing.insert_header("request-class", instructions.class.as_str());
    let deadline = instructions.deadline_unix_ms.to_string();
    outgoing.insert_header("request-deadline", deadline);
    Ok(outgoing)
}

/// Headers that belong to one connection, or that this system sets itself.
const HOP_HEADERS: &[&str] = &[
    "call-id",
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

/// Headers of a message that are passed on.
pub fn end_to_end(message: &dyn AsHeaders) -> Vec<Header> {
    let all = message.as_headers().iter();
    let passed = all.filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
    passed
        .flat_map(|(name, values)| values.iter().map(move |value| (name, value)))
        // A line end in a value would cut the head short for whoever reads it next.
        .filter(|(_, value)| !value.as_str().contains(['\r', '\n']))
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_str().into(),
        })
        .collect()
}

/// Message with headers.
pub trait AsHeaders {
    /// Headers of the message.
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
