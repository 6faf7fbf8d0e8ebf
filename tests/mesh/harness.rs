//! Test harness: a fleet of daemons with stand-ins for the platform's store, workers and clients.

use {
    async_trait::async_trait,
    futures::future::LocalBoxFuture,
    shallotdeal::{
        mesh::{
            Mesh, Parts,
            conn::{self, Conn},
            daemon,
            frame::WorkerIncarnation,
            gate::Change,
            http::{self, Head},
            protocol::{
                Answered, Freshness, Page, PlatformStore, Protocol, StoreChange, StoreEntry,
                StoreResult, WatchResult, WorkerReport,
            },
            runtime::{self, now_us, sleep_ms},
            settings::MeshSettings,
        },
        place::{DataCentre, Region},
        platform::WireProtocol,
        policy::{quota::QuotaRules, retry_budget::RetryBudgetRules},
        store::{LeaseId, StoreError},
    },
    smol_str::SmolStr,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        net::{SocketAddr, TcpListener, UdpSocket},
        rc::Rc,
        sync::{
            Once,
            atomic::{AtomicU32, Ordering},
        },
    },
    tracing::level_filters::LevelFilter,
    tracing_subscriber::layer::SubscriberExt,
};

/// Key of the configuration in the store.
const CONFIG_KEY: &str = "op/config";
pub(crate) const ATTEMPT: &str = "X-Shallotdeal-Attempt-Id";
const STAMP: &str = "X-Shallotdeal-Response-Stamp";

/// Time limit of one test, much longer than any test needs.
const TEST_LIMIT_MS: u64 = 30_000;

/// Time limit of an answer of the store, in addition to the wait that the call itself requests.
const ANSWER_TIMEOUT_MS: u64 = 1_500;

/// First port of the daemons under test.
const FIRST_PORT: u16 = 10_000;
/// Number of ports for daemons under test.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports of two successive processes, so that parallel test processes
/// rarely try the same ones.
const PORTS_PER_PROCESS: u32 = 1_009;

/// Enables all log lines in the whole process.
///
/// A callsite that a thread without a subscriber reaches first may otherwise be disabled for the
/// subscribers of other threads too, and their tests miss its lines.
pub(crate) fn enable_log_lines() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let subscriber = tracing_subscriber::registry().with(LevelFilter::INFO);
        tracing::subscriber::set_global_default(subscriber).unwrap();
    });
}

/// Runs a test on the daemons' executor.
pub(crate) fn run(test: impl Future<Output = ()>) {
    enable_log_lines();
    let ended = runtime::block_on(async { runtime::within(TEST_LIMIT_MS, test).await });
    assert!(ended.is_some(), "the test exceeded its time limit");
}

/// Polls a condition until it is true; panics after ten seconds.
pub(crate) async fn eventually(condition: &str, is_true: impl Fn() -> bool) {
    for _ in 0..500 {
        if is_true() {
            return;
        }
        sleep_ms(20).await;
    }
    panic!("condition not reached: {condition}");
}

/// Address whose port is free for TCP and UDP, and which no other daemon of this process gets. The
/// range is below that of the ports which the system gives to clients.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * PORTS_PER_PROCESS;
        let port = FIRST_PORT + (number % PORT_COUNT) as u16;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Value in the store.
#[derive(Debug, Clone)]
struct StoredItem {
    value: Vec<u8>,
    lease: u64,
    /// Revision of the last change.
    revision: u64,
}

/// In-memory store.
#[derive(Default)]
pub(crate) struct TestStore {
    items: RefCell<BTreeMap<String, StoredItem>>,
    history: RefCell<Vec<(u64, StoreChange)>>,
    revision: Cell<u64>,
    compacted_revision: Cell<u64>,
    leases: RefCell<BTreeSet<u64>>,
    next_lease: Cell<u64>,
    pub(crate) is_down: Cell<bool>,
    pub(crate) writes: Cell<u32>,
    /// Price of all calls in tenths of a call, refused ones included. Renewals and stale reads cost
    /// a tenth.
    pub(crate) price: Cell<u32>,
    /// Era as stated in all answers.
    pub(crate) era: RefCell<Option<SmolStr>>,
}

