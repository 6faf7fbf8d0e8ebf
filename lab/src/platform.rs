//! Stand-in for the platform's key-value service with fault injection.
//!
//! It serves the HTTP protocol of `shallotdeal::store::wire`. `GET /admin` returns the counters and
//! the active faults; `POST /admin` with the JSON of [`Faults`] sets them.

use {
    async_std::{
        net::TcpListener,
        task::{self, JoinHandle},
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    shallotdeal::{
        clock::SystemClock,
        store::{
            LeaseId, Store, StoreError, Version,
            memory::MemoryStore,
            wire::{Answer, Call, PATH},
        },
    },
    std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration},
    tide::{Body, Request, Response, Server, StatusCode},
};

/// Delay of an answer that is meant to be lost, longer than clients wait.
const LOST_ANSWER_DELAY_MS: u64 = 10_000;
/// Interval at which a waiting watch checks for an outage.
const WATCH_STEP_MS: u32 = 100;

/// Faults that the service injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Refuses each call without effect.
    pub outage: bool,
    /// Delay before each call is executed.
    pub delay_ms: u64,
    /// Number of the next writes that take effect but whose answers are lost.
    pub lose_answers: u32,
}

/// Counters of the service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Calls by name; a watch counts once, when it starts.
    pub calls: BTreeMap<String, u64>,
    /// Watches that are waiting now.
    pub waiting_watches: u64,
    /// Largest number of watches that waited at the same time.
    pub most_waiting_watches: u64,
    /// Answers that were lost by injection.
    pub lost_answers: u64,
    /// Calls refused during outages.
    pub refused: u64,
}

/// Counters and faults, as returned by the admin path.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Counters.
    pub counts: Counts,
    /// Faults.
    pub faults: Faults,
}

/// State shared by all connections of the service.
#[derive(Debug)]
pub struct Platform {
    store: MemoryStore,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
}

/// A running service.
#[derive(Debug)]
pub struct RunningPlatform {
    /// Address that the service listens on.
    pub addr: SocketAddr,
    /// State of the service.
    pub platform: Arc<Platform>,
    /// Server task; cancelling it closes the port.
    pub task: JoinHandle<io::Result<()>>,
}

