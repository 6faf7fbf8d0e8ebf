//! Concurrency limit of one backend server, from measured latency.
//!
//! It begins with the announced slots. While the limit binds, it compares latency at the limit with
//! latency at a nearby limit: if latency follows the limit, the added slots only queue inside the
//! backend server; if it does not, they are real. A service that becomes slow at every limit keeps
//! its limit.

use crate::policy::recent::sample_weight;

/// Samples that one epoch compares, for each slot of the limit, and their bounds.
const EPOCH_SAMPLES_PER_SLOT: u32 = 8;
const EPOCH_SAMPLES_MIN: u32 = 96;
const EPOCH_SAMPLES_MAX: u32 = 256;

/// Longest epoch; a trial that takes longer is abandoned.
const EPOCH_MAX_US: u64 = 10_000_000;

/// Part of an epoch's samples that must have met a binding limit.
const BINDING_SHARE: f64 = 0.75;

/// Factor of a trial below the limit.
const TRIAL_DOWN: f64 = 0.75;

/// Factor of a trial above the limit.
const TRIAL_UP: f64 = 1.25;

/// Factor by which a lowered limit stays above what the trial points to.
const HEADROOM: f64 = 1.1;

/// Elasticity of latency above which slots are not real.
const ELASTIC: f64 = 0.75;

/// Elasticity of latency below which slots are real.
const INELASTIC: f64 = 0.4;

/// Elasticity beyond which something other than the limit has moved latency.
const IMPLAUSIBLE: f64 = 1.6;

/// Ratio of latencies before and after a trial beyond which it says nothing.
const DRIFT: f64 = 1.3;

/// Ratio of latencies between epochs beyond which trials become frequent again.
const CHANGE: f64 = 1.5;

/// Part of failed work beyond which a trial looks at failures.
const FAILED_SHARE: f64 = 0.05;

/// Ratio of the mean latency to the lowest one beyond which slots may not be real.
const SUSPECT: f64 = 1.8;

/// Samples of a cold backend server that are averaged for the lowest latency.
const COLD_SAMPLES: u32 = 32;

/// Epochs between trials at first.
const WAIT_MIN: u32 = 2;

/// Epochs between trials while nothing changes.
const WAIT_MAX: u32 = 16;

/// Epochs between trials while slots may not be real.
const WAIT_SUSPECT: u32 = 8;

/// Largest limit, in announced slots.
const CEILING_FACTOR: f64 = 4.0;

/// Part of the limit that a cold backend server begins with.
const COLD_SHARE: f64 = 0.125;

/// Weight of a sample in the mean latency, at least.
const MEAN_WEIGHT: f64 = 1.0 / 48.0;

/// Time in which the mean forgets when samples are rare: about the time in which an overload of a
/// service below comes or goes.
const MEAN_TAU_US: f64 = 1_000_000.0;

/// Weight of a sample below the expected latency.
const FALL_WEIGHT: f64 = 0.5;

/// Weight of a sample above the expected latency.
const RISE_WEIGHT: f64 = 1.0 / 32.0;

/// Smoothed latency.
#[derive(Debug, Clone, Copy, Default)]
#[allow(clippy::struct_field_names, reason = "all are times")]
pub struct Latency {
    mean_us: f64,
    mean_at_us: u64,
    expected_us: f64,
}

impl Latency {
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
        let weight = sample_weight(gap_us, MEAN_TAU_US).max(MEAN_WEIGHT);
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

    /// Latency that work takes at least, most often; it falls faster than it rises.
    pub fn expected_us(&self) -> u64 {
        self.expected_us as u64
    }
}

/// What became of one piece of work, as the limit sees it.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Start of the work.
    pub started_us: u64,
    /// Whether it ended with an answer.
    pub done: bool,
    /// Whether the limit was binding when it ended.
    pub binding: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Epoch {
    opened_us: u64,
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
    Rest { wait: u32 },
    During { before: Measured },
    After { before: Measured, during: Measured },
}

/// Concurrency limit.
#[derive(Debug)]
pub struct Limit {
    announced: u32,
    base: f64,
    cold: Option<f64>,
    latency: Latency,
    phase: Phase,
    direction: Direction,
    wait: u32,
    epoch: Epoch,
    reference_us: f64,
    lowest_us: f64,
}

impl Limit {
    /// Limit of a backend server that has not announced itself: nothing may start.
    pub fn new() -> Self {
        Self {
            announced: 0,
            base: 0.0,
            cold: None,
            latency: Latency::default(),
            phase: Phase::Rest { wait: WAIT_MIN },
            direction: Direction::Up,
            wait: WAIT_MIN,
            epoch: Epoch::default(),
            reference_us: 0.0,
            lowest_us: f64::INFINITY,
        }
    }

    /// Takes announced slots. A limit that was measured stays.
    pub fn announce(&mut self, slots: u32, now_us: u64) {
        let slots = slots.max(1);
        if self.announced == 0 {
            self.announced = slots;
            self.restart(now_us);
            return;
        }
        let untouched = (self.base - f64::from(self.announced)).abs() < 0.5;
        self.announced = slots;
        if untouched {
            self.base = f64::from(slots);
        }
    }

