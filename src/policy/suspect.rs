//! Requests that were in flight when a worker died, and may have killed it.
//!
//! A request blamed for one death runs alone; one blamed for two is quarantined. What is known
//! is a set of deaths, each with a mark that only rises, so daemons merge it in any order.

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
const HEX: u32 = 16;
const DEATHS_TO_QUARANTINE: usize = 2;

/// Hash of a request's service, method, path and body; the same in all processes of one release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

/// A text that is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("fingerprint: {text} is not a number of {HEX} hexadecimal digits")]
pub struct FingerprintError {
    /// Text as written.
    pub text: SmolStr,
}

/// Whether a request is held to have caused a death; the later mark holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
pub enum Mark {
    /// It was in flight at the death.
    #[display("blamed")]
    Blamed,
    /// It ran to its end alone since.
    #[display("cleared")]
    Cleared,
    /// Operators have released it.
    #[display("lifted")]
    Lifted,
}

/// One request in flight at one death; the unit of gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Death {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Worker's life that ended.
    pub incarnation: Incarnation,
    /// Service of the request.
    pub service: ServiceName,
    /// Time of the death on the clock of the daemon that saw it.
    pub at_unix_ms: u64,
    /// Whether the request is held to have caused it.
    pub mark: Mark,
}

/// How a request may be run. Of an ingress's verdict and a gate's, the greater one holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
pub enum SuspectVerdict {
    /// Like any other.
    #[display("run")]
    Run,
    /// With nothing else in flight at the worker.
    #[display("run-alone")]
    RunAlone,
    /// Not at all.
    #[display("quarantined")]
    Quarantined,
}

/// Bounds of the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectLimits {
    /// Deaths kept at most.
    pub max_entries: usize,
    /// Time after which a request blamed for one death is trusted again.
    pub suspicion_ms: u32,
    /// Time after the last death that a quarantine ends without an operator.
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

/// One request under suspicion, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRow {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its service.
    pub service: ServiceName,
    /// How it may be run now.
    pub verdict: SuspectVerdict,
    /// Deaths that it is blamed for.
    pub deaths: usize,
    /// Time of the last of them.
    pub last_unix_ms: u64,
}

/// Counts for metrics and dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SuspectReport {
    /// Deaths kept.
    pub entries: usize,
    /// Marks of blame set here.
    pub blamed: u64,
    /// Requests cleared here.
    pub cleared: u64,
    /// Requests lifted here.
    pub lifted: u64,
    /// Deaths dropped for want of memory.
    pub dropped: u64,
}

impl SuspectReport {
    /// Marks set here so far.
    pub fn changes(&self) -> u64 {
        self.blamed + self.cleared + self.lifted
    }
}

/// What one daemon knows of deaths in its data centre.
#[derive(Debug)]
pub struct Suspects {
    limits: SuspectLimits,
    traces: BTreeMap<TraceId, Trace>,
    changes: VecDeque<TraceId>,
    cursor: Option<TraceId>,
    report: SuspectReport,
}

type TraceId = (Fingerprint, Incarnation);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Trace {
    service: ServiceName,
    at_unix_ms: u64,
    mark: Mark,
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
        let is_plain = text.len() == HEX as usize && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_plain {
            return Err(error());
        }
        u64::from_str_radix(text, HEX)
            .map(Self)
            .map_err(|_| error())
    }
}

