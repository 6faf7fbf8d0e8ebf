//! Synchronisation with the platform's store: the daemon's own leased entry, the entries of other
//! daemons as first contacts, and the configuration.
//!
//! The number of calls does not depend on the size of the fleet. A started daemon reads one page of
//! entries, which begins with its own; the other members come from gossip. It reads a page again
//! while it knows few members, at long intervals, and after the store has come back from an older
//! copy. This joins parts of the fleet that do not know each other. While the store is lost, mostly
//! one task calls it.
//!
//! The watch of the configuration waits for up to half a minute, and nothing shows meanwhile whether
//! the store knows of it. A store that falls silent takes calls and never answers them. A renewal of
//! the lease therefore follows each long watch: the two arrive within a short time of each other, so
//! that a silence which takes the watch also takes the renewal. Any call without an answer ends the
//! watch, as the answer to the watch may have been lost too.

use {
    crate::{
        logs::STATE,
        mesh::{
            ConfigSource, Mesh,
            cursor::{ConfigCursor, NextCall},
            entry::{self, Entry},
            era::{EraCheck, EraTracker},
            protocol::{Answered, Freshness, StoreChange, StoreEntry, StoreResult, WatchResult},
            runtime::{now_us, sleep_ms, sleep_until, within},
        },
        store::{LeaseId, StoreError},
    },
    event_listener::Event,
    futures::future::{Either, select},
    rand::RngExt,
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::{
        cell::{Cell, RefCell},
        pin::pin,
        rc::Rc,
    },
};

/// Lifetime of an entry without renewal; two renewals may fail before it expires.
const LEASE_TTL_MS: u64 = 15_000;

/// Longest mean interval of lease renewals, a third of the lifetime. A changed record of this daemon
/// is written with the next renewal.
const RENEW_MAX_MS: u64 = 5_000;

/// Shortest mean interval of lease renewals.
const RENEW_MIN_MS: u64 = 1_500;

/// Time before a due renewal within which an earlier one replaces it.
const RENEW_EARLY_MS: u64 = 1_000;

/// Mean interval between the renewals of a small fleet, so that some daemon notices a short silence
/// of the store.
const FLEET_RENEW_MS: u64 = 300;

/// Delay after a failed call, doubled after each further failure.
const BACKOFF_MIN_MS: u64 = 100;

/// Longest delay after a failed call; entries have to be back within two seconds after an outage of
/// the store.
const BACKOFF_MAX_MS: u64 = 600;

/// Longest delay of a failed call while the watch of the configuration fails too.
const LOST_RETRY_MS: u64 = 2_000;

/// Mean interval between listings.
const LISTING_INTERVAL_MS: u64 = 300_000;

/// Interval between the first listings while few members are known, as after a start of the whole
/// fleet; doubled after each one.
const FEW_LISTING_MS: u64 = 2_000;

/// Wait of a watch up to which it is not confirmed, as it ends soon in any case.
const SHORT_WAIT_MS: u64 = 2_000;

/// Mean number of daemons of the fleet that confirm a watch by a renewal. The others of a larger fleet
/// learn from their gossip that they are behind.
const CONFIRMING_DAEMONS: usize = 200;

/// Number of live members, this daemon included, that count as few.
const FEW_MEMBERS: usize = 3;

/// Number of entries in a page that are enough to join the fleet.
const MIN_CONTACTS: usize = 32;

/// Interval at which expired idle connections to the worker are closed.
const SWEEP_INTERVAL_MS: u64 = 500;

/// State of the synchronisation with the store.
#[derive(Debug, Default)]
pub struct Registry {
    /// Notified when this daemon's departures have changed or its entry may be missing.
    entry_stale: Event,
    /// Notified when entries have to be listed again.
    listing_due: Event,
    /// Notified when the watch of the configuration succeeds again.
    regained: Event,
    is_watch_failing: Cell<bool>,
    /// Notified when the watch of the configuration has to be given up for a read.
    watch_outdated: Event,
    /// Whether a watch of the configuration waits for its answer.
    is_watch_waiting: Cell<bool>,
    /// Number of times that the store has come back from an older copy.
    rises: Cell<u64>,
    era: RefCell<EraTracker>,
    has_logged_era: Cell<bool>,
    is_store_lost: Cell<bool>,
}

impl Registry {
    /// Wakes the task that maintains this daemon's entry, so that it writes departures at once.
    pub fn wake(&self) {
        self.entry_stale.notify(usize::MAX);
    }

    /// Replaces a waiting watch of the configuration by a read, as it may be lost.
    pub fn replace_watch(&self, cause: &'static str) {
        if self.is_watch_waiting.replace(false) {
            tracing::info!(target: STATE,
                cause,
                "watch of the configuration may be lost; newest version is read"
            );
            self.watch_outdated.notify(usize::MAX);
        }
    }

