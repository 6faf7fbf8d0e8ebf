//! The promises to users, each checked from a recorded history.

mod calls;
mod order;
mod outcome;

use {
    crate::history::History,
    serde::Serialize,
    smol_str::{SmolStr, format_smolstr},
};

/// Examples kept for each promise.
const EXAMPLES: usize = 3;

/// What a history says about one promise.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// The promise.
    pub promise: SmolStr,
    /// Cases that were looked at.
    pub checked: u64,
    /// Cases in which it did not hold.
    pub violations: u64,
    /// Some of them.
    pub examples: Vec<SmolStr>,
}

impl Finding {
    fn new(promise: &str) -> Self {
        Self {
            promise: promise.into(),
            checked: 0,
            violations: 0,
            examples: Vec::new(),
        }
    }

    fn check(&mut self, holds: bool, example: impl FnOnce() -> SmolStr) {
        self.checked += 1;
        if holds {
            return;
        }
        self.violations += 1;
        if self.examples.len() < EXAMPLES {
            self.examples.push(example());
        }
    }

    /// Line for people.
    pub fn line(&self) -> SmolStr {
        let verdict = if self.violations == 0 {
            "kept"
        } else {
            "BROKEN"
        };
        let mut line = format!(
            "  {verdict:<6} {:>7} of {:>7}  {}",
            self.violations, self.checked, self.promise
        );
        for example in &self.examples {
            line.push_str("\n             ");
            line.push_str(example);
        }
        line.into()
    }
}

/// Checks all promises.
pub fn judge(history: &History) -> Vec<Finding> {
    vec![
        calls::extra_calls(history),
        calls::double_runs(history),
        outcome::false_not_run(history),
        outcome::whole_answers(history),
        outcome::own_answers(history),
        order::inversions(history),
        outcome::late_work(history),
        outcome::cut_by_drain(history),
    ]
}

/// Sends again of each call that a backend server began to run, over a request's whole tree.
///
/// A call is one place in the tree of one parent run; callers' resends are calls of the root.
pub fn extra_calls(history: &History) -> Vec<u64> {
    calls::extra_by_request(history).into_values().collect()
}

fn example(request: &str, detail: &dyn std::fmt::Display) -> SmolStr {
    format_smolstr!("{request}: {detail}")
}
