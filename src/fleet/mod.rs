//! Membership of the own data centre and summaries of the others, without I/O.
//!
//! Inside a data centre every daemon knows every other one: random probes with indirect retries,
//! suspicion before death, refutation by version, news carried along in each datagram, and a
//! periodic comparison of digests that repairs whatever was lost. Other data centres are known by
//! [`summary::Summary`] records only.

mod codec;
pub mod member;
mod merge;
pub mod message;
mod news;
mod probe;
pub mod report;
pub mod route;
pub mod seeds;
mod speaker;
pub mod summary;
mod sync;
mod tick;
pub mod udp;

use {
    self::{
        member::{Generation, Member, MemberKey, Status, WorkerAd},
        message::{Body, Message, Send},
        news::{News, Subject, Urgency},
        probe::Probes,
        report::{Counters, Event},
        speaker::Speaker,
        summary::Remote,
        tick::Timers,
    },
    crate::{
        collections::HashMap,
        config::Revision,
        place::{DataCentre, Place},
        request::{Incarnation, Level, ServiceName},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::SlotMap,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Largest digest of suspects that a member may announce.
pub const MAX_SUSPECTS_BYTES: usize = 256;

/// Digests of suspects that wait to be taken; what comes beyond is heard again later.
const MAX_HEARD: usize = 1_024;

/// Times and limits of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRules {
    /// Time between two probes.
    pub probe_interval_us: u64,
    /// Time after which a probe goes through other members.
    pub probe_timeout_us: u64,
    /// Time after which a probe without an answer has failed.
    pub probe_limit_us: u64,
    /// Time that a suspect has for its refutation.
    pub suspicion_us: u64,
    /// Time between two rounds of news.
    pub gossip_interval_us: u64,
    /// Members that news go to in one round.
    pub gossip_fanout: usize,
    /// Time between two comparisons of digests.
    pub sync_interval_us: u64,
    /// Time between two attempts to reach a lost or first contact.
    pub contact_interval_us: u64,
    /// Time that the dead are remembered.
    pub tombstone_us: u64,
    /// Time between two announcements of the load, at least.
    pub load_interval_us: u64,
    /// Bytes a second that news and digests may cost.
    pub budget_bytes_per_s: u64,
    /// Time between two looks at what other data centres have to be told.
    pub speak_interval_us: u64,
}

impl Default for FleetRules {
    fn default() -> Self {
        Self {
            probe_interval_us: 500_000,
            probe_timeout_us: 300_000,
            probe_limit_us: 1_000_000,
            suspicion_us: 4_000_000,
            gossip_interval_us: 200_000,
            gossip_fanout: 2,
            sync_interval_us: 5_000_000,
            contact_interval_us: 5_000_000,
            tombstone_us: 6 * 3_600_000_000,
            load_interval_us: 1_000_000,
            budget_bytes_per_s: 6_000,
            speak_interval_us: 1_000_000,
        }
    }
}

/// Whether a call reached a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It answered.
    Reachable,
    /// The connection failed.
    Unreachable,
}

/// Another member and what this daemon knows of it by itself.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    heard_us: u64,
    changed_us: u64,
    rtt_us: Option<u32>,
    failed_us: Option<u64>,
    checked: bool,
}

