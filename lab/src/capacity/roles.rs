//! Each role at the planned size.

use crate::{
    capacity::{
        Plan,
        daemon::{self, Load},
        link,
        page::{Rows, megabytes, number, row},
        store,
    },
    slopes::{Slopes, SlopesError},
};

const NS_PER_US: f64 = 1_000.0;

/// Table of roles.
pub fn rows(slopes: &Slopes) -> Result<Rows, SlopesError> {
    let plan = Plan::planned();
    let load = Load::of(&plan, slopes)?;
    let calls = plan.calls_of_daemon();
    let mut rows = vec![row([
        "role",
        "state of one daemon",
        "messages",
        "processor time, us/s",
        "memory, MB",
        "carried by",
    ])];
    let mut add = |cells: [&str; 6]| rows.push(row(cells));
    let decisions_us = |names: &[&'static str]| -> Result<f64, SlopesError> {
        let mut sum_ns = 0.0;
        for name in names {
            sum_ns += slopes.get(name)?.most();
        }
        Ok(sum_ns * calls / NS_PER_US)
    };
    let data_path = number(load.calls_us_per_s);
    add([
        "ingress",
        &format!(
            "{} calls under way, {} events, 4,096 connections",
            number(plan.in_flight()),
            number(16_384.0)
        ),
        &format!("{} calls/s in, as many on to gates", number(calls)),
        &format!(
            "{} of decisions (accounts, paths); {data_path} with the gate, sockets and codecs",
            number(decisions_us(&["accounts", "paths"])?)
        ),
        &format!(
            "{} connections, {} events",
            megabytes(daemon::connections_bytes(slopes)?),
            megabytes(daemon::traces_bytes(slopes)?)
        ),
        "retry tokens in loans, levels learned from answers (no message of their own)",
    ]);
    let workers = plan.members() / plan.services_of_centre();
    add([
        "router",
        &format!(
            "index of {} workers a service on average, {} summaries",
            number(workers),
            number(plan.summaries())
        ),
        "none",
        &number(decisions_us(&["pick-by-workers"])?),
        "in the fleet's",
        "the less busy of two from the own view; spill by summaries within a byte rate",
    ]);
    add([
        "gate",
        &format!(
            "{} calls under way, 100,000 run-once records, 4,096 deaths",
            number(plan.in_flight())
        ),
        &format!("{} calls/s", number(calls)),
        &format!(
            "{} of decisions (gate, once, suspects); the rest is in the ingress row",
            number(decisions_us(&["gate", "once", "suspects"])?)
        ),
        &format!(
            "{} run-once, {} quarantine",
            megabytes(daemon::once_bytes(slopes)?),
            megabytes(daemon::suspects_bytes(slopes)?)
        ),
        "measured concurrency limit, rank order, one record a ticket until it expires",
    ]);
    let messages = slopes.get("gossip-messages")?.last();
    add([
        "fleet",
        &format!("{} members", number(plan.members())),
        &format!(
            "{} datagrams/s, {} B/s sent",
            number(messages),
            number(slopes.get("gossip-most")?.last())
        ),
        &format!(
            "{} without system calls; {} of the whole idle daemon",
            number(slopes.get("gossip-cpu")?.last()),
            number(load.control_us_per_s)
        ),
        &megabytes(slopes.get("members-bytes")?.fit.slope * plan.members()),
        "probes, news in datagrams within 6,000 B/s, digests",
    ]);
    add([
        "speaker",
        &format!("{} summaries", number(plan.summaries())),
        &format!(
            "{} B/s to each data centre spoken to",
            number(link::pair_bytes_per_s(&plan, slopes)?)
        ),
        "in the fleet's",
        &megabytes(slopes.get("summaries-bytes")?.fit.slope * plan.summaries()),
        "one member a pair of data centres by rendezvous hash, changes only",
    ]);
    let document = daemon::document_bytes(&plan, slopes)?;
    add([
        "control reader",
        &format!("one document of {} B", number(document)),
        &format!(
            "{} B/s received; the busiest hands out {} documents a change",
            number(document * plan.changes_per_s()),
            number(slopes.get("config-served")?.fit.at(plan.members()))
        ),
        &number(slopes.get("config-decode")?.fit.at(plan.services) * plan.changes_per_s()),
        &megabytes(document),
        "two watchers a data centre, the others fetch from a peer with a newer revision",
    ]);
    let rest = &store::situations(&plan)[0];
    add([
        "control writer",
        "one change under way",
        &format!(
            "{} changes/s in all; {} store writes/s with first contacts",
            number(plan.changes_per_s()),
            number(rest.writes_per_s)
        ),
        "below 1",
        "none at rest",
        "compare-and-swap, read back after a lost answer, confirmation by revisions in gossip",
    ]);
    add([
        "ask",
        "none",
        "one exchange a question; lists of other data centres from summaries",
        "by question, not measured",
        "none at rest",
        "every daemon answers from its view",
    ]);
    Ok(rows)
}
