//! Reproduces the three kinds of failed request of docs/OPERATIONS.md, and finds the cause of each
//! from logs and metrics alone. Also checks that requests are served while nobody reads the log.

use {
    crate::{
        harness::{ATTEMPT, Behaviour, Client, Fleet, enable_log_lines, run},
        writers::{SharedBuffer, StalledWriter},
    },
    shallotdeal::{explain::Timeline, logs::mesh_log, mesh::runtime::now_us},
    smol_str::SmolStr,
    std::{cell::RefCell, sync::mpsc},
};

/// Runs a test and returns the lines logged by all daemons during it.
pub(crate) fn logged(test: impl Future<Output = ()>) -> String {
    enable_log_lines();
    let buffer = SharedBuffer::default();
    let (log, subscriber) = mesh_log(tracing::Level::INFO, buffer.clone());
    tracing::subscriber::with_default(subscriber, || run(test));
    drop(log);
    buffer.text()
}

fn timeline(id: &str, lines: &str) -> String {
    Timeline::collect(id, [("all.log", lines)])
        .unwrap()
        .to_string()
}

fn metric(fleet: &Fleet, name: &str) -> u64 {
    fleet.vms.iter().map(|vm| vm.mesh.metrics.get(name)).sum()
}

#[test]
fn a_refusal_under_overload_is_explained() {
    let refused = RefCell::new(SmolStr::default());
    let lines = logged(async {
        let fleet = Fleet::start(1).await;
        fleet.set_behaviour(Behaviour::Answer { after_ms: 700 });
        let mut clients = Vec::new();
        for number in 0..81 {
            let client = Client::connect(&fleet.vms[0]).await;
            let id = format!("load-{number}");
            client.send("GET", "/read/x", &id, "", b"").await;
            clients.push(client);
        }
        // The random order of requests of one importance decides which ones are refused.
        for client in &mut clients {
            let response = client.receive().await.expect("an answer");
            if response.head.status != 429 {
                continue;
            }
            assert!(response.head.field("Retry-After").is_some(), "{response:?}");
            let id = response.head.field(ATTEMPT).expect("the attempt id");
            *refused.borrow_mut() = id.into();
        }
        assert!(metric(&fleet, "gate.refused") > 0);
    });
    let refused = refused.into_inner();
    assert!(!refused.is_empty(), "no request was refused");
    let timeline = timeline(&refused, &lines);
    assert!(timeline.contains("refused by the gate"), "{timeline}");
    assert!(timeline.contains("refusal=not-run: overload"), "{timeline}");
    assert!(timeline.contains("limit="), "{timeline}");
    assert!(timeline.contains("queued="), "{timeline}");
}

#[test]
fn a_lost_answer_is_explained() {
    let lines = logged(async {
        let fleet = Fleet::start(2).await;
        fleet.set_behaviour(Behaviour::Close);
        let response = fleet.request("POST", "/order/x", "complained").await;
        assert_eq!(response.head.status, 502);
        assert!(metric(&fleet, "worker.broken") > 0);
    });
    let timeline = timeline("complained", &lines);
    assert!(
        timeline.contains("no whole answer from worker"),
        "{timeline}"
    );
    assert!(timeline.contains("connection closed"), "{timeline}");
    assert!(timeline.contains("was_sent=true"), "{timeline}");
    assert!(timeline.contains("refusal=unknown: broken"), "{timeline}");
}

#[test]
fn a_slow_worker_is_explained() {
    let lines = logged(async {
        let fleet = Fleet::start(2).await;
        fleet.set_behaviour(Behaviour::Answer { after_ms: 5_000 });
        let response = fleet.request("GET", "/read/x", "complained").await;
        assert_eq!(response.head.status, 504);
    });
    let timeline = timeline("complained", &lines);
    assert!(timeline.contains("refusal=unknown: deadline"), "{timeline}");
    assert!(timeline.contains("vm=vm-"), "{timeline}");
    assert!(timeline.contains("was_sent=true"), "{timeline}");
    assert!(timeline.contains("took_us=1"), "{timeline}");
}

/// Sends requests one after the other, and returns their sorted latencies in microseconds.
async fn sorted_latencies_us(fleet: &Fleet, requests: usize) -> Vec<u64> {
    let mut client = Client::connect(&fleet.vms[0]).await;
    let mut latencies_us = Vec::with_capacity(requests);
    for number in 0..requests {
        let started_us = now_us();
        let id = format!("id-{number}");
        client.send("GET", "/read/x", &id, "", b"").await;
        let response = client.receive().await.expect("an answer");
        assert_eq!(response.head.status, 200);
        latencies_us.push(now_us() - started_us);
    }
    latencies_us.sort_unstable();
    latencies_us
}

/// Sends many requests and prints their latencies, for docs/OPERATIONS.md.
async fn serve_many(log_state: &str) {
    let fleet = Fleet::start(2).await;
    let latencies_us = sorted_latencies_us(&fleet, 3_000).await;
    let (median_us, p99_us) = (latencies_us[1_500], latencies_us[2_970]);
    eprintln!("log {log_state}: p50 {median_us} us, p99 {p99_us} us");
}

#[test]
fn requests_are_served_while_nobody_reads_the_log() {
    let (release, stalled) = mpsc::channel();
    let (log, subscriber) = mesh_log(tracing::Level::INFO, StalledWriter(stalled));
    tracing::subscriber::with_default(subscriber, || run(serve_many("stalled")));
    drop(release);
    drop(log);
}

#[test]
fn requests_are_served_while_the_log_is_read() {
    let lines = logged(serve_many("read"));
    assert!(lines.contains("answered"));
}
