//! Piggybacking of queued updates on datagrams, and anti-entropy by comparison of digests.
//!
//! Datagrams are filled by estimated sizes up to [`MAX_FILL_BYTES`], which leaves a margin below
//! [`super::message::MAX_DATAGRAM_BYTES`].

use {
    super::{
        Fleet,
        member::{Member, MemberKey},
        message::{Body, Digest, Message, Outgoing, part_of},
        summary::{Heartbeat, Summary},
        update_queue::{Priority, UpdateKey},
    },
    crate::place::{DataCentre, Place},
    std::net::SocketAddr,
};

/// Estimated size up to which one datagram is filled.
const MAX_FILL_BYTES: usize = 1_250;

/// Estimated size of a datagram without records, including its IP and UDP headers.
const BASE_BYTES: usize = 90;

/// Estimated size of a member state.
const STATE_BYTES: usize = 36;

/// Estimated size of a requested key.
const KEY_BYTES: usize = 10;

/// Estimated size of a digest entry.
const ENTRY_BYTES: usize = 15;

/// Target number of records in one partition of the key space.
const RECORDS_PER_PART: usize = 32;

/// Maximum number of entries in one digest, and of keys in one request.
const MAX_ENTRIES: usize = 72;

/// Maximum number of datagrams sent in reply to one digest or request for records.
const MAX_REPLIES: usize = 3;

/// Maximum number of bits that select a partition of the key space.
const MAX_BITS: u8 = 16;

