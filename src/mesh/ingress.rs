//! HTTP connections of clients, and of the local worker for its downstream calls.
//!
//! Pipelined requests are handled concurrently and answered in order. If the client closes the
//! connection, all of its requests are cancelled. The connection is therefore read for as long as a
//! request is open, also when no further request is taken from it.

use {
    crate::mesh::{
        Mesh,
        conn::{self, Conn, WriteHalf},
        forward::{Answer, Inbound},
        http::{self, MessageError},
        routes::ClientLimits,
        runtime::{now_us, sleep_ms, sleep_until, within},
    },
    futures::{
        StreamExt,
        future::{Either, LocalBoxFuture, select},
        stream::FuturesOrdered,
    },
    std::{cell::Cell, io, net::SocketAddr, pin::pin, rc::Rc},
    tokio::net::TcpStream,
};

/// Requests of one connection that are handled concurrently; further ones are not read yet.
const MAX_PIPELINED: usize = 32;

/// Bytes read ahead of the requests of a connection that has [`MAX_PIPELINED`] open ones. The end of
/// the connection is read only after them.
const READ_AHEAD_BYTES: usize = 16 * 1024;

/// Interval at which a connection with more bytes read ahead is checked for its end.
const END_CHECK_MS: u64 = 100;

/// Time for a client to read the last answer before the connection is closed.
const LINGER_MS: u64 = 1_000;

/// Time limit for reading a body, as a multiple of the time limit for a head.
const BODY_TIMEOUT_FACTOR: u64 = 4;

/// Read of the next request; resolves as [`read`] does.
type Reading = LocalBoxFuture<'static, (Conn, Result<Inbound, MessageError>, bool)>;

/// Accepts clients' connections until the listener fails.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn listen(mesh: Rc<Mesh>, addr: SocketAddr) -> io::Result<()> {
    conn::serve_connections("clients", addr, &mesh.metrics, |stream, _| {
        let mesh = Rc::clone(&mesh);
        async move {
            mesh.clients.set(mesh.clients.get() + 1);
            serve(&mesh, stream).await;
            mesh.clients.set(mesh.clients.get() - 1);
        }
    })
    .await
}

