//! Deduplication table of one daemon: the state of each ticket, so that none runs twice.
//!
//! A record is dropped only after its ticket has expired, and the latest expiry among the dropped
//! records is kept as a horizon. A ticket without a record may have run if it expires at or before
//! the horizon, and certainly has not run otherwise. A wrong clock never makes a ticket run twice.

use {
    super::{
        outcome::Denial,
        suspect::Fingerprint,
        ticket::{Ticket, TicketId},
    },
    crate::{
        collections::HashMap,
        request::{Incarnation, Reason},
    },
    serde::Serialize,
    slotmap::{SlotMap, new_key_type},
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Largest number of earlier incarnations of the worker that are remembered.
const MAX_PAST_INCARNATIONS: usize = 64;

/// Largest number of expired records that are dropped to add one ticket to a full table.
const SWEEP_WHEN_FULL: usize = 16;

new_key_type! {
    /// Key of one ticket's record.
    pub struct DedupKey;
}

/// Limits of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DedupLimits {
    /// Largest number of records.
    pub max_entries: usize,
    /// Largest number of refused tickets among them; further refusals are not recorded and hold for
    /// their own send only.
    pub max_refused: usize,
    /// Largest total size of the answers kept for replay.
    pub max_answer_bytes: usize,
    /// Longest lifetime of a ticket.
    pub max_lifetime_ms: u32,
    /// Largest tolerated difference between the clocks of two daemons.
    pub max_skew_ms: u32,
}

impl Default for DedupLimits {
    fn default() -> Self {
        Self {
            max_entries: 100_000,
            max_refused: 50_000,
            max_answer_bytes: 32 << 20,
            max_lifetime_ms: 600_000,
            max_skew_ms: 30_000,
        }
    }
}

/// What to do with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DedupDecision<A> {
    /// Run the request; decided for exactly one send of a ticket.
    Run(DedupKey),
    /// Wait for the answer to another send of the ticket, which is queued or running.
    Join(DedupKey),
    /// Return this answer, since the request has run.
    Replay(Arc<A>),
    /// Do not run the request.
    Deny(Denial),
}

/// State of an admitted ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketState<A> {
    /// Admitted; nothing has been sent to the backend server.
    Admitted,
    /// Bytes of the request may have been sent to the backend server.
    Started,
    /// The request ran, and its whole answer is kept.
    Done(Arc<A>),
    /// The request ran, and its answer was dropped to free memory.
    AnswerDropped,
    /// No byte of the request was sent or will be.
    Refused(Reason),
    /// The request may have run; its answer will never arrive.
    Lost(Reason),
}

/// Counters for metrics and dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct DedupReport {
    /// Number of records.
    pub entries: usize,
    /// Number of records that are admitted or started.
    pub open: usize,
    /// Number of records of refused tickets.
    pub refused: usize,
    /// Total size of the answers kept for replay.
    pub answer_bytes: usize,
    /// Tickets run.
    pub run: u64,
    /// Sends that joined another send of the same ticket.
    pub joined: u64,
    /// Answers replayed.
    pub replayed: u64,
    /// Answers dropped to free memory.
    pub dropped: u64,
    /// Sends denied because the table was full.
    pub full: u64,
    /// Sends denied because the ticket may have run: its incarnation is unknown, or its record may
    /// have been dropped.
    pub void: u64,
    /// Latest expiry among dropped records and tickets that arrived expired.
    pub horizon_unix_ms: u64,
}

/// Deduplication table of the tickets received by one daemon; `A` is the answer kept for replay.
#[derive(Debug)]
pub struct DedupTable<A> {
    limits: DedupLimits,
    entries: SlotMap<DedupKey, Entry<A>>,
    keys: HashMap<TicketId, DedupKey>,
    expiries: BTreeSet<(u64, DedupKey)>,
    answers: VecDeque<DedupKey>,
    past_incarnations: VecDeque<Incarnation>,
    local: Option<Incarnation>,
    report: DedupReport,
}

#[derive(Debug)]
struct Entry<A> {
    id: TicketId,
    fingerprint: Fingerprint,
    expires_unix_ms: u64,
    answer_bytes: usize,
    state: TicketState<A>,
}

impl<A> DedupTable<A> {
    /// Creates an empty table. To be called once per daemon process, since a second table would not
    /// know which tickets have run.
    pub fn new(limits: DedupLimits) -> Self {
        Self {
            limits,
            entries: SlotMap::with_key(),
            keys: HashMap::default(),
            expiries: BTreeSet::new(),
            answers: VecDeque::new(),
            past_incarnations: VecDeque::new(),
            local: None,
            report: DedupReport::default(),
        }
    }

