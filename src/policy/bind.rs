//! Binding of a caller's own idempotency key to a ticket, by compare-and-swap in the store.
//!
//! Only for callers that cannot hold a ticket. Of all daemons that see the key, one writes the
//! binding; the others read its ticket. A binding outlives its ticket, so that a key with a lost
//! binding is bound anew only when no earlier ticket of it can have been minted.

use {
    super::{
        ticket::{Ticket, TicketError, fits},
        verdict::Denial,
    },
    crate::{
        request::{Outcome, Reason, Refusal},
        store::{Entry, LeaseId, Store, StoreError, Swap, Version},
    },
    async_std::future::timeout,
    derive_more::{Display, Error, From},
    parking_lot::Mutex,
    smol_str::{SmolStr, format_smolstr},
    std::{future::Future, time::Duration},
};

/// Longest key that a caller may bring.
pub const MAX_KEY_BYTES: usize = 128;

const US_PER_MIN: u64 = 60_000_000;
const SWAP_TRIES: usize = 2;
const DIGITS: &[u8; 16] = b"0123456789abcdef";

/// Bounds of one daemon's use of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BindLimits {
    /// Store calls per minute.
    pub calls_per_min: u32,
    /// Store calls at once after a quiet time.
    pub burst: u32,
    /// Time to wait for the store.
    pub timeout_ms: u32,
    /// Longest lifetime of a ticket.
    pub max_lifetime_ms: u32,
    /// Difference between two clocks that is tolerated.
    pub max_skew_ms: u32,
    /// Time for which one lease is given to new bindings.
    pub lease_use_ms: u32,
    /// Advice to callers on when to come back.
    pub retry_after_ms: u32,
}

impl Default for BindLimits {
    fn default() -> Self {
        Self {
            calls_per_min: 12,
            burst: 20,
            timeout_ms: 250,
            max_lifetime_ms: 600_000,
            max_skew_ms: 30_000,
            lease_use_ms: 60_000,
            retry_after_ms: 2_000,
        }
    }
}

/// Store key of one binding.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Display)]
#[display("{_0}")]
pub struct BindKey(SmolStr);

/// What the caller says of its earlier attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// It made none under this key; once told not-run, it takes a new key.
    pub is_first: bool,
    /// Time of its first attempt on its own clock, if it tells.
    pub first_sent_unix_ms: Option<u64>,
}

/// Ticket that a key is bound to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binding {
    /// The only ticket under which the request may run.
    pub ticket: Ticket,
    /// Version of the binding in the store.
    pub version: Version,
}

/// Version of a binding whose ticket certainly never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spent(Version);

/// Why a key could not be bound.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error, From)]
pub enum BindError {
    /// The caller's key is empty, too long, or for a service without tickets.
    #[display("bind: malformed key")]
    Malformed,
    /// The daemon's share of the store's rate is spent.
    #[display("bind: rate of store calls is spent")]
    Rate,
    /// A resend whose binding is not there any more.
    #[display("bind: no binding for a resend of {key}")]
    Forgotten {
        /// Store key of the binding.
        key: SmolStr,
    },
    /// The bound ticket may yet run, or have run.
    #[display("bind: the bound ticket may run: {denial}")]
    Unproven {
        /// What its gate said.
        denial: Denial,
    },
    /// The store did not answer in time.
    #[display("{step}: no answer within {timeout_ms} ms")]
    Timeout {
        /// Step that failed.
        step: &'static str,
        /// Time waited.
        timeout_ms: u32,
    },
    /// The store failed.
    #[from]
    Store(StoreError),
    /// The binding read is not a ticket.
    #[from]
    Ticket(TicketError),
}

/// Writes and reads bindings within a rate.
#[derive(Debug)]
pub struct Binder {
    limits: BindLimits,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    bucket: Bucket,
    lease: Option<Lease>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    granted_unix_ms: u64,
}

/// Token bucket of store calls, in millionths of a call.
#[derive(Debug, Default)]
struct Bucket {
    micro_calls: u64,
    at_us: Option<u64>,
}

