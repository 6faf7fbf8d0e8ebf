//! Tables that compare predicted values with the bounds of the plan.

use crate::{
    capacity::{
        Plan,
        daemon::DaemonLoad,
        link,
        page::{Rows, megabytes, number, row},
    },
    slopes::{Series, Slopes, SlopesError},
};

const MAX_CONTROL_US_PER_S: f64 = 33_000.0;
const MAX_MEMORY_BYTES: f64 = 256e6;
const MAX_SENT_BYTES_PER_S: f64 = 28_000.0;
const MAX_ADDED_US: f64 = 800.0;
const MAX_IN_FORCE_MS: f64 = 10_000.0;
/// Capacity of the link between two regions, 30 Mbit/s.
const LINK_BYTES_PER_S: f64 = 3_750_000.0;
/// Time to commit a change at a store in another region (two exchanges) and to answer a watch: five
/// one-way delays of 12 ms.
const STORE_COMMIT_MS: f64 = 5.0 * 12.0;
/// Interval of the heartbeats by which a data centre reports its lowest revision to the others.
const HEARTBEAT_MS: f64 = 3_000.0;

/// One bound with the values predicted for the planned and the doubled size.
struct Bound {
    name: &'static str,
    unit: &'static str,
    planned: f64,
    doubled: f64,
    limit: f64,
}

impl Bound {
    fn row(&self) -> Vec<String> {
        if self.limit.is_infinite() {
            let (now, then) = (number(self.planned), number(self.doubled));
            return row([self.name, self.unit, &now, "none", "-", &then]);
        }
        let margin = if self.planned > self.limit {
            format!("**missed**, {} times", number(self.planned / self.limit))
        } else {
            format!("{:.0} %", 100.0 - self.planned * 100.0 / self.limit)
        };
        let missed = if self.doubled > self.limit {
            ", **missed**"
        } else {
            ""
        };
        let doubled = format!("{}{missed}", number(self.doubled));
        row([
            self.name,
            self.unit,
            &number(self.planned),
            &number(self.limit),
            &margin,
            &doubled,
        ])
    }
}

/// Table of the bounds on one daemon and on the time of a change.
pub fn rows(slopes: &Slopes) -> Result<Rows, SlopesError> {
    let (planned, doubled) = (Plan::planned(), Plan::doubled());
    let (now, then) = (
        DaemonLoad::of(&planned, slopes)?,
        DaemonLoad::of(&doubled, slopes)?,
    );
    let in_force = |plan: &Plan| -> Result<f64, SlopesError> {
        let spread = slopes.get("config-spread")?.fit.at(plan.members());
        Ok(STORE_COMMIT_MS + spread + HEARTBEAT_MS)
    };
    let mb = 1e6;
    let bounds = [
        bound(
            "control, processor time of a daemon",
            "us/s",
            now.control_us_per_s,
            then.control_us_per_s,
            MAX_CONTROL_US_PER_S,
        ),
        bound(
            "memory of a daemon, idle",
            "MB",
            now.idle_bytes / mb,
            then.idle_bytes / mb,
            MAX_MEMORY_BYTES / mb,
        ),
        bound(
            "memory of a daemon, all limits reached",
            "MB",
            now.memory_bytes / mb,
            then.memory_bytes / mb,
            MAX_MEMORY_BYTES / mb,
        ),
        bound(
            "control, sent by a daemon that speaks to two data centres",
            "B/s",
            now.sent_bytes_per_s,
            then.sent_bytes_per_s,
            MAX_SENT_BYTES_PER_S,
        ),
        bound(
            "control, sent by the one that hands out most documents as well",
            "B/s",
            now.busiest_bytes_per_s,
            then.busiest_bytes_per_s,
            MAX_SENT_BYTES_PER_S,
        ),
        bound(
            "a change in force and confirmed everywhere",
            "ms",
            in_force(&planned)?,
            in_force(&doubled)?,
            MAX_IN_FORCE_MS,
        ),
    ];
    let mut rows = vec![row([
        "bound",
        "unit",
        "predicted",
        "limit",
        "margin",
        "fleet doubled",
    ])];
    rows.extend(bounds.iter().map(Bound::row));
    rows.extend(latency(slopes, planned.depth));
    Ok(rows)
}

fn bound(name: &'static str, unit: &'static str, planned: f64, doubled: f64, limit: f64) -> Bound {
    Bound {
        name,
        unit,
        planned,
        doubled,
        limit,
    }
}

/// Rows of added latency, measured by `lab overhead` on a quiet machine.
fn latency(slopes: &Slopes, depth: f64) -> Rows {
    let added = |name: &str| slopes.series.get(name).map(Series::max_value);
    let (Some(p50_us), Some(p99_us)) = (added("added-p50"), added("added-p99")) else {
        let open = "not measured yet: `lab overhead` on a quiet machine";
        let limit = number(MAX_ADDED_US);
        let head = ["added to a call, p99", "added to a chain of 29, p99"];
        return head
            .map(|name| row([name, "us", open, &limit, "open", "same"]))
            .to_vec();
    };
    // Hops are independent, so the 99th percentile of a chain lies between these two bounds.
    vec![
        bound("added to a call, p99", "us", p99_us, p99_us, MAX_ADDED_US).row(),
        bound(
            "added to a chain of 29, at least (29 medians)",
            "us",
            p50_us * depth,
            p50_us * depth,
            MAX_ADDED_US,
        )
        .row(),
        bound(
            "added to a chain of 29, at most (29 times p99)",
            "us",
            p99_us * depth,
            p99_us * depth,
            MAX_ADDED_US,
        )
        .row(),
    ]
}

/// Table of the traffic between regions.
pub fn link_rows(slopes: &Slopes) -> Result<Rows, SlopesError> {
    let mut rows = vec![row([
        "quantity",
        "planned",
        "share of 30 Mbit/s",
        "fleet doubled",
    ])];
    let plans = [Plan::planned(), Plan::doubled()];
    let mut add = |name: &str, of: &dyn Fn(&Plan) -> Result<f64, SlopesError>, is_rate: bool| {
        let (now, then) = (of(&plans[0])?, of(&plans[1])?);
        let share = if is_rate {
            format!("{:.2} %", now * 100.0 / LINK_BYTES_PER_S)
        } else {
            "-".to_owned()
        };
        let show = if is_rate { number } else { megabytes };
        rows.push(row([name, &show(now), &share, &show(then)]));
        Ok::<_, SlopesError>(())
    };
    let pair = |plan: &Plan| link::pair_bytes_per_s(plan, slopes);
    add(
        "summaries and beats between two data centres, B/s",
        &pair,
        true,
    )?;
    let busiest = |plan: &Plan| link::busiest_bytes_per_s(plan, slopes);
    add("out of the region that sends most, B/s", &busiest, true)?;
    let change = |plan: &Plan| link::change_bytes(plan, slopes);
    add("one change of the configuration, MB", &change, false)?;
    let summaries = |plan: &Plan| Ok(link::day_bytes(plan, slopes)?.0);
    add("summaries of a day over all borders, MB", &summaries, false)?;
    let changes = |plan: &Plan| Ok(link::day_bytes(plan, slopes)?.1);
    add(
        "configuration of a day over all borders, MB",
        &changes,
        false,
    )?;
    let all = |plan: &Plan| link::day_bytes(plan, slopes).map(|(some, more)| some + more);
    add("both, MB a day", &all, false)?;
    Ok(rows)
}
