//! Time of single policy decisions by the size of their state.

use {
    crate::slopes::{Series, Slopes},
    async_std::task::block_on,
    async_trait::async_trait,
    parking_lot::Mutex,
    shallotdeal::{
        policy::{
            bind::{BindKey, BindLimits, Binder, CallerAttempt},
            dedup::{DedupDecision, DedupLimits, DedupTable},
            gate::{Action, Arrival, Finish, Gate, GateDecision},
            paths::PathLevels,
            retry::{DelegationShare, TokenPools},
            shed::GateRules,
            suspect::{BlameState, CrashRecord, CrashSuspects, Fingerprint, SuspectLimits},
            ticket::Ticket,
        },
        request::{Importance, Incarnation, Level, Rank, ServiceName},
        store::{Entry, LeaseId, Store, StoreError, Swap, Version},
    },
    std::{
        hint::black_box,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Deadline that no request reaches.
const FAR_DEADLINE_US: u64 = 1 << 50;
const TICKET_TTL_MS: u64 = 60_000;
/// Decisions in one timing.
const DECISIONS_PER_TIMING: u64 = 20_000;
/// Number of timings. The fastest one counts, as it was disturbed least by other processes.
const TIMINGS: usize = 7;

/// Returns the time of one decision in nanoseconds, from the fastest of several timings.
pub fn time_ns(mut decide: impl FnMut(u64)) -> f64 {
    let mut step = 0;
    let mut fastest = Duration::MAX;
    for _ in 0..TIMINGS {
        let start = Instant::now();
        for _ in 0..DECISIONS_PER_TIMING {
            step += 1;
            decide(step);
        }
        fastest = fastest.min(start.elapsed());
    }
    fastest.as_nanos() as f64 / DECISIONS_PER_TIMING as f64
}

/// Measures the decisions of one daemon.
pub fn measure(slopes: &mut Slopes) {
    let mut add = |name, along, sizes: &[u64], of: fn(u64) -> f64| {
        let points = sizes.iter().map(|size| (*size as f64, of(*size)));
        slopes.add(name, Series::new(along, "ns", points.collect()));
    };
    add("gate", "requests in flight", &[20, 200, 2_000], gate_ns);
    add("paths", "services", &[4, 40, 160, 320], path_levels_ns);
    add(
        "once",
        "run-once records",
        &[1_000, 10_000, 90_000],
        dedup_ns,
    );
    add(
        "suspects",
        "quarantine entries",
        &[16, 256, 4_096],
        crash_suspects_ns,
    );
    add(
        "accounts",
        "requests in flight",
        &[10, 1_000, 100_000],
        token_pools_ns,
    );
    add("binder", "bindings before", &[0, 1_000, 10_000], binder_ns);
}

fn rank(step: u64) -> Rank {
    Rank::from_parts(Importance((step % 4) as u8), (step * 37) as u8)
}

fn gate_ns(in_flight: u64) -> f64 {
    let mut gate = Gate::new(GateRules::new(50), 1);
    gate.announce(in_flight as u32, 0);
    let mut actions: Vec<Action> = Vec::new();
    let mut running = Vec::new();
    let arrival = |step| Arrival {
        rank: rank(step),
        deadline_us: FAR_DEADLINE_US,
        exclusive: false,
    };
    let mut step = 0;
    // Each good answer raises the concurrency limit, until as many requests are in flight as
    // wanted.
    while running.len() < in_flight as usize {
        step += 1;
        match gate.offer(arrival(step), 1, &mut actions) {
            GateDecision::Started(key) => running.push(key),
            GateDecision::Queued(key) => gate.cancel(key, 1, &mut actions),
            GateDecision::Refused(_) => {}
        }
        if gate.in_flight() == gate.report(1).limit as usize && running.len() < in_flight as usize {
            let key = running.swap_remove(0);
            gate.finish(key, Finish::Done, 1, &mut actions);
        }
        actions.clear();
    }
    time_ns(|step| {
        if let Some(key) = running.pop() {
            gate.finish(key, Finish::Cancelled, 2, &mut actions);
        }
        if let GateDecision::Started(key) = gate.offer(arrival(step), 2, &mut actions) {
            running.push(key);
        }
        actions.clear();
    })
}

fn path_levels_ns(services: u64) -> f64 {
    let names: Vec<ServiceName> = (0..services)
        .map(|index| format!("service-{index}").into())
        .collect();
    let mut paths = PathLevels::default();
    for name in &names {
        for worker in 0..8 {
            paths.observe(name, Importance(1), Incarnation(worker), Level(300), 0);
        }
    }
    time_ns(|step| {
        let name = &names[(step % services) as usize];
        let _ = black_box(paths.admit(name, rank(step), 1));
        let worker = Incarnation(step % 8);
        paths.observe(name, Importance(1), worker, Level(300), 1);
    })
}

/// Creates the ticket of a request.
pub(super) fn ticket(serial: u64, now_unix_ms: u64) -> Ticket {
    Ticket {
        call_addr: ([10, 0, 0, 1], 7_001).into(),
        incarnation: Incarnation(1),
        serial,
        service: "order-desk".into(),
        minted_unix_ms: now_unix_ms,
        expires_unix_ms: now_unix_ms + TICKET_TTL_MS,
    }
}

/// Creates a table with this many finished records, each with an answer of `answer_bytes`.
pub(super) fn dedup_table_with(records: u64, answer_bytes: usize) -> DedupTable<Vec<u8>> {
    let limits = DedupLimits {
        max_entries: 1 << 20,
        max_answer_bytes: 1 << 30,
        ..DedupLimits::default()
    };
    let mut once = DedupTable::new(limits);
    for serial in 0..records {
        run_once(&mut once, serial, answer_bytes);
    }
    once
}

fn run_once(once: &mut DedupTable<Vec<u8>>, serial: u64, answer_bytes: usize) {
    let ticket = ticket(serial, 0);
    if let DedupDecision::Run(key) = once.admit(&ticket, Fingerprint(serial), Incarnation(1), 1) {
        let _ = once.start(key);
        once.finish(key, Arc::new(vec![0; answer_bytes]), answer_bytes);
    }
}

fn dedup_ns(records: u64) -> f64 {
    let mut once = dedup_table_with(records, 100);
    time_ns(|step| run_once(&mut once, records + step, 100))
}

/// Creates crash suspects with this many crash records, each of a different request.
pub(super) fn crash_suspects_with(entries: u64) -> CrashSuspects {
    let limits = SuspectLimits {
        max_entries: 1 << 20,
        ..SuspectLimits::default()
    };
    let mut suspects = CrashSuspects::new(limits);
    suspects.merge((0..entries).map(|entry| CrashRecord {
        fingerprint: Fingerprint(entry.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        incarnation: Incarnation(entry),
        service: "pantry-ledger".into(),
        at_unix_ms: 0,
        state: BlameState::Blamed,
    }));
    suspects
}

fn crash_suspects_ns(entries: u64) -> f64 {
    let suspects = crash_suspects_with(entries);
    time_ns(|step| {
        let fingerprint = Fingerprint((step % entries).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        black_box(suspects.verdict(fingerprint, 1));
    })
}

fn token_pools_ns(open: u64) -> f64 {
    let mut token_pools = TokenPools::new(DelegationShare::HalfUp);
    let keys: Vec<_> = (0..open).map(|_| token_pools.open(3)).collect();
    time_ns(|step| {
        let key = keys[(step % open) as usize];
        if let Some(loan) = token_pools.delegate(key) {
            let tokens = loan.tokens();
            token_pools.take_back(key, loan, tokens);
        }
    })
}

fn binder_ns(before: u64) -> f64 {
    let binder = Binder::new(BindLimits {
        calls_per_min: u32::MAX,
        burst: u32::MAX,
        ..BindLimits::default()
    });
    let store = ImmediateStore(Mutex::new(0));
    let mut bind = |step: u64| {
        let Ok(key) = BindKey::new("order-desk", &format!("key-{step}")) else {
            return;
        };
        let attempt = CallerAttempt {
            is_first: true,
            first_sent_unix_ms: Some(1),
        };
        let ticket = ticket(step, 1);
        let binding = binder.bind(&store, &key, &ticket, attempt, 1, 1);
        black_box(block_on(binding)).ok();
    };
    (0..before).for_each(&mut bind);
    time_ns(bind)
}

/// Store that applies every write immediately and keeps no data.
struct ImmediateStore(Mutex<u64>);

impl ImmediateStore {
    fn next_version(&self) -> Version {
        let mut version = self.0.lock();
        *version += 1;
        Version(*version)
    }
}

#[async_trait]
impl Store for ImmediateStore {
    async fn get(&self, _: &str) -> Result<Option<Entry>, StoreError> {
        Ok(None)
    }

    async fn list(&self, _: &str) -> Result<Vec<Entry>, StoreError> {
        Ok(Vec::new())
    }

    async fn swap(
        &self,
        _: &str,
        _: Version,
        _: Vec<u8>,
        _: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        Ok(Swap::Applied(self.next_version()))
    }

    async fn remove(&self, _: &str, _: Version) -> Result<Swap, StoreError> {
        Ok(Swap::Applied(self.next_version()))
    }

    async fn watch(&self, _: &str, _: Version, _: u32) -> Result<Option<Entry>, StoreError> {
        Ok(None)
    }

    async fn grant(&self, _: u32) -> Result<LeaseId, StoreError> {
        Ok(LeaseId(1))
    }

    async fn renew(&self, _: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}
