//! Order of shedding: important requests are refused only after less important ones.

use {
    crate::{
        history::History,
        judge::{Finding, example},
        record::{RequestRecord, Send, Verdict},
        scenario::Scenario,
    },
    smol_str::{SmolStr, format_smolstr},
};

/// Sends to the same daemon within this time count as the same moment.
const MOMENT_US: u64 = 1_000;

/// One send as the order of shedding sees it.
struct Seen<'a> {
    request: &'a RequestRecord,
    send: &'a Send,
    importance: u8,
}

/// No request is refused for overload by a daemon that in the same moment admits a less important
/// one whose call tree touches the scarce service as well.
///
/// The same moment: sent to the same daemon at most 1 ms apart. Admitted: answered whole.
pub(super) fn inversions(history: &History) -> Finding {
    let mut finding = Finding::new("no request is refused while a less important one is admitted");
    let mut seen = sends(history);
    seen.sort_by_key(|it| (it.send.daemon, it.send.sent_us));
    for (position, refused) in seen.iter().enumerate() {
        if !is_overload(refused.send) {
            continue;
        }
        let same_moment = |other: &&Seen<'_>| {
            other.send.daemon == refused.send.daemon
                && other.send.sent_us.abs_diff(refused.send.sent_us) <= MOMENT_US
        };
        let before = seen[..position].iter().rev().take_while(same_moment);
        let after = seen[position + 1..].iter().take_while(same_moment);
        let inverted = before.chain(after).find(|other| {
            other.importance > refused.importance && other.send.verdict == Verdict::Done
        });
        finding.check(inverted.is_none(), || {
            let other = inverted.map_or("", |other| other.request.request.as_str());
            example(
                &refused.request.request,
                &format_smolstr!("refused, while {other} was admitted"),
            )
        });
    }
    finding
}

fn sends(history: &History) -> Vec<Seen<'_>> {
    let scenario = &history.scenario;
    let touching: Vec<bool> = (0..scenario.loads.len())
        .map(|load| touches_scarce(scenario, load))
        .collect();
    history
        .requests
        .iter()
        .filter(|request| touching[request.load])
        .flat_map(|request| {
            let importance = importance(scenario, &request.class);
            request.sends.iter().map(move |send| Seen {
                request,
                send,
                importance,
            })
        })
        .collect()
}

fn touches_scarce(scenario: &Scenario, load: usize) -> bool {
    let tree = scenario.tree(&scenario.loads[load].call);
    scenario
        .scarce
        .as_ref()
        .is_none_or(|scarce| tree.contains(scarce))
}

fn importance(scenario: &Scenario, class: &SmolStr) -> u8 {
    scenario.class(class).map_or(0, |class| class.importance)
}

fn is_overload(send: &Send) -> bool {
    send.verdict == Verdict::NotRun && send.reason.as_deref() == Some("overload")
}
