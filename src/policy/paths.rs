//! Admission levels along the call graph, as reported by answers and kept on the calling side.
//!
//! For each service and importance, the latest reports of a few workers are kept, as the number of
//! admitted buckets of that importance. A report that no answer refreshes is relaxed over time,
//! until everything is admitted again.

use crate::{
    collections::HashMap,
    request::{
        BUCKETS_PER_IMPORTANCE, Importance, Incarnation, Level, Rank, Reason, Refusal, ServiceName,
    },
};

/// Number of workers whose reports are kept for one service and importance.
const MAX_REPORTS: usize = 8;

/// Time for which a report is used unchanged.
const FRESH_US: u64 = 250_000;

/// Time in which the relaxation of a stale report doubles.
const RELAX_DOUBLING_US: f64 = 100_000.0;

/// Buckets that a stale report admits in addition after the first doubling time.
const RELAX_BUCKETS: f64 = 8.0;

/// Time after which a report is dropped.
const REPORT_TTL_US: u64 = 2_000_000;

/// Shortest retry-after advice.
const RETRY_AFTER_MIN_MS: f64 = 100.0;

/// Retry-after advice for a rank that is a whole importance above the level.
const RETRY_AFTER_MAX_MS: f64 = 2_000.0;

/// Number of buckets of one importance.
const ALL_BUCKETS: f64 = BUCKETS_PER_IMPORTANCE as f64;

#[derive(Debug, Clone, Copy)]
struct Report {
    worker: Incarnation,
    buckets: f64,
    received_us: u64,
}

impl Report {
    fn buckets(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.received_us);
        if age_us <= FRESH_US {
            return self.buckets;
        }
        let doublings = (age_us - FRESH_US) as f64 / RELAX_DOUBLING_US;
        let opened = self.buckets + RELAX_BUCKETS * (doublings.exp2() - 1.0);
        opened.min(ALL_BUCKETS)
    }
}

#[derive(Debug)]
struct Entry {
    importance: Importance,
    reports: Vec<Report>,
}

impl Entry {
    fn insert(&mut self, report: Report) {
        let now_us = report.received_us;
        if let Some(known) = self
            .reports
            .iter_mut()
            .find(|known| known.worker == report.worker)
        {
            *known = report;
            return;
        }
        self.reports
            .retain(|known| now_us.saturating_sub(known.received_us) < REPORT_TTL_US);
        if self.reports.len() == MAX_REPORTS {
            let oldest = (0..MAX_REPORTS).min_by_key(|&index| self.reports[index].received_us);
            self.reports.swap_remove(oldest.unwrap_or(0));
        }
        self.reports.push(report);
    }

    /// Upper median over the workers, so that one faulty worker does not close the service.
    fn buckets(&self, now_us: u64) -> f64 {
        let mut open = [ALL_BUCKETS; MAX_REPORTS];
        let count = self.reports.len();
        for (slot, report) in open.iter_mut().zip(&self.reports) {
            *slot = report.buckets(now_us);
        }
        let open = &mut open[..count];
        open.sort_unstable_by(f64::total_cmp);
        open.get(count / 2).copied().unwrap_or(ALL_BUCKETS)
    }
}

/// Observed admission levels by service and importance.
#[derive(Debug, Default)]
pub struct PathLevels {
    services: HashMap<ServiceName, Vec<Entry>>,
}

impl PathLevels {
    /// Records the level that an answer or a refusal of `worker` reported for this importance: the
    /// lowest level along the path of the call.
    pub fn observe(
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
            received_us: now_us,
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
            Ok(index) => entries[index].insert(report),
            Err(index) => entries.insert(
                index,
                Entry {
                    importance,
                    reports: vec![report],
                },
            ),
        }
    }

    /// Level at which the call graph below the service admits this importance.
    ///
    /// If a more important class is partly refused, all less important ones are refused.
    pub fn level(&self, service: &str, importance: Importance, now_us: u64) -> Level {
        let Some(entries) = self.services.get(service) else {
            return Level::OPEN;
        };
        for entry in entries {
            if entry.importance > importance {
                break;
            }
            let buckets = entry.buckets(now_us).ceil();
            if buckets < ALL_BUCKETS {
                let start = f64::from(entry.importance.0) * ALL_BUCKETS;
                return Level((start + buckets) as u32);
            }
        }
        Level::OPEN
    }

    /// Admits a request at the edge, or refuses it with retry-after advice.
    pub fn admit(&self, service: &str, rank: Rank, now_us: u64) -> Result<(), Refusal> {
        let level = self.level(service, rank.importance(), now_us);
        if level.admits(rank) {
            return Ok(());
        }
        let refusal = Refusal::not_run(Reason::Overload);
        Err(refusal.retry_after_ms(retry_after_ms(level, rank)))
    }

    /// Drops expired reports, and services without reports.
    pub fn expire(&mut self, now_us: u64) {
        self.services.retain(|_, entries| {
            entries.retain_mut(|entry| {
                entry
                    .reports
                    .retain(|report| now_us.saturating_sub(report.received_us) < REPORT_TTL_US);
                !entry.reports.is_empty()
            });
            !entries.is_empty()
        });
    }

    /// Number of services with observed levels.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Returns whether no level is known.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}

/// Number of buckets of this importance that the level admits.
fn buckets_of(level: Level, importance: Importance) -> f64 {
    let start = u32::from(importance.0) * u32::from(BUCKETS_PER_IMPORTANCE);
    let above = level.0.saturating_sub(start);
    f64::from(above).min(ALL_BUCKETS)
}

/// Retry-after advice; it grows with the distance of the rank above the level.
fn retry_after_ms(level: Level, rank: Rank) -> u32 {
    let above = f64::from(u32::from(rank.position()).saturating_sub(level.0));
    let share = (above / ALL_BUCKETS).min(1.0);
    (RETRY_AFTER_MIN_MS + share * (RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS)) as u32
}
