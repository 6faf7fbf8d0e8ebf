//! Client of the platform's key-value service over HTTP/1.1.

use {
    crate::{
        framed::Framed,
        response,
        store::{
            Entry, LeaseId, Store, StoreError, Swap, Version,
            wire::{Answer, Call, Item, PATH},
        },
    },
    async_std::{future::timeout, net::TcpStream},
    async_trait::async_trait,
    futures::FutureExt,
    http_types::{Body, Method, Request, StatusCode, Url, headers::CONTENT_TYPE},
    parking_lot::Mutex,
    scopeguard::ScopeGuard,
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::{fmt::Display, future::Future, net::SocketAddr, time::Duration},
};

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT_MS: u32 = 1_000;
/// Timeout of receiving the head of a response, and again of receiving its body.
const RESPONSE_TIMEOUT_MS: u32 = 2_000;
/// Largest number of idle connections kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// [`Store`] over the platform's HTTP protocol.
#[derive(Debug)]
pub struct HttpStore {
    addr: SocketAddr,
    peer: SmolStr,
    idle: Mutex<Vec<TcpStream>>,
}

/// Failure of one HTTP exchange, regardless of whether the call writes.
enum ExchangeError {
    /// Nothing was sent, or the service reported that the call had no effect.
    NoEffect(SmolStr),
    /// The service may have received the call and carried it out.
    MaybeApplied(SmolStr),
    /// The service refused the call.
    Refused(SmolStr),
}

