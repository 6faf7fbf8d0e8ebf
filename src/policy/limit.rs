//! Concurrency limit of one backend server, adapted to measured latency.
//!
//! The limit begins at the number of announced slots. While it is binding, trials compare latency
//! at the limit with latency at a nearby limit. If latency grows in proportion to the limit, the
//! added requests only queue inside the backend server. If latency does not change, the backend
//! server really runs them in parallel. A service that becomes slower at every limit keeps its
//! limit.

use crate::policy::ewma::sample_weight;

/// Samples per epoch: a number for each slot of the limit, and its bounds.
const EPOCH_SAMPLES_PER_SLOT: u32 = 8;
const EPOCH_SAMPLES_MIN: u32 = 96;
const EPOCH_SAMPLES_MAX: u32 = 256;

/// Longest epoch; a trial with a longer epoch is abandoned.
const EPOCH_MAX_US: u64 = 10_000_000;

/// Share of an epoch's samples that must have ended while the limit was binding.
const BINDING_SHARE: f64 = 0.75;

/// Limit of a downward trial, as a factor on the present limit.
const TRIAL_DOWN_FACTOR: f64 = 0.75;

/// Limit of an upward trial, as a factor on the present limit.
const TRIAL_UP_FACTOR: f64 = 1.25;

/// Margin above the trial limit when a downward trial is accepted, as a factor.
const HEADROOM_FACTOR: f64 = 1.1;

/// Elasticity of latency to the limit above which the requests removed by a downward trial were
/// only queued inside the backend server.
const ELASTIC_MIN: f64 = 0.75;

/// Elasticity of latency to the limit below which the requests added by an upward trial ran in
/// parallel.
const INELASTIC_MAX: f64 = 0.4;

/// Elasticity above which something other than the limit must have changed latency.
const ELASTICITY_IMPLAUSIBLE: f64 = 1.6;

/// Ratio of latencies before and after a trial above which the trial is void.
const MAX_DRIFT_RATIO: f64 = 1.3;

/// Ratio of latencies between epochs above which trials become frequent again.
const CHANGE_RATIO: f64 = 1.5;

/// Share of failed work above which a trial also compares failures.
const FAILED_SHARE: f64 = 0.05;

/// Ratio of mean to lowest latency above which the limit may be too high.
const TOO_HIGH_RATIO: f64 = 1.8;

/// Samples of a cold backend server that are averaged into one candidate for the lowest latency.
const COLD_SAMPLES: u32 = 32;

/// Epochs between trials at first, and after a change.
const MIN_EPOCHS_BETWEEN_TRIALS: u32 = 2;

/// Epochs between trials while nothing changes.
const MAX_EPOCHS_BETWEEN_TRIALS: u32 = 16;

/// Most epochs between trials while the limit may be too high.
const MAX_EPOCHS_IF_TOO_HIGH: u32 = 8;

/// Largest limit, as a multiple of the announced slots.
const CEILING_FACTOR: f64 = 4.0;

/// Share of the limit at which a cold backend server begins.
const COLD_SHARE: f64 = 0.125;

/// Smallest weight of a sample in the mean latency.
const MEAN_WEIGHT_MIN: f64 = 1.0 / 48.0;

/// Time constant of the mean latency when samples are rare: about the time in which an overload of
/// a downstream service begins or ends.
const MEAN_TAU_US: f64 = 1_000_000.0;

/// Weight of a sample in the expected latency if it is lower.
const FALL_WEIGHT: f64 = 0.5;

/// Weight of a sample in the expected latency if it is not lower.
const RISE_WEIGHT: f64 = 1.0 / 32.0;

/// Moving averages of latency.
#[derive(Debug, Clone, Copy, Default)]
#[allow(clippy::struct_field_names, reason = "all are times")]
pub struct SmoothedLatency {
    mean_us: f64,
    mean_at_us: u64,
    expected_us: f64,
}

