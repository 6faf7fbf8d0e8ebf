//! The client of the platform's store, tested against a scripted server.

use {
    shallotdeal::{
        mesh::{
            conn::{self, Conn},
            http,
            protocol::{Freshness, PlatformStore, StoreChange, WatchResult},
            runtime,
        },
        platform::WireStore,
        store::{LeaseId, StoreError},
    },
    std::{cell::RefCell, rc::Rc},
    tokio::net::TcpListener,
};

/// Scripted responses: status and body, or `None` to close the connection.
type Script = Vec<Option<(u16, &'static str)>>;

/// Serves a script to `test`; returns the received requests as `METHOD target body`.
fn serve_script<F: Future<Output = ()>>(
    script: Script,
    test: impl FnOnce(WireStore) -> F,
) -> Vec<String> {
    let seen = Rc::new(RefCell::new(Vec::new()));
    let log = Rc::clone(&seen);
    let serve = async move |listener: TcpListener| {
        let mut script = script.into_iter();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let mut conn = Conn::new(stream).unwrap();
            while let Ok(head) = http::read_request(&mut conn, 65_536).await {
                let body = http::read_body(&mut conn, head.framing, 1 << 20)
                    .await
                    .unwrap();
                let body = String::from_utf8(body).unwrap();
                log.borrow_mut()
                    .push(format!("{} {} {body}", head.method, head.target));
                let Some(Some((status, answer))) = script.next() else {
                    break;
                };
                let length = answer.len();
                let answer =
                    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{answer}");
                conn.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    };
    runtime::block_on(async {
        let listener = conn::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let store = WireStore::new(listener.local_addr().unwrap());
        let server = runtime::spawn(async move { serve(listener).await });
        test(store).await;
        drop(server);
    });
    seen.take()
}

/// Calls a server that sends these bytes and then closes the connection.
fn call_with<T, F>(answer: Vec<u8>, call: impl FnOnce(WireStore) -> F) -> T
where
    F: Future<Output = T>,
{
    runtime::block_on(async {
        let listener = conn::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let store = WireStore::new(listener.local_addr().unwrap());
        let _server = runtime::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let mut conn = Conn::new(stream).unwrap();
            http::read_request(&mut conn, 65_536).await.unwrap();
            // The client may refuse the answer before it has read all of it.
            let _ = conn.write_all(&answer).await;
        });
        call(store).await
    })
}

/// Renews a lease at a server that sends these bytes and then closes the connection.
fn renew_with(answer: String) -> Result<bool, StoreError> {
    call_with(answer.into(), async |store| {
        let renewed = store.renew(LeaseId(1)).await;
        renewed.map(|answered| answered.value)
    })
}

