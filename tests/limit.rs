//! Moving averages of latency at a gate.

use shallotdeal::policy::limit::SmoothedLatency;

const SECOND_US: u64 = 1_000_000;

#[test]
fn one_sample_hardly_changes_a_mean_of_many() {
    let mut latency = SmoothedLatency::default();
    for number in 0..200 {
        latency.add(20_000, SECOND_US + number * 1_000);
    }
    latency.add(500_000, SECOND_US + 200_000);
    assert!(latency.mean_us() < 32_000, "{}", latency.mean_us());
}

#[test]
fn rare_samples_replace_old_ones() {
    // The worker was slow, and has since received one request per second.
    let mut latency = SmoothedLatency::default();
    for number in 0..200 {
        latency.add(600_000, SECOND_US + number * 1_000);
    }
    for number in 1..=3 {
        latency.add(20_000, (1 + number) * SECOND_US);
    }
    assert!(latency.mean_us() < 60_000, "{}", latency.mean_us());
}
