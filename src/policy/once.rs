//! Memory of one daemon of what became of each ticket, so that none runs twice.
//!
//! A record is dropped only once its ticket has expired, and the latest expiry so dropped is kept:
//! an unseen ticket that expires no later may have run, all others certainly have not. No clock,
//! however wrong, makes a ticket run twice.

use {
    super::{
        suspect::Fingerprint,
        ticket::{Ticket, TicketId},
        verdict::Denial,
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

/// Earlier incarnations that a daemon remembers to have served.
const MAX_PAST: usize = 64;

/// Records dropped at most to make room for one ticket.
const SWEEP_WHEN_FULL: usize = 16;

new_key_type! {
    /// Handle of one ticket's record.
    pub struct OnceKey;
}

/// Bounds of the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnceLimits {
    /// Records kept at most.
    pub max_entries: usize,
    /// Records of refusals among them; beyond it a refusal holds for its own send only.
    pub max_refused: usize,
    /// Answers kept for replay at most, in total.
    pub max_answer_bytes: usize,
    /// Longest lifetime of a ticket.
    pub max_lifetime_ms: u32,
    /// Difference between two daemons' clocks that is tolerated.
    pub max_skew_ms: u32,
}

impl Default for OnceLimits {
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

/// What to do with a request that shows a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission<A> {
    /// Run it; exactly one send of a ticket gets this.
    Run(OnceKey),
    /// Another send of it is queued or running: wait for the same answer.
    Join(OnceKey),
    /// It ran: give this answer.
    Replay(Arc<A>),
    /// Do not run it.
    Deny(Denial),
}

/// What became of an admitted ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate<A> {
    /// Admitted; nothing has been sent to the backend server.
    Admitted,
    /// Bytes may have gone to the backend server.
    Started,
    /// It ran and its whole answer is here.
    Done(Arc<A>),
    /// It ran, and its answer was dropped for want of memory.
    Ran,
    /// Nothing of it was sent, nor will be.
    Refused(Reason),
    /// It may have run; its answer will never come.
    Lost(Reason),
}

/// Counts for metrics and dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct OnceReport {
    /// Records kept.
    pub entries: usize,
    /// Records admitted or started and not ended.
    pub open: usize,
    /// Records of refusals.
    pub refused: usize,
    /// Answers kept for replay.
    pub answer_bytes: usize,
    /// Tickets run.
    pub run: u64,
    /// Sends that joined another one.
    pub joined: u64,
    /// Answers given again.
    pub replayed: u64,
    /// Answers dropped for want of memory.
    pub dropped: u64,
    /// Sends denied by a full memory.
    pub full: u64,
    /// Sends denied since the ticket may have run in an earlier life or was forgotten.
    pub void: u64,
    /// Latest expiry of a record that was dropped.
    pub horizon_unix_ms: u64,
}

/// Memory of the tickets shown to one daemon; `A` is the answer kept for replay.
#[derive(Debug)]
pub struct Once<A> {
    limits: OnceLimits,
    entries: SlotMap<OnceKey, Entry<A>>,
    keys: HashMap<TicketId, OnceKey>,
    expiries: BTreeSet<(u64, OnceKey)>,
    answers: VecDeque<OnceKey>,
    past: VecDeque<Incarnation>,
    local: Option<Incarnation>,
    report: OnceReport,
}

#[derive(Debug)]
struct Entry<A> {
    id: TicketId,
    fingerprint: Fingerprint,
    expires_unix_ms: u64,
    answer_bytes: usize,
    fate: Fate<A>,
}

impl<A> Once<A> {
    /// Creates an empty memory; to be done once in a daemon's life.
    pub fn new(limits: OnceLimits) -> Self {
        Self {
            limits,
            entries: SlotMap::with_key(),
            keys: HashMap::default(),
            expiries: BTreeSet::new(),
            answers: VecDeque::new(),
            past: VecDeque::new(),
            local: None,
            report: OnceReport::default(),
        }
    }

