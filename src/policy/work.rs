//! What goes into a gate and comes out of it.

use {
    crate::request::{Importance, Level, Rank, Reason, Refusal},
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
    std::collections::BTreeMap,
};

new_key_type! {
    /// Key of one admitted piece of work, until it is refused or finished.
    pub struct WorkKey;
}

/// Request at the gate.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Rank of the request.
    pub rank: Rank,
    /// Deadline on the monotonic clock.
    pub deadline_us: u64,
    /// Whether it must run alone, as a suspect of crashing backend servers; it waits for its turn.
    pub exclusive: bool,
}

/// Answer to an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// Send it to the backend server now.
    Started(WorkKey),
    /// It waits; an [`Action`] follows.
    Queued(WorkKey),
    /// It did not run and will not.
    Refused(Refusal),
}

/// What to do with work that was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send it to the backend server now.
    Start(WorkKey),
    /// It did not run and will not; its key is void.
    Refuse(WorkKey, Refusal),
}

/// How started work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// With an answer.
    Done,
    /// Without an answer, or with one that says that the backend server shed it.
    Failed,
    /// Cancelled; its latency says nothing.
    Cancelled,
}

/// Counts since the gate was made.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GateCounters {
    /// Arrivals.
    pub offered: u64,
    /// Work sent to the backend server.
    pub started: u64,
    /// Work that ended with an answer.
    pub done: u64,
    /// Work that ended without one.
    pub failed: u64,
    /// Work that was cancelled, queued or running.
    pub cancelled: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
}

/// State of a gate, for dumps and gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GateReport {
    /// Admission level.
    pub level: Level,
    /// Concurrency limit.
    pub limit: u32,
    /// Work in flight.
    pub in_flight: usize,
    /// Waiting work by importance.
    pub queued: BTreeMap<Importance, usize>,
    /// Time in which the queue would drain.
    pub queue_delay_us: u64,
    /// Mean latency of the backend server.
    pub latency_us: u64,
    /// Whether the backend server is leaving.
    pub draining: bool,
    /// Counts since the gate was made.
    pub counters: GateCounters,
}
