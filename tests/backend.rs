//! Calls to backend servers that answer wrongly, in part, or not at all.

use {
    async_std::task,
    futures::FutureExt,
    shallotdeal::{
        backend::{Backend, BackendError, HttpBackend, Instructions},
        call::{Answer, Header, Request},
    },
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::mpsc::{Receiver, channel},
        thread,
        time::Duration,
    },
};

const MAX_BODY_BYTES: usize = 1_000;
const LONG_US: u64 = 20_000_000;
const SHORT_US: u64 = 200_000;
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

/// What the server does with one request.
#[derive(Clone, Copy)]
enum Step {
    /// Writes this.
    Write(&'static str),
    /// Waits until the client closes the connection.
    Stall,
    /// Closes the connection.
    Close,
    /// Waits for the next request on the same connection.
    Next,
}

/// Serves connections one after another, each by its script; tells of each request.
fn server(scripts: Vec<Vec<Step>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (requests, seen) = channel();
    thread::spawn(move || {
        for script in scripts {
            let (mut stream, _) = listener.accept().unwrap();
            let mut bytes = [0; 4_096];
            let _ = requests.send(read_request(&mut stream));
            for step in script {
                match step {
                    Step::Write(text) => stream.write_all(text.as_bytes()).unwrap(),
                    Step::Stall => while stream.read(&mut bytes).is_ok_and(|read| read > 0) {},
                    Step::Close => break,
                    Step::Next => {
                        let _ = requests.send(read_request(&mut stream));
                    }
                }
            }
            let _ = requests.send("closed".to_owned());
        }
    });
    (addr, seen)
}

/// Reads up to the end of the body that all requests have.
fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\nbody") {
        let mut bytes = [0; 4_096];
        let read = stream.read(&mut bytes).unwrap();
        assert!(read > 0, "cut after {text}");
        text.push_str(std::str::from_utf8(&bytes[..read]).unwrap());
    }
    text
}

fn request(method: &str) -> Request {
    Request {
        method: method.into(),
        target: "/path?query".into(),
        headers: vec![Header {
            name: "x-tag".into(),
            value: "tag".into(),
        }],
        body: b"body".to_vec(),
    }
}

fn instructions(remaining_us: u64) -> Instructions {
    Instructions {
        call_id: "c".into(),
        request_id: "r".into(),
        class: "orders".into(),
        remaining_us,
        deadline_unix_ms: 7,
    }
}

fn run(backend: &HttpBackend, addr: SocketAddr, method: &str) -> Result<Answer, BackendError> {
    let instructions = instructions(LONG_US);
    task::block_on(backend.run(addr, &request(method), &instructions))
}

fn one(script: Vec<Step>) -> Result<Answer, BackendError> {
    let (addr, _) = server(vec![script]);
    run(&HttpBackend::new(MAX_BODY_BYTES), addr, "POST")
}

#[test]
fn answers_that_are_cut_wrong_or_unclear_never_count_as_whole() {
    use Step::{Close, Write};
    let faulty = [
        vec![Close],
        vec![Write("HTTP/1.1 200 OK\r\ncontent-le"), Close],
        vec![Write("nonsense\r\n\r\n"), Close],
        vec![
            Write("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nhello"),
            Close,
        ],
        vec![Write("HTTP/1.1 200 OK\r\n\r\nhello"), Close],
        vec![
            Write("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nhello"),
            Close,
        ],
        vec![
            Write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nhello"),
            Close,
        ],
        vec![
            Write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"),
            Close,
        ],
        vec![
            Write("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello"),
            Close,
        ],
        vec![
            Write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n"),
            Close,
        ],
        vec![
            Write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhelloXX"),
            Close,
        ],
        vec![
            Write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nq\r\n"),
            Close,
        ],
        vec![
            Write("HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\nhello"),
            Close,
        ],
        vec![Write("HTTP/1.1 100 Continue\r\n\r\n"), Write(WHOLE), Close],
    ];
    for (index, script) in faulty.into_iter().enumerate() {
        let error = one(script).expect_err(&index.to_string());
        assert!(error.may_have_run && !error.timed_out, "{index}: {error}");
    }
}

#[test]
fn answers_over_the_limit_are_refused() {
    let large = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n{}",
        "x".repeat(1_001)
    );
    let large: &'static str = large.leak();
    assert_eq!(
        one(vec![Step::Write(large)]).unwrap_err().detail,
        "the answer is too large"
    );
    let chunked = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n0\r\n\r\n",
        "x".repeat(1_001)
    );
    let chunked: &'static str = chunked.leak();
    assert_eq!(
        one(vec![Step::Write(chunked)]).unwrap_err().detail,
        "the answer is too large"
    );
}

