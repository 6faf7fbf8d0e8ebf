//! What a gate believes of its worker, from reports that are late, repeated or of an earlier life.

use shallotdeal::{
    mesh::{
        frame::{Pressure, WorkerLife},
        gate::{Change, LocalGate, Met, Running},
        protocol::WorkerReport,
    },
    policy::{gate::Gate, shed::GateRules},
    request::Importance,
};

const NOW_US: u64 = 1_000_000;

fn gate() -> LocalGate {
    LocalGate::new(Gate::new(GateRules::new(50), 1))
}

fn report(id: &str, born_unix_ms: u64, sequence: u64) -> WorkerReport {
    WorkerReport {
        life: WorkerLife {
            id: id.into(),
            born_unix_ms,
        },
        service: "s".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        slots: 8,
        is_draining: false,
        cold_ms: 0,
        sequence,
    }
}

fn serves(gate: &LocalGate) -> Option<String> {
    gate.worker_state().map(|worker| worker.life.to_string())
}

#[test]
fn the_latest_life_is_served() {
    let mut gate = gate();
    assert_eq!(gate.report(report("a", 10, 5), NOW_US), Change::State);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::None);
    assert_eq!(gate.report(report("b", 20, 1), NOW_US), Change::State);
    assert_eq!(serves(&gate).as_deref(), Some("b@20"));
    // A report of the life before that was held up on its way.
    assert_eq!(gate.report(report("a", 10, 9), NOW_US), Change::Ignored);
    assert_eq!(serves(&gate).as_deref(), Some("b@20"));
}

#[test]
fn a_worker_that_starts_again_under_its_name_is_another_life() {
    let mut gate = gate();
    gate.report(report("a", 10, 50), NOW_US);
    assert_eq!(gate.report(report("a", 20, 1), NOW_US), Change::State);
    assert_eq!(serves(&gate).as_deref(), Some("a@20"));
}

#[test]
fn a_report_that_came_late_changes_nothing() {
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    let mut late = report("a", 10, 4);
    late.is_draining = true;
    assert_eq!(gate.report(late, NOW_US), Change::Ignored);
    assert!(serves(&gate).is_some());
}

#[test]
fn a_life_that_left_does_not_come_back() {
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    assert_eq!(gate.leave("a", Some(9), NOW_US), Change::Ignored);
    assert_eq!(gate.leave("b", None, NOW_US), Change::Ignored);
    assert_eq!(gate.leave("a", Some(10), NOW_US), Change::State);
    assert_eq!(serves(&gate), None);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::Ignored);
    assert_eq!(serves(&gate), None);
    assert_eq!(gate.report(report("a", 11, 1), NOW_US), Change::State);
    assert_eq!(serves(&gate).as_deref(), Some("a@11"));
}

#[test]
fn a_departure_that_comes_before_any_report_counts() {
    // The daemon has just started again: the worker left before it said anything else.
    let mut gate = gate();
    assert_eq!(gate.leave("a", Some(10), NOW_US), Change::Ignored);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::Ignored);
    assert_eq!(serves(&gate), None);
    // The same name in a later life.
    assert_eq!(gate.report(report("a", 11, 1), NOW_US), Change::State);
    assert_eq!(serves(&gate).as_deref(), Some("a@11"));
}

#[test]
fn a_departure_without_a_start_counts_for_the_next_life_of_that_name() {
    let mut gate = gate();
    assert_eq!(gate.leave("a", None, NOW_US), Change::Ignored);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::Ignored);
    assert_eq!(gate.report(report("a", 10, 7), NOW_US), Change::Ignored);
    assert_eq!(serves(&gate), None);
    assert_eq!(gate.report(report("a", 11, 1), NOW_US), Change::State);
}

#[test]
fn the_departure_of_a_life_to_come_outlives_that_of_the_present_one() {
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    // The next worker at this address left, and its reports were held up on their way.
    assert_eq!(gate.leave("b", Some(20), NOW_US), Change::Ignored);
    assert_eq!(gate.report(report("b", 20, 3), NOW_US), Change::Ignored);
    assert_eq!(serves(&gate).as_deref(), Some("a@10"));
}

#[test]
fn a_worker_that_says_that_it_is_warm_gets_its_whole_limit() {
    // As when the daemon beside a worker at work has started again.
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    assert_eq!(gate.load(NOW_US).limit, 8);
}

#[test]
fn a_cold_worker_gets_its_limit_when_it_says_that_it_is_warm() {
    let mut gate = gate();
    let mut cold = report("a", 10, 1);
    cold.cold_ms = 2_500;
    gate.report(cold, NOW_US);
    assert_eq!(gate.load(NOW_US).limit, 1);
    gate.report(report("a", 10, 2), NOW_US + 3_000_000);
    assert_eq!(gate.load(NOW_US + 3_000_000).limit, 8);
}

#[test]
fn a_stopping_daemon_offers_no_worker() {
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    gate.stop(NOW_US);
    assert_eq!(serves(&gate), None);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::None);
    assert_eq!(serves(&gate), None);
}

#[test]
fn a_running_request_keeps_the_most_loaded_service_that_its_calls_met() {
    let mut gate = gate();
    let running = Running {
        root_importance: Importance(1),
        bucket: 0,
        depth: 0,
        deadline_us: NOW_US,
        met: Met::default(),
    };
    gate.running.insert("a".into(), running);
    let met = |service: &str, load_permille, calls| Pressure {
        service: service.into(),
        load_permille,
        calls,
    };
    gate.note_pressure("a", &met("x", 500, 1));
    gate.note_pressure("a", &met("y", 900, 2));
    gate.note_pressure("a", &met("x", 800, 1));
    // Of one service the latest load counts, and all calls.
    gate.note_pressure("a", &met("y", 700, 3));
    gate.note_pressure("b", &met("z", 2_000, 1));
    let pressure = gate.running["a"].met.pressure.clone();
    assert_eq!(pressure, Some(met("y", 700, 5)));
}