/// View of one daemon of the whole fleet.
#[derive(Debug)]
pub struct Fleet {
    rules: FleetRules,
    me: Member,
    announced: Option<WorkerAd>,
    peers: SlotMap<MemberKey, Peer>,
    by_generation: HashMap<u64, MemberKey>,
    by_name: HashMap<SmolStr, MemberKey>,
    by_incarnation: HashMap<Incarnation, MemberKey>,
    by_service: HashMap<ServiceName, Vec<MemberKey>>,
    live: usize,
    remote: Remote,
    speaker: Speaker,
    news: News,
    probes: Probes,
    timers: Timers,
    seeds: Vec<SocketAddr>,
    counters: Counters,
    events: Vec<Event>,
    heard_suspects: Vec<Vec<u8>>,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Creates the view of a daemon that knows nobody yet.
    pub fn new(rules: FleetRules, place: Place, generation: Generation, seed: u64) -> Self {
        let me = Member {
            place,
            generation,
            version: 1,
            body_version: 1,
            status: Status::Alive,
            worker: None,
            revision: Revision(0),
            suspects: Vec::new(),
        };
        let mut fleet = Self {
            rules,
            me,
            announced: None,
            peers: SlotMap::with_key(),
            by_generation: HashMap::default(),
            by_name: HashMap::default(),
            by_incarnation: HashMap::default(),
            by_service: HashMap::default(),
            live: 0,
            remote: Remote::default(),
            speaker: Speaker::default(),
            news: News::default(),
            probes: Probes::default(),
            timers: Timers::default(),
            seeds: Vec::new(),
            counters: Counters::default(),
            events: Vec::new(),
            heard_suspects: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        fleet.announce_body();
        fleet
    }

    /// Adds addresses that the daemon may join the fleet through.
    pub fn join(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if *seed != self.me.place.gossip_addr && !self.seeds.contains(seed) {
                self.seeds.push(*seed);
                self.timers.contact_soon();
            }
        }
    }

    /// Announces the backend server behind this daemon, or that there is none.
    ///
    /// A new worker and a drain are told at once; load and level at the next announcement.
    pub fn set_worker(&mut self, worker: Option<WorkerAd>) {
        let same_body = match (&self.me.worker, &worker) {
            (Some(held), Some(new)) => held.same_body(new),
            (None, None) => true,
            _ => false,
        };
        let is_draining = |ad: &Option<WorkerAd>| ad.as_ref().is_some_and(|ad| ad.draining);
        let drain_changed = is_draining(&self.me.worker) != is_draining(&worker);
        self.announced.clone_from(&worker);
        if !same_body {
            self.me.worker = worker;
            self.announce_body();
        } else if drain_changed {
            self.me.worker = worker;
            self.announce_light(Urgency::High);
        }
    }

    /// Announces the configuration in force at this daemon.
    pub fn set_revision(&mut self, revision: Revision) {
        if revision > self.me.revision {
            self.me.revision = revision;
            self.announce_light(Urgency::Normal);
        }
    }

    /// Announces a digest of suspect requests; what exceeds [`MAX_SUSPECTS_BYTES`] is cut off.
    pub fn set_suspects(&mut self, mut suspects: Vec<u8>) {
        suspects.truncate(MAX_SUSPECTS_BYTES);
        if suspects != self.me.suspects {
            self.me.suspects = suspects;
            self.announce_body();
        }
    }

    /// Announces a digest of suspect requests to every live member at once.
    pub fn tell_suspects(&mut self, suspects: Vec<u8>, out: &mut Vec<Send>) {
        self.set_suspects(suspects);
        let live = self
            .peers
            .values()
            .filter(|peer| peer.member.status.is_live());
        let addrs: Vec<_> = live.map(|peer| peer.member.place.gossip_addr).collect();
        for to in addrs {
            let mut message = self.message(Body::News);
            message.members.push(self.me.clone());
            self.send(to, message, out);
        }
    }

