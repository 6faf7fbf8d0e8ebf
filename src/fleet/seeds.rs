//! First contacts kept in the platform's store: a few leased entries per data centre.
//!
//! Nothing rests on them but how soon a daemon that knows nobody finds the fleet.

use {
    crate::{
        place::DataCentre,
        store::{LeaseId, Store, StoreError, Swap, Version},
    },
    smol_str::{SmolStr, format_smolstr},
    std::net::SocketAddr,
};

/// Entries of one data centre.
pub const SEEDS_PER_CENTRE: u8 = 3;

/// Time after which an entry goes away if its holder does not renew it.
pub const SEED_TTL_MS: u32 = 180_000;

/// Time between two visits of the store by one daemon.
pub const SEED_INTERVAL_MS: u32 = 60_000;

const PREFIX: &str = "seeds/";

/// One daemon's part in keeping the entries.
#[derive(Debug)]
pub struct Seeds {
    data_centre: DataCentre,
    own: SocketAddr,
    held: Option<Held>,
}

#[derive(Debug)]
struct Held {
    key: SmolStr,
    version: Version,
    lease: LeaseId,
}

impl Seeds {
    /// Creates the part of a daemon that holds no entry.
    pub fn new(data_centre: DataCentre, own: SocketAddr) -> Self {
        Self {
            data_centre,
            own,
            held: None,
        }
    }

    /// Reads the contacts of all data centres.
    pub async fn contacts(&self, store: &dyn Store) -> Result<Vec<SocketAddr>, StoreError> {
        let entries = store.list(PREFIX).await?;
        let addrs = entries.iter().filter_map(|entry| parse(&entry.value));
        Ok(addrs.filter(|addr| *addr != self.own).collect())
    }

    /// Renews the own entry, or takes a free one.
    ///
    /// `live_members` spreads the visits: each daemon without an entry looks only with a chance of
    /// a few in that number, which `draw` decides.
    pub async fn visit(
        &mut self,
        store: &dyn Store,
        live_members: usize,
        draw: u64,
    ) -> Result<(), StoreError> {
        if let Some(held) = &self.held {
            if store.renew(held.lease).await.is_ok() {
                return Ok(());
            }
            self.held = None;
        }
        let chance = u64::from(SEEDS_PER_CENTRE) * 2;
        if draw % (live_members as u64).max(1) < chance {
            self.take_free(store).await?;
        }
        Ok(())
    }

    /// Removes the own entry, when the daemon leaves.
    pub async fn release(&mut self, store: &dyn Store) -> Result<(), StoreError> {
        if let Some(held) = self.held.take() {
            store.remove(&held.key, held.version).await?;
        }
        Ok(())
    }

    /// Tells whether this daemon holds an entry, as far as it knows.
    pub fn holds(&self) -> bool {
        self.held.is_some()
    }

    async fn take_free(&mut self, store: &dyn Store) -> Result<(), StoreError> {
        let prefix = format_smolstr!("{PREFIX}{}/", self.data_centre);
        let taken = store.list(&prefix).await?;
        let keys = (0..SEEDS_PER_CENTRE).map(|number| format_smolstr!("{prefix}{number}"));
        let is_taken = |key: &SmolStr| taken.iter().any(|entry| entry.key == *key);
        let is_ours = taken
            .iter()
            .any(|entry| parse(&entry.value) == Some(self.own));
        let Some(key) = keys.into_iter().find(|key| !is_taken(key)) else {
            return Ok(());
        };
        if is_ours {
            return Ok(());
        }
        let lease = store.grant(SEED_TTL_MS).await?;
        let value = self.own.to_string().into_bytes();
        let swap = store
            .swap(&key, Version::ABSENT, value, Some(lease))
            .await?;
        if let Swap::Applied(version) = swap {
            self.held = Some(Held {
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