/// State of a [`TestStore`] at one moment.
pub(crate) struct StoreCopy {
    items: BTreeMap<String, StoredItem>,
    history: Vec<(u64, StoreChange)>,
    revision: u64,
    leases: BTreeSet<u64>,
}

impl StoreCopy {
    /// Removes all leases and their entries.
    pub(crate) fn without_leased(mut self) -> Self {
        self.items.retain(|_, item| item.lease == 0);
        self.leases.clear();
        self
    }
}

impl TestStore {
    fn check(&self) -> Result<(), StoreError> {
        if self.is_down.get() {
            return Err(StoreError::Unavailable {
                step: "call",
                peer: "store".into(),
                detail: "down".into(),
            });
        }
        Ok(())
    }

    fn answered<T>(&self, value: T) -> Answered<T> {
        let era = self.era.borrow().clone();
        Answered { value, era }
    }

    fn charge(&self, tenths: u32) {
        self.price.set(self.price.get() + tenths);
    }

    /// Copies the state, to which [`TestStore::restore`] goes back.
    pub(crate) fn copy(&self) -> StoreCopy {
        StoreCopy {
            items: self.items.borrow().clone(),
            history: self.history.borrow().clone(),
            revision: self.revision.get(),
            leases: self.leases.borrow().clone(),
        }
    }

    /// Comes back from an older copy: what was written since is lost, and its revisions are given
    /// out again. Leases granted since are gone, and so is the history before the copy.
    pub(crate) fn restore(&self, copy: StoreCopy, era: &str) {
        *self.items.borrow_mut() = copy.items;
        *self.history.borrow_mut() = copy.history;
        self.revision.set(copy.revision);
        *self.leases.borrow_mut() = copy.leases;
        *self.era.borrow_mut() = Some(era.into());
    }

    fn change(&self, change: StoreChange) {
        self.revision.set(self.revision.get() + 1);
        self.history
            .borrow_mut()
            .push((self.revision.get(), change));
    }

    pub(crate) fn write(&self, key: &str, value: &[u8], lease: u64) {
        let revision = self.revision.get() + 1;
        let item = StoredItem {
            value: value.to_vec(),
            lease,
            revision,
        };
        self.items.borrow_mut().insert(key.into(), item);
        self.change(StoreChange::Put(StoreEntry {
            key: key.into(),
            value: value.to_vec(),
            revision: Some(revision),
        }));
    }

    /// Writes a version of the configuration, as the operators do.
    pub(crate) fn write_config(&self, version: u64) {
        self.write(CONFIG_KEY, config(version, 1_500).as_bytes(), 0);
    }

    /// Expires all leases and removes their entries.
    pub(crate) fn expire_leases(&self) {
        self.leases.borrow_mut().clear();
        let leased: Vec<String> = {
            let items = self.items.borrow();
            let leased = items.iter().filter(|(_, item)| item.lease > 0);
            leased.map(|(key, _)| key.clone()).collect()
        };
        for key in leased {
            self.items.borrow_mut().remove(&key);
            self.change(StoreChange::Removed(key.into()));
        }
    }

    /// Compacts the history.
    pub(crate) fn compact(&self) {
        self.history.borrow_mut().clear();
        self.compacted_revision.set(self.revision.get());
    }

    /// Value of a key.
    pub(crate) fn entry(&self, key: &str) -> Option<String> {
        let items = self.items.borrow();
        String::from_utf8(items.get(key)?.value.clone()).ok()
    }

    pub(crate) fn keys(&self) -> Vec<String> {
        self.items.borrow().keys().cloned().collect()
    }
}

