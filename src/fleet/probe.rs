//! Probes of single members, directly and through others.

use {
    super::{
        Fleet,
        member::{Generation, MemberKey, Status},
        message::{Body, Message, Send},
        summary::smooth,
    },
    crate::place::DataCentre,
    rand::Rng,
    std::{collections::VecDeque, mem, net::SocketAddr},
};

/// Members that are asked to probe on behalf of another.
const RELAYS: usize = 3;

/// Jobs for others that are kept at once.
const MAX_JOBS: usize = 64;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Target {
    Member(MemberKey, Generation),
    Contact,
}

#[derive(Debug)]
struct Probe {
    sequence: u32,
    target: Target,
    sent_us: u64,
    relayed: bool,
}

/// Probe on behalf of another member.
#[derive(Debug)]
struct Job {
    sequence: u32,
    requester: SocketAddr,
    requester_sequence: u32,
}

/// Probes under way and the order of the next ones.
#[derive(Debug, Default)]
pub(super) struct Probes {
    order: Vec<MemberKey>,
    pool: Vec<MemberKey>,
    next: usize,
    urgent: VecDeque<MemberKey>,
    under_way: Vec<Probe>,
    jobs: VecDeque<Job>,
    last_sequence: u32,
}

impl Probes {
    /// Adds a member at a random place of the round.
    pub(super) fn add(&mut self, key: MemberKey, rng: &mut dyn Rng) {
        if !self.pool.contains(&key) {
            self.pool.push(key);
        }
        if self.order.contains(&key) {
            return;
        }
        let at = (rng.next_u64() % (self.order.len() as u64 + 1)) as usize;
        self.order.insert(at, key);
    }

    /// Puts a member before all others.
    pub(super) fn hurry(&mut self, key: MemberKey) {
        if !self.urgent.contains(&key) {
            self.urgent.push_back(key);
        }
    }

    /// Forgets what is under way.
    pub(super) fn abandon(&mut self) {
        self.under_way.clear();
        self.jobs.clear();
    }

    pub(super) fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    fn sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    fn take(&mut self, sequence: u32) -> Option<Probe> {
        let at = self
            .under_way
            .iter()
            .position(|probe| probe.sequence == sequence)?;
        Some(self.under_way.swap_remove(at))
    }

    fn is_under_way(&self, key: MemberKey) -> bool {
        let is_of = |probe: &Probe| matches!(probe.target, Target::Member(held, _) if held == key);
        self.under_way.iter().any(is_of)
    }
}

impl Fleet {
    /// Probes the next member of the round.
    pub(super) fn probe_next(&mut self, now_us: u64, out: &mut Vec<Send>) {
        let Some(key) = self.next_probed() else {
            return;
        };
        let member = &self.peers[key].member;
        let target = Target::Member(key, member.generation);
        let to = member.place.gossip_addr;
        self.ping(to, Some(key), target, false, now_us, out);
    }

    /// Sends a ping to an address behind which any daemon may be.
    pub(super) fn ping_contact(&mut self, to: SocketAddr, now_us: u64, out: &mut Vec<Send>) {
        self.ping(to, None, Target::Contact, true, now_us, out);
    }

    /// Measures the round trip to another data centre.
    pub(super) fn ping_centre(&mut self, to: SocketAddr, now_us: u64, out: &mut Vec<Send>) {
        self.ping(to, None, Target::Contact, false, now_us, out);
    }

    fn ping(
        &mut self,
        to: SocketAddr,
        key: Option<MemberKey>,
        target: Target,
        introduces: bool,
        now_us: u64,
        out: &mut Vec<Send>,
    ) {
        let sequence = self.probes.sequence();
        self.probes.under_way.push(Probe {
            sequence,
            target,
            sent_us: now_us,
            relayed: false,
        });
        let mut message = self.message(Body::Ping { sequence });
        if introduces {
            message.members.push(self.me.clone());
        }
        if introduces || key.is_some() {
            self.carry(&mut message, key);
        }
        self.counters.probes += 1;
        self.send(to, message, out);
    }

    fn next_probed(&mut self) -> Option<MemberKey> {
        while let Some(key) = self.probes.urgent.pop_front() {
            if self.is_probed(key) && !self.probes.is_under_way(key) {
                return Some(key);
            }
        }
        while self.probes.next < self.probes.order.len() {
            let key = self.probes.order[self.probes.next];
            if !self.is_probed(key) {
                self.probes.order.swap_remove(self.probes.next);
                continue;
            }
            self.probes.next += 1;
            return Some(key);
        }
        self.shuffle_round();
        None
    }

    fn is_probed(&self, key: MemberKey) -> bool {
        let peer = self.peers.get(key);
        peer.is_some_and(|peer| peer.member.status.is_live())
    }

    fn shuffle_round(&mut self) {
        self.probes.next = 0;
        for at in (1..self.probes.order.len()).rev() {
            let other = self.below(at + 1);
            self.probes.order.swap(at, other);
        }
    }

    /// Passes silent probes on to others, and suspects members whose probe has failed.
    pub(super) fn check_probes(&mut self, now_us: u64, out: &mut Vec<Send>) {
        let mut failed = Vec::new();
        let mut silent = Vec::new();
        for probe in &mut self.probes.under_way {
            let age_us = now_us.saturating_sub(probe.sent_us);
            if age_us >= self.rules.probe_limit_us {
                failed.push(probe.sequence);
            } else if age_us >= self.rules.probe_timeout_us && !probe.relayed {
                probe.relayed = true;
                silent.push((probe.sequence, probe.target.clone()));
            }
        }
        for (sequence, target) in silent {
            if let Target::Member(key, _) = target {
                self.relay(sequence, key, out);
            }
        }
        for sequence in failed {
            self.fail_probe(sequence, now_us);
        }
    }

