//! Calls between daemons: cancellation, broken connections and misbehaving peers.

use {
    async_std::{net::TcpListener, task},
    async_trait::async_trait,
    futures::{AsyncReadExt, AsyncWriteExt},
    shallotdeal::{
        call::{Answer, Call, CallHandler, Header, PeerClient, PeerError, Reply, Request},
        request::{Importance, Incarnation, Level, Reason, Refusal, RequestId},
        rpc::{
            client::{self, Client},
            server,
        },
    },
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Call handler whose behaviour depends on the called service.
#[derive(Default)]
struct FakeHandler {
    started: AtomicUsize,
    in_flight: AtomicUsize,
}

/// Counts a call as in flight until dropped.
struct InFlight<'a>(&'a FakeHandler);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl CallHandler for FakeHandler {
    async fn handle_call(&self, call: Call) -> Reply {
        self.started.fetch_add(1, Ordering::SeqCst);
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let _in_flight = InFlight(self);
        match call.service.as_str() {
            "wait" => std::future::pending().await,
            "panic" => panic!("asked to"),
            "refuse" => {
                let refusal = Refusal::not_run(Reason::WorkerFull).retry_after_ms(7);
                return Reply::refused(refusal, Level(300));
            }
            _ => {}
        }
        let Request { headers, body, .. } = call.request.as_ref().clone();
        Reply {
            result: Ok(Arc::new(Answer {
                status: 201,
                headers,
                body,
            })),
            retry_tokens: call.retry_tokens,
            path_level: Level(12),
            is_final: true,
        }
    }

    fn config_document(&self) -> Vec<u8> {
        b"document".to_vec()
    }
}

fn call(service: &str, body: &[u8]) -> Call {
    Call {
        request_id: RequestId(7),
        service: service.into(),
        class: "orders".into(),
        importance: Importance(0),
        idempotent: false,
        incarnation: Incarnation(9),
        remaining_us: 1_000_000,
        retry_tokens: 3,
        depth: 1,
        ticket: None,
        first_attempt: true,
        exclusive: false,
        request: Arc::new(Request {
            method: "POST".into(),
            target: "/".into(),
            headers: vec![Header {
                name: "x-tag".into(),
                value: "tag".into(),
            }],
            body: body.to_vec(),
        }),
    }
}

/// Starts a server on its own thread.
fn start_server() -> (SocketAddr, Arc<FakeHandler>) {
    let handler = Arc::new(FakeHandler::default());
    let addr = free_addr();
    let served = Arc::clone(&handler);
    thread::spawn(move || task::block_on(server::listen(addr, served)));
    wait_until(|| std::net::TcpStream::connect(addr).is_ok());
    (addr, handler)
}

fn free_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Starts a client on its own thread.
fn start_client() -> Client {
    let (client, task) = client::client(IpAddr::V4(Ipv4Addr::LOCALHOST));
    thread::spawn(move || task::block_on(task.run()));
    client
}

/// Starts a peer that passes each accepted connection to `handle`.
fn start_peer<F, T>(handle: F) -> SocketAddr
where
    F: Fn(async_std::net::TcpStream) -> T + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(handle(stream));
        }
    });
    addr
}

fn wait_until(condition: impl Fn() -> bool) {
    let mut waited = Duration::ZERO;
    while !condition() {
        assert!(waited < TIMEOUT, "waited too long");
        thread::sleep(POLL_INTERVAL);
        waited += POLL_INTERVAL;
    }
}

fn send_call(client: &Client, addr: SocketAddr, call: Call) -> Result<Reply, PeerError> {
    task::block_on(client.call(addr, call))
}

#[test]
fn replies_arrive_unchanged() {
    let (addr, _) = start_server();
    let client = start_client();
    let body = vec![b'x'; 1 << 20];
    let reply = send_call(&client, addr, call("echo", &body)).unwrap();
    let answer = reply.result.unwrap();
    assert_eq!((answer.status, answer.body == body), (201, true));
    assert_eq!(answer.headers[0].value, "tag");
    assert_eq!(
        (reply.retry_tokens, reply.path_level, reply.is_final),
        (3, Level(12), true)
    );
    let reply = send_call(&client, addr, call("refuse", b"")).unwrap();
    let refusal = reply.result.unwrap_err();
    assert_eq!(
        refusal,
        Refusal::not_run(Reason::WorkerFull).retry_after_ms(7)
    );
    assert_eq!(
        task::block_on(client.fetch_config(addr)).unwrap(),
        b"document"
    );
}

