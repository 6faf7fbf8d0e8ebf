//! Membership of all daemons of a deployment in one group, in virtual time.
//!
//! Load patterns: a fleet that starts together, a release that replaces many workers, a daemon that
//! is gone. What each daemon sends must not grow with the fleet.

mod fleet_net;

use {
    fleet_net::{Net, Node, advertised_worker, slope::measure},
    shallotdeal::{
        config::Revision,
        fleet::{
            FleetRules, Scope,
            member::{Member, Status},
        },
        mesh::{gossip, lag::LagTracker},
    },
    std::collections::BTreeSet,
};

const SECOND_US: u64 = 1_000_000;

/// Interval of the daemons' ticks.
const TICK_US: u64 = 50_000;

/// Bound on what one daemon may send for control, from the plan of the users' size.
const CONTROL_BYTES_PER_S: f64 = 28_000.0;

const CENTRES: [(&str, &str); 8] = [
    ("wien", "ost"),
    ("graz", "ost"),
    ("linz", "ost"),
    ("stpoelten", "ost"),
    ("innsbruck", "west"),
    ("salzburg", "west"),
    ("bregenz", "west"),
    ("dornbirn", "west"),
];

/// Daemons that start together; each knows those that have started before it from the store.
fn deployment(seed: u64, members: usize) -> Net {
    let (net, took_us) = forming_deployment(seed, members);
    took_us.expect("the fleet forms");
    net
}

/// Starts a deployment, and returns it with the time until all daemons know each other.
fn forming_deployment(seed: u64, members: usize) -> (Net, Option<u64>) {
    let mut net = Net::new(seed, gossip::rules());
    for index in 0..members {
        let (centre, region) = CENTRES[index % CENTRES.len()];
        let stored: Vec<_> = net
            .nodes
            .iter()
            .map(|node| node.fleet.local_member().clone())
            .collect();
        let index = net.add(centre, region, "orders");
        for member in stored {
            let now_us = net.now_us;
            net.nodes[index].fleet.merge_stored(&member, now_us);
        }
    }
    let took_us = net.run_until(60 * SECOND_US, everyone_knows_everyone);
    (net, took_us)
}

fn everyone_knows_everyone(net: &Net) -> bool {
    let running: BTreeSet<_> = net
        .live()
        .map(|node| node.fleet.local_member().generation)
        .collect();
    net.live().all(|node| {
        let members = node.fleet.members();
        let live = members.filter(|member| member.status.is_live());
        live.map(|member| member.generation)
            .collect::<BTreeSet<_>>()
            == running
    })
}

fn all_views(net: &Net, name: &str, predicate: impl Fn(&Member) -> bool) -> bool {
    net.live()
        .all(|node| node.fleet.member(name).is_some_and(&predicate))
}

fn name(net: &Net, index: usize) -> String {
    net.nodes[index].fleet.local_member().place.name.to_string()
}

#[test]
fn the_scope_of_the_platform_is_the_deployment() {
    assert_eq!(gossip::rules().scope, Scope::Deployment);
    assert_eq!(FleetRules::default().scope, Scope::DataCentre);
}

#[test]
fn daemons_that_start_together_all_know_each_other_within_thirty_seconds() {
    for members in [30, 100, 300] {
        for seed in 3..6 {
            let (_, took_us) = forming_deployment(seed, members);
            assert!(
                took_us.is_some_and(|took_us| took_us <= 30 * SECOND_US),
                "{members} members, seed {seed}: {took_us:?}"
            );
        }
    }
}

