//! Play of the cases about memory: two machines with steady traffic of long messages, and a platform
//! that kills a process whose memory exceeds its limit.

use super::standin::{
    Daemon, Folder, MEMORY_MB, Machine, Reaction, Record, Request, Route, Store, Worker, config,
    has_trouble, send, sleep_ms, verdict,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Delay after which the platform starts an ended process again.
const RESTART_MS: u64 = 500;

/// Interval at which the platform checks the memory.
const CHECK_MS: u64 = 2;

/// Ends of one machine's process that are a fault (RULES.md, "Fault").
const FAULT_ENDS: u32 = 3;

/// Longest play.
const PLAY_S: u64 = 75;

/// Play without disruption.
const CALM_S: u64 = 30;

pub struct Play {
    pub request_bytes: usize,
    pub answer_bytes: usize,
    /// Time between the requests of the clients of one machine.
    pub gap_ms: u64,
    /// Rate at which workers read bodies under disruption, in bytes a second.
    pub worker_rate: u64,
    /// Rate at which clients read answers under disruption, in bytes a second.
    pub client_rate: u64,
}

#[derive(Default)]
struct Counts {
    ends: AtomicU32,
    peak_kib: AtomicU64,
    served: AtomicU32,
    refused: AtomicU32,
    lost: AtomicU32,
}

pub fn play(play: &Play, folder: &Folder, record: &Record) -> Result<i32, String> {
    let store = Store::start();
    let routes = [Route {
        name: "r-order",
        host: "order.example",
        prefix: "/order/",
        idempotent: false,
        timeout_ms: 5_500,
        service: "order-desk",
        max_attempts: 2,
    }];
    store.write_config(&config(7, &routes));
    let zones = [("ost-wien", "ost"), ("ost-graz", "ost")];
    let is_over = Arc::new(AtomicBool::new(false));
    let mut machines = Vec::new();
    for (index, (zone, region)) in zones.into_iter().enumerate() {
        let machine = Machine::new(
            &format!("sidecar-{zone}-{index}"),
            zone,
            region,
            "order-desk",
        );
        let body = Arc::new(vec![b'a'; play.answer_bytes]);
        let worker = Worker::start(&machine, record, move |_| Reaction::Answer {
            status: 200,
            work_ms: 50,
            body: Arc::clone(&body),
        });
        if has_trouble() {
            worker.read_rate.store(play.worker_rate, Ordering::SeqCst);
        }
        let daemon = Daemon::start(&machine, store.addr, folder, record);
        let counts = Arc::new(Counts::default());
        {
            let (daemon, counts, is_over, record) = (
                Arc::clone(&daemon),
                Arc::clone(&counts),
                Arc::clone(&is_over),
                record.clone(),
            );
            thread::spawn(move || enforce_memory(&daemon, &counts, &is_over, &record));
        }
        machines.push((machine, worker, daemon, counts));
    }
    for (machine, ..) in &machines {
        if !machine.wait_ready(10_000) {
            return Err(format!("{} is not ready", machine.name));
        }
    }
    record.line("all daemons are ready; traffic begins");
    for (machine, _, _, counts) in &machines {
        let (machine, counts, is_over, record) = (
            machine.clone(),
            Arc::clone(counts),
            Arc::clone(&is_over),
            record.clone(),
        );
        let request = Request {
            method: "POST",
            host: "order.example",
            path: "/order/flour".into(),
            budget_ms: 5_500,
            body: Arc::new(vec![b'b'; play.request_bytes]),
            read_rate: if has_trouble() { play.client_rate } else { 0 },
            key: None,
        };
        let gap_ms = play.gap_ms;
        thread::spawn(move || {
            send_steadily(&machine, &request, gap_ms, &counts, &is_over, &record)
        });
    }
    let started = Instant::now();
    let play_s = if has_trouble() { PLAY_S } else { CALM_S };
    let is_faulty = || {
        machines
            .iter()
            .all(|(.., counts)| counts.ends.load(Ordering::SeqCst) >= FAULT_ENDS)
    };
    while started.elapsed() < Duration::from_secs(play_s) && !is_faulty() {
        sleep_ms(100);
    }
    is_over.store(true, Ordering::SeqCst);
    // The last requests end within their time budget.
    sleep_ms(6_000);
    let mut text = Vec::new();
    for (machine, _, _, counts) in &machines {
        let get = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
        text.push(format!(
            "{}: {} ends for memory over {MEMORY_MB} MB, peak {} MB; requests served {}, refused {}, ended \
             without a whole answer {}",
            machine.name,
            get(&counts.ends),
            counts.peak_kib.load(Ordering::SeqCst) / 1_024,
            get(&counts.served),
            get(&counts.refused),
            get(&counts.lost)
        ));
    }
    Ok(verdict(record, is_faulty(), &text.join("\n")))
}

/// Kills the process while its memory exceeds the limit, and starts it again.
fn enforce_memory(daemon: &Daemon, counts: &Counts, is_over: &AtomicBool, record: &Record) {
    while !is_over.load(Ordering::SeqCst) {
        sleep_ms(CHECK_MS);
        let memory_kib = daemon.memory_kib().unwrap_or(0);
        counts.peak_kib.fetch_max(memory_kib, Ordering::SeqCst);
        if memory_kib <= MEMORY_MB * 1_024 && !daemon.has_ended() {
            continue;
        }
        daemon.kill();
        counts.ends.fetch_add(1, Ordering::SeqCst);
        let name = &daemon.machine.name;
        record.line(&format!(
            "{name}: memory {} MB, the platform kills the daemon",
            memory_kib / 1_024
        ));
        sleep_ms(RESTART_MS);
        if !is_over.load(Ordering::SeqCst) {
            daemon.spawn();
        }
    }
}

/// Sends requests at an interval while the daemon is ready.
fn send_steadily(
    machine: &Machine,
    request: &Request,
    gap_ms: u64,
    counts: &Arc<Counts>,
    is_over: &AtomicBool,
    record: &Record,
) {
    while !is_over.load(Ordering::SeqCst) {
        if machine.is_ready() {
            let (addr, name, request) = (machine.outbound, machine.name.clone(), request.clone());
            let (counts, record) = (Arc::clone(counts), record.clone());
            thread::spawn(move || {
                let seen = send(addr, &request);
                let counter = match seen.status {
                    200 if seen.is_complete => &counts.served,
                    0 | 200 => &counts.lost,
                    _ => &counts.refused,
                };
                counter.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("{name}: {}", seen.describe()));
            });
        }
        sleep_ms(gap_ms);
    }
}
