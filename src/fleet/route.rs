//! Picks a worker for a call: first in the local data centre, then in the local region, then in
//! other regions.

use {
    super::{
        Fleet,
        summary::{RemoteCentre, Summary, SummaryWorker, smooth},
    },
    crate::{
        collections::HashMap,
        place::Place,
        request::{Importance, Incarnation, Level, Rank},
    },
    derive_more::Display,
    rand::Rng,
    serde::Serialize,
    std::collections::BTreeMap,
};

/// Limits on calls to other data centres.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRules {
    /// Bytes per second that this daemon may exchange with other regions.
    pub spill_bytes_per_s: u64,
    /// Minimum remaining time of a call in addition to the round trip to another data centre.
    pub spill_margin_us: u64,
    /// Assumed round-trip time to a data centre of the local region that no probe has measured.
    pub region_rtt_us: u64,
    /// Assumed round-trip time to a data centre of another region that no probe has measured.
    pub world_rtt_us: u64,
    /// Time for which a worker is avoided after a failed call.
    pub avoid_us: u64,
}

impl Default for RouteRules {
    fn default() -> Self {
        Self {
            spill_bytes_per_s: 50_000,
            spill_margin_us: 5_000,
            region_rtt_us: 4_000,
            world_rtt_us: 40_000,
            avoid_us: 1_000_000,
        }
    }
}

/// Requirements of a call on its worker.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Called service.
    pub service: &'a str,
    /// Rank of the request.
    pub rank: Rank,
    /// Workers that the call has already been sent to.
    pub excluded: &'a [Incarnation],
    /// Remaining time until the deadline.
    pub remaining_us: u64,
    /// Expected size of the call and its response together.
    pub transfer_bytes: u32,
}

/// Worker picked for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Place of its daemon.
    pub place: Place,
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Distance of the worker.
    pub locality: Locality,
}

/// Distance of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize)]
pub enum Locality {
    /// In the local data centre.
    #[display("data-centre")]
    DataCentre,
    /// In another data centre of the local region.
    #[display("region")]
    Region,
    /// In another region.
    #[display("world")]
    World,
}

/// Outcome of a call, as far as routing is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The worker's daemon answered or refused the call.
    Answered,
    /// The worker's daemon could not be reached, or the connection broke.
    Failed,
}

/// Statistics of this daemon's own calls to one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CallRecord {
    /// Calls that have not ended yet.
    pub outstanding: u32,
    /// Smoothed duration of answered calls.
    pub latency_us: Option<u32>,
    /// Time of the last failed call, unless a later call was answered.
    pub failed_us: Option<u64>,
    /// Time at which a call last started or ended.
    pub used_us: u64,
}

/// Totals since the daemon started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct RouteCounters {
    /// Picks in the local data centre.
    pub data_centre: u64,
    /// Picks in another data centre of the local region.
    pub region: u64,
    /// Picks in another region.
    pub world: u64,
    /// Picks of a worker that is suspect or to which a recent call failed.
    pub doubtful: u64,
    /// Calls for which no worker was found.
    pub none: u64,
    /// Picks in another region that the byte limit prevented.
    pub over_cap: u64,
    /// Data centres skipped because the remaining time was too short for them.
    pub over_deadline: u64,
}

/// Highest importance, whose calls may go to other regions beyond the byte limit.
const UNCAPPED_IMPORTANCE: Importance = Importance(0);

/// Time after which the call record of an unused worker is removed.
const RECORD_TTL_US: u64 = 60_000_000;

/// Router of one daemon.
#[derive(Debug)]
pub struct Router {
    rules: RouteRules,
    records: HashMap<Incarnation, CallRecord>,
    /// Bytes that may still be exchanged with other regions; refilled over time.
    spill_bytes: u64,
    refilled_us: u64,
    counters: RouteCounters,
}

/// Worker that a call may be sent to.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    place: &'a Place,
    incarnation: Incarnation,
    slots: u32,
    load: u32,
    level: Level,
    is_doubtful: bool,
}

impl Router {
    /// Creates a router without call records.
    pub fn new(rules: RouteRules) -> Self {
        Self {
            spill_bytes: rules.spill_bytes_per_s,
            rules,
            records: HashMap::default(),
            refilled_us: 0,
            counters: RouteCounters::default(),
        }
    }

