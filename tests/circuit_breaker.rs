//! Load pattern: a service deep in the call graph refuses most calls although it has spare
//! capacity. Nearly all requests that make several such calls fail, after they have cost work at
//! every level; their class is refused until the service recovers.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::policy::circuit_breaker::CircuitBreakers,
    smol_str::SmolStr,
};

const START_US: u64 = 1_000_000;

/// Number of requests of one class by result.
#[derive(Debug, Default)]
struct Tally {
    refused: u32,
    served: u32,
    failed: u32,
}

/// Sends one request every 20 ms; `success` is the probability that an admitted request succeeds.
fn send_requests(
    breakers: &mut CircuitBreakers,
    from_ms: u64,
    to_ms: u64,
    success: f64,
    rng: &mut ChaCha8Rng,
) -> Tally {
    let class = SmolStr::from("listing");
    let mut tally = Tally::default();
    for at_ms in (from_ms..to_ms).step_by(20) {
        let now_us = START_US + at_ms * 1_000;
        if breakers.refuses("listing", rng.random(), now_us).is_some() {
            tally.refused += 1;
            continue;
        }
        let has_failed = rng.random::<f64>() >= success;
        breakers.record_result(&class, has_failed, now_us);
        if has_failed {
            tally.failed += 1;
        } else {
            tally.served += 1;
        }
    }
    tally
}

#[test]
fn failing_class_is_refused_and_admitted_soon_after_recovery() {
    for seed in 1..=10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut breakers = CircuitBreakers::default();
        let before = send_requests(&mut breakers, 0, 4_000, 0.995, &mut rng);
        assert_eq!(before.refused, 0, "seed {seed}: {before:?}");
        let during = send_requests(&mut breakers, 4_000, 12_000, 0.0, &mut rng);
        assert!(during.failed < 100, "seed {seed}: {during:?}");
        assert!(during.refused > 300, "seed {seed}: {during:?}");
        let after = send_requests(&mut breakers, 12_000, 18_000, 0.995, &mut rng);
        // One request per 400 ms is admitted as a probe on average.
        assert!(after.refused < 100, "seed {seed}: {after:?}");
    }
}

#[test]
fn class_that_sometimes_succeeds_is_admitted() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut breakers = CircuitBreakers::default();
    let tally = send_requests(&mut breakers, 0, 20_000, 0.17, &mut rng);
    assert!(tally.refused < 100, "{tally:?}");
    assert!(tally.served > 120, "{tally:?}");
}

#[test]
fn failures_of_one_class_do_not_affect_another() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut breakers = CircuitBreakers::default();
    send_requests(&mut breakers, 0, 4_000, 0.0, &mut rng);
    let now_us = START_US + 4_000_000;
    assert!(breakers.refuses("listing", 0.5, now_us).is_some());
    assert_eq!(breakers.refuses("status", 0.5, now_us), None);
    // No results for longer than they are valid.
    assert_eq!(breakers.refuses("listing", 0.5, now_us + 3_000_000), None);
}
