//! Stand-ins for the scripts of the second review: the platform's store, workers and clients as the
//! users' pages describe them, and control of daemon processes. Uses the standard library only.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::fd::AsRawFd,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Figures of a small deployment (DEPLOY.md, "Settings of a process").
pub const HEARTBEAT_MS: u64 = 1_500;
pub const GRACE_S: u64 = 6;
pub const SETTLE_MS: u64 = 3_000;
pub const MEMORY_MB: u64 = 260;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.expect("the clock is after 1970").as_millis() as u64
}

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        // A line that is lost does not change the verdict.
        let _ = writeln!(lock(&self.file), "{at_s:8.3} s  {text}");
    }
}

/// Temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let name = format!("review-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Ports that are tried: below those that the system gives to outgoing connections, so that a daemon
/// finds its ports free when it starts again.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 18_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Loopback addresses whose ports are free for TCP and UDP.
pub fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let first = (std::process::id() * 61) % u32::from(PORTS);
    let mut found = Vec::new();
    for _ in 0..PORTS {
        let offset = (first + NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % u32::from(PORTS);
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset as u16));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            found.push(addr);
        }
        if found.len() == count {
            return found;
        }
    }
    panic!("no free ports");
}

/// HTTP message: start line, header fields and body.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut message = Message {
        start: line.trim_end().to_owned(),
        fields: Vec::new(),
        body: Vec::new(),
    };
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some(message);
        }
        let (name, value) = text.split_once(':')?;
        message
            .fields
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a request with its body, which has a length.
fn read_request(reader: &mut impl BufRead) -> Option<Message> {
    read_request_at(reader, 0)
}

/// Reads a request, its body at this rate in bytes a second; zero for no limit.
fn read_request_at(reader: &mut impl BufRead, rate: u64) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length = message
        .field("content-length")
        .map_or(0, |text| text.parse().unwrap_or(0));
    message.body = vec![0; length];
    let started = Instant::now();
    let mut end = 0;
    for piece in message.body.chunks_mut(16 * 1024) {
        reader.read_exact(piece).ok()?;
        end += piece.len();
        if rate > 0 {
            let due = Duration::from_secs_f64(end as f64 / rate as f64);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
    }
    Some(message)
}

/// Makes the receive buffer of a socket small, so that a slow reader holds up the sender.
fn shrink_receive_buffer(stream: &TcpStream) {
    let (sol_socket, so_rcvbuf, bytes) = (1, 8, 64 * 1024_i32);
    // SAFETY: the socket is open and the value is an integer.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            sol_socket,
            so_rcvbuf,
            &raw const bytes,
            4,
        )
    };
}

/// JSON value, as far as the store needs it.
enum Json {
    Plain(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Self> {
        let bytes: Vec<char> = text.chars().collect();
        Self::value(&bytes, &mut 0)
    }

    fn skip(text: &[char], at: &mut usize) {
        while text
            .get(*at)
            .is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':')
        {
            *at += 1;
        }
    }

    fn value(text: &[char], at: &mut usize) -> Option<Self> {
        Self::skip(text, at);
        match text.get(*at)? {
            '"' => {
                let mut out = String::new();
                *at += 1;
                while *text.get(*at)? != '"' {
                    if text[*at] == '\\' {
                        *at += 1;
                    }
                    out.push(*text.get(*at)?);
                    *at += 1;
                }
                *at += 1;
                Some(Self::Text(out))
            }
            '[' => {
                let mut items = Vec::new();
                *at += 1;
                loop {
                    Self::skip(text, at);
                    if *text.get(*at)? == ']' {
                        *at += 1;
                        return Some(Self::List(items));
                    }
                    items.push(Self::value(text, at)?);
                }
            }
            '{' => {
                let mut items = Vec::new();
                *at += 1;
                loop {
                    Self::skip(text, at);
                    if *text.get(*at)? == '}' {
                        *at += 1;
                        return Some(Self::Object(items));
                    }
                    let Self::Text(key) = Self::value(text, at)? else {
                        return None;
                    };
                    items.push((key, Self::value(text, at)?));
                }
            }
            _ => {
                let mut out = String::new();
                while text
                    .get(*at)
                    .is_some_and(|c| !",]}".contains(*c) && !c.is_whitespace())
                {
                    out.push(text[*at]);
                    *at += 1;
                }
                Some(Self::Plain(out))
            }
        }
    }

