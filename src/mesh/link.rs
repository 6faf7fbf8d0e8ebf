//! Kept connection to another daemon: calls out, replies back, and what daemons tell each other.

use {
    crate::{
        collections::HashMap,
        mesh::{
            Mesh,
            conn::{Conn, write_all},
            frame::{self, Call, CallNumber, Message, Reply},
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
    tokio::net::tcp::OwnedWriteHalf,
};

/// Time for a connection to another daemon: several times the 24 ms between regions, with room for
/// one lost packet.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Interval of liveness probes on a link with calls under way.
const PING_INTERVAL_MS: u64 = 250;

/// Silence after which a link with calls under way is dead; three probes, and below the users' shortest
/// time-outs.
const SILENCE_LIMIT_MS: u64 = 800;

/// Time after a failed connection in which calls fail at once.
const RETRY_CONNECT_MS: u64 = 300;

/// Bytes that wait for a slow peer, after which calls on the link fail at once.
const MAX_WAITING_BYTES: usize = 32 << 20;

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

/// Bytes to send, taken by one writer task.
#[derive(Debug, Default)]
pub struct Outbox {
    bytes: RefCell<Vec<u8>>,
    waiting: RefCell<Option<oneshot::Sender<()>>>,
    closed: Cell<bool>,
}

impl Outbox {
    /// Queues a frame.
    pub fn push(&self, message: &Message, payload: &[&[u8]]) {
        frame::write(&mut self.bytes.borrow_mut(), message, payload);
        self.wake();
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    /// Ends the writer task.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake();
    }

    fn wake(&self) {
        if let Some(waiting) = self.waiting.borrow_mut().take() {
            // A writer that has ended needs no call.
            let _ = waiting.send(());
        }
    }

    /// Writes what is queued until the connection breaks or the outbox is closed.
    pub async fn run(&self, io: &OwnedWriteHalf) -> std::io::Result<()> {
        loop {
            let bytes = std::mem::take(&mut *self.bytes.borrow_mut());
            if !bytes.is_empty() {
                write_all(io, &bytes).await?;
                continue;
            }
            if self.closed.get() {
                return Ok(());
            }
            let (sender, receiver) = oneshot::channel();
            *self.waiting.borrow_mut() = Some(sender);
            // A dropped sender means a newer wait; both end in a look at the queue.
            let _ = receiver.await;
        }
    }
}

#[derive(Debug)]
struct Session {
    outbox: Outbox,
    pending: RefCell<HashMap<CallNumber, oneshot::Sender<LinkResult>>>,
    heard_us: Cell<u64>,
}

/// Link to one daemon; connects when it is needed.
pub struct Link {
    addr: SocketAddr,
    session: RefCell<Option<Rc<Session>>>,
    connecting: Cell<bool>,
    failed_us: Cell<u64>,
    next_call: Cell<u64>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

/// A call under way; dropped before its reply, it cancels the call.
pub struct Pending {
    link: Rc<Link>,
    session: Rc<Session>,
    number: CallNumber,
    receiver: Option<oneshot::Receiver<LinkResult>>,
}

impl Link {
    /// Link to the daemon at this address; nothing is sent yet.
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
    /// Fails if the daemon cannot be reached; nothing was sent then.
    pub async fn call(
        self: &Rc<Self>,
        mesh: &Rc<Mesh>,
        call: Call,
        payload: &[&[u8]],
    ) -> Result<Pending, LinkError> {
        let session = self.session(mesh).await?;
        if session.outbox.len() > MAX_WAITING_BYTES {
            return Err(self.error("send call", "the peer does not read", false));
        }
        let number = CallNumber(self.next_call.get());
        self.next_call.set(number.0 + 1);
        let (sender, receiver) = oneshot::channel();
        if session.pending.borrow().is_empty() {
            session.heard_us.set(now_us());
        }
        session.pending.borrow_mut().insert(number, sender);
        session.outbox.push(&Message::Call(number, call), payload);
        Ok(Pending {
            link: Rc::clone(self),
            session,
            number,
            receiver: Some(receiver),
        })
    }

    /// Sends a message to a daemon that a connection exists to; a hint that may be lost.
    pub fn tell(&self, message: &Message) -> bool {
        let session = self.session.borrow().clone();
        session.is_some_and(|session| {
            session.outbox.push(message, &[]);
            true
        })
    }

    /// Time since the daemon was last heard, if a connection exists.
    pub fn silent_us(&self, now_us: u64) -> Option<u64> {
        let session = self.session.borrow();
        let heard_us = session.as_ref()?.heard_us.get();
        Some(now_us.saturating_sub(heard_us))
    }

    async fn session(self: &Rc<Self>, mesh: &Rc<Mesh>) -> Result<Rc<Session>, LinkError> {
        loop {
            if let Some(session) = self.session.borrow().as_ref() {
                return Ok(Rc::clone(session));
            }
            if self.connecting.get() {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().push(sender);
                // Either way the state is looked at again.
                let _ = receiver.await;
                if self.session.borrow().is_none() && !self.connecting.get() {
                    return Err(self.error("connect", "failed", false));
                }
                continue;
            }
            if now_us().saturating_sub(self.failed_us.get()) < RETRY_CONNECT_MS * 1_000 {
                return Err(self.error("connect", "failed a moment ago", false));
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
                heard_us: Cell::new(now_us()),
            });
            let own = Message::Announce(mesh.own_announcement());
            session.outbox.push(&own, &[]);
            *self.session.borrow_mut() = Some(Rc::clone(&session));
            drop(guard);
            let work = run(
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

/// Marks that a connection is being made; waiters are called when it ends, however it ends.
struct Connecting<'a>(&'a Link);

impl Drop for Connecting<'_> {
    fn drop(&mut self) {
        self.0.connecting.set(false);
        for waiter in self.0.waiters.borrow_mut().drain(..) {
            // A waiter that has gone needs no call.
            let _ = waiter.send(());
        }
    }
}

impl Pending {
    /// Waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first; the call may have arrived then.
    pub async fn reply(mut self) -> LinkResult {
        let Some(receiver) = self.receiver.as_mut() else {
            return Err(self.link.error("wait for reply", "asked twice", true));
        };
        let result = receiver.await;
        self.receiver = None;
        result.unwrap_or_else(|_| Err(self.link.error("wait for reply", "connection ended", true)))
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let was_waiting = self.receiver.is_some();
        let removed = self.session.pending.borrow_mut().remove(&self.number);
        if was_waiting && removed.is_some() {
            self.session.outbox.push(&Message::Cancel(self.number), &[]);
        }
    }
}

/// Serves one connection until it ends, and fails what waits on it.
async fn run(link: Rc<Link>, mesh: Weak<Mesh>, session: Rc<Session>, mut conn: Conn) {
    let io = conn.io();
    tracing::info!(peer = %link.addr, "link up");
    let reader = pin!(read(&mesh, &session, &mut conn));
    let writer = pin!(session.outbox.run(&io));
    let watch = pin!(watch(&mesh, &session));
    let io_ended = async {
        match select(reader, writer).await {
            Either::Left((cause, _)) => cause,
            Either::Right((ended, _)) => match ended {
                Ok(()) => "closed".into(),
                Err(error) => error.to_smolstr(),
            },
        }
    };
    let cause = match select(pin!(io_ended), watch).await {
        Either::Left((cause, _)) => cause,
        Either::Right(((), _)) => SmolStr::new_static("silent"),
    };
    *link.session.borrow_mut() = None;
    let pending = std::mem::take(&mut *session.pending.borrow_mut());
    tracing::warn!(peer = %link.addr, %cause, calls = pending.len(), "link lost");
    for sender in pending.into_values() {
        // A caller that has gone needs no result.
        let _ = sender.send(Err(link.error("wait for reply", &cause, true)));
    }
}

async fn read(mesh: &Weak<Mesh>, session: &Session, conn: &mut Conn) -> SmolStr {
    loop {
        let (message, payload) = match frame::read(conn).await {
            Ok(frame) => frame,
            Err(error) => return error.to_smolstr(),
        };
        session.heard_us.set(now_us());
        match message {
            Message::Reply(number, reply) => {
                let sender = session.pending.borrow_mut().remove(&number);
                if let Some(sender) = sender {
                    // A caller that has gone needs no result.
                    let _ = sender.send(Ok((reply, payload)));
                }
            }
            other => {
                if let Some(mesh) = mesh.upgrade() {
                    mesh.heard(other, &payload, &session.outbox);
                }
            }
        }
    }
}

/// Ends when the peer is silent although something is expected of it.
async fn watch(mesh: &Weak<Mesh>, session: &Session) {
    loop {
        sleep_ms(PING_INTERVAL_MS).await;
        if session.pending.borrow().is_empty() {
            continue;
        }
        let silent_us = now_us().saturating_sub(session.heard_us.get());
        if silent_us > SILENCE_LIMIT_MS * 1_000 {
            return;
        }
        if silent_us >= PING_INTERVAL_MS * 1_000 {
            let version = mesh.upgrade().map_or(0, |mesh| mesh.config_version().0);
            session.outbox.push(&Message::Ping(version), &[]);
        }
    }
}
