//! Binding of a caller's own idempotency key to a ticket, by compare-and-swap in the store.
//!
//! Only for callers that cannot hold a ticket. Of all daemons that receive the key, one writes the
//! binding; the others read its ticket. A binding outlives its ticket. A key without a binding is
//! bound again only if no earlier ticket can have been minted for it.

use {
    super::{
        outcome::Denial,
        ticket::{Ticket, TicketError, is_valid_service},
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

/// Longest idempotency key that is accepted.
pub const MAX_KEY_BYTES: usize = 128;

const US_PER_MINUTE: u64 = 60_000_000;
const MAX_SWAP_ATTEMPTS: usize = 2;
const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

/// Limits on one daemon's use of the store for bindings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BindLimits {
    /// Store calls per minute.
    pub calls_per_min: u32,
    /// Store calls that may be made at once after an idle time.
    pub burst: u32,
    /// Timeout of one store call.
    pub timeout_ms: u32,
    /// Longest lifetime of a ticket.
    pub max_lifetime_ms: u32,
    /// Largest tolerated difference between two clocks.
    pub max_skew_ms: u32,
    /// Time for which one lease is used for new bindings.
    pub lease_use_ms: u32,
    /// Retry-after advice to callers while the store cannot be used.
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

/// What the caller states about its earlier attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerAttempt {
    /// Whether this is the first attempt under this key. After a not-run outcome the caller uses a
    /// new key.
    pub is_first: bool,
    /// Time of the first attempt on the caller's clock, if stated.
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

/// Version of a binding that may be replaced, since its ticket certainly never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplaceableBinding(Version);

/// Why a key could not be bound.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error, From)]
pub enum BindError {
    /// The caller's key is empty or too long, the service name does not fit a ticket, or the times
    /// of the fresh ticket do not fit a new lease.
    #[display("bind: malformed key")]
    Malformed,
    /// The daemon has used up its rate of store calls.
    #[display("bind: rate limit of store calls is exceeded")]
    Rate,
    /// The binding of a resend does not exist any more.
    #[display("bind: no binding for a resend of {key}")]
    Forgotten {
        /// Store key of the binding.
        key: SmolStr,
    },
    /// The bound ticket may have run, or may still run.
    #[display("bind: the bound ticket may run: {denial}")]
    Unproven {
        /// Denial by the ticket's gate.
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
    /// The stored binding is not a ticket.
    #[from]
    Ticket(TicketError),
}

/// Writes and reads bindings, within a rate of store calls.
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

/// Token bucket for store calls, in millionths of a call.
#[derive(Debug, Default)]
struct Bucket {
    micro_calls: u64,
    at_us: Option<u64>,
}

impl BindKey {
    /// Store key for a caller's idempotency key at a service; different pairs have different keys.
    ///
    /// Fails if the key is empty or too long, or the service name does not fit a ticket.
    pub fn new(service: &str, key: &str) -> Result<Self, BindError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_valid_service(service) {
            return Err(BindError::Malformed);
        }
        Ok(Self(format_smolstr!(
            "bind/{}/{}",
            percent_encode(service),
            percent_encode(key)
        )))
    }

    /// Store key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl BindError {
    /// Refusal to return to the caller; nothing was sent to any gate.
    pub fn refusal(&self, attempt: CallerAttempt, limits: &BindLimits) -> Refusal {
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

impl CallerAttempt {
    /// Returns whether a key without a binding may be bound: no earlier binding can have expired.
    pub fn may_create(self, limits: &BindLimits, now_unix_ms: u64) -> bool {
        let is_recent = |sent_unix_ms: u64| {
            let limit_ms = u64::from(limits.max_lifetime_ms);
            now_unix_ms < sent_unix_ms.saturating_add(limit_ms)
        };
        self.is_first || self.first_sent_unix_ms.is_some_and(is_recent)
    }
}

impl BindLimits {
    /// Lifetime of a lease: it outlives the last ticket that is bound under it, whatever the skew.
    ///
    /// The skew counts twice: for the caller's clock and for the clock of the worker's daemon.
    pub fn lease_ttl_ms(&self) -> u32 {
        self.max_lifetime_ms
            .saturating_add(self.lease_use_ms)
            .saturating_add(self.max_skew_ms.saturating_mul(2))
    }

    /// Returns whether a lease granted at this time outlives the ticket.
    fn covers(&self, granted_unix_ms: u64, ticket: &Ticket) -> bool {
        let covered_ms = u64::from(self.max_lifetime_ms) + u64::from(self.lease_use_ms);
        let is_later = ticket.minted_unix_ms >= granted_unix_ms;
        is_later && ticket.expires_unix_ms <= granted_unix_ms.saturating_add(covered_ms)
    }
}

impl Binder {
    /// Creates a binder with a full token bucket.
    pub fn new(limits: BindLimits) -> Self {
        Self {
            limits,
            state: Mutex::default(),
        }
    }

    /// Limits in force.
    pub fn limits(&self) -> &BindLimits {
        &self.limits
    }

    /// Binds the key to `fresh`, or reads the ticket that it is bound to.
    ///
    /// `fresh` must have been minted after the request arrived. Fails if the store does not answer,
    /// the rate of store calls is used up, or the binding of a resend does not exist any more.
    pub async fn bind(
        &self,
        store: &dyn Store,
        key: &BindKey,
        fresh: &Ticket,
        attempt: CallerAttempt,
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

    /// Binds the key to `fresh`, replacing a ticket that certainly never runs.
    ///
    /// Of all concurrent calls one succeeds; the others return its ticket.
    pub async fn rebind(
        &self,
        store: &dyn Store,
        key: &BindKey,
        replaceable: ReplaceableBinding,
        fresh: &Ticket,
        now_us: u64,
        now_unix_ms: u64,
    ) -> Result<Binding, BindError> {
        self.write(store, key, replaceable.0, fresh, now_us, now_unix_ms)
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
        let mut attempts = 0;
        loop {
            attempts += 1;
            let swap = store.swap(key.as_str(), expected, value.clone(), Some(lease));
            match self.call("bind swap", swap, now_us).await {
                Ok(Swap::Applied(version)) => return Ok(Binding::new(fresh, version)),
                Ok(Swap::Conflict(Some(entry))) => return Binding::try_from(&entry),
                Ok(Swap::Conflict(None)) => {
                    return Err(BindError::Forgotten { key: key.0.clone() });
                }
                Err(error) if !error.is_uncertain() || attempts == MAX_SWAP_ATTEMPTS => {
                    return Err(error);
                }
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

    /// Returns the present lease if it outlives the ticket on the clock that the ticket was minted
    /// by, else a new one.
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

    /// Makes one store call, within the rate and the timeout.
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
    /// Returns whether the write may have been applied.
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

    /// Returns the binding as replaceable if the gate has stated that the ticket never runs.
    ///
    /// Fails for any other denial: that one send was not run is no proof, since the caller may have
    /// sent the request again meanwhile.
    pub fn replaceable(&self, denial: Denial) -> Result<ReplaceableBinding, BindError> {
        match denial {
            Denial::Never(_) => Ok(ReplaceableBinding(self.version)),
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
    /// Takes one store call from the bucket; returns false if none is available.
    fn take(&mut self, limits: &BindLimits, now_us: u64) -> bool {
        const CALL: u64 = 1_000_000;
        let full = u64::from(limits.burst) * CALL;
        let elapsed_us = self.at_us.map(|at_us| now_us.saturating_sub(at_us));
        let gained = elapsed_us.map_or(full, |elapsed_us| {
            let product = u128::from(elapsed_us) * u128::from(limits.calls_per_min);
            (product * u128::from(CALL) / u128::from(US_PER_MINUTE)).min(u128::from(full)) as u64
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

/// Percent-encodes all bytes except letters, digits, `-`, `_` and `.`.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.') {
            encoded.push(char::from(byte));
        } else {
            encoded.push('%');
            encoded.extend(
                [byte >> 4, byte & 0xf].map(|digit| char::from(HEX_DIGITS[usize::from(digit)])),
            );
        }
    }
    encoded
}
