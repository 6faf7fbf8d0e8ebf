//! Extra sends stay within the configured ratio in any window, for any arrivals.

use shallotdeal::policy::retry_budget::{RetryBudget, RetryBudgetRules};

const RULES: RetryBudgetRules = RetryBudgetRules {
    ratio: 0.2,
    window_us: 10_000_000,
};

/// Index of the highest importance.
const MOST_IMPORTANT: usize = 0;

/// Sends one request per millisecond and tries one extra send at each depth for each of them.
/// Returns the times of the granted extra sends.
fn extra_sends(depths: &[u8], makes_calls: bool, requests: u64) -> Vec<u64> {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.observe_run(makes_calls);
    }
    let mut extra = Vec::new();
    for now_us in (0..requests).map(|number| 1_000_000 + number * 1_000) {
        budget.count_first_send(RULES, now_us);
        for &depth in depths {
            if budget.try_extra_send(RULES, MOST_IMPORTANT, depth, now_us) {
                extra.push(now_us);
            }
        }
    }
    extra
}

#[test]
fn budget_allows_no_extra_send_right_after_the_start() {
    let mut budget = RetryBudget::default();
    budget.count_first_send(RULES, 1_000_000);
    assert!(!budget.try_extra_send(RULES, MOST_IMPORTANT, 0, 1_000_001));
}

/// Largest number of extra sends in any window.
fn max_per_window(extra: &[u64]) -> usize {
    let windows = extra.iter().map(|&start_us| {
        let window = start_us..start_us + RULES.window_us;
        extra.iter().filter(|at_us| window.contains(at_us)).count()
    });
    windows.max().unwrap_or(0)
}

#[test]
fn extra_sends_of_all_levels_stay_within_the_ratio() {
    let requests = 25_000;
    let leaves = extra_sends(&[3], false, requests);
    let levels = [0, 1, 2].map(|depth| extra_sends(&[depth], true, requests));
    assert!(leaves.len() > 1_500, "{}", leaves.len());
    let sum = max_per_window(&leaves)
        + levels
            .iter()
            .map(|extra| max_per_window(extra))
            .sum::<usize>();
    // The ratio of 0.2 times the 10,000 requests of a window.
    assert!(sum <= 2_000, "{sum}");
}

#[test]
fn budget_is_available_again_in_the_next_window() {
    let mut budget = RetryBudget::default();
    for number in 0..100 {
        budget.count_first_send(RULES, 1_000_000 + number);
    }
    let first = (0..100)
        .filter(|number| budget.try_extra_send(RULES, MOST_IMPORTANT, 0, 1_100_000 + number))
        .count();
    assert_eq!(first, 10);
    let later_us = 1_100_000 + RULES.window_us + RULES.window_us / 10;
    for number in 0..100 {
        budget.count_first_send(RULES, later_us + number);
    }
    let again = (0..100)
        .filter(|number| budget.try_extra_send(RULES, MOST_IMPORTANT, 0, later_us + 200 + number))
        .count();
    assert_eq!(again, 10);
}

#[test]
fn budget_of_calling_services_shrinks_with_depth() {
    let leaf = extra_sends(&[0], false, 20_000).len();
    let inner = extra_sends(&[0], true, 20_000).len();
    let deep = extra_sends(&[6], true, 20_000).len();
    assert!(
        inner * 3 < leaf && deep * 4 < inner,
        "{leaf} {inner} {deep}"
    );
}

#[test]
fn previous_window_counts_while_requests_are_refused() {
    let mut budget = RetryBudget::default();
    for number in 0..10_000 {
        budget.count_first_send(RULES, 1_000_000 + number * 1_000);
    }
    // A quarter of the previous arrival rate. Counted alone, these requests would allow at most 250
    // extra sends.
    let mut granted = 0;
    for number in 0..2_500 {
        let now_us = 11_000_000 + number * 4_000;
        budget.count_first_send(RULES, now_us);
        granted += u32::from(budget.try_extra_send(RULES, MOST_IMPORTANT, 0, now_us));
    }
    assert!((450..=1_000).contains(&granted), "{granted}");
}

#[test]
fn daemons_stay_within_the_ratio_together_while_clients_move() {
    // Half of the clients of one daemon move to another; both try an extra send for each request.
    let mut daemons = [RetryBudget::default(), RetryBudget::default()];
    let mut extra = 0;
    for number in 0..20_000_u64 {
        let now_us = 1_000_000 + number * 1_000;
        let second = usize::from(number >= 10_000 && number % 2 == 0);
        daemons[second].count_first_send(RULES, now_us);
        let granted = daemons[second].try_extra_send(RULES, MOST_IMPORTANT, 0, now_us);
        extra += u32::from(granted && number >= 10_000);
    }
    // The ratio of 0.2 times the 10,000 requests of a window, for all levels of the tree together.
    assert!(extra <= 2_000, "{extra}");
}

#[test]
fn less_important_requests_leave_a_reserve() {
    let mut budget = RetryBudget::default();
    for number in 0..1_000 {
        budget.count_first_send(RULES, 1_000_000 + number);
    }
    let mut granted = |importance_index| {
        let attempts = 0..1_000;
        attempts
            .filter(|number| budget.try_extra_send(RULES, importance_index, 0, 1_100_000 + number))
            .count()
    };
    assert_eq!(granted(2), 33);
    assert_eq!(granted(1), 50 - 33);
    assert_eq!(granted(0), 100 - 50);
}
