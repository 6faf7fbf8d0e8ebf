//! Types that describe one request: its identity, rank and outcome.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// Identity of one client request, kept over its whole call tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{_0:032x}")]
pub struct RequestId(pub u128);

/// Identity of one incarnation of the backend server behind one daemon.
///
/// A restarted backend server or daemon gets a new one; it is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// Importance of a class of requests; smaller is more important.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{_0}")]
pub struct Importance(pub u8);

impl Importance {
    /// Importance at a gate of a client's request of this class, or of a downstream call of one.
    ///
    /// Refusing a downstream call wastes the work done so far, so calls go before requests of their
    /// own class. They don't go before requests of more important classes: a costly class would
    /// take the whole of a scarce service, whatever its importance.
    #[must_use]
    pub fn at_gate(self, is_downstream: bool) -> Self {
        let own = u8::from(!is_downstream);
        Self(self.0.min(u8::MAX / 2) * 2 + own)
    }
}

/// Order in which requests are shed: the importance first, then a stable hash of the request.
///
/// The same request has the same rank at every hop. Smaller ranks are kept longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Rank(u16);

/// Ranks within one importance.
pub const BUCKETS_PER_IMPORTANCE: u16 = 256;

impl Rank {
    /// Rank of a request of this importance.
    pub fn new(importance: Importance, request_id: RequestId) -> Self {
        let mixed = (request_id.0 as u64) ^ ((request_id.0 >> 64) as u64);
        let bucket = (mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u16;
        Self::from_parts(importance, bucket as u8)
    }

    /// Rank with an explicit bucket.
    pub fn from_parts(importance: Importance, bucket: u8) -> Self {
        Self(u16::from(importance.0) * BUCKETS_PER_IMPORTANCE + u16::from(bucket))
    }

    /// Importance that this rank belongs to.
    pub fn importance(self) -> Importance {
        Importance((self.0 / BUCKETS_PER_IMPORTANCE) as u8)
    }

    /// Position in the order of all ranks.
    pub fn position(self) -> u16 {
        self.0
    }
}

/// Admission level: ranks below it are admitted, all others refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{_0}")]
pub struct Level(pub u32);

impl Level {
    /// Level that admits every rank.
    pub const OPEN: Self = Self(1 << 16);

    /// Tells whether a request of this rank is admitted.
    pub fn admits(self, rank: Rank) -> bool {
        u32::from(rank.position()) < self.0
    }
}

impl Default for Level {
    fn default() -> Self {
        Self::OPEN
    }
}

/// Outcome of a request, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server ran it and its whole answer was received.
    #[display("done")]
    Done,
    /// No byte of it reached a backend server, nor will any.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request got no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
pub enum Reason {
    /// The admission level of a service on the call path refuses its rank.
    #[display("overload")]
    Overload,
    /// The queue of this worker is full; other workers of the service may have spare capacity.
    #[display("worker-full")]
    WorkerFull,
    /// The remaining time is shorter than the expected processing time.
    #[display("deadline")]
    Deadline,
    /// The worker is draining.
    #[display("draining")]
    Draining,
    /// The request is suspected of crashing backend servers.
    #[display("quarantined")]
    Quarantined,
    /// The retry allowance is used up.
    #[display("retries-spent")]
    RetriesSpent,
    /// No worker of the service is known.
    #[display("no-worker")]
    NoWorker,
    /// The service is not configured.
    #[display("unknown-service")]
    UnknownService,
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The request is larger than allowed.
    #[display("too-large")]
    TooLarge,
    /// The request needs a ticket.
    #[display("ticket-required")]
    TicketRequired,
    /// The ticket is for another incarnation, has expired, or was refused before.
    #[display("ticket-void")]
    TicketVoid,
    /// The worker or its daemon could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The connection broke before the whole answer was received.
    #[display("broken")]
    Broken,
    /// The backend server crashed while it ran the request.
    #[display("crashed")]
    Crashed,
    /// The caller or an upstream service cancelled the request.
    #[display("cancelled")]
    Cancelled,
    /// The request needs the platform's store, which does not answer.
    #[display("store-unavailable")]
    StoreUnavailable,
    /// An internal fault of the daemon.
    #[display("internal")]
    Internal,
    /// The organisation of the client has used up its quota.
    #[display("quota-exceeded")]
    QuotaExceeded,
}

impl Reason {
    /// Tells whether the request was refused for lack of capacity.
    pub fn lacks_capacity(self) -> bool {
        matches!(self, Self::Overload | Self::WorkerFull | Self::Deadline)
    }
}

/// Why a request got no answer from a backend server, and whether it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Display, Error, Serialize, Deserialize)]
#[display("{outcome}: {reason}")]
pub struct Refusal {
    /// Either [`Outcome::NotRun`] or [`Outcome::Unknown`].
    pub outcome: Outcome,
    /// Cause of the refusal.
    pub reason: Reason,
    /// Time from now before which a retry is of no use.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Refusal of a request that certainly did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after_ms: None,
        }
    }

    /// Refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after_ms: None,
        }
    }

    /// Sets the outcome to [`Outcome::Unknown`] if an earlier send of the request may have run.
    #[must_use]
    pub fn unknown_if(mut self, may_have_run: bool) -> Self {
        if may_have_run {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    /// Sets the advised delay before a retry.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u32) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

/// Name of a service, as configured by operators.
pub type ServiceName = SmolStr;

/// Name of a class of requests, as configured by operators.
pub type ClassName = SmolStr;
