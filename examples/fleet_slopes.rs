//! Prints what membership costs and how fast it is, in virtual time.

#[path = "../tests/fleet_net/mod.rs"]
mod fleet_net;

use {
    fleet_net::{
        Net, ad, centre,
        slope::{Slope, fleet_slope, measure},
    },
    rand::Rng,
    shallotdeal::{
        fleet::{
            FleetRules,
            member::{Generation, Status},
            message::{Body, Message},
            route::{Ask, RouteRules, Router},
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
            print(&fleet_slope(members));
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

fn print(slope: &Slope) {
    println!(
        "members {:4}  sent {:7.0} B/s (most {:7.0})  received {:7.0} B/s  {:5.1} msg/s  between {:6.0} B/s  cpu {:6.0} us/s  dump {} B",
        slope.members,
        slope.sent_bytes_per_s,
        slope.most_sent_bytes_per_s,
        slope.received_bytes_per_s,
        slope.messages_per_s,
        slope.between_bytes_per_s,
        slope.cpu_us_per_s,
        slope.state_bytes,
    );
}

fn print_times(members: usize) {
    let mut joins = Vec::new();
    let mut drains = Vec::new();
    let mut no_work = Vec::new();
    let mut deaths = Vec::new();
    let mut net = centre(3, members);
    for trial in 0..TRIALS {
        net.run(10 * SECOND_US);
        let joined = net.add("wien", "ost", "orders");
        joins.extend(net.run_until(60 * SECOND_US, |net| {
            knows(net, joined, |status, _| status.is_live())
        }));
        net.run(10 * SECOND_US);
        let at = joined;
        let mut draining = net.nodes[at]
            .fleet
            .me()
            .worker
            .clone()
            .unwrap_or_else(|| ad(1, "x"));
        draining.draining = true;
        net.nodes[at].fleet.set_worker(Some(draining));
        drains.extend(net.run_until(60 * SECOND_US, |net| knows(net, at, |_, draining| draining)));
        let dead = trial % members;
        if !net.nodes[dead].up {
            continue;
        }
        let pause_us = 5 * SECOND_US + net.rng.next_u64() % SECOND_US;
        net.run(pause_us);
        net.kill(dead);
        let start_us = net.now_us;
        no_work.extend(net.run_until(60 * SECOND_US, |net| {
            knows(net, dead, |status, _| status != Status::Alive)
        }));
        if net
            .run_until(60 * SECOND_US, |net| {
                knows(net, dead, |status, _| !status.is_live())
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
        ("suspected everywhere", no_work),
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

fn knows(net: &Net, at: usize, is: impl Fn(Status, bool) -> bool) -> bool {
    let name = &net.nodes[at].fleet.me().place.name;
    net.live().all(|node| {
        let member = node.fleet.member(name);
        member.is_some_and(|member| {
            let draining = member.worker.as_ref().is_some_and(|ad| ad.draining);
            is(member.status, draining)
        })
    })
}

fn print_loss(loss_percent: u64) {
    let mut net = centre(5, 50);
    net.loss_percent = loss_percent;
    net.run(300 * SECOND_US);
    let suspicions: u64 = net
        .nodes
        .iter()
        .map(|node| node.fleet.counters().refutations)
        .sum();
    println!(
        "loss {loss_percent} %: 50 members, 300 s: {suspicions} refutations, {} deaths seen",
        net.false_deaths()
    );
}

/// Ten data centres in four regions with 160 services.
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
        let offers = members.min(SERVICES) * (CENTRES.len() - 1);
        net.agrees()
            && net
                .live()
                .all(|node| node.fleet.remote().all_offers().len() == offers)
    });
    println!("10 centres of {members}: cold start to all offers known everywhere {known:?} us");
    net.run(30 * SECOND_US);
    print(&measure(&mut net, 20));
    let sent = net.nodes[..members].iter().map(|node| node.between_bytes);
    println!(
        "  from one data centre to the nine others: {} B/s",
        sent.sum::<u64>() / 20
    );
    print_remote_times(&mut net, members);
    print_joiner(&mut net, members);
}

/// What one daemon that joins late sends until it knows all offers.
fn print_joiner(net: &mut Net, members: usize) {
    let (data_centre, region) = CENTRES[0];
    let joiner = net.add(data_centre, region, "service-0");
    let offers = members.min(SERVICES) * (CENTRES.len() - 1);
    let known = net.run_until(300 * SECOND_US, |net| {
        net.nodes[joiner].fleet.remote().all_offers().len() >= offers
    });
    let known_ms = known.map(|us| us / 1_000);
    let sent = net.nodes[joiner].sent_bytes;
    println!("a joiner knows all offers after {known_ms:?} ms, having sent {sent} B");
    net.run(30 * SECOND_US);
    let more = net.nodes[joiner].sent_bytes - sent;
    println!("  and sends {more} B in the 30 s after that");
}

/// Time of one pick among three workers, in a fleet of this many services.
fn print_picks(services: usize) {
    let mut net = Net::new(17, FleetRules::default());
    for number in 0..services * 3 {
        net.add("a1", "a", &format_smolstr!("service-{}", number % services));
    }
    net.run(20 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let ask = Ask {
        service: "service-0",
        rank: Rank::from_parts(Importance(1), 0),
        excluded: &[],
        time_left_us: SECOND_US,
        transfer_bytes: 1_000,
    };
    let start = Instant::now();
    for _ in 0..PICKS {
        let choice = router.pick(&net.nodes[0].fleet, &ask, net.now_us, &mut net.rng);
        assert!(choice.is_some());
    }
    let ns = start.elapsed().as_nanos() / u128::from(PICKS);
    println!("{services} services: {ns} ns a pick");
}

/// Time until a drain in the first data centre is known in all others.
fn print_remote_times(net: &mut Net, members: usize) {
    let mut times = Vec::new();
    for at in 0..members.min(TRIALS) {
        net.run(2 * SECOND_US);
        let mut worker = net.nodes[at]
            .fleet
            .me()
            .worker
            .clone()
            .unwrap_or_else(|| ad(1, "x"));
        worker.draining = true;
        let (service, incarnation) = (worker.service.clone(), worker.incarnation);
        net.nodes[at].fleet.set_worker(Some(worker));
        times.extend(net.run_until(60 * SECOND_US, |net| {
            net.nodes[members..].iter().all(|node| {
                let mut offers = node.fleet.remote().offers(&service);
                offers.all(|offer| {
                    offer
                        .workers
                        .iter()
                        .all(|worker| worker.incarnation != incarnation)
                })
            })
        }));
    }
    print_times_of("drain known in the nine others", times);
}

/// Bytes from a data centre of 150 to another one: whole tables against changes only.
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
        let before: u64 = net.nodes[..150].iter().map(|node| node.between_bytes).sum();
        if changing {
            measure(&mut net, 60);
        } else {
            net.run(60 * SECOND_US);
        }
        let after: u64 = net.nodes[..150].iter().map(|node| node.between_bytes).sum();
        let bytes = if changing { after } else { after - before };
        let whole: usize = net.nodes[151]
            .fleet
            .remote()
            .all_offers()
            .values()
            .map(whole_bytes)
            .sum();
        println!(
            "150 services, changing {changing}: changes only {} B/s; whole table {whole} B",
            bytes / 60
        );
    }
}

/// Bytes of one summary in a datagram of its own, without the datagram's header.
fn whole_bytes(summary: &Summary) -> usize {
    let me = SocketAddr::from(([10, 0, 0, 1], 1));
    let mut message = Message {
        from: me,
        generation: Generation(1),
        data_centre: summary.data_centre.clone(),
        region: Region(SmolStr::new("a")),
        body: Body::News,
        members: Vec::new(),
        lights: Vec::new(),
        beats: Vec::new(),
        summaries: Vec::new(),
        wants: Vec::new(),
        repair: false,
    };
    let empty = message.encode().len();
    message.summaries.push(summary.clone());
    message.encode().len() - empty
}
