//! Border to the platform: what its messages mean. The adapter translates and decides nothing.

use {
    crate::{
        mesh::{
            frame::WorkerLife,
            http::Head,
            routes::{ConfigError, RouteTable},
        },
        request::ServiceName,
        store::{LeaseId, StoreError},
    },
    async_trait::async_trait,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// What a client says of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFacts {
    /// Identity of this attempt.
    pub attempt_id: SmolStr,
    /// Time that the client will wait.
    pub remaining_ms: Option<u64>,
}

/// What a worker says of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFacts<'a> {
    /// Attempt that it answers.
    pub attempt_id: Option<&'a str>,
    /// Whether it bears the worker's mark of a genuine answer.
    pub is_stamped: bool,
    /// Whether the worker says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another worker answered than the one expected.
    pub is_other_worker: bool,
}

/// What a worker is told besides the request itself.
#[derive(Debug, Clone, Copy)]
pub struct WorkerOrders<'a> {
    /// Time left.
    pub remaining_ms: u64,
    /// Worker that is to run the request.
    pub worker_id: &'a str,
    /// Service beside which the request began.
    pub caller_service: &'a str,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// Its life.
    pub life: WorkerLife,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Time for which it is still slow after its start.
    pub cold_ms: u64,
    /// Number of the report in the life of the worker.
    pub sequence: u64,
}

/// Call at the port for the local worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// The worker lives.
    Report(WorkerReport),
    /// The worker leaves.
    Leave {
        /// Its name.
        worker_id: SmolStr,
        /// Start of its process, if it says so.
        born_unix_ms: Option<u64>,
    },
    /// The platform asks whether the daemon takes clients.
    Ready,
    /// Nothing of this path.
    Unknown,
}

/// A call at the control port that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{step}: {detail}")]
pub struct ControlError {
    /// What was being read.
    pub step: &'static str,
    /// What is wrong with it.
    pub detail: SmolStr,
}

/// Translation of the messages that clients, workers and the platform exchange with a daemon.
pub trait Protocol {
    /// Reads what a client says of its request; `None` without an identity.
    fn request_facts(&self, head: &Head) -> Option<RequestFacts>;

    /// Tells whether the daemon sets this request field itself, whatever the client sent.
    fn is_own_field(&self, name: &str) -> bool;

    /// Writes the fields that tell the worker how to run a request.
    fn write_orders(&self, out: &mut Vec<u8>, orders: WorkerOrders<'_>);

    /// Reads what a worker says of its answer.
    fn answer_facts<'a>(&self, head: &'a Head) -> AnswerFacts<'a>;

    /// Writes the fields that mark an answer of the daemon itself.
    fn write_refusal(&self, out: &mut Vec<u8>, attempt_id: &str);

    /// Reads a call at the control or the ready port.
    ///
    /// # Errors
    ///
    /// Fails if the body is not what the path calls for.
    fn control_call(&self, head: &Head, body: &[u8]) -> Result<ControlCall, ControlError>;

    /// Key of the configuration in the store.
    fn config_key(&self) -> &'static str;

    /// Reads a configuration document.
    ///
    /// # Errors
    ///
    /// Fails if the document is malformed or breaks its own rules.
    fn decode_config(&self, document: &[u8]) -> Result<RouteTable, ConfigError>;
}

/// Key and value in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogEntry {
    /// Key.
    pub key: SmolStr,
    /// Value.
    pub value: Vec<u8>,
}

/// Change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatalogChange {
    /// Written.
    Put(CatalogEntry),
    /// Removed, or its lease ended.
    Removed(SmolStr),
}

/// Outcome of waiting for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// Changes up to a revision.
    Changes {
        /// In the order in which they were made.
        changes: Vec<CatalogChange>,
        /// Revision to go on from.
        revision: u64,
    },
    /// The store has dropped this part of its history; list again.
    Compacted,
}

/// The platform's store as the daemons share it: leased entries, listed and watched by prefix.
#[async_trait(?Send)]
pub trait Catalog {
    /// Reads all entries below a prefix, and the revision from which to watch.
    async fn list(&self, prefix: &str) -> Result<(Vec<CatalogEntry>, u64), StoreError>;

    /// Waits for changes below a prefix after a revision.
    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Watched, StoreError>;

    /// Writes an entry under a lease; false if the lease has ended.
    async fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<bool, StoreError>;

    /// Grants a lease.
    async fn grant(&self, ttl_ms: u64) -> Result<LeaseId, StoreError>;

    /// Renews a lease; false if it has ended.
    async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError>;
}
