//! Calls to the platform's store.

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

/// Store calls for callers' own keys that one daemon may make in a minute, as shipped.
pub const BINDINGS_PER_MIN: f64 = 10.0;
/// Bindings at once after a quiet time, as shipped.
pub const BINDINGS_BURST: f64 = 2.0;
/// Lower reading of "several hundred".
pub const WRITES_PER_S: f64 = 300.0;
/// Reads a second, waiting watches counted.
pub const READS_PER_S: f64 = 2_000.0;

const MAX_BACKOFF_S: f64 = 5.0;
const S_PER_MIN: f64 = 60.0;
const MS_PER_S: f64 = 1_000.0;
/// Reads of a daemon that starts: first contacts, configuration, free entries of first contacts.
const START_READS: f64 = 3.0;
/// Writes that try for a free entry of first contacts: a lease, an entry. At worst all daemons that
/// start together try, each after a random pause.
const SEED_WRITES: f64 = 2.0;

/// Calls in one situation.
#[derive(Debug, Clone, PartialEq)]
pub struct Situation {
    /// Name of the situation.
    pub name: String,
    /// Reads a second, waiting watches counted once each.
    pub reads_per_s: f64,
    /// Writes a second.
    pub writes_per_s: f64,
}

/// All situations of the plan.
pub fn situations(plan: &Plan) -> Vec<Situation> {
    let rest = rest(plan);
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
            plan.members() * SEED_WRITES / seek_s(),
        ),
        more(
            "all daemons start within one second",
            plan.daemons * START_READS,
            plan.daemons * SEED_WRITES / seek_s(),
        ),
        more(
            &format!("{:.0} VMs replaced over a day", plan.replaced_per_day),
            replaced * START_READS,
            0.0,
        ),
        more(
            &format!("a rack of {:.0} replaced within one second", plan.rack),
            plan.rack * START_READS,
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

/// Time over which daemons that start together spread their tries.
fn seek_s() -> f64 {
    let pause_ms = SEED_REGISTRATION_DELAY_MS.end - SEED_REGISTRATION_DELAY_MS.start;
    pause_ms as f64 / MS_PER_S
}

fn rest(plan: &Plan) -> Situation {
    let fleet = FleetSize {
        data_centres: plan.data_centres() as u32,
        daemons: plan.daemons as u32,
        starts_per_day: 0,
        changes_per_day: plan.changes_per_day as u32,
    };
    let load = fleet.store_load();
    let visits = plan.daemons * MS_PER_S / f64::from(SEED_INTERVAL_MS);
    let holders = plan.data_centres() * f64::from(SEEDS_PER_CENTRE);
    // One visit in so many also looks for a free entry.
    let looks = visits * f64::from(SEEDS_PER_CENTRE) * 2.0 / plan.members();
    Situation {
        name: "at rest".to_owned(),
        reads_per_s: load.reads_per_s + f64::from(load.waiting_watches) + visits + looks,
        writes_per_s: load.writes_per_s + holders * MS_PER_S / f64::from(SEED_INTERVAL_MS),
    }
}

/// Table of all situations.
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
            &share(now.reads_per_s, READS_PER_S),
            &number(now.writes_per_s),
            &share(now.writes_per_s, WRITES_PER_S),
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