#[async_trait(?Send)]
impl PlatformStore for TestStore {
    async fn list(&self, prefix: &str, after: &str, freshness: Freshness) -> StoreResult<Page> {
        self.charge(if freshness == Freshness::Stale { 1 } else { 10 });
        self.check()?;
        let items = self.items.borrow();
        let below = items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let entries = below.map(|(key, item)| StoreEntry {
            key: key.as_str().into(),
            value: item.value.clone(),
            revision: Some(item.revision),
        });
        Ok(self.answered(Page {
            entries: entries.collect(),
            is_truncated: false,
            revision: self.revision.get(),
        }))
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> StoreResult<WatchResult> {
        self.charge(10);
        let until_us = now_us() + wait_ms * 1_000;
        loop {
            self.check()?;
            if after < self.compacted_revision.get() || after > self.revision.get() {
                return Ok(self.answered(WatchResult::Compacted));
            }
            let changes: Vec<StoreChange> = {
                let history = self.history.borrow();
                let later = history.iter().filter(|(revision, _)| *revision > after);
                let below = later.filter(|(_, change)| match change {
                    StoreChange::Put(entry) => entry.key.starts_with(prefix),
                    StoreChange::Removed(key) => key.starts_with(prefix),
                });
                below.map(|(_, change)| change.clone()).collect()
            };
            if !changes.is_empty() || now_us() > until_us {
                let revision = self.revision.get();
                return Ok(self.answered(WatchResult::Changes { changes, revision }));
            }
            sleep_ms(10).await;
        }
    }

    async fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> StoreResult<bool> {
        self.charge(10);
        self.check()?;
        if !self.leases.borrow().contains(&lease.0) {
            return Ok(self.answered(false));
        }
        self.writes.set(self.writes.get() + 1);
        self.write(key, value, lease.0);
        Ok(self.answered(true))
    }

    async fn grant(&self, _ttl_ms: u64) -> StoreResult<LeaseId> {
        self.charge(10);
        self.check()?;
        self.next_lease.set(self.next_lease.get() + 1);
        self.leases.borrow_mut().insert(self.next_lease.get());
        Ok(self.answered(LeaseId(self.next_lease.get())))
    }

    async fn renew(&self, lease: LeaseId) -> StoreResult<bool> {
        self.charge(1);
        self.check()?;
        Ok(self.answered(self.leases.borrow().contains(&lease.0)))
    }
}

/// Store client of one VM, whose access can be interrupted.
pub(crate) struct VmStore {
    store: Rc<TestStore>,
    pub(crate) is_unreachable: Cell<bool>,
    /// Whether the store takes all calls of this VM and never answers them.
    pub(crate) is_silent: Cell<bool>,
    /// Whether the store takes watches of this VM and never answers them.
    pub(crate) swallows_watches: Cell<bool>,
    /// Whether the answers of watches that deliver changes are lost.
    pub(crate) loses_changes: Cell<bool>,
    /// Number of answers with changes that were lost.
    pub(crate) lost_changes: Cell<u32>,
    /// Version of the configuration that is written while the next read of it is answered, after its
    /// entry and before its revision.
    pub(crate) written_in_read: Cell<Option<u64>>,
    /// Number of watches that get no answer.
    pub(crate) swallowed_watches: Cell<u32>,
    /// Number of configuration documents that the store has sent to this VM.
    pub(crate) received_configs: Cell<usize>,
    /// Number of writes whose answers are lost, although the writes are done.
    pub(crate) lost_answers: Cell<u32>,
}

impl VmStore {
    fn count_configs(&self, count: usize) {
        self.received_configs
            .set(self.received_configs.get() + count);
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.is_unreachable.get() {
            return Err(StoreError::Unavailable {
                step: "call",
                peer: "store".into(),
                detail: "unreachable".into(),
            });
        }
        Ok(())
    }

