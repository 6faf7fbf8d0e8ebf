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

/// Renews a lease at a server that sends these bytes and then closes the connection.
fn renew_with(answer: String) -> Result<bool, StoreError> {
    runtime::block_on(async {
        let listener = conn::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let store = WireStore::new(listener.local_addr().unwrap());
        let _server = runtime::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let mut conn = Conn::new(stream).unwrap();
            http::read_request(&mut conn, 65_536).await.unwrap();
            conn.write_all(answer.as_bytes()).await.unwrap();
        });
        store.renew(LeaseId(1)).await.map(|answered| answered.value)
    })
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
