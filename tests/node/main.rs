//! Whole daemons in one process: entry, binding, forwarding, serving and drain joined, under faults.
//!
//! `SEEDS=100 cargo test --test node` runs more histories of each kind.

mod cancel;
mod drain;
mod faults;
mod killer;
mod orders;
mod servers;
mod shed;
#[path = "../once/spec.rs"]
mod spec;
mod tree;
mod turns;
mod world;

use std::env;

fn seeds(default: u64) -> u64 {
    env::var("SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}
