//! Merges records received from other daemons.
//!
//! The record with the higher generation, version and status wins, whatever the order of arrival.

use {
    super::{
        Fleet, MAX_RECEIVED_DIGESTS, MAX_SUSPECTS_BYTES, NewestConfig, Peer, level_differs,
        member::{Generation, Member, MemberKey, MemberState, Status},
        message::{Body, Message, Outgoing},
        report::Event,
        summary::{Heartbeat, Summary},
        update_queue::{Priority, UpdateKey},
    },
    std::mem,
};

/// Number of new members and new or changed summaries in one datagram that brings the next
/// anti-entropy round forward.
const CATCH_UP_RECORDS: usize = 3;

impl Fleet {
    /// Merges one received datagram and appends the replies to `out`.
    pub fn receive(&mut self, message: &Message, now_us: u64, out: &mut Vec<Outgoing>) {
        self.counters.messages_in += 1;
        if message.generation == self.local.generation {
            return;
        }
        let is_local = self.is_in_scope(&message.data_centre);
        let mut requested_keys = Vec::new();
        let mut new_records = 0;
        if is_local {
            new_records += self.merge_members(message, now_us);
            self.merge_states(&message.states, now_us, &mut requested_keys);
            self.record_contact(message.generation, now_us, &mut requested_keys);
        } else {
            self.record_remote_sender(message);
        }
        let mut reply = self.message(Body::Gossip);
        self.merge_heartbeats(&message.heartbeats, now_us, is_local, &mut reply);
        new_records += self.merge_summaries(message, is_local, &mut reply);
        if new_records >= CATCH_UP_RECORDS {
            self.timers.schedule_sync(now_us);
        }
        reply.requested_keys = requested_keys;
        let from = message.from;
        self.send_requested(&message.requested_keys, from, message.is_repair, out);
        if let Body::Digest(digest) = &message.body {
            reply.is_repair = true;
            self.handle_digest(digest, message, &mut reply, out);
        }
        if !reply.requested_keys.is_empty()
            || !reply.heartbeats.is_empty()
            || !reply.summaries.is_empty()
        {
            self.send(from, reply, out);
        }
        self.handle_probe(message, now_us, out);
    }

    /// Adds the sender, a daemon of another data centre, to the contacts of its data centre.
    fn record_remote_sender(&mut self, message: &Message) {
        let is_new = self
            .remote
            .add_contact(&message.data_centre, &message.region, message.from);
        if is_new {
            let update_key = UpdateKey::Heartbeat(message.data_centre.clone());
            self.updates
                .push(update_key, Priority::Normal, self.live_peers);
            self.events.push(Event::CentreDiscovered {
                data_centre: message.data_centre.clone(),
            });
        }
    }

    /// Records a message from a member, or requests the record of an unknown one.
    fn record_contact(
        &mut self,
        generation: Generation,
        now_us: u64,
        requested_keys: &mut Vec<u64>,
    ) {
        let Some(key) = self.by_generation.get(&generation.0).copied() else {
            requested_keys.push(generation.0);
            return;
        };
        if let Some(peer) = self.peers.get_mut(key) {
            peer.last_seen_us = now_us;
        }
    }

    fn merge_members(&mut self, message: &Message, now_us: u64) -> usize {
        let mut new_records = 0;
        for member in &message.members {
            if !self.is_in_scope(&member.place.data_centre) {
                continue;
            }
            if member.place.name == self.local.place.name {
                self.refute_if_wrong(member.generation, member.status, member.version, now_us);
            } else {
                new_records += usize::from(self.merge_member(member, message.is_repair, now_us));
            }
        }
        new_records
    }

    fn merge_states(&mut self, states: &[MemberState], now_us: u64, requested_keys: &mut Vec<u64>) {
        for state in states {
            if state.generation == self.local.generation {
                self.refute_if_wrong(state.generation, state.status, state.version, now_us);
            } else {
                self.merge_state(state, now_us, requested_keys);
            }
        }
    }

    /// Refutes a record of this daemon that is wrong or newer than its own.
    ///
    /// A higher generation stems from an earlier incarnation of this daemon whose clock was ahead;
    /// this one then moves to a generation above it.
    pub(super) fn refute_if_wrong(
        &mut self,
        generation: Generation,
        status: Status,
        version: u32,
        now_us: u64,
    ) {
        if generation < self.local.generation || !self.local.status.is_live() {
            return;
        }
        if generation > self.local.generation {
            self.local.generation = Generation(generation.0.saturating_add(1));
            self.announce_body();
            self.events.push(Event::GenerationRenewed);
            return;
        }
        let is_wrong = status != Status::Alive && version >= self.local.version;
        if is_wrong || version > self.local.version {
            self.local.version = version;
            self.announce_state(Priority::High);
            self.counters.refutations += 1;
            self.timers.schedule_sync(now_us);
        }
    }

