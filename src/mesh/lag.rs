//! Decisions of a daemon that is behind the configuration of its peers: whether its own watch of the
//! store has stopped, and when to ask a peer for the document.

use crate::{config::Revision, mesh::ConfigSource};

/// Time for which a reported configuration is expected from the store before a peer is asked for it.
const STORE_DELAY_US: u64 = 250_000;

/// Shortest time between two requests to peers. A document may take as long over a busy link.
const ASK_INTERVAL_US: u64 = 200_000;

/// Number of consecutive checks that have to agree. The watch usually delivers a version that a
/// peer has reported within one.
const MIN_CHECKS: u32 = 2;

/// Comparison of the version in force with those of the peers, at regular intervals.
#[derive(Debug, Clone, Copy, Default)]
pub struct LagTracker {
    in_force: Option<Revision>,
    stalled_checks: u32,
}

impl LagTracker {
    /// Compares the version in force with the newest one that a peer has reported. Returns whether
    /// peers have had a newer version for some time and none has come into force meanwhile.
    pub fn is_stalled(&mut self, in_force: Revision, newest: Option<Revision>) -> bool {
        let has_progressed = self.in_force.replace(in_force) != Some(in_force);
        if newest.is_none_or(|newest| newest <= in_force) {
            self.stalled_checks = 0;
            return false;
        }
        self.stalled_checks = if has_progressed {
            1
        } else {
            self.stalled_checks + 1
        };
        self.stalled_checks >= MIN_CHECKS
    }
}

/// Requests to peers for newer configurations.
///
/// Load pattern: changes in quick succession, of which peers report each one a moment before the store
/// delivers it. A request for each report would send the documents over the links twice and more.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigRequests {
    /// Reported configuration that is awaited.
    awaited: Revision,
    since_us: u64,
    asked_us: Option<u64>,
}

impl ConfigRequests {
    /// Returns whether to ask the peer that has reported a configuration for it now. `source` is where
    /// the one in force came from; the store serves a daemon that it came from.
    pub fn is_due(
        &mut self,
        in_force: Revision,
        source: Option<ConfigSource>,
        reported: Revision,
        now_us: u64,
    ) -> bool {
        if reported <= in_force {
            return false;
        }
        if self.awaited <= in_force {
            self.awaited = reported;
            self.since_us = now_us;
        }
        let is_store_late = now_us.saturating_sub(self.since_us) >= STORE_DELAY_US;
        let has_just_asked = self
            .asked_us
            .is_some_and(|asked_us| now_us.saturating_sub(asked_us) < ASK_INTERVAL_US);
        let is_due = (is_store_late || source != Some(ConfigSource::Store)) && !has_just_asked;
        if is_due {
            self.asked_us = Some(now_us);
        }
        is_due
    }
}
