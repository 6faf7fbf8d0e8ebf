//! One caller's connection: messages in turn, time limits, and how it ends.

use {
    crate::{
        framed::Framed,
        ingress::{new_request_id, status_of},
        request::{Reason, Refusal},
    },
    async_h1::server::{ConnectionStatus, Server},
    async_io::Timer,
    async_std::{
        net::{TcpListener, TcpStream},
        task,
    },
    futures::{
        AsyncReadExt, AsyncWriteExt,
        future::{Either, select},
    },
    parking_lot::Mutex,
    std::{io, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
};

/// Time for a client to read the answer after which the daemon closes the connection.
const LINGER_MS: u64 = 200;

/// Bounds on the input of a port that few use.
#[derive(Debug, Clone, Copy)]
pub struct PortLimits {
    /// Connections at one time; more are closed at once.
    pub max_connections: usize,
    /// Time in which a sender has to finish a head.
    pub read_timeout_ms: u64,
}

impl Default for PortLimits {
    fn default() -> Self {
        Self {
            max_connections: 64,
            read_timeout_ms: 10_000,
        }
    }
}

/// How far the exchange on one connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// A head is awaited.
    Head,
    /// The request is being handled.
    Work,
    /// The answer is being sent.
    Answer,
}

/// Why a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// Nothing is owed to the caller.
    Clean,
    /// What came is no request.
    Malformed,
    /// A head was begun and not finished in time.
    HeadOverdue,
    /// The caller does not take its answer.
    AnswerStalled,
}

/// Serves a small number of connections of an app until the listener fails.
///
/// # Errors
///
/// Fails when connections can no longer be accepted.
pub async fn listen<S>(addr: SocketAddr, app: tide::Server<S>, limits: PortLimits) -> io::Result<()>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let places = Arc::new(());
    loop {
        let (stream, _) = listener.accept().await?;
        if Arc::strong_count(&places) > limits.max_connections {
            continue;
        }
        let (app, place) = (app.clone(), Arc::clone(&places));
        task::spawn(async move {
            let framed = Framed::new(stream.clone());
            match serve(&framed, &app, limits.read_timeout_ms).await {
                End::Malformed | End::HeadOverdue => {
                    refuse(stream, Refusal::not_run(Reason::BadRequest)).await;
                }
                End::Clean => linger(stream).await,
                End::AnswerStalled => {}
            }
            drop(place);
        });
    }
}

/// Serves one connection until it ends.
pub(crate) async fn serve<S>(framed: &Framed, app: &tide::Server<S>, read_timeout_ms: u64) -> End
where
    S: Clone + Send + Sync + 'static,
{
    let peer = framed.stream().peer_addr().ok();
    let stage = Arc::new(Mutex::new(Stage::Head));
    let endpoint = |mut request: http_types::Request| {
        *stage.lock() = Stage::Work;
        framed.expect_body(request.len().map(|length| length as u64));
        request.set_peer_addr(peer);
        request.ext_mut().insert(framed.clone());
        let app = app.clone();
        let stage = Arc::clone(&stage);
        async move {
            let response = app.respond(request).await;
            *stage.lock() = Stage::Answer;
            response
        }
    };
    let mut server = Server::new(framed.clone(), endpoint);
    loop {
        if !framed.expect_head() {
            return End::Clean;
        }
        *stage.lock() = Stage::Head;
        let stalled = pin!(stalled(framed, &stage, read_timeout_ms));
        let is_open = match select(pin!(server.accept_one()), stalled).await {
            Either::Left((Ok(status), _)) => status == ConnectionStatus::KeepAlive,
            Either::Left((Err(_), _)) => false,
            Either::Right((Stage::Head, _)) if framed.has_begun() => return End::HeadOverdue,
            Either::Right((Stage::Head, _)) => return End::Clean,
            Either::Right(_) => return End::AnswerStalled,
        };
        if *stage.lock() == Stage::Head && framed.has_begun() {
            return End::Malformed;
        }
        if !is_open {
            return End::Clean;
        }
    }
}

/// Ends when a head is not there in time, or when no byte of an answer is taken for that long.
async fn stalled(framed: &Framed, stage: &Mutex<Stage>, timeout_ms: u64) -> Stage {
    let mut seen_bytes = None;
    loop {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        let now = *stage.lock();
        let written_bytes = Some(framed.written_bytes());
        match now {
            Stage::Head => return now,
            Stage::Work => seen_bytes = None,
            Stage::Answer if seen_bytes == written_bytes => return now,
            Stage::Answer => seen_bytes = written_bytes,
        }
    }
}

/// Answers a connection on which no request was understood.
pub(crate) async fn refuse(mut stream: TcpStream, refusal: Refusal) {
    let status = status_of(refusal);
    let retry_after = refusal.retry_after_ms.map_or_else(String::new, |after_ms| {
        format!("retry-after: {}\r\n", after_ms.div_ceil(1_000))
    });
    let head = format!(
        "HTTP/1.1 {} {}\r\ncontent-length: 0\r\nconnection: close\r\n\
         request-id: {}\r\nrequest-outcome: {}\r\nrequest-reason: {}\r\n{retry_after}\r\n",
        u16::from(status),
        status.canonical_reason(),
        new_request_id(),
        refusal.outcome,
        refusal.reason,
    );
    let _ = stream.write_all(head.as_bytes()).await;
    linger(stream).await;
}

/// Closes a connection so that the caller can still read what was sent.
pub(crate) async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut rest = [0; 4_096];
    let drain = pin!(async { while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {} });
    select(drain, Timer::after(Duration::from_millis(LINGER_MS))).await;
}

/// Waits until the other side has closed the connection.
pub(crate) async fn hang_up(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
