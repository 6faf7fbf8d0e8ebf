//! State of the local worker at its gate under delayed, repeated or outdated reports.

use shallotdeal::{
    mesh::{
        frame::{ServiceLoad, WorkerIncarnation},
        gate::{Change, DownstreamOutcome, LocalGate, Running},
        protocol::WorkerReport,
    },
    policy::{gate::Gate, shed::GateRules},
    request::{Importance, Incarnation},
};

const NOW_US: u64 = 1_000_000;

fn gate() -> LocalGate {
    LocalGate::new(Gate::new(GateRules::new(50), 1))
}

fn report(id: &str, started_unix_ms: u64, sequence: u64) -> WorkerReport {
    WorkerReport {
        incarnation: WorkerIncarnation {
            id: id.into(),
            started_unix_ms,
        },
        service: "s".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        slots: 8,
        is_draining: false,
        warm_up_remaining_ms: 0,
        sequence,
    }
}

fn served_incarnation(gate: &LocalGate) -> Option<Incarnation> {
    gate.worker_state().map(|worker| worker.incarnation)
}

fn number(id: &str, started_unix_ms: u64) -> Incarnation {
    let incarnation = WorkerIncarnation {
        id: id.into(),
        started_unix_ms,
    };
    incarnation.number()
}

#[test]
fn the_latest_incarnation_is_served() {
    let mut gate = gate();
    assert_eq!(gate.report(report("a", 10, 5), NOW_US), Change::State);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::None);
    assert_eq!(gate.report(report("b", 20, 1), NOW_US), Change::State);
    assert_eq!(served_incarnation(&gate), Some(number("b", 20)));
    // A delayed report of the previous incarnation.
    assert_eq!(gate.report(report("a", 10, 9), NOW_US), Change::Ignored);
    assert_eq!(served_incarnation(&gate), Some(number("b", 20)));
}

#[test]
fn a_restarted_worker_is_a_new_incarnation() {
    let mut gate = gate();
    gate.report(report("a", 10, 50), NOW_US);
    assert_eq!(gate.report(report("a", 20, 1), NOW_US), Change::State);
    assert_eq!(served_incarnation(&gate), Some(number("a", 20)));
}

#[test]
fn a_delayed_report_is_ignored() {
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    let mut delayed = report("a", 10, 4);
    delayed.is_draining = true;
    assert_eq!(gate.report(delayed, NOW_US), Change::Ignored);
    assert!(served_incarnation(&gate).is_some());
}

#[test]
fn a_departed_incarnation_stays_departed() {
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    assert_eq!(gate.leave("a", Some(9), NOW_US), Change::Ignored);
    assert_eq!(gate.leave("b", None, NOW_US), Change::Ignored);
    assert_eq!(gate.leave("a", Some(10), NOW_US), Change::State);
    assert_eq!(served_incarnation(&gate), None);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::Ignored);
    assert_eq!(served_incarnation(&gate), None);
    assert_eq!(gate.report(report("a", 11, 1), NOW_US), Change::State);
    assert_eq!(served_incarnation(&gate), Some(number("a", 11)));
}

#[test]
fn a_departure_before_the_first_report_is_applied() {
    // The daemon has restarted, and the worker leaves before it sends a report.
    let mut gate = gate();
    assert_eq!(gate.leave("a", Some(10), NOW_US), Change::Ignored);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::Ignored);
    assert_eq!(served_incarnation(&gate), None);
    // A later incarnation with the same name.
    assert_eq!(gate.report(report("a", 11, 1), NOW_US), Change::State);
    assert_eq!(served_incarnation(&gate), Some(number("a", 11)));
}

#[test]
fn a_departure_without_a_start_time_applies_to_the_next_incarnation_of_that_name() {
    let mut gate = gate();
    assert_eq!(gate.leave("a", None, NOW_US), Change::Ignored);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::Ignored);
    assert_eq!(gate.report(report("a", 10, 7), NOW_US), Change::Ignored);
    assert_eq!(served_incarnation(&gate), None);
    assert_eq!(gate.report(report("a", 11, 1), NOW_US), Change::State);
}

#[test]
fn a_departure_of_a_later_incarnation_is_applied_before_its_first_report() {
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    // The next worker at this address has left, and its reports arrive after its departure.
    assert_eq!(gate.leave("b", Some(20), NOW_US), Change::Ignored);
    assert_eq!(gate.report(report("b", 20, 3), NOW_US), Change::Ignored);
    assert_eq!(served_incarnation(&gate), Some(number("a", 10)));
}

#[test]
fn a_worker_that_reports_that_it_is_warm_gets_its_full_limit() {
    // This happens if the daemon restarts beside a running worker.
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    assert_eq!(gate.load(NOW_US).limit, 8);
}

#[test]
fn a_cold_worker_gets_its_full_limit_when_it_reports_that_it_is_warm() {
    let mut gate = gate();
    let mut cold = report("a", 10, 1);
    cold.warm_up_remaining_ms = 2_500;
    gate.report(cold, NOW_US);
    assert_eq!(gate.load(NOW_US).limit, 1);
    gate.report(report("a", 10, 2), NOW_US + 3_000_000);
    assert_eq!(gate.load(NOW_US + 3_000_000).limit, 8);
}

#[test]
fn a_stopping_daemon_publishes_no_worker() {
    let mut gate = gate();
    gate.report(report("a", 10, 5), NOW_US);
    gate.stop(NOW_US);
    assert_eq!(served_incarnation(&gate), None);
    assert_eq!(gate.report(report("a", 10, 6), NOW_US), Change::None);
    assert_eq!(served_incarnation(&gate), None);
}

#[test]
fn a_running_request_records_the_most_loaded_downstream_service() {
    let mut gate = gate();
    let running = Running {
        root_importance: Importance(1),
        bucket: 0,
        depth: 0,
        deadline_us: NOW_US,
        downstream: DownstreamOutcome::default(),
    };
    gate.running.insert("a".into(), running);
    let load = |service: &str, load_permille, calls| ServiceLoad {
        service: service.into(),
        load_permille,
        calls,
    };
    gate.record_service_load("a", &load("x", 500, 1));
    gate.record_service_load("a", &load("y", 900, 2));
    gate.record_service_load("a", &load("x", 800, 1));
    // For one service, the latest load is kept and the calls are added up.
    gate.record_service_load("a", &load("y", 700, 3));
    gate.record_service_load("b", &load("z", 2_000, 1));
    let recorded = gate.running["a"].downstream.most_loaded.clone();
    assert_eq!(recorded, Some(load("y", 700, 5)));
}
