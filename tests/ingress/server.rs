//! An ingress with a fake handler, and a client that sends raw bytes.

use {
    async_std::task,
    async_trait::async_trait,
    shallotdeal::{
        call::Answer,
        ingress::{Handler, IncomingRequest, Ingress},
        metrics::Metrics,
        request::{Reason, Refusal},
        settings::{Limits, Settings},
    },
    smol_str::SmolStr,
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

pub(crate) const MAX_BODY_BYTES: usize = 10_000;
pub(crate) const MAX_CONNECTIONS: usize = 4;
const READ_TIMEOUT_MS: u64 = 300;
const SLOW_ANSWER_MS: u64 = 200;
const HUGE_ANSWER_BYTES: usize = 64 << 20;
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct FakeHandler {
    handled: AtomicUsize,
    running: AtomicUsize,
}

struct RunningGuard<'a>(&'a FakeHandler);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl Handler for FakeHandler {
    async fn handle(&self, incoming: IncomingRequest) -> Result<Arc<Answer>, Refusal> {
        self.running.fetch_add(1, Ordering::SeqCst);
        let _guard = RunningGuard(self);
        if !matches!(incoming.service.as_str(), "none" | "" | ".shallotdeal") {
            self.handled.fetch_add(1, Ordering::SeqCst);
        }
        match incoming.service.as_str() {
            "echo" => {}
            "slow" => task::sleep(Duration::from_millis(SLOW_ANSWER_MS)).await,
            "wait" => std::future::pending().await,
            "panic" => panic!("panic requested by the test"),
            "busy" => return Err(Refusal::not_run(Reason::Overload).retry_after_ms(1_500)),
            "huge" => return Ok(answer(vec![b'x'; HUGE_ANSWER_BYTES])),
            _ => return Err(Refusal::not_run(Reason::UnknownService)),
        }
        let request = &incoming.request;
        let mut body = format!("{} {} ", request.method, request.target).into_bytes();
        body.extend_from_slice(&request.body);
        Ok(answer(body))
    }

    async fn ticket(&self, _: SmolStr) -> Result<SmolStr, Refusal> {
        Ok("a-ticket".into())
    }
}

fn answer(body: Vec<u8>) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body,
    })
}

pub(crate) struct TestServer {
    addr: SocketAddr,
    handler: Arc<FakeHandler>,
    metrics: Arc<Metrics>,
}

impl TestServer {
    pub(crate) fn start() -> Self {
        let handler = Arc::new(FakeHandler::default());
        let metrics = Arc::new(Metrics::local());
        let settings = Settings::try_from(include_str!("../../examples/standalone.ini")).unwrap();
        let limits = Limits {
            max_body_bytes: MAX_BODY_BYTES,
            max_connections: MAX_CONNECTIONS,
            read_timeout_ms: READ_TIMEOUT_MS,
            ..settings.limits
        };
        let addr = free_addr();
        let ingress = Ingress::new(Arc::clone(&handler) as _, Arc::clone(&metrics), limits);
        thread::spawn(move || task::block_on(ingress.listen(addr)));
        let server = Self {
            addr,
            handler,
            metrics,
        };
        drop(server.connect());
        server
    }

    pub(crate) fn connect(&self) -> Connection {
        poll_until(|| TcpStream::connect(self.addr).ok().map(Connection::new))
    }

    /// Sends bytes over a new connection and reads one answer.
    pub(crate) fn send_once(&self, bytes: &[u8]) -> Received {
        let connection = self.connect();
        connection.send(bytes);
        connection.answer().expect("an answer")
    }

    /// Sends bytes, closes the sending side and reads one answer.
    pub(crate) fn send_half_closed(&self, bytes: &[u8]) -> Received {
        let connection = self.connect();
        connection.send(bytes);
        connection.stream.shutdown(Shutdown::Write).unwrap();
        connection.answer().expect("an answer")
    }