    /// Merges the whole record of a member; returns whether the member was unknown.
    pub(super) fn merge_member(&mut self, member: &Member, is_repair: bool, now_us: u64) -> bool {
        if member.suspects.len() > MAX_SUSPECTS_BYTES {
            return false;
        }
        self.queue_suspects(member);
        let Some(key) = self.by_name.get(&member.place.name).copied() else {
            return self.insert(member, is_repair, now_us);
        };
        let Some(peer) = self.peers.get_mut(key) else {
            return false;
        };
        if peer.member.generation < member.generation {
            self.remove(key);
            return self.insert(member, is_repair, now_us);
        }
        let is_newer = peer.member.generation == member.generation
            && peer.member.precedence() < member.precedence();
        if is_newer {
            self.unindex_worker(key);
            let peer = &mut self.peers[key];
            let before = mem::replace(&mut peer.member, member.clone());
            self.index_worker(key);
            self.record_change(key, &before, now_us);
        }
        false
    }

    /// Queues a member's crash-suspect digest if it has changed.
    ///
    /// Digests may be merged in any order.
    fn queue_suspects(&mut self, member: &Member) {
        let key = self.by_name.get(&member.place.name);
        let peer = key.and_then(|key| self.peers.get(*key));
        let is_known = peer.is_some_and(|peer| peer.member.suspects == member.suspects);
        if !is_known
            && !member.suspects.is_empty()
            && self.received_suspects.len() < MAX_RECEIVED_DIGESTS
        {
            self.received_suspects.push(member.suspects.clone());
        }
    }

    /// Merges the state of a known member, or requests its whole record if that has changed.
    fn merge_state(&mut self, state: &MemberState, now_us: u64, requested_keys: &mut Vec<u64>) {
        let Some(key) = self.by_generation.get(&state.generation.0).copied() else {
            if state.status.is_live() {
                requested_keys.push(state.generation.0);
            }
            return;
        };
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        let revision = state.revision;
        peer.member.revision = peer.member.revision.max(revision);
        let known = self.newest_config.as_ref().map(|newest| newest.revision);
        if known.is_none_or(|known| revision >= known) {
            self.newest_config = Some(NewestConfig {
                revision,
                call_addr: peer.member.place.call_addr,
                reporter: key,
            });
        }
        if known.is_none_or(|known| revision > known) {
            self.forward_report(revision, key, now_us);
        }
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        if state.precedence() <= peer.member.precedence() {
            return;
        }
        if state.body_version > peer.member.body_version {
            requested_keys.push(state.generation.0);
            return;
        }
        let before = peer.member.clone();
        peer.member.apply(state);
        self.record_change(key, &before, now_us);
    }

    fn insert(&mut self, member: &Member, is_repair: bool, now_us: u64) -> bool {
        if !member.status.is_live() {
            return false;
        }
        let key = self.peers.insert(Peer {
            member: member.clone(),
            last_seen_us: now_us,
            changed_us: now_us,
            rtt_us: None,
            call_failed_us: None,
            reprobed: false,
        });
        self.by_generation.insert(member.generation.0, key);
        self.by_name.insert(member.place.name.clone(), key);
        self.index_worker(key);
        self.live_peers += 1;
        self.probes.add(key, &mut self.rng);
        let update_key = UpdateKey::MemberRecord(member.generation.0);
        self.updates
            .push(update_key, priority_of_unknown(is_repair), self.live_peers);
        self.events.push(Event::Joined {
            name: member.place.name.clone(),
        });
        true
    }

    /// Removes a member and all its index entries.
    pub(super) fn remove(&mut self, key: MemberKey) {
        self.unindex_worker(key);
        let Some(peer) = self.peers.remove(key) else {
            return;
        };
        let generation = peer.member.generation.0;
        self.by_generation.remove(&generation);
        self.by_name.remove(&peer.member.place.name);
        self.updates.remove(&UpdateKey::MemberState(generation));
        self.updates.remove(&UpdateKey::MemberRecord(generation));
        self.live_peers -= usize::from(peer.member.status.is_live());
    }

