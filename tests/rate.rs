//! Limit on the rate of requests that a backend server in need names, in virtual time.

use shallotdeal::{
    policy::{
        gate::{Action, Arrival, Finish, Gate, GateDecision, WorkKey},
        rate::{RateLimiter, RequestRate},
        shed::GateRules,
    },
    request::{Importance, Rank},
};

const MS: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MS;
/// Time over which the platform counts the requests of a worker with a limit.
const WINDOW_US: u64 = 4 * SECOND_US;

fn rate(text: &str) -> RequestRate {
    RequestRate::try_from(text).unwrap()
}

/// Requests that the platform allows in a window: one and a half times the limit, and five.
fn allowed(per_s: f64) -> usize {
    (per_s * 1.5 * 4.0) as usize + 5
}

/// Largest number of requests in any window.
fn most_in_window(sent_us: &[u64]) -> usize {
    let in_window = |from_us: &u64| {
        let later = sent_us.iter().filter(|sent_us| *sent_us >= from_us);
        later
            .filter(|sent_us| **sent_us < from_us + WINDOW_US)
            .count()
    };
    sent_us.iter().map(in_window).max().unwrap_or_default()
}

/// Sends a request each millisecond if the limiter allows it.
fn send(limiter: &mut RateLimiter, from_us: u64, until_us: u64) -> Vec<u64> {
    let times_us = (from_us..until_us).step_by(MS as usize);
    times_us
        .filter(|now_us| {
            let is_allowed = limiter.has_token(*now_us);
            if is_allowed {
                limiter.take();
            }
            is_allowed
        })
        .collect()
}

#[test]
fn every_window_stays_below_the_allowance_and_most_of_the_limit_is_used() {
    for per_s in [0.6, 4.7, 14.9, 50.4, 400.0] {
        let mut limiter = RateLimiter::default();
        limiter.set(Some(rate(&per_s.to_string())), SECOND_US);
        let sent_us = send(&mut limiter, SECOND_US, 31 * SECOND_US);
        let most = most_in_window(&sent_us);
        assert!(most <= allowed(per_s), "{most} at {per_s}/s");
        let used = sent_us.len() as f64 / (30.0 * per_s);
        assert!(used > 0.9, "{used} of {per_s}/s");
    }
}

// Guards against a worker that names zero and is never asked again whether it still does.
#[test]
fn a_rate_of_zero_lets_single_requests_pass() {
    let mut limiter = RateLimiter::default();
    limiter.set(Some(rate("0")), 0);
    let sent_us = send(&mut limiter, 0, 30 * SECOND_US);
    assert!(most_in_window(&sent_us) <= allowed(0.0));
    assert!(sent_us.len() >= 10);
}

#[test]
fn a_lifted_limit_lets_all_requests_pass() {
    let mut limiter = RateLimiter::default();
    limiter.set(Some(rate("5")), 0);
    limiter.set(None, SECOND_US);
    assert_eq!(send(&mut limiter, SECOND_US, 2 * SECOND_US).len(), 1_000);
    assert_eq!(limiter.concurrency(SECOND_US), None);
}

// Guards against a restarted daemon that floods a worker in need before its first answer.
#[test]
fn few_requests_pass_before_the_first_answer_of_a_running_worker() {
    let mut limiter = RateLimiter::default();
    limiter.assume_need(SECOND_US);
    assert!(limiter.has_token(SECOND_US));
    assert_eq!(limiter.concurrency(SECOND_US), None);
    let answered_us = SECOND_US + 600 * MS;
    let mut sent_us = send(&mut limiter, SECOND_US, answered_us);
    limiter.set(Some(rate("4.7")), answered_us);
    sent_us.extend(send(&mut limiter, answered_us, 20 * SECOND_US));
    assert!(most_in_window(&sent_us) <= allowed(4.7));
}

#[test]
fn only_finite_numbers_from_zero_are_rates() {
    for text in ["", "x", "-1", "inf", "NaN", "5/s"] {
        assert!(RequestRate::try_from(text).is_err(), "{text}");
    }
    assert_eq!(rate(" 14.9 ").to_string(), "14.9/s");
}

/// Gate whose worker takes 100 ms for each request, in virtual time.
struct Worker {
    gate: Gate,
    running: Vec<(u64, WorkKey)>,
    sent_us: Vec<u64>,
    refused: usize,
}

impl Worker {
    fn start(&mut self, key: WorkKey, now_us: u64) {
        self.running.push((now_us + 100 * MS, key));
        self.sent_us.push(now_us);
    }

    fn apply(&mut self, actions: Vec<Action>, now_us: u64) {
        for action in actions {
            match action {
                Action::Start(key) => self.start(key, now_us),
                Action::Refuse(..) => self.refused += 1,
            }
        }
    }

    /// Finishes what is due and offers a request each 10 ms.
    fn run(&mut self, from_us: u64, until_us: u64) {
        for now_us in (from_us..until_us).step_by(10 * MS as usize) {
            let mut actions = Vec::new();
            let (due, later) = self
                .running
                .iter()
                .partition(|(ends_us, _)| *ends_us <= now_us);
            self.running = later;
            let due: Vec<(u64, WorkKey)> = due;
            for (_, key) in due {
                self.gate.finish(key, Finish::Done, now_us, &mut actions);
            }
            self.gate.tick(now_us, &mut actions);
            let arrival = Arrival {
                rank: Rank::from_parts(Importance(1), (now_us / 10 / MS % 256) as u8),
                deadline_us: now_us + 800 * MS,
                exclusive: false,
            };
            match self.gate.offer(arrival, now_us, &mut actions) {
                GateDecision::Started(key) => self.start(key, now_us),
                GateDecision::Queued(_) => {}
                GateDecision::Refused(_) => self.refused += 1,
            }
            self.apply(actions, now_us);
        }
    }
}

// Guards against a gate that keeps the rate but reports free slots, so that senders go on choosing
// its worker.
#[test]
fn a_gate_keeps_the_rate_and_reports_the_concurrency_that_it_allows() {
    let mut gate = Gate::new(GateRules::new(50), 7);
    gate.announce(40, 0);
    gate.mark_warm(0);
    let mut worker = Worker {
        gate,
        running: Vec::new(),
        sent_us: Vec::new(),
        refused: 0,
    };
    worker.run(0, 2 * SECOND_US);
    assert_eq!(worker.refused, 0);
    assert_eq!(worker.gate.report(2 * SECOND_US).limit, 40);
    let mut actions = Vec::new();
    let named = Some(rate("20"));
    worker.gate.set_rate(named, 2 * SECOND_US, &mut actions);
    worker.apply(actions, 2 * SECOND_US);
    worker.sent_us.clear();
    worker.run(2 * SECOND_US, 12 * SECOND_US);
    assert!(most_in_window(&worker.sent_us) <= allowed(20.0));
    assert!(worker.sent_us.len() > 150, "{}", worker.sent_us.len());
    assert!(worker.gate.report(12 * SECOND_US).limit <= 4);
    assert!(worker.refused > 0);
}
