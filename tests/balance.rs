//! Load balancing over a scarce service with workers of unequal speed, one in each data centre.
//! Many daemons call it and observe its load only through the replies that they receive. Runs in
//! virtual time.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        config::Revision,
        fleet::member::{AdvertisedWorker, Generation, Member, Status},
        mesh::{
            directory::{Choice, Directory, Reach},
            frame::GateLoad,
            known_worker::SendOutcome,
        },
        place::{DataCentre, Place, Region},
        policy::failures::FailureShare,
        request::{Incarnation, Level},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
    },
};

const SECOND_US: u64 = 1_000_000;
const PLACES: [(&str, &str); 4] = [("a", "r"), ("b", "r"), ("c", "q"), ("d", "q")];
const SLOTS: u32 = 36;
const WORK_US: f64 = 22_000.0;

/// Time in which a worker sheds a call.
const SHED_US: f64 = 1_000.0;

/// Weight of one run in the mean latency that a gate reports.
const MEAN_WEIGHT: f64 = 1.0 / 48.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    ReachWorker { call: usize },
    Finish { call: usize },
    Reply { call: usize },
}

struct Worker {
    speed: f64,
    in_flight: u32,
    queue: VecDeque<usize>,
    mean_latency_us: f64,
    failures: FailureShare,
}

struct Call {
    daemon: usize,
    choice: Choice,
    worker: usize,
    sent_us: u64,
    arrived_us: u64,
    started_us: u64,
    is_shed: bool,
    load: GateLoad,
}

/// Load pattern of a simulation.
struct LoadPattern {
    /// Number of daemons in each data centre.
    daemons_in_centre: usize,
    /// Load relative to the capacity.
    load: f64,
    /// Number of calls that arrive together at one daemon.
    burst_size: u32,
    /// Share of the calls that originate in each data centre.
    origin_shares: [f64; 4],
    seconds: u64,
    /// Factor on all running times at a time in milliseconds.
    slowdown: fn(u64) -> f64,
    /// Share of the calls that each worker sheds.
    shed_shares: [f64; 4],
}

/// Measurements of the second half of a simulation.
#[derive(Debug, Default)]
struct Measurements {
    calls: f64,
    /// Share of calls that a worker shed.
    shed: f64,
    /// Share of calls that left their data centre.
    left_centre: f64,
    /// Share of calls that left their region.
    left_region: f64,
    /// Time that calls waited for a slot, in microseconds.
    waited_us: f64,
    /// Share of all slots that were idle while calls waited elsewhere in the region.
    wasted_slots: f64,
}

struct Simulation {
    daemons_in_centre: usize,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    event_count: usize,
    directories: Vec<Directory>,
    workers: Vec<Worker>,
    calls: Vec<Call>,
    rng: ChaCha8Rng,
    measured: Measurements,
    measure_from_us: u64,
}

fn member(centre: usize) -> Member {
    let (name, region) = PLACES[centre];
    let addr = format!("10.0.0.{centre}:1").parse().unwrap();
    Member {
        place: Place {
            name: format!("vm-{centre}").into(),
            region: Region(region.into()),
            data_centre: DataCentre(name.into()),
            call_addr: addr,
            gossip_addr: addr,
        },
        generation: Generation(centre as u64),
        version: 1,
        body_version: 1,
        status: Status::Alive,
        worker: Some(AdvertisedWorker {
            incarnation: Incarnation(centre as u64),
            service: "s".into(),
            slots: SLOTS,
            load: 0,
            level: Level::OPEN,
            draining: false,
        }),
        revision: Revision(0),
        suspects: Vec::new(),
    }
}

impl Simulation {
    fn new(speeds: [f64; 4], daemons_in_centre: usize, seed: u64) -> Self {
        let directories = (0..PLACES.len() * daemons_in_centre).map(|daemon| {
            let (name, region) = PLACES[daemon / daemons_in_centre];
            let mut directory = Directory::new(
                DataCentre(name.into()),
                Region(region.into()),
                daemon as u64,
            );
            for centre in 0..PLACES.len() {
                directory.apply_member(&member(centre));
            }
            directory
        });
        let worker = |speed| Worker {
            speed,
            in_flight: 0,
            queue: VecDeque::new(),
            mean_latency_us: 0.0,
            failures: FailureShare::default(),
        };
        Self {
            now_us: SECOND_US,
            daemons_in_centre,
            events: BinaryHeap::new(),
            event_count: 0,
            directories: directories.collect(),
            workers: speeds.into_iter().map(worker).collect(),
            calls: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            measured: Measurements::default(),
            measure_from_us: 0,
        }
    }

