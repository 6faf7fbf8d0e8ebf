//! Gossip membership within a data centre and capacity summaries of the other data centres.
//!
//! Inside a data centre every daemon keeps a record of every other daemon. The protocol follows
//! SWIM: random probes with indirect retries, a suspicion phase before a member is declared dead,
//! refutation by a higher version, updates piggybacked on every datagram, and periodic
//! anti-entropy that compares digests and repairs lost updates. Other data centres are known only
//! by their [`summary::Summary`] records.
//!
//! [`Fleet`] does no I/O: the caller passes in received messages and the time, and sends the
//! messages that it returns.

mod announce;
mod codec;
pub mod member;
mod merge;
pub mod message;
mod probe;
mod publisher;
pub mod report;
pub mod route;
pub mod seeds;
pub mod summary;
mod sync;
mod tick;
pub mod udp;
mod update_queue;

use {
    self::{
        announce::Announcement,
        member::{AdvertisedWorker, Generation, Member, MemberKey, Status},
        message::{Body, Message, Outgoing},
        probe::Probes,
        publisher::Publisher,
        report::{Counters, Event},
        summary::RemoteCentres,
        tick::Timers,
        update_queue::{Priority, UpdateKey, UpdateQueue},
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

/// Maximum size of the crash-suspect digest that a member may announce.
pub const MAX_SUSPECTS_BYTES: usize = 256;

/// Maximum number of received crash-suspect digests that wait for [`Fleet::take_suspects`].
///
/// Further digests are dropped; their senders repeat them periodically.
const MAX_RECEIVED_DIGESTS: usize = 1_024;

/// Daemons that keep records of each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Those of one data centre; other data centres are known by their summaries.
    DataCentre,
    /// All daemons. Updates go mostly to members nearby, since traffic between regions is scarce.
    Deployment,
}

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRules {
    /// Daemons that keep records of each other.
    pub scope: Scope,
    /// Interval between probes.
    pub probe_interval_us: u64,
    /// Time without an ack after which a probe is retried through other members.
    pub probe_timeout_us: u64,
    /// Time without an ack after which a probe has failed.
    pub probe_limit_us: u64,
    /// Time within which a suspect may refute the suspicion before it is declared dead.
    pub suspicion_us: u64,
    /// Interval between gossip rounds.
    pub gossip_interval_us: u64,
    /// Number of members that receive updates in one gossip round.
    pub gossip_fanout: usize,
    /// Interval between anti-entropy rounds.
    pub sync_interval_us: u64,
    /// Interval between attempts to reach a seed, a dead member or another data centre.
    pub contact_interval_us: u64,
    /// Time for which records of dead and departed members are kept.
    pub tombstone_us: u64,
    /// Minimum interval between announcements of the load.
    pub load_interval_us: u64,
    /// Budget for outgoing datagrams; updates below high priority wait while it is exhausted.
    pub budget_bytes_per_s: u64,
    /// Budget of all daemons of a region for updates to other regions, within
    /// [`Scope::Deployment`]. Probes and acks are sent without updates while it is exhausted.
    pub far_budget_bytes_per_s: u64,
    /// Interval at which summaries are checked for changes to publish to other data centres.
    pub publish_interval_us: u64,
}

impl Default for FleetRules {
    fn default() -> Self {
        Self {
            scope: Scope::DataCentre,
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
            far_budget_bytes_per_s: 100_000,
            publish_interval_us: 1_000_000,
        }
    }
}

/// Whether a call reached the daemon of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// The daemon answered.
    Reachable,
    /// The connection failed or broke.
    Unreachable,
}

/// Record of another member, with local observations that are not gossiped.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// Time of the last message, ack or successful call.
    last_seen_us: u64,
    /// Time at which its status or version last changed.
    changed_us: u64,
    /// Smoothed round-trip time of direct probes.
    rtt_us: Option<u32>,
    /// Time of the last failed call, until an ack or a successful call clears it.
    call_failed_us: Option<u64>,
    /// Whether an extra probe has been requested during the current suspicion.
    reprobed: bool,
}

