//! Service times: a seeded log-normal distribution, slowed by cold starts and by faults.

use {
    crate::scenario::PathSpec,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        f64::consts::TAU,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
};

/// How many times slower a worker is when it has just started.
const COLD_FACTOR: f64 = 4.0;

/// Source of service times of one worker.
#[derive(Debug)]
pub(super) struct Pace {
    rng: Mutex<ChaCha8Rng>,
    slow_bits: AtomicU64,
    started: Instant,
    cold_start: Duration,
}

impl Pace {
    pub(super) fn new(seed: u64, cold_start_ms: u64) -> Self {
        Self {
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            slow_bits: AtomicU64::new(1.0_f64.to_bits()),
            started: Instant::now(),
            cold_start: Duration::from_millis(cold_start_ms),
        }
    }

    /// Makes all work take `factor` times as long.
    pub(super) fn slow_down(&self, factor: f64) {
        self.slow_bits.store(factor.to_bits(), Ordering::Relaxed);
    }

    /// Draws the time that one run of this path takes.
    pub(super) fn draw(&self, path: &PathSpec) -> Duration {
        let normal = standard_normal(&mut self.rng.lock());
        let slow = f64::from_bits(self.slow_bits.load(Ordering::Relaxed));
        let factor = (path.sigma * normal).exp() * slow * self.cold_factor();
        Duration::from_secs_f64((path.median_ms / 1_000.0 * factor).clamp(0.0, 600.0))
    }

    fn cold_factor(&self) -> f64 {
        let age = self.started.elapsed();
        if age >= self.cold_start {
            return 1.0;
        }
        let warm = age.as_secs_f64() / self.cold_start.as_secs_f64();
        COLD_FACTOR + (1.0 - COLD_FACTOR) * warm
    }
}

fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let angle: f64 = rng.random_range(0.0..TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
