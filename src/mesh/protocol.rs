//! Interface to the users' platform. The adapter behind it only translates between the platform's
//! messages and these types; it takes no decisions.

use {
    crate::{
        mesh::{
            frame::WorkerIncarnation,
            http::Head,
            organisations::Credential,
            routes::{ConfigError, RouteTable},
        },
        request::ServiceName,
        store::{LeaseId, StoreError},
    },
    async_trait::async_trait,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Metadata that a client sends with its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identity of this attempt.
    pub attempt_id: SmolStr,
    /// Remaining time that the client will wait.
    pub remaining_ms: Option<u64>,
}

/// Metadata that a worker sends with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerMetadata<'a> {
    /// Attempt that the answer belongs to.
    pub attempt_id: Option<&'a str>,
    /// Whether the answer carries the stamp that marks a genuine answer of the worker.
    pub is_stamped: bool,
    /// Whether the worker states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the answer is from a worker other than the expected one.
    pub is_other_worker: bool,
    /// What the worker says of itself.
    pub statement: WorkerStatement<'a>,
}

/// What a worker says of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerStatement<'a> {
    /// Requests per second that it takes from all daemons together, if it names a limit.
    pub rate: Option<&'a str>,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// Metadata that the daemon adds to a request for a worker.
#[derive(Debug, Clone, Copy)]
pub struct RequestContext<'a> {
    /// Remaining time until the deadline.
    pub remaining_ms: u64,
    /// Worker that the request is for.
    pub worker_id: &'a str,
    /// Service of the worker beside the daemon that sent the call.
    pub caller_service: &'a str,
}

/// Periodic report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// Incarnation.
    pub incarnation: WorkerIncarnation,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub addr: SocketAddr,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Remaining time of the slow phase after its start; zero for a warm worker.
    pub warm_up_remaining_ms: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
}

/// Request at the control port or the readiness port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// Report of the worker.
    Report(WorkerReport),
    /// Departure of the worker.
    Leave {
        /// Name of the worker.
        worker_id: SmolStr,
        /// Start time of its process, if stated.
        started_unix_ms: Option<u64>,
    },
    /// Readiness probe of the platform.
    Ready,
    /// Unknown path or method.
    Unknown,
}

/// Error while decoding a request at the control port.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{step}: {detail}")]
pub struct ControlError {
    /// Step that failed.
    pub step: &'static str,
    /// Cause.
    pub detail: SmolStr,
}

/// Decodes and encodes the messages that clients, workers and the platform exchange with a daemon.
pub trait Protocol {
    /// Decodes the metadata of a client's request; `None` without an attempt id.
    fn request_metadata(&self, head: &Head) -> Option<RequestMetadata>;

    /// Decodes what a client's request says of its organisation.
    fn credential<'a>(&self, head: &'a Head) -> Credential<'a>;

    /// Returns whether a field carries a client's credential, which no worker may see.
    fn is_credential_field(&self, name: &str) -> bool;

    /// Returns whether the daemon sets this request field itself, replacing the client's value.
    fn is_daemon_field(&self, name: &str) -> bool;

    /// Writes the field that tells a worker the organisation of a request.
    fn write_organisation(&self, out: &mut Vec<u8>, name: &str);

    /// Writes the field of an answer that asks the client for a credential.
    fn write_challenge(&self, out: &mut Vec<u8>);

    /// Writes the fields that the daemon adds to a request for a worker.
    fn write_request_context(&self, out: &mut Vec<u8>, context: RequestContext<'_>);

    /// Decodes the metadata of a worker's answer.
    fn answer_metadata<'a>(&self, head: &'a Head) -> AnswerMetadata<'a>;

    /// Writes the fields of an answer that the daemon itself gives.
    fn write_refusal(&self, out: &mut Vec<u8>, attempt_id: &str);

    /// Decodes a request at the control port or the readiness port.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed.
    fn decode_control_request(
        &self,
        head: &Head,
        body: &[u8],
    ) -> Result<ControlRequest, ControlError>;

    /// Key of the configuration in the store.
    fn config_key(&self) -> &'static str;

    /// Decodes a configuration document.
    ///
    /// # Errors
    ///
    /// Fails if the document is malformed or inconsistent.
    fn decode_config(&self, document: &[u8]) -> Result<RouteTable, ConfigError>;
}

/// Key and value in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// Key.
    pub key: SmolStr,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the store at its last change, if stated.
    pub revision: Option<u64>,
}

/// Change of an entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// Created or updated.
    Put(StoreEntry),
    /// Removed, explicitly or because its lease expired.
    Removed(SmolStr),
}

/// Result of a watch call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResult {
    /// Changes up to a revision.
    Changes {
        /// Changes in revision order.
        changes: Vec<StoreChange>,
        /// Revision to continue from.
        revision: u64,
    },
    /// The store has compacted this part of its history; the entries have to be listed again.
    Compacted,
}

/// Page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Entries in the order of their keys.
    pub entries: Vec<StoreEntry>,
    /// Whether more entries follow.
    pub is_truncated: bool,
    /// Revision to watch from.
    pub revision: u64,
}

/// How recent the result of a read has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Includes all acknowledged writes.
    Latest,
    /// May be seconds old; costs the store a tenth.
    Stale,
}

/// Answer of the store, with the era that it states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answered<T> {
    /// Result of the call.
    pub value: T,
    /// Era as stated; see [`crate::mesh::era`].
    pub era: Option<SmolStr>,
}

/// Result of a call to the platform's store.
pub type StoreResult<T> = Result<Answered<T>, StoreError>;

/// The platform's key-value store: leased entries that are listed and watched by prefix.
#[async_trait(?Send)]
pub trait PlatformStore {
    /// Lists one page of the entries below a prefix, beginning after a key; an empty `after` begins
    /// with the first entry.
    async fn list(&self, prefix: &str, after: &str, freshness: Freshness) -> StoreResult<Page>;

    /// Waits for changes below a prefix after a revision, for at most `wait_ms`.
    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> StoreResult<WatchResult>;

    /// Writes an entry with a lease; returns false if the lease has expired.
    async fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> StoreResult<bool>;

    /// Grants a lease.
    async fn grant(&self, ttl_ms: u64) -> StoreResult<LeaseId>;

    /// Renews a lease; returns false if it has expired.
    async fn renew(&self, lease: LeaseId) -> StoreResult<bool>;
}