/// One daemon's view of the whole fleet.
#[derive(Debug)]
pub struct Fleet {
    rules: FleetRules,
    local: Member,
    /// Latest state of the local worker, whose load and level reach `local` when announced.
    latest_worker: Option<AdvertisedWorker>,
    peers: SlotMap<MemberKey, Peer>,
    by_generation: HashMap<u64, MemberKey>,
    by_name: HashMap<SmolStr, MemberKey>,
    by_incarnation: HashMap<Incarnation, MemberKey>,
    by_service: HashMap<ServiceName, Vec<MemberKey>>,
    /// Number of live peers, without this daemon.
    live_peers: usize,
    remote: RemoteCentres,
    publisher: Publisher,
    updates: UpdateQueue,
    probes: Probes,
    timers: Timers,
    seeds: Vec<SocketAddr>,
    counters: Counters,
    events: Vec<Event>,
    received_suspects: Vec<Vec<u8>>,
    newest_config: Option<NewestConfig>,
    announcement: Option<Announcement>,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Creates the view of a daemon that knows no other member yet.
    ///
    /// `seed` initialises the random number generator.
    pub fn new(rules: FleetRules, place: Place, generation: Generation, seed: u64) -> Self {
        let local = Member {
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
            local,
            latest_worker: None,
            peers: SlotMap::with_key(),
            by_generation: HashMap::default(),
            by_name: HashMap::default(),
            by_incarnation: HashMap::default(),
            by_service: HashMap::default(),
            live_peers: 0,
            remote: RemoteCentres::default(),
            publisher: Publisher::default(),
            updates: UpdateQueue::default(),
            probes: Probes::default(),
            timers: Timers::default(),
            seeds: Vec::new(),
            counters: Counters::default(),
            events: Vec::new(),
            received_suspects: Vec::new(),
            newest_config: None,
            announcement: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        fleet.announce_body();
        fleet
    }

    /// Adds seed addresses through which the daemon may join the fleet.
    pub fn join(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if *seed != self.local.place.gossip_addr && !self.seeds.contains(seed) {
                self.seeds.push(*seed);
                self.timers.schedule_contact();
            }
        }
    }

    /// Announces the backend server behind this daemon, or that there is none.
    ///
    /// A new worker and a change of its drain state are gossiped at once; load and level follow at
    /// the next load announcement.
    pub fn set_worker(&mut self, worker: Option<AdvertisedWorker>) {
        let same_body = match (&self.local.worker, &worker) {
            (Some(held), Some(new)) => held.same_body(new),
            (None, None) => true,
            _ => false,
        };
        let is_draining = |worker: &Option<AdvertisedWorker>| {
            worker.as_ref().is_some_and(|worker| worker.draining)
        };
        let drain_changed = is_draining(&self.local.worker) != is_draining(&worker);
        self.latest_worker.clone_from(&worker);
        if !same_body {
            self.local.worker = worker;
            self.announce_body();
        } else if drain_changed {
            self.local.worker = worker;
            self.announce_state(Priority::High);
        }
    }

    /// Announces the configuration in force at this daemon.
    ///
    /// Within [`Scope::Deployment`] the revision is sent with acks and in one announcement: an update
    /// of each member for each change of the configuration would grow with the square of the fleet.
    pub fn set_revision(&mut self, revision: Revision) {
        if revision > self.local.revision {
            self.local.revision = revision;
            match self.rules.scope {
                Scope::DataCentre => self.announce_state(Priority::Normal),
                Scope::Deployment => self.announce_in_force(revision),
            }
        }
    }

    /// Returns the newest configuration that other members have reported.
    pub fn newest_config(&self) -> Option<&NewestConfig> {
        self.newest_config.as_ref()
    }

    /// Merges the record of a member that was read from storage.
    ///
    /// It may be out of date; probes find out whether its daemon is alive.
    pub fn merge_stored(&mut self, member: &Member, now_us: u64) {
        if !self.is_in_scope(&member.place.data_centre) {
            return;
        }
        if member.place.name == self.local.place.name {
            self.refute_if_wrong(member.generation, member.status, member.version, now_us);
        } else {
            self.merge_member(member, true, now_us);
        }
    }

    /// Returns whether daemons of a data centre keep records of this daemon.
    fn is_in_scope(&self, data_centre: &DataCentre) -> bool {
        self.rules.scope == Scope::Deployment || *data_centre == self.local.place.data_centre
    }

    /// Announces a digest of crash suspects, truncated to [`MAX_SUSPECTS_BYTES`].
    pub fn set_suspects(&mut self, mut suspects: Vec<u8>) {
        suspects.truncate(MAX_SUSPECTS_BYTES);
        if suspects != self.local.suspects {
            self.local.suspects = suspects;
            self.announce_body();
        }
    }

    /// Announces a digest of crash suspects and sends it to every live member at once.
    pub fn broadcast_suspects(&mut self, suspects: Vec<u8>, out: &mut Vec<Outgoing>) {
        self.set_suspects(suspects);
        let live = self
            .peers
            .values()
            .filter(|peer| peer.member.status.is_live());
        let addrs: Vec<_> = live.map(|peer| peer.member.place.gossip_addr).collect();
        for to in addrs {
            let mut message = self.message(Body::Gossip);
            message.members.push(self.local.clone());
            self.send(to, message, out);
        }
    }

