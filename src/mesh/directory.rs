//! Workers of all services, and the choice of one for a request.
//!
//! The choice minimises the expected time to an answer: queue and speed from the gates' replies,
//! calls sent since the last reply, failures, and the cost of leaving the data centre. It answers
//! four load patterns: workers of unequal speed, a cold worker, a worker that fails part of its
//! requests, and a data centre whose own workers are full.

use {
    crate::{
        collections::HashMap,
        mesh::frame::{GateLoad, WorkerLife},
        place::{DataCentre, Region},
        policy::ewma::sample_weight,
        request::ServiceName,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    slotmap::{SlotMap, new_key_type},
    smallvec::SmallVec,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

new_key_type! {
    /// Key of one VM's worker.
    pub struct MemberKey;
}

/// Extra time that is accepted before a request leaves its data centre, as bytes between data
/// centres are paid for.
const OTHER_CENTRE_US: f64 = 40_000.0;

/// Extra time that is accepted before a request leaves its region. Those bytes cost eight times as
/// much, and under a common overload the other region has no more room. It stays below the cost of
/// a failure, so a region whose workers all fail is left.
const OTHER_REGION_US: f64 = 300_000.0;

/// Time that a failed send costs a request: detection, and a second send.
const FAILURE_COST_US: f64 = 400_000.0;

/// Weight of one result in the share of failures; about the last ten results count.
const FAILURE_WEIGHT: f64 = 0.1;

/// Time in which the share of failures halves without results, so that a worker is tried again.
const FAILURE_HALF_LIFE_US: f64 = 2_000_000.0;

/// Weight of one reply in the mean latency seen from here, at least.
const LATENCY_WEIGHT: f64 = 0.1;

/// Time in which what is known of a worker's latency loses most of its weight: about the time in
/// which an overload of a service below it comes or goes.
const LATENCY_TAU_US: f64 = 1_000_000.0;

/// Cost of a worker without a free slot beside the wait for one: more than leaving the data centre,
/// so that no call waits while the next data centre has room.
const FULL_US: f64 = 1.5 * OTHER_CENTRE_US;

/// Weight of the wait for a slot over that of the run: a call in a queue also delays those behind
/// it, while a slower worker with room delays none.
const WAIT_WEIGHT: f64 = 3.0;

/// Part of the limit from which that cost counts in part, as the view from here is a little old.
const NEARLY_FULL: f64 = 0.8;

/// Time without an answer to a connection after which a VM is tried again.
const UNREACHABLE_US: u64 = 1_000_000;

/// Candidates that are compared; a larger service is sampled.
const MAX_COMPARED: usize = 12;

/// Age at which a gate's report no longer tells its load, beside the time that its work takes.
const REPORT_STALE_US: f64 = 200_000.0;

/// Relative noise on each estimate, so that daemons with the same view spread their choices.
const NOISE: f64 = 0.05;

/// State of a VM's worker, as its daemon publishes it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Start of the daemon; a later one replaces all that an earlier one said.
    pub daemon_born_unix_ms: u64,
    /// Number of this announcement in the life of the daemon.
    pub sequence: u64,
    /// Address for calls.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Region.
    pub region: Region,
    /// Worker that takes requests, if there is one.
    pub worker: Option<WorkerState>,
    /// Lives of workers whose departure the daemon has acknowledged of late. The acknowledgement
    /// binds the next daemon of the VM too, which reads it here.
    #[serde(default)]
    pub left: Vec<WorkerLife>,
}

impl Announcement {
    /// Order among the announcements of one VM.
    pub fn order(&self) -> (u64, u64) {
        (self.daemon_born_unix_ms, self.sequence)
    }
}

/// A worker that takes requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerState {
    /// Its life.
    pub life: WorkerLife,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Requests that it can run at a time, by its own account.
    pub slots: u32,
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With an answer, after so long.
    Answered {
        /// Time from the send to the reply.
        took_us: u64,
    },
    /// The worker failed it or shed it.
    Failed,
    /// The gate turned it away; says nothing about the worker.
    TurnedAway,
    /// The daemon beside the worker could not be reached.
    Unreachable,
    /// Given up by the sender.
    Cancelled,
}

