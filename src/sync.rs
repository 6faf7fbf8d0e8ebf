//! Exchange of state between this daemon and its view of the fleet.

use {
    crate::{
        config::{Config, Revision},
        control::{confirm::Confirmations, reader::Members},
        fleet::{
            Fleet,
            member::AdvertisedWorker,
            seeds::{SEED_INTERVAL_MS, SeedRegistrar},
            udp::Gossip,
        },
        node::{Node, local_rules},
        policy::{
            drain::Stage,
            suspect::{CrashRecord, Fingerprint, SuspectReport},
        },
        supervisor::TaskError,
    },
    async_io::Timer,
    parking_lot::Mutex,
    rand::RngExt,
    smol_str::SmolStr,
    std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration},
};

/// Interval at which the state of the local worker is published.
const PUBLISH_MS: u64 = 20;

/// Interval at which other daemons are checked for newer configurations.
const CONFIG_CHECK_MS: u64 = 250;

/// Random delay between reading the seeds from the store and registering this daemon as one.
/// Daemons that start together find each other meanwhile, so that only a few of them register.
pub const SEED_REGISTRATION_DELAY_MS: Range<u64> = 2_000..32_000;

/// Maximum number of crash records in one digest of crash suspects.
const MAX_DIGEST_RECORDS: usize = 5;

/// Interval at which known crash suspects are sent again.
const SUSPECTS_REPEAT_MS: u64 = 30_000;

/// The fleet, as seen by configuration control.
pub struct FleetView(pub Arc<Mutex<Fleet>>);

impl Members for FleetView {
    fn members(&self) -> Vec<SmolStr> {
        let fleet = self.0.lock();
        let own = fleet.local_member().place.name.clone();
        let live = fleet.members().filter(|member| member.status.is_live());
        let mut names: Vec<_> = live.map(|member| member.place.name.clone()).collect();
        if !names.contains(&own) {
            names.push(own);
        }
        names
    }
}

impl Confirmations for FleetView {
    fn lagging(&self, revision: Revision) -> Vec<SmolStr> {
        let fleet = self.0.lock();
        let own = fleet.lagging(revision);
        let others = fleet.remote().centres().iter();
        let others = others
            .filter(|(_, centre)| centre.revision_min < revision)
            .map(|(data_centre, _)| data_centre.0.clone());
        own.into_iter().chain(others).collect()
    }
}

/// State that was last published to the fleet.
#[derive(Debug, Default)]
struct Published {
    revision: Revision,
    suspects: SuspectReport,
    suspects_sent_us: u64,
}

/// Publishes the local worker and new crash suspects to the fleet, merges crash suspects from it,
/// and applies new configurations.
pub async fn publish(
    node: Arc<Node>,
    fleet: Arc<Mutex<Fleet>>,
    gossip: Gossip,
) -> Result<(), TaskError> {
    let mut published = Published::default();
    loop {
        Timer::after(Duration::from_millis(PUBLISH_MS)).await;
        let config = node.config();
        if config.revision != published.revision {
            node.apply_config(&config, published.revision);
            published.revision = config.revision;
        }
        node.publish_worker(&fleet, published.revision);
        node.merge_suspects(&fleet);
        for digest in node.new_digests(&mut published) {
            gossip.broadcast_suspects(digest).await;
        }
        node.repeat_suspects(&fleet, &mut published);
    }
}

/// Fetches configurations that other daemons enforce and this one does not yet.
pub async fn fetch_configs(node: Arc<Node>, fleet: Arc<Mutex<Fleet>>) -> Result<(), TaskError> {
    loop {
        Timer::after(Duration::from_millis(CONFIG_CHECK_MS)).await;
        let Some(peer) = newest_config_peer(&fleet.lock(), node.config().revision) else {
            continue;
        };
        match node.peers.fetch_config(peer).await {
            Ok(document) => node.offer_config(&document, peer),
            Err(error) => {
                node.metrics.count("config.fetch_failed");
                tracing::debug!(%error, "configuration not fetched");
            }
        }
    }
}

/// Joins the fleet through the seeds in the store, and keeps the entries of seeds there up to date.
pub async fn maintain_seeds(node: Arc<Node>, fleet: Arc<Mutex<Fleet>>) -> Result<(), TaskError> {
    let place = &node.settings.place;
    let mut seeds = SeedRegistrar::new(place.data_centre.clone(), place.gossip_addr);
    loop {
        if let Ok(contacts) = seeds.contacts(node.store.as_ref()).await {
            fleet.lock().join(&contacts);
        }
        let pause_ms = node.rng.lock().random_range(SEED_REGISTRATION_DELAY_MS);
        Timer::after(Duration::from_millis(pause_ms)).await;
        let live = fleet.lock().live_members();
        let draw = node.rng.lock().random();
        if let Err(error) = seeds.refresh(node.store.as_ref(), live, draw).await {
            node.metrics.count("seeds.failed");
            tracing::debug!(%error, "seeds not registered");
        }
        if live > 1 {
            Timer::after(Duration::from_millis(u64::from(SEED_INTERVAL_MS))).await;
        }
    }
}

