//! Admission of callers' requests at the edge, limited by the bottleneck service of each class.
//!
//! Load pattern: a burst of requests whose nested calls converge on one small service deep in the
//! call graph. Each answer reports the most loaded service in the request's call tree and the
//! number of calls made there. From these reports the edge estimates how much work its admitted
//! requests cause at the bottleneck, and scales that amount by the ratio of target load to reported
//! load. The resulting budget is allocated by importance. A class that does not fit is admitted in
//! part; its other requests are refused at once, before they cost any work.
//!
//! The work of a class is reduced by the share of its requests that fail downstream: an admitted
//! request that makes many calls to a nearly full service is likely to lose one of them, and the
//! work done for it is wasted.
//!
//! The budget limits the amount of work, not the share of requests, so a burst is limited as soon
//! as it arrives, before the load of the service reflects it.

use {
    crate::{
        collections::HashMap,
        policy::ewma::sample_weight,
        request::{Importance, ServiceName},
    },
    smol_str::SmolStr,
};

/// Target load of a bottleneck service, in thousandths of its capacity. Below 1,000, since load is
/// proportional to admitted work only while nothing queues.
const TARGET_PERMILLE: f64 = 920.0;

/// Time constant of the average of admitted work. A few times the 0.3 to 0.7 s until reported load
/// reflects admitted work, so that the control loop does not oscillate.
const ADMITTED_TAU_US: f64 = 1_500_000.0;

/// Time constant of the average of offered requests.
const OFFERED_TAU_US: f64 = 300_000.0;

/// Time constant of the average of reported loads.
const LOAD_TAU_US: f64 = 300_000.0;

/// Lower bound of the factor on admitted work. Once requests queue, load grows faster than work,
/// and the plain ratio of target to load would cut too much.
const MIN_FACTOR: f64 = 0.6;

/// Lower bound of the factor while the load is below [`GROWTH_PERMILLE`]. Allows growth near the
/// target, so that a daemon whose clients grow in number gets its share of the service.
const MIN_GROWTH_FACTOR: f64 = 1.05;

/// Load below which admitted work may always grow, in thousandths.
const GROWTH_PERMILLE: f64 = 960.0;

/// Time after the first report in which nothing is refused, since the averages hold too few
/// samples.
const WARM_UP_US: u64 = 600_000;

/// Shortest time that a rate is averaged over.
const MIN_AVERAGING_US: u64 = 100_000;

/// Interval at which the admitted shares are recomputed.
const RECOMPUTE_INTERVAL_US: u64 = 50_000;

/// Time without a report after which the state of a class or a service is ignored.
const STALE_US: u64 = 3_000_000;

/// Smallest admitted share of a class. The admitted requests report the current load.
const PROBE_SHARE: f64 = 0.03;

/// Lower bound of the factor on the work of a class whose requests fail downstream, since not every
/// failure is caused by overload.
const MIN_COMPLETING_SHARE: f64 = 0.6;

/// Weight of one report in the averages of a class's calls and load.
const REPORT_WEIGHT: f64 = 0.05;

/// Events per microsecond: exponential moving average, corrected for the time before the first
/// event.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    sum: f64,
    at_us: u64,
    first_us: Option<u64>,
}

impl Rate {
    fn add(&mut self, tau_us: f64, now_us: u64) {
        self.sum = self.decayed(tau_us, now_us) + 1.0 / tau_us;
        self.at_us = now_us;
        self.first_us.get_or_insert(now_us);
    }

    fn get(&self, tau_us: f64, now_us: u64) -> f64 {
        let Some(first_us) = self.first_us else {
            return 0.0;
        };
        let since_us = now_us.saturating_sub(first_us).max(MIN_AVERAGING_US) as f64;
        self.decayed(tau_us, now_us) / (1.0 - (-since_us / tau_us).exp())
    }

    fn decayed(&self, tau_us: f64, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.at_us) as f64;
        self.sum * (-age_us / tau_us).exp()
    }
}

