//! Quotas over all daemons: no schedule of losses, delays, copies, pauses, restarts, partitions and
//! falling limits lets an organisation exceed its bound, and little is refused below it.

mod world;

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::policy::quota::{AllocatorScope, GROUPS, QuotaRules},
    world::{Defect, Demand, Network, WARM_UP_US, World},
};

const WINDOW_US: u64 = 5_000_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Organisations of different sizes: name, rate per second and burst.
const QUOTAS: &[(&str, f64, f64)] = &[
    ("large", 200.0, 200.0),
    ("middle", 50.0, 50.0),
    ("small", 8.0, 8.0),
];

fn rules() -> QuotaRules {
    QuotaRules::new(WINDOW_US, OVERAGE)
}

fn allowed(rate_per_s: f64, burst: f64) -> f64 {
    (rate_per_s * WINDOW_US as f64 / 1e6 + burst) * (1.0 + OVERAGE) + SLACK
}

/// Demands of all organisations at all daemons, as multiples of their rates.
fn demands(world: &World, factor: f64) -> Vec<Demand> {
    let demand = |(name, rate_per_s, _): &(&str, f64, f64)| Demand {
        organisation: (*name).into(),
        per_s: rate_per_s * factor,
        daemons: (0..world.len()).collect(),
    };
    QUOTAS.iter().map(demand).collect()
}

fn exceeded(world: &World) -> Vec<String> {
    let exceeded = QUOTAS.iter().filter_map(|(name, rate_per_s, burst)| {
        let (count, at_us) = world.worst_window(name, WINDOW_US);
        let allowed = allowed(*rate_per_s, *burst);
        (count as f64 > allowed).then(|| {
            format!("{name}: {count} requests in the window from {at_us} us, {allowed} allowed")
        })
    });
    exceeded.collect()
}

/// Plays random faults against organisations that send several times their quotas.
fn play_faults(seed: u64, rules: QuotaRules, defect: Defect) -> World {
    let mut schedule = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(14, 2, rules, QUOTAS, seed);
    world.defect = defect;
    world.run(WARM_UP_US, &demands(&world, 0.3));
    world.network = Network {
        loss: schedule.random_range(0.0..0.1),
        duplicates: schedule.random_range(0.0..0.1),
        late: schedule.random_range(0.0..0.1),
    };
    for _ in 0..12 {
        let index = schedule.random_range(0..world.len());
        match schedule.random_range(0..7) {
            0 => world.restart(index, schedule.random_range(100_000..3_000_000)),
            1 => world.roll(index, schedule.random_range(100_000..2_000_000)),
            2 => world.pause(index, schedule.random_range(200_000..4_000_000)),
            3 => {
                let cut = schedule.random_range(2..6);
                world.partition(|index| (index as u32).is_multiple_of(cut).into());
            }
            4 => world.partition(|index| if index < 5 { index as u32 } else { 99 }),
            5 => world.partition(|_| 0),
            _ => (0..world.len()).for_each(|index| world.restart(index, 500_000)),
        }
        let factor = [0.6, 1.5, 5.0][schedule.random_range(0..3)];
        let for_us = schedule.random_range(200_000..3_000_000);
        world.run(
            for_us / world::STEP_US * world::STEP_US,
            &demands(&world, factor),
        );
    }
    world
}

