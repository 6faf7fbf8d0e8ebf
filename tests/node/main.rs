//! Several daemons in one process: validation, binding, forwarding, serving and drain together,
//! with injected faults.
//!
//! `SEEDS=100 cargo test --test node` runs more histories of each kind.

mod cancel;
mod cluster;
mod crash_suspect;
mod drain;
mod faults;
mod isolation;
mod orders;
mod servers;
mod shed;
#[path = "../once/spec.rs"]
mod spec;
mod tree;

use std::env;

fn seeds(default: u64) -> u64 {
    env::var("SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}
