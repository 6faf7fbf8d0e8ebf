//! Key-value service inside the process, for a daemon that stands alone and for stand-ins.

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

/// [`Store`] over a [`Table`]; it is lost with the process.
pub struct MemoryStore {
    clock: Arc<dyn Clock>,
    table: Mutex<Table>,
    waiting: Mutex<Vec<Waiter>>,
}

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
            waiting: Mutex::new(Vec::new()),
        }
    }

    /// Number of watches that wait at present.
    pub fn waiting_watches(&self) -> usize {
        let mut waiting = self.waiting.lock();
        waiting.retain(|waiter| !waiter.wake.is_closed());
        waiting.len()
    }

    /// Ends all waiting watches.
    pub fn wake_all(&self) {
        self.waiting.lock().clear();
    }

    fn newer(&self, key: &str, after: Version) -> Option<Entry> {
        self.table
            .lock()
            .get(key, self.clock.now_us())
            .filter(|entry| entry.version > after)
    }

    fn wait(&self, key: &str) -> Receiver<()> {
        let (wake, woken) = async_channel::bounded(1);
        let key = SmolStr::new(key);
        let mut waiting = self.waiting.lock();
        waiting.retain(|waiter| !waiter.wake.is_closed());
        waiting.push(Waiter { key, wake });
        woken
    }

    fn wake(&self, key: &str) {
        self.waiting.lock().retain(|waiter| waiter.key != key);
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
            .ok_or_else(|| refused("swap", "the lease has lapsed"))?;
        if matches!(swap, Swap::Applied(_)) {
            self.wake(key);
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
        let woken = self.wait(key);
        if let Some(entry) = self.newer(key, after) {
            return Ok(Some(entry));
        }
        let wait = Duration::from_millis(u64::from(wait_ms));
        let _ = timeout(wait, woken.recv()).await;
        Ok(self.newer(key, after))
    }

    async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, StoreError> {
        Ok(self.table.lock().grant(ttl_ms, self.clock.now_us()))
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        if self.table.lock().renew(lease, self.clock.now_us()) {
            return Ok(());
        }
        Err(refused("renew", "the lease has lapsed"))
    }
}

fn refused(step: &'static str, detail: &'static str) -> StoreError {
    StoreError::Refused {
        step,
        peer: PEER,
        detail: SmolStr::new_static(detail),
    }
}
