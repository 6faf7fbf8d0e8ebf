//! Priority of more important classes at one ingress, across services.

use shallotdeal::{policy::floor::ImportanceFloor, request::Importance};

const ORDER: Importance = Importance(0);
const ROSTER: Importance = Importance(1);
const READ: Importance = Importance(4);

#[test]
fn refusal_also_refuses_less_important_requests_for_the_hold_time() {
    let mut floor = ImportanceFloor::default();
    assert!(floor.admits(READ, 0));
    floor.record_refusal(ORDER, 1_000);
    assert!(floor.admits(ORDER, 1_000));
    assert!(!floor.admits(READ, 1_000));
    assert!(!floor.admits(ROSTER, 100_999));
    assert!(floor.admits(READ, 101_000));
}

#[test]
fn less_important_refusal_does_not_replace_the_floor() {
    let mut floor = ImportanceFloor::default();
    floor.record_refusal(ORDER, 0);
    floor.record_refusal(ROSTER, 50_000);
    assert!(!floor.admits(ROSTER, 99_999));
    floor.record_refusal(ORDER, 60_000);
    assert!(!floor.admits(READ, 159_999));
    assert_eq!(floor.retry_after_ms(159_000), 2);
}
