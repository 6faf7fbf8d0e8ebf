//! Latency as a gate knows it.

use shallotdeal::policy::limit::Latency;

const SECOND_US: u64 = 1_000_000;

#[test]
fn a_mean_of_many_samples_hardly_moves_with_one() {
    let mut latency = Latency::default();
    for number in 0..200 {
        latency.add(20_000, SECOND_US + number * 1_000);
    }
    latency.add(500_000, SECOND_US + 200_000);
    assert!(latency.mean_us() < 32_000, "{}", latency.mean_us());
}

#[test]
fn rare_samples_replace_what_is_old() {
    // A worker that was slow, and that gets a request now and then since.
    let mut latency = Latency::default();
    for number in 0..200 {
        latency.add(600_000, SECOND_US + number * 1_000);
    }
    for number in 1..=3 {
        latency.add(20_000, (1 + number) * SECOND_US);
    }
    assert!(latency.mean_us() < 60_000, "{}", latency.mean_us());
}
