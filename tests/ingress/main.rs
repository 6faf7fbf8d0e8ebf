//! Callers' HTTP server: malformed, slow, oversized and invalid input over real connections.

mod server;

use server::{MAX_BODY_BYTES, MAX_CONNECTIONS, TestServer, get, post};

#[test]
fn malformed_requests_get_a_typed_refusal() {
    let server = TestServer::start();
    let long_head = format!(
        "GET /echo/ HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n",
        "x".repeat(9_000)
    );
    let many = "x: y\r\n".repeat(200);
    let many_headers = format!("GET /echo/ HTTP/1.1\r\nhost: h\r\n{many}\r\n");
    let malformed = [
        "nonsense\r\n\r\n",
        "GET /echo/ HTTP/1.1\n\n",
        "GET /echo/ HTTP/1.0\r\nhost: h\r\n\r\n",
        "GET /echo/ HTTP/1.1\r\n\r\n",
        "GET /echo/ HTTP/1.1\r\nhost: h\r\nno colon\r\n\r\n",
        "POST /echo/ HTTP/1.1\r\nhost: h\r\ncontent-length: -1\r\n\r\n",
        "POST /echo/ HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "POST /echo/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: gzip\r\n\r\nab",
        "POST /echo/ HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST /echo/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        "POST /echo/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n\r\n\r\n",
        "POST /echo/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n\r\n\r\n",
        &long_head,
        &many_headers,
    ];
    for request in malformed {
        let answer = server.send_once(request.as_bytes());
        assert_eq!(answer.status, 400, "{request}");
        answer.assert_refused("not-run", "bad-request");
        assert!(answer.is_last, "{request}");
    }
    assert_eq!(server.handled(), 0);
    assert_eq!(
        server.send_once(get("/echo/a").as_bytes()).text(),
        "GET /a "
    );
}

#[test]
fn bodies_over_the_limit_are_refused_with_and_without_a_content_length() {
    let server = TestServer::start();
    let declared = format!(
        "POST /echo/ HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n",
        u64::MAX / 2
    );
    let chunk = "x".repeat(MAX_BODY_BYTES + 1);
    let chunked = format!(
        "POST /echo/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{chunk}\r\n",
        chunk.len()
    );
    for request in [declared, chunked] {
        let answer = server.send_once(request.as_bytes());
        assert_eq!(answer.status, 413);
        answer.assert_refused("not-run", "too-large");
        assert!(answer.is_last);
    }
    let whole = "x".repeat(MAX_BODY_BYTES);
    let answer = server.send_once(post("/echo/", &whole).as_bytes());
    assert_eq!(answer.text(), format!("POST / {whole}"));
    assert_eq!(server.handled(), 1);
}

#[test]
fn stalled_and_truncated_requests_are_refused_within_the_read_timeout() {
    let server = TestServer::start();
    let head = "GET /echo/ HTTP/1.1\r\nhost: h\r\n";
    let body = "POST /echo/ HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nhalf";
    let chunk = "POST /echo/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n5\r\nha";
    for sent in [head, body, chunk] {
        let stalled = server.send_once(sent.as_bytes());
        assert_eq!(stalled.status, 400, "{sent}");
        stalled.assert_refused("not-run", "bad-request");
        let half_closed = server.send_half_closed(sent.as_bytes());
        assert_eq!(half_closed.status, 400, "{sent}");
        half_closed.assert_refused("not-run", "bad-request");
    }
    assert_eq!(server.handled(), 0);
    assert_eq!(server.count("ingress.head_overdue"), 1);
    let idle = server.connect();
    assert!(
        idle.answer().is_none(),
        "an idle connection is closed without an answer"
    );
}

#[test]
fn connection_of_a_caller_that_does_not_read_its_answer_is_closed() {
    let server = TestServer::start();
    let connection = server.connect();
    connection.send(get("/huge/").as_bytes());
    server.wait_for_count("ingress.answer_stalled", 1);
    assert_eq!(
        server.send_once(get("/echo/a").as_bytes()).text(),
        "GET /a "
    );
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = TestServer::start();
    let connection = server.connect();
    let two = format!("{}{}", post("/echo/a", "first"), post("/echo/b", "second"));
    connection.send(two.as_bytes());
    connection.send(get("/echo/c").as_bytes());
    let texts: Vec<_> = (0..3)
        .map(|_| connection.answer().unwrap().text())
        .collect();
    assert_eq!(texts, ["POST /a first", "POST /b second", "GET /c "]);
}

