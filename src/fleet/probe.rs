//! Failure detection: direct probes, and indirect probes through other members.

use {
    super::{
        Fleet, Scope,
        member::{Generation, MemberKey, Status},
        message::{Body, Message, Outgoing},
        summary::smooth,
    },
    crate::place::DataCentre,
    rand::Rng,
    std::{collections::VecDeque, mem, net::SocketAddr},
};

/// Number of members asked to probe an unresponsive member indirectly.
const INDIRECT_PROBES: usize = 3;

/// Maximum number of probes relayed for other members at one time; the oldest is dropped first.
const MAX_RELAYED_PROBES: usize = 64;

/// Number of draws of a gossip target in the own region that the share below refers to.
const NEARBY_DRAWS: usize = 7;

/// Draws that select a member of the own data centre; the others select any of the region.
const NEARBY_DRAWS_IN_CENTRE: usize = 4;

/// Datagrams of gossip and anti-entropy that the daemons of a region together send to other regions
/// each second. What crosses the link between regions does not grow with the fleet.
const FAR_ROUNDS_PER_S: f64 = 30.0;

/// Probes that the daemons of a region together send to other regions each second. The daemons of
/// the other region probe each other, and gossip what they find.
const FAR_PROBES_PER_S: f64 = 10.0;

/// Largest share of one daemon's gossip that goes to other regions.
const MAX_FAR_SHARE: f64 = 1.0 / 16.0;

/// Live members of the own region, besides this daemon, up to which probes go to all regions alike.
const FEW_NEIGHBOURS: usize = 2;

/// Denominator of shares that are drawn.
const SHARE_UNITS: usize = 1 << 20;

/// What a probe checks.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Target {
    /// A member; only an ack from this generation counts.
    Member(MemberKey, Generation),
    /// An address behind which any daemon may be; a missing ack has no consequence.
    Contact,
}

/// Probe sent by this daemon that awaits its ack.
#[derive(Debug)]
struct Probe {
    sequence: u32,
    target: Target,
    sent_us: u64,
    relayed: bool,
}

/// Probe sent on behalf of another member.
#[derive(Debug)]
struct RelayedProbe {
    sequence: u32,
    requester: SocketAddr,
    requester_sequence: u32,
}

/// Outstanding probes and the schedule of the next ones.
#[derive(Debug, Default)]
pub(super) struct Probes {
    /// Members in the random order of the current probe round.
    order: Vec<MemberKey>,
    /// Members from which random ones are drawn; dead ones are removed when drawn.
    pool: Vec<MemberKey>,
    /// Index in `order` of the next member to probe.
    next: usize,
    /// Members to probe before the rest of the round.
    urgent: VecDeque<MemberKey>,
    outstanding: Vec<Probe>,
    relayed: VecDeque<RelayedProbe>,
    last_sequence: u32,
}

impl Probes {
    /// Inserts a member at a random position of the probe round.
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

    /// Schedules a probe of this member before the rest of the round.
    pub(super) fn prioritize(&mut self, key: MemberKey) {
        if !self.urgent.contains(&key) {
            self.urgent.push_back(key);
        }
    }

    /// Drops all outstanding and relayed probes.
    pub(super) fn clear(&mut self) {
        self.outstanding.clear();
        self.relayed.clear();
    }

    pub(super) fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    fn remove(&mut self, sequence: u32) -> Option<Probe> {
        let at = self
            .outstanding
            .iter()
            .position(|probe| probe.sequence == sequence)?;
        Some(self.outstanding.swap_remove(at))
    }

    fn is_outstanding(&self, key: MemberKey) -> bool {
        let targets_key =
            |probe: &Probe| matches!(probe.target, Target::Member(held, _) if held == key);
        self.outstanding.iter().any(targets_key)
    }
}

impl Fleet {
    /// Probes the next member of the round.
    pub(super) fn probe_next(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        let Some(key) = self.next_probe_candidate() else {
            return;
        };
        let member = &self.peers[key].member;
        let target = Target::Member(key, member.generation);
        let to = member.place.gossip_addr;
        self.ping(to, Some(key), target, false, now_us, out);
    }