    fn get(&self, key: &str) -> Option<&Self> {
        let Self::Object(items) = self else {
            return None;
        };
        items
            .iter()
            .find(|(name, _)| name == key)
            .map(|(_, value)| value)
    }

    fn list(&self, key: &str) -> &[Self] {
        match self.get(key) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }

    fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Self::Text(text) | Self::Plain(text)) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self, key: &str) -> u64 {
        self.text(key).parse().unwrap_or(0)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk
            .iter()
            .fold(0_u32, |sum, byte| (sum << 8) | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char;
            out.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        if let Some(byte) = code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    history: Vec<(u64, String, String)>,
    /// Whether all calls are refused.
    is_down: bool,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.history
            .push((self.revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                "{{\"Key\":\"{key}\",\"Revision\":{},\"Removed\":true}}",
                self.revision
            );
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The platform's store (PROTOCOL.md, "The platform's metadata store").
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        lock(&store.state.0).revision = 100;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a configuration, as the operator does.
    pub fn write_config(&self, document: &str) {
        lock(&self.state.0).put("op/config", base64(document.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Begins an outage, in which all calls are refused and waiting ones cut; leases run out meanwhile.
    pub fn begin_outage(&self) {
        let mut state = lock(&self.state.0);
        state.is_down = true;
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Ends an outage.
    pub fn end_outage(&self) {
        lock(&self.state.0).is_down = false;
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = if lock(&self.state.0).is_down {
                (503, String::new())
            } else {
                self.answer(&request)
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        sleep_ms(4);
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query = |name: &str| -> String {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(key, _)| *key == name);
            found.map(|(_, value)| unescape(value)).unwrap_or_default()
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let json = Json::parse(&body).unwrap_or(Json::List(Vec::new()));
        let mut state = lock(&self.state.0);
        state.expire();
        let last = path
            .rsplit('/')
            .next()
            .unwrap_or_default()
            .parse()
            .unwrap_or(0);
        match path.strip_prefix("/shallotdeal/").unwrap_or_default() {
            "kv-range" => {
                let (prefix, after) = (query("Prefix"), query("after"));
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item.json(key)).collect();
                let text = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{text}],\"Truncated\":false,\"StoreRevision\":{}}}",
                        state.revision
                    ),
                )
            }
            "kv-watch" => {
                let (prefix, after) = (query("Prefix"), query("after").parse().unwrap_or(0));
                let until =
                    Instant::now() + Duration::from_millis(query("WaitMs").parse().unwrap_or(0));
                loop {
                    let events = state
                        .history
                        .iter()
                        .filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<String> = events.map(|(_, _, event)| event.clone()).collect();
                    let now = Instant::now();
                    if state.is_down {
                        return (503, String::new());
                    }
                    if !events.is_empty() || now >= until {
                        let text = events.join(",");
                        return (
                            200,
                            format!(
                                "{{\"events\":[{text}],\"StoreRevision\":{}}}",
                                state.revision
                            ),
                        );
                    }
                    let waited = self.state.1.wait_timeout(state, until - now);
                    state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
                }
            }
            "kv-txn" => {
                let holds = json.list("ExpectedRev").iter().all(|row| {
                    let found = state
                        .items
                        .get(&row.text("Key"))
                        .map_or(0, |item| item.revision);
                    found == row.number("Revision")
                });
                if !holds {
                    return (412, "{\"items\":[]}".into());
                }
                let has_leases = json.list("Puts").iter().all(|put| {
                    let lease = put.number("Lease");
                    lease == 0 || state.leases.contains_key(&lease)
                });
                if !has_leases {
                    return (404, "{}".into());
                }
                for put in json.list("Puts") {
                    state.put(&put.text("Key"), put.text("Value"), put.number("Lease"));
                }
                for key in json.list("Remove") {
                    if let Json::Text(key) = key {
                        state.remove(key);
                    }
                }
                self.state.1.notify_all();
                (200, format!("{{\"Revision\":{}}}", state.revision))
            }
            "kv-lease" => {
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl_ms = json.number("TtlMs");
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl_ms}}}"))
            }
            rest if rest.starts_with("kv-keep/") => match state.leases.get_mut(&last) {
                Some((ttl, until)) => {
                    *until = Instant::now() + *ttl;
                    (200, format!("{{\"TtlMs\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".into()),
            },
            rest if rest.starts_with("kv-lease-end/") => {
                state.end_lease(last);
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }
}

/// Route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub idempotent: bool,
    pub timeout_ms: u64,
    pub service: &'static str,
    pub max_attempts: u32,
}

/// Configuration document, with the limits of the example of `fleetbench wire`.
pub fn config(version: u64, routes: &[Route]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":940,\"Protocol\":\"h1\",\"Tls\":false}}"
            )
        })
        .collect();
    let hosts: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"Host\":\"{}\",\"Paths\":[{{\"Name\":\"{}\",\"Prefix\":\"{}\",\"Kind\":\"{}\",\"TimeoutMs\":{},\
                 \"TargetLatencyMs\":1500,\"Priority\":0,\"Service\":\"{}\",\"MaxAttempts\":{}}}]}}",
                route.host,
                route.name,
                route.prefix,
                if route.idempotent { "idempotent" } else { "non_idempotent" },
                route.timeout_ms,
                route.service,
                route.max_attempts
            )
        })
        .collect();
    format!(
        "{{\"Version\":\"r{version}\",\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"VirtualHosts\":[{}]}}",
        services.join(","),
        hosts.join(",")
    )
}