    /// Decides on one send of a request; `local` is the worker's present incarnation.
    pub fn admit(
        &mut self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        local: Incarnation,
        now_unix_ms: u64,
    ) -> DedupDecision<A> {
        self.set_local(local);
        if let Some(&key) = self.keys.get(&ticket.id()) {
            return self.decide_resend(key, fingerprint);
        }
        match self.deny_unseen(ticket, local, now_unix_ms) {
            Some(denial) => DedupDecision::Deny(denial),
            None => DedupDecision::Run(self.insert(ticket, fingerprint)),
        }
    }

    /// Records that bytes of the request are about to be sent to the backend server.
    ///
    /// Returns false if the record has ended meanwhile; then nothing may be sent.
    #[must_use]
    pub fn start(&mut self, key: DedupKey) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        let is_admitted = matches!(entry.state, TicketState::Admitted);
        if is_admitted {
            entry.state = TicketState::Started;
            self.report.run += 1;
        }
        is_admitted
    }

    /// Keeps the whole answer of a started request; does nothing if the record has ended before.
    pub fn finish(&mut self, key: DedupKey, answer: Arc<A>, answer_bytes: usize) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if !matches!(entry.state, TicketState::Started) {
            return;
        }
        entry.state = TicketState::Done(answer);
        entry.answer_bytes = answer_bytes;
        self.report.open -= 1;
        self.report.answer_bytes += answer_bytes;
        self.answers.push_back(key);
        self.drop_answers();
    }

    /// Records the refusal of an admitted request. The denial is `Maybe` if the request was
    /// started, since it may have run.
    pub fn refuse(&mut self, key: DedupKey, reason: Reason) -> Denial {
        let Some(entry) = self.entries.get_mut(key) else {
            return Denial::NotNow(reason);
        };
        match entry.state {
            TicketState::Admitted => {}
            TicketState::Refused(reason) => return Denial::Never(reason),
            TicketState::Started
            | TicketState::Done(_)
            | TicketState::AnswerDropped
            | TicketState::Lost(_) => {
                return Denial::Maybe(reason);
            }
        }
        self.report.open -= 1;
        if self.report.refused >= self.limits.max_refused {
            self.remove(key);
            return Denial::NotNow(reason);
        }
        entry.state = TicketState::Refused(reason);
        self.report.refused += 1;
        Denial::Never(reason)
    }

    /// Records that the answer of a started request will never arrive.
    pub fn mark_lost(&mut self, key: DedupKey, reason: Reason) -> Denial {
        let Some(entry) = self.entries.get_mut(key) else {
            return Denial::Maybe(reason);
        };
        match entry.state {
            TicketState::Admitted => self.refuse(key, reason),
            TicketState::Started => {
                entry.state = TicketState::Lost(reason);
                self.report.open -= 1;
                Denial::Maybe(reason)
            }
            TicketState::Refused(reason) => Denial::Never(reason),
            TicketState::Done(_) | TicketState::AnswerDropped | TicketState::Lost(_) => {
                Denial::Maybe(reason)
            }
        }
    }

    /// State of a ticket; `None` if its record was dropped.
    pub fn state(&self, key: DedupKey) -> Option<&TicketState<A>> {
        self.entries.get(key).map(|entry| &entry.state)
    }

    /// Drops at most `max` records of ended requests whose tickets have expired.
    pub fn sweep(&mut self, now_unix_ms: u64, max: usize) {
        let expired: Vec<DedupKey> = self
            .expiries
            .iter()
            .take_while(|(expires_unix_ms, _)| *expires_unix_ms <= now_unix_ms)
            .map(|(_, key)| *key)
            .filter(|key| self.entries[*key].state.is_final())
            .take(max)
            .collect();
        for key in expired {
            self.drop_expired(key);
        }
        while self
            .answers
            .front()
            .is_some_and(|key| !self.entries.contains_key(*key))
        {
            self.answers.pop_front();
        }
    }

    /// Counters for metrics and dumps.
    pub fn report(&self) -> DedupReport {
        DedupReport {
            entries: self.entries.len(),
            ..self.report
        }
    }

    fn set_local(&mut self, local: Incarnation) {
        if self.local == Some(local) {
            return;
        }
        if let Some(previous) = self.local.replace(local) {
            self.past_incarnations.push_back(previous);
        }
        if self.past_incarnations.len() > MAX_PAST_INCARNATIONS {
            self.past_incarnations.pop_front();
        }
    }

    fn decide_resend(&mut self, key: DedupKey, fingerprint: Fingerprint) -> DedupDecision<A> {
        let entry = &self.entries[key];
        if entry.fingerprint != fingerprint {
            return DedupDecision::Deny(Denial::NotNow(Reason::BadRequest));
        }
        match &entry.state {
            TicketState::Admitted | TicketState::Started => {
                self.report.joined += 1;
                DedupDecision::Join(key)
            }
            TicketState::Done(answer) => {
                self.report.replayed += 1;
                DedupDecision::Replay(Arc::clone(answer))
            }
            TicketState::AnswerDropped => DedupDecision::Deny(Denial::Maybe(Reason::Broken)),
            TicketState::Refused(reason) => DedupDecision::Deny(Denial::Never(*reason)),
            TicketState::Lost(reason) => DedupDecision::Deny(Denial::Maybe(*reason)),
        }
    }

    /// Denies a ticket without a record, if it must not run.
    fn deny_unseen(
        &mut self,
        ticket: &Ticket,
        local: Incarnation,
        now_unix_ms: u64,
    ) -> Option<Denial> {
        let expires_unix_ms = ticket.expires_unix_ms;
        if expires_unix_ms <= self.report.horizon_unix_ms {
            return Some(self.deny_void());
        }
        if ticket.incarnation != local {
            return Some(self.deny_other_incarnation(ticket.incarnation));
        }
        if self.is_from_future(ticket, now_unix_ms) {
            return Some(Denial::NotNow(Reason::TicketVoid));
        }
        if expires_unix_ms <= now_unix_ms {
            self.report.horizon_unix_ms = expires_unix_ms;
            return Some(Denial::Never(Reason::TicketVoid));
        }
        if self.entries.len() >= self.limits.max_entries {
            self.sweep(now_unix_ms, SWEEP_WHEN_FULL);
        }
        if expires_unix_ms <= self.report.horizon_unix_ms {
            return Some(self.deny_void());
        }
        if self.entries.len() >= self.limits.max_entries {
            self.report.full += 1;
            return Some(Denial::NotNow(Reason::WorkerFull));
        }
        None
    }

    /// Denies a ticket of another incarnation. An earlier incarnation of this worker has not run a
    /// ticket without a record; an unknown incarnation may have run it.
    fn deny_other_incarnation(&mut self, incarnation: Incarnation) -> Denial {
        if self.past_incarnations.contains(&incarnation) {
            Denial::Never(Reason::TicketVoid)
        } else {
            self.deny_void()
        }
    }

    fn deny_void(&mut self) -> Denial {
        self.report.void += 1;
        Denial::NotNow(Reason::TicketVoid)
    }

    /// Returns whether the ticket's times are later than clock skew and lifetime allow.
    fn is_from_future(&self, ticket: &Ticket, now_unix_ms: u64) -> bool {
        let newest_unix_ms = now_unix_ms + u64::from(self.limits.max_skew_ms);
        let latest_unix_ms = newest_unix_ms + u64::from(self.limits.max_lifetime_ms);
        ticket.minted_unix_ms > newest_unix_ms || ticket.expires_unix_ms > latest_unix_ms
    }

    fn insert(&mut self, ticket: &Ticket, fingerprint: Fingerprint) -> DedupKey {
        let key = self.entries.insert(Entry {
            id: ticket.id(),
            fingerprint,
            expires_unix_ms: ticket.expires_unix_ms,
            answer_bytes: 0,
            state: TicketState::Admitted,
        });
        self.keys.insert(ticket.id(), key);
        self.expiries.insert((ticket.expires_unix_ms, key));
        self.report.open += 1;
        key
    }

    /// Drops the oldest answers while their total size exceeds the limit.
    fn drop_answers(&mut self) {
        while self.report.answer_bytes > self.limits.max_answer_bytes {
            let Some(key) = self.answers.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(key) else {
                continue;
            };
            entry.state = TicketState::AnswerDropped;
            self.report.answer_bytes -= entry.answer_bytes;
            self.report.dropped += 1;
        }
    }

    /// Drops the record of an expired ticket and advances the horizon.
    fn drop_expired(&mut self, key: DedupKey) {
        let entry = &self.entries[key];
        let horizon_unix_ms = self.report.horizon_unix_ms.max(entry.expires_unix_ms);
        self.report.horizon_unix_ms = horizon_unix_ms;
        match entry.state {
            TicketState::Refused(_) => self.report.refused -= 1,
            TicketState::Done(_) => self.report.answer_bytes -= entry.answer_bytes,
            _ => {}
        }
        self.remove(key);
    }

    fn remove(&mut self, key: DedupKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.keys.remove(&entry.id);
        self.expiries.remove(&(entry.expires_unix_ms, key));
    }
}

impl<A> TicketState<A> {
    /// Returns whether the state is final.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Admitted | Self::Started)
    }
}
