//! Typed changes of the configuration.

use {
    crate::{
        config::{DrainOrder, DrainTarget, Revision},
        request::{ClassName, Importance, ServiceName},
    },
    derive_more::{Display, Error},
    smol_str::SmolStr,
};

/// One checked step of a change.
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
    /// Changes rules that hold for the whole system.
    Set(RulesEdit),
    /// Orders a target to drain, or to stop.
    Order(DrainOrder),
    /// Takes an order back.
    Undrain(DrainTarget),
    /// Releases a fingerprint from quarantine.
    Lift(SmolStr),
}

/// Values given for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceEdit {
    /// See [`crate::config::ServiceRule::retry_ratio_percent`].
    pub retry_ratio_percent: Option<u8>,
    /// See [`crate::config::ServiceRule::timeout_ms`].
    pub timeout_ms: Option<u32>,
}

/// Values given for a class.
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

/// Values given for the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RulesEdit {
    /// See [`crate::config::Rules::stop_limit_ms`].
    pub stop_limit_ms: Option<u32>,
    /// See [`crate::config::Rules::recovery_weight_percent`].
    pub recovery_weight_percent: Option<u8>,
    /// See [`crate::config::Rules::unlisted_services`].
    pub unlisted_services: Option<bool>,
}

/// Why an edit cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum EditCause {
    /// Something of this name exists.
    #[display("{what} exists already")]
    Exists {
        /// Kind of thing.
        what: &'static str,
    },
    /// Nothing of this name exists.
    #[display("no such {what}")]
    Missing {
        /// Kind of thing.
        what: &'static str,
    },
    /// The class that others fall back to cannot be dropped.
    #[display("the class default cannot be dropped")]
    DefaultClass,
    /// A malformed name.
    #[display("a name has 1 to 64 letters, digits, '-', '_' or '.'")]
    Name,
    /// A malformed IP number.
    #[display("not an IP number")]
    Ip,
    /// A value outside its range.
    #[display("{what} must be between {min} and {max}")]
    Range {
        /// Name of the value.
        what: &'static str,
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A bound on a count or size is reached.
    #[display("more than {max} {what}")]
    TooMany {
        /// What is counted.
        what: &'static str,
        /// Bound.
        max: usize,
    },
}

/// The edit of a change that cannot be applied; the change has no effect at all.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("statement {}: {cause}", index + 1)]
pub struct EditError {
    /// Position of the edit in the change.
    pub index: usize,
    /// Cause.
    #[error(source)]
    pub cause: EditCause,
}

/// A change that an operator proposes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Identity of the change.
    pub id: SmolStr,
    /// Statements as the operator wrote them.
    pub text: SmolStr,
    /// Revision that the operator has seen; a change of any other revision is refused.
    pub if_revision: Option<Revision>,
    /// Steps of the change, all of which are applied or none.
    pub edits: Vec<Edit>,
}