/// Adds a tenant with a usage cap to a configuration document.
pub fn with_tenant(document: &str, name: &str, key: &str, rate_per_s: u64, burst: u64) -> String {
    let document = document
        .strip_suffix('}')
        .expect("the document is an object");
    format!(
        "{document},\"Tenants\":[{{\"Name\":\"{name}\",\"ApiKeys\":[\"{key}\"],\"Priority\":0,\
         \"RatePerS\":{rate_per_s},\"Burst\":{burst}}}]}}"
    )
}

/// Machine with one worker and one daemon.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub region: &'static str,
    pub service: &'static str,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub calls: SocketAddr,
    pub metrics: SocketAddr,
    pub app: SocketAddr,
}

impl Machine {
    pub fn new(
        name: &str,
        zone: &'static str,
        region: &'static str,
        service: &'static str,
    ) -> Self {
        let addrs = free_addrs(6);
        Self {
            name: name.into(),
            zone,
            region,
            service,
            outbound: addrs[0],
            ready: addrs[1],
            control: addrs[2],
            calls: addrs[3],
            metrics: addrs[4],
            app: addrs[5],
        }
    }

    /// Settings file, with the keys of `deploy/daemon.ini`.
    fn settings(&self, store: SocketAddr) -> String {
        let rows = [
            ("name", self.name.clone()),
            ("region", self.region.into()),
            ("data-centre", self.zone.into()),
            ("listen-clients", self.outbound.to_string()),
            ("listen-control", self.control.to_string()),
            ("listen-ready", self.ready.to_string()),
            ("listen-calls", self.calls.to_string()),
            ("listen-metrics", self.metrics.to_string()),
            ("worker", self.app.to_string()),
            ("service", self.service.into()),
            ("store", store.to_string()),
            ("lease-min-ms", "1000".into()),
            ("propagation-ms", "2000".into()),
            ("grace-s", GRACE_S.to_string()),
            ("retry-ratio", "0.2".into()),
            ("retry-window-s", "10".into()),
            ("quota-window-s", String::new()),
            ("quota-overage", String::new()),
            ("log-level", "info".into()),
        ];
        let rows = rows.map(|(key, value)| format!("{key} = {value}\n"));
        format!("[mesh]\n{}", rows.concat())
    }

    /// Asks the daemon whether it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /shallotdeal/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        exchange(self.ready, request.as_bytes(), 1_000)
            .is_some_and(|answer| answer.start.contains(" 200"))
    }

    /// Waits until the daemon is ready.
    pub fn wait_ready(&self, limit_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }
}

/// Sends a short request on a new connection and reads the answer.
pub fn exchange(addr: SocketAddr, request: &[u8], limit_ms: u64) -> Option<Message> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request).ok()?;
    read_request(&mut BufReader::new(stream))
}

/// All daemons of the case, whose processes are killed at its end.
static STARTED: Mutex<Vec<Arc<Daemon>>> = Mutex::new(Vec::new());

/// Process of a daemon.
pub struct Daemon {
    pub machine: Machine,
    config: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    record: Record,
}

