//! Requests that kill their workers, and the innocent ones beside them.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::{
            alone::{AloneLimits, Turns},
            suspect::{Death, Fingerprint, Mark, SuspectLimits, SuspectVerdict, Suspects},
        },
        request::Incarnation,
    },
    std::fmt::Write,
};

const KILLER: Fingerprint = Fingerprint(0);

fn death(fingerprint: u64, incarnation: u64, at_unix_ms: u64, mark: Mark) -> Death {
    Death {
        fingerprint: Fingerprint(fingerprint),
        incarnation: Incarnation(incarnation),
        service: "pantry-ledger".into(),
        at_unix_ms,
        mark,
    }
}

fn deaths() -> impl Strategy<Value = Vec<Death>> {
    let mark = prop::sample::select(vec![Mark::Blamed, Mark::Cleared, Mark::Lifted]);
    let one = (0..4_u64, 0..3_u64, 0..50_u64, mark)
        .prop_map(|(fingerprint, incarnation, at, mark)| death(fingerprint, incarnation, at, mark));
    prop::collection::vec(one, 0..20)
}

fn merged(parts: &[&Vec<Death>]) -> Vec<Death> {
    let mut suspects = Suspects::new(SuspectLimits::default());
    for part in parts {
        suspects.merge(part.iter().cloned());
    }
    suspects.deaths().collect()
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn merge_is_a_join(a in deaths(), b in deaths(), c in deaths()) {
        let all = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &b, &a]), &all);
        prop_assert_eq!(&merged(&[&merged(&[&a, &b]), &c, &a]), &all);
        prop_assert_eq!(&merged(&[&a, &merged(&[&b, &c])]), &all);
    }

    #[test]
    fn digests_carry_everything_over(a in deaths(), max in 1..8_usize) {
        let mut from = Suspects::new(SuspectLimits::default());
        from.merge(a.iter().cloned());
        let mut late = Suspects::new(SuspectLimits::default());
        while !from.digest(max).is_empty() && !from.digest(0).is_empty() {}
        for _ in 0..20 {
            let digest = from.digest(max);
            prop_assert!(digest.len() <= max);
            late.merge(digest);
        }
        prop_assert_eq!(late.deaths().collect::<Vec<_>>(), from.deaths().collect::<Vec<_>>());
    }
}

#[test]
fn second_death_quarantines_and_a_lift_starts_afresh() {
    let mut suspects = Suspects::new(SuspectLimits::default());
    let mut late = Suspects::new(SuspectLimits::default());
    let blame = |suspects: &mut Suspects, incarnation, now_unix_ms| {
        let in_flight = [(KILLER, "gates".into())];
        suspects.blame(Incarnation(incarnation), in_flight, now_unix_ms);
        suspects.verdict(KILLER, now_unix_ms)
    };
    assert_eq!(suspects.verdict(KILLER, 0), SuspectVerdict::Run);
    assert_eq!(blame(&mut suspects, 1, 10), SuspectVerdict::RunAlone);
    assert_eq!(blame(&mut suspects, 1, 11), SuspectVerdict::RunAlone);
    assert_eq!(blame(&mut suspects, 2, 20), SuspectVerdict::Quarantined);
    late.merge(suspects.digest(10));
    assert!(suspects.lift(KILLER));
    assert_eq!(suspects.verdict(KILLER, 30), SuspectVerdict::Run);
    suspects.merge(late.digest(10));
    assert_eq!(suspects.verdict(KILLER, 30), SuspectVerdict::Run);
    assert_eq!(blame(&mut suspects, 3, 40), SuspectVerdict::RunAlone);
    late.merge(suspects.digest(10));
    assert_eq!(late.verdict(KILLER, 40), SuspectVerdict::RunAlone);
    assert_eq!(blame(&mut late, 4, 50), SuspectVerdict::Quarantined);
    assert_eq!(late.list(50).len(), 1);
}

