//! The pool's exchange with a raw worker that sends broken answers.

use {
    shallotdeal::{
        mesh::{
            conn::Conn,
            pool::{ExchangeError, ExchangeErrorKind, Pool, WorkerAnswer},
            runtime,
        },
        platform::WireProtocol,
    },
    socket2::SockRef,
    std::{
        io::{ErrorKind, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        rc::Rc,
        thread,
        time::Duration,
    },
};

/// Time limit of a test, much longer than any test needs.
const TEST_LIMIT_MS: u64 = 30_000;

/// Head of an answer to the request `id` up to the fields that frame its body.
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Shallotdeal-Attempt-Id: id\r\n\
                    X-Shallotdeal-Response-Stamp: s-id\r\n";

/// How a worker ends a connection after its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Closes its sending side, and reads until the client closes.
    HalfClose,
    /// Closes its sending side, and then resets the connection.
    HalfCloseReset,
    /// Resets the connection after a delay.
    Reset { after_ms: u64 },
}

/// Answers one connection once the head of its request has arrived, and ends it. Returns the
/// address.
fn worker(answer: Vec<u8>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 1_024];
        assert!(stream.read(&mut bytes).unwrap() > 0);
        // The client may refuse the answer before it has read all of it.
        let _ = stream.write_all(&answer);
        match end {
            End::HalfClose => read_to_end(&mut stream),
            End::HalfCloseReset => {
                let _ = stream.shutdown(Shutdown::Write);
                thread::sleep(Duration::from_millis(20));
                reset(stream);
            }
            End::Reset { after_ms } => {
                thread::sleep(Duration::from_millis(after_ms));
                reset(stream);
            }
        }
    });
    addr
}

fn read_to_end(stream: &mut TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let mut bytes = vec![0; 1 << 16];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return,
            Err(error) if error.kind() != ErrorKind::Interrupted => return,
            Ok(_) | Err(_) => {}
        }
    }
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(stream);
}

/// Exchanges a short request with a worker that sends this answer and then closes its side.
fn exchange_short(answer: &str) -> Result<Vec<u8>, ExchangeErrorKind> {
    let addr = worker(answer.into(), End::HalfClose);
    let result = exchange(addr, &request(0));
    result
        .map(|answer| answer.body.to_vec())
        .map_err(|error| error.kind)
}

/// Complete answer with this status line and a body of `body`.
fn answer_with(status_line: &str) -> String {
    let fields = HEAD.split_once("\r\n").unwrap().1;
    format!("{status_line}\r\n{fields}Content-Length: 4\r\n\r\nbody")
}

