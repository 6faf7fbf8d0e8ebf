//! Routing inside and between data centres, on views formed by gossip.

mod fleet_net;

use {
    fleet_net::{Net, centre},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        config::Revision,
        fleet::{
            Evidence, FleetRules,
            message::{Body, Message},
            route::{Ask, CallEnd, Choice, Locality, RouteRules, Router},
            summary::Summary,
        },
        place::DataCentre,
        request::{Importance, Incarnation, Level, Rank},
    },
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

const SECOND_US: u64 = 1_000_000;

fn ask() -> Ask<'static> {
    Ask {
        service: "orders",
        rank: Rank::from_parts(Importance(1), 0),
        excluded: &[],
        time_left_us: SECOND_US,
        transfer_bytes: 1_000,
    }
}

/// Two data centres in one region and one in another, each with three workers of two services.
fn centres(seed: u64) -> Net {
    let mut net = Net::new(seed, FleetRules::default());
    for (data_centre, region) in [("wien", "ost"), ("graz", "ost"), ("salzburg", "west")] {
        for _ in 0..3 {
            net.add(data_centre, region, "orders");
            net.add(data_centre, region, "menus");
        }
    }
    net.run_until(60 * SECOND_US, |net| net.agrees() && all_know(net, 2))
        .expect("all offers are known");
    net
}

fn all_know(net: &Net, centres: usize) -> bool {
    net.live().all(|node| {
        let offers: Vec<_> = node.fleet.remote().offers("orders").collect();
        let whole = |offer: &&Summary| offer.workers.len() == 3;
        offers.len() == centres && offers.iter().all(whole)
    })
}

fn picks(net: &Net, at: usize, router: &mut Router, ask: &Ask<'_>) -> Vec<Choice> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let fleet = &net.nodes[at].fleet;
    (0..100)
        .filter_map(|_| router.pick(fleet, ask, net.now_us, &mut rng))
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
    let worker = net.nodes[at].fleet.me().worker.as_ref();
    worker.expect("a worker").incarnation
}

fn set_level(net: &mut Net, at: usize, level: Level) {
    let mut worker = net.nodes[at].fleet.me().worker.clone().expect("a worker");
    worker.level = level;
    net.nodes[at].fleet.set_worker(Some(worker));
}

fn drain(net: &mut Net, at: usize) {
    let mut worker = net.nodes[at].fleet.me().worker.clone().expect("a worker");
    worker.draining = true;
    net.nodes[at].fleet.set_worker(Some(worker));
}

#[test]
fn own_calls_decide_before_announced_load() {
    let net = centre(1, 4);
    let mut router = Router::new(RouteRules::default());
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut counts = BTreeMap::new();
    for _ in 0..400 {
        let choice = router.pick(&net.nodes[0].fleet, &ask(), net.now_us, &mut rng);
        let choice = choice.expect("a worker");
        router.started(choice.incarnation, net.now_us);
        *counts.entry(choice.incarnation).or_insert(0) += 1;
    }
    let spread = counts.values().max().zip(counts.values().min());
    let (most, least) = spread.expect("picks");
    assert!(counts.len() == 4 && most - least <= 8, "{counts:?}");
    router.finished(incarnation(&net, 0), 1_000, CallEnd::Answered, net.now_us);
    let records = router.records();
    assert_eq!(records[&incarnation(&net, 0)].latency_us, Some(1_000));
}

#[test]
fn the_drained_the_excluded_and_the_failed_get_nothing() {
    let mut net = centre(3, 5);
    drain(&mut net, 1);
    net.run(3 * SECOND_US);
    let excluded = [incarnation(&net, 2)];
    let ask = Ask {
        excluded: &excluded,
        ..ask()
    };
    let mut router = Router::new(RouteRules::default());
    let failed = incarnation(&net, 3);
    router.started(failed, net.now_us);
    router.finished(failed, 0, CallEnd::Failed, net.now_us);
    let chosen = picks(&net, 0, &mut router, &ask);
    let avoided = [incarnation(&net, 1), excluded[0], failed];
    assert_eq!(chosen.len(), 100);
    assert!(
        chosen
            .iter()
            .all(|choice| !avoided.contains(&choice.incarnation))
    );
}

#[test]
fn a_suspect_gets_work_only_if_nobody_else_is_left_and_a_dead_one_none() {
    let mut net = centre(4, 2);
    drain(&mut net, 0);
    let suspect = incarnation(&net, 1);
    let mut router = Router::new(RouteRules::default());
    let now_us = net.now_us;
    net.nodes[0]
        .fleet
        .evidence(suspect, Evidence::Unreachable, now_us);
    net.kill(1);
    net.run(2 * SECOND_US);
    let chosen = picks(&net, 0, &mut router, &ask());
    assert!(chosen.iter().all(|choice| choice.incarnation == suspect));
    assert_eq!(router.counters().doubtful, 100);
    net.run(10 * SECOND_US);
    assert!(picks(&net, 0, &mut router, &ask()).is_empty());
}

