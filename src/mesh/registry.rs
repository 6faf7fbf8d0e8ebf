//! What lives in the platform's store: the daemon's own leased entry, those of the others, and the
//! configuration.
//!
//! The store tells who exists; the links tell who can be reached. An entry that is gone counts as a
//! hint for a while, since entries lapse when the store is ill, and its daemon puts it back.

use {
    crate::{
        collections::HashMap,
        mesh::{
            Mesh,
            directory::Announcement,
            protocol::{CatalogChange, CatalogEntry, Watched},
            runtime::{now_us, sleep_ms},
        },
        store::{LeaseId, StoreError},
    },
    futures::{channel::oneshot, future::select},
    rand::RngExt,
    smol_str::{SmolStr, format_smolstr},
    std::{cell::RefCell, rc::Rc},
};

/// Prefix of the daemons' entries.
const PREFIX: &str = "daemons/";

/// Lifetime of an entry without renewal: a few renewals may fail before it lapses.
const LEASE_TTL_MS: u64 = 6_000;

/// Interval of renewals, a third of the lifetime.
const RENEW_INTERVAL_MS: u64 = 2_000;

/// Wait after a failed call, doubled up to the second figure; entries have to be back two seconds
/// after the store is.
const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 600;

/// Longest wait for a change; a dead connection is noticed by its keep-alive probes.
const WATCH_WAIT_MS: u64 = 25_000;

/// Time for which a vanished entry is kept, as its daemon may put it back: the platform allows two
/// seconds after an outage, and a half for the way.
const MISSING_GRACE_US: u64 = 2_500_000;

/// Interval at which vanished entries are looked at.
const SWEEP_INTERVAL_MS: u64 = 500;

/// Silence of a link below which its daemon certainly lives.
const LINK_ALIVE_US: u64 = 1_500_000;

/// State of the daemon's share in the store.
#[derive(Debug, Default)]
pub struct Registry {
    missing_since_us: RefCell<HashMap<SmolStr, u64>>,
    wake: RefCell<Option<oneshot::Sender<()>>>,
    store_ok_us: std::cell::Cell<u64>,
    is_store_lost: std::cell::Cell<bool>,
}

impl Registry {
    /// Has the own entry written again.
    pub fn wake(&self) {
        if let Some(wake) = self.wake.borrow_mut().take() {
            // A task that is at work looks for news before it waits again.
            let _ = wake.send(());
        }
    }

    fn reached(&self) {
        self.store_ok_us.set(now_us());
        if self.is_store_lost.replace(false) {
            tracing::info!("store regained");
        }
    }

    fn failed(&self, error: &StoreError) {
        if !self.is_store_lost.replace(true) {
            tracing::warn!(%error, "store lost");
        }
    }
}

/// Backoff between failed calls.
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

/// Keeps the own entry in the store.
pub async fn keep_entry(mesh: Rc<Mesh>) {
    let mut backoff = Backoff::new();
    let mut lease: Option<LeaseId> = None;
    let mut written: Option<Announcement> = None;
    loop {
        let (sender, receiver) = oneshot::channel();
        *mesh.registry.wake.borrow_mut() = Some(sender);
        match refresh(&mesh, &mut lease, &mut written).await {
            Ok(()) => {
                mesh.registry.reached();
                backoff = Backoff::new();
                select(receiver, std::pin::pin!(sleep_ms(RENEW_INTERVAL_MS))).await;
            }
            Err(error) => {
                mesh.registry.failed(&error);
                backoff.wait(&mesh).await;
            }
        }
    }
}

