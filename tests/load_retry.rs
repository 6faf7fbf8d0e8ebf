//! Retry tokens over random call trees, retry ratios, and the decision on each retry.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::retry::{
            CallerRetryRatio, DelegatedTokens, DelegationShare, FREE_MOVES, Retry, RetryContext,
            RetryRatio, TokenPools,
        },
        request::{Reason, Refusal},
    },
};

const DEPTH_MAX: u32 = 29;
const SECOND_US: u64 = 1_000_000;

/// Probabilities of failure of one call.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// A worker refuses the call before anything ran; the delegated tokens are taken back.
    refused: f64,
    /// The callee runs the call, but its answer and the delegated tokens are lost.
    lost: f64,
    /// The callee's daemon crashes before it makes calls; the delegated tokens are lost.
    crashed: f64,
    /// Whether a call that may have run is sent again.
    idempotent: bool,
}

/// One request and its call tree.
struct Tree<'a> {
    pools: &'a mut TokenPools,
    rng: ChaCha8Rng,
    faults: Faults,
    fan_out: u32,
    extra_calls: u32,
    calls: u32,
}

impl Tree<'_> {
    /// Runs one service, which succeeds if all its calls do. Returns the success and the remaining
    /// tokens.
    fn serve(&mut self, tokens: u8, depth: u32) -> (bool, u8) {
        let key = self.pools.open(tokens);
        let children = if depth == 0 || self.calls > 2_000 {
            0
        } else {
            self.rng.random_range(1..=self.fan_out)
        };
        // Parallel calls: tokens are delegated to all of them before any are taken back.
        let delegated: Vec<DelegatedTokens> = (0..children)
            .filter_map(|_| self.pools.delegate(key))
            .collect();
        let mut has_succeeded = true;
        for tokens in delegated {
            has_succeeded &= self.call(key, tokens, depth - 1);
        }
        (has_succeeded, self.pools.close(key))
    }

    fn call(
        &mut self,
        key: shallotdeal::policy::retry::TokenPoolKey,
        mut delegated: DelegatedTokens,
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
            let is_not_run = draw < refused;
            let is_answered = if draw < refused {
                self.pools.take_back_unsent(key, delegated);
                false
            } else if draw < refused + crashed {
                drop(delegated);
                false
            } else {
                let (has_succeeded, returned) = self.serve(delegated.tokens(), depth);
                if draw < refused + crashed + lost {
                    drop(delegated);
                    false
                } else {
                    self.pools.take_back(key, delegated, returned);
                    has_succeeded
                }
            };
            if is_answered {
                return true;
            }
            if !(is_not_run || idempotent) || !self.pools.spend(key) {
                return false;
            }
            self.extra_calls += 1;
            let Some(next) = self.pools.delegate(key) else {
                return false;
            };
            delegated = next;
        }
    }
}

fn run(
    share: DelegationShare,
    tokens: u8,
    depth: u32,
    fan_out: u32,
    faults: Faults,
    seed: u64,
) -> Run {
    let mut pools = TokenPools::new(share);
    let mut tree = Tree {
        pools: &mut pools,
        rng: ChaCha8Rng::seed_from_u64(seed),
        faults,
        fan_out,
        extra_calls: 0,
        calls: 0,
    };
    let (has_succeeded, returned) = tree.serve(tokens, depth);
    let run = Run {
        has_succeeded,
        calls: tree.calls,
        extra_calls: tree.extra_calls,
    };
    assert!(run.extra_calls + u32::from(returned) <= u32::from(tokens));
    assert!(pools.is_empty());
    run
}

struct Run {
    has_succeeded: bool,
    calls: u32,
    extra_calls: u32,
}

const SHARES: [DelegationShare; 5] = [
    DelegationShare::Nothing,
    DelegationShare::HalfDown,
    DelegationShare::HalfUp,
    DelegationShare::KeepOne,
    DelegationShare::Everything,
];

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn extra_calls_stay_within_the_tokens(
        tokens in 0_u8..12,
        depth in 1..=DEPTH_MAX,
        fan_out in 1_u32..4,
        refused in 0.0..0.3,
        lost in 0.0..0.3,
        crashed in 0.0..0.3,
        idempotent in any::<bool>(),
        share in prop::sample::select(SHARES.to_vec()),
        seed in any::<u64>(),
    ) {
        let faults = Faults { refused, lost, crashed, idempotent };
        let run = run(share, tokens, depth, fan_out, faults, seed);
        prop_assert!(run.extra_calls <= u32::from(tokens));
    }
}

