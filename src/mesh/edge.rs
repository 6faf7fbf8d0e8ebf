//! Admission of clients' requests before any work is done for them, and the `Retry-After` advice of
//! refused ones.

use {
    crate::{
        mesh::{Mesh, forward::RoutedRequest},
        policy::admission::Verdict,
        request::{Reason, Refusal},
    },
    rand::RngExt,
};

/// Bounds of the `Retry-After` advice.
pub(super) const RETRY_AFTER_MIN_MS: u32 = 100;
const RETRY_AFTER_MAX_MS: u32 = 2_000;

/// Mean time added to the minimum advice when nothing of a class is admitted. With the jitter it
/// spreads the retries of clients over about a second.
const RETRY_AFTER_SPAN_MS: f64 = 800.0;

/// Longest delay that clients honour, as a share of their remaining time. They ignore longer
/// advice.
const RETRY_AFTER_REMAINING_SHARE: f64 = 1.0 / 3.0;

impl Mesh {
    /// Decides on the admission of a request; returns the refusal if it is not admitted.
    ///
    /// Quarantined requests are always refused. A client's request is also refused if the daemon
    /// may exit before answering it, if the downstream calls of its class currently fail, or if a
    /// service that it depends on is overloaded. A call of a running request is refused only if it
    /// is quarantined.
    pub(super) fn admit(&self, request: &RoutedRequest, now_us: u64) -> Option<Refusal> {
        if self.crashes.is_quarantined(request.fingerprint) {
            let refusal = Refusal::not_run(Reason::Quarantined);
            return Some(refusal.retry_after_ms(RETRY_AFTER_MAX_MS));
        }
        if request.depth > 0 {
            return None;
        }
        if !self.accepts_requests(now_us) {
            return Some(Refusal::not_run(Reason::Draining));
        }
        if let Some(refusal) = self.refuse_failing_class(request, now_us) {
            return Some(refusal);
        }
        let draw = self.rng.borrow_mut().random();
        let verdict = self
            .admission
            .borrow_mut()
            .decide(&request.class, draw, now_us);
        let Verdict::Refuse {
            bottleneck,
            load_permille,
            admitted_share,
        } = verdict
        else {
            return None;
        };
        self.metrics.count("edge.refused");
        tracing::info!(attempt = %request.metadata.attempt_id, route = %request.route.name,
            scarce = %bottleneck, load_permille, admitted_share, "refused at the edge");
        let jitter: f64 = self.rng.borrow_mut().random_range(0.5..1.5);
        let span_ms = RETRY_AFTER_SPAN_MS * (1.0 - admitted_share) * jitter;
        let after_ms = f64::from(RETRY_AFTER_MIN_MS) + span_ms;
        let after_ms = request.bounded_retry_after_ms(after_ms, now_us);
        Some(Refusal::not_run(Reason::Overload).retry_after_ms(after_ms))
    }

    /// Refuses a request of a class whose requests currently fail because of their downstream
    /// calls.
    fn refuse_failing_class(&self, request: &RoutedRequest, now_us: u64) -> Option<Refusal> {
        let draw = self.rng.borrow_mut().random();
        let lost_in_row =
            self.circuit_breakers
                .borrow()
                .refuses(&request.route.name, draw, now_us)?;
        self.metrics.count("edge.hopeless");
        tracing::info!(attempt = %request.metadata.attempt_id, route = %request.route.name,
            lost_in_row, "refused, as its calls fail");
        // Spreads retries over the second half of the longest delay that the client honours.
        let spread: f64 = self.rng.borrow_mut().random_range(0.5..1.0);
        let after_ms = f64::from(request.max_retry_after_ms(now_us)) * spread;
        Some(Refusal::not_run(Reason::Overload).retry_after_ms(after_ms as u32))
    }
}

impl RoutedRequest {
    /// Retry delay to advise, bounded by what the client honours.
    pub(super) fn bounded_retry_after_ms(&self, after_ms: f64, now_us: u64) -> u32 {
        (after_ms as u32).min(self.max_retry_after_ms(now_us))
    }

    /// Longest retry delay that the client honours, from the remaining time that it stated.
    fn max_retry_after_ms(&self, now_us: u64) -> u32 {
        let took_ms = now_us.saturating_sub(self.started_us) / 1_000;
        let max_ms = self
            .metadata
            .remaining_ms
            .map_or(f64::from(RETRY_AFTER_MAX_MS), |ms| {
                ms.saturating_sub(took_ms) as f64 * RETRY_AFTER_REMAINING_SHARE
            });
        (max_ms as u32).min(RETRY_AFTER_MAX_MS)
    }
}