    /// Decides on one send of a request; `local` is the worker's present incarnation.
    pub fn admit(
        &mut self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        local: Incarnation,
        now_unix_ms: u64,
    ) -> Admission<A> {
        self.turn_to(local);
        if let Some(&key) = self.keys.get(&ticket.id()) {
            return self.resend(key, fingerprint);
        }
        match self.judge(ticket, local, now_unix_ms) {
            Some(denial) => Admission::Deny(denial),
            None => Admission::Run(self.insert(ticket, fingerprint)),
        }
    }

    /// Notes that bytes of the request are about to go to the backend server.
    ///
    /// Returns false if the record has ended meanwhile: then nothing may be sent.
    #[must_use]
    pub fn start(&mut self, key: OnceKey) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        let fresh = matches!(entry.fate, Fate::Admitted);
        if fresh {
            entry.fate = Fate::Started;
            self.report.run += 1;
        }
        fresh
    }

    /// Keeps the whole answer of a started request; does nothing if it ended before.
    pub fn finish(&mut self, key: OnceKey, answer: Arc<A>, answer_bytes: usize) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if !matches!(entry.fate, Fate::Started) {
            return;
        }
        entry.fate = Fate::Done(answer);
        entry.answer_bytes = answer_bytes;
        self.report.open -= 1;
        self.report.answer_bytes += answer_bytes;
        self.answers.push_back(key);
        self.drop_answers();
    }

    /// Ends a request of which nothing was sent; one that was started may have run.
    pub fn refuse(&mut self, key: OnceKey, reason: Reason) -> Denial {
        let Some(entry) = self.entries.get_mut(key) else {
            return Denial::NotNow(reason);
        };
        match entry.fate {
            Fate::Admitted => {}
            Fate::Refused(reason) => return Denial::Never(reason),
            Fate::Started | Fate::Done(_) | Fate::Ran | Fate::Lost(_) => {
                return Denial::Maybe(reason);
            }
        }
        self.report.open -= 1;
        if self.report.refused >= self.limits.max_refused {
            self.remove(key);
            return Denial::NotNow(reason);
        }
        entry.fate = Fate::Refused(reason);
        self.report.refused += 1;
        Denial::Never(reason)
    }

    /// Ends a started request whose answer will never come.
    pub fn lose(&mut self, key: OnceKey, reason: Reason) -> Denial {
        let Some(entry) = self.entries.get_mut(key) else {
            return Denial::Maybe(reason);
        };
        match entry.fate {
            Fate::Admitted => self.refuse(key, reason),
            Fate::Started => {
                entry.fate = Fate::Lost(reason);
                self.report.open -= 1;
                Denial::Maybe(reason)
            }
            Fate::Refused(reason) => Denial::Never(reason),
            Fate::Done(_) | Fate::Ran | Fate::Lost(_) => Denial::Maybe(reason),
        }
    }

    /// What became of a ticket; `None` if its record is gone.
    pub fn fate(&self, key: OnceKey) -> Option<&Fate<A>> {
        self.entries.get(key).map(|entry| &entry.fate)
    }

    /// Drops at most `max` records of ended requests whose tickets have expired.
    pub fn sweep(&mut self, now_unix_ms: u64, max: usize) {
        let expired: Vec<OnceKey> = self
            .expiries
            .iter()
            .take_while(|(expires_unix_ms, _)| *expires_unix_ms <= now_unix_ms)
            .map(|(_, key)| *key)
            .filter(|key| self.entries[*key].fate.is_ended())
            .take(max)
            .collect();
        for key in expired {
            self.forget(key);
        }
        while self
            .answers
            .front()
            .is_some_and(|key| !self.entries.contains_key(*key))
        {
            self.answers.pop_front();
        }
    }

    /// Counts for metrics and dumps.
    pub fn report(&self) -> OnceReport {
        OnceReport {
            entries: self.entries.len(),
            ..self.report
        }
    }

    fn turn_to(&mut self, local: Incarnation) {
        if self.local == Some(local) {
            return;
        }
        if let Some(before) = self.local.replace(local) {
            self.past.push_back(before);
        }
        if self.past.len() > MAX_PAST {
            self.past.pop_front();
        }
    }

    fn resend(&mut self, key: OnceKey, fingerprint: Fingerprint) -> Admission<A> {
        let entry = &self.entries[key];
        if entry.fingerprint != fingerprint {
            return Admission::Deny(Denial::NotNow(Reason::BadRequest));
        }
        match &entry.fate {
            Fate::Admitted | Fate::Started => {
                self.report.joined += 1;
                Admission::Join(key)
            }
            Fate::Done(answer) => {
                self.report.replayed += 1;
                Admission::Replay(Arc::clone(answer))
            }
            Fate::Ran => Admission::Deny(Denial::Maybe(Reason::Broken)),
            Fate::Refused(reason) => Admission::Deny(Denial::Never(*reason)),
            Fate::Lost(reason) => Admission::Deny(Denial::Maybe(*reason)),
        }
    }

    /// Denies an unseen ticket, if it must not run.
    fn judge(&mut self, ticket: &Ticket, local: Incarnation, now_unix_ms: u64) -> Option<Denial> {
        let expires_unix_ms = ticket.expires_unix_ms;
        if expires_unix_ms <= self.report.horizon_unix_ms {
            return Some(self.void());
        }
        if ticket.incarnation != local {
            return Some(self.judge_past(ticket.incarnation));
        }
        if self.is_ahead(ticket, now_unix_ms) {
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
            return Some(self.void());
        }
        if self.entries.len() >= self.limits.max_entries {
            self.report.full += 1;
            return Some(Denial::NotNow(Reason::WorkerFull));
        }
        None
    }

    /// A dead incarnation that this memory has seen did not run an unseen ticket.
    fn judge_past(&mut self, incarnation: Incarnation) -> Denial {
        if self.past.contains(&incarnation) {
            Denial::Never(Reason::TicketVoid)
        } else {
            self.void()
        }
    }

    fn void(&mut self) -> Denial {
        self.report.void += 1;
        Denial::NotNow(Reason::TicketVoid)
    }

    fn is_ahead(&self, ticket: &Ticket, now_unix_ms: u64) -> bool {
        let newest_unix_ms = now_unix_ms + u64::from(self.limits.max_skew_ms);
        let latest_unix_ms = newest_unix_ms + u64::from(self.limits.max_lifetime_ms);
        ticket.minted_unix_ms > newest_unix_ms || ticket.expires_unix_ms > latest_unix_ms
    }

    fn insert(&mut self, ticket: &Ticket, fingerprint: Fingerprint) -> OnceKey {
        let key = self.entries.insert(Entry {
            id: ticket.id(),
            fingerprint,
            expires_unix_ms: ticket.expires_unix_ms,
            answer_bytes: 0,
            fate: Fate::Admitted,
        });
        self.keys.insert(ticket.id(), key);
        self.expiries.insert((ticket.expires_unix_ms, key));
        self.report.open += 1;
        key
    }

    fn drop_answers(&mut self) {
        while self.report.answer_bytes > self.limits.max_answer_bytes {
            let Some(key) = self.answers.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(key) else {
                continue;
            };
            entry.fate = Fate::Ran;
            self.report.answer_bytes -= entry.answer_bytes;
            self.report.dropped += 1;
        }
    }

    fn forget(&mut self, key: OnceKey) {
        let entry = &self.entries[key];
        let horizon_unix_ms = self.report.horizon_unix_ms.max(entry.expires_unix_ms);
        self.report.horizon_unix_ms = horizon_unix_ms;
        match entry.fate {
            Fate::Refused(_) => self.report.refused -= 1,
            Fate::Done(_) => self.report.answer_bytes -= entry.answer_bytes,
            _ => {}
        }
        self.remove(key);
    }

    fn remove(&mut self, key: OnceKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.keys.remove(&entry.id);
        self.expiries.remove(&(entry.expires_unix_ms, key));
    }
}

impl<A> Fate<A> {
    /// Tells whether nothing more will become of it.
    pub fn is_ended(&self) -> bool {
        !matches!(self, Self::Admitted | Self::Started)
    }
}
