//! Prints the cost and the propagation times of membership in virtual time.
//!
//! Arguments: which measurement to run (`cost`, `times`, `loss`, `summaries`, `picks` or `centres`;
//! default all), and for `centres` the members of each data centre (default 16).

#[path = "../tests/fleet_net/mod.rs"]
mod fleet_net;

use {
    fleet_net::{
        Net, advertised_worker, centre,
        slope::{Slope, fleet_slope, measure},
    },
    rand::Rng,
    shallotdeal::{
        fleet::{
            FleetRules,
            member::{Generation, Status},
            message::{Body, Message},
            route::{RouteQuery, RouteRules, Router},
            summary::Summary,
        },
        place::Region,
        request::{Importance, Rank},
    },
    smol_str::{SmolStr, format_smolstr},
    std::{net::SocketAddr, time::Instant},
};

const SECOND_US: u64 = 1_000_000;
const TRIALS: usize = 15;
const PICKS: u32 = 200_000;
const SERVICES: usize = 160;
/// Data centres and their regions.
const CENTRES: [(&str, &str); 10] = [
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("b3", "b"),
    ("c1", "c"),
    ("c2", "c"),
    ("d1", "d"),
    ("d2", "d"),
];

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let only = args.get(1).map(String::as_str);
    if only.is_none_or(|only| only == "cost") {
        for members in [10, 50, 150] {
            print_cost(&fleet_slope(members));
        }
    }
    if only.is_none_or(|only| only == "times") {
        for members in [10, 40, 150] {
            print_times(members);
        }
    }
    if only.is_none_or(|only| only == "loss") {
        for loss_percent in [0, 5, 10, 20, 30, 40] {
            print_loss(loss_percent);
        }
    }
    if only.is_none_or(|only| only == "summaries") {
        print_summaries();
    }
    if only.is_none_or(|only| only == "picks") {
        for services in [1, 10, 50] {
            print_picks(services);
        }
    }
    if only.is_none_or(|only| only == "centres") {
        let members = args.get(2).and_then(|members| members.parse().ok());
        print_centres(members.unwrap_or(16));
    }
}

fn print_cost(slope: &Slope) {
    println!(
        "members {:4}  sent {:7.0} B/s (most {:7.0})  received {:7.0} B/s  {:5.1} msg/s  between {:6.0} B/s  cpu {:6.0} us/s  dump {} B",
        slope.members,
        slope.sent_bytes_per_s,
        slope.max_sent_bytes_per_s,
        slope.received_bytes_per_s,
        slope.messages_per_s,
        slope.cross_centre_bytes_per_s,
        slope.cpu_us_per_s,
        slope.state_bytes,
    );
}

/// Prints the times until joins, drains and deaths are known at all members.
fn print_times(members: usize) {
    let mut joins = Vec::new();
    let mut drains = Vec::new();
    let mut suspicions = Vec::new();
    let mut deaths = Vec::new();
    let mut net = centre(3, members);
    for trial in 0..TRIALS {
        net.run(10 * SECOND_US);
        let joined = net.add("wien", "ost", "orders");
        joins.extend(net.run_until(60 * SECOND_US, |net| {
            all_views(net, joined, |status, _| status.is_live())
        }));
        net.run(10 * SECOND_US);
        let at = joined;
        let mut draining = net.nodes[at]
            .fleet
            .local_member()
            .worker
            .clone()
            .unwrap_or_else(|| advertised_worker(1, "x"));
        draining.draining = true;
        net.nodes[at].fleet.set_worker(Some(draining));
        drains.extend(net.run_until(60 * SECOND_US, |net| {
            all_views(net, at, |_, draining| draining)
        }));
        let dead = trial % members;
        if !net.nodes[dead].is_up {
            continue;
        }
        let pause_us = 5 * SECOND_US + net.rng.next_u64() % SECOND_US;
        net.run(pause_us);
        net.kill(dead);
        let start_us = net.now_us;
        suspicions.extend(net.run_until(60 * SECOND_US, |net| {
            all_views(net, dead, |status, _| status != Status::Alive)
        }));
        if net
            .run_until(60 * SECOND_US, |net| {
                all_views(net, dead, |status, _| !status.is_live())
            })
            .is_some()
        {
            deaths.push(net.now_us - start_us);
        }
    }
    println!("members {members}: false deaths {}", net.false_deaths());
    for (name, times) in [
        ("join", joins),
        ("drain", drains),
        ("suspected everywhere", suspicions),
        ("dead everywhere", deaths),
    ] {
        print_times_of(name, times);
    }
}

