//! Filling datagrams with news, and repairing by comparison of digests.

use {
    super::{
        Fleet,
        member::{Member, MemberKey},
        message::{Body, Digest, Message, Send, part_of},
        news::{Subject, Urgency},
        summary::{Beat, Summary},
    },
    crate::place::{DataCentre, Place},
    std::net::SocketAddr,
};

/// Estimated bytes that one datagram is filled up to.
const FILL_BYTES: usize = 1_250;

/// Estimated bytes of a datagram without records, its IP and UDP headers included.
const BASE_BYTES: usize = 90;

/// Estimated bytes of a light record.
const LIGHT_BYTES: usize = 36;

/// Estimated bytes of a key that is asked for.
const WANT_BYTES: usize = 10;

/// Estimated bytes of a digest entry.
const ENTRY_BYTES: usize = 15;

/// Records in one part of the key space that a digest aims at.
const PART_RECORDS: usize = 32;

/// Entries in one digest, at most.
const MAX_ENTRIES: usize = 72;

/// Datagrams with records in answer to one digest or want, at most.
const MAX_ANSWERS: usize = 3;

/// Finest division of the key space.
const MAX_BITS: u8 = 16;

impl Fleet {
    /// Sends a datagram and charges it to the budget.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message, out: &mut Vec<Send>) {
        self.timers.charge(cost(&message));
        self.counters.messages_out += 1;
        out.push(Send { to, message });
    }

    /// Adds queued news to a datagram; the receiver's own bad verdict goes first.
    pub(super) fn carry(&mut self, message: &mut Message, to: Option<MemberKey>) {
        let mut bytes = cost(message);
        if let Some(peer) = to.and_then(|key| self.peers.get(key)) {
            let light = peer.member.light();
            if light.status != super::member::Status::Alive {
                message.lights.push(light);
                bytes += LIGHT_BYTES;
            }
        }
        let only_high = !self.timers.has_budget();
        for (subject, urgency) in self.news.in_order() {
            if only_high && urgency < Urgency::High {
                break;
            }
            let Some(size_bytes) = self.put(&subject, FILL_BYTES.saturating_sub(bytes), message)
            else {
                continue;
            };
            bytes += size_bytes;
            self.news.sent(&subject);
            if bytes + LIGHT_BYTES > FILL_BYTES {
                break;
            }
        }
    }

    /// Puts one record into a datagram if it fits; tells its estimated size.
    fn put(&self, subject: &Subject, room_bytes: usize, message: &mut Message) -> Option<usize> {
        match subject {
            Subject::Light(generation) => {
                let light = self.by_generation(*generation)?.light();
                (LIGHT_BYTES <= room_bytes).then(|| message.lights.push(light))?;
                Some(LIGHT_BYTES)
            }
            Subject::Member(generation) => {
                let member = self.by_generation(*generation)?;
                let size_bytes = member_cost(member);
                (size_bytes <= room_bytes).then(|| message.members.push(member.clone()))?;
                Some(size_bytes)
            }
            Subject::Beat(data_centre) => {
                let beat = self.remote.beat(data_centre)?;
                let size_bytes = beat_cost(&beat);
                (size_bytes <= room_bytes).then(|| message.beats.push(beat))?;
                Some(size_bytes)
            }
            Subject::Summary(key) => {
                let summary = self.summary(*key)?;
                let size_bytes = summary_cost(summary);
                (size_bytes <= room_bytes).then(|| message.summaries.push(summary.clone()))?;
                Some(size_bytes)
            }
        }
    }

    fn by_generation(&self, generation: u64) -> Option<&Member> {
        if generation == self.me.generation.0 {
            return Some(&self.me);
        }
        let key = self.by_generation.get(&generation)?;
        self.peers.get(*key).map(|peer| &peer.member)
    }

    fn summary(&self, key: u64) -> Option<&Summary> {
        let held = self.remote.all_offers().get(&key);
        held.or_else(|| self.speaker.own_summary(key))
    }

    /// Sends queued news to a few random members.
    pub(super) fn gossip_round(&mut self, _now_us: u64, out: &mut Vec<Send>) {
        for key in self.random_live(self.rules.gossip_fanout, None) {
            if self.news.len() == 0 {
                return;
            }
            let mut message = self.message(Body::News);
            self.carry(&mut message, Some(key));
            if message.is_empty() {
                return;
            }
            let to = self.peers[key].member.place.gossip_addr;
            self.send(to, message, out);
        }
    }

    /// Compares one part of the key space with a random member.
    pub(super) fn sync_round(&mut self, out: &mut Vec<Send>) {
        let Some(key) = self.random_live(1, None).pop() else {
            return;
        };
        let records = self.peers.len() + 1 + self.remote.all_offers().len();
        let bits = bits_for(records);
        let part = self.timers.next_part() & ((1 << bits) - 1);
        let mut entries: Vec<_> = self
            .members()
            .map(|member| (member.generation.0, member.order()))
            .filter(|(key, _)| part_of(*key, bits) == part)
            .collect();
        let offers = self.remote.all_offers().iter();
        let offers = offers.filter(|(key, _)| part_of(**key, bits) == part);
        entries.extend(offers.map(|(key, summary)| (*key, summary.version)));
        entries.sort_unstable();
        let to = self.peers[key].member.place.gossip_addr;
        self.send_digest(to, bits, part, entries, out);
    }

    /// Sends a digest, unless it is too long for one datagram.
    pub(super) fn send_digest(
        &mut self,
        to: SocketAddr,
        bits: u8,
        part: u32,
        mut entries: Vec<(u64, u64)>,
        out: &mut Vec<Send>,
    ) {
        entries.truncate(MAX_ENTRIES);
        let digest = Digest {
            bits,
            part,
            entries,
        };
        let message = self.message(Body::Digest(digest));
        self.counters.digests += 1;
        self.send(to, message, out);
    }

    /// Asks for what is newer at the sender, and sends what is newer here.
    pub(super) fn answer_digest(
        &mut self,
        digest: &Digest,
        message: &Message,
        known: &mut Message,
        out: &mut Vec<Send>,
    ) {
        if digest.bits > MAX_BITS {
            return;
        }
        let is_local = message.data_centre == self.me.place.data_centre;
        let mut newer = Vec::new();
        for (key, order) in &digest.entries {
            match self.held_order(*key, is_local) {
                Some(held) if held > *order => newer.push(*key),
                Some(held) if held == *order => (),
                _ => known.wants.push(*key),
            }
        }
        known.wants.truncate(MAX_ENTRIES);
        if digest.entries.len() < MAX_ENTRIES {
            self.add_missing(digest, is_local, &message.data_centre, &mut newer);
        }
        self.send_records(&newer, message.from, true, out);
    }

    fn held_order(&self, key: u64, is_local: bool) -> Option<u64> {
        let summary = self.remote.all_offers().get(&key);
        if let Some(summary) = summary {
            return Some(summary.version);
        }
        let member = is_local.then(|| self.by_generation(key)).flatten();
        member.map(Member::order)
    }

    /// Adds the keys in the part of the digest that it does not name.
    fn add_missing(
        &mut self,
        digest: &Digest,
        is_local: bool,
        sender: &DataCentre,
        newer: &mut Vec<u64>,
    ) {
        let is_missing =
            |key: u64| digest.covers(key) && digest.entries.iter().all(|(named, _)| *named != key);
        let mut missing = Vec::new();
        if is_local {
            let live = self.members().filter(|member| member.status.is_live());
            let keys = live.map(|member| member.generation.0);
            missing.extend(keys.filter(|key| is_missing(*key)));
            self.shuffle(&mut missing);
        }
        let mut offers = Vec::new();
        for (key, summary) in self.remote.all_offers() {
            let is_told = is_local || summary.data_centre == *sender;
            if is_told && is_missing(*key) {
                offers.push(*key);
            }
        }
        offers.sort_unstable();
        self.shuffle(&mut offers);
        newer.extend(missing);
        newer.extend(offers);
    }

    fn shuffle(&mut self, keys: &mut [u64]) {
        for at in (1..keys.len()).rev() {
            let other = self.below(at + 1);
            keys.swap(at, other);
        }
    }

    /// Sends the whole records that another daemon asks for.
    pub(super) fn answer_wants(
        &mut self,
        wants: &[u64],
        to: SocketAddr,
        repair: bool,
        out: &mut Vec<Send>,
    ) {
        let wants = &wants[..wants.len().min(MAX_ENTRIES)];
        self.send_records(wants, to, repair, out);
    }

    fn send_records(&mut self, keys: &[u64], to: SocketAddr, repair: bool, out: &mut Vec<Send>) {
        let mut keys = keys.iter().copied().peekable();
        for _ in 0..MAX_ANSWERS {
            if keys.peek().is_none() {
                return;
            }
            let mut message = self.message(Body::News);
            message.repair = repair;
            let mut bytes = cost(&message);
            while let Some(key) = keys.peek().copied() {
                let subject = if self.by_generation(key).is_some() {
                    Subject::Member(key)
                } else {
                    Subject::Summary(key)
                };
                let room_bytes = FILL_BYTES.saturating_sub(bytes);
                let size_bytes = self.put(&subject, room_bytes, &mut message);
                if size_bytes.is_none() && !message.is_empty() {
                    break;
                }
                bytes += size_bytes.unwrap_or(0);
                keys.next();
            }
            if message.is_empty() {
                return;
            }
            self.send(to, message, out);
        }
    }
}