#[test]
fn a_draining_worker_is_known_everywhere_within_two_seconds() {
    for members in [30, 100, 300] {
        let mut net = deployment(3, members);
        net.run(20 * SECOND_US);
        let leaving = name(&net, 5);
        let generation = net.nodes[5].fleet.local_member().generation;
        let mut worker = advertised_worker(generation.0, "orders");
        worker.draining = true;
        net.nodes[5].fleet.set_worker(Some(worker));
        let drains = |member: &Member| member.worker.as_ref().is_some_and(|held| held.draining);
        let took_us = net.run_until(10 * SECOND_US, |net| all_views(net, &leaving, drains));
        assert!(
            took_us.is_some_and(|took_us| took_us <= 2 * SECOND_US),
            "{members} members: {took_us:?}"
        );
    }
}

#[test]
fn a_daemon_that_joins_is_known_everywhere_within_two_seconds() {
    for members in [30, 100, 300] {
        let mut net = deployment(4, members);
        net.run(20 * SECOND_US);
        let index = net.add("graz", "ost", "orders");
        let joining = name(&net, index);
        let took_us = net.run_until(10 * SECOND_US, |net| {
            all_views(net, &joining, |member| member.worker.is_some())
        });
        assert!(
            took_us.is_some_and(|took_us| took_us <= 2 * SECOND_US),
            "{members} members: {took_us:?}"
        );
    }
}

#[test]
fn a_daemon_that_is_gone_is_suspected_everywhere_within_four_seconds_and_removed_within_ten() {
    let mut net = deployment(5, 100);
    net.run(20 * SECOND_US);
    let gone = name(&net, 7);
    net.kill(7);
    let avoided = |member: &Member| member.status >= Status::Suspect;
    let took_us = net.run_until(10 * SECOND_US, |net| all_views(net, &gone, avoided));
    assert!(
        took_us.is_some_and(|took_us| took_us <= 4 * SECOND_US),
        "{took_us:?}"
    );
    let removed = |member: &Member| member.status == Status::Dead;
    let took_us = net.run_until(10 * SECOND_US, |net| all_views(net, &gone, removed));
    assert!(
        took_us.is_some_and(|took_us| took_us <= 6 * SECOND_US),
        "{took_us:?}"
    );
}

#[test]
fn what_a_daemon_sends_does_not_grow_with_the_fleet() {
    let slopes = [30, 300].map(|members| {
        let mut net = deployment(6, members);
        net.run(20 * SECOND_US);
        measure(&mut net, 10)
    });
    let [small, large] = slopes;
    assert!(
        large.max_sent_bytes_per_s < CONTROL_BYTES_PER_S,
        "{large:?}"
    );
    assert!(
        large.sent_bytes_per_s < 1.5 * small.sent_bytes_per_s,
        "{small:?} {large:?}"
    );
    assert!(
        large.messages_per_s < 1.5 * small.messages_per_s,
        "{small:?} {large:?}"
    );
}

/// Bound on what the membership sends between two regions, a twentieth of the 30 Mbit/s of the link.
const REGION_BYTES_PER_S: f64 = 30e6 / 8.0 / 20.0;

/// Load pattern: a calm fleet, and one in which ten workers a second change.
#[test]
fn what_crosses_regions_does_not_grow_with_the_fleet() {
    for members in [30, 300] {
        let mut net = deployment(12, members);
        net.run(20 * SECOND_US);
        for changes_per_s in [0, 10, 100] {
            net.nodes
                .iter_mut()
                .for_each(|node| node.cross_region_bytes = 0);
            for step in 0..100 {
                for change in 0..changes_per_s / 10 {
                    let node = &mut net.nodes[(step * 7 + change * 13) % members];
                    let incarnation = node.fleet.local_member().generation.0 + step as u64;
                    let worker = advertised_worker(incarnation, "orders");
                    node.fleet.set_worker(Some(worker));
                }
                net.run(SECOND_US / 10);
            }
            let bytes: u64 = net.nodes.iter().map(|node| node.cross_region_bytes).sum();
            let each_way_per_s = bytes as f64 / 2.0 / 10.0;
            assert!(
                each_way_per_s < REGION_BYTES_PER_S,
                "{members} members, {changes_per_s} changes a second: {each_way_per_s} bytes a second"
            );
        }
    }
}

