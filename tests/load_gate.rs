//! One gate under overload: synthetic arrivals, a backend server with a fixed number of slots,
//! callers that resend at once, and edges that apply the reported admission levels.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::{
            gate::{Action, Arrival, Finish, Gate, GateDecision, WorkKey},
            paths::PathLevels,
            shed::GateRules,
        },
        request::{Importance, Incarnation, Rank, Reason, RequestId},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
    },
};

const SECOND_US: u64 = 1_000_000;
const SERVICE: &str = "pantry-ledger";

/// Behaviour of the callers and the backend server.
#[derive(Clone)]
struct Plan {
    slots: u32,
    announced: u32,
    service_us: f64,
    /// Share of the offered load by importance.
    mix: Vec<f64>,
    /// Offered load as a multiple of capacity, by start time.
    load: Vec<(u64, f64)>,
    /// Factor on the service time, by start time.
    slow: Vec<(u64, f64)>,
    /// Whether an edge in front of the gate applies the reported levels.
    edge: bool,
    /// Largest number of resends per caller after refusals; retry-after advice is ignored.
    resends: u32,
    deadline_us: u64,
    until_us: u64,
    /// Weight of a short recovery time against goodput, see [`GateRules::new`].
    weight_percent: u8,
    seed: u64,
}

impl Plan {
    fn ledger() -> Self {
        Self {
            slots: 20,
            announced: 20,
            service_us: 50_000.0,
            mix: vec![0.15, 0.35, 0.5],
            load: vec![(0, 0.7)],
            slow: vec![(0, 1.0)],
            edge: false,
            resends: 0,
            deadline_us: 2 * SECOND_US,
            until_us: 20 * SECOND_US,
            weight_percent: 50,
            seed: 7,
        }
    }

    fn gates() -> Self {
        Self {
            slots: 30,
            announced: 30,
            service_us: 20_000.0,
            ..Self::ledger()
        }
    }

    fn capacity(&self) -> f64 {
        f64::from(self.slots) / self.service_us * SECOND_US as f64
    }
}

/// Value in force at `now_us`.
fn value_at(steps: &[(u64, f64)], now_us: u64) -> f64 {
    let past = steps.iter().rev().find(|(from_us, _)| *from_us <= now_us);
    past.map_or(0.0, |(_, value)| *value)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    NewCaller,
    Send { call: usize },
    Served { call: usize },
    DeadlinePassed { call: usize },
    Tick,
}

struct Call {
    rank: Rank,
    first_us: u64,
    resends: u32,
    open: bool,
    key: Option<WorkKey>,
}

#[derive(Default)]
struct Tally {
    offered: BTreeMap<u8, u64>,
    served: BTreeMap<u8, u64>,
    /// Requests answered before their deadline, per 100 ms.
    goodput: Vec<u64>,
    inversions: u64,
    limit: u32,
    /// Sum of the times from a caller's first send to its answer.
    response_us: u64,
    responses: u64,
}

struct Simulation {
    plan: Plan,
    gate: Gate,
    paths: PathLevels,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now_us: u64,
    calls: Vec<Call>,
    by_key: BTreeMap<WorkKey, usize>,
    busy: u32,
    /// Calls that queue inside the backend server.
    backlog: VecDeque<usize>,
    from_us: u64,
    tally: Tally,
}

impl Simulation {
    fn run(plan: Plan, from_us: u64) -> Tally {
        let mut gate = Gate::new(GateRules::new(plan.weight_percent), plan.seed);
        gate.announce(plan.announced, 0);
        let mut simulation = Self {
            gate,
            paths: PathLevels::default(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            now_us: 0,
            calls: Vec::new(),
            by_key: BTreeMap::new(),
            busy: 0,
            backlog: VecDeque::new(),
            from_us,
            tally: Tally::default(),
            plan,
        };
        simulation.schedule(1, Event::NewCaller);
        simulation.schedule(25_000, Event::Tick);
        while let Some(Reverse((at_us, _, event))) = simulation.events.pop() {
            if at_us > simulation.plan.until_us {
                break;
            }
            simulation.now_us = at_us;
            simulation.handle(event);
        }
        simulation.tally.limit = simulation.gate.report(simulation.now_us).limit;
        simulation.tally
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(1e-12..1.0);
        (-uniform.ln() * mean_us).max(1.0) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewCaller => self.new_caller(),
            Event::Send { call } => self.send(call),
            Event::Served { call } => self.served(call),
            Event::DeadlinePassed { call } => self.deadline_passed(call),
            Event::Tick => {
                let mut actions = Vec::new();
                self.gate.tick(self.now_us, &mut actions);
                self.apply(actions);
                self.schedule(25_000, Event::Tick);
            }
        }
    }