    /// Takes the value of an answer and compares its era with the newest one.
    ///
    /// # Errors
    ///
    /// Fails if the call failed, or if its answer is of an earlier era than another one.
    fn accept<T>(&self, step: &'static str, answered: StoreResult<T>) -> Result<T, StoreError> {
        let Answered { value, era } = answered.inspect_err(|error| self.record_failure(error))?;
        match self.era.borrow_mut().check(era.as_deref()) {
            EraCheck::Current => {}
            EraCheck::Risen { from, to } => {
                tracing::warn!(target: STATE, %from, %to, "store has come back from an older copy; \
                    own entry is written and all entries are read again");
                self.rises.set(self.rises.get() + 1);
                self.watch_outdated.notify(usize::MAX);
                self.wake();
                self.listing_due.notify(usize::MAX);
            }
            EraCheck::Outdated { newest, found } => {
                tracing::warn!(step, %newest, %found, "answer of an earlier era of the store ignored");
                return Err(StoreError::Uncertain {
                    step,
                    peer: SmolStr::new_static("store"),
                    detail: format_smolstr!("answer of era {found}, newest is {newest}"),
                });
            }
            EraCheck::Unreadable { newest, found } => {
                if !self.has_logged_era.replace(true) {
                    let newest = newest.map(|era| era.to_smolstr());
                    tracing::warn!(
                        step,
                        ?newest,
                        ?found,
                        "store states no legible era; its answers count as current"
                    );
                }
            }
        }
        if self.is_store_lost.replace(false) {
            tracing::info!(target: STATE, "store regained");
            self.wake();
        }
        Ok(value)
    }

    /// Waits while the watch of the configuration fails, which shows whether the store answers; at
    /// most [`LOST_RETRY_MS`].
    async fn wait_regained(&self) {
        let regained = self.regained.listen();
        if self.is_watch_failing.get() {
            select(regained, pin!(sleep_ms(LOST_RETRY_MS))).await;
        }
    }

    fn record_watch(&self, has_failed: bool) {
        if self.is_watch_failing.replace(has_failed) && !has_failed {
            self.regained.notify(usize::MAX);
        }
    }