/// Prints the share of requests that succeed and the mean number of calls of a request, for each
/// delegated share.
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
                for share in SHARES {
                    let runs =
                        (0..10_000).map(|seed| run(share, tokens, depth, fan_out, faults, seed));
                    let (succeeded, calls) = runs.fold((0, 0), |(succeeded, calls), run| {
                        (succeeded + u32::from(run.has_succeeded), calls + run.calls)
                    });
                    let succeeded_percent = f64::from(succeeded) / 100.0;
                    let calls = f64::from(calls) / 10_000.0;
                    print!(" {share:?} {succeeded_percent:.2} % {calls:.2}");
                }
                println!();
            }
        }
    }
}

#[test]
fn answer_returns_at_most_the_delegated_tokens() {
    let mut pools = TokenPools::default();
    let key = pools.open(5);
    let delegated = pools.delegate(key).unwrap();
    pools.take_back(key, delegated, 200);
    assert_eq!(pools.remaining(key), 5);
}

#[test]
fn closed_pool_takes_no_tokens_back() {
    let mut pools = TokenPools::default();
    let key = pools.open(3);
    let delegated = pools.delegate(key).unwrap();
    assert_eq!(pools.close(key), 1);
    pools.take_back(key, delegated, 2);
    assert_eq!(pools.remaining(key), 0);
    assert!(!pools.spend(key));
}

#[test]
fn retries_are_a_share_of_first_calls() {
    let mut ratio = RetryRatio::default();
    let rare = (0..10).filter(|_| ratio.try_retry(10, 0)).count();
    assert_eq!(rare, 3);
    let mut retries = 0;
    for call in 0..10_000 {
        let now_us = call * 1_000;
        ratio.count_first(now_us);
        retries += u32::from(ratio.try_retry(10, now_us));
    }
    assert!((950..=1_050).contains(&retries), "{retries}");
}

#[test]
fn aggressive_callers_are_limited_and_others_not() {
    let mut callers = CallerRetryRatio::new(1_024, 1);
    let mut aggressive = 0;
    let mut other = 0;
    for step in 0..20_000_u64 {
        let now_us = step * 1_000;
        let caller = step % 200;
        callers.count_first(caller, now_us);
        if caller < 5 {
            aggressive += (0..20)
                .filter(|_| callers.try_resend(caller, 20, now_us))
                .count();
        } else if (step / 200) % 10 == 0 {
            other += usize::from(!callers.try_resend(caller, 20, now_us));
        }
    }
    assert!(aggressive < 500, "{aggressive}");
    assert_eq!(other, 0);
}

#[test]
fn retry_decision_by_reason() {
    let call = RetryContext {
        idempotent: false,
        moves: 0,
        remaining_us: SECOND_US,
        expected_us: SECOND_US / 10,
    };
    let late = RetryContext {
        remaining_us: 0,
        ..call
    };
    let moved = RetryContext {
        moves: FREE_MOVES,
        ..call
    };
    let idempotent = RetryContext {
        idempotent: true,
        ..call
    };
    for reason in [
        Reason::Overload,
        Reason::Deadline,
        Reason::Quarantined,
        Reason::TicketVoid,
    ] {
        assert_eq!(idempotent.decide(Refusal::not_run(reason)), Retry::PassUp);
    }
    for reason in [Reason::WorkerFull, Reason::Unreachable] {
        assert_eq!(call.decide(Refusal::not_run(reason)), Retry::Paid);
        assert_eq!(late.decide(Refusal::not_run(reason)), Retry::PassUp);
    }
    assert_eq!(call.decide(Refusal::not_run(Reason::Draining)), Retry::Move);
    assert_eq!(
        moved.decide(Refusal::not_run(Reason::Draining)),
        Retry::Paid
    );
    assert_eq!(call.decide(Refusal::unknown(Reason::Broken)), Retry::PassUp);
    assert_eq!(
        idempotent.decide(Refusal::unknown(Reason::Broken)),
        Retry::Paid
    );
}
