//! Typed statements of the operators' language.

use {
    crate::{
        ask::lexer::Span,
        config::{Edit, Revision},
        request::RequestId,
    },
    smol_str::SmolStr,
};

/// One parsed script of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Script {
    /// Questions, answered in this order.
    Questions(Vec<Question>),
    /// One change, applied atomically.
    Change {
        /// Revision that the change must be based on.
        if_revision: Option<Revision>,
        /// Steps of the change.
        edits: Vec<LocatedEdit>,
    },
}

/// Edit with its position in the script.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedEdit {
    /// The edit.
    pub edit: Edit,
    /// Positions of the words of the statement.
    pub words: Vec<Span>,
    /// Position of the word that names the item to change.
    pub subject: Span,
}

/// Question of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Question {
    /// Configured and announced services, with their load.
    Services,
    /// Configured classes.
    Classes,
    /// Known workers.
    Workers,
    /// Known data centres.
    DataCentres,
    /// Rules that apply to the whole system, and orders to drain or stop.
    Rules,
    /// Fingerprints in quarantine.
    Quarantine,
    /// Most recent changes, newest last.
    History {
        /// Number of changes.
        last: usize,
    },
    /// Revisions in force, by daemon or data centre.
    Enforced(Filter),
    /// Events of one request.
    Explain(RequestId),
}

/// Filter of a question.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Filter {
    /// Everything.
    #[default]
    All,
    /// Daemons of the workers of one service.
    Service(SmolStr),
    /// One class of requests.
    Class(SmolStr),
    /// One worker.
    Worker(SmolStr),
    /// One data centre.
    DataCentre(SmolStr),
}