    /// Checks whether a call reaches the store. A call to a silent store ends after its time limit.
    async fn reach(&self, wait_ms: u64) -> Result<(), StoreError> {
        self.check()?;
        if self.is_silent.get() {
            sleep_ms(wait_ms + ANSWER_TIMEOUT_MS).await;
            return Err(time_out());
        }
        Ok(())
    }
}

fn time_out() -> StoreError {
    StoreError::Uncertain {
        step: "call",
        peer: "store".into(),
        detail: "time-out".into(),
    }
}

#[async_trait(?Send)]
impl PlatformStore for VmStore {
    async fn list(&self, prefix: &str, after: &str, freshness: Freshness) -> StoreResult<Page> {
        self.reach(0).await?;
        let mut page = self.store.list(prefix, after, freshness).await?;
        if prefix == CONFIG_KEY {
            if let Some(version) = self.written_in_read.take() {
                self.store.write_config(version);
                page.value.revision = self.store.revision.get();
            }
            self.count_configs(page.value.entries.len());
        }
        Ok(page)
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> StoreResult<WatchResult> {
        if self.swallows_watches.get() || self.is_silent.get() {
            self.swallowed_watches.set(self.swallowed_watches.get() + 1);
            sleep_ms(wait_ms + ANSWER_TIMEOUT_MS).await;
            return Err(time_out());
        }
        let watched = self.store.watch(prefix, after, wait_ms).await;
        self.check()?;
        if self.loses_changes.get() {
            self.lost_changes.set(self.lost_changes.get() + 1);
            sleep_ms(wait_ms + ANSWER_TIMEOUT_MS).await;
            return Err(time_out());
        }
        if let Ok(Answered {
            value: WatchResult::Changes { changes, .. },
            ..
        }) = &watched
        {
            self.count_configs(changes.len());
        }
        watched
    }

    async fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> StoreResult<bool> {
        self.reach(0).await?;
        let answered = self.store.put(key, value, lease).await;
        let lost_answers = self.lost_answers.get();
        if lost_answers > 0 {
            self.lost_answers.set(lost_answers - 1);
            return Err(StoreError::Uncertain {
                step: "call",
                peer: "store".into(),
                detail: "answer lost".into(),
            });
        }
        answered
    }

    async fn grant(&self, ttl_ms: u64) -> StoreResult<LeaseId> {
        self.reach(0).await?;
        self.store.grant(ttl_ms).await
    }

    async fn renew(&self, lease: LeaseId) -> StoreResult<bool> {
        self.reach(0).await?;
        self.store.renew(lease).await
    }
}

/// Behaviour of a worker on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Answers after a delay.
    Answer { after_ms: u64 },
    /// Answers with a body of this length.
    AnswerBytes { body_bytes: usize },
    /// Answers, and then sends a second answer with another attempt id.
    AnswerTwice,
    /// Answers without a length and closes the connection.
    Unframed,
    /// Answers without a length and resets the connection before the end.
    UnframedReset,
    /// Answers without a length before it has read the body of the request, and resets the connection
    /// before the end of the answer.
    EarlyReset,
    /// Closes the connection in the middle of the answer.
    Truncate,
    /// Closes the connection without an answer.
    Close,
    /// Answers that it did not run the request.
    Shed,
    /// Answers with a failure.
    Fail,
    /// Crashes on a request whose attempt id begins with `killer`: closes the connection and the
    /// port.
    CrashOnKiller,
    /// Answers with a success that carries no stamp.
    Unstamped,
    /// Answers requests whose attempt id begins with `endless` without end, the others at once.
    Endless(EndlessAnswer),
}

/// Pieces of [`EndlessAnswer::Length`] after which nothing more is sent.
const LENGTH_PIECES: usize = 500;

/// Bytes that a worker sends without end, until the daemon closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndlessAnswer {
    /// Bytes that are no answer.
    Noise,
    /// Fields of a head.
    Fields,
    /// Interim answers.
    Interim,
    /// Complete answers to other requests.
    Unmatched,
    /// A body without a length.
    Unframed,
    /// A body that stops before its length is reached.
    Length,
    /// Chunks of a body.
    Chunks,
    /// Chunks of one byte.
    TinyChunks,
    /// The size of one chunk.
    ChunkSize,
    /// Fields after the last chunk.
    Trailers,
}

impl EndlessAnswer {
    pub(crate) const ALL: [Self; 10] = [
        Self::Noise,
        Self::Fields,
        Self::Interim,
        Self::Unmatched,
        Self::Unframed,
        Self::Length,
        Self::Chunks,
        Self::TinyChunks,
        Self::ChunkSize,
        Self::Trailers,
    ];