#[test]
fn full_memory_keeps_the_quarantined() {
    let limits = SuspectLimits {
        max_entries: 10,
        ..SuspectLimits::default()
    };
    let mut suspects = Suspects::new(limits);
    suspects.merge([1, 2].map(|life| death(0, life, 0, Mark::Blamed)));
    suspects.merge((1..100).map(|other| death(other, 3, other, Mark::Blamed)));
    suspects.merge((200..300).map(|other| death(other, 3, other, Mark::Cleared)));
    assert_eq!(suspects.report().entries, 10);
    assert_eq!(suspects.verdict(KILLER, 300), SuspectVerdict::Quarantined);
}

#[test]
fn suspicion_ends_with_time() {
    let limits = SuspectLimits::default();
    let (suspicion_ms, quarantine_ms) = (
        u64::from(limits.suspicion_ms),
        u64::from(limits.quarantine_ms),
    );
    let mut suspects = Suspects::new(limits);
    suspects.merge([death(0, 1, 0, Mark::Blamed)]);
    assert_eq!(
        suspects.verdict(KILLER, suspicion_ms - 1),
        SuspectVerdict::RunAlone
    );
    assert_eq!(suspects.verdict(KILLER, suspicion_ms), SuspectVerdict::Run);
    suspects.merge([death(0, 2, suspicion_ms, Mark::Blamed)]);
    let over_ms = suspicion_ms + quarantine_ms;
    assert_eq!(
        suspects.verdict(KILLER, over_ms - 1),
        SuspectVerdict::Quarantined
    );
    assert_eq!(suspects.verdict(KILLER, over_ms), SuspectVerdict::Run);
    suspects.sweep(over_ms);
    assert_eq!(suspects.report().entries, 0);
}

#[test]
fn worker_with_long_requests_opens_again_without_a_turn() {
    let mut turns = Turns::new(AloneLimits::default());
    assert!(turns.queue(1, false) && turns.queue(2, true));
    assert_eq!(turns.next(5, 0), None);
    assert!(!turns.is_open());
    assert_eq!(turns.next(5, 200_000), None);
    assert!(turns.is_open());
    assert_eq!(turns.next(5, 799_999), None);
    assert!(turns.is_open());
    assert_eq!(turns.next(0, 800_000), Some(2));
    assert!(!turns.is_open());
    assert!(turns.queue(3, false));
    turns.end(900_000);
    assert_eq!(turns.next(0, 900_000), Some(1));
    turns.end(1_000_000);
    assert!(turns.is_open());
    assert_eq!(turns.next(0, 1_599_999), None);
    turns.cancel(3);
    assert_eq!(turns.next(0, 1_600_000), None);
    assert!(turns.is_open());
}

const SLOTS: usize = 120;
const WORKERS: usize = 4;
const SERVICE_MS: u64 = 30;
const RESTART_MS: u64 = 1_000;
const END_MS: u64 = 6_000;
const KILLER_BACKOFF_MS: u64 = 50;
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

struct Worker {
    suspects: Suspects,
    turns: Turns<u64>,
    incarnation: Incarnation,
    up_from_ms: u64,
    running: Vec<Job>,
    queue: Vec<Job>,
}

#[derive(Debug, Default)]
struct Bench {
    deaths: u32,
    hit: u32,
    done: u64,
    late: u64,
    quarantined_innocents: usize,
    last_suspect_ms: u64,
}