    /// Removes and returns the crash-suspect digests received since the last call.
    pub fn take_suspects(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.received_suspects)
    }

    /// Announces that this daemon leaves the fleet.
    pub fn leave(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        self.local.status = Status::Left;
        self.announce_state(Priority::High);
        for _ in 0..self.rules.gossip_fanout * 2 {
            self.gossip_round(now_us, out);
        }
    }

    /// Records whether a call reached the worker `incarnation`; a failure triggers a probe.
    pub fn record_reachability(
        &mut self,
        incarnation: Incarnation,
        reachability: Reachability,
        now_us: u64,
    ) {
        let Some(key) = self.by_incarnation.get(&incarnation).copied() else {
            return;
        };
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        match reachability {
            Reachability::Reachable => {
                peer.last_seen_us = now_us;
                peer.call_failed_us = None;
            }
            Reachability::Unreachable => {
                peer.call_failed_us = Some(now_us);
                self.probes.prioritize(key);
            }
        }
    }

    /// Returns this daemon's own record.
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// Iterates over this daemon and all other members of its data centre.
    ///
    /// Dead and departed members are included until their records expire.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.peers.values().map(|peer| &peer.member);
        std::iter::once(&self.local).chain(others)
    }

    /// Returns the member with this daemon name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        if self.local.place.name == name {
            return Some(&self.local);
        }
        let key = self.by_name.get(name)?;
        self.peers.get(*key).map(|peer| &peer.member)
    }

    /// Returns the number of live members, this daemon included.
    pub fn live_members(&self) -> usize {
        self.live_peers + 1
    }

    /// Returns the table of the other data centres and their summaries.
    pub fn remote(&self) -> &RemoteCentres {
        &self.remote
    }

    /// Returns the data centre of this daemon.
    pub fn data_centre(&self) -> &DataCentre {
        &self.local.place.data_centre
    }

    /// Removes and returns the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Iterates over the workers of a service in the local data centre, whatever their state.
    pub(crate) fn workers(&self, service: &str) -> impl Iterator<Item = MemberWorker<'_>> {
        let own = self
            .local
            .worker
            .as_ref()
            .filter(|worker| worker.service == service);
        let own = own.map(|worker| MemberWorker {
            member: &self.local,
            worker,
            is_doubtful: false,
        });
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let others = keys.iter().filter_map(|key| self.member_worker(*key));
        own.into_iter().chain(others)
    }

    fn member_worker(&self, key: MemberKey) -> Option<MemberWorker<'_>> {
        let peer = self.peers.get(key)?;
        Some(MemberWorker {
            member: &peer.member,
            worker: peer.member.worker.as_ref()?,
            is_doubtful: peer.member.status != Status::Alive || peer.call_failed_us.is_some(),
        })
    }

    /// Queues the whole record of this daemon under a new version.
    fn announce_body(&mut self) {
        self.local.version = self.local.version.saturating_add(1);
        self.local.body_version = self.local.version;
        let update_key = UpdateKey::MemberRecord(self.local.generation.0);
        self.updates
            .push(update_key, Priority::High, self.live_peers);
    }

    /// Queues the frequently changing state of this daemon under a new version.
    fn announce_state(&mut self, priority: Priority) {
        self.local.version = self.local.version.saturating_add(1);
        let update_key = UpdateKey::MemberState(self.local.generation.0);
        self.updates.push(update_key, priority, self.live_peers);
    }

    /// Announces load and level if either has changed by at least its reporting step.
    fn announce_load(&mut self) {
        let (Some(held), Some(now)) = (&self.local.worker, &self.latest_worker) else {
            return;
        };
        let priority = if level_differs(held.level, now.level) {
            Priority::Normal
        } else if load_differs(held, now) {
            Priority::Low
        } else {
            return;
        };
        self.local.worker.clone_from(&self.latest_worker);
        self.announce_state(priority);
    }

    fn message(&self, body: Body) -> Message {
        Message {
            from: self.local.place.gossip_addr,
            generation: self.local.generation,
            data_centre: self.local.place.data_centre.clone(),
            region: self.local.place.region.clone(),
            body,
            members: Vec::new(),
            states: Vec::new(),
            heartbeats: Vec::new(),
            summaries: Vec::new(),
            requested_keys: Vec::new(),
            is_repair: false,
        }
    }

    /// Returns a random number below `limit`, or 0 if `limit` is 0.
    fn random_below(&mut self, limit: usize) -> usize {
        (self.rng.next_u64() % limit.max(1) as u64) as usize
    }
}

/// Newest configuration that other members have reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewestConfig {
    /// Its revision.
    pub revision: Revision,
    /// Address for calls to the member that has reported it last, as earlier ones may be gone.
    pub call_addr: SocketAddr,
    /// That member.
    pub(crate) reporter: MemberKey,
}

/// Worker of the local data centre that the router may pick.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemberWorker<'a> {
    pub(crate) member: &'a Member,
    pub(crate) worker: &'a AdvertisedWorker,
    /// Whether its member is not alive or a call to it has failed.
    pub(crate) is_doubtful: bool,
}

/// Change of the admission level, in ranks, that triggers an announcement.
const LEVEL_STEP_RANKS: u32 = 32;

/// Divisor of the slots: a load change of one quarter of them triggers an announcement.
const LOAD_STEP_DIVISOR: u32 = 4;

fn level_differs(held: Level, now: Level) -> bool {
    let opened_or_closed = (held == Level::OPEN) != (now == Level::OPEN);
    opened_or_closed || held.0.abs_diff(now.0) >= LEVEL_STEP_RANKS
}

fn load_differs(held: &AdvertisedWorker, now: &AdvertisedWorker) -> bool {
    let step = (now.slots / LOAD_STEP_DIVISOR).max(1);
    u32::from(held.load).abs_diff(u32::from(now.load)) >= step
}
