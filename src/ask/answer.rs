//! Typed answers to operators, before they are rendered.

use {
    crate::{
        ask::{
            error::StatementError,
            statement::Filter,
            view::{DataCentreRow, EnforcedRow, EventRow, QuarantineRow, ServiceRow, WorkerRow},
        },
        config::{Change, ClassRule, DrainOrder, Revision, Rules, ServiceRule},
        control::{commit::CommitError, committer::Receipt},
        request::RequestId,
    },
    serde::Serialize,
    smol_str::SmolStr,
};

/// Answer to one question.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(tag = "about", rename_all = "kebab-case")]
pub enum Answer {
    /// Services.
    Services {
        /// Revision of the rules.
        revision: Revision,
        /// Services, configured or announced.
        services: Vec<ServiceEntry>,
    },
    /// Classes.
    Classes {
        /// Revision of the rules.
        revision: Revision,
        /// Classes by name.
        classes: Vec<ClassEntry>,
    },
    /// Workers.
    Workers {
        /// Known workers.
        workers: Vec<WorkerRow>,
    },
    /// Data centres.
    DataCentres {
        /// Known data centres.
        data_centres: Vec<DataCentreRow>,
    },
    /// Rules and orders.
    Rules {
        /// Revision of the rules.
        revision: Revision,
        /// Rules that apply to the whole system.
        rules: Rules,
        /// Orders to drain or stop.
        orders: Vec<DrainOrder>,
    },
    /// Quarantine.
    Quarantine {
        /// Fingerprints in quarantine.
        fingerprints: Vec<QuarantineRow>,
    },
    /// History of changes.
    History {
        /// Changes, oldest first.
        changes: Vec<Change>,
    },
    /// Revisions in force, by daemon or data centre.
    Enforced(Enforcement),
    /// Events of one request.
    Request {
        /// Identifier of the request.
        request_id: SmolStr,
        /// Events in order of time.
        events: Vec<EventRow>,
    },
}

/// Revisions in force, with the rule that the question asks for.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Enforcement {
    /// Revision in force at the daemon that answers.
    pub revision: Revision,
    /// Filter of the question.
    #[serde(skip)]
    pub filter: Filter,
    /// Rule of the service that the filter names.
    pub service: Option<ServiceRule>,
    /// Rule of the class that the filter names.
    pub class: Option<ClassRule>,
    /// Revisions in force at daemons or data centres.
    pub daemons: Vec<EnforcedRow>,
}

/// Rule and load of a service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub service: SmolStr,
    /// Rule of the service; `None` if the service is announced but not configured.
    pub rule: Option<ServiceRule>,
    /// Load of the service; `None` if no worker is known.
    pub load: Option<ServiceRow>,
}

/// Rule of a class.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ClassEntry {
    /// Name of the class.
    pub class: SmolStr,
    /// Rule of the class.
    #[serde(flatten)]
    pub rule: ClassRule,
}

/// Result of executing an operator's script.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Answers to the questions.
    Answers(Vec<Answer>),
    /// The change is in the store.
    Changed(Receipt),
    /// The script is invalid; nothing was changed.
    Invalid(StatementError),
    /// The change was not stored, or is not known to be.
    NotChanged(CommitError),
    /// The token is missing or wrong.
    Forbidden,
}

impl Answer {
    /// Creates the answer about one request.
    pub fn request(request_id: RequestId, events: Vec<EventRow>) -> Self {
        Self::Request {
            request_id: SmolStr::from(request_id.to_string()),
            events,
        }
    }
}
