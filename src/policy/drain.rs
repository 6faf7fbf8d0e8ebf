//! Graceful drain and stop of the local worker: new requests are refused, requests in flight
//! finish, and only then may the backend server stop.

use {
    crate::request::{Reason, Refusal},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

const US_PER_MS: u64 = 1_000;

/// Stage of the local worker's drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Display, Serialize, Deserialize)]
pub enum Stage {
    /// The worker accepts requests.
    #[default]
    #[display("serving")]
    Serving,
    /// The worker accepts no new requests; some are in flight.
    #[display("draining")]
    Draining,
    /// The worker accepts no new requests and none is in flight.
    #[display("drained")]
    Drained,
    /// The backend server has been released to stop.
    #[display("stopped")]
    Stopped,
}

/// Operators' order for the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Display, Serialize, Deserialize)]
pub enum OperatorOrder {
    /// Accept requests.
    #[default]
    #[display("serve")]
    Serve,
    /// Accept no new requests.
    #[display("drain")]
    Drain,
    /// Accept no new requests, and stop once none is in flight.
    #[display("stop")]
    Stop,
}

/// Sources that request a drain of the worker. It serves while none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct DrainRequests {
    /// Operators' order in force.
    pub operator: OperatorOrder,
    /// Whether the backend server has announced that it will stop.
    pub backend: bool,
    /// Whether the daemon has received a signal to terminate (SIGTERM).
    pub daemon: bool,
}

/// Step that the daemon must take; the steps are to be taken in the order returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
pub enum DrainAction {
    /// Announce to the other daemons that the worker accepts no new requests.
    #[display("announce leaving")]
    AnnounceLeaving,
    /// Announce to the other daemons that the worker accepts requests again.
    #[display("announce serving")]
    AnnounceServing,
    /// Abort the requests that are still in flight, since the stop limit has passed.
    #[display("cut {count}")]
    Cut {
        /// Number of requests still in flight.
        count: u32,
    },
    /// Allow the backend server to stop.
    #[display("release stop")]
    ReleaseStop,
    /// Terminate the daemon.
    #[display("exit")]
    Exit,
}

/// State for metrics and dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainReport {
    /// Stage of the drain.
    pub stage: Stage,
    /// Drain requests in force.
    #[serde(rename = "asked")]
    pub requests: DrainRequests,
    /// Requests in flight at the worker.
    pub in_flight: u32,
    /// Callers' requests in flight through this daemon to other workers.
    pub relayed: u32,
    /// Start of the present drain.
    pub since_us: Option<u64>,
    /// Number of requests refused because of a drain.
    pub refused: u64,
    /// Number of requests aborted at the stop limit.
    pub cut: u64,
}

/// Drain state of the local worker.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    stage: Stage,
    requests: DrainRequests,
    in_flight: u32,
    relayed: u32,
    has_exited: bool,
    since_us: Option<u64>,
    stop_since_us: Option<u64>,
    refused: u64,
    cut: u64,
}

impl DrainRequests {
    /// Returns whether the worker is to be drained.
    pub fn wants_drain(self) -> bool {
        self.operator >= OperatorOrder::Drain || self.backend || self.daemon
    }

    /// Returns whether the backend server is to stop once drained.
    pub fn wants_stop(self) -> bool {
        self.operator == OperatorOrder::Stop || self.backend || self.daemon
    }
}

impl Drain {
    /// Creates the state of a serving worker. Each incarnation of the backend server has its own.
    pub fn new() -> Self {
        Self::default()
    }

    /// State for the next incarnation of the backend server. The daemon's own termination, its
    /// relayed requests and the counters carry over.
    ///
    /// Must be followed by [`Drain::set_requests`].
    #[must_use]
    pub fn for_next_incarnation(&self) -> Self {
        let daemon = self.requests.daemon;
        Self {
            requests: DrainRequests {
                daemon,
                ..DrainRequests::default()
            },
            relayed: self.relayed,
            has_exited: self.has_exited,
            stop_since_us: self.stop_since_us.filter(|_| daemon),
            refused: self.refused,
            cut: self.cut,
            ..Self::default()
        }
    }

