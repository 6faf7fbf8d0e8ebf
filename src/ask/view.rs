//! State of a daemon and the fleet that operators can query.

use {
    crate::{
        ask::statement::Filter,
        config::{Config, Revision},
        request::RequestId,
    },
    serde::Serialize,
    smol_str::SmolStr,
    std::sync::Arc,
};

/// State of a daemon, and its view of the fleet.
pub trait View: Send + Sync {
    /// Configuration that this daemon enforces.
    fn config(&self) -> Arc<Config>;

    /// Load of the known services; services without workers may be left out.
    fn services(&self) -> Vec<ServiceRow>;

    /// Known workers.
    fn workers(&self) -> Vec<WorkerRow>;

    /// Known data centres.
    fn data_centres(&self) -> Vec<DataCentreRow>;

    /// Fingerprints in quarantine.
    fn quarantine(&self) -> Vec<QuarantineRow>;

    /// Revisions in force at the daemons, or data centres, that the filter names.
    fn enforced(&self, filter: &Filter) -> Vec<EnforcedRow>;

    /// Known events of a request, in order of time.
    fn explain(&self, request_id: RequestId) -> Vec<EventRow>;
}

/// Load of a service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ServiceRow {
    /// Name of the service.
    pub service: SmolStr,
    /// Number of workers that accept requests; of another data centre, only those in its summary.
    pub serving: u32,
    /// Number of workers that are draining.
    pub draining: u32,
    /// Requests that the workers can run at once.
    pub capacity: u32,
    /// Requests in flight at the workers.
    pub in_flight: u32,
    /// Admission level, as text.
    pub admitted: SmolStr,
}

/// State of a worker.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct WorkerRow {
    /// Name of the worker's daemon.
    pub worker: SmolStr,
    /// Service of the worker.
    pub service: SmolStr,
    /// Data centre of the worker.
    pub data_centre: SmolStr,
    /// IP address of the worker's VM.
    pub vm: SmolStr,
    /// State of the worker: serving, draining, stopped, suspected or dead.
    pub state: SmolStr,
    /// Requests in flight.
    pub in_flight: u32,
    /// Number of requests that it may run at once, as announced.
    pub limit: u32,
    /// Revision in force at the worker's daemon.
    pub revision: Revision,
}

/// State of a data centre.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct DataCentreRow {
    /// Name of the data centre.
    pub data_centre: SmolStr,
    /// Region of the data centre.
    pub region: SmolStr,
    /// Number of live daemons; for another data centre, the number of known contact addresses.
    pub daemons: u32,
    /// Lowest revision in force in the data centre.
    pub revision: Revision,
    /// Time since the last newer heartbeat of the data centre arrived.
    pub silent_ms: u64,
}

/// Fingerprint in quarantine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct QuarantineRow {
    /// Fingerprint of the request.
    pub fingerprint: SmolStr,
    /// Service whose backend servers the request crashed.
    pub service: SmolStr,
    /// Number of backend servers that crashed while running the request.
    pub deaths: u32,
    /// Number of requests that this daemon refused for any fingerprint in quarantine.
    pub refused: u64,
}

/// Revision in force at one daemon or data centre.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct EnforcedRow {
    /// Name of the daemon or data centre.
    pub at: SmolStr,
    /// Data centre of the daemon, or the data centre itself.
    pub data_centre: SmolStr,
    /// Revision in force.
    pub revision: Revision,
}

/// Event of a request.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct EventRow {
    /// Time by the daemon's wall clock.
    pub at_unix_ms: u64,
    /// Daemon that recorded the event.
    pub daemon: SmolStr,
    /// Kind of event.
    pub event: SmolStr,
    /// Cause and figures.
    pub detail: SmolStr,
}