    fn new_caller(&mut self) {
        let load = value_at(&self.plan.load, self.now_us);
        let gap_us = SECOND_US as f64 / (load * self.plan.capacity());
        let gap_us = self.exponential(gap_us);
        self.schedule(gap_us, Event::NewCaller);
        let mut pick: f64 = self.rng.random_range(0.0..1.0);
        let mut importance = 0;
        for (index, share) in self.plan.mix.iter().enumerate() {
            importance = index as u8;
            if pick < *share {
                break;
            }
            pick -= share;
        }
        let id = RequestId(self.rng.random());
        self.calls.push(Call {
            rank: Rank::new(Importance(importance), id),
            first_us: self.now_us,
            resends: 0,
            open: true,
            key: None,
        });
        if self.is_counted(self.now_us) {
            *self.tally.offered.entry(importance).or_default() += 1;
        }
        let call = self.calls.len() - 1;
        self.schedule(self.plan.deadline_us, Event::DeadlinePassed { call });
        self.send(call);
    }

    /// Returns whether a caller is counted. Those that start within one deadline of the end are
    /// not, since they may have no answer when the run ends.
    fn is_counted(&self, first_us: u64) -> bool {
        let until_us = self.plan.until_us - self.plan.deadline_us;
        first_us >= self.from_us && first_us < until_us
    }

    fn send(&mut self, call: usize) {
        let rank = self.calls[call].rank;
        if !self.calls[call].open {
            return;
        }
        if self.plan.edge && self.paths.admit(SERVICE, rank, self.now_us).is_err() {
            self.refused(call);
            return;
        }
        let arrival = Arrival {
            rank,
            deadline_us: self.calls[call].first_us + self.plan.deadline_us,
            exclusive: false,
        };
        let mut actions = Vec::new();
        match self.gate.offer(arrival, self.now_us, &mut actions) {
            GateDecision::Started(key) => self.start(call, key),
            GateDecision::Queued(key) => {
                self.calls[call].key = Some(key);
                self.by_key.insert(key, call);
            }
            GateDecision::Refused(refusal) => {
                self.check_inversion(rank, refusal.reason, &actions);
                self.observe_level(rank);
                self.refused(call);
            }
        }
        self.apply(actions);
    }

    /// Counts a refusal for load while less important work is queued or started.
    fn check_inversion(&mut self, rank: Rank, reason: Reason, actions: &[Action]) {
        if !matches!(reason, Reason::Overload | Reason::WorkerFull) {
            return;
        }
        let report = self.gate.report(self.now_us);
        let is_queued = report.queued.keys().any(|&other| other > rank.importance());
        let is_started = actions.iter().any(|action| match action {
            Action::Start(key) => self.calls[self.by_key[key]].rank > rank,
            Action::Refuse(..) => false,
        });
        self.tally.inversions += u64::from(is_queued || is_started);
    }

