//! Kept connections to the local worker, and one exchange on one of them.

use {
    crate::mesh::{
        conn::Conn,
        http::{self, Head, MessageError},
        protocol::{AnswerFacts, Protocol},
        runtime::now_us,
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

/// Time for a connection to a worker on the same VM; several times its 1 ms, and short enough to
/// send elsewhere within the shortest objective.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Part of a worker's stated idle time for which a connection is reused; the rest is for clocks and
/// for a request on its way when the worker closes.
const IDLE_SHARE_PERCENT: u64 = 70;

/// Idle time of a connection whose worker states none.
const IDLE_DEFAULT_MS: u64 = 4_000;

/// Largest head of an answer.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// Largest body of an answer.
const MAX_ANSWER_BODY_BYTES: u64 = 64 << 20;

/// Answers to other requests that are skipped on one connection.
const MAX_STRAY_ANSWERS: usize = 4;

/// Requests up to this size are written before the answer is awaited; they fit in a socket's buffer.
const SMALL_REQUEST_BYTES: usize = 16 * 1024;

/// Why an exchange gave no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Breach {
    /// Nothing listens, or it does not accept.
    #[display("no connection")]
    NoConnection,
    /// The connection ended before the answer was whole.
    #[display("cut")]
    Cut,
    /// The answer is malformed or not the worker's own.
    #[display("spoiled")]
    Spoiled,
}

/// Failure of an exchange with the local worker.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{step}: worker {peer}: {breach}: {detail}")]
pub struct ExchangeError {
    /// Step that failed.
    pub step: &'static str,
    /// Address of the worker.
    pub peer: SocketAddr,
    /// Kind of the failure.
    pub breach: Breach,
    /// Cause.
    pub detail: SmolStr,
    /// Whether the worker may have begun to run the request.
    pub may_have_run: bool,
}

/// Whole answer of a worker.
#[derive(Debug)]
pub struct WorkerAnswer {
    /// Head.
    pub head: Head,
    /// Body.
    pub body: Vec<u8>,
}

struct Idle {
    conn: Conn,
    until_us: u64,
}

/// Connections to the local worker.
pub struct Pool {
    protocol: Rc<dyn Protocol>,
    idle: RefCell<Vec<Idle>>,
    answered_us: Cell<u64>,
}

impl Pool {
    /// Pool without connections.
    pub fn new(protocol: Rc<dyn Protocol>) -> Self {
        Self {
            protocol,
            idle: RefCell::default(),
            answered_us: Cell::new(0),
        }
    }

    /// Drops all idle connections, as the worker has ended.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Drops connections that have been idle for long.
    pub fn sweep(&self, now_us: u64) {
        self.idle.borrow_mut().retain(|idle| idle.until_us > now_us);
    }

    /// Sends one request and reads the whole answer; dropping the future closes the connection,
    /// which cancels the request at the worker.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole answer to this request.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: &[u8],
        attempt_id: &str,
        is_head: bool,
    ) -> Result<WorkerAnswer, ExchangeError> {
        let error = |step, breach, detail: SmolStr, may_have_run| ExchangeError {
            step,
            peer: addr,
            breach,
            detail,
            may_have_run,
        };
        let mut conn = self
            .connection(addr)
            .await
            .map_err(|detail| error("connect", Breach::NoConnection, detail, false))?;
        let (answer, is_reusable) = if request.len() <= SMALL_REQUEST_BYTES {
            let written = conn.write_all(request).await;
            written.map_err(|cause| error("send", Breach::Cut, cause.to_smolstr(), true))?;
            self.answer(&mut conn, attempt_id, is_head).await
        } else {
            self.exchange_large(&mut conn, request, attempt_id, is_head)
                .await
        }
        .map_err(|cause| {
            let breach = match cause {
                MessageError::Cut | MessageError::Closed => Breach::Cut,
                _ => Breach::Spoiled,
            };
            error("read answer", breach, cause.to_smolstr(), true)
        })?;
        self.answered_us.set(now_us());
        if is_reusable {
            self.keep(conn, &answer.head);
        }
        Ok(answer)
    }

    /// Sends while it reads, as the worker may answer before it has read the whole request.
    async fn exchange_large(
        &self,
        conn: &mut Conn,
        request: &[u8],
        attempt_id: &str,
        is_head: bool,
    ) -> Result<(WorkerAnswer, bool), MessageError> {
        let io = conn.io();
        let writing = pin!(crate::mesh::conn::write_all(&io, request));
        let reading = pin!(self.answer(conn, attempt_id, is_head));
        match select(writing, reading).await {
            Either::Left((_, reading)) => reading.await,
            // The rest of the request is never sent, so the connection cannot carry another one.
            Either::Right((answer, _)) => answer.map(|(answer, _)| (answer, false)),
        }
    }

    /// Reads the answer to this request, past answers to earlier ones.
    async fn answer(
        &self,
        conn: &mut Conn,
        attempt_id: &str,
        is_head: bool,
    ) -> Result<(WorkerAnswer, bool), MessageError> {
        for strays in 0..=MAX_STRAY_ANSWERS {
            let head = http::read_answer(conn, MAX_ANSWER_HEAD_BYTES, is_head).await?;
            let facts = self.protocol.answer_facts(&head);
            let is_own = belongs(&head, facts, attempt_id)?;
            let body = http::read_body(conn, head.framing, MAX_ANSWER_BODY_BYTES).await?;
            if is_own {
                let is_reusable = strays == 0 && !head.closes && conn.ahead().is_empty();
                return Ok((WorkerAnswer { head, body }, is_reusable));
            }
        }
        Err(MessageError::Malformed)
    }

    /// Makes a connection ahead of need; tells why there is none.
    ///
    /// # Errors
    ///
    /// Fails if the worker does not accept it.
    pub async fn prepare(&self, addr: SocketAddr) -> Result<(), SmolStr> {
        let conn = self.connect(addr).await?;
        let until_us = now_us() + IDLE_DEFAULT_MS * 10 * IDLE_SHARE_PERCENT;
        self.idle.borrow_mut().push(Idle { conn, until_us });
        Ok(())
    }

    /// Time of the last whole answer.
    pub fn answered_us(&self) -> u64 {
        self.answered_us.get()
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Conn, SmolStr> {
        let now_us = now_us();
        loop {
            let Some(mut idle) = self.idle.borrow_mut().pop() else {
                break;
            };
            if idle.until_us > now_us && idle.conn.is_quiet() {
                return Ok(idle.conn);
            }
        }
        self.connect(addr).await
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Conn, SmolStr> {
        let conn = Conn::connect_within(addr, CONNECT_TIMEOUT_MS).await;
        conn.map_err(|error| error.to_smolstr())
    }

    fn keep(&self, conn: Conn, head: &Head) {
        let idle_ms = head
            .keep_alive_s
            .map_or(IDLE_DEFAULT_MS, |seconds| seconds * 1_000);
        let until_us = now_us() + idle_ms * 10 * IDLE_SHARE_PERCENT;
        self.idle.borrow_mut().push(Idle { conn, until_us });
    }
}

/// Tells whether an answer belongs to this request.
fn belongs(head: &Head, facts: AnswerFacts<'_>, attempt_id: &str) -> Result<bool, MessageError> {
    let is_success = head.status < 300;
    let is_encoded = head.field("content-encoding").is_some();
    match facts.attempt_id {
        Some(id) if id != attempt_id => Ok(false),
        Some(_) if is_success && (!facts.is_stamped || is_encoded) => Err(MessageError::Malformed),
        None if is_success => Err(MessageError::Malformed),
        _ => Ok(true),
    }
}