/// Four workers at a quarter of their load; one caller resends a killer to any of them; deaths are spread to all
/// daemons each `gossip_ms`, and the killed requests' callers are answered `hold_ms` after a death.
fn bench(gossip_ms: u64, hold_ms: u64, share_percent: u8, seed: u64) -> Bench {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limits = AloneLimits {
        share_percent,
        ..AloneLimits::default()
    };
    let mut workers: Vec<Worker> = (0..WORKERS)
        .map(|index| Worker {
            suspects: Suspects::new(SuspectLimits::default()),
            turns: Turns::new(limits),
            incarnation: Incarnation(index as u64),
            up_from_ms: 0,
            running: Vec::new(),
            queue: Vec::new(),
        })
        .collect();
    let mut bench = Bench::default();
    let mut pending: Vec<(u64, Job)> = Vec::new();
    let mut serial = 1;
    pending.push((1_000, job(KILLER, 1_000, false)));
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
            worker.step(now_ms, hold_ms, &mut bench, &mut pending);
        }
        if now_ms % gossip_ms == 0 {
            let digests: Vec<Vec<Death>> = workers
                .iter_mut()
                .map(|worker| worker.suspects.digest(1_000))
                .collect();
            for worker in &mut workers {
                worker.suspects.merge(digests.iter().flatten().cloned());
            }
        }
    }
    let quarantined = |worker: &Worker| {
        let rows = worker.suspects.list(END_MS).into_iter();
        rows.filter(|row| row.fingerprint != KILLER && row.verdict == SuspectVerdict::Quarantined)
            .count()
    };
    bench.quarantined_innocents = workers.iter().map(quarantined).max().unwrap_or(0);
    bench
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

/// A random ingress picks a worker that is up; its verdict goes along.
fn route(workers: &mut [Worker], mut job: Job, now_ms: u64, rng: &mut ChaCha8Rng) {
    let ingress = rng.random_range(0..WORKERS);
    let known = workers[ingress].suspects.verdict(job.fingerprint, now_ms);
    job.verdict = job.verdict.max(known);
    let start = rng.random_range(0..WORKERS);
    let is_up = |index: &usize| workers[*index].up_from_ms <= now_ms;
    let picked = (start..start + WORKERS)
        .map(|index| index % WORKERS)
        .find(is_up);
    if let Some(index) = picked {
        workers[index].queue.push(job);
    }
}

impl Worker {
    fn step(
        &mut self,
        now_ms: u64,
        hold_ms: u64,
        bench: &mut Bench,
        pending: &mut Vec<(u64, Job)>,
    ) {
        if now_ms < self.up_from_ms {
            return;
        }
        self.end(now_ms, bench);
        self.take(now_ms, bench, pending);
        let is_killed = |job: &Job| job.fingerprint == KILLER && job.ends_ms <= now_ms + 25;
        if self.running.iter().any(is_killed) {
            self.die(now_ms, hold_ms, bench, pending);
        }
    }

    fn end(&mut self, now_ms: u64, bench: &mut Bench) {
        let is_ended = |job: &Job| job.ends_ms <= now_ms && job.fingerprint != KILLER;
        for job in self.running.extract_if(.., |job| is_ended(job)) {
            bench.done += 1;
            bench.late += u64::from(now_ms - job.arrived_ms > 1_000);
            if job.verdict == SuspectVerdict::RunAlone {
                self.suspects.clear(job.fingerprint);
                self.turns.end(now_ms * 1_000);
                bench.last_suspect_ms = now_ms;
            }
        }
    }

    fn take(&mut self, now_ms: u64, bench: &mut Bench, pending: &mut Vec<(u64, Job)>) {
        for job in &mut self.queue {
            job.verdict = job
                .verdict
                .max(self.suspects.verdict(job.fingerprint, now_ms));
            if job.verdict == SuspectVerdict::RunAlone && !job.is_queued {
                job.is_queued = self.turns.queue(job.fingerprint.0, job.is_retry);
            }
        }
        let mut rest = Vec::new();
        for job in std::mem::take(&mut self.queue) {
            match job.verdict {
                SuspectVerdict::Quarantined if job.fingerprint == KILLER => {
                    pending.push((now_ms + KILLER_BACKOFF_MS, job_again(job, now_ms)));
                }
                SuspectVerdict::Quarantined => bench.late += 1,
                SuspectVerdict::Run if self.turns.is_open() && self.running.len() < SLOTS => {
                    self.start(job, now_ms);
                }
                _ if now_ms - job.arrived_ms > DEADLINE_MS => {
                    self.turns.cancel(job.fingerprint.0);
                    bench.late += 1;
                }
                _ => rest.push(job),
            }
        }
        self.queue = rest;
        self.turn(now_ms);
    }

