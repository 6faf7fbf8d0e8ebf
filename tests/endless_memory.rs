//! Memory of a daemon whose workers send answers without end. The only test of its process, whose
//! memory it measures.

#[allow(dead_code, reason = "shared with the tests of complete daemons")]
#[path = "mesh/harness.rs"]
mod harness;

use {
    futures::future::join_all,
    harness::{Behaviour, EndlessAnswer, Fleet, run},
};

/// Endless answers at one time.
const ENDLESS: usize = 8;

/// Memory of the smallest machine in the site files. The process also holds the workers and clients.
const MACHINE_BYTES: u64 = 160 << 20;

/// Largest memory that this process has used.
fn peak_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<u64>().unwrap() << 10
}

// Guards against answers without end, each within the limit of one answer, that together pass the
// memory of the machine.
#[test]
fn answers_without_end_stay_within_the_memory_of_a_machine() {
    for answer in EndlessAnswer::ALL {
        run(async {
            let fleet = Fleet::start(1).await;
            fleet.set_behaviour(Behaviour::Endless(answer));
            let requests = (0..ENDLESS).map(|number| {
                let fleet = &fleet;
                async move {
                    let id = format!("endless-{number}");
                    fleet.request("POST", "/order/x", &id).await
                }
            });
            join_all(requests).await;
        });
        let peak_bytes = peak_bytes();
        assert!(peak_bytes < MACHINE_BYTES, "{answer:?}: {peak_bytes}");
    }
}
