//! Connection pool to the local worker, and the exchange of one request and its answer.

use {
    crate::{
        mesh::{
            conn::Conn,
            http::{self, Head, MessageError},
            protocol::{AnswerMetadata, Protocol},
            runtime::now_us,
            segments::Segments,
        },
        policy::shared_memory::SharedMemory,
    },
    derive_more::{Display, Error},
    futures::future::{Either, select},
    smol_str::{SmolStr, ToSmolStr},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        pin::pin,
        rc::Rc,
    },
};

/// Connect timeout for the worker on the same VM: many times the usual 1 ms, and short enough to
/// send the request to another worker within the shortest latency target.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Share of the worker's stated idle time for which a connection is reused. The rest allows for
/// clock differences and for requests that are in transit when the worker closes the connection.
const IDLE_SHARE_PERCENT: u64 = 70;

/// Idle time of a connection if the worker states none.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// Largest head of an answer.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// Memory of the bodies of all answers that are being read, and largest body of one answer.
const ANSWER_MEMORY_BYTES: u64 = 64 << 20;

/// Answers to other requests that are skipped on one connection before it is given up.
const MAX_UNMATCHED_ANSWERS: usize = 4;

/// Largest request that is written completely before the answer is read; it fits in a socket's send
/// buffer.
const SMALL_REQUEST_BYTES: usize = 16 * 1024;

/// Reason why an exchange gave no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum ExchangeErrorKind {
    /// The worker refused the connection or did not accept it in time.
    #[display("no connection")]
    NoConnection,
    /// The connection ended before the answer was complete.
    #[display("cut")]
    ConnectionLost,
    /// The answer is malformed, or not a genuine answer of the worker.
    #[display("spoiled")]
    InvalidAnswer,
}

/// Failure of an exchange with the local worker.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{step}: worker {peer}: {kind}: {detail}")]
pub struct ExchangeError {
    /// Step that failed.
    pub step: &'static str,
    /// Address of the worker.
    pub peer: SocketAddr,
    /// Kind of the failure.
    pub kind: ExchangeErrorKind,
    /// Cause.
    pub detail: SmolStr,
    /// Whether the worker may have started to run the request.
    pub may_have_run: bool,
}

/// Complete answer of a worker.
#[derive(Debug)]
pub struct WorkerAnswer {
    /// Head.
    pub head: Head,
    /// Body.
    pub body: Segments,
}

/// Idle connection, and the time until which it may be reused.
struct IdleConn {
    conn: Conn,
    until_us: u64,
}

