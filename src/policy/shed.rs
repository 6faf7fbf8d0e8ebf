//! Admission level of one gate, from queueing delay and the ranks of arrivals.
//!
//! In each short window it finds the rank up to which arrivals fit the measured capacity. What
//! arrives above the level says little about demand: edges refuse some of it before it comes here,
//! and callers send some of it again and again. Its estimate is therefore discounted more and more
//! while slots idle, so that the level opens geometrically.

use {
    crate::{
        config::Rules,
        request::{BUCKETS_PER_IMPORTANCE, Importance, Level, Rank},
    },
    std::collections::BTreeMap,
};

/// Length of one window.
pub const WINDOW_US: u64 = 25_000;

/// Ranks counted together.
const RANKS_PER_CELL: usize = 8;

/// Cells of one importance.
const CELLS_PER_IMPORTANCE: usize = BUCKETS_PER_IMPORTANCE as usize / RANKS_PER_CELL;

/// Buckets of the most important class that are always admitted.
const PROBE_BUCKETS: u32 = 16;

/// Largest weight of a window in the estimate.
const WEIGHT_MAX: f64 = 0.25;

/// Smallest weight of a window in the estimate.
const WEIGHT_MIN: f64 = 0.02;

/// Arrivals that the estimate averages over.
const WEIGHT_ARRIVALS: f64 = 40.0;

/// Part of its estimate above which what is above the level counts as seen.
const SEEN_SHARE: f64 = 0.5;

/// Factor by which a discount is taken back in a window with a long queue.
const DISCOUNT_RECOVERY: f64 = 1.5;

/// Smallest discount factor.
const DISCOUNT_MIN: f64 = 1e-6;

/// Estimate of one importance below which it counts as absent.
const ABSENT: f64 = 0.001;

/// Shortest time in which an excess queue is drained.
const DRAIN_MIN_US: f64 = 200_000.0;

/// Smallest part of capacity that is admitted while a queue drains.
const DRAIN_SHARE_MIN: f64 = 0.4;

/// Part of capacity that is admitted on top of it while nothing waits; idle slots come beside.
const FILL_SHARE: f64 = 1.0;

/// Bounds of the target queueing delay.
const TARGET_MIN_US: f64 = 5_000.0;
const TARGET_MAX_US: f64 = 100_000.0;

/// Shortest and longest advice on when to come back.
const RETRY_AFTER_MIN_MS: f64 = 100.0;
const RETRY_AFTER_MAX_MS: f64 = 5_000.0;

/// Time that callers are spread over for each capacity's worth of refused arrivals.
const RETRY_AFTER_SPREAD_MS: f64 = 500.0;

/// Choices that trade goodput against recovery time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateRules {
    /// Target queueing delay, in mean latencies.
    pub target_latencies: f64,
    /// Longest queue, in mean latencies.
    pub queue_latencies: f64,
    /// Part by which the estimate above the level shrinks in a window while all slots idle; with
    /// some idle slots, that share of it.
    pub idle_opening: f64,
    /// Part by which it shrinks in a window with a short queue.
    pub busy_opening: f64,
}

impl GateRules {
    /// Choices for a weight of recovery time between 0 and 100.
    pub fn new(recovery_weight_percent: u8) -> Self {
        let weight = f64::from(recovery_weight_percent.min(100)) / 100.0;
        let between = |goodput: f64, recovery: f64| goodput + (recovery - goodput) * weight;
        Self {
            target_latencies: between(1.0, 0.25),
            queue_latencies: between(6.0, 2.0),
            idle_opening: between(0.15, 0.45),
            busy_opening: between(0.01, 0.03),
        }
    }
}

impl From<&Rules> for GateRules {
    fn from(rules: &Rules) -> Self {
        Self::new(rules.recovery_weight_percent)
    }
}

/// Waiting work by importance.
pub type Queued = BTreeMap<Importance, usize>;