#[test]
fn whole_answers_come_back_in_either_encoding() {
    let (addr, seen) = server(vec![vec![
        Step::Write("HTTP/1.1 200 OK\r\nx-tag: a\r\ncontent-length: 5\r\n\r\nhello"),
        Step::Next,
        Step::Write("HTTP/1.1 503 Busy\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n"),
        Step::Write("2\r\nlo\r\n0\r\n\r\n"),
        Step::Next,
        Step::Write("HTTP/1.1 200 OK\r\ncontent-length: 999\r\n\r\n"),
        Step::Next,
        Step::Write("HTTP/1.1 204 No Content\r\n\r\n"),
    ]]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    let first = run(&backend, addr, "POST").unwrap();
    assert_eq!(
        (first.status, first.body.as_slice()),
        (200, b"hello".as_slice())
    );
    let tag = Header {
        name: "x-tag".into(),
        value: "a".into(),
    };
    assert!(first.headers.contains(&tag));
    let is_split = |header: &Header| header.value.contains(['\r', '\n']);
    assert!(
        !first.headers.iter().any(is_split),
        "a line end would cut the answer"
    );
    let second = run(&backend, addr, "POST").unwrap();
    assert_eq!(
        (second.status, second.body.as_slice()),
        (503, b"hello".as_slice())
    );
    assert!(run(&backend, addr, "HEAD").unwrap().body.is_empty());
    assert_eq!(run(&backend, addr, "POST").unwrap().status, 204);
    let sent = seen.recv().unwrap().to_lowercase();
    assert!(sent.starts_with("post /path?query http/1.1\r\n"), "{sent}");
    for header in [
        "x-tag: tag",
        "call-id: c",
        "request-id: r",
        "request-class: orders",
    ] {
        assert!(sent.contains(&format!("\r\n{header}\r\n")), "{sent}");
    }
    assert!(sent.contains("\r\nrequest-deadline: 7\r\n"), "{sent}");
}

#[test]
fn surplus_bytes_never_reach_the_next_request() {
    let surplus = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n";
    let (addr, _) = server(vec![
        vec![Step::Write(surplus), Step::Stall],
        vec![Step::Write(
            "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext",
        )],
    ]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    assert_eq!(run(&backend, addr, "POST").unwrap().body, b"hello");
    assert_eq!(run(&backend, addr, "POST").unwrap().body, b"next");
}

#[test]
fn an_idle_connection_that_was_closed_is_not_used_again() {
    let (addr, seen) = server(vec![
        vec![Step::Write(WHOLE), Step::Close],
        vec![Step::Write(WHOLE)],
    ]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    run(&backend, addr, "POST").unwrap();
    assert!(seen.recv().unwrap().starts_with("POST"));
    assert_eq!(seen.recv().unwrap(), "closed");
    thread::sleep(Duration::from_millis(50));
    assert_eq!(run(&backend, addr, "POST").unwrap().body, b"hello");
}

#[test]
fn a_server_that_does_not_answer_is_given_up_at_the_deadline() {
    let (addr, seen) = server(vec![
        vec![Step::Stall],
        vec![Step::Write("HTTP/1.1 200"), Step::Stall],
    ]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    for _ in 0..2 {
        let instructions = instructions(SHORT_US);
        let run = task::block_on(backend.run(addr, &request("POST"), &instructions));
        let error = run.unwrap_err();
        assert!(error.may_have_run && error.timed_out, "{error}");
        assert!(seen.recv().unwrap().starts_with("POST"));
        assert_eq!(
            seen.recv().unwrap(),
            "closed",
            "the server sees the cancellation"
        );
    }
}

#[test]
fn a_dropped_call_is_cancelled_at_the_server() {
    let (addr, seen) = server(vec![vec![Step::Stall]]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    let instructions = instructions(LONG_US);
    let sent = request("POST");
    let mut call = backend.run(addr, &sent, &instructions);
    task::block_on(async {
        let begun = task::spawn_blocking(move || (seen.recv().unwrap(), seen));
        let (request, seen) = futures::select! {
            _ = (&mut call).fuse() => panic!("no answer was sent"),
            begun = begun.fuse() => begun,
        };
        assert!(request.starts_with("POST"));
        drop(call);
        let closed = task::spawn_blocking(move || seen.recv().unwrap());
        assert_eq!(closed.await, "closed");
    });
}

#[test]
fn a_server_that_resets_or_is_not_there_is_told_apart() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let resetting = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        // Closing with unread bytes resets the connection.
        stream.peek(&mut [0]).unwrap();
        drop(stream);
    });
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    let error = run(&backend, addr, "POST").unwrap_err();
    assert!(error.may_have_run && !error.timed_out, "{error}");
    resetting.join().unwrap();
    let error = run(&backend, addr, "POST").unwrap_err();
    assert_eq!((error.step, error.may_have_run), ("connect", false));
    assert!(!task::block_on(backend.is_listening(addr)));
}