fn print_times_of(name: &str, mut times: Vec<u64>) {
    times.sort_unstable();
    let (Some(worst), Some(median)) = (times.last(), times.get(times.len() / 2)) else {
        return;
    };
    println!(
        "  {name}: median {} ms, worst {} ms of {}",
        median / 1_000,
        worst / 1_000,
        times.len()
    );
}

/// Returns whether the predicate holds for the status and drain state of a member in all views.
fn all_views(net: &Net, at: usize, predicate: impl Fn(Status, bool) -> bool) -> bool {
    let name = &net.nodes[at].fleet.local_member().place.name;
    net.live().all(|node| {
        let member = node.fleet.member(name);
        member.is_some_and(|member| {
            let draining = member.worker.as_ref().is_some_and(|worker| worker.draining);
            predicate(member.status, draining)
        })
    })
}

/// Prints wrong suspicions and deaths in five minutes of datagram loss.
fn print_loss(loss_percent: u64) {
    let mut net = centre(5, 50);
    net.loss_percent = loss_percent;
    net.run(300 * SECOND_US);
    let refutations: u64 = net
        .nodes
        .iter()
        .map(|node| node.fleet.counters().refutations)
        .sum();
    println!(
        "loss {loss_percent} %: 50 members, 300 s: {refutations} refutations, {} deaths seen",
        net.false_deaths()
    );
}

/// Prints the cost and the propagation times of ten data centres in four regions with 160 services.
fn print_centres(members: usize) {
    let mut net = Net::new(11, FleetRules::default());
    let mut number = 0;
    for (data_centre, region) in CENTRES {
        for _ in 0..members {
            let service = format_smolstr!("service-{}", number % SERVICES);
            net.add(data_centre, region, &service);
            number += 1;
        }
    }
    let known = net.run_until(600 * SECOND_US, |net| {
        let summaries = members.min(SERVICES) * (CENTRES.len() - 1);
        net.views_agree()
            && net
                .live()
                .all(|node| node.fleet.remote().all_summaries().len() == summaries)
    });
    println!(
        "10 centres of {members}: {known:?} us from cold start until all daemons know all summaries"
    );
    net.run(30 * SECOND_US);
    print_cost(&measure(&mut net, 20));
    let sent = net.nodes[..members]
        .iter()
        .map(|node| node.cross_centre_bytes);
    println!(
        "  from one data centre to the nine others: {} B/s",
        sent.sum::<u64>() / 20
    );
    print_remote_times(&mut net, members);
    print_joiner(&mut net, members);
}

/// Prints how long a daemon that joins late takes to receive all summaries, and what it sends.
fn print_joiner(net: &mut Net, members: usize) {
    let (data_centre, region) = CENTRES[0];
    let joiner = net.add(data_centre, region, "service-0");
    let summaries = members.min(SERVICES) * (CENTRES.len() - 1);
    let known = net.run_until(300 * SECOND_US, |net| {
        net.nodes[joiner].fleet.remote().all_summaries().len() >= summaries
    });
    let known_ms = known.map(|us| us / 1_000);
    let sent = net.nodes[joiner].sent_bytes;
    println!("a joining daemon knows all summaries after {known_ms:?} ms, having sent {sent} B");
    net.run(30 * SECOND_US);
    let more = net.nodes[joiner].sent_bytes - sent;
    println!("  and sends {more} B in the 30 s after that");
}

