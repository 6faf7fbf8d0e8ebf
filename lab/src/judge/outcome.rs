//! Checks of the answers that callers received against the recorded runs.

use {
    crate::{
        history::{History, Run},
        judge::{Finding, example},
        record::{RequestRecord, RunOutcome, SendRecord, Verdict},
    },
    smol_str::format_smolstr,
};

/// Time after the start of a departure from which a worker must not receive new work.
const MAX_LEAVE_DELAY_US: u64 = 3_000_000;

/// Checks that a send answered with `not-run` did not run.
///
/// For an order, no earlier send may have run either. A read is checked only up to its first send
/// with another answer, since runs cannot be attributed to single sends from there on.
pub(super) fn false_not_run(history: &History) -> Finding {
    let mut finding = Finding::new("what a caller was told did not run, did not run");
    let runs = history.runs_by_request();
    for request in &history.requests {
        let roots: Vec<&Run> = runs
            .get(request.request.as_str())
            .into_iter()
            .flatten()
            .filter(|run| run.start.node.is_empty())
            .copied()
            .collect();
        let idempotent = history
            .scenario
            .class(&request.class)
            .is_none_or(|class| class.idempotent);
        for (position, send) in request.sends.iter().enumerate() {
            if idempotent && send.verdict != Verdict::NotRun {
                break;
            }
            if send.verdict == Verdict::NotRun {
                let next_us = next_send_us(request, position);
                let ran = roots.iter().any(|run| run.start.at_us < next_us);
                finding.check(!ran, || {
                    let detail = format_smolstr!(
                        "{}, send {} was told not-run ({}), runs began {} us after its send",
                        request.class,
                        position + 1,
                        verdicts(request),
                        start_offsets_us(&roots, send),
                    );
                    example(&request.request, &detail)
                });
            }
        }
    }
    finding
}

/// Checks that no answer reaches a caller truncated or corrupted.
pub(super) fn whole_answers(history: &History) -> Finding {
    check_each_send(history, "each answer is whole", Verdict::NotWhole)
}

/// Checks that each answer belongs to the request it was sent for.
pub(super) fn own_answers(history: &History) -> Finding {
    check_each_send(
        history,
        "each answer belongs to its request",
        Verdict::NotOwn,
    )
}

/// Checks that no run starts at a worker more than `MAX_LEAVE_DELAY_US` after its departure began.
pub(super) fn late_work(history: &History) -> Finding {
    let mut finding = Finding::new("a leaving worker gets no new work after 3 s");
    for departure in &history.departures {
        let late: Vec<_> = history
            .runs
            .iter()
            .filter(|run| run.start.worker == departure.worker)
            .filter(|run| run.start.at_us > departure.at_us + MAX_LEAVE_DELAY_US)
            .collect();
        finding.check(late.is_empty(), || {
            example(
                &departure.worker,
                &format_smolstr!("{} late runs", late.len()),
            )
        });
    }
    finding
}

/// Checks that each run in flight at a leaving worker ends with an answer, unless its caller gave
/// up.
pub(super) fn cut_by_drain(history: &History) -> Finding {
    let mut finding = Finding::new("a planned stop cuts off no request in flight");
    for departure in &history.departures {
        let own: Vec<&Run> = history
            .runs
            .iter()
            .filter(|run| run.start.worker == departure.worker)
            .collect();
        let leaving = own
            .iter()
            .rev()
            .find(|run| run.start.at_us <= departure.at_us)
            .map(|run| run.instance());
        for run in own {
            let in_flight = Some(run.instance()) == leaving
                && run
                    .end
                    .as_ref()
                    .is_none_or(|end| end.at_us > departure.at_us);
            if in_flight {
                let cut = run.end.is_none() || run.outcome() == Some(RunOutcome::Cancelled);
                let caller_gave_up = request_of(history, run).is_none_or(|request| !request.good);
                finding.check(!cut || (caller_gave_up && run.end.is_some()), || {
                    example(&run.start.request, &departure.worker)
                });
            }
        }
    }
    finding
}

fn check_each_send(history: &History, guarantee: &str, fault: Verdict) -> Finding {
    let mut finding = Finding::new(guarantee);
    for request in &history.requests {
        for (position, send) in request.sends.iter().enumerate() {
            finding.check(send.verdict != fault, || {
                example(&request.request, &format_smolstr!("send {}", position + 1))
            });
        }
    }
    finding
}

/// Lists the verdicts of all sends in order.
fn verdicts(request: &RequestRecord) -> String {
    let verdicts: Vec<_> = request
        .sends
        .iter()
        .map(|send| send.verdict.to_string())
        .collect();
    verdicts.join(", ")
}

/// Lists the start times of runs relative to a send.
fn start_offsets_us(runs: &[&Run], send: &SendRecord) -> String {
    let offsets: Vec<_> = runs
        .iter()
        .map(|run| (i128::from(run.start.at_us) - i128::from(send.sent_us)).to_string())
        .collect();
    offsets.join(", ")
}

fn next_send_us(request: &RequestRecord, position: usize) -> u64 {
    request
        .sends
        .get(position + 1)
        .map_or(u64::MAX, |next| next.sent_us)
}

fn request_of<'a>(history: &'a History, run: &Run) -> Option<&'a RequestRecord> {
    history
        .requests
        .iter()
        .find(|request| request.request == run.start.request)
}
