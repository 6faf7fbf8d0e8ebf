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

/// What a worker is wanted for.
#[derive(Debug, Clone)]
pub struct Wanted<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// Order in which the call is shed.
    pub rank: Rank,
    /// Time left until the deadline.
    pub remaining_us: u64,
    /// Workers that the call has been to.
    pub tried: &'a [Incarnation],
    /// Expected bytes of the call and its answer.
    pub transfer_bytes: u32,
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
    /// Its daemon answered or refused it.
    Answered,
    /// Its daemon could not be reached, or the connection broke.
    Unreachable,
    /// The caller gave up.
    Cancelled,
}

/// View of the workers of all services.
pub trait Directory: Send + Sync {
    /// Chooses a worker.
    fn choose(&self, wanted: &Wanted<'_>, now_us: u64) -> Option<Target>;

    /// Counts a call to a worker.
    fn started(&self, target: Target, now_us: u64);

    /// Takes note of the end of a call.
    fn ended(&self, target: Target, ended: Ended, latency_us: u64, now_us: u64);

    /// Tells whether any worker offers the service.
    fn knows(&self, service: &str) -> bool;
}

/// Directory that rests on the daemon's view of the fleet.
pub struct FleetDirectory {
    fleet: Arc<Mutex<Fleet>>,
    router: Mutex<Router>,
    rng: Mutex<ChaCha8Rng>,
}

impl FleetDirectory {
    /// Creates a directory without records of calls.
    pub fn new(fleet: Arc<Mutex<Fleet>>, router: Router, rng: ChaCha8Rng) -> Self {
        Self {
            fleet,
            router: Mutex::new(router),
            rng: Mutex::new(rng),
        }
    }

    /// Totals of the choices made.
    pub fn report(&self) -> RouteCounters {
        self.router.lock().counters()
    }

    /// Forgets workers without calls, and takes this daemon's share of the link between regions.
    pub fn sweep(&self, link_bytes_per_s: u64, now_us: u64) {
        let sharers = self.fleet.lock().daemons_in_region() as u64;
        let mut router = self.router.lock();
        router.sweep(now_us);
        router.set_spill_rate(link_bytes_per_s / sharers);
    }
}

impl Directory for FleetDirectory {
    fn choose(&self, wanted: &Wanted<'_>, now_us: u64) -> Option<Target> {
        let ask = RouteQuery {
            service: wanted.service,
            rank: wanted.rank,
            excluded: wanted.tried,
            remaining_us: wanted.remaining_us,
            transfer_bytes: wanted.transfer_bytes,
        };
        let fleet = self.fleet.lock();
        let mut rng = self.rng.lock();
        let choice = self.router.lock().pick(&fleet, &ask, now_us, &mut *rng)?;
        Some(Target {
            call_addr: choice.place.call_addr,
            incarnation: choice.incarnation,
        })
    }

    fn started(&self, target: Target, now_us: u64) {
        self.router.lock().record_start(target.incarnation, now_us);
    }

    fn ended(&self, target: Target, ended: Ended, latency_us: u64, now_us: u64) {
        let end = match ended {
            Ended::Unreachable => CallOutcome::Failed,
            Ended::Answered | Ended::Cancelled => CallOutcome::Answered,
        };
        self.router
            .lock()
            .record_end(target.incarnation, latency_us as u32, end, now_us);
        let reachability = match ended {
            Ended::Answered => Reachability::Reachable,
            Ended::Unreachable => Reachability::Unreachable,
            Ended::Cancelled => return,
        };
        self.fleet
            .lock()
            .record_reachability(target.incarnation, reachability, now_us);
    }

    fn knows(&self, service: &str) -> bool {
        let fleet = self.fleet.lock();
        fleet.workers(service).next().is_some()
            || fleet.remote().summaries(service).next().is_some()
    }
}
