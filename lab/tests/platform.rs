//! The HTTP adapter of the store against the stand-in of the platform's store.

use {
    async_std::{net::TcpListener, prelude::*, task},
    lab::platform::{Faults, Platform, RunningPlatform},
    shallotdeal::store::{Store, StoreError, Swap, Version, http::HttpStore},
    std::time::Duration,
};

async fn start() -> (RunningPlatform, HttpStore) {
    let running = Platform::new()
        .serve(([127, 0, 0, 1], 0).into())
        .await
        .expect("a free port");
    let store = HttpStore::new(running.addr);
    (running, store)
}

#[test]
fn each_call_works_over_http() {
    task::block_on(async {
        let (running, store) = start().await;
        assert_eq!(store.get("a").await, Ok(None));
        let first = store.swap("a", Version::ABSENT, b"x".to_vec(), None).await;
        assert_eq!(first, Ok(Swap::Applied(Version(1))));
        let binary = vec![0xff, 0, 7];
        let second = store.swap("a", Version(1), binary.clone(), None).await;
        assert_eq!(second, Ok(Swap::Applied(Version(2))));
        let Ok(Swap::Conflict(Some(winner))) = store.swap("a", Version(1), vec![], None).await
        else {
            panic!("the version is stale");
        };
        assert_eq!((winner.version, winner.value), (Version(2), binary));
        let lease = store.grant(60_000).await.expect("a lease");
        store.renew(lease).await.expect("the lease is live");
        let leased = store
            .swap("b/1", Version::ABSENT, vec![1], Some(lease))
            .await;
        assert_eq!(leased, Ok(Swap::Applied(Version(3))));
        assert_eq!(store.list("b/").await.map(|entries| entries.len()), Ok(1));
        assert!(matches!(
            store.remove("a", Version(2)).await,
            Ok(Swap::Applied(_))
        ));
        assert_eq!(store.watch("a", Version(2), 10).await, Ok(None));
        assert_eq!(running.platform.report().counts.calls["swap"], 4);
        running.task.cancel().await;
    });
}

#[test]
fn a_watch_ends_with_the_write_it_waits_for() {
    task::block_on(async {
        let (running, store) = start().await;
        let watch = store.watch("a", Version::ABSENT, 5_000);
        let write = async {
            while running.platform.report().counts.waiting_watches == 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
            store.swap("a", Version::ABSENT, b"x".to_vec(), None).await
        };
        let (seen, written) = watch.join(write).await;
        assert_eq!(written, Ok(Swap::Applied(Version(1))));
        assert_eq!(
            seen.map(|entry| entry.map(|entry| entry.version)),
            Ok(Some(Version(1)))
        );
        running.task.cancel().await;
    });
}

#[test]
fn a_lost_answer_is_uncertain_and_an_outage_is_unavailable() {
    task::block_on(async {
        let (running, store) = start().await;
        running.platform.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
        let lost = store.swap("a", Version::ABSENT, b"x".to_vec(), None).await;
        assert!(matches!(
            lost,
            Err(StoreError::Uncertain { step: "swap", .. })
        ));
        let found = store
            .get("a")
            .await
            .expect("no fault")
            .expect("it took effect");
        assert_eq!(found.version, Version(1));
        running.platform.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
        let refused = store.swap("a", Version(1), vec![], None).await;
        assert!(matches!(refused, Err(StoreError::Unavailable { .. })));
        running.task.cancel().await;
        let closed = store.grant(1).await;
        assert!(matches!(closed, Err(StoreError::Unavailable { .. })));
    });
}

#[test]
fn a_truncated_answer_is_an_error() {
    const TRUNCATED: &[u8] =
        b"HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\n{\"answer\":\"renewed\"}";
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let store = HttpStore::new(listener.local_addr().expect("bound"));
        let server = async {
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.expect("a client");
                let _ = stream.read(&mut [0; 4096]).await;
                stream.write_all(TRUNCATED).await.expect("the client reads");
            }
        };
        let client = async {
            let written = store.grant(1_000).await;
            (written, store.get("a").await)
        };
        let ((), (written, read)) = server.join(client).await;
        assert!(matches!(
            written,
            Err(StoreError::Uncertain { step: "grant", .. })
        ));
        assert!(matches!(
            read,
            Err(StoreError::Unavailable { step: "get", .. })
        ));
    });
}
