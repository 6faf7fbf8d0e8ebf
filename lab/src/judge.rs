//! Checks of the guarantees to users against a recorded history.

mod calls;
mod order;
mod outcome;

use {
    crate::history::History,
    serde::Serialize,
    smol_str::{SmolStr, format_smolstr},
};

/// Examples of violations kept for each guarantee.
const MAX_EXAMPLES: usize = 3;

/// Result of checking one guarantee against a history.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// The guarantee, in words.
    #[serde(rename = "promise")]
    pub guarantee: SmolStr,
    /// Number of cases checked.
    pub checked: u64,
    /// Number of cases that violate the guarantee.
    pub violations: u64,
    /// Details of the first violations.
    pub examples: Vec<SmolStr>,
}

impl Finding {
    fn new(guarantee: &str) -> Self {
        Self {
            guarantee: guarantee.into(),
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
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example());
        }
    }

    /// Formats the result for the printed report.
    pub fn line(&self) -> SmolStr {
        let verdict = if self.violations == 0 {
            "kept"
        } else {
            "BROKEN"
        };
        let mut line = format!(
            "  {verdict:<6} {:>7} of {:>7}  {}",
            self.violations, self.checked, self.guarantee
        );
        for example in &self.examples {
            line.push_str("\n             ");
            line.push_str(example);
        }
        line.into()
    }
}

/// Checks all guarantees.
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

/// Counts, for each request, the runs beyond the first of each call in its call tree.
///
/// A call is identified by its position in the tree and its parent run. Runs caused by a caller's
/// resends count as extra runs of the root call.
pub fn extra_calls(history: &History) -> Vec<u64> {
    calls::extra_by_request(history).into_values().collect()
}

fn example(request: &str, detail: &dyn std::fmt::Display) -> SmolStr {
    format_smolstr!("{request}: {detail}")
}
