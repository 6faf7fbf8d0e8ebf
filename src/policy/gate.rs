//! State machine in front of one backend server: limit, queue, level and drain in one.

use {
    crate::{
        policy::{
            alone::{AloneLimits, Turns},
            limit::{Limit, Sample},
            queue::{Order, Queue, Ticket},
            shed::{GateRules, LevelControl, Load},
        },
        request::{Importance, Level, Rank, Reason, Refusal},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::SlotMap,
};

pub use crate::policy::work::{Action, Arrival, Finish, GateCounters, GateReport, Offer, WorkKey};

/// Shortest queue bound, in entries.
const QUEUE_MIN: usize = 8;

/// Queueing delay, in targets, above which the newest work starts first.
const NEWEST_FIRST_TARGETS: f64 = 2.0;

/// Queueing delay, in targets, below which the oldest work starts first again.
const OLDEST_FIRST_TARGETS: f64 = 0.5;

/// Latency assumed before the first sample.
const LATENCY_UNKNOWN_US: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
enum State {
    Queued(Ticket),
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
    level: LevelControl,
    limit: Limit,
    queue: Queue<WorkKey>,
    /// Waiting work that must run alone; it holds no place in the other queue.
    suspects: Queue<WorkKey>,
    turns: Turns<WorkKey>,
    works: SlotMap<WorkKey, Work>,
    in_flight: usize,
    started_sum_us: u128,
    draining: bool,
    order: Order,
    counters: GateCounters,
    rng: ChaCha8Rng,
}

impl Gate {
    /// Gate of a backend server that has not announced itself.
    pub fn new(rules: GateRules, seed: u64) -> Self {
        Self {
            rules,
            level: LevelControl::new(rules),
            limit: Limit::new(),
            queue: Queue::new(),
            suspects: Queue::new(),
            turns: Turns::new(AloneLimits::default()),
            works: SlotMap::with_key(),
            in_flight: 0,
            started_sum_us: 0,
            draining: false,
            order: Order::OldestFirst,
            counters: GateCounters::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Changes the trade between goodput and recovery time.
    pub fn set_rules(&mut self, rules: GateRules) {
        self.rules = rules;
        self.level.set_rules(rules);
    }

    /// Takes the slots that the backend server announces.
    pub fn announce(&mut self, slots: u32, now_us: u64) {
        self.limit.announce(slots, now_us);
    }

    /// The backend server says that it is warm.
    pub fn warm(&mut self, now_us: u64) {
        self.limit.warm(now_us);
    }

    /// The backend server was replaced: nothing is in flight any more, what waits is refused, and
    /// the new one is cold.
    pub fn reset(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.refuse_queued(Reason::Unreachable, actions);
        self.works.clear();
        self.in_flight = 0;
        self.started_sum_us = 0;
        self.turns = Turns::new(AloneLimits::default());
        self.limit.restart(now_us);
    }

    /// Begins or ends a drain. Work in flight goes on; what waits and what comes is refused.
    pub fn set_draining(&mut self, draining: bool, now_us: u64, actions: &mut Vec<Action>) {
        self.draining = draining;
        if draining {
            self.refuse_queued(Reason::Draining, actions);
        }
        self.roll(now_us);
    }

    /// Decides on an arrival.
    pub fn offer(&mut self, arrival: Arrival, now_us: u64, actions: &mut Vec<Action>) -> Offer {
        self.roll(now_us);
        self.counters.offered += 1;
        self.level.arrived(arrival.rank);
        if let Err(reason) = self.check(arrival, now_us) {
            return Offer::Refused(self.refusal(reason, now_us));
        }
        if !self.admits(arrival.rank) {
            return Offer::Refused(self.refusal(Reason::Overload, now_us));
        }
        let Some(key) = self.enqueue(arrival, now_us, actions) else {
            return Offer::Refused(self.refusal(Reason::WorkerFull, now_us));
        };
        self.exchange(arrival.rank, now_us, actions);
        self.pump(now_us, actions);
        self.evict(now_us, actions);
        Self::resolve(key, actions)
    }

    /// Takes the end of started work.
    pub fn finish(&mut self, key: WorkKey, finish: Finish, now_us: u64, actions: &mut Vec<Action>) {
        let Some(work) = self.works.remove(key) else {
            return;
        };
        match work.state {
            State::Queued(ticket) => {
                if work.exclusive {
                    self.suspects.remove(ticket);
                    self.turns.cancel(key);
                } else {
                    self.queue.remove(ticket);
                }
                self.counters.cancelled += 1;
            }
            State::Running { started_us } => {
                self.count(finish);
                self.measure(started_us, finish, now_us);
                self.in_flight -= 1;
                self.started_sum_us -= u128::from(started_us);
                if work.exclusive {
                    self.turns.end(now_us);
                }
            }
        }
        self.roll(now_us);
        self.pump(now_us, actions);
    }

    /// The caller gave up. Queued work is dropped; running work keeps its slot until it is
    /// finished.
    pub fn cancel(&mut self, key: WorkKey, now_us: u64, actions: &mut Vec<Action>) {
        let queued = matches!(
            self.works.get(key),
            Some(Work {
                state: State::Queued(_),
                ..
            })
        );
        if queued {
            self.finish(key, Finish::Cancelled, now_us, actions);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.roll(now_us);
        self.expire(now_us, actions);
        self.pump(now_us, actions);
    }

    /// Admission level, as answers and gossip carry it.
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
        let wait_us = self.wait_us(arrival.rank.importance());
        if !self.in_time(arrival.deadline_us, wait_us, now_us) {
            return Err(Reason::Deadline);
        }
        Ok(())
    }

    /// Tells whether the level admits the rank, or something less important waits that can give
    /// up its place.
    fn admits(&self, rank: Rank) -> bool {
        self.level().admits(rank) || self.queue.worst().is_some_and(|worst| worst.rank() > rank)
    }

    /// Gives up the least important waiting work for an arrival that the level does not admit.
    fn exchange(&mut self, rank: Rank, now_us: u64, actions: &mut Vec<Action>) {
        if self.level().admits(rank) {
            return;
        }
        if let Some(worst) = self.queue.worst() {
            self.drop_queued(worst, Reason::Overload, now_us, actions);
        }
    }

    /// Time until all more important waiting work has started, at least.
    fn wait_us(&self, importance: Importance) -> u64 {
        let Some(above) = importance.0.checked_sub(1) else {
            return 0;
        };
        let ahead = self.queue.ahead(Importance(above)) as u64;
        let limit = u64::from(self.limit.current().max(1));
        ahead * self.limit.latency().expected_us() / limit
    }

    /// Tells whether work that waits this long can end in time. With nothing in flight the
    /// expected time may be out of date, and only a deadline that is over counts.
    fn in_time(&self, deadline_us: u64, wait_us: u64, now_us: u64) -> bool {
        let expected_us = if self.in_flight == 0 {
            0
        } else {
            wait_us + self.limit.latency().expected_us()
        };
        now_us + expected_us < deadline_us
    }

    /// Queues an arrival; `None` if too many suspects wait that are no less important.
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
        let key = self.works.insert_with_key(|key| Work {
            exclusive: arrival.exclusive,
            state: State::Queued(queue.push(arrival.rank, arrival.deadline_us, key)),
        });
        if !arrival.exclusive || self.turns.queue(key, false) {
            return Some(key);
        }
        let worst = self.suspects.worst()?;
        let Some(dropped) = self.suspects.remove(worst) else {
            return Some(key);
        };
        self.works.remove(dropped);
        if dropped == key {
            return None;
        }
        self.turns.cancel(dropped);
        let _ = self.turns.queue(key, false);
        let refusal = self.refusal(Reason::WorkerFull, now_us);
        actions.push(Action::Refuse(dropped, refusal));
        Some(key)
    }

    /// Tells the fate of an arrival, taking its own action out of the list.
    fn resolve(key: WorkKey, actions: &mut Vec<Action>) -> Offer {
        let own = actions.iter().rposition(|action| match action {
            Action::Start(other) | Action::Refuse(other, _) => *other == key,
        });
        match own.map(|index| actions.remove(index)) {
            Some(Action::Start(key)) => Offer::Started(key),
            Some(Action::Refuse(_, refusal)) => Offer::Refused(refusal),
            None => Offer::Queued(key),
        }
    }

    fn evict(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        while self.queue.len() > self.queue_max() {
            let Some(worst) = self.queue.worst() else {
                return;
            };
            let reason = if self.level() == Level::OPEN {
                Reason::WorkerFull
            } else {
                Reason::Overload
            };
            self.level.evicted(worst.rank());
            self.drop_queued(worst, reason, now_us, actions);
        }
    }

    fn queue_max(&self) -> usize {
        let entries = f64::from(self.limit.current()) * self.rules.queue_latencies;
        (entries as usize).max(QUEUE_MIN)
    }

    /// Starts what may start.
    fn pump(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.take_turn(now_us, actions);
        while let Some((ticket, key)) = self.queue.best(self.order) {
            if !self.in_time(ticket.deadline_us(), 0, now_us) {
                self.drop_queued(ticket, Reason::Deadline, now_us, actions);
                continue;
            }
            if !self.turns.is_open() || self.in_flight >= self.limit.current() as usize {
                return;
            }
            self.queue.remove(ticket);
            self.start(key, now_us);
            actions.push(Action::Start(key));
        }
    }

    /// Starts the most important suspect if it has the worker to itself now.
    fn take_turn(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        while let Some(late) = self.suspects.expired(now_us) {
            self.drop_suspect(late, Reason::Deadline, actions);
        }
        let Some(turn) = self.turns.next(self.in_flight as u32, now_us) else {
            return;
        };
        let Some((ticket, key)) = self.suspects.best(Order::OldestFirst) else {
            self.turns.end(now_us);
            return;
        };
        if key != turn {
            // The turn goes to another one than the first that came.
            self.turns.cancel(key);
            let _ = self.turns.queue(turn, false);
        }
        self.suspects.remove(ticket);
        self.start(key, now_us);
        actions.push(Action::Start(key));
    }

    fn drop_suspect(&mut self, ticket: Ticket, reason: Reason, actions: &mut Vec<Action>) {
        if let Some(key) = self.suspects.remove(ticket) {
            self.turns.cancel(key);
            self.works.remove(key);
            let refusal = self.refusal(reason, 0);
            actions.push(Action::Refuse(key, refusal));
        }
    }

    fn start(&mut self, key: WorkKey, now_us: u64) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        work.state = State::Running { started_us: now_us };
        self.in_flight += 1;
        self.started_sum_us += u128::from(now_us);
        self.counters.started += 1;
    }

    /// Refuses waiting work that can no longer end in time.
    fn expire(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let expected_us = if self.in_flight == 0 {
            0
        } else {
            self.limit.latency().expected_us()
        };
        while let Some(ticket) = self.queue.expired(now_us + expected_us) {
            self.drop_queued(ticket, Reason::Deadline, now_us, actions);
        }
    }

    fn refuse_queued(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        while let Some(worst) = self.queue.worst() {
            self.drop_queued(worst, reason, 0, actions);
        }
        while let Some(worst) = self.suspects.worst() {
            self.drop_suspect(worst, reason, actions);
        }
    }

    fn drop_queued(
        &mut self,
        ticket: Ticket,
        reason: Reason,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        if let Some(key) = self.queue.remove(ticket) {
            self.works.remove(key);
            let refusal = self.refusal(reason, now_us);
            actions.push(Action::Refuse(key, refusal));
        }
    }

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

    fn measure(&mut self, started_us: u64, finish: Finish, now_us: u64) {
        if finish == Finish::Cancelled {
            return;
        }
        let sample = Sample {
            started_us,
            done: finish == Finish::Done,
            binding: self.in_flight >= self.limit.current() as usize,
        };
        self.limit.finished(sample, now_us);
    }

    fn roll(&mut self, now_us: u64) {
        let load = self.load(now_us);
        if !self.level.roll(load, self.queue.counts(), now_us) {
            return;
        }
        let target_us = self.level.target_us(load.latency_us);
        let delay_us = load.delay_us() as f64;
        if delay_us > target_us * NEWEST_FIRST_TARGETS {
            self.order = Order::NewestFirst;
        } else if delay_us < target_us * OLDEST_FIRST_TARGETS {
            self.order = Order::OldestFirst;
        }
    }

    fn load(&self, now_us: u64) -> Load {
        Load {
            queued: self.queue.len(),
            in_flight: self.in_flight,
            limit: self.limit.current(),
            latency_us: self.latency_us(now_us),
        }
    }

    /// Mean latency, or more where the age of the work in flight shows that it has grown.
    fn latency_us(&self, now_us: u64) -> u64 {
        let age_us = self.mean_age_us(now_us);
        match self.limit.latency().mean_us() {
            0 => age_us.max(LATENCY_UNKNOWN_US),
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
