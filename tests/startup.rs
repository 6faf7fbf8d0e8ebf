//! Decision when a started daemon is ready.

use shallotdeal::{config::Revision, mesh::startup::Startup};

const SECOND_US: u64 = 1_000_000;

fn is_settled(startup: &mut Startup, own: u64, newest: Option<u64>, now_us: u64) -> bool {
    startup.is_settled(Revision(own), newest.map(Revision), now_us)
}

#[test]
fn the_first_daemon_of_a_fleet_is_ready_after_its_listing() {
    let mut startup = Startup::default();
    assert!(!is_settled(&mut startup, 1, None, SECOND_US));
    startup.record_listing(false, SECOND_US);
    assert!(is_settled(&mut startup, 1, None, SECOND_US));
}

#[test]
fn a_listed_peer_is_awaited_for_a_limited_time() {
    let mut startup = Startup::default();
    startup.record_listing(true, SECOND_US);
    assert!(!is_settled(&mut startup, 1, None, SECOND_US));
    let mut contacted = startup;
    contacted.record_contact(SECOND_US + 20_000);
    assert!(is_settled(&mut contacted, 1, None, SECOND_US + 20_000));
    assert!(is_settled(&mut startup, 1, None, 2 * SECOND_US));
}

#[test]
fn a_newer_configuration_of_a_peer_is_awaited_for_a_limited_time() {
    let mut startup = Startup::default();
    startup.record_listing(true, SECOND_US);
    startup.record_contact(SECOND_US);
    assert!(!is_settled(&mut startup, 1, Some(2), SECOND_US));
    let mut updated = startup;
    assert!(is_settled(&mut updated, 2, Some(2), SECOND_US));
    assert!(is_settled(&mut startup, 1, Some(2), 3 * SECOND_US));
}

#[test]
fn a_daemon_without_the_store_is_ready_once_its_peers_have_filled_the_directory() {
    let mut startup = Startup::default();
    startup.record_contact(SECOND_US);
    assert!(!is_settled(&mut startup, 1, Some(1), SECOND_US));
    assert!(is_settled(&mut startup, 1, Some(1), 3 * SECOND_US));
}

#[test]
fn a_ready_daemon_stays_ready() {
    let mut startup = Startup::default();
    startup.record_listing(false, SECOND_US);
    assert!(is_settled(&mut startup, 1, None, SECOND_US));
    assert!(is_settled(&mut startup, 1, Some(2), SECOND_US));
}
