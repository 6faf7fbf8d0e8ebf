//! Cost of the fleet's view, in virtual time.

use {
    super::fleet_net::{
        Net, centre,
        slope::{Slope, fleet_slope, measure as measure_net},
    },
    lab::slopes::{
        Series, Slopes,
        decisions::time_ns,
        state::{Kind, growth_bytes},
    },
    rand::Rng,
    shallotdeal::{
        config::Revision,
        control::election::READERS_PER_DATA_CENTRE,
        fleet::{
            FleetRules,
            route::{RouteQuery, RouteRules, Router},
        },
        request::{Importance, Rank},
    },
    smol_str::{SmolStr, format_smolstr},
    std::hint::black_box,
};

const SECOND_US: u64 = 1_000_000;
const CENTRES: u64 = 10;
const SEED: u64 = 11;
/// Services of a data centre that tells others of them.
const SERVICES: u64 = 16;
/// Interval at which a daemon looks for newer configurations at others.
const POLL_US: u64 = 250_000;
const STEP_US: u64 = 10_000;
const CHANGES: u64 = 10;

/// Memory of one daemon's view.
pub(super) fn bytes(kind: Kind, count: u64) -> u64 {
    if kind == Kind::Members {
        return growth_bytes(|| centre(SEED, count as usize)) / count;
    }
    let members = count / (CENTRES - 1);
    growth_bytes(|| centres(CENTRES, members)) / (members * CENTRES)
}

/// Data centres of so many members, each of a service of its own.
fn centres(count: u64, members: u64) -> Net {
    let mut net = Net::new(SEED, FleetRules::default());
    for number in 0..count {
        // Four regions, as planned.
        let (data_centre, region) = (format!("c{number}"), format!("r{}", number % 4));
        for service in 0..members {
            net.add(&data_centre, &region, &format_smolstr!("service-{service}"));
        }
    }
    net.run(45 * SECOND_US);
    net
}

/// Gossip inside a data centre and between data centres.
pub(super) fn measure(slopes: &mut Slopes) {
    let within = [10, 50, 150].map(fleet_slope);
    let mut add = |name, unit, of: fn(&Slope) -> f64| {
        let points = within.iter().map(|slope| (slope.members as f64, of(slope)));
        slopes.add(name, Series::new("members", unit, points.collect()));
    };
    add("gossip-sent", "B/s", |slope| slope.sent_bytes_per_s);
    add("gossip-most", "B/s", |slope| slope.max_sent_bytes_per_s);
    add("gossip-received", "B/s", |slope| slope.received_bytes_per_s);
    add("gossip-messages", "1/s", |slope| slope.messages_per_s);
    add("gossip-cpu", "us/s", |slope| slope.cpu_us_per_s);
    let by_centres =
        [2, 5, 10].map(|count| (count as f64, between(centres(count, SERVICES), SERVICES)));
    let series = Series::new("data centres", "B/s", by_centres.to_vec());
    slopes.add("between-by-centres", series);
    let by_services = [10, 40, 80].map(|count| (count as f64, between(centres(2, count), count)));
    let series = Series::new("services", "B/s", by_services.to_vec());
    slopes.add("between-by-services", series);
}

/// Bytes a second from one data centre to all others while loads change.
fn between(mut net: Net, members: u64) -> f64 {
    let slope = measure_net(&mut net, 20);
    slope.cross_centre_bytes_per_s * members as f64
}

/// Time of a pick, by the workers of the service and by services.
pub(super) fn picks(slopes: &mut Slopes) {
    let by_workers = [3, 10, 30, 90].map(|workers| (workers as f64, pick_ns(1, workers)));
    let series = Series::new("workers of the service", "ns", by_workers.to_vec());
    slopes.add("pick-by-workers", series);
    let by_services = [1, 10, 50].map(|services| (services as f64, pick_ns(services, 3)));
    let series = Series::new("services", "ns", by_services.to_vec());
    slopes.add("pick-by-services", series);
}