/// Complete answer with this body.
fn answer_with(body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Value nested deep enough to overflow the stack of a recursive decoder.
fn nested() -> String {
    "[".repeat(200_000) + &"]".repeat(200_000)
}

/// Entries that another writer may have left, none of them usable.
fn unusable_items() -> Vec<Vec<u8>> {
    let texts = [
        r#"{"Key":5,"Value":"YQ=="}"#.into(),
        r#"{"Value":"YQ=="}"#.into(),
        r#"{"Key":"d/x","Value":5}"#.into(),
        r#"{"Key":"d/x","Value":{"a":1}}"#.into(),
        r#"{"Key":"d/x","Value":"YQ==","Removed":7}"#.into(),
        format!(r#"{{"Key":"d/x","Value":{}}}"#, nested()),
        nested(),
        r#"{"Key":"d/x","Value":1e999}"#.into(),
        "99999999999999999999999999".into(),
        "null".into(),
        "7".into(),
        r#""text""#.into(),
        "[]".into(),
        "{}".into(),
    ];
    texts.map(String::into_bytes).into()
}

/// Entries with unusual parts that do not matter.
fn usable_items() -> Vec<Vec<u8>> {
    let texts = [
        r#"{"Key":"d/1","Value":"YQ==","Revision":99999999999999999999999999}"#.into(),
        r#"{"Key":"d/2","Value":"YQ==","Revision":1e999,"Lease":-1,"Created":"x"}"#.into(),
        format!(r#"{{"Key":"d/3","Value":"YQ==","Other":{}}}"#, nested()),
    ];
    let mut items: Vec<Vec<u8>> = texts.map(String::into_bytes).into();
    items.push(b"{\"Key\":\"d/4\",\"Value\":\"YQ==\",\"Other\":\"\xff\"}".to_vec());
    items
}

/// Page or list of events under this name, with unusable entries among usable ones.
fn mixed(name: &str) -> Vec<u8> {
    let mut items = unusable_items();
    for (index, usable) in usable_items().into_iter().enumerate() {
        items.insert(index * 4, usable);
    }
    let items = items.join(&b","[..]);
    let start = format!(r#"{{"{name}":["#);
    let end = br#"],"Truncated":false,"StoreRevision":9}"#;
    answer_with(&[start.as_bytes(), &items, end].concat())
}

// Guards against one entry of another writer that hides all others of its page.
#[test]
fn an_unusable_entry_hides_no_other_entry() {
    let page = call_with(mixed("items"), async |store| {
        store.list("d/", "", Freshness::Latest).await.unwrap().value
    });
    assert_eq!(page.revision, 9);
    let keys = page.entries.iter().map(|entry| entry.key.as_str());
    assert_eq!(keys.collect::<Vec<_>>(), ["d/1", "d/2", "d/3", "d/4"]);
    // The ones stated are no revisions, or absent.
    assert!(page.entries.iter().all(|entry| entry.revision.is_none()));
    let watched = call_with(mixed("events"), async |store| {
        store.watch("d/", 7, 100).await.unwrap().value
    });
    let WatchResult::Changes { changes, revision } = watched else {
        panic!("changes");
    };
    assert_eq!((changes.len(), revision), (4, 9));
}

#[test]
fn an_unreadable_page_is_an_error() {
    for body in [
        "",
        "{}",
        "[]",
        r#"{"items":{},"Truncated":false,"StoreRevision":9}"#,
        r#"{"items":[],"Truncated":false,"StoreRevision":-9}"#,
        r#"{"items":[],"Truncated":false,"StoreRevision":18446744073709551616}"#,
        r#"{"items":[{"Key":"d/1","Value":"YQ=="#,
    ] {
        let listed = call_with(answer_with(body.as_bytes()), async |store| {
            store.list("d/", "", Freshness::Latest).await
        });
        assert!(
            matches!(listed, Err(StoreError::Uncertain { .. })),
            "{body}"
        );
    }
}

#[test]
fn an_answer_with_an_invalid_status_is_uncertain() {
    let complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    assert!(renew_with(complete.into()).unwrap());
    for status in ["000", "099", "101", "600", "999"] {
        let head = format!("HTTP/1.1 {status} X\r\n\r\n");
        for answer in [head.clone(), head + complete] {
            let result = renew_with(answer);
            assert!(
                matches!(result, Err(StoreError::Uncertain { .. })),
                "{status}: {result:?}"
            );
        }
    }
}

#[test]
fn a_listing_reads_one_page_after_a_key() {
    let script = vec![
        Some((
            200,
            r#"{"items":[{"Key":"d/1","Value":"YQ==","Revision":4,"Created":1,"Lease":0},
            {"Key":"d/2","Value":"%%","Revision":4,"Created":1,"Lease":0}],
            "Truncated":true,"StoreRevision":7}"#,
        )),
        Some((
            200,
            r#"{"items":[{"Key":"d/3","Value":"Yg==","Revision":9}],"Truncated":false,
            "StoreRevision":9}"#,
        )),
    ];
    let seen = serve_script(script, |store| async move {
        let first = store.list("d/", "", Freshness::Latest).await.unwrap().value;
        let second = store
            .list("d/", "d/2", Freshness::Stale)
            .await
            .unwrap()
            .value;
        assert_eq!((first.is_truncated, first.revision), (true, 7));
        assert_eq!((second.is_truncated, second.revision), (false, 9));
        let entries = first.entries.iter().chain(&second.entries);
        let values: Vec<_> = entries.map(|entry| entry.value.as_slice()).collect();
        // The value that is not valid base64 is left out.
        assert_eq!(values, [b"a", b"b"]);
        let revisions: Vec<_> = [first, second]
            .iter()
            .flat_map(|page| &page.entries)
            .map(|entry| entry.revision)
            .collect();
        assert_eq!(revisions, [Some(4), Some(9)]);
    });
    assert_eq!(seen[0], "GET /shallotdeal/kv-range?Prefix=d%2F ");
    assert_eq!(
        seen[1],
        "GET /shallotdeal/kv-range?Prefix=d%2F&after=d%2F2&AllowStale=1 "
    );
}

#[test]
fn a_watch_distinguishes_changes_from_a_compacted_history() {
    let script = vec![
        Some((
            200,
            r#"{"events":[{"Key":"d/1","Value":"YQ==","Revision":8},
            {"Key":"d/2","Revision":9,"Removed":true}],"StoreRevision":9}"#,
        )),
        Some((410, "{}")),
        Some((200, "not JSON")),
    ];
    serve_script(script, |store| async move {
        let watched = store.watch("d/", 7, 100).await.unwrap().value;
        let WatchResult::Changes { changes, revision } = watched else {
            panic!("changes");
        };
        assert_eq!(revision, 9);
        assert!(matches!(&changes[0], StoreChange::Put(entry) if entry.value == b"a"));
        assert_eq!(changes[1], StoreChange::Removed("d/2".into()));
        assert_eq!(
            store.watch("d/", 9, 100).await.unwrap().value,
            WatchResult::Compacted
        );
        assert!(store.watch("d/", 9, 100).await.is_err());
    });
}

