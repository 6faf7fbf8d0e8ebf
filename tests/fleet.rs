//! Membership inside one data centre under loss, delay, pauses, cuts and restarts.

mod fleet_net;

use {
    fleet_net::{Net, ad, centre},
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, any, proptest},
        test_runner::RngSeed,
    },
    shallotdeal::{
        config::Revision,
        fleet::{
            Evidence, Fleet, FleetRules,
            member::{Light, Member, Status},
            message::{Body, Message},
            report::Event,
        },
        request::Incarnation,
    },
    std::collections::BTreeMap,
};

const SECOND_US: u64 = 1_000_000;

fn status_of(net: &Net, observer: usize, name: &str) -> Option<Status> {
    let member = net.nodes[observer].fleet.member(name);
    member.map(|member| member.status)
}

fn name_of(net: &Net, at: usize) -> String {
    net.nodes[at].fleet.me().place.name.to_string()
}

fn all_see(net: &Net, name: &str, is: impl Fn(&Member) -> bool) -> bool {
    net.live()
        .all(|node| node.fleet.member(name).is_some_and(&is))
}

fn from(net: &Net, at: usize) -> Message {
    let me = net.nodes[at].fleet.me();
    Message {
        from: me.place.gossip_addr,
        generation: me.generation,
        data_centre: me.place.data_centre.clone(),
        region: me.place.region.clone(),
        body: Body::News,
        members: Vec::new(),
        lights: Vec::new(),
        beats: Vec::new(),
        summaries: Vec::new(),
        wants: Vec::new(),
        repair: false,
    }
}

#[test]
fn a_fleet_forms_under_loss() {
    let mut net = Net::new(1, FleetRules::default());
    net.loss_percent = 20;
    for _ in 0..40 {
        net.add("wien", "ost", "orders");
    }
    assert!(net.run_until(60 * SECOND_US, Net::agrees).is_some());
}

#[test]
fn a_drain_is_known_everywhere_in_seconds() {
    let mut net = centre(2, 40);
    net.loss_percent = 10;
    for at in 0..10 {
        let mut worker = net.nodes[at].fleet.me().worker.clone().expect("a worker");
        worker.draining = true;
        net.nodes[at].fleet.set_worker(Some(worker));
        let name = name_of(&net, at);
        let known = net.run_until(3 * SECOND_US, |net| {
            all_see(net, &name, |member| !member.takes_work())
        });
        assert!(known.is_some(), "drain of {name}");
    }
}

#[test]
fn a_new_revision_is_known_everywhere() {
    let mut net = centre(3, 40);
    net.nodes[7].fleet.set_revision(Revision(5));
    net.nodes[7].fleet.set_revision(Revision(4));
    let name = name_of(&net, 7);
    let is_known = |net: &Net| all_see(net, &name, |member| member.revision == Revision(5));
    assert!(net.run_until(3 * SECOND_US, is_known).is_some());
    assert_eq!(net.nodes[0].fleet.lagging(Revision(5)).len(), 39);
}

#[test]
fn a_killed_daemon_is_suspected_then_dead_everywhere() {
    let mut net = centre(4, 40);
    net.kill(5);
    let name = name_of(&net, 5);
    let is_suspect = |net: &Net| all_see(net, &name, |member| member.status > Status::Alive);
    assert!(net.run_until(10 * SECOND_US, is_suspect).is_some());
    assert_ne!(status_of(&net, 0, &name), Some(Status::Dead));
    assert!(net.run_until(10 * SECOND_US, Net::agrees).is_some());
    assert_eq!(net.false_deaths(), 0);
}

