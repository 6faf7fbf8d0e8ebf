//! Suspects that run alone beside the work of others, at one gate in simulated time.

use {
    shallotdeal::{
        policy::{
            gate::{Action, Arrival, Finish, Gate, GateDecision, WorkKey},
            shed::GateRules,
        },
        request::{Importance, Rank},
    },
    std::collections::{BTreeMap, HashMap, HashSet},
};

const SLOTS: u32 = 120;
const WORK_MS: u64 = 30;
const WARM_MS: u64 = 3_000;
const END_MS: u64 = 8_000;
const DEADLINE_MS: u64 = 1_000;
const SUSPECTS: u64 = 120;
/// Half of what the worker can do.
const ARRIVALS_PER_MS: u64 = 2;
const DECISION_MS: usize = 10;

#[derive(Default)]
struct Tally {
    offered: u64,
    answered: u64,
    refused: u64,
    suspects_answered: u64,
}

struct Bench {
    gate: Gate,
    ends: BTreeMap<u64, Vec<WorkKey>>,
    suspects: HashSet<WorkKey>,
    since_ms: HashMap<WorkKey, u64>,
    tally: Tally,
}

impl Bench {
    fn apply(&mut self, actions: Vec<Action>, now_ms: u64) {
        for action in actions {
            match action {
                Action::Start(key) => self.ends.entry(now_ms + WORK_MS).or_default().push(key),
                Action::Refuse(key, _) => {
                    let since_ms = self.since_ms[&key];
                    let is_other = !self.suspects.contains(&key) && since_ms >= WARM_MS;
                    self.tally.refused += u64::from(is_other);
                }
            }
        }
    }

    fn offer(&mut self, exclusive: bool, bucket: u64, now_ms: u64) {
        let arrival = Arrival {
            rank: Rank::from_parts(Importance(u8::from(!exclusive)), bucket as u8),
            deadline_us: (now_ms + if exclusive { END_MS } else { DEADLINE_MS }) * 1_000,
            exclusive,
        };
        let is_counted = !exclusive && now_ms >= WARM_MS;
        self.tally.offered += u64::from(is_counted);
        let mut actions = Vec::new();
        let offer = self.gate.offer(arrival, now_ms * 1_000, &mut actions);
        match offer {
            GateDecision::Started(key) | GateDecision::Queued(key) => {
                self.since_ms.insert(key, now_ms);
                if exclusive {
                    self.suspects.insert(key);
                }
                if matches!(offer, GateDecision::Started(_)) {
                    actions.push(Action::Start(key));
                }
            }
            GateDecision::Refused(_) => self.tally.refused += u64::from(is_counted),
        }
        self.apply(actions, now_ms);
    }

    fn end(&mut self, now_ms: u64) {
        for key in self.ends.remove(&now_ms).unwrap_or_default() {
            let mut actions = Vec::new();
            self.gate
                .finish(key, Finish::Done, now_ms * 1_000, &mut actions);
            let since_ms = self.since_ms[&key];
            let is_suspect = self.suspects.contains(&key);
            self.tally.suspects_answered += u64::from(is_suspect);
            let is_counted = !is_suspect && since_ms >= WARM_MS;
            let in_time = now_ms <= since_ms + DEADLINE_MS;
            self.tally.answered += u64::from(is_counted && in_time);
            self.apply(actions, now_ms);
        }
    }
}

fn run(suspects: u64) -> Tally {
    let mut gate = Gate::new(GateRules::new(50), 1);
    gate.announce(SLOTS, 0);
    let mut bench = Bench {
        gate,
        ends: BTreeMap::new(),
        suspects: HashSet::new(),
        since_ms: HashMap::new(),
        tally: Tally::default(),
    };
    for now_ms in 1..END_MS {
        bench.end(now_ms);
        if now_ms == WARM_MS {
            (0..suspects).for_each(|number| bench.offer(true, number, now_ms));
        }
        for number in 0..ARRIVALS_PER_MS {
            bench.offer(false, now_ms * 37 + number * 101, now_ms);
        }
        if (now_ms as usize).is_multiple_of(DECISION_MS) {
            let mut actions = Vec::new();
            bench.gate.tick(now_ms * 1_000, &mut actions);
            bench.apply(actions, now_ms);
        }
    }
    bench.tally
}

/// Answers in time to the work of others, out of a thousand offered.
fn others_permille(tally: &Tally) -> u64 {
    tally.answered * 1_000 / tally.offered
}

#[test]
fn many_suspects_leave_the_worker_to_others_most_of_the_time() {
    let calm = run(0);
    let hit = run(SUSPECTS);
    insta::assert_snapshot!(
        format!(
            "calm {} hit {} refused {} suspects {}",
            others_permille(&calm),
            others_permille(&hit),
            hit.refused,
            hit.suspects_answered
        ),
        @"calm 994 hit 994 refused 0 suspects 36"
    );
}