impl Platform {
    /// Creates an empty service without faults.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            store: MemoryStore::new(Arc::new(SystemClock::new())),
            faults: Mutex::default(),
            counts: Mutex::default(),
        })
    }

    /// Sets the active faults; an outage also ends the waiting watches.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
        if faults.outage {
            self.store.wake_all();
        }
    }

    /// Returns the current counters and faults.
    pub fn report(&self) -> Report {
        Report {
            counts: self.counts.lock().clone(),
            faults: *self.faults.lock(),
        }
    }

    /// Starts to serve on `addr`.
    pub async fn serve(self: Arc<Self>, addr: SocketAddr) -> io::Result<RunningPlatform> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let platform = Arc::clone(&self);
        let task = task::spawn(app(self).listen(listener));
        Ok(RunningPlatform {
            addr,
            platform,
            task,
        })
    }

    async fn handle(&self, call: Call) -> Response {
        self.count(&call);
        let delay_ms = self.faults.lock().delay_ms;
        task::sleep(Duration::from_millis(delay_ms)).await;
        if self.faults.lock().outage {
            return self.refuse();
        }
        let writes = call.writes();
        let result = self.execute(call).await;
        if writes && self.loses_answer() {
            task::sleep(Duration::from_millis(LOST_ANSWER_DELAY_MS)).await;
            return Response::new(StatusCode::GatewayTimeout);
        }
        result.map_or_else(|error| failure(&error), |answer| success(&answer))
    }

    async fn execute(&self, call: Call) -> Result<Answer, StoreError> {
        Ok(match call {
            Call::Get { key } => Answer::Entry {
                entry: self.store.get(&key).await?.map(Into::into),
            },
            Call::List { prefix } => Answer::Entries {
                entries: self
                    .store
                    .list(&prefix)
                    .await?
                    .into_iter()
                    .map(Into::into)
                    .collect(),
            },
            Call::Swap {
                key,
                expected,
                value,
                lease,
            } => {
                let value = value.try_into().map_err(|_| invalid_value())?;
                let lease = lease.map(LeaseId);
                let expected = Version(expected);
                self.store.swap(&key, expected, value, lease).await?.into()
            }
            Call::Remove { key, expected } => {
                self.store.remove(&key, Version(expected)).await?.into()
            }
            Call::Watch {
                key,
                after,
                wait_ms,
            } => self.watch(&key, Version(after), wait_ms).await?,
            Call::Grant { ttl_ms } => self.store.grant(ttl_ms).await?.into(),
            Call::Renew { lease } => {
                self.store.renew(LeaseId(lease)).await?;
                Answer::Renewed
            }
        })
    }

    async fn watch(&self, key: &str, after: Version, wait_ms: u32) -> Result<Answer, StoreError> {
        self.count_watch();
        let entry = self.wait(key, after, wait_ms).await;
        self.counts.lock().waiting_watches -= 1;
        Ok(Answer::Entry {
            entry: entry?.map(Into::into),
        })
    }

    async fn wait(
        &self,
        key: &str,
        after: Version,
        wait_ms: u32,
    ) -> Result<Option<shallotdeal::store::Entry>, StoreError> {
        let mut remaining_ms = wait_ms;
        loop {
            let step_ms = remaining_ms.min(WATCH_STEP_MS);
            let entry = self.store.watch(key, after, step_ms).await?;
            remaining_ms -= step_ms;
            if entry.is_some() || remaining_ms == 0 || self.faults.lock().outage {
                return Ok(entry);
            }
        }
    }

    fn count_watch(&self) {
        let mut counts = self.counts.lock();
        counts.waiting_watches += 1;
        counts.most_waiting_watches = counts.most_waiting_watches.max(counts.waiting_watches);
    }

    fn count(&self, call: &Call) {
        let name = call.name().to_owned();
        *self.counts.lock().calls.entry(name).or_default() += 1;
    }

    fn refuse(&self) -> Response {
        self.counts.lock().refused += 1;
        let mut response = Response::new(StatusCode::ServiceUnavailable);
        response.set_body("outage");
        response
    }

    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock();
        if faults.lose_answers == 0 {
            return false;
        }
        faults.lose_answers -= 1;
        self.counts.lock().lost_answers += 1;
        true
    }
}

fn app(platform: Arc<Platform>) -> Server<Arc<Platform>> {
    let mut app = tide::with_state(platform);
    app.at(&format!("{PATH}:call")).post(serve_call);
    app.at("/admin").get(get_admin).post(post_admin);
    app
}

async fn serve_call(mut request: Request<Arc<Platform>>) -> tide::Result {
    let call: Call = request.body_json().await?;
    Ok(request.state().handle(call).await)
}

async fn get_admin(request: Request<Arc<Platform>>) -> tide::Result<Body> {
    Body::from_json(&request.state().report())
}

async fn post_admin(mut request: Request<Arc<Platform>>) -> tide::Result<Body> {
    let faults: Faults = request.body_json().await?;
    request.state().set_faults(faults);
    Body::from_json(&request.state().report())
}

fn success(answer: &Answer) -> Response {
    let body = Body::from_json(answer);
    body.map_or_else(
        |_| Response::new(StatusCode::InternalServerError),
        |body| Response::builder(StatusCode::Ok).body(body).build(),
    )
}

fn failure(error: &StoreError) -> Response {
    Response::builder(StatusCode::BadRequest)
        .body(error.to_string())
        .build()
}

fn invalid_value() -> StoreError {
    StoreError::Refused {
        step: "swap",
        peer: "client".into(),
        detail: "the value is not hexadecimal".into(),
    }
}
