//! Publishes the capacity of the local data centre to the other data centres.
//!
//! For each other data centre one member is the publisher, chosen by rendezvous hashing over the
//! live members. While views differ, two members may publish to the same data centre; this does no
//! harm, since summaries and heartbeats are ordered by version and sequence number.

use {
    super::{
        Fleet,
        member::{AdvertisedWorker, Member},
        message::{Body, Outgoing, mix, part_of, stable_hash},
        summary::{Heartbeat, Summary, SummaryWorker},
        sync::{bits_for, summary_bytes},
        update_queue::Priority,
    },
    crate::{
        collections::HashMap,
        config::Revision,
        place::DataCentre,
        request::{Level, ServiceName},
    },
    std::{
        collections::{BTreeMap, btree_map::Entry},
        net::SocketAddr,
    },
};

/// Maximum number of workers listed in one summary.
const MAX_WORKERS: usize = 3;

/// Maximum number of lagging members named in one heartbeat.
const MAX_LAGGING: usize = 4;

/// Number of times that a changed summary is sent; after that only anti-entropy repairs its loss.
const SENDS_PER_VERSION: u8 = 2;

/// Maximum bytes of changed summaries sent to one data centre in one round.
const MAX_ROUND_BYTES: usize = 3_600;

/// Maximum bytes of summaries in one datagram.
const MAX_SUMMARIES_BYTES: usize = 1_150;

/// Interval between heartbeats to one data centre.
const HEARTBEAT_INTERVAL_US: u64 = 3_000_000;

/// Interval between digests to one data centre once every partition has been compared.
const DIGEST_INTERVAL_US: u64 = 10_000_000;

/// Minimum interval between changes of a summary that change its level but not its workers.
const LEVEL_CHANGE_INTERVAL_US: u64 = 2_000_000;

/// Minimum interval between changes of a summary that change neither its workers nor its level.
const LOAD_CHANGE_INTERVAL_US: u64 = 10_000_000;

/// Number of steps into which the slots are divided to round the published load.
const LOAD_STEPS: u32 = 2;

/// Ranks in one step to which the published level is rounded.
const LEVEL_STEP_RANKS: u32 = 64;

/// Summary of one service of the local data centre.
#[derive(Debug)]
struct LocalSummary {
    summary: Summary,
    changed_us: u64,
}

/// What has been published to one data centre.
#[derive(Debug)]
struct Target {
    /// Version last sent of each summary, and how often it was sent.
    sent: HashMap<u64, (u64, u8)>,
    next_heartbeat_us: u64,
    next_digest_us: u64,
    /// Partition of the key space that was compared last.
    part: u32,
    /// Partitions still to be compared without waiting for the digest interval.
    initial_parts: u32,
}

/// Summaries of the local data centre and the data centres to which this member publishes them.
#[derive(Debug, Default)]
pub(super) struct Publisher {
    summaries: BTreeMap<ServiceName, LocalSummary>,
    by_key: HashMap<u64, ServiceName>,
    /// Sequence number of the latest heartbeat.
    sequence: u64,
    targets: BTreeMap<DataCentre, Target>,
}

impl Publisher {
    /// Returns the summary of the local data centre with this key.
    pub(super) fn local_summary(&self, key: u64) -> Option<&Summary> {
        let service = self.by_key.get(&key)?;
        self.summaries.get(service).map(|own| &own.summary)
    }

    /// Raises the sequence number to one that another publisher has used.
    pub(super) fn raise_sequence(&mut self, sequence: u64) {
        self.sequence = self.sequence.max(sequence);
    }

    /// Raises the version of a summary above a differing one that another publisher has sent.
    ///
    /// A service without a summary here gets an empty one.
    pub(super) fn raise_version(&mut self, received: &Summary) {
        match self.summaries.entry(received.service.clone()) {
            Entry::Vacant(entry) => {
                let mut summary = received.clone();
                summary.clear();
                summary.version = received.version.saturating_add(1);
                self.by_key.insert(received.key(), received.service.clone());
                entry.insert(LocalSummary {
                    summary,
                    changed_us: 0,
                });
            }
            Entry::Occupied(mut entry) => {
                let own = &mut entry.get_mut().summary;
                if received.version < own.version {
                    return;
                }
                own.version = received.version;
                if own != received {
                    own.version = own.version.saturating_add(1);
                }
            }
        }
    }

