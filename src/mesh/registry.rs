//! Synchronisation with the platform's store: the daemon's own leased entry, the entries of the
//! other daemons, and the configuration.
//!
//! The store lists the daemons that exist; the links show which of them are reachable. Entries
//! expire during an outage of the store, and their daemons write them again. A daemon is therefore
//! removed only if its entry stays missing for a grace period.

use {
    crate::{
        collections::HashMap,
        mesh::{
            Mesh,
            directory::Announcement,
            protocol::{StoreChange, StoreEntry, WatchResult},
            runtime::{now_us, sleep_ms},
        },
        store::{LeaseId, StoreError},
    },
    futures::{channel::oneshot, future::select},
    rand::RngExt,
    smol_str::{SmolStr, format_smolstr},
    std::{cell::RefCell, rc::Rc},
};

/// Key prefix of the daemons' entries.
const DAEMONS_PREFIX: &str = "daemons/";

/// Lifetime of an entry without renewal; a few renewals may fail before it expires.
const LEASE_TTL_MS: u64 = 6_000;

/// Interval of lease renewals, a third of the lifetime.
const RENEW_INTERVAL_MS: u64 = 2_000;

/// Delay after a failed call, doubled after each further failure.
const BACKOFF_MIN_MS: u64 = 100;

/// Longest delay after a failed call; entries have to be back within two seconds after an outage of
/// the store.
const BACKOFF_MAX_MS: u64 = 600;

/// Longest wait of one watch call; a dead connection is detected by its keep-alive probes.
const WATCH_TIMEOUT_MS: u64 = 25_000;

/// Grace period before a daemon with a missing entry is removed: the platform allows two seconds to
/// write the entry again after an outage, and half a second is added for its propagation.
const MISSING_GRACE_US: u64 = 2_500_000;

/// Interval of the check for missing entries.
const SWEEP_INTERVAL_MS: u64 = 500;

/// Silence on a link below which the daemon at its other end counts as alive.
const LINK_ALIVE_MAX_SILENCE_US: u64 = 1_500_000;

/// State of the synchronisation with the store.
#[derive(Debug, Default)]
pub struct Registry {
    missing_since_us: RefCell<HashMap<SmolStr, u64>>,
    wake: RefCell<Option<oneshot::Sender<()>>>,
    last_store_success_us: std::cell::Cell<u64>,
    is_store_lost: std::cell::Cell<bool>,
}

impl Registry {
    /// Wakes the task that maintains this daemon's entry, so that it writes changes at once.
    pub fn wake(&self) {
        if let Some(wake) = self.wake.borrow_mut().take() {
            // A running task checks for changes before it waits again.
            let _ = wake.send(());
        }
    }

    fn record_success(&self) {
        self.last_store_success_us.set(now_us());
        if self.is_store_lost.replace(false) {
            tracing::info!("store regained");
        }
    }

    fn record_failure(&self, error: &StoreError) {
        if !self.is_store_lost.replace(true) {
            tracing::warn!(%error, "store lost");
        }
    }
}

/// Exponential backoff with jitter between failed calls.
struct Backoff(u64);

impl Backoff {
    fn new() -> Self {
        Self(BACKOFF_MIN_MS)
    }

    async fn wait(&mut self, mesh: &Mesh) {
        let jitter = mesh.rng.borrow_mut().random_range(0.75..1.25);
        sleep_ms((self.0 as f64 * jitter) as u64).await;
        self.0 = (self.0 * 2).min(BACKOFF_MAX_MS);
    }
}

/// Maintains this daemon's entry in the store.
pub async fn maintain_entry(mesh: Rc<Mesh>) {
    let mut backoff = Backoff::new();
    let mut lease: Option<LeaseId> = None;
    let mut written: Option<Announcement> = None;
    loop {
        let (sender, receiver) = oneshot::channel();
        *mesh.registry.wake.borrow_mut() = Some(sender);
        match refresh(&mesh, &mut lease, &mut written).await {
            Ok(()) => {
                mesh.registry.record_success();
                backoff = Backoff::new();
                select(receiver, std::pin::pin!(sleep_ms(RENEW_INTERVAL_MS))).await;
            }
            Err(error) => {
                mesh.registry.record_failure(&error);
                backoff.wait(&mesh).await;
            }
        }
    }
}

/// Renews the lease of this daemon's entry, or writes the entry if it is new, changed or missing.
async fn refresh(
    mesh: &Mesh,
    lease: &mut Option<LeaseId>,
    written: &mut Option<Announcement>,
) -> Result<(), StoreError> {
    let own = mesh.own_announcement();
    let current_lease = if let Some(current_lease) = *lease {
        current_lease
    } else {
        let granted = mesh
            .store
            .grant(LEASE_TTL_MS.max(mesh.settings.lease_min_ms))
            .await?;
        *lease = Some(granted);
        *written = None;
        granted
    };
    if written.as_ref() == Some(&own) && !mesh.is_own_entry_missing.replace(false) {
        if !mesh.store.renew(current_lease).await? {
            tracing::warn!("own entry expired");
            *lease = None;
            mesh.registry.wake();
        }
        return Ok(());
    }
    let value = serde_json::to_vec(&own).map_err(|error| StoreError::Refused {
        step: "encode own entry",
        peer: SmolStr::new_static("store"),
        detail: format_smolstr!("{error}"),
    })?;
    let key = format!("{DAEMONS_PREFIX}{}", own.vm);
    if mesh.store.put(&key, &value, current_lease).await? {
        *written = Some(own);
    } else {
        *lease = None;
        mesh.registry.wake();
    }
    Ok(())
}

