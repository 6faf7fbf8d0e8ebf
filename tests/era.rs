//! Comparison of the eras that the store states in its answers.

use shallotdeal::mesh::era::{Era, EraCheck, EraTracker};

#[test]
fn a_rise_is_reported_once() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.check(Some("3")), EraCheck::Current);
    assert_eq!(tracker.check(Some("3")), EraCheck::Current);
    let risen = EraCheck::Risen {
        from: Era(3),
        to: Era(5),
    };
    assert_eq!(tracker.check(Some("5")), risen);
    assert_eq!(tracker.check(Some("5")), EraCheck::Current);
    assert_eq!(tracker.newest(), Some(Era(5)));
}

#[test]
fn an_answer_of_an_earlier_era_is_outdated() {
    let mut tracker = EraTracker::default();
    tracker.check(Some("5"));
    let outdated = EraCheck::Outdated {
        newest: Era(5),
        found: Era(4),
    };
    assert_eq!(tracker.check(Some("4")), outdated);
    assert_eq!(tracker.newest(), Some(Era(5)));
}

#[test]
fn a_store_without_eras_is_current() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.check(None), EraCheck::Current);
    assert_eq!(tracker.check(Some("1")), EraCheck::Current);
}

#[test]
fn an_absent_or_malformed_era_changes_nothing() {
    let mut tracker = EraTracker::default();
    for text in ["", "-1", "2.5", "x", "99999999999999999999999"] {
        let unreadable = EraCheck::Unreadable {
            newest: None,
            found: Some(text.into()),
        };
        assert_eq!(tracker.check(Some(text)), unreadable);
    }
    tracker.check(Some(" 2 "));
    let absent = EraCheck::Unreadable {
        newest: Some(Era(2)),
        found: None,
    };
    assert_eq!(tracker.check(None), absent);
    assert_eq!(tracker.newest(), Some(Era(2)));
}
