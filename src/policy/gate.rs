//! State machine in front of one backend server: concurrency limit, queue, admission level and
//! drain.

use {
    crate::{
        policy::{
            isolation::{IsolationLimits, IsolationQueue},
            limit::{ConcurrencyLimit, Sample},
            queue::{Queue, QueueEntry, QueueOrder},
            rate::{RateLimiter, RequestRate},
            shed::{GateLoad, GateRules, LevelController},
        },
        request::{Importance, Level, Rank, Reason, Refusal},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::SlotMap,
};

pub use crate::policy::work::{
    Action, Arrival, Finish, GateCounters, GateDecision, GateReport, WorkKey,
};

/// Smallest bound on the queue length, in entries.
const QUEUE_MAX_MIN: usize = 8;

/// Queueing delay, as a multiple of the target, above which the newest work starts first.
const NEWEST_FIRST_TARGETS: f64 = 2.0;

/// Queueing delay, as a multiple of the target, below which the oldest work starts first again.
const OLDEST_FIRST_TARGETS: f64 = 0.5;

/// Latency assumed before the first sample.
const INITIAL_LATENCY_US: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
enum State {
    Queued(QueueEntry),
    Running { started_us: u64 },
}

#[derive(Debug, Clone, Copy)]
struct Work {
    exclusive: bool,
    state: State,
}

/// Gate in front of one backend server.
#[derive(Debug)]
pub struct Gate {
    rules: GateRules,
    level: LevelController,
    limit: ConcurrencyLimit,
    rate: RateLimiter,
    queue: Queue<WorkKey>,
    /// Queued crash suspects, which must run in isolation; they are not in `queue`.
    suspects: Queue<WorkKey>,
    isolation: IsolationQueue<WorkKey>,
    work: SlotMap<WorkKey, Work>,
    in_flight: usize,
    /// Sum of the start times of the work in flight, from which its mean age follows.
    started_sum_us: u128,
    draining: bool,
    order: QueueOrder,
    counters: GateCounters,
    rng: ChaCha8Rng,
}

impl Gate {
    /// Creates the gate of a backend server that has not announced itself; it admits nothing yet.
    pub fn new(rules: GateRules, seed: u64) -> Self {
        Self {
            rules,
            level: LevelController::new(rules),
            limit: ConcurrencyLimit::new(),
            rate: RateLimiter::default(),
            queue: Queue::new(),
            suspects: Queue::new(),
            isolation: IsolationQueue::new(IsolationLimits::default()),
            work: SlotMap::with_key(),
            in_flight: 0,
            started_sum_us: 0,
            draining: false,
            order: QueueOrder::OldestFirst,
            counters: GateCounters::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Changes the trade-off between goodput and recovery time.
    pub fn set_rules(&mut self, rules: GateRules) {
        self.rules = rules;
        self.level.set_rules(rules);
    }

    /// Applies the number of slots that the backend server announces.
    pub fn announce(&mut self, slots: u32, now_us: u64) {
        self.limit.announce(slots, now_us);
    }

    /// Ends the warm-up, since the backend server reports that it is warm.
    pub fn mark_warm(&mut self, now_us: u64) {
        self.limit.mark_warm(now_us);
    }

    /// Applies the limit on the rate of requests that the backend server names; `None` if it names
    /// none.
    pub fn set_rate(&mut self, rate: Option<RequestRate>, now_us: u64, actions: &mut Vec<Action>) {
        self.rate.set(rate, now_us);
        self.start_queued(now_us, actions);
    }

    /// Keeps a low rate until the backend server has answered, as it may have named a limit to an
    /// earlier process.
    pub fn assume_need(&mut self, now_us: u64) {
        self.rate.assume_need(now_us);
    }

    /// Resets the gate for a new incarnation of the backend server: nothing is in flight any more,
    /// queued work is refused, and the warm-up begins again.
    pub fn reset(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.refuse_queued(Reason::Unreachable, actions);
        self.work.clear();
        self.in_flight = 0;
        self.started_sum_us = 0;
        self.isolation = IsolationQueue::new(IsolationLimits::default());
        self.limit.restart(now_us);
        self.rate = RateLimiter::default();
    }

    /// Begins or ends a drain. Work in flight continues; queued work and new arrivals are refused.
    pub fn set_draining(&mut self, draining: bool, now_us: u64, actions: &mut Vec<Action>) {
        self.draining = draining;
        if draining {
            self.refuse_queued(Reason::Draining, actions);
        }
        self.update_level(now_us);
    }

    /// Decides on an arrival; decisions on other work are appended to `actions`.
    pub fn offer(
        &mut self,
        arrival: Arrival,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) -> GateDecision {
        self.update_level(now_us);
        self.counters.offered += 1;
        self.level.count_arrival(arrival.rank);
        if let Err(reason) = self.check(arrival, now_us) {
            return GateDecision::Refused(self.refusal(reason, now_us));
        }
        if !self.admits(arrival.rank) {
            return GateDecision::Refused(self.refusal(Reason::Overload, now_us));
        }
        let Some(key) = self.enqueue(arrival, now_us, actions) else {
            return GateDecision::Refused(self.refusal(Reason::WorkerFull, now_us));
        };
        self.displace(arrival.rank, now_us, actions);
        self.start_queued(now_us, actions);
        self.evict(now_us, actions);
        Self::decision_on(key, actions)
    }

    /// Records the end of started work, or removes queued work.
    pub fn finish(&mut self, key: WorkKey, finish: Finish, now_us: u64, actions: &mut Vec<Action>) {
        let Some(work) = self.work.remove(key) else {
            return;
        };
        match work.state {
            State::Queued(entry) => {
                if work.exclusive {
                    self.suspects.remove(entry);
                    self.isolation.cancel(key);
                } else {
                    self.queue.remove(entry);
                }
                self.counters.cancelled += 1;
            }
            State::Running { started_us } => {
                self.count(finish);
                self.measure(started_us, finish, now_us);
                self.in_flight -= 1;
                self.started_sum_us -= u128::from(started_us);
                if work.exclusive {
                    self.isolation.finish(now_us);
                }
            }
        }
        self.update_level(now_us);
        self.start_queued(now_us, actions);
    }

    /// Cancels work that its caller no longer needs. Queued work is dropped; running work keeps its
    /// slot until it is finished.
    pub fn cancel(&mut self, key: WorkKey, now_us: u64, actions: &mut Vec<Action>) {
        let queued = matches!(
            self.work.get(key),
            Some(Work {
                state: State::Queued(_),
                ..
            })
        );
        if queued {
            self.finish(key, Finish::Cancelled, now_us, actions);
        }
    }

    /// Applies the passing of time: closes the window, refuses expired work and starts queued work.
    pub fn tick(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.update_level(now_us);
        self.expire(now_us, actions);
        self.start_queued(now_us, actions);
    }

    /// Admission level, as published in answers and gossip.
    pub fn level(&self) -> Level {
        self.level.level()
    }

    /// Work in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// State for dumps and gossip.
    pub fn report(&self, now_us: u64) -> GateReport {
        let load = self.load(now_us);
        let mut queued = self.queue.counts().clone();
        for (importance, count) in self.suspects.counts() {
            *queued.entry(*importance).or_default() += count;
        }
        GateReport {
            level: self.level(),
            limit: load.limit,
            in_flight: self.in_flight,
            queued,
            queue_delay_us: load.delay_us(),
            latency_us: self.limit.latency().mean_us(),
            draining: self.draining,
            counters: self.counters.clone(),
        }
    }

    fn check(&self, arrival: Arrival, now_us: u64) -> Result<(), Reason> {
        if self.draining {
            return Err(Reason::Draining);
        }
        if self.limit.current() == 0 {
            return Err(Reason::Unreachable);
        }
        let wait_us = self.wait_us(arrival.rank.importance(), now_us);
        if !self.can_meet_deadline(arrival.deadline_us, wait_us, now_us) {
            return Err(Reason::Deadline);
        }
        Ok(())
    }

    /// Returns whether the level admits the rank, or less important work is queued that the arrival
    /// can displace.
    fn admits(&self, rank: Rank) -> bool {
        self.level().admits(rank)
            || self
                .queue
                .least_important()
                .is_some_and(|least| least.rank() > rank)
    }

    /// Drops the least important queued work in favour of an arrival that the level does not admit.
    fn displace(&mut self, rank: Rank, now_us: u64, actions: &mut Vec<Action>) {
        if self.level().admits(rank) {
            return;
        }
        if let Some(least) = self.queue.least_important() {
            self.drop_queued(least, Reason::Overload, now_us, actions);
        }
    }

    /// Lower estimate of the time until all more important queued work has started.
    fn wait_us(&self, importance: Importance, now_us: u64) -> u64 {
        let Some(above) = importance.0.checked_sub(1) else {
            return 0;
        };
        let ahead = self.queue.count_at_least(Importance(above)) as u64;
        let limit = u64::from(self.effective_limit(now_us).max(1));
        ahead * self.limit.latency().expected_us() / limit
    }

    /// Returns whether work can end before its deadline if it starts after `wait_us`. With nothing
    /// in flight the expected latency may be out of date, so only a deadline in the past counts.
    fn can_meet_deadline(&self, deadline_us: u64, wait_us: u64, now_us: u64) -> bool {
        let expected_us = if self.in_flight == 0 {
            0
        } else {
            wait_us + self.limit.latency().expected_us()
        };
        now_us + expected_us < deadline_us
    }

    /// Queues an arrival. Returns `None` for a suspect if the isolation queue is full of suspects
    /// that are at least as important.
    fn enqueue(
        &mut self,
        arrival: Arrival,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) -> Option<WorkKey> {
        let queue = if arrival.exclusive {
            &mut self.suspects
        } else {
            &mut self.queue
        };
        let key = self.work.insert_with_key(|key| Work {
            exclusive: arrival.exclusive,
            state: State::Queued(queue.push(arrival.rank, arrival.deadline_us, key)),
        });
        if !arrival.exclusive || self.isolation.push(key, false) {
            return Some(key);
        }
        let least = self.suspects.least_important()?;
        let Some(dropped) = self.suspects.remove(least) else {
            return Some(key);
        };
        self.work.remove(dropped);
        if dropped == key {
            return None;
        }
        self.isolation.cancel(dropped);
        let _ = self.isolation.push(key, false);
        let refusal = self.refusal(Reason::WorkerFull, now_us);
        actions.push(Action::Refuse(dropped, refusal));
        Some(key)
    }

    /// Decision on an arrival: removes the action for its key from the list, if there is one.
    fn decision_on(key: WorkKey, actions: &mut Vec<Action>) -> GateDecision {
        let own = actions.iter().rposition(|action| match action {
            Action::Start(other) | Action::Refuse(other, _) => *other == key,
        });
        match own.map(|index| actions.remove(index)) {
            Some(Action::Start(key)) => GateDecision::Started(key),
            Some(Action::Refuse(_, refusal)) => GateDecision::Refused(refusal),
            None => GateDecision::Queued(key),
        }
    }

    /// Refuses the least important queued work while the queue is longer than its bound.
    fn evict(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        while self.queue.len() > self.queue_max(now_us) {
            let Some(least) = self.queue.least_important() else {
                return;
            };
            let reason = if self.level() == Level::OPEN {
                Reason::WorkerFull
            } else {
                Reason::Overload
            };
            self.level.lower_to(least.rank());
            self.drop_queued(least, reason, now_us, actions);
        }
    }

    /// Bound on the queue length, in entries.
    fn queue_max(&self, now_us: u64) -> usize {
        let entries = f64::from(self.effective_limit(now_us)) * self.rules.queue_latencies;
        (entries as usize).max(QUEUE_MAX_MIN)
    }

    /// Starts queued work as far as the concurrency limit and isolated runs allow.
    fn start_queued(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.start_suspect(now_us, actions);
        while let Some((entry, key)) = self.queue.next_to_start(self.order) {
            if !self.can_meet_deadline(entry.deadline_us(), 0, now_us) {
                self.drop_queued(entry, Reason::Deadline, now_us, actions);
                continue;
            }
            let is_full = self.in_flight >= self.limit.current() as usize;
            if !self.isolation.is_open() || is_full || !self.rate.has_token(now_us) {
                return;
            }
            self.queue.remove(entry);
            self.start(key, now_us);
            actions.push(Action::Start(key));
        }
    }

    /// Starts the most important suspect if the worker is free for an isolated run.
    fn start_suspect(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        while let Some(expired) = self.suspects.expired(now_us) {
            self.drop_suspect(expired, Reason::Deadline, actions);
        }
        if !self.rate.has_token(now_us) {
            return;
        }
        let Some(scheduled) = self.isolation.start_next(self.in_flight as u32, now_us) else {
            return;
        };
        let Some((entry, key)) = self.suspects.next_to_start(QueueOrder::OldestFirst) else {
            self.isolation.finish(now_us);
            return;
        };
        if key != scheduled {
            // The isolation queue orders by arrival. A more important suspect takes the run, and
            // the scheduled one is queued again.
            self.isolation.cancel(key);
            let _ = self.isolation.push(scheduled, false);
        }
        self.suspects.remove(entry);
        self.start(key, now_us);
        actions.push(Action::Start(key));
    }

    /// Refuses a queued suspect, for a reason other than overload.
    fn drop_suspect(&mut self, entry: QueueEntry, reason: Reason, actions: &mut Vec<Action>) {
        if let Some(key) = self.suspects.remove(entry) {
            self.isolation.cancel(key);
            self.work.remove(key);
            // The time only matters for the advice in refusals for overload.
            let refusal = self.refusal(reason, 0);
            actions.push(Action::Refuse(key, refusal));
        }
    }

    fn start(&mut self, key: WorkKey, now_us: u64) {
        let Some(work) = self.work.get_mut(key) else {
            return;
        };
        work.state = State::Running { started_us: now_us };
        self.rate.take();
        self.in_flight += 1;
        self.started_sum_us += u128::from(now_us);
        self.counters.started += 1;
    }

    /// Refuses queued work that can no longer end before its deadline.
    fn expire(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let expected_us = if self.in_flight == 0 {
            0
        } else {
            self.limit.latency().expected_us()
        };
        while let Some(entry) = self.queue.expired(now_us + expected_us) {
            self.drop_queued(entry, Reason::Deadline, now_us, actions);
        }
    }

    /// Refuses all queued work, for a reason other than overload.
    fn refuse_queued(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        while let Some(least) = self.queue.least_important() {
            self.drop_queued(least, reason, 0, actions);
        }
        while let Some(least) = self.suspects.least_important() {
            self.drop_suspect(least, reason, actions);
        }
    }

    fn drop_queued(
        &mut self,
        entry: QueueEntry,
        reason: Reason,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        if let Some(key) = self.queue.remove(entry) {
            self.work.remove(key);
            let refusal = self.refusal(reason, now_us);
            actions.push(Action::Refuse(key, refusal));
        }
    }

    /// Counts a refusal and creates it; refusals for overload carry retry-after advice.
    fn refusal(&mut self, reason: Reason, now_us: u64) -> Refusal {
        *self.counters.refused.entry(reason).or_default() += 1;
        let refusal = Refusal::not_run(reason);
        if reason != Reason::Overload {
            return refusal;
        }
        let jitter = self.rng.random_range(0.5..1.5);
        let load = self.load(now_us);
        refusal.retry_after_ms(self.level.retry_after_ms(load, jitter))
    }

    fn count(&mut self, finish: Finish) {
        match finish {
            Finish::Done => self.counters.done += 1,
            Finish::Failed => self.counters.failed += 1,
            Finish::Cancelled => self.counters.cancelled += 1,
        }
    }

    /// Passes the sample of a finished request to the concurrency limit.
    fn measure(&mut self, started_us: u64, finish: Finish, now_us: u64) {
        if finish == Finish::Cancelled {
            return;
        }
        let sample = Sample {
            started_us,
            done: finish == Finish::Done,
            binding: self.in_flight >= self.limit.current() as usize,
        };
        self.limit.record(sample, now_us);
    }

    /// Closes the window of the level if it is over, and sets the queue order.
    fn update_level(&mut self, now_us: u64) {
        let load = self.load(now_us);
        if !self
            .level
            .close_window_if_over(load, self.queue.counts(), now_us)
        {
            return;
        }
        let target_us = self.level.target_us(load.latency_us);
        let delay_us = load.delay_us() as f64;
        if delay_us > target_us * NEWEST_FIRST_TARGETS {
            self.order = QueueOrder::NewestFirst;
        } else if delay_us < target_us * OLDEST_FIRST_TARGETS {
            self.order = QueueOrder::OldestFirst;
        }
    }

    fn load(&self, now_us: u64) -> GateLoad {
        GateLoad {
            queued: self.queue.len(),
            in_flight: self.in_flight,
            limit: self.effective_limit(now_us),
            latency_us: self.latency_us(now_us),
        }
    }

    /// Requests in flight that the concurrency limit and the rate allow.
    fn effective_limit(&self, now_us: u64) -> u32 {
        let limit = self.limit.current();
        let allowed = self.rate.concurrency(self.latency_us(now_us));
        allowed.map_or(limit, |allowed| allowed.min(limit))
    }

    /// Mean latency, or half of the mean age of the work in flight if that is greater: latency has
    /// grown, but the slow requests have not ended yet.
    fn latency_us(&self, now_us: u64) -> u64 {
        let age_us = self.mean_age_us(now_us);
        match self.limit.latency().mean_us() {
            0 => age_us.max(INITIAL_LATENCY_US),
            mean_us => mean_us.max(age_us / 2),
        }
    }

    fn mean_age_us(&self, now_us: u64) -> u64 {
        if self.in_flight == 0 {
            return 0;
        }
        let mean_started_us = (self.started_sum_us / self.in_flight as u128) as u64;
        now_us.saturating_sub(mean_started_us)
    }
}