#[test]
fn loss_alone_kills_nobody() {
    for seed in [5, 6, 7] {
        let mut net = centre(seed, 30);
        net.loss_percent = 10;
        net.run(200 * SECOND_US);
        assert_eq!(net.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn a_paused_daemon_blames_nobody_and_comes_back() {
    let mut net = centre(8, 30);
    let mut verdict = from(&net, 1);
    verdict.lights.push(Light {
        status: Status::Suspect,
        ..net.nodes[5].fleet.me().light()
    });
    net.deliver(3, &verdict);
    net.pause(3, 10 * SECOND_US);
    assert_eq!(status_of(&net, 3, &name_of(&net, 5)), Some(Status::Suspect));
    let name = name_of(&net, 3);
    let generation = net.nodes[3].fleet.me().generation;
    net.run(9 * SECOND_US);
    assert_eq!(status_of(&net, 0, &name), Some(Status::Dead));
    let events_before = net.nodes[3].events.len();
    net.run(15 * SECOND_US);
    assert!(net.agrees());
    assert_eq!(net.nodes[3].fleet.me().generation, generation);
    let blames =
        |(_, event): &(u64, Event)| matches!(event, Event::Suspected { .. } | Event::Died { .. });
    assert!(!net.nodes[3].events[events_before..].iter().any(blames));
}

#[test]
fn a_leaving_daemon_is_not_suspected() {
    let mut net = centre(9, 20);
    let mut out = Vec::new();
    let now_us = net.now_us;
    net.nodes[2].fleet.leave(now_us, &mut out);
    net.post(2, out);
    net.run(SECOND_US);
    net.kill(2);
    let name = name_of(&net, 2);
    let has_left = |net: &Net| all_see(net, &name, |member| member.status == Status::Left);
    assert!(net.run_until(6 * SECOND_US, has_left).is_some());
}

#[test]
fn halves_that_were_cut_off_merge_again() {
    let mut net = centre(10, 30);
    for at in 0..15 {
        net.nodes[at].group = 1;
    }
    net.run(60 * SECOND_US);
    for node in &net.nodes {
        assert_eq!(node.fleet.live_members(), 15);
    }
    for node in &mut net.nodes {
        node.group = 0;
    }
    assert!(net.run_until(60 * SECOND_US, Net::agrees).is_some());
}

#[test]
fn an_old_life_does_not_return() {
    let mut net = centre(11, 10);
    let old = net.nodes[4].fleet.me().clone();
    net.kill(4);
    net.run(SECOND_US);
    let port = old.place.gossip_addr.port();
    net.add_named(&old.place.name, port, "wien", "ost", "orders");
    assert!(net.run_until(20 * SECOND_US, Net::agrees).is_some());
    let new = net.nodes[10].fleet.me().generation;
    let mut stale = from(&net, 1);
    stale.members.push(Member {
        version: 900,
        body_version: 900,
        ..old.clone()
    });
    stale.lights.push(old.light());
    let is_new = |member: &Member| member.generation == new;
    for at in 0..3 {
        net.deliver(at, &stale);
        assert!(
            net.nodes[at]
                .fleet
                .member(&old.place.name)
                .is_some_and(is_new)
        );
    }
    net.run(SECOND_US);
    assert!(all_see(&net, &old.place.name, is_new));
}

#[test]
fn a_daemon_whose_clock_is_behind_takes_a_newer_generation() {
    let mut net = centre(12, 5);
    let mut ghost = net.nodes[4].fleet.me().clone();
    ghost.generation.0 += 1 << 40;
    let mut message = from(&net, 1);
    message.members.push(ghost.clone());
    net.deliver(4, &message);
    assert!(net.nodes[4].fleet.me().generation > ghost.generation);
    assert!(net.run_until(10 * SECOND_US, Net::agrees).is_some());
}

#[test]
fn a_second_suspicion_gives_the_whole_time_again() {
    let mut net = centre(13, 3);
    net.kill(1);
    net.kill(2);
    let suspect = net.nodes[1].fleet.me().light();
    let name = name_of(&net, 1);
    let tell = |net: &mut Net, version: u32| {
        let mut message = from(net, 2);
        message.lights.push(Light {
            version,
            status: Status::Suspect,
            ..suspect
        });
        net.deliver(0, &message);
    };
    tell(&mut net, suspect.version + 1);
    net.run(3 * SECOND_US);
    tell(&mut net, suspect.version + 2);
    net.run(3 * SECOND_US);
    assert_eq!(status_of(&net, 0, &name), Some(Status::Suspect));
    net.run(2 * SECOND_US);
    assert_eq!(status_of(&net, 0, &name), Some(Status::Dead));
}

#[test]
fn evidence_of_the_data_path_hurries_the_probe() {
    let mut net = centre(14, 40);
    net.kill(9);
    let incarnation = Incarnation(net.nodes[9].fleet.me().generation.0);
    let now_us = net.now_us;
    let fleet = &mut net.nodes[0].fleet;
    fleet.evidence(incarnation, Evidence::Unreachable, now_us);
    net.run(1_200_000);
    assert_eq!(status_of(&net, 0, &name_of(&net, 9)), Some(Status::Suspect));
}

fn records(members: &[Member]) -> Vec<Member> {
    let mut records = Vec::new();
    for member in members {
        for (version, status) in [
            (3, Status::Alive),
            (3, Status::Suspect),
            (4, Status::Alive),
            (4, Status::Dead),
            (5, Status::Suspect),
        ] {
            let mut record = member.clone();
            record.version = version;
            record.status = status;
            record.worker = Some(ad(u64::from(version), "orders"));
            record.body_version = version;
            records.push(record);
        }
    }
    records
}

fn view(fleet: &Fleet) -> BTreeMap<String, (u64, u64)> {
    let members = fleet.members();
    members
        .map(|member| {
            let key = (member.generation.0, member.order());
            (member.place.name.to_string(), key)
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_order_of_arrival_does_not_matter(order in vec(any::<usize>(), 40)) {
        let mut net = centre(16, 1);
        let mut others = centre(17, 3);
        others.nodes.remove(0);
        let members: Vec<_> = others.nodes.iter().map(|node| node.fleet.me().clone()).collect();
        let records = records(&members);
        let mut shuffled = records.clone();
        for (at, other) in order.iter().enumerate() {
            shuffled.swap(at % records.len(), other % records.len());
        }
        let mut message = from(&others, 0);
        message.members = shuffled;
        message.members.push(records[4].clone());
        message.members.push(records[9].clone());
        net.deliver(0, &message);
        let seen = view(&net.nodes[0].fleet);
        for member in &members {
            let name = member.place.name.to_string();
            assert_eq!(seen[&name], (member.generation.0, 5 << 2 | 1));
        }
    }

    #[test]
    fn garbage_is_refused_without_panic(
        garbage in vec(any::<u8>(), 0..600),
        flips in vec((any::<usize>(), any::<u8>()), 1..8),
    ) {
        let mut net = centre(18, 2);
        if let Ok(message) = Message::decode(&garbage) {
            net.deliver(0, &message);
        }
        let mut message = from(&net, 1);
        message.members.push(net.nodes[1].fleet.me().clone());
        let mut bytes = message.encode();
        for (at, flip) in flips {
            let at = at % bytes.len();
            bytes[at] ^= flip;
        }
        if let Ok(message) = Message::decode(&bytes) {
            net.deliver(0, &message);
            net.run(SECOND_US);
        }
    }
}
