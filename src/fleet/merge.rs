//! Taking over what other daemons tell: the newer record of a member wins, whatever the order of
//! arrival.

use {
    super::{
        Fleet, MAX_HEARD, MAX_SUSPECTS_BYTES, Peer, level_differs,
        member::{Generation, Light, Member, MemberKey, Status},
        message::{Body, Message, Send},
        news::{Subject, Urgency},
        report::Event,
        summary::{Beat, Summary},
    },
    std::mem,
};

/// New records in one datagram above which the next comparison of digests comes at once.
const CATCH_UP_RECORDS: usize = 3;

impl Fleet {
    /// Takes one datagram and answers it.
    pub fn receive(&mut self, message: &Message, now_us: u64, out: &mut Vec<Send>) {
        self.counters.messages_in += 1;
        if message.generation == self.me.generation {
            return;
        }
        let is_local = message.data_centre == self.me.place.data_centre;
        let mut wants = Vec::new();
        let mut fresh = 0;
        if is_local {
            fresh += self.take_members(message, now_us);
            self.take_lights(&message.lights, now_us, &mut wants);
            self.heard(message.generation, now_us, &mut wants);
        } else {
            self.meet(message);
        }
        let mut known = self.message(Body::News);
        self.take_beats(&message.beats, now_us, is_local, &mut known);
        fresh += self.take_summaries(message, is_local, &mut known);
        if fresh >= CATCH_UP_RECORDS {
            self.timers.sync_soon(now_us);
        }
        known.wants = wants;
        let from = message.from;
        self.answer_wants(&message.wants, from, message.repair, out);
        if let Body::Digest(digest) = &message.body {
            known.repair = true;
            self.answer_digest(digest, message, &mut known, out);
        }
        if !known.wants.is_empty() || !known.beats.is_empty() || !known.summaries.is_empty() {
            self.send(from, known, out);
        }
        self.answer_probe(message, now_us, out);
    }

    fn meet(&mut self, message: &Message) {
        let is_new = self
            .remote
            .meet(&message.data_centre, &message.region, message.from);
        if is_new {
            let subject = Subject::Beat(message.data_centre.clone());
            self.news.push(subject, Urgency::Normal, self.live);
            self.events.push(Event::CentreMet {
                data_centre: message.data_centre.clone(),
            });
        }
    }

    fn heard(&mut self, generation: Generation, now_us: u64, wants: &mut Vec<u64>) {
        let Some(key) = self.by_generation.get(&generation.0).copied() else {
            wants.push(generation.0);
            return;
        };
        if let Some(peer) = self.peers.get_mut(key) {
            peer.heard_us = now_us;
        }
    }

    fn take_members(&mut self, message: &Message, now_us: u64) -> usize {
        let mut fresh = 0;
        for member in &message.members {
            if member.place.data_centre != self.me.place.data_centre {
                continue;
            }
            if member.place.name == self.me.place.name {
                self.hear_of_self(member.generation, member.status, member.version, now_us);
            } else {
                fresh += usize::from(self.take_member(member, message.repair, now_us));
            }
        }
        fresh
    }

    fn take_lights(&mut self, lights: &[Light], now_us: u64, wants: &mut Vec<u64>) {
        for light in lights {
            if light.generation == self.me.generation {
                self.hear_of_self(light.generation, light.status, light.version, now_us);
            } else {
                self.take_light(light, now_us, wants);
            }
        }
    }

    /// Refutes what others say of this daemon, if it is wrong or newer than what it said itself.
    fn hear_of_self(&mut self, generation: Generation, status: Status, version: u32, now_us: u64) {
        if generation < self.me.generation || !self.me.status.is_live() {
            return;
        }
        if generation > self.me.generation {
            self.me.generation = Generation(generation.0.saturating_add(1));
            self.announce_body();
            self.events.push(Event::Renewed);
            return;
        }
        let is_wrong = status != Status::Alive && version >= self.me.version;
        if is_wrong || version > self.me.version {
            self.me.version = version;
            self.announce_light(Urgency::High);
            self.counters.refutations += 1;
            self.timers.sync_soon(now_us);
        }
    }