#[test]
fn dropping_a_call_cancels_it_at_the_other_daemon() {
    let (addr, handler) = start_server();
    let client = start_client();
    let waiting = task::spawn({
        let client = client.clone();
        async move { client.call(addr, call("wait", b"")).await.map(drop) }
    });
    wait_until(|| handler.in_flight.load(Ordering::SeqCst) == 1);
    send_call(&client, addr, call("echo", b"")).unwrap();
    task::block_on(waiting.cancel());
    wait_until(|| handler.in_flight.load(Ordering::SeqCst) == 0);
    send_call(&client, addr, call("echo", b"")).unwrap();
}

#[test]
fn a_panic_in_one_call_does_not_affect_others_on_the_connection() {
    let (addr, handler) = start_server();
    let client = start_client();
    let waiting = task::spawn({
        let client = client.clone();
        async move { client.call(addr, call("wait", b"")).await.map(drop) }
    });
    wait_until(|| handler.in_flight.load(Ordering::SeqCst) == 1);
    let error = send_call(&client, addr, call("panic", b"")).unwrap_err();
    assert!(error.may_have_run, "{error}");
    send_call(&client, addr, call("echo", b"")).unwrap();
    assert_eq!(handler.in_flight.load(Ordering::SeqCst), 1);
    task::block_on(waiting.cancel());
}

#[test]
fn a_call_may_have_run_if_its_connection_breaks() {
    let closing = start_peer(|mut stream| async move {
        let _ = stream.read(&mut [0; 64]).await;
    });
    let client = start_client();
    for _ in 0..3 {
        let error = send_call(&client, closing, call("echo", b"")).unwrap_err();
        assert!(error.may_have_run, "{error}");
        assert_eq!(error.peer, closing);
    }
}

#[test]
fn a_call_has_not_run_if_its_connection_is_refused() {
    let addr = free_addr();
    let client = start_client();
    for _ in 0..2 {
        let error = send_call(&client, addr, call("echo", b"")).unwrap_err();
        assert_eq!((error.step, error.may_have_run), ("connect", false));
    }
}

#[test]
fn stalled_and_malformed_peers_do_not_delay_others() {
    let (addr, handler) = start_server();
    let stalling = start_peer(|stream| async move {
        let _stream = stream;
        std::future::pending::<()>().await;
    });
    let malformed = start_peer(|mut stream| async move {
        let _ = stream.write_all(&[0xff; 4_096]).await;
        let _ = stream.read(&mut [0; 64]).await;
    });
    let client = start_client();
    let stalled = task::spawn({
        let client = client.clone();
        async move { client.call(stalling, call("echo", b"")).await.map(drop) }
    });
    let error = send_call(&client, malformed, call("echo", b"")).unwrap_err();
    assert!(error.may_have_run, "{error}");
    for _ in 0..100 {
        send_call(&client, addr, call("echo", b"")).unwrap();
    }
    assert_eq!(handler.started.load(Ordering::SeqCst), 100);
    task::block_on(stalled.cancel());
}

#[test]
fn malformed_input_does_not_affect_other_connections() {
    let (addr, handler) = start_server();
    let client = start_client();
    send_call(&client, addr, call("echo", b"")).unwrap();
    let inputs: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 64],
        &[0; 64],
        // Declares one segment of four gigabytes.
        &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0x1f, 0, 0, 0, 0],
    ];
    let mut open = Vec::new();
    for input in inputs {
        let mut stream = std::net::TcpStream::connect(addr).unwrap();
        std::io::Write::write_all(&mut stream, input).unwrap();
        open.push(stream);
    }
    for _ in 0..20 {
        send_call(&client, addr, call("echo", b"")).unwrap();
    }
    drop(open);
    send_call(&client, addr, call("echo", b"")).unwrap();
    assert_eq!(handler.started.load(Ordering::SeqCst), 22);
}
