//! Requests that crash their workers, and the other requests in flight at those workers.
//!
//! A caller that resends such a request would crash one worker after another. The requests in flight
//! beside it are suspected as well, and must not end up quarantined.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::{
            isolation::{IsolationLimits, IsolationQueue},
            suspect::{
                BlameState, CrashRecord, CrashSuspects, Fingerprint, SuspectLimits, SuspectVerdict,
            },
        },
        request::Incarnation,
    },
    std::fmt::Write,
};

const CRASHER: Fingerprint = Fingerprint(0);

fn record(fingerprint: u64, incarnation: u64, at_unix_ms: u64, state: BlameState) -> CrashRecord {
    CrashRecord {
        fingerprint: Fingerprint(fingerprint),
        incarnation: Incarnation(incarnation),
        service: "pantry-ledger".into(),
        at_unix_ms,
        state,
    }
}

fn records() -> impl Strategy<Value = Vec<CrashRecord>> {
    let state = prop::sample::select(vec![
        BlameState::Blamed,
        BlameState::Cleared,
        BlameState::Lifted,
    ]);
    let one =
        (0..4_u64, 0..3_u64, 0..50_u64, state).prop_map(|(fingerprint, incarnation, at, state)| {
            record(fingerprint, incarnation, at, state)
        });
    prop::collection::vec(one, 0..20)
}

fn merged(parts: &[&Vec<CrashRecord>]) -> Vec<CrashRecord> {
    let mut suspects = CrashSuspects::new(SuspectLimits::default());
    for part in parts {
        suspects.merge(part.iter().cloned());
    }
    suspects.records().collect()
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn merge_is_commutative_associative_and_idempotent(a in records(), b in records(), c in records()) {
        let all = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &b, &a]), &all);
        prop_assert_eq!(&merged(&[&merged(&[&a, &b]), &c, &a]), &all);
        prop_assert_eq!(&merged(&[&a, &merged(&[&b, &c])]), &all);
    }

    #[test]
    fn digests_transfer_all_records(a in records(), max in 1..8_usize) {
        let mut from = CrashSuspects::new(SuspectLimits::default());
        from.merge(a.iter().cloned());
        let mut other = CrashSuspects::new(SuspectLimits::default());
        while !from.digest(max).is_empty() && !from.digest(0).is_empty() {}
        for _ in 0..20 {
            let digest = from.digest(max);
            prop_assert!(digest.len() <= max);
            other.merge(digest);
        }
        prop_assert_eq!(other.records().collect::<Vec<_>>(), from.records().collect::<Vec<_>>());
    }
}

#[test]
fn second_crash_quarantines_and_a_lift_clears_earlier_crashes() {
    let mut suspects = CrashSuspects::new(SuspectLimits::default());
    let mut other = CrashSuspects::new(SuspectLimits::default());
    let crash = |suspects: &mut CrashSuspects, incarnation, now_unix_ms| {
        let in_flight = [(CRASHER, "gates".into())];
        suspects.record_crash(Incarnation(incarnation), in_flight, now_unix_ms);
        suspects.verdict(CRASHER, now_unix_ms)
    };
    assert_eq!(suspects.verdict(CRASHER, 0), SuspectVerdict::Run);
    assert_eq!(crash(&mut suspects, 1, 10), SuspectVerdict::RunAlone);
    assert_eq!(crash(&mut suspects, 1, 11), SuspectVerdict::RunAlone);
    assert_eq!(crash(&mut suspects, 2, 20), SuspectVerdict::Quarantined);
    other.merge(suspects.digest(10));
    assert!(suspects.lift(CRASHER));
    assert_eq!(suspects.verdict(CRASHER, 30), SuspectVerdict::Run);
    suspects.merge(other.digest(10));
    assert_eq!(suspects.verdict(CRASHER, 30), SuspectVerdict::Run);
    assert_eq!(crash(&mut suspects, 3, 40), SuspectVerdict::RunAlone);
    other.merge(suspects.digest(10));
    assert_eq!(other.verdict(CRASHER, 40), SuspectVerdict::RunAlone);
    assert_eq!(crash(&mut other, 4, 50), SuspectVerdict::Quarantined);
    assert_eq!(other.list(50).len(), 1);
}

#[test]
fn quarantined_requests_are_kept_when_the_limit_is_reached() {
    let limits = SuspectLimits {
        max_entries: 10,
        ..SuspectLimits::default()
    };
    let mut suspects = CrashSuspects::new(limits);
    suspects.merge([1, 2].map(|incarnation| record(0, incarnation, 0, BlameState::Blamed)));
    suspects.merge((1..100).map(|number| record(number, 3, number, BlameState::Blamed)));
    suspects.merge((200..300).map(|number| record(number, 3, number, BlameState::Cleared)));
    assert_eq!(suspects.report().entries, 10);
    assert_eq!(suspects.verdict(CRASHER, 300), SuspectVerdict::Quarantined);
}