/// Runs the gossip socket.
pub async fn gossip(gossip: Gossip) -> Result<(), TaskError> {
    gossip
        .run()
        .await
        .map_err(|error| TaskError::new("gossip", &error))
}

/// A daemon that enforces the newest revision, if that is newer than `revision`.
fn newest_config_peer(fleet: &Fleet, revision: Revision) -> Option<SocketAddr> {
    let live = fleet.members().filter(|member| member.status.is_live());
    let newest = live.max_by_key(|member| member.revision)?;
    (newest.revision > revision).then_some(newest.place.call_addr)
}

fn encode(records: &[CrashRecord]) -> Option<Vec<u8>> {
    postcard::to_stdvec(records).ok()
}

impl Node {
    /// Applies a configuration that has come into force.
    fn apply_config(&self, config: &Config, earlier: Revision) {
        let rules = local_rules(&self.settings, config);
        let mut local = self.local.lock();
        local.gate.set_rules(rules.gate);
        // A release from quarantine in an older revision does not cover later crashes.
        let lifted = config
            .lifted
            .iter()
            .filter(|(_, revision)| **revision > earlier);
        for (text, _) in lifted {
            if let Ok(fingerprint) = Fingerprint::try_from(text.as_str()) {
                local.suspects.lift(fingerprint);
            }
        }
        drop(local);
        self.apply_operator_orders();
    }

    /// Decodes a configuration that a peer enforces, and enforces it if it is newer.
    fn offer_config(&self, document: &[u8], peer: SocketAddr) {
        match Config::decode(document) {
            Ok(config) => {
                self.live_config.offer(&Arc::new(config));
            }
            Err(error) => {
                self.metrics.count("config.unreadable");
                tracing::warn!(%error, %peer, "configuration of a peer is unreadable");
            }
        }
    }

    fn publish_worker(&self, fleet: &Mutex<Fleet>, revision: Revision) {
        let local = self.local.lock();
        let worker = local.worker.as_ref().map(|worker| AdvertisedWorker {
            incarnation: worker.incarnation,
            service: worker.announcement.service.clone(),
            slots: worker.announcement.slots,
            load: local.running.len().min(usize::from(u16::MAX)) as u16,
            level: local.gate.level(),
            draining: local.drain.stage() != Stage::Serving,
        });
        drop(local);
        let mut fleet = fleet.lock();
        fleet.set_worker(worker);
        fleet.set_revision(revision);
    }

    /// Digests of new crash suspects, to be sent at once.
    fn new_digests(&self, published: &mut Published) -> Vec<Vec<u8>> {
        let mut local = self.local.lock();
        let report = local.suspects.report();
        let changes = report
            .changes()
            .saturating_sub(published.suspects.changes()) as usize;
        published.suspects = report;
        let digests = changes.div_ceil(MAX_DIGEST_RECORDS);
        (0..digests)
            .filter_map(|_| encode(&local.suspects.digest(MAX_DIGEST_RECORDS)))
            .collect()
    }

    /// Adds known crash suspects to the gossip, a digest at a time, for daemons that missed them.
    fn repeat_suspects(&self, fleet: &Mutex<Fleet>, published: &mut Published) {
        let now_us = self.clock.now_us();
        if now_us.saturating_sub(published.suspects_sent_us) < SUSPECTS_REPEAT_MS * 1_000 {
            return;
        }
        published.suspects_sent_us = now_us;
        let digest = self.local.lock().suspects.digest(MAX_DIGEST_RECORDS);
        if let Some(bytes) = encode(&digest).filter(|_| !digest.is_empty()) {
            fleet.lock().set_suspects(bytes);
        }
    }

    fn merge_suspects(&self, fleet: &Mutex<Fleet>) {
        let received = fleet.lock().take_suspects();
        if received.is_empty() {
            return;
        }
        let records = received
            .iter()
            .filter_map(|bytes| postcard::from_bytes::<Vec<CrashRecord>>(bytes).ok());
        let mut local = self.local.lock();
        local.suspects.merge(records.flatten());
    }
}
