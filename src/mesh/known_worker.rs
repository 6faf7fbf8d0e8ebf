//! Worker of one VM as seen by one daemon: its load, latency and failures, and the expected time to
//! an answer from it.

use crate::{
    fleet::member::{Member, Status},
    mesh::{directory::CROSS_CENTRE_PENALTY_US, frame::GateLoad},
    policy::ewma::sample_weight,
    request::Incarnation,
};

/// Cost of a failed send: the time to detect the failure and to send the request again.
const FAILURE_COST_US: f64 = 400_000.0;

/// Weight of one result in the share of failures, which averages about the last ten results.
const FAILURE_WEIGHT: f64 = 0.1;

/// Half-life of the share of failures while there are no results, so that a failing worker is
/// eventually tried again.
const FAILURE_HALF_LIFE_US: f64 = 2_000_000.0;

/// Smallest weight of one reply in the mean latency measured by this daemon.
const LATENCY_MIN_WEIGHT: f64 = 0.1;

/// Time constant with which a worker's latency is averaged, and decays while the worker has no
/// outstanding sends: about the time in which an overload of a downstream service develops or
/// subsides.
const LATENCY_TAU_US: f64 = 1_000_000.0;

/// Penalty for a worker without an available slot, in addition to the expected wait. It exceeds the
/// penalty for leaving the data centre, so that no call is queued while another data centre has
/// spare capacity.
const FULL_PENALTY_US: f64 = 1.5 * CROSS_CENTRE_PENALTY_US;

/// Weight of the time in the queue relative to the running time: a queued call also delays the
/// calls behind it, whereas a slower worker with available slots delays none.
const QUEUE_WAIT_WEIGHT: f64 = 3.0;

/// Share of the limit from which [`FULL_PENALTY_US`] is applied in part, as this daemon's view of
/// the load is slightly out of date.
const NEARLY_FULL_SHARE: f64 = 0.8;

/// Time during which a worker is penalised after its daemon could not be reached.
const UNREACHABLE_PENALTY_PERIOD_US: u64 = 1_000_000;

/// Age from which a gate's reported load is disregarded, in addition to twice its latency.
const REPORT_STALE_US: f64 = 200_000.0;

/// Outcome of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// Answered by the worker.
    Answered {
        /// Time from the send to the reply.
        took_us: u64,
    },
    /// Failed or shed by the worker.
    Failed,
    /// Rejected by the gate, which says nothing about the worker.
    Rejected,
    /// The daemon beside the worker could not be reached.
    Unreachable,
    /// Cancelled by the sender.
    Cancelled,
}

/// Latencies assumed of workers without recent data.
#[derive(Debug, Clone, Copy)]
pub(super) struct Assumed {
    /// Of a worker whose data is old.
    pub(super) outdated_us: f64,
    /// Of a worker that was never tried.
    pub(super) untried_us: f64,
}

/// Worker of one VM, with the load, latency and failures observed by this daemon.
#[derive(Debug)]
pub struct KnownWorker {
    /// Latest record of its daemon.
    pub member: Member,
    load: GateLoad,
    load_at_us: u64,
    pub(super) outstanding: u32,
    pub(super) sent_since_report: u32,
    latency_us: f64,
    latency_at_us: u64,
    failure_share: f64,
    failure_at_us: u64,
    pub(super) unreachable_until_us: u64,
    /// Incarnation that its gate has refused to serve.
    pub(super) refused_incarnation: Option<Incarnation>,
}

