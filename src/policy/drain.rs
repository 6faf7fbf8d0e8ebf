//! How the local worker leaves: it takes no new work, ends what it has, and only then stops.

use {
    crate::request::{Reason, Refusal},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

const US_PER_MS: u64 = 1_000;

/// Where the local worker stands on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Display, Serialize, Deserialize)]
pub enum Stage {
    /// It takes work.
    #[default]
    #[display("serving")]
    Serving,
    /// It takes no new work; some is in flight.
    #[display("draining")]
    Draining,
    /// It takes no new work and none is in flight.
    #[display("drained")]
    Drained,
    /// The backend server has been told to stop.
    #[display("stopped")]
    Stopped,
}

/// What operators want of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Display, Serialize, Deserialize)]
pub enum Order {
    /// To take work.
    #[default]
    #[display("serve")]
    Serve,
    /// To take no new work.
    #[display("drain")]
    Drain,
    /// To take no new work, and to stop once none is in flight.
    #[display("stop")]
    Stop,
}

/// Who wants the worker to leave. It serves while none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Asked {
    /// The operators' order in force.
    pub operator: Order,
    /// The backend server has given notice that it is leaving.
    pub backend: bool,
    /// The daemon was told to end by the system (SIGTERM).
    pub daemon: bool,
}

/// Something that the daemon has to do, in the order given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
pub enum DrainAction {
    /// Tell the other daemons that the worker takes no new work.
    #[display("announce leaving")]
    AnnounceLeaving,
    /// Tell the other daemons that the worker takes work again.
    #[display("announce serving")]
    AnnounceServing,
    /// Cut what is still in flight, as the limit has passed.
    #[display("cut {count}")]
    Cut {
        /// Requests still in flight.
        count: u32,
    },
    /// Let the backend server stop.
    #[display("release stop")]
    ReleaseStop,
    /// End the daemon.
    #[display("exit")]
    Exit,
}

/// State for metrics and dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainReport {
    /// Where the worker stands.
    pub stage: Stage,
    /// Who asked.
    pub asked: Asked,
    /// Requests in flight at the worker.
    pub in_flight: u32,
    /// Callers' requests in flight through this daemon to other workers.
    pub relayed: u32,
    /// Start of the present drain.
    pub since_us: Option<u64>,
    /// Requests refused while leaving.
    pub refused: u64,
    /// Requests cut at the limit.
    pub cut: u64,
}

/// Way out of the local worker.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    stage: Stage,
    asked: Asked,
    in_flight: u32,
    relayed: u32,
    has_exited: bool,
    since_us: Option<u64>,
    stop_since_us: Option<u64>,
    refused: u64,
    cut: u64,
}

impl Asked {
    /// Tells whether the worker is to leave.
    pub fn leaves(self) -> bool {
        self.operator >= Order::Drain || self.backend || self.daemon
    }

    /// Tells whether the backend server is to stop.
    pub fn stops(self) -> bool {
        self.operator == Order::Stop || self.backend || self.daemon
    }
}

impl Drain {
    /// Creates the state of a worker that serves; each life of the backend server has its own.
    pub fn new() -> Self {
        Self::default()
    }

    /// State for the next life of the backend server; what concerns the daemon itself goes on.
    ///
    /// To be followed by [`Drain::ask`].
    #[must_use]
    pub fn next_life(&self) -> Self {
        let daemon = self.asked.daemon;
        Self {
            asked: Asked {
                daemon,
                ..Asked::default()
            },
            relayed: self.relayed,
            has_exited: self.has_exited,
            stop_since_us: self.stop_since_us.filter(|_| daemon),
            refused: self.refused,
            cut: self.cut,
            ..Self::default()
        }
    }

    /// Takes what is wanted at present; called on each change of any of them.
    pub fn ask(&mut self, asked: Asked, now_us: u64) -> Vec<DrainAction> {
        self.asked = asked;
        self.stop_since_us = match (asked.stops(), self.stop_since_us) {
            (false, _) => None,
            (true, None) => Some(now_us),
            (true, since_us) => since_us,
        };
        let mut actions = Vec::new();
        match (self.stage, asked.leaves()) {
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

    /// Counts a request in, or refuses it; to be paired with [`Drain::leave`].
    ///
    /// A request counts from here until its whole answer has left the daemon.
    pub fn enter(&mut self) -> Result<(), Refusal> {
        if self.stage != Stage::Serving {
            self.refused += 1;
            return Err(Refusal::not_run(Reason::Draining));
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Counts a request out.
    pub fn leave(&mut self) -> Vec<DrainAction> {
        self.in_flight = self.in_flight.saturating_sub(1);
        let mut actions = Vec::new();
        self.advance(&mut actions);
        actions
    }

    /// Counts a caller's request to another worker in, or refuses it as the daemon ends.
    pub fn enter_relay(&mut self) -> Result<(), Refusal> {
        if self.asked.daemon {
            self.refused += 1;
            return Err(Refusal::not_run(Reason::Draining));
        }
        self.relayed += 1;
        Ok(())
    }

    /// Counts a caller's request to another worker out.
    pub fn leave_relay(&mut self) -> Vec<DrainAction> {
        self.relayed = self.relayed.saturating_sub(1);
        let mut actions = Vec::new();
        self.advance(&mut actions);
        actions
    }

    /// Acts on the passing of time; `stop_limit_ms` is the rule in force.
    pub fn tick(&mut self, stop_limit_ms: u32, now_us: u64) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        let Some(since_us) = self.stop_since_us else {
            return actions;
        };
        let limit_us = u64::from(stop_limit_ms) * US_PER_MS;
        let is_overdue = now_us.saturating_sub(since_us) >= limit_us;
        let count = self.cuttable();
        if !is_overdue || count == 0 {
            return actions;
        }
        self.cut += u64::from(count);
        self.in_flight = 0;
        if self.asked.daemon {
            self.relayed = 0;
        }
        actions.push(DrainAction::Cut { count });
        self.advance(&mut actions);
        actions
    }

    /// Where the worker stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// State for metrics and dumps.
    pub fn report(&self) -> DrainReport {
        DrainReport {
            stage: self.stage,
            asked: self.asked,
            in_flight: self.in_flight,
            relayed: self.relayed,
            since_us: self.since_us,
            refused: self.refused,
            cut: self.cut,
        }
    }

    /// Requests that the stop waits for.
    fn cuttable(&self) -> u32 {
        if self.asked.daemon {
            self.in_flight + self.relayed
        } else {
            self.in_flight
        }
    }

    fn advance(&mut self, actions: &mut Vec<DrainAction>) {
        if self.stage == Stage::Draining && self.in_flight == 0 {
            self.stage = Stage::Drained;
        }
        if self.stage == Stage::Drained && self.asked.stops() {
            self.stage = Stage::Stopped;
            actions.push(DrainAction::ReleaseStop);
        }
        let may_exit = self.stage == Stage::Stopped && self.asked.daemon && self.relayed == 0;
        if may_exit && !self.has_exited {
            self.has_exited = true;
            actions.push(DrainAction::Exit);
        }
    }
}
