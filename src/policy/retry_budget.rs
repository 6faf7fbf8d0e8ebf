//! Retry budget of one daemon for one service, without coordination among daemons.
//!
//! Each daemon limits its extra sends to a share of its own first sends in a sliding window. The
//! sum over any set of daemons then stays within the same share of all first sends, also during a
//! network partition. The share is divided among the levels of a call tree, since a request that is
//! sent again repeats its nested calls, and those count as extra sends at the services called.
//!
//! The most important requests may use the whole budget and others only a part, so that retries of
//! less important requests leave a reserve.

use std::collections::VecDeque;

/// Number of time slices in a window.
const SLICES: u64 = 20;

/// Part of the ratio for leaf services, which make no calls of their own. An extra send there
/// repeats no other call, so it is the cheapest place for a retry.
const LEAF_PART: f64 = 0.5;

/// Part of the ratio for each level above the leaves. Deployed call graphs have three such levels;
/// with the leaves they use 0.95 of the ratio, and the rest covers sends at the edge of a window.
const INNER_PART: f64 = 0.15;

/// Levels that get the whole inner part; each deeper level gets half as much as the level above it.
const INNER_LEVELS: u8 = 3;

/// Weight of one run in the average share of runs that made calls.
const RUN_WEIGHT: f64 = 0.05;

/// Largest share of runs with calls at which a service counts as a leaf.
const LEAF_CALLING_SHARE: f64 = 0.02;

/// Limit on extra sends, as set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetRules {
    /// Extra sends as a share of first sends.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window_us: u64,
}

impl RetryBudgetRules {
    /// Index of the time slice that contains `now_us`.
    fn slice(self, now_us: u64) -> u64 {
        now_us / (self.window_us / SLICES).max(1)
    }

    /// Last slice before the current window.
    fn last_expired_slice(self, now_us: u64) -> u64 {
        self.slice(now_us).saturating_sub(SLICES)
    }
}

/// Number of sends per time slice, oldest first.
#[derive(Debug, Default)]
struct Sends {
    slices: VecDeque<(u64, u32)>,
}

impl Sends {
    fn count(&mut self, slice: u64) {
        match self.slices.back_mut() {
            Some((last, count)) if *last == slice => *count += 1,
            _ => self.slices.push_back((slice, 1)),
        }
    }

    /// Drops all slices up to and including `slice`.
    fn drop_until(&mut self, slice: u64) {
        while self
            .slices
            .front()
            .is_some_and(|(first, _)| *first <= slice)
        {
            self.slices.pop_front();
        }
    }

    fn sum(&self, is_counted: impl Fn(u64) -> bool) -> f64 {
        let counted = self.slices.iter().filter(|(slice, _)| is_counted(*slice));
        counted.map(|(_, count)| f64::from(*count)).sum()
    }
}

/// Retry budget for one service: its first and extra sends in a sliding window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// First sends of the current window and of the previous one.
    firsts: Sends,
    extra: Sends,
    /// Average share of runs that made calls of their own.
    calling_share: f64,
}

impl RetryBudget {
    /// Counts the first send of a request.
    pub fn count_first_send(&mut self, rules: RetryBudgetRules, now_us: u64) {
        self.expire(rules, now_us);
        self.firsts.count(rules.slice(now_us));
    }

    /// Records whether a run at the service made calls of its own.
    pub fn observe_run(&mut self, made_calls: bool) {
        let calling = f64::from(u8::from(made_calls));
        self.calling_share += (calling - self.calling_share) * RUN_WEIGHT;
    }

    /// Counts an extra send of a request at this depth if it is within the budget, and returns
    /// whether it is; `importance_index` is the number of configured importances that are higher
    /// than that of the request.
    pub fn try_extra_send(
        &mut self,
        rules: RetryBudgetRules,
        importance_index: usize,
        depth: u8,
        now_us: u64,
    ) -> bool {
        self.expire(rules, now_us);
        let part = if self.calling_share <= LEAF_CALLING_SHARE {
            LEAF_PART
        } else {
            let deeper = (depth + 1).saturating_sub(INNER_LEVELS);
            INNER_PART * 0.5_f64.powi(i32::from(deeper))
        };
        let part = part / (1 + importance_index) as f64;
        let spent = self.extra.sum(|_| true);
        if spent + 1.0 > self.counted_firsts(rules, now_us) * rules.ratio * part {
            return false;
        }
        self.extra.count(rules.slice(now_us));
        true
    }

    /// First sends that the ratio applies to: those of the current window, or those of the previous
    /// one if it has more, for example when most requests have been refused since. The previous
    /// window counts for at most twice the current one, since requests may have moved to other
    /// daemons, which count them too.
    fn counted_firsts(&self, rules: RetryBudgetRules, now_us: u64) -> f64 {
        let expired = rules.last_expired_slice(now_us);
        let current = self.firsts.sum(|slice| slice > expired);
        let previous = self.firsts.sum(|slice| slice <= expired);
        f64::max(current, previous.min(2.0 * current))
    }

    fn expire(&mut self, rules: RetryBudgetRules, now_us: u64) {
        let expired = rules.last_expired_slice(now_us);
        self.firsts.drop_until(expired.saturating_sub(SLICES));
        self.extra.drop_until(expired);
    }
}
