//! Calls to backend servers that send invalid, incomplete or no responses.

use {
    async_std::task,
    futures::FutureExt,
    shallotdeal::{
        backend::{Backend, BackendError, CallContext, HttpBackend},
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
const LONG_TIMEOUT_US: u64 = 20_000_000;
const SHORT_TIMEOUT_US: u64 = 200_000;
const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

/// Step of the server's script for one connection.
#[derive(Clone, Copy)]
enum Step {
    /// Writes this text.
    Write(&'static str),
    /// Waits until what was written has arrived.
    Pause,
    /// Waits until the client closes the connection.
    Stall,
    /// Closes the connection.
    Close,
    /// Waits for the next request on the same connection.
    Next,
}

/// Serves connections one after another, each by its script.
///
/// The channel receives each request, and `closed` at the end of each script.
fn server(scripts: Vec<Vec<Step>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, events) = channel();
    thread::spawn(move || {
        for script in scripts {
            let (mut stream, _) = listener.accept().unwrap();
            let mut bytes = [0; 4_096];
            let _ = sender.send(read_request(&mut stream));
            for step in script {
                match step {
                    Step::Write(text) => stream.write_all(text.as_bytes()).unwrap(),
                    Step::Stall => while stream.read(&mut bytes).is_ok_and(|read| read > 0) {},
                    Step::Pause => thread::sleep(Duration::from_millis(50)),
                    Step::Close => break,
                    Step::Next => {
                        let _ = sender.send(read_request(&mut stream));
                    }
                }
            }
            let _ = sender.send("closed".to_owned());
        }
    });
    (addr, events)
}

/// Reads one request, whose body is always `body`.
fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\nbody") {
        let mut bytes = [0; 4_096];
        let read = stream.read(&mut bytes).unwrap();
        assert!(read > 0, "connection closed after {text}");
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

fn context(remaining_us: u64) -> CallContext {
    CallContext {
        call_id: "c".into(),
        request_id: "r".into(),
        class: "orders".into(),
        remaining_us,
        deadline_unix_ms: 7,
    }
}

fn run(backend: &HttpBackend, addr: SocketAddr, method: &str) -> Result<Answer, BackendError> {
    let context = context(LONG_TIMEOUT_US);
    task::block_on(backend.run(addr, &request(method), &context))
}

/// Runs one request on a server with this script.
fn run_script(script: Vec<Step>) -> Result<Answer, BackendError> {
    let (addr, _) = server(vec![script]);
    run(&HttpBackend::new(MAX_BODY_BYTES), addr, "POST")
}

#[test]
fn incomplete_invalid_and_ambiguous_responses_are_errors() {
    use Step::{Close, Write};
    let scripts = [
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
        vec![
            Write("HTTP/1.1 100 Continue\r\n\r\n"),
            Write(COMPLETE),
            Close,
        ],
    ];
    for (index, script) in scripts.into_iter().enumerate() {
        let error = run_script(script).expect_err(&index.to_string());
        assert!(error.may_have_run && !error.timed_out, "{index}: {error}");
    }
}

// Guards against a response whose head ends early and that counts as a complete one without a body.
#[test]
fn responses_that_end_within_their_head_are_errors() {
    let heads = [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nname: value\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nname: value\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    ];
    let mut taken = Vec::new();
    for head in heads {
        for cut in 1..head.len() {
            let script = vec![Step::Write(&head[..cut]), Step::Close];
            if let Ok(answer) = run_script(script) {
                taken.push((&head[..cut], answer.status, answer.body));
            }
        }
    }
    assert!(taken.is_empty(), "{taken:?}");
}

#[test]
fn responses_with_an_invalid_status_are_errors() {
    for status in [
        "000", "001", "099", "101", "600", "999", "99", "2000", "+20",
    ] {
        let head = format!("HTTP/1.1 {status} X\r\n");
        let whole = format!("{head}content-length: 5\r\n\r\nhello");
        for text in [
            whole.clone(),
            format!("{head}\r\n{COMPLETE}"),
            whole + COMPLETE,
        ] {
            let script = vec![Step::Write(text.leak()), Step::Close];
            let error = run_script(script).expect_err(status);
            assert!(error.may_have_run && !error.timed_out, "{status}: {error}");
        }
    }
}

#[test]
fn responses_with_a_malformed_field_are_errors() {
    for line in [
        "x y: z",
        "x\ty: z",
        "x\x01y: z",
        "x\x7fy: z",
        "x\0y: z",
        "x(y): z",
        "x\ry: z",
        "é: z",
        " x: z",
        "x : z",
        ": z",
        "x",
        "x: a\x01b",
        "x: a\0b",
        "x: a\rb",
        "x: a\r\n b: c",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: 5\r\n\r\nhello{COMPLETE}");
        let script = vec![Step::Write(text.leak()), Step::Close];
        let error = run_script(script).expect_err(line);
        assert!(error.may_have_run && !error.timed_out, "{line}: {error}");
    }
}

// Guards against a chunk line without a size that counts as the last chunk.
#[test]
fn responses_with_a_malformed_chunk_are_errors() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for line in [
        "",
        ";x",
        " ",
        " 5",
        "g",
        "-5",
        "+5",
        "0x5",
        "5 5",
        "10000000000000005",
    ] {
        for text in [
            format!("{HEAD}{line}\r\nhello\r\n0\r\n\r\n"),
            format!("{HEAD}5\r\nhello\r\n{line}\r\n\r\n"),
            format!("{HEAD}5\r\nhello\r\n{line}\r\n0\r\n\r\n"),
        ] {
            let script = vec![Step::Write(text.leak()), Step::Close];
            let error = run_script(script).expect_err(line);
            assert!(error.may_have_run && !error.timed_out, "{line}: {error}");
        }
    }
}

#[test]
fn trailers_in_several_pieces_are_read() {
    let (addr, _) = server(vec![vec![
        Step::Write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx: "),
        Step::Pause,
        Step::Write("y\r"),
        Step::Pause,
        Step::Write("\n\r"),
        Step::Pause,
        Step::Write("\n"),
        Step::Stall,
    ]]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    assert_eq!(run(&backend, addr, "POST").unwrap().body, b"hello");
}

#[test]
fn responses_that_end_within_the_trailers_are_errors() {
    for trailers in ["", "x: y\r\n", "x: ", "\r"] {
        let text = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n{trailers}");
        let script = vec![Step::Write(text.leak()), Step::Close];
        let error = run_script(script).expect_err(trailers);
        assert!(
            error.may_have_run && !error.timed_out,
            "{trailers}: {error}"
        );
    }
}

#[test]
fn bytes_after_the_last_chunk_are_not_taken_for_the_next_response() {
    let chunked =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx: y\r\n\r\n";
    let surplus = format!("{chunked}HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold");
    let (addr, _) = server(vec![
        vec![Step::Write(surplus.leak()), Step::Stall],
        vec![Step::Write(COMPLETE)],
    ]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    assert_eq!(run(&backend, addr, "POST").unwrap().body, b"hello");
    assert_eq!(run(&backend, addr, "POST").unwrap().body, b"hello");
}

#[test]
fn responses_over_the_size_limit_are_errors() {
    let large = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n{}",
        "x".repeat(1_001)
    );
    let large: &'static str = large.leak();
    assert_eq!(
        run_script(vec![Step::Write(large)]).unwrap_err().detail,
        "the response body is too large"
    );
    let chunked = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n0\r\n\r\n",
        "x".repeat(1_001)
    );
    let chunked: &'static str = chunked.leak();
    assert_eq!(
        run_script(vec![Step::Write(chunked)]).unwrap_err().detail,
        "the response body is too large"
    );
}

#[test]
fn complete_responses_are_returned_in_either_encoding() {
    let (addr, events) = server(vec![vec![
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
        "a line break would end the header early"
    );
    let second = run(&backend, addr, "POST").unwrap();
    assert_eq!(
        (second.status, second.body.as_slice()),
        (503, b"hello".as_slice())
    );
    assert!(run(&backend, addr, "HEAD").unwrap().body.is_empty());
    assert_eq!(run(&backend, addr, "POST").unwrap().status, 204);
    let sent = events.recv().unwrap().to_lowercase();
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
fn surplus_bytes_are_not_taken_for_the_next_response() {
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

// Guards against a response to an earlier call, written once more on a kept connection, that is taken
// for the response to the call that runs.
#[test]
fn a_response_that_names_another_call_is_an_error() {
    let response = |call_id| -> &'static str {
        let text = format!("HTTP/1.1 503 Busy\r\n{call_id}content-length: 0\r\n\r\n");
        Box::leak(text.into())
    };
    for (call_id, is_own) in [
        ("call-id: c\r\n", true),
        ("call-id: earlier\r\n", false),
        ("call-id: c\r\ncall-id: earlier\r\n", false),
        // Backend servers need not name the call.
        ("", true),
    ] {
        let result = run_script(vec![Step::Write(response(call_id)), Step::Stall]);
        assert_eq!(result.is_ok(), is_own, "{call_id:?}: {result:?}");
        assert!(is_own || result.unwrap_err().may_have_run, "{call_id:?}");
    }
}

#[test]
fn a_closed_idle_connection_is_not_reused() {
    let (addr, events) = server(vec![
        vec![Step::Write(COMPLETE), Step::Close],
        vec![Step::Write(COMPLETE)],
    ]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    run(&backend, addr, "POST").unwrap();
    assert!(events.recv().unwrap().starts_with("POST"));
    assert_eq!(events.recv().unwrap(), "closed");
    thread::sleep(Duration::from_millis(50));
    assert_eq!(run(&backend, addr, "POST").unwrap().body, b"hello");
}

#[test]
fn a_call_without_a_complete_response_times_out_at_the_deadline() {
    let (addr, events) = server(vec![
        vec![Step::Stall],
        vec![Step::Write("HTTP/1.1 200"), Step::Stall],
    ]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    for _ in 0..2 {
        let context = context(SHORT_TIMEOUT_US);
        let run = task::block_on(backend.run(addr, &request("POST"), &context));
        let error = run.unwrap_err();
        assert!(error.may_have_run && error.timed_out, "{error}");
        assert!(events.recv().unwrap().starts_with("POST"));
        assert_eq!(
            events.recv().unwrap(),
            "closed",
            "the connection is closed at the timeout"
        );
    }
}

#[test]
fn dropping_a_call_closes_its_connection() {
    let (addr, events) = server(vec![vec![Step::Stall]]);
    let backend = HttpBackend::new(MAX_BODY_BYTES);
    let context = context(LONG_TIMEOUT_US);
    let sent = request("POST");
    let mut call = backend.run(addr, &sent, &context);
    task::block_on(async {
        let begun = task::spawn_blocking(move || (events.recv().unwrap(), events));
        let (request, events) = futures::select! {
            _ = (&mut call).fuse() => panic!("the call ended without a response"),
            begun = begun.fuse() => begun,
        };
        assert!(request.starts_with("POST"));
        drop(call);
        let closed = task::spawn_blocking(move || events.recv().unwrap());
        assert_eq!(closed.await, "closed");
    });
}

#[test]
fn a_connection_reset_differs_from_a_refused_connection() {
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

/// Bytes that the kernel and the client may take of an endless answer before it is given up.
const MAX_ENDLESS_BYTES: usize = 32 << 20;

/// Serves one connection: writes a beginning and then the same text again until the client closes.
/// The receiver gets the number of bytes written.
fn endless_server(first: &'static str, repeated: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, written) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        let mut written_bytes = first.len();
        let mut is_open = stream.write_all(first.as_bytes()).is_ok();
        while is_open && written_bytes < 2 * MAX_ENDLESS_BYTES {
            written_bytes += repeated.len();
            is_open = stream.write_all(repeated.as_bytes()).is_ok();
        }
        let _ = sender.send(written_bytes);
    });
    (addr, written)
}

// Guards against a server that fills the memory of the daemon with bytes that are no answer.
#[test]
fn endless_responses_are_given_up_early() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\n";
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let noise: &str = "x".repeat(60_000).leak();
    let lines: &str = "a: b\r\n".repeat(10_000).leak();
    let chunk: &str = format!("ea60\r\n{noise}\r\n").leak();
    let tiny_chunks: &str = "1\r\nx\r\n".repeat(10_000).leak();
    let interim: &str = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000).leak();
    for (first, repeated) in [
        ("", noise),
        (HEAD, lines),
        (HEAD, noise),
        ("", interim),
        ("HTTP/1.1 200 OK\r\n\r\n", noise),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n",
            noise,
        ),
        (CHUNKED, noise),
        (CHUNKED, chunk),
        (CHUNKED, tiny_chunks),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
            noise,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            lines,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            noise,
        ),
    ] {
        let (addr, written) = endless_server(first, repeated);
        let error = run(&HttpBackend::new(MAX_BODY_BYTES), addr, "POST").expect_err(first);
        assert!(error.may_have_run && !error.timed_out, "{first}: {error}");
        let written_bytes = written.recv().unwrap();
        assert!(
            written_bytes < MAX_ENDLESS_BYTES,
            "{first}: {written_bytes}"
        );
    }
}
