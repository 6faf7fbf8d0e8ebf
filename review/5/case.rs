//! A departure that was acknowledged during an outage of the store is forgotten when the daemon is
//! stopped and started, and a late liveness report brings the worker back.

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

const BUDGET_MS: u64 = 5_000;
const DRAIN_MS: u64 = 2_000;
const CLIENTS: usize = 8;

/// Outage of the store, from just after the delayed report was sent.
const OUTAGE_MS: u64 = 4_500;

/// Time between the sending of the report and its arrival.
const LATE_MS: u64 = 4_900;

/// Time for which the worker still serves after its departure was acknowledged.
const SERVES_MS: u64 = 14_000;

fn main() {
    run_case(|folder, record| {
        let store = Store::start();
        let route = Route {
            name: "r-order",
            host: "order.example",
            prefix: "/order/",
            idempotent: false,
            timeout_ms: BUDGET_MS,
            service: "order-desk",
            max_attempts: 2,
        };
        store.write_config(&config(7, &[route]));
        // The clients are beside a worker of another service, in the zone of the first worker.
        let places = [
            ("ost-wien", "ost", "order-desk"),
            ("ost-wien", "ost", "menu-board"),
            ("ost-graz", "ost", "order-desk"),
            ("west-innsbruck", "west", "order-desk"),
            ("west-salzburg", "west", "order-desk"),
        ];
        let mut machines = Vec::new();
        for (index, (zone, region, service)) in places.into_iter().enumerate() {
            let name = format!("sidecar-{zone}-{index}");
            let machine = Machine::new(&name, zone, region, service);
            let body = Arc::new(vec![b'a'; 1_500]);
            let worker = Worker::start(&machine, record, move |_| Reaction::Answer {
                status: 200,
                work_ms: 160,
                body: Arc::clone(&body),
            });
            let daemon = Daemon::start(&machine, store.addr, folder, record);
            machines.push((machine, worker, daemon));
        }
        for (machine, ..) in &machines {
            if !machine.wait_ready(10_000) {
                return Err(format!("{} is not ready", machine.name));
            }
        }
        sleep_ms(SETTLE_MS);
        let is_over = Arc::new(AtomicBool::new(false));
        let (served, failed) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        for _ in 0..CLIENTS {
            let (addr, is_over) = (machines[1].0.outbound, Arc::clone(&is_over));
            let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
            let record = record.clone();
            thread::spawn(move || {
                let request = Request {
                    method: "POST",
                    host: "order.example",
                    path: "/order/flour".into(),
                    budget_ms: BUDGET_MS,
                    body: Arc::new(vec![b'b'; 300]),
                    read_rate: 0,
                    key: None,
                };
                while !is_over.load(Ordering::SeqCst) {
                    let seen = send(addr, &request);
                    if seen.status == 200 && seen.is_complete {
                        served.fetch_add(1, Ordering::SeqCst);
                    } else {
                        failed.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("order not served: {}", seen.describe()));
                    }
                    sleep_ms(50);
                }
            });
        }
        sleep_ms(SETTLE_MS + 1_000);
        let (machine, worker, daemon) = &machines[0];
        let started = Instant::now();
        let wait_until = |at_ms: u64| {
            thread::sleep(Duration::from_millis(at_ms).saturating_sub(started.elapsed()));
        };
        worker.is_silent.store(true, Ordering::SeqCst);
        let deliver = worker.delayed_report();
        record.line("the worker sends a report, which is delayed, and no more after it");
        if has_trouble() {
            store.begin_outage();
            record.line("the store refuses all calls (503)");
        }
        wait_until(300);
        if !worker.deregister() {
            return Err("the departure was not acknowledged".into());
        }
        let acknowledged = Instant::now();
        record.line("the worker's departure is acknowledged");
        wait_until(500);
        if has_trouble() {
            record.line("SIGTERM to the daemon beside the worker");
            daemon.stop();
            daemon.spawn();
        }
        wait_until(OUTAGE_MS);
        if has_trouble() {
            store.end_outage();
            record.line("the store is back");
        }
        wait_until(LATE_MS);
        let is_acknowledged = deliver();
        record.line(&format!(
            "the delayed report arrives, acknowledged: {is_acknowledged}"
        ));
        // All machines are in touch from here on.
        wait_until(LATE_MS + SETTLE_MS);
        let in_touch = Instant::now();
        wait_until(300 + SERVES_MS);
        record.line(&format!("the worker of {} ends", machine.name));
        worker.crash(600_000);
        sleep_ms(1_500);
        is_over.store(true, Ordering::SeqCst);
        sleep_ms(1_000);
        let runs = worker.runs.lock().expect("not poisoned").clone();
        let drained = acknowledged + Duration::from_millis(DRAIN_MS);
        let late = runs.iter().filter(|run| run.at > drained).count();
        let judged = runs
            .iter()
            .filter(|run| run.at > drained.max(in_touch))
            .count();
        let text = format!(
            "{late} orders reached the worker later than DrainMs after the acknowledgement, {judged} of \
             them while all machines were in touch; orders served {}, not served {}",
            served.load(Ordering::SeqCst),
            failed.load(Ordering::SeqCst)
        );
        Ok(verdict(record, judged > 0, &text))
    });
}
