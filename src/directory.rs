//! Choice of a worker for a call.

use {
    crate::{
        fleet::{
            Fleet, Reachability,
            route::{CallOutcome, RouteCounters, RouteQuery, Router},
        },
        request::{Incarnation, Rank, ServiceName},
    },
    parking_lot::Mutex,
    rand_chacha::ChaCha8Rng,
    std::{net::SocketAddr, sync::Arc},
};

/// Call that a worker is chosen for.
#[derive(Debug, Clone)]
pub struct WorkerQuery<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// Order in which the call is shed.
    pub rank: Rank,
    /// Remaining time until the deadline.
    pub remaining_us: u64,
    /// Workers that the call was already sent to.
    pub tried: &'a [Incarnation],
    /// Expected bytes of the call and its answer.
    pub transfer_bytes: u32,
}

/// A worker that a call may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Address of the worker's daemon.
    pub call_addr: SocketAddr,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
}

/// How a call to a worker ended, for the choice of later workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// Its daemon answered or refused it.
    Answered,
    /// Its daemon could not be reached, or the connection broke.
    Unreachable,
    /// The caller cancelled it.
    Cancelled,
}

/// Workers of all services.
pub trait Directory: Send + Sync {
    /// Chooses a worker.
    fn choose(&self, query: &WorkerQuery<'_>, now_us: u64) -> Option<Target>;

    /// Records the start of a call to a worker.
    fn call_started(&self, target: Target, now_us: u64);

    /// Records the end of a call to a worker.
    fn call_ended(&self, target: Target, outcome: CallResult, latency_us: u64, now_us: u64);

    /// Tells whether any worker of the service is known.
    fn has_worker(&self, service: &str) -> bool;
}

/// Directory based on the daemon's view of the fleet.
pub struct FleetDirectory {
    fleet: Arc<Mutex<Fleet>>,
    router: Mutex<Router>,
    rng: Mutex<ChaCha8Rng>,
}

impl FleetDirectory {
    /// Creates a directory without any recorded calls.
    pub fn new(fleet: Arc<Mutex<Fleet>>, router: Router, rng: ChaCha8Rng) -> Self {
        Self {
            fleet,
            router: Mutex::new(router),
            rng: Mutex::new(rng),
        }
    }

    /// Counters of the choices made.
    pub fn report(&self) -> RouteCounters {
        self.router.lock().counters()
    }

    /// Drops records of workers without recent calls, and updates this daemon's share of the link
    /// between regions.
    pub fn sweep(&self, link_bytes_per_s: u64, now_us: u64) {
        let sharers = self.fleet.lock().daemons_in_region() as u64;
        let mut router = self.router.lock();
        router.sweep(now_us);
        router.set_spill_rate(link_bytes_per_s / sharers);
    }
}

impl Directory for FleetDirectory {
    fn choose(&self, query: &WorkerQuery<'_>, now_us: u64) -> Option<Target> {
        let route_query = RouteQuery {
            service: query.service,
            rank: query.rank,
            excluded: query.tried,
            remaining_us: query.remaining_us,
            transfer_bytes: query.transfer_bytes,
        };
        let fleet = self.fleet.lock();
        let mut rng = self.rng.lock();
        let choice = self
            .router
            .lock()
            .pick(&fleet, &route_query, now_us, &mut *rng)?;
        Some(Target {
            call_addr: choice.place.call_addr,
            incarnation: choice.incarnation,
        })
    }

    fn call_started(&self, target: Target, now_us: u64) {
        self.router.lock().record_start(target.incarnation, now_us);
    }

    fn call_ended(&self, target: Target, outcome: CallResult, latency_us: u64, now_us: u64) {
        let end = match outcome {
            CallResult::Unreachable => CallOutcome::Failed,
            CallResult::Answered | CallResult::Cancelled => CallOutcome::Answered,
        };
        self.router
            .lock()
            .record_end(target.incarnation, latency_us as u32, end, now_us);
        let reachability = match outcome {
            CallResult::Answered => Reachability::Reachable,
            CallResult::Unreachable => Reachability::Unreachable,
            CallResult::Cancelled => return,
        };
        self.fleet
            .lock()
            .record_reachability(target.incarnation, reachability, now_us);
    }

    fn has_worker(&self, service: &str) -> bool {
        let fleet = self.fleet.lock();
        fleet.workers(service).next().is_some()
            || fleet.remote().summaries(service).next().is_some()
    }
}