impl BindKey {
    /// Store key for a caller's key at a service; different pairs never share one.
    pub fn new(service: &str, key: &str) -> Result<Self, BindError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !fits(service) {
            return Err(BindError::Malformed);
        }
        Ok(Self(format_smolstr!(
            "bind/{}/{}",
            plain(service),
            plain(key)
        )))
    }

    /// Store key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl BindError {
    /// What the caller is told; nothing was sent to any gate.
    pub fn refusal(&self, attempt: Attempt, limits: &BindLimits) -> Refusal {
        let reason = match self {
            Self::Malformed => Reason::BadRequest,
            Self::Forgotten { .. } => Reason::TicketVoid,
            Self::Ticket(_) => Reason::Internal,
            Self::Unproven { denial } => denial.reason(),
            Self::Rate | Self::Timeout { .. } | Self::Store(_) => Reason::StoreUnavailable,
        };
        let outcome = if attempt.is_first {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        Refusal {
            outcome,
            reason,
            retry_after_ms: (reason == Reason::StoreUnavailable).then_some(limits.retry_after_ms),
        }
    }
}

impl Attempt {
    /// Tells whether a key without binding can be bound: no earlier binding of it has lapsed.
    pub fn may_create(self, limits: &BindLimits, now_unix_ms: u64) -> bool {
        let is_young = |sent_unix_ms: u64| {
            let limit_ms = u64::from(limits.max_lifetime_ms);
            now_unix_ms < sent_unix_ms.saturating_add(limit_ms)
        };
        self.is_first || self.first_sent_unix_ms.is_some_and(is_young)
    }
}

impl BindLimits {
    /// Lifetime of a lease: that of the last ticket bound under it, and the clocks' difference.
    ///
    /// The difference counts twice: once for the caller's clock, once for the worker's daemon's.
    pub fn lease_ttl_ms(&self) -> u32 {
        self.max_lifetime_ms
            .saturating_add(self.lease_use_ms)
            .saturating_add(self.max_skew_ms.saturating_mul(2))
    }

    fn covers(&self, granted_unix_ms: u64, ticket: &Ticket) -> bool {
        let life_ms = u64::from(self.max_lifetime_ms) + u64::from(self.lease_use_ms);
        let is_later = ticket.minted_unix_ms >= granted_unix_ms;
        is_later && ticket.expires_unix_ms <= granted_unix_ms.saturating_add(life_ms)
    }
}

impl Binder {
    /// Creates a binder with a full bucket.
    pub fn new(limits: BindLimits) -> Self {
        Self {
            limits,
            state: Mutex::default(),
        }
    }

    /// Bounds in force.
    pub fn limits(&self) -> &BindLimits {
        &self.limits
    }

    /// Binds the key to `fresh`, or reads the ticket that it is bound to.
    ///
    /// `fresh` must have been minted after the request arrived.
    pub async fn bind(
        &self,
        store: &dyn Store,
        key: &BindKey,
        fresh: &Ticket,
        attempt: Attempt,
        now_us: u64,
        now_unix_ms: u64,
    ) -> Result<Binding, BindError> {
        if !attempt.is_first
            && let Some(entry) = self.read(store, key, now_us).await?
        {
            return Binding::try_from(&entry);
        }
        if !attempt.may_create(&self.limits, now_unix_ms) {
            return Err(BindError::Forgotten { key: key.0.clone() });
        }
        self.write(store, key, Version::ABSENT, fresh, now_us, now_unix_ms)
            .await
    }

    /// Binds the key to `fresh` in place of a ticket that certainly never runs.
    ///
    /// Of all who try, one succeeds; the others get its ticket.
    pub async fn rebind(
        &self,
        store: &dyn Store,
        key: &BindKey,
        spent: Spent,
        fresh: &Ticket,
        now_us: u64,
        now_unix_ms: u64,
    ) -> Result<Binding, BindError> {
        self.write(store, key, spent.0, fresh, now_us, now_unix_ms)
            .await
    }

    async fn write(
        &self,
        store: &dyn Store,
        key: &BindKey,
        expected: Version,
        fresh: &Ticket,
        now_us: u64,
        now_unix_ms: u64,
    ) -> Result<Binding, BindError> {
        let lease = self.lease(store, fresh, now_us, now_unix_ms).await?;
        let value = fresh.to_string().into_bytes();
        let mut tries = 0;
        loop {
            tries += 1;
            let swap = store.swap(key.as_str(), expected, value.clone(), Some(lease));
            match self.call("bind swap", swap, now_us).await {
                Ok(Swap::Applied(version)) => return Ok(Binding::new(fresh, version)),
                Ok(Swap::Conflict(Some(entry))) => return Binding::try_from(&entry),
                Ok(Swap::Conflict(None)) => {
                    return Err(BindError::Forgotten { key: key.0.clone() });
                }
                Err(error) if !error.is_uncertain() || tries == SWAP_TRIES => return Err(error),
                Err(_) => {}
            }
            if let Some(entry) = self.read(store, key, now_us).await?
                && entry.version != expected
            {
                return Binding::try_from(&entry);
            }
        }
    }

