//! Requests that crash workers: blamed by the daemon beside the worker, told to all others.
//!
//! A worker that dies cuts what it runs and then refuses connections. What it cut shortly before is
//! blamed; a run that ends with an answer clears the request. Two deaths without an answer between
//! them quarantine it, see [`crate::policy::suspect`].

use {
    crate::{
        mesh::{
            Mesh,
            frame::{Call, Message, WorkerLife},
            runtime::{detach, now_unix_ms, now_us, sleep_ms},
        },
        policy::suspect::{CrashSuspects, Fingerprint, SuspectLimits, SuspectVerdict},
        request::{Incarnation, ServiceName},
    },
    foldhash::quality::FixedState,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        hash::BuildHasher,
        rc::Rc,
    },
};

/// Time between the cut of a request and the refusal of the next connection by a worker that died.
const CUT_TO_REFUSAL_US: u64 = 2_000_000;

/// Time after a cut in which another answer shows that the worker lives.
const CHECK_AFTER_MS: u64 = 60;

/// Cuts that are remembered; more than a worker runs at a time.
const MAX_CUTS: usize = 512;

/// Deaths told at a time.
const MAX_TOLD: usize = 512;

/// Seed of the hash that makes an incarnation of a worker's life; the same in all daemons.
const LIFE_SEED: u64 = 0x6c69_6665;

/// What a daemon knows of requests that crash workers.
#[derive(Debug)]
pub struct Crashes {
    suspects: RefCell<CrashSuspects>,
    cuts: RefCell<VecDeque<(Fingerprint, ServiceName, u64)>>,
    is_checking: Cell<bool>,
}

impl Crashes {
    /// Nothing known.
    pub fn new() -> Self {
        Self {
            suspects: RefCell::new(CrashSuspects::new(SuspectLimits::default())),
            cuts: RefCell::default(),
            is_checking: Cell::new(false),
        }
    }

    /// Tells whether a request must not run.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        let suspects = self.suspects.borrow();
        suspects.verdict(Fingerprint(fingerprint), now_unix_ms()) == SuspectVerdict::Quarantined
    }

    /// Notes that the worker cut a request.
    pub fn cut(&self, call: &Call) {
        let mut cuts = self.cuts.borrow_mut();
        cuts.push_back((
            Fingerprint(call.fingerprint),
            call.service.clone(),
            now_us(),
        ));
        if cuts.len() > MAX_CUTS {
            cuts.pop_front();
        }
    }
}

impl Default for Crashes {
    fn default() -> Self {
        Self::new()
    }
}

impl Mesh {
    /// Finds out whether a worker that cut a request has died. It lives if it answers another one;
    /// else a connection tells, and is kept for the next request.
    pub(super) fn check_worker(self: &Rc<Self>, life: &WorkerLife) {
        if self.crashes.is_checking.replace(true) {
            return;
        }
        let (mesh, life, cut_us) = (Rc::clone(self), life.clone(), now_us());
        detach("check worker", async move {
            sleep_ms(CHECK_AFTER_MS).await;
            mesh.crashes.is_checking.set(false);
            if mesh.pool.answered_us() > cut_us {
                return;
            }
            if let Err(cause) = mesh.pool.prepare(mesh.settings.worker_addr).await {
                mesh.worker_down(&life, &cause);
            }
        });
    }

    /// Blames what a worker cut shortly before it was found dead.
    pub(super) fn blame_cuts(&self, life: &WorkerLife) {
        let now_us = now_us();
        let cuts = std::mem::take(&mut *self.crashes.cuts.borrow_mut());
        let recent = cuts
            .into_iter()
            .filter(|(_, _, at_us)| now_us.saturating_sub(*at_us) < CUT_TO_REFUSAL_US);
        let blamed: Vec<_> = recent.map(|(print, service, _)| (print, service)).collect();
        if blamed.is_empty() {
            return;
        }
        tracing::warn!(worker = %life, requests = blamed.len(), "requests blamed for a crash");
        let mut suspects = self.crashes.suspects.borrow_mut();
        suspects.record_crash(incarnation(life), blamed, now_unix_ms());
        drop(suspects);
        self.tell_deaths();
    }

    /// Clears a request that ended with an answer.
    pub(super) fn clear_suspect(&self, fingerprint: u64) {
        let fingerprint = Fingerprint(fingerprint);
        let mut suspects = self.crashes.suspects.borrow_mut();
        if suspects.verdict(fingerprint, now_unix_ms()) == SuspectVerdict::Run {
            return;
        }
        suspects.clear(fingerprint);
        drop(suspects);
        self.tell_deaths();
    }

    /// Takes what another daemon tells of crashes.
    pub(super) fn learn_deaths(&self, deaths: Vec<crate::policy::suspect::CrashRecord>) {
        if self.crashes.suspects.borrow_mut().merge(deaths) {
            tracing::info!("learnt of requests blamed for crashes");
        }
    }

    fn tell_deaths(&self) {
        let deaths = self.crashes.suspects.borrow_mut().digest(MAX_TOLD);
        self.tell_all(&Message::Deaths(deaths));
    }
}

fn incarnation(life: &WorkerLife) -> Incarnation {
    let hasher = FixedState::with_seed(LIFE_SEED);
    Incarnation(hasher.hash_one((life.id.as_str(), life.born_unix_ms)))
}