/// Load pattern: all daemons start at the same moment, and each has all records to pass on.
#[test]
fn a_start_of_all_daemons_stays_within_the_budget_between_regions() {
    for members in [30, 300] {
        let (mut net, took_us) = forming_deployment(12, members);
        let started_us = net.now_us - took_us.expect("the fleet forms");
        net.run(10 * SECOND_US);
        let bytes: u64 = net.nodes.iter().map(|node| node.cross_region_bytes).sum();
        let elapsed_s = (net.now_us - started_us) as f64 / 1e6;
        let each_way_per_s = bytes as f64 / 2.0 / elapsed_s;
        assert!(
            each_way_per_s < REGION_BYTES_PER_S,
            "{members} members: {each_way_per_s} bytes a second"
        );
    }
}

#[test]
fn a_release_of_half_of_the_workers_stays_within_the_bound() {
    let mut net = deployment(8, 100);
    net.run(20 * SECOND_US);
    net.nodes.iter_mut().for_each(|node| node.sent_bytes = 0);
    for index in 0..50 {
        let generation = net.nodes[index].fleet.local_member().generation;
        let mut worker = advertised_worker(generation.0, "orders");
        worker.draining = true;
        net.nodes[index].fleet.set_worker(Some(worker));
        net.run(SECOND_US / 10);
        let replacement = advertised_worker(generation.0 + 1, "orders");
        net.nodes[index].fleet.set_worker(Some(replacement));
        net.run(SECOND_US / 10);
    }
    let most = net.nodes.iter().map(|node: &Node| node.sent_bytes).max();
    let per_s = most.unwrap_or(0) as f64 / 10.0;
    assert!(per_s < CONTROL_BYTES_PER_S, "{per_s} bytes a second");
}

#[test]
fn a_new_configuration_is_reported_without_an_update_of_each_member() {
    let mut net = deployment(9, 100);
    net.run(20 * SECOND_US);
    let before: Vec<_> = net
        .nodes
        .iter()
        .map(|node| node.fleet.local_member().version)
        .collect();
    for node in &mut net.nodes[1..] {
        node.fleet.set_revision(Revision(7));
    }
    let knows = |net: &Net| {
        let newest = net.nodes[0].fleet.newest_config();
        newest.is_some_and(|newest| newest.revision == Revision(7))
    };
    let took_us = net.run_until(5 * SECOND_US, knows);
    assert!(
        took_us.is_some_and(|took_us| took_us <= SECOND_US),
        "{took_us:?}"
    );
    let after = net
        .nodes
        .iter()
        .map(|node| node.fleet.local_member().version);
    assert!(after.eq(before));
}

/// Time within which a change must be in force on the smallest deployments.
const PROPAGATION_US: u64 = 2 * SECOND_US;

/// Interval at which a daemon compares its configuration with those that its peers have reported.
const CHECK_US: u64 = SECOND_US / 4;

/// Time from the finding that a daemon is behind until the read of the newest version has ended.
const READ_US: u64 = 300_000;

/// Time until a change that only some daemons have received from the store is in force at all others;
/// `None` if that takes more than ten seconds. Each daemon compares and reads as [`gossip`] does.
fn spread_change(net: &mut Net, has_received: impl Fn(usize, &Node) -> bool) -> Option<u64> {
    let changed = Revision(net.nodes[0].fleet.local_member().revision.0 + 1);
    for (index, node) in net.nodes.iter_mut().enumerate() {
        if has_received(index, node) {
            node.fleet.set_revision(changed);
        }
    }
    let start_us = net.now_us;
    let mut trackers = vec![LagTracker::default(); net.nodes.len()];
    let mut reads = vec![None; net.nodes.len()];
    while net.now_us - start_us <= 10 * SECOND_US {
        let is_current = |node: &Node| node.fleet.local_member().revision == changed;
        if net.live().all(is_current) {
            return Some(net.now_us - start_us);
        }
        net.run(TICK_US);
        let now_us = net.now_us;
        for (index, node) in net.nodes.iter_mut().enumerate() {
            if reads[index].is_some_and(|end_us| end_us <= now_us) {
                node.fleet.set_revision(changed);
            }
            // The daemons compare at different moments.
            if !(now_us + index as u64 * TICK_US).is_multiple_of(CHECK_US) {
                continue;
            }
            let newest = node.fleet.newest_config().map(|newest| newest.revision);
            let in_force = node.fleet.local_member().revision;
            let is_stalled = trackers[index].is_stalled(in_force, newest);
            if is_stalled && reads[index].is_none() {
                reads[index] = Some(now_us + READ_US);
            }
        }
    }
    None
}