impl Suspects {
    /// Creates an empty memory.
    pub fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            traces: BTreeMap::new(),
            changes: VecDeque::new(),
            cursor: None,
            report: SuspectReport::default(),
        }
    }

    /// Blames the requests in flight at a worker's death.
    ///
    /// The worker's daemon and each ingress may report the same death; it counts once.
    pub fn blame(
        &mut self,
        incarnation: Incarnation,
        in_flight: impl IntoIterator<Item = (Fingerprint, ServiceName)>,
        now_unix_ms: u64,
    ) {
        for (fingerprint, service) in in_flight {
            let is_new = self.join(Death {
                fingerprint,
                incarnation,
                service,
                at_unix_ms: now_unix_ms,
                mark: Mark::Blamed,
            });
            self.report.blamed += u64::from(is_new);
        }
    }

    /// Clears a request that has run alone to its end.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let is_new = self.mark(fingerprint, Mark::Cleared);
        self.report.cleared += u64::from(is_new);
    }

    /// Releases a request on an operator's word; it starts afresh. Tells whether it was known.
    pub fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        let is_new = self.mark(fingerprint, Mark::Lifted);
        self.report.lifted += u64::from(is_new);
        is_new
    }

    /// How a request may be run.
    pub fn verdict(&self, fingerprint: Fingerprint, now_unix_ms: u64) -> SuspectVerdict {
        if self.traces.is_empty() {
            return SuspectVerdict::Run;
        }
        let blamed = self.of(fingerprint).map(|(_, trace)| trace);
        self.judge(blamed, now_unix_ms).0
    }

    /// Requests under suspicion, quarantined ones first, the latest first.
    pub fn list(&self, now_unix_ms: u64) -> Vec<SuspectRow> {
        let mut rows = Vec::new();
        let mut next = self.traces.keys().next().map(|id| id.0);
        while let Some(fingerprint) = next {
            rows.extend(self.row(fingerprint, now_unix_ms));
            next = self.after(fingerprint);
        }
        rows.sort_by_key(|row| {
            (
                row.verdict != SuspectVerdict::Quarantined,
                !row.last_unix_ms,
            )
        });
        rows
    }

    /// Deaths to gossip, at most `max`: changes first, then all others in turn.
    pub fn digest(&mut self, max: usize) -> Vec<Death> {
        let mut ids = Vec::new();
        while ids.len() < max
            && let Some(id) = self.changes.pop_front()
        {
            ids.push(id);
        }
        let room = (max - ids.len()).min(self.traces.len());
        for _ in 0..room {
            ids.extend(self.turn());
        }
        ids.sort_unstable();
        ids.dedup();
        ids.into_iter().filter_map(|id| self.death(id)).collect()
    }

    /// Takes in what another daemon gossiped. Tells whether anything was new.
    pub fn merge(&mut self, deaths: impl IntoIterator<Item = Death>) -> bool {
        let mut is_new = false;
        for death in deaths {
            is_new |= self.join(death);
        }
        is_new
    }

    /// Drops what is too old to matter.
    pub fn sweep(&mut self, now_unix_ms: u64) {
        let limit_ms = u64::from(self.limits.quarantine_ms.max(self.limits.suspicion_ms));
        self.traces
            .retain(|_, trace| now_unix_ms < trace.at_unix_ms.saturating_add(limit_ms));
    }

    /// All that is known, for dumps.
    pub fn deaths(&self) -> impl Iterator<Item = Death> + '_ {
        self.traces.keys().filter_map(|id| self.death(*id))
    }

    /// Counts for metrics and dumps.
    pub fn report(&self) -> SuspectReport {
        SuspectReport {
            entries: self.traces.len(),
            ..self.report
        }
    }

    fn of(&self, fingerprint: Fingerprint) -> impl Iterator<Item = (&TraceId, &Trace)> {
        let first = (fingerprint, Incarnation(u64::MIN));
        let last = (fingerprint, Incarnation(u64::MAX));
        self.traces.range(first..=last)
    }

    fn judge<'a>(
        &self,
        traces: impl Iterator<Item = &'a Trace>,
        now_unix_ms: u64,
    ) -> (SuspectVerdict, usize, u64) {
        let mut deaths = 0;
        let mut last_unix_ms = 0;
        for trace in traces.filter(|trace| trace.mark == Mark::Blamed) {
            deaths += 1;
            last_unix_ms = last_unix_ms.max(trace.at_unix_ms);
        }
        let is_quarantined = deaths >= DEATHS_TO_QUARANTINE;
        let limit_ms = if is_quarantined {
            self.limits.quarantine_ms
        } else {
            self.limits.suspicion_ms
        };
        let is_over = now_unix_ms >= last_unix_ms.saturating_add(u64::from(limit_ms));
        let verdict = match (deaths, is_over) {
            (0, _) | (_, true) => SuspectVerdict::Run,
            _ if is_quarantined => SuspectVerdict::Quarantined,
            _ => SuspectVerdict::RunAlone,
        };
        (verdict, deaths, last_unix_ms)
    }

    fn row(&self, fingerprint: Fingerprint, now_unix_ms: u64) -> Option<SuspectRow> {
        let (_, first) = self.of(fingerprint).next()?;
        let traces = self.of(fingerprint).map(|(_, trace)| trace);
        let (verdict, deaths, last_unix_ms) = self.judge(traces, now_unix_ms);
        (verdict != SuspectVerdict::Run).then(|| SuspectRow {
            fingerprint,
            service: first.service.clone(),
            verdict,
            deaths,
            last_unix_ms,
        })
    }

    fn after(&self, fingerprint: Fingerprint) -> Option<Fingerprint> {
        let last = (fingerprint, Incarnation(u64::MAX));
        let rest = (Bound::Excluded(last), Bound::Unbounded);
        self.traces.range(rest).next().map(|(id, _)| id.0)
    }

    fn turn(&mut self) -> Option<TraceId> {
        let rest = match self.cursor {
            Some(id) => (Bound::Excluded(id), Bound::Unbounded),
            None => (Bound::Unbounded, Bound::Unbounded),
        };
        let next = self.traces.range(rest).next();
        let first = || self.traces.first_key_value();
        self.cursor = next.or_else(first).map(|(id, _)| *id);
        self.cursor
    }

    fn death(&self, id: TraceId) -> Option<Death> {
        let trace = self.traces.get(&id)?;
        Some(Death {
            fingerprint: id.0,
            incarnation: id.1,
            service: trace.service.clone(),
            at_unix_ms: trace.at_unix_ms,
            mark: trace.mark,
        })
    }

    fn mark(&mut self, fingerprint: Fingerprint, mark: Mark) -> bool {
        let first = (fingerprint, Incarnation(u64::MIN));
        let last = (fingerprint, Incarnation(u64::MAX));
        let mut is_new = false;
        for (id, trace) in self.traces.range_mut(first..=last) {
            if trace.mark < mark {
                trace.mark = mark;
                self.changes.push_back(*id);
                is_new = true;
            }
        }
        is_new
    }

    fn join(&mut self, death: Death) -> bool {
        let id = (death.fingerprint, death.incarnation);
        let joined = match self.traces.get(&id) {
            Some(trace) => trace.join(&death),
            None => Trace::from(death),
        };
        if self.traces.get(&id) == Some(&joined) {
            return false;
        }
        if !self.traces.contains_key(&id) && self.traces.len() >= self.limits.max_entries {
            self.drop_one();
        }
        self.traces.insert(id, joined);
        self.changes.push_back(id);
        while self.changes.len() > self.limits.max_entries {
            self.changes.pop_front();
        }
        true
    }

    /// Drops the least valuable death: a released one, else a single one, else any; oldest first.
    fn drop_one(&mut self) {
        let worth = |id: &TraceId, trace: &Trace| match trace.mark {
            Mark::Cleared | Mark::Lifted => 0,
            Mark::Blamed => self
                .of(id.0)
                .filter(|(_, t)| t.mark == Mark::Blamed)
                .count(),
        };
        let victim = self
            .traces
            .iter()
            .min_by_key(|(id, trace)| (worth(id, trace), trace.at_unix_ms))
            .map(|(id, _)| *id);
        if let Some(id) = victim {
            self.traces.remove(&id);
            self.report.dropped += 1;
        }
    }
}

impl Trace {
    fn join(&self, death: &Death) -> Self {
        Self {
            service: self.service.clone().min(death.service.clone()),
            at_unix_ms: self.at_unix_ms.max(death.at_unix_ms),
            mark: self.mark.max(death.mark),
        }
    }
}

impl From<Death> for Trace {
    fn from(death: Death) -> Self {
        Self {
            service: death.service,
            at_unix_ms: death.at_unix_ms,
            mark: death.mark,
        }
    }
}
