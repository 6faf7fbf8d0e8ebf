//! Input and output types of the gate.

use {
    crate::request::{Importance, Level, Rank, Reason, Refusal},
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
    std::collections::BTreeMap,
};

new_key_type! {
    /// Key of one queued or running request; void once the request is refused or finished.
    pub struct WorkKey;
}

/// Request that arrives at the gate.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Rank of the request.
    pub rank: Rank,
    /// Deadline on the monotonic clock.
    pub deadline_us: u64,
    /// Whether the request must run in isolation, since it is suspected of crashing backend
    /// servers.
    pub exclusive: bool,
}

/// Decision on an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// The request is to be sent to the backend server now.
    Started(WorkKey),
    /// The request is queued; an [`Action`] follows.
    Queued(WorkKey),
    /// The request did not run and will not run.
    Refused(Refusal),
}

/// What to do with a request that was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server now.
    Start(WorkKey),
    /// Refuse the request: it did not run and will not run. Its key is void.
    Refuse(WorkKey, Refusal),
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// With an answer.
    Done,
    /// Without an answer, or with an answer by which the backend server shed it.
    Failed,
    /// Cancelled; its latency is not a valid sample.
    Cancelled,
}

/// Counters since the gate was created.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GateCounters {
    /// Arrivals.
    pub offered: u64,
    /// Requests sent to the backend server.
    pub started: u64,
    /// Requests that ended with an answer.
    pub done: u64,
    /// Requests that ended without an answer, or were shed by the backend server.
    pub failed: u64,
    /// Requests that were cancelled while queued or running.
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
    /// Requests in flight.
    pub in_flight: usize,
    /// Queued requests by importance.
    pub queued: BTreeMap<Importance, usize>,
    /// Estimated time until the queue is empty, without further arrivals.
    pub queue_delay_us: u64,
    /// Mean latency of the backend server.
    pub latency_us: u64,
    /// Whether the backend server is draining.
    pub draining: bool,
    /// Counters since the gate was created.
    pub counters: GateCounters,
}
