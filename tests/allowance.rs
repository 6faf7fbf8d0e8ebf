//! Extra sends stay within the operators' ratio in any window, whatever the arrivals.

use shallotdeal::policy::allowance::{Allowance, AllowanceRules};

const RULES: AllowanceRules = AllowanceRules {
    ratio: 0.2,
    window_us: 10_000_000,
};

/// Place of the most important requests.
const FIRST: usize = 0;

/// Sends one request each millisecond and asks for an extra send at each depth for all of them.
fn flood(depths: &[u8], makes_calls: bool, requests: u64) -> Vec<u64> {
    let mut allowance = Allowance::default();
    for _ in 0..100 {
        allowance.ran(makes_calls);
    }
    let mut extra = Vec::new();
    for now_us in (0..requests).map(|number| 1_000_000 + number * 1_000) {
        allowance.first(RULES, now_us);
        for &depth in depths {
            if allowance.extra(RULES, FIRST, depth, now_us) {
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
    assert!(!allowance.extra(RULES, FIRST, 0, 1_000_001));
}

/// Most extra sends in any window.
fn most(extra: &[u64]) -> usize {
    let windows = extra.iter().map(|&start_us| {
        let window = start_us..start_us + RULES.window_us;
        extra.iter().filter(|at_us| window.contains(at_us)).count()
    });
    windows.max().unwrap_or(0)
}

#[test]
fn a_call_tree_with_its_leaves_stays_within_the_ratio() {
    let requests = 25_000;
    let leaves = flood(&[3], false, requests);
    let levels = [0, 1, 2].map(|depth| flood(&[depth], true, requests));
    assert!(leaves.len() > 1_500, "{}", leaves.len());
    let sum = most(&leaves) + levels.iter().map(|extra| most(extra)).sum::<usize>();
    // A fifth of the 10,000 requests of a window.
    assert!(sum <= 2_000, "{sum}");
}

#[test]
fn an_allowance_comes_back_when_its_window_is_over() {
    let mut allowance = Allowance::default();
    for number in 0..100 {
        allowance.first(RULES, 1_000_000 + number);
    }
    let first = (0..100)
        .filter(|number| allowance.extra(RULES, FIRST, 0, 1_100_000 + number))
        .count();
    assert_eq!(first, 10);
    let later_us = 1_100_000 + RULES.window_us + RULES.window_us / 10;
    for number in 0..100 {
        allowance.first(RULES, later_us + number);
    }
    let again = (0..100)
        .filter(|number| allowance.extra(RULES, FIRST, 0, later_us + 200 + number))
        .count();
    assert_eq!(again, 10);
}

#[test]
fn a_service_that_makes_calls_gets_less_and_less_further_down() {
    let leaf = flood(&[0], false, 20_000).len();
    let inner = flood(&[0], true, 20_000).len();
    let deep = flood(&[6], true, 20_000).len();
    assert!(
        inner * 3 < leaf && deep * 4 < inner,
        "{leaf} {inner} {deep}"
    );
}

#[test]
fn what_was_sent_in_the_window_before_counts_while_requests_are_refused() {
    let mut allowance = Allowance::default();
    for number in 0..10_000 {
        allowance.first(RULES, 1_000_000 + number * 1_000);
    }
    // A quarter of the requests since: without the window before, 250 in a whole window.
    let mut granted = 0;
    for number in 0..2_500 {
        let now_us = 11_000_000 + number * 4_000;
        allowance.first(RULES, now_us);
        granted += u32::from(allowance.extra(RULES, FIRST, 0, now_us));
    }
    assert!((450..=1_000).contains(&granted), "{granted}");
}

#[test]
fn daemons_whose_clients_move_do_not_exceed_the_ratio_together() {
    // Half of the clients of one daemon move to another one; both try for each request.
    let mut daemons = [Allowance::default(), Allowance::default()];
    let mut extra = 0;
    for number in 0..20_000_u64 {
        let now_us = 1_000_000 + number * 1_000;
        let second = usize::from(number >= 10_000 && number % 2 == 0);
        daemons[second].first(RULES, now_us);
        let granted = daemons[second].extra(RULES, FIRST, 0, now_us);
        extra += u32::from(granted && number >= 10_000);
    }
    // A fifth of the 10,000 requests of a window, for all levels of the tree together.
    assert!(extra <= 2_000, "{extra}");
}

#[test]
fn less_important_requests_leave_a_part_to_the_others() {
    let mut allowance = Allowance::default();
    for number in 0..1_000 {
        allowance.first(RULES, 1_000_000 + number);
    }
    let mut granted = |place| {
        let tries = 0..1_000;
        tries
            .filter(|number| allowance.extra(RULES, place, 0, 1_100_000 + number))
            .count()
    };
    assert_eq!(granted(2), 33);
    assert_eq!(granted(1), 50 - 33);
    assert_eq!(granted(0), 100 - 50);
}
