//! The platform's key-value service, as this project sees it.
//!
//! Compare-and-swap, leases and watches; everything else is left to adapters. A write whose answer
//! is lost yields [`StoreError::Uncertain`]: it may have taken effect.

pub mod http;
pub mod memory;
pub mod table;
pub mod wire;

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    smol_str::SmolStr,
};

/// Version of one key; grows with each write to it. Zero means that the key does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Display)]
pub struct Version(pub u64);

impl Version {
    /// Version of a key that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// Handle of a lease granted by the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display)]
pub struct LeaseId(pub u64);

/// Value of a key at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key that holds the value.
    pub key: SmolStr,
    /// Version of the value.
    pub version: Version,
    /// Value, at most one megabyte.
    pub value: Vec<u8>,
}

/// Answer to a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect at this version.
    Applied(Version),
    /// The expected version did not match; nothing was written. Carries the present entry.
    Conflict(Option<Entry>),
}

/// Failure of a store call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum StoreError {
    /// The call had no effect.
    #[display("{step}: store {peer} is unavailable: {detail}")]
    Unavailable {
        /// Step that failed.
        step: &'static str,
        /// Address of the store.
        peer: SmolStr,
        /// Cause.
        detail: SmolStr,
    },
    /// The call may have taken effect.
    #[display("{step}: no answer from store {peer}, the call may have taken effect: {detail}")]
    Uncertain {
        /// Step that failed.
        step: &'static str,
        /// Address of the store.
        peer: SmolStr,
        /// Cause.
        detail: SmolStr,
    },
    /// The store refused the call, and would refuse it again.
    #[display("{step}: store {peer} refused: {detail}")]
    Refused {
        /// Step that failed.
        step: &'static str,
        /// Address of the store.
        peer: SmolStr,
        /// Cause.
        detail: SmolStr,
    },
}

/// The platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Reads all keys that begin with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError>;

    /// Writes `value` if the key is at `expected`; the key goes away with `lease`, if given.
    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError>;

    /// Removes the key if it is at `expected`.
    async fn remove(&self, key: &str, expected: Version) -> Result<Swap, StoreError>;

    /// Waits until the key is newer than `after`, at most `wait_ms`; `None` if it is not by then.
    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait_ms: u32,
    ) -> Result<Option<Entry>, StoreError>;

    /// Grants a lease that lapses `ttl_ms` after its last renewal.
    async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, StoreError>;

    /// Renews a lease.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError>;
}
