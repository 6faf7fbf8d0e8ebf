//! Crash suspects: requests that were in flight when a worker crashed, and may have caused the
//! crash.
//!
//! A request blamed for one crash is run in isolation; one blamed for two is quarantined. The state
//! is a set of crash records, each with a blame state that only increases, so daemons can merge it
//! in any order.

use {
    crate::request::{Incarnation, ServiceName},
    derive_more::{Display, Error},
    foldhash::quality::FixedState,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, VecDeque},
        hash::{BuildHasher, Hasher},
        ops::Bound,
    },
};

const FINGERPRINT_SEED: u64 = 0x7368_616c_6c6f_7431;

/// Number of hexadecimal digits of a fingerprint's text form; also the radix.
const HEX_DIGITS: u32 = 16;

const CRASHES_TO_QUARANTINE: usize = 2;

/// Hash of a request's service, method, path and body; equal in all processes of one release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

/// Error for a text that is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("fingerprint: {text} is not a number of {HEX_DIGITS} hexadecimal digits")]
pub struct FingerprintError {
    /// Text as written.
    pub text: SmolStr,
}

/// Whether a request is blamed for a crash. When records are merged, the later variant prevails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
pub enum BlameState {
    /// The request was in flight at the crash.
    #[display("blamed")]
    Blamed,
    /// The request has since run to its end in isolation.
    #[display("cleared")]
    Cleared,
    /// Operators have lifted the suspicion.
    #[display("lifted")]
    Lifted,
}

/// One request in flight at one crash; the unit of gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Incarnation of the worker that crashed.
    pub incarnation: Incarnation,
    /// Service of the request.
    pub service: ServiceName,
    /// Time of the crash on the clock of the daemon that observed it.
    pub at_unix_ms: u64,
    /// Whether the request is blamed for the crash.
    pub state: BlameState,
}

/// How a request may be run. If the verdicts of an ingress and a gate differ, the greater one
/// applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
pub enum SuspectVerdict {
    /// Run normally.
    #[display("run")]
    Run,
    /// Run in isolation, with nothing else in flight at the worker.
    #[display("run-alone")]
    RunAlone,
    /// Do not run.
    #[display("quarantined")]
    Quarantined,
}

/// Limits of the crash records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectLimits {
    /// Largest number of crash records.
    pub max_entries: usize,
    /// Time after which a request blamed for one crash runs normally again.
    pub suspicion_ms: u32,
    /// Time after the last crash at which a quarantine ends by itself.
    pub quarantine_ms: u32,
}

impl Default for SuspectLimits {
    fn default() -> Self {
        Self {
            max_entries: 4_096,
            suspicion_ms: 600_000,
            quarantine_ms: 86_400_000,
        }
    }
}

/// One crash suspect, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRow {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Service of the request.
    pub service: ServiceName,
    /// How the request may be run now.
    pub verdict: SuspectVerdict,
    /// Number of crashes that the request is blamed for.
    #[serde(rename = "deaths")]
    pub crashes: usize,
    /// Time of the last of these crashes.
    pub last_unix_ms: u64,
}

/// Counters for metrics and dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SuspectReport {
    /// Number of crash records.
    pub entries: usize,
    /// Crash records created by this daemon.
    pub blamed: u64,
    /// Requests cleared by this daemon.
    pub cleared: u64,
    /// Requests lifted at this daemon.
    pub lifted: u64,
    /// Crash records dropped because the limit was reached.
    pub dropped: u64,
}

impl SuspectReport {
    /// Number of changes made by this daemon so far.
    pub fn changes(&self) -> u64 {
        self.blamed + self.cleared + self.lifted
    }
}

/// Crash records of one data centre, as known to one daemon.
#[derive(Debug)]
pub struct CrashSuspects {
    limits: SuspectLimits,
    entries: BTreeMap<EntryId, Entry>,
    /// Changed entries that have not been gossiped.
    changes: VecDeque<EntryId>,
    /// Last entry gossiped in rotation.
    cursor: Option<EntryId>,
    report: SuspectReport,
}

type EntryId = (Fingerprint, Incarnation);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    service: ServiceName,
    at_unix_ms: u64,
    state: BlameState,
}

impl Fingerprint {
    /// Fingerprint of a request.
    pub fn new(service: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = FixedState::with_seed(FINGERPRINT_SEED).build_hasher();
        for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        Self(hasher.finish())
    }
}

impl TryFrom<&str> for Fingerprint {
    type Error = FingerprintError;

    fn try_from(text: &str) -> Result<Self, FingerprintError> {
        let error = || FingerprintError { text: text.into() };
        let is_plain =
            text.len() == HEX_DIGITS as usize && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_plain {
            return Err(error());
        }
        u64::from_str_radix(text, HEX_DIGITS)
            .map(Self)
            .map_err(|_| error())
    }
}