/// Prints the time of one pick among three workers, in a fleet of this many services.
fn print_picks(services: usize) {
    let mut net = Net::new(17, FleetRules::default());
    for number in 0..services * 3 {
        net.add("a1", "a", &format_smolstr!("service-{}", number % services));
    }
    net.run(20 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let query = RouteQuery {
        service: "service-0",
        rank: Rank::from_parts(Importance(1), 0),
        excluded: &[],
        remaining_us: SECOND_US,
        transfer_bytes: 1_000,
    };
    let start = Instant::now();
    for _ in 0..PICKS {
        let choice = router.pick(&net.nodes[0].fleet, &query, net.now_us, &mut net.rng);
        assert!(choice.is_some());
    }
    let ns = start.elapsed().as_nanos() / u128::from(PICKS);
    println!("{services} services: {ns} ns a pick");
}

/// Prints the times until a drain in the first data centre is known in all others.
fn print_remote_times(net: &mut Net, members: usize) {
    let mut times = Vec::new();
    for at in 0..members.min(TRIALS) {
        net.run(2 * SECOND_US);
        let mut worker = net.nodes[at]
            .fleet
            .local_member()
            .worker
            .clone()
            .unwrap_or_else(|| advertised_worker(1, "x"));
        worker.draining = true;
        let (service, incarnation) = (worker.service.clone(), worker.incarnation);
        net.nodes[at].fleet.set_worker(Some(worker));
        times.extend(net.run_until(60 * SECOND_US, |net| {
            net.nodes[members..].iter().all(|node| {
                let mut summaries = node.fleet.remote().summaries(&service);
                summaries.all(|summary| {
                    summary
                        .workers
                        .iter()
                        .all(|worker| worker.incarnation != incarnation)
                })
            })
        }));
    }
    print_times_of("drain known in the nine others", times);
}

/// Prints the bytes from a data centre of 150 members to another one, compared with the size of the
/// whole table of summaries.
fn print_summaries() {
    for changing in [false, true] {
        let mut net = Net::new(13, FleetRules::default());
        for number in 0..150 {
            net.add("a1", "a", &format_smolstr!("service-{number}"));
        }
        for _ in 0..3 {
            net.add("b1", "b", "service-0");
        }
        net.run(120 * SECOND_US);
        if changing {
            measure(&mut net, 20);
        }
        let before: u64 = net.nodes[..150]
            .iter()
            .map(|node| node.cross_centre_bytes)
            .sum();
        if changing {
            measure(&mut net, 60);
        } else {
            net.run(60 * SECOND_US);
        }
        let after: u64 = net.nodes[..150]
            .iter()
            .map(|node| node.cross_centre_bytes)
            .sum();
        let bytes = if changing { after } else { after - before };
        let table_bytes: usize = net.nodes[151]
            .fleet
            .remote()
            .all_summaries()
            .values()
            .map(encoded_bytes)
            .sum();
        println!(
            "150 services, changing {changing}: changes only {} B/s; whole table {table_bytes} B",
            bytes / 60
        );
    }
}

/// Returns the encoded size of one summary in a datagram of its own, without the datagram's header.
fn encoded_bytes(summary: &Summary) -> usize {
    let me = SocketAddr::from(([10, 0, 0, 1], 1));
    let mut message = Message {
        from: me,
        generation: Generation(1),
        data_centre: summary.data_centre.clone(),
        region: Region(SmolStr::new("a")),
        body: Body::Gossip,
        members: Vec::new(),
        states: Vec::new(),
        heartbeats: Vec::new(),
        summaries: Vec::new(),
        requested_keys: Vec::new(),
        is_repair: false,
    };
    let empty = message.encode().len();
    message.summaries.push(summary.clone());
    message.encode().len() - empty
}
