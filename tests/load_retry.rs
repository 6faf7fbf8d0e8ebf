//! Retry allowance over random call trees, ratios and the retry rule.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::retry::{
            Accounts, Attempt, CallerRatio, FREE_MOVES, Loan, LoanSize, Retry, RetryRatio,
        },
        request::{Reason, Refusal},
    },
};

const DEPTH_MAX: u32 = 29;
const SECOND_US: u64 = 1_000_000;

/// How calls fail.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Refused by a worker before anything ran; the loan comes back.
    refused: f64,
    /// The callee ran, its answer and the loan are lost.
    lost: f64,
    /// The callee's daemon dies before it calls anyone; the loan is lost.
    crashed: f64,
    /// Whether a call that may have run is sent again.
    idempotent: bool,
}

/// One request over its tree.
struct Tree<'a> {
    accounts: &'a mut Accounts,
    rng: ChaCha8Rng,
    faults: Faults,
    fan_out: u32,
    extra_calls: u32,
    calls: u32,
}

impl Tree<'_> {
    /// Runs one service; it succeeds when all calls of it do.
    fn serve(&mut self, tokens: u8, depth: u32) -> (bool, u8) {
        let key = self.accounts.open(tokens);
        let children = if depth == 0 || self.calls > 2_000 {
            0
        } else {
            self.rng.random_range(1..=self.fan_out)
        };
        // Parallel calls: all take their first loan before any is settled.
        let loans: Vec<Loan> = (0..children)
            .filter_map(|_| self.accounts.lend(key))
            .collect();
        let mut whole = true;
        for loan in loans {
            whole &= self.call(key, loan, depth - 1);
        }
        (whole, self.accounts.close(key))
    }

    fn call(
        &mut self,
        key: shallotdeal::policy::retry::AccountKey,
        mut loan: Loan,
        depth: u32,
    ) -> bool {
        loop {
            self.calls += 1;
            let draw: f64 = self.rng.random_range(0.0..1.0);
            let Faults {
                refused,
                lost,
                crashed,
                idempotent,
            } = self.faults;
            let not_run = draw < refused;
            let answered = if draw < refused {
                self.accounts.revoke(key, loan);
                false
            } else if draw < refused + crashed {
                drop(loan);
                false
            } else {
                let (whole, returned) = self.serve(loan.tokens(), depth);
                if draw < refused + crashed + lost {
                    drop(loan);
                    false
                } else {
                    self.accounts.settle(key, loan, returned);
                    whole
                }
            };
            if answered {
                return true;
            }
            if !(not_run || idempotent) || !self.accounts.spend(key) {
                return false;
            }
            self.extra_calls += 1;
            let Some(next) = self.accounts.lend(key) else {
                return false;
            };
            loan = next;
        }
    }
}

fn run(size: LoanSize, tokens: u8, depth: u32, fan_out: u32, faults: Faults, seed: u64) -> Run {
    let mut accounts = Accounts::new(size);
    let mut tree = Tree {
        accounts: &mut accounts,
        rng: ChaCha8Rng::seed_from_u64(seed),
        faults,
        fan_out,
        extra_calls: 0,
        calls: 0,
    };
    let (whole, returned) = tree.serve(tokens, depth);
    let run = Run {
        whole,
        calls: tree.calls,
        extra_calls: tree.extra_calls,
    };
    assert!(run.extra_calls + u32::from(returned) <= u32::from(tokens));
    assert!(accounts.is_empty());
    run
}

struct Run {
    whole: bool,
    calls: u32,
    extra_calls: u32,
}

const SIZES: [LoanSize; 5] = [
    LoanSize::Nothing,
    LoanSize::HalfDown,
    LoanSize::HalfUp,
    LoanSize::KeepOne,
    LoanSize::Everything,
];

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn extra_calls_stay_within_the_allowance(
        tokens in 0_u8..12,
        depth in 1..=DEPTH_MAX,
        fan_out in 1_u32..4,
        refused in 0.0..0.3,
        lost in 0.0..0.3,
        crashed in 0.0..0.3,
        idempotent in any::<bool>(),
        size in prop::sample::select(SIZES.to_vec()),
        seed in any::<u64>(),
    ) {
        let faults = Faults { refused, lost, crashed, idempotent };
        let run = run(size, tokens, depth, fan_out, faults, seed);
        prop_assert!(run.extra_calls <= u32::from(tokens));
    }
}