#[test]
fn suspicion_and_quarantine_expire() {
    let limits = SuspectLimits::default();
    let (suspicion_ms, quarantine_ms) = (
        u64::from(limits.suspicion_ms),
        u64::from(limits.quarantine_ms),
    );
    let mut suspects = CrashSuspects::new(limits);
    suspects.merge([record(0, 1, 0, BlameState::Blamed)]);
    assert_eq!(
        suspects.verdict(CRASHER, suspicion_ms - 1),
        SuspectVerdict::RunAlone
    );
    assert_eq!(suspects.verdict(CRASHER, suspicion_ms), SuspectVerdict::Run);
    suspects.merge([record(0, 2, suspicion_ms, BlameState::Blamed)]);
    let expired_ms = suspicion_ms + quarantine_ms;
    assert_eq!(
        suspects.verdict(CRASHER, expired_ms - 1),
        SuspectVerdict::Quarantined
    );
    assert_eq!(suspects.verdict(CRASHER, expired_ms), SuspectVerdict::Run);
    suspects.sweep(expired_ms);
    assert_eq!(suspects.report().entries, 0);
}

#[test]
fn worker_with_long_requests_opens_again_without_an_isolated_run() {
    let mut isolation = IsolationQueue::new(IsolationLimits::default());
    assert!(isolation.push(1, false) && isolation.push(2, true));
    assert_eq!(isolation.start_next(5, 0), None);
    assert!(!isolation.is_open());
    assert_eq!(isolation.start_next(5, 200_000), None);
    assert!(isolation.is_open());
    assert_eq!(isolation.start_next(5, 799_999), None);
    assert!(isolation.is_open());
    assert_eq!(isolation.start_next(0, 800_000), Some(2));
    assert!(!isolation.is_open());
    assert!(isolation.push(3, false));
    isolation.finish(900_000);
    assert_eq!(isolation.start_next(0, 900_000), Some(1));
    isolation.finish(1_000_000);
    assert!(isolation.is_open());
    assert_eq!(isolation.start_next(0, 1_599_999), None);
    isolation.cancel(3);
    assert_eq!(isolation.start_next(0, 1_600_000), None);
    assert!(isolation.is_open());
}

const SLOTS: usize = 120;
const WORKERS: usize = 4;
const SERVICE_MS: u64 = 30;
const RESTART_MS: u64 = 1_000;
const END_MS: u64 = 6_000;
const CRASHER_BACKOFF_MS: u64 = 50;
const DEADLINE_MS: u64 = 3_000;

#[derive(Debug, Clone, Copy)]
struct Job {
    fingerprint: Fingerprint,
    arrived_ms: u64,
    ends_ms: u64,
    verdict: SuspectVerdict,
    is_retry: bool,
    is_queued: bool,
}

struct SimulatedWorker {
    suspects: CrashSuspects,
    isolation: IsolationQueue<u64>,
    incarnation: Incarnation,
    up_from_ms: u64,
    running: Vec<Job>,
    queue: Vec<Job>,
}

#[derive(Debug, Default)]
struct Tally {
    crashes: u32,
    /// Other requests in flight at crashes.
    neighbours_hit: u32,
    done: u64,
    late: u64,
    quarantined_neighbours: usize,
    last_suspect_ms: u64,
}

/// Simulates four workers at a quarter of their capacity. One caller resends a request that crashes
/// its worker, to any of them. Crash records reach all daemons every `gossip_ms`. The callers of
/// the requests in flight at a crash are answered `hold_ms` after it, and resend them.
fn simulate(gossip_ms: u64, hold_ms: u64, share_percent: u8, seed: u64) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limits = IsolationLimits {
        share_percent,
        ..IsolationLimits::default()
    };
    let mut workers: Vec<SimulatedWorker> = (0..WORKERS)
        .map(|index| SimulatedWorker {
            suspects: CrashSuspects::new(SuspectLimits::default()),
            isolation: IsolationQueue::new(limits),
            incarnation: Incarnation(index as u64),
            up_from_ms: 0,
            running: Vec::new(),
            queue: Vec::new(),
        })
        .collect();
    let mut tally = Tally::default();
    let mut pending: Vec<(u64, Job)> = Vec::new();
    let mut serial = 1;
    pending.push((1_000, job(CRASHER, 1_000, false)));
    for now_ms in 0..END_MS {
        for _ in 0..WORKERS * SLOTS / 4 / SERVICE_MS as usize {
            pending.push((now_ms, job(Fingerprint(serial), now_ms, false)));
            serial += 1;
        }
        let (due, later) = pending.iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        pending = later;
        let due: Vec<(u64, Job)> = due;
        for (_, job) in due {
            route(&mut workers, job, now_ms, &mut rng);
        }
        for worker in &mut workers {
            worker.step(now_ms, hold_ms, &mut tally, &mut pending);
        }
        if now_ms % gossip_ms == 0 {
            let digests: Vec<Vec<CrashRecord>> = workers
                .iter_mut()
                .map(|worker| worker.suspects.digest(1_000))
                .collect();
            for worker in &mut workers {
                worker.suspects.merge(digests.iter().flatten().cloned());
            }
        }
    }
    let quarantined = |worker: &SimulatedWorker| {
        let rows = worker.suspects.list(END_MS).into_iter();
        rows.filter(|row| row.fingerprint != CRASHER && row.verdict == SuspectVerdict::Quarantined)
            .count()
    };
    tally.quarantined_neighbours = workers.iter().map(quarantined).max().unwrap_or(0);
    tally
}

