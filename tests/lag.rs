//! Comparison of the configuration in force with that of the peers.

use shallotdeal::{
    config::Revision,
    mesh::{
        ConfigSource,
        lag::{ConfigRequests, LagTracker},
    },
};

const MS_US: u64 = 1_000;

fn is_stalled(tracker: &mut LagTracker, in_force: u64, newest: u64) -> bool {
    tracker.is_stalled(Revision(in_force), Some(Revision(newest)))
}

#[test]
fn a_version_that_the_watch_delivers_between_checks_is_no_lag() {
    let mut tracker = LagTracker::default();
    assert!(!is_stalled(&mut tracker, 4, 5));
    assert!(!is_stalled(&mut tracker, 5, 5));
    assert!(!is_stalled(&mut tracker, 5, 6));
    assert!(!tracker.is_stalled(Revision(6), None));
}

// Guards against a watch that is replaced although it transfers versions, only later than peers
// report them.
#[test]
fn a_watch_that_delivers_versions_late_is_not_stalled() {
    let mut tracker = LagTracker::default();
    assert!(!is_stalled(&mut tracker, 4, 5));
    for in_force in 5..50 {
        assert!(!is_stalled(&mut tracker, in_force, in_force + 2));
    }
}

#[test]
fn a_watch_that_delivers_nothing_while_peers_have_newer_versions_is_stalled() {
    let mut tracker = LagTracker::default();
    assert!(!is_stalled(&mut tracker, 4, 4));
    assert!(!is_stalled(&mut tracker, 4, 5));
    assert!(is_stalled(&mut tracker, 4, 6));
    assert!(!is_stalled(&mut tracker, 6, 6));
}

/// Number of requests of a daemon to which peers report a change each 150 ms at five links, and in
/// which each change is in force after a delay.
fn requests_in_a_series(source: ConfigSource, delay_ms: u64) -> u32 {
    let mut requests = ConfigRequests::default();
    let mut asked = 0;
    for now_ms in (0_u64..30_000).step_by(30) {
        let reported = now_ms / 150 + 1;
        let in_force = now_ms.saturating_sub(delay_ms) / 150 + 1;
        let (in_force, reported) = (Revision(in_force), Revision(reported));
        asked += u32::from(requests.is_due(in_force, Some(source), reported, now_ms * MS_US));
    }
    asked
}

// Guards against documents that are transferred once by the store and again by each peer that has
// reported them.
#[test]
fn a_series_that_the_store_delivers_is_not_requested_from_peers() {
    assert_eq!(requests_in_a_series(ConfigSource::Store, 130), 0);
}

#[test]
fn peers_are_asked_at_an_interval_while_the_store_delivers_nothing() {
    let asked = requests_in_a_series(ConfigSource::Peer, 130);
    assert!((100..=150).contains(&asked), "{asked}");
    let mut requests = ConfigRequests::default();
    let mut is_due = |now_ms| {
        let source = Some(ConfigSource::Store);
        requests.is_due(Revision(4), source, Revision(5), now_ms * MS_US)
    };
    assert!(!is_due(1_000));
    assert!(!is_due(1_240));
    assert!(is_due(1_250));
    assert!(!is_due(1_440));
    assert!(is_due(1_450));
}

#[test]
fn a_daemon_without_a_configuration_asks_at_once() {
    let mut requests = ConfigRequests::default();
    assert!(requests.is_due(Revision(0), None, Revision(5), 0));
    assert!(!requests.is_due(Revision(5), None, Revision(5), 500 * MS_US));
}