    /// Pings an address behind which any daemon may be, sending the record of this daemon along.
    pub(super) fn ping_contact(&mut self, to: SocketAddr, now_us: u64, out: &mut Vec<Outgoing>) {
        self.ping(to, None, Target::Contact, true, now_us, out);
    }

    /// Pings a contact in another data centre to measure the round-trip time.
    pub(super) fn ping_remote_centre(
        &mut self,
        to: SocketAddr,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        self.ping(to, None, Target::Contact, false, now_us, out);
    }

    fn ping(
        &mut self,
        to: SocketAddr,
        key: Option<MemberKey>,
        target: Target,
        with_own_record: bool,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let sequence = self.probes.next_sequence();
        self.probes.outstanding.push(Probe {
            sequence,
            target,
            sent_us: now_us,
            relayed: false,
        });
        let mut message = self.message(Body::Ping { sequence });
        if with_own_record {
            message.members.push(self.local.clone());
        }
        if with_own_record || key.is_some() {
            self.piggyback(&mut message, key);
        }
        self.counters.probes += 1;
        self.send(to, message, out);
    }

    fn next_probe_candidate(&mut self) -> Option<MemberKey> {
        while let Some(key) = self.probes.urgent.pop_front() {
            if self.is_probe_candidate(key) && !self.probes.is_outstanding(key) {
                return Some(key);
            }
        }
        let far_share = self.far_probe_share();
        while self.probes.next < self.probes.order.len() {
            let key = self.probes.order[self.probes.next];
            if !self.is_probe_candidate(key) {
                self.probes.order.swap_remove(self.probes.next);
                continue;
            }
            self.probes.next += 1;
            if self.is_far(key) && !self.draw(far_share) {
                continue;
            }
            return Some(key);
        }
        self.shuffle_round();
        None
    }

    fn is_probe_candidate(&self, key: MemberKey) -> bool {
        let peer = self.peers.get(key);
        peer.is_some_and(|peer| peer.member.status.is_live())
    }

    fn shuffle_round(&mut self) {
        self.probes.next = 0;
        for at in (1..self.probes.order.len()).rev() {
            let other = self.random_below(at + 1);
            self.probes.order.swap(at, other);
        }
    }

    /// Retries timed-out probes through other members, and suspects members whose probes failed.
    pub(super) fn check_probes(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        let mut failed = Vec::new();
        let mut timed_out = Vec::new();
        for probe in &mut self.probes.outstanding {
            let age_us = now_us.saturating_sub(probe.sent_us);
            if age_us >= self.rules.probe_limit_us {
                failed.push(probe.sequence);
            } else if age_us >= self.rules.probe_timeout_us && !probe.relayed {
                probe.relayed = true;
                timed_out.push((probe.sequence, probe.target.clone()));
            }
        }
        for (sequence, target) in timed_out {
            if let Target::Member(key, _) = target {
                self.probe_indirectly(sequence, key, out);
            }
        }
        for sequence in failed {
            self.fail_probe(sequence, now_us);
        }
    }

    fn fail_probe(&mut self, sequence: u32, now_us: u64) {
        let Some(probe) = self.probes.remove(sequence) else {
            return;
        };
        let Target::Member(key, generation) = probe.target else {
            return;
        };
        let Some(peer) = self.peers.get(key) else {
            return;
        };
        let is_unresponsive = peer.last_seen_us < probe.sent_us;
        if is_unresponsive && peer.member.generation == generation {
            self.counters.failed_probes += 1;
            self.set_status(key, Status::Suspect, now_us);
        }
    }