#[test]
fn calls_stay_home_while_a_worker_admits_them() {
    let net = centres(5);
    let mut router = Router::new(RouteRules::default());
    let chosen = picks(&net, 0, &mut router, &ask());
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::DataCentre, 100)])
    );
}

#[test]
fn calls_spill_to_the_region_then_to_the_world_within_the_cap() {
    let mut net = centres(6);
    for at in [0, 2, 4] {
        set_level(&mut net, at, Level(10));
    }
    net.run(3 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let chosen = picks(&net, 0, &mut router, &ask());
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::Region, 100)])
    );
    let important = Ask {
        rank: Rank::from_parts(Importance(0), 0),
        ..ask()
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
    let chosen = picks(&net, 0, &mut router, &ask());
    let spread = BTreeMap::from([(Locality::DataCentre, 50), (Locality::World, 50)]);
    assert_eq!(localities(&chosen), spread);
    assert_eq!(router.counters().over_cap, 50);
}

#[test]
fn a_short_deadline_keeps_a_call_at_home() {
    let mut net = centres(7);
    for at in [0, 2, 4] {
        set_level(&mut net, at, Level(10));
    }
    net.run(3 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let hasty = Ask {
        time_left_us: 3_000,
        ..ask()
    };
    let chosen = picks(&net, 0, &mut router, &hasty);
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::DataCentre, 100)])
    );
    assert!(router.counters().over_deadline > 0);
}

#[test]
fn without_own_workers_the_region_serves_and_the_dead_elsewhere_get_nothing() {
    let mut net = centres(8);
    for at in [0, 2, 4] {
        drain(&mut net, at);
    }
    net.kill(6);
    let dead = incarnation(&net, 6);
    net.run(15 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let chosen = picks(&net, 1, &mut router, &ask());
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::Region, 100)])
    );
    assert!(chosen.iter().all(|choice| choice.incarnation != dead));
}

#[test]
fn a_data_centre_that_is_cut_off_serves_itself_and_heals() {
    let mut net = centres(9);
    for node in &mut net.nodes[..6] {
        node.group = 1;
    }
    net.run(60 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let chosen = picks(&net, 0, &mut router, &ask());
    assert_eq!(
        localities(&chosen),
        BTreeMap::from([(Locality::DataCentre, 100)])
    );
    let in_force = net.nodes[0].fleet.in_force(net.now_us);
    assert!(in_force[&DataCentre(SmolStr::new("graz"))].is_cut_off);
    for node in &mut net.nodes {
        node.group = 0;
    }
    net.nodes[7].fleet.set_revision(Revision(3));
    let is_known = |net: &Net| {
        let in_force = net.nodes[0].fleet.in_force(net.now_us);
        let graz = &in_force[&DataCentre(SmolStr::new("graz"))];
        !graz.is_cut_off && graz.max == Revision(3) && graz.min == Revision(0)
    };
    assert!(net.run_until(30 * SECOND_US, is_known).is_some());
}

#[test]
fn a_stale_summary_changes_nothing_and_two_speakers_agree_in_the_end() {
    let mut net = centres(10);
    let held: Vec<_> = net.nodes[0]
        .fleet
        .remote()
        .offers("orders")
        .cloned()
        .collect();
    let graz = held.iter().find(|offer| offer.data_centre.0 == "graz");
    let graz = graz.expect("an offer of graz").clone();
    let me = net.nodes[6].fleet.me().clone();
    let mut message = Message {
        from: me.place.gossip_addr,
        generation: me.generation,
        data_centre: me.place.data_centre,
        region: me.place.region,
        body: Body::News,
        members: Vec::new(),
        lights: Vec::new(),
        beats: Vec::new(),
        summaries: Vec::new(),
        wants: Vec::new(),
        repair: false,
    };
    let mut wrong = graz.clone();
    wrong.workers.clear();
    message.summaries.push(wrong.clone());
    net.deliver(0, &message);
    assert!(
        net.nodes[0]
            .fleet
            .remote()
            .offers("orders")
            .any(|offer| *offer == graz)
    );
    wrong.version += 5;
    message.summaries = vec![wrong];
    net.deliver(0, &message);
    assert!(!all_know(&net, 2));
    assert!(
        net.run_until(60 * SECOND_US, |net| all_know(net, 2))
            .is_some()
    );
}
