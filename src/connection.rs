//! HTTP/1.1 server connections: sequential requests, time limits and orderly close.

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

/// Time for a client to read the response before the daemon closes the connection.
const LINGER_MS: u64 = 200;

/// Limits for a port with few clients.
#[derive(Debug, Clone, Copy)]
pub struct PortLimits {
    /// Maximum number of concurrent connections; further ones are closed at once.
    pub max_connections: usize,
    /// Time within which a client has to send a request head, and to accept part of a response.
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

/// Stage of the current exchange on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The request head is awaited.
    AwaitingHead,
    /// The request is being handled.
    Handling,
    /// The response is being sent.
    Responding,
}

/// Reason why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// No response is outstanding.
    Clean,
    /// The received bytes are not a valid request.
    Malformed,
    /// A request head was begun but not finished in time.
    HeadTimeout,
    /// The caller did not read its response in time.
    ResponseStalled,
}

/// Serves an app on an address, with a limited number of connections.
///
/// # Errors
///
/// Fails if the address cannot be bound or connections can no longer be accepted.
pub async fn listen<S>(addr: SocketAddr, app: tide::Server<S>, limits: PortLimits) -> io::Result<()>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    // The reference count is the number of open connections plus one.
    let connections = Arc::new(());
    loop {
        let (stream, _) = listener.accept().await?;
        if Arc::strong_count(&connections) > limits.max_connections {
            continue;
        }
        let (app, connection) = (app.clone(), Arc::clone(&connections));
        task::spawn(async move {
            let framed = Framed::new(stream.clone());
            match serve(&framed, &app, limits.read_timeout_ms).await {
                CloseReason::Malformed | CloseReason::HeadTimeout => {
                    refuse(stream, Refusal::not_run(Reason::BadRequest)).await;
                }
                CloseReason::Clean => linger(stream).await,
                CloseReason::ResponseStalled => {}
            }
            drop(connection);
        });
    }
}

/// Serves requests on one connection until it has to be closed; returns why.
pub(crate) async fn serve<S>(
    framed: &Framed,
    app: &tide::Server<S>,
    read_timeout_ms: u64,
) -> CloseReason
where
    S: Clone + Send + Sync + 'static,
{
    let peer = framed.stream().peer_addr().ok();
    let stage = Arc::new(Mutex::new(Stage::AwaitingHead));
    let endpoint = |mut request: http_types::Request| {
        *stage.lock() = Stage::Handling;
        framed.expect_body(request.len().map(|length| length as u64));
        request.set_peer_addr(peer);
        request.ext_mut().insert(framed.clone());
        let app = app.clone();
        let stage = Arc::clone(&stage);
        async move {
            let response = app.respond(request).await;
            *stage.lock() = Stage::Responding;
            response
        }
    };
    let mut server = Server::new(framed.clone(), endpoint);
    loop {
        if !framed.expect_head() {
            return CloseReason::Clean;
        }
        *stage.lock() = Stage::AwaitingHead;
        let stalled = pin!(wait_for_stall(framed, &stage, read_timeout_ms));
        let is_open = match select(pin!(server.accept_one()), stalled).await {
            Either::Left((Ok(status), _)) => status == ConnectionStatus::KeepAlive,
            Either::Left((Err(_), _)) => false,
            Either::Right((Stage::AwaitingHead, _)) if framed.has_begun() => {
                return CloseReason::HeadTimeout;
            }
            Either::Right((Stage::AwaitingHead, _)) => return CloseReason::Clean,
            Either::Right(_) => return CloseReason::ResponseStalled,
        };
        if *stage.lock() == Stage::AwaitingHead && framed.has_begun() {
            return CloseReason::Malformed;
        }
        if !is_open {
            return CloseReason::Clean;
        }
    }
}

/// Waits until a head has not arrived within the timeout, or no byte of a response was written for
/// that long; returns the stage at that time.
async fn wait_for_stall(framed: &Framed, stage: &Mutex<Stage>, timeout_ms: u64) -> Stage {
    let mut last_written_bytes = None;
    loop {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        let current = *stage.lock();
        let written_bytes = Some(framed.written_bytes());
        match current {
            Stage::AwaitingHead => return current,
            Stage::Handling => last_written_bytes = None,
            Stage::Responding if last_written_bytes == written_bytes => return current,
            Stage::Responding => last_written_bytes = written_bytes,
        }
    }
}

/// Sends a refusal on a connection without a valid request, and closes the connection.
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

/// Closes the sending side and discards input for a short time before the connection is closed.
///
/// Closing with unread input would reset the connection, and the caller could lose the response.
pub(crate) async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut rest = [0; 4_096];
    let drain = pin!(async { while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {} });
    select(drain, Timer::after(Duration::from_millis(LINGER_MS))).await;
}

/// Waits until the caller has closed the connection; never returns if the caller sends more bytes.
pub(crate) async fn wait_for_close(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