#[test]
fn no_schedule_of_faults_exceeds_a_quota() {
    for seed in 0..40 {
        let world = play_faults(seed, rules(), Defect::None);
        assert_eq!(exceeded(&world), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn one_allocator_for_the_deployment_exceeds_no_quota() {
    let rules = QuotaRules {
        scope: AllocatorScope::Deployment,
        ..rules()
    };
    for seed in 100..120 {
        let world = play_faults(seed, rules, Defect::None);
        assert_eq!(exceeded(&world), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn delegations_without_an_end_are_found() {
    let found = (0..40).any(|seed| {
        let world = play_faults(seed, rules(), Defect::DelegationsWithoutEnd);
        !exceeded(&world).is_empty()
    });
    assert!(found);
}

#[test]
fn forgotten_members_are_found() {
    let rules = QuotaRules {
        lost_member_us: 1,
        ..rules()
    };
    let found = (0..40)
        .any(|seed| !exceeded(&play_faults(seed, rules, Defect::ForgottenMembers)).is_empty());
    assert!(found);
}

/// Load pattern: all organisations send their usual demand, through all daemons alike.
#[test]
fn usual_demand_is_hardly_refused() {
    let mut world = World::new(20, 2, rules(), QUOTAS, 7);
    world.run(WARM_UP_US, &[]);
    world.run(20_000_000, &demands(&world, 1.0 / 1.6));
    for (name, ..) in QUOTAS {
        let refused = world.refused.get(*name).copied().unwrap_or_default();
        let sent = world.sent_us[*name].len() as u64;
        assert!(
            refused * 50 <= sent,
            "{name}: {refused} refused, {sent} sent"
        );
    }
}

/// Load pattern: all clients of an organisation call one daemon, and then one in the other region.
#[test]
fn demand_at_one_daemon_gets_the_whole_quota() {
    let mut world = World::new(20, 2, rules(), QUOTAS, 8);
    world.run(WARM_UP_US, &[]);
    for daemon in [3, 4] {
        let demand = Demand {
            organisation: "middle".into(),
            per_s: 50.0 / 1.2,
            daemons: vec![daemon],
        };
        world.run(5_000_000, &[demand]);
    }
    let refused = world.refused.get("middle").copied().unwrap_or_default();
    let sent = world.sent_us["middle"].len() as u64;
    assert!(refused * 20 <= sent, "{refused} refused, {sent} sent");
}

/// Load pattern: one organisation sends several times its quota.
#[test]
fn an_organisation_above_its_quota_gets_it_all() {
    let mut world = World::new(20, 2, rules(), QUOTAS, 9);
    world.run(WARM_UP_US, &[]);
    world.run(20_000_000, &demands(&world, 5.0));
    assert_eq!(exceeded(&world), Vec::<String>::new());
    for (name, rate_per_s, _) in QUOTAS {
        let sent = world.sent_us[*name].len() as f64;
        assert!(sent >= rate_per_s * 20.0 * 0.9, "{name}: {sent} sent");
    }
}

#[test]
fn a_falling_limit_binds_in_the_next_window() {
    for seed in 0..5 {
        let mut world = World::new(14, 2, rules(), QUOTAS, seed);
        world.run(WARM_UP_US, &demands(&world, 3.0));
        world.run(6_000_000, &demands(&world, 3.0));
        world.set_quota("large", 100.0, 100.0);
        let changed_us = world.now_us;
        world.run(10_000_000, &demands(&world, 3.0));
        let times = world.sent_us.get_mut("large").unwrap();
        times.retain(|sent_us| *sent_us > changed_us);
        let (count, _) = world.worst_window("large", WINDOW_US);
        assert!(
            count as f64 <= allowed(100.0, 100.0),
            "seed {seed}: {count}"
        );
    }
}

/// Half of the daemons reach nobody for a while: the others go on with their parts, and all of them
/// get the whole quota again soon after.
#[test]
fn a_partition_leaves_each_side_its_part() {
    let mut world = World::new(20, 2, rules(), QUOTAS, 11);
    world.run(WARM_UP_US, &demands(&world, 0.6));
    world.partition(|index| u32::from(index < 10));
    world.run(6_000_000, &demands(&world, 0.6));
    let refused_before = world.refused.get("large").copied().unwrap_or_default();
    let sent_before = world.sent_us["large"].len();
    world.run(6_000_000, &demands(&world, 0.6));
    let refused = world.refused["large"] - refused_before;
    let sent = (world.sent_us["large"].len() - sent_before) as u64;
    assert!(refused * 4 <= sent, "{refused} refused, {sent} sent");
    world.partition(|_| 0);
    world.run(5_000_000, &demands(&world, 0.6));
    let refused_before = world.refused["large"];
    world.run(5_000_000, &demands(&world, 0.6));
    let refused = world.refused["large"] - refused_before;
    assert!(refused < 12, "{refused} refused after the partition");
}

/// Messages do not grow with the square of the fleet, and silent organisations cost none.
#[test]
fn messages_of_a_daemon_do_not_grow_with_the_fleet() {
    let mut per_daemon_s = Vec::new();
    for count in [30, 300, 1_513] {
        let mut world = World::new(count, 4, rules(), QUOTAS, 12);
        world.run(2_000_000, &[]);
        let before = (world.messages, world.messages_between_regions);
        world.run(4_000_000, &[]);
        let messages = (world.messages - before.0) as f64;
        assert_eq!(world.messages_between_regions, before.1);
        per_daemon_s.push(messages / count as f64 / 4.0);
    }
    // Delegations of all groups, renewed at the shortest interval, and their answers.
    let bound = 2.0 * GROUPS as f64 * 1e6 / rules().min_renew_us as f64;
    assert!(
        per_daemon_s.iter().all(|messages| *messages <= bound),
        "{per_daemon_s:?}"
    );
    assert!(per_daemon_s[2] <= per_daemon_s[0], "{per_daemon_s:?}");
}