/// Most loaded service in the call tree of an answered request.
#[derive(Debug, Clone, Copy)]
pub struct BottleneckLoad<'a> {
    /// Name of the service.
    pub service: &'a ServiceName,
    /// Load of the service, in thousandths of its capacity.
    pub load_permille: u32,
    /// Calls that the request made to it.
    pub calls: u32,
    /// Whether the request failed because of its downstream calls.
    pub has_failed: bool,
}

#[derive(Debug)]
struct Class {
    importance: Importance,
    bottleneck: ServiceName,
    /// Average number of calls that one request makes to the bottleneck.
    calls: f64,
    load_permille: f64,
    /// Average share of the requests that fail because of their downstream calls.
    failed_share: f64,
    seen_us: u64,
    offered: Rate,
    admitted: Rate,
    /// Share of the requests that is admitted.
    share: f64,
}

#[derive(Debug)]
struct Bottleneck {
    load_permille: f64,
    load_at_us: u64,
    first_us: u64,
    /// Allowed work as a multiple of recently admitted work; infinite if nothing is refused.
    factor: f64,
}

/// Whether a request is admitted.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Forward the request.
    Admit,
    /// Refuse the request at once.
    Refuse {
        /// Service that is overloaded.
        bottleneck: ServiceName,
        /// Averaged load of the service as reported to this class, in thousandths.
        load_permille: u32,
        /// Share of the class that is admitted at present.
        admitted_share: f64,
    },
}

/// Admission state of one daemon.
#[derive(Debug, Default)]
pub struct Admission {
    classes: HashMap<SmolStr, Class>,
    bottlenecks: HashMap<ServiceName, Bottleneck>,
    recomputed_us: u64,
}

impl Admission {
    /// Decides on a request of a class; `draw` is a uniform random number between 0 and 1.
    pub fn decide(&mut self, class: &str, draw: f64, now_us: u64) -> Verdict {
        self.recompute_if_due(now_us);
        let Some(known) = self.classes.get_mut(class) else {
            return Verdict::Admit;
        };
        known.offered.add(OFFERED_TAU_US, now_us);
        if draw < known.share || now_us.saturating_sub(known.seen_us) > STALE_US {
            known.admitted.add(ADMITTED_TAU_US, now_us);
            return Verdict::Admit;
        }
        Verdict::Refuse {
            bottleneck: known.bottleneck.clone(),
            load_permille: known.load_permille as u32,
            admitted_share: known.share,
        }
    }

    /// Records the most loaded service that the answer to a request of a class reported.
    pub fn report(
        &mut self,
        class: &SmolStr,
        importance: Importance,
        bottleneck: BottleneckLoad<'_>,
        now_us: u64,
    ) {
        let load = f64::from(bottleneck.load_permille);
        let calls = f64::from(bottleneck.calls.max(1));
        if let Some(known) = self.classes.get_mut(class) {
            let failed = f64::from(u8::from(bottleneck.has_failed));
            known.failed_share += (failed - known.failed_share) * REPORT_WEIGHT;
        }
        match self.classes.get_mut(class) {
            Some(known) if known.bottleneck == *bottleneck.service => {
                known.load_permille += (load - known.load_permille) * REPORT_WEIGHT;
                known.calls += (calls - known.calls) * REPORT_WEIGHT;
                known.importance = importance;
                known.seen_us = now_us;
            }
            Some(known)
                if load < known.load_permille
                    && now_us.saturating_sub(known.seen_us) < STALE_US =>
            {
                // A less loaded service does not replace a bottleneck with fresh reports.
                known.load_permille += (load - known.load_permille) * REPORT_WEIGHT;
            }
            Some(known) => {
                known.bottleneck = bottleneck.service.clone();
                known.calls = calls;
                known.load_permille = load;
                known.seen_us = now_us;
            }
            None => {
                let known = Class {
                    importance,
                    bottleneck: bottleneck.service.clone(),
                    calls,
                    load_permille: load,
                    failed_share: 0.0,
                    seen_us: now_us,
                    offered: Rate::default(),
                    admitted: Rate::default(),
                    share: 1.0,
                };
                self.classes.insert(class.clone(), known);
            }
        }
        let known = self
            .bottlenecks
            .entry(bottleneck.service.clone())
            .or_insert(Bottleneck {
                load_permille: load,
                load_at_us: now_us,
                first_us: now_us,
                factor: f64::INFINITY,
            });
        known.observe_load(load, now_us);
    }

