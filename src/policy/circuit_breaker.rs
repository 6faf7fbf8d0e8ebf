//! Circuit breaker per class of requests, for classes whose nested calls nearly all fail.
//!
//! Load pattern: the workers of a service deep in the call graph refuse many calls although they
//! have spare capacity. A request that makes ten such calls fails almost always, after it has cost
//! work at every level and used retries that other requests need. Such a class is refused at once,
//! except for a few probe requests that detect recovery. Callers are advised to retry as late as
//! their deadline allows.

use {crate::collections::HashMap, smol_str::SmolStr};

/// Consecutive failures after which the circuit of a class opens. A class in which one request in
/// six succeeds reaches this about once in some hundred requests. At higher success rates,
/// admitting a request serves it better than making it wait for its second and last attempt.
const OPEN_AFTER_FAILURES: u32 = 30;

/// Share of the requests of an open circuit that is admitted, to detect recovery.
const PROBE_SHARE: f64 = 0.05;

/// Time without a result after which the circuit closes.
const STALE_US: u64 = 2_000_000;

#[derive(Debug, Default)]
struct Circuit {
    consecutive_failures: u32,
    result_at_us: u64,
}

/// Circuit breakers of all classes of requests at one daemon.
#[derive(Debug, Default)]
pub struct CircuitBreakers {
    classes: HashMap<SmolStr, Circuit>,
}

impl CircuitBreakers {
    /// Records the result of a request that ran: whether it failed because of its nested calls.
    pub fn record_result(&mut self, class: &SmolStr, has_failed: bool, now_us: u64) {
        let circuit = self.classes.entry(class.clone()).or_default();
        circuit.result_at_us = now_us;
        circuit.consecutive_failures = if has_failed {
            circuit.consecutive_failures.saturating_add(1)
        } else {
            0
        };
    }

    /// Number of consecutive failures if a request of this class is to be refused, else `None`;
    /// `draw` is a uniform random number between 0 and 1.
    pub fn refuses(&self, class: &str, draw: f64, now_us: u64) -> Option<u32> {
        let circuit = self.classes.get(class)?;
        let is_fresh = now_us.saturating_sub(circuit.result_at_us) < STALE_US;
        let is_open = is_fresh && circuit.consecutive_failures >= OPEN_AFTER_FAILURES;
        (is_open && draw >= PROBE_SHARE).then_some(circuit.consecutive_failures)
    }
}
