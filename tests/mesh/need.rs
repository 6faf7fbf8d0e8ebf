//! Workers that state in their answers that they are in need or that they leave.

use {
    crate::harness::{Client, Fleet, eventually, run},
    shallotdeal::mesh::runtime::sleep_ms,
};

/// Time over which the platform counts the requests of a worker with a limit.
const WINDOW_MS: u64 = 4_000;
/// Interval of the requests of [`send_for_a_window`].
const INTERVAL_MS: u64 = 20;

/// Requests that the platform allows in a window: one and a half times the limit, and five.
fn allowed(limit_per_s: f64) -> usize {
    (limit_per_s * 1.5 * (WINDOW_MS / 1_000) as f64) as usize + 5
}

/// Sends requests at an interval for one window, without waiting for answers.
async fn send_for_a_window(fleet: &Fleet, name: &str) {
    let mut clients = Vec::new();
    for number in 0..WINDOW_MS / INTERVAL_MS {
        let vm = &fleet.vms[number as usize % fleet.vms.len()];
        let client = Client::connect(vm).await;
        let id = format!("{name}-{number}");
        client.send("GET", "/read/x", &id, "", b"").await;
        clients.push(client);
        sleep_ms(INTERVAL_MS).await;
    }
}

// Guards against a worker in need that gets more requests than the limit it names.
#[test]
fn a_worker_gets_no_more_requests_than_the_limit_it_names() {
    const LIMIT_PER_S: f64 = 5.0;
    run(async {
        let fleet = Fleet::start(2).await;
        for vm in &fleet.vms {
            vm.worker.limit_per_s.set(Some(LIMIT_PER_S));
        }
        send_for_a_window(&fleet, "first").await;
        let before: Vec<usize> = fleet.vms.iter().map(|vm| vm.worker.count()).collect();
        send_for_a_window(&fleet, "second").await;
        for (vm, before) in fleet.vms.iter().zip(before) {
            let received = vm.worker.count() - before;
            assert!(received <= allowed(LIMIT_PER_S), "{received} requests");
            assert!(received > 0, "none although it has not left");
        }
    });
}

// Guards against a limit that outlasts the need of its worker.
#[test]
fn a_limit_ends_with_the_first_answer_that_names_none() {
    run(async {
        let fleet = Fleet::start(1).await;
        let vm = &fleet.vms[0];
        vm.worker.limit_per_s.set(Some(0.0));
        fleet.request("GET", "/read/x", "limited").await;
        let rate = vm.mesh.gate.borrow().rate();
        assert_eq!(rate.map(|rate| rate.to_string()).as_deref(), Some("0/s"));
        vm.worker.limit_per_s.set(None);
        let mut number = 0;
        while vm.mesh.gate.borrow().rate().is_some() {
            number += 1;
            fleet
                .request("GET", "/read/x", &format!("limited-{number}"))
                .await;
        }
        for number in 0..50 {
            let response = fleet
                .request("GET", "/read/x", &format!("free-{number}"))
                .await;
            assert_eq!(response.head.status, 200);
        }
    });
}

// Guards against a worker that is sent requests after it has said in an answer that it leaves.
#[test]
fn a_worker_that_says_that_it_leaves_gets_no_more_requests() {
    run(async {
        let fleet = Fleet::start(2).await;
        let leaving = &fleet.vms[1].worker;
        leaving.is_leaving.set(true);
        let mut number = 0;
        while leaving.count() == 0 {
            let id = format!("before-{number}");
            let response = fleet.request("GET", "/read/x", &id).await;
            assert_eq!(response.head.status, 200);
            number += 1;
        }
        eventually("departure at the other daemon", || {
            fleet.vms[0].mesh.directory.borrow().workers("shop") == 1
        })
        .await;
        for number in 0..40 {
            let response = fleet
                .request("GET", "/read/x", &format!("after-{number}"))
                .await;
            assert_eq!(response.head.status, 200);
        }
        assert_eq!(leaving.count(), 1);
    });
}