    fn record_failure(&self, error: &StoreError) {
        if !self.is_store_lost.replace(true) {
            tracing::warn!(target: STATE, %error, "store lost");
        }
        if matches!(error, StoreError::Uncertain { .. }) {
            self.replace_watch("another call got no answer");
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

/// This daemon's entry in the store, as far as it is known.
#[derive(Debug, Default)]
struct OwnEntry {
    /// Number of times that the store had come back from an older copy.
    rises: u64,
    lease: Option<LeaseId>,
    written: Option<Entry>,
}

/// Maintains this daemon's entry, from the first listing on: that one reads the departures which
/// the previous daemon of the VM has acknowledged.
pub async fn maintain_entry(mesh: Rc<Mesh>) {
    let mut backoff = Backoff::new();
    while let Err(error) = list(&mesh, Freshness::Latest).await {
        tracing::debug!(%error, "listing the entries failed");
        mesh.registry.wait_regained().await;
        backoff.wait(&mesh).await;
    }
    let mut own = OwnEntry::default();
    let mut renewal_due_us = 0;
    backoff = Backoff::new();
    loop {
        let stale = mesh.registry.entry_stale.listen();
        let rises = mesh.registry.rises.get();
        if own.rises != rises {
            own = OwnEntry {
                rises,
                ..OwnEntry::default()
            };
        }
        let refreshed = refresh(&mesh, &mut own).await;
        if mesh.registry.rises.get() != rises {
            continue;
        }
        if let Err(error) = refreshed {
            tracing::debug!(%error, "maintaining the own entry failed");
            mesh.registry.wait_regained().await;
            backoff.wait(&mesh).await;
            continue;
        }
        backoff = Backoff::new();
        // A renewal before its time does not move the next one. All daemons confirm their watches at
        // once after a change, and the renewals of the fleet are to stay spread over time.
        let now_us = now_us();
        if renewal_due_us <= now_us + RENEW_EARLY_MS * 1_000 {
            renewal_due_us = now_us.max(renewal_due_us) + mesh.renew_interval_ms() * 1_000;
        }
        select(stale, sleep_until(renewal_due_us)).await;
    }
}

/// Renews the lease of this daemon's entry, or writes the entry if it is new or changed.
async fn refresh(mesh: &Mesh, own: &mut OwnEntry) -> Result<(), StoreError> {
    let registry = &mesh.registry;
    loop {
        let lease = if let Some(lease) = own.lease {
            lease
        } else {
            let granted = mesh
                .store
                .grant(LEASE_TTL_MS.max(mesh.settings.lease_min_ms))
                .await;
            let lease = registry.accept("grant lease", granted)?;
            own.lease = Some(lease);
            own.written = None;
            lease
        };
        let current = mesh.own_entry();
        let has_lease = if own
            .written
            .as_ref()
            .is_some_and(|written| !written.differs(&current))
        {
            registry.accept("renew lease", mesh.store.renew(lease).await)?
        } else {
            let value = serde_json::to_vec(&current).map_err(|error| StoreError::Refused {
                step: "encode own entry",
                peer: SmolStr::new_static("store"),
                detail: format_smolstr!("{error}"),
            })?;
            let key = entry::key(&mesh.settings.name);
            let put = mesh.store.put(&key, &value, lease).await;
            registry.accept("write own entry", put)?
        };
        if has_lease {
            own.written = Some(current);
            return Ok(());
        }
        tracing::warn!("lease of the own entry expired");
        own.lease = None;
    }
}

/// Lists entries at intervals.
pub async fn watch_contacts(mesh: Rc<Mesh>) {
    let mut few_interval_ms = FEW_LISTING_MS;
    loop {
        let due = mesh.registry.listing_due.listen();
        let knows_few = mesh.fleet.borrow().live_members() <= FEW_MEMBERS;
        let interval_ms = if knows_few {
            few_interval_ms
        } else {
            few_interval_ms = FEW_LISTING_MS;
            LISTING_INTERVAL_MS
        };
        few_interval_ms = (few_interval_ms * 2).min(LISTING_INTERVAL_MS);
        let jitter: f64 = mesh.rng.borrow_mut().random_range(0.5..1.5);
        let wait = sleep_ms((interval_ms as f64 * jitter) as u64);
        if let Either::Left(_) = select(due, pin!(wait)).await {
            // Spreads the listings of a fleet.
            let spread_ms = mesh.rng.borrow_mut().random_range(0..FEW_LISTING_MS);
            sleep_ms(spread_ms).await;
        }
        mesh.registry.wait_regained().await;
        if let Err(error) = list(&mesh, Freshness::Stale).await {
            tracing::debug!(%error, "listing the entries failed");
        }
    }
}

/// Reads one page of entries, beginning with this daemon's own, and continues from the first entry
/// if the page reaches the end.
async fn list(mesh: &Mesh, freshness: Freshness) -> Result<(), StoreError> {
    let position = entry::position(&mesh.settings.name);
    let page = mesh.store.list(entry::PREFIX, &position, freshness).await;
    let page = mesh.registry.accept("list entries", page)?;
    let mut entries = page.entries;
    if !page.is_truncated && entries.len() < MIN_CONTACTS {
        let page = mesh.store.list(entry::PREFIX, "", freshness).await;
        entries.extend(mesh.registry.accept("list entries", page)?.entries);
    }
    mesh.merge_entries(&entries);
    Ok(())
}

/// Watches the configuration.
pub async fn watch_config(mesh: Rc<Mesh>) {
    let mut backoff = Backoff::new();
    let mut cursor = ConfigCursor::new(mesh.settings.propagation_ms);
    loop {
        let outdated = mesh.registry.watch_outdated.listen();
        let rises = mesh.registry.rises.get();
        let started_us = now_us();
        let result = {
            let updated = pin!(update_config(&mesh, &mut cursor));
            match select(updated, outdated).await {
                Either::Left((result, _)) => Some(result),
                Either::Right(_) => None,
            }
        };
        mesh.registry.is_watch_waiting.set(false);
        // Revisions of an earlier era may have been given out again.
        if mesh.registry.rises.get() != rises {
            cursor.forget_revisions();
        }
        match result {
            Some(Ok(())) => {
                mesh.registry.record_watch(false);
                backoff = Backoff::new();
            }
            Some(Err(error)) => {
                tracing::info!(target: STATE, %error, call = ?cursor.next_call(),
                    took_us = now_us().saturating_sub(started_us), "call for the configuration failed");
                mesh.metrics.count("config.watch_failed");
                mesh.registry.record_watch(true);
                cursor.reset();
                backoff.wait(&mesh).await;
            }
            None => {
                mesh.metrics.count("config.watch_replaced");
                cursor.reset();
            }
        }
    }
}

/// Makes the next call for the configuration and applies what it brings.
async fn update_config(mesh: &Rc<Mesh>, cursor: &mut ConfigCursor) -> Result<(), StoreError> {
    let key = mesh.protocol.config_key();
    let apply = |entry: &StoreEntry| {
        entry.key == key && mesh.apply_config(&entry.value, ConfigSource::Store)
    };
    let started_us = now_us();
    let (after, wait_ms, limit_ms) = match cursor.next_call() {
        NextCall::Watch {
            after,
            wait_ms,
            limit_ms,
        } => (after, wait_ms, limit_ms),
        NextCall::Read => {
            mesh.metrics.count("config.read");
            let page = mesh.store.list(key, "", Freshness::Latest).await;
            let page = mesh.registry.accept("read configuration", page)?;
            let is_newer = page.entries.iter().any(apply);
            let entry = page.entries.iter().find(|entry| entry.key == key);
            // Without an entry, the whole history is what this daemon has not received.
            let written = entry.map_or(Some(0), |entry| entry.revision);
            tracing::info!(target: STATE,
                revision = page.revision,
                written,
                is_newer,
                took_us = now_us().saturating_sub(started_us),
                "configuration read"
            );
            cursor.record_read(page.revision, written, is_newer, now_us());
            return Ok(());
        }
    };
    mesh.registry.is_watch_waiting.set(true);
    if wait_ms > SHORT_WAIT_MS && mesh.confirms_watch() {
        // The renewal is sent after the watch, as its task does not run before this one waits.
        mesh.registry.wake();
    }
    let step = "watch configuration";
    let watched = within(limit_ms, mesh.store.watch(key, after, wait_ms)).await;
    mesh.registry.is_watch_waiting.set(false);
    let watched = watched.unwrap_or_else(|| {
        Err(StoreError::Uncertain {
            step,
            peer: SmolStr::new_static("store"),
            detail: format_smolstr!("no answer within {limit_ms} ms"),
        })
    });
    match mesh.registry.accept(step, watched)? {
        WatchResult::Compacted => {
            tracing::info!(target: STATE,
                after,
                "history of the configuration is gone; newest version is read"
            );
            cursor.reset();
        }
        WatchResult::Changes { changes, revision } => {
            tracing::info!(target: STATE,
                after,
                revision,
                versions = changes.len(),
                wait_ms,
                took_us = now_us().saturating_sub(started_us),
                "configuration watched"
            );
            cursor.record_changes(revision, changes.len(), now_us());
            mesh.metrics.add("config.watched", changes.len() as u64);
            for change in changes {
                match change {
                    StoreChange::Put(entry) => {
                        apply(&entry);
                    }
                    StoreChange::Removed(key) => tracing::warn!(%key,
                        "configuration removed from the store; the version in force is kept"),
                }
            }
        }
    }
    Ok(())
}

/// Closes expired idle connections to the worker.
pub async fn sweep(mesh: Rc<Mesh>) {
    loop {
        sleep_ms(SWEEP_INTERVAL_MS).await;
        mesh.pool.sweep(now_us());
    }
}

impl Mesh {
    /// Time until the next renewal of the lease.
    fn renew_interval_ms(&self) -> u64 {
        let daemons = self.fleet.borrow().live_members() as u64;
        let mean_ms = (daemons * FLEET_RENEW_MS).clamp(RENEW_MIN_MS, RENEW_MAX_MS);
        let jitter = self.rng.borrow_mut().random_range(0.75..1.25);
        (mean_ms as f64 * jitter) as u64
    }

    /// Returns whether this daemon confirms its next watch of the configuration.
    fn confirms_watch(&self) -> bool {
        let daemons = self.fleet.borrow().live_members();
        self.rng.borrow_mut().random_range(0..daemons) < CONFIRMING_DAEMONS
    }

    fn own_entry(&self) -> Entry {
        Entry {
            member: self.own_member(),
            departed: self.gate.borrow().departed(),
        }
    }

    /// Merges listed entries into the membership.
    fn merge_entries(&self, entries: &[StoreEntry]) {
        let mut has_peers = false;
        for stored in entries {
            let entry: Entry = match serde_json::from_slice(&stored.value) {
                Ok(entry) => entry,
                Err(error) => {
                    self.metrics.count("store.bad_entry");
                    tracing::warn!(key = %stored.key, %error, "malformed entry ignored");
                    continue;
                }
            };
            if entry.member.place.name == self.settings.name {
                if entry.member.generation != self.own_member().generation {
                    self.apply_previous_departures(&entry);
                }
            } else {
                has_peers = true;
            }
            // The datagrams follow with the next tick.
            let _ = self.update_fleet(|fleet, _| fleet.merge_stored(&entry.member, now_us()));
        }
        self.startup
            .borrow_mut()
            .record_listing(has_peers, now_us());
        tracing::info!(entries = entries.len(), "entries listed");
    }

    /// Applies the departures that the previous incarnation of this VM's daemon acknowledged.
    pub fn apply_previous_departures(&self, previous: &Entry) {
        for incarnation in previous.departed.iter().rev() {
            let mut gate = self.gate.borrow_mut();
            let change = gate.leave(&incarnation.id, Some(incarnation.started_unix_ms), now_us());
            tracing::info!(worker = %incarnation, ?change,
                "applied a departure acknowledged by the previous daemon");
        }
        if !previous.departed.is_empty() {
            self.publish();
        }
    }
}
