//! Picking a worker for a call: own data centre first, then own region, then the rest.

use {
    super::{
        Fleet,
        summary::{Centre, Summary, SummaryWorker, smooth},
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
    /// Bytes a second that this daemon may send to and get from other regions.
    pub spill_bytes_per_s: u64,
    /// Time that must be left beyond the round trip to another data centre.
    pub spill_margin_us: u64,
    /// Round trip to a data centre of the own region that no probe has measured.
    pub region_rtt_us: u64,
    /// Round trip to a data centre of another region that no probe has measured.
    pub world_rtt_us: u64,
    /// Time that a worker is avoided after a call that did not reach it.
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

/// Call that needs a worker.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Service to call.
    pub service: &'a str,
    /// Rank of the request.
    pub rank: Rank,
    /// Workers that have been tried.
    pub excluded: &'a [Incarnation],
    /// Time left until the deadline.
    pub time_left_us: u64,
    /// Expected bytes of the call and its answer.
    pub transfer_bytes: u32,
}

/// Worker picked for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Place of its daemon.
    pub place: Place,
    /// Life of the backend server.
    pub incarnation: Incarnation,
    /// How far away it is.
    pub locality: Locality,
}

/// Distance of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize)]
pub enum Locality {
    /// In the own data centre.
    #[display("data-centre")]
    DataCentre,
    /// In another data centre of the own region.
    #[display("region")]
    Region,
    /// In another region.
    #[display("world")]
    World,
}

/// How a call ended, as far as routing is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The worker's daemon answered or refused it.
    Answered,
    /// The worker's daemon was not reached or the connection broke.
    Failed,
}

/// What this daemon knows of one worker from its own calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CallRecord {
    /// Calls not yet ended.
    pub outstanding: u32,
    /// Smoothed time from start to end.
    pub latency_us: Option<u32>,
    /// Time of the last call that did not reach the worker.
    pub failed_us: Option<u64>,
    /// Time of the last start or end.
    pub used_us: u64,
}

/// Totals since the start of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct RouteCounters {
    /// Picks in the own data centre.
    pub data_centre: u64,
    /// Picks in another data centre of the own region.
    pub region: u64,
    /// Picks in another region.
    pub world: u64,
    /// Picks of a worker that is suspect or was not reached lately.
    pub doubtful: u64,
    /// Calls without any worker.
    pub none: u64,
    /// Picks in another region that the byte cap forbade.
    pub over_cap: u64,
    /// Picks elsewhere that the deadline forbade.
    pub over_deadline: u64,
}

/// Importance whose calls go to other regions whatever the volume.
const UNCAPPED: Importance = Importance(0);

/// Time after which the record of an idle worker is forgotten.
const IDLE_US: u64 = 60_000_000;

/// Router of one daemon.
#[derive(Debug)]
pub struct Router {
    rules: RouteRules,
    records: HashMap<Incarnation, CallRecord>,
    spill_bytes: u64,
    refilled_us: u64,
    counters: RouteCounters,
}

/// Worker that a call may go to.
#[derive(Debug, Clone, Copy)]
struct Worker<'a> {
    place: &'a Place,
    incarnation: Incarnation,
    slots: u32,
    load: u32,
    level: Level,
    is_doubtful: bool,
}

impl Router {
    /// Creates a router without records.
    pub fn new(rules: RouteRules) -> Self {
        Self {
            spill_bytes: rules.spill_bytes_per_s,
            rules,
            records: HashMap::default(),
            refilled_us: 0,
            counters: RouteCounters::default(),
        }
    }

    /// Picks a worker for a call, if any is known.
    pub fn pick(
        &mut self,
        fleet: &Fleet,
        ask: &Ask<'_>,
        now_us: u64,
        rng: &mut dyn Rng,
    ) -> Option<Choice> {
        self.refill(now_us);
        let own = self.own(fleet, ask, now_us);
        let (sound, doubtful): (Vec<_>, Vec<_>) =
            own.into_iter().partition(|option| !option.is_doubtful);
        let admitting: Vec<_> = sound
            .iter()
            .filter(|option| option.level.admits(ask.rank))
            .copied()
            .collect();
        if let Some(choice) = self.choose(&admitting, Locality::DataCentre, rng) {
            return Some(choice);
        }
        if let Some(choice) = self.spill(fleet, ask, now_us, rng) {
            return Some(choice);
        }
        if let Some(choice) = self.choose(&sound, Locality::DataCentre, rng) {
            return Some(choice);
        }
        let last = self.choose(&doubtful, Locality::DataCentre, rng);
        match last {
            Some(_) => self.counters.doubtful += 1,
            None => self.counters.none += 1,
        }
        last
    }

    /// Changes the bytes that may go to other regions.
    pub fn set_spill(&mut self, spill_bytes_per_s: u64) {
        self.rules.spill_bytes_per_s = spill_bytes_per_s;
    }

    /// Notes that a call has been sent to a worker.
    pub fn started(&mut self, incarnation: Incarnation, now_us: u64) {
        let record = self.records.entry(incarnation).or_default();
        record.outstanding += 1;
        record.used_us = now_us;
    }