impl SmoothedLatency {
    /// Adds a sample.
    pub fn add(&mut self, sample_us: u64, now_us: u64) {
        let sample_us = sample_us as f64;
        let gap_us = now_us.saturating_sub(self.mean_at_us);
        self.mean_at_us = now_us;
        if self.mean_us == 0.0 {
            self.mean_us = sample_us;
            self.expected_us = sample_us;
            return;
        }
        let weight = sample_weight(gap_us, MEAN_TAU_US).max(MEAN_WEIGHT_MIN);
        self.mean_us += (sample_us - self.mean_us) * weight;
        let weight = if sample_us < self.expected_us {
            FALL_WEIGHT
        } else {
            RISE_WEIGHT
        };
        self.expected_us += (sample_us - self.expected_us) * weight;
    }

    /// Mean latency; zero before the first sample.
    pub fn mean_us(&self) -> u64 {
        self.mean_us as u64
    }

    /// Latency that most requests need at least: an average that falls faster than it rises.
    pub fn expected_us(&self) -> u64 {
        self.expected_us as u64
    }
}

/// One ended request, as input to the limit.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Start of the request.
    pub started_us: u64,
    /// Whether the request ended with an answer.
    pub done: bool,
    /// Whether the limit was binding when the request ended.
    pub binding: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Epoch {
    opened_us: u64,
    /// Earliest start of a request that counts; earlier ones may still be slowed by requests that
    /// started under the previous limit.
    from_us: u64,
    done: u32,
    failed: u32,
    binding: u32,
    sum_us: f64,
}

impl Epoch {
    fn open(now_us: u64, settle_us: u64) -> Self {
        Self {
            opened_us: now_us,
            from_us: now_us + settle_us,
            ..Self::default()
        }
    }

    fn add(&mut self, sample: Sample, now_us: u64) {
        if sample.started_us < self.from_us {
            return;
        }
        self.binding += u32::from(sample.binding);
        if sample.done {
            self.done += 1;
            self.sum_us += now_us.saturating_sub(sample.started_us) as f64;
        } else {
            self.failed += 1;
        }
    }

    fn samples(&self) -> u32 {
        self.done + self.failed
    }

    fn binds(&self) -> bool {
        f64::from(self.binding) >= BINDING_SHARE * f64::from(self.samples())
    }