/// State of the gate at the end of a window.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Work that waits.
    pub queued: usize,
    /// Work in flight.
    pub in_flight: usize,
    /// Concurrency limit.
    pub limit: u32,
    /// Mean latency, or what the work in flight already shows of it.
    pub latency_us: u64,
}

impl Load {
    /// Time in which the queue would drain.
    pub fn delay_us(&self) -> u64 {
        self.drain_us(self.queued)
    }

    fn drain_us(&self, queued: usize) -> u64 {
        queued as u64 * self.latency_us / u64::from(self.limit.max(1))
    }

    /// Slots that nothing waits for.
    fn idle(&self) -> usize {
        let taken = self.in_flight + self.queued;
        (self.limit as usize).saturating_sub(taken)
    }

    fn capacity(&self) -> f64 {
        f64::from(self.limit) * WINDOW_US as f64 / self.latency_us.max(1) as f64
    }
}

/// Sets the admission level.
#[derive(Debug)]
pub struct LevelControl {
    rules: GateRules,
    level: Level,
    arrived: Vec<u32>,
    estimate: Vec<f64>,
    window_us: u64,
    demand: f64,
    discount: f64,
}

impl LevelControl {
    /// Control that admits everything.
    pub fn new(rules: GateRules) -> Self {
        Self {
            rules,
            level: Level::OPEN,
            arrived: Vec::new(),
            estimate: Vec::new(),
            window_us: 0,
            demand: 0.0,
            discount: 1.0,
        }
    }

    /// Changes the trade between goodput and recovery time.
    pub fn set_rules(&mut self, rules: GateRules) {
        self.rules = rules;
    }

    /// Present level.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Counts an arrival, whether it is admitted or not.
    pub fn arrived(&mut self, rank: Rank) {
        let cell = usize::from(rank.position()) / RANKS_PER_CELL;
        if cell >= self.arrived.len() {
            let importances = usize::from(rank.importance().0) + 1;
            self.arrived.resize(importances * CELLS_PER_IMPORTANCE, 0);
            self.estimate
                .resize(importances * CELLS_PER_IMPORTANCE, 0.0);
        }
        self.arrived[cell] += 1;
    }

    /// Lowers the level to a rank that a full queue gave up, so that nothing less important is
    /// admitted in the same window.
    pub fn evicted(&mut self, rank: Rank) {
        let level = u32::from(rank.position()).max(self.floor());
        self.level = self.level.min(Level(level));
    }

    /// Target queueing delay.
    pub fn target_us(&self, latency_us: u64) -> f64 {
        let target_us = latency_us as f64 * self.rules.target_latencies;
        target_us.clamp(TARGET_MIN_US, TARGET_MAX_US)
    }

    /// Closes the window if it is over and sets the level; tells whether it did.
    pub fn roll(&mut self, load: Load, queued: &Queued, now_us: u64) -> bool {
        let windows = now_us.saturating_sub(self.window_us) / WINDOW_US;
        if windows == 0 {
            return false;
        }
        self.window_us += windows * WINDOW_US;
        self.update(load, windows.min(1_000) as i32);
        self.level = self.decide(load, queued);
        true
    }

    /// When a refused request of this rank should come back.
    pub fn retry_after_ms(&self, load: Load, jitter: f64) -> u32 {
        let excess = self.demand / load.capacity().max(f64::MIN_POSITIVE) - 1.0;
        let drain_ms = load.delay_us() as f64 / 1_000.0;
        let spread_ms = RETRY_AFTER_SPREAD_MS * excess.max(0.0) * jitter;
        let advice_ms = RETRY_AFTER_MIN_MS + drain_ms + spread_ms;
        advice_ms.min(RETRY_AFTER_MAX_MS) as u32
    }

