//! What stand-ins record, outside the process that it is about.

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

/// One event in the life of a run at a backend server.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEvent {
    /// The first byte of work was done.
    Started(RunStart),
    /// The run ended.
    Ended(RunEnd),
}

/// Beginning of a run.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RunStart {
    /// Time of the event.
    pub at_us: u64,
    /// Identity of the run.
    pub run: SmolStr,
    /// Run that made the call, if it was a nested one.
    pub parent: Option<SmolStr>,
    /// Client request that the run belongs to.
    pub request: SmolStr,
    /// Position in the call tree; empty at its root.
    pub node: SmolStr,
    /// Order that the request is for, if any.
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
    pub end: End,
    /// Own work done, without nested calls.
    pub work_us: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// With a good answer.
    Done,
    /// With an error, since a nested call failed.
    Failed,
    /// The daemon closed the connection.
    Cancelled,
    /// The deadline passed.
    Expired,
}

impl RunEvent {
    /// Writes the event as one line to standard output, where the collector reads it.
    pub fn emit(&self) {
        let Ok(mut line) = serde_json::to_vec(self) else {
            return;
        };
        line.push(b'\n');
        let mut out = io::stdout().lock();
        out.write_all(&line).and_then(|()| out.flush()).ok();
    }
}

/// One send of a client request and what came back.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Send {
    /// Position of the daemon in the list of daemons.
    pub daemon: usize,
    /// Time of the send.
    pub sent_us: u64,
    /// Time of the answer, or of giving up.
    pub ended_us: u64,
    /// What came back.
    pub verdict: Verdict,
    /// Reason of a refusal.
    pub reason: Option<SmolStr>,
}

/// What a caller learned from one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// A whole good answer.
    Done,
    /// A whole answer of the backend server that tells of a failure.
    Failed,
    /// Told not run.
    NotRun,
    /// Told unknown.
    Unknown,
    /// No answer in time.
    TimedOut,
    /// The connection broke.
    Broken,
    /// No connection could be made; nothing was sent.
    Unreached,
    /// The answer was cut or garbled.
    NotWhole,
    /// The answer was that of another request.
    NotOwn,
}

/// A whole client request with all its sends.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct RequestRecord {
    /// Identity of the request.
    pub request: SmolStr,
    /// Class of the request.
    pub class: SmolStr,
    /// Position of the load it belongs to.
    pub load: usize,
    /// Time at which the caller wanted it sent.
    pub offered_us: u64,
    /// Time of the final answer.
    pub ended_us: u64,
    /// Whether it was complete within its deadline.
    pub good: bool,
    /// Sends in order; attempts for a ticket are not among them.
    pub sends: Vec<Send>,
    /// Whether it ended because no ticket could be had.
    pub ticket_failed: bool,
}
