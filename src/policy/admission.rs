//! Admission of callers' requests at the edge, by what is scarce deep in the call graph.
//!
//! Load pattern: a burst of requests whose nested calls meet at one small service. Each answer tells
//! the most loaded service that it met, and how many calls it made there. The edge knows so what the
//! requests that it admits cost there, and scales the sum by the distance of the load from its
//! target. The sum is handed out by rank: what is left for the last classes is a share of their
//! requests; the others are refused at once, before they have cost any work.
//!
//! A sum of work is held, not a share of requests. A burst is cut to what the service can take when
//! it arrives, before the service's load shows it.

use {
    crate::{
        collections::HashMap,
        policy::recent::sample_weight,
        request::{Importance, ServiceName},
    },
    smol_str::SmolStr,
};

/// Load that is aimed at, in thousandths of the room. Below all slots in use, since load grows with
/// admitted work only as far as nothing queues.
const TARGET_PERMILLE: f64 = 920.0;

/// Time over which admitted work is averaged; a few times the 0.3 to 0.7 s after which the load
/// shows it, so that the loop does not swing.
const ADMITTED_TAU_US: f64 = 1_500_000.0;

/// Time over which offered requests are averaged.
const OFFERED_TAU_US: f64 = 300_000.0;

/// Time over which reported loads are averaged.
const LOAD_TAU_US: f64 = 300_000.0;

/// Smallest factor on admitted work: with a queue, load grows faster than work.
const MIN_FACTOR: f64 = 0.6;

/// Factor below which a load near its target does not hold admitted work down, so that a daemon
/// whose clients grow in number gets its part.
const MIN_GROWTH: f64 = 1.05;

/// Load up to which that growth is granted, in thousandths.
const GROWTH_PERMILLE: f64 = 960.0;

/// Time after the first report in which nothing is refused, as the averages are not full.
const WARM_UP_US: u64 = 600_000;

/// Shortest time that a rate is averaged over.
const MIN_SINCE_US: u64 = 100_000;

/// Interval at which the shares are worked out.
const STEP_US: u64 = 50_000;

/// Time without a report after which what was learnt about a class is void.
const STALE_US: u64 = 3_000_000;

/// Part of a class that is admitted at least, so that its load is seen.
const PROBE_SHARE: f64 = 0.03;

/// Weight of one report in what a class is known to cost.
const COST_WEIGHT: f64 = 0.05;

/// Events in each microsecond, averaged over a time, or over the time since the first event.
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
        let since_us = now_us.saturating_sub(first_us).max(MIN_SINCE_US) as f64;
        self.decayed(tau_us, now_us) / (1.0 - (-since_us / tau_us).exp())
    }

    fn decayed(&self, tau_us: f64, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.at_us) as f64;
        self.sum * (-age_us / tau_us).exp()
    }
}

/// What an answer tells of the most loaded service on its way.
#[derive(Debug, Clone, Copy)]
pub struct Met<'a> {
    /// Name of the service.
    pub service: &'a ServiceName,
    /// Its load in thousandths of the room.
    pub load_permille: u32,
    /// Calls that the request made there.
    pub calls: u32,
}

#[derive(Debug)]
struct Class {
    importance: Importance,
    scarce: ServiceName,
    calls: f64,
    load_permille: f64,
    seen_us: u64,
    offered: Rate,
    admitted: Rate,
    share: f64,
}

#[derive(Debug)]
struct Scarce {
    load_permille: f64,
    load_at_us: u64,
    first_us: u64,
    factor: f64,
}

/// Verdict on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Go on.
    Admit,
    /// Refuse at once.
    Refuse {
        /// Service that has no room.
        scarce: ServiceName,
        /// Its load as last seen, in thousandths.
        load_permille: u32,
        /// Part of the class that is admitted at present.
        admitted_share: f64,
    },
}

/// Admission state of one daemon.
#[derive(Debug, Default)]
pub struct Admission {
    classes: HashMap<SmolStr, Class>,
    scarce: HashMap<ServiceName, Scarce>,
    stepped_us: u64,
}

impl Admission {
    /// Decides on a request of a class; `draw` is uniform between 0 and 1.
    pub fn decide(&mut self, class: &str, draw: f64, now_us: u64) -> Verdict {
        self.step(now_us);
        let Some(known) = self.classes.get_mut(class) else {
            return Verdict::Admit;
        };
        known.offered.add(OFFERED_TAU_US, now_us);
        if draw < known.share || now_us.saturating_sub(known.seen_us) > STALE_US {
            known.admitted.add(ADMITTED_TAU_US, now_us);
            return Verdict::Admit;
        }
        Verdict::Refuse {
            scarce: known.scarce.clone(),
            load_permille: known.load_permille as u32,
            admitted_share: known.share,
        }
    }

