//! Calls between daemons: cancellation, broken connections and peers that misbehave.

use {
    async_std::{net::TcpListener, task},
    async_trait::async_trait,
    futures::{AsyncReadExt, AsyncWriteExt},
    shallotdeal::{
        call::{Answer, Call, Header, PeerError, Peers, Reply, Request, Serve},
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

const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Fake {
    begun: AtomicUsize,
    running: AtomicUsize,
}

struct Run<'a>(&'a Fake);

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl Serve for Fake {
    async fn serve(&self, call: Call) -> Reply {
        self.begun.fetch_add(1, Ordering::SeqCst);
        self.running.fetch_add(1, Ordering::SeqCst);
        let _run = Run(self);
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

/// Serves calls on a thread of their own.
fn serve() -> (SocketAddr, Arc<Fake>) {
    let fake = Arc::new(Fake::default());
    let addr = free_addr();
    let serve = Arc::clone(&fake);
    thread::spawn(move || task::block_on(server::listen(addr, serve)));
    until(|| std::net::TcpStream::connect(addr).is_ok());
    (addr, fake)
}

fn free_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn connect() -> Client {
    let (client, task) = client::client(IpAddr::V4(Ipv4Addr::LOCALHOST));
    thread::spawn(move || task::block_on(task.run()));
    client
}

/// Accepts connections and treats each in this way.
fn peer<F, T>(treat: F) -> SocketAddr
where
    F: Fn(async_std::net::TcpStream) -> T + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(treat(stream));
        }
    });
    addr
}

fn until(condition: impl Fn() -> bool) {
    let mut waited = Duration::ZERO;
    while !condition() {
        assert!(waited < PATIENCE, "waited too long");
        thread::sleep(POLL);
        waited += POLL;
    }
}

fn exchange(client: &Client, addr: SocketAddr, call: Call) -> Result<Reply, PeerError> {
    task::block_on(client.call(addr, call))
}

#[test]
fn replies_come_back_whole() {
    let (addr, _) = serve();
    let client = connect();
    let body = vec![b'x'; 1 << 20];
    let reply = exchange(&client, addr, call("echo", &body)).unwrap();
    let answer = reply.result.unwrap();
    assert_eq!((answer.status, answer.body == body), (201, true));
    assert_eq!(answer.headers[0].value, "tag");
    assert_eq!(
        (reply.retry_tokens, reply.path_level, reply.is_final),
        (3, Level(12), true)
    );
    let reply = exchange(&client, addr, call("refuse", b"")).unwrap();
    let refusal = reply.result.unwrap_err();
    assert_eq!(
        refusal,
        Refusal::not_run(Reason::WorkerFull).retry_after_ms(7)
    );
    assert_eq!(task::block_on(client.config(addr)).unwrap(), b"document");
}

#[test]
fn a_dropped_call_is_cancelled_at_the_other_daemon() {
    let (addr, fake) = serve();
    let client = connect();
    let waiting = task::spawn({
        let client = client.clone();
        async move { client.call(addr, call("wait", b"")).await.map(drop) }
    });
    until(|| fake.running.load(Ordering::SeqCst) == 1);
    exchange(&client, addr, call("echo", b"")).unwrap();
    task::block_on(waiting.cancel());
    until(|| fake.running.load(Ordering::SeqCst) == 0);
    exchange(&client, addr, call("echo", b"")).unwrap();
}

#[test]
fn a_panic_in_one_call_leaves_the_connection_to_the_others() {
    let (addr, fake) = serve();
    let client = connect();
    let waiting = task::spawn({
        let client = client.clone();
        async move { client.call(addr, call("wait", b"")).await.map(drop) }
    });
    until(|| fake.running.load(Ordering::SeqCst) == 1);
    let error = exchange(&client, addr, call("panic", b"")).unwrap_err();
    assert!(error.may_have_run, "{error}");
    exchange(&client, addr, call("echo", b"")).unwrap();
    assert_eq!(fake.running.load(Ordering::SeqCst), 1);
    task::block_on(waiting.cancel());
}

#[test]
fn a_connection_lost_during_a_call_may_have_run_it() {
    let losing = peer(|mut stream| async move {
        let _ = stream.read(&mut [0; 64]).await;
    });
    let client = connect();
    for _ in 0..3 {
        let error = exchange(&client, losing, call("echo", b"")).unwrap_err();
        assert!(error.may_have_run, "{error}");
        assert_eq!(error.peer, losing);
    }
}

#[test]
fn a_refused_connection_has_not_run_the_call() {
    let addr = free_addr();
    let client = connect();
    for _ in 0..2 {
        let error = exchange(&client, addr, call("echo", b"")).unwrap_err();
        assert_eq!((error.step, error.may_have_run), ("connect", false));
    }
}

#[test]
fn a_peer_that_stalls_or_answers_nonsense_holds_up_no_other() {
    let (addr, fake) = serve();
    let stalling = peer(|stream| async move {
        let _stream = stream;
        std::future::pending::<()>().await;
    });
    let babbling = peer(|mut stream| async move {
        let _ = stream.write_all(&[0xff; 4_096]).await;
        let _ = stream.read(&mut [0; 64]).await;
    });
    let client = connect();
    let stalled = task::spawn({
        let client = client.clone();
        async move { client.call(stalling, call("echo", b"")).await.map(drop) }
    });
    let error = exchange(&client, babbling, call("echo", b"")).unwrap_err();
    assert!(error.may_have_run, "{error}");
    for _ in 0..100 {
        exchange(&client, addr, call("echo", b"")).unwrap();
    }
    assert_eq!(fake.begun.load(Ordering::SeqCst), 100);
    task::block_on(stalled.cancel());
}

#[test]
fn malformed_bytes_at_the_calls_port_disturb_nobody() {
    let (addr, fake) = serve();
    let client = connect();
    exchange(&client, addr, call("echo", b"")).unwrap();
    let noises: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 64],
        &[0; 64],
        // One segment of four gigabytes.
        &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0x1f, 0, 0, 0, 0],
    ];
    let mut open = Vec::new();
    for noise in noises {
        let mut stream = std::net::TcpStream::connect(addr).unwrap();
        std::io::Write::write_all(&mut stream, noise).unwrap();
        open.push(stream);
    }
    for _ in 0..20 {
        exchange(&client, addr, call("echo", b"")).unwrap();
    }
    drop(open);
    exchange(&client, addr, call("echo", b"")).unwrap();
    assert_eq!(fake.begun.load(Ordering::SeqCst), 22);
}