/// Request `id` with a body of this length.
fn request(body_bytes: usize) -> Vec<u8> {
    let mut request = format!(
        "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Shallotdeal-Attempt-Id: id\r\n\
         Content-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body_bytes, b'x');
    request
}

fn exchange(addr: SocketAddr, request: &[u8]) -> Result<WorkerAnswer, ExchangeError> {
    runtime::block_on(async {
        let pool = Pool::new(Rc::new(WireProtocol));
        let exchange = pool.exchange(addr, request, "id", false);
        let result = runtime::within(TEST_LIMIT_MS, exchange).await;
        result.expect("the exchange exceeded its time limit")
    })
}

// Guards against a part of an answer that counts as complete: the kernel reports a reset once, and
// the sending side takes the report, so that the receiving side sees a plain end.
#[test]
fn an_answer_without_length_that_is_reset_during_the_upload_is_not_complete() {
    let answer = format!("{HEAD}\r\npart of a body");
    let mut not_lost = Vec::new();
    for body_bytes in [60_000, 200_000, 1 << 20, 16 << 20] {
        let request = request(body_bytes);
        for after_ms in [0, 1, 5, 20, 50, 150] {
            let addr = worker(answer.clone().into(), End::Reset { after_ms });
            let kind = exchange(addr, &request).map_err(|error| error.kind).err();
            if kind != Some(ExchangeErrorKind::ConnectionLost) {
                not_lost.push((body_bytes, after_ms, kind));
            }
        }
    }
    assert!(not_lost.is_empty(), "{}: {not_lost:?}", not_lost.len());
}

#[test]
fn a_reset_that_a_write_has_reported_ends_the_stream_with_an_error() {
    let addr = worker(b"part".into(), End::Reset { after_ms: 0 });
    runtime::block_on(async {
        let mut conn = Conn::connect(addr).await.unwrap();
        conn.write_all(b"x").await.unwrap();
        while conn.write_all(b"x").await.is_ok() {
            runtime::sleep_ms(1).await;
        }
        while let Ok(count) = conn.fill().await {
            assert!(count > 0, "the stream ended without an error");
        }
    });
}

#[test]
fn a_complete_answer_during_the_upload_is_returned() {
    let unframed = format!("{HEAD}\r\nbody");
    let framed = format!("{HEAD}Content-Length: 4\r\n\r\nbody");
    let chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    let request = request(16 << 20);
    for (answer, end) in [
        (&unframed, End::HalfClose),
        (&unframed, End::HalfCloseReset),
        (&framed, End::HalfClose),
        (&framed, End::Reset { after_ms: 20 }),
        (&chunked, End::Reset { after_ms: 20 }),
    ] {
        let addr = worker(answer.clone().into(), end);
        let answer = exchange(addr, &request).unwrap();
        assert_eq!(answer.body.to_vec(), b"body", "{end:?}");
    }
}

#[test]
fn an_answer_with_an_invalid_status_is_refused() {
    let complete = answer_with("HTTP/1.1 200 OK");
    for status in [
        "000", "001", "099", "101", "600", "999", "99", "2000", "+20", "-20", "2 0", "2\x000",
    ] {
        let line = format!("HTTP/1.1 {status} OK");
        let without_body = answer_with(&line).replace("Content-Length: 4\r\n\r\nbody", "\r\n");
        for answer in [
            answer_with(&line),
            answer_with(&line) + &complete,
            without_body + &complete,
        ] {
            assert_eq!(
                exchange_short(&answer),
                Err(ExchangeErrorKind::InvalidAnswer),
                "{answer}"
            );
        }
    }
}

#[test]
fn interim_answers_are_skipped() {
    let complete = answer_with("HTTP/1.1 200 OK");
    for status in [100, 102, 103, 199] {
        let answer = format!("HTTP/1.1 {status} X\r\nX: y\r\n\r\n{complete}");
        assert_eq!(exchange_short(&answer), Ok(b"body".to_vec()), "{status}");
    }
}

// Guards against a chunk line without a size that counts as the last chunk: the answer is cut there
// and looks complete.
#[test]
fn an_answer_with_a_malformed_chunk_is_refused() {
    let chunked = |chunks: &str| format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{chunks}");
    let end = "0\r\n\r\n";
    for chunks in [
        "",
        ";x",
        " ",
        " 4",
        "\t4",
        "g",
        "-4",
        "+4",
        "0x4",
        "4 4",
        "4\x004",
        "\x014",
        "\n4",
        ",4",
        "=",
        "10000000000000004",
        "fffffffffffffffff",
    ] {
        let first = chunked(&format!("{chunks}\r\nbody\r\n{end}"));
        let second = chunked(&format!("4\r\nbody\r\n{chunks}\r\n\r\n"));
        let last = chunked(&format!("4\r\nbody\r\n{chunks}\r\n{end}"));
        for answer in [first, second, last] {
            let result = exchange_short(&answer);
            assert_eq!(result, Err(ExchangeErrorKind::InvalidAnswer), "{answer}");
        }
    }
    for chunks in [
        "4\r\nbody0\r\n\r\n",
        "4\r\nbody\n0\r\n\r\n",
        "4\nbody\r\n0\r\n\r\n",
    ] {
        let result = exchange_short(&chunked(chunks));
        assert_eq!(result, Err(ExchangeErrorKind::InvalidAnswer), "{chunks}");
    }
    for chunks in [
        "",
        "4",
        "4\r\n",
        "4\r\nbo",
        "4\r\nbody\r\n",
        "4\r\nbody\r\n0\r\n",
    ] {
        let result = exchange_short(&chunked(chunks));
        assert_eq!(result, Err(ExchangeErrorKind::ConnectionLost), "{chunks}");
    }
    for chunks in [
        "4\r\nbody\r\n",
        "2;x=y\r\nbo\r\n02\r\ndy\r\n",
        "2 \r\nbo\r\n2\r\ndy\r\n",
    ] {
        let result = exchange_short(&chunked(&format!("{chunks}{end}")));
        assert_eq!(result, Ok(b"body".to_vec()), "{chunks}");
    }
}

// Guards against an arithmetic overflow in the time for which a connection is kept.
#[test]
fn a_connection_is_reused_after_an_answer_with_a_large_idle_time() {
    for timeout in [
        "5",
        "18446744073709551",
        "1844674407370955161",
        "18446744073709551615",
    ] {
        let answer =
            format!("{HEAD}Keep-Alive: timeout={timeout}\r\nContent-Length: 4\r\n\r\nbody");
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let worker = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut requests = 0;
            while stream.read(&mut [0; 1_024]).is_ok_and(|count| count > 0) {
                requests += 1;
                stream.write_all(answer.as_bytes()).unwrap();
            }
            requests
        });
        runtime::block_on(async {
            let pool = Pool::new(Rc::new(WireProtocol));
            for _ in 0..2 {
                let answer = pool.exchange(addr, &request(0), "id", false).await;
                assert_eq!(answer.unwrap().body.to_vec(), b"body", "{timeout}");
            }
        });
        assert_eq!(worker.join().unwrap(), 2, "{timeout}");
    }
}

