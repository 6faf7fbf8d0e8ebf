//! Limit on the rate of requests that a backend server in need names in its answers.
//!
//! Load pattern: a backend server that cannot take the load it is sent and says so before it fails.
//! The gate sends all its requests, whichever daemon they come from, and keeps the rate. It also
//! reports the concurrency that the rate allows as its limit, so that senders prefer other backend
//! servers and the queue stays as short as the rate demands.

use {
    derive_more::{Display, Error},
    smol_str::{SmolStr, ToSmolStr},
};

/// Lowest rate kept. A backend server that is sent nothing gives no answer that could lift its
/// limit.
const MIN_PER_S: f64 = 0.5;

/// Time for which unused requests accumulate.
const BURST_S: f64 = 0.25;

/// Rate kept while it is unknown whether a limit is named.
const UNKNOWN_PER_S: f64 = 10.0;

/// Requests per second that a backend server takes from all senders together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
#[derive(Display)]
#[display("{_0}/s")]
pub struct RequestRate(f64);

/// Text that is not a rate.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("`{text}` is not a number of requests per second")]
pub struct RateError {
    text: SmolStr,
}

impl TryFrom<&str> for RequestRate {
    type Error = RateError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let per_s: Option<f64> = text.trim().parse().ok();
        per_s
            .filter(|per_s| per_s.is_finite() && *per_s >= 0.0)
            .map(Self)
            .ok_or_else(|| RateError {
                text: text.to_smolstr(),
            })
    }
}

/// Token bucket at the named rate; unlimited while none is named.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateLimiter {
    per_s: Option<f64>,
    /// Whether the rate is assumed, not named.
    is_assumed: bool,
    tokens: f64,
    refilled_us: u64,
}

impl RateLimiter {
    /// Applies the rate that the backend server names; `None` if it names none.
    pub fn set(&mut self, rate: Option<RequestRate>, now_us: u64) {
        self.refill(now_us);
        if self.per_s.is_none() {
            self.tokens = 0.0;
        }
        self.is_assumed = false;
        self.per_s = rate.map(|rate| rate.0.max(MIN_PER_S));
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Keeps a low rate until [`RateLimiter::set`] is called, for a backend server that may have
    /// named one to an earlier process.
    pub fn assume_need(&mut self, now_us: u64) {
        self.set(Some(RequestRate(UNKNOWN_PER_S)), now_us);
        self.tokens = self.capacity();
        self.is_assumed = true;
    }

    /// Returns whether a request may be sent now.
    pub fn has_token(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        self.per_s.is_none() || self.tokens >= 1.0
    }

    /// Records that a request is sent.
    pub fn take(&mut self) {
        if self.per_s.is_some() {
            self.tokens -= 1.0;
        }
    }

    /// Requests in flight that the named rate allows at this latency; `None` if none is named.
    pub fn concurrency(&self, latency_us: u64) -> Option<u32> {
        if self.is_assumed {
            return None;
        }
        let in_flight = self.per_s? * latency_us as f64 / 1_000_000.0;
        Some((in_flight.ceil() as u32).max(1))
    }

    fn capacity(&self) -> f64 {
        self.per_s.map_or(0.0, |per_s| (per_s * BURST_S).max(1.0))
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        self.refilled_us = self.refilled_us.max(now_us);
        if let Some(per_s) = self.per_s {
            let added = per_s * elapsed_us as f64 / 1_000_000.0;
            self.tokens = (self.tokens + added).min(self.capacity());
        }
    }
}