    /// Pings a member again, directly and through randomly chosen members.
    fn probe_indirectly(&mut self, sequence: u32, key: MemberKey, out: &mut Vec<Outgoing>) {
        let Some(peer) = self.peers.get(key) else {
            return;
        };
        let target = peer.member.place.gossip_addr;
        let retry = self.message(Body::Ping { sequence });
        self.send(target, retry, out);
        for helper in self.random_live_peers(INDIRECT_PROBES, Some(key)) {
            let to = self.peers[helper].member.place.gossip_addr;
            let message = self.message(Body::Relay { sequence, target });
            self.send(to, message, out);
        }
    }

    /// Handles pings, acks and requests for indirect probes.
    pub(super) fn handle_probe(&mut self, message: &Message, now_us: u64, out: &mut Vec<Outgoing>) {
        match message.body {
            Body::Ping { sequence } => self.acknowledge(message, sequence, out),
            Body::Ack { sequence, origin } => {
                self.handle_ack(&message.data_centre, sequence, origin, now_us, out);
            }
            Body::Relay { sequence, target } => self.handle_relay(message, sequence, target, out),
            Body::Gossip | Body::Digest(_) => (),
        }
    }

    fn acknowledge(&mut self, message: &Message, sequence: u32, out: &mut Vec<Outgoing>) {
        let origin = self.local.generation;
        let mut ack = self.message(Body::Ack { sequence, origin });
        if self.is_in_scope(&message.data_centre) {
            ack.states.push(self.local.state());
            ack.states.extend(self.newer_report());
            let key = self.by_generation.get(&message.generation.0).copied();
            self.piggyback(&mut ack, key);
        }
        self.send(message.from, ack, out);
    }

    /// Forwards the ack of a relayed probe, or completes a probe of this daemon.
    fn handle_ack(
        &mut self,
        data_centre: &DataCentre,
        sequence: u32,
        origin: Generation,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let relayed = self
            .probes
            .relayed
            .iter()
            .position(|relayed| relayed.sequence == sequence);
        if let Some(relayed) = relayed.and_then(|at| self.probes.relayed.remove(at)) {
            let sequence = relayed.requester_sequence;
            let ack = self.message(Body::Ack { sequence, origin });
            self.send(relayed.requester, ack, out);
            return;
        }
        let Some(probe) = self.probes.remove(sequence) else {
            return;
        };
        let rtt_us = now_us.saturating_sub(probe.sent_us) as u32;
        match probe.target {
            Target::Member(key, generation) if generation == origin => {
                self.record_ack(key, now_us, (!probe.relayed).then_some(rtt_us));
            }
            Target::Member(..) => self.probes.outstanding.push(probe),
            Target::Contact if self.is_in_scope(data_centre) => {
                self.timers.schedule_sync(now_us);
            }
            Target::Contact => self.remote.record_rtt(data_centre, rtt_us),
        }
    }