    /// Takes the digests of suspects heard since the last call.
    pub fn take_suspects(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.heard_suspects)
    }

    /// Tells everybody that this daemon leaves.
    pub fn leave(&mut self, now_us: u64, out: &mut Vec<Send>) {
        self.me.status = Status::Left;
        self.announce_light(Urgency::High);
        for _ in 0..self.rules.gossip_fanout * 2 {
            self.gossip_round(now_us, out);
        }
    }

    /// Notes what the data path has seen of a member.
    pub fn evidence(&mut self, incarnation: Incarnation, evidence: Evidence, now_us: u64) {
        let Some(key) = self.by_incarnation.get(&incarnation).copied() else {
            return;
        };
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        match evidence {
            Evidence::Reachable => {
                peer.heard_us = now_us;
                peer.failed_us = None;
            }
            Evidence::Unreachable => {
                peer.failed_us = Some(now_us);
                self.probes.hurry(key);
            }
        }
    }

    /// This daemon's own record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// This daemon and all others of its data centre, the dead included while remembered.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.peers.values().map(|peer| &peer.member);
        std::iter::once(&self.me).chain(others)
    }

    /// Member by the name of its daemon.
    pub fn member(&self, name: &str) -> Option<&Member> {
        if self.me.place.name == name {
            return Some(&self.me);
        }
        let key = self.by_name.get(name)?;
        self.peers.get(*key).map(|peer| &peer.member)
    }

    /// Number of live members, this one included.
    pub fn live_members(&self) -> usize {
        self.live + 1
    }

    /// Other data centres and what they offer.
    pub fn remote(&self) -> &Remote {
        &self.remote
    }

    /// Own data centre.
    pub fn data_centre(&self) -> &DataCentre {
        &self.me.place.data_centre
    }

    /// Takes the changes seen since the last call.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Workers of a service in the own data centre, whatever their state.
    pub(crate) fn workers(&self, service: &str) -> impl Iterator<Item = Candidate<'_>> {
        let own = self.me.worker.as_ref().filter(|ad| ad.service == service);
        let own = own.map(|ad| Candidate {
            member: &self.me,
            ad,
            doubtful: false,
        });
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let others = keys.iter().filter_map(|key| self.candidate(*key));
        own.into_iter().chain(others)
    }

    fn candidate(&self, key: MemberKey) -> Option<Candidate<'_>> {
        let peer = self.peers.get(key)?;
        Some(Candidate {
            member: &peer.member,
            ad: peer.member.worker.as_ref()?,
            doubtful: peer.member.status != Status::Alive || peer.failed_us.is_some(),
        })
    }

    fn announce_body(&mut self) {
        self.me.version = self.me.version.saturating_add(1);
        self.me.body_version = self.me.version;
        let subject = Subject::Member(self.me.generation.0);
        self.news.push(subject, Urgency::High, self.live);
    }

    fn announce_light(&mut self, urgency: Urgency) {
        self.me.version = self.me.version.saturating_add(1);
        let subject = Subject::Light(self.me.generation.0);
        self.news.push(subject, urgency, self.live);
    }

    /// Announces load and level if they have changed enough.
    fn announce_load(&mut self) {
        let (Some(held), Some(now)) = (&self.me.worker, &self.announced) else {
            return;
        };
        let urgency = if level_differs(held.level, now.level) {
            Urgency::Normal
        } else if load_differs(held, now) {
            Urgency::Low
        } else {
            return;
        };
        self.me.worker.clone_from(&self.announced);
        self.announce_light(urgency);
    }

    fn message(&self, body: Body) -> Message {
        Message {
            from: self.me.place.gossip_addr,
            generation: self.me.generation,
            data_centre: self.me.place.data_centre.clone(),
            region: self.me.place.region.clone(),
            body,
            members: Vec::new(),
            lights: Vec::new(),
            beats: Vec::new(),
            summaries: Vec::new(),
            wants: Vec::new(),
            repair: false,
        }
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.rng.next_u64() % limit.max(1) as u64) as usize
    }
}

/// A worker as the router sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) member: &'a Member,
    pub(crate) ad: &'a WorkerAd,
    pub(crate) doubtful: bool,
}

/// Difference of levels, in ranks, that is worth telling.
const LEVEL_STEP: u32 = 32;

/// Share of the slots that the load must change by to be worth telling: one quarter.
const LOAD_STEP_DIVISOR: u32 = 4;

fn level_differs(held: Level, now: Level) -> bool {
    let opened_or_closed = (held == Level::OPEN) != (now == Level::OPEN);
    opened_or_closed || held.0.abs_diff(now.0) >= LEVEL_STEP
}

fn load_differs(held: &WorkerAd, now: &WorkerAd) -> bool {
    let step = (now.slots / LOAD_STEP_DIVISOR).max(1);
    u32::from(held.load).abs_diff(u32::from(now.load)) >= step
}