impl Fleet {
    /// Queues a datagram for sending and charges it to the byte budget.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message, out: &mut Vec<Outgoing>) {
        self.timers.charge(datagram_bytes(&message));
        self.counters.messages_out += 1;
        out.push(Outgoing { to, message });
    }

    /// Adds queued updates to a datagram.
    ///
    /// If the receiver is not recorded as alive, its recorded state goes first, so that it can
    /// refute it.
    pub(super) fn piggyback(&mut self, message: &mut Message, to: Option<MemberKey>) {
        let mut bytes = datagram_bytes(message);
        if let Some(peer) = to.and_then(|key| self.peers.get(key)) {
            let state = peer.member.state();
            if state.status != super::member::Status::Alive {
                message.states.push(state);
                bytes += STATE_BYTES;
            }
        }
        let is_far = to.is_some_and(|key| self.is_far(key));
        if is_far && !self.timers.has_far_budget() {
            return;
        }
        let bytes_before = bytes;
        let is_over_budget = !self.timers.has_budget();
        for (update_key, priority) in self.updates.in_order() {
            if is_over_budget && priority < Priority::High {
                break;
            }
            let Some(size_bytes) =
                self.try_add(&update_key, MAX_FILL_BYTES.saturating_sub(bytes), message)
            else {
                continue;
            };
            bytes += size_bytes;
            self.updates.record_sent(&update_key);
            if bytes + STATE_BYTES > MAX_FILL_BYTES {
                break;
            }
        }
        if is_far {
            self.timers.charge_far(bytes - bytes_before);
        }
    }

    /// Adds one record to a datagram if it fits; returns its estimated size, or `None` if it does
    /// not fit or no longer exists.
    fn try_add(
        &self,
        update_key: &UpdateKey,
        available_bytes: usize,
        message: &mut Message,
    ) -> Option<usize> {
        match update_key {
            UpdateKey::MemberState(generation) => {
                let state = self.member_by_generation(*generation)?.state();
                (STATE_BYTES <= available_bytes).then(|| message.states.push(state))?;
                Some(STATE_BYTES)
            }
            UpdateKey::MemberRecord(generation) => {
                let member = self.member_by_generation(*generation)?;
                let size_bytes = member_bytes(member);
                (size_bytes <= available_bytes).then(|| message.members.push(member.clone()))?;
                Some(size_bytes)
            }
            UpdateKey::Heartbeat(data_centre) => {
                let heartbeat = self.remote.heartbeat(data_centre)?;
                let size_bytes = heartbeat_bytes(&heartbeat);
                (size_bytes <= available_bytes).then(|| message.heartbeats.push(heartbeat))?;
                Some(size_bytes)
            }
            UpdateKey::Summary(key) => {
                let summary = self.summary(*key)?;
                let size_bytes = summary_bytes(summary);
                (size_bytes <= available_bytes).then(|| message.summaries.push(summary.clone()))?;
                Some(size_bytes)
            }
        }
    }

    fn member_by_generation(&self, generation: u64) -> Option<&Member> {
        if generation == self.local.generation.0 {
            return Some(&self.local);
        }
        let key = self.by_generation.get(&generation)?;
        self.peers.get(*key).map(|peer| &peer.member)
    }

    fn summary(&self, key: u64) -> Option<&Summary> {
        let held = self.remote.all_summaries().get(&key);
        held.or_else(|| self.publisher.local_summary(key))
    }

    /// Sends queued updates to a few random members.
    pub(super) fn gossip_round(&mut self, _now_us: u64, out: &mut Vec<Outgoing>) {
        for key in self.round_targets(self.rules.gossip_fanout) {
            if self.updates.len() == 0 {
                return;
            }
            let mut message = self.message(Body::Gossip);
            self.piggyback(&mut message, Some(key));
            if message.is_empty() {
                return;
            }
            let to = self.peers[key].member.place.gossip_addr;
            self.send(to, message, out);
        }
    }

    /// Sends the digest of the next partition of the key space to a random member.
    pub(super) fn sync_round(&mut self, out: &mut Vec<Outgoing>) {
        let Some(key) = self.round_targets(1).pop() else {
            return;
        };
        let records = self.peers.len() + 1 + self.remote.all_summaries().len();
        let bits = bits_for(records);
        let part = self.timers.next_part() & ((1 << bits) - 1);
        let mut entries: Vec<_> = self
            .members()
            .map(|member| (member.generation.0, member.precedence()))
            .filter(|(key, _)| part_of(*key, bits) == part)
            .collect();
        let summaries = self.remote.all_summaries().iter();
        let summaries = summaries.filter(|(key, _)| part_of(**key, bits) == part);
        entries.extend(summaries.map(|(key, summary)| (*key, summary.version)));
        entries.sort_unstable();
        let to = self.peers[key].member.place.gossip_addr;
        self.send_digest(to, bits, part, entries, out);
    }

    /// Sends a digest, truncated to the entries that fit into one datagram.
    pub(super) fn send_digest(
        &mut self,
        to: SocketAddr,
        bits: u8,
        part: u32,
        mut entries: Vec<(u64, u64)>,
        out: &mut Vec<Outgoing>,
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

    /// Requests the records that are newer at the sender, and sends those that are newer here.
    pub(super) fn handle_digest(
        &mut self,
        digest: &Digest,
        message: &Message,
        reply: &mut Message,
        out: &mut Vec<Outgoing>,
    ) {
        if digest.bits > MAX_BITS {
            return;
        }
        let is_local = self.is_in_scope(&message.data_centre);
        let mut newer = Vec::new();
        for (key, precedence) in &digest.entries {
            match self.held_precedence(*key, is_local) {
                Some(held) if held > *precedence => newer.push(*key),
                Some(held) if held == *precedence => (),
                _ => reply.requested_keys.push(*key),
            }
        }
        reply.requested_keys.truncate(MAX_ENTRIES);
        // A digest with `MAX_ENTRIES` entries may be truncated, so the sender may hold records that
        // are absent from it.
        if digest.entries.len() < MAX_ENTRIES {
            self.add_missing(digest, is_local, &message.data_centre, &mut newer);
        }
        self.send_records(&newer, message.from, true, out);
    }

    fn held_precedence(&self, key: u64, is_local: bool) -> Option<u64> {
        let summary = self.remote.all_summaries().get(&key);
        if let Some(summary) = summary {
            return Some(summary.version);
        }
        let member = is_local.then(|| self.member_by_generation(key)).flatten();
        member.map(Member::precedence)
    }

    /// Adds the local keys in the partition of the digest that the digest lacks.
    fn add_missing(
        &mut self,
        digest: &Digest,
        is_local: bool,
        sender: &DataCentre,
        newer: &mut Vec<u64>,
    ) {
        let is_missing = |key: u64| {
            digest.covers(key) && digest.entries.iter().all(|(listed, _)| *listed != key)
        };
        let mut missing = Vec::new();
        if is_local {
            let live = self.members().filter(|member| member.status.is_live());
            let keys = live.map(|member| member.generation.0);
            missing.extend(keys.filter(|key| is_missing(*key)));
            self.shuffle(&mut missing);
        }
        let mut summaries = Vec::new();
        for (key, summary) in self.remote.all_summaries() {
            // A daemon of another data centre sends digests of its own summaries only.
            let is_covered = is_local || summary.data_centre == *sender;
            if is_covered && is_missing(*key) {
                summaries.push(*key);
            }
        }
        summaries.sort_unstable();
        self.shuffle(&mut summaries);
        newer.extend(missing);
        newer.extend(summaries);
    }

    fn shuffle(&mut self, keys: &mut [u64]) {
        for at in (1..keys.len()).rev() {
            let other = self.random_below(at + 1);
            keys.swap(at, other);
        }
    }

    /// Sends the whole records that another daemon has requested.
    pub(super) fn send_requested(
        &mut self,
        requested_keys: &[u64],
        to: SocketAddr,
        is_repair: bool,
        out: &mut Vec<Outgoing>,
    ) {
        let requested_keys = &requested_keys[..requested_keys.len().min(MAX_ENTRIES)];
        self.send_records(requested_keys, to, is_repair, out);
    }

    fn send_records(
        &mut self,
        keys: &[u64],
        to: SocketAddr,
        is_repair: bool,
        out: &mut Vec<Outgoing>,
    ) {
        let mut keys = keys.iter().copied().peekable();
        for _ in 0..MAX_REPLIES {
            if keys.peek().is_none() {
                return;
            }
            let mut message = self.message(Body::Gossip);
            message.is_repair = is_repair;
            let mut bytes = datagram_bytes(&message);
            while let Some(key) = keys.peek().copied() {
                let update_key = if self.member_by_generation(key).is_some() {
                    UpdateKey::MemberRecord(key)
                } else {
                    UpdateKey::Summary(key)
                };
                let available_bytes = MAX_FILL_BYTES.saturating_sub(bytes);
                let size_bytes = self.try_add(&update_key, available_bytes, &mut message);
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
            && self.states.is_empty()
            && self.heartbeats.is_empty()
            && self.summaries.is_empty()
            && self.requested_keys.is_empty()
    }
}

/// Returns the number of partition bits at which a digest of one partition fits into a datagram.
pub(super) fn bits_for(records: usize) -> u8 {
    let parts = (records / RECORDS_PER_PART).max(1).next_power_of_two();
    (parts.trailing_zeros() as u8).min(MAX_BITS)
}

/// Returns the estimated size of a datagram on the wire.
pub(super) fn datagram_bytes(message: &Message) -> usize {
    let body = match &message.body {
        Body::Digest(digest) => digest.entries.len() * ENTRY_BYTES,
        _ => 0,
    };
    BASE_BYTES
        + body
        + message.states.len() * STATE_BYTES
        + message.requested_keys.len() * KEY_BYTES
        + message.members.iter().map(member_bytes).sum::<usize>()
        + message
            .heartbeats
            .iter()
            .map(heartbeat_bytes)
            .sum::<usize>()
        + message.summaries.iter().map(summary_bytes).sum::<usize>()
}

fn place_bytes(place: &Place) -> usize {
    let text = place.name.len() + place.region.0.len() + place.data_centre.0.len();
    44 + text + text / 8
}

fn member_bytes(member: &Member) -> usize {
    let service = member
        .worker
        .as_ref()
        .map_or(0, |worker| worker.service.len() + 24);
    STATE_BYTES + 12 + place_bytes(&member.place) + service + member.suspects.len() * 9 / 8
}

fn heartbeat_bytes(heartbeat: &Heartbeat) -> usize {
    let lagging: usize = heartbeat.lagging.iter().map(|name| name.len() + 8).sum();
    48 + heartbeat.region.0.len() + heartbeat.data_centre.0.len() + lagging
}

/// Returns the estimated size of a summary on the wire.
pub(super) fn summary_bytes(summary: &Summary) -> usize {
    let workers = summary
        .workers
        .iter()
        .map(|worker| 16 + place_bytes(&worker.place));
    48 + summary.data_centre.0.len() + summary.service.len() + workers.sum::<usize>()
}
