//! Admission levels along the call graph, as learned at a caller's side from answers.
//!
//! For each service and importance it keeps the latest levels of a few workers and the share of
//! that importance that they admit. A share opens again by itself when no answer refreshes it.

use crate::{
    collections::HashMap,
    request::{
        BUCKETS_PER_IMPORTANCE, Importance, Incarnation, Level, Rank, Reason, Refusal, ServiceName,
    },
};

/// Workers whose reports are kept for one service and importance.
const REPORTS: usize = 8;

/// Time for which a report holds as it is.
const FRESH_US: u64 = 250_000;

/// Time in which the opening of a stale report doubles.
const RELAX_DOUBLING_US: f64 = 100_000.0;

/// Buckets by which a stale report opens in its first doubling time.
const RELAX_BUCKETS: f64 = 8.0;

/// Time after which a report is forgotten.
const FORGET_US: u64 = 2_000_000;

/// Shortest advice on when to come back.
const RETRY_AFTER_MIN_MS: f64 = 100.0;

/// Advice on when to come back where nothing of the class is admitted.
const RETRY_AFTER_MAX_MS: f64 = 2_000.0;

/// Buckets of one importance, all of them admitted.
const ALL: f64 = BUCKETS_PER_IMPORTANCE as f64;

#[derive(Debug, Clone, Copy)]
struct Report {
    worker: Incarnation,
    buckets: f64,
    seen_us: u64,
}

impl Report {
    fn buckets(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.seen_us);
        if age_us <= FRESH_US {
            return self.buckets;
        }
        let doublings = (age_us - FRESH_US) as f64 / RELAX_DOUBLING_US;
        let opened = self.buckets + RELAX_BUCKETS * (doublings.exp2() - 1.0);
        opened.min(ALL)
    }
}

#[derive(Debug)]
struct Entry {
    importance: Importance,
    reports: Vec<Report>,
}

impl Entry {
    fn learn(&mut self, report: Report) {
        let now_us = report.seen_us;
        if let Some(known) = self
            .reports
            .iter_mut()
            .find(|known| known.worker == report.worker)
        {
            *known = report;
            return;
        }
        self.reports
            .retain(|known| now_us.saturating_sub(known.seen_us) < FORGET_US);
        if self.reports.len() == REPORTS {
            let oldest = (0..REPORTS).min_by_key(|&index| self.reports[index].seen_us);
            self.reports.swap_remove(oldest.unwrap_or(0));
        }
        self.reports.push(report);
    }

    /// Upper median over the workers, so that one bad worker does not close the service.
    fn buckets(&self, now_us: u64) -> f64 {
        let mut open = [ALL; REPORTS];
        let count = self.reports.len();
        for (slot, report) in open.iter_mut().zip(&self.reports) {
            *slot = report.buckets(now_us);
        }
        let open = &mut open[..count];
        open.sort_unstable_by(f64::total_cmp);
        open.get(count / 2).copied().unwrap_or(ALL)
    }
}

/// Learned levels by service and importance.
#[derive(Debug, Default)]
pub struct PathLevels {
    services: HashMap<ServiceName, Vec<Entry>>,
}

impl PathLevels {
    /// Takes the level that an answer or a refusal of `worker` carried for a class of this
    /// importance: the lowest along the path that the call took.
    pub fn learn(
        &mut self,
        service: &ServiceName,
        importance: Importance,
        worker: Incarnation,
        level: Level,
        now_us: u64,
    ) {
        let report = Report {
            worker,
            buckets: buckets_of(level, importance),
            seen_us: now_us,
        };
        let Some(entries) = self.services.get_mut(service.as_str()) else {
            let entry = Entry {
                importance,
                reports: vec![report],
            };
            self.services.insert(service.clone(), vec![entry]);
            return;
        };
        match entries.binary_search_by_key(&importance, |entry| entry.importance) {
            Ok(index) => entries[index].learn(report),
            Err(index) => entries.insert(
                index,
                Entry {
                    importance,
                    reports: vec![report],
                },
            ),
        }
    }

    /// Level at which the service's call graph admits this importance.
    ///
    /// Where a more important class is partly refused, all less important ones are refused too.
    pub fn level(&self, service: &str, importance: Importance, now_us: u64) -> Level {
        let Some(entries) = self.services.get(service) else {
            return Level::OPEN;
        };
        for entry in entries {
            if entry.importance > importance {
                break;
            }
            let buckets = entry.buckets(now_us).ceil();
            if buckets < ALL {
                let start = f64::from(entry.importance.0) * ALL;
                return Level((start + buckets) as u32);
            }
        }
        Level::OPEN
    }

    /// Admits or refuses a request at the edge.
    pub fn admit(&self, service: &str, rank: Rank, now_us: u64) -> Result<(), Refusal> {
        let level = self.level(service, rank.importance(), now_us);
        if level.admits(rank) {
            return Ok(());
        }
        let refusal = Refusal::not_run(Reason::Overload);
        Err(refusal.retry_after_ms(advice_ms(level, rank)))
    }

    /// Forgets services that no answer has refreshed for long.
    pub fn expire(&mut self, now_us: u64) {
        self.services.retain(|_, entries| {
            entries.retain_mut(|entry| {
                entry
                    .reports
                    .retain(|report| now_us.saturating_sub(report.seen_us) < FORGET_US);
                !entry.reports.is_empty()
            });
            !entries.is_empty()
        });
    }

    /// Number of services with learned levels.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Tells whether nothing is learned.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}

fn buckets_of(level: Level, importance: Importance) -> f64 {
    let start = u32::from(importance.0) * u32::from(BUCKETS_PER_IMPORTANCE);
    let above = level.0.saturating_sub(start);
    f64::from(above).min(ALL)
}

/// The farther the rank is above the level, the later.
fn advice_ms(level: Level, rank: Rank) -> u32 {
    let above = f64::from(u32::from(rank.position()).saturating_sub(level.0));
    let share = (above / ALL).min(1.0);
    (RETRY_AFTER_MIN_MS + share * (RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS)) as u32
}