    /// Takes it that the backend server is warm, by its own account.
    pub fn warm(&mut self, now_us: u64) {
        if self.cold.take().is_some() {
            self.rest(self.wait, now_us);
        }
    }

    /// Begins anew for another incarnation of the backend server.
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

    /// Work that may be in flight at present.
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

    /// Smoothed latency.
    pub fn latency(&self) -> Latency {
        self.latency
    }

    /// Takes the end of one piece of work.
    pub fn finished(&mut self, sample: Sample, now_us: u64) {
        if sample.done {
            let took_us = now_us.saturating_sub(sample.started_us);
            self.latency.add(took_us, now_us);
        }
        self.epoch.add(sample, now_us);
        if self.cold.is_some() {
            self.warm_up(sample, now_us);
            return;
        }
        if self.epoch.samples() >= self.epoch_samples() {
            self.close_epoch(now_us);
        } else if now_us.saturating_sub(self.epoch.opened_us) > EPOCH_MAX_US {
            self.rest(self.wait, now_us);
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
            self.rest(self.wait, now_us);
        }
    }

    fn epoch_samples(&self) -> u32 {
        let samples = self.base as u32 * EPOCH_SAMPLES_PER_SLOT;
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
            self.rest(self.wait, now_us);
            return;
        }
        match self.phase {
            Phase::Rest { wait } => self.rested(wait, result),
            Phase::During { before } => {
                self.phase = Phase::After {
                    before,
                    during: result,
                };
            }
            Phase::After { before, during } => self.decide(before, during, result, now_us),
        }
    }

    fn rested(&mut self, wait: u32, result: Measured) {
        let changed = ratio(result.mean_us, self.reference_us) > CHANGE;
        self.reference_us = result.mean_us;
        let suspect = result.mean_us > self.lowest_us * SUSPECT || failing(result);
        if changed {
            self.wait = WAIT_MIN;
        } else if suspect {
            self.wait = self.wait.min(WAIT_SUSPECT);
        }
        let wait = wait.min(self.wait).saturating_sub(1);
        if wait > 0 || changed {
            self.phase = Phase::Rest { wait: wait.max(1) };
            return;
        }
        self.direction = match self.direction {
            Direction::Up if suspect => Direction::Down,
            _ => Direction::Up,
        };
        if (self.trial() - self.base).abs() < 0.5 {
            self.phase = Phase::Rest { wait: self.wait };
            return;
        }
        self.phase = Phase::During { before: result };
    }

    fn decide(&mut self, before: Measured, during: Measured, after: Measured, now_us: u64) {
        if self.accepts(before, during, after) {
            self.base = match self.direction {
                Direction::Down => self.trial() * HEADROOM,
                Direction::Up => self.trial(),
            };
            self.wait = WAIT_MIN;
            // The next trial turns the direction, so that this one is tried again.
            self.direction = match self.direction {
                Direction::Down => Direction::Up,
                Direction::Up => Direction::Down,
            };
            self.rest(1, now_us);
            return;
        }
        self.wait = (self.wait * 2).min(WAIT_MAX);
        self.rest(self.wait, now_us);
    }

    fn accepts(&self, before: Measured, during: Measured, after: Measured) -> bool {
        if ratio(before.mean_us, after.mean_us) > DRIFT {
            return false;
        }
        let failed_share = f64::midpoint(before.failed_share, after.failed_share);
        let at_base_us = (before.mean_us * after.mean_us).sqrt();
        let latencies = (during.mean_us / at_base_us).ln();
        let elasticity = latencies / (self.trial() / self.base).ln();
        match self.direction {
            Direction::Down => {
                let sheds = failed_share > FAILED_SHARE && during.failed_share < failed_share / 2.0;
                sheds || (elasticity > ELASTIC && elasticity < IMPLAUSIBLE)
            }
            Direction::Up => {
                let sheds = during.failed_share > failed_share + FAILED_SHARE;
                !sheds && elasticity < INELASTIC
            }
        }
    }

    fn trial(&self) -> f64 {
        match self.direction {
            Direction::Down => (self.base * TRIAL_DOWN).min(self.base - 1.0).max(1.0),
            Direction::Up => {
                let ceiling = f64::from(self.announced) * CEILING_FACTOR;
                (self.base * TRIAL_UP).max(self.base + 1.0).min(ceiling)
            }
        }
    }

    fn rest(&mut self, wait: u32, now_us: u64) {
        self.phase = Phase::Rest { wait };
        self.epoch = Epoch::open(now_us, self.latency.mean_us());
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self::new()
    }
}

fn failing(result: Measured) -> bool {
    result.failed_share > FAILED_SHARE
}

/// Larger of the two over the smaller.
fn ratio(one_us: f64, other_us: f64) -> f64 {
    if one_us <= 0.0 || other_us <= 0.0 {
        return 1.0;
    }
    (one_us / other_us).max(other_us / one_us)
}