fn job(fingerprint: Fingerprint, arrived_ms: u64, is_retry: bool) -> Job {
    Job {
        fingerprint,
        arrived_ms,
        ends_ms: 0,
        verdict: SuspectVerdict::Run,
        is_retry,
        is_queued: false,
    }
}

/// Sends a job through a random ingress to a worker that is up; the ingress adds its own verdict.
fn route(workers: &mut [SimulatedWorker], mut job: Job, now_ms: u64, rng: &mut ChaCha8Rng) {
    let ingress = rng.random_range(0..WORKERS);
    let verdict = workers[ingress].suspects.verdict(job.fingerprint, now_ms);
    job.verdict = job.verdict.max(verdict);
    let start = rng.random_range(0..WORKERS);
    let is_up = |index: &usize| workers[*index].up_from_ms <= now_ms;
    let picked = (start..start + WORKERS)
        .map(|index| index % WORKERS)
        .find(is_up);
    if let Some(index) = picked {
        workers[index].queue.push(job);
    }
}

impl SimulatedWorker {
    fn step(
        &mut self,
        now_ms: u64,
        hold_ms: u64,
        tally: &mut Tally,
        pending: &mut Vec<(u64, Job)>,
    ) {
        if now_ms < self.up_from_ms {
            return;
        }
        self.finish_jobs(now_ms, tally);
        self.start_jobs(now_ms, tally, pending);
        // The crashing request crashes its worker 5 ms after its start.
        let has_crashed = |job: &Job| job.fingerprint == CRASHER && job.ends_ms <= now_ms + 25;
        if self.running.iter().any(has_crashed) {
            self.crash(now_ms, hold_ms, tally, pending);
        }
    }

    fn finish_jobs(&mut self, now_ms: u64, tally: &mut Tally) {
        let is_ended = |job: &Job| job.ends_ms <= now_ms && job.fingerprint != CRASHER;
        for job in self.running.extract_if(.., |job| is_ended(job)) {
            tally.done += 1;
            tally.late += u64::from(now_ms - job.arrived_ms > 1_000);
            if job.verdict == SuspectVerdict::RunAlone {
                self.suspects.clear(job.fingerprint);
                self.isolation.finish(now_ms * 1_000);
                tally.last_suspect_ms = now_ms;
            }
        }
    }

    fn start_jobs(&mut self, now_ms: u64, tally: &mut Tally, pending: &mut Vec<(u64, Job)>) {
        for job in &mut self.queue {
            job.verdict = job
                .verdict
                .max(self.suspects.verdict(job.fingerprint, now_ms));
            if job.verdict == SuspectVerdict::RunAlone && !job.is_queued {
                job.is_queued = self.isolation.push(job.fingerprint.0, job.is_retry);
            }
        }
        let mut rest = Vec::new();
        for job in std::mem::take(&mut self.queue) {
            match job.verdict {
                SuspectVerdict::Quarantined if job.fingerprint == CRASHER => {
                    pending.push((now_ms + CRASHER_BACKOFF_MS, resent_job(job, now_ms)));
                }
                SuspectVerdict::Quarantined => tally.late += 1,
                SuspectVerdict::Run if self.isolation.is_open() && self.running.len() < SLOTS => {
                    self.start(job, now_ms);
                }
                _ if now_ms - job.arrived_ms > DEADLINE_MS => {
                    self.isolation.cancel(job.fingerprint.0);
                    tally.late += 1;
                }
                _ => rest.push(job),
            }
        }
        self.queue = rest;
        self.start_suspect(now_ms);
    }

