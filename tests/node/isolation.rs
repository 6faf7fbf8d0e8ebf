//! Crash suspects run in isolation beside other requests, at one gate in virtual time.

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
const WARM_UP_MS: u64 = 3_000;
const END_MS: u64 = 8_000;
const DEADLINE_MS: u64 = 1_000;
const SUSPECTS: u64 = 120;
/// Half of the worker's capacity.
const ARRIVALS_PER_MS: u64 = 2;
const TICK_MS: usize = 10;

#[derive(Default)]
struct Tally {
    offered: u64,
    answered: u64,
    refused: u64,
    suspects_answered: u64,
}

struct GateSimulation {
    gate: Gate,
    ends: BTreeMap<u64, Vec<WorkKey>>,
    suspects: HashSet<WorkKey>,
    arrived_ms: HashMap<WorkKey, u64>,
    tally: Tally,
}

impl GateSimulation {
    fn apply(&mut self, actions: Vec<Action>, now_ms: u64) {
        for action in actions {
            match action {
                Action::Start(key) => self.ends.entry(now_ms + WORK_MS).or_default().push(key),
                Action::Refuse(key, _) => {
                    let arrived_ms = self.arrived_ms[&key];
                    let is_counted = !self.suspects.contains(&key) && arrived_ms >= WARM_UP_MS;
                    self.tally.refused += u64::from(is_counted);
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
        let is_counted = !exclusive && now_ms >= WARM_UP_MS;
        self.tally.offered += u64::from(is_counted);
        let mut actions = Vec::new();
        let offer = self.gate.offer(arrival, now_ms * 1_000, &mut actions);
        match offer {
            GateDecision::Started(key) | GateDecision::Queued(key) => {
                self.arrived_ms.insert(key, now_ms);
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
            let arrived_ms = self.arrived_ms[&key];
            let is_suspect = self.suspects.contains(&key);
            self.tally.suspects_answered += u64::from(is_suspect);
            let is_counted = !is_suspect && arrived_ms >= WARM_UP_MS;
            let is_in_time = now_ms <= arrived_ms + DEADLINE_MS;
            self.tally.answered += u64::from(is_counted && is_in_time);
            self.apply(actions, now_ms);
        }
    }
}

fn simulate(suspects: u64) -> Tally {
    let mut gate = Gate::new(GateRules::new(50), 1);
    gate.announce(SLOTS, 0);
    let mut simulation = GateSimulation {
        gate,
        ends: BTreeMap::new(),
        suspects: HashSet::new(),
        arrived_ms: HashMap::new(),
        tally: Tally::default(),
    };
    for now_ms in 1..END_MS {
        simulation.end(now_ms);
        if now_ms == WARM_UP_MS {
            (0..suspects).for_each(|number| simulation.offer(true, number, now_ms));
        }
        for number in 0..ARRIVALS_PER_MS {
            simulation.offer(false, now_ms * 37 + number * 101, now_ms);
        }
        if (now_ms as usize).is_multiple_of(TICK_MS) {
            let mut actions = Vec::new();
            simulation.gate.tick(now_ms * 1_000, &mut actions);
            simulation.apply(actions, now_ms);
        }
    }
    simulation.tally
}

/// Answers in time to other requests, out of a thousand offered.
fn answered_permille(tally: &Tally) -> u64 {
    tally.answered * 1_000 / tally.offered
}

#[test]
fn many_suspects_leave_most_of_the_capacity_to_other_requests() {
    let without_suspects = simulate(0);
    let with_suspects = simulate(SUSPECTS);
    insta::assert_snapshot!(
        format!(
            "calm {} hit {} refused {} suspects {}",
            answered_permille(&without_suspects),
            answered_permille(&with_suspects),
            with_suspects.refused,
            with_suspects.suspects_answered
        ),
        @"calm 994 hit 994 refused 0 suspects 36"
    );
}
