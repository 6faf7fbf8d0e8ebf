//! Choice of a worker for a call.

use {
    crate::request::{Incarnation, Level, Rank, ServiceName},
    std::{net::SocketAddr, time::Duration},
};

/// What a worker is wanted for.
#[derive(Debug, Clone)]
pub struct Wanted<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// Order in which the call is shed.
    pub rank: Rank,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Workers that the call has been to.
    pub tried: &'a [Incarnation],
}

/// A worker that a call may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Daemon in front of the worker.
    pub call_addr: SocketAddr,
    /// Worker.
    pub incarnation: Incarnation,
}

/// How a call to a worker ended, as far as the choice of workers cares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With an answer.
    Answered,
    /// With a refusal by the worker's daemon.
    Refused,
    /// Its daemon could not be reached.
    Unreachable,
    /// It was cut, or the caller gave up.
    Cancelled,
}

/// View of the workers of all services.
pub trait Directory: Send + Sync {
    /// Chooses a worker without counting a call to it.
    fn choose(&self, wanted: &Wanted<'_>, now_us: u64) -> Option<Target>;

    /// Picks a worker and counts a call to it.
    fn pick(&self, wanted: &Wanted<'_>, now_us: u64) -> Option<Target>;

    /// Counts a call to a worker that was not picked here, as one with a ticket.
    fn started(&self, target: Target);

    /// Takes note of the end of a call.
    fn ended(&self, target: Target, ended: Ended, level: Option<Level>, now_us: u64);

    /// Tells whether any worker offers the service.
    fn knows(&self, service: &str) -> bool;
}

/// Directory of a daemon that knows its own worker only.
pub struct Solo;

impl Directory for Solo {
    fn choose(&self, _: &Wanted<'_>, _: u64) -> Option<Target> {
        None
    }

    fn pick(&self, _: &Wanted<'_>, _: u64) -> Option<Target> {
        None
    }

    fn started(&self, _: Target) {}

    fn ended(&self, _: Target, _: Ended, _: Option<Level>, _: u64) {}

    fn knows(&self, _: &str) -> bool {
        false
    }
}
