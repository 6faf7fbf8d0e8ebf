//! Message heads: accepted and rejected heads, and forwarded fields.

use shallotdeal::mesh::http::{Framing, Head, MessageError, parse_answer, parse_request};

fn request(text: &str) -> Result<Head, MessageError> {
    parse_request(text.as_bytes()).map(|parsed| parsed.expect("a complete head").0)
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let head = request(
        "GET /a?b HTTP/1.1\r\nHost: h\r\nConnection: X-Mine, close\r\nX-Mine: 1\r\nTE: trailers\r\n\
         Keep-Alive: timeout=5\r\nX-Other: 2\r\n\r\n",
    )
    .unwrap();
    let mut out = Vec::new();
    head.write_fields(&mut out, |_| false);
    assert_eq!(String::from_utf8(out).unwrap(), "Host: h\r\nX-Other: 2\r\n");
    assert!(head.closes);
    assert_eq!(head.keep_alive_s, Some(5));
    assert_eq!(head.path(), "/a");
}

#[test]
fn ambiguous_framing_is_rejected() {
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length : 3\r\n",
    ] {
        let text = format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
        assert_eq!(
            request(&text).unwrap_err(),
            MessageError::Malformed,
            "{fields}"
        );
    }
}

#[test]
fn an_absolute_target_is_routed_by_its_path() {
    let head = request("GET http://h/p/q?x=1 HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    assert_eq!(head.path(), "/p/q");
}

#[test]
fn an_answer_without_length_ends_with_its_connection() {
    let text = b"HTTP/1.1 200 OK\r\nX: 1\r\n\r\n";
    let (head, length) = parse_answer(text, false).unwrap().unwrap();
    assert_eq!(
        (head.framing, head.closes, length),
        (Framing::UntilClose, true, text.len())
    );
    let (head, _) = parse_answer(text, true).unwrap().unwrap();
    assert_eq!(head.framing, Framing::Empty);
}

#[test]
fn an_incomplete_head_is_not_an_error() {
    assert!(parse_request(b"GET / HTTP/1.1\r\nHost").unwrap().is_none());
    assert!(parse_answer(b"HTTP/1.1 2", false).unwrap().is_none());
}
