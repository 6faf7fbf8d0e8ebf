//! Sequential specification of one order, which runs at most once.

use todc_utils::Specification;

/// Result of one attempt, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    Done(u64),
    NotRun,
    Unknown,
    /// The caller stopped waiting before a result arrived.
    Nothing,
}

/// Operation on the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Op {
    /// A backend server ran the order for a send of this attempt.
    Run { attempt: u32, answer: u64 },
    /// A caller's attempt ended.
    Attempt { attempt: u32, result: AttemptResult },
}

/// State of the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Order {
    ran: Option<u64>,
    /// Last attempt that was reported as not-run.
    last_not_run: u32,
}

pub(crate) struct OnceSpec;

impl Specification for OnceSpec {
    type State = Order;
    type Operation = Op;

    fn init() -> Order {
        Order {
            ran: None,
            last_not_run: 0,
        }
    }

    fn apply(op: &Op, state: &Order) -> (bool, Order) {
        let mut after = *state;
        let is_valid = match *op {
            Op::Run { attempt, answer } => {
                after.ran = Some(answer);
                state.ran.is_none() && attempt > state.last_not_run
            }
            Op::Attempt { attempt, result } => match result {
                AttemptResult::Done(answer) => state.ran == Some(answer),
                AttemptResult::NotRun => {
                    after.last_not_run = state.last_not_run.max(attempt);
                    state.ran.is_none()
                }
                AttemptResult::Unknown | AttemptResult::Nothing => true,
            },
        };
        (is_valid, if is_valid { after } else { *state })
    }
}
