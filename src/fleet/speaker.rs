//! Telling other data centres what the own one offers.
//!
//! For each other data centre one member speaks, picked by rendezvous hash of the own view. What
//! two speakers tell by mistake is ordered by version, so it does no harm.

use {
    super::{
        Fleet,
        member::{Member, WorkerAd},
        message::{Body, Send, mix, part_of, stable_hash},
        news::Urgency,
        summary::{Beat, Summary, SummaryWorker},
        sync::{bits_for, summary_cost},
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

/// Workers named in one summary, at most.
const MAX_WORKERS: usize = 3;

/// Names of lagging members in one beat, at most.
const MAX_LAGGING: usize = 4;

/// Times that a changed summary is sent before only digests repair it.
const SENDS: u8 = 2;

/// Bytes of changed summaries for one data centre in one round, at most.
const ROUND_BYTES: usize = 3_600;

/// Bytes of summaries in one datagram, at most.
const DATAGRAM_BYTES: usize = 1_150;

/// Time between two beats for one data centre.
const BEAT_US: u64 = 3_000_000;

/// Time between two digests for one data centre once each part was compared.
const DIGEST_US: u64 = 10_000_000;

/// Time between two changes of one summary whose workers stay the same.
const LEVEL_CHANGE_US: u64 = 2_000_000;

/// Time between two changes of one summary of which only the load is another.
const LOAD_CHANGE_US: u64 = 10_000_000;

/// Steps of the load that are told apart.
const LOAD_STEPS: u32 = 2;

/// Ranks in one step of the level that is told apart.
const LEVEL_STEP: u32 = 64;

#[derive(Debug)]
struct Offer {
    summary: Summary,
    changed_us: u64,
}

/// What was told to one data centre.
#[derive(Debug)]
struct Line {
    sent: HashMap<u64, (u64, u8)>,
    beat_us: u64,
    digest_us: u64,
    part: u32,
    quick_parts: u32,
}

/// What the own data centre offers and to whom this member tells it.
#[derive(Debug, Default)]
pub(super) struct Speaker {
    offers: BTreeMap<ServiceName, Offer>,
    by_key: HashMap<u64, ServiceName>,
    beat: u64,
    lines: BTreeMap<DataCentre, Line>,
}

impl Speaker {
    /// Summary of the own data centre with this key.
    pub(super) fn own_summary(&self, key: u64) -> Option<&Summary> {
        let service = self.by_key.get(&key)?;
        self.offers.get(service).map(|offer| &offer.summary)
    }

    /// Goes beyond a beat that another speaker has used.
    pub(super) fn hear_own_beat(&mut self, beat: u64) {
        self.beat = self.beat.max(beat);
    }

    /// Goes beyond a version that another speaker has used.
    pub(super) fn hear_own_summary(&mut self, held: &Summary) {
        match self.offers.entry(held.service.clone()) {
            Entry::Vacant(entry) => {
                let mut summary = held.clone();
                summary.clear();
                summary.version = held.version.saturating_add(1);
                self.by_key.insert(held.key(), held.service.clone());
                entry.insert(Offer {
                    summary,
                    changed_us: 0,
                });
            }
            Entry::Occupied(mut entry) => {
                let own = &mut entry.get_mut().summary;
                if held.version < own.version {
                    return;
                }
                own.version = held.version;
                if own != held {
                    own.version = own.version.saturating_add(1);
                }
            }
        }
    }

    /// Data centres that this member speaks to.
    pub(super) fn listeners(&self) -> usize {
        self.lines.len()
    }

    fn update(&mut self, now: BTreeMap<ServiceName, Summary>, now_us: u64) {
        for offer in self.offers.values_mut() {
            if !now.contains_key(&offer.summary.service) && !offer.summary.workers.is_empty() {
                offer.summary.clear();
                offer.summary.version = offer.summary.version.saturating_add(1);
            }
        }
        for (service, mut summary) in now {
            match self.offers.entry(service) {
                Entry::Vacant(entry) => {
                    let service = summary.service.clone();
                    self.by_key.insert(summary.key(), service);
                    entry.insert(Offer {
                        summary,
                        changed_us: now_us,
                    });
                }
                Entry::Occupied(mut entry) => {
                    let offer = entry.get_mut();
                    summary.version = offer.summary.version;
                    let age_us = now_us.saturating_sub(offer.changed_us);
                    let wait_us = match offer.summary.urgency_of(&summary) {
                        Urgency::High => 0,
                        Urgency::Normal => LEVEL_CHANGE_US,
                        Urgency::Low => LOAD_CHANGE_US,
                    };
                    if summary != offer.summary && age_us >= wait_us {
                        summary.version = summary.version.saturating_add(1);
                        offer.summary = summary;
                        offer.changed_us = now_us;
                    }
                }
            }
        }
    }

    fn line(&mut self, data_centre: &DataCentre, now_us: u64) -> &mut Line {
        let offers = &self.offers;
        self.lines.entry(data_centre.clone()).or_insert_with(|| {
            let told = offers.values().map(|offer| &offer.summary);
            Line {
                sent: told
                    .map(|summary| (summary.key(), (summary.version, SENDS)))
                    .collect(),
                beat_us: 0,
                digest_us: now_us,
                part: 0,
                quick_parts: 1 << bits_for(offers.len()),
            }
        })
    }

    /// Summaries that are due to one data centre, within the bytes of one round.
    fn due(&mut self, data_centre: &DataCentre, now_us: u64) -> Vec<Summary> {
        self.line(data_centre, now_us);
        let Some(line) = self.lines.get_mut(data_centre) else {
            return Vec::new();
        };
        let mut due = Vec::new();
        let mut bytes = 0;
        for offer in self.offers.values() {
            let summary = &offer.summary;
            let sent = line.sent.entry(summary.key()).or_insert((0, 0));
            if sent.0 != summary.version {
                *sent = (summary.version, 0);
            }
            let size_bytes = summary_cost(summary);
            if sent.1 >= SENDS || bytes + size_bytes > ROUND_BYTES {
                continue;
            }
            sent.1 += 1;
            bytes += size_bytes;
            due.push(summary.clone());
        }
        due
    }

    /// Part of the own offers that is due to be compared.
    fn due_part(&mut self, data_centre: &DataCentre, now_us: u64) -> Option<(u8, u32)> {
        let bits = bits_for(self.offers.len());
        let line = self.line(data_centre, now_us);
        if now_us < line.digest_us {
            return None;
        }
        if line.quick_parts == 0 {
            line.digest_us = now_us + DIGEST_US;
        }
        line.quick_parts = line.quick_parts.saturating_sub(1);
        line.part = line.part.wrapping_add(1);
        Some((bits, line.part & ((1 << bits) - 1)))
    }
}

impl Summary {
    fn clear(&mut self) {
        self.slots = 0;
        self.load = 0;
        self.level = Level::OPEN;
        self.workers.clear();
    }

    fn add(&mut self, ad: &WorkerAd) {
        self.slots = self.slots.saturating_add(ad.slots);
        self.load = self.load.saturating_add(u32::from(ad.load));
        self.level = self.level.max(ad.level);
    }

    /// Rounds load and level, so that small changes are not worth a new version.
    fn round(&mut self) {
        let step = (self.slots / LOAD_STEPS).max(1);
        self.load = self.load / step * step;
        if self.level != Level::OPEN {
            self.level = Level(self.level.0 / LEVEL_STEP * LEVEL_STEP);
        }
    }
}

impl Fleet {
    /// Tells the data centres that this member speaks to what has changed.
    pub(super) fn speak(&mut self, now_us: u64, out: &mut Vec<Send>) {
        let others: Vec<_> = self.remote.centres().keys().cloned().collect();
        let (mine, lost): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|other| self.speaks_to(other));
        for other in lost {
            self.speaker.lines.remove(&other);
        }
        if mine.is_empty() {
            return;
        }
        let offers = self.own_offers();
        self.speaker.update(offers, now_us);
        for other in mine {
            self.speak_to(&other, now_us, out);
        }
    }

    fn speaks_to(&self, other: &DataCentre) -> bool {
        let salt = stable_hash(&other.0);
        let weight = |member: &Member| mix(member.generation.0 ^ salt);
        let own = weight(&self.me);
        let mut live = self.members().filter(|member| member.status.is_live());
        live.all(|member| weight(member) <= own)
    }

    fn speak_to(&mut self, other: &DataCentre, now_us: u64, out: &mut Vec<Send>) {
        let Some(to) = self.contact_of(other) else {
            return;
        };
        let due = self.speaker.due(other, now_us);
        let mut message = self.message(Body::News);
        let line = self.speaker.line(other, now_us);
        if now_us >= line.beat_us {
            line.beat_us = now_us + BEAT_US;
            self.speaker.beat = self.speaker.beat.saturating_add(1);
            message.beats.push(self.own_beat());
        }
        let mut bytes = 0;
        for summary in due {
            let size_bytes = summary_cost(&summary);
            if bytes + size_bytes > DATAGRAM_BYTES && !message.summaries.is_empty() {
                let next = self.message(Body::News);
                self.send(to, std::mem::replace(&mut message, next), out);
                bytes = 0;
            }
            bytes += size_bytes;
            message.summaries.push(summary);
        }
        if !message.summaries.is_empty() || !message.beats.is_empty() {
            self.send(to, message, out);
        }
        self.compare_offers(other, to, now_us, out);
    }

    fn compare_offers(
        &mut self,
        other: &DataCentre,
        to: SocketAddr,
        now_us: u64,
        out: &mut Vec<Send>,
    ) {
        let Some((bits, part)) = self.speaker.due_part(other, now_us) else {
            return;
        };
        let offers = self.speaker.offers.values().map(|offer| &offer.summary);
        let entries = offers
            .map(|summary| (summary.key(), summary.version))
            .filter(|(key, _)| part_of(*key, bits) == part)
            .collect();
        self.send_digest(to, bits, part, entries, out);
    }

    fn contact_of(&mut self, other: &DataCentre) -> Option<SocketAddr> {
        let contacts = self.remote.centres().get(other)?.contacts.clone();
        let at = self.below(contacts.len());
        contacts.get(at).copied()
    }

    pub(super) fn own_beat(&self) -> Beat {
        let live = self.members().filter(|member| member.status.is_live());
        let revisions = live.map(|member| (member.revision, &member.place.name));
        let revisions: Vec<_> = revisions.collect();
        let of = |(revision, _): &(Revision, _)| *revision;
        let revision_max = revisions.iter().map(of).max().unwrap_or_default();
        let lagging = revisions
            .iter()
            .filter(|(revision, _)| *revision < revision_max);
        Beat {
            region: self.me.place.region.clone(),
            data_centre: self.me.place.data_centre.clone(),
            contact: self.me.place.gossip_addr,
            beat: self.speaker.beat,
            revision_min: revisions.iter().map(of).min().unwrap_or_default(),
            revision_max,
            lagging: lagging
                .map(|(_, name)| (*name).clone())
                .take(MAX_LAGGING)
                .collect(),
        }
    }

    /// What the own data centre offers now, service by service.
    fn own_offers(&self) -> BTreeMap<ServiceName, Summary> {
        let mut workers: Vec<_> = self
            .members()
            .filter(|member| member.takes_work() && member.status == super::Status::Alive)
            .filter_map(|member| Some((member, member.worker.as_ref()?)))
            .collect();
        workers.sort_unstable_by_key(|(member, _)| mix(member.generation.0));
        let mut offers = BTreeMap::new();
        for (member, ad) in workers {
            let summary = offers
                .entry(ad.service.clone())
                .or_insert_with(|| self.empty_offer(&ad.service));
            summary.add(ad);
            if summary.workers.len() < MAX_WORKERS {
                summary.workers.push(SummaryWorker {
                    place: member.place.clone(),
                    incarnation: ad.incarnation,
                    slots: ad.slots,
                });
            }
        }
        for summary in offers.values_mut() {
            summary.round();
        }
        offers
    }

    fn empty_offer(&self, service: &ServiceName) -> Summary {
        Summary {
            data_centre: self.me.place.data_centre.clone(),
            service: service.clone(),
            version: 1,
            slots: 0,
            load: 0,
            level: Level(0),
            workers: Vec::new(),
        }
    }
}
