//! Routing within and between data centres, on fleet views formed by gossip.

mod fleet_net;

use {
    fleet_net::{Net, centre},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        config::Revision,
        fleet::{
            FleetRules, Reachability,
            message::{Body, Message},
            route::{CallOutcome, Choice, Locality, RouteQuery, RouteRules, Router},
            summary::Summary,
        },
        place::DataCentre,
        request::{Importance, Incarnation, Level, Rank},
    },
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

const SECOND_US: u64 = 1_000_000;

fn query() -> RouteQuery<'static> {
    RouteQuery {
        service: "orders",
        rank: Rank::from_parts(Importance(1), 0),
        excluded: &[],
        remaining_us: SECOND_US,
        transfer_bytes: 1_000,
    }
}

/// Creates two data centres in one region and one in another, each with three workers for each of
/// two services.
fn three_centres(seed: u64) -> Net {
    let mut net = Net::new(seed, FleetRules::default());
    for (data_centre, region) in [("wien", "ost"), ("graz", "ost"), ("salzburg", "west")] {
        for _ in 0..3 {
            net.add(data_centre, region, "orders");
            net.add(data_centre, region, "menus");
        }
    }
    net.run_until(60 * SECOND_US, |net| {
        net.views_agree() && all_have_summaries(net, 2)
    })
    .expect("all summaries reach all daemons");
    net
}

/// Returns whether every daemon has summaries with three workers from this many data centres.
fn all_have_summaries(net: &Net, centres: usize) -> bool {
    net.live().all(|node| {
        let summaries: Vec<_> = node.fleet.remote().summaries("orders").collect();
        let is_complete = |summary: &&Summary| summary.workers.len() == 3;
        summaries.len() == centres && summaries.iter().all(is_complete)
    })
}

/// Picks a worker 100 times from the view of one daemon.
fn picks(net: &Net, at: usize, router: &mut Router, query: &RouteQuery<'_>) -> Vec<Choice> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let fleet = &net.nodes[at].fleet;
    (0..100)
        .filter_map(|_| router.pick(fleet, query, net.now_us, &mut rng))
        .collect()
}

fn localities(choices: &[Choice]) -> BTreeMap<Locality, usize> {
    let mut counts = BTreeMap::new();
    for choice in choices {
        *counts.entry(choice.locality).or_default() += 1;
    }
    counts
}

fn incarnation(net: &Net, at: usize) -> Incarnation {
    let worker = net.nodes[at].fleet.local_member().worker.as_ref();
    worker.expect("a worker").incarnation
}

fn set_level(net: &mut Net, at: usize, level: Level) {
    let mut worker = net.nodes[at]
        .fleet
        .local_member()
        .worker
        .clone()
        .expect("a worker");
    worker.level = level;
    net.nodes[at].fleet.set_worker(Some(worker));
}

fn drain(net: &mut Net, at: usize) {
    let mut worker = net.nodes[at]
        .fleet
        .local_member()
        .worker
        .clone()
        .expect("a worker");
    worker.draining = true;
    net.nodes[at].fleet.set_worker(Some(worker));
}

#[test]
fn own_outstanding_calls_outweigh_announced_load() {
    let net = centre(1, 4);
    let mut router = Router::new(RouteRules::default());
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut counts = BTreeMap::new();
    for _ in 0..400 {
        let choice = router.pick(&net.nodes[0].fleet, &query(), net.now_us, &mut rng);
        let choice = choice.expect("a worker");
        router.record_start(choice.incarnation, net.now_us);
        *counts.entry(choice.incarnation).or_insert(0) += 1;
    }
    let spread = counts.values().max().zip(counts.values().min());
    let (most, least) = spread.expect("picks");
    assert!(counts.len() == 4 && most - least <= 8, "{counts:?}");
    router.record_end(
        incarnation(&net, 0),
        1_000,
        CallOutcome::Answered,
        net.now_us,
    );
    let records = router.records();
    assert_eq!(records[&incarnation(&net, 0)].latency_us, Some(1_000));
}

#[test]
fn draining_excluded_and_failed_workers_are_not_picked() {
    let mut net = centre(3, 5);
    drain(&mut net, 1);
    net.run(3 * SECOND_US);
    let excluded = [incarnation(&net, 2)];
    let query = RouteQuery {
        excluded: &excluded,
        ..query()
    };
    let mut router = Router::new(RouteRules::default());
    let failed = incarnation(&net, 3);
    router.record_start(failed, net.now_us);
    router.record_end(failed, 0, CallOutcome::Failed, net.now_us);
    let chosen = picks(&net, 0, &mut router, &query);
    let avoided = [incarnation(&net, 1), excluded[0], failed];
    assert_eq!(chosen.len(), 100);
    assert!(
        chosen
            .iter()
            .all(|choice| !avoided.contains(&choice.incarnation))
    );
}