    /// Takes the most loaded service that a request of a class met.
    pub fn report(&mut self, class: &SmolStr, importance: Importance, met: Met<'_>, now_us: u64) {
        let load = f64::from(met.load_permille);
        let calls = f64::from(met.calls.max(1));
        match self.classes.get_mut(class) {
            Some(known) if known.scarce == *met.service => {
                known.load_permille += (load - known.load_permille) * COST_WEIGHT;
                known.calls += (calls - known.calls) * COST_WEIGHT;
                known.importance = importance;
                known.seen_us = now_us;
            }
            Some(known)
                if load < known.load_permille
                    && now_us.saturating_sub(known.seen_us) < STALE_US =>
            {
                // Another service stood out this once.
                known.load_permille += (load - known.load_permille) * COST_WEIGHT;
            }
            Some(known) => {
                known.scarce = met.service.clone();
                known.calls = calls;
                known.load_permille = load;
                known.seen_us = now_us;
            }
            None => {
                let known = Class {
                    importance,
                    scarce: met.service.clone(),
                    calls,
                    load_permille: load,
                    seen_us: now_us,
                    offered: Rate::default(),
                    admitted: Rate::default(),
                    share: 1.0,
                };
                self.classes.insert(class.clone(), known);
            }
        }
        let scarce = self.scarce.entry(met.service.clone()).or_insert(Scarce {
            load_permille: load,
            load_at_us: now_us,
            first_us: now_us,
            factor: f64::INFINITY,
        });
        scarce.take(load, now_us);
    }

    /// Load of each scarce service and the classes that are admitted in part, for logs.
    pub fn levels(&self) -> String {
        let loads = self
            .scarce
            .iter()
            .map(|(service, scarce)| format!("{service}:{:.0}", scarce.load_permille));
        let parts = self.classes.iter().filter(|(_, class)| class.share < 1.0);
        let parts = parts.map(|(name, class)| format!("{name}={:.2}", class.share));
        loads.chain(parts).collect::<Vec<_>>().join(" ")
    }

    /// Works out the shares anew, if it is time.
    fn step(&mut self, now_us: u64) {
        if now_us.saturating_sub(self.stepped_us) < STEP_US {
            return;
        }
        self.stepped_us = now_us;
        for (service, scarce) in &mut self.scarce {
            scarce.factor = scarce.factor(now_us);
            hand_out(&mut self.classes, service, scarce.factor, now_us);
        }
    }
}

/// Hands the work that a service may take to the classes that lead there, by rank; among equals
/// those that cost it least come first.
fn hand_out(
    classes: &mut HashMap<SmolStr, Class>,
    service: &ServiceName,
    factor: f64,
    now_us: u64,
) {
    let mut leading: Vec<&mut Class> = classes
        .values_mut()
        .filter(|class| class.scarce == *service)
        .collect();
    if factor.is_infinite() {
        for class in leading {
            class.share = 1.0;
        }
        return;
    }
    leading.sort_by(|one, other| {
        let cost = one.calls.total_cmp(&other.calls);
        one.importance.cmp(&other.importance).then(cost)
    });
    let admitted: f64 = leading
        .iter()
        .map(|class| class.admitted.get(ADMITTED_TAU_US, now_us) * class.calls)
        .sum();
    let mut left = admitted * factor;
    for class in leading {
        let wanted = class.offered.get(OFFERED_TAU_US, now_us) * class.calls;
        class.share = if wanted <= left {
            1.0
        } else {
            (left / wanted).clamp(PROBE_SHARE, 1.0)
        };
        left -= wanted * class.share;
        left = left.max(0.0);
    }
}

impl Scarce {
    fn take(&mut self, load_permille: f64, now_us: u64) {
        let weight = sample_weight(now_us.saturating_sub(self.load_at_us), LOAD_TAU_US);
        self.load_permille += (load_permille - self.load_permille) * weight;
        self.load_at_us = now_us;
    }

    /// Factor on the work admitted of late.
    fn factor(&self, now_us: u64) -> f64 {
        let is_warm = now_us.saturating_sub(self.first_us) > WARM_UP_US;
        let is_fresh = now_us.saturating_sub(self.load_at_us) < STALE_US;
        if !is_warm || !is_fresh {
            return f64::INFINITY;
        }
        let factor = TARGET_PERMILLE / self.load_permille.max(1.0);
        if self.load_permille < GROWTH_PERMILLE {
            factor.max(MIN_GROWTH)
        } else {
            factor.max(MIN_FACTOR)
        }
    }
}
