//! History of one round: requests as recorded by callers and runs as recorded by backend servers.

use {
    crate::{
        record::{RequestRecord, RunEnd, RunEvent, RunOutcome, RunStart},
        scenario::Scenario,
    },
    serde::Serialize,
    shallotdeal::collections::HashMap,
    smol_str::SmolStr,
    std::{
        io::{self, Write},
        sync::Arc,
    },
};

/// One run at a backend server.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Run {
    /// Start of the run.
    pub start: RunStart,
    /// End of the run; `None` if its process died or the round ended first.
    pub end: Option<RunEnd>,
}

impl Run {
    /// Work time of the run itself, without nested calls.
    pub fn work_us(&self) -> u64 {
        let Some(end) = &self.end else { return 0 };
        let elapsed_us = end.at_us.saturating_sub(self.start.at_us);
        end.work_us.min(elapsed_us)
    }

    /// Incarnation of the backend server that ran it, which is the first part of the run's
    /// identity.
    pub fn instance(&self) -> &str {
        let id = self.start.run.as_str();
        id.rsplit_once('-').map_or(id, |(instance, _)| instance)
    }

    /// How it ended.
    pub fn outcome(&self) -> Option<RunOutcome> {
        self.end.as_ref().map(|end| end.end)
    }
}

/// Planned departure of a worker.
#[derive(Debug, Clone)]
pub struct Departure {
    /// Name of the worker.
    pub worker: SmolStr,
    /// Time at which the departure was requested.
    pub at_us: u64,
}

/// Everything recorded in one round.
#[derive(Debug, Clone)]
pub struct History {
    /// Scenario of the round.
    pub scenario: Arc<Scenario>,
    /// Start of the counted load.
    pub begin_us: u64,
    /// Requests offered since the start of the counted load.
    pub requests: Vec<RequestRecord>,
    /// All runs, including those of requests before the counted load.
    pub runs: Vec<Run>,
    /// Planned departures of workers.
    pub departures: Vec<Departure>,
}

impl History {
    /// Writes requests and runs as lines of JSON.
    pub fn write(&self, mut out: impl Write) -> io::Result<()> {
        for request in &self.requests {
            serde_json::to_writer(&mut out, request)?;
            writeln!(out)?;
        }
        for run in &self.runs {
            serde_json::to_writer(&mut out, run)?;
            writeln!(out)?;
        }
        out.flush()
    }

    /// Joins starts and ends of runs, in the order of the starts.
    pub fn join_runs(events: impl IntoIterator<Item = RunEvent>) -> Vec<Run> {
        let mut runs: Vec<Run> = Vec::new();
        let mut positions = HashMap::<SmolStr, usize>::default();
        for event in events {
            match event {
                RunEvent::Started(start) => {
                    positions.insert(start.run.clone(), runs.len());
                    runs.push(Run { start, end: None });
                }
                RunEvent::Ended(end) => {
                    if let Some(position) = positions.get(&end.run) {
                        runs[*position].end = Some(end);
                    }
                }
            }
        }
        runs
    }

    /// Groups the runs of the counted requests by request.
    pub fn runs_by_request(&self) -> HashMap<&str, Vec<&Run>> {
        let mut by_request: HashMap<&str, Vec<&Run>> = self
            .requests
            .iter()
            .map(|request| (request.request.as_str(), Vec::new()))
            .collect();
        for run in &self.runs {
            if let Some(runs) = by_request.get_mut(run.start.request.as_str()) {
                runs.push(run);
            }
        }
        by_request
    }

    /// Requests offered in a time span, relative to the start of the counted load.
    pub fn offered_between(&self, from_ms: u64, until_ms: u64) -> Vec<RequestRecord> {
        let span = self.begin_us + from_ms * 1_000..self.begin_us + until_ms * 1_000;
        self.requests
            .iter()
            .filter(|request| span.contains(&request.offered_us))
            .cloned()
            .collect()
    }
}
