//! The fleet on a UDP socket: one task that receives, one that ticks.

use {
    super::{
        Fleet,
        message::{MAX_DATAGRAM_BYTES, Message, Send},
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

/// Time between two ticks.
pub const TICK_MS: u64 = 50;

/// Largest datagram that is taken.
const RECEIVE_BYTES: usize = 2_048;

/// Fault of the gossip socket.
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

/// Totals of the socket since the start of the daemon.
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

/// Copy of the totals of the socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct GossipTotals {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes sent, headers not counted.
    pub sent_bytes: u64,
    /// Datagrams that the socket refused.
    pub send_errors: u64,
    /// Datagrams received.
    pub received_datagrams: u64,
    /// Bytes received, headers not counted.
    pub received_bytes: u64,
    /// Datagrams received that could not be read.
    pub malformed: u64,
    /// Datagrams not sent because they were too large.
    pub oversized: u64,
}

/// Gossip of one daemon.
#[derive(Clone)]
pub struct Gossip {
    fleet: Arc<Mutex<Fleet>>,
    socket: Arc<UdpSocket>,
    clock: Arc<dyn Clock>,
    totals: Arc<Totals>,
    listener: Option<Sender<Event>>,
}

impl Gossip {
    /// Binds the socket; the address that others use stands in the fleet's own place.
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

    /// Passes changes of the view on; what a full channel does not take is dropped.
    #[must_use]
    pub fn with_listener(mut self, listener: Sender<Event>) -> Self {
        self.listener = Some(listener);
        self
    }

    /// Receives and ticks until dropped; fails only if the socket does.
    pub async fn run(&self) -> Result<(), GossipError> {
        futures::future::select(Box::pin(self.receive()), Box::pin(self.tick()))
            .await
            .factor_first()
            .0
    }

    /// Tells everybody that this daemon leaves.
    pub async fn leave(&self) {
        let mut out = Vec::new();
        self.fleet.lock().leave(self.clock.now_us(), &mut out);
        self.send_all(out).await;
    }

    /// Announces a digest of suspect requests to every live member at once.
    pub async fn tell_suspects(&self, suspects: Vec<u8>) {
        let mut out = Vec::new();
        self.fleet.lock().tell_suspects(suspects, &mut out);
        self.send_all(out).await;
    }

    /// Totals of the socket.
    pub fn totals(&self) -> GossipTotals {
        let of = |total: &AtomicU64| total.load(Ordering::Relaxed);
        GossipTotals {
            sent_datagrams: of(&self.totals.sent_datagrams),
            sent_bytes: of(&self.totals.sent_bytes),
            send_errors: of(&self.totals.send_errors),
            received_datagrams: of(&self.totals.received_datagrams),
            received_bytes: of(&self.totals.received_bytes),
            malformed: of(&self.totals.malformed),
            oversized: of(&self.totals.oversized),
        }
    }

    async fn receive(&self) -> Result<(), GossipError> {
        let mut buffer = vec![0; RECEIVE_BYTES];
        loop {
            // A send to a closed port shows up here as an error that concerns one peer only.
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
                fleet.events()
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
                fleet.events()
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

    async fn send_all(&self, out: Vec<Send>) {
        for Send { to, message } in out {
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