#[test]
fn a_suspect_worker_is_picked_only_as_a_last_resort_and_a_dead_one_never() {
    let mut net = centre(4, 2);
    drain(&mut net, 0);
    let suspect = incarnation(&net, 1);
    let mut router = Router::new(RouteRules::default());
    let now_us = net.now_us;
    net.nodes[0]
        .fleet
        .record_reachability(suspect, Reachability::Unreachable, now_us);
    net.kill(1);
    net.run(2 * SECOND_US);
    let chosen = picks(&net, 0, &mut router, &query());
    assert!(chosen.iter().all(|choice| choice.incarnation == suspect));
    assert_eq!(router.counters().doubtful, 100);
    net.run(10 * SECOND_US);
    assert!(picks(&net, 0, &mut router, &query()).is_empty());
}

#[test]
fn calls_stay_in_the_local_data_centre_while_a_worker_admits_them() {
    let net = three_centres(5);
    let mut router = Router::new(RouteRules::default());
    let chosen = picks(&net, 0, &mut router, &query());
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::DataCentre, 100)])
    );
}

#[test]
fn calls_spill_to_the_local_region_then_to_other_regions_within_the_byte_limit() {
    let mut net = three_centres(6);
    for at in [0, 2, 4] {
        set_level(&mut net, at, Level(10));
    }
    net.run(3 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let chosen = picks(&net, 0, &mut router, &query());
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::Region, 100)])
    );
    let important = RouteQuery {
        rank: Rank::from_parts(Importance(0), 0),
        ..query()
    };
    let chosen = picks(&net, 0, &mut router, &important);
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::DataCentre, 100)])
    );

    for at in [6, 8, 10] {
        set_level(&mut net, at, Level(10));
    }
    net.run(10 * SECOND_US);
    let chosen = picks(&net, 0, &mut router, &query());
    let spread = BTreeMap::from([(Locality::DataCentre, 50), (Locality::World, 50)]);
    assert_eq!(localities(&chosen), spread);
    assert_eq!(router.counters().over_cap, 50);
}

#[test]
fn a_short_deadline_keeps_a_call_in_the_local_data_centre() {
    let mut net = three_centres(7);
    for at in [0, 2, 4] {
        set_level(&mut net, at, Level(10));
    }
    net.run(3 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let urgent = RouteQuery {
        remaining_us: 3_000,
        ..query()
    };
    let chosen = picks(&net, 0, &mut router, &urgent);
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::DataCentre, 100)])
    );
    assert!(router.counters().over_deadline > 0);
}

#[test]
fn without_local_workers_live_ones_of_the_local_region_are_picked() {
    let mut net = three_centres(8);
    for at in [0, 2, 4] {
        drain(&mut net, at);
    }
    net.kill(6);
    let dead = incarnation(&net, 6);
    net.run(15 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let chosen = picks(&net, 1, &mut router, &query());
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::Region, 100)])
    );
    assert!(chosen.iter().all(|choice| choice.incarnation != dead));
}

#[test]
fn a_partitioned_data_centre_routes_locally_and_recovers() {
    let mut net = three_centres(9);
    for node in &mut net.nodes[..6] {
        node.group = 1;
    }
    net.run(60 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let chosen = picks(&net, 0, &mut router, &query());
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::DataCentre, 100)])
    );
    let status = net.nodes[0].fleet.config_status(net.now_us);
    assert!(status[&DataCentre(SmolStr::new("graz"))].is_unreachable);
    for node in &mut net.nodes {
        node.group = 0;
    }
    net.nodes[7].fleet.set_revision(Revision(3));
    let is_known = |net: &Net| {
        let status = net.nodes[0].fleet.config_status(net.now_us);
        let graz = &status[&DataCentre(SmolStr::new("graz"))];
        !graz.is_unreachable && graz.max == Revision(3) && graz.min == Revision(0)
    };
    assert!(net.run_until(30 * SECOND_US, is_known).is_some());
}

#[test]
fn stale_summaries_are_ignored_and_conflicting_ones_converge() {
    let mut net = three_centres(10);
    let held: Vec<_> = net.nodes[0]
        .fleet
        .remote()
        .summaries("orders")
        .cloned()
        .collect();
    let graz = held.iter().find(|summary| summary.data_centre.0 == "graz");
    let graz = graz.expect("a summary from graz").clone();
    let me = net.nodes[6].fleet.local_member().clone();
    let mut message = Message {
        from: me.place.gossip_addr,
        generation: me.generation,
        data_centre: me.place.data_centre,
        region: me.place.region,
        body: Body::Gossip,
        members: Vec::new(),
        states: Vec::new(),
        heartbeats: Vec::new(),
        summaries: Vec::new(),
        requested_keys: Vec::new(),
        is_repair: false,
    };
    let mut wrong = graz.clone();
    wrong.workers.clear();
    message.summaries.push(wrong.clone());
    net.deliver(0, &message);
    assert!(
        net.nodes[0]
            .fleet
            .remote()
            .summaries("orders")
            .any(|summary| *summary == graz)
    );
    wrong.version += 5;
    message.summaries = vec![wrong];
    net.deliver(0, &message);
    assert!(!all_have_summaries(&net, 2));
    assert!(
        net.run_until(60 * SECOND_US, |net| all_have_summaries(net, 2))
            .is_some()
    );
}
