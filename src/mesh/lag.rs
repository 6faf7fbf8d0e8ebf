//! Decision whether a daemon is behind the configuration of its peers, and whether its own watch of
//! the store has stopped.

use crate::config::Revision;

/// Number of consecutive checks that have to agree. The watch usually delivers a version that a
/// peer has reported within one.
const MIN_CHECKS: u32 = 2;

/// Result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lag {
    /// Whether peers have had a newer version for some time.
    pub is_behind: bool,
    /// Whether no version has come into force meanwhile.
    pub is_stalled: bool,
}

/// Comparison of the version in force with those of the peers, at regular intervals.
#[derive(Debug, Clone, Copy, Default)]
pub struct LagTracker {
    in_force: Option<Revision>,
    behind_checks: u32,
    stalled_checks: u32,
}

impl LagTracker {
    /// Compares the version in force with the newest one that a peer has reported.
    pub fn check(&mut self, in_force: Revision, newest: Option<Revision>) -> Lag {
        let has_progressed = self.in_force.replace(in_force) != Some(in_force);
        if newest.is_none_or(|newest| newest <= in_force) {
            self.behind_checks = 0;
            self.stalled_checks = 0;
            return Lag::default();
        }
        self.behind_checks += 1;
        self.stalled_checks = if has_progressed {
            1
        } else {
            self.stalled_checks + 1
        };
        Lag {
            is_behind: self.behind_checks >= MIN_CHECKS,
            is_stalled: self.stalled_checks >= MIN_CHECKS,
        }
    }
}
