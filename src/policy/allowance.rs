//! Extra sends that one daemon may cause at a service, without agreement among daemons.
//!
//! Each daemon stays within a share of its own first sends in a sliding window. The sum over any set
//! of daemons then stays within the same share of all first sends, whoever can reach whom. The share
//! is divided among the levels of a call tree, since a request that is sent again makes its calls
//! again, and those count at the services called.

use std::collections::VecDeque;

/// Parts that a window is counted in.
const SLICES: u64 = 20;

/// Levels of a call tree that get an equal part of the share; the users' graphs have four.
const LEVELS: f64 = 4.0;

/// Part of the share that is used at most; the rest covers sends that cross a window's edge.
const USED_SHARE: f64 = 0.9;

/// Bound on extra sends that operators set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceRules {
    /// Extra sends over first sends.
    pub ratio: f64,
    /// Length of the window.
    pub window_us: u64,
}

/// Count of one service's sends in a sliding window.
#[derive(Debug, Default)]
pub struct Allowance {
    slices: VecDeque<(u64, u32)>,
    firsts: u64,
    extra: VecDeque<(u64, f64)>,
}

impl Allowance {
    /// Counts the first send of a request.
    pub fn first(&mut self, rules: AllowanceRules, now_us: u64) {
        self.expire(rules, now_us);
        let slice = now_us / (rules.window_us / SLICES).max(1);
        match self.slices.back_mut() {
            Some((last, count)) if *last == slice => *count += 1,
            _ => self.slices.push_back((slice, 1)),
        }
        self.firsts += 1;
    }

    /// Tells whether one more send of a request at this depth is within the bound, and counts it.
    pub fn extra(&mut self, rules: AllowanceRules, depth: u8, now_us: u64) -> bool {
        self.expire(rules, now_us);
        let deeper = (f64::from(depth) + 1.0 - LEVELS).max(0.0);
        let ratio = rules.ratio * USED_SHARE / LEVELS * 0.5_f64.powf(deeper);
        let spent: f64 = self.extra.iter().map(|(_, sends)| sends).sum();
        if spent + 1.0 > self.firsts as f64 * ratio {
            return false;
        }
        let slice = now_us / (rules.window_us / SLICES).max(1);
        match self.extra.back_mut() {
            Some((last, count)) if *last == slice => *count += 1.0,
            _ => self.extra.push_back((slice, 1.0)),
        }
        true
    }

    fn expire(&mut self, rules: AllowanceRules, now_us: u64) {
        let oldest = (now_us / (rules.window_us / SLICES).max(1)).saturating_sub(SLICES);
        while let Some((slice, count)) = self.slices.front() {
            if *slice > oldest {
                break;
            }
            self.firsts -= u64::from(*count);
            self.slices.pop_front();
        }
        while self
            .extra
            .front()
            .is_some_and(|(slice, _)| *slice <= oldest)
        {
            self.extra.pop_front();
        }
    }
}