impl Daemon {
    /// Starts the daemon with the command of the deploy file.
    pub fn start(
        machine: &Machine,
        store: SocketAddr,
        folder: &Folder,
        record: &Record,
    ) -> Arc<Self> {
        let config = folder.0.join(format!("{}.conf", machine.name));
        std::fs::write(&config, machine.settings(store)).expect("the settings are written");
        let daemon = Self {
            machine: machine.clone(),
            config,
            log: folder.0.join(format!("{}.log", machine.name)),
            child: Mutex::new(None),
            record: record.clone(),
        };
        daemon.spawn();
        let daemon = Arc::new(daemon);
        lock(&STARTED).push(Arc::clone(&daemon));
        daemon
    }

    /// Starts the process again.
    pub fn spawn(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log opens");
        let errors = log.try_clone().expect("the log opens twice");
        let child = Command::new("target/release/shallotdeal")
            .args(["daemon", "--config"])
            .arg(&self.config)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon starts; build it first");
        self.record
            .line(&format!("daemon of {} started", self.machine.name));
        *lock(&self.child) = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        lock(&self.child).as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: a signal to a child that has not been waited for.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process as planned: SIGTERM, then SIGKILL after `GraceS`. Returns the time it took.
    pub fn stop(&self) -> Duration {
        let started = Instant::now();
        self.signal(SIGTERM);
        while started.elapsed() < Duration::from_secs(GRACE_S) {
            let mut child = lock(&self.child);
            let Some(running) = child.as_mut() else { break };
            if !matches!(running.try_wait(), Ok(None)) {
                *child = None;
                return started.elapsed();
            }
            drop(child);
            sleep_ms(5);
        }
        self.kill();
        started.elapsed()
    }

    /// Resident memory, in KiB.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = lock(&self.child);
        child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> usize {
        let log = std::fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&log)
            .lines()
            .filter(|line| line.contains(text))
            .count()
    }
}

/// What a worker does with a request.
pub enum Reaction {
    /// Works for some time, then answers.
    Answer {
        status: u16,
        work_ms: u64,
        body: Arc<Vec<u8>>,
    },
    /// Crashes after a time, and is back as a new lifetime after another.
    Crash { after_ms: u64, down_ms: u64 },
}

type Handler = Box<dyn Fn(&Message) -> Reaction + Send + Sync>;

struct Life {
    id: String,
    born: u64,
    sequence: AtomicU64,
    is_alive: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
}

/// One run of a request at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt_id: String,
    pub target: String,
    pub at: Instant,
}

/// Application worker (PROTOCOL.md, "Workers" and "Service discovery").
pub struct Worker {
    pub machine: Machine,
    handler: Handler,
    life: Mutex<Arc<Life>>,
    pub runs: Mutex<Vec<Run>>,
    pub crashes: AtomicU32,
    /// Rate at which it reads bodies, in bytes a second; zero for no limit.
    pub read_rate: AtomicU64,
    /// Whether it sends no liveness reports.
    pub is_silent: AtomicBool,
    record: Record,
}

