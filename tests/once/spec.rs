//! Specification of one order: an object that runs at most once.

use todc_utils::Specification;

/// What a caller was told of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Told {
    Done(u64),
    NotRun,
    Unknown,
    /// The caller had given up waiting.
    Nothing,
}

/// Operation on the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Op {
    /// A backend server ran it for a send of this attempt.
    Run { attempt: u32, answer: u64 },
    /// A caller's attempt ended.
    Attempt { attempt: u32, told: Told },
}

/// State of the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Order {
    ran: Option<u64>,
    /// Attempts up to this one were told not-run.
    floor: u32,
}

pub(crate) struct OnceSpec;

impl Specification for OnceSpec {
    type State = Order;
    type Operation = Op;

    fn init() -> Order {
        Order {
            ran: None,
            floor: 0,
        }
    }

    fn apply(op: &Op, state: &Order) -> (bool, Order) {
        let mut after = *state;
        let is_valid = match *op {
            Op::Run { attempt, answer } => {
                after.ran = Some(answer);
                state.ran.is_none() && attempt > state.floor
            }
            Op::Attempt { attempt, told } => match told {
                Told::Done(answer) => state.ran == Some(answer),
                Told::NotRun => {
                    after.floor = state.floor.max(attempt);
                    state.ran.is_none()
                }
                Told::Unknown | Told::Nothing => true,
            },
        };
        (is_valid, if is_valid { after } else { *state })
    }
}
