//! Workers of all services, and the choice of a worker for a request.
//!
//! The choice minimises the expected time to an answer. The estimate uses the queue length and
//! latency from the gates' replies, the calls sent since the last reply, the share of failures, and
//! a penalty for leaving the data centre. It handles five load patterns: workers of unequal speed,
//! a cold worker, a worker that fails part of its requests, a data centre whose own workers are
//! full, and a fleet with many workers of which most are far away.
//!
//! A worker of another region is not expected to be faster than those of the own region. Otherwise
//! each daemon would try each worker of the deployment, and again whenever it has no recent data of
//! it, at the price of the link between regions.

use {
    crate::{
        collections::HashMap,
        fleet::member::Member,
        mesh::{
            frame::GateLoad,
            known_worker::{Assumed, KnownWorker, SendOutcome},
        },
        place::{DataCentre, Region},
        request::{Incarnation, ServiceName},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::{SlotMap, new_key_type},
    smallvec::SmallVec,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

new_key_type! {
    /// Key of one VM's worker.
    pub struct WorkerKey;
}

/// Penalty for a worker in another data centre: the extra time that is accepted to keep a request
/// local, because traffic between data centres is billed.
pub(super) const CROSS_CENTRE_PENALTY_US: f64 = 40_000.0;

/// Penalty for a worker in another region. Traffic between regions costs eight times as much, and
/// leaving the region gains nothing while both regions are overloaded. It is less than
/// the cost of a failed send, so that requests leave a region whose workers all fail.
const CROSS_REGION_PENALTY_US: f64 = 300_000.0;

/// Candidates of the own region compared for one choice; larger services are sampled.
const MAX_CANDIDATES: usize = 12;

/// Candidates of other regions compared for one choice.
const MAX_FAR_CANDIDATES: usize = 4;

/// Weight of one answer in the typical latency of a service, which averages about the last two
/// hundred answers.
const TYPICAL_WEIGHT: f64 = 0.005;

/// Multiple of the typical latency from which the own region counts as slow, so that workers of
/// other regions are tried.
const SLOW_REGION_FACTOR: f64 = 8.0;

/// Relative noise on each estimate, so that daemons with the same view choose different workers.
const NOISE: f64 = 0.05;

/// Set of workers that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// All workers.
    Anywhere,
    /// Workers of this region only, as overload is no reason to leave it.
    Region,
}

/// Worker chosen for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Key, to report the outcome of the send.
    pub key: WorkerKey,
    /// Address of its daemon.
    pub addr: SocketAddr,
    /// Name of its VM.
    pub vm: SmolStr,
    /// Incarnation.
    pub incarnation: Incarnation,
}

/// All known workers.
#[derive(Debug)]
pub struct Directory {
    data_centre: DataCentre,
    region: Region,
    members: SlotMap<WorkerKey, KnownWorker>,
    by_vm: HashMap<SmolStr, WorkerKey>,
    by_service: HashMap<ServiceName, ServiceWorkers>,
    rng: ChaCha8Rng,
}

/// Workers of one service that accept requests.
#[derive(Debug, Default)]
struct ServiceWorkers {
    /// Workers of the own region.
    near: Vec<WorkerKey>,
    /// Workers of other regions.
    far: Vec<WorkerKey>,
    /// Latency over a long time; zero before the first answer.
    typical_us: f64,
}

impl ServiceWorkers {
    fn remove(&mut self, key: WorkerKey) {
        self.near.retain(|listed| *listed != key);
        self.far.retain(|listed| *listed != key);
    }

    fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    fn all(&self) -> impl Iterator<Item = &WorkerKey> {
        self.near.iter().chain(&self.far)
    }

    fn record_latency(&mut self, took_us: f64) {
        if self.typical_us == 0.0 {
            self.typical_us = took_us;
        }
        self.typical_us += (took_us - self.typical_us) * TYPICAL_WEIGHT;
    }

    /// Latency to expect of a worker in another region, if the best one here has this latency.
    fn far_latency_us(&self, near_us: f64) -> f64 {
        if self.typical_us > 0.0 {
            near_us.min(self.typical_us * SLOW_REGION_FACTOR)
        } else {
            near_us
        }
    }
}

impl Directory {
    /// Creates the empty directory of a daemon in this data centre and region.
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

    /// Applies the latest record of a member.
    pub fn apply_member(&mut self, member: &Member) {
        let service = member
            .worker
            .as_ref()
            .filter(|worker| !worker.draining)
            .map(|worker| worker.service.clone());
        let key = if let Some(key) = self.by_vm.get(&member.place.name).copied() {
            self.remove_from_services(key);
            self.members[key].apply_member(member);
            key
        } else {
            let key = self.members.insert(KnownWorker::new(member.clone()));
            self.by_vm.insert(member.place.name.clone(), key);
            key
        };
        if let Some(service) = service {
            let workers = self.by_service.entry(service).or_default();
            if member.place.region == self.region {
                workers.near.push(key);
            } else {
                workers.far.push(key);
            }
        }
    }

    /// Removes a VM.
    pub fn remove(&mut self, vm: &str) {
        if let Some(key) = self.by_vm.remove(vm) {
            self.remove_from_services(key);
            self.members.remove(key);
        }
    }

    fn remove_from_services(&mut self, key: WorkerKey) {
        for workers in self.by_service.values_mut() {
            workers.remove(key);
        }
    }