    fn observe_level(&mut self, rank: Rank) {
        let level = self.gate.level();
        let service = SERVICE.into();
        let worker = Incarnation(1);
        self.paths
            .observe(&service, rank.importance(), worker, level, self.now_us);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(key) => {
                    let call = self.by_key[&key];
                    self.start(call, key);
                }
                Action::Refuse(key, _) => {
                    let call = self.by_key.remove(&key).unwrap();
                    self.calls[call].key = None;
                    self.observe_level(self.calls[call].rank);
                    self.refused(call);
                }
            }
        }
    }

    fn refused(&mut self, call: usize) {
        if self.calls[call].open && self.calls[call].resends < self.plan.resends {
            self.calls[call].resends += 1;
            self.schedule(50_000, Event::Send { call });
        }
    }

    fn start(&mut self, call: usize, key: WorkKey) {
        self.calls[call].key = Some(key);
        self.by_key.insert(key, call);
        if self.busy < self.plan.slots {
            self.serve(call);
        } else {
            self.backlog.push_back(call);
        }
    }

    fn serve(&mut self, call: usize) {
        self.busy += 1;
        let mean_us = self.plan.service_us * value_at(&self.plan.slow, self.now_us);
        let service_us = self.exponential(mean_us);
        self.schedule(service_us, Event::Served { call });
    }

    fn served(&mut self, call: usize) {
        self.busy -= 1;
        if let Some(next) = self.backlog.pop_front() {
            self.serve(next);
        }
        let key = self.calls[call].key.take().unwrap();
        self.by_key.remove(&key);
        let mut actions = Vec::new();
        self.gate
            .finish(key, Finish::Done, self.now_us, &mut actions);
        self.observe_level(self.calls[call].rank);
        self.apply(actions);
        if !self.calls[call].open {
            return;
        }
        self.calls[call].open = false;
        self.tally.response_us += self.now_us - self.calls[call].first_us;
        self.tally.responses += 1;
        let bin = (self.now_us / 100_000) as usize;
        if self.tally.goodput.len() <= bin {
            self.tally.goodput.resize(bin + 1, 0);
        }
        self.tally.goodput[bin] += 1;
        if self.is_counted(self.calls[call].first_us) {
            let importance = self.calls[call].rank.importance().0;
            *self.tally.served.entry(importance).or_default() += 1;
        }
    }

    fn deadline_passed(&mut self, call: usize) {
        if !self.calls[call].open {
            return;
        }
        self.calls[call].open = false;
        let Some(key) = self.calls[call].key else {
            return;
        };
        let mut actions = Vec::new();
        self.gate.cancel(key, self.now_us, &mut actions);
        self.apply(actions);
    }
}

impl Tally {
    fn served_share(&self, importance: u8) -> f64 {
        let served = self.served.get(&importance).copied().unwrap_or(0);
        served as f64 / self.offered[&importance] as f64
    }

    fn rate(&self, from_us: u64, until_us: u64) -> f64 {
        let bins = (from_us / 100_000) as usize..(until_us / 100_000) as usize;
        let seconds = (until_us - from_us) as f64 / SECOND_US as f64;
        let served: u64 = bins.filter_map(|bin| self.goodput.get(bin)).sum();
        served as f64 / seconds
    }

    /// Adds the goodput of another run of the same plan.
    fn add_goodput(&mut self, other: &Self) {
        let bins = self.goodput.len().max(other.goodput.len());
        self.goodput.resize(bins, 0);
        for (bin, count) in other.goodput.iter().enumerate() {
            self.goodput[bin] += count;
        }
    }

    /// Time from `end_us` until goodput over one second is at least `rate`.
    fn recovery_us(&self, end_us: u64, until_us: u64, rate: f64) -> u64 {
        let mut from_us = end_us;
        while from_us + SECOND_US <= until_us && self.rate(from_us, from_us + SECOND_US) < rate {
            from_us += 100_000;
        }
        from_us - end_us
    }
}

/// Runs the plan with this multiple of capacity as load. Returns the share of requests served by
/// importance, the utilisation, and the tally.
fn overload(plan: Plan, factor: f64) -> (Vec<f64>, f64, Tally) {
    let from_us = 4 * SECOND_US;
    let plan = Plan {
        load: vec![(0, 0.7), (3 * SECOND_US, factor)],
        ..plan
    };
    let (until_us, capacity) = (plan.until_us, plan.capacity());
    let classes = plan.mix.len() as u8;
    let tally = Simulation::run(plan, from_us);
    let last_us = until_us - 2 * SECOND_US;
    let utilisation = tally.rate(from_us, last_us) / capacity;
    let shares = (0..classes)
        .map(|class| tally.served_share(class))
        .collect();
    (shares, utilisation, tally)
}