    /// Notes that a call to a worker has ended.
    pub fn finished(
        &mut self,
        incarnation: Incarnation,
        latency_us: u32,
        end: CallEnd,
        now_us: u64,
    ) {
        let record = self.records.entry(incarnation).or_default();
        record.outstanding = record.outstanding.saturating_sub(1);
        record.used_us = now_us;
        match end {
            CallEnd::Answered => {
                record.latency_us = Some(smooth(record.latency_us, latency_us));
                record.failed_us = None;
            }
            CallEnd::Failed => record.failed_us = Some(now_us),
        }
    }

    /// Forgets workers without calls; to be called every few seconds.
    pub fn sweep(&mut self, now_us: u64) {
        self.records.retain(|_, record| {
            record.outstanding > 0 || now_us.saturating_sub(record.used_us) < IDLE_US
        });
    }

    /// Totals since the start.
    pub fn counters(&self) -> RouteCounters {
        self.counters
    }

    /// Records of workers by incarnation, for a dump.
    pub fn records(&self) -> BTreeMap<Incarnation, CallRecord> {
        self.records
            .iter()
            .map(|(incarnation, record)| (*incarnation, *record))
            .collect()
    }

    fn own<'a>(&self, fleet: &'a Fleet, ask: &Ask<'_>, now_us: u64) -> Vec<Worker<'a>> {
        fleet
            .workers(ask.service)
            .filter(|worker| worker.member.takes_work())
            .filter(|worker| !ask.excluded.contains(&worker.ad.incarnation))
            .map(|worker| Worker {
                place: &worker.member.place,
                incarnation: worker.ad.incarnation,
                slots: worker.ad.slots,
                load: u32::from(worker.ad.load),
                level: worker.ad.level,
                is_doubtful: worker.doubtful || self.is_avoided(worker.ad.incarnation, now_us),
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

    /// Picks in another data centre, if that helps the call.
    fn spill(
        &mut self,
        fleet: &Fleet,
        ask: &Ask<'_>,
        now_us: u64,
        rng: &mut dyn Rng,
    ) -> Option<Choice> {
        let near = self.remote(fleet, ask, now_us, Locality::Region);
        if let Some(choice) = self.choose(&near, Locality::Region, rng) {
            return Some(choice);
        }
        let far = self.remote(fleet, ask, now_us, Locality::World);
        if far.is_empty() {
            return None;
        }
        let is_capped = ask.rank.importance() > UNCAPPED;
        if is_capped && self.spill_bytes < u64::from(ask.transfer_bytes) {
            self.counters.over_cap += 1;
            return None;
        }
        self.spill_bytes = self
            .spill_bytes
            .saturating_sub(u64::from(ask.transfer_bytes));
        self.choose(&far, Locality::World, rng)
    }

    fn remote<'a>(
        &mut self,
        fleet: &'a Fleet,
        ask: &Ask<'_>,
        now_us: u64,
        locality: Locality,
    ) -> Vec<Worker<'a>> {
        let mut options = Vec::new();
        for offer in fleet.remote().offers(ask.service) {
            let Some(centre) = fleet.remote().centres().get(&offer.data_centre) else {
                continue;
            };
            let is_near = centre.region == fleet.me().place.region;
            if is_near != (locality == Locality::Region) || centre.is_cut_off(now_us) {
                continue;
            }
            if !offer.level.admits(ask.rank) || offer.workers.is_empty() {
                continue;
            }
            if ask.time_left_us < self.rtt_us(centre, locality) + self.rules.spill_margin_us {
                self.counters.over_deadline += 1;
                continue;
            }
            let workers = offer.workers.iter();
            let usable = workers.filter(|worker| self.is_usable(worker, ask, now_us));
            options.extend(usable.map(|worker| option_of(offer, worker)));
        }
        options
    }

    fn is_usable(&self, worker: &SummaryWorker, ask: &Ask<'_>, now_us: u64) -> bool {
        !ask.excluded.contains(&worker.incarnation) && !self.is_avoided(worker.incarnation, now_us)
    }

    fn rtt_us(&self, centre: &Centre, locality: Locality) -> u64 {
        let unmeasured_us = match locality {
            Locality::DataCentre => 0,
            Locality::Region => self.rules.region_rtt_us,
            Locality::World => self.rules.world_rtt_us,
        };
        centre.rtt_us.map_or(unmeasured_us, u64::from)
    }

    /// Takes the less loaded one of two random options.
    fn choose(
        &mut self,
        options: &[Worker<'_>],
        locality: Locality,
        rng: &mut dyn Rng,
    ) -> Option<Choice> {
        let first = random(options, rng)?;
        let second = random(options, rng)?;
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

    /// Compares shares of the slots in use: own calls first, then what was announced.
    fn is_busier(&self, one: &Worker<'_>, other: &Worker<'_>) -> bool {
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

fn option_of<'a>(offer: &'a Summary, worker: &'a SummaryWorker) -> Worker<'a> {
    Worker {
        place: &worker.place,
        incarnation: worker.incarnation,
        slots: offer.slots,
        load: offer.load,
        level: offer.level,
        is_doubtful: false,
    }
}

fn random<'a, 'b>(options: &'b [Worker<'a>], rng: &mut dyn Rng) -> Option<&'b Worker<'a>> {
    if options.is_empty() {
        return None;
    }
    options.get((rng.next_u64() % options.len() as u64) as usize)
}
