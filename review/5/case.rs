//! A planned stop cuts answers that clients are still reading, long before the grace time ends.

#[path = "../standin-2/lib.rs"]
mod standin;

use standin::{
    Daemon, Machine, Reaction, Request, Route, Seen, Store, Worker, config, has_trouble, run_case,
    send, sleep_ms, verdict,
};
use std::{
    sync::{Arc, Mutex},
    thread,
};

/// Length of an answer and the rate at which its client reads: 4.2 s in all, within the time budget.
const ANSWER_BYTES: usize = 32 << 20;
const CLIENT_RATE: u64 = 8_000_000;
const BUDGET_MS: u64 = 5_500;

/// Requests under way at each stop.
const CLIENTS: usize = 2;

/// Time between the requests and SIGTERM. The worker has answered within it.
const STOP_AFTER_MS: u64 = 400;

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
        let mut machines = Vec::new();
        for (index, zone) in ["ost-wien", "ost-graz"].into_iter().enumerate() {
            let machine = Machine::new(
                &format!("sidecar-{zone}-{index}"),
                zone,
                "ost",
                "order-desk",
            );
            let body = Arc::new(vec![b'a'; ANSWER_BYTES]);
            let worker = Worker::start(&machine, record, move |_| Reaction::Answer {
                status: 200,
                work_ms: 20,
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
        // The machines are in touch.
        sleep_ms(standin::SETTLE_MS);
        let mut cut = 0;
        let mut sent = 0;
        for (machine, worker, daemon) in &machines {
            let all_seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
            let clients: Vec<_> = (0..CLIENTS)
                .map(|_| {
                    let (addr, all_seen) = (machine.outbound, Arc::clone(&all_seen));
                    thread::spawn(move || {
                        let request = Request {
                            method: "POST",
                            host: "order.example",
                            path: "/order/flour".into(),
                            budget_ms: BUDGET_MS,
                            body: Arc::new(vec![b'b'; 300]),
                            read_rate: CLIENT_RATE,
                            key: None,
                        };
                        let seen = send(addr, &request);
                        all_seen.lock().expect("not poisoned").push(seen);
                    })
                })
                .collect();
            sleep_ms(STOP_AFTER_MS);
            if has_trouble() {
                record.line(&format!("SIGTERM to the daemon of {}", machine.name));
                let took = daemon.stop();
                record.line(&format!(
                    "the daemon of {} has ended after {} ms",
                    machine.name,
                    took.as_millis()
                ));
            }
            for client in clients {
                client.join().map_err(|_| "a client panicked")?;
            }
            for seen in all_seen.lock().expect("not poisoned").iter() {
                sent += 1;
                let runs = machines
                    .iter()
                    .flat_map(|(_, worker, _)| worker.runs.lock().expect("not poisoned").clone());
                let has_run = runs
                    .into_iter()
                    .any(|run| run.attempt_id == seen.attempt_id);
                record.line(&format!(
                    "{}: {}, has run: {has_run}",
                    machine.name,
                    seen.describe()
                ));
                let in_time = seen.took_ms < BUDGET_MS;
                cut += usize::from(has_run && in_time && !seen.is_complete);
            }
            let _ = worker;
            if has_trouble() {
                daemon.spawn();
                if !machine.wait_ready(15_000) {
                    return Err(format!("{} is not ready again", machine.name));
                }
            }
            sleep_ms(standin::SETTLE_MS);
        }
        let text = format!(
            "{sent} orders passed on to a worker, {cut} of them ended without a complete answer"
        );
        Ok(verdict(record, cut > 0, &text))
    });
}
