//! Compares the latency of one small call over capnp-rpc and over HTTP/1.1 keep-alive connections.
//!
//! Argument: number of concurrent callers (default 1).

use {
    async_h1::{client as http_client, server::Server},
    async_std::{
        net::{TcpListener, TcpStream},
        task,
    },
    async_trait::async_trait,
    futures::AsyncReadExt,
    hdrhistogram::Histogram,
    http_types::{Method, Response, StatusCode, Url},
    shallotdeal::{
        call::{Answer, Call, CallHandler, PeerClient, Reply, Request},
        request::{Importance, Incarnation, Level, RequestId},
        rpc::{
            client::{self, Client},
            server,
        },
    },
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        thread,
        time::Instant,
    },
};

const BODY: &[u8] = &[b'x'; 200];
/// Calls in one run, by all callers together.
const CALLS: usize = 20_000;
const ROUNDS: usize = 3;

struct Echo;

#[async_trait]
impl CallHandler for Echo {
    async fn handle_call(&self, call: Call) -> Reply {
        Reply {
            result: Ok(Arc::new(Answer {
                status: 200,
                headers: Vec::new(),
                body: call.request.body.clone(),
            })),
            retry_tokens: call.retry_tokens,
            path_level: Level::OPEN,
            is_final: false,
        }
    }

    fn config_document(&self) -> Vec<u8> {
        Vec::new()
    }
}

fn main() {
    let args: Vec<usize> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let concurrency = args.first().copied().unwrap_or(1);
    let (rpc_addr, http_addr) = (serve_rpc(), serve_http());
    let client = start_client();
    for _ in 0..ROUNDS {
        report(
            "capnp-rpc",
            concurrency,
            &run(concurrency, || rpc(client.clone(), rpc_addr)),
        );
        report(
            "async-h1",
            concurrency,
            &run(concurrency, || http(http_addr)),
        );
    }
}

fn report(name: &str, concurrency: usize, run: &Run) {
    let [p50, p99] = [0.5, 0.99].map(|quantile| run.latency_us.value_at_quantile(quantile));
    println!(
        "{name:10} callers {concurrency:3}  p50 {p50:5} us  p99 {p99:5} us  {:7.0} calls/s",
        CALLS as f64 / run.duration_s,
    );
}

struct Run {
    latency_us: Histogram<u64>,
    duration_s: f64,
}

/// Runs concurrent callers; `caller` creates the function with which one of them sends a call.
fn run<S, F>(concurrency: usize, caller: impl Fn() -> S) -> Run
where
    S: FnMut() -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let started = Instant::now();
    let callers: Vec<_> = (0..concurrency)
        .map(|_| task::spawn(send_calls(caller(), CALLS / concurrency)))
        .collect();
    let mut latency_us = Histogram::new(3).expect("three digits are allowed");
    for caller in callers {
        latency_us
            .add(task::block_on(caller))
            .expect("the histogram grows");
    }
    Run {
        latency_us,
        duration_s: started.elapsed().as_secs_f64(),
    }
}

/// Sends calls one after another; returns their latencies.
async fn send_calls<F>(mut call: impl FnMut() -> F, calls: usize) -> Histogram<u64>
where
    F: Future<Output = ()>,
{
    let mut latency_us = Histogram::new(3).expect("three digits are allowed");
    for _ in 0..calls {
        let started = Instant::now();
        call().await;
        latency_us
            .record(started.elapsed().as_micros() as u64)
            .expect("the histogram grows");
    }
    latency_us
}

/// Creates a caller over the shared capnp-rpc connection.
fn rpc(
    client: Client,
    addr: SocketAddr,
) -> impl FnMut() -> futures::future::BoxFuture<'static, ()> {
    let request = Arc::new(Request {
        method: "POST".into(),
        target: "/stock".into(),
        headers: Vec::new(),
        body: BODY.to_vec(),
    });
    move || {
        let (client, request) = (client.clone(), Arc::clone(&request));
        Box::pin(async move {
            let reply = client.call(addr, call(request)).await;
            let answer = reply.expect("a reply").result.expect("an answer");
            assert_eq!(answer.body.len(), BODY.len());
        })
    }
}

fn call(request: Arc<Request>) -> Call {
    Call {
        request_id: RequestId(7),
        service: "pantry-ledger".into(),
        class: "stock".into(),
        importance: Importance(2),
        idempotent: true,
        incarnation: Incarnation(9),
        remaining_us: 1_000_000,
        retry_tokens: 2,
        depth: 1,
        ticket: None,
        first_attempt: true,
        exclusive: false,
        request,
    }
}

/// Creates a caller with its own connection, as HTTP/1.1 carries one call at a time.
fn http(addr: SocketAddr) -> impl FnMut() -> futures::future::BoxFuture<'static, ()> {
    let stream = task::block_on(TcpStream::connect(addr)).expect("the server listens");
    stream.set_nodelay(true).expect("the stream is open");
    move || {
        let stream = stream.clone();
        Box::pin(async move {
            let url = Url::parse("http://daemon/stock").expect("a constant address is valid");
            let mut request = http_types::Request::new(Method::Post, url);
            for (name, value) in CONTEXT {
                request.insert_header(*name, *value);
            }
            request.set_body(BODY);
            let mut response = http_client::connect(stream, request)
                .await
                .expect("a reply");
            let mut body = Vec::new();
            let mut reader = response.take_body();
            reader.read_to_end(&mut body).await.expect("a body");
            assert_eq!(body.len(), BODY.len());
        })
    }
}

/// Context of a call, sent as headers.
const CONTEXT: &[(&str, &str)] = &[
    ("request-id", "00000000000000000000000000000007"),
    ("service", "pantry-ledger"),
    ("class", "stock"),
    ("importance", "2"),
    ("idempotent", "true"),
    ("incarnation", "0000000000000009"),
    ("remaining-us", "1000000"),
    ("retry-tokens", "2"),
    ("depth", "1"),
];

fn start_client() -> Client {
    let (client, task) = client::client(IpAddr::V4(Ipv4Addr::LOCALHOST));
    thread::spawn(move || task::block_on(task.run()));
    client
}

fn serve_rpc() -> SocketAddr {
    let (listener, addr) = listen();
    drop(listener);
    thread::spawn(move || task::block_on(server::listen(addr, Arc::new(Echo))));
    while std::net::TcpStream::connect(addr).is_err() {
        thread::yield_now();
    }
    addr
}

fn serve_http() -> SocketAddr {
    let (listener, addr) = listen();
    let serving = async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("the stream is open");
            task::spawn_local(async move { Server::new(stream, echo).accept().await });
        }
    };
    thread::spawn(move || task::block_on(serving));
    addr
}

async fn echo(mut request: http_types::Request) -> http_types::Result<Response> {
    let body = request.body_bytes().await?;
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("retry-tokens", "2");
    response.insert_header("path-level", "65536");
    response.set_body(body);
    Ok(response)
}

/// Binds a listener to a free port.
fn listen() -> (TcpListener, SocketAddr) {
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let addr = listener.local_addr().expect("the listener is bound");
    (listener, addr)
}
