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
        fleet::{FleetRules, member::Status},
        place::DataCentre,
    },
    smol_str::{SmolStr, format_smolstr},
};

const SECOND_US: u64 = 1_000_000;
const TRIALS: usize = 15;

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
    if only.is_none_or(|only| only == "centres") {
        print_centres();
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
        net.run(net_pause(&mut net));
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
    println!(
        "members {members}: false deaths {}",
        net.deaths() as i64 - (deaths.len() * (members - 1)) as i64
    );
    for (name, times) in [
        ("join", joins),
        ("drain", drains),
        ("suspected everywhere", no_work),
        ("dead everywhere", deaths),
    ] {
        print_times_of(name, times);
    }
}

fn net_pause(net: &mut Net) -> u64 {
    5 * SECOND_US + net.rng.next_u64() % SECOND_US
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
        net.deaths()
    );
}

/// Ten data centres of 15 with 160 services; the speakers' work is that of the planned size.
fn print_centres() {
    let mut net = Net::new(11, FleetRules::default());
    let centres = [
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
    let mut number = 0;
    for (data_centre, region) in centres {
        for _ in 0..16 {
            net.add(
                data_centre,
                region,
                &format_smolstr!("service-{}", number % 160),
            );
            number += 1;
        }
    }
    let known = net.run_until(300 * SECOND_US, |net| {
        net.agrees()
            && net
                .live()
                .all(|node| node.fleet.remote().all_offers().len() == 144)
    });
    println!("10 centres of 16, 160 services: all offers known everywhere after {known:?} us");
    net.run(30 * SECOND_US);
    print(&measure(&mut net, 30));
    let first = DataCentre(SmolStr::new("a1"));
    let of_first = |net: &Net| {
        net.nodes
            .iter()
            .filter(|node| *node.fleet.data_centre() == first)
            .map(|node| node.between_bytes)
            .sum::<u64>()
    };
    println!(
        "from one data centre to the nine others: {} B/s",
        of_first(&net) / 30
    );
}