    fn result(&self) -> Measured {
        Measured {
            mean_us: self.sum_us / f64::from(self.done.max(1)),
            failed_share: f64::from(self.failed) / f64::from(self.samples().max(1)),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Measured {
    mean_us: f64,
    failed_share: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Down,
    Up,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    Idle { epochs: u32 },
    During { before: Measured },
    After { before: Measured, during: Measured },
}

/// Adaptive concurrency limit of one backend server.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    announced: u32,
    /// Limit outside of trials, once warm.
    base: f64,
    /// Limit during the warm-up.
    cold: Option<f64>,
    latency: SmoothedLatency,
    phase: Phase,
    direction: Direction,
    epochs_between_trials: u32,
    epoch: Epoch,
    /// Mean latency of the last idle epoch.
    reference_us: f64,
    /// Lowest mean latency of an epoch, or of [`COLD_SAMPLES`] during the warm-up.
    lowest_us: f64,
}

impl ConcurrencyLimit {
    /// Creates the limit of a backend server that has not announced itself; it is zero.
    pub fn new() -> Self {
        Self {
            announced: 0,
            base: 0.0,
            cold: None,
            latency: SmoothedLatency::default(),
            phase: Phase::Idle {
                epochs: MIN_EPOCHS_BETWEEN_TRIALS,
            },
            direction: Direction::Up,
            epochs_between_trials: MIN_EPOCHS_BETWEEN_TRIALS,
            epoch: Epoch::default(),
            reference_us: 0.0,
            lowest_us: f64::INFINITY,
        }
    }

    /// Applies the announced number of slots. A limit changed by trials is kept.
    pub fn announce(&mut self, slots: u32, now_us: u64) {
        let slots = slots.max(1);
        if self.announced == 0 {
            self.announced = slots;
            self.restart(now_us);
            return;
        }
        let is_unchanged = (self.base - f64::from(self.announced)).abs() < 0.5;
        self.announced = slots;
        if is_unchanged {
            self.base = f64::from(slots);
        }
    }

    /// Ends the warm-up, since the backend server reports that it is warm.
    pub fn mark_warm(&mut self, now_us: u64) {
        if self.cold.take().is_some() {
            self.end_trial(self.epochs_between_trials, now_us);
        }
    }

    /// Restarts with the announced slots, cold, for a new incarnation of the backend server.
    pub fn restart(&mut self, now_us: u64) {
        let announced = self.announced;
        let base = f64::from(announced);
        *self = Self {
            announced,
            base,
            cold: Some((base * COLD_SHARE).max(1.0)),
            epoch: Epoch::open(now_us, 0),
            ..Self::new()
        };
    }

    /// Largest number of requests in flight at present.
    pub fn current(&self) -> u32 {
        if self.announced == 0 {
            return 0;
        }
        let limit = match self.phase {
            Phase::During { .. } => self.trial(),
            _ => self.base,
        };
        let limit = self.cold.map_or(limit, |cold| cold.min(limit));
        limit.round().max(1.0) as u32
    }

    /// Moving averages of latency.
    pub fn latency(&self) -> SmoothedLatency {
        self.latency
    }

    /// Records an ended request.
    pub fn record(&mut self, sample: Sample, now_us: u64) {
        if sample.done {
            let latency_us = now_us.saturating_sub(sample.started_us);
            self.latency.add(latency_us, now_us);
        }
        self.epoch.add(sample, now_us);
        if self.cold.is_some() {
            self.warm_up(sample, now_us);
            return;
        }
        if self.epoch.samples() >= self.epoch_samples() {
            self.close_epoch(now_us);
        } else if now_us.saturating_sub(self.epoch.opened_us) > EPOCH_MAX_US {
            self.end_trial(self.epochs_between_trials, now_us);
        }
    }

    /// Raises the limit of a cold backend server with each answer.
    fn warm_up(&mut self, sample: Sample, now_us: u64) {
        let cold = self.cold.unwrap_or(self.base) + f64::from(u8::from(sample.done));
        self.cold = Some(cold);
        if self.epoch.done >= COLD_SAMPLES {
            self.lowest_us = self.lowest_us.min(self.epoch.result().mean_us);
            self.epoch = Epoch::open(now_us, 0);
        }
        if cold >= self.base {
            self.cold = None;
            self.end_trial(self.epochs_between_trials, now_us);
        }
    }

    fn epoch_samples(&self) -> u32 {
        let samples = (self.base as u32).saturating_mul(EPOCH_SAMPLES_PER_SLOT);
        samples.clamp(EPOCH_SAMPLES_MIN, EPOCH_SAMPLES_MAX)
    }

    fn close_epoch(&mut self, now_us: u64) {
        let epoch = self.epoch;
        let result = epoch.result();
        if epoch.done > 0 {
            self.lowest_us = self.lowest_us.min(result.mean_us);
        }
        self.epoch = Epoch::open(now_us, result.mean_us as u64);
        if !epoch.binds() {
            self.end_trial(self.epochs_between_trials, now_us);
            return;
        }
        match self.phase {
            Phase::Idle { epochs } => self.close_idle_epoch(epochs, result),
            Phase::During { before } => {
                self.phase = Phase::After {
                    before,
                    during: result,
                };
            }
            Phase::After { before, during } => self.conclude_trial(before, during, result, now_us),
        }
    }

    /// Counts down the epochs until the next trial, and begins it.
    fn close_idle_epoch(&mut self, epochs: u32, result: Measured) {
        let has_changed = ratio(result.mean_us, self.reference_us) > CHANGE_RATIO;
        self.reference_us = result.mean_us;
        let may_be_too_high =
            result.mean_us > self.lowest_us * TOO_HIGH_RATIO || has_failures(result);
        if has_changed {
            self.epochs_between_trials = MIN_EPOCHS_BETWEEN_TRIALS;
        } else if may_be_too_high {
            self.epochs_between_trials = self.epochs_between_trials.min(MAX_EPOCHS_IF_TOO_HIGH);
        }
        let epochs = epochs.min(self.epochs_between_trials).saturating_sub(1);
        if epochs > 0 || has_changed {
            self.phase = Phase::Idle {
                epochs: epochs.max(1),
            };
            return;
        }
        self.direction = match self.direction {
            Direction::Up if may_be_too_high => Direction::Down,
            _ => Direction::Up,
        };
        if (self.trial() - self.base).abs() < 0.5 {
            self.phase = Phase::Idle {
                epochs: self.epochs_between_trials,
            };
            return;
        }
        self.phase = Phase::During { before: result };
    }

    /// Changes the limit if the trial shows that it should.
    fn conclude_trial(&mut self, before: Measured, during: Measured, after: Measured, now_us: u64) {
        if self.accepts(before, during, after) {
            self.base = match self.direction {
                Direction::Down => self.trial() * HEADROOM_FACTOR,
                Direction::Up => self.trial(),
            };
            self.epochs_between_trials = MIN_EPOCHS_BETWEEN_TRIALS;
            // The next trial reverses the direction again, so the successful one is tried again.
            self.direction = match self.direction {
                Direction::Down => Direction::Up,
                Direction::Up => Direction::Down,
            };
            self.end_trial(1, now_us);
            return;
        }
        self.epochs_between_trials =
            (self.epochs_between_trials * 2).min(MAX_EPOCHS_BETWEEN_TRIALS);
        self.end_trial(self.epochs_between_trials, now_us);
    }

    /// Returns whether the trial limit is better than the present one.
    fn accepts(&self, before: Measured, during: Measured, after: Measured) -> bool {
        if ratio(before.mean_us, after.mean_us) > MAX_DRIFT_RATIO {
            return false;
        }
        let failed_share = f64::midpoint(before.failed_share, after.failed_share);
        let at_base_us = (before.mean_us * after.mean_us).sqrt();
        let latency_change = (during.mean_us / at_base_us).ln();
        let elasticity = latency_change / (self.trial() / self.base).ln();
        match self.direction {
            Direction::Down => {
                let fewer_failures =
                    failed_share > FAILED_SHARE && during.failed_share < failed_share / 2.0;
                fewer_failures || (elasticity > ELASTIC_MIN && elasticity < ELASTICITY_IMPLAUSIBLE)
            }
            Direction::Up => {
                let more_failures = during.failed_share > failed_share + FAILED_SHARE;
                !more_failures && elasticity < INELASTIC_MAX
            }
        }
    }

    /// Limit during a trial in the present direction.
    fn trial(&self) -> f64 {
        match self.direction {
            Direction::Down => (self.base * TRIAL_DOWN_FACTOR)
                .min(self.base - 1.0)
                .max(1.0),
            Direction::Up => {
                let ceiling = f64::from(self.announced) * CEILING_FACTOR;
                (self.base * TRIAL_UP_FACTOR)
                    .max(self.base + 1.0)
                    .min(ceiling)
            }
        }
    }

    /// Ends or abandons a trial; the next one begins after this number of epochs.
    fn end_trial(&mut self, epochs: u32, now_us: u64) {
        self.phase = Phase::Idle { epochs };
        self.epoch = Epoch::open(now_us, self.latency.mean_us());
    }
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self::new()
    }
}

fn has_failures(result: Measured) -> bool {
    result.failed_share > FAILED_SHARE
}

/// Ratio of the larger value to the smaller one; 1 unless both are positive.
fn ratio(one_us: f64, other_us: f64) -> f64 {
    if one_us <= 0.0 || other_us <= 0.0 {
        return 1.0;
    }
    (one_us / other_us).max(other_us / one_us)
}