#[test]
fn disconnect_of_the_caller_cancels_its_request() {
    let server = TestServer::start();
    let connection = server.connect();
    connection.send(get("/wait/").as_bytes());
    server.wait_for_handled(1);
    drop(connection);
    server.wait_for_count("refused.cancelled", 1);
    assert_eq!(server.running(), 0);
    let half_closed = server.send_half_closed(get("/wait/").as_bytes());
    half_closed.assert_refused("unknown", "cancelled");
    assert_eq!(server.running(), 0);
}

#[test]
fn a_panic_ends_only_its_own_request() {
    let server = TestServer::start();
    let other = server.connect();
    other.send(get("/slow/a").as_bytes());
    server.wait_for_handled(1);
    let connection = server.connect();
    connection.send(get("/panic/").as_bytes());
    let answer = connection.answer().unwrap();
    answer.assert_refused("unknown", "internal");
    connection.send(get("/echo/b").as_bytes());
    assert_eq!(connection.answer().unwrap().text(), "GET /b ");
    assert_eq!(other.answer().unwrap().text(), "GET /a ");
    assert_eq!(server.count("ingress.panicked"), 1);
}

#[test]
fn connections_over_the_limit_are_refused() {
    let server = TestServer::start();
    let mut connections = server.fill_connections();
    let refused = server.connect().answer().unwrap();
    assert_eq!(refused.status, 503);
    refused.assert_refused("not-run", "overload");
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(server.running(), MAX_CONNECTIONS);
    connections.pop();
    server.wait_for_count("refused.cancelled", 1);
    assert_eq!(
        server.send_until_accepted(get("/echo/a").as_bytes()).text(),
        "GET /a "
    );
    assert_eq!(server.running(), MAX_CONNECTIONS - 1);
}

#[test]
fn invalid_header_values_are_refused() {
    let server = TestServer::start();
    let invalid = [
        "request-timeout: -1",
        "request-timeout: soon",
        "request-timeout: 99999999999999999999999",
        "request-attempt: 4294967296",
        "request-first-sent: never",
        "request-id: 12",
        "request-id: +2345678901234567890123456789012",
    ];
    for header in invalid {
        let request = format!("GET /echo/ HTTP/1.1\r\nhost: h\r\n{header}\r\n\r\n");
        server
            .send_once(request.as_bytes())
            .assert_refused("not-run", "bad-request");
    }
    assert_eq!(server.handled(), 0);
    let request_id = "0123456789abcdef0123456789abcdef";
    let request = format!("GET /echo/ HTTP/1.1\r\nhost: h\r\nrequest-id: {request_id}\r\n\r\n");
    let answer = server.send_once(request.as_bytes());
    assert_eq!(answer.header("request-id"), Some(request_id));
    assert_eq!(answer.header("request-outcome"), Some("done"));
}

#[test]
fn unknown_paths_and_refusals_of_the_handler_get_typed_responses() {
    let server = TestServer::start();
    for path in [
        "/",
        "//",
        "/none",
        "/none/",
        "/none/x?y",
        "/.shallotdeal/tickets/x",
    ] {
        let answer = server.send_once(get(path).as_bytes());
        assert_eq!(answer.status, 404, "{path}");
        answer.assert_refused("not-run", "unknown-service");
    }
    let busy = server.send_once(get("/busy/").as_bytes());
    assert_eq!(busy.status, 503);
    busy.assert_refused("not-run", "overload");
    assert_eq!(busy.header("retry-after"), Some("2"));
    assert_eq!(busy.header("retry-after-ms"), Some("1500"));
    let ticket = server.send_once(post("/.shallotdeal/tickets/echo", "").as_bytes());
    assert_eq!(ticket.status, 201);
    assert_eq!(ticket.header("request-ticket"), Some("a-ticket"));
    let head = server.send_once(b"HEAD /echo/a HTTP/1.1\r\nhost: h\r\n\r\n");
    assert_eq!((head.status, head.text().as_str()), (200, ""));
}
