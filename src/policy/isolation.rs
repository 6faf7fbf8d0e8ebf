//! Scheduling of crash suspects at one worker: each runs in isolation, with nothing else in flight.
//!
//! The worker is closed to other requests only for a limited share of the time, so that many
//! suspects do not deny the service to other callers.

use std::{collections::BTreeMap, fmt::Debug};

const PERCENT: u64 = 100;
const US_PER_MS: u64 = 1_000;

/// Limits on isolated runs at one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IsolationLimits {
    /// Largest share of the time for which the worker is closed to other requests.
    pub share_percent: u8,
    /// Longest wait for the requests in flight to finish before an isolated run.
    pub max_emptying_ms: u32,
    /// Time since the worker closed in which further suspects may start, one after the other.
    pub batch_ms: u32,
    /// Largest number of queued suspects.
    pub max_waiting: usize,
}

impl Default for IsolationLimits {
    fn default() -> Self {
        Self {
            share_percent: 25,
            max_emptying_ms: 200,
            batch_ms: 200,
            max_waiting: 256,
        }
    }
}

/// Suspects queued for an isolated run at one worker; `K` identifies a queued request.
#[derive(Debug)]
pub struct IsolationQueue<K> {
    limits: IsolationLimits,
    phase: Phase,
    open_until_us: u64,
    /// Queued suspects; the key is false for retries, which come first, and a sequence number.
    waiting: BTreeMap<(bool, u64), K>,
    sequence: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Emptying { since_us: u64 },
    Isolated { since_us: u64 },
}

impl<K: Copy + Eq + Debug> IsolationQueue<K> {
    /// Creates an empty queue; the worker is open to all requests.
    pub fn new(limits: IsolationLimits) -> Self {
        Self {
            limits,
            phase: Phase::Open,
            open_until_us: 0,
            waiting: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Returns whether requests other than suspects may start now.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Number of queued suspects.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Queues a suspect, retries ahead of others; returns false if the queue is full.
    #[must_use]
    pub fn push(&mut self, key: K, is_retry: bool) -> bool {
        if self.waiting.len() >= self.limits.max_waiting {
            return false;
        }
        self.waiting.insert((!is_retry, self.sequence), key);
        self.sequence += 1;
        true
    }

    /// Removes a suspect that was cancelled or whose deadline has passed.
    pub fn cancel(&mut self, key: K) {
        self.waiting.retain(|_, waiting| *waiting != key);
    }

    /// Returns the suspect to start now, if any; to be called after each finished request and on a
    /// timer.
    pub fn start_next(&mut self, in_flight: u32, now_us: u64) -> Option<K> {
        match self.phase {
            Phase::Isolated { .. } => return None,
            Phase::Open => self.close(now_us)?,
            Phase::Emptying { since_us } => self.await_empty(since_us, in_flight, now_us)?,
        }
        if in_flight > 0 {
            return None;
        }
        let (_, key) = self.waiting.pop_first()?;
        let since_us = self.closed_since_us().unwrap_or(now_us);
        self.phase = Phase::Isolated { since_us };
        Some(key)
    }

    /// Records that the isolated run has ended, with any result. The worker stays closed for the
    /// next suspect while `batch_ms` has not passed.
    pub fn finish(&mut self, now_us: u64) {
        let Phase::Isolated { since_us } = self.phase else {
            return;
        };
        let batch_us = u64::from(self.limits.batch_ms) * US_PER_MS;
        let has_time = now_us.saturating_sub(since_us) < batch_us;
        if has_time && !self.waiting.is_empty() {
            self.phase = Phase::Emptying { since_us };
        } else {
            self.open(now_us);
        }
    }

    /// Closes the worker to other requests if a suspect is queued and the open time has passed.
    fn close(&mut self, now_us: u64) -> Option<()> {
        if self.waiting.is_empty() || now_us < self.open_until_us {
            return None;
        }
        self.phase = Phase::Emptying { since_us: now_us };
        Some(())
    }

    /// Opens the worker again if no suspect is queued any more or emptying takes too long; returns
    /// `None` then.
    fn await_empty(&mut self, since_us: u64, in_flight: u32, now_us: u64) -> Option<()> {
        let limit_us = u64::from(self.limits.max_emptying_ms) * US_PER_MS;
        let is_overdue = in_flight > 0 && now_us.saturating_sub(since_us) >= limit_us;
        if self.waiting.is_empty() || is_overdue {
            self.open(now_us);
            return None;
        }
        Some(())
    }

    /// Opens the worker for a time that keeps the share of closed time within `share_percent`.
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
            Phase::Emptying { since_us } | Phase::Isolated { since_us } => Some(since_us),
        }
    }
}