/// How far a request may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// To any worker.
    Anywhere,
    /// Not beyond the region, as overload is no reason to leave it.
    Region,
}

/// A worker with what is known of it.
#[derive(Debug)]
pub struct Member {
    /// What its daemon says.
    pub announcement: Announcement,
    load: GateLoad,
    load_at_us: u64,
    outstanding: u32,
    sent_since_report: u32,
    latency_us: f64,
    latency_at_us: u64,
    failure_share: f64,
    failure_at_us: u64,
    unreachable_until_us: u64,
    /// Worker life that its gate has refused to serve.
    refused_life: Option<WorkerLife>,
}

/// Worker chosen for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Key, to report the end of the send.
    pub key: MemberKey,
    /// Address of its daemon.
    pub addr: SocketAddr,
    /// Name of its VM.
    pub vm: SmolStr,
    /// Its life.
    pub life: WorkerLife,
}

/// All known workers.
#[derive(Debug)]
pub struct Directory {
    data_centre: DataCentre,
    region: Region,
    members: SlotMap<MemberKey, Member>,
    by_vm: HashMap<SmolStr, MemberKey>,
    by_service: HashMap<ServiceName, Vec<MemberKey>>,
    rng: ChaCha8Rng,
}

impl Directory {
    /// Empty directory of a daemon at this place.
    pub fn new(data_centre: DataCentre, region: Region, seed: u64) -> Self {
        Self {
            data_centre,
            region,
            members: SlotMap::with_key(),
            by_vm: HashMap::default(),
            by_service: HashMap::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes what a daemon says of itself; tells whether it was news.
    pub fn learn(&mut self, announcement: Announcement) -> bool {
        let known = self.by_vm.get(&announcement.vm).copied();
        let known_member = known.and_then(|key| self.members.get(key));
        if known_member.is_some_and(|member| member.announcement.order() >= announcement.order()) {
            return false;
        }
        let service = announcement
            .worker
            .as_ref()
            .map(|worker| worker.service.clone());
        let key = if let Some(key) = known {
            self.unlist(key);
            self.members[key].renew(announcement);
            key
        } else {
            let vm = announcement.vm.clone();
            let key = self.members.insert(Member::new(announcement));
            self.by_vm.insert(vm, key);
            key
        };
        if let Some(service) = service {
            self.by_service.entry(service).or_default().push(key);
        }
        true
    }

    /// Forgets a VM.
    pub fn remove(&mut self, vm: &str) -> bool {
        let Some(key) = self.by_vm.remove(vm) else {
            return false;
        };
        self.unlist(key);
        self.members.remove(key);
        true
    }

    fn unlist(&mut self, key: MemberKey) {
        for keys in self.by_service.values_mut() {
            keys.retain(|listed| *listed != key);
        }
    }

    /// Chooses a worker that has not been tried.
    pub fn choose(
        &mut self,
        service: &str,
        tried: &[WorkerLife],
        reach: Reach,
        now_us: u64,
    ) -> Option<Choice> {
        let keys = self.by_service.get(service)?;
        let first = match keys.len() {
            0 => return None,
            count if count > MAX_COMPARED => self.rng.random_range(0..count),
            _ => 0,
        };
        let compared: SmallVec<[MemberKey; MAX_COMPARED]> = keys
            .iter()
            .cycle()
            .skip(first)
            .take(keys.len().min(MAX_COMPARED))
            .copied()
            .filter(|key| {
                let member = &self.members[*key];
                let is_far = reach == Reach::Region && member.announcement.region != self.region;
                !is_far && member.is_usable(tried)
            })
            .collect();
        let usual_us = self.lowest_latency_us(&compared);
        let mut best: Option<(f64, MemberKey)> = None;
        for key in compared {
            let noise = 1.0 + self.rng.random_range(-NOISE..NOISE);
            let member = &self.members[key];
            let cost_us = member.expected_us(usual_us, now_us) * noise + self.distance_us(member);
            if best.is_none_or(|(best_us, _)| cost_us < best_us) {
                best = Some((cost_us, key));
            }
        }
        let (_, key) = best?;
        let member = &self.members[key];
        let worker = member.announcement.worker.as_ref()?;
        Some(Choice {
            key,
            addr: member.announcement.addr,
            vm: member.announcement.vm.clone(),
            life: worker.life.clone(),
        })
    }

    /// Lowest latency among these workers, for those of which nothing recent is known.
    fn lowest_latency_us(&self, keys: &[MemberKey]) -> f64 {
        let latencies = keys.iter().map(|key| self.members[*key].known_latency_us());
        let lowest_us = latencies
            .filter(|us| *us > 0.0)
            .fold(f64::INFINITY, f64::min);
        if lowest_us.is_finite() {
            lowest_us
        } else {
            0.0
        }
    }

    fn distance_us(&self, member: &Member) -> f64 {
        if member.announcement.data_centre == self.data_centre {
            0.0
        } else if member.announcement.region == self.region {
            OTHER_CENTRE_US
        } else {
            OTHER_REGION_US
        }
    }

    /// Work in hand over the room for it, in thousandths, over the workers of a service that are
    /// near enough to take requests from here: those of the region, or all if there are none.
    pub fn load_permille(&self, service: &str, now_us: u64) -> u32 {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let usable = || {
            let members = keys.iter().map(|key| &self.members[*key]);
            members.filter(|member| member.is_usable(&[]) && now_us >= member.unreachable_until_us)
        };
        let load = |is_near: &dyn Fn(&Member) -> bool| {
            usable()
                .filter(|member| is_near(member))
                .fold((0.0, 0.0), |(work, room), member| {
                    (work + member.in_hand(now_us), room + member.limit())
                })
        };
        let (work, room) = match load(&|member| member.announcement.region == self.region) {
            (_, 0.0) => load(&|_| true),
            near => near,
        };
        if room == 0.0 {
            return 0;
        }
        (work * 1_000.0 / room) as u32
    }

    /// Counts a send.
    pub fn sent(&mut self, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.outstanding += 1;
            member.sent_since_report += 1;
        }
    }

    /// Takes the end of a send, with the load that the gate reported.
    pub fn ended(&mut self, key: MemberKey, ended: Ended, load: Option<GateLoad>, now_us: u64) {
        if let Some(member) = self.members.get_mut(key) {
            member.ended(ended, load, now_us);
        }
    }

    /// Notes that a gate does not serve this life of its worker (any more).
    pub fn refuse_life(&mut self, key: MemberKey, life: &WorkerLife) {
        if let Some(member) = self.members.get_mut(key) {
            member.refused_life = Some(life.clone());
        }
    }

    /// All announcements.
    pub fn announcements(&self) -> impl Iterator<Item = &Announcement> {
        self.members.values().map(|member| &member.announcement)
    }

    /// Number of workers that take requests for a service.
    pub fn workers(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Number of VMs.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

impl Member {
    fn new(announcement: Announcement) -> Self {
        Self {
            announcement,
            load: GateLoad::default(),
            load_at_us: 0,
            outstanding: 0,
            sent_since_report: 0,
            latency_us: 0.0,
            latency_at_us: 0,
            failure_share: 0.0,
            failure_at_us: 0,
            unreachable_until_us: 0,
            refused_life: None,
        }
    }

    /// Takes a newer announcement; another life of the worker begins without a past.
    fn renew(&mut self, announcement: Announcement) {
        let life = |announcement: &Announcement| {
            announcement
                .worker
                .as_ref()
                .map(|worker| worker.life.clone())
        };
        let is_same = life(&announcement) == life(&self.announcement);
        let is_same_daemon =
            announcement.daemon_born_unix_ms == self.announcement.daemon_born_unix_ms;
        let outstanding = self.outstanding;
        if is_same {
            self.announcement = announcement;
        } else {
            *self = Self::new(announcement);
            self.outstanding = outstanding;
        }
        if !is_same_daemon {
            self.refused_life = None;
            self.unreachable_until_us = 0;
        }
    }

    fn is_usable(&self, tried: &[WorkerLife]) -> bool {
        let Some(worker) = &self.announcement.worker else {
            return false;
        };
        !tried.contains(&worker.life) && self.refused_life.as_ref() != Some(&worker.life)
    }

    fn failure_share(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failure_at_us) as f64;
        self.failure_share * (-age_us / FAILURE_HALF_LIFE_US * std::f64::consts::LN_2).exp()
    }

    /// Requests that the worker may have at a time.
    fn limit(&self) -> f64 {
        let worker = self.announcement.worker.as_ref();
        let slots = worker.map_or(1, |worker| worker.slots.max(1));
        match self.load.limit {
            0 => f64::from(slots),
            limit => f64::from(limit),
        }
    }

    /// Requests at the worker and at its gate: as last reported and sent from here since, or what
    /// was sent from here once the report is too old.
    fn in_hand(&self, now_us: u64) -> f64 {
        let outstanding = f64::from(self.outstanding);
        let age_us = now_us.saturating_sub(self.load_at_us) as f64;
        if age_us > REPORT_STALE_US + 2.0 * self.latency_us {
            return outstanding;
        }
        let reported = self.load.in_flight + self.load.queued + self.sent_since_report;
        f64::from(reported).max(outstanding)
    }

    /// Latency as last seen; zero if it never was.
    fn known_latency_us(&self) -> f64 {
        self.latency_us.max(f64::from(self.load.latency_us))
    }

    /// Latency to expect. Without news it returns to what is usual, so that a worker that was slow is
    /// tried again, by one call at a time; one that was never tried is tried first.
    fn latency_us(&self, usual_us: f64, now_us: u64) -> f64 {
        let known_us = self.known_latency_us();
        match (known_us > 0.0, self.outstanding > 0) {
            (true, true) => return known_us,
            (false, true) => return usual_us,
            (false, false) => return 0.0,
            (true, false) => {}
        }
        let age_us = now_us.saturating_sub(self.latency_at_us) as f64;
        usual_us + (known_us - usual_us) * (-age_us / LATENCY_TAU_US).exp()
    }

    /// Expected time to an answer from this worker.
    fn expected_us(&self, usual_us: f64, now_us: u64) -> f64 {
        let limit = self.limit();
        let latency_us = self.latency_us(usual_us, now_us);
        let in_hand = self.in_hand(now_us);
        let waiting = (in_hand + 1.0 - limit).max(0.0);
        let busy = (in_hand / limit).min(1.0);
        // A worker near its limit is slower than one with room; a tenth breaks ties by load.
        let work_us = latency_us * (1.0 + 0.1 * busy);
        let wait_us = waiting / limit * latency_us.max(1_000.0) * WAIT_WEIGHT;
        let full = ((busy - NEARLY_FULL) / (1.0 - NEARLY_FULL)).max(0.0);
        let mut cost_us = work_us + wait_us + full * FULL_US;
        cost_us += self.failure_share(now_us) * FAILURE_COST_US;
        if now_us < self.unreachable_until_us {
            cost_us += FAILURE_COST_US;
        }
        cost_us
    }

    fn note_latency(&mut self, took_us: f64, now_us: u64) {
        let gap_us = now_us.saturating_sub(self.latency_at_us);
        let weight = sample_weight(gap_us, LATENCY_TAU_US).max(LATENCY_WEIGHT);
        self.latency_us += (took_us - self.latency_us) * weight;
        self.latency_at_us = now_us;
    }

    fn ended(&mut self, ended: Ended, load: Option<GateLoad>, now_us: u64) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(load) = load {
            self.load = load;
            self.load_at_us = now_us;
            self.sent_since_report = 0;
        }
        let failed = match ended {
            Ended::Answered { took_us } => {
                self.note_latency(took_us as f64, now_us);
                self.unreachable_until_us = 0;
                0.0
            }
            Ended::Failed => 1.0,
            Ended::Unreachable => {
                self.unreachable_until_us = now_us + UNREACHABLE_US;
                1.0
            }
            Ended::TurnedAway | Ended::Cancelled => return,
        };
        let share = self.failure_share(now_us);
        self.failure_share = share + (failed - share) * FAILURE_WEIGHT;
        self.failure_at_us = now_us;
    }
}