    /// Records an ack; `rtt_us` is absent for indirect probes.
    fn record_ack(&mut self, key: MemberKey, now_us: u64, rtt_us: Option<u32>) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.last_seen_us = now_us;
        peer.call_failed_us = None;
        if let Some(rtt_us) = rtt_us {
            peer.rtt_us = Some(smooth(peer.rtt_us, rtt_us));
        }
    }

    /// Pings a known member of the data centre on behalf of the sender.
    fn handle_relay(
        &mut self,
        message: &Message,
        requester_sequence: u32,
        target: SocketAddr,
        out: &mut Vec<Outgoing>,
    ) {
        let mut members = self.peers.values().map(|peer| &peer.member);
        let is_known = members.any(|member| member.place.gossip_addr == target);
        if !is_known || !self.is_in_scope(&message.data_centre) {
            return;
        }
        let sequence = self.probes.next_sequence();
        if self.probes.relayed.len() >= MAX_RELAYED_PROBES {
            self.probes.relayed.pop_front();
        }
        self.probes.relayed.push_back(RelayedProbe {
            sequence,
            requester: message.from,
            requester_sequence,
        });
        let ping = self.message(Body::Ping { sequence });
        self.send(target, ping, out);
    }

    /// Pings a dead member with its recorded status, so that it can refute it if it is alive.
    pub(super) fn ping_dead(&mut self, key: MemberKey, now_us: u64, out: &mut Vec<Outgoing>) {
        let to = self.peers[key].member.place.gossip_addr;
        self.ping(to, Some(key), Target::Contact, true, now_us, out);
    }

    /// Draws the live members that receive the updates of one round.
    pub(super) fn round_targets(&mut self, count: usize) -> Vec<MemberKey> {
        match self.rules.scope {
            Scope::DataCentre => self.random_live_peers(count, None),
            Scope::Deployment => (0..count)
                .filter_map(|_| self.random_peer_nearby())
                .collect(),
        }
    }

    /// Draws a live member, preferably of this data centre, less often of this region, and rarely
    /// of another region.
    fn random_peer_nearby(&mut self) -> Option<MemberKey> {
        let draw = self.random_below(NEARBY_DRAWS);
        let keys = self.random_live_peers(usize::MAX, None);
        let rounds_per_s = self.rules.gossip_fanout as f64 * 1e6
            / self.rules.gossip_interval_us as f64
            + 1e6 / self.rules.sync_interval_us as f64;
        let in_region = rounds_per_s * (self.neighbours() + 1) as f64;
        let goes_far = self.draw((FAR_ROUNDS_PER_S / in_region).min(MAX_FAR_SHARE));
        let own = &self.local.place;
        let is_chosen = |key: &MemberKey| {
            let place = &self.peers[*key].member.place;
            if goes_far {
                place.region != own.region
            } else if draw < NEARBY_DRAWS_IN_CENTRE {
                place.data_centre == own.data_centre
            } else {
                place.region == own.region
            }
        };
        let chosen = keys.iter().copied().find(is_chosen);
        chosen.or_else(|| keys.first().copied())
    }

    /// Share of the due probes of members in other regions that are sent.
    fn far_probe_share(&self) -> f64 {
        if self.rules.scope == Scope::DataCentre {
            return 1.0;
        }
        let near = self.neighbours();
        let far = self.live_peers - near;
        if near <= FEW_NEIGHBOURS || far == 0 {
            return 1.0;
        }
        // With a share `s`, a round of `near + s * far` probes has `s * far` of members far away.
        let per_s = 1e6 / self.rules.probe_interval_us as f64;
        let own_far_per_s = (FAR_PROBES_PER_S / (near + 1) as f64).min(per_s / 2.0);
        let share = own_far_per_s * near as f64 / (far as f64 * (per_s - own_far_per_s));
        share.min(1.0)
    }

    /// Number of live members of the own region, without this daemon.
    pub(super) fn neighbours(&self) -> usize {
        let live = self.peers.values();
        let live = live.filter(|peer| peer.member.status.is_live());
        live.filter(|peer| peer.member.place.region == self.local.place.region)
            .count()
    }

    /// Returns whether a member is in another region, within [`Scope::Deployment`].
    pub(super) fn is_far(&self, key: MemberKey) -> bool {
        self.rules.scope == Scope::Deployment
            && self.peers[key].member.place.region != self.local.place.region
    }

    /// Returns true with a probability.
    pub(super) fn draw(&mut self, share: f64) -> bool {
        self.random_below(SHARE_UNITS) < (share * SHARE_UNITS as f64) as usize
    }

    /// Draws up to `count` distinct random live members, leaving out `except`.
    pub(super) fn random_live_peers(
        &mut self,
        count: usize,
        except: Option<MemberKey>,
    ) -> Vec<MemberKey> {
        let mut pool = mem::take(&mut self.probes.pool);
        let mut chosen = Vec::with_capacity(count.min(pool.len()));
        let mut at = 0;
        while at < pool.len() && chosen.len() < count {
            let other = at + self.random_below(pool.len() - at);
            pool.swap(at, other);
            if !self.is_probe_candidate(pool[at]) {
                pool.swap_remove(at);
                continue;
            }
            if Some(pool[at]) != except {
                chosen.push(pool[at]);
            }
            at += 1;
        }
        self.probes.pool = pool;
        chosen
    }
}