#[test]
fn a_write_names_its_lease_and_reports_an_expired_one() {
    let script = vec![
        Some((200, r#"{"Lease":77,"TtlMs":3000}"#)),
        Some((200, r#"{"Revision":5}"#)),
        Some((404, "{}")),
        Some((404, "{}")),
    ];
    let seen = serve_script(script, |store| async move {
        let lease = store.grant(3_000).await.unwrap().value;
        assert_eq!(lease, LeaseId(77));
        assert!(store.put("d/1", b"a", lease).await.unwrap().value);
        assert!(!store.put("d/1", b"a", lease).await.unwrap().value);
        assert!(!store.renew(lease).await.unwrap().value);
    });
    assert!(
        seen[1].contains(r#""Puts":[{"Key":"d/1","Lease":77,"Value":"YQ=="}]"#),
        "{}",
        seen[1]
    );
    assert_eq!(seen[3], "POST /shallotdeal/kv-keep/77 ");
}

#[test]
fn a_refused_call_has_no_effect_and_a_lost_response_is_uncertain() {
    let script = vec![Some((503, "")), Some((429, "")), None];
    serve_script(script, |store| async move {
        for _ in 0..2 {
            let error = store.put("d/1", b"a", LeaseId(1)).await.unwrap_err();
            assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
        }
        let error = store.put("d/1", b"a", LeaseId(1)).await.unwrap_err();
        assert!(matches!(error, StoreError::Uncertain { .. }), "{error}");
        assert!(error.to_string().starts_with("write entry: "), "{error}");
    });
}

// Guards against a read that replaces a watch on a silent connection and waits on another such
// connection: connections fall silent together, while new ones work.
#[test]
fn a_call_after_one_without_an_answer_uses_a_new_connection() {
    const SILENT_CONNECTIONS: usize = 2;
    let answer = answer_with(br#"{"items":[],"Truncated":false,"StoreRevision":9}"#);
    runtime::block_on(async {
        let listener = conn::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let store = WireStore::new(listener.local_addr().unwrap());
        let _server = runtime::spawn(async move {
            let mut silent = Vec::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let mut conn = Conn::new(stream).unwrap();
                http::read_request(&mut conn, 65_536).await.unwrap();
                if silent.len() < SILENT_CONNECTIONS {
                    silent.push(conn);
                    if silent.len() == SILENT_CONNECTIONS {
                        for conn in &silent {
                            conn.write_all(&answer).await.unwrap();
                        }
                    }
                } else {
                    conn.write_all(&answer).await.unwrap();
                }
            }
        });
        let list = || store.list("d/", "", Freshness::Latest);
        let (first, second) = futures::join!(list(), list());
        assert!(first.is_ok() && second.is_ok());
        let watched = runtime::within(100, store.watch("d/", 9, 30_000)).await;
        assert!(watched.is_none());
        assert!(list().await.is_ok());
    });
}

/// Length of an endless answer, far more than the client takes.
const ENDLESS_BYTES: usize = 64 << 20;

#[test]
fn an_endless_answer_is_given_up() {
    let head = "HTTP/1.1 200 OK\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let noise = "x".repeat(60_000);
    for (first, repeated) in [
        ("", noise.clone()),
        (head, noise.clone()),
        (head, "a: b\r\n".repeat(10_000)),
        ("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000)),
        ("HTTP/1.1 200 OK\r\n\r\n", noise.clone()),
        (chunked, format!("ea60\r\n{noise}\r\n")),
        (chunked, "1\r\nx\r\n".repeat(10_000)),
        (&format!("{chunked}1;"), noise.clone()),
        (&format!("{chunked}0\r\n"), "a: b\r\n".repeat(10_000)),
    ] {
        let answer = [first, &repeated.repeat(ENDLESS_BYTES / repeated.len())].concat();
        let renewed = call_with(answer.into(), async |store| store.renew(LeaseId(1)).await);
        let Err(StoreError::Uncertain { detail, .. }) = renewed else {
            panic!("{first}: an answer");
        };
        // Not the end of the stream, which comes after all of the answer.
        let is_limit = detail.ends_with("too large") || detail == "malformed message";
        assert!(is_limit, "{first}: {detail}");
    }
}
