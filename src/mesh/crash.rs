//! Detection of requests that crash workers, by the daemon beside the worker.
//!
//! A worker that crashes closes the connections of its running requests and then refuses new
//! connections. Requests interrupted shortly before the refusal become crash suspects, which are
//! broadcast to all peers. A run that ends with an answer clears the suspicion; two crashes without
//! an answer in between quarantine the request, see [`crate::policy::suspect`]. On the platform,
//! suspects are not run in isolation.

use {
    crate::{
        mesh::{
            Mesh,
            frame::{Call, Message},
            runtime::{detach, now_unix_ms, now_us, sleep_ms},
        },
        policy::suspect::{CrashSuspects, Fingerprint, SuspectLimits, SuspectVerdict},
        request::{Incarnation, ServiceName},
    },
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        rc::Rc,
    },
};

/// Longest time between the interruption of a request and the detection of the crash for which the
/// request is blamed.
const INTERRUPTED_WINDOW_US: u64 = 2_000_000;

/// Delay between an interrupted request and the check whether the worker is still alive; an answer
/// to another request in that time proves that it is.
const ALIVE_CHECK_DELAY_MS: u64 = 60;

/// Number of interrupted requests kept; more than a worker runs concurrently.
const MAX_INTERRUPTED: usize = 512;

/// Largest number of crash records in one broadcast.
const MAX_BROADCAST_CRASHES: usize = 512;

/// Crash suspects known to this daemon, and recently interrupted requests.
#[derive(Debug)]
pub struct CrashTracker {
    suspects: RefCell<CrashSuspects>,
    interrupted: RefCell<VecDeque<(Fingerprint, ServiceName, u64)>>,
    is_checking: Cell<bool>,
}

impl CrashTracker {
    /// Creates a tracker without suspects.
    pub fn new() -> Self {
        Self {
            suspects: RefCell::new(CrashSuspects::new(SuspectLimits::default())),
            interrupted: RefCell::default(),
            is_checking: Cell::new(false),
        }
    }

    /// Returns whether a request is quarantined, so that it must not run.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        let suspects = self.suspects.borrow();
        suspects.verdict(Fingerprint(fingerprint), now_unix_ms()) == SuspectVerdict::Quarantined
    }

    /// Records that the worker closed the connection while it ran a request.
    pub fn record_interrupted(&self, call: &Call) {
        let mut interrupted = self.interrupted.borrow_mut();
        interrupted.push_back((
            Fingerprint(call.fingerprint),
            call.service.clone(),
            now_us(),
        ));
        if interrupted.len() > MAX_INTERRUPTED {
            interrupted.pop_front();
        }
    }
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl Mesh {
    /// Checks in the background whether a worker that interrupted a request has crashed. It is
    /// alive if it answers another request in the meantime. Otherwise a connection attempt decides;
    /// a successful connection is kept for the next request.
    pub(super) fn check_worker_alive(self: &Rc<Self>, incarnation: Incarnation) {
        if self.crashes.is_checking.replace(true) {
            return;
        }
        let (mesh, interrupted_us) = (Rc::clone(self), now_us());
        detach("check worker", async move {
            sleep_ms(ALIVE_CHECK_DELAY_MS).await;
            mesh.crashes.is_checking.set(false);
            if mesh.pool.last_answer_us() > interrupted_us {
                return;
            }
            if let Err(cause) = mesh.pool.preconnect(mesh.settings.worker_addr).await {
                mesh.mark_worker_down(incarnation, &cause);
            }
        });
    }

    /// Marks the requests that the worker interrupted shortly before it was found down as crash
    /// suspects.
    pub(super) fn suspect_interrupted(&self, incarnation: Incarnation) {
        let now_us = now_us();
        let interrupted = std::mem::take(&mut *self.crashes.interrupted.borrow_mut());
        let recent = interrupted
            .into_iter()
            .filter(|(_, _, at_us)| now_us.saturating_sub(*at_us) < INTERRUPTED_WINDOW_US);
        let blamed: Vec<_> = recent
            .map(|(fingerprint, service, _)| (fingerprint, service))
            .collect();
        if blamed.is_empty() {
            return;
        }
        tracing::warn!(worker = %incarnation, requests = blamed.len(),
            "requests blamed for a crash");
        let mut suspects = self.crashes.suspects.borrow_mut();
        suspects.record_crash(incarnation, blamed, now_unix_ms());
        drop(suspects);
        self.broadcast_crashes();
    }

    /// Clears a crash suspect that has run to an answer.
    pub(super) fn clear_suspect(&self, fingerprint: u64) {
        let fingerprint = Fingerprint(fingerprint);
        let mut suspects = self.crashes.suspects.borrow_mut();
        if suspects.verdict(fingerprint, now_unix_ms()) == SuspectVerdict::Run {
            return;
        }
        suspects.clear(fingerprint);
        drop(suspects);
        self.broadcast_crashes();
    }

    /// Merges crash records received from a peer.
    pub(super) fn merge_crashes(&self, crashes: Vec<crate::policy::suspect::CrashRecord>) {
        if self.crashes.suspects.borrow_mut().merge(crashes) {
            tracing::info!("merged crash suspects from a peer");
        }
    }

    fn broadcast_crashes(&self) {
        let crashes = self
            .crashes
            .suspects
            .borrow_mut()
            .digest(MAX_BROADCAST_CRASHES);
        self.broadcast(&Message::Crashes(crashes));
    }
}
