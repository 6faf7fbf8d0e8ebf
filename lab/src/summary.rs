//! Figures of one round, computed from its history.

use {
    crate::{
        history::{History, Run},
        judge::{Finding, extra_calls, judge},
        record::{RequestRecord, RunOutcome},
        report::{FailedSends, Tally},
        round::{EventNote, Outcome, Policy},
    },
    serde::Serialize,
    shallotdeal::collections::HashMap,
    std::fmt::{self, Write},
};

/// Length of the time slices in which goodput is measured.
const SLICE_MS: u64 = 100;
/// Share of the goodput before the triggers from which a slice counts as recovered.
const RECOVERED_PERCENT: u64 = 95;
/// Delay of an arrival above which the machine counts as starved of processor time.
const STARVED_US: u64 = 100_000;
/// Number of consecutive recovered slices that end the recovery time.
const SUSTAINED_SLICES: usize = 5;

/// Figures of one round.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Summary {
    /// Policy of the daemons.
    pub policy: Policy,
    /// All counted requests by class.
    pub classes: Vec<Tally>,
    /// Requests offered during the triggers (the scenario's faults), by class.
    pub during_triggers: Vec<Tally>,
    /// Time from the end of the triggers until goodput recovered.
    pub recovery: Recovery,
    /// Extra calls that ran, per request.
    pub extra_calls: CountStats,
    /// Runs in the whole call tree, per request.
    pub runs: CountStats,
    /// Work done for requests that did not succeed, as a share of all work.
    pub wasted_percent: f64,
    /// Work of the scarce service for good requests, as a share of the time of its slots. Measured
    /// during the triggers, or from their start (or that of the load) to its end if they have no
    /// duration.
    pub scarce_percent: Option<f64>,
    /// Bytes sent between regions.
    pub region_bytes: u64,
    /// Largest resident memory of any daemon at the end of the load.
    pub daemon_bytes: u64,
    /// Processor time of the busiest daemon, as a share of one core.
    pub daemon_processor_percent: f64,
    /// Longest delay of an arrival behind its schedule; large if the machine is starved.
    pub arrivals_latest_us: u64,
    /// Sends without success, by verdict and reason.
    pub refusals: Vec<FailedSends>,
    /// Results of the checks of guarantees.
    pub findings: Vec<Finding>,
    /// Notes on events during the round.
    pub notes: Vec<EventNote>,
}

/// Maximum and mean of counts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct CountStats {
    /// Maximum.
    pub max: u64,
    /// Mean.
    pub mean: f64,
}

/// Time of recovery after the triggers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Recovery {
    /// The scenario has no triggers.
    NoTrigger,
    /// No request succeeded before the triggers.
    NoGoodputBefore,
    /// Recovered this long after the end of the triggers.
    AfterMs(u64),
    /// Not recovered within this time, when the load ended.
    NotWithinMs(u64),
}

impl Summary {
    /// Computes the figures of a round.
    pub fn new(policy: Policy, outcome: &Outcome) -> Self {
        let history = &outcome.history;
        let span_ms = trigger_span_ms(history);
        Self {
            policy,
            classes: Tally::by_class(&history.scenario, &history.requests),
            during_triggers: Tally::by_class(
                &history.scenario,
                &history.offered_between(span_ms.0, span_ms.1),
            ),
            recovery: recovery(history),
            extra_calls: CountStats::of(extra_calls(history).into_iter()),
            runs: CountStats::of(
                history
                    .runs_by_request()
                    .into_values()
                    .map(|runs| runs.len() as u64),
            ),
            wasted_percent: wasted_percent(history),
            scarce_percent: scarce_percent(history, span_ms),
            region_bytes: outcome.region_bytes,
            daemon_bytes: outcome.daemon_bytes,
            daemon_processor_percent: outcome.daemon_processor_ms as f64 * 100.0
                / history.scenario.run_ms.max(1) as f64,
            arrivals_latest_us: outcome.max_arrival_delay_us,
            refusals: FailedSends::count(&history.requests),
            findings: judge(history),
            notes: outcome.notes.clone(),
        }
    }

    /// Formats the figures for the printed report.
    pub fn text(&self) -> String {
        let mut text = String::new();
        self.write(&mut text).ok();
        text
    }