    /// Tells whether the member was unknown.
    fn take_member(&mut self, member: &Member, repair: bool, now_us: u64) -> bool {
        if member.suspects.len() > MAX_SUSPECTS_BYTES {
            return false;
        }
        self.hear_suspects(member);
        let Some(key) = self.by_name.get(&member.place.name).copied() else {
            return self.insert(member, repair, now_us);
        };
        let Some(peer) = self.peers.get_mut(key) else {
            return false;
        };
        if peer.member.generation < member.generation {
            self.remove(key);
            return self.insert(member, repair, now_us);
        }
        let is_newer =
            peer.member.generation == member.generation && peer.member.order() < member.order();
        if is_newer {
            self.unindex_worker(key);
            let peer = &mut self.peers[key];
            let before = mem::replace(&mut peer.member, member.clone());
            self.index_worker(key);
            self.note_change(key, &before, now_us);
        }
        false
    }

    /// Keeps a digest for whoever merges it; digests may be taken in any order.
    fn hear_suspects(&mut self, member: &Member) {
        let key = self.by_name.get(&member.place.name);
        let known = key.and_then(|key| self.peers.get(*key));
        let is_known = known.is_some_and(|peer| peer.member.suspects == member.suspects);
        if !is_known && !member.suspects.is_empty() && self.heard_suspects.len() < MAX_HEARD {
            self.heard_suspects.push(member.suspects.clone());
        }
    }

    fn take_light(&mut self, light: &Light, now_us: u64, wants: &mut Vec<u64>) {
        let Some(key) = self.by_generation.get(&light.generation.0).copied() else {
            if light.status.is_live() {
                wants.push(light.generation.0);
            }
            return;
        };
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        if light.order() <= peer.member.order() {
            return;
        }
        if light.body_version > peer.member.body_version {
            wants.push(light.generation.0);
            return;
        }
        let before = peer.member.clone();
        peer.member.apply(light);
        self.note_change(key, &before, now_us);
    }

    fn insert(&mut self, member: &Member, repair: bool, now_us: u64) -> bool {
        if !member.status.is_live() {
            return false;
        }
        let key = self.peers.insert(Peer {
            member: member.clone(),
            heard_us: now_us,
            changed_us: now_us,
            rtt_us: None,
            failed_us: None,
            checked: false,
        });
        self.by_generation.insert(member.generation.0, key);
        self.by_name.insert(member.place.name.clone(), key);
        self.index_worker(key);
        self.live += 1;
        self.probes.add(key, &mut self.rng);
        let subject = Subject::Member(member.generation.0);
        self.news.push(subject, urgency_of_new(repair), self.live);
        self.events.push(Event::Joined {
            name: member.place.name.clone(),
        });
        true
    }

    /// Forgets a member altogether.
    pub(super) fn remove(&mut self, key: MemberKey) {
        self.unindex_worker(key);
        let Some(peer) = self.peers.remove(key) else {
            return;
        };
        let generation = peer.member.generation.0;
        self.by_generation.remove(&generation);
        self.by_name.remove(&peer.member.place.name);
        self.news.forget(&Subject::Light(generation));
        self.news.forget(&Subject::Member(generation));
        self.live -= usize::from(peer.member.status.is_live());
    }

