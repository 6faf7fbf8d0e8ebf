//! Turns at one worker for requests that must run with nothing else in flight.
//!
//! The worker is closed to all others only for a share of the time, so that many suspects do not
//! take the service from its other callers.

use std::{collections::BTreeMap, fmt::Debug};

const PERCENT: u64 = 100;
const US_PER_MS: u64 = 1_000;

/// Bounds of the turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AloneLimits {
    /// Share of the time that the worker may be closed to others.
    pub share_percent: u8,
    /// Time to wait for the worker to become empty, for one turn.
    pub emptying_ms: u32,
    /// Time for which one turn may take further suspects, one after the other.
    pub turn_ms: u32,
    /// Suspects that may wait.
    pub max_waiting: usize,
}

impl Default for AloneLimits {
    fn default() -> Self {
        Self {
            share_percent: 25,
            emptying_ms: 200,
            turn_ms: 200,
            max_waiting: 256,
        }
    }
}

/// Turns of suspects at one worker; `K` names a queued request.
#[derive(Debug)]
pub struct Turns<K> {
    limits: AloneLimits,
    phase: Phase,
    open_until_us: u64,
    waiting: BTreeMap<(bool, u64), K>,
    sequence: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Emptying { since_us: u64 },
    Alone { since_us: u64 },
}

impl<K: Copy + Eq + Debug> Turns<K> {
    /// Creates an open worker.
    pub fn new(limits: AloneLimits) -> Self {
        Self {
            limits,
            phase: Phase::Open,
            open_until_us: 0,
            waiting: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Tells whether requests that need no turn may start now.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Suspects that wait for a turn.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Queues a suspect, retries first; false if too many wait.
    #[must_use]
    pub fn queue(&mut self, key: K, is_retry: bool) -> bool {
        if self.waiting.len() >= self.limits.max_waiting {
            return false;
        }
        self.waiting.insert((!is_retry, self.sequence), key);
        self.sequence += 1;
        true
    }

    /// Takes a suspect out that gave up or whose deadline has passed.
    pub fn cancel(&mut self, key: K) {
        self.waiting.retain(|_, waiting| *waiting != key);
    }

    /// The suspect to run now, if any; called on each end of a request and on a timer.
    pub fn next(&mut self, in_flight: u32, now_us: u64) -> Option<K> {
        match self.phase {
            Phase::Alone { .. } => return None,
            Phase::Open => self.close(now_us)?,
            Phase::Emptying { since_us } => self.await_empty(since_us, in_flight, now_us)?,
        }
        if in_flight > 0 {
            return None;
        }
        let (_, key) = self.waiting.pop_first()?;
        let since_us = self.closed_since_us().unwrap_or(now_us);
        self.phase = Phase::Alone { since_us };
        Some(key)
    }

    /// Ends the run of a suspect, whatever became of it; the turn may go on with the next one.
    pub fn end(&mut self, now_us: u64) {
        let Phase::Alone { since_us } = self.phase else {
            return;
        };
        let turn_us = u64::from(self.limits.turn_ms) * US_PER_MS;
        let has_time = now_us.saturating_sub(since_us) < turn_us;
        if has_time && !self.waiting.is_empty() {
            self.phase = Phase::Emptying { since_us };
        } else {
            self.open(now_us);
        }
    }

    fn close(&mut self, now_us: u64) -> Option<()> {
        if self.waiting.is_empty() || now_us < self.open_until_us {
            return None;
        }
        self.phase = Phase::Emptying { since_us: now_us };
        Some(())
    }

    fn await_empty(&mut self, since_us: u64, in_flight: u32, now_us: u64) -> Option<()> {
        let limit_us = u64::from(self.limits.emptying_ms) * US_PER_MS;
        let is_overdue = in_flight > 0 && now_us.saturating_sub(since_us) >= limit_us;
        if self.waiting.is_empty() || is_overdue {
            self.open(now_us);
            return None;
        }
        Some(())
    }

    /// Opens the worker for as long as the closed time asks for.
    fn open(&mut self, now_us: u64) {
        let since_us = self.closed_since_us().unwrap_or(now_us);
        let closed_us = now_us.saturating_sub(since_us);
        let share_percent = u64::from(self.limits.share_percent).clamp(1, PERCENT);
        let open_us = closed_us * (PERCENT - share_percent) / share_percent;
        self.open_until_us = now_us + open_us;
        self.phase = Phase::Open;
    }

    fn closed_since_us(&self) -> Option<u64> {
        match self.phase {
            Phase::Open => None,
            Phase::Emptying { since_us } | Phase::Alone { since_us } => Some(since_us),
        }
    }
}
