//! Order among classes at one ingress, across services.

use shallotdeal::{policy::floor::Floor, request::Importance};

const ORDER: Importance = Importance(0);
const ROSTER: Importance = Importance(1);
const READ: Importance = Importance(4);

#[test]
fn a_refused_order_keeps_reads_out_until_it_is_over() {
    let mut floor = Floor::default();
    assert!(floor.admits(READ, 0));
    floor.refused(ORDER, 1_000);
    assert!(floor.admits(ORDER, 1_000));
    assert!(!floor.admits(READ, 1_000));
    assert!(!floor.admits(ROSTER, 100_999));
    assert!(floor.admits(READ, 101_000));
}

#[test]
fn a_less_important_refusal_does_not_open_the_floor() {
    let mut floor = Floor::default();
    floor.refused(ORDER, 0);
    floor.refused(ROSTER, 50_000);
    assert!(!floor.admits(ROSTER, 99_999));
    floor.refused(ORDER, 60_000);
    assert!(!floor.admits(READ, 159_999));
    assert_eq!(floor.retry_after_ms(159_000), 2);
}