#[test]
fn an_unreadable_idle_time_is_ignored() {
    for timeout in ["18446744073709551616", "-1", "1e9", "0x5", "", " "] {
        let fields = format!("{HEAD}Keep-Alive: timeout={timeout}\r\nContent-Length: 4\r\n\r\n");
        let result = exchange_short(&format!("{fields}body"));
        assert_eq!(result, Ok(b"body".to_vec()), "{timeout}");
    }
}

#[test]
fn an_answer_with_a_malformed_field_is_refused() {
    let lines: &[&[u8]] = &[
        b"x y: z",
        b"x\ty: z",
        b"x\x01y: z",
        b"x\x7fy: z",
        b"x\0y: z",
        b"x(y): z",
        b"x\ry: z",
        b"x\xc3\xa9: z",
        b"x\xff: z",
        b" x: z",
        b"x : z",
        b"x\t: z",
        b": z",
        b"x",
        b"x: a\x01b",
        b"x: a\0b",
        b"x: a\rb",
        b"x: a\x7fb",
        b"x: a\r\n b: c",
    ];
    let first = b"HTTP/1.1 200 OK\r\n".as_slice();
    let complete = answer_with("HTTP/1.1 200 OK");
    let rest = &complete[first.len()..];
    let (fields, body) = rest.split_once("\r\n\r\n").unwrap();
    for line in lines {
        let as_first = [first, line, b"\r\n", rest.as_bytes()].concat();
        let as_last = [
            first,
            fields.as_bytes(),
            b"\r\n",
            line,
            b"\r\n\r\n",
            body.as_bytes(),
        ];
        for answer in [as_first, as_last.concat()] {
            let text = String::from_utf8_lossy(&answer).into_owned();
            let addr = worker([answer, complete.clone().into()].concat(), End::HalfClose);
            let kind = exchange(addr, &request(0)).map_err(|error| error.kind);
            assert_eq!(
                kind.err(),
                Some(ExchangeErrorKind::InvalidAnswer),
                "{text:?}"
            );
        }
    }
}

/// Refusal with these fields, which states that its request was not run.
fn refusal(status_line: &str, fields: &str) -> String {
    format!(
        "HTTP/1.1 {status_line}\r\n{fields}X-Shallotdeal-Not-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

const REFUSALS: [&str; 4] = [
    "503 Service Unavailable",
    "429 Too Many Requests",
    "421 Misdirected Request",
    "400 Bad Request",
];

/// Fields of an answer that name another attempt, or none.
const OTHER_ATTEMPTS: [&str; 2] = ["X-Shallotdeal-Attempt-Id: earlier\r\n", ""];

// Guards against a refusal of an earlier request, written once more on a kept connection, that is taken
// for the answer to a request which the worker runs.
#[test]
fn a_repeated_refusal_of_an_earlier_request_is_skipped() {
    let own = answer_with("HTTP/1.1 200 OK");
    for status_line in REFUSALS {
        for fields in OTHER_ATTEMPTS {
            let repeated = refusal(status_line, fields);
            for copies in 1..=2 {
                let answer = repeated.repeat(copies) + &own;
                assert_eq!(
                    exchange_short(&answer),
                    Ok(b"body".to_vec()),
                    "{status_line}, {fields:?}, {copies} copies"
                );
            }
            assert_eq!(
                exchange_short(&repeated),
                Err(ExchangeErrorKind::ConnectionLost),
                "{status_line}, {fields:?}, without an own answer"
            );
        }
    }
}

// Guards against a failure that names no attempt, and so may belong to an earlier request.
#[test]
fn a_failure_without_an_attempt_id_is_refused() {
    for status_line in [
        "500 Internal Server Error",
        "504 Gateway Timeout",
        "404 Not Found",
    ] {
        let answer = format!("HTTP/1.1 {status_line}\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(
            exchange_short(&answer),
            Err(ExchangeErrorKind::InvalidAnswer),
            "{status_line}"
        );
    }
}

#[test]
fn the_own_refusal_is_returned() {
    for status_line in REFUSALS {
        let answer = refusal(status_line, "X-Shallotdeal-Attempt-Id: id\r\n");
        assert_eq!(exchange_short(&answer), Ok(Vec::new()), "{status_line}");
    }
}

// Guards against an answer whose head ends early and that counts as a complete one without a body.
#[test]
fn an_answer_that_ends_within_its_head_is_not_complete() {
    for answer in [
        answer_with("HTTP/1.1 200 OK"),
        format!("{HEAD}Content-Length: 0\r\n\r\n"),
        format!("{HEAD}\r\nbody"),
    ] {
        let head_bytes = answer.find("\r\n\r\n").unwrap() + 4;
        for cut in 1..head_bytes {
            assert_eq!(
                exchange_short(&answer[..cut]),
                Err(ExchangeErrorKind::ConnectionLost),
                "{:?}",
                &answer[..cut]
            );
        }
    }
}