    /// Picks a worker for a call, or returns `None` if no suitable one is known.
    ///
    /// The order of preference: healthy workers of the local data centre that admit the call,
    /// workers of other data centres that admit it, healthy local workers that would reject it, and
    /// local workers that are suspect or failed recently.
    pub fn pick(
        &mut self,
        fleet: &Fleet,
        query: &RouteQuery<'_>,
        now_us: u64,
        rng: &mut dyn Rng,
    ) -> Option<Choice> {
        self.refill(now_us);
        let local = self.local_candidates(fleet, query, now_us);
        let (healthy, doubtful): (Vec<_>, Vec<_>) = local
            .into_iter()
            .partition(|candidate| !candidate.is_doubtful);
        let admitting: Vec<_> = healthy
            .iter()
            .filter(|candidate| candidate.level.admits(query.rank))
            .copied()
            .collect();
        if let Some(choice) = self.pick_less_loaded(&admitting, Locality::DataCentre, rng) {
            return Some(choice);
        }
        if let Some(choice) = self.spill(fleet, query, now_us, rng) {
            return Some(choice);
        }
        if let Some(choice) = self.pick_less_loaded(&healthy, Locality::DataCentre, rng) {
            return Some(choice);
        }
        let last = self.pick_less_loaded(&doubtful, Locality::DataCentre, rng);
        match last {
            Some(_) => self.counters.doubtful += 1,
            None => self.counters.none += 1,
        }
        last
    }

    /// Sets the bytes per second that this daemon may exchange with other regions.
    pub fn set_spill_rate(&mut self, spill_bytes_per_s: u64) {
        self.rules.spill_bytes_per_s = spill_bytes_per_s;
    }

    /// Records that a call has been sent to a worker.
    pub fn record_start(&mut self, incarnation: Incarnation, now_us: u64) {
        let record = self.records.entry(incarnation).or_default();
        record.outstanding += 1;
        record.used_us = now_us;
    }

    /// Records that a call to a worker has ended.
    pub fn record_end(
        &mut self,
        incarnation: Incarnation,
        latency_us: u32,
        outcome: CallOutcome,
        now_us: u64,
    ) {
        let record = self.records.entry(incarnation).or_default();
        record.outstanding = record.outstanding.saturating_sub(1);
        record.used_us = now_us;
        match outcome {
            CallOutcome::Answered => {
                record.latency_us = Some(smooth(record.latency_us, latency_us));
                record.failed_us = None;
            }
            CallOutcome::Failed => record.failed_us = Some(now_us),
        }
    }

    /// Removes the records of workers without recent calls; must be called every few seconds.
    pub fn sweep(&mut self, now_us: u64) {
        self.records.retain(|_, record| {
            record.outstanding > 0 || now_us.saturating_sub(record.used_us) < RECORD_TTL_US
        });
    }

    /// Returns the totals since the daemon started.
    pub fn counters(&self) -> RouteCounters {
        self.counters
    }

    /// Returns the call records by incarnation of the worker, for a dump.
    pub fn records(&self) -> BTreeMap<Incarnation, CallRecord> {
        self.records
            .iter()
            .map(|(incarnation, record)| (*incarnation, *record))
            .collect()
    }