impl Worker {
    pub fn start(
        machine: &Machine,
        record: &Record,
        handler: impl Fn(&Message) -> Reaction + Send + Sync + 'static,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            machine: machine.clone(),
            handler: Box::new(handler),
            life: Mutex::new(Life::new()),
            runs: Mutex::default(),
            crashes: AtomicU32::new(0),
            read_rate: AtomicU64::new(0),
            is_silent: AtomicBool::new(false),
            record: record.clone(),
        });
        worker.begin_life();
        let reporting = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                let life = Arc::clone(&lock(&reporting.life));
                let is_silent = reporting.is_silent.load(Ordering::SeqCst);
                if life.is_alive.load(Ordering::SeqCst) && !is_silent {
                    let sequence = life.sequence.fetch_add(1, Ordering::SeqCst) + 1;
                    reporting.report(&life, sequence, "ready");
                }
                sleep_ms(HEARTBEAT_MS);
            }
        });
        worker
    }

    /// Id of the present lifetime.
    pub fn id(&self) -> String {
        lock(&self.life).id.clone()
    }

    fn begin_life(self: &Arc<Self>) {
        let life = Life::new();
        *lock(&self.life) = Arc::clone(&life);
        let listener = TcpListener::bind(self.machine.app).expect("the worker's port is free");
        let worker = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !life.is_alive.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    lock(&life.conns).push(copy);
                }
                let (worker, life) = (Arc::clone(&worker), Arc::clone(&life));
                thread::spawn(move || worker.serve(&life, stream));
            }
        });
    }

    /// Begins a liveness report `ready` that the network delays. The returned function delivers it,
    /// and returns whether it was acknowledged.
    pub fn delayed_report(self: &Arc<Self>) -> impl FnOnce() -> bool + use<> {
        let life = Arc::clone(&lock(&self.life));
        let sequence = life.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let worker = Arc::clone(self);
        move || worker.report(&life, sequence, "ready")
    }

    /// Says that it leaves; returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        let life = Arc::clone(&lock(&self.life));
        let body = format!("{{\"born\":{}}}", life.born);
        let request = format!(
            "POST /shallotdeal/Instances.Deregister/{} HTTP/1.1\r\nHost: control\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            life.id,
            body.len()
        );
        let answer = exchange(self.machine.control, request.as_bytes(), 1_000);
        answer.is_some_and(|answer| answer.start.contains(" 200"))
    }

    /// Sends a liveness report; returns whether it was acknowledged.
    fn report(&self, life: &Life, sequence: u64, state: &str) -> bool {
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":140,\
             \"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{}}}",
            self.machine.service, self.machine.app, self.machine.zone, life.born
        );
        let request = format!(
            "POST /shallotdeal/Instances.Heartbeat/{} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            life.id,
            body.len()
        );
        let answer = exchange(self.machine.control, request.as_bytes(), 1_000);
        answer.is_some_and(|answer| answer.start.contains(" 200"))
    }

    /// Crashes: all connections end, the port refuses, and a new lifetime begins later.
    pub fn crash(self: &Arc<Self>, down_ms: u64) {
        let life = Arc::clone(&lock(&self.life));
        if !life.is_alive.swap(false, Ordering::SeqCst) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!(
            "worker of {} crashes ({})",
            self.machine.name, life.id
        ));
        // Ends the listener, whose loop waits for a connection.
        let _ = TcpStream::connect(self.machine.app);
        for conn in lock(&life.conns).drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        let worker = Arc::clone(self);
        thread::spawn(move || {
            sleep_ms(down_ms);
            worker.begin_life();
            worker.record.line(&format!(
                "worker of {} is back ({})",
                worker.machine.name,
                worker.id()
            ));
        });
    }

    fn serve(self: &Arc<Self>, life: &Arc<Life>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let rate = self.read_rate.load(Ordering::SeqCst);
        if rate > 0 {
            shrink_receive_buffer(&stream);
        }
        let mut reader = BufReader::with_capacity(16 * 1024, reading);
        while let Some(request) = read_request_at(&mut reader, rate) {
            let attempt_id = request
                .field("X-Shallotdeal-Attempt-Id")
                .unwrap_or_default()
                .to_owned();
            let head = |status: u16, more: &str, length: usize| {
                format!(
                    "HTTP/1.1 {status} X\r\nX-Shallotdeal-Attempt-Id: {attempt_id}\r\n{more}Keep-Alive: timeout=10\r\n\
                     Content-Length: {length}\r\n\r\n"
                )
            };
            let other = request
                .field("X-Shallotdeal-Expect-Instance")
                .is_some_and(|id| id != life.id);
            if other {
                let more = format!("X-Shallotdeal-Instance-Id: {}\r\n", life.id);
                if stream.write_all(head(421, &more, 0).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            lock(&self.runs).push(Run {
                attempt_id: attempt_id.clone(),
                target: request.target().to_owned(),
                at: Instant::now(),
            });
            match (self.handler)(&request) {
                Reaction::Crash { after_ms, down_ms } => {
                    self.record.line(&format!(
                        "{} runs {attempt_id} {}, which crashes it",
                        self.machine.name,
                        request.target()
                    ));
                    sleep_ms(after_ms);
                    self.crash(down_ms);
                    return;
                }
                Reaction::Answer {
                    status,
                    work_ms,
                    body,
                } => {
                    sleep_ms(work_ms);
                    if !life.is_alive.load(Ordering::SeqCst) {
                        return;
                    }
                    let stamp = format!("X-Shallotdeal-Response-Stamp: 3e1b.{attempt_id}\r\n");
                    let sent = stream.write_all(head(status, &stamp, body.len()).as_bytes());
                    if sent.and_then(|()| stream.write_all(&body)).is_err() {
                        return;
                    }
                }
            }
        }
    }
}

static NEXT_LIFE: AtomicU64 = AtomicU64::new(1);

impl Life {
    fn new() -> Arc<Self> {
        let number = NEXT_LIFE.fetch_add(1, Ordering::SeqCst);
        Arc::new(Self {
            id: format!("i-{:06x}{number:02x}", unix_ms() & 0xff_ffff),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            is_alive: AtomicBool::new(true),
            conns: Mutex::default(),
        })
    }
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Id of a new client attempt.
pub fn attempt_id() -> String {
    let number = NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", unix_ms() as u32)
}

/// Request of a client.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub budget_ms: u64,
    pub body: Arc<Vec<u8>>,
    /// Rate at which the client reads, in bytes a second; zero for no limit.
    pub read_rate: u64,
    /// API key of the client's tenant.
    pub key: Option<&'static str>,
}

/// What a client has seen.
#[derive(Debug, Clone)]
pub struct Seen {
    pub attempt_id: String,
    /// Time before the connection was opened.
    pub sent: Instant,
    /// Status; zero if no head arrived.
    pub status: u16,
    /// Whether the whole answer arrived.
    pub is_complete: bool,
    pub body_bytes: usize,
    pub length: usize,
    pub took_ms: u64,
}

impl Seen {
    pub fn describe(&self) -> String {
        let whole = if self.is_complete {
            "whole"
        } else {
            "NOT WHOLE"
        };
        format!(
            "{}: status {}, {} of {} bytes, {whole}, after {} ms",
            self.attempt_id, self.status, self.body_bytes, self.length, self.took_ms
        )
    }
}

/// Sends a request on a new connection and reads the answer, for at most the time budget.
pub fn send(addr: SocketAddr, request: &Request) -> Seen {
    let started = Instant::now();
    let mut seen = Seen {
        attempt_id: attempt_id(),
        sent: started,
        status: 0,
        is_complete: false,
        body_bytes: 0,
        length: 0,
        took_ms: 0,
    };
    // What was seen before an error counts.
    let _ = send_into(addr, request, started, &mut seen);
    seen.took_ms = started.elapsed().as_millis() as u64;
    seen
}

fn send_into(
    addr: SocketAddr,
    request: &Request,
    started: Instant,
    seen: &mut Seen,
) -> io::Result<()> {
    let budget = Duration::from_millis(request.budget_ms);
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(budget))?;
    stream.set_write_timeout(Some(budget))?;
    if request.read_rate > 0 {
        shrink_receive_buffer(&stream);
    }
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Shallotdeal-Attempt-Id: {}\r\nX-Shallotdeal-Deadline-Remaining: {}\r\n",
        request.method, request.path, request.host, seen.attempt_id, request.budget_ms
    );
    if let Some(key) = request.key {
        head += &format!("Authorization: Token {key}\r\n");
    }
    if !request.body.is_empty() {
        head += &format!("Content-Length: {}\r\n", request.body.len());
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(&request.body)?;
    let mut reader = BufReader::with_capacity(16 * 1024, stream);
    let Some(answer) = read_head(&mut reader) else {
        return Ok(());
    };
    seen.status = answer
        .start
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    seen.length = answer
        .field("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let reading = Instant::now();
    let mut buffer = vec![0; 16 * 1024];
    while seen.body_bytes < seen.length {
        if started.elapsed() >= budget {
            return Ok(());
        }
        let count = reader.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        seen.body_bytes += count;
        if request.read_rate > 0 {
            let due = Duration::from_secs_f64(seen.body_bytes as f64 / request.read_rate as f64);
            thread::sleep(due.saturating_sub(reading.elapsed()));
        }
    }
    seen.is_complete = true;
    Ok(())
}

/// Ends a case with its verdict.
pub fn verdict(record: &Record, is_broken: bool, text: &str) -> i32 {
    record.line(text);
    record.line(if is_broken {
        "verdict: the rule was broken"
    } else {
        "verdict: the rule held"
    });
    println!("{text}");
    i32::from(is_broken)
}

/// Runs a case with its folder, and exits with 2 if it could not run.
pub fn run_case(case: impl FnOnce(&Folder, &Record) -> Result<i32, String>) {
    let target = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let code = match (Folder::create(), Record::create(Path::new(&target))) {
        (Ok(folder), Ok(record)) => {
            let work = std::panic::AssertUnwindSafe(|| case(&folder, &record));
            let result = std::panic::catch_unwind(work).unwrap_or_else(|_| Err("panic".into()));
            for daemon in lock(&STARTED).iter() {
                daemon.kill();
            }
            result.unwrap_or_else(|error| {
                record.line(&format!("could not run: {error}"));
                eprintln!("could not run: {error}");
                2
            })
        }
        (Err(error), _) | (_, Err(error)) => {
            eprintln!("could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
