//! What a daemon can tell operators.

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

/// State of a daemon and of what it knows of others.
pub trait View: Send + Sync {
    /// Configuration in force here.
    fn config(&self) -> Arc<Config>;

    /// How the known services fare; those without workers may be left out.
    fn services(&self) -> Vec<ServiceRow>;

    /// Known workers.
    fn workers(&self) -> Vec<WorkerRow>;

    /// Known data centres.
    fn data_centres(&self) -> Vec<DataCentreRow>;

    /// Fingerprints in quarantine.
    fn quarantine(&self) -> Vec<QuarantineRow>;

    /// Revisions in force at the daemons, or data centres, that the filter names.
    fn enforced(&self, filter: &Filter) -> Vec<EnforcedRow>;

    /// What is known of a request, in order of time.
    fn explain(&self, request_id: RequestId) -> Vec<EventRow>;
}

/// How a service fares.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ServiceRow {
    /// Name of the service.
    pub service: SmolStr,
    /// Workers that take requests.
    pub serving: u32,
    /// Workers that are leaving.
    pub draining: u32,
    /// Requests that its workers can run at once.
    pub capacity: u32,
    /// Requests that they run.
    pub in_flight: u32,
    /// Admission level, in words.
    pub admitted: SmolStr,
}

/// State of a worker.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct WorkerRow {
    /// Name of the worker's daemon.
    pub worker: SmolStr,
    /// Service that it runs.
    pub service: SmolStr,
    /// Data centre that it stands in.
    pub data_centre: SmolStr,
    /// IP number of its VM.
    pub vm: SmolStr,
    /// Its state in a word: serving, draining, stopped, suspected, dead.
    pub state: SmolStr,
    /// Requests that it runs.
    pub in_flight: u32,
    /// Requests that it can run at once.
    pub limit: u32,
    /// Revision in force at its daemon.
    pub revision: Revision,
}

/// State of a data centre.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct DataCentreRow {
    /// Name of the data centre.
    pub data_centre: SmolStr,
    /// Region that it stands in.
    pub region: SmolStr,
    /// Live daemons.
    pub daemons: u32,
    /// Lowest revision in force there.
    pub revision: Revision,
    /// Time since it was last heard of.
    pub silent_ms: u64,
}

/// A fingerprint in quarantine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct QuarantineRow {
    /// Fingerprint of the request.
    pub fingerprint: SmolStr,
    /// Service that it crashed.
    pub service: SmolStr,
    /// Backend servers that died running it.
    pub deaths: u32,
    /// Requests refused since.
    pub refused: u64,
}

/// Revision in force at one daemon or data centre.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct EnforcedRow {
    /// Daemon or data centre.
    pub at: SmolStr,
    /// Data centre that it stands in.
    pub data_centre: SmolStr,
    /// Revision in force.
    pub revision: Revision,
}

/// Something that happened to a request.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct EventRow {
    /// Wall clock of the daemon.
    pub at_unix_ms: u64,
    /// Daemon that saw it.
    pub daemon: SmolStr,
    /// What happened, in a word or two.
    pub event: SmolStr,
    /// Why, and with which numbers.
    pub detail: SmolStr,
}