    /// Returns the number of data centres to which this member publishes.
    pub(super) fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Replaces changed summaries by the current ones, rate-limiting changes of level and load.
    fn update(&mut self, current: BTreeMap<ServiceName, Summary>, now_us: u64) {
        for own in self.summaries.values_mut() {
            if !current.contains_key(&own.summary.service) && !own.summary.workers.is_empty() {
                own.summary.clear();
                own.summary.version = own.summary.version.saturating_add(1);
            }
        }
        for (service, mut summary) in current {
            match self.summaries.entry(service) {
                Entry::Vacant(entry) => {
                    let service = summary.service.clone();
                    self.by_key.insert(summary.key(), service);
                    entry.insert(LocalSummary {
                        summary,
                        changed_us: now_us,
                    });
                }
                Entry::Occupied(mut entry) => {
                    let own = entry.get_mut();
                    summary.version = own.summary.version;
                    let age_us = now_us.saturating_sub(own.changed_us);
                    let min_age_us = match own.summary.priority_of_change(&summary) {
                        Priority::High => 0,
                        Priority::Normal => LEVEL_CHANGE_INTERVAL_US,
                        Priority::Low => LOAD_CHANGE_INTERVAL_US,
                    };
                    if summary != own.summary && age_us >= min_age_us {
                        summary.version = summary.version.saturating_add(1);
                        own.summary = summary;
                        own.changed_us = now_us;
                    }
                }
            }
        }
    }

    /// Returns the target for a data centre.
    ///
    /// A new target starts with all summaries marked as sent: digests show which of them the data
    /// centre lacks.
    fn target(&mut self, data_centre: &DataCentre, now_us: u64) -> &mut Target {
        let summaries = &self.summaries;
        self.targets.entry(data_centre.clone()).or_insert_with(|| {
            let existing = summaries.values().map(|own| &own.summary);
            Target {
                sent: existing
                    .map(|summary| (summary.key(), (summary.version, SENDS_PER_VERSION)))
                    .collect(),
                next_heartbeat_us: 0,
                next_digest_us: now_us,
                part: 0,
                initial_parts: 1 << bits_for(summaries.len()),
            }
        })
    }

    /// Returns the summaries to send to one data centre, within the byte limit of one round.
    fn due_summaries(&mut self, data_centre: &DataCentre, now_us: u64) -> Vec<Summary> {
        self.target(data_centre, now_us);
        let Some(target) = self.targets.get_mut(data_centre) else {
            return Vec::new();
        };
        let mut due = Vec::new();
        let mut bytes = 0;
        for own in self.summaries.values() {
            let summary = &own.summary;
            let sent = target.sent.entry(summary.key()).or_insert((0, 0));
            if sent.0 != summary.version {
                *sent = (summary.version, 0);
            }
            let size_bytes = summary_bytes(summary);
            if sent.1 >= SENDS_PER_VERSION || bytes + size_bytes > MAX_ROUND_BYTES {
                continue;
            }
            sent.1 += 1;
            bytes += size_bytes;
            due.push(summary.clone());
        }
        due
    }

    /// Returns the partition whose digest is due, as the number of its bits and its index.
    fn due_part(&mut self, data_centre: &DataCentre, now_us: u64) -> Option<(u8, u32)> {
        let bits = bits_for(self.summaries.len());
        let target = self.target(data_centre, now_us);
        if now_us < target.next_digest_us {
            return None;
        }
        if target.initial_parts == 0 {
            target.next_digest_us = now_us + DIGEST_INTERVAL_US;
        }
        target.initial_parts = target.initial_parts.saturating_sub(1);
        target.part = target.part.wrapping_add(1);
        Some((bits, target.part & ((1 << bits) - 1)))
    }
}

impl Summary {
    fn clear(&mut self) {
        self.slots = 0;
        self.load = 0;
        self.level = Level::OPEN;
        self.workers.clear();
    }

    fn add(&mut self, worker: &AdvertisedWorker) {
        self.slots = self.slots.saturating_add(worker.slots);
        self.load = self.load.saturating_add(u32::from(worker.load));
        self.level = self.level.max(worker.level);
    }

    /// Rounds load and level, so that small changes do not cause a new version.
    fn round(&mut self) {
        let step = (self.slots / LOAD_STEPS).max(1);
        self.load = self.load / step * step;
        if self.level != Level::OPEN {
            self.level = Level(self.level.0 / LEVEL_STEP_RANKS * LEVEL_STEP_RANKS);
        }
    }
}

