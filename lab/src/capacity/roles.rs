//! Predicted costs of each role of a daemon at the planned size.

use crate::{
    capacity::{
        Plan,
        daemon::{self, DaemonLoad},
        link,
        page::{Rows, megabytes, number, row},
        store,
    },
    slopes::{Slopes, SlopesError},
};

const NS_PER_US: f64 = 1_000.0;

/// Inputs of the table.
struct Sizes<'a> {
    plan: Plan,
    load: DaemonLoad,
    slopes: &'a Slopes,
}

type Row = Result<Vec<String>, SlopesError>;

/// Table of the roles.
pub fn rows(slopes: &Slopes) -> Result<Rows, SlopesError> {
    let plan = Plan::planned();
    let sizes = Sizes {
        load: DaemonLoad::of(&plan, slopes)?,
        plan,
        slopes,
    };
    Ok(vec![
        row([
            "role",
            "state of one daemon",
            "messages",
            "processor time, us/s",
            "memory, MB",
            "carried by",
        ]),
        sizes.ingress()?,
        sizes.router()?,
        sizes.gate()?,
        sizes.fleet()?,
        sizes.speaker()?,
        sizes.reader()?,
        sizes.writer(),
        row([
            "ask",
            "none",
            "one exchange a question; other data centres from summaries",
            "by question, not measured",
            "none at rest",
            "every daemon answers from its own view",
        ]),
    ])
}

impl Sizes<'_> {
    /// Processor time of decisions, in microseconds per second, with the slowest measured time of
    /// each once per call.
    fn decisions_us(&self, names: &[&'static str]) -> Result<f64, SlopesError> {
        let mut sum_ns = 0.0;
        for name in names {
            sum_ns += self.slopes.get(name)?.max_value();
        }
        Ok(sum_ns * self.plan.calls_per_s_per_daemon() / NS_PER_US)
    }

    fn ingress(&self) -> Row {
        let calls = number(self.plan.calls_per_s_per_daemon());
        let decisions = number(self.decisions_us(&["accounts", "paths"])?);
        Ok(row([
            "ingress",
            &format!(
                "{} calls under way, 16,384 events, at most 4,096 connections",
                number(self.plan.in_flight())
            ),
            &format!("{calls} calls/s in, as many on to gates"),
            &format!(
                "{decisions} of decisions (accounts, paths); {} with the gate, sockets and codecs",
                number(self.load.calls_us_per_s)
            ),
            &format!(
                "{} connections, {} events",
                megabytes(daemon::connections_bytes(self.slopes)?),
                megabytes(daemon::traces_bytes(self.slopes)?)
            ),
            "retry tokens in loans, levels learned from answers (no message of their own)",
        ]))
    }

    fn router(&self) -> Row {
        let workers = self.plan.members() / self.plan.services_per_data_centre();
        Ok(row([
            "router",
            &format!(
                "index of {} workers a service on average, {} summaries",
                number(workers),
                number(self.plan.summaries())
            ),
            "none",
            &format!(
                "{} at 90 workers of a service",
                number(self.decisions_us(&["pick-by-workers"])?)
            ),
            "in the fleet's",
            "the less busy of two from the own view; spill by summaries within a byte rate",
        ]))
    }

    fn gate(&self) -> Row {
        let decisions = number(self.decisions_us(&["gate", "once", "suspects"])?);
        Ok(row([
            "gate",
            &format!(
                "{} calls under way, at most 100,000 run-once records and 4,096 deaths",
                number(self.plan.in_flight())
            ),
            &format!("{} calls/s", number(self.plan.calls_per_s_per_daemon())),
            &format!("{decisions} of decisions (gate, once, suspects)"),
            &format!(
                "{} run-once, {} quarantine",
                megabytes(daemon::once_bytes(self.slopes)?),
                megabytes(daemon::suspects_bytes(self.slopes)?)
            ),
            "measured concurrency limit, rank order, one record a ticket until it expires",
        ]))
    }

    fn fleet(&self) -> Row {
        let members = self.plan.members();
        let last =
            |name| Ok::<_, SlopesError>(number(self.slopes.get(name)?.value_at_largest_size()));
        Ok(row([
            "fleet",
            &format!("{} members", number(members)),
            &format!(
                "{} datagrams/s, {} B/s sent",
                last("gossip-messages")?,
                last("gossip-most")?
            ),
            &format!(
                "{} without system calls; {} with all timers of an idle daemon",
                last("gossip-cpu")?,
                number(self.load.control_us_per_s)
            ),
            &megabytes(self.slopes.get("members-bytes")?.fit.at(members)),
            "probes, news in datagrams within 6,000 B/s, digests",
        ]))
    }

    fn speaker(&self) -> Row {
        let summaries = self.plan.summaries();
        Ok(row([
            "speaker between data centres",
            &format!("{} summaries", number(summaries)),
            &format!(
                "{} B/s to each data centre spoken to",
                number(link::pair_bytes_per_s(&self.plan, self.slopes)?)
            ),
            "in the fleet's",
            &megabytes(self.slopes.get("summaries-bytes")?.fit.slope * summaries),
            "one member a pair of data centres by rendezvous hash, changes only",
        ]))
    }

    fn reader(&self) -> Row {
        let document = daemon::document_bytes(&self.plan, self.slopes)?;
        let changes = self.plan.changes_per_s();
        let decode = self.slopes.get("config-decode")?.fit;
        let served = self.slopes.get("config-served")?.fit;
        Ok(row([
            "control reader",
            &format!("one document of {} B", number(document)),
            &format!(
                "{} B/s received; the busiest hands out {} documents a change",
                number(document * changes),
                number(served.at(self.plan.members()))
            ),
            &number(decode.at(self.plan.services) * changes),
            &megabytes(document),
            "two watchers a data centre; the others fetch from a peer with a newer revision",
        ]))
    }

    fn writer(&self) -> Vec<String> {
        let rest = &store::situations(&self.plan)[0];
        row([
            "control writer",
            "one change under way",
            &format!(
                "{} changes/s in all; {} store writes/s with first contacts",
                number(self.plan.changes_per_s()),
                number(rest.writes_per_s)
            ),
            "not measured",
            "none at rest",
            "compare-and-swap, read back after a lost answer, confirmation by revisions in gossip",
        ])
    }
}