/// Prints the share of requests that end whole, and the calls of one, for each size of loans.
#[test]
#[ignore = "measurement"]
fn measure() {
    for (name, refused, crashed, idempotent) in [
        ("refused, not idempotent", 0.02, 0.0, false),
        ("refused", 0.02, 0.0, true),
        ("crashed", 0.0, 0.02, true),
        ("mixed", 0.01, 0.01, true),
    ] {
        let faults = Faults {
            refused,
            lost: 0.0,
            crashed,
            idempotent,
        };
        for (depth, fan_out) in [(4, 1), (4, 3), (29, 1)] {
            for tokens in [3, 6] {
                print!("{name} depth {depth} fan-out {fan_out} tokens {tokens}:");
                for size in SIZES {
                    let runs =
                        (0..10_000).map(|seed| run(size, tokens, depth, fan_out, faults, seed));
                    let (whole, calls) = runs.fold((0, 0), |(whole, calls), run| {
                        (whole + u32::from(run.whole), calls + run.calls)
                    });
                    let whole_percent = f64::from(whole) / 100.0;
                    let calls = f64::from(calls) / 10_000.0;
                    print!(" {size:?} {whole_percent:.2} % {calls:.2}");
                }
                println!();
            }
        }
    }
}

#[test]
fn answer_returns_at_most_what_was_lent() {
    let mut accounts = Accounts::default();
    let key = accounts.open(5);
    let loan = accounts.lend(key).unwrap();
    accounts.settle(key, loan, 200);
    assert_eq!(accounts.held(key), 5);
}

#[test]
fn closed_account_takes_nothing_back() {
    let mut accounts = Accounts::default();
    let key = accounts.open(3);
    let loan = accounts.lend(key).unwrap();
    assert_eq!(accounts.close(key), 1);
    accounts.settle(key, loan, 2);
    assert_eq!(accounts.held(key), 0);
    assert!(!accounts.spend(key));
}

#[test]
fn retries_are_a_share_of_first_calls() {
    let mut ratio = RetryRatio::default();
    let rare = (0..10).filter(|_| ratio.retry(10, 0)).count();
    assert_eq!(rare, 3);
    let mut retries = 0;
    for call in 0..10_000 {
        let now_us = call * 1_000;
        ratio.first(now_us);
        retries += u32::from(ratio.retry(10, now_us));
    }
    assert!((950..=1_050).contains(&retries), "{retries}");
}

#[test]
fn hard_resenders_are_held_back_and_others_not() {
    let mut callers = CallerRatio::new(1_024, 1);
    let mut hard = 0;
    let mut other = 0;
    for step in 0..20_000_u64 {
        let now_us = step * 1_000;
        let caller = step % 200;
        callers.first(caller, now_us);
        if caller < 5 {
            hard += (0..20)
                .filter(|_| callers.resend(caller, 20, now_us))
                .count();
        } else if (step / 200) % 10 == 0 {
            other += usize::from(!callers.resend(caller, 20, now_us));
        }
    }
    assert!(hard < 500, "{hard}");
    assert_eq!(other, 0);
}

#[test]
fn rule_by_reason() {
    let attempt = Attempt {
        idempotent: false,
        moves: 0,
        remaining_us: SECOND_US,
        expected_us: SECOND_US / 10,
    };
    let late = Attempt {
        remaining_us: 0,
        ..attempt
    };
    let moved = Attempt {
        moves: FREE_MOVES,
        ..attempt
    };
    let repeatable = Attempt {
        idempotent: true,
        ..attempt
    };
    for reason in [
        Reason::Overload,
        Reason::Deadline,
        Reason::Quarantined,
        Reason::TicketVoid,
    ] {
        assert_eq!(repeatable.after(Refusal::not_run(reason)), Retry::PassUp);
    }
    for reason in [Reason::WorkerFull, Reason::Unreachable] {
        assert_eq!(attempt.after(Refusal::not_run(reason)), Retry::Paid);
        assert_eq!(late.after(Refusal::not_run(reason)), Retry::PassUp);
    }
    assert_eq!(
        attempt.after(Refusal::not_run(Reason::Draining)),
        Retry::Move
    );
    assert_eq!(moved.after(Refusal::not_run(Reason::Draining)), Retry::Paid);
    assert_eq!(
        attempt.after(Refusal::unknown(Reason::Broken)),
        Retry::PassUp
    );
    assert_eq!(
        repeatable.after(Refusal::unknown(Reason::Broken)),
        Retry::Paid
    );
}
