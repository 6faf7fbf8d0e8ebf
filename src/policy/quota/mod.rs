//! Quotas of organisations over all daemons of the deployment.
//!
//! Load pattern: the clients of one organisation send more than its quota, through any daemons and
//! in any region, while daemons restart, pause and lose each other.
//!
//! Every daemon owns an equal part of each quota and delegates it, for a short time, to one
//! *allocator* in its region. An allocator grants tokens at the rate of the parts delegated to it.
//! The daemon that a client calls asks the allocator for a token before it forwards the request, and
//! a token expires soon after it was asked for. An allocator that is short of tokens borrows some
//! from the allocators of other regions.
//!
//! What is conserved: each part is delegated to at most one allocator at any time, and a token is
//! subtracted before it is sent. A lost message loses tokens; it never creates any. What is lost
//! comes back with time alone:
//!
//! - A delegation ends by the clock of the allocator, measured from a reading of that clock which the
//!   delegating daemon quotes; the daemon waits longer by its own clock before it delegates the part
//!   again. Delays of messages only shorten a delegation.
//! - A token ends by the clock of the daemon that asked for it, measured from the time at which it
//!   asked. It is checked again after each wait.
//! - A daemon that starts waits until the delegations of its predecessor have ended. An allocator
//!   starts without tokens.
//! - The number of parts counts daemons that are out of reach for [`QuotaRules::lost_member_us`], so
//!   that each side of a network partition goes on with its own parts. Those that have ended in order
//!   are not counted.
//!
//! Organisations are divided into groups, each with its own allocator in each region. Silent
//! organisations cost no messages.

mod allocator;
mod bucket;
mod delegation;
pub mod message;
mod node;
mod requester;
mod view;

pub use {
    node::{Outgoing, QuotaCounters, QuotaNode},
    requester::{Decision, RequestKey, Verdict},
    view::{Presence, QuotaMember},
};

use derive_more::{Display, Error};

/// Groups of organisations; each has its own allocator in each region.
pub const GROUPS: usize = 4;

/// Limit on the requests of one organisation over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests beyond the rate that accumulate while fewer are sent.
    pub burst: f64,
}

/// Rate or burst that is not a number of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Display, Error)]
#[display("{rate_per_s} requests a second with a burst of {burst} is not a quota")]
pub struct QuotaError {
    rate_per_s: f64,
    burst: f64,
}

impl Quota {
    /// Validates a quota; a rate of zero means that there is none.
    ///
    /// # Errors
    ///
    /// Fails if the rate or the burst is negative or not finite.
    pub fn new(rate_per_s: f64, burst: f64) -> Result<Option<Self>, QuotaError> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        if !is_valid(rate_per_s) || !is_valid(burst) {
            return Err(QuotaError { rate_per_s, burst });
        }
        Ok((rate_per_s > 0.0).then_some(Self { rate_per_s, burst }))
    }
}

/// Which daemons share an allocator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllocatorScope {
    /// No others: each daemon grants its own part.
    Daemon,
    /// Those of a region.
    Region,
    /// All daemons.
    Deployment,
}

/// Timeouts and limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRules {
    /// Which daemons share an allocator.
    pub scope: AllocatorScope,
    /// Time after which a token expires, from when it was asked for.
    pub token_life_us: u64,
    /// Longest time for which a request of the highest importance waits for a token that its
    /// allocator will have. Others wait for less, so that an organisation above its quota spends it
    /// on its most important requests.
    pub max_delay_us: u64,
    /// Shortest interval at which delegations are renewed.
    pub min_renew_us: u64,
    /// Time for which a lost daemon counts as one that may still delegate its part.
    pub lost_member_us: u64,
}

impl QuotaRules {
    /// Longest share of the allowed excess that tokens in flight may use.
    const IN_FLIGHT_SHARE: f64 = 0.5;

    /// Rules for a quota that may be exceeded by the share `overage` in any window.
    pub fn new(window_us: u64, overage: f64) -> Self {
        let in_flight_us = window_us as f64 * overage * Self::IN_FLIGHT_SHARE;
        Self {
            scope: AllocatorScope::Region,
            token_life_us: in_flight_us.clamp(50_000.0, 500_000.0) as u64,
            max_delay_us: 150_000,
            min_renew_us: 150_000,
            lost_member_us: 6 * 3_600_000_000,
        }
    }
}
