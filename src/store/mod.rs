//! Interface to the platform's key-value service: compare-and-swap, leases and watches.
//!
//! A write whose response is lost yields [`StoreError::Uncertain`], since it may have taken effect.

pub mod http;
pub mod memory;
pub mod table;
pub mod wire;

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    smol_str::SmolStr,
};

/// Version of one key; increases with each write. Zero means that the key does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Display)]
pub struct Version(pub u64);

impl Version {
    /// Version of a key that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// Identifier of a lease granted by the store.
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

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect and produced this version.
    Applied(Version),
    /// The expected version did not match and nothing was written; holds the current entry.
    Conflict(Option<Entry>),
}

/// Failure of a store call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum StoreError {
    /// The call had no effect.
    #[display("{step}: store {peer} is unavailable: {detail}")]
    Unavailable {
        /// Call that failed.
        step: &'static str,
        /// Address of the store.
        peer: SmolStr,
        /// Cause.
        detail: SmolStr,
    },
    /// The call may have taken effect.
    #[display("{step}: no answer from store {peer}, the call may have taken effect: {detail}")]
    Uncertain {
        /// Call that failed.
        step: &'static str,
        /// Address of the store.
        peer: SmolStr,
        /// Cause.
        detail: SmolStr,
    },
    /// The store refused the call; repeating it would not help.
    #[display("{step}: store {peer} refused: {detail}")]
    Refused {
        /// Call that failed.
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

    /// Writes `value` if the key has the version `expected`. If a lease is given, the key is
    /// removed when that lease expires.
    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError>;

    /// Removes the key if it has the version `expected`.
    async fn remove(&self, key: &str, expected: Version) -> Result<Swap, StoreError>;

    /// Waits until the key has a newer version than `after`; `None` if it has not after `wait_ms`.
    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait_ms: u32,
    ) -> Result<Option<Entry>, StoreError>;

    /// Grants a lease that expires `ttl_ms` after its last renewal.
    async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, StoreError>;

    /// Renews a lease; the store refuses this if it has expired.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError>;
}