/// Connection pool to the local worker.
pub struct Pool {
    protocol: Rc<dyn Protocol>,
    idle: RefCell<Vec<IdleConn>>,
    last_answer_us: Cell<u64>,
    memory: SharedMemory,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(protocol: Rc<dyn Protocol>) -> Self {
        Self {
            protocol,
            idle: RefCell::default(),
            last_answer_us: Cell::new(0),
            memory: SharedMemory::new(ANSWER_MEMORY_BYTES),
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes idle connections that may no longer be reused.
    pub fn sweep(&self, now_us: u64) {
        self.idle.borrow_mut().retain(|idle| idle.until_us > now_us);
    }

    /// Sends a request and reads the complete answer. Dropping the future closes the connection,
    /// which cancels the request at the worker.
    ///
    /// # Errors
    ///
    /// Fails if the worker gives no complete answer to this request.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: &[u8],
        attempt_id: &str,
        is_head_request: bool,
    ) -> Result<WorkerAnswer, ExchangeError> {
        let error = |step, kind, detail: SmolStr, may_have_run| ExchangeError {
            step,
            peer: addr,
            kind,
            detail,
            may_have_run,
        };
        let mut conn = self
            .connection(addr)
            .await
            .map_err(|detail| error("connect", ExchangeErrorKind::NoConnection, detail, false))?;
        let (answer, is_reusable) = if request.len() <= SMALL_REQUEST_BYTES {
            let written = conn.write_all(request).await;
            written.map_err(|cause| {
                error(
                    "send",
                    ExchangeErrorKind::ConnectionLost,
                    cause.to_smolstr(),
                    true,
                )
            })?;
            self.answer(&mut conn, attempt_id, is_head_request).await
        } else {
            self.exchange_large(&mut conn, request, attempt_id, is_head_request)
                .await
        }
        .map_err(|cause| {
            let kind = match cause {
                MessageError::Truncated | MessageError::Closed => ExchangeErrorKind::ConnectionLost,
                _ => ExchangeErrorKind::InvalidAnswer,
            };
            error("read answer", kind, cause.to_smolstr(), true)
        })?;
        self.last_answer_us.set(now_us());
        if is_reusable {
            self.keep_idle(conn, answer.head.keep_alive_s);
        }
        Ok(answer)
    }

    /// Sends a request while reading the answer, as the worker may answer before it has read the
    /// complete request.
    async fn exchange_large(
        &self,
        conn: &mut Conn,
        request: &[u8],
        attempt_id: &str,
        is_head_request: bool,
    ) -> Result<(WorkerAnswer, bool), MessageError> {
        let io = conn.io();
        let writing = pin!(io.write_all(request));
        let reading = pin!(self.answer(conn, attempt_id, is_head_request));
        match select(writing, reading).await {
            // The worker may have answered completely before the write failed.
            Either::Left((written, reading)) => {
                let (answer, is_reusable) = reading.await?;
                Ok((answer, is_reusable && written.is_ok()))
            }
            // The rest of the request is never sent, so the connection cannot be reused.
            Either::Right((answer, _)) => answer.map(|(answer, _)| (answer, false)),
        }
    }

    /// Reads the answer to this request, skipping answers to earlier ones. Returns it with whether
    /// the connection is reusable.
    async fn answer(
        &self,
        conn: &mut Conn,
        attempt_id: &str,
        is_head_request: bool,
    ) -> Result<(WorkerAnswer, bool), MessageError> {
        for unmatched in 0..=MAX_UNMATCHED_ANSWERS {
            let head = http::read_answer(conn, MAX_ANSWER_HEAD_BYTES, is_head_request).await?;
            let metadata = self.protocol.answer_metadata(&head);
            let is_own = is_answer_to(&head, metadata, attempt_id)?;
            let body = http::read_body_as(conn, head.framing, self.memory.share()).await?;
            if is_own {
                let is_reusable = unmatched == 0 && !head.closes && conn.buffered().is_empty();
                return Ok((WorkerAnswer { head, body }, is_reusable));
            }
        }
        Err(MessageError::Malformed)
    }

    /// Opens a connection and adds it to the pool.
    ///
    /// # Errors
    ///
    /// Fails with the cause if the worker does not accept the connection.
    pub async fn preconnect(&self, addr: SocketAddr) -> Result<(), SmolStr> {
        let conn = self.connect(addr).await?;
        self.keep_idle(conn, None);
        Ok(())
    }

    /// Memory of the bodies of answers that are being read.
    pub fn answer_bytes(&self) -> u64 {
        self.memory.used_bytes()
    }

    /// Time of the last complete answer.
    pub fn last_answer_us(&self) -> u64 {
        self.last_answer_us.get()
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Conn, SmolStr> {
        let now_us = now_us();
        loop {
            let Some(mut idle) = self.idle.borrow_mut().pop() else {
                break;
            };
            if idle.until_us > now_us && idle.conn.is_idle() {
                return Ok(idle.conn);
            }
        }
        self.connect(addr).await
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Conn, SmolStr> {
        let conn = Conn::connect_within(addr, CONNECT_TIMEOUT_MS).await;
        conn.map_err(|error| error.to_smolstr())
    }

    /// Keeps a connection for reuse, for as long as the worker states.
    fn keep_idle(&self, conn: Conn, keep_alive_s: Option<u64>) {
        let idle_ms = keep_alive_s.map_or(DEFAULT_IDLE_MS, |seconds| seconds.saturating_mul(1_000));
        // Milliseconds times percent times 10 are microseconds.
        let share_us = idle_ms.saturating_mul(10 * IDLE_SHARE_PERCENT);
        let until_us = now_us().saturating_add(share_us);
        self.idle.borrow_mut().push(IdleConn { conn, until_us });
    }
}

/// Returns whether an answer belongs to this request.
///
/// A statement that some request was not run, without an attempt id, may be a repeated refusal of an
/// earlier request; the own answer still follows.
///
/// # Errors
///
/// Fails if it is a success that does not carry the worker's stamp or that is encoded, or another
/// answer without an attempt id, which may belong to any request.
fn is_answer_to(
    head: &Head,
    metadata: AnswerMetadata<'_>,
    attempt_id: &str,
) -> Result<bool, MessageError> {
    let is_success = head.status < 300;
    let is_encoded = head.field("content-encoding").is_some();
    match metadata.attempt_id {
        Some(id) if id != attempt_id => Ok(false),
        Some(_) if is_success && (!metadata.is_stamped || is_encoded) => {
            Err(MessageError::Malformed)
        }
        Some(_) => Ok(true),
        None if metadata.is_not_run => Ok(false),
        None => Err(MessageError::Malformed),
    }
}