    /// Runs a load pattern, and returns the measurements of its second half.
    fn run(mut self, pattern: &LoadPattern) -> Measurements {
        let speeds: f64 = self.workers.iter().map(|worker| worker.speed).sum();
        let per_s = speeds * f64::from(SLOTS) / WORK_US * 1e6 * pattern.load;
        let end_us = SECOND_US + pattern.seconds * SECOND_US;
        self.measure_from_us = SECOND_US + pattern.seconds * SECOND_US / 2;
        self.push(self.now_us, Event::Arrive);
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > end_us {
                break;
            }
            self.measure_wasted_slots(at_us - self.now_us);
            self.now_us = at_us;
            match event {
                Event::Arrive => {
                    self.arrive(pattern);
                    let draw: f64 = self.rng.random_range(0.000_1..1.0);
                    let gap_us = -draw.ln() / per_s * 1e6 * f64::from(pattern.burst_size);
                    self.push(self.now_us + gap_us as u64, Event::Arrive);
                }
                Event::ReachWorker { call } => {
                    self.calls[call].arrived_us = self.now_us;
                    self.workers[self.calls[call].worker].queue.push_back(call);
                    self.start(self.calls[call].worker, pattern);
                }
                Event::Finish { call } => self.finish(call, pattern),
                Event::Reply { call } => self.reply(call),
            }
        }
        let seconds = pattern.seconds as f64 / 2.0;
        self.measured.wasted_slots /= seconds * 1e6 * f64::from(SLOTS) * PLACES.len() as f64;
        self.measured.waited_us /= self.measured.calls;
        self.measured.shed /= self.measured.calls;
        self.measured.left_centre /= self.measured.calls;
        self.measured.left_region /= self.measured.calls;
        self.measured
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn is_measuring(&self) -> bool {
        self.now_us >= self.measure_from_us
    }

    fn measure_wasted_slots(&mut self, span_us: u64) {
        if !self.is_measuring() {
            return;
        }
        for region in [0..2, 2..4] {
            let workers = &self.workers[region];
            let idle: u32 = workers.iter().map(|worker| SLOTS - worker.in_flight).sum();
            let waiting: usize = workers.iter().map(|worker| worker.queue.len()).sum();
            self.measured.wasted_slots += f64::from(idle.min(waiting as u32)) * span_us as f64;
        }
    }

    fn network_delay_us(&self, daemon: usize, worker: usize) -> u64 {
        let centre = daemon / self.daemons_in_centre;
        if centre == worker {
            200
        } else if PLACES[centre].1 == PLACES[worker].1 {
            1_400
        } else {
            12_000
        }
    }

    fn arrive(&mut self, pattern: &LoadPattern) {
        let mut draw = self
            .rng
            .random_range(0.0..pattern.origin_shares.iter().sum());
        let centre = pattern.origin_shares.iter().position(|part| {
            draw -= part;
            draw < 0.0
        });
        let first = centre.unwrap_or(0) * self.daemons_in_centre;
        let daemon = first + self.rng.random_range(0..self.daemons_in_centre);
        for _ in 0..pattern.burst_size {
            self.call(daemon);
        }
    }

    fn call(&mut self, daemon: usize) {
        let directory = &mut self.directories[daemon];
        let choice = directory
            .choose("s", &[], Reach::Anywhere, self.now_us)
            .unwrap();
        directory.record_send(choice.key);
        let worker: usize = choice.vm.strip_prefix("vm-").unwrap().parse().unwrap();
        if self.is_measuring() {
            let centre = daemon / self.daemons_in_centre;
            self.measured.calls += 1.0;
            self.measured.left_centre += f64::from(u8::from(centre != worker));
            self.measured.left_region += f64::from(u8::from(PLACES[centre].1 != PLACES[worker].1));
        }
        let call = self.calls.len();
        self.calls.push(Call {
            daemon,
            choice,
            worker,
            sent_us: self.now_us,
            arrived_us: 0,
            started_us: 0,
            is_shed: false,
            load: GateLoad::default(),
        });
        self.push(
            self.now_us + self.network_delay_us(daemon, worker),
            Event::ReachWorker { call },
        );
    }

