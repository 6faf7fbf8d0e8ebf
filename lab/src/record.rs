//! Records of requests and runs, collected outside the processes that they describe.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        io::{self, Write},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Wall clock in microseconds since the Unix epoch; comparable between processes of one machine.
pub fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Start or end of a run at a backend server.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEvent {
    /// The run holds a slot and starts its work.
    Started(RunStart),
    /// The run ended.
    Ended(RunEnd),
}

/// Start of a run.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RunStart {
    /// Time of the event.
    pub at_us: u64,
    /// Identity of the run.
    pub run: SmolStr,
    /// Run that made the call, if the call is nested.
    pub parent: Option<SmolStr>,
    /// Client request that the run belongs to.
    pub request: SmolStr,
    /// Position in the call tree; empty at its root.
    pub node: SmolStr,
    /// Identity of the order, if the request is not idempotent.
    pub order: Option<SmolStr>,
    /// Service that runs it.
    pub service: SmolStr,
    /// Path within the service.
    pub path: SmolStr,
    /// Name of the worker.
    pub worker: SmolStr,
}

/// End of a run.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RunEnd {
    /// Time of the event.
    pub at_us: u64,
    /// Identity of the run.
    pub run: SmolStr,
    /// How it ended.
    pub end: RunOutcome,
    /// Work time of the run itself, without nested calls.
    pub work_us: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// With a good answer.
    Done,
    /// With an error, because a nested call failed.
    Failed,
    /// The daemon closed the connection.
    Cancelled,
    /// The deadline passed.
    Expired,
}

impl RunEvent {
    /// Writes the event as one line of JSON to standard output, which the lab collects.
    pub fn emit(&self) {
        let Ok(mut line) = serde_json::to_vec(self) else {
            return;
        };
        line.push(b'\n');
        let mut out = io::stdout().lock();
        out.write_all(&line).and_then(|()| out.flush()).ok();
    }
}

/// One send of a client request and its result.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct SendRecord {
    /// Index of the daemon in the list of daemons.
    pub daemon: usize,
    /// Time of the send.
    pub sent_us: u64,
    /// Time of the answer or of the timeout.
    pub ended_us: u64,
    /// Result of the send.
    pub verdict: Verdict,
    /// Reason given for a refusal.
    pub reason: Option<SmolStr>,
}

/// Result of one send as the caller observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// A complete answer with success.
    Done,
    /// A complete answer of the backend server that reports a failure.
    Failed,
    /// The daemon answered `not-run`.
    NotRun,
    /// The daemon answered `unknown`.
    Unknown,
    /// No answer in time.
    TimedOut,
    /// The connection broke.
    Broken,
    /// The connection failed; nothing was sent.
    Unreached,
    /// The answer was truncated or corrupted.
    NotWhole,
    /// The answer belongs to another request.
    NotOwn,
}

/// A client request with all its sends.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct RequestRecord {
    /// Identity of the request.
    pub request: SmolStr,
    /// Class of the request.
    pub class: SmolStr,
    /// Index of the load that the request belongs to.
    pub load: usize,
    /// Arrival time of the request at the caller.
    pub offered_us: u64,
    /// Time of the final answer.
    pub ended_us: u64,
    /// Whether the last send succeeded within the deadline.
    pub good: bool,
    /// Sends in order, without requests for tickets.
    pub sends: Vec<SendRecord>,
    /// Whether the request ended because no ticket could be obtained.
    pub ticket_failed: bool,
}