fn pick_ns(services: usize, workers: usize) -> f64 {
    let mut net = Net::new(SEED, FleetRules::default());
    let names: Vec<SmolStr> = (0..services)
        .map(|number| format_smolstr!("service-{number}"))
        .collect();
    for number in 0..services * workers {
        net.add("a1", "a", &names[number % services]);
    }
    net.run(20 * SECOND_US);
    let mut router = Router::new(RouteRules::default());
    let ask = RouteQuery {
        service: &names[0],
        rank: Rank::from_parts(Importance(1), 0),
        excluded: &[],
        remaining_us: SECOND_US,
        transfer_bytes: 1_000,
    };
    let now_us = net.now_us;
    time_ns(|_| {
        black_box(router.pick(&net.nodes[0].fleet, &ask, now_us, &mut net.rng));
    })
}

/// How one change of the configuration goes round a data centre.
#[derive(Default)]
struct Spread {
    /// Documents that the busiest daemon hands out for one change.
    most_served: f64,
    /// Time until all daemons enforce it, the slowest change.
    slowest_ms: f64,
}

/// Spread of changes that two readers learn first, by members.
pub(super) fn spread(slopes: &mut Slopes) {
    let sizes = [10, 50, 150];
    let spreads = sizes.map(|members| (members as f64, Spread::of(members, Peer::Last)));
    let at_random = sizes.map(|members| {
        (
            members as f64,
            Spread::of(members, Peer::Random).most_served,
        )
    });
    let series = Series::new("members", "documents", at_random.to_vec());
    slopes.add("config-served-if-random", series);
    let mut add = |name, unit, of: fn(&Spread) -> f64| {
        let points = spreads
            .iter()
            .map(|(members, spread)| (*members, of(spread)));
        slopes.add(name, Series::new("members", unit, points.collect()));
    };
    add("config-served", "documents", |spread| spread.most_served);
    add("config-spread", "ms", |spread| spread.slowest_ms);
}

impl Spread {
    fn of(members: usize, peer: Peer) -> Self {
        let mut net = centre(SEED, members);
        let phases: Vec<u64> = (0..members).map(|_| net.rng.next_u64() % POLL_US).collect();
        let mut served = vec![0; members];
        let mut slowest_us = 0;
        for change in 1..=CHANGES {
            let revision = Revision(change);
            for reader in 0..READERS_PER_DATA_CENTRE {
                net.nodes[reader].fleet.set_revision(revision);
            }
            let start_us = net.now_us;
            while net
                .nodes
                .iter()
                .any(|node| node.fleet.local_member().revision < revision)
            {
                net.run(STEP_US);
                for (at, phase_us) in phases.iter().enumerate() {
                    if (net.now_us + phase_us) % POLL_US < STEP_US {
                        poll(&mut net, at, peer, &mut served);
                    }
                }
            }
            slowest_us = slowest_us.max(net.now_us - start_us);
            net.run(5 * SECOND_US);
        }
        Self {
            most_served: f64::from(served.into_iter().max().unwrap_or(0)) / CHANGES as f64,
            slowest_ms: slowest_us as f64 / 1_000.0,
        }
    }
}

/// Lets a daemon fetch the newest configuration that it hears of, as the daemon's task does.
fn poll(net: &mut Net, at: usize, peer: Peer, served: &mut [u32]) {
    let fleet = &net.nodes[at].fleet;
    let live = fleet.members().filter(|member| member.status.is_live());
    let Some(revision) = live.map(|member| member.revision).max() else {
        return;
    };
    if revision <= fleet.local_member().revision {
        return;
    }
    let live = fleet.members().filter(|member| member.status.is_live());
    let newest = live.filter(|member| member.revision == revision);
    let newest: Vec<_> = newest.map(|member| member.place.name.clone()).collect();
    let chosen = match peer {
        Peer::Last => newest.len() - 1,
        Peer::Random => net.rng.next_u64() as usize % newest.len(),
    };
    let mut nodes = net.nodes.iter();
    if let Some(from) =
        nodes.position(|node| node.fleet.local_member().place.name == newest[chosen])
    {
        served[from] += 1;
    }
    net.nodes[at].fleet.set_revision(revision);
}

/// Which daemon of those with the newest revision is asked.
#[derive(Clone, Copy)]
enum Peer {
    /// The last one in the order of the own view, as the daemon does.
    Last,
    /// Any.
    Random,
}
