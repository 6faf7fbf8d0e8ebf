//! Gossip seeds registered in the store: a few leased entries per data centre.
//!
//! They only determine how soon a daemon that knows no other member finds the fleet.

use {
    crate::{
        place::DataCentre,
        store::{LeaseId, Store, StoreError, Swap, Version},
    },
    smol_str::{SmolStr, format_smolstr},
    std::net::SocketAddr,
};

/// Maximum number of seed entries of one data centre.
pub const SEEDS_PER_CENTRE: u8 = 3;

/// Time to live of an entry that its holder does not renew.
pub const SEED_TTL_MS: u32 = 180_000;

/// Interval at which one daemon refreshes its entry or looks for a free one.
pub const SEED_INTERVAL_MS: u32 = 60_000;

const KEY_PREFIX: &str = "seeds/";

/// Registers one daemon as a seed and reads the seeds of all data centres.
#[derive(Debug)]
pub struct SeedRegistrar {
    data_centre: DataCentre,
    own_addr: SocketAddr,
    held: Option<HeldEntry>,
}

/// Entry held by this daemon.
#[derive(Debug)]
struct HeldEntry {
    key: SmolStr,
    version: Version,
    lease: LeaseId,
}

impl SeedRegistrar {
    /// Creates a registrar that holds no entry; `own_addr` is this daemon's gossip address.
    pub fn new(data_centre: DataCentre, own_addr: SocketAddr) -> Self {
        Self {
            data_centre,
            own_addr,
            held: None,
        }
    }

    /// Reads the seed addresses of all data centres, without this daemon's own.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read.
    pub async fn contacts(&self, store: &dyn Store) -> Result<Vec<SocketAddr>, StoreError> {
        let entries = store.list(KEY_PREFIX).await?;
        let addrs = entries.iter().filter_map(|entry| parse(&entry.value));
        Ok(addrs.filter(|addr| *addr != self.own_addr).collect())
    }

    /// Renews the held entry, or tries to claim a free one.
    ///
    /// To limit the load on the store, a daemon without an entry looks for a free one only with a
    /// probability of `2 * SEEDS_PER_CENTRE / live_members`; `random` is a uniform random number.
    ///
    /// # Errors
    ///
    /// Fails if the store fails while an entry is being claimed.
    pub async fn refresh(
        &mut self,
        store: &dyn Store,
        live_members: usize,
        random: u64,
    ) -> Result<(), StoreError> {
        if let Some(held) = &self.held {
            if store.renew(held.lease).await.is_ok() {
                return Ok(());
            }
            self.held = None;
        }
        let chances = u64::from(SEEDS_PER_CENTRE) * 2;
        if random % (live_members as u64).max(1) < chances {
            self.claim_free_entry(store).await?;
        }
        Ok(())
    }

    /// Removes the held entry when the daemon leaves.
    ///
    /// # Errors
    ///
    /// Fails if the call to the store fails.
    pub async fn release(&mut self, store: &dyn Store) -> Result<(), StoreError> {
        if let Some(held) = self.held.take() {
            store.remove(&held.key, held.version).await?;
        }
        Ok(())
    }

    /// Returns whether this daemon holds an entry, as far as it knows.
    pub fn holds_entry(&self) -> bool {
        self.held.is_some()
    }

    async fn claim_free_entry(&mut self, store: &dyn Store) -> Result<(), StoreError> {
        let prefix = format_smolstr!("{KEY_PREFIX}{}/", self.data_centre);
        let entries = store.list(&prefix).await?;
        let keys = (0..SEEDS_PER_CENTRE).map(|number| format_smolstr!("{prefix}{number}"));
        let is_taken = |key: &SmolStr| entries.iter().any(|entry| entry.key == *key);
        let is_registered = entries
            .iter()
            .any(|entry| parse(&entry.value) == Some(self.own_addr));
        let Some(key) = keys.into_iter().find(|key| !is_taken(key)) else {
            return Ok(());
        };
        if is_registered {
            return Ok(());
        }
        let lease = store.grant(SEED_TTL_MS).await?;
        let value = self.own_addr.to_string().into_bytes();
        let swap = store
            .swap(&key, Version::ABSENT, value, Some(lease))
            .await?;
        if let Swap::Applied(version) = swap {
            self.held = Some(HeldEntry {
                key,
                version,
                lease,
            });
        }
        Ok(())
    }
}

fn parse(value: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