    fn start_suspect(&mut self, now_ms: u64) {
        let in_flight = self.running.len() as u32;
        if let Some(key) = self.isolation.start_next(in_flight, now_ms * 1_000)
            && let Some(at) = self.queue.iter().position(|job| job.fingerprint.0 == key)
        {
            let job = self.queue.remove(at);
            self.start(job, now_ms);
        }
    }

    fn start(&mut self, mut job: Job, now_ms: u64) {
        job.ends_ms = now_ms + SERVICE_MS;
        self.running.push(job);
    }

    fn crash(
        &mut self,
        now_ms: u64,
        hold_ms: u64,
        tally: &mut Tally,
        pending: &mut Vec<(u64, Job)>,
    ) {
        tally.crashes += 1;
        tally.neighbours_hit += self.running.len() as u32 - 1;
        let in_flight = self
            .running
            .iter()
            .map(|job| (job.fingerprint, "gates".into()));
        self.suspects
            .record_crash(self.incarnation, in_flight, now_ms);
        self.incarnation = Incarnation(self.incarnation.0 + 100);
        self.up_from_ms = now_ms + RESTART_MS;
        self.isolation.finish(now_ms * 1_000);
        for mut job in self.running.drain(..) {
            let is_crasher = job.fingerprint == CRASHER;
            let again_ms = now_ms + hold_ms + if is_crasher { CRASHER_BACKOFF_MS } else { 0 };
            job.verdict = if is_crasher {
                SuspectVerdict::Run
            } else {
                SuspectVerdict::RunAlone
            };
            job.is_retry = true;
            job.is_queued = false;
            pending.push((again_ms, job));
        }
        for mut job in self.queue.drain(..) {
            self.isolation.cancel(job.fingerprint.0);
            job.is_queued = false;
            pending.push((now_ms + 1, job));
        }
    }
}

fn resent_job(job: Job, now_ms: u64) -> Job {
    Job {
        arrived_ms: now_ms,
        verdict: SuspectVerdict::Run,
        is_queued: false,
        ..job
    }
}

#[test]
fn crashing_request_is_quarantined_and_its_neighbours_are_cleared() {
    let mut table = String::new();
    for (gossip_ms, hold_ms, share_percent) in [
        (5, 10, 10),
        (5, 10, 25),
        (5, 10, 50),
        (200, 10, 25),
        (1_000, 10, 25),
        (1_000, 1_000, 25),
    ] {
        let mut worst = Tally::default();
        for seed in 0..2 {
            let tally = simulate(gossip_ms, hold_ms, share_percent, seed);
            worst.crashes = worst.crashes.max(tally.crashes);
            worst.neighbours_hit = worst.neighbours_hit.max(tally.neighbours_hit);
            worst.late = worst.late.max(tally.late);
            worst.last_suspect_ms = worst.last_suspect_ms.max(tally.last_suspect_ms);
            worst.quarantined_neighbours = worst
                .quarantined_neighbours
                .max(tally.quarantined_neighbours);
            if gossip_ms <= hold_ms + CRASHER_BACKOFF_MS {
                assert!(tally.crashes <= 2, "{tally:?}");
                assert_eq!(tally.quarantined_neighbours, 0, "{tally:?}");
            }
        }
        let _ = writeln!(
            table,
            "gossip {gossip_ms} ms, answer held {hold_ms} ms, share {share_percent}%: \
             crashes {}, neighbours hit {}, neighbours quarantined {}, late {}, last suspect done at {} ms",
            worst.crashes,
            worst.neighbours_hit,
            worst.quarantined_neighbours,
            worst.late,
            worst.last_suspect_ms,
        );
    }
    insta::assert_snapshot!(table, @"
    gossip 5 ms, answer held 10 ms, share 10%: crashes 1, neighbours hit 35, neighbours quarantined 0, late 18, last suspect done at 3325 ms
    gossip 5 ms, answer held 10 ms, share 25%: crashes 2, neighbours hit 35, neighbours quarantined 0, late 9, last suspect done at 2901 ms
    gossip 5 ms, answer held 10 ms, share 50%: crashes 2, neighbours hit 35, neighbours quarantined 0, late 3, last suspect done at 2064 ms
    gossip 200 ms, answer held 10 ms, share 25%: crashes 3, neighbours hit 35, neighbours quarantined 0, late 9, last suspect done at 2901 ms
    gossip 1000 ms, answer held 10 ms, share 25%: crashes 4, neighbours hit 154, neighbours quarantined 0, late 129, last suspect done at 3742 ms
    gossip 1000 ms, answer held 1000 ms, share 25%: crashes 2, neighbours hit 35, neighbours quarantined 0, late 35, last suspect done at 2995 ms
    ");
}