    /// Raises the status of a member on this daemon's own judgement.
    pub(super) fn set_status(&mut self, key: MemberKey, status: Status, now_us: u64) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        if peer.member.status >= status {
            return;
        }
        let before = peer.member.clone();
        peer.member.status = status;
        self.record_change(key, &before, now_us);
    }

    /// Updates counters, events, the probe list and the update queue after a record has changed.
    fn record_change(&mut self, key: MemberKey, before: &Member, now_us: u64) {
        let peer = &mut self.peers[key];
        let after = &peer.member;
        let generation = after.generation.0;
        let priority = priority_of_change(before, after);
        let event = Event::of_change(before, after);
        // A suspicion of a later version restarts the suspicion timeout, even if the refutation in
        // between was lost.
        if before.status != after.status || before.version != after.version {
            peer.changed_us = now_us;
            peer.reprobed = false;
        }
        let (was_live, is_live) = (before.status.is_live(), after.status.is_live());
        let update_key = if before.body_version == after.body_version {
            UpdateKey::MemberState(generation)
        } else {
            UpdateKey::MemberRecord(generation)
        };
        self.live_peers = self.live_peers + usize::from(is_live) - usize::from(was_live);
        if is_live && !was_live {
            self.probes.add(key, &mut self.rng);
        }
        if let Some(event) = event {
            self.counters.count(&event);
            self.events.push(event);
        }
        self.updates.push(update_key, priority, self.live_peers);
    }

    fn index_worker(&mut self, key: MemberKey) {
        if let Some(worker) = &self.peers[key].member.worker {
            let keys = self.by_service.entry(worker.service.clone()).or_default();
            keys.push(key);
            self.by_incarnation.insert(worker.incarnation, key);
        }
    }

    fn unindex_worker(&mut self, key: MemberKey) {
        let Some(worker) = self
            .peers
            .get(key)
            .and_then(|peer| peer.member.worker.as_ref())
        else {
            return;
        };
        if let Some(keys) = self.by_service.get_mut(&worker.service) {
            keys.retain(|held| *held != key);
            if keys.is_empty() {
                self.by_service.remove(&worker.service);
            }
        }
        if self.by_incarnation.get(&worker.incarnation) == Some(&key) {
            self.by_incarnation.remove(&worker.incarnation);
        }
    }

    fn merge_heartbeats(
        &mut self,
        heartbeats: &[Heartbeat],
        now_us: u64,
        is_local: bool,
        reply: &mut Message,
    ) {
        for heartbeat in heartbeats {
            if heartbeat.data_centre == self.local.place.data_centre {
                self.publisher.raise_sequence(heartbeat.sequence);
                continue;
            }
            let update_key = UpdateKey::Heartbeat(heartbeat.data_centre.clone());
            if !self.remote.contains(&heartbeat.data_centre) {
                self.remote.add_contact(
                    &heartbeat.data_centre,
                    &heartbeat.region,
                    heartbeat.contact,
                );
                self.remote.merge_heartbeat(heartbeat, now_us);
                self.updates
                    .push(update_key, Priority::Normal, self.live_peers);
            } else if self.remote.merge_heartbeat(heartbeat, now_us) {
                self.updates
                    .push(update_key, Priority::Low, self.live_peers);
            } else if !is_local {
                reply
                    .heartbeats
                    .extend(self.remote.heartbeat(&heartbeat.data_centre));
            }
        }
    }

    fn merge_summaries(&mut self, message: &Message, is_local: bool, reply: &mut Message) -> usize {
        let mut new_records = 0;
        let unknown_priority = priority_of_unknown(message.is_repair);
        for summary in &message.summaries {
            if summary.data_centre == self.local.place.data_centre {
                self.publisher.raise_version(summary);
            } else if let Some(priority) = self.remote.merge_summary(summary, unknown_priority) {
                new_records += 1;
                let update_key = UpdateKey::Summary(summary.key());
                self.updates.push(update_key, priority, self.live_peers);
            } else if !is_local {
                self.add_newer_summary(summary, reply);
            }
        }
        new_records
    }

    /// Adds a newer summary to the reply if the sender's one is outdated.
    fn add_newer_summary(&self, summary: &Summary, reply: &mut Message) {
        let held = self.remote.all_summaries().get(&summary.key());
        reply
            .summaries
            .extend(held.filter(|held| *held != summary).cloned());
    }
}

/// Priority of a previously unknown record: low if anti-entropy brought it, as other members
/// already have it.
fn priority_of_unknown(is_repair: bool) -> Priority {
    if is_repair {
        Priority::Low
    } else {
        Priority::High
    }
}

fn priority_of_change(before: &Member, after: &Member) -> Priority {
    let is_draining =
        |member: &Member| member.worker.as_ref().is_some_and(|worker| worker.draining);
    let is_high = before.status != after.status
        || before.body_version != after.body_version
        || is_draining(before) != is_draining(after);
    if is_high {
        return Priority::High;
    }
    let level_changed = match (&before.worker, &after.worker) {
        (Some(before), Some(after)) => level_differs(before.level, after.level),
        _ => false,
    };
    if level_changed || before.revision != after.revision {
        return Priority::Normal;
    }
    Priority::Low
}
