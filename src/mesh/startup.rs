//! Decision when a started daemon knows enough to serve clients.
//!
//! The store may list nobody, hold an older configuration than the peers, or be away; peers may be
//! gone. A daemon that is ready too early refuses its clients' requests, or serves them by an older
//! configuration than its peers.

use crate::config::Revision;

/// Longest wait for the first message from a listed peer: several round trips between regions.
const CONTACT_WAIT_US: u64 = 500_000;

/// Longest wait for a newer configuration that a peer has reported.
const CONFIG_WAIT_US: u64 = 1_500_000;

/// Time from the first message of a peer until anti-entropy has filled the directory, for a daemon
/// that cannot list the entries.
const FILL_WAIT_US: u64 = 1_500_000;

/// What a daemon has learnt since it started.
#[derive(Debug, Clone, Copy, Default)]
pub struct Startup {
    listed_at_us: Option<u64>,
    has_listed_peers: bool,
    contact_at_us: Option<u64>,
    is_settled: bool,
}

impl Startup {
    /// Records that the entries were listed, and whether there were any of other daemons.
    pub fn record_listing(&mut self, has_peers: bool, now_us: u64) {
        self.listed_at_us.get_or_insert(now_us);
        self.has_listed_peers |= has_peers;
    }

    /// Records a message from a peer.
    pub fn record_contact(&mut self, now_us: u64) {
        self.contact_at_us.get_or_insert(now_us);
    }

    /// Returns whether clients can be served; once true, it stays true.
    ///
    /// `own` is the configuration in force, `newest` the newest one that a peer has reported.
    pub fn is_settled(&mut self, own: Revision, newest: Option<Revision>, now_us: u64) -> bool {
        self.is_settled = self.is_settled || self.is_complete(own, newest, now_us);
        self.is_settled
    }

    fn is_complete(&self, own: Revision, newest: Option<Revision>, now_us: u64) -> bool {
        let has_passed = |since_us: u64, wait_us| now_us >= since_us.saturating_add(wait_us);
        let is_current = newest.is_none_or(|newest| newest <= own);
        match (self.listed_at_us, self.contact_at_us) {
            (Some(listed_us), Some(_)) => is_current || has_passed(listed_us, CONFIG_WAIT_US),
            (Some(listed_us), None) => {
                !self.has_listed_peers || has_passed(listed_us, CONTACT_WAIT_US)
            }
            (None, Some(contact_us)) => has_passed(contact_us, FILL_WAIT_US),
            (None, None) => false,
        }
    }
}