impl Fleet {
    /// Publishes heartbeats and changed summaries to the data centres assigned to this member.
    pub(super) fn publish(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        let others: Vec<_> = self.remote.centres().keys().cloned().collect();
        let (assigned, unassigned): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|other| self.publishes_to(other));
        for other in unassigned {
            self.publisher.targets.remove(&other);
        }
        if assigned.is_empty() {
            return;
        }
        let summaries = self.local_summaries();
        self.publisher.update(summaries, now_us);
        for other in assigned {
            self.publish_to(&other, now_us, out);
        }
    }

    /// Returns whether this member has the highest rendezvous hash for a data centre.
    fn publishes_to(&self, other: &DataCentre) -> bool {
        let salt = stable_hash(&other.0);
        let weight = |member: &Member| mix(member.generation.0 ^ salt);
        let own = weight(&self.local);
        let mut live = self.members().filter(|member| member.status.is_live());
        live.all(|member| weight(member) <= own)
    }

    fn publish_to(&mut self, other: &DataCentre, now_us: u64, out: &mut Vec<Outgoing>) {
        let Some(to) = self.contact_of(other) else {
            return;
        };
        let due = self.publisher.due_summaries(other, now_us);
        let mut message = self.message(Body::Gossip);
        let target = self.publisher.target(other, now_us);
        if now_us >= target.next_heartbeat_us {
            target.next_heartbeat_us = now_us + HEARTBEAT_INTERVAL_US;
            self.publisher.sequence = self.publisher.sequence.saturating_add(1);
            message.heartbeats.push(self.local_heartbeat());
        }
        let mut bytes = 0;
        for summary in due {
            let size_bytes = summary_bytes(&summary);
            if bytes + size_bytes > MAX_SUMMARIES_BYTES && !message.summaries.is_empty() {
                let next = self.message(Body::Gossip);
                self.send(to, std::mem::replace(&mut message, next), out);
                bytes = 0;
            }
            bytes += size_bytes;
            message.summaries.push(summary);
        }
        if !message.summaries.is_empty() || !message.heartbeats.is_empty() {
            self.send(to, message, out);
        }
        self.send_summary_digest(other, to, now_us, out);
    }

    /// Sends the digest of the next due partition of the local summaries, if one is due.
    fn send_summary_digest(
        &mut self,
        other: &DataCentre,
        to: SocketAddr,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let Some((bits, part)) = self.publisher.due_part(other, now_us) else {
            return;
        };
        let summaries = self.publisher.summaries.values().map(|own| &own.summary);
        let entries = summaries
            .map(|summary| (summary.key(), summary.version))
            .filter(|(key, _)| part_of(*key, bits) == part)
            .collect();
        self.send_digest(to, bits, part, entries, out);
    }

    fn contact_of(&mut self, other: &DataCentre) -> Option<SocketAddr> {
        let contacts = self.remote.centres().get(other)?.contacts.clone();
        let at = self.random_below(contacts.len());
        contacts.get(at).copied()
    }

    /// Returns a heartbeat of the local data centre with the current sequence number.
    pub(super) fn local_heartbeat(&self) -> Heartbeat {
        let live = self.members().filter(|member| member.status.is_live());
        let revisions = live.map(|member| (member.revision, &member.place.name));
        let revisions: Vec<_> = revisions.collect();
        let revision_of = |(revision, _): &(Revision, _)| *revision;
        let revision_max = revisions.iter().map(revision_of).max().unwrap_or_default();
        let lagging = revisions
            .iter()
            .filter(|(revision, _)| *revision < revision_max);
        Heartbeat {
            region: self.local.place.region.clone(),
            data_centre: self.local.place.data_centre.clone(),
            contact: self.local.place.gossip_addr,
            sequence: self.publisher.sequence,
            revision_min: revisions.iter().map(revision_of).min().unwrap_or_default(),
            revision_max,
            lagging: lagging
                .map(|(_, name)| (*name).clone())
                .take(MAX_LAGGING)
                .collect(),
        }
    }

    /// Summarises the current capacity of the local data centre by service.
    fn local_summaries(&self) -> BTreeMap<ServiceName, Summary> {
        let mut workers: Vec<_> = self
            .members()
            .filter(|member| member.accepts_work() && member.status == super::Status::Alive)
            .filter_map(|member| Some((member, member.worker.as_ref()?)))
            .collect();
        workers.sort_unstable_by_key(|(member, _)| mix(member.generation.0));
        let mut summaries = BTreeMap::new();
        for (member, worker) in workers {
            let summary = summaries
                .entry(worker.service.clone())
                .or_insert_with(|| self.empty_summary(&worker.service));
            summary.add(worker);
            if summary.workers.len() < MAX_WORKERS {
                summary.workers.push(SummaryWorker {
                    place: member.place.clone(),
                    incarnation: worker.incarnation,
                    slots: worker.slots,
                });
            }
        }
        for summary in summaries.values_mut() {
            summary.round();
        }
        summaries
    }

    fn empty_summary(&self, service: &ServiceName) -> Summary {
        Summary {
            data_centre: self.local.place.data_centre.clone(),
            service: service.clone(),
            version: 1,
            slots: 0,
            load: 0,
            level: Level(0),
            workers: Vec::new(),
        }
    }
}
