//! Check of the shedding order: less important requests are refused before more important ones.

use {
    crate::{
        history::History,
        judge::{Finding, example},
        record::{RequestRecord, SendRecord, Verdict},
        scenario::Scenario,
    },
    smol_str::{SmolStr, format_smolstr},
};

/// Sends to the same daemon at most this far apart count as simultaneous.
const SAME_TIME_TOLERANCE_US: u64 = 1_000;

/// One send with the importance of its request.
struct RankedSend<'a> {
    request: &'a RequestRecord,
    send: &'a SendRecord,
    importance: u8,
}

/// Checks that no daemon refuses a request for overload while it admits a simultaneous, less
/// important one.
///
/// Only requests whose call tree includes the scarce service count. Two sends are simultaneous if
/// they go to the same daemon at most 1 ms apart. A request is admitted if it is answered with
/// success.
pub(super) fn inversions(history: &History) -> Finding {
    let mut finding = Finding::new("no request is refused while a less important one is admitted");
    let mut sends = ranked_sends(history);
    sends.sort_by_key(|it| (it.send.daemon, it.send.sent_us));
    for (position, refused) in sends.iter().enumerate() {
        if !is_refused_for_overload(refused.send) {
            continue;
        }
        let same_time = |other: &&RankedSend<'_>| {
            other.send.daemon == refused.send.daemon
                && other.send.sent_us.abs_diff(refused.send.sent_us) <= SAME_TIME_TOLERANCE_US
        };
        let before = sends[..position].iter().rev().take_while(same_time);
        let after = sends[position + 1..].iter().take_while(same_time);
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

fn ranked_sends(history: &History) -> Vec<RankedSend<'_>> {
    let scenario = &history.scenario;
    let uses_scarce: Vec<bool> = (0..scenario.loads.len())
        .map(|load| calls_scarce_service(scenario, load))
        .collect();
    history
        .requests
        .iter()
        .filter(|request| uses_scarce[request.load])
        .flat_map(|request| {
            let importance = importance(scenario, &request.class);
            request.sends.iter().map(move |send| RankedSend {
                request,
                send,
                importance,
            })
        })
        .collect()
}

fn calls_scarce_service(scenario: &Scenario, load: usize) -> bool {
    let services = scenario.called_services(&scenario.loads[load].call);
    scenario
        .scarce
        .as_ref()
        .is_none_or(|scarce| services.contains(scarce))
}

fn importance(scenario: &Scenario, class: &SmolStr) -> u8 {
    scenario.class(class).map_or(0, |class| class.importance)
}

fn is_refused_for_overload(send: &SendRecord) -> bool {
    send.verdict == Verdict::NotRun && send.reason.as_deref() == Some("overload")
}