async fn refresh(
    mesh: &Mesh,
    lease: &mut Option<LeaseId>,
    written: &mut Option<Announcement>,
) -> Result<(), StoreError> {
    let own = mesh.own_announcement();
    let held = if let Some(held) = *lease {
        held
    } else {
        let granted = mesh
            .catalog
            .grant(LEASE_TTL_MS.max(mesh.settings.lease_min_ms))
            .await?;
        *lease = Some(granted);
        *written = None;
        granted
    };
    if written.as_ref() == Some(&own) && !mesh.is_entry_missing.replace(false) {
        if !mesh.catalog.renew(held).await? {
            tracing::warn!("own entry lapsed");
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
    let key = format!("{PREFIX}{}", own.vm);
    if mesh.catalog.put(&key, &value, held).await? {
        *written = Some(own);
    } else {
        *lease = None;
        mesh.registry.wake();
    }
    Ok(())
}

/// Follows the entries of all daemons.
pub async fn follow_entries(mesh: Rc<Mesh>) {
    let listed = |entries| {
        mesh.take_listing(entries);
        mesh.is_directory_known.set(true);
    };
    follow(&mesh, PREFIX, listed, |change| mesh.take_change(change)).await;
}

/// Follows the configuration.
pub async fn follow_config(mesh: Rc<Mesh>) {
    let key = mesh.protocol.config_key();
    let take = |entry: CatalogEntry| {
        if entry.key == key {
            mesh.take_config(&entry.value, "store");
        }
    };
    let listed = |entries: Vec<CatalogEntry>| entries.into_iter().for_each(take);
    let changed = |change| match change {
        CatalogChange::Put(entry) => take(entry),
        CatalogChange::Removed(key) => {
            tracing::warn!(%key, "configuration removed from the store, kept here");
        }
    };
    follow(&mesh, key, listed, changed).await;
}

/// Lists what is below a prefix, and follows its changes; lists again when the store no longer has
/// the history.
async fn follow(
    mesh: &Mesh,
    prefix: &str,
    listed: impl Fn(Vec<CatalogEntry>),
    changed: impl Fn(CatalogChange),
) {
    let mut backoff = Backoff::new();
    let mut revision = None;
    loop {
        match follow_once(mesh, prefix, &mut revision, &listed, &changed).await {
            Ok(()) => {
                mesh.registry.reached();
                backoff = Backoff::new();
            }
            Err(error) => {
                mesh.registry.failed(&error);
                backoff.wait(mesh).await;
            }
        }
    }
}

async fn follow_once(
    mesh: &Mesh,
    prefix: &str,
    revision: &mut Option<u64>,
    listed: &impl Fn(Vec<CatalogEntry>),
    changed: &impl Fn(CatalogChange),
) -> Result<(), StoreError> {
    let Some(after) = *revision else {
        let (entries, at) = mesh.catalog.list(prefix).await?;
        *revision = Some(at);
        listed(entries);
        return Ok(());
    };
    match mesh.catalog.watch(prefix, after, WATCH_WAIT_MS).await? {
        Watched::Compacted => *revision = None,
        Watched::Changes {
            changes,
            revision: next,
        } => {
            *revision = Some(next);
            changes.into_iter().for_each(changed);
        }
    }
    Ok(())
}

/// Takes daemons out whose entries stay away.
pub async fn sweep(mesh: Rc<Mesh>) {
    loop {
        sleep_ms(SWEEP_INTERVAL_MS).await;
        mesh.sweep_missing(now_us());
        mesh.pool.sweep(now_us());
    }
}

impl Mesh {
    fn take_listing(&self, entries: Vec<CatalogEntry>) {
        let mut listed: Vec<SmolStr> = Vec::with_capacity(entries.len());
        for entry in entries {
            if let Some(vm) = entry.key.strip_prefix(PREFIX) {
                listed.push(vm.into());
            }
            self.take_change(CatalogChange::Put(entry));
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
                self.vanished(vm);
            }
        }
    }

    fn take_change(&self, change: CatalogChange) {
        match change {
            CatalogChange::Put(entry) => match serde_json::from_slice(&entry.value) {
                Ok(announcement) => {
                    let announcement: Announcement = announcement;
                    self.registry
                        .missing_since_us
                        .borrow_mut()
                        .remove(&announcement.vm);
                    self.learn(announcement, "store");
                }
                Err(error) => {
                    self.metrics.count("store.bad_entry");
                    tracing::warn!(key = %entry.key, %error, "unreadable entry ignored");
                }
            },
            CatalogChange::Removed(key) => {
                if let Some(vm) = key.strip_prefix(PREFIX) {
                    self.vanished(vm.into());
                }
            }
        }
    }

    fn vanished(&self, vm: SmolStr) {
        if vm == self.settings.name {
            self.is_entry_missing.set(true);
            self.registry.wake();
            return;
        }
        self.registry
            .missing_since_us
            .borrow_mut()
            .entry(vm)
            .or_insert_with(now_us);
    }

    fn sweep_missing(&self, now_us: u64) {
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
                tracing::info!(%vm, "daemon gone");
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
        let silent_us = links.get(&addr).and_then(|link| link.silent_us(now_us));
        silent_us.is_some_and(|silent_us| silent_us < LINK_ALIVE_US)
    }
}
