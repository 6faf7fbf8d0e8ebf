//! Share of requests that a backend server fails, as observed by its gate.
//!
//! Load pattern: a backend server that sheds, breaks off or never answers part of its requests while
//! it reports itself healthy. It finishes those requests fast, so that its load looks low and it
//! attracts more of them. The gate observes all its requests and reports the share to every sender
//! in its replies, so that none has to find out by failures of its own.

use crate::policy::ewma::sample_weight;

/// Time constant of the average.
const TAU_US: f64 = 300_000.0;

/// Smallest weight of one result: the average covers at most about fifty.
const MIN_WEIGHT: f64 = 0.02;

/// Largest weight of one result, so that a single failure after a pause is no verdict.
const MAX_WEIGHT: f64 = 0.2;

/// Moving average of the share of failed requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureShare {
    share: f64,
    updated_us: u64,
}

impl FailureShare {
    /// Records the result of one request.
    pub fn record(&mut self, has_failed: bool, now_us: u64) {
        let gap_us = now_us.saturating_sub(self.updated_us);
        let weight = sample_weight(gap_us, TAU_US).clamp(MIN_WEIGHT, MAX_WEIGHT);
        self.share += (f64::from(u8::from(has_failed)) - self.share) * weight;
        self.updated_us = now_us;
    }

    /// The share in thousandths.
    pub fn permille(&self) -> u16 {
        (self.share * 1_000.0) as u16
    }
}
