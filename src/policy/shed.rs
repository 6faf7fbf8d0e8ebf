//! Load shedding: admission level of one gate, from queueing delay and the ranks of arrivals.
//!
//! At the end of each short window, the level is set to the rank up to which the estimated arrivals
//! fit the measured capacity. Arrivals above the level are a poor measure of demand: edges refuse
//! some requests before they arrive here, and callers resend others many times. The estimate above
//! the level is therefore discounted more and more while slots are idle, so that the level rises
//! geometrically.

use {
    crate::{
        config::Rules,
        request::{BUCKETS_PER_IMPORTANCE, Importance, Level, Rank},
    },
    std::collections::BTreeMap,
};

/// Length of one window.
pub const WINDOW_US: u64 = 25_000;

/// Number of ranks that share one arrival counter.
const RANKS_PER_CELL: usize = 8;

/// Number of cells of one importance.
const CELLS_PER_IMPORTANCE: usize = BUCKETS_PER_IMPORTANCE as usize / RANKS_PER_CELL;

/// Buckets of the most important class that are always admitted.
const PROBE_BUCKETS: u32 = 16;

/// Largest weight of one window in the estimate.
const WEIGHT_MAX: f64 = 0.25;

/// Smallest weight of one window in the estimate.
const WEIGHT_MIN: f64 = 0.02;

/// Number of arrivals that the estimate averages over.
const WEIGHT_ARRIVALS: f64 = 40.0;

/// Share of the estimated arrivals above the level that must arrive for the estimate to be updated.
/// If fewer arrive, the edges are refusing them.
const ARRIVED_SHARE_MIN: f64 = 0.5;

/// Factor by which the discount factor rises in a window whose queueing delay is above the target.
const DISCOUNT_RECOVERY_FACTOR: f64 = 1.5;

/// Smallest discount factor.
const DISCOUNT_MIN: f64 = 1e-6;

/// Estimated arrivals per window at or below which an importance counts as absent.
const ABSENT_MAX: f64 = 0.001;

/// Shortest time in which an excess queue is drained.
const DRAIN_MIN_US: f64 = 200_000.0;

/// Smallest share of capacity that is admitted while an excess queue drains.
const DRAIN_SHARE_MIN: f64 = 0.4;

/// Share of capacity that is admitted in addition while the queue is empty. Idle slots are added to
/// that.
const FILL_SHARE: f64 = 1.0;

/// Bounds of the target queueing delay.
const TARGET_MIN_US: f64 = 5_000.0;
const TARGET_MAX_US: f64 = 100_000.0;

/// Shortest and longest retry-after advice.
const RETRY_AFTER_MIN_MS: f64 = 100.0;
const RETRY_AFTER_MAX_MS: f64 = 5_000.0;

/// Time over which retries are spread, for each multiple of capacity by which demand exceeds it.
const RETRY_AFTER_SPREAD_MS: f64 = 500.0;

/// Parameters that trade goodput against recovery time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateRules {
    /// Target queueing delay, as a multiple of the mean latency.
    pub target_latencies: f64,
    /// Longest queue, as entries per slot of the limit. Equals the queueing delay of a full queue
    /// as a multiple of the mean latency.
    pub queue_latencies: f64,
    /// Share by which the estimate above the level shrinks per window while all slots are idle;
    /// scaled by the share of idle slots.
    pub idle_opening: f64,
    /// Share by which that estimate shrinks in each window with a queueing delay within the target.
    pub busy_opening: f64,
}

impl GateRules {
    /// Parameters for a weight of recovery time between 0 and 100 percent.
    pub fn new(recovery_weight_percent: u8) -> Self {
        let weight = f64::from(recovery_weight_percent.min(100)) / 100.0;
        let interpolate = |goodput: f64, recovery: f64| goodput + (recovery - goodput) * weight;
        Self {
            target_latencies: interpolate(1.0, 0.25),
            queue_latencies: interpolate(6.0, 2.0),
            idle_opening: interpolate(0.15, 0.45),
            busy_opening: interpolate(0.01, 0.03),
        }
    }
}

impl From<&Rules> for GateRules {
    fn from(rules: &Rules) -> Self {
        Self::new(rules.recovery_weight_percent)
    }
}

/// Number of queued requests by importance.
pub type Queued = BTreeMap<Importance, usize>;

/// State of the gate at the end of a window.
#[derive(Debug, Clone, Copy)]
pub struct GateLoad {
    /// Queued requests.
    pub queued: usize,
    /// Requests in flight.
    pub in_flight: usize,
    /// Concurrency limit.
    pub limit: u32,
    /// Estimate of the present mean latency.
    pub latency_us: u64,
}