    /// Beginning of the answer, and the bytes that are repeated.
    fn text(self, head: &str) -> (String, String) {
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let large = "x".repeat(60_000);
        match self {
            Self::Noise => (String::new(), large),
            Self::Fields => (head.into(), "A: b\r\n".repeat(1_000)),
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000)),
            Self::Unmatched => {
                let other = format!("HTTP/1.1 200 OK\r\n{ATTEMPT}: other\r\n{STAMP}: s-other\r\n");
                (
                    String::new(),
                    format!("{other}Content-Length: 60000\r\n\r\n{large}"),
                )
            }
            Self::Unframed => (format!("{head}\r\n"), large),
            Self::Length => (format!("{head}Content-Length: 40000000\r\n\r\n"), large),
            Self::Chunks => (chunked, format!("ea60\r\n{large}\r\n")),
            Self::TinyChunks => (chunked, "1\r\nx\r\n".repeat(10_000)),
            Self::ChunkSize => (chunked + "1;", large),
            Self::Trailers => (chunked + "0\r\n", "A: b\r\n".repeat(1_000)),
        }
    }
}

/// Request as received by a worker.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: Head,
    pub(crate) body: Vec<u8>,
}

/// Stand-in worker.
pub(crate) struct Worker {
    pub(crate) addr: SocketAddr,
    pub(crate) id: SmolStr,
    pub(crate) behaviour: Cell<Behaviour>,
    pub(crate) received: RefCell<Vec<ReceivedRequest>>,
    pub(crate) cancelled: Cell<u32>,
    /// Number of connections that daemons have closed during an endless answer.
    pub(crate) closed: Cell<u32>,
    pub(crate) has_crashed: Cell<bool>,
    /// Requests per second that it names as its limit in all answers.
    pub(crate) limit_per_s: Cell<Option<f64>>,
    /// Whether it says in all answers that it leaves.
    pub(crate) is_leaving: Cell<bool>,
}

impl Worker {
    fn start(id: &str) -> Rc<Self> {
        let listener = conn::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let worker = Rc::new(Self {
            addr: listener.local_addr().unwrap(),
            id: id.into(),
            behaviour: Cell::new(Behaviour::Answer { after_ms: 0 }),
            received: RefCell::default(),
            cancelled: Cell::new(0),
            closed: Cell::new(0),
            has_crashed: Cell::new(false),
            limit_per_s: Cell::new(None),
            is_leaving: Cell::new(false),
        });
        let accepting = Rc::clone(&worker);
        runtime::detach("worker", async move {
            loop {
                if accepting.has_crashed.get() {
                    return;
                }
                let accepted = runtime::within(20, listener.accept()).await;
                let stream = match accepted {
                    Some(Ok((stream, _))) => stream,
                    // The event loop of an earlier test on this thread has ended.
                    Some(Err(_)) => return,
                    None => continue,
                };
                let worker = Rc::clone(&accepting);
                runtime::detach(
                    "worker connection",
                    async move { worker.serve(stream).await },
                );
            }
        });
        worker
    }

    pub(crate) fn count(&self) -> usize {
        self.received.borrow().len()
    }

    async fn serve(self: Rc<Self>, stream: tokio::net::TcpStream) {
        let mut conn = Conn::new(stream).unwrap();
        loop {
            let Ok(head) = http::read_request(&mut conn, 65_536).await else {
                return;
            };
            let attempt = head.field(ATTEMPT).unwrap_or_default().to_owned();
            if self.behaviour.get() == Behaviour::EarlyReset {
                self.respond(&mut conn, &attempt).await;
                conn.into_stream().unwrap().set_zero_linger().unwrap();
                return;
            }
            let Ok(body) = http::read_body(&mut conn, head.framing, 1 << 30).await else {
                return;
            };
            if self.has_crashed.get() {
                return;
            }
            self.received
                .borrow_mut()
                .push(ReceivedRequest { head, body });
            if !self.respond(&mut conn, &attempt).await {
                break;
            }
        }
        if self.behaviour.get() == Behaviour::UnframedReset {
            sleep_ms(60).await;
            let stream = conn.into_stream().unwrap();
            stream.set_zero_linger().unwrap();
        }
    }

