//! Faults of the network between daemons, and of the store.

use {
    async_trait::async_trait,
    parking_lot::Mutex,
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        clock::SystemClock,
        store::{Entry, LeaseId, Store, StoreError, Swap, Version, memory::MemoryStore},
    },
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Fault injected into a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    ServerCrash,
    DaemonRestart,
    Partition,
    MessageLoss,
    Duplicates,
    ServerPause,
    StoreOutage,
    LostStoreAnswers,
    /// The directory returns no worker.
    NoKnownWorker,
    /// A daemon drains because its process is to end.
    DaemonDrain,
    /// A daemon has observed that the service admits no request.
    ClosedPath,
}

pub(crate) const FAULTS: [Fault; 11] = [
    Fault::ServerCrash,
    Fault::DaemonRestart,
    Fault::Partition,
    Fault::MessageLoss,
    Fault::Duplicates,
    Fault::ServerPause,
    Fault::StoreOutage,
    Fault::LostStoreAnswers,
    Fault::NoKnownWorker,
    Fault::DaemonDrain,
    Fault::ClosedPath,
];

/// The network; faults are given in percent of calls, the delay as its upper limit.
#[derive(Debug, Default)]
pub(crate) struct FaultyNetwork {
    pub(crate) refused: u64,
    /// Calls that are lost before they reach the peer.
    pub(crate) lost_before: u64,
    /// Calls that the peer serves, but whose reply is lost.
    pub(crate) lost_after: u64,
    pub(crate) duplicated: u64,
    pub(crate) delay_ms: u64,
    /// Daemon without a connection to the others.
    pub(crate) isolated: Option<usize>,
    pub(crate) hides_workers: bool,
    /// Duplicated deliveries that have not ended.
    pub(crate) duplicates_in_flight: usize,
}

/// How the network ends a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DeliveryEnd {
    Replied,
    Refused,
    LostBefore,
    LostAfter,
}

/// How the network delivers one call.
pub(crate) struct Delivery {
    pub(crate) end: DeliveryEnd,
    pub(crate) is_duplicated: bool,
    pub(crate) delay_ms: u64,
}

impl FaultyNetwork {
    pub(crate) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.isolated
            .is_some_and(|isolated| (from == isolated) != (to == isolated))
    }

    pub(crate) fn draw_delivery(
        &self,
        from: usize,
        to: usize,
        rng: &Mutex<ChaCha8Rng>,
    ) -> Delivery {
        let mut rng = rng.lock();
        let mut is_hit = |percent: u64| rng.random_range(0..100) < percent;
        Delivery {
            end: if is_hit(self.refused) || self.is_partitioned(from, to) {
                DeliveryEnd::Refused
            } else if is_hit(self.lost_before) {
                DeliveryEnd::LostBefore
            } else if is_hit(self.lost_after) {
                DeliveryEnd::LostAfter
            } else {
                DeliveryEnd::Replied
            },
            is_duplicated: is_hit(self.duplicated),
            delay_ms: rng.random_range(0..=self.delay_ms),
        }
    }
}

/// A store that can be unavailable, or apply writes and lose the answers.
pub(crate) struct FaultyStore {
    store: MemoryStore,
    pub(crate) is_unavailable: AtomicBool,
    pub(crate) loses_answers: AtomicBool,
}

impl FaultyStore {
    pub(crate) fn new(clock: Arc<SystemClock>) -> Self {
        Self {
            store: MemoryStore::new(clock),
            is_unavailable: AtomicBool::new(false),
            loses_answers: AtomicBool::new(false),
        }
    }

    fn check_available(&self, step: &'static str) -> Result<(), StoreError> {
        if self.is_unavailable.load(Ordering::Relaxed) {
            let (peer, detail) = ("store".into(), "away".into());
            return Err(StoreError::Unavailable { step, peer, detail });
        }
        Ok(())
    }

    fn answer_or_lose<T>(&self, step: &'static str, answer: T) -> Result<T, StoreError> {
        if self.loses_answers.load(Ordering::Relaxed) {
            let (peer, detail) = ("store".into(), "lost".into());
            return Err(StoreError::Uncertain { step, peer, detail });
        }
        Ok(answer)
    }
}

#[async_trait]
impl Store for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.check_available("get")?;
        self.store.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.check_available("list")?;
        self.store.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.check_available("swap")?;
        let swap = self.store.swap(key, expected, value, lease).await?;
        self.answer_or_lose("swap", swap)
    }

    async fn remove(&self, key: &str, expected: Version) -> Result<Swap, StoreError> {
        self.check_available("remove")?;
        self.store.remove(key, expected).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait_ms: u32,
    ) -> Result<Option<Entry>, StoreError> {
        self.check_available("watch")?;
        self.store.watch(key, after, wait_ms).await
    }

    async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, StoreError> {
        self.check_available("grant")?;
        self.store.grant(ttl_ms).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.check_available("renew")?;
        self.store.renew(lease).await
    }
}