/// Runs a surge with resends and a slow service at the same time, both until ten seconds; goodput
/// is summed over four seeds.
fn surge(plan: &Plan) -> Tally {
    let mut pooled = Tally::default();
    for seed in 0..4 {
        let plan = Plan {
            load: vec![(0, 0.7), (5 * SECOND_US, 3.0), (10 * SECOND_US, 0.7)],
            slow: vec![(0, 1.0), (6 * SECOND_US, 10.0), (10 * SECOND_US, 1.0)],
            until_us: 16 * SECOND_US,
            seed,
            ..plan.clone()
        };
        pooled.add_goodput(&Simulation::run(plan, 0));
    }
    pooled
}

const EDGES: [bool; 2] = [false, true];

/// Checks that important classes are served and capacity is used, with and without edges and
/// resends.
fn check_overload(plan: &Plan, factor: f64, important: u8) {
    for edge in EDGES {
        for resends in [0, 20] {
            let plan = Plan {
                edge,
                resends,
                ..plan.clone()
            };
            let (shares, utilisation, tally) = overload(plan, factor);
            let case = format!("x{factor} edge {edge} resends {resends}: {shares:?}");
            assert!(utilisation >= 0.95, "{case} utilisation {utilisation}");
            assert_eq!(tally.inversions, 0, "{case}");
            for class in 0..important {
                assert!(shares[usize::from(class)] >= 0.99, "{case}");
            }
        }
    }
}

#[test]
fn ledger_serves_important_classes_at_twice_its_capacity() {
    let plan = Plan {
        mix: vec![0.15, 0.25, 0.6],
        ..Plan::ledger()
    };
    check_overload(&plan, 2.0, 2);
}

#[test]
fn ledger_serves_important_classes_at_four_times_its_capacity() {
    let plan = Plan {
        mix: vec![0.1, 0.1, 0.8],
        ..Plan::ledger()
    };
    check_overload(&plan, 4.0, 2);
}

#[test]
fn gates_serves_important_classes_at_twice_its_capacity() {
    let plan = Plan {
        mix: vec![0.15, 0.25, 0.6],
        ..Plan::gates()
    };
    check_overload(&plan, 2.0, 2);
}

#[test]
fn gates_serves_important_classes_at_four_times_its_capacity() {
    let plan = Plan {
        mix: vec![0.1, 0.1, 0.8],
        ..Plan::gates()
    };
    check_overload(&plan, 4.0, 2);
}

/// A costly class of low importance makes many calls to a scarce service, and more than it can run.
/// Requests of a more important class to the same service are still served.
#[test]
fn requests_of_an_important_class_go_before_calls_of_a_less_important_one() {
    let reads = Importance(1).at_gate(false).0;
    let calls = Importance(2).at_gate(true).0;
    let requests = Importance(2).at_gate(false).0;
    assert!(reads < calls && calls < requests);
    let mut mix = vec![0.0; usize::from(requests) + 1];
    mix[usize::from(reads)] = 0.15;
    mix[usize::from(calls)] = 0.7;
    mix[usize::from(requests)] = 0.15;
    for factor in [1.2, 2.0] {
        let plan = Plan {
            mix: mix.clone(),
            load: vec![(0, 0.7), (3 * SECOND_US, factor)],
            ..Plan::ledger()
        };
        let tally = Simulation::run(plan, 4 * SECOND_US);
        let shares = [reads, calls, requests].map(|class| tally.served_share(class));
        assert!(shares[0] >= 0.99, "x{factor}: {shares:?}");
        assert!(shares[1] > shares[2], "x{factor}: {shares:?}");
    }
}

