//! At-most-once execution, checked on histories of concurrent runs under faults.
//!
//! `SEEDS=1000 cargo test --test once` runs more schedules of each kind.

mod callers;
mod gates;
mod spec;
mod store;
mod world;

use {
    std::{env, fmt::Write},
    world::{FAULTS, Fault, OrderIdentity, Tally, run},
};

const SEEDS: u64 = 30;
const SEEDS_PER_PAIR: u64 = 4;
const ORDER_IDENTITIES: [OrderIdentity; 2] = [OrderIdentity::Ticket, OrderIdentity::Key];

fn seeds(default: u64) -> u64 {
    env::var("SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Runs one schedule per seed and adds up the results.
fn run_seeds(identity: OrderIdentity, faults: &[Fault], seeds: u64) -> Tally {
    let mut tally = Tally::default();
    for seed in 0..seeds {
        tally.add(run(identity, faults, seed));
    }
    tally
}

#[test]
fn at_most_once_under_each_fault() {
    for identity in ORDER_IDENTITIES {
        run_seeds(identity, &[], seeds(SEEDS));
        for fault in FAULTS {
            run_seeds(identity, &[fault], seeds(SEEDS));
        }
    }
}

#[test]
fn at_most_once_under_pairs_of_faults() {
    for identity in ORDER_IDENTITIES {
        for first in FAULTS {
            for second in FAULTS {
                run_seeds(identity, &[first, second], seeds(SEEDS_PER_PAIR));
            }
        }
    }
}

#[test]
fn outcomes_under_each_fault() {
    let mut table = String::new();
    for identity in ORDER_IDENTITIES {
        table += &line(identity, "none", &run_seeds(identity, &[], SEEDS));
        for fault in FAULTS {
            let name = format!("{fault:?}");
            table += &line(identity, &name, &run_seeds(identity, &[fault], SEEDS));
        }
    }
    insta::assert_snapshot!(table, @"
    Ticket none         done  99.6 not-run  0.0 unknown  0.4 (ran  0.4) attempts 1.63
    Ticket DaemonCrash  done  90.4 not-run  0.0 unknown  9.6 (ran  4.6) attempts 2.04
    Ticket WorkerCrash  done  96.2 not-run  0.0 unknown  3.8 (ran  2.5) attempts 1.81
    Ticket VmCrash      done  90.4 not-run  0.0 unknown  9.6 (ran  4.6) attempts 2.05
    Ticket Pause        done  77.5 not-run  0.0 unknown 22.5 (ran  5.4) attempts 2.96
    Ticket Cut          done  90.4 not-run  0.4 unknown  9.2 (ran  6.7) attempts 2.47
    Ticket Loss         done  96.7 not-run  0.4 unknown  2.9 (ran  1.7) attempts 1.98
    Ticket Clock        done  93.3 not-run  0.8 unknown  5.8 (ran  1.7) attempts 2.04
    Ticket Overload     done  99.2 not-run  0.8 unknown  0.0 (ran  0.0) attempts 1.93
    Ticket StoreOutage  done 100.0 not-run  0.0 unknown  0.0 (ran  0.0) attempts 1.60
    Ticket StoreLoss    done 100.0 not-run  0.0 unknown  0.0 (ran  0.0) attempts 1.60
    Key    none         done 100.0 not-run  0.0 unknown  0.0 (ran  0.0) attempts 1.65
    Key    DaemonCrash  done  93.8 not-run  0.0 unknown  6.2 (ran  2.9) attempts 1.95
    Key    WorkerCrash  done  97.1 not-run  0.0 unknown  2.9 (ran  1.7) attempts 1.75
    Key    VmCrash      done  93.8 not-run  0.0 unknown  6.2 (ran  2.9) attempts 1.93
    Key    Pause        done  80.8 not-run  0.0 unknown 19.2 (ran  6.7) attempts 2.78
    Key    Cut          done  88.3 not-run  0.4 unknown 11.2 (ran  4.2) attempts 2.46
    Key    Loss         done  96.7 not-run  0.0 unknown  3.3 (ran  1.2) attempts 2.35
    Key    Clock        done  96.7 not-run  0.0 unknown  3.3 (ran  0.8) attempts 1.80
    Key    Overload     done  98.8 not-run  0.0 unknown  1.2 (ran  0.0) attempts 1.87
    Key    StoreOutage  done  25.0 not-run 58.8 unknown 16.2 (ran 12.5) attempts 4.96
    Key    StoreLoss    done  99.2 not-run  0.0 unknown  0.8 (ran  0.4) attempts 1.82
    ");
}

fn line(identity: OrderIdentity, fault: &str, tally: &Tally) -> String {
    let share = |part: u32| f64::from(part) * 100.0 / f64::from(tally.orders);
    let mut line = String::new();
    let _ = writeln!(
        line,
        "{:<6} {:<12} done {:5.1} not-run {:4.1} unknown {:4.1} (ran {:4.1}) attempts {:.2}",
        format!("{identity:?}"),
        fault,
        share(tally.done),
        share(tally.not_run),
        share(tally.unknown),
        share(tally.unknown_but_ran),
        f64::from(tally.attempts) / f64::from(tally.orders),
    );
    line
}