    /// Chooses the worker with the lowest expected cost among those not yet tried.
    pub fn choose(
        &mut self,
        service: &str,
        tried: &[Incarnation],
        reach: Reach,
        now_us: u64,
    ) -> Option<Choice> {
        let workers = self.by_service.get(service)?;
        let members = &self.members;
        let rng = &mut self.rng;
        let is_usable = |key: &WorkerKey| members[*key].is_usable(tried);
        let near: Candidates = sample(&workers.near, MAX_CANDIDATES, rng)
            .filter(is_usable)
            .collect();
        let is_far_excluded = reach == Reach::Region;
        let max_far = if is_far_excluded {
            0
        } else {
            MAX_FAR_CANDIDATES
        };
        let far: Candidates = sample(&workers.far, max_far, rng)
            .filter(is_usable)
            .collect();
        let lowest_us = self.lowest_latency_us(if near.is_empty() { &far } else { &near });
        let near_assumed = Assumed {
            outdated_us: lowest_us,
            untried_us: 0.0,
        };
        let best_near = self.best(&near, near_assumed, now_us);
        let near_us = best_near.map_or(lowest_us, |(_, key)| {
            self.members[key].latency_us(near_assumed, now_us)
        });
        let far_us = self.by_service[service].far_latency_us(near_us);
        let far_assumed = Assumed {
            outdated_us: far_us,
            untried_us: far_us,
        };
        let best_far = self.best(&far, far_assumed, now_us);
        let is_lower = |(cost_us, _): &(f64, WorkerKey)| {
            best_near.is_none_or(|(near_us, _)| *cost_us < near_us)
        };
        let (_, key) = best_far.filter(is_lower).or(best_near)?;
        let member = &self.members[key];
        let worker = member.member.worker.as_ref()?;
        Some(Choice {
            key,
            addr: member.member.place.call_addr,
            vm: member.member.place.name.clone(),
            incarnation: worker.incarnation,
        })
    }

    /// Worker with the lowest expected cost, and that cost.
    fn best(
        &mut self,
        candidates: &[WorkerKey],
        assumed: Assumed,
        now_us: u64,
    ) -> Option<(f64, WorkerKey)> {
        let mut best: Option<(f64, WorkerKey)> = None;
        for key in candidates {
            let noise = 1.0 + self.rng.random_range(-NOISE..NOISE);
            let member = &self.members[*key];
            let cost_us =
                member.expected_cost_us(assumed, now_us) * noise + self.distance_penalty_us(member);
            if best.is_none_or(|(best_us, _)| cost_us < best_us) {
                best = Some((cost_us, *key));
            }
        }
        best
    }

    /// Lowest known latency among these workers, used for workers without recent data.
    fn lowest_latency_us(&self, keys: &[WorkerKey]) -> f64 {
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

    fn distance_penalty_us(&self, member: &KnownWorker) -> f64 {
        if member.member.place.data_centre == self.data_centre {
            0.0
        } else if member.member.place.region == self.region {
            CROSS_CENTRE_PENALTY_US
        } else {
            CROSS_REGION_PENALTY_US
        }
    }

    /// Load of a service relative to its capacity, in thousandths: in-flight and queued requests
    /// over the sum of the limits, less the share that workers fail. Counts the workers of this region, or all workers if there are
    /// none.
    pub fn load_permille(&self, service: &str, now_us: u64) -> u32 {
        let Some(workers) = self.by_service.get(service) else {
            return 0;
        };
        let usable = || {
            let members = workers.all().map(|key| &self.members[*key]);
            members.filter(|member| member.is_usable(&[]) && now_us >= member.unreachable_until_us)
        };
        let load = |is_near: &dyn Fn(&KnownWorker) -> bool| {
            usable().filter(|member| is_near(member)).fold(
                (0.0, 0.0),
                |(requests, capacity), member| {
                    (
                        requests + member.estimated_requests(now_us),
                        capacity + member.limit() * (1.0 - member.failure_share(now_us)),
                    )
                },
            )
        };
        let (requests, capacity) = match load(&|member| member.member.place.region == self.region) {
            (_, 0.0) => load(&|_| true),
            near => near,
        };
        if capacity == 0.0 {
            return 0;
        }
        (requests * 1_000.0 / capacity) as u32
    }

    /// Records that a request was sent to a worker.
    pub fn record_send(&mut self, key: WorkerKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.outstanding += 1;
            member.sent_since_report += 1;
        }
    }

    /// Records the outcome of a send, with the load that the gate reported.
    pub fn record_outcome(
        &mut self,
        key: WorkerKey,
        outcome: SendOutcome,
        load: Option<GateLoad>,
        now_us: u64,
    ) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.record_outcome(outcome, load, now_us);
        let service = member.member.worker.as_ref().map(|worker| &worker.service);
        let workers = service.and_then(|service| self.by_service.get_mut(service));
        if let (SendOutcome::Answered { took_us }, Some(workers)) = (outcome, workers) {
            workers.record_latency(took_us as f64);
        }
    }

    /// Records that a gate does not, or no longer, serve this incarnation of its worker.
    pub fn mark_refused(&mut self, key: WorkerKey, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(key) {
            member.refused_incarnation = Some(incarnation);
        }
    }

    /// Number of workers that accept requests for a service.
    pub fn workers(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, ServiceWorkers::len)
    }

    /// Number of VMs.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// Workers compared for one choice.
type Candidates = SmallVec<[WorkerKey; MAX_CANDIDATES]>;

/// Up to `count` successive keys from a random position, or all if there are no more.
fn sample<'a>(
    keys: &'a [WorkerKey],
    count: usize,
    rng: &mut ChaCha8Rng,
) -> impl Iterator<Item = WorkerKey> + use<'a> {
    let first = if keys.len() > count {
        rng.random_range(0..keys.len())
    } else {
        0
    };
    let count = count.min(keys.len());
    keys.iter().cycle().skip(first).take(count).copied()
}