    fn write(&self, text: &mut String) -> fmt::Result {
        writeln!(text, "{}", self.policy)?;
        text.push_str(&Tally::table(&self.classes));
        writeln!(text, "  while triggers lasted:")?;
        text.push_str(&Tally::table(&self.during_triggers));
        match self.recovery {
            Recovery::NoTrigger => (),
            Recovery::NoGoodputBefore => {
                writeln!(text, "  recovery          no goodput before the triggers")?;
            }
            Recovery::AfterMs(ms) => writeln!(text, "  recovery          {ms} ms")?,
            Recovery::NotWithinMs(ms) => writeln!(text, "  recovery          not within {ms} ms")?,
        }
        let extra = self.extra_calls;
        writeln!(
            text,
            "  extra calls       max {}, mean {:.3}",
            extra.max, extra.mean
        )?;
        writeln!(
            text,
            "  runs a request    max {}, mean {:.2}",
            self.runs.max, self.runs.mean
        )?;
        writeln!(text, "  wasted work       {:.1}%", self.wasted_percent)?;
        if let Some(percent) = self.scarce_percent {
            writeln!(
                text,
                "  scarce service    {percent:.1}% of its slots' time went to good requests"
            )?;
        }
        writeln!(
            text,
            "  between regions   {:.2} MB; largest daemon {:.1} MB resident, busiest {:.0}% of a core",
            self.region_bytes as f64 / 1e6,
            self.daemon_bytes as f64 / 1e6,
            self.daemon_processor_percent,
        )?;
        writeln!(
            text,
            "  arrivals late by  {:.1} ms at most",
            self.arrivals_latest_us as f64 / 1_000.0
        )?;
        if self.arrivals_latest_us > STARVED_US {
            writeln!(
                text,
                "  STARVED: the machine did not give the lab its time; these figures do not count"
            )?;
        }
        for refusals in &self.refusals {
            writeln!(text, "  {refusals}")?;
        }
        for finding in &self.findings {
            writeln!(text, "{}", finding.line())?;
        }
        for note in &self.notes {
            writeln!(text, "  note: {}", note.text)?;
        }
        Ok(())
    }
}

impl CountStats {
    fn of(counts: impl Iterator<Item = u64>) -> Self {
        let (mut max, mut sum, mut count) = (0, 0, 0_u64);
        for it in counts {
            max = max.max(it);
            sum += it;
            count += 1;
        }
        Self {
            max,
            mean: sum as f64 / count.max(1) as f64,
        }
    }
}

/// Computes the time from the end of the last trigger to the first of `SUSTAINED_SLICES`
/// consecutive recovered slices.
///
/// Goodput of a slice is the share of the requests offered in it that succeeded in time.
pub fn recovery(history: &History) -> Recovery {
    let scenario = &history.scenario;
    let (Some(begin_ms), Some(end_ms)) = (scenario.triggers_begin_ms(), scenario.triggers_end_ms())
    else {
        return Recovery::NoTrigger;
    };
    let before = history.offered_between(0, begin_ms);
    let (good_before, offered_before) = goodput(&before);
    if good_before == 0 {
        return Recovery::NoGoodputBefore;
    }
    let mut sustained = 0;
    let mut at_ms = end_ms;
    while at_ms + SLICE_MS <= scenario.run_ms {
        let (good, offered) = goodput(&history.offered_between(at_ms, at_ms + SLICE_MS));
        at_ms += SLICE_MS;
        let recovered = good * offered_before * 100 >= good_before * offered * RECOVERED_PERCENT;
        sustained = if recovered { sustained + 1 } else { 0 };
        if sustained == SUSTAINED_SLICES {
            return Recovery::AfterMs(at_ms - end_ms - SLICE_MS * SUSTAINED_SLICES as u64);
        }
    }
    Recovery::NotWithinMs(scenario.run_ms.saturating_sub(end_ms))
}

fn goodput(requests: &[RequestRecord]) -> (u64, u64) {
    let good = requests.iter().filter(|request| request.good).count();
    (good as u64, requests.len() as u64)
}

fn trigger_span_ms(history: &History) -> (u64, u64) {
    let scenario = &history.scenario;
    let begin_ms = scenario.triggers_begin_ms().unwrap_or(0);
    let end_ms = scenario.triggers_end_ms().unwrap_or(scenario.run_ms);
    if end_ms > begin_ms {
        (begin_ms, end_ms)
    } else {
        (begin_ms, scenario.run_ms)
    }
}

fn wasted_percent(history: &History) -> f64 {
    let good = good_requests(history);
    let (mut wasted_us, mut all_us) = (0, 0);
    for run in &history.runs {
        if let Some(is_good) = good.get(run.start.request.as_str()) {
            all_us += run.work_us();
            wasted_us += if *is_good { 0 } else { run.work_us() };
        }
    }
    wasted_us as f64 * 100.0 / all_us.max(1) as f64
}

fn scarce_percent(history: &History, span_ms: (u64, u64)) -> Option<f64> {
    let scenario = &history.scenario;
    let service = scenario.service(scenario.scarce.as_ref()?)?;
    let good = good_requests(history);
    let window = history.begin_us + span_ms.0 * 1_000..history.begin_us + span_ms.1 * 1_000;
    let useful = |run: &&Run| {
        run.start.service == service.name
            && run.outcome() == Some(RunOutcome::Done)
            && window.contains(&run.start.at_us)
            && good.get(run.start.request.as_str()) == Some(&true)
    };
    let useful_us: u64 = history.runs.iter().filter(useful).map(Run::work_us).sum();
    let slots = u64::from(service.slots) * service.workers.len() as u64;
    let capacity_us = slots * (span_ms.1 - span_ms.0) * 1_000;
    Some(useful_us as f64 * 100.0 / capacity_us.max(1) as f64)
}

fn good_requests(history: &History) -> HashMap<&str, bool> {
    history
        .requests
        .iter()
        .map(|request| (request.request.as_str(), request.good))
        .collect()
}
