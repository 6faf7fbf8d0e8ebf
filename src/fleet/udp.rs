//! Gossip over a UDP socket: receives datagrams and ticks the [`Fleet`] periodically.

use {
    super::{
        Fleet,
        message::{MAX_DATAGRAM_BYTES, Message, Outgoing},
        report::Event,
    },
    crate::clock::Clock,
    async_channel::Sender,
    async_std::{net::UdpSocket, task},
    derive_more::{Display, Error},
    parking_lot::Mutex,
    serde::Serialize,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Interval between ticks.
pub const TICK_MS: u64 = 50;

/// Maximum size of a received datagram; longer ones are truncated.
const RECEIVE_BYTES: usize = 2_048;

/// Error of the gossip socket.
#[derive(Debug)]
#[derive(Display, Error)]
#[display("{step} {addr}: {source}")]
pub struct GossipError {
    /// Step that failed.
    pub step: &'static str,
    /// Local address.
    pub addr: SocketAddr,
    /// Cause.
    pub source: io::Error,
}

/// Totals of the socket since the daemon started.
#[derive(Debug, Default)]
struct Totals {
    sent_datagrams: AtomicU64,
    sent_bytes: AtomicU64,
    send_errors: AtomicU64,
    received_datagrams: AtomicU64,
    received_bytes: AtomicU64,
    malformed: AtomicU64,
    oversized: AtomicU64,
}

/// Snapshot of the totals of the socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct GossipTotals {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes sent, without IP and UDP headers.
    pub sent_bytes: u64,
    /// Datagrams that the socket failed to send.
    pub send_errors: u64,
    /// Datagrams received.
    pub received_datagrams: u64,
    /// Bytes received, without IP and UDP headers.
    pub received_bytes: u64,
    /// Datagrams received that could not be decoded.
    pub malformed: u64,
    /// Datagrams not sent because they were too large or could not be encoded.
    pub oversized: u64,
}

/// Gossip endpoint of one daemon.
#[derive(Clone)]
pub struct Gossip {
    fleet: Arc<Mutex<Fleet>>,
    socket: Arc<UdpSocket>,
    clock: Arc<dyn Clock>,
    totals: Arc<Totals>,
    listener: Option<Sender<Event>>,
}

impl Gossip {
    /// Binds the socket to `listen`; peers use the gossip address in the record of this daemon.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be bound.
    pub async fn bind(
        listen: SocketAddr,
        fleet: Arc<Mutex<Fleet>>,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, GossipError> {
        let socket = UdpSocket::bind(listen).await;
        let socket = socket.map_err(|source| GossipError {
            step: "bind gossip",
            addr: listen,
            source,
        })?;
        Ok(Self {
            fleet,
            socket: Arc::new(socket),
            clock,
            totals: Arc::default(),
            listener: None,
        })
    }

    /// Sends events to a channel as well; they are dropped while it is full.
    #[must_use]
    pub fn with_listener(mut self, listener: Sender<Event>) -> Self {
        self.listener = Some(listener);
        self
    }

    /// Receives and ticks until the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the socket does.
    pub async fn run(&self) -> Result<(), GossipError> {
        futures::future::select(Box::pin(self.receive()), Box::pin(self.tick()))
            .await
            .factor_first()
            .0
    }

    /// Announces that this daemon leaves the fleet.
    pub async fn leave(&self) {
        let mut out = Vec::new();
        self.fleet.lock().leave(self.clock.now_us(), &mut out);
        self.send_all(out).await;
    }

    /// Announces a digest of crash suspects and sends it to every live member at once.
    pub async fn broadcast_suspects(&self, suspects: Vec<u8>) {
        let mut out = Vec::new();
        self.fleet.lock().broadcast_suspects(suspects, &mut out);
        self.send_all(out).await;
    }

    /// Returns the totals of the socket.
    pub fn totals(&self) -> GossipTotals {
        let load = |total: &AtomicU64| total.load(Ordering::Relaxed);
        GossipTotals {
            sent_datagrams: load(&self.totals.sent_datagrams),
            sent_bytes: load(&self.totals.sent_bytes),
            send_errors: load(&self.totals.send_errors),
            received_datagrams: load(&self.totals.received_datagrams),
            received_bytes: load(&self.totals.received_bytes),
            malformed: load(&self.totals.malformed),
            oversized: load(&self.totals.oversized),
        }
    }

    async fn receive(&self) -> Result<(), GossipError> {
        let mut buffer = vec![0; RECEIVE_BYTES];
        loop {
            // A send to a closed port makes a later receive fail with an ICMP error. It concerns
            // one peer only, so the socket stays in use.
            let Ok((size_bytes, _)) = self.socket.recv_from(&mut buffer).await else {
                task::sleep(Duration::from_millis(1)).await;
                continue;
            };
            add(&self.totals.received_datagrams, 1);
            add(&self.totals.received_bytes, size_bytes);
            let Ok(message) = Message::decode(&buffer[..size_bytes]) else {
                add(&self.totals.malformed, 1);
                continue;
            };
            let mut out = Vec::new();
            let events = {
                let mut fleet = self.fleet.lock();
                fleet.receive(&message, self.clock.now_us(), &mut out);
                fleet.take_events()
            };
            self.publish(events);
            self.send_all(out).await;
        }
    }

    async fn tick(&self) -> Result<(), GossipError> {
        loop {
            let mut out = Vec::new();
            let events = {
                let mut fleet = self.fleet.lock();
                fleet.tick(self.clock.now_us(), &mut out);
                fleet.take_events()
            };
            self.publish(events);
            self.send_all(out).await;
            task::sleep(Duration::from_millis(TICK_MS)).await;
        }
    }

    fn publish(&self, events: Vec<Event>) {
        for event in events {
            tracing::info!("{event}");
            if let Some(listener) = &self.listener {
                let _ = listener.try_send(event);
            }
        }
    }

    async fn send_all(&self, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let bytes = message.encode();
            if bytes.is_empty() || bytes.len() > MAX_DATAGRAM_BYTES {
                add(&self.totals.oversized, 1);
                continue;
            }
            match self.socket.send_to(&bytes, to).await {
                Ok(_) => {
                    add(&self.totals.sent_datagrams, 1);
                    add(&self.totals.sent_bytes, bytes.len());
                }
                Err(_) => add(&self.totals.send_errors, 1),
            }
        }
    }
}

fn add(total: &AtomicU64, count: usize) {
    total.fetch_add(count as u64, Ordering::Relaxed);
}
