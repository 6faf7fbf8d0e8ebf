//! Priority of more important classes at one ingress, across services.

use crate::request::Importance;

/// Time for which a refusal for overload also refuses less important requests.
const HOLD_US: u64 = 100_000;

/// Refuses less important requests while more important ones are being refused for overload.
#[derive(Debug, Default)]
pub struct ImportanceFloor {
    last_refusal: Option<RecordedRefusal>,
}

#[derive(Debug, Clone, Copy)]
struct RecordedRefusal {
    importance: Importance,
    until_us: u64,
}

impl ImportanceFloor {
    /// Records that a request of this importance was refused for overload.
    pub fn record_refusal(&mut self, importance: Importance, now_us: u64) {
        if self.admits(importance, now_us) {
            self.last_refusal = Some(RecordedRefusal {
                importance,
                until_us: now_us + HOLD_US,
            });
        }
    }

    /// Returns whether no more important request has been refused within the hold time.
    pub fn admits(&self, importance: Importance, now_us: u64) -> bool {
        self.last_refusal
            .is_none_or(|refusal| now_us >= refusal.until_us || importance <= refusal.importance)
    }

    /// Time until the floor ends, rounded up, as retry-after advice to callers.
    pub fn retry_after_ms(&self, now_us: u64) -> u32 {
        let until_us = self.last_refusal.map_or(now_us, |refusal| refusal.until_us);
        (until_us.saturating_sub(now_us) / 1_000) as u32 + 1
    }
}