    async fn respond(&self, conn: &mut Conn, attempt: &str) -> bool {
        let io = conn.io();
        let limit = self
            .limit_per_s
            .get()
            .map(|limit_per_s| format!("Server-Limit: {limit_per_s}\r\n"));
        let leaving = self.is_leaving.get().then_some("Server-Leaving: 1\r\n");
        let state = limit.unwrap_or_default() + leaving.unwrap_or_default();
        let head = |status: &str, attempt: &str| {
            format!("HTTP/1.1 {status}\r\n{ATTEMPT}: {attempt}\r\n{STAMP}: s-{attempt}\r\n{state}")
        };
        let body = format!("body of {attempt} by {}", self.id);
        let good = format!(
            "{}Content-Length: {}\r\n\r\n{body}",
            head("200 OK", attempt),
            body.len()
        );
        let text = match self.behaviour.get() {
            Behaviour::Answer { after_ms } => {
                if after_ms > 0 {
                    let ended = runtime::within(after_ms, conn.fill()).await;
                    if ended.is_some() {
                        self.cancelled.set(self.cancelled.get() + 1);
                        return false;
                    }
                }
                good
            }
            Behaviour::AnswerBytes { body_bytes } => format!(
                "{}Content-Length: {body_bytes}\r\n\r\n{}",
                head("200 OK", attempt),
                "x".repeat(body_bytes)
            ),
            Behaviour::AnswerTwice => format!(
                "{good}{}Content-Length: 3\r\n\r\nold",
                head("200 OK", "another")
            ),
            Behaviour::Unframed | Behaviour::UnframedReset | Behaviour::EarlyReset => {
                format!("{}\r\n{body}", head("200 OK", attempt))
            }
            Behaviour::Truncate => good[..good.len() - 4].into(),
            Behaviour::Close => return false,
            Behaviour::CrashOnKiller if attempt.starts_with("killer") => {
                self.has_crashed.set(true);
                return false;
            }
            Behaviour::Endless(answer) if attempt.starts_with("endless") => {
                let (first, repeated) = answer.text(&head("200 OK", attempt));
                let mut text = first + &repeated;
                let mut pieces = 0;
                while io.write_all(text.as_bytes()).await.is_ok() {
                    text.clone_from(&repeated);
                    pieces += 1;
                    if answer == EndlessAnswer::Length && pieces == LENGTH_PIECES {
                        // Ends when the daemon closes the connection.
                        let _ = conn.fill().await;
                        break;
                    }
                }
                self.closed.set(self.closed.get() + 1);
                return false;
            }
            Behaviour::CrashOnKiller | Behaviour::Endless(_) => good,
            Behaviour::Shed => format!(
                "HTTP/1.1 503 Busy\r\n{ATTEMPT}: {attempt}\r\nX-Shallotdeal-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            ),
            Behaviour::Fail => format!("{}Content-Length: 0\r\n\r\n", head("500 Bad", attempt)),
            Behaviour::Unstamped => {
                format!("HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\nContent-Length: 2\r\n\r\nhm")
            }
        };
        if io.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        !matches!(
            self.behaviour.get(),
            Behaviour::Truncate | Behaviour::Unframed | Behaviour::UnframedReset
        )
    }
}

/// One VM: a daemon and its worker.
pub(crate) struct Vm {
    pub(crate) mesh: Rc<Mesh>,
    pub(crate) worker: Rc<Worker>,
    pub(crate) store: Rc<VmStore>,
    sequence: Cell<u64>,
    tasks: RefCell<Vec<async_executor::Task<()>>>,
}

impl Vm {
    pub(crate) fn report(&self, is_draining: bool) {
        self.sequence.set(self.sequence.get() + 1);
        let report = WorkerReport {
            incarnation: WorkerIncarnation {
                id: self.worker.id.clone(),
                started_unix_ms: 1_000,
            },
            service: self.mesh.settings.service.clone(),
            addr: self.worker.addr,
            slots: 8,
            is_draining,
            warm_up_remaining_ms: 0,
            sequence: self.sequence.get(),
        };
        self.mesh.gate.borrow_mut().report(report, now_us());
        self.mesh.publish();
    }