#[test]
fn every_class_keeps_its_place_at_the_gate() {
    let importances = [0, 1, 2, 16, 100, 127].map(Importance);
    let places: Vec<_> = importances
        .iter()
        .flat_map(|class| [class.at_gate(true), class.at_gate(false)])
        .collect();
    assert!(places.is_sorted());
    assert_eq!(Importance(255).at_gate(false), Importance(255));
}

fn check_recovery(plan: &Plan, weight_percent: u8) {
    for edge in EDGES {
        for resends in [0, 100] {
            let plan = Plan {
                edge,
                resends,
                weight_percent,
                ..plan.clone()
            };
            let tally = surge(&plan);
            let before = tally.rate(2 * SECOND_US, 5 * SECOND_US);
            let recovery_us = tally.recovery_us(10 * SECOND_US, plan.until_us, 0.95 * before);
            let case = format!("weight {weight_percent} edge {edge} resends {resends}");
            assert!(recovery_us <= 2 * SECOND_US, "{case}: {recovery_us} us");
        }
    }
}

#[test]
fn ledger_recovers_with_full_weight_on_goodput() {
    check_recovery(&Plan::ledger(), 0);
}

#[test]
fn ledger_recovers_with_full_weight_on_recovery() {
    check_recovery(&Plan::ledger(), 100);
}

#[test]
fn gates_recovers_with_full_weight_on_goodput() {
    check_recovery(&Plan::gates(), 0);
}

#[test]
fn gates_recovers_with_full_weight_on_recovery() {
    check_recovery(&Plan::gates(), 100);
}

/// Concurrency limit and share of capacity used after a minute of overload.
fn after_a_minute(plan: Plan) -> (u32, f64) {
    let plan = Plan {
        load: vec![(0, 2.0)],
        until_us: 60 * SECOND_US,
        ..plan
    };
    let (until_us, capacity) = (plan.until_us, plan.capacity());
    let tally = Simulation::run(plan, 0);
    let used = tally.rate(until_us - 10 * SECOND_US, until_us) / capacity;
    (tally.limit, used)
}

#[test]
fn limit_corrects_wrong_announcements() {
    let high = Plan {
        announced: 80,
        ..Plan::ledger()
    };
    let (limit, used) = after_a_minute(high);
    assert!((15..=40).contains(&limit), "limit {limit}");
    assert!(used >= 0.95, "announced high: used {used}");
    let low = Plan {
        announced: 5,
        ..Plan::ledger()
    };
    let (limit, used) = after_a_minute(low);
    assert!(limit >= 15, "limit {limit}");
    assert!(used >= 0.95, "announced low: used {used}");
}

#[test]
fn limit_is_kept_when_the_service_becomes_ten_times_slower() {
    let slow = Plan {
        slow: vec![(0, 1.0), (10 * SECOND_US, 10.0)],
        deadline_us: 10 * SECOND_US,
        ..Plan::ledger()
    };
    let (limit, _) = after_a_minute(slow);
    assert!(limit >= 15, "limit {limit}");
}

/// Prints the figures of the design documents.
#[test]
#[ignore = "measurement"]
fn measure() {
    for (name, plan) in [("ledger", Plan::ledger()), ("gates", Plan::gates())] {
        for weight_percent in [0, 50, 100] {
            for (edge, resends) in [(false, 0), (false, 20), (true, 0), (true, 20)] {
                let plan = Plan {
                    edge,
                    resends,
                    weight_percent,
                    ..plan.clone()
                };
                let two = overload(plan.clone(), 2.0);
                let four = overload(plan.clone(), 4.0);
                let tally = surge(&plan);
                let before = tally.rate(2 * SECOND_US, 5 * SECOND_US);
                let recovery_us = tally.recovery_us(10 * SECOND_US, plan.until_us, 0.95 * before);
                println!(
                    "{name} weight {weight_percent} edge {edge} resends {resends}: \
                     x2 {:.3} {:.3?} x4 {:.3} {:.3?} recovery {} ms wait {} ms",
                    two.1,
                    two.0,
                    four.1,
                    four.0,
                    recovery_us / 1_000,
                    two.2.response_us / two.2.responses.max(1) / 1_000,
                );
            }
        }
    }
}