    /// Applies the drain requests in force; to be called whenever one of them changes.
    pub fn set_requests(&mut self, requests: DrainRequests, now_us: u64) -> Vec<DrainAction> {
        self.requests = requests;
        self.stop_since_us = match (requests.wants_stop(), self.stop_since_us) {
            (false, _) => None,
            (true, None) => Some(now_us),
            (true, since_us) => since_us,
        };
        let mut actions = Vec::new();
        match (self.stage, requests.wants_drain()) {
            (Stage::Serving, true) => {
                self.stage = Stage::Draining;
                self.since_us = Some(now_us);
                actions.push(DrainAction::AnnounceLeaving);
            }
            (Stage::Draining | Stage::Drained, false) => {
                self.stage = Stage::Serving;
                self.since_us = None;
                actions.push(DrainAction::AnnounceServing);
            }
            _ => {}
        }
        self.advance(&mut actions);
        actions
    }

    /// Counts a request as in flight, or refuses it; to be paired with [`Drain::end_request`].
    ///
    /// A request is in flight until the daemon has sent its whole answer.
    pub fn begin_request(&mut self) -> Result<(), Refusal> {
        if self.stage != Stage::Serving {
            self.refused += 1;
            return Err(Refusal::not_run(Reason::Draining));
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Counts a request as finished.
    pub fn end_request(&mut self) -> Vec<DrainAction> {
        self.in_flight = self.in_flight.saturating_sub(1);
        let mut actions = Vec::new();
        self.advance(&mut actions);
        actions
    }

    /// Counts a caller's request to another worker as in flight, or refuses it if the daemon is
    /// terminating.
    pub fn begin_relay(&mut self) -> Result<(), Refusal> {
        if self.requests.daemon {
            self.refused += 1;
            return Err(Refusal::not_run(Reason::Draining));
        }
        self.relayed += 1;
        Ok(())
    }

    /// Counts a caller's request to another worker as finished.
    pub fn end_relay(&mut self) -> Vec<DrainAction> {
        self.relayed = self.relayed.saturating_sub(1);
        let mut actions = Vec::new();
        self.advance(&mut actions);
        actions
    }

    /// Aborts the requests in flight once the stop has been requested for `stop_limit_ms`.
    pub fn tick(&mut self, stop_limit_ms: u32, now_us: u64) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        let Some(since_us) = self.stop_since_us else {
            return actions;
        };
        let limit_us = u64::from(stop_limit_ms) * US_PER_MS;
        let is_overdue = now_us.saturating_sub(since_us) >= limit_us;
        let count = self.unfinished();
        if !is_overdue || count == 0 {
            return actions;
        }
        self.cut += u64::from(count);
        self.in_flight = 0;
        if self.requests.daemon {
            self.relayed = 0;
        }
        actions.push(DrainAction::Cut { count });
        self.advance(&mut actions);
        actions
    }

    /// Stage of the drain.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// State for metrics and dumps.
    pub fn report(&self) -> DrainReport {
        DrainReport {
            stage: self.stage,
            requests: self.requests,
            in_flight: self.in_flight,
            relayed: self.relayed,
            since_us: self.since_us,
            refused: self.refused,
            cut: self.cut,
        }
    }

    /// Number of requests that the stop waits for.
    fn unfinished(&self) -> u32 {
        if self.requests.daemon {
            self.in_flight + self.relayed
        } else {
            self.in_flight
        }
    }

    /// Advances the stage as far as the requests in flight allow.
    fn advance(&mut self, actions: &mut Vec<DrainAction>) {
        if self.stage == Stage::Draining && self.in_flight == 0 {
            self.stage = Stage::Drained;
        }
        if self.stage == Stage::Drained && self.requests.wants_stop() {
            self.stage = Stage::Stopped;
            actions.push(DrainAction::ReleaseStop);
        }
        let may_exit = self.stage == Stage::Stopped && self.requests.daemon && self.relayed == 0;
        if may_exit && !self.has_exited {
            self.has_exited = true;
            actions.push(DrainAction::Exit);
        }
    }
}
