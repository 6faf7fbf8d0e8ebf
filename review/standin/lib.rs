//! Stand-ins of the platform, the workers and the clients, shared by the scripts of this folder. They
//! follow the users' pages and use the standard library only.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Option of `prctl`: signal that a process gets at the end of the thread that started it.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

// ---------------------------------------------------------------------------------------------
// Record of a run

/// Lines of `record.txt`, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create() -> Self {
        let path = PathBuf::from(std::env::var("CASE_DIR").expect("CASE_DIR")).join("record.txt");
        let file = fs::File::create(path).expect("record.txt");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_ms:>7} ms  {text}");
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

// ---------------------------------------------------------------------------------------------
// JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn skip_space(text: &[char], at: &mut usize) {
    while *at < text.len() && text[*at].is_whitespace() {
        *at += 1;
    }
}

fn parse_value(text: &[char], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(text, at);
                if *text.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Map(fields));
                }
                let Json::Text(name) = parse_value(text, at)? else {
                    return None;
                };
                skip_space(text, at);
                *at += 1; // ':'
                fields.push((name, parse_value(text, at)?));
                skip_space(text, at);
                if *text.get(*at)? == ',' {
                    *at += 1;
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(text, at);
                if *text.get(*at)? == ']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(parse_value(text, at)?);
                skip_space(text, at);
                if *text.get(*at)? == ',' {
                    *at += 1;
                }
            }
        }
        '"' => {
            *at += 1;
            let mut out = String::new();
            loop {
                let c = *text.get(*at)?;
                *at += 1;
                match c {
                    '"' => return Some(Json::Text(out)),
                    '\\' => {
                        let escaped = *text.get(*at)?;
                        *at += 1;
                        match escaped {
                            'n' => out.push('\n'),
                            't' => out.push('\t'),
                            'u' => {
                                let hex: String = text.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                out.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                            }
                            other => out.push(other),
                        }
                    }
                    other => out.push(other),
                }
            }
        }
        _ => {
            let start = *at;
            while *at < text.len() && !",]} \n\r\t".contains(text[*at]) {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let b = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for digit in 0..4 {
            if digit <= group.len() {
                out.push(DIGITS[(n >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// Head of a request or an answer, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn length(&self) -> usize {
        self.field("content-length")
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            message.first = line.into();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.into(), value.trim().into()));
        }
    }
}

/// Reads a message whose body has a length.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    message.body = vec![0; message.length()];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// One call on a new connection, with a time limit.
pub fn call(addr: SocketAddr, request: &[u8], limit_ms: u64) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as JSON or nothing if it was removed.
    history: Vec<(u64, String)>,
    leases: HashMap<u64, (u64, Instant)>,
    next_lease: u64,
}

/// Store of the platform.
pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Whether calls are taken and never answered.
    pub silent: AtomicBool,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
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
        self.history.push((self.revision, key.into()));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.into()));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' => {
                out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 2;
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8(out).unwrap_or_default()
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(addr).expect("store address");
        let store = Arc::new(Self {
            addr,
            state: Mutex::new(StoreState {
                revision: 100,
                next_lease: 7_000,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
            silent: AtomicBool::new(false),
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                sleep_ms(50);
                if !expiring.silent.load(Ordering::SeqCst) {
                    expiring.state.lock().unwrap().expire();
                    expiring.changed.notify_all();
                }
            }
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// Writes a key as the operator.
    pub fn operator_put(&self, key: &str, value: &str) {
        self.state
            .lock()
            .unwrap()
            .put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            if self.silent.load(Ordering::SeqCst) {
                // A connection on which an answer is lost returns nothing further.
                sleep_ms(120_000);
                return Ok(());
            }
            sleep_ms(4);
            let (status, body) = self.handle(&request);
            if self.silent.load(Ordering::SeqCst) {
                sleep_ms(120_000);
                return Ok(());
            }
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_query(value)))
            .collect();
        let argument = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body =
            Json::parse(std::str::from_utf8(&request.body).unwrap_or("")).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        state.expire();
        match path.strip_prefix("/shallotdeal/").unwrap_or("") {
            "kv-key" => {
                let key = argument("Key");
                match state.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        let revision = state.revision;
                        (
                            200,
                            format!("{},\"StoreRevision\":{revision}}}", &text[..text.len() - 1]),
                        )
                    }
                    None => (404, "{}".into()),
                }
            }
            "kv-range" => {
                let (prefix, after) = (argument("Prefix"), argument("after"));
                let found: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"Truncated\":false,\"StoreRevision\":{}}}",
                    found.join(","),
                    state.revision
                );
                (200, text)
            }
            "kv-watch" => {
                let prefix = argument("Prefix");
                let after: u64 = argument("after").parse().unwrap_or(0);
                let wait_ms: u64 = argument("WaitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let changes: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key)| match state.items.get(key) {
                            Some(item) => item_json(key, item),
                            None => format!(
                                "{{\"Key\":\"{key}\",\"Revision\":{revision},\"Removed\":true}}"
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !changes.is_empty() || left.is_zero() {
                        let text = format!(
                            "{{\"events\":[{}],\"StoreRevision\":{}}}",
                            changes.join(","),
                            state.revision
                        );
                        return (200, text);
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "kv-txn" => {
                let list = |name: &str| {
                    body.get(name)
                        .map(|v| v.list().to_vec())
                        .unwrap_or_default()
                };
                let text = |row: &Json, name: &str| {
                    row.get(name)
                        .map(|v| v.text().to_string())
                        .unwrap_or_default()
                };
                let number = |row: &Json, name: &str| row.get(name).map(Json::number).unwrap_or(0);
                let is_reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
                for row in list("ExpectedRev") {
                    let found = state
                        .items
                        .get(&text(&row, "Key"))
                        .map_or(0, |item| item.revision);
                    if found != number(&row, "Revision") {
                        return (412, "{\"items\":[]}".into());
                    }
                }
                for row in list("Puts") {
                    if is_reserved(&text(&row, "Key")) {
                        return (403, "{}".into());
                    }
                    let lease = number(&row, "Lease");
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, "{}".into());
                    }
                }
                for row in list("Puts") {
                    state.put(
                        &text(&row, "Key"),
                        text(&row, "Value"),
                        number(&row, "Lease"),
                    );
                }
                for key in list("Remove") {
                    state.remove(key.text());
                }
                let revision = state.revision;
                drop(state);
                self.changed.notify_all();
                (200, format!("{{\"Revision\":{revision}}}"))
            }
            "kv-lease" => {
                let ttl_ms = body
                    .get("TtlMs")
                    .map(Json::number)
                    .unwrap_or(0)
                    .clamp(1_000, 600_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                let until = Instant::now() + Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (ttl_ms, until));
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl_ms}}}"))
            }
            other => {
                let id = other
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                if other.starts_with("kv-keep/") {
                    match state.leases.get_mut(&id) {
                        Some((ttl_ms, until)) => {
                            *until = Instant::now() + Duration::from_millis(*ttl_ms);
                            (200, format!("{{\"TtlMs\":{ttl_ms}}}"))
                        }
                        None => (404, "{}".into()),
                    }
                } else if other.starts_with("kv-lease-end/") {
                    state.end(id);
                    (200, "{}".into())
                } else {
                    (404, "{}".into())
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Machines, daemons and workers

/// Address on a network of loopback addresses that is drawn for each run; the ports are the same on
/// all machines.
#[derive(Debug, Clone, Copy)]
pub struct Net(u8, u8);

pub const PORT_INBOUND: u16 = 8300;
pub const PORT_APP: u16 = 8301;
pub const PORT_READY: u16 = 8302;
pub const PORT_OUTBOUND: u16 = 8304;
pub const PORT_CONTROL: u16 = 8306;
pub const PORT_STORE: u16 = 8309;
const PORT_INTERNAL: u16 = 7620;
const PORT_METRICS: u16 = 9464;

impl Net {
    /// Draws a network whose ports are free.
    pub fn draw() -> Self {
        let mut seed = unix_ms() ^ u64::from(std::process::id()) << 20;
        for _ in 0..50 {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let net = Self(1 + (seed >> 33) as u8 % 250, (seed >> 43) as u8);
            let is_free = (1..=20).all(|host| {
                [
                    PORT_APP,
                    PORT_READY,
                    PORT_OUTBOUND,
                    PORT_CONTROL,
                    PORT_STORE,
                    PORT_INTERNAL,
                    PORT_METRICS,
                ]
                .iter()
                .all(|port| TcpListener::bind(net.addr(host, *port)).is_ok())
                    && UdpSocket::bind(net.addr(host, PORT_INTERNAL)).is_ok()
            });
            if is_free {
                return net;
            }
        }
        eprintln!("no free loopback network");
        std::process::exit(2);
    }

    pub fn addr(self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.0, self.1, host), port).into()
    }
}