    /// Handles the departure of the worker as the control port does.
    pub(crate) fn leave_worker(&self) {
        let change = self
            .mesh
            .gate
            .borrow_mut()
            .leave(&self.worker.id, Some(1_000), now_us());
        assert_eq!(change, Change::State);
        self.mesh.publish();
        self.mesh.registry.wake();
    }

    /// Stops all tasks of the daemon at once.
    pub(crate) fn kill(&self) {
        self.tasks.borrow_mut().clear();
    }
}

/// Daemons, workers and a store.
pub(crate) struct Fleet {
    pub(crate) store: Rc<TestStore>,
    pub(crate) vms: Vec<Vm>,
    /// Number of the latest start of a daemon, which stands for its time.
    starts: Cell<u64>,
}

/// Configuration with an idempotent and a non-idempotent route to the service `shop`.
pub(crate) fn config(version: u64, timeout_ms: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Prefix":"{prefix}","Kind":"{kind}","TimeoutMs":{timeout_ms},
            "TargetLatencyMs":500,"Priority":1,"Service":"shop","MaxAttempts":2}}"#
        )
    };
    format!(
        r#"{{"Version":"r{version}","Services":[{{"Name":"shop"}}],"Limits":{{"MaxHeaderBytes":4096,
        "MaxBodyBytes":1000000,"HeaderTimeoutMs":500,"IdleTimeoutMs":5000}},
        "VirtualHosts":[{{"Host":"h","Paths":[{},{}]}}]}}"#,
        route("read", "/read/", "idempotent"),
        route("order", "/order/", "non_idempotent"),
    )
}

impl Fleet {
    /// Starts VMs of the service `shop` and waits until they have discovered each other.
    pub(crate) async fn start(count: usize) -> Self {
        Self::start_with_grace(count, 6_000).await
    }

    /// Starts VMs as [`Fleet::start`] does, with this time between SIGTERM and SIGKILL.
    pub(crate) async fn start_with_grace(count: usize, grace_ms: u64) -> Self {
        let store = Rc::new(TestStore::default());
        store.write(CONFIG_KEY, config(1, 1_500).as_bytes(), 0);
        let vms: Vec<Vm> = (0..count)
            .map(|index| start(index, &store, grace_ms))
            .collect();
        let fleet = Self {
            store,
            vms,
            starts: Cell::new(1),
        };
        fleet.vms.iter().for_each(|vm| vm.report(false));
        eventually("discovery of all daemons", || {
            fleet
                .vms
                .iter()
                .all(|vm| vm.mesh.is_ready() && vm.mesh.directory.borrow().workers("shop") == count)
        })
        .await;
        fleet
    }

    /// Kills a daemon and starts the next incarnation on its VM, beside the same worker.
    pub(crate) fn restart(&mut self, index: usize) {
        let before = &self.vms[index];
        before.kill();
        let (settings, worker) = (before.mesh.settings.clone(), Rc::clone(&before.worker));
        let started_unix_ms = self.starts.get() + 1;
        self.starts.set(started_unix_ms);
        let vm = start_daemon(index, settings, worker, &self.store, started_unix_ms);
        vm.sequence.set(before.sequence.get());
        self.vms[index] = vm;
    }

    /// Writes a version of the configuration, as the operators do.
    pub(crate) fn write_config(&self, version: u64) {
        self.store.write_config(version);
    }

    /// Number of requests whose cancellation workers have seen.
    pub(crate) fn cancelled_requests(&self) -> u32 {
        self.vms.iter().map(|vm| vm.worker.cancelled.get()).sum()
    }