    fn update(&mut self, load: Load, windows: i32) {
        let one = (load.capacity() / WEIGHT_ARRIVALS).clamp(WEIGHT_MIN, WEIGHT_MAX);
        let weight = 1.0 - (1.0 - one).powi(windows);
        let border = self.border();
        let unseen = self.unseen(border, windows);
        let cells = self.estimate.iter_mut().zip(&mut self.arrived);
        for (cell, (estimate, arrived)) in cells.enumerate() {
            let seen = f64::from(*arrived) / f64::from(windows);
            *arrived = 0;
            if cell < border || !unseen {
                *estimate += (seen - *estimate) * weight;
            }
        }
        self.demand = self.estimate.iter().sum();
        self.update_discount(load, windows);
    }

    fn update_discount(&mut self, load: Load, windows: i32) {
        if self.level == Level::OPEN {
            self.discount = 1.0;
            return;
        }
        let factor = if load.delay_us() as f64 > self.target_us(load.latency_us) {
            DISCOUNT_RECOVERY
        } else {
            let idle_share = load.idle() as f64 / f64::from(load.limit.max(1));
            1.0 - self.rules.busy_opening - self.rules.idle_opening * idle_share
        };
        let discount = self.discount * factor.powi(windows);
        self.discount = discount.clamp(DISCOUNT_MIN, 1.0);
    }

    /// First cell that is wholly refused.
    fn border(&self) -> usize {
        (self.level.0 as usize).div_ceil(RANKS_PER_CELL)
    }

    /// Tells whether arrivals above the level are refused before they come here.
    fn unseen(&self, border: usize, windows: i32) -> bool {
        let Some(estimate) = self.estimate.get(border..) else {
            return false;
        };
        let estimated: f64 = estimate.iter().sum();
        let arrived: u32 = self.arrived[border..].iter().sum();
        f64::from(arrived) < SEEN_SHARE * estimated * f64::from(windows)
    }

    fn decide(&self, load: Load, queued: &Queued) -> Level {
        let delay_us = load.delay_us() as f64;
        if self.level == Level::OPEN && delay_us <= self.target_us(load.latency_us) {
            return Level::OPEN;
        }
        let level = self.fitting(load, queued);
        level.max(Level(self.floor())).max(waiting(queued))
    }

    /// Highest level whose estimated arrivals fit the budget of each class below it.
    fn fitting(&self, load: Load, queued: &Queued) -> Level {
        let border = self.border();
        let mut below = 0.0;
        let mut ahead = 0;
        for (class, cells) in self.estimate.chunks(CELLS_PER_IMPORTANCE).enumerate() {
            ahead += queued.get(&Importance(class as u8)).unwrap_or(&0);
            let budget = self.budget(load, ahead);
            for (index, &estimate) in cells.iter().enumerate() {
                let cell = class * CELLS_PER_IMPORTANCE + index;
                let discount = if cell < border { 1.0 } else { self.discount };
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

    /// Arrivals to admit in a window, for a class with this much waiting at least as important
    /// work. Less important waiting work does not count: it gives way.
    fn budget(&self, load: Load, ahead: usize) -> f64 {
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

    /// Level below which it never goes: some of the most important class that comes here.
    fn floor(&self) -> u32 {
        let classes = self.estimate.chunks(CELLS_PER_IMPORTANCE);
        let arrived = self.arrived.chunks(CELLS_PER_IMPORTANCE);
        let mut both = classes.zip(arrived);
        let top = both.position(|(estimate, arrived)| {
            estimate.iter().sum::<f64>() > ABSENT || arrived.iter().any(|&count| count > 0)
        });
        let top = Importance(top.unwrap_or(0) as u8);
        u32::from(Rank::from_parts(top, 0).position()) + PROBE_BUCKETS
    }
}

/// Level that admits all classes more important than the least important waiting work.
fn waiting(queued: &Queued) -> Level {
    let least = queued.last_key_value();
    let least = least.map_or(Importance(0), |(importance, _)| *importance);
    Level(u32::from(Rank::from_parts(least, 0).position()))
}
