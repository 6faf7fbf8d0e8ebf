//! Predicted costs of failures at the planned size.

use crate::{
    capacity::{
        Plan, daemon, link,
        page::{Rows, number, row},
    },
    slopes::{Slopes, SlopesError},
};

const S_PER_HOUR: f64 = 3_600.0;
const HOURS_PER_DAY: f64 = 24.0;

/// Table of failures and their costs.
pub fn rows(slopes: &Slopes) -> Result<Rows, SlopesError> {
    let plan = Plan::planned();
    let members = plan.members();
    let in_flight = plan.in_flight();
    let share = |vms: f64| number(vms * 100.0 / members);
    let document = daemon::document_bytes(&plan, slopes)?;
    let pair = link::pair_bytes_per_s(&plan, slopes)?;
    let hour_changes = plan.changes_per_day / HOURS_PER_DAY;
    let away_from_store = plan.data_centres()
        - plan
            .data_centres_by_region
            .iter()
            .copied()
            .fold(0.0, f64::max);
    let mut rows = vec![row([
        "failure",
        "messages",
        "time",
        "lost goodput",
        "by which mechanism",
    ])];
    let mut add = |cells: [&str; 5]| rows.push(row(cells));
    add([
        &format!("one VM, {} a day", number(plan.failures_per_day)),
        &format!(
            "one record to {} members twice (suspected, dead), in datagrams that go out anyway; beyond the byte budget, as urgent news",
            number(members - 1.0)
        ),
        "suspected everywhere 2.0 s, worst 4.75 s; dead 6.0 s, worst 8.35 s (`fleet_slopes times`)",
        &format!(
            "{} calls in flight, {} a day; {} % of a data centre's slots until replaced",
            number(in_flight),
            number(in_flight * plan.failures_per_day),
            share(1.0)
        ),
        "a call that fails to connect moves to another worker for one token; the worker is avoided for 1 s and probed; idempotent calls in flight are retried, others told `unknown`",
    ]);
    add([
        &format!("a rack of {}", number(plan.vms_per_rack)),
        &format!(
            "{} records twice to {} members",
            number(plan.vms_per_rack),
            number(members - plan.vms_per_rack)
        ),
        "as one VM; probes of the dead run in turn, so up to some seconds more (not measured)",
        &format!(
            "{} calls in flight; {} % of the slots, shed by rank if they were needed; all in flight are suspects and run alone once",
            number(in_flight * plan.vms_per_rack),
            share(plan.vms_per_rack)
        ),
        "levels at the gates and along the paths; suspects are cleared by one run",
    ]);
    add([
        "a data centre",
        &format!(
            "none inside others but {} beats that stay away; when it returns {} summaries, {} configuration documents, {} store reads",
            number(plan.data_centres() - 1.0),
            number(plan.services_per_data_centre()),
            number(members),
            number(members * 3.0)
        ),
        "12 s until others count it as cut off; a joiner knows all offers after 8.35 s at 50 members each (`fleet_slopes centres 50`)",
        &format!(
            "{} calls in flight; {} % of all capacity while it is away; calls sent to it from elsewhere fail for up to 12 s",
            number(in_flight * members),
            number(100.0 / plan.data_centres())
        ),
        "summaries of a centre not heard of are kept and not used; each other centre serves its own callers",
    ]);
    add([
        "regions apart for an hour",
        &format!(
            "first contacts every 5 s; after it {} summaries a pair at {} B/s and one document of {} B to {} watchers",
            number(plan.services_per_data_centre()),
            number(pair),
            number(document),
            number(away_from_store * 2.0)
        ),
        &format!(
            "12 s until calls stay at home; after it the digest of one part each 10 s repairs what changed; {} kB of summaries a pair not sent in the hour",
            number(pair * S_PER_HOUR / 1_000.0)
        ),
        &format!(
            "calls of services that only another region runs; {} changes of the hour reach the {} data centres away from the store at its end; changes asked for there are refused, bindings of callers' keys there are `not-run`",
            number(hour_changes),
            number(away_from_store)
        ),
        "own data centre first; last revision stays in force; changes are refused with nothing changed",
    ]);
    Ok(rows)
}