    fn start(&mut self, worker: usize, pattern: &LoadPattern) {
        while self.workers[worker].in_flight < SLOTS {
            let Some(call) = self.workers[worker].queue.pop_front() else {
                return;
            };
            self.workers[worker].in_flight += 1;
            let spread = self.rng.random_range(0.5..1.5);
            let slowdown = (pattern.slowdown)((self.now_us - SECOND_US) / 1_000);
            let is_shed = self.rng.random::<f64>() < pattern.shed_shares[worker];
            self.calls[call].is_shed = is_shed;
            let took_us = if is_shed {
                SHED_US
            } else {
                WORK_US * spread * slowdown / self.workers[worker].speed
            };
            self.calls[call].started_us = self.now_us;
            if self.is_measuring() {
                self.measured.waited_us += (self.now_us - self.calls[call].arrived_us) as f64;
            }
            self.push(self.now_us + took_us as u64, Event::Finish { call });
        }
    }

    fn finish(&mut self, call: usize, pattern: &LoadPattern) {
        let Call {
            worker,
            started_us,
            daemon,
            is_shed,
            ..
        } = self.calls[call];
        if is_shed && self.is_measuring() {
            self.measured.shed += 1.0;
        }
        let state = &mut self.workers[worker];
        state.in_flight -= 1;
        state.failures.record(is_shed, self.now_us);
        let took_us = (self.now_us - started_us) as f64;
        if !is_shed {
            if state.mean_latency_us == 0.0 {
                state.mean_latency_us = took_us;
            }
            state.mean_latency_us += (took_us - state.mean_latency_us) * MEAN_WEIGHT;
        }
        self.calls[call].load = GateLoad {
            in_flight: state.in_flight,
            queued: state.queue.len() as u32,
            limit: SLOTS,
            latency_us: state.mean_latency_us as u32,
            failed_permille: state.failures.permille(),
        };
        self.start(worker, pattern);
        self.push(
            self.now_us + self.network_delay_us(daemon, worker),
            Event::Reply { call },
        );
    }

    fn reply(&mut self, call: usize) {
        let call = &self.calls[call];
        let took_us = self.now_us - call.sent_us;
        let outcome = if call.is_shed {
            SendOutcome::Failed
        } else {
            SendOutcome::Answered { took_us }
        };
        self.directories[call.daemon].record_outcome(
            call.choice.key,
            outcome,
            Some(call.load),
            self.now_us,
        );
    }
}

const UNEQUAL_SPEEDS: [f64; 4] = [1.4, 0.6, 1.2, 0.8];

/// Runs a load pattern with several seeds, and checks the measurements of each run.
fn check_seeds(speeds: [f64; 4], pattern: &LoadPattern, check: impl Fn(&Measurements, &str)) {
    for seed in 1..=4 {
        let measured = Simulation::new(speeds, pattern.daemons_in_centre, seed).run(pattern);
        let context = format!("seed {seed}: {measured:?}");
        eprintln!("{context}");
        check(&measured, &context);
    }
}

#[test]
fn no_queue_grows_while_another_data_centre_has_spare_capacity() {
    let pattern = LoadPattern {
        daemons_in_centre: 4,
        load: 0.85,
        burst_size: 1,
        origin_shares: [0.25; 4],
        seconds: 8,
        slowdown: |_| 1.0,
        shed_shares: [0.0; 4],
    };
    check_seeds(UNEQUAL_SPEEDS, &pattern, |measured, context| {
        // Calls wait for less than a tenth of their running time, and few slots are idle meanwhile.
        assert!(measured.waited_us < WORK_US / 10.0, "{context}");
        assert!(measured.wasted_slots < 0.02, "{context}");
    });
}

