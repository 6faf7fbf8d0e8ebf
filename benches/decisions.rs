//! Cost of each decision, by the size of the state that it may depend on.

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    shallotdeal::{
        policy::{
            gate::{Action, Arrival, Finish, Gate, GateDecision, WorkKey},
            paths::PathLevels,
            queue::{Queue, QueueOrder},
            retry::{CallerRetryRatio, DelegationShare, TokenPools},
            shed::{GateLoad, GateRules, LevelController, Queued, WINDOW_US},
        },
        request::{Importance, Incarnation, Level, Rank, ServiceName},
    },
    std::hint::black_box,
};

const FAR_US: u64 = 1 << 50;

fn rank(step: u64) -> Rank {
    Rank::from_parts(Importance((step % 4) as u8), (step * 37) as u8)
}

fn arrival(step: u64) -> Arrival {
    Arrival {
        rank: rank(step),
        deadline_us: FAR_US,
        exclusive: false,
    }
}

/// Warmed-up gate with `slots` slots, all of them in use.
fn full_gate(slots: u32) -> (Gate, Vec<WorkKey>) {
    let mut gate = Gate::new(GateRules::new(50), 1);
    gate.announce(slots, 0);
    let mut actions = Vec::new();
    let mut running = Vec::new();
    let mut step = 0;
    while running.len() < slots as usize {
        match gate.offer(arrival(step), 1, &mut actions) {
            GateDecision::Started(key) => running.push(key),
            GateDecision::Queued(key) => gate.cancel(key, 1, &mut actions),
            GateDecision::Refused(_) => {}
        }
        if gate.in_flight() == gate.report(1).limit as usize && running.len() < slots as usize {
            let key = running.swap_remove(0);
            gate.finish(key, Finish::Done, 1, &mut actions);
        }
        actions.clear();
        step += 1;
    }
    (gate, running)
}

fn gates(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gate/start-and-finish");
    for in_flight in [20_u32, 200, 2_000] {
        let (mut gate, mut running) = full_gate(in_flight);
        let mut actions: Vec<Action> = Vec::new();
        let mut step = 0;
        group.bench_function(BenchmarkId::from_parameter(in_flight), |bencher| {
            bencher.iter(|| {
                step += 1;
                let key = running.pop().unwrap();
                gate.finish(key, Finish::Cancelled, 2, &mut actions);
                if let GateDecision::Started(key) = gate.offer(arrival(step), 2, &mut actions) {
                    running.push(key);
                }
                actions.clear();
            });
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("gate/queue-and-cancel");
    for queued in [20_u32, 200, 2_000] {
        let (mut gate, _) = full_gate(queued);
        let mut actions: Vec<Action> = Vec::new();
        for step in 0..u64::from(queued) {
            gate.offer(arrival(step), 2, &mut actions);
        }
        let mut step = 0;
        group.bench_function(BenchmarkId::from_parameter(queued), |bencher| {
            bencher.iter(|| {
                step += 1;
                if let GateDecision::Queued(key) = gate.offer(arrival(step), 2, &mut actions) {
                    gate.cancel(key, 2, &mut actions);
                }
                actions.clear();
            });
        });
    }
    group.finish();
}

fn queues(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue/push-best-remove");
    for queued in [10_u64, 100, 1_000, 10_000] {
        let mut queue = Queue::new();
        for step in 0..queued {
            queue.push(rank(step), step, step);
        }
        let mut step = queued;
        group.bench_function(BenchmarkId::from_parameter(queued), |bencher| {
            bencher.iter(|| {
                step += 1;
                queue.push(rank(step), step, step);
                let next = queue.next_to_start(QueueOrder::NewestFirst);
                next.and_then(|(entry, _)| queue.remove(entry))
            });
        });
    }
    group.finish();
}

fn levels(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("level/window");
    for importances in [1_u8, 4, 16, 64] {
        let mut control = LevelController::new(GateRules::new(50));
        control.count_arrival(Rank::from_parts(Importance(importances - 1), 0));
        let load = GateLoad {
            queued: 100,
            in_flight: 20,
            limit: 20,
            latency_us: 50_000,
        };
        let queued = Queued::from([(Importance(0), 100)]);
        let mut now_us = 0;
        group.bench_function(BenchmarkId::from_parameter(importances), |bencher| {
            bencher.iter(|| {
                now_us += WINDOW_US;
                control.close_window_if_over(load, &queued, now_us)
            });
        });
    }
    group.finish();
}

fn paths(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("paths/admit-and-learn");
    for services in [4_usize, 40, 160, 1_600] {
        let names: Vec<ServiceName> = (0..services)
            .map(|index| format!("service-{index}").into())
            .collect();
        let mut paths = PathLevels::default();
        for name in &names {
            for worker in 0..8 {
                paths.observe(name, Importance(1), Incarnation(worker), Level(300), 0);
            }
        }
        let mut step = 0;
        group.bench_function(BenchmarkId::from_parameter(services), |bencher| {
            bencher.iter(|| {
                step += 1;
                let name = &names[step % services];
                let worker = Incarnation(step as u64 % 8);
                let decision = paths.admit(name, rank(step as u64), 1);
                paths.observe(name, Importance(1), worker, Level(300), 1);
                black_box(decision)
            });
        });
    }
    group.finish();
}

fn retries(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("retry/lend-and-settle");
    for open_pools in [10_usize, 1_000, 100_000] {
        let mut pools = TokenPools::new(DelegationShare::HalfUp);
        let keys: Vec<_> = (0..open_pools).map(|_| pools.open(3)).collect();
        let mut step = 0;
        group.bench_function(BenchmarkId::from_parameter(open_pools), |bencher| {
            bencher.iter(|| {
                step += 1;
                let key = keys[step % open_pools];
                if let Some(delegated) = pools.delegate(key) {
                    let tokens = delegated.tokens();
                    pools.take_back(key, delegated, tokens);
                }
            });
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("retry/caller-resend");
    for callers in [100_u64, 10_000, 1_000_000] {
        let mut ratio = CallerRetryRatio::new(16_384, 1);
        let mut step = 0;
        group.bench_function(BenchmarkId::from_parameter(callers), |bencher| {
            bencher.iter(|| {
                step += 1;
                ratio.count_first(step % callers, step);
                ratio.try_resend(step % callers, 10, step)
            });
        });
    }
    group.finish();
}

criterion_group!(decisions, gates, queues, levels, paths, retries);
criterion_main!(decisions);
