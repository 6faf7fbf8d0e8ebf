//! Comparison of the configuration in force with that of the peers.

use shallotdeal::{
    config::Revision,
    mesh::lag::{Lag, LagTracker},
};

const CURRENT: Lag = Lag {
    is_behind: false,
    is_stalled: false,
};
const PROGRESSING: Lag = Lag {
    is_behind: true,
    is_stalled: false,
};
const STALLED: Lag = Lag {
    is_behind: true,
    is_stalled: true,
};

fn check(tracker: &mut LagTracker, in_force: u64, newest: u64) -> Lag {
    tracker.check(Revision(in_force), Some(Revision(newest)))
}

#[test]
fn a_version_that_the_watch_delivers_between_checks_is_no_lag() {
    let mut tracker = LagTracker::default();
    assert_eq!(check(&mut tracker, 4, 5), CURRENT);
    assert_eq!(check(&mut tracker, 5, 5), CURRENT);
    assert_eq!(check(&mut tracker, 5, 6), CURRENT);
    assert_eq!(tracker.check(Revision(6), None), CURRENT);
}

// Guards against a watch that is replaced although it transfers versions, only later than peers
// report them.
#[test]
fn a_watch_that_delivers_versions_late_is_not_stalled() {
    let mut tracker = LagTracker::default();
    assert_eq!(check(&mut tracker, 4, 5), CURRENT);
    for in_force in 5..50 {
        assert_eq!(check(&mut tracker, in_force, in_force + 2), PROGRESSING);
    }
}

#[test]
fn a_watch_that_delivers_nothing_while_peers_have_newer_versions_is_stalled() {
    let mut tracker = LagTracker::default();
    assert_eq!(check(&mut tracker, 4, 4), CURRENT);
    assert_eq!(check(&mut tracker, 4, 5), CURRENT);
    assert_eq!(check(&mut tracker, 4, 6), STALLED);
    assert_eq!(check(&mut tracker, 6, 6), CURRENT);
}