impl Message {
    fn is_empty(&self) -> bool {
        self.members.is_empty()
            && self.lights.is_empty()
            && self.beats.is_empty()
            && self.summaries.is_empty()
            && self.wants.is_empty()
    }
}

/// Division of the key space at which a part holds a datagram's worth of entries.
pub(super) fn bits_for(records: usize) -> u8 {
    let parts = (records / PART_RECORDS).max(1).next_power_of_two();
    (parts.trailing_zeros() as u8).min(MAX_BITS)
}

/// Estimated bytes of a datagram on the wire.
pub(super) fn cost(message: &Message) -> usize {
    let body = match &message.body {
        Body::Digest(digest) => digest.entries.len() * ENTRY_BYTES,
        _ => 0,
    };
    BASE_BYTES
        + body
        + message.lights.len() * LIGHT_BYTES
        + message.wants.len() * WANT_BYTES
        + message.members.iter().map(member_cost).sum::<usize>()
        + message.beats.iter().map(beat_cost).sum::<usize>()
        + message.summaries.iter().map(summary_cost).sum::<usize>()
}

fn place_cost(place: &Place) -> usize {
    let text = place.name.len() + place.region.0.len() + place.data_centre.0.len();
    44 + text + text / 8
}

fn member_cost(member: &Member) -> usize {
    let service = member.worker.as_ref().map_or(0, |ad| ad.service.len() + 24);
    LIGHT_BYTES + 12 + place_cost(&member.place) + service + member.suspects.len() * 9 / 8
}

fn beat_cost(beat: &Beat) -> usize {
    let lagging: usize = beat.lagging.iter().map(|name| name.len() + 8).sum();
    48 + beat.region.0.len() + beat.data_centre.0.len() + lagging
}

/// Estimated bytes of a summary on the wire.
pub(super) fn summary_cost(summary: &Summary) -> usize {
    let workers = summary
        .workers
        .iter()
        .map(|worker| 16 + place_cost(&worker.place));
    48 + summary.data_centre.0.len() + summary.service.len() + workers.sum::<usize>()
}
