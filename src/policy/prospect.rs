//! Requests that cannot succeed at present, as a service below fails nearly all of what they need.
//!
//! Load pattern: the workers of a service deep in the call graph turn away many calls although they
//! have room. A request that makes ten such calls is lost in all but a few cases, after it has cost
//! work at every level and the retries that others need. Such a class is refused at once, but for a
//! few requests that show when the service is back; each caller is asked to come back as late as it
//! can.

use {crate::collections::HashMap, smol_str::SmolStr};

/// Requests lost in a row after which a class is refused. A class of which one in six succeeds gets
/// there once in some hundred requests: below that, a request that is let through does better than
/// one that waits for its second and last try.
const HOPELESS_IN_ROW: u32 = 30;

/// Part of a refused class that is let through, to see when the service is back.
const PROBE_SHARE: f64 = 0.05;

/// Time without a result after which a class is no longer judged.
const STALE_US: u64 = 2_000_000;

#[derive(Debug, Default)]
struct Prospect {
    lost_in_row: u32,
    seen_us: u64,
}

/// Results of all classes of requests at one daemon.
#[derive(Debug, Default)]
pub struct Prospects {
    classes: HashMap<SmolStr, Prospect>,
}

impl Prospects {
    /// Takes the result of a request that ran: whether it failed because of the calls inside it.
    pub fn ran(&mut self, class: &SmolStr, was_lost: bool, now_us: u64) {
        let known = self.classes.entry(class.clone()).or_default();
        known.seen_us = now_us;
        known.lost_in_row = if was_lost {
            known.lost_in_row.saturating_add(1)
        } else {
            0
        };
    }

    /// Requests lost in a row if a request of this class is to be refused; `draw` is uniform between
    /// 0 and 1.
    pub fn refuses(&self, class: &str, draw: f64, now_us: u64) -> Option<u32> {
        let known = self.classes.get(class)?;
        let is_known = now_us.saturating_sub(known.seen_us) < STALE_US;
        let is_hopeless = is_known && known.lost_in_row >= HOPELESS_IN_ROW;
        (is_hopeless && draw >= PROBE_SHARE).then_some(known.lost_in_row)
    }
}