/// Watches the entries of all daemons.
pub async fn watch_entries(mesh: Rc<Mesh>) {
    let listed = |entries| {
        mesh.apply_listing(entries);
        mesh.is_directory_loaded.set(true);
    };
    watch(&mesh, DAEMONS_PREFIX, listed, |change| {
        mesh.apply_change(change);
    })
    .await;
}

/// Watches the configuration.
pub async fn watch_config(mesh: Rc<Mesh>) {
    let key = mesh.protocol.config_key();
    let apply = |entry: StoreEntry| {
        if entry.key == key {
            mesh.apply_config(&entry.value, "store");
        }
    };
    let listed = |entries: Vec<StoreEntry>| entries.into_iter().for_each(apply);
    let changed = |change| match change {
        StoreChange::Put(entry) => apply(entry),
        StoreChange::Removed(key) => {
            tracing::warn!(%key,
                "configuration removed from the store; the version in force is kept");
        }
    };
    watch(&mesh, key, listed, changed).await;
}

/// Lists the entries below a prefix and watches their changes. Lists them again if the store has
/// compacted its history.
async fn watch(
    mesh: &Mesh,
    prefix: &str,
    listed: impl Fn(Vec<StoreEntry>),
    changed: impl Fn(StoreChange),
) {
    let mut backoff = Backoff::new();
    let mut revision = None;
    loop {
        match watch_once(mesh, prefix, &mut revision, &listed, &changed).await {
            Ok(()) => {
                mesh.registry.record_success();
                backoff = Backoff::new();
            }
            Err(error) => {
                mesh.registry.record_failure(&error);
                backoff.wait(mesh).await;
            }
        }
    }
}

async fn watch_once(
    mesh: &Mesh,
    prefix: &str,
    revision: &mut Option<u64>,
    listed: &impl Fn(Vec<StoreEntry>),
    changed: &impl Fn(StoreChange),
) -> Result<(), StoreError> {
    let Some(after) = *revision else {
        let (entries, at) = mesh.store.list(prefix).await?;
        *revision = Some(at);
        listed(entries);
        return Ok(());
    };
    match mesh.store.watch(prefix, after, WATCH_TIMEOUT_MS).await? {
        WatchResult::Compacted => *revision = None,
        WatchResult::Changes {
            changes,
            revision: next,
        } => {
            *revision = Some(next);
            changes.into_iter().for_each(changed);
        }
    }
    Ok(())
}

/// Removes daemons whose entries stay missing, and closes expired idle connections to the worker.
pub async fn sweep(mesh: Rc<Mesh>) {
    loop {
        sleep_ms(SWEEP_INTERVAL_MS).await;
        mesh.remove_missing_daemons(now_us());
        mesh.pool.sweep(now_us());
    }
}

impl Mesh {
    fn apply_listing(&self, entries: Vec<StoreEntry>) {
        let mut listed: Vec<SmolStr> = Vec::with_capacity(entries.len());
        for entry in entries {
            if let Some(vm) = entry.key.strip_prefix(DAEMONS_PREFIX) {
                listed.push(vm.into());
            }
            self.apply_change(StoreChange::Put(entry));
        }
        let known: Vec<SmolStr> = {
            let directory = self.directory.borrow();
            directory
                .announcements()
                .map(|known| known.vm.clone())
                .collect()
        };
        for vm in known {
            if !listed.contains(&vm) {
                self.handle_missing_entry(vm);
            }
        }
    }

    fn apply_change(&self, change: StoreChange) {
        match change {
            StoreChange::Put(entry) => match serde_json::from_slice(&entry.value) {
                Ok(announcement) => {
                    let announcement: Announcement = announcement;
                    self.registry
                        .missing_since_us
                        .borrow_mut()
                        .remove(&announcement.vm);
                    self.apply_announcement(announcement, "store");
                }
                Err(error) => {
                    self.metrics.count("store.bad_entry");
                    tracing::warn!(key = %entry.key, %error, "malformed entry ignored");
                }
            },
            StoreChange::Removed(key) => {
                if let Some(vm) = key.strip_prefix(DAEMONS_PREFIX) {
                    self.handle_missing_entry(vm.into());
                }
            }
        }
    }

    fn handle_missing_entry(&self, vm: SmolStr) {
        if vm == self.settings.name {
            self.is_own_entry_missing.set(true);
            self.registry.wake();
            return;
        }
        self.registry
            .missing_since_us
            .borrow_mut()
            .entry(vm)
            .or_insert_with(now_us);
    }

    fn remove_missing_daemons(&self, now_us: u64) {
        let mut missing = self.registry.missing_since_us.borrow_mut();
        if missing.is_empty() || self.registry.is_store_lost.get() {
            return;
        }
        missing.retain(|vm, since_us| {
            if now_us.saturating_sub(*since_us) < MISSING_GRACE_US {
                return true;
            }
            if self.is_link_alive(vm, now_us) {
                return true;
            }
            if self.directory.borrow_mut().remove(vm) {
                tracing::info!(%vm, "daemon removed");
            }
            false
        });
    }

    fn is_link_alive(&self, vm: &str, now_us: u64) -> bool {
        let addr = {
            let directory = self.directory.borrow();
            directory
                .announcements()
                .find(|known| known.vm == vm)
                .map(|known| known.addr)
        };
        let Some(addr) = addr else {
            return false;
        };
        let links = self.links.borrow();
        let silence_us = links.get(&addr).and_then(|link| link.silence_us(now_us));
        silence_us.is_some_and(|silence_us| silence_us < LINK_ALIVE_MAX_SILENCE_US)
    }
}
