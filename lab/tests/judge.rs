//! Checks of the guarantees: violations in a history are found, and correct histories pass.

use {
    lab::{
        history::{Departure, History, Run},
        judge::judge,
        record::{RequestRecord, RunEnd, RunOutcome, RunStart, SendRecord, Verdict},
        scenario::Scenario,
        summary::{Recovery, recovery},
    },
    smol_str::SmolStr,
    std::{path::Path, sync::Arc},
};

const MS: u64 = 1_000;

fn history() -> History {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/small.ini");
    History {
        scenario: Arc::new(Scenario::read(&file).expect("the scenario is valid")),
        begin_us: 0,
        requests: Vec::new(),
        runs: Vec::new(),
        departures: Vec::new(),
    }
}

fn send(daemon: usize, at_ms: u64, verdict: Verdict) -> SendRecord {
    SendRecord {
        daemon,
        sent_us: at_ms * MS,
        ended_us: (at_ms + 5) * MS,
        verdict,
        reason: (verdict == Verdict::NotRun).then(|| "overload".into()),
    }
}

fn request(id: &str, class: &str, sends: Vec<SendRecord>) -> RequestRecord {
    let load = ["order", "stock", "menu"]
        .iter()
        .position(|it| *it == class);
    RequestRecord {
        request: id.into(),
        class: class.into(),
        load: load.expect("a class of the scenario"),
        offered_us: sends[0].sent_us,
        ended_us: sends[sends.len() - 1].ended_us,
        good: sends[sends.len() - 1].verdict == Verdict::Done,
        sends,
        ticket_failed: false,
    }
}

fn run(request: &str, order: bool, node: &str, at_ms: u64) -> Run {
    let id: SmolStr = format!("{request}{node}@{at_ms}").into();
    Run {
        start: RunStart {
            at_us: at_ms * MS,
            run: id.clone(),
            parent: None,
            request: request.into(),
            node: node.into(),
            order: order.then(|| request.into()),
            service: "order-desk".into(),
            path: "order".into(),
            worker: "order-desk-1".into(),
        },
        end: Some(RunEnd {
            at_us: (at_ms + 2) * MS,
            run: id,
            end: RunOutcome::Done,
            work_us: MS,
        }),
    }
}

/// Lists the violated guarantees with the number of violations.
fn violations(history: &History) -> String {
    let findings = judge(history);
    let violated = findings.iter().filter(|finding| finding.violations > 0);
    violated
        .map(|finding| format!("{}: {}", finding.guarantee, finding.violations))
        .collect::<Vec<_>>()
        .join("; ")
}

#[test]
fn a_resend_after_not_run_is_no_violation() {
    let mut history = history();
    let sends = vec![send(0, 10, Verdict::NotRun), send(1, 30, Verdict::Done)];
    history.requests.push(request("a", "order", sends));
    history.runs.push(run("a", true, "", 31));
    insta::assert_snapshot!(violations(&history), @"");
}

#[test]
fn a_run_before_not_run_is_found() {
    let mut history = history();
    let sends = vec![send(0, 10, Verdict::Unknown), send(1, 30, Verdict::NotRun)];
    history.requests.push(request("a", "order", sends));
    history.runs.push(run("a", true, "", 11));
    insta::assert_snapshot!(violations(&history), @"what a caller was told did not run, did not run: 1");
}

#[test]
fn a_run_long_after_not_run_is_found() {
    let mut history = history();
    let sends = vec![send(0, 10, Verdict::NotRun)];
    history.requests.push(request("a", "stock", sends));
    history.runs.push(run("a", false, "", 500));
    insta::assert_snapshot!(violations(&history), @"what a caller was told did not run, did not run: 1");
}

#[test]
fn a_read_that_may_have_run_may_be_answered_not_run_later() {
    let mut history = history();
    let sends = vec![send(0, 10, Verdict::TimedOut), send(1, 30, Verdict::NotRun)];
    history.requests.push(request("a", "stock", sends));
    history.runs.push(run("a", false, "", 11));
    insta::assert_snapshot!(violations(&history), @"");
}

