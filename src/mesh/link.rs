//! Persistent connection to another daemon: sends calls and other messages, and receives replies.

use {
    crate::{
        collections::HashMap,
        mesh::{
            Mesh,
            conn::{Conn, WriteHalf},
            frame::{self, Call, CallNumber, Frame, Message, Reply},
            runtime::{detach, now_us, sleep_ms},
        },
    },
    derive_more::{Display, Error},
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    smol_str::{SmolStr, ToSmolStr},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        pin::pin,
        rc::{Rc, Weak},
    },
};

/// Connect timeout: several times the 24 ms between regions, so that one lost packet is tolerated.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Interval of liveness probes on a link with pending calls.
const PING_INTERVAL_MS: u64 = 250;

/// Silence after which a link with pending calls is considered dead: three probe intervals, and
/// less than the users' shortest timeouts.
const SILENCE_LIMIT_MS: u64 = 800;

/// Time after a failed connection attempt during which calls fail at once.
const CONNECT_BACKOFF_MS: u64 = 300;

/// Size of the outbox from which calls on the link fail at once, as the peer is too slow.
const MAX_QUEUED_BYTES: usize = 32 << 20;

/// Failure of a call to another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{step}: daemon {peer}: {detail}")]
pub struct LinkError {
    /// Step that failed.
    pub step: &'static str,
    /// Address of the daemon.
    pub peer: SocketAddr,
    /// Cause.
    pub detail: SmolStr,
    /// Whether the call may have reached the daemon.
    pub may_have_arrived: bool,
}

/// Result of a call: the reply and its payload.
pub type LinkResult = Result<(Reply, Vec<u8>), LinkError>;

/// Queue of encoded frames, drained by one writer task.
#[derive(Debug, Default)]
pub struct Outbox {
    bytes: RefCell<Vec<u8>>,
    writer_wakeup: RefCell<Option<oneshot::Sender<()>>>,
    closed: Cell<bool>,
}

impl Outbox {
    /// Queues a frame.
    pub fn push(&self, message: &Message, payload: &[&[u8]]) {
        frame::write(&mut self.bytes.borrow_mut(), message, payload);
        self.wake();
    }

    /// Number of queued bytes.
    pub fn len(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    /// Ends the writer task once the queue is empty.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake();
    }

    fn wake(&self) {
        if let Some(wakeup) = self.writer_wakeup.borrow_mut().take() {
            // The writer may have ended, which needs no wake-up.
            let _ = wakeup.send(());
        }
    }

    /// Writes queued frames until the connection fails or the outbox is closed.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn run(&self, io: &WriteHalf) -> std::io::Result<()> {
        loop {
            let bytes = std::mem::take(&mut *self.bytes.borrow_mut());
            if !bytes.is_empty() {
                io.write_all(&bytes).await?;
                continue;
            }
            if self.closed.get() {
                return Ok(());
            }
            let (sender, receiver) = oneshot::channel();
            *self.writer_wakeup.borrow_mut() = Some(sender);
            // A dropped sender means that a newer wait replaced this one; the queue is checked
            // either way.
            let _ = receiver.await;
        }
    }
}

/// Open connection to the daemon, with the calls that wait for replies.
#[derive(Debug)]
struct Session {
    outbox: Outbox,
    pending: RefCell<HashMap<CallNumber, oneshot::Sender<LinkResult>>>,
    last_received_us: Cell<u64>,
}

/// Link to one daemon, which connects on demand.
pub struct Link {
    addr: SocketAddr,
    session: RefCell<Option<Rc<Session>>>,
    connecting: Cell<bool>,
    failed_us: Cell<u64>,
    next_call: Cell<u64>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

/// Call that waits for its reply; dropping it cancels the call.
pub struct PendingCall {
    link: Rc<Link>,
    session: Rc<Session>,
    number: CallNumber,
    receiver: Option<oneshot::Receiver<LinkResult>>,
}

impl Link {
    /// Creates a link to the daemon at this address without connecting.
    pub fn new(addr: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            addr,
            session: RefCell::new(None),
            connecting: Cell::new(false),
            failed_us: Cell::new(0),
            next_call: Cell::new(1),
            waiters: RefCell::default(),
        })
    }

    /// Sends a call.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be reached; in that case nothing was sent.
    pub async fn call(
        self: &Rc<Self>,
        mesh: &Rc<Mesh>,
        call: Call,
        payload: &[&[u8]],
    ) -> Result<PendingCall, LinkError> {
        let session = self.session(mesh).await?;
        if session.outbox.len() > MAX_QUEUED_BYTES {
            return Err(self.error("send call", "too many bytes queued for the peer", false));
        }
        let number = CallNumber(self.next_call.get());
        self.next_call.set(number.0 + 1);
        let (sender, receiver) = oneshot::channel();
        if session.pending.borrow().is_empty() {
            session.last_received_us.set(now_us());
        }
        session.pending.borrow_mut().insert(number, sender);
        session.outbox.push(&Message::Call(number, call), payload);
        Ok(PendingCall {
            link: Rc::clone(self),
            session,
            number,
            receiver: Some(receiver),
        })
    }

    /// Connects if necessary and queues a message. Delivery is not guaranteed.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be reached.
    pub async fn notify(
        self: &Rc<Self>,
        mesh: &Rc<Mesh>,
        message: &Message,
    ) -> Result<(), LinkError> {
        let session = self.session(mesh).await?;
        session.outbox.push(message, &[]);
        Ok(())
    }

    /// Queues a message if the link is connected, and returns whether it is. Delivery is not
    /// guaranteed.
    pub fn send_if_connected(&self, message: &Message) -> bool {
        let session = self.session.borrow().clone();
        session.is_some_and(|session| {
            session.outbox.push(message, &[]);
            true
        })
    }

    async fn session(self: &Rc<Self>, mesh: &Rc<Mesh>) -> Result<Rc<Session>, LinkError> {
        loop {
            if let Some(session) = self.session.borrow().as_ref() {
                return Ok(Rc::clone(session));
            }
            if self.connecting.get() {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().push(sender);
                // The state is checked again in either case.
                let _ = receiver.await;
                if self.session.borrow().is_none() && !self.connecting.get() {
                    return Err(self.error("connect", "failed", false));
                }
                continue;
            }
            if now_us().saturating_sub(self.failed_us.get()) < CONNECT_BACKOFF_MS * 1_000 {
                return Err(self.error("connect", "a recent attempt failed", false));
            }
            self.connecting.set(true);
            let guard = Connecting(self);
            let conn = Conn::connect_within(self.addr, CONNECT_TIMEOUT_MS).await;
            let conn = conn.map_err(|error| {
                self.failed_us.set(now_us());
                self.error("connect", &error.to_string(), false)
            })?;
            let session = Rc::new(Session {
                outbox: Outbox::default(),
                pending: RefCell::default(),
                last_received_us: Cell::new(now_us()),
            });
            *self.session.borrow_mut() = Some(Rc::clone(&session));
            drop(guard);
            let work = run_session(
                Rc::clone(self),
                Rc::downgrade(mesh),
                Rc::clone(&session),
                conn,
            );
            detach("link", work);
            return Ok(session);
        }
    }

    fn error(&self, step: &'static str, detail: &str, may_have_arrived: bool) -> LinkError {
        LinkError {
            step,
            peer: self.addr,
            detail: detail.to_smolstr(),
            may_have_arrived,
        }
    }
}