    /// Sends bytes over new connections until one is accepted.
    pub(crate) fn send_until_accepted(&self, bytes: &[u8]) -> Received {
        poll_until(|| Some(self.send_once(bytes)).filter(|answer| answer.status != 503))
    }

    /// Opens as many connections as allowed, each with a request that never ends.
    pub(crate) fn fill_connections(&self) -> Vec<Connection> {
        let mut connections = Vec::new();
        while connections.len() < MAX_CONNECTIONS {
            let refused_before = self.count("ingress.connection_refused");
            let connection = self.connect();
            connection.send(get("/wait/").as_bytes());
            let is_running = || self.running() > connections.len();
            let is_refused = || self.count("ingress.connection_refused") > refused_before;
            poll_until(|| (is_running() || is_refused()).then_some(()));
            if is_running() {
                connections.push(connection);
            }
        }
        connections
    }

    pub(crate) fn handled(&self) -> usize {
        self.handler.handled.load(Ordering::SeqCst)
    }

    pub(crate) fn running(&self) -> usize {
        self.handler.running.load(Ordering::SeqCst)
    }

    pub(crate) fn count(&self, name: &str) -> u64 {
        self.metrics.get(name)
    }

    pub(crate) fn wait_for_count(&self, name: &str, count: u64) {
        poll_until(|| (self.count(name) >= count).then_some(()));
    }

    pub(crate) fn wait_for_handled(&self, count: usize) {
        poll_until(|| (self.handled() >= count).then_some(()));
    }
}

pub(crate) struct Connection {
    stream: TcpStream,
    is_head: AtomicBool,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self {
            stream,
            is_head: AtomicBool::new(false),
        }
    }

    /// Sends bytes; the server may stop reading before it has read all of them.
    pub(crate) fn send(&self, bytes: &[u8]) {
        let is_head = bytes.starts_with(b"HEAD ");
        self.is_head.store(is_head, Ordering::Relaxed);
        let _ = (&self.stream).write_all(bytes);
    }

    /// Reads one answer; `None` if the connection was closed.
    pub(crate) fn answer(&self) -> Option<Received> {
        let mut reader = BufReader::with_capacity(1, &self.stream);
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap() == 0 {
                return None;
            }
            match line.trim_end() {
                "" => break,
                text => lines.push(text.to_owned()),
            }
        }
        let mut received = Received::new(&lines);
        let length = received.header("content-length").unwrap_or("0");
        let mut body = vec![0; length.parse().unwrap()];
        if !self.is_head.load(Ordering::Relaxed) {
            reader.read_exact(&mut body).unwrap();
            received.body = body;
        }
        if received.is_last {
            let mut rest = Vec::new();
            assert_eq!(
                reader.read_to_end(&mut rest).unwrap(),
                0,
                "bytes after the answer"
            );
        }
        Some(received)
    }
}

#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) status: u16,
    pub(crate) is_last: bool,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Received {
    fn new(lines: &[String]) -> Self {
        let status = lines[0].split(' ').nth(1).unwrap().parse().unwrap();
        let headers: Vec<_> = lines[1..]
            .iter()
            .map(|line| line.split_once(": ").unwrap())
            .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
            .collect();
        let mut received = Self {
            status,
            is_last: false,
            headers,
            body: Vec::new(),
        };
        received.is_last = received.header("connection") == Some("close");
        received
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name)?;
        Some(&found.1)
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.clone()).unwrap()
    }

    pub(crate) fn assert_refused(&self, outcome: &str, reason: &str) {
        assert_eq!(self.header("request-outcome"), Some(outcome), "{self:?}");
        assert_eq!(self.header("request-reason"), Some(reason), "{self:?}");
        assert_eq!(
            self.header("request-id").map(str::len),
            Some(32),
            "{self:?}"
        );
    }
}

pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

pub(crate) fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn poll_until<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let mut waited = Duration::ZERO;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(waited < TIMEOUT, "timed out");
        thread::sleep(POLL_INTERVAL);
        waited += POLL_INTERVAL;
    }
}