impl GateLoad {
    /// Queueing delay: time until the queue is empty, without further arrivals.
    pub fn delay_us(&self) -> u64 {
        self.drain_us(self.queued)
    }

    /// Time until this many queued requests have started.
    fn drain_us(&self, queued: usize) -> u64 {
        queued as u64 * self.latency_us / u64::from(self.limit.max(1))
    }

    /// Idle slots that no queued request will take.
    fn idle(&self) -> usize {
        let taken = self.in_flight + self.queued;
        (self.limit as usize).saturating_sub(taken)
    }

    /// Requests that can be served in one window.
    fn capacity(&self) -> f64 {
        f64::from(self.limit) * WINDOW_US as f64 / self.latency_us.max(1) as f64
    }
}

/// Computes the admission level from the arrivals and the load in each window.
#[derive(Debug)]
pub struct LevelController {
    rules: GateRules,
    level: Level,
    /// Arrivals in the present window, by cell.
    arrived: Vec<u32>,
    /// Averaged arrivals per window, by cell.
    estimate: Vec<f64>,
    window_start_us: u64,
    /// Sum of the estimate.
    demand: f64,
    /// Factor on the estimate of cells above the level.
    discount: f64,
}

impl LevelController {
    /// Creates a controller that admits everything.
    pub fn new(rules: GateRules) -> Self {
        Self {
            rules,
            level: Level::OPEN,
            arrived: Vec::new(),
            estimate: Vec::new(),
            window_start_us: 0,
            demand: 0.0,
            discount: 1.0,
        }
    }

    /// Changes the trade-off between goodput and recovery time.
    pub fn set_rules(&mut self, rules: GateRules) {
        self.rules = rules;
    }

    /// Present admission level.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Counts an arrival, whether it is admitted or not.
    pub fn count_arrival(&mut self, rank: Rank) {
        let cell = usize::from(rank.position()) / RANKS_PER_CELL;
        if cell >= self.arrived.len() {
            let importances = usize::from(rank.importance().0) + 1;
            self.arrived.resize(importances * CELLS_PER_IMPORTANCE, 0);
            self.estimate
                .resize(importances * CELLS_PER_IMPORTANCE, 0.0);
        }
        self.arrived[cell] += 1;
    }

    /// Lowers the level to the rank of a request evicted from the full queue, so that nothing less
    /// important is admitted in the same window.
    pub fn lower_to(&mut self, rank: Rank) {
        let level = u32::from(rank.position()).max(self.min_level());
        self.level = self.level.min(Level(level));
    }

    /// Target queueing delay.
    pub fn target_us(&self, latency_us: u64) -> f64 {
        let target_us = latency_us as f64 * self.rules.target_latencies;
        target_us.clamp(TARGET_MIN_US, TARGET_MAX_US)
    }

    /// Closes the window if it is over and sets the level; returns whether the window was closed.
    pub fn close_window_if_over(&mut self, load: GateLoad, queued: &Queued, now_us: u64) -> bool {
        let windows = now_us.saturating_sub(self.window_start_us) / WINDOW_US;
        if windows == 0 {
            return false;
        }
        self.window_start_us += windows * WINDOW_US;
        self.update_estimate(load, windows.min(1_000) as i32);
        self.level = self.next_level(load, queued);
        true
    }

    /// Retry-after advice for a refused request; `jitter` is a random factor around 1.
    pub fn retry_after_ms(&self, load: GateLoad, jitter: f64) -> u32 {
        let excess = self.demand / load.capacity().max(f64::MIN_POSITIVE) - 1.0;
        let drain_ms = load.delay_us() as f64 / 1_000.0;
        let spread_ms = RETRY_AFTER_SPREAD_MS * excess.max(0.0) * jitter;
        let advice_ms = RETRY_AFTER_MIN_MS + drain_ms + spread_ms;
        advice_ms.min(RETRY_AFTER_MAX_MS) as u32
    }

    /// Adds the arrivals since the last update, spread over this many windows, to the estimate.
    fn update_estimate(&mut self, load: GateLoad, windows: i32) {
        let window_weight = (load.capacity() / WEIGHT_ARRIVALS).clamp(WEIGHT_MIN, WEIGHT_MAX);
        let weight = 1.0 - (1.0 - window_weight).powi(windows);
        let first_refused = self.first_refused_cell();
        let is_refused_at_edges = self.is_refused_at_edges(first_refused, windows);
        let cells = self.estimate.iter_mut().zip(&mut self.arrived);
        for (cell, (estimate, arrived)) in cells.enumerate() {
            let per_window = f64::from(*arrived) / f64::from(windows);
            *arrived = 0;
            if cell < first_refused || !is_refused_at_edges {
                *estimate += (per_window - *estimate) * weight;
            }
        }
        self.demand = self.estimate.iter().sum();
        self.update_discount(load, windows);
    }