impl HttpStore {
    /// Creates a client; it connects on the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            peer: addr.to_smolstr(),
            idle: Mutex::new(Vec::new()),
        }
    }

    async fn call(&self, call: Call, wait_ms: u32) -> Result<Answer, StoreError> {
        let step = call.name();
        let writes = call.writes();
        self.exchange(&call, wait_ms.saturating_add(RESPONSE_TIMEOUT_MS))
            .await
            .map_err(|error| self.store_error(step, writes, error))
    }

    async fn exchange(&self, call: &Call, head_timeout_ms: u32) -> Result<Answer, ExchangeError> {
        let request = self.request(call).map_err(ExchangeError::NoEffect)?;
        let framed = Framed::new(self.connection().await?);
        // Connections fall silent together, so the idle ones are in doubt without an answer.
        let doubt = scopeguard::guard((), |()| self.idle.lock().clear());
        let mut head = with_timeout(head_timeout_ms, response::send(&framed, request))
            .await
            .map_err(ExchangeError::MaybeApplied)?;
        let reading = response::read_body(&framed, &mut head, false, MAX_RESPONSE_BYTES);
        let body = with_timeout(RESPONSE_TIMEOUT_MS, reading)
            .await
            .map_err(ExchangeError::MaybeApplied)?;
        ScopeGuard::into_inner(doubt);
        if response::is_reusable(&framed, &head) {
            self.keep_idle(framed.stream().clone());
        }
        parse_answer(head.status(), &body)
    }

    fn request(&self, call: &Call) -> Result<Request, SmolStr> {
        let url = format!("http://{}{PATH}{}", self.addr, call.name());
        let url = Url::parse(&url).map_err(to_text)?;
        let body = serde_json::to_vec(call).map_err(to_text)?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(Body::from_bytes(body));
        request.insert_header(CONTENT_TYPE, "application/json");
        Ok(request)
    }

    async fn connection(&self) -> Result<TcpStream, ExchangeError> {
        while let Some(stream) = self.take_idle() {
            if is_open(&stream) {
                return Ok(stream);
            }
        }
        let stream = with_timeout(CONNECT_TIMEOUT_MS, TcpStream::connect(self.addr))
            .await
            .map_err(ExchangeError::NoEffect)?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    fn take_idle(&self) -> Option<TcpStream> {
        self.idle.lock().pop()
    }

    fn keep_idle(&self, stream: TcpStream) {
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream);
        }
    }

    fn store_error(&self, step: &'static str, writes: bool, error: ExchangeError) -> StoreError {
        let peer = self.peer.clone();
        match error {
            ExchangeError::Refused(detail) => StoreError::Refused { step, peer, detail },
            ExchangeError::MaybeApplied(detail) if writes => {
                StoreError::Uncertain { step, peer, detail }
            }
            ExchangeError::MaybeApplied(detail) | ExchangeError::NoEffect(detail) => {
                StoreError::Unavailable { step, peer, detail }
            }
        }
    }

    fn unexpected_answer(&self, step: &'static str, writes: bool) -> StoreError {
        let detail = SmolStr::new_static("unexpected kind of answer");
        self.store_error(step, writes, ExchangeError::MaybeApplied(detail))
    }

    fn entry(&self, step: &'static str, item: Item) -> Result<Entry, StoreError> {
        Entry::try_from(item).map_err(|error| {
            self.store_error(step, false, ExchangeError::MaybeApplied(to_text(error)))
        })
    }

    fn swap_result(&self, step: &'static str, answer: Answer) -> Result<Swap, StoreError> {
        match answer {
            Answer::Applied { version } => Ok(Swap::Applied(Version(version))),
            Answer::Conflict { entry } => {
                let entry = entry.map(|item| self.entry(step, item)).transpose()?;
                Ok(Swap::Conflict(entry))
            }
            _ => Err(self.unexpected_answer(step, true)),
        }
    }

    fn optional_entry(
        &self,
        step: &'static str,
        answer: Answer,
    ) -> Result<Option<Entry>, StoreError> {
        match answer {
            Answer::Entry { entry } => entry.map(|item| self.entry(step, item)).transpose(),
            _ => Err(self.unexpected_answer(step, false)),
        }
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let key = SmolStr::new(key);
        let answer = self.call(Call::Get { key }, 0).await?;
        self.optional_entry("get", answer)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let prefix = SmolStr::new(prefix);
        match self.call(Call::List { prefix }, 0).await? {
            Answer::Entries { entries } => entries
                .into_iter()
                .map(|item| self.entry("list", item))
                .collect(),
            _ => Err(self.unexpected_answer("list", false)),
        }
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let call = Call::Swap {
            key: SmolStr::new(key),
            expected: expected.0,
            value: value.into(),
            lease: lease.map(|lease| lease.0),
        };
        let answer = self.call(call, 0).await?;
        self.swap_result("swap", answer)
    }

    async fn remove(&self, key: &str, expected: Version) -> Result<Swap, StoreError> {
        let call = Call::Remove {
            key: SmolStr::new(key),
            expected: expected.0,
        };
        let answer = self.call(call, 0).await?;
        self.swap_result("remove", answer)
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait_ms: u32,
    ) -> Result<Option<Entry>, StoreError> {
        let call = Call::Watch {
            key: SmolStr::new(key),
            after: after.0,
            wait_ms,
        };
        let answer = self.call(call, wait_ms).await?;
        self.optional_entry("watch", answer)
    }

    async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, StoreError> {
        match self.call(Call::Grant { ttl_ms }, 0).await? {
            Answer::Lease { lease } => Ok(LeaseId(lease)),
            _ => Err(self.unexpected_answer("grant", true)),
        }
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        match self.call(Call::Renew { lease: lease.0 }, 0).await? {
            Answer::Renewed => Ok(()),
            _ => Err(self.unexpected_answer("renew", true)),
        }
    }
}

/// Whether an idle connection can be reused: the peer has neither closed it nor sent any bytes.
fn is_open(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).now_or_never().is_none()
}

async fn with_timeout<T, E: Display>(
    limit_ms: u32,
    step: impl Future<Output = Result<T, E>>,
) -> Result<T, SmolStr> {
    match timeout(Duration::from_millis(u64::from(limit_ms)), step).await {
        Ok(result) => result.map_err(to_text),
        Err(_) => Err(format_smolstr!("timeout after {limit_ms} ms")),
    }
}

fn parse_answer(status: StatusCode, body: &[u8]) -> Result<Answer, ExchangeError> {
    if status.is_success() {
        return serde_json::from_slice(body)
            .map_err(|error| ExchangeError::MaybeApplied(to_text(error)));
    }
    let detail = format_smolstr!("{status}: {}", String::from_utf8_lossy(body));
    match status {
        StatusCode::ServiceUnavailable => Err(ExchangeError::NoEffect(detail)),
        _ if status.is_client_error() => Err(ExchangeError::Refused(detail)),
        _ => Err(ExchangeError::MaybeApplied(detail)),
    }
}

fn to_text(value: impl Display) -> SmolStr {
    value.to_smolstr()
}
