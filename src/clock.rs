//! Clocks of the process.
//!
//! Functions that make decisions never read a clock; their callers pass `now_us` (monotonic) or
//! `now_unix_ms` (wall clock).

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Monotonic microseconds since an arbitrary origin.
    fn now_us(&self) -> u64;

    /// Wall clock, in milliseconds since the Unix epoch.
    fn now_unix_ms(&self) -> u64;
}

/// Clock of the operating system; its monotonic time starts at zero when it is created.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic origin is now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now_us(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    fn now_unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64)
    }
}
