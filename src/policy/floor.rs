//! Order among classes at one ingress, across services.

use crate::request::Importance;

/// Time for which the refusal of a class keeps less important ones out.
const HOLD_US: u64 = 100_000;

/// Keeps less important requests out while more important ones are being refused.
#[derive(Debug, Default)]
pub struct Floor {
    held: Option<Held>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    importance: Importance,
    until_us: u64,
}

impl Floor {
    /// Notes that a request of this importance was refused for overload.
    pub fn refused(&mut self, importance: Importance, now_us: u64) {
        if self.admits(importance, now_us) {
            self.held = Some(Held {
                importance,
                until_us: now_us + HOLD_US,
            });
        }
    }

    /// Tells whether no more important request has been refused just now.
    pub fn admits(&self, importance: Importance, now_us: u64) -> bool {
        self.held
            .is_none_or(|held| now_us >= held.until_us || importance <= held.importance)
    }

    /// Time until the floor opens, as advice to callers.
    pub fn retry_after_ms(&self, now_us: u64) -> u32 {
        let until_us = self.held.map_or(now_us, |held| held.until_us);
        (until_us.saturating_sub(now_us) / 1_000) as u32 + 1
    }
}
