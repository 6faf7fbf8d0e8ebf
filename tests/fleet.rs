//! Membership within one data centre under datagram loss, delay, pauses, partitions and restarts.

mod fleet_net;

use {
    fleet_net::{Net, advertised_worker, centre},
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, any, proptest},
        test_runner::RngSeed,
    },
    shallotdeal::{
        config::Revision,
        fleet::{
            Fleet, FleetRules, Reachability,
            member::{Member, MemberState, Status},
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
    net.nodes[at].fleet.local_member().place.name.to_string()
}

/// Returns whether the predicate holds for a member's record in every live daemon's view.
fn all_views(net: &Net, name: &str, predicate: impl Fn(&Member) -> bool) -> bool {
    net.live()
        .all(|node| node.fleet.member(name).is_some_and(&predicate))
}

/// Creates a message without records from a daemon.
fn message_from(net: &Net, at: usize) -> Message {
    let me = net.nodes[at].fleet.local_member();
    Message {
        from: me.place.gossip_addr,
        generation: me.generation,
        data_centre: me.place.data_centre.clone(),
        region: me.place.region.clone(),
        body: Body::Gossip,
        members: Vec::new(),
        states: Vec::new(),
        heartbeats: Vec::new(),
        summaries: Vec::new(),
        requested_keys: Vec::new(),
        is_repair: false,
    }
}

#[test]
fn daemons_discover_each_other_despite_datagram_loss() {
    let mut net = Net::new(1, FleetRules::default());
    net.loss_percent = 20;
    for _ in 0..40 {
        net.add("wien", "ost", "orders");
    }
    assert!(net.run_until(60 * SECOND_US, Net::views_agree).is_some());
}

#[test]
fn a_drain_reaches_all_members_within_seconds() {
    let mut net = centre(2, 40);
    net.loss_percent = 10;
    for at in 0..10 {
        let mut worker = net.nodes[at]
            .fleet
            .local_member()
            .worker
            .clone()
            .expect("a worker");
        worker.draining = true;
        net.nodes[at].fleet.set_worker(Some(worker));
        let name = name_of(&net, at);
        let known = net.run_until(3 * SECOND_US, |net| {
            all_views(net, &name, |member| !member.accepts_work())
        });
        assert!(known.is_some(), "drain of {name}");
    }
}

#[test]
fn a_new_revision_reaches_all_members() {
    let mut net = centre(3, 40);
    net.nodes[7].fleet.set_revision(Revision(5));
    net.nodes[7].fleet.set_revision(Revision(4));
    let name = name_of(&net, 7);
    let is_known = |net: &Net| all_views(net, &name, |member| member.revision == Revision(5));
    assert!(net.run_until(3 * SECOND_US, is_known).is_some());
    assert_eq!(net.nodes[0].fleet.lagging(Revision(5)).len(), 39);
}

#[test]
fn a_killed_daemon_becomes_suspect_then_dead_at_all_members() {
    let mut net = centre(4, 40);
    net.kill(5);
    let name = name_of(&net, 5);
    let is_suspect = |net: &Net| all_views(net, &name, |member| member.status > Status::Alive);
    assert!(net.run_until(10 * SECOND_US, is_suspect).is_some());
    assert_ne!(status_of(&net, 0, &name), Some(Status::Dead));
    assert!(net.run_until(10 * SECOND_US, Net::views_agree).is_some());
    assert_eq!(net.false_deaths(), 0);
}

#[test]
fn datagram_loss_alone_declares_no_member_dead() {
    for seed in [5, 6, 7] {
        let mut net = centre(seed, 30);
        net.loss_percent = 10;
        net.run(200 * SECOND_US);
        assert_eq!(net.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn a_paused_daemon_suspects_no_member_and_rejoins() {
    let mut net = centre(8, 30);
    let mut suspicion = message_from(&net, 1);
    suspicion.states.push(MemberState {
        status: Status::Suspect,
        ..net.nodes[5].fleet.local_member().state()
    });
    net.deliver(3, &suspicion);
    net.pause(3, 10 * SECOND_US);
    assert_eq!(status_of(&net, 3, &name_of(&net, 5)), Some(Status::Suspect));
    let name = name_of(&net, 3);
    let generation = net.nodes[3].fleet.local_member().generation;
    net.run(9 * SECOND_US);
    assert_eq!(status_of(&net, 0, &name), Some(Status::Dead));
    let events_before = net.nodes[3].events.len();
    net.run(15 * SECOND_US);
    assert!(net.views_agree());
    assert_eq!(net.nodes[3].fleet.local_member().generation, generation);
    let is_suspicion_or_death =
        |(_, event): &(u64, Event)| matches!(event, Event::Suspected { .. } | Event::Died { .. });
    assert!(
        !net.nodes[3].events[events_before..]
            .iter()
            .any(is_suspicion_or_death)
    );
}

#[test]
fn a_leaving_daemon_is_not_suspected() {
    let mut net = centre(9, 20);
    let mut out = Vec::new();
    let now_us = net.now_us;
    net.nodes[2].fleet.leave(now_us, &mut out);
    net.send_all(2, out);
    net.run(SECOND_US);
    net.kill(2);
    let name = name_of(&net, 2);
    let has_left = |net: &Net| all_views(net, &name, |member| member.status == Status::Left);
    assert!(net.run_until(6 * SECOND_US, has_left).is_some());
}

#[test]
fn partitioned_halves_merge_after_the_partition() {
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
    assert!(net.run_until(60 * SECOND_US, Net::views_agree).is_some());
}

#[test]
fn a_record_of_an_earlier_incarnation_is_ignored() {
    let mut net = centre(11, 10);
    let old = net.nodes[4].fleet.local_member().clone();
    net.kill(4);
    net.run(SECOND_US);
    let port = old.place.gossip_addr.port();
    net.add_named(&old.place.name, port, "wien", "ost", "orders");
    assert!(net.run_until(20 * SECOND_US, Net::views_agree).is_some());
    let new = net.nodes[10].fleet.local_member().generation;
    let mut stale = message_from(&net, 1);
    stale.members.push(Member {
        version: 900,
        body_version: 900,
        ..old.clone()
    });
    stale.states.push(old.state());
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
    assert!(all_views(&net, &old.place.name, is_new));
}

#[test]
fn a_daemon_raises_its_generation_above_that_of_an_earlier_incarnation() {
    let mut net = centre(12, 5);
    let mut future = net.nodes[4].fleet.local_member().clone();
    future.generation.0 += 1 << 40;
    let mut message = message_from(&net, 1);
    message.members.push(future.clone());
    net.deliver(4, &message);
    assert!(net.nodes[4].fleet.local_member().generation > future.generation);
    assert!(net.run_until(10 * SECOND_US, Net::views_agree).is_some());
}

#[test]
fn a_suspicion_of_a_later_version_restarts_the_timeout() {
    let mut net = centre(13, 3);
    net.kill(1);
    net.kill(2);
    let suspect = net.nodes[1].fleet.local_member().state();
    let name = name_of(&net, 1);
    let suspect_version = |net: &mut Net, version: u32| {
        let mut message = message_from(net, 2);
        message.states.push(MemberState {
            version,
            status: Status::Suspect,
            ..suspect
        });
        net.deliver(0, &message);
    };
    suspect_version(&mut net, suspect.version + 1);
    net.run(3 * SECOND_US);
    suspect_version(&mut net, suspect.version + 2);
    net.run(3 * SECOND_US);
    assert_eq!(status_of(&net, 0, &name), Some(Status::Suspect));
    net.run(2 * SECOND_US);
    assert_eq!(status_of(&net, 0, &name), Some(Status::Dead));
}

#[test]
fn a_failed_call_triggers_a_probe() {
    let mut net = centre(14, 40);
    net.kill(9);
    let incarnation = Incarnation(net.nodes[9].fleet.local_member().generation.0);
    let now_us = net.now_us;
    let fleet = &mut net.nodes[0].fleet;
    fleet.record_reachability(incarnation, Reachability::Unreachable, now_us);
    net.run(1_200_000);
    assert_eq!(status_of(&net, 0, &name_of(&net, 9)), Some(Status::Suspect));
}

/// Records of several versions and statuses for each member.
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
            record.worker = Some(advertised_worker(u64::from(version), "orders"));
            record.body_version = version;
            records.push(record);
        }
    }
    records
}

/// Generation and precedence of each member by name.
fn view(fleet: &Fleet) -> BTreeMap<String, (u64, u64)> {
    let members = fleet.members();
    members
        .map(|member| {
            let key = (member.generation.0, member.precedence());
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
    fn records_merge_alike_in_any_order_of_arrival(order in vec(any::<usize>(), 40)) {
        let mut net = centre(16, 1);
        let mut others = centre(17, 3);
        others.nodes.remove(0);
        let members: Vec<_> = others
            .nodes
            .iter()
            .map(|node| node.fleet.local_member().clone())
            .collect();
        let records = records(&members);
        let mut shuffled = records.clone();
        for (at, other) in order.iter().enumerate() {
            shuffled.swap(at % records.len(), other % records.len());
        }
        let mut message = message_from(&others, 0);
        message.members = shuffled;
        message.members.push(records[4].clone());
        message.members.push(records[9].clone());
        net.deliver(0, &message);
        let merged = view(&net.nodes[0].fleet);
        for member in &members {
            let name = member.place.name.to_string();
            assert_eq!(merged[&name], (member.generation.0, 5 << 2 | 1));
        }
    }

    #[test]
    fn malformed_datagrams_do_not_panic(
        garbage in vec(any::<u8>(), 0..600),
        flips in vec((any::<usize>(), any::<u8>()), 1..8),
    ) {
        let mut net = centre(18, 2);
        if let Ok(message) = Message::decode(&garbage) {
            net.deliver(0, &message);
        }
        let mut message = message_from(&net, 1);
        message.members.push(net.nodes[1].fleet.local_member().clone());
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
