//! Outcome of a non-idempotent request, as an ingress may report it to the caller.

use {
    crate::request::{Outcome, Reason, Refusal},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Whether earlier sends of the same attempt may have reached a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
pub enum EarlierSends {
    /// No byte of the request was sent to a gate that has not answered.
    #[display("nothing")]
    Nothing,
    /// A gate that has not answered may have received the request.
    #[display("may-have")]
    #[serde(rename = "MayHave")]
    MayHaveArrived,
}

/// Reply of a gate to a request that it does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
pub enum Denial {
    /// The request has not run under this ticket and never will.
    #[display("never: {_0}")]
    Never(Reason),
    /// This send of the request was not run; nothing is known about other sends.
    #[display("not now: {_0}")]
    NotNow(Reason),
    /// The request may have run.
    #[display("maybe: {_0}")]
    Maybe(Reason),
}

/// Result of one send to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum GateReply {
    /// The backend server's answer arrived in full.
    Answer,
    /// The gate denied the request.
    Denial(Denial),
    /// No reply arrived; the reason was determined by the ingress.
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

/// Outcome to report to the caller: `Ok` if it gets the answer, else the refusal.
///
/// `first_attempt` is true if the caller states that it has not sent the request under this ticket
/// or key before. `earlier_sends` covers all sends of this attempt except the one that `reply`
/// belongs to.
pub fn outcome_for_caller(
    first_attempt: bool,
    earlier_sends: EarlierSends,
    reply: GateReply,
) -> Result<(), Refusal> {
    let is_only_send = first_attempt && earlier_sends == EarlierSends::Nothing;
    let (outcome, reason) = match reply {
        GateReply::Answer => return Ok(()),
        GateReply::Denial(Denial::Never(reason)) => (Outcome::NotRun, reason),
        GateReply::Denial(Denial::NotNow(reason)) | GateReply::Nothing(reason) if is_only_send => {
            (Outcome::NotRun, reason)
        }
        GateReply::Denial(denial) => (Outcome::Unknown, denial.reason()),
        GateReply::Nothing(reason) => (Outcome::Unknown, reason),
    };
    Err(Refusal {
        outcome,
        reason,
        retry_after_ms: None,
    })
}
