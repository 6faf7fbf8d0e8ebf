//! Refusal of callers' requests before they cost any work, and when to come back.

use {
    crate::{
        mesh::{Mesh, forward::Outgoing},
        policy::admission::Verdict,
        request::{Reason, Refusal},
    },
    rand::RngExt,
};

/// Bounds of the advice on when to come back.
pub(super) const RETRY_AFTER_MIN_MS: u32 = 100;
const RETRY_AFTER_MAX_MS: u32 = 2_000;

/// Time that is added to the least advice when nothing of a class is admitted, on average. Chosen so
/// that callers spread over about a second; other values were not compared.
const RETRY_AFTER_SPAN_MS: f64 = 800.0;

/// Part of the time left up to which callers wait as they are told; a later time is not honoured.
const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

impl Mesh {
    /// Refuses a caller's request that a stopping daemon may not live to answer, or that has no
    /// prospect deep in the call graph.
    pub(super) fn admit(&self, out: &Outgoing, now_us: u64) -> Option<Refusal> {
        if self.crashes.is_quarantined(out.fingerprint) {
            let refusal = Refusal::not_run(Reason::Quarantined);
            return Some(refusal.retry_after_ms(RETRY_AFTER_MAX_MS));
        }
        if out.depth > 0 {
            return None;
        }
        if !self.takes_requests(now_us) {
            return Some(Refusal::not_run(Reason::Draining));
        }
        if let Some(refusal) = self.lacks_prospect(out, now_us) {
            return Some(refusal);
        }
        let draw = self.rng.borrow_mut().random();
        let verdict = self
            .admission
            .borrow_mut()
            .decide(&out.route.name, draw, now_us);
        let Verdict::Refuse {
            bottleneck: scarce,
            load_permille,
            admitted_share,
        } = verdict
        else {
            return None;
        };
        self.metrics.count("edge.refused");
        tracing::info!(attempt = %out.facts.attempt_id, route = %out.route.name, %scarce,
            load_permille, admitted_share, "refused at the edge");
        let jitter: f64 = self.rng.borrow_mut().random_range(0.5..1.5);
        let span_ms = RETRY_AFTER_SPAN_MS * (1.0 - admitted_share) * jitter;
        let after_ms = f64::from(RETRY_AFTER_MIN_MS) + span_ms;
        let after_ms = (after_ms as u32).min(out.longest_retry_after_ms(now_us));
        Some(Refusal::not_run(Reason::Overload).retry_after_ms(after_ms))
    }

    /// Refuses a request of a class that is lost through its calls at present.
    fn lacks_prospect(&self, out: &Outgoing, now_us: u64) -> Option<Refusal> {
        let draw = self.rng.borrow_mut().random();
        let lost_in_row = self
            .prospects
            .borrow()
            .refuses(&out.route.name, draw, now_us)?;
        self.metrics.count("edge.hopeless");
        tracing::info!(attempt = %out.facts.attempt_id, route = %out.route.name, lost_in_row,
            "refused, as its calls fail");
        // Spread over the later half of the time in which the caller may come back.
        let spread: f64 = self.rng.borrow_mut().random_range(0.5..1.0);
        let after_ms = f64::from(out.longest_retry_after_ms(now_us)) * spread;
        Some(Refusal::not_run(Reason::Overload).retry_after_ms(after_ms as u32))
    }
}

impl Outgoing {
    /// Latest time for the caller to come back, by its own account of the time left.
    fn longest_retry_after_ms(&self, now_us: u64) -> u32 {
        let took_ms = now_us.saturating_sub(self.started_us) / 1_000;
        let left_ms = self
            .facts
            .remaining_ms
            .map_or(f64::from(RETRY_AFTER_MAX_MS), |ms| {
                ms.saturating_sub(took_ms) as f64 * RETRY_AFTER_SHARE
            });
        (left_ms as u32).min(RETRY_AFTER_MAX_MS)
    }
}