    fn turn(&mut self, now_ms: u64) {
        let in_flight = self.running.len() as u32;
        if let Some(key) = self.turns.next(in_flight, now_ms * 1_000)
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

    fn die(&mut self, now_ms: u64, hold_ms: u64, bench: &mut Bench, pending: &mut Vec<(u64, Job)>) {
        bench.deaths += 1;
        bench.hit += self.running.len() as u32 - 1;
        let in_flight = self
            .running
            .iter()
            .map(|job| (job.fingerprint, "gates".into()));
        self.suspects.blame(self.incarnation, in_flight, now_ms);
        self.incarnation = Incarnation(self.incarnation.0 + 100);
        self.up_from_ms = now_ms + RESTART_MS;
        self.turns.end(now_ms * 1_000);
        for mut job in self.running.drain(..) {
            let is_killer = job.fingerprint == KILLER;
            let again_ms = now_ms + hold_ms + if is_killer { KILLER_BACKOFF_MS } else { 0 };
            job.verdict = if is_killer {
                SuspectVerdict::Run
            } else {
                SuspectVerdict::RunAlone
            };
            job.is_retry = true;
            job.is_queued = false;
            pending.push((again_ms, job));
        }
        for mut job in self.queue.drain(..) {
            self.turns.cancel(job.fingerprint.0);
            job.is_queued = false;
            pending.push((now_ms + 1, job));
        }
    }
}

fn job_again(job: Job, now_ms: u64) -> Job {
    Job {
        arrived_ms: now_ms,
        verdict: SuspectVerdict::Run,
        is_queued: false,
        ..job
    }
}

#[test]
fn killer_dies_out_and_its_neighbours_are_cleared() {
    let mut table = String::new();
    for (gossip_ms, hold_ms, share_percent) in [
        (5, 10, 10),
        (5, 10, 25),
        (5, 10, 50),
        (200, 10, 25),
        (1_000, 10, 25),
        (1_000, 1_000, 25),
    ] {
        let mut worst = Bench::default();
        for seed in 0..2 {
            let bench = bench(gossip_ms, hold_ms, share_percent, seed);
            worst.deaths = worst.deaths.max(bench.deaths);
            worst.hit = worst.hit.max(bench.hit);
            worst.late = worst.late.max(bench.late);
            worst.last_suspect_ms = worst.last_suspect_ms.max(bench.last_suspect_ms);
            worst.quarantined_innocents =
                worst.quarantined_innocents.max(bench.quarantined_innocents);
            if gossip_ms <= hold_ms + KILLER_BACKOFF_MS {
                assert!(bench.deaths <= 2, "{bench:?}");
                assert_eq!(bench.quarantined_innocents, 0, "{bench:?}");
            }
        }
        let _ = writeln!(
            table,
            "gossip {gossip_ms} ms, answer held {hold_ms} ms, share {share_percent}%: \
             deaths {}, neighbours hit {}, innocents quarantined {}, late {}, suspects over at {} ms",
            worst.deaths, worst.hit, worst.quarantined_innocents, worst.late, worst.last_suspect_ms,
        );
    }
    insta::assert_snapshot!(table, @"
    gossip 5 ms, answer held 10 ms, share 10%: deaths 1, neighbours hit 35, innocents quarantined 0, late 18, suspects over at 3325 ms
    gossip 5 ms, answer held 10 ms, share 25%: deaths 2, neighbours hit 35, innocents quarantined 0, late 9, suspects over at 2901 ms
    gossip 5 ms, answer held 10 ms, share 50%: deaths 2, neighbours hit 35, innocents quarantined 0, late 3, suspects over at 2064 ms
    gossip 200 ms, answer held 10 ms, share 25%: deaths 3, neighbours hit 35, innocents quarantined 0, late 9, suspects over at 2901 ms
    gossip 1000 ms, answer held 10 ms, share 25%: deaths 4, neighbours hit 154, innocents quarantined 0, late 129, suspects over at 3742 ms
    gossip 1000 ms, answer held 1000 ms, share 25%: deaths 2, neighbours hit 35, innocents quarantined 0, late 35, suspects over at 2995 ms
    ");
}
