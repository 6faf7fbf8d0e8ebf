//! Announcement of new configurations, for members whose own calls to the store have missed them.
//!
//! Load pattern: a change that a whole region, or all members but a few, have missed. Acks of probes
//! show the configuration in force at the probed member only, and probes of other regions are rare, so
//! the change would spread more slowly than it must be in force.
//!
//! Each member announces a configuration once when it comes into force there, and forwards the first
//! report of one that is still not in force there a moment later. While all calls to the store
//! succeed, nothing is forwarded.

use {
    super::{
        Fleet, Scope,
        member::{MemberKey, MemberState},
        message::{Body, Outgoing},
    },
    crate::config::Revision,
};

/// Members of the own region to which the configuration in force is announced.
const ANNOUNCED_NEAR: usize = 1;

/// Members of the own region to which a report is forwarded.
const FORWARDED_NEAR: usize = 6;

/// Members of other regions to which the members of one region together send each announcement.
const SENT_FAR: f64 = 8.0;

/// Delay before a report is forwarded. Calls to the store usually bring the configuration within it.
const FORWARD_DELAY_US: u64 = 100_000;

/// Announcement that has not been sent yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Announcement {
    revision: Revision,
    /// Member that has reported the configuration; `None` if it is in force here.
    reporter: Option<MemberKey>,
    due_us: u64,
}

impl Fleet {
    /// Schedules the announcement of a configuration that has come into force here.
    pub(super) fn announce_in_force(&mut self, revision: Revision) {
        self.schedule_announcement(Announcement {
            revision,
            reporter: None,
            due_us: 0,
        });
    }

    /// Schedules the forwarding of a report that is newer than all earlier ones.
    pub(super) fn forward_report(&mut self, revision: Revision, reporter: MemberKey, now_us: u64) {
        if revision > self.local.revision {
            self.schedule_announcement(Announcement {
                revision,
                reporter: Some(reporter),
                due_us: now_us + FORWARD_DELAY_US,
            });
        }
    }

    fn schedule_announcement(&mut self, announcement: Announcement) {
        let is_newer = |held: &Announcement| announcement.revision >= held.revision;
        if self.rules.scope == Scope::Deployment && self.announcement.as_ref().is_none_or(is_newer)
        {
            self.announcement = Some(announcement);
        }
    }

    /// Sends the scheduled announcement if it is due.
    pub(super) fn announce_config(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        let Some(announcement) = self.announcement.filter(|held| held.due_us <= now_us) else {
            return;
        };
        self.announcement = None;
        let (state, near) = match announcement.reporter {
            None => (self.local.state(), ANNOUNCED_NEAR),
            Some(reporter) => match self.peers.get(reporter) {
                Some(peer) => (peer.member.state(), FORWARDED_NEAR),
                // The record of the reporter is gone; another member reports the configuration.
                None => return,
            },
        };
        let share = SENT_FAR / (self.neighbours() + 1) as f64;
        let far = usize::from(self.draw(share.min(1.0)));
        let keys = self.random_live_peers(usize::MAX, announcement.reporter);
        let (far_keys, near_keys): (Vec<_>, Vec<_>) =
            keys.into_iter().partition(|key| self.is_far(*key));
        let near_keys = near_keys.into_iter().take(near);
        for key in near_keys.chain(far_keys.into_iter().take(far)) {
            let mut message = self.message(Body::Gossip);
            message.states.push(state);
            let to = self.peers[key].member.place.gossip_addr;
            self.send(to, message, out);
        }
    }

    /// State of the member that has reported a configuration newer than the one in force here.
    pub(super) fn newer_report(&self) -> Option<MemberState> {
        let newest = self.newest_config.as_ref()?;
        let peer = self.peers.get(newest.reporter)?;
        (newest.revision > self.local.revision).then(|| peer.member.state())
    }
}
