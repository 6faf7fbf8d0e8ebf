//! Predicted rates of calls to the platform's store.

use {
    crate::capacity::{
        Plan, S_PER_DAY,
        page::{Rows, number, row},
    },
    shallotdeal::{
        control::load::FleetSize,
        fleet::seeds::{SEED_INTERVAL_MS, SEEDS_PER_CENTRE},
        sync::SEED_REGISTRATION_DELAY_MS,
    },
};

/// Default limit of store calls per minute and daemon for bindings of callers' own keys.
pub const BINDINGS_PER_MIN: f64 = 10.0;
/// Default burst of bindings of a daemon.
pub const BINDINGS_BURST: f64 = 2.0;
/// Limit of writes per second: the low end of the planned "several hundred".
pub const MAX_WRITES_PER_S: f64 = 300.0;
/// Limit of reads per second, including waiting watches.
pub const MAX_READS_PER_S: f64 = 2_000.0;

const MAX_BACKOFF_S: f64 = 5.0;
const S_PER_MIN: f64 = 60.0;
const MS_PER_S: f64 = 1_000.0;
/// Reads of a starting daemon: seeds, configuration, free seed entries.
const START_READS: f64 = 3.0;
/// Writes to claim a free seed entry: a lease and the entry. In the worst case all daemons that
/// start together try, each after a random delay.
const SEED_WRITES: f64 = 2.0;

/// Rates of calls in one situation.
#[derive(Debug, Clone, PartialEq)]
pub struct Situation {
    /// Name of the situation.
    pub name: String,
    /// Reads per second, with each waiting watch counted once.
    pub reads_per_s: f64,
    /// Writes per second.
    pub writes_per_s: f64,
}

/// Predicts the rates in all situations.
pub fn situations(plan: &Plan) -> Vec<Situation> {
    let rest = at_rest(plan);
    let more = |name: &str, reads, writes| Situation {
        name: name.to_owned(),
        reads_per_s: rest.reads_per_s + reads,
        writes_per_s: rest.writes_per_s + writes,
    };
    let entries = f64::from(SEEDS_PER_CENTRE) * SEED_WRITES;
    let readers = plan.data_centres() * 2.0;
    let bindings = plan.daemons * BINDINGS_PER_MIN / S_PER_MIN;
    let replaced = plan.replaced_per_day / S_PER_DAY;
    vec![
        rest.clone(),
        more(
            "in the second after an outage of the store",
            readers / MAX_BACKOFF_S,
            plan.data_centres() * entries / S_PER_MIN,
        ),
        more(
            "one data centre starts empty within one second",
            plan.members() * START_READS,
            plan.members() * SEED_WRITES / start_spread_s(),
        ),
        more(
            "all daemons start within one second",
            plan.daemons * START_READS,
            plan.daemons * SEED_WRITES / start_spread_s(),
        ),
        more(
            &format!("{:.0} VMs replaced over a day", plan.replaced_per_day),
            replaced * START_READS,
            0.0,
        ),
        more(
            &format!(
                "a rack of {:.0} replaced within one second",
                plan.vms_per_rack
            ),
            plan.vms_per_rack * START_READS,
            entries,
        ),
        more("bindings of callers' keys at their limit", 0.0, bindings),
        more(
            "all bursts of bindings in one second, as after an outage",
            0.0,
            plan.daemons * BINDINGS_BURST,
        ),
    ]
}

/// Time over which the random delays spread the attempts of daemons that start together.
fn start_spread_s() -> f64 {
    let pause_ms = SEED_REGISTRATION_DELAY_MS.end - SEED_REGISTRATION_DELAY_MS.start;
    pause_ms as f64 / MS_PER_S
}

fn at_rest(plan: &Plan) -> Situation {
    let fleet = FleetSize {
        data_centres: plan.data_centres() as u32,
        daemons: plan.daemons as u32,
        starts_per_day: 0,
        changes_per_day: plan.changes_per_day as u32,
    };
    let load = fleet.store_load();
    let seed_reads = plan.daemons * MS_PER_S / f64::from(SEED_INTERVAL_MS);
    let seed_entries = plan.data_centres() * f64::from(SEEDS_PER_CENTRE);
    // Some reads, fewer the more members there are, are followed by a search for a free seed entry.
    let free_entry_reads = seed_reads * f64::from(SEEDS_PER_CENTRE) * 2.0 / plan.members();
    Situation {
        name: "at rest".to_owned(),
        reads_per_s: load.reads_per_s
            + f64::from(load.waiting_watches)
            + seed_reads
            + free_entry_reads,
        writes_per_s: load.writes_per_s + seed_entries * MS_PER_S / f64::from(SEED_INTERVAL_MS),
    }
}

/// Table of the situations.
pub fn rows() -> Rows {
    let mut rows = vec![row([
        "situation",
        "reads/s and waiting watches",
        "of 2,000",
        "writes/s",
        "of 300",
        "doubled: reads",
        "doubled: writes",
    ])];
    let (planned, doubled) = (situations(&Plan::planned()), situations(&Plan::doubled()));
    for (now, then) in planned.iter().zip(&doubled) {
        rows.push(row([
            &now.name,
            &number(now.reads_per_s),
            &share(now.reads_per_s, MAX_READS_PER_S),
            &number(now.writes_per_s),
            &share(now.writes_per_s, MAX_WRITES_PER_S),
            &number(then.reads_per_s),
            &number(then.writes_per_s),
        ]));
    }
    rows
}

fn share(value: f64, bound: f64) -> String {
    let missed = if value > bound { ", **missed**" } else { "" };
    format!("{:.1} %{missed}", value * 100.0 / bound)
}
