//! Costs of the fleet view and of gossip, in virtual time.

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
const DATA_CENTRES: u64 = 10;
const SEED: u64 = 11;
/// Services of each data centre in the measurement by number of data centres.
const SERVICES: u64 = 16;
/// Interval at which a daemon checks for a newer configuration at its peers.
const POLL_INTERVAL_US: u64 = 250_000;
const STEP_US: u64 = 10_000;
const CHANGES: u64 = 10;

/// Returns the memory of one daemon's view.
pub(super) fn bytes(kind: Kind, count: u64) -> u64 {
    if kind == Kind::Members {
        return growth_bytes(|| centre(SEED, count as usize)) / count;
    }
    let members = count / (DATA_CENTRES - 1);
    growth_bytes(|| net_of_data_centres(DATA_CENTRES, members)) / (members * DATA_CENTRES)
}

/// Creates data centres of `members` members each, with a different service on each member.
fn net_of_data_centres(count: u64, members: u64) -> Net {
    let mut net = Net::new(SEED, FleetRules::default());
    for number in 0..count {
        // The plan has four regions.
        let (data_centre, region) = (format!("c{number}"), format!("r{}", number % 4));
        for service in 0..members {
            net.add(&data_centre, &region, &format_smolstr!("service-{service}"));
        }
    }
    net.run(45 * SECOND_US);
    net
}

/// Measures gossip inside a data centre and between data centres.
pub(super) fn measure(slopes: &mut Slopes) {
    let by_members = [10, 50, 150].map(fleet_slope);
    let mut add = |name, unit, of: fn(&Slope) -> f64| {
        let points = by_members
            .iter()
            .map(|slope| (slope.members as f64, of(slope)));
        slopes.add(name, Series::new("members", unit, points.collect()));
    };
    add("gossip-sent", "B/s", |slope| slope.sent_bytes_per_s);
    add("gossip-most", "B/s", |slope| slope.max_sent_bytes_per_s);
    add("gossip-received", "B/s", |slope| slope.received_bytes_per_s);
    add("gossip-messages", "1/s", |slope| slope.messages_per_s);
    add("gossip-cpu", "us/s", |slope| slope.cpu_us_per_s);
    let by_centres = [2, 5, 10].map(|count| {
        (
            count as f64,
            cross_centre_bytes_per_s(net_of_data_centres(count, SERVICES), SERVICES),
        )
    });
    let series = Series::new("data centres", "B/s", by_centres.to_vec());
    slopes.add("between-by-centres", series);
    let by_services = [10, 40, 80].map(|count| {
        (
            count as f64,
            cross_centre_bytes_per_s(net_of_data_centres(2, count), count),
        )
    });
    let series = Series::new("services", "B/s", by_services.to_vec());
    slopes.add("between-by-services", series);
}

/// Measures the bytes per second from one data centre to all others while loads change.
fn cross_centre_bytes_per_s(mut net: Net, members: u64) -> f64 {
    let slope = measure_net(&mut net, 20);
    slope.cross_centre_bytes_per_s * members as f64
}

/// Measures the time of a routing decision by the number of workers of a service and of services.
pub(super) fn measure_picks(slopes: &mut Slopes) {
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
    let query = RouteQuery {
        service: &names[0],
        rank: Rank::from_parts(Importance(1), 0),
        excluded: &[],
        remaining_us: SECOND_US,
        transfer_bytes: 1_000,
    };
    let now_us = net.now_us;
    time_ns(|_| {
        black_box(router.pick(&net.nodes[0].fleet, &query, now_us, &mut net.rng));
    })
}

/// Distribution of configuration changes within a data centre.
#[derive(Default)]
struct ChangeSpread {
    /// Documents per change that the busiest daemon serves.
    max_served: f64,
    /// Longest time until all daemons enforce a change.
    max_duration_ms: f64,
}

/// Measures the distribution of changes that the readers receive first, by number of members.
pub(super) fn measure_spread(slopes: &mut Slopes) {
    let sizes = [10, 50, 150];
    let spreads = sizes.map(|members| (members as f64, ChangeSpread::of(members, FetchFrom::Last)));
    let at_random = sizes.map(|members| {
        (
            members as f64,
            ChangeSpread::of(members, FetchFrom::Random).max_served,
        )
    });
    let series = Series::new("members", "documents", at_random.to_vec());
    slopes.add("config-served-if-random", series);
    let mut add = |name, unit, of: fn(&ChangeSpread) -> f64| {
        let points = spreads
            .iter()
            .map(|(members, spread)| (*members, of(spread)));
        slopes.add(name, Series::new("members", unit, points.collect()));
    };
    add("config-served", "documents", |spread| spread.max_served);
    add("config-spread", "ms", |spread| spread.max_duration_ms);
}

impl ChangeSpread {
    fn of(members: usize, source: FetchFrom) -> Self {
        let mut net = centre(SEED, members);
        let phases: Vec<u64> = (0..members)
            .map(|_| net.rng.next_u64() % POLL_INTERVAL_US)
            .collect();
        let mut served = vec![0; members];
        let mut max_duration_us = 0;
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
                    if (net.now_us + phase_us) % POLL_INTERVAL_US < STEP_US {
                        fetch_newest(&mut net, at, source, &mut served);
                    }
                }
            }
            max_duration_us = max_duration_us.max(net.now_us - start_us);
            net.run(5 * SECOND_US);
        }
        Self {
            max_served: f64::from(served.into_iter().max().unwrap_or(0)) / CHANGES as f64,
            max_duration_ms: max_duration_us as f64 / 1_000.0,
        }
    }
}

/// Fetches the newest configuration known to a daemon from a peer, as the daemon's own task does.
fn fetch_newest(net: &mut Net, at: usize, source: FetchFrom, served: &mut [u32]) {
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
    let chosen = match source {
        FetchFrom::Last => newest.len() - 1,
        FetchFrom::Random => net.rng.next_u64() as usize % newest.len(),
    };
    let mut nodes = net.nodes.iter();
    if let Some(from) =
        nodes.position(|node| node.fleet.local_member().place.name == newest[chosen])
    {
        served[from] += 1;
    }
    net.nodes[at].fleet.set_revision(revision);
}

/// Choice among the peers with the newest revision.
#[derive(Clone, Copy)]
enum FetchFrom {
    /// The last one in the order of the daemon's view, which is what the daemon does.
    Last,
    /// A random one.
    Random,
}