    fn fail_probe(&mut self, sequence: u32, now_us: u64) {
        let Some(probe) = self.probes.take(sequence) else {
            return;
        };
        let Target::Member(key, generation) = probe.target else {
            return;
        };
        let Some(peer) = self.peers.get(key) else {
            return;
        };
        let is_silent = peer.heard_us < probe.sent_us;
        if is_silent && peer.member.generation == generation {
            self.counters.failed_probes += 1;
            self.judge(key, Status::Suspect, now_us);
        }
    }

    fn relay(&mut self, sequence: u32, key: MemberKey, out: &mut Vec<Send>) {
        let Some(peer) = self.peers.get(key) else {
            return;
        };
        let target = peer.member.place.gossip_addr;
        let again = self.message(Body::Ping { sequence });
        self.send(target, again, out);
        for helper in self.random_live(RELAYS, Some(key)) {
            let to = self.peers[helper].member.place.gossip_addr;
            let message = self.message(Body::Relay { sequence, target });
            self.send(to, message, out);
        }
    }

    /// Answers pings, and takes acknowledgements and requests for probes.
    pub(super) fn answer_probe(&mut self, message: &Message, now_us: u64, out: &mut Vec<Send>) {
        match message.body {
            Body::Ping { sequence } => self.acknowledge(message, sequence, out),
            Body::Ack { sequence, origin } => {
                self.take_ack(&message.data_centre, sequence, origin, now_us, out);
            }
            Body::Relay { sequence, target } => self.take_job(message, sequence, target, out),
            Body::News | Body::Digest(_) => (),
        }
    }

    fn acknowledge(&mut self, message: &Message, sequence: u32, out: &mut Vec<Send>) {
        let origin = self.me.generation;
        let mut ack = self.message(Body::Ack { sequence, origin });
        if message.data_centre == self.me.place.data_centre {
            ack.lights.push(self.me.light());
            let key = self.by_generation.get(&message.generation.0).copied();
            self.carry(&mut ack, key);
        }
        self.send(message.from, ack, out);
    }

    fn take_ack(
        &mut self,
        data_centre: &DataCentre,
        sequence: u32,
        origin: Generation,
        now_us: u64,
        out: &mut Vec<Send>,
    ) {
        let job = self
            .probes
            .jobs
            .iter()
            .position(|job| job.sequence == sequence);
        if let Some(job) = job.and_then(|at| self.probes.jobs.remove(at)) {
            let sequence = job.requester_sequence;
            let ack = self.message(Body::Ack { sequence, origin });
            self.send(job.requester, ack, out);
            return;
        }
        let Some(probe) = self.probes.take(sequence) else {
            return;
        };
        let rtt_us = now_us.saturating_sub(probe.sent_us) as u32;
        match probe.target {
            Target::Member(key, generation) if generation == origin => {
                self.note_answer(key, now_us, (!probe.relayed).then_some(rtt_us));
            }
            Target::Member(..) => self.probes.under_way.push(probe),
            Target::Contact if *data_centre == self.me.place.data_centre => {
                self.timers.sync_soon(now_us);
            }
            Target::Contact => self.remote.note_rtt(data_centre, rtt_us),
        }
    }

    fn note_answer(&mut self, key: MemberKey, now_us: u64, rtt_us: Option<u32>) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.heard_us = now_us;
        peer.failed_us = None;
        if let Some(rtt_us) = rtt_us {
            peer.rtt_us = Some(smooth(peer.rtt_us, rtt_us));
        }
    }

    fn take_job(
        &mut self,
        message: &Message,
        requester_sequence: u32,
        target: SocketAddr,
        out: &mut Vec<Send>,
    ) {
        let mut members = self.peers.values().map(|peer| &peer.member);
        let is_known = members.any(|member| member.place.gossip_addr == target);
        if !is_known || message.data_centre != self.me.place.data_centre {
            return;
        }
        let sequence = self.probes.sequence();
        if self.probes.jobs.len() >= MAX_JOBS {
            self.probes.jobs.pop_front();
        }
        self.probes.jobs.push_back(Job {
            sequence,
            requester: message.from,
            requester_sequence,
        });
        let ping = self.message(Body::Ping { sequence });
        self.send(target, ping, out);
    }

    /// Sends a dead member its verdict, so that it can refute it.
    pub(super) fn ping_dead(&mut self, key: MemberKey, now_us: u64, out: &mut Vec<Send>) {
        let to = self.peers[key].member.place.gossip_addr;
        self.ping(to, Some(key), Target::Contact, true, now_us, out);
    }

    /// Random live members, without one of them.
    pub(super) fn random_live(&mut self, count: usize, but: Option<MemberKey>) -> Vec<MemberKey> {
        let mut pool = mem::take(&mut self.probes.pool);
        let mut chosen = Vec::with_capacity(count);
        let mut at = 0;
        while at < pool.len() && chosen.len() < count {
            let other = at + self.below(pool.len() - at);
            pool.swap(at, other);
            if !self.is_probed(pool[at]) {
                pool.swap_remove(at);
                continue;
            }
            if Some(pool[at]) != but {
                chosen.push(pool[at]);
            }
            at += 1;
        }
        self.probes.pool = pool;
        chosen
    }
}
