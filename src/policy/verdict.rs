//! What an ingress may tell a caller about a non-idempotent request.

use {
    crate::request::{Outcome, Reason, Refusal},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// What earlier sends of the same attempt may have left behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
pub enum Sent {
    /// No byte of the request went to a gate without an answer to it.
    #[display("nothing")]
    Nothing,
    /// A gate may have got the request.
    #[display("may-have")]
    MayHave,
}

/// What a gate says about a request that it gives no answer to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
pub enum Denial {
    /// It has not run under this ticket and never will.
    #[display("never: {_0}")]
    Never(Reason),
    /// This send of it was not run; the gate says nothing of other sends.
    #[display("not now: {_0}")]
    NotNow(Reason),
    /// It may have run.
    #[display("maybe: {_0}")]
    Maybe(Reason),
}

/// What came back from the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Heard {
    /// The whole answer of the backend server.
    Answer,
    /// A denial.
    Denial(Denial),
    /// Nothing; the reason is the ingress's own.
    Nothing(Reason),
}

impl Denial {
    /// Cause of the denial.
    pub fn reason(self) -> Reason {
        match self {
            Self::Never(reason) | Self::NotNow(reason) | Self::Maybe(reason) => reason,
        }
    }
}

/// What the caller is told.
///
/// `first_attempt` is true if the caller says that it never sent the request under this ticket or
/// key before. `sent` covers all sends of this attempt but the answered one.
pub fn verdict(first_attempt: bool, sent: Sent, heard: Heard) -> Result<(), Refusal> {
    let alone = first_attempt && sent == Sent::Nothing;
    let (outcome, reason) = match heard {
        Heard::Answer => return Ok(()),
        Heard::Denial(Denial::Never(reason)) => (Outcome::NotRun, reason),
        Heard::Denial(Denial::NotNow(reason)) | Heard::Nothing(reason) if alone => {
            (Outcome::NotRun, reason)
        }
        Heard::Denial(denial) => (Outcome::Unknown, denial.reason()),
        Heard::Nothing(reason) => (Outcome::Unknown, reason),
    };
    Err(Refusal {
        outcome,
        reason,
        retry_after_ms: None,
    })
}