impl KnownWorker {
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            load: GateLoad::default(),
            load_at_us: 0,
            outstanding: 0,
            sent_since_report: 0,
            latency_us: 0.0,
            latency_at_us: 0,
            failure_share: 0.0,
            failure_at_us: 0,
            unreachable_until_us: 0,
            refused_incarnation: None,
        }
    }

    /// Applies a newer record; a new incarnation of the worker resets all observations except the
    /// outstanding sends.
    pub(super) fn apply_member(&mut self, member: &Member) {
        let incarnation = |member: &Member| member.worker.as_ref().map(|worker| worker.incarnation);
        let is_same = incarnation(member) == incarnation(&self.member);
        let is_same_daemon = member.generation == self.member.generation;
        let outstanding = self.outstanding;
        if is_same {
            self.member = member.clone();
        } else {
            *self = Self::new(member.clone());
            self.outstanding = outstanding;
        }
        if !is_same_daemon {
            self.refused_incarnation = None;
            self.unreachable_until_us = 0;
        }
    }

    pub(super) fn is_usable(&self, tried: &[Incarnation]) -> bool {
        let Some(worker) = &self.member.worker else {
            return false;
        };
        !tried.contains(&worker.incarnation) && self.refused_incarnation != Some(worker.incarnation)
    }

    /// Share of failed requests: the greater of the one observed here and the one that the gate
    /// reported.
    pub(super) fn failure_share(&self, now_us: u64) -> f64 {
        let reported = f64::from(self.load.failed_permille) / 1_000.0;
        let observed = self.observed_failure_share(now_us);
        observed.max(decayed(reported, self.load_at_us, now_us))
    }

    fn observed_failure_share(&self, now_us: u64) -> f64 {
        decayed(self.failure_share, self.failure_at_us, now_us)
    }

    /// Number of requests that may run on the worker concurrently.
    pub(super) fn limit(&self) -> f64 {
        let worker = self.member.worker.as_ref();
        let slots = worker.map_or(1, |worker| worker.slots.max(1));
        match self.load.limit {
            0 => f64::from(slots),
            limit => f64::from(limit),
        }
    }

    /// Estimated number of requests in flight or queued at the worker: the last reported number
    /// plus the requests sent since. Once the report is too old, only this daemon's outstanding
    /// sends.
    pub(super) fn estimated_requests(&self, now_us: u64) -> f64 {
        let outstanding = f64::from(self.outstanding);
        let age_us = now_us.saturating_sub(self.load_at_us) as f64;
        if age_us > REPORT_STALE_US + 2.0 * self.latency_us {
            return outstanding;
        }
        let reported = self.load.in_flight + self.load.queued + self.sent_since_report;
        f64::from(reported).max(outstanding)
    }

    /// Greater of the latency measured here and the one that the gate reported; zero if neither is
    /// known.
    pub(super) fn known_latency_us(&self) -> f64 {
        self.latency_us.max(f64::from(self.load.latency_us))
    }

    /// Expected latency. Without outstanding sends it approaches the assumed one, so that a worker
    /// that was slow is tried again, with one call at a time.
    pub(super) fn latency_us(&self, assumed: Assumed, now_us: u64) -> f64 {
        let baseline_us = assumed.outdated_us;
        let known_us = self.known_latency_us();
        match (known_us > 0.0, self.outstanding > 0) {
            (true, true) => return known_us,
            (false, true) => return baseline_us,
            (false, false) => return assumed.untried_us,
            (true, false) => {}
        }
        let age_us = now_us.saturating_sub(self.latency_at_us) as f64;
        baseline_us + (known_us - baseline_us) * (-age_us / LATENCY_TAU_US).exp()
    }

    /// Expected time to an answer from this worker, in microseconds, including penalties.
    pub(super) fn expected_cost_us(&self, assumed: Assumed, now_us: u64) -> f64 {
        let limit = self.limit();
        let latency_us = self.latency_us(assumed, now_us);
        let estimated_requests = self.estimated_requests(now_us);
        let waiting = (estimated_requests + 1.0 - limit).max(0.0);
        let utilisation = (estimated_requests / limit).min(1.0);
        // A worker near its limit is slower than one with available slots; a tenth breaks ties by
        // load.
        let work_us = latency_us * (1.0 + 0.1 * utilisation);
        let wait_us = waiting / limit * latency_us.max(1_000.0) * QUEUE_WAIT_WEIGHT;
        let full_share = ((utilisation - NEARLY_FULL_SHARE) / (1.0 - NEARLY_FULL_SHARE)).max(0.0);
        let mut cost_us = work_us + wait_us + full_share * FULL_PENALTY_US;
        cost_us += self.failure_share(now_us) * FAILURE_COST_US;
        if now_us < self.unreachable_until_us || self.member.status == Status::Suspect {
            cost_us += FAILURE_COST_US;
        }
        cost_us
    }

    fn record_latency(&mut self, took_us: f64, now_us: u64) {
        let gap_us = now_us.saturating_sub(self.latency_at_us);
        let weight = sample_weight(gap_us, LATENCY_TAU_US).max(LATENCY_MIN_WEIGHT);
        self.latency_us += (took_us - self.latency_us) * weight;
        self.latency_at_us = now_us;
    }

    pub(super) fn record_outcome(
        &mut self,
        outcome: SendOutcome,
        load: Option<GateLoad>,
        now_us: u64,
    ) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(load) = load {
            self.load = load;
            self.load_at_us = now_us;
            self.sent_since_report = 0;
        }
        let failed = match outcome {
            SendOutcome::Answered { took_us } => {
                self.record_latency(took_us as f64, now_us);
                self.unreachable_until_us = 0;
                0.0
            }
            SendOutcome::Failed => 1.0,
            SendOutcome::Unreachable => {
                self.unreachable_until_us = now_us + UNREACHABLE_PENALTY_PERIOD_US;
                1.0
            }
            SendOutcome::Rejected | SendOutcome::Cancelled => return,
        };
        let share = self.observed_failure_share(now_us);
        self.failure_share = share + (failed - share) * FAILURE_WEIGHT;
        self.failure_at_us = now_us;
    }
}

/// Share of failures after the time since it was observed.
fn decayed(share: f64, observed_us: u64, now_us: u64) -> f64 {
    let age_us = now_us.saturating_sub(observed_us) as f64;
    share * (-age_us / FAILURE_HALF_LIFE_US * std::f64::consts::LN_2).exp()
}
