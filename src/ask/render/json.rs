//! Renders verdicts as JSON.

use {
    crate::{
        ask::{
            answer::{Answer, Verdict},
            error::StatementError,
        },
        config::{Change, Revision},
        control::{commit::CommitError, committer::Receipt},
    },
    serde::Serialize,
};

/// JSON form of a verdict.
#[derive(Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
enum JsonVerdict<'v> {
    Answers {
        answers: &'v [Answer],
    },
    Changed(&'v Receipt),
    Faulty(&'v StatementError),
    Lost {
        revision: Revision,
        winner: Option<&'v Change>,
    },
    Unresolved {
        id: &'v str,
    },
    NotChanged {
        message: String,
    },
    Forbidden,
}

/// Renders a verdict as one JSON object.
pub fn json(verdict: &Verdict) -> String {
    serde_json::to_string(&JsonVerdict::from(verdict)).unwrap_or_default()
}

impl<'v> From<&'v Verdict> for JsonVerdict<'v> {
    fn from(verdict: &'v Verdict) -> Self {
        match verdict {
            Verdict::Answers(answers) => Self::Answers { answers },
            Verdict::Changed(receipt) => Self::Changed(receipt),
            Verdict::Invalid(error) => Self::Faulty(error),
            Verdict::NotChanged(error) => Self::from(error),
            Verdict::Forbidden => Self::Forbidden,
        }
    }
}

impl<'v> From<&'v CommitError> for JsonVerdict<'v> {
    fn from(error: &'v CommitError) -> Self {
        match error {
            CommitError::Conflict { revision, winner } => Self::Lost {
                revision: *revision,
                winner: winner.as_ref(),
            },
            CommitError::Unresolved { id } => Self::Unresolved { id },
            _ => Self::NotChanged {
                message: error.to_string(),
            },
        }
    }
}