#[test]
fn an_order_that_runs_twice_at_a_nested_node_is_found() {
    let mut history = history();
    let sends = vec![send(0, 10, Verdict::Done)];
    history.requests.push(request("a", "order", sends));
    let mut first = run("a", true, "/0.0", 11);
    first.start.parent = Some("one".into());
    let mut second = run("a", true, "/0.0", 15);
    second.start.parent = Some("two".into());
    history.runs.extend([first, second]);
    insta::assert_snapshot!(violations(&history), @"an order runs at most once at each place of its call tree: 1");
}

#[test]
fn extra_calls_are_counted_over_the_whole_tree() {
    let mut history = history();
    let sends = vec![send(0, 10, Verdict::Done)];
    history.requests.push(request("a", "stock", sends));
    for (node, at_ms) in [("", 11), ("", 12), ("/0.0", 13), ("/0.0", 14), ("/0.0", 15)] {
        history.runs.push(run("a", false, node, at_ms));
    }
    insta::assert_snapshot!(
        violations(&history),
        @"extra calls of a request stay within its class's allowance: 1"
    );
}

#[test]
fn foreign_and_corrupt_answers_are_found() {
    let mut history = history();
    let corrupt = vec![send(0, 10, Verdict::NotWhole)];
    let foreign = vec![send(0, 10, Verdict::NotOwn)];
    history.requests.push(request("a", "menu", corrupt));
    history.requests.push(request("b", "menu", foreign));
    insta::assert_snapshot!(
        violations(&history),
        @"each answer is whole: 1; each answer belongs to its request: 1"
    );
}

#[test]
fn an_inversion_needs_the_same_daemon_the_same_time_and_the_scarce_service() {
    let mut history = history();
    let refused = vec![send(0, 10, Verdict::NotRun)];
    history.requests.push(request("order", "order", refused));
    let elsewhere = vec![send(1, 10, Verdict::Done)];
    history.requests.push(request("b", "stock", elsewhere));
    let later = vec![send(0, 12, Verdict::Done)];
    history.requests.push(request("c", "stock", later));
    let other_service = vec![send(0, 10, Verdict::Done)];
    history.requests.push(request("d", "menu", other_service));
    insta::assert_snapshot!(violations(&history), @"");
    let inverted = vec![send(0, 11, Verdict::Done)];
    history.requests.push(request("e", "stock", inverted));
    insta::assert_snapshot!(
        violations(&history),
        @"no request is refused while a less important one is admitted: 1"
    );
}

#[test]
fn runs_cut_by_a_departure_and_runs_long_after_it_are_found() {
    let mut history = history();
    let sends = vec![send(0, 10, Verdict::Broken)];
    history.requests.push(request("a", "menu", sends));
    let mut crashed = run("c", false, "", 5);
    crashed.start.run = "earlier-1".into();
    crashed.end = None;
    let mut cut = run("a", false, "", 11);
    cut.start.run = "leaving-1".into();
    cut.end = None;
    history
        .runs
        .extend([crashed, cut, run("b", false, "", 3_100)]);
    history.departures.push(Departure {
        worker: "order-desk-1".into(),
        at_us: 15 * MS,
    });
    insta::assert_snapshot!(
        violations(&history),
        @"a leaving worker gets no new work after 3 s: 1; a planned stop cuts off no request in flight: 1"
    );
}

#[test]
fn recovery_ends_at_the_first_of_five_recovered_slices() {
    let mut history = history();
    for at_ms in (0..16_000).step_by(10) {
        let fails = (4_000..8_730).contains(&at_ms) || (8_900..9_000).contains(&at_ms);
        let verdict = if fails {
            Verdict::TimedOut
        } else {
            Verdict::Done
        };
        let id = format!("{at_ms}");
        let sends = vec![send(0, at_ms, verdict)];
        history.requests.push(request(&id, "menu", sends));
    }
    assert_eq!(recovery(&history), Recovery::AfterMs(1_000));
}
