//! Broken answers to the clients of the lab and of the key-value service.

use {
    async_std::{
        future::timeout,
        io::{ReadExt, WriteExt},
        net::TcpListener,
        task,
    },
    http_types::Method,
    lab::client::Client,
    shallotdeal::store::{LeaseId, Store, http::HttpStore},
    std::{net::SocketAddr, time::Duration},
};

const LIMIT: Duration = Duration::from_secs(20);

/// Body of a complete answer.
const BODY: &str = r#"{"answer":"lease","lease":7}"#;

/// Serves connections one after another: sends each of these texts after a request, and closes.
async fn serve(texts: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    task::spawn(async move {
        for text in texts {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.read(&mut [0; 4_096]).await.expect("a request");
            // The client may close before it has read everything.
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    addr
}

/// Answers to the lab's client and to the client of the service; `None` for an error.
async fn answers(text: &str) -> (Option<Vec<u8>>, Option<LeaseId>) {
    let client = Client::new(serve(vec![text.into()]).await);
    let request = client.request(Method::Get, "/");
    let sent = client.send_within(request, LIMIT).await.expect("no hang");
    let store = HttpStore::new(serve(vec![text.into()]).await);
    let granted = timeout(LIMIT, store.grant(1_000)).await.expect("no hang");
    (sent.ok().map(|answer| answer.body), granted.ok())
}

fn chunked(chunks: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}")
}

#[test]
fn complete_answers_are_returned() {
    let length = BODY.len();
    task::block_on(async {
        for text in [
            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{BODY}"),
            chunked(&format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n")),
        ] {
            let expected = (Some(BODY.as_bytes().to_vec()), Some(LeaseId(7)));
            assert_eq!(answers(&text).await, expected, "{text}");
        }
    });
}

// Guards against a load tool that takes a part of an answer for a complete one, and hides that a
// daemon sent it.
#[test]
fn an_answer_whose_end_is_not_certain_is_an_error() {
    let length = BODY.len();
    let with = |fields: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n{BODY}");
    let with_length =
        |line: &str| format!("HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: {length}\r\n\r\n{BODY}");
    let status =
        |status: &str| format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{BODY}");
    let texts = [
        with(""),
        with("transfer-encoding: gzip\r\n"),
        with("transfer-encoding: chunked, chunked\r\n"),
        with(&format!("content-length: {}\r\n", length + 1)),
        with(&format!("content-length: +{length}\r\n")),
        with(&format!(
            "content-length: 3\r\ncontent-length: {length}\r\n"
        )),
        with("content-length: 18446744073709551615\r\n"),
        with("content-length: 18446744073709551616\r\n"),
        with_length("x y: z"),
        with_length("x\x01y: z"),
        with_length("x : z"),
        with_length("x"),
        with_length("transfer-encoding: chunked"),
        status("000"),
        status("099"),
        status("100"),
        status("101"),
        status("600"),
        status("101") + &status("200"),
        chunked(&format!("{length:x}\r\n{BODY}\r\n")),
        chunked(&format!("{length:x}\r\n{BODY}\r\n\r\n\r\n")),
        chunked(&format!("{length:x}\r\n{BODY}\r\n;\r\n\r\n")),
        chunked(&format!("{length:x}\r\n{BODY}0\r\n\r\n")),
        chunked(&format!("ff\r\n{BODY}")),
        chunked("\r\n\r\n"),
    ];
    task::block_on(async {
        for text in texts {
            assert_eq!(answers(&text).await, (None, None), "{text}");
        }
    });
}

#[test]
fn bytes_after_an_answer_are_not_taken_for_the_next_answer() {
    let length = BODY.len();
    let complete = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{BODY}");
    let old = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold";
    for surplus in [
        complete.clone() + old,
        chunked(&format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n{old}")),
    ] {
        task::block_on(async {
            let client = Client::new(serve(vec![surplus.clone(), complete.clone()]).await);
            for _ in 0..2 {
                let sent = client.send(client.request(Method::Get, "/")).await;
                assert_eq!(sent.expect("an answer").body, BODY.as_bytes());
            }
            let store = HttpStore::new(serve(vec![surplus, complete.clone()]).await);
            for _ in 0..2 {
                assert_eq!(store.grant(1_000).await.expect("a lease"), LeaseId(7));
            }
        });
    }
}

// Guards against a call that waits on a silent connection after another call has found one silent:
// connections fall silent together, while new ones work.
#[test]
fn a_call_to_the_store_after_one_without_an_answer_uses_a_new_connection() {
    const SILENT_CONNECTIONS: usize = 2;
    let complete = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let store = HttpStore::new(listener.local_addr().expect("an address"));
        task::spawn(async move {
            let mut silent = Vec::new();
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                stream.read(&mut [0; 4_096]).await.expect("a request");
                if silent.len() == SILENT_CONNECTIONS {
                    stream.write_all(complete.as_bytes()).await.expect("sent");
                    continue;
                }
                silent.push(stream);
                if silent.len() == SILENT_CONNECTIONS {
                    for stream in &mut silent {
                        stream.write_all(complete.as_bytes()).await.expect("sent");
                    }
                }
            }
        });
        let (first, second) = futures::join!(store.grant(1_000), store.grant(1_000));
        assert!(first.is_ok() && second.is_ok());
        assert!(store.grant(1_000).await.is_err());
        assert_eq!(store.grant(1_000).await.expect("a lease"), LeaseId(7));
    });
}