// Guards against a change that the calls of many daemons to the store have missed, and of which they
// hear from their peers only after the time within which it must be in force.
#[test]
fn a_change_that_many_daemons_have_missed_is_in_force_in_time() {
    for members in [14, 73, 300] {
        let mut net = deployment(14, members);
        net.run(10 * SECOND_US);
        net.now_us = net.now_us.next_multiple_of(TICK_US);
        net.loss_percent = 3;
        let mut check = |case: &str, has_received: &dyn Fn(usize, &Node) -> bool| {
            let took_us = spread_change(&mut net, has_received);
            assert!(
                took_us.is_some_and(|took_us| took_us <= PROPAGATION_US),
                "{members} members, {case}: {took_us:?}"
            );
        };
        for _ in 0..3 {
            check("the other region", &|_, node| {
                node.fleet.local_member().place.region.0 == "ost"
            });
            check("a data centre", &|_, node| {
                node.fleet.data_centre().0 != "salzburg"
            });
            check("half", &|index, _| index % 2 == 0);
            check("all but one", &|index, _| index == 1);
        }
    }
}

/// Load pattern: a change that all daemons receive from the store at about the same time.
#[test]
fn a_change_that_all_have_received_costs_each_daemon_two_datagrams_at_most() {
    for members in [14, 300] {
        let mut net = deployment(15, members);
        net.run(20 * SECOND_US);
        let sent = |net: &Net| net.nodes.iter().map(|node| node.sent_messages).sum::<u64>();
        let mut sent_in = |change: Option<Revision>| {
            let before = sent(&net);
            for round in 0..5 {
                for node in &mut net.nodes {
                    if let Some(change) = change {
                        node.fleet.set_revision(Revision(change.0 + round));
                    }
                }
                net.run(SECOND_US);
            }
            (sent(&net) - before) as f64 / 5.0
        };
        let calm = sent_in(None);
        let added = sent_in(Some(Revision(1))) - calm;
        assert!(
            added <= 2.0 * members as f64,
            "{members} members: {added} datagrams for each change"
        );
    }
}

#[test]
fn a_stored_record_replaces_only_older_ones() {
    let mut net = deployment(10, 8);
    let mut stored = net.nodes[1].fleet.local_member().clone();
    let drained = net.nodes[1].fleet.local_member().worker.clone();
    let mut drained = drained.unwrap();
    drained.draining = true;
    net.nodes[1].fleet.set_worker(Some(drained));
    let name = name(&net, 1);
    let drains = |member: &Member| member.worker.as_ref().is_some_and(|held| held.draining);
    net.run_until(10 * SECOND_US, |net| all_views(net, &name, drains))
        .expect("the drain is known");
    let now_us = net.now_us;
    let observer = &mut net.nodes[0].fleet;
    observer.merge_stored(&stored, now_us);
    assert!(drains(observer.member(&name).unwrap()));
    // The record of a later incarnation replaces it.
    stored.generation.0 += 1;
    observer.merge_stored(&stored, now_us);
    assert!(!drains(observer.member(&name).unwrap()));
}
