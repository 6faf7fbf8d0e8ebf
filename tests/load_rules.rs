//! Single rules of the gate, the queue and the observed admission levels.

use shallotdeal::{
    policy::{
        gate::{Action, Arrival, Finish, Gate, GateDecision, WorkKey},
        paths::PathLevels,
        queue::{Queue, QueueOrder},
        shed::GateRules,
    },
    request::{Importance, Incarnation, Level, Rank, Reason, Refusal, ServiceName},
};

const FAR_US: u64 = 1 << 40;
const SECOND_US: u64 = 1_000_000;

fn rank(importance: u8, bucket: u8) -> Rank {
    Rank::from_parts(Importance(importance), bucket)
}

fn arrival(importance: u8) -> Arrival {
    Arrival {
        rank: rank(importance, 0),
        deadline_us: FAR_US,
        exclusive: false,
    }
}

fn gate(slots: u32) -> Gate {
    let mut gate = Gate::new(GateRules::new(50), 1);
    gate.announce(slots, 0);
    gate
}

fn offer(gate: &mut Gate, arrival: Arrival, now_us: u64) -> (GateDecision, Vec<Action>) {
    let mut actions = Vec::new();
    let offer = gate.offer(arrival, now_us, &mut actions);
    (offer, actions)
}

fn started(offer: GateDecision) -> WorkKey {
    match offer {
        GateDecision::Started(key) => key,
        other => panic!("not started: {other:?}"),
    }
}

fn queued(offer: GateDecision) -> WorkKey {
    match offer {
        GateDecision::Queued(key) => key,
        other => panic!("not queued: {other:?}"),
    }
}

#[test]
fn cold_worker_starts_with_a_low_limit_that_grows_with_each_answer() {
    let mut gate = gate(80);
    let mut actions = Vec::new();
    let running: Vec<_> = (0..10)
        .map(|_| started(offer(&mut gate, arrival(0), 1).0))
        .collect();
    queued(offer(&mut gate, arrival(0), 1).0);
    for key in running {
        gate.finish(key, Finish::Done, 50_000, &mut actions);
    }
    assert_eq!(gate.report(50_000).limit, 20);
    gate.reset(60_000, &mut actions);
    assert_eq!(gate.report(60_000).limit, 10);
    assert_eq!(gate.in_flight(), 0);
}

#[test]
fn full_queue_evicts_the_least_important() {
    let mut gate = gate(1);
    started(offer(&mut gate, arrival(1), 1).0);
    let low: Vec<_> = (0..8)
        .map(|_| queued(offer(&mut gate, arrival(2), 1).0))
        .collect();
    let (decision, actions) = offer(&mut gate, arrival(0), 1);
    queued(decision);
    let full = Refusal::not_run(Reason::WorkerFull);
    assert_eq!(actions, [Action::Refuse(low[0], full)]);
    // The level now refuses what the queue has just evicted.
    let (refused, _) = offer(&mut gate, arrival(2), 1);
    assert!(matches!(
        refused,
        GateDecision::Refused(Refusal {
            reason: Reason::Overload,
            retry_after_ms: Some(_),
            ..
        })
    ));
    let (decision, actions) = offer(&mut gate, arrival(1), 1);
    queued(decision);
    assert_eq!(actions.len(), 1);
}

#[test]
fn work_that_cannot_meet_its_deadline_is_not_started() {
    let mut gate = gate(8);
    let mut actions = Vec::new();
    let first = started(offer(&mut gate, arrival(0), 1).0);
    gate.finish(first, Finish::Done, 100_001, &mut actions);
    let short = Arrival {
        deadline_us: 150_000,
        ..arrival(0)
    };
    // With nothing in flight the request is admitted, since the expected latency may be out of
    // date.
    started(offer(&mut gate, short, 100_001).0);
    let (refused, _) = offer(&mut gate, short, 100_001);
    let late = Refusal::not_run(Reason::Deadline);
    assert_eq!(refused, GateDecision::Refused(late));
    let in_time = Arrival {
        deadline_us: 250_000,
        ..arrival(0)
    };
    started(offer(&mut gate, in_time, 100_001).0);
    let waiting = queued(offer(&mut gate, in_time, 100_001).0);
    gate.tick(200_000, &mut actions);
    assert_eq!(actions, [Action::Refuse(waiting, late)]);
}

#[test]
fn suspect_runs_in_isolation() {
    let mut gate = gate(80);
    let mut actions = Vec::new();
    let running = started(offer(&mut gate, arrival(1), 1).0);
    let suspect = Arrival {
        exclusive: true,
        ..arrival(0)
    };
    let suspect = queued(offer(&mut gate, suspect, 1).0);
    let behind = queued(offer(&mut gate, arrival(1), 1).0);
    gate.finish(running, Finish::Done, 2, &mut actions);
    assert_eq!(actions, [Action::Start(suspect)]);
    actions.clear();
    queued(offer(&mut gate, arrival(0), 2).0);
    gate.cancel(behind, 2, &mut actions);
    assert!(actions.is_empty());
    gate.finish(suspect, Finish::Failed, 3, &mut actions);
    assert_eq!(actions.len(), 1);
}

