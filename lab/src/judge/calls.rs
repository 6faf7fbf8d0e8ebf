//! Bounds on the extra calls of a request and on the runs of an order.

use {
    crate::{
        history::{History, Run},
        judge::{Finding, example},
    },
    shallotdeal::collections::HashMap,
    smol_str::format_smolstr,
};

/// Counts the extra calls that ran, by request.
pub(super) fn extra_by_request(history: &History) -> HashMap<&str, u64> {
    history
        .runs_by_request()
        .into_iter()
        .map(|(request, runs)| (request, count_extra(&runs)))
        .collect()
}

/// Checks that no request has more extra calls than its class allows.
pub(super) fn extra_calls(history: &History) -> Finding {
    let mut finding = Finding::new("extra calls of a request stay within its class's allowance");
    let extra = extra_by_request(history);
    for request in &history.requests {
        let allowance = history
            .scenario
            .class(&request.class)
            .map_or(0, |class| u64::from(class.retry_allowance));
        let count = extra.get(request.request.as_str()).copied().unwrap_or(0);
        finding.check(count <= allowance, || {
            example(
                &request.request,
                &format_smolstr!(
                    "{count} extra calls, {allowance} allowed; the caller sent it {} times",
                    request.sends.len()
                ),
            )
        });
    }
    finding
}

/// Checks that no call of an order runs twice at the same position of its call tree, whichever run
/// made the call.
pub(super) fn double_runs(history: &History) -> Finding {
    let mut finding = Finding::new("an order runs at most once at each place of its call tree");
    let mut counts = HashMap::<(&str, &str), u64>::default();
    for run in &history.runs {
        if let Some(order) = &run.start.order {
            *counts.entry((order, &run.start.node)).or_default() += 1;
        }
    }
    for ((order, node), count) in counts {
        finding.check(count == 1, || {
            example(order, &format_smolstr!("place '{node}' ran {count} times"))
        });
    }
    finding
}

fn count_extra(runs: &[&Run]) -> u64 {
    let mut counts = HashMap::<(Option<&str>, &str), u64>::default();
    for run in runs {
        let call = (run.start.parent.as_deref(), run.start.node.as_str());
        *counts.entry(call).or_default() += 1;
    }
    counts.values().map(|count| count - 1).sum()
}