#[test]
fn bursts_from_some_data_centres_use_the_slower_workers_too() {
    // This happens if the fast workers of the calling service make most of the calls.
    let pattern = LoadPattern {
        daemons_in_centre: 4,
        load: 0.85,
        burst_size: 4,
        origin_shares: [0.4, 0.1, 0.4, 0.1],
        seconds: 8,
        slowdown: |_| 1.0,
        shed_shares: [0.0; 4],
    };
    check_seeds(UNEQUAL_SPEEDS, &pattern, |measured, context| {
        assert!(measured.waited_us < WORK_US / 5.0, "{context}");
        assert!(measured.wasted_slots < 0.03, "{context}");
    });
}

#[test]
fn calls_stay_in_their_data_centre_while_it_has_spare_capacity() {
    let pattern = LoadPattern {
        daemons_in_centre: 4,
        load: 0.4,
        burst_size: 1,
        origin_shares: [0.25; 4],
        seconds: 8,
        slowdown: |_| 1.0,
        shed_shares: [0.0; 4],
    };
    check_seeds(UNEQUAL_SPEEDS, &pattern, |measured, context| {
        assert!(measured.left_centre < 0.05, "{context}");
        assert!(measured.left_region < 0.01, "{context}");
    });
}

#[test]
fn workers_that_were_all_slow_for_a_while_are_all_used_again() {
    // This happens if a downstream service is overloaded for a short time.
    let pattern = LoadPattern {
        daemons_in_centre: 4,
        load: 0.7,
        burst_size: 1,
        origin_shares: [0.25; 4],
        seconds: 14,
        slowdown: |at_ms| match at_ms {
            3_000..3_300 => 20.0,
            _ => 1.0,
        },
        shed_shares: [0.0; 4],
    };
    check_seeds([1.0; 4], &pattern, |measured, context| {
        assert!(measured.waited_us < WORK_US / 10.0, "{context}");
        assert!(measured.wasted_slots < 0.02, "{context}");
        assert!(measured.left_region < 0.05, "{context}");
    });
}

#[test]
fn a_slow_worker_gets_fewer_requests_until_it_has_recovered() {
    let mut directory = Directory::new(DataCentre("a".into()), Region("r".into()), 1);
    directory.apply_member(&member(0));
    directory.apply_member(&member(1));
    let mut counts: BTreeMap<(u64, String), u32> = BTreeMap::new();
    for number in 0..8_000_u64 {
        let now_us = SECOND_US + number * 1_000;
        let second = number / 1_000;
        let choice = directory.choose("s", &[], Reach::Anywhere, now_us).unwrap();
        directory.record_send(choice.key);
        let is_slow = choice.vm == "vm-0" && second < 4;
        let latency_us = if is_slow { 200_000 } else { 20_000 };
        let load = GateLoad {
            in_flight: 5,
            queued: 0,
            limit: SLOTS,
            latency_us,
            failed_permille: 0,
        };
        let took_us = u64::from(latency_us);
        directory.record_outcome(
            choice.key,
            SendOutcome::Answered { took_us },
            Some(load),
            now_us,
        );
        *counts.entry((second, choice.vm.to_string())).or_default() += 1;
    }
    let count = |second, vm: &str| counts.get(&(second, vm.into())).copied().unwrap_or(0);
    // While it is slow it still gets an occasional request, which shows when it has recovered.
    let while_slow: u32 = (0..4).map(|second| count(second, "vm-0")).sum();
    assert!((2..50).contains(&while_slow), "{counts:?}");
    assert!(count(7, "vm-0") > 900, "{counts:?}");
}

/// Workers that shed calls finish them fast, so that their load looks low. Half of the workers shed
/// most calls; the others have enough slots for all of them.
#[test]
fn workers_that_shed_most_calls_get_few_of_them() {
    for share in [0.55, 0.9, 1.0] {
        let pattern = LoadPattern {
            daemons_in_centre: 48,
            load: 0.45,
            burst_size: 2,
            origin_shares: [0.25; 4],
            seconds: 10,
            slowdown: |_| 1.0,
            shed_shares: [share, 0.0, share, 0.0],
        };
        check_seeds([1.0; 4], &pattern, |measured, context| {
            assert!(measured.shed < 0.03, "{share} {context}");
        });
    }
}