/// Bounds that the settings of a daemon name.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub grace_s: u32,
}

/// One machine with a daemon and a worker.
pub struct Machine {
    pub net: Net,
    pub host: u8,
    pub name: String,
    pub zone: &'static str,
    pub region: &'static str,
    pub service: &'static str,
    pub folder: PathBuf,
    pub bounds: Bounds,
    daemon: Mutex<Option<Child>>,
    starts: AtomicU64,
}

impl Machine {
    pub fn new(
        net: Net,
        host: u8,
        (zone, region): (&'static str, &'static str),
        service: &'static str,
        folder: &PathBuf,
        bounds: Bounds,
    ) -> Arc<Self> {
        Arc::new(Self {
            net,
            host,
            name: format!("sidecar-{zone}-{host}"),
            zone,
            region,
            service,
            folder: folder.clone(),
            bounds,
            daemon: Mutex::new(None),
            starts: AtomicU64::new(0),
        })
    }

    pub fn addr(&self, port: u16) -> SocketAddr {
        self.net.addr(self.host, port)
    }

    /// Fills in the template of the deploy file, as the platform does.
    fn settings(&self) -> String {
        let template = fs::read_to_string("deploy/daemon.ini").expect("template");
        let values = [
            ("Node", self.name.clone()),
            ("Region", self.region.into()),
            ("Zone", self.zone.into()),
            ("Listen.Outbound", self.addr(PORT_OUTBOUND).to_string()),
            ("Listen.Inbound", self.addr(PORT_INBOUND).to_string()),
            ("Listen.Control", self.addr(PORT_CONTROL).to_string()),
            ("Listen.Ready", self.addr(PORT_READY).to_string()),
            ("Ip", self.addr(0).ip().to_string()),
            ("InternalPorts.0", PORT_INTERNAL.to_string()),
            ("AppAddr", self.addr(PORT_APP).to_string()),
            ("Service", self.service.into()),
            (
                "Platform.Address",
                self.net.addr(20, PORT_STORE).to_string(),
            ),
            ("Platform.TtlMinMs", "1000".into()),
            ("Bounds.GraceS", self.bounds.grace_s.to_string()),
            ("Bounds.RetryBudgetRatio", "0.2".into()),
            ("Bounds.BudgetWindowS", "10".into()),
        ];
        let mut text = template;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // Fields without a value.
        while let Some(start) = text.find("{{") {
            let end = text[start..].find("}}").expect("placeholder") + start + 2;
            text.replace_range(start..end, "");
        }
        text
    }

