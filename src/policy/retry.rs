//! Retries: tokens per request, ratios per service and per caller, and the decision on each retry.

use {
    crate::request::{Outcome, Reason, Refusal},
    foldhash::fast::FixedState,
    serde::{Deserialize, Serialize},
    slotmap::{SlotMap, new_key_type},
    std::hash::{BuildHasher, Hash},
};

new_key_type! {
    /// Key of the retry tokens of one running request.
    pub struct TokenPoolKey;
}

/// Share of a request's remaining retry tokens that is delegated to a nested call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DelegationShare {
    /// No tokens: only the first sender may retry.
    Nothing,
    /// Half of the remaining tokens, rounded down.
    HalfDown,
    /// Half of the remaining tokens, rounded up.
    #[default]
    HalfUp,
    /// All tokens but one.
    KeepOne,
    /// All tokens.
    Everything,
}

impl DelegationShare {
    /// Number of tokens to delegate out of `remaining`.
    pub fn of(self, remaining: u8) -> u8 {
        match self {
            Self::Nothing => 0,
            Self::HalfDown => remaining / 2,
            Self::HalfUp => remaining.div_ceil(2),
            Self::KeepOne => remaining.saturating_sub(1),
            Self::Everything => remaining,
        }
    }
}

/// Retry tokens delegated to one call. They can be taken back at most once, since taking back
/// consumes this value; dropping it loses the tokens.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct DelegatedTokens {
    tokens: u8,
}

impl DelegatedTokens {
    /// Number of tokens to send with the call.
    pub fn tokens(&self) -> u8 {
        self.tokens
    }
}

/// Remaining retry tokens of each request that runs at a daemon's worker or that a caller has sent.
#[derive(Debug, Default)]
pub struct TokenPools {
    remaining: SlotMap<TokenPoolKey, u8>,
    share: DelegationShare,
}

impl TokenPools {
    /// Creates pools that delegate this share of their tokens to each call.
    pub fn new(share: DelegationShare) -> Self {
        Self {
            remaining: SlotMap::with_key(),
            share,
        }
    }

    /// Opens the pool of a request that arrived with `tokens`.
    pub fn open(&mut self, tokens: u8) -> TokenPoolKey {
        self.remaining.insert(tokens)
    }

    /// Takes tokens from the pool for one call, possibly none; returns `None` once the pool is
    /// closed.
    pub fn delegate(&mut self, key: TokenPoolKey) -> Option<DelegatedTokens> {
        let remaining = self.remaining.get_mut(key)?;
        let tokens = self.share.of(*remaining);
        *remaining -= tokens;
        Some(DelegatedTokens { tokens })
    }

    /// Adds the tokens that an answer returned to the pool, at most as many as were delegated.
    #[expect(clippy::needless_pass_by_value, reason = "tokens are taken back once")]
    pub fn take_back(&mut self, key: TokenPoolKey, delegated: DelegatedTokens, returned: u8) {
        let DelegatedTokens { tokens } = delegated;
        if let Some(remaining) = self.remaining.get_mut(key) {
            *remaining = remaining.saturating_add(returned.min(tokens));
        }
    }

    /// Returns all tokens delegated to a call to the pool, since the call was certainly not sent.
    pub fn take_back_unsent(&mut self, key: TokenPoolKey, delegated: DelegatedTokens) {
        let returned = delegated.tokens;
        self.take_back(key, delegated, returned);
    }

    /// Takes one token for an extra call; returns false if none remains.
    pub fn spend(&mut self, key: TokenPoolKey) -> bool {
        let Some(remaining) = self.remaining.get_mut(key) else {
            return false;
        };
        if *remaining == 0 {
            return false;
        }
        *remaining -= 1;
        true
    }

    /// Number of remaining tokens.
    pub fn remaining(&self, key: TokenPoolKey) -> u8 {
        self.remaining.get(key).copied().unwrap_or(0)
    }

    /// Closes the pool and returns the remaining tokens, to be sent back with the answer.
    pub fn close(&mut self, key: TokenPoolKey) -> u8 {
        self.remaining.remove(key).unwrap_or(0)
    }

    /// Number of open pools.
    pub fn len(&self) -> usize {
        self.remaining.len()
    }

    /// Returns whether no pool is open.
    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }
}

/// Half-life of the counts of first calls and retries.
const RATIO_HALF_LIFE_US: f64 = 5_000_000.0;

