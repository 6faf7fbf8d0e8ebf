//! In-memory key-value store, for a standalone daemon and for test doubles of the platform's store.

use {
    crate::{
        clock::Clock,
        store::{
            Entry, LeaseId, Store, StoreError, Swap, Version,
            table::{MAX_VALUE_BYTES, Table},
        },
    },
    async_channel::{Receiver, Sender},
    async_std::future::timeout,
    async_trait::async_trait,
    parking_lot::Mutex,
    smol_str::SmolStr,
    std::{
        fmt::{self, Debug, Formatter},
        sync::Arc,
        time::Duration,
    },
};

const PEER: SmolStr = SmolStr::new_static("memory");

/// [`Store`] backed by a [`Table`]; its content is lost when the process ends.
pub struct MemoryStore {
    clock: Arc<dyn Clock>,
    table: Mutex<Table>,
    waiters: Mutex<Vec<Waiter>>,
}

/// Watch that waits for a change; dropping it wakes the watch.
struct Waiter {
    key: SmolStr,
    wake: Sender<()>,
}

impl MemoryStore {
    /// Creates an empty store.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            table: Mutex::new(Table::new()),
            waiters: Mutex::new(Vec::new()),
        }
    }

    /// Number of watches that currently wait for a change.
    pub fn waiting_watches(&self) -> usize {
        let mut waiters = self.waiters.lock();
        waiters.retain(|waiter| !waiter.wake.is_closed());
        waiters.len()
    }

    /// Wakes all waiting watches, which then return.
    pub fn wake_all(&self) {
        self.waiters.lock().clear();
    }

    fn newer_entry(&self, key: &str, after: Version) -> Option<Entry> {
        self.table
            .lock()
            .get(key, self.clock.now_us())
            .filter(|entry| entry.version > after)
    }

    /// Registers a watch; the receiver is closed when the key changes.
    fn register_waiter(&self, key: &str) -> Receiver<()> {
        let (wake, woken) = async_channel::bounded(1);
        let key = SmolStr::new(key);
        let mut waiters = self.waiters.lock();
        waiters.retain(|waiter| !waiter.wake.is_closed());
        waiters.push(Waiter { key, wake });
        woken
    }

    fn wake_waiters(&self, key: &str) {
        self.waiters.lock().retain(|waiter| waiter.key != key);
    }
}

impl Debug for MemoryStore {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("MemoryStore")
            .finish_non_exhaustive()
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        Ok(self.table.lock().get(key, self.clock.now_us()))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        Ok(self.table.lock().list(prefix, self.clock.now_us()))
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(refused("swap", "the value is too large"));
        }
        let swap = self
            .table
            .lock()
            .swap(key, expected, value, lease, self.clock.now_us())
            .ok_or_else(|| refused("swap", "the lease has expired"))?;
        if matches!(swap, Swap::Applied(_)) {
            self.wake_waiters(key);
        }
        Ok(swap)
    }

    async fn remove(&self, key: &str, expected: Version) -> Result<Swap, StoreError> {
        Ok(self.table.lock().remove(key, expected, self.clock.now_us()))
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait_ms: u32,
    ) -> Result<Option<Entry>, StoreError> {
        // The watch is registered before the check, so that no change in between is missed.
        let woken = self.register_waiter(key);
        if let Some(entry) = self.newer_entry(key, after) {
            return Ok(Some(entry));
        }
        let wait = Duration::from_millis(u64::from(wait_ms));
        let _ = timeout(wait, woken.recv()).await;
        Ok(self.newer_entry(key, after))
    }

    async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, StoreError> {
        Ok(self.table.lock().grant(ttl_ms, self.clock.now_us()))
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        if self.table.lock().renew(lease, self.clock.now_us()) {
            return Ok(());
        }
        Err(refused("renew", "the lease has expired"))
    }
}

fn refused(step: &'static str, detail: &'static str) -> StoreError {
    StoreError::Refused {
        step,
        peer: PEER,
        detail: SmolStr::new_static(detail),
    }
}