    /// Starts the daemon with the command of the deploy file.
    pub fn start_daemon(&self) -> u32 {
        let deploy = fs::read_to_string("deploy/system.toml").expect("deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .expect("command")
            .trim_end_matches('"')
            .to_string();
        let settings = self.folder.join(format!("{}.ini", self.name));
        fs::write(&settings, self.settings()).expect("settings");
        let start = self.starts.fetch_add(1, Ordering::SeqCst);
        let log = self.folder.join(format!("{}-{start}.log", self.name));
        let log = fs::File::create(log).expect("log");
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().expect("program"));
        for word in words {
            if word == "/etc/shallotdeal/node.conf" {
                command.arg(&settings);
            } else {
                command.arg(word);
            }
        }
        // No daemon outlives the script, also if that ends early.
        // SAFETY: the call is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .env("SHALLOTDEAL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("daemon");
        let pid = child.id();
        *self.daemon.lock().unwrap() = Some(child);
        pid
    }

    /// Sends a signal to the daemon that this machine started.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.daemon.lock().unwrap().as_ref() {
            // SAFETY: the process is a child that has not been waited for, so its id is not reused.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Process id of the daemon; zero if there is none.
    pub fn pid(&self) -> u32 {
        self.daemon.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    /// Whether the daemon has ended.
    pub fn has_ended(&self) -> bool {
        let mut daemon = self.daemon.lock().unwrap();
        daemon
            .as_mut()
            .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn wait_ended(&self, limit_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < until {
            if self.has_ended() {
                return true;
            }
            sleep_ms(5);
        }
        false
    }

    /// Kills the daemon and waits for its end.
    pub fn end(&self) {
        if let Some(mut child) = self.daemon.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request =
            b"GET /shallotdeal/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call(self.addr(PORT_READY), request, 1_000)
            .is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
    }
}

/// What a worker does with a request.
pub enum Work {
    /// Answers with this status and body after a time.
    Answer {
        after_ms: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// Runs the request, and its answer is lost with the connection.
    LoseAnswer,
    /// Crashes.
    Crash,
}

/// Decides what a worker does with a request.
pub type Script = dyn Fn(&Worker, &Message) -> Work + Send + Sync;

/// Worker beside a daemon, with its reports.
pub struct Worker {
    pub machine: Arc<Machine>,
    pub record: Record,
    pub lifetime: AtomicU64,
    born: AtomicU64,
    sequence: AtomicU64,
    /// Whether the worker is running.
    pub is_up: AtomicBool,
    /// Whether it sends reports.
    pub reports: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    script: Box<Script>,
    down_ms: u64,
    pub slots: u32,
}

impl Worker {
    pub fn start(
        machine: &Arc<Machine>,
        record: &Record,
        down_ms: u64,
        script: Box<Script>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            machine: Arc::clone(machine),
            record: record.clone(),
            lifetime: AtomicU64::new(0),
            born: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            reports: AtomicBool::new(true),
            open: Mutex::default(),
            script,
            down_ms,
            slots: 140,
        });
        worker.begin_lifetime();
        let reporting = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                if reporting.is_up.load(Ordering::SeqCst)
                    && reporting.reports.load(Ordering::SeqCst)
                {
                    reporting.report("ready");
                }
                sleep_ms(1_500);
            }
        });
        worker
    }

    pub fn id(&self) -> String {
        format!(
            "i-{:02x}-{}",
            self.machine.host,
            self.lifetime.load(Ordering::SeqCst)
        )
    }

    pub fn born(&self) -> u64 {
        self.born.load(Ordering::SeqCst)
    }

    fn begin_lifetime(self: &Arc<Self>) {
        self.lifetime.fetch_add(1, Ordering::SeqCst);
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        let lifetime = self.lifetime.load(Ordering::SeqCst);
        let listener = TcpListener::bind(self.machine.addr(PORT_APP)).expect("worker address");
        listener.set_nonblocking(true).expect("listener");
        let worker = Arc::clone(self);
        thread::spawn(move || {
            while worker.is_up.load(Ordering::SeqCst)
                && worker.lifetime.load(Ordering::SeqCst) == lifetime
            {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        worker
                            .open
                            .lock()
                            .unwrap()
                            .push(stream.try_clone().expect("stream"));
                        let worker = Arc::clone(&worker);
                        thread::spawn(move || {
                            let closing = stream.try_clone();
                            let _ = worker.serve(stream, lifetime);
                            if let Ok(stream) = closing {
                                let _ = stream.shutdown(std::net::Shutdown::Both);
                            }
                        });
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }

    /// Ends the process of the worker, and starts it again after its down time.
    fn crash(self: &Arc<Self>) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!(
            "worker {} ({}) has crashed",
            self.id(),
            self.machine.name
        ));
        // The listener closes first.
        sleep_ms(5);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let worker = Arc::clone(self);
        thread::spawn(move || {
            sleep_ms(worker.down_ms);
            worker.begin_lifetime();
            worker
                .record
                .line(&format!("worker {} is back", worker.id()));
            worker.report("ready");
        });
    }

    /// Body of a report.
    pub fn report_text(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let Machine { service, zone, .. } = &*self.machine;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":{},\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{}}}",
            self.machine.addr(PORT_APP),
            self.slots,
            self.born(),
        )
    }

    /// Sends a report; returns whether it was acknowledged.
    pub fn report(&self, state: &str) -> bool {
        let body = self.report_text(state);
        self.post("Instances.Heartbeat", &body)
    }

    pub fn post(&self, method: &str, body: &str) -> bool {
        let request = format!(
            "POST /shallotdeal/{method}/{} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            self.id(),
            body.len()
        );
        call(self.machine.addr(PORT_CONTROL), request.as_bytes(), 1_000)
            .is_ok_and(|answer| answer.is_some_and(|answer| answer.status() / 100 == 2))
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, lifetime: u64) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(256 * 1024, stream);
        while let Some(request) = read_message(&mut reader)? {
            if self.lifetime.load(Ordering::SeqCst) != lifetime {
                return Ok(());
            }
            let id = request
                .field("X-Shallotdeal-Attempt-Id")
                .unwrap_or("")
                .to_string();
            let keep = "Keep-Alive: timeout=10\r\n";
            if request.word(1) == "/health" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Shallotdeal-Instance-Id: {}\r\n{keep}Content-Length: 0\r\n\r\n",
                    self.id()
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
            if request.field("X-Shallotdeal-Expect-Instance") != Some(&self.id()) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Shallotdeal-Attempt-Id: {id}\r\nX-Shallotdeal-Instance-Id: {}\r\nX-Shallotdeal-Not-Executed: 1\r\n{keep}Content-Length: 0\r\n\r\n",
                    self.id()
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
            self.record.line(&format!(
                "run      {id} at {} of {} ({}): {} body {} B, remaining {} ms, caller {}",
                self.id(),
                self.machine.service,
                self.machine.name,
                request.first,
                request.body.len(),
                request
                    .field("X-Shallotdeal-Deadline-Remaining")
                    .unwrap_or("-"),
                request.field("X-Shallotdeal-Caller-Service").unwrap_or("-"),
            ));
            match (self.script)(self, &request) {
                Work::LoseAnswer => {
                    self.record.line(&format!(
                        "lost     {id}: the answer of {} is lost",
                        self.id()
                    ));
                    return Ok(());
                }
                Work::Crash => {
                    self.crash();
                    return Ok(());
                }
                Work::Answer {
                    after_ms,
                    status,
                    body,
                } => {
                    sleep_ms(after_ms);
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nX-Shallotdeal-Attempt-Id: {id}\r\nX-Shallotdeal-Response-Stamp: {:x}.{}\r\n{keep}Content-Length: {}\r\n\r\n",
                        lifetime,
                        self.id(),
                        body.len()
                    );
                    writer.write_all(head.as_bytes())?;
                    writer.write_all(&body)?;
                    self.record.line(&format!(
                        "answered {id} by {} with {status}, {} B",
                        self.id(),
                        body.len()
                    ));
                }
            }
        }
        Ok(())
    }
}

// ---------------------------------------------------------------------------------------------
// Deployment

/// Folder for settings and logs of this run, removed at its end.
pub fn temporary_folder() -> PathBuf {
    let name = format!("shallotdeal-review-{}-{}", std::process::id(), unix_ms());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("temporary folder");
    folder
}

/// Starts all daemons and waits until they are ready and their workers are known.
pub fn start_all(machines: &[Arc<Machine>], record: &Record) -> bool {
    for machine in machines {
        machine.start_daemon();
    }
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if machines.iter().all(|machine| machine.is_ready()) {
            record.line("all daemons are ready");
            return true;
        }
        sleep_ms(100);
    }
    record.line("the daemons did not get ready in 15 s");
    false
}

/// Ends everything and the script, with its exit code.
pub fn finish(machines: &[Arc<Machine>], folder: &PathBuf, record: &Record, verdict: Verdict) -> ! {
    for machine in machines {
        machine.end();
    }
    if std::env::var("KEEP_LOGS").is_ok() {
        eprintln!("logs: {}", folder.display());
    } else {
        let _ = fs::remove_dir_all(folder);
    }
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("rule held: {text}")),
        Verdict::Broken(text) => (1, format!("RULE BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}

pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}
