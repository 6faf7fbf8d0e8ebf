//! Goodput and latency of a round, by class.

use {
    crate::{
        record::{RequestRecord, Verdict},
        scenario::Scenario,
    },
    derive_more::Display,
    hdrhistogram::Histogram,
    serde::Serialize,
    smol_str::SmolStr,
    std::{collections::BTreeMap, fmt::Write},
};

/// Largest latency that the histogram holds.
const LATENCY_LIMIT_US: u64 = 120_000_000;

/// Results of the requests of one class.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Tally {
    /// Name of the class.
    pub class: SmolStr,
    /// Requests that arrived at callers.
    pub offered: u64,
    /// Requests that succeeded within their deadline.
    pub good: u64,
    /// Requests whose last send was not run or not connected, or that obtained no ticket.
    pub refused: u64,
    /// Requests whose last send was answered with `unknown` or not answered.
    pub unknown: u64,
    /// Requests that a backend server answered with a failure or too late, or whose answer was
    /// corrupt or belonged to another request.
    pub failed: u64,
    /// Mean number of sends per request.
    pub sends_mean: f64,
    /// Median latency of good requests.
    pub p50_us: u64,
    /// 99th percentile of the latency of good requests.
    pub p99_us: u64,
    /// Largest latency of good requests.
    pub max_us: u64,
}

impl Tally {
    /// Tallies requests by class, in the order of the scenario.
    pub fn by_class(scenario: &Scenario, records: &[RequestRecord]) -> Vec<Self> {
        scenario
            .classes
            .iter()
            .map(|class| {
                let own: Vec<_> = records
                    .iter()
                    .filter(|record| record.class == class.name)
                    .collect();
                Self::new(class.name.clone(), &own)
            })
            .collect()
    }

    /// Share of the offered requests that were good.
    pub fn goodput_percent(&self) -> f64 {
        if self.offered == 0 {
            return 100.0;
        }
        self.good as f64 * 100.0 / self.offered as f64
    }

    /// Formats tallies as a table for the printed report.
    pub fn table(tallies: &[Self]) -> String {
        let mut table = String::from(
            "  class            offered    good   good%  refused  unknown  failed  sends   p50 ms   p99 ms   max ms\n",
        );
        for tally in tallies {
            writeln!(
                table,
                "  {:<16} {:>7} {:>7} {:>6.1}% {:>8} {:>8} {:>7} {:>6.2} {:>8.1} {:>8.1} {:>8.1}",
                tally.class,
                tally.offered,
                tally.good,
                tally.goodput_percent(),
                tally.refused,
                tally.unknown,
                tally.failed,
                tally.sends_mean,
                ms(tally.p50_us),
                ms(tally.p99_us),
                ms(tally.max_us),
            )
            .ok();
        }
        table
    }

    fn new(class: SmolStr, records: &[&RequestRecord]) -> Self {
        let mut latency = latency_histogram();
        let mut tally = Self {
            class,
            offered: records.len() as u64,
            good: 0,
            refused: 0,
            unknown: 0,
            failed: 0,
            sends_mean: 0.0,
            p50_us: 0,
            p99_us: 0,
            max_us: 0,
        };
        let mut sends = 0;
        for record in records {
            sends += record.sends.len();
            tally.count(record);
            if record.good {
                latency.saturating_record(record.ended_us.saturating_sub(record.offered_us));
            }
        }
        tally.sends_mean = sends as f64 / records.len().max(1) as f64;
        tally.p50_us = latency.value_at_quantile(0.5);
        tally.p99_us = latency.value_at_quantile(0.99);
        tally.max_us = latency.max();
        tally
    }

    fn count(&mut self, record: &RequestRecord) {
        let last = record.sends.last().map(|send| send.verdict);
        let counter = match last {
            _ if record.good => &mut self.good,
            _ if record.ticket_failed => &mut self.refused,
            None | Some(Verdict::NotRun | Verdict::Unreached) => &mut self.refused,
            Some(Verdict::Unknown | Verdict::TimedOut | Verdict::Broken) => &mut self.unknown,
            Some(_) => &mut self.failed,
        };
        *counter += 1;
    }
}

/// Sends of one class without success that share a verdict and a reason.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Serialize)]
#[display("{count:>7} sends of {class}: {verdict} {reason}")]
pub struct FailedSends {
    /// Name of the class.
    pub class: SmolStr,
    /// Result of the sends.
    pub verdict: Verdict,
    /// Reason given, if any.
    pub reason: SmolStr,
    /// Number of sends.
    pub count: u64,
}

impl FailedSends {
    /// Counts all sends without success.
    pub fn count(records: &[RequestRecord]) -> Vec<Self> {
        let mut counts = BTreeMap::<(&str, Verdict, &str), u64>::new();
        for record in records {
            for send in &record.sends {
                let reason = send.reason.as_deref().unwrap_or_default();
                *counts
                    .entry((&record.class, send.verdict, reason))
                    .or_default() += 1;
            }
        }
        counts
            .into_iter()
            .filter(|((_, verdict, _), _)| *verdict != Verdict::Done)
            .map(|((class, verdict, reason), count)| Self {
                class: class.into(),
                verdict,
                reason: reason.into(),
                count,
            })
            .collect()
    }
}

/// Creates a histogram for the latencies of a round.
pub(crate) fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_LIMIT_US, 3).expect("constant bounds are valid")
}

fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
