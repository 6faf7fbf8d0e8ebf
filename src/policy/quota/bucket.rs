//! Tokens of one organisation at one allocator.

/// Token bucket whose clock is the accrual of its allocator: seconds at the full rate of the quota.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    tokens: f64,
    refilled_at_s: f64,
}

impl Bucket {
    /// Creates a bucket that is empty at this accrual.
    pub(super) fn empty(accrual_s: f64) -> Self {
        Self {
            tokens: 0.0,
            refilled_at_s: accrual_s,
        }
    }

    /// Adds the tokens accrued since the last call, up to the capacity.
    pub(super) fn refill(&mut self, rate_per_s: f64, capacity: f64, accrual_s: f64) {
        let accrued_s = (accrual_s - self.refilled_at_s).max(0.0);
        self.refilled_at_s = accrual_s;
        self.tokens = (self.tokens + rate_per_s * accrued_s).min(capacity);
    }

    /// Tokens at present; negative after some were granted in advance.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whole tokens at present.
    pub(super) fn whole_tokens(&self) -> u32 {
        self.tokens.max(0.0) as u32
    }

    /// Subtracts tokens, also ones that have not accrued yet.
    pub(super) fn subtract(&mut self, tokens: u32) {
        self.tokens -= f64::from(tokens);
    }

    /// Adds tokens received from another allocator.
    pub(super) fn add(&mut self, tokens: u32) {
        self.tokens += f64::from(tokens);
    }

    /// Drops tokens beyond the capacity.
    pub(super) fn truncate(&mut self, capacity: f64) {
        self.tokens = self.tokens.min(capacity);
    }
}
