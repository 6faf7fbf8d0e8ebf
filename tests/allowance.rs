//! Extra sends stay within the operators' ratio in any window, whatever the arrivals.

use shallotdeal::policy::allowance::{Allowance, AllowanceRules};

const RULES: AllowanceRules = AllowanceRules {
    ratio: 0.2,
    window_us: 10_000_000,
};

/// Sends one request each millisecond and asks for an extra send at each depth for all of them.
fn flood(depths: &[u8], requests: u64) -> Vec<u64> {
    let mut allowance = Allowance::default();
    let mut extra = Vec::new();
    for now_us in (0..requests).map(|number| 1_000_000 + number * 1_000) {
        allowance.first(RULES, now_us);
        for &depth in depths {
            if allowance.extra(RULES, depth, now_us) {
                extra.push(now_us);
            }
        }
    }
    extra
}

#[test]
fn a_daemon_that_just_started_sends_nothing_again() {
    let mut allowance = Allowance::default();
    allowance.first(RULES, 1_000_000);
    assert!(!allowance.extra(RULES, 0, 1_000_001));
}

#[test]
fn one_level_uses_at_most_its_part_of_the_ratio() {
    let requests = 30_000;
    let extra = flood(&[0], requests);
    for start in (0..requests).step_by(500) {
        let window = (1_000_000 + start * 1_000)..(1_000_000 + start * 1_000 + RULES.window_us);
        let sent = extra.iter().filter(|at_us| window.contains(at_us)).count();
        // A quarter of a fifth of 10,000 requests, and a slice more at the edges.
        assert!(sent <= 525, "{sent} from {start}");
    }
    assert!(extra.len() > 1_000, "{}", extra.len());
}

#[test]
fn an_allowance_comes_back_when_its_window_is_over() {
    let mut allowance = Allowance::default();
    for number in 0..100 {
        allowance.first(RULES, 1_000_000 + number);
    }
    let first = (0..100)
        .filter(|number| allowance.extra(RULES, 0, 1_100_000 + number))
        .count();
    assert_eq!(first, 4);
    let later_us = 1_100_000 + RULES.window_us + RULES.window_us / 10;
    for number in 0..100 {
        allowance.first(RULES, later_us + number);
    }
    let again = (0..100)
        .filter(|number| allowance.extra(RULES, 0, later_us + 200 + number))
        .count();
    assert_eq!(again, 4);
}

#[test]
fn requests_far_down_a_call_tree_get_less() {
    assert!(flood(&[6], 20_000).len() < flood(&[0], 20_000).len() / 4);
}
