//! A daemon that starts again has forgotten which requests crash workers, and passes them on.

#[path = "../standin-2/lib.rs"]
mod standin;

use standin::{
    Daemon, Machine, Reaction, Request, Route, SETTLE_MS, Store, Worker, config, has_trouble,
    run_case, send, sleep_ms, verdict,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const CRASHING: &str = "/calendar/crashes";
const WORKER_DOWN_MS: u64 = 2_500;
const BUDGET_MS: u64 = 5_000;

/// Most retries later than `SettleWindowMs` after the third crash (RULES.md, BUDGET).
const MAX_RETRIES: usize = 3;

/// Time after which no further daemon is stopped, so that the play ends in time.
const LAST_STOP_S: u64 = 92;

fn request(path: &str) -> Request {
    Request {
        method: "GET",
        host: "calendar.example",
        path: path.into(),
        budget_ms: BUDGET_MS,
        body: Arc::default(),
        read_rate: 0,
        key: None,
    }
}

fn main() {
    run_case(|folder, record| {
        let store = Store::start();
        let route = Route {
            name: "r-calendar",
            host: "calendar.example",
            prefix: "/calendar/",
            idempotent: true,
            timeout_ms: BUDGET_MS,
            service: "calendar",
            max_attempts: 2,
        };
        store.write_config(&config(7, &[route]));
        let zones = [
            ("nbo-karura", "nairobi"),
            ("nbo-ngong", "nairobi"),
            ("mba-nyali", "mombasa"),
            ("mba-likoni", "mombasa"),
            ("nbo-karura", "nairobi"),
        ];
        let mut machines = Vec::new();
        for (index, (zone, region)) in zones.into_iter().enumerate() {
            let machine =
                Machine::new(&format!("sidecar-{zone}-{index}"), zone, region, "calendar");
            let body = Arc::new(vec![b'a'; 1_500]);
            let worker = Worker::start(&machine, record, move |request| {
                if request.target() == CRASHING {
                    return Reaction::Crash {
                        after_ms: 20,
                        down_ms: WORKER_DOWN_MS,
                    };
                }
                Reaction::Answer {
                    status: 200,
                    work_ms: 120,
                    body: Arc::clone(&body),
                }
            });
            let daemon = Daemon::start(&machine, store.addr, folder, record);
            machines.push((machine, worker, daemon));
        }
        for (machine, ..) in &machines {
            if !machine.wait_ready(10_000) {
                return Err(format!("{} is not ready", machine.name));
            }
        }
        let started = Instant::now();
        let is_over = Arc::new(AtomicBool::new(false));
        let (served, failed) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        for (machine, ..) in &machines {
            for _ in 0..4 {
                let (machine, is_over) = (machine.clone(), Arc::clone(&is_over));
                let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
                thread::spawn(move || {
                    let mut number = 0;
                    while !is_over.load(Ordering::SeqCst) {
                        if !machine.is_ready() {
                            sleep_ms(200);
                            continue;
                        }
                        number += 1;
                        let seen = send(
                            machine.outbound,
                            &request(&format!("/calendar/week-{number}")),
                        );
                        let counter = if seen.status == 200 && seen.is_complete {
                            &served
                        } else {
                            &failed
                        };
                        counter.fetch_add(1, Ordering::SeqCst);
                        sleep_ms(50);
                    }
                });
            }
        }
        sleep_ms(SETTLE_MS);
        // Each crash of a worker, and each arrival of the request that crashes it.
        let arrivals = || -> Vec<Instant> {
            let runs = machines
                .iter()
                .flat_map(|(_, worker, _)| worker.runs.lock().expect("not poisoned").clone());
            let mut at: Vec<_> = runs
                .filter(|run| run.target == CRASHING)
                .map(|run| run.at)
                .collect();
            at.sort();
            at
        };
        let ask = |machine: &Machine| {
            let seen = send(machine.outbound, &request(CRASHING));
            record.line(&format!(
                "crashing request at {}: {}",
                machine.name,
                seen.describe()
            ));
            // Workers come back, and the next request is sent by a machine in touch.
            sleep_ms(WORKER_DOWN_MS + 1_000);
        };
        // The request comes a few times, until the system knows it.
        for (machine, ..) in machines.iter().take(2) {
            ask(machine);
        }
        record.line(&format!(
            "{} arrivals before the daemons are restarted",
            arrivals().len()
        ));
        // The daemons are stopped and started in turn, twice.
        for (machine, _, daemon) in machines.iter().chain(&machines) {
            if started.elapsed() > Duration::from_secs(LAST_STOP_S) {
                break;
            }
            if has_trouble() {
                record.line(&format!("SIGTERM to the daemon of {}", machine.name));
                daemon.stop();
                daemon.spawn();
                if !machine.wait_ready(15_000) {
                    return Err(format!("{} is not ready again", machine.name));
                }
                sleep_ms(SETTLE_MS);
            }
            ask(machine);
        }
        is_over.store(true, Ordering::SeqCst);
        let at = arrivals();
        let late = at.get(2).map_or(0, |third| {
            let since = *third + Duration::from_millis(SETTLE_MS);
            at.iter().filter(|at| **at > since).count()
        });
        let crashes: u32 = machines
            .iter()
            .map(|(_, worker, _)| worker.crashes.load(Ordering::SeqCst))
            .sum();
        let text = format!(
            "the crashing request reached workers {} times and crashed {crashes}; {late} arrivals later than {SETTLE_MS} ms \
             after the third crash, {MAX_RETRIES} allowed; other requests served {}, failed {}",
            at.len(),
            served.load(Ordering::SeqCst),
            failed.load(Ordering::SeqCst)
        );
        Ok(verdict(record, late > MAX_RETRIES, &text))
    });
}