/// Guard of a connection attempt; wakes the waiting calls when the attempt ends.
struct Connecting<'a>(&'a Link);

impl Drop for Connecting<'_> {
    fn drop(&mut self) {
        self.0.connecting.set(false);
        for waiter in self.0.waiters.borrow_mut().drain(..) {
            // The waiting call may have been dropped.
            let _ = waiter.send(());
        }
    }
}

impl PendingCall {
    /// Waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first; in that case the call may have arrived.
    pub async fn reply(mut self) -> LinkResult {
        let Some(receiver) = self.receiver.as_mut() else {
            return Err(self
                .link
                .error("wait for reply", "reply already taken", true));
        };
        let result = receiver.await;
        self.receiver = None;
        result.unwrap_or_else(|_| Err(self.link.error("wait for reply", "connection ended", true)))
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        let was_waiting = self.receiver.is_some();
        let removed = self.session.pending.borrow_mut().remove(&self.number);
        if was_waiting && removed.is_some() {
            self.session.outbox.push(&Message::Cancel(self.number), &[]);
        }
    }
}

/// Runs one connection until it ends, and then fails its pending calls.
async fn run_session(link: Rc<Link>, mesh: Weak<Mesh>, session: Rc<Session>, mut conn: Conn) {
    let io = conn.io();
    tracing::info!(peer = %link.addr, "link up");
    let reader = pin!(read_frames(&mesh, &session, &mut conn));
    let writer = pin!(session.outbox.run(&io));
    let silence = pin!(detect_silence(&mesh, &session));
    let io_ended = async {
        match select(reader, writer).await {
            Either::Left((cause, _)) => cause,
            Either::Right((ended, _)) => match ended {
                Ok(()) => "closed".into(),
                Err(error) => error.to_smolstr(),
            },
        }
    };
    let cause = match select(pin!(io_ended), silence).await {
        Either::Left((cause, _)) => cause,
        Either::Right(((), _)) => SmolStr::new_static("silent"),
    };
    *link.session.borrow_mut() = None;
    let pending = std::mem::take(&mut *session.pending.borrow_mut());
    tracing::warn!(peer = %link.addr, %cause, calls = pending.len(), "link lost");
    for sender in pending.into_values() {
        // The caller may have been dropped.
        let _ = sender.send(Err(link.error("wait for reply", &cause, true)));
    }
}

async fn read_frames(mesh: &Weak<Mesh>, session: &Session, conn: &mut Conn) -> SmolStr {
    loop {
        let Frame {
            message, payload, ..
        } = match frame::read(conn).await {
            Ok(frame) => frame,
            Err(error) => return error.to_smolstr(),
        };
        session.last_received_us.set(now_us());
        match message {
            Message::Reply(number, reply) => {
                let sender = session.pending.borrow_mut().remove(&number);
                if let Some(sender) = sender {
                    // The caller may have been dropped.
                    let _ = sender.send(Ok((reply, payload)));
                }
            }
            other => {
                if let Some(mesh) = mesh.upgrade() {
                    mesh.handle_message(other, &payload, &session.outbox);
                }
            }
        }
    }
}

/// Probes the peer while calls are pending, and returns when it has been silent for too long.
async fn detect_silence(mesh: &Weak<Mesh>, session: &Session) {
    loop {
        sleep_ms(PING_INTERVAL_MS).await;
        if session.pending.borrow().is_empty() {
            continue;
        }
        let silence_us = now_us().saturating_sub(session.last_received_us.get());
        if silence_us > SILENCE_LIMIT_MS * 1_000 {
            return;
        }
        if silence_us >= PING_INTERVAL_MS * 1_000 {
            let version = mesh.upgrade().map_or(0, |mesh| mesh.config_version().0);
            session.outbox.push(&Message::Ping(version), &[]);
        }
    }
}
