//! Extra sends that one daemon may cause at a service, without agreement among daemons.
//!
//! Each daemon stays within a share of its own first sends in a sliding window. The sum over any set
//! of daemons then stays within the same share of all first sends, whoever can reach whom. The share
//! is divided among the levels of a call tree, since a request that is sent again makes its calls
//! again, and those count at the services called.
//!
//! The most important requests may use all of it, others a part, so that retries which will not
//! save a cheap request are not missed by a dear one.

use std::collections::VecDeque;

/// Parts that a window is counted in.
const SLICES: u64 = 20;

/// Part of the ratio for services that make no calls of their own. A send there repeats nothing else,
/// so it does the most for its price.
const LEAF_PART: f64 = 0.5;

/// Part of the ratio for each level above them. The users' graphs have three such levels; with the
/// leaves they use up 0.95 of the ratio, and the rest covers sends that cross a window's edge.
const INNER_PART: f64 = 0.15;

/// Levels that get the whole part; each further one gets half of the one before.
const INNER_LEVELS: u8 = 3;

/// Weight of one run in the share of runs that made calls.
const CALLS_WEIGHT: f64 = 0.05;

/// Share of runs with calls up to which a service counts as a leaf.
const LEAF_SHARE: f64 = 0.02;

/// Bound on extra sends that operators set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceRules {
    /// Extra sends over first sends.
    pub ratio: f64,
    /// Length of the window.
    pub window_us: u64,
}

impl AllowanceRules {
    /// Number of the slice of time that sends are counted in.
    fn slice(self, now_us: u64) -> u64 {
        now_us / (self.window_us / SLICES).max(1)
    }

    /// Last slice before the present window.
    fn oldest_slice(self, now_us: u64) -> u64 {
        self.slice(now_us).saturating_sub(SLICES)
    }
}

/// Sends by slice of time, the oldest first.
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

    fn forget_until(&mut self, slice: u64) {
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

/// Count of one service's sends in a sliding window.
#[derive(Debug, Default)]
pub struct Allowance {
    /// First sends, of the present window and of the one before it.
    firsts: Sends,
    extra: Sends,
    calling_share: f64,
}

impl Allowance {
    /// Counts the first send of a request.
    pub fn first(&mut self, rules: AllowanceRules, now_us: u64) {
        self.expire(rules, now_us);
        self.firsts.count(rules.slice(now_us));
    }

    /// Takes whether a run at the service made calls of its own.
    pub fn ran(&mut self, made_calls: bool) {
        let calling = f64::from(u8::from(made_calls));
        self.calling_share += (calling - self.calling_share) * CALLS_WEIGHT;
    }

    /// Tells whether one more send of a request at this depth is within the bound, and counts it;
    /// `place` is the number of importances that go before the request's.
    pub fn extra(&mut self, rules: AllowanceRules, place: usize, depth: u8, now_us: u64) -> bool {
        self.expire(rules, now_us);
        let part = if self.calling_share <= LEAF_SHARE {
            LEAF_PART
        } else {
            let deeper = (depth + 1).saturating_sub(INNER_LEVELS);
            INNER_PART * 0.5_f64.powi(i32::from(deeper))
        };
        let part = part / (1 + place) as f64;
        let spent = self.extra.sum(|_| true);
        if spent + 1.0 > self.counted_firsts(rules, now_us) * rules.ratio * part {
            return false;
        }
        self.extra.count(rules.slice(now_us));
        true
    }

    /// First sends that count: those of the present window, or of the one before it, as when most
    /// requests are refused since. The latter count up to twice the former, as requests that now
    /// come to other daemons are counted there.
    fn counted_firsts(&self, rules: AllowanceRules, now_us: u64) -> f64 {
        let oldest = rules.oldest_slice(now_us);
        let present = self.firsts.sum(|slice| slice > oldest);
        let before = self.firsts.sum(|slice| slice <= oldest);
        f64::max(present, before.min(2.0 * present))
    }

    fn expire(&mut self, rules: AllowanceRules, now_us: u64) {
        let oldest = rules.oldest_slice(now_us);
        self.firsts.forget_until(oldest.saturating_sub(SLICES));
        self.extra.forget_until(oldest);
    }
}