async fn serve(mesh: &Rc<Mesh>, stream: TcpStream) {
    let conn = match Conn::new(stream) {
        Ok(conn) => conn,
        Err(error) => {
            tracing::debug!(%error, "client connection lost");
            return;
        }
    };
    let io = conn.io();
    let activity = Rc::new(Activity::new(now_us()));
    let mut input = Input::Held(conn);
    let mut closes = false;
    let mut answers = FuturesOrdered::new();
    loop {
        if answers.len() < MAX_PIPELINED && !closes {
            input = input.resume(mesh, &activity);
        }
        let event = if answers.is_empty() {
            match &mut input {
                Input::Reading(reading) => Event::Read(reading.await),
                Input::Held(_) => break,
            }
        } else {
            match select(pin!(input.next(closes)), answers.next()).await {
                Either::Left((event, _)) => event,
                Either::Right((answer, _)) => Event::Answer(answer),
            }
        };
        match event {
            Event::Read((conn, Ok(inbound), is_last)) => {
                mesh.in_progress.set(mesh.in_progress.get() + 1);
                activity.record_request();
                let request_mesh = Rc::clone(mesh);
                answers.push_back(async move {
                    let is_head_request = inbound.head.method == "HEAD";
                    let _guard = InProgress(&request_mesh);
                    (request_mesh.handle(inbound).await, is_head_request)
                });
                closes = is_last;
                input = Input::Held(conn);
            }
            Event::Read((conn, Err(error), _)) => {
                let Some(status) = status_of(error) else {
                    record_end(mesh, answers.len());
                    return;
                };
                mesh.metrics.count("ingress.malformed");
                let answer = Answer {
                    status,
                    fields: Vec::new(),
                    body: Vec::new(),
                };
                while let Some((answer, is_head_request)) = answers.next().await {
                    if write_answer(&io, &answer, is_head_request, false)
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                if write_answer(&io, &answer, false, true).await.is_ok() {
                    linger(conn).await;
                }
                return;
            }
            Event::End => {
                record_end(mesh, answers.len());
                return;
            }
            Event::Answer(None) => break,
            Event::Answer(Some((answer, is_head_request))) => {
                let is_last = answers.is_empty() && (closes || mesh.is_stopping());
                if write_answer(&io, &answer, is_head_request, is_last)
                    .await
                    .is_err()
                {
                    return;
                }
                if is_last {
                    break;
                }
                activity.record_answer(now_us());
            }
        }
    }
    drop(answers);
    match input {
        Input::Held(conn) => linger(conn).await,
        Input::Reading(reading) => {
            // Requests that the client sends from now on are not answered.
            io.shutdown();
            within(LINGER_MS, reading).await;
        }
    }
}

/// Records that a client has closed its connection. Dropping its open requests cancels them.
fn record_end(mesh: &Mesh, open_requests: usize) {
    if open_requests > 0 {
        mesh.metrics.add("ingress.abandoned", open_requests as u64);
        tracing::info!(open_requests, "client has closed its connection");
    }
}

/// Time since which a connection has had no open request.
struct Activity {
    open_requests: Cell<usize>,
    since_us: Cell<u64>,
}

impl Activity {
    fn new(now_us: u64) -> Self {
        Self {
            open_requests: Cell::new(0),
            since_us: Cell::new(now_us),
        }
    }

    fn record_request(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
    }

    fn record_answer(&self, now_us: u64) {
        self.open_requests.set(self.open_requests.get() - 1);
        self.since_us.set(now_us);
    }

    fn idle_since_us(&self, now_us: u64) -> u64 {
        if self.open_requests.get() > 0 {
            now_us
        } else {
            self.since_us.get()
        }
    }
}

/// What is read from a connection.
enum Input {
    /// The next request.
    Reading(Reading),
    /// No further request, or none yet.
    Held(Conn),
}

impl Input {
    /// Begins to read the next request.
    fn resume(self, mesh: &Rc<Mesh>, activity: &Rc<Activity>) -> Self {
        match self {
            Self::Held(conn) => {
                let reading = read(Rc::clone(mesh), conn, Rc::clone(activity));
                Self::Reading(Box::pin(reading))
            }
            reading @ Self::Reading(_) => reading,
        }
    }

    /// Waits for the next request, or for the end of a connection that is held.
    async fn next(&mut self, closes: bool) -> Event {
        match self {
            Self::Reading(reading) => Event::Read(reading.await),
            Self::Held(conn) => {
                read_to_end(conn, closes).await;
                Event::End
            }
        }
    }
}

/// Waits until the client closes its connection. Keeps what it sends meanwhile, unless the
/// connection closes after the open requests.
async fn read_to_end(conn: &mut Conn, closes: bool) {
    loop {
        if closes {
            let ignored = conn.buffered().len();
            conn.consume(ignored);
        }
        if conn.buffered().len() >= READ_AHEAD_BYTES {
            while !conn.is_read_closed().await {
                sleep_ms(END_CHECK_MS).await;
            }
            return;
        }
        match conn.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Next event on a connection.
enum Event {
    Read((Conn, Result<Inbound, MessageError>, bool)),
    Answer(Option<(Answer, bool)>),
    End,
}

/// Guard that counts a client request in progress.
struct InProgress<'a>(&'a Mesh);

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Reads one request. Returns it with the connection, and whether it is the last one.
async fn read(
    mesh: Rc<Mesh>,
    mut conn: Conn,
    activity: Rc<Activity>,
) -> (Conn, Result<Inbound, MessageError>, bool) {
    let limits = mesh.client_limits();
    let result = read_within(&mut conn, &activity, limits).await;
    let is_last = result.as_ref().is_ok_and(|inbound| inbound.head.closes);
    (conn, result, is_last)
}

async fn read_within(
    conn: &mut Conn,
    activity: &Activity,
    limits: ClientLimits,
) -> Result<Inbound, MessageError> {
    if conn.buffered().is_empty() {
        wait_for_bytes(conn, activity, limits.idle_timeout_ms).await?;
    }
    let head_deadline_us = now_us() + limits.head_timeout_ms * 1_000;
    let head = {
        let reading = std::pin::pin!(http::read_request(conn, limits.max_head_bytes));
        match select(reading, sleep_until(head_deadline_us)).await {
            Either::Left((head, _)) => head?,
            Either::Right(_) => return Err(MessageError::Truncated),
        }
    };
    if head.expects_continue {
        let sent = conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|_| MessageError::Closed)?;
    }
    let body_ms = limits.head_timeout_ms * BODY_TIMEOUT_FACTOR;
    let reading = http::read_body(conn, head.framing, limits.max_body_bytes);
    let body = within(body_ms, reading)
        .await
        .unwrap_or(Err(MessageError::Truncated))?;
    Ok(Inbound { head, body })
}

/// Waits for the first bytes of a request.
///
/// # Errors
///
/// Fails if the client closes the connection or it is idle for too long.
async fn wait_for_bytes(
    conn: &mut Conn,
    activity: &Activity,
    idle_timeout_ms: u64,
) -> Result<(), MessageError> {
    let due_us = |now_us| activity.idle_since_us(now_us) + idle_timeout_ms * 1_000;
    loop {
        let filled = {
            let filling = pin!(conn.fill());
            match select(filling, sleep_until(due_us(now_us()))).await {
                Either::Left((filled, _)) => Some(filled),
                Either::Right(_) => None,
            }
        };
        let now_us = now_us();
        match filled {
            Some(Ok(count)) if count > 0 => return Ok(()),
            None if now_us < due_us(now_us) => {}
            _ => return Err(MessageError::Closed),
        }
    }
}

/// Status of the answer to an invalid message; `None` if the client has gone.
fn status_of(error: MessageError) -> Option<u16> {
    match error {
        MessageError::Closed | MessageError::Truncated => None,
        MessageError::Malformed => Some(400),
        MessageError::HeadTooLarge => Some(431),
        MessageError::BodyTooLarge => Some(413),
    }
}

async fn write_answer(
    io: &WriteHalf,
    answer: &Answer,
    is_head_request: bool,
    closes: bool,
) -> io::Result<()> {
    let mut bytes = Vec::with_capacity(answer.fields.len() + answer.body.len() + 128);
    let reason = http::reason_phrase(answer.status);
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", answer.status).as_bytes());
    bytes.extend_from_slice(&answer.fields);
    if answer.status != 204 && answer.status != 304 {
        http::write_number(&mut bytes, "Content-Length", answer.body.len());
    }
    if closes {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    if !is_head_request {
        bytes.extend_from_slice(&answer.body);
    }
    io.write_all(&bytes).await
}

/// Closes a connection such that the client can still read the answers already sent.
async fn linger(mut conn: Conn) {
    conn.shutdown_write();
    let rest = async {
        while let Ok(count) = conn.fill().await {
            if count == 0 {
                return;
            }
            let buffered = conn.buffered().len();
            conn.consume(buffered);
        }
    };
    // The connection is closed in either case.
    let _ = within(LINGER_MS, rest).await;
}