    /// Number of requests that workers have received.
    pub(crate) fn received_requests(&self) -> usize {
        self.vms.iter().map(|vm| vm.worker.count()).sum()
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        self.vms
            .iter()
            .for_each(|vm| vm.worker.behaviour.set(behaviour));
    }

    /// Sends one request to the first daemon on a new connection.
    pub(crate) async fn request(&self, method: &str, path: &str, id: &str) -> Response {
        let mut client = Client::connect(&self.vms[0]).await;
        client.send(method, path, id, "", b"").await;
        client.receive().await.expect("an answer")
    }
}

fn start(index: usize, store: &Rc<TestStore>, grace_ms: u64) -> Vm {
    let worker = Worker::start(&format!("w{index}"));
    let settings = MeshSettings {
        name: format!("vm-{index}").into(),
        region: Region("r".into()),
        data_centre: DataCentre("d".into()),
        clients_addr: free_addr(),
        control_addr: free_addr(),
        ready_addr: free_addr(),
        calls_addr: free_addr(),
        metrics_addr: free_addr(),
        worker_addr: worker.addr,
        service: "shop".into(),
        store_addr: free_addr(),
        lease_min_ms: 1_000,
        propagation_ms: 2_000,
        grace_ms,
        retry_budget: RetryBudgetRules {
            ratio: 0.2,
            window_us: 10_000_000,
        },
        quota: QuotaRules::new(5_000_000, 0.1),
        log_level: tracing::Level::INFO,
    };
    start_daemon(index, settings, worker, store, 1)
}

fn start_daemon(
    index: usize,
    settings: MeshSettings,
    worker: Rc<Worker>,
    store: &Rc<TestStore>,
    started_unix_ms: u64,
) -> Vm {
    let store = Rc::new(VmStore {
        store: Rc::clone(store),
        is_unreachable: Cell::new(false),
        is_silent: Cell::new(false),
        loses_changes: Cell::new(false),
        lost_changes: Cell::new(0),
        swallows_watches: Cell::new(false),
        written_in_read: Cell::new(None),
        swallowed_watches: Cell::new(0),
        received_configs: Cell::new(0),
        lost_answers: Cell::new(0),
    });
    let seed = index as u64 + (started_unix_ms << 16);
    let mesh = Mesh::new(Parts {
        settings,
        protocol: Rc::new(WireProtocol) as Rc<dyn Protocol>,
        store: Rc::clone(&store) as Rc<dyn PlatformStore>,
        started_unix_ms,
        seed,
    });
    mesh.publish();
    let tasks: Vec<LocalBoxFuture<'static, _>> = daemon::tasks(&mesh);
    let tasks = tasks.into_iter().map(|task| {
        runtime::spawn(async move {
            let error = task.await;
            panic!("{error}");
        })
    });
    Vm {
        mesh,
        worker,
        store,
        sequence: Cell::new(0),
        tasks: RefCell::new(tasks.collect()),
    }
}

/// Answer as received by a client.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) head: Head,
    pub(crate) body: String,
}

/// Client with one connection.
pub(crate) struct Client {
    pub(crate) conn: Conn,
}

impl Client {
    pub(crate) async fn connect(vm: &Vm) -> Self {
        Self {
            conn: Conn::connect(vm.mesh.settings.clients_addr).await.unwrap(),
        }
    }

    pub(crate) async fn send(&self, method: &str, path: &str, id: &str, fields: &str, body: &[u8]) {
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let mut request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h\r\n{ATTEMPT}: {id}\r\n\
             X-Shallotdeal-Deadline-Remaining: 3000\r\n{fields}{length}\r\n"
        )
        .into_bytes();
        request.extend_from_slice(body);
        self.conn.write_all(&request).await.unwrap();
    }

    pub(crate) async fn receive(&mut self) -> Option<Response> {
        let head = http::read_answer(&mut self.conn, 65_536, false)
            .await
            .ok()?;
        let body = http::read_body(&mut self.conn, head.framing, 1 << 30)
            .await
            .ok()?;
        Some(Response {
            head,
            body: String::from_utf8(body).unwrap(),
        })
    }
}
