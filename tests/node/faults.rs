//! Faults of the network between daemons and of the store.

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

/// What goes wrong in a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    ServerCrash,
    DaemonRestart,
    Cut,
    Loss,
    Duplicates,
    Slow,
    StoreOutage,
    LostWrites,
    /// No worker is known.
    Unlisted,
    /// A daemon is told to end.
    Leaving,
    /// A daemon has learned that the service admits nothing.
    Shut,
}

pub(crate) const FAULTS: [Fault; 11] = [
    Fault::ServerCrash,
    Fault::DaemonRestart,
    Fault::Cut,
    Fault::Loss,
    Fault::Duplicates,
    Fault::Slow,
    Fault::StoreOutage,
    Fault::LostWrites,
    Fault::Unlisted,
    Fault::Leaving,
    Fault::Shut,
];

/// The network; shares are out of a hundred calls.
#[derive(Debug, Default)]
pub(crate) struct Net {
    pub(crate) refused: u64,
    pub(crate) lost_before: u64,
    pub(crate) lost_after: u64,
    pub(crate) duplicated: u64,
    pub(crate) delay_ms: u64,
    /// A daemon that others can't reach, and that reaches no other.
    pub(crate) island: Option<usize>,
    pub(crate) is_unlisted: bool,
    /// Second deliveries that have not ended.
    pub(crate) on_their_way: usize,
}

/// What becomes of one call.
pub(crate) struct Fate {
    pub(crate) is_refused: bool,
    pub(crate) is_lost_before: bool,
    pub(crate) is_lost_after: bool,
    pub(crate) is_duplicated: bool,
    pub(crate) delay_ms: u64,
}

impl Net {
    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.island
            .is_some_and(|island| (from == island) != (to == island))
    }

    pub(crate) fn fate(&self, from: usize, to: usize, rng: &Mutex<ChaCha8Rng>) -> Fate {
        let mut rng = rng.lock();
        let mut hits = |share: u64| rng.random_range(0..100) < share;
        Fate {
            is_refused: hits(self.refused) || self.is_cut(from, to),
            is_lost_before: hits(self.lost_before),
            is_lost_after: hits(self.lost_after),
            is_duplicated: hits(self.duplicated),
            delay_ms: rng.random_range(0..=self.delay_ms),
        }
    }
}

/// A store that may be away, or take writes and lose the answer.
pub(crate) struct Weather {
    store: MemoryStore,
    pub(crate) is_away: AtomicBool,
    pub(crate) loses_answers: AtomicBool,
}

impl Weather {
    pub(crate) fn new(clock: Arc<SystemClock>) -> Self {
        Self {
            store: MemoryStore::new(clock),
            is_away: AtomicBool::new(false),
            loses_answers: AtomicBool::new(false),
        }
    }

    fn check(&self, step: &'static str) -> Result<(), StoreError> {
        if self.is_away.load(Ordering::Relaxed) {
            let (peer, detail) = ("store".into(), "away".into());
            return Err(StoreError::Unavailable { step, peer, detail });
        }
        Ok(())
    }

    fn lose<T>(&self, step: &'static str, answer: T) -> Result<T, StoreError> {
        if self.loses_answers.load(Ordering::Relaxed) {
            let (peer, detail) = ("store".into(), "lost".into());
            return Err(StoreError::Uncertain { step, peer, detail });
        }
        Ok(answer)
    }
}

#[async_trait]
impl Store for Weather {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.check("get")?;
        self.store.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.check("list")?;
        self.store.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.check("swap")?;
        let swap = self.store.swap(key, expected, value, lease).await?;
        self.lose("swap", swap)
    }

    async fn remove(&self, key: &str, expected: Version) -> Result<Swap, StoreError> {
        self.check("remove")?;
        self.store.remove(key, expected).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait_ms: u32,
    ) -> Result<Option<Entry>, StoreError> {
        self.check("watch")?;
        self.store.watch(key, after, wait_ms).await
    }

    async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, StoreError> {
        self.check("grant")?;
        self.store.grant(ttl_ms).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.check("renew")?;
        self.store.renew(lease).await
    }
}
