//! Membership inside one data centre under loss, delay, pauses, cuts and restarts.

mod fleet_net;

use {
    fleet_net::{Net, ad, centre},
    shallotdeal::fleet::{FleetRules, member::Status},
};

const SECOND_US: u64 = 1_000_000;

#[test]
fn forty_daemons_find_each_other() {
    let net = centre(1, 40);
    assert!(net.agrees());
}
