//! Load pattern: a service deep in the call graph turns away most calls although it has room.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::policy::prospect::Prospects,
    smol_str::SmolStr,
};

const START_US: u64 = 1_000_000;

/// What came of requests of one class.
#[derive(Debug, Default)]
struct Seen {
    refused: u32,
    served: u32,
    lost: u32,
}

/// Sends one request each 20 ms for a time, of which so many succeed when they are let through.
fn play(
    prospects: &mut Prospects,
    from_ms: u64,
    to_ms: u64,
    success: f64,
    rng: &mut ChaCha8Rng,
) -> Seen {
    let class = SmolStr::from("listing");
    let mut seen = Seen::default();
    for at_ms in (from_ms..to_ms).step_by(20) {
        let now_us = START_US + at_ms * 1_000;
        if prospects.refuses("listing", rng.random(), now_us).is_some() {
            seen.refused += 1;
            continue;
        }
        let is_lost = rng.random::<f64>() >= success;
        prospects.ran(&class, is_lost, now_us);
        if is_lost {
            seen.lost += 1;
        } else {
            seen.served += 1;
        }
    }
    seen
}

#[test]
fn a_class_without_a_prospect_is_refused_and_comes_back_at_once() {
    for seed in 1..=10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut prospects = Prospects::default();
        let before = play(&mut prospects, 0, 4_000, 0.995, &mut rng);
        assert_eq!(before.refused, 0, "seed {seed}: {before:?}");
        let during = play(&mut prospects, 4_000, 12_000, 0.0, &mut rng);
        assert!(during.lost < 100, "seed {seed}: {during:?}");
        assert!(during.refused > 300, "seed {seed}: {during:?}");
        let after = play(&mut prospects, 12_000, 18_000, 0.995, &mut rng);
        // A probe comes each 400 ms on average.
        assert!(after.refused < 100, "seed {seed}: {after:?}");
    }
}

#[test]
fn a_class_that_succeeds_now_and_then_is_let_through() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut prospects = Prospects::default();
    let seen = play(&mut prospects, 0, 20_000, 0.17, &mut rng);
    assert!(seen.refused < 100, "{seen:?}");
    assert!(seen.served > 120, "{seen:?}");
}

#[test]
fn one_class_says_nothing_about_another() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut prospects = Prospects::default();
    play(&mut prospects, 0, 4_000, 0.0, &mut rng);
    let now_us = START_US + 4_000_000;
    assert!(prospects.refuses("listing", 0.5, now_us).is_some());
    assert_eq!(prospects.refuses("status", 0.5, now_us), None);
    // Nothing is heard for a while.
    assert_eq!(prospects.refuses("listing", 0.5, now_us + 3_000_000), None);
}
