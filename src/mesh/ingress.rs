//! Connections of clients and of the local worker's calls.
//!
//! Requests that a client sends without waiting are handled at the same time and answered in turn.
//! A client that closes cancels all of its requests.

use {
    crate::mesh::{
        Mesh,
        conn::{self, Conn, end_sending, write_all},
        forward::{Answer, Inbound},
        http::{self, MessageError},
        routes::ClientLimits,
        runtime::{now_us, until, within},
    },
    futures::{
        StreamExt,
        future::{Either, LocalBoxFuture, select},
        stream::FuturesOrdered,
    },
    std::{io, net::SocketAddr, rc::Rc},
    tokio::net::{TcpStream, tcp::OwnedWriteHalf},
};

/// Requests of one connection handled at a time; more stay unread.
const MAX_PIPELINED: usize = 32;

/// Time for a client to read the last answer before the connection is closed under it.
const LINGER_MS: u64 = 1_000;

/// Time without progress after which a body is given up, in heads' time limits.
const BODY_TIMEOUTS: u64 = 4;

type Reading = LocalBoxFuture<'static, (Conn, Result<Inbound, MessageError>, bool)>;

/// Serves clients until the listener fails.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn listen(mesh: Rc<Mesh>, addr: SocketAddr) -> io::Result<()> {
    conn::accept_all("clients", addr, &mesh.metrics, |stream, _| {
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
    let mut reading: Option<Reading> = Some(Box::pin(read(Rc::clone(mesh), conn)));
    let mut kept = None;
    let mut closes = false;
    let mut answers = FuturesOrdered::new();
    loop {
        let answered = match reading.take() {
            Some(next) if answers.len() < MAX_PIPELINED => {
                if answers.is_empty() {
                    Step::Read(next.await)
                } else {
                    match select(next, answers.next()).await {
                        Either::Left((read, _)) => Step::Read(read),
                        Either::Right((answer, next)) => {
                            reading = Some(next);
                            Step::Answer(answer)
                        }
                    }
                }
            }
            other => {
                reading = other;
                Step::Answer(answers.next().await)
            }
        };
        match answered {
            Step::Read((conn, Ok(inbound), is_last)) => {
                mesh.in_progress.set(mesh.in_progress.get() + 1);
                let mesh_of_request = Rc::clone(mesh);
                answers.push_back(async move {
                    let is_head = inbound.head.method == "HEAD";
                    let _guard = InProgress(&mesh_of_request);
                    (mesh_of_request.handle(inbound).await, is_head)
                });
                if is_last {
                    kept = Some(conn);
                    closes = true;
                } else {
                    reading = Some(Box::pin(read(Rc::clone(mesh), conn)));
                }
            }
            Step::Read((conn, Err(error), _)) => {
                let Some(status) = status_of(error) else {
                    // The client has gone: dropping the answers cancels the requests.
                    return;
                };
                mesh.metrics.count("ingress.malformed");
                let answer = Answer {
                    status,
                    fields: Vec::new(),
                    body: Vec::new(),
                };
                while let Some((answer, is_head)) = answers.next().await {
                    if write_answer(&io, &answer, is_head, false).await.is_err() {
                        return;
                    }
                }
                if write_answer(&io, &answer, false, true).await.is_ok() {
                    linger(conn).await;
                }
                return;
            }
            Step::Answer(None) => break,
            Step::Answer(Some((answer, is_head))) => {
                let is_last = answers.is_empty() && (closes || mesh.is_stopping());
                if write_answer(&io, &answer, is_head, is_last).await.is_err() {
                    return;
                }
                if is_last {
                    break;
                }
            }
        }
    }
    drop(answers);
    if let Some(conn) = kept {
        linger(conn).await;
    } else if let Some(reading) = reading {
        // What the client sends now crosses the close.
        end_sending(&io);
        within(LINGER_MS, reading).await;
    }
}

enum Step {
    Read((Conn, Result<Inbound, MessageError>, bool)),
    Answer(Option<(Answer, bool)>),
}

struct InProgress<'a>(&'a Mesh);

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Reads one request; tells whether it is the last one of the connection.
async fn read(mesh: Rc<Mesh>, mut conn: Conn) -> (Conn, Result<Inbound, MessageError>, bool) {
    let limits = mesh.client_limits();
    let result = read_within(&mut conn, limits).await;
    let is_last = result.as_ref().is_ok_and(|inbound| inbound.head.closes);
    (conn, result, is_last)
}

async fn read_within(conn: &mut Conn, limits: ClientLimits) -> Result<Inbound, MessageError> {
    if conn.ahead().is_empty() {
        let idle = limits.idle_timeout_ms;
        match within(idle, conn.fill()).await {
            Some(Ok(count)) if count > 0 => {}
            _ => return Err(MessageError::Closed),
        }
    }
    let head_until = now_us() + limits.head_timeout_ms * 1_000;
    let head = {
        let reading = std::pin::pin!(http::read_request(conn, limits.max_head_bytes));
        match select(reading, until(head_until)).await {
            Either::Left((head, _)) => head?,
            Either::Right(_) => return Err(MessageError::Cut),
        }
    };
    if head.expects_continue {
        let sent = conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|_| MessageError::Closed)?;
    }
    let body_ms = limits.head_timeout_ms * BODY_TIMEOUTS;
    let reading = http::read_body(conn, head.framing, limits.max_body_bytes);
    let body = within(body_ms, reading)
        .await
        .unwrap_or(Err(MessageError::Cut))?;
    Ok(Inbound { head, body })
}

/// Status for a message that cannot be read; `None` if there is nobody to answer.
fn status_of(error: MessageError) -> Option<u16> {
    match error {
        MessageError::Closed | MessageError::Cut => None,
        MessageError::Malformed => Some(400),
        MessageError::HeadTooLarge => Some(431),
        MessageError::BodyTooLarge => Some(413),
    }
}

async fn write_answer(
    io: &OwnedWriteHalf,
    answer: &Answer,
    is_head: bool,
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
    if !is_head {
        bytes.extend_from_slice(&answer.body);
    }
    write_all(io, &bytes).await
}

/// Closes a connection so that the client can still read what was sent.
async fn linger(mut conn: Conn) {
    conn.shutdown();
    let rest = async {
        while let Ok(count) = conn.fill().await {
            if count == 0 {
                return;
            }
            let ahead = conn.ahead().len();
            conn.consume(ahead);
        }
    };
    // Either way the connection is closed now.
    let _ = within(LINGER_MS, rest).await;
}
