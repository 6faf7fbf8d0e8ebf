//! Retry allowance of a request, retry ratio of a service and of a caller, and the retry rule.

use {
    crate::request::{Outcome, Reason, Refusal},
    foldhash::fast::FixedState,
    serde::{Deserialize, Serialize},
    slotmap::{SlotMap, new_key_type},
    std::hash::{BuildHasher, Hash},
};

new_key_type! {
    /// Key of the account of one running request.
    pub struct AccountKey;
}

/// How much of the held tokens a call takes along.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoanSize {
    /// Nothing: only the first sender may retry.
    Nothing,
    /// Half of what is held, rounded down.
    HalfDown,
    /// Half of what is held, rounded up.
    #[default]
    HalfUp,
    /// All but one token.
    KeepOne,
    /// All that is held.
    Everything,
}

impl LoanSize {
    /// Tokens to lend out of `held`.
    pub fn of(self, held: u8) -> u8 {
        match self {
            Self::Nothing => 0,
            Self::HalfDown => held / 2,
            Self::HalfUp => held.div_ceil(2),
            Self::KeepOne => held.saturating_sub(1),
            Self::Everything => held,
        }
    }
}

/// Tokens that a call carries. Settled at most once, since settling consumes it; dropping it loses
/// the tokens.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Loan {
    tokens: u8,
}

impl Loan {
    /// Tokens to send along with the call.
    pub fn tokens(&self) -> u8 {
        self.tokens
    }
}

/// Accounts of the requests that a daemon's worker is running.
#[derive(Debug, Default)]
pub struct Accounts {
    held: SlotMap<AccountKey, u8>,
    size: LoanSize,
}

impl Accounts {
    /// Accounts that lend by this rule.
    pub fn new(size: LoanSize) -> Self {
        Self {
            held: SlotMap::with_key(),
            size,
        }
    }

    /// Opens the account of a request that arrived with `tokens`.
    pub fn open(&mut self, tokens: u8) -> AccountKey {
        self.held.insert(tokens)
    }

    /// Takes a loan for one call; it may be empty. `None` once the account is closed.
    pub fn lend(&mut self, key: AccountKey) -> Option<Loan> {
        let held = self.held.get_mut(key)?;
        let tokens = self.size.of(*held);
        *held -= tokens;
        Some(Loan { tokens })
    }

    /// Takes back what an answer returned, at most what was lent.
    #[expect(clippy::needless_pass_by_value, reason = "a loan is settled once")]
    pub fn settle(&mut self, key: AccountKey, loan: Loan, returned: u8) {
        let Loan { tokens } = loan;
        if let Some(held) = self.held.get_mut(key) {
            *held = held.saturating_add(returned.min(tokens));
        }
    }

    /// Takes back the whole loan of a call that was certainly not sent.
    pub fn revoke(&mut self, key: AccountKey, loan: Loan) {
        let returned = loan.tokens;
        self.settle(key, loan, returned);
    }

    /// Takes one token for an extra call.
    pub fn spend(&mut self, key: AccountKey) -> bool {
        let Some(held) = self.held.get_mut(key) else {
            return false;
        };
        if *held == 0 {
            return false;
        }
        *held -= 1;
        true
    }

    /// Tokens held at present.
    pub fn held(&self, key: AccountKey) -> u8 {
        self.held.get(key).copied().unwrap_or(0)
    }

    /// Closes the account; the remainder travels back with the answer.
    pub fn close(&mut self, key: AccountKey) -> u8 {
        self.held.remove(key).unwrap_or(0)
    }

    /// Number of open accounts.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no account is open.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// Time in which a count of calls loses half of its weight.
const RATIO_HALF_LIFE_US: f64 = 5_000_000.0;

/// Retries allowed in the window whatever the number of first calls.
const RATIO_FLOOR: f64 = 3.0;

/// Retries as a share of first calls, both in a decaying window.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryRatio {
    firsts: f64,
    retries: f64,
    at_us: u64,
}

impl RetryRatio {
    /// Counts a first call.
    pub fn first(&mut self, now_us: u64) {
        self.decay(now_us);
        self.firsts += 1.0;
    }

    /// Counts a retry if the ratio allows it.
    pub fn retry(&mut self, ratio_percent: u8, now_us: u64) -> bool {
        self.decay(now_us);
        let allowed = RATIO_FLOOR + self.firsts * f64::from(ratio_percent) / 100.0;
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

/// Cells in which each caller is counted.
const CELLS_PER_CALLER: usize = 2;

/// Resends as a share of first requests for each caller, in memory of fixed size.
///
/// Callers share cells by hash. A resend is let through if one of the caller's cells allows it, so
/// that a caller is held back only where all of its cells are shared with hard resenders.
#[derive(Debug)]
pub struct CallerRatio {
    rows: [Vec<RetryRatio>; CELLS_PER_CALLER],
    hashers: [FixedState; CELLS_PER_CALLER],
}

impl CallerRatio {
    /// Table with `cells` cells in each of its rows.
    pub fn new(cells: usize, seed: u64) -> Self {
        let row = vec![RetryRatio::default(); cells.max(1)];
        Self {
            rows: [row.clone(), row],
            hashers: [FixedState::with_seed(seed), FixedState::with_seed(!seed)],
        }
    }

    /// Counts the first request of a caller.
    pub fn first(&mut self, caller: impl Hash, now_us: u64) {
        for row in 0..CELLS_PER_CALLER {
            self.cell(row, &caller).first(now_us);
        }
    }

    /// Counts a resend of a caller and tells whether to let it through.
    pub fn resend(&mut self, caller: impl Hash, ratio_percent: u8, now_us: u64) -> bool {
        let mut allowed = false;
        for row in 0..CELLS_PER_CALLER {
            allowed |= self.cell(row, &caller).retry(ratio_percent, now_us);
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

/// What a sender does about a call that got no answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Retry {
    /// Hand the refusal on unchanged.
    PassUp,
    /// Send to another worker without taking a token or counting it in the ratio.
    Move,
    /// Send to another worker, for one token and within the service's ratio.
    Paid,
}

/// State of the call that a retry is weighed for.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Free moves made so far for this call.
    pub moves: u8,
    /// Time until the deadline.
    pub remaining_us: u64,
    /// Time that the call is expected to take.
    pub expected_us: u64,
}

/// Free moves for one call; beyond them a move costs a token.
pub const FREE_MOVES: u8 = 3;

impl Attempt {
    /// Tells whether and at what price a refused or failed call may be sent elsewhere.
    pub fn after(&self, refusal: Refusal) -> Retry {
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
