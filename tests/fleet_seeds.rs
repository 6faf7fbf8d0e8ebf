//! Registration of gossip seeds in a fake store.

use {
    async_std::task,
    async_trait::async_trait,
    parking_lot::Mutex,
    shallotdeal::{
        fleet::seeds::{SEEDS_PER_CENTRE, SeedRegistrar},
        place::DataCentre,
        store::{Entry, LeaseId, Store, StoreError, Swap, Version},
    },
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr},
};

#[derive(Default)]
struct FakeStore {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    entries: BTreeMap<SmolStr, (Entry, LeaseId)>,
    version: u64,
    leases: u64,
    calls: u64,
    is_down: bool,
    /// Whether swaps are applied but reported as uncertain.
    loses_responses: bool,
}

impl FakeStore {
    /// Counts a call; fails while the store is down.
    fn call(&self) -> Result<parking_lot::MutexGuard<'_, State>, StoreError> {
        let mut state = self.state.lock();
        state.calls += 1;
        if state.is_down {
            return Err(StoreError::Unavailable {
                step: "call",
                peer: SmolStr::new("fake"),
                detail: SmolStr::new("down"),
            });
        }
        Ok(state)
    }

    /// Removes the entries of an expired lease.
    fn expire(&self, lease: LeaseId) {
        let entries = &mut self.state.lock().entries;
        entries.retain(|_, (_, held)| *held != lease);
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let state = self.call()?;
        Ok(state.entries.get(key).map(|(entry, _)| entry.clone()))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let state = self.call()?;
        let entries = state.entries.values().map(|(entry, _)| entry);
        let named = entries.filter(|entry| entry.key.starts_with(prefix));
        Ok(named.cloned().collect())
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let mut state = self.call()?;
        let held = state.entries.get(key).map(|(entry, _)| entry.clone());
        if held.as_ref().map_or(Version::ABSENT, |entry| entry.version) != expected {
            return Ok(Swap::Conflict(held));
        }
        state.version += 1;
        let entry = Entry {
            key: SmolStr::new(key),
            version: Version(state.version),
            value,
        };
        let version = entry.version;
        let lease = lease.expect("each entry has a lease");
        state.entries.insert(entry.key.clone(), (entry, lease));
        if state.loses_responses {
            return Err(StoreError::Uncertain {
                step: "swap",
                peer: SmolStr::new("fake"),
                detail: SmolStr::new("response lost"),
            });
        }
        Ok(Swap::Applied(version))
    }

    async fn remove(&self, key: &str, expected: Version) -> Result<Swap, StoreError> {
        let mut state = self.call()?;
        let held = state.entries.get(key).map(|(entry, _)| entry.clone());
        if held.as_ref().map(|entry| entry.version) != Some(expected) {
            return Ok(Swap::Conflict(held));
        }
        state.entries.remove(key);
        Ok(Swap::Applied(expected))
    }

    async fn watch(&self, _: &str, _: Version, _: u32) -> Result<Option<Entry>, StoreError> {
        unreachable!("seeds are not watched")
    }

    async fn grant(&self, _: u32) -> Result<LeaseId, StoreError> {
        let mut state = self.call()?;
        state.leases += 1;
        Ok(LeaseId(state.leases))
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let state = self.call()?;
        if state.entries.values().any(|(_, held)| *held == lease) {
            return Ok(());
        }
        Err(StoreError::Refused {
            step: "renew",
            peer: SmolStr::new("fake"),
            detail: SmolStr::new("expired"),
        })
    }
}

fn daemons(count: u16) -> Vec<SeedRegistrar> {
    (0..count)
        .map(|number| {
            let addr = SocketAddr::from(([10, 0, 0, 1], 10_000 + number));
            SeedRegistrar::new(DataCentre(SmolStr::new("wien")), addr)
        })
        .collect()
}

/// Refreshes all registrars in turn; returns the number of failures.
async fn refresh_all(daemons: &mut [SeedRegistrar], store: &FakeStore) -> usize {
    let live_members = daemons.len();
    let mut failures = 0;
    for (random, daemon) in (0..).zip(daemons) {
        failures += usize::from(daemon.refresh(store, live_members, random).await.is_err());
    }
    failures
}

#[test]
fn few_daemons_hold_entries_and_an_expired_one_is_replaced() {
    task::block_on(async {
        let store = FakeStore::default();
        let mut daemons = daemons(150);
        assert_eq!(refresh_all(&mut daemons, &store).await, 0);
        let holders = |daemons: &[SeedRegistrar]| {
            daemons.iter().filter(|daemon| daemon.holds_entry()).count()
        };
        assert_eq!(holders(&daemons), usize::from(SEEDS_PER_CENTRE));
        let contacts = daemons[0].contacts(&store).await.expect("contacts");
        assert_eq!(contacts.len(), 2);

        store.expire(LeaseId(1));
        refresh_all(&mut daemons, &store).await;
        refresh_all(&mut daemons, &store).await;
        assert_eq!(holders(&daemons), usize::from(SEEDS_PER_CENTRE));
        assert_eq!(store.state.lock().entries.len(), 3);
        for daemon in &mut daemons {
            daemon.release(&store).await.expect("the entry is removed");
        }
        assert!(store.state.lock().entries.is_empty());
    });
}

#[test]
fn refreshes_make_few_store_calls() {
    task::block_on(async {
        let store = FakeStore::default();
        let mut daemons = daemons(150);
        refresh_all(&mut daemons, &store).await;
        store.state.lock().calls = 0;
        refresh_all(&mut daemons, &store).await;
        let calls = store.state.lock().calls;
        assert!(calls <= 12, "{calls} calls by 150 daemons");
    });
}

#[test]
fn entries_stay_unique_after_an_outage_and_lost_responses() {
    task::block_on(async {
        let store = FakeStore::default();
        let mut daemons = daemons(5);
        store.state.lock().is_down = true;
        assert_eq!(refresh_all(&mut daemons, &store).await, 5);
        assert!(daemons[0].contacts(&store).await.is_err());
        store.state.lock().is_down = false;
        store.state.lock().loses_responses = true;
        refresh_all(&mut daemons, &store).await;
        store.state.lock().loses_responses = false;
        refresh_all(&mut daemons, &store).await;
        let entries = &store.state.lock().entries;
        let holders: std::collections::BTreeSet<_> =
            entries.values().map(|(entry, _)| &entry.value).collect();
        assert_eq!((entries.len(), holders.len()), (3, 3));
    });
}