    /// Load of each bottleneck service and share of each class that is admitted in part, for logs.
    pub fn describe(&self) -> String {
        let loads = self
            .bottlenecks
            .iter()
            .map(|(service, known)| format!("{service}:{:.0}", known.load_permille));
        let parts = self.classes.iter().filter(|(_, class)| class.share < 1.0);
        let parts = parts.map(|(name, class)| format!("{name}={:.2}", class.share));
        loads.chain(parts).collect::<Vec<_>>().join(" ")
    }

    /// Recomputes the admitted shares once per [`RECOMPUTE_INTERVAL_US`].
    fn recompute_if_due(&mut self, now_us: u64) {
        if now_us.saturating_sub(self.recomputed_us) < RECOMPUTE_INTERVAL_US {
            return;
        }
        self.recomputed_us = now_us;
        for (service, bottleneck) in &mut self.bottlenecks {
            bottleneck.factor = bottleneck.factor(now_us);
            allocate(&mut self.classes, service, bottleneck.factor, now_us);
        }
    }
}

/// Allocates the work that a bottleneck service may receive to the classes that call it, by
/// importance; among equally important classes the cheapest come first.
fn allocate(
    classes: &mut HashMap<SmolStr, Class>,
    service: &ServiceName,
    factor: f64,
    now_us: u64,
) {
    let mut affected: Vec<&mut Class> = classes
        .values_mut()
        .filter(|class| class.bottleneck == *service)
        .collect();
    if factor.is_infinite() {
        for class in affected {
            class.share = 1.0;
        }
        return;
    }
    affected.sort_by(|one, other| {
        let cost = one.calls.total_cmp(&other.calls);
        one.importance.cmp(&other.importance).then(cost)
    });
    let admitted_work: f64 = affected
        .iter()
        .map(|class| class.admitted.get(ADMITTED_TAU_US, now_us) * class.calls)
        .sum();
    let mut remaining = admitted_work * factor;
    for class in affected {
        let completing_share = (1.0 - class.failed_share).max(MIN_COMPLETING_SHARE);
        let remaining_for_class = remaining * completing_share;
        let offered_work = class.offered.get(OFFERED_TAU_US, now_us) * class.calls;
        class.share = if offered_work <= remaining_for_class {
            1.0
        } else {
            (remaining_for_class / offered_work).clamp(PROBE_SHARE, 1.0)
        };
        remaining -= offered_work * class.share;
        remaining = remaining.max(0.0);
    }
}

impl Bottleneck {
    fn observe_load(&mut self, load_permille: f64, now_us: u64) {
        let weight = sample_weight(now_us.saturating_sub(self.load_at_us), LOAD_TAU_US);
        self.load_permille += (load_permille - self.load_permille) * weight;
        self.load_at_us = now_us;
    }

    /// Factor on recently admitted work; infinite while nothing is to be refused.
    fn factor(&self, now_us: u64) -> f64 {
        let is_warm = now_us.saturating_sub(self.first_us) > WARM_UP_US;
        let is_fresh = now_us.saturating_sub(self.load_at_us) < STALE_US;
        if !is_warm || !is_fresh {
            return f64::INFINITY;
        }
        let factor = TARGET_PERMILLE / self.load_permille.max(1.0);
        if self.load_permille < GROWTH_PERMILLE {
            factor.max(MIN_GROWTH_FACTOR)
        } else {
            factor.max(MIN_FACTOR)
        }
    }
}
