//! Answers to operators, before they are rendered.

use {
    crate::{
        ask::{
            fault::Fault,
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
        /// Revision that the rules are of.
        revision: Revision,
        /// Services, configured or announced.
        services: Vec<ServiceEntry>,
    },
    /// Classes.
    Classes {
        /// Revision that the rules are of.
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
        /// Revision that the rules are of.
        revision: Revision,
        /// Rules for the whole system.
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
    /// What is in force, and where.
    Enforced(Enforcement),
    /// What became of a request.
    Request {
        /// The request.
        request_id: SmolStr,
        /// What happened to it.
        events: Vec<EventRow>,
    },
}

/// What is in force, and where.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Enforcement {
    /// Revision in force at the daemon that answers.
    pub revision: Revision,
    /// What was asked for, if restricted.
    #[serde(skip)]
    pub filter: Filter,
    /// Rule of the service asked for.
    pub service: Option<ServiceRule>,
    /// Rule of the class asked for.
    pub class: Option<ClassRule>,
    /// Revisions in force elsewhere.
    pub daemons: Vec<EnforcedRow>,
}

/// A service: what is configured and how it fares.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub service: SmolStr,
    /// What is configured; none if it is only announced.
    pub rule: Option<ServiceRule>,
    /// How it fares; none if no worker is known.
    pub load: Option<ServiceRow>,
}

/// A class and its rule.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ClassEntry {
    /// Name of the class.
    pub class: SmolStr,
    /// Its rule.
    #[serde(flatten)]
    pub rule: ClassRule,
}

/// What became of an operator's text.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Answers to its questions.
    Answers(Vec<Answer>),
    /// The change is in the store.
    Changed(Receipt),
    /// The text is at fault; nothing was changed.
    Faulty(Fault),
    /// The change is not known to be stored.
    NotChanged(CommitError),
    /// The token is missing or wrong.
    Forbidden,
}

impl Answer {
    /// Answer about a request.
    pub fn request(request_id: RequestId, events: Vec<EventRow>) -> Self {
        Self::Request {
            request_id: SmolStr::from(request_id.to_string()),
            events,
        }
    }
}
