//! Fake of the platform's store, with outages, lost answers, late writes and expiring
//! leases.

use {
    async_trait::async_trait,
    futures::pending,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::store::{Entry, LeaseId, Store, StoreError, Swap, Version},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Condition {
    Healthy,
    Outage,
    /// Some answers are lost, before or after the write, and some writes are applied late.
    Lossy,
}

pub(crate) struct FakeStore(Mutex<State>);

struct State {
    condition: Condition,
    rng: ChaCha8Rng,
    now_ms: u64,
    version: u64,
    entries: BTreeMap<SmolStr, (Entry, Option<LeaseId>)>,
    leases: BTreeMap<u64, u64>,
    late_writes: Vec<(SmolStr, Version, Vec<u8>, Option<LeaseId>)>,
}

impl FakeStore {
    pub(crate) fn new(seed: u64) -> Self {
        Self(Mutex::new(State {
            condition: Condition::Healthy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            version: 0,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            late_writes: Vec::new(),
        }))
    }

    pub(crate) fn set(&self, condition: Condition) {
        self.0.lock().condition = condition;
    }

    /// Advances virtual time: leases expire, and late writes may be applied.
    pub(crate) fn advance(&self, now_ms: u64) {
        let mut state = self.0.lock();
        state.now_ms = now_ms;
        let State {
            entries, leases, ..
        } = &mut *state;
        leases.retain(|_, expires_ms| *expires_ms > now_ms);
        entries.retain(|_, (_, lease)| lease.is_none_or(|lease| leases.contains_key(&lease.0)));
        if !state.late_writes.is_empty() && state.rng.random_ratio(1, 50) {
            let (key, expected, value, lease) = state.late_writes.remove(0);
            let _ = state.apply(&key, expected, value, lease);
        }
    }

    /// Waits for a random number of steps; fails during an outage.
    async fn connect(&self, step: &'static str) -> Result<(), StoreError> {
        let steps = self.0.lock().rng.random_range(0..4);
        for _ in 0..steps {
            pending!();
        }
        if self.0.lock().condition == Condition::Outage {
            return Err(StoreError::Unavailable {
                step,
                peer: "store".into(),
                detail: "outage".into(),
            });
        }
        Ok(())
    }
}

impl State {
    fn apply(
        &mut self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease.0)) {
            return Err(StoreError::Refused {
                step: "swap",
                peer: "store".into(),
                detail: "no such lease".into(),
            });
        }
        let present = self.entries.get(key).map(|(entry, _)| entry.clone());
        let version = present
            .as_ref()
            .map_or(Version::ABSENT, |entry| entry.version);
        if version != expected {
            return Ok(Swap::Conflict(present));
        }
        self.version += 1;
        let entry = Entry {
            key: key.into(),
            version: Version(self.version),
            value,
        };
        self.entries.insert(key.into(), (entry, lease));
        Ok(Swap::Applied(Version(self.version)))
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.connect("get").await?;
        let state = self.0.lock();
        Ok(state.entries.get(key).map(|(entry, _)| entry.clone()))
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<Entry>, StoreError> {
        Ok(Vec::new())
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.connect("swap").await?;
        let mut state = self.0.lock();
        let draw = state.rng.random_range(0..6);
        if state.condition == Condition::Healthy || draw > 2 {
            return state.apply(key, expected, value, lease);
        }
        match draw {
            0 => drop(state.apply(key, expected, value, lease)),
            1 => state.late_writes.push((key.into(), expected, value, lease)),
            _ => {}
        }
        Err(StoreError::Uncertain {
            step: "swap",
            peer: "store".into(),
            detail: "answer lost".into(),
        })
    }

    async fn remove(&self, _key: &str, _expected: Version) -> Result<Swap, StoreError> {
        Ok(Swap::Conflict(None))
    }

    async fn watch(
        &self,
        _key: &str,
        _after: Version,
        _wait_ms: u32,
    ) -> Result<Option<Entry>, StoreError> {
        Ok(None)
    }

    async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, StoreError> {
        self.connect("grant").await?;
        let mut state = self.0.lock();
        state.version += 1;
        let id = state.version;
        let expires_ms = state.now_ms + u64::from(ttl_ms);
        state.leases.insert(id, expires_ms);
        Ok(LeaseId(id))
    }

    async fn renew(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}
