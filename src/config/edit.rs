//! Typed changes of the configuration.

use {
    crate::{
        config::{DrainOrder, DrainTarget, Revision},
        request::{ClassName, Importance, ServiceName},
    },
    derive_more::{Display, Error},
    smol_str::SmolStr,
};

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Adds a service.
    CreateService(ServiceName, ServiceEdit),
    /// Changes a service.
    ChangeService(ServiceName, ServiceEdit),
    /// Removes a service.
    DropService(ServiceName),
    /// Adds a class.
    CreateClass(ClassName, ClassEdit),
    /// Changes a class.
    ChangeClass(ClassName, ClassEdit),
    /// Removes a class.
    DropClass(ClassName),
    /// Changes rules that apply to the whole system.
    Set(RulesEdit),
    /// Orders a target to drain or to stop.
    Order(DrainOrder),
    /// Removes the order for a target.
    Undrain(DrainTarget),
    /// Releases a fingerprint from quarantine.
    Lift(SmolStr),
}

/// New values for a service; `None` leaves a value unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceEdit {
    /// See [`crate::config::ServiceRule::retry_ratio_percent`].
    pub retry_ratio_percent: Option<u8>,
    /// See [`crate::config::ServiceRule::timeout_ms`].
    pub timeout_ms: Option<u32>,
}

/// New values for a class; `None` leaves a value unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassEdit {
    /// See [`crate::config::ClassRule::importance`].
    pub importance: Option<Importance>,
    /// See [`crate::config::ClassRule::retry_allowance`].
    pub retry_allowance: Option<u8>,
    /// See [`crate::config::ClassRule::idempotent`].
    pub idempotent: Option<bool>,
    /// See [`crate::config::ClassRule::deadline_ms`].
    pub deadline_ms: Option<u32>,
}

/// New values for the rules; `None` leaves a value unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RulesEdit {
    /// See [`crate::config::Rules::stop_limit_ms`].
    pub stop_limit_ms: Option<u32>,
    /// See [`crate::config::Rules::recovery_weight_percent`].
    pub recovery_weight_percent: Option<u8>,
    /// See [`crate::config::Rules::unlisted_services`].
    pub unlisted_services: Option<bool>,
}

/// Reason why an edit cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum EditCause {
    /// An item with this name already exists.
    #[display("{what} already exists")]
    Exists {
        /// Kind of the item.
        what: &'static str,
    },
    /// No item with this name exists.
    #[display("no such {what}")]
    Missing {
        /// Kind of the item.
        what: &'static str,
    },
    /// The default class cannot be dropped, since unconfigured classes fall back to it.
    #[display("the class `default` cannot be dropped")]
    DefaultClass,
    /// A name is malformed.
    #[display("a name must have 1 to 64 letters, digits, '-', '_' or '.'")]
    InvalidName,
    /// An IP address is malformed.
    #[display("invalid IP address")]
    InvalidIp,
    /// A value is outside its range.
    #[display("{what} must be between {min} and {max}")]
    OutOfRange {
        /// Name of the value.
        what: &'static str,
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A count or size exceeds its bound.
    #[display("more than {max} {what}")]
    TooMany {
        /// What is counted.
        what: &'static str,
        /// Bound.
        max: usize,
    },
}

/// Error of an edit that cannot be applied; the whole change has no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("statement {}: {cause}", index + 1)]
pub struct EditError {
    /// Zero-based position of the edit in the change.
    pub index: usize,
    /// Cause.
    #[error(source)]
    pub cause: EditCause,
}

/// Change proposed by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Identifier of the change.
    pub id: SmolStr,
    /// Statements as the operator wrote them.
    pub text: SmolStr,
    /// Revision that the change must be based on; if the configuration is at any other revision,
    /// the change is refused.
    pub if_revision: Option<Revision>,
    /// Steps of the change, applied all or none.
    pub edits: Vec<Edit>,
}