#[test]
fn drain_refuses_queued_work_and_lets_running_work_end() {
    let mut gate = gate(1);
    let mut actions = Vec::new();
    let running = started(offer(&mut gate, arrival(0), 1).0);
    let waiting = queued(offer(&mut gate, arrival(0), 1).0);
    gate.set_draining(true, 2, &mut actions);
    let draining = Refusal::not_run(Reason::Draining);
    assert_eq!(actions, [Action::Refuse(waiting, draining)]);
    let (refused, _) = offer(&mut gate, arrival(0), 3);
    assert_eq!(refused, GateDecision::Refused(draining));
    assert_eq!(gate.in_flight(), 1);
    gate.finish(running, Finish::Done, 4, &mut actions);
    assert_eq!(gate.report(4).counters.done, 1);
}

#[test]
fn cancelled_running_work_keeps_its_slot_until_it_ends() {
    let mut gate = gate(1);
    let mut actions = Vec::new();
    let running = started(offer(&mut gate, arrival(0), 1).0);
    gate.cancel(running, 2, &mut actions);
    let waiting = queued(offer(&mut gate, arrival(0), 2).0);
    gate.finish(running, Finish::Cancelled, 3, &mut actions);
    assert_eq!(actions, [Action::Start(waiting)]);
}

#[test]
fn hung_worker_is_probed_with_the_most_important_requests() {
    let mut gate = gate(4);
    let mut actions = Vec::new();
    for step in 0..4_000 {
        let now_us = step * 1_000;
        for importance in [3, 4] {
            let bucket = (step * 37 % 256) as u8;
            let arrival = Arrival {
                rank: rank(importance, bucket),
                ..arrival(0)
            };
            gate.offer(arrival, now_us, &mut actions);
        }
        gate.tick(now_us, &mut actions);
    }
    assert!(gate.level().admits(rank(3, 0)), "{:?}", gate.level());
    assert!(!gate.level().admits(rank(3, 200)));
}

#[test]
fn queue_order_and_indexes() {
    let mut queue = Queue::new();
    let first = queue.push(rank(1, 9), 50, 'a');
    queue.push(rank(1, 3), 40, 'b');
    queue.push(rank(2, 0), 30, 'c');
    let next = |order| queue.next_to_start(order).map(|(_, key)| key);
    assert_eq!(next(QueueOrder::OldestFirst), Some('a'));
    assert_eq!(next(QueueOrder::NewestFirst), Some('b'));
    assert_eq!(
        queue.least_important().map(|least| least.rank()),
        Some(rank(2, 0))
    );
    assert!(queue.expired(29).is_none());
    assert_eq!(queue.count_at_least(Importance(1)), 2);
    assert_eq!(queue.remove(first), Some('a'));
    assert_eq!(queue.remove(first), None);
    assert_eq!(queue.len(), 2);
}

#[test]
fn edge_refuses_what_a_downstream_service_would_refuse() {
    let service = ServiceName::from("order-desk");
    let mut paths = PathLevels::default();
    let level = Level(u32::from(rank(1, 128).position()));
    for worker in 0..4 {
        paths.observe(&service, Importance(0), Incarnation(worker), level, 0);
        paths.observe(&service, Importance(1), Incarnation(worker), level, 0);
    }
    assert!(paths.admit(&service, rank(0, 255), 1).is_ok());
    assert!(paths.admit(&service, rank(1, 127), 1).is_ok());
    let refusal = paths.admit(&service, rank(1, 128), 1).unwrap_err();
    assert_eq!(refusal.reason, Reason::Overload);
    // No level is known for the least important class, but a more important one is partly refused.
    assert!(paths.admit(&service, rank(2, 0), 1).is_err());
    // Without new reports the level relaxes until everything is admitted.
    assert!(paths.admit(&service, rank(2, 255), SECOND_US).is_ok());
    paths.expire(3 * SECOND_US);
    assert!(paths.is_empty());
}

#[test]
fn one_faulty_worker_does_not_close_a_service() {
    let service = ServiceName::from("gates");
    let mut paths = PathLevels::default();
    paths.observe(&service, Importance(1), Incarnation(0), Level(0), 0);
    for worker in 1..4 {
        paths.observe(&service, Importance(1), Incarnation(worker), Level::OPEN, 0);
    }
    assert!(paths.admit(&service, rank(1, 255), 1).is_ok());
}