impl CrashSuspects {
    /// Creates an empty set of crash records.
    pub fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            changes: VecDeque::new(),
            cursor: None,
            report: SuspectReport::default(),
        }
    }

    /// Blames the requests that were in flight when a worker crashed.
    ///
    /// The worker's daemon and each ingress may report the same crash; it counts once.
    pub fn record_crash(
        &mut self,
        incarnation: Incarnation,
        in_flight: impl IntoIterator<Item = (Fingerprint, ServiceName)>,
        now_unix_ms: u64,
    ) {
        for (fingerprint, service) in in_flight {
            let has_changed = self.merge_record(CrashRecord {
                fingerprint,
                incarnation,
                service,
                at_unix_ms: now_unix_ms,
                state: BlameState::Blamed,
            });
            self.report.blamed += u64::from(has_changed);
        }
    }

    /// Clears a request that has run to its end in isolation.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let has_changed = self.raise_state(fingerprint, BlameState::Cleared);
        self.report.cleared += u64::from(has_changed);
    }

    /// Lifts the suspicion from a request, as ordered by an operator. Earlier crashes no longer
    /// count. Returns whether any crash record changed.
    pub fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        let has_changed = self.raise_state(fingerprint, BlameState::Lifted);
        self.report.lifted += u64::from(has_changed);
        has_changed
    }

    /// How a request may be run.
    pub fn verdict(&self, fingerprint: Fingerprint, now_unix_ms: u64) -> SuspectVerdict {
        if self.entries.is_empty() {
            return SuspectVerdict::Run;
        }
        let entries = self.entries_of(fingerprint).map(|(_, entry)| entry);
        self.evaluate(entries, now_unix_ms).0
    }

    /// Crash suspects: quarantined ones first, then by time of the last crash, latest first.
    pub fn list(&self, now_unix_ms: u64) -> Vec<SuspectRow> {
        let mut rows = Vec::new();
        let mut next = self.entries.keys().next().map(|id| id.0);
        while let Some(fingerprint) = next {
            rows.extend(self.row(fingerprint, now_unix_ms));
            next = self.next_fingerprint(fingerprint);
        }
        rows.sort_by_key(|row| {
            (
                row.verdict != SuspectVerdict::Quarantined,
                !row.last_unix_ms,
            )
        });
        rows
    }

    /// Crash records to gossip, at most `max`: changed ones first, then the others in rotation.
    pub fn digest(&mut self, max: usize) -> Vec<CrashRecord> {
        let mut ids = Vec::new();
        while ids.len() < max
            && let Some(id) = self.changes.pop_front()
        {
            ids.push(id);
        }
        let rest = (max - ids.len()).min(self.entries.len());
        for _ in 0..rest {
            ids.extend(self.next_in_rotation());
        }
        ids.sort_unstable();
        ids.dedup();
        ids.into_iter().filter_map(|id| self.record(id)).collect()
    }

    /// Merges crash records received from another daemon. Returns whether that changed anything.
    pub fn merge(&mut self, records: impl IntoIterator<Item = CrashRecord>) -> bool {
        let mut has_changed = false;
        for record in records {
            has_changed |= self.merge_record(record);
        }
        has_changed
    }

    /// Drops records that no longer affect any verdict.
    pub fn sweep(&mut self, now_unix_ms: u64) {
        let limit_ms = u64::from(self.limits.quarantine_ms.max(self.limits.suspicion_ms));
        self.entries
            .retain(|_, entry| now_unix_ms < entry.at_unix_ms.saturating_add(limit_ms));
    }

    /// All crash records, for dumps.
    pub fn records(&self) -> impl Iterator<Item = CrashRecord> + '_ {
        self.entries.keys().filter_map(|id| self.record(*id))
    }

    /// Counters for metrics and dumps.
    pub fn report(&self) -> SuspectReport {
        SuspectReport {
            entries: self.entries.len(),
            ..self.report
        }
    }

    fn entries_of(&self, fingerprint: Fingerprint) -> impl Iterator<Item = (&EntryId, &Entry)> {
        let first = (fingerprint, Incarnation(u64::MIN));
        let last = (fingerprint, Incarnation(u64::MAX));
        self.entries.range(first..=last)
    }

    /// Verdict on a request, its number of crashes and the time of the last one, from its entries.
    fn evaluate<'a>(
        &self,
        entries: impl Iterator<Item = &'a Entry>,
        now_unix_ms: u64,
    ) -> (SuspectVerdict, usize, u64) {
        let mut crashes = 0;
        let mut last_unix_ms = 0;
        for entry in entries.filter(|entry| entry.state == BlameState::Blamed) {
            crashes += 1;
            last_unix_ms = last_unix_ms.max(entry.at_unix_ms);
        }
        let is_quarantined = crashes >= CRASHES_TO_QUARANTINE;
        let limit_ms = if is_quarantined {
            self.limits.quarantine_ms
        } else {
            self.limits.suspicion_ms
        };
        let has_expired = now_unix_ms >= last_unix_ms.saturating_add(u64::from(limit_ms));
        let verdict = match (crashes, has_expired) {
            (0, _) | (_, true) => SuspectVerdict::Run,
            _ if is_quarantined => SuspectVerdict::Quarantined,
            _ => SuspectVerdict::RunAlone,
        };
        (verdict, crashes, last_unix_ms)
    }

    fn row(&self, fingerprint: Fingerprint, now_unix_ms: u64) -> Option<SuspectRow> {
        let (_, first) = self.entries_of(fingerprint).next()?;
        let entries = self.entries_of(fingerprint).map(|(_, entry)| entry);
        let (verdict, crashes, last_unix_ms) = self.evaluate(entries, now_unix_ms);
        (verdict != SuspectVerdict::Run).then(|| SuspectRow {
            fingerprint,
            service: first.service.clone(),
            verdict,
            crashes,
            last_unix_ms,
        })
    }

    /// Smallest fingerprint with entries that is greater than this one.
    fn next_fingerprint(&self, fingerprint: Fingerprint) -> Option<Fingerprint> {
        let last = (fingerprint, Incarnation(u64::MAX));
        let rest = (Bound::Excluded(last), Bound::Unbounded);
        self.entries.range(rest).next().map(|(id, _)| id.0)
    }

    /// Moves the cursor to the next entry, and after the last one to the first.
    fn next_in_rotation(&mut self) -> Option<EntryId> {
        let rest = match self.cursor {
            Some(id) => (Bound::Excluded(id), Bound::Unbounded),
            None => (Bound::Unbounded, Bound::Unbounded),
        };
        let next = self.entries.range(rest).next();
        let first = || self.entries.first_key_value();
        self.cursor = next.or_else(first).map(|(id, _)| *id);
        self.cursor
    }

    fn record(&self, id: EntryId) -> Option<CrashRecord> {
        let entry = self.entries.get(&id)?;
        Some(CrashRecord {
            fingerprint: id.0,
            incarnation: id.1,
            service: entry.service.clone(),
            at_unix_ms: entry.at_unix_ms,
            state: entry.state,
        })
    }

    /// Raises the state of all entries of a request; returns whether any changed.
    fn raise_state(&mut self, fingerprint: Fingerprint, state: BlameState) -> bool {
        let first = (fingerprint, Incarnation(u64::MIN));
        let last = (fingerprint, Incarnation(u64::MAX));
        let mut has_changed = false;
        for (id, entry) in self.entries.range_mut(first..=last) {
            if entry.state < state {
                entry.state = state;
                self.changes.push_back(*id);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Merges one crash record; returns whether anything changed.
    fn merge_record(&mut self, record: CrashRecord) -> bool {
        let id = (record.fingerprint, record.incarnation);
        let merged = match self.entries.get(&id) {
            Some(entry) => entry.merged(&record),
            None => Entry::from(record),
        };
        if self.entries.get(&id) == Some(&merged) {
            return false;
        }
        if !self.entries.contains_key(&id) && self.entries.len() >= self.limits.max_entries {
            self.evict_one();
        }
        self.entries.insert(id, merged);
        self.changes.push_back(id);
        while self.changes.len() > self.limits.max_entries {
            self.changes.pop_front();
        }
        true
    }

    /// Drops the least valuable entry: a cleared or lifted one, else one of the request with the
    /// fewest crashes; among equals the oldest.
    fn evict_one(&mut self) {
        let value = |id: &EntryId, entry: &Entry| match entry.state {
            BlameState::Cleared | BlameState::Lifted => 0,
            BlameState::Blamed => self
                .entries_of(id.0)
                .filter(|(_, other)| other.state == BlameState::Blamed)
                .count(),
        };
        let evicted = self
            .entries
            .iter()
            .min_by_key(|(id, entry)| (value(id, entry), entry.at_unix_ms))
            .map(|(id, _)| *id);
        if let Some(id) = evicted {
            self.entries.remove(&id);
            self.report.dropped += 1;
        }
    }
}

impl Entry {
    /// Entry merged with a record of the same crash; the result does not depend on the order of
    /// merges.
    fn merged(&self, record: &CrashRecord) -> Self {
        Self {
            service: self.service.clone().min(record.service.clone()),
            at_unix_ms: self.at_unix_ms.max(record.at_unix_ms),
            state: self.state.max(record.state),
        }
    }
}

impl From<CrashRecord> for Entry {
    fn from(record: CrashRecord) -> Self {
        Self {
            service: record.service,
            at_unix_ms: record.at_unix_ms,
            state: record.state,
        }
    }
}