    /// Lowers the discount factor while slots are idle or the queue is short, and raises it while
    /// the queue is too long.
    fn update_discount(&mut self, load: GateLoad, windows: i32) {
        if self.level == Level::OPEN {
            self.discount = 1.0;
            return;
        }
        let factor = if load.delay_us() as f64 > self.target_us(load.latency_us) {
            DISCOUNT_RECOVERY_FACTOR
        } else {
            let idle_share = load.idle() as f64 / f64::from(load.limit.max(1));
            1.0 - self.rules.busy_opening - self.rules.idle_opening * idle_share
        };
        let discount = self.discount * factor.powi(windows);
        self.discount = discount.clamp(DISCOUNT_MIN, 1.0);
    }

    /// First cell whose ranks are all refused.
    fn first_refused_cell(&self) -> usize {
        (self.level.0 as usize).div_ceil(RANKS_PER_CELL)
    }

    /// Returns whether edges refuse the requests above the level, so that few of them arrive here.
    fn is_refused_at_edges(&self, first_refused: usize, windows: i32) -> bool {
        let Some(estimate) = self.estimate.get(first_refused..) else {
            return false;
        };
        let estimated: f64 = estimate.iter().sum();
        let arrived: u32 = self.arrived[first_refused..].iter().sum();
        f64::from(arrived) < ARRIVED_SHARE_MIN * estimated * f64::from(windows)
    }

    fn next_level(&self, load: GateLoad, queued: &Queued) -> Level {
        let delay_us = load.delay_us() as f64;
        if self.level == Level::OPEN && delay_us <= self.target_us(load.latency_us) {
            return Level::OPEN;
        }
        let level = self.fitting_level(load, queued);
        level
            .max(Level(self.min_level()))
            .max(level_above_queued(queued))
    }

    /// Highest level for which the estimated arrivals below it fit the budget of each importance.
    fn fitting_level(&self, load: GateLoad, queued: &Queued) -> Level {
        let first_refused = self.first_refused_cell();
        let mut below = 0.0;
        let mut ahead = 0;
        for (class, cells) in self.estimate.chunks(CELLS_PER_IMPORTANCE).enumerate() {
            ahead += queued.get(&Importance(class as u8)).unwrap_or(&0);
            let budget = self.budget(load, ahead);
            for (index, &estimate) in cells.iter().enumerate() {
                let cell = class * CELLS_PER_IMPORTANCE + index;
                let discount = if cell < first_refused {
                    1.0
                } else {
                    self.discount
                };
                let estimate = estimate * discount;
                if below + estimate > budget {
                    let ranks = (budget - below).max(0.0) / estimate * RANKS_PER_CELL as f64;
                    return Level((cell * RANKS_PER_CELL) as u32 + ranks as u32);
                }
                below += estimate;
            }
        }
        Level::OPEN
    }

    /// Arrivals to admit per window for an importance, where `ahead` queued requests are at least
    /// as important. Less important queued requests do not count, since an arrival displaces them.
    fn budget(&self, load: GateLoad, ahead: usize) -> f64 {
        let target_us = self.target_us(load.latency_us);
        let delay_us = load.drain_us(ahead) as f64;
        let share = if delay_us > target_us {
            let drain_us = DRAIN_MIN_US.max(2.0 * load.latency_us as f64);
            1.0 - (delay_us - target_us) / drain_us
        } else {
            1.0 + FILL_SHARE * (1.0 - delay_us / target_us)
        };
        load.capacity() * share.max(DRAIN_SHARE_MIN) + load.idle() as f64
    }

    /// Lowest level: it admits a few buckets of the most important class that arrives here, to
    /// probe the backend server.
    fn min_level(&self) -> u32 {
        let classes = self.estimate.chunks(CELLS_PER_IMPORTANCE);
        let arrived = self.arrived.chunks(CELLS_PER_IMPORTANCE);
        let mut both = classes.zip(arrived);
        let top = both.position(|(estimate, arrived)| {
            estimate.iter().sum::<f64>() > ABSENT_MAX || arrived.iter().any(|&count| count > 0)
        });
        let top = Importance(top.unwrap_or(0) as u8);
        u32::from(Rank::from_parts(top, 0).position()) + PROBE_BUCKETS
    }
}

/// Level that admits all classes that are more important than the least important queued request.
fn level_above_queued(queued: &Queued) -> Level {
    let least = queued.last_key_value();
    let least = least.map_or(Importance(0), |(importance, _)| *importance);
    Level(u32::from(Rank::from_parts(least, 0).position()))
}
