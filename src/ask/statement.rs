//! Typed statements of the operators' language.

use {
    crate::{
        ask::lexer::Span,
        config::{Edit, Revision},
        request::RequestId,
    },
    smol_str::SmolStr,
};

/// One text of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Script {
    /// Questions, answered in this order.
    Questions(Vec<Question>),
    /// One change, applied whole or not at all.
    Change {
        /// Revision that the operator has seen.
        if_revision: Option<Revision>,
        /// Steps of the change.
        edits: Vec<LocatedEdit>,
    },
}

/// An edit and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedEdit {
    /// The edit.
    pub edit: Edit,
    /// Words of the statement.
    pub words: Vec<Span>,
    /// The word that names what is changed.
    pub subject: Span,
}

/// A question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Question {
    /// Configured services and how they fare.
    Services,
    /// Configured classes.
    Classes,
    /// Known workers.
    Workers,
    /// Known data centres.
    DataCentres,
    /// Rules for the whole system, and orders to drain or stop.
    Rules,
    /// Fingerprints in quarantine.
    Quarantine,
    /// The last changes, newest last.
    History {
        /// How many.
        last: usize,
    },
    /// Revision in force, and where.
    Enforced(Filter),
    /// What became of a request.
    Explain(RequestId),
}

/// What a question is restricted to.
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