    /// Returns the workers of the local data centre that accept new requests.
    fn local_candidates<'a>(
        &self,
        fleet: &'a Fleet,
        query: &RouteQuery<'_>,
        now_us: u64,
    ) -> Vec<Candidate<'a>> {
        fleet
            .workers(query.service)
            .filter(|local| local.member.accepts_work())
            .filter(|local| !query.excluded.contains(&local.worker.incarnation))
            .map(|local| Candidate {
                place: &local.member.place,
                incarnation: local.worker.incarnation,
                slots: local.worker.slots,
                load: u32::from(local.worker.load),
                level: local.worker.level,
                is_doubtful: local.is_doubtful || self.is_avoided(local.worker.incarnation, now_us),
            })
            .collect()
    }

    fn is_avoided(&self, incarnation: Incarnation, now_us: u64) -> bool {
        let failed_us = self
            .records
            .get(&incarnation)
            .and_then(|record| record.failed_us);
        failed_us.is_some_and(|failed_us| now_us.saturating_sub(failed_us) < self.rules.avoid_us)
    }

    /// Picks a worker in another data centre that can answer the call before its deadline.
    fn spill(
        &mut self,
        fleet: &Fleet,
        query: &RouteQuery<'_>,
        now_us: u64,
        rng: &mut dyn Rng,
    ) -> Option<Choice> {
        let near = self.remote_candidates(fleet, query, now_us, Locality::Region);
        if let Some(choice) = self.pick_less_loaded(&near, Locality::Region, rng) {
            return Some(choice);
        }
        let far = self.remote_candidates(fleet, query, now_us, Locality::World);
        if far.is_empty() {
            return None;
        }
        let is_capped = query.rank.importance() > UNCAPPED_IMPORTANCE;
        if is_capped && self.spill_bytes < u64::from(query.transfer_bytes) {
            self.counters.over_cap += 1;
            return None;
        }
        self.spill_bytes = self
            .spill_bytes
            .saturating_sub(u64::from(query.transfer_bytes));
        self.pick_less_loaded(&far, Locality::World, rng)
    }

    /// Returns workers of other data centres at this distance that admit the call.
    fn remote_candidates<'a>(
        &mut self,
        fleet: &'a Fleet,
        query: &RouteQuery<'_>,
        now_us: u64,
        locality: Locality,
    ) -> Vec<Candidate<'a>> {
        let mut candidates = Vec::new();
        for summary in fleet.remote().summaries(query.service) {
            let Some(centre) = fleet.remote().centres().get(&summary.data_centre) else {
                continue;
            };
            let is_near = centre.region == fleet.local_member().place.region;
            if is_near != (locality == Locality::Region) || centre.is_unreachable(now_us) {
                continue;
            }
            if !summary.level.admits(query.rank) || summary.workers.is_empty() {
                continue;
            }
            if query.remaining_us < self.rtt_us(centre, locality) + self.rules.spill_margin_us {
                self.counters.over_deadline += 1;
                continue;
            }
            let workers = summary.workers.iter();
            let usable = workers.filter(|worker| self.is_usable(worker, query, now_us));
            candidates.extend(usable.map(|worker| candidate_of(summary, worker)));
        }
        candidates
    }

    fn is_usable(&self, worker: &SummaryWorker, query: &RouteQuery<'_>, now_us: u64) -> bool {
        !query.excluded.contains(&worker.incarnation)
            && !self.is_avoided(worker.incarnation, now_us)
    }

    fn rtt_us(&self, centre: &RemoteCentre, locality: Locality) -> u64 {
        let unmeasured_us = match locality {
            Locality::DataCentre => 0,
            Locality::Region => self.rules.region_rtt_us,
            Locality::World => self.rules.world_rtt_us,
        };
        centre.rtt_us.map_or(unmeasured_us, u64::from)
    }

    /// Picks the less loaded of two random candidates.
    fn pick_less_loaded(
        &mut self,
        candidates: &[Candidate<'_>],
        locality: Locality,
        rng: &mut dyn Rng,
    ) -> Option<Choice> {
        let first = random_candidate(candidates, rng)?;
        let second = random_candidate(candidates, rng)?;
        let chosen = if self.is_busier(first, second) {
            second
        } else {
            first
        };
        match locality {
            Locality::DataCentre => self.counters.data_centre += 1,
            Locality::Region => self.counters.region += 1,
            Locality::World => self.counters.world += 1,
        }
        Some(Choice {
            place: chosen.place.clone(),
            incarnation: chosen.incarnation,
            locality,
        })
    }

    /// Compares the shares of slots in use: by this daemon's own outstanding calls, then by the
    /// announced load.
    fn is_busier(&self, one: &Candidate<'_>, other: &Candidate<'_>) -> bool {
        let one_busy = (self.outstanding(one.incarnation), one.load);
        let other_busy = (self.outstanding(other.incarnation), other.load);
        let share = |busy: u32, slots: u32| u64::from(busy) * u64::from(slots.max(1));
        let one_share = (
            share(one_busy.0, other.slots),
            share(one_busy.1, other.slots),
        );
        let other_share = (
            share(other_busy.0, one.slots),
            share(other_busy.1, one.slots),
        );
        one_share > other_share
    }

    fn outstanding(&self, incarnation: Incarnation) -> u32 {
        let record = self.records.get(&incarnation);
        record.map_or(0, |record| record.outstanding)
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us).min(1_000_000);
        let added = elapsed_us * self.rules.spill_bytes_per_s / 1_000_000;
        if added > 0 {
            self.spill_bytes = (self.spill_bytes + added).min(self.rules.spill_bytes_per_s);
            self.refilled_us = now_us;
        }
    }
}

fn candidate_of<'a>(summary: &'a Summary, worker: &'a SummaryWorker) -> Candidate<'a> {
    Candidate {
        place: &worker.place,
        incarnation: worker.incarnation,
        slots: summary.slots,
        load: summary.load,
        level: summary.level,
        is_doubtful: false,
    }
}

fn random_candidate<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    rng: &mut dyn Rng,
) -> Option<&'b Candidate<'a>> {
    if candidates.is_empty() {
        return None;
    }
    candidates.get((rng.next_u64() % candidates.len() as u64) as usize)
}
