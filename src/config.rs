//! What operators configure: one versioned document, in force at every daemon.

mod apply;
mod builtin;
mod check;
mod codec;
mod edit;

pub use {
    builtin::DEFAULT_CLASS,
    check::{MAX_NAME_BYTES, MAX_TEXT_BYTES, is_name},
    codec::{CONFIG_KEY, DecodeError, MAX_CONFIG_BYTES},
    edit::{ClassEdit, Edit, EditCause, EditError, Proposal, RulesEdit, ServiceEdit},
};

use {
    crate::request::{ClassName, Importance, ServiceName},
    derive_more::Display,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Revision of the configuration; a daemon's revision never goes down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Display, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// The whole configuration at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// Revision, counted up by one with each change.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Classes of requests by name.
    pub classes: BTreeMap<ClassName, ClassRule>,
    /// Rules for draining and stopping, and the trade between goodput and recovery.
    pub rules: Rules,
    /// Targets that operators have ordered to drain or stop.
    pub orders: Vec<DrainOrder>,
    /// Fingerprints of requests that operators have released from quarantine.
    pub lifted: BTreeMap<SmolStr, Revision>,
    /// Most recent changes, oldest first.
    pub history: Vec<Change>,
}

/// What is configured for one service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRule {
    /// Retries that one daemon may send to the service, as a share of its first calls.
    pub retry_ratio_percent: u8,
    /// Time that a call to the service may take at most.
    pub timeout_ms: u32,
}

/// What is configured for one class of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassRule {
    /// Importance; zero is kept longest.
    pub importance: Importance,
    /// Extra calls allowed for one client request over its whole call tree.
    pub retry_allowance: u8,
    /// Whether a request of the class may run more than once.
    pub idempotent: bool,
    /// Deadline of a request that brings none.
    pub deadline_ms: u32,
}

/// Rules that hold for the whole system.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rules {
    /// Time after which a stop cuts off what is still in flight.
    pub stop_limit_ms: u32,
    /// Weight of recovery time against goodput: 0 is all goodput, 100 all recovery time.
    pub recovery_weight_percent: u8,
    /// Whether services that announce themselves are served without being configured.
    #[serde(default)]
    pub unlisted_services: bool,
}

/// One target that operators have ordered to leave.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct DrainOrder {
    /// What is to leave.
    pub target: DrainTarget,
    /// Whether the backend server is stopped once nothing is in flight.
    pub stop: bool,
}

/// What a drain order names.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize, Display)]
pub enum DrainTarget {
    /// The worker behind the daemon of this name.
    #[display("worker {_0}")]
    Worker(SmolStr),
    /// All workers on the VM with this IP number.
    #[display("vm {_0}")]
    Vm(SmolStr),
    /// All workers of this data centre.
    #[display("data-centre {_0}")]
    DataCentre(SmolStr),
}

/// One committed change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Identity, by which a change with a lost answer is found again.
    pub id: SmolStr,
    /// Revision that the change made.
    pub revision: Revision,
    /// Time of the commit on the committing daemon's clock.
    pub at_unix_ms: u64,
    /// Statements as the operator wrote them.
    pub text: SmolStr,
}

impl Default for ServiceRule {
    fn default() -> Self {
        Self {
            retry_ratio_percent: 10,
            timeout_ms: 30_000,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            stop_limit_ms: 30_000,
            recovery_weight_percent: 50,
            unlisted_services: false,
        }
    }
}