/// Decayed number of retries that is allowed with any number of first calls.
const RATIO_MIN_RETRIES: f64 = 3.0;

/// Limit on retries as a share of first calls; both counts decay exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryRatio {
    firsts: f64,
    retries: f64,
    at_us: u64,
}

impl RetryRatio {
    /// Counts a first call.
    pub fn count_first(&mut self, now_us: u64) {
        self.decay(now_us);
        self.firsts += 1.0;
    }

    /// Counts a retry if the ratio allows it, and returns whether it does.
    pub fn try_retry(&mut self, ratio_percent: u8, now_us: u64) -> bool {
        self.decay(now_us);
        let allowed = RATIO_MIN_RETRIES + self.firsts * f64::from(ratio_percent) / 100.0;
        if self.retries + 1.0 > allowed {
            return false;
        }
        self.retries += 1.0;
        true
    }

    fn decay(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.at_us);
        if elapsed_us == 0 {
            return;
        }
        let factor = (-(elapsed_us as f64) / RATIO_HALF_LIFE_US).exp2();
        self.firsts *= factor;
        self.retries *= factor;
        self.at_us = now_us;
    }
}

/// Number of cells in which each caller is counted.
const CELLS_PER_CALLER: usize = 2;

/// Limit on resends as a share of first requests for each caller, in memory of fixed size.
///
/// Callers share cells by hash. A resend is allowed if one of the caller's cells allows it, so that
/// a caller is limited by others only if it shares all of its cells with aggressive callers.
#[derive(Debug)]
pub struct CallerRetryRatio {
    rows: [Vec<RetryRatio>; CELLS_PER_CALLER],
    hashers: [FixedState; CELLS_PER_CALLER],
}

impl CallerRetryRatio {
    /// Creates a table with `cells` cells in each row.
    pub fn new(cells: usize, seed: u64) -> Self {
        let row = vec![RetryRatio::default(); cells.max(1)];
        Self {
            rows: [row.clone(), row],
            hashers: [FixedState::with_seed(seed), FixedState::with_seed(!seed)],
        }
    }

    /// Counts the first request of a caller.
    pub fn count_first(&mut self, caller: impl Hash, now_us: u64) {
        for row in 0..CELLS_PER_CALLER {
            self.cell(row, &caller).count_first(now_us);
        }
    }

    /// Counts a resend of a caller and returns whether it is allowed.
    pub fn try_resend(&mut self, caller: impl Hash, ratio_percent: u8, now_us: u64) -> bool {
        let mut allowed = false;
        for row in 0..CELLS_PER_CALLER {
            allowed |= self.cell(row, &caller).try_retry(ratio_percent, now_us);
        }
        allowed
    }

    fn cell(&mut self, row: usize, caller: &impl Hash) -> &mut RetryRatio {
        let hash = self.hashers[row].hash_one(caller);
        let cells = &mut self.rows[row];
        let index = (hash % cells.len() as u64) as usize;
        &mut cells[index]
    }
}

/// What a sender does about a call that was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Retry {
    /// Do not retry; return the refusal unchanged.
    PassUp,
    /// Send to another worker, without using a token or counting in the ratio.
    Move,
    /// Send to another worker, using one token and counting in the service's retry ratio.
    Paid,
}

/// State of a call, as input to the decision on a retry.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of [`Retry::Move`] decisions so far for this call.
    pub moves: u8,
    /// Remaining time until the deadline.
    pub remaining_us: u64,
    /// Expected latency of the call.
    pub expected_us: u64,
}

/// Number of moves per call that cost no token.
pub const FREE_MOVES: u8 = 3;

impl RetryContext {
    /// Decides whether a refused or failed call may be sent to another worker, and at what cost.
    pub fn decide(&self, refusal: Refusal) -> Retry {
        if self.remaining_us <= self.expected_us {
            return Retry::PassUp;
        }
        if refusal.outcome != Outcome::NotRun && !self.idempotent {
            return Retry::PassUp;
        }
        match refusal.reason {
            Reason::Draining if self.moves < FREE_MOVES => Retry::Move,
            Reason::Draining
            | Reason::WorkerFull
            | Reason::Unreachable
            | Reason::Broken
            | Reason::Crashed
            | Reason::Internal => Retry::Paid,
            _ => Retry::PassUp,
        }
    }
}