    async fn read(
        &self,
        store: &dyn Store,
        key: &BindKey,
        now_us: u64,
    ) -> Result<Option<Entry>, BindError> {
        self.call("bind read", store.get(key.as_str()), now_us)
            .await
    }

    /// The lease at hand, if it outlives the ticket on the clock that the ticket was minted by.
    async fn lease(
        &self,
        store: &dyn Store,
        fresh: &Ticket,
        now_us: u64,
        now_unix_ms: u64,
    ) -> Result<LeaseId, BindError> {
        let present = self.state.lock().lease;
        if let Some(lease) = present
            && self.limits.covers(lease.granted_unix_ms, fresh)
        {
            return Ok(lease.id);
        }
        if !self.limits.covers(now_unix_ms, fresh) {
            return Err(BindError::Malformed);
        }
        let grant = store.grant(self.limits.lease_ttl_ms());
        let id = self.call("bind lease", grant, now_us).await?;
        self.state.lock().lease = Some(Lease {
            id,
            granted_unix_ms: now_unix_ms,
        });
        Ok(id)
    }

    async fn call<T>(
        &self,
        step: &'static str,
        call: impl Future<Output = Result<T, StoreError>>,
        now_us: u64,
    ) -> Result<T, BindError> {
        if !self.state.lock().bucket.take(&self.limits, now_us) {
            return Err(BindError::Rate);
        }
        let timeout_ms = self.limits.timeout_ms;
        let limit = Duration::from_millis(u64::from(timeout_ms));
        match timeout(limit, call).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(BindError::Timeout { step, timeout_ms }),
        }
    }
}

impl BindError {
    fn is_uncertain(&self) -> bool {
        matches!(
            self,
            Self::Timeout { .. } | Self::Store(StoreError::Uncertain { .. })
        )
    }
}

impl Binding {
    fn new(ticket: &Ticket, version: Version) -> Self {
        Self {
            ticket: ticket.clone(),
            version,
        }
    }

    /// Takes the gate's word that the ticket never runs, and nothing less: that one send was not
    /// run is no proof, as the caller may have sent the request again meanwhile.
    pub fn spent(&self, denial: Denial) -> Result<Spent, BindError> {
        match denial {
            Denial::Never(_) => Ok(Spent(self.version)),
            Denial::NotNow(_) | Denial::Maybe(_) => Err(BindError::Unproven { denial }),
        }
    }
}

impl TryFrom<&Entry> for Binding {
    type Error = BindError;

    fn try_from(entry: &Entry) -> Result<Self, BindError> {
        let text = String::from_utf8_lossy(&entry.value);
        let ticket = Ticket::try_from(text.as_ref())?;
        Ok(Self {
            ticket,
            version: entry.version,
        })
    }
}

impl Bucket {
    fn take(&mut self, limits: &BindLimits, now_us: u64) -> bool {
        const CALL: u64 = 1_000_000;
        let full = u64::from(limits.burst) * CALL;
        let elapsed_us = self.at_us.map(|at_us| now_us.saturating_sub(at_us));
        let gained = elapsed_us.map_or(full, |elapsed_us| {
            let product = u128::from(elapsed_us) * u128::from(limits.calls_per_min);
            (product * u128::from(CALL) / u128::from(US_PER_MIN)).min(u128::from(full)) as u64
        });
        self.micro_calls = self.micro_calls.saturating_add(gained).min(full);
        self.at_us = Some(now_us);
        let is_granted = self.micro_calls >= CALL;
        if is_granted {
            self.micro_calls -= CALL;
        }
        is_granted
    }
}

/// Keeps letters, digits and a few marks; writes all other bytes as `%` and two digits.
fn plain(text: &str) -> String {
    let mut plain = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.') {
            plain.push(char::from(byte));
        } else {
            plain.push('%');
            plain.extend(
                [byte >> 4, byte & 0xf].map(|digit| char::from(DIGITS[usize::from(digit)])),
            );
        }
    }
    plain
}
