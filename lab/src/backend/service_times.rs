//! Service times: a seeded log-normal distribution, scaled up by cold starts and faults.

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

/// Factor on the service times of a worker that has just started.
const COLD_START_FACTOR: f64 = 4.0;

/// Generator of one worker's service times.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    rng: Mutex<ChaCha8Rng>,
    slow_factor_bits: AtomicU64,
    started: Instant,
    cold_start: Duration,
}

impl ServiceTimes {
    pub(super) fn new(seed: u64, cold_start_ms: u64) -> Self {
        Self {
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            slow_factor_bits: AtomicU64::new(1.0_f64.to_bits()),
            started: Instant::now(),
            cold_start: Duration::from_millis(cold_start_ms),
        }
    }

    /// Multiplies all service times by `factor`.
    pub(super) fn set_slow_factor(&self, factor: f64) {
        self.slow_factor_bits
            .store(factor.to_bits(), Ordering::Relaxed);
    }

    /// Samples the service time of one run of a path.
    pub(super) fn sample(&self, path: &PathSpec) -> Duration {
        let normal = standard_normal(&mut self.rng.lock());
        let slow = f64::from_bits(self.slow_factor_bits.load(Ordering::Relaxed));
        let factor = (path.sigma * normal).exp() * slow * self.cold_start_factor();
        Duration::from_secs_f64((path.median_ms / 1_000.0 * factor).clamp(0.0, 600.0))
    }

    fn cold_start_factor(&self) -> f64 {
        let age = self.started.elapsed();
        if age >= self.cold_start {
            return 1.0;
        }
        let progress = age.as_secs_f64() / self.cold_start.as_secs_f64();
        COLD_START_FACTOR + (1.0 - COLD_START_FACTOR) * progress
    }
}

fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let angle: f64 = rng.random_range(0.0..TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