    /// Changes the verdict on a member without a word of its own.
    pub(super) fn judge(&mut self, key: MemberKey, status: Status, now_us: u64) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        if peer.member.status >= status {
            return;
        }
        let before = peer.member.clone();
        peer.member.status = status;
        self.note_change(key, &before, now_us);
    }

    fn note_change(&mut self, key: MemberKey, before: &Member, now_us: u64) {
        let peer = &mut self.peers[key];
        let after = &peer.member;
        let generation = after.generation.0;
        let urgency = urgency_of(before, after);
        let event = Event::of_change(before, after);
        // A suspicion of a later version is a new one, even if the refutation between was lost.
        if before.status != after.status || before.version != after.version {
            peer.changed_us = now_us;
            peer.checked = false;
        }
        let (was_live, is_live) = (before.status.is_live(), after.status.is_live());
        let subject = if before.body_version == after.body_version {
            Subject::Light(generation)
        } else {
            Subject::Member(generation)
        };
        self.live = self.live + usize::from(is_live) - usize::from(was_live);
        if is_live && !was_live {
            self.probes.add(key, &mut self.rng);
        }
        if let Some(event) = event {
            self.counters.count(&event);
            self.events.push(event);
        }
        self.news.push(subject, urgency, self.live);
    }

    fn index_worker(&mut self, key: MemberKey) {
        if let Some(ad) = &self.peers[key].member.worker {
            let keys = self.by_service.entry(ad.service.clone()).or_default();
            keys.push(key);
            self.by_incarnation.insert(ad.incarnation, key);
        }
    }

    fn unindex_worker(&mut self, key: MemberKey) {
        let Some(ad) = self
            .peers
            .get(key)
            .and_then(|peer| peer.member.worker.as_ref())
        else {
            return;
        };
        if let Some(keys) = self.by_service.get_mut(&ad.service) {
            keys.retain(|held| *held != key);
            if keys.is_empty() {
                self.by_service.remove(&ad.service);
            }
        }
        if self.by_incarnation.get(&ad.incarnation) == Some(&key) {
            self.by_incarnation.remove(&ad.incarnation);
        }
    }

    fn take_beats(&mut self, beats: &[Beat], now_us: u64, is_local: bool, known: &mut Message) {
        for beat in beats {
            if beat.data_centre == self.me.place.data_centre {
                self.speaker.hear_own_beat(beat.beat);
                continue;
            }
            let subject = Subject::Beat(beat.data_centre.clone());
            if !self.remote.knows(&beat.data_centre) {
                self.remote
                    .meet(&beat.data_centre, &beat.region, beat.contact);
                self.remote.take_beat(beat, now_us);
                self.news.push(subject, Urgency::Normal, self.live);
            } else if self.remote.take_beat(beat, now_us) {
                self.news.push(subject, Urgency::Low, self.live);
            } else if !is_local {
                known.beats.extend(self.remote.beat(&beat.data_centre));
            }
        }
    }

    fn take_summaries(&mut self, message: &Message, is_local: bool, known: &mut Message) -> usize {
        let mut fresh = 0;
        let unknown = urgency_of_new(message.repair);
        for summary in &message.summaries {
            if summary.data_centre == self.me.place.data_centre {
                self.speaker.hear_own_summary(summary);
            } else if let Some(urgency) = self.remote.take_summary(summary, unknown) {
                fresh += 1;
                let subject = Subject::Summary(summary.key());
                self.news.push(subject, urgency, self.live);
            } else if !is_local {
                self.push_newer_summary(summary, known);
            }
        }
        fresh
    }

    /// Tells a speaker that what it sent was already overtaken.
    fn push_newer_summary(&self, summary: &Summary, known: &mut Message) {
        let held = self.remote.all_offers().get(&summary.key());
        known
            .summaries
            .extend(held.filter(|held| *held != summary).cloned());
    }
}

/// Urgency of a record that was unknown; what a comparison of digests brought, others know.
fn urgency_of_new(repair: bool) -> Urgency {
    if repair { Urgency::Low } else { Urgency::High }
}

fn urgency_of(before: &Member, after: &Member) -> Urgency {
    let is_draining = |member: &Member| member.worker.as_ref().is_some_and(|ad| ad.draining);
    let is_high = before.status != after.status
        || before.body_version != after.body_version
        || is_draining(before) != is_draining(after);
    if is_high {
        return Urgency::High;
    }
    let level_changed = match (&before.worker, &after.worker) {
        (Some(before), Some(after)) => level_differs(before.level, after.level),
        _ => false,
    };
    if level_changed || before.revision != after.revision {
        return Urgency::Normal;
    }
    Urgency::Low
}
