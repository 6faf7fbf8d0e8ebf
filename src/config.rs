//! Configuration by operators: one versioned document that every daemon enforces.

mod apply;
mod builtin;
mod check;
mod codec;
mod edit;

pub use {
    builtin::DEFAULT_CLASS,
    check::{MAX_NAME_BYTES, MAX_TEXT_BYTES, is_valid_name},
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

/// Revision of the configuration; the revision that a daemon enforces never decreases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Display, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// The whole configuration at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// Revision; each change increments it by one.
    pub revision: Revision,
    /// Configured services by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Classes of requests by name.
    pub classes: BTreeMap<ClassName, ClassRule>,
    /// Rules that apply to the whole system.
    pub rules: Rules,
    /// Operators' orders to drain or stop targets.
    pub orders: Vec<DrainOrder>,
    /// Fingerprints of requests that operators have released from quarantine, each with the
    /// revision of the release.
    pub lifted: BTreeMap<SmolStr, Revision>,
    /// Most recent changes, oldest first.
    pub history: Vec<Change>,
}

/// Configuration of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRule {
    /// Retries that one daemon may send to the service, as a percentage of its first attempts.
    pub retry_ratio_percent: u8,
    /// Timeout of a call to the service.
    pub timeout_ms: u32,
}

/// Configuration of one class of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassRule {
    /// Importance; zero is the most important and is shed last.
    pub importance: Importance,
    /// Retries allowed for one client request over its whole call tree.
    pub retry_allowance: u8,
    /// Whether a request of the class may be executed more than once.
    pub idempotent: bool,
    /// Deadline of a request that does not name one.
    pub deadline_ms: u32,
}

/// Rules that apply to the whole system.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rules {
    /// Time after which a stopping worker is stopped even if requests are still in flight.
    pub stop_limit_ms: u32,
    /// Weight of recovery time against goodput: 0 optimises goodput only, 100 recovery time only.
    pub recovery_weight_percent: u8,
    /// Whether services that announce themselves are served even if they are not configured.
    #[serde(default)]
    pub unlisted_services: bool,
}

/// Order to drain one target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct DrainOrder {
    /// Workers to drain.
    pub target: DrainTarget,
    /// Whether the backend server is stopped once it has no requests in flight.
    pub stop: bool,
}

/// Target of a drain order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize, Display)]
pub enum DrainTarget {
    /// The worker behind the daemon of this name.
    #[display("worker {_0}")]
    Worker(SmolStr),
    /// All workers on the VM with this IP address.
    #[display("vm {_0}")]
    Vm(SmolStr),
    /// All workers in this data centre.
    #[display("data-centre {_0}")]
    DataCentre(SmolStr),
}

/// One committed change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Identifier, by which a change is found in the history if the response to its write was lost.
    pub id: SmolStr,
    /// Revision that the change made.
    pub revision: Revision,
    /// Time of the commit by the committing daemon's clock.
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
