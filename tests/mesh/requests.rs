//! Forwarding of requests to workers: forwarded content, order of answers, cancellation and time
//! limits.

use {
    crate::harness::{Behaviour, Client, Fleet, config, eventually, run},
    shallotdeal::mesh::runtime::sleep_ms,
};

#[test]
fn a_request_is_forwarded_unchanged_except_for_the_daemons_fields() {
    run(async {
        let fleet = Fleet::start(2).await;
        let mut client = Client::connect(&fleet.vms[0]).await;
        let forged = "X-Shallotdeal-Caller-Service: forged\r\nX-Other: 1\r\n";
        client
            .send("POST", "/order/a?b=c", "id-1", forged, b"flour")
            .await;
        let response = client.receive().await.unwrap();
        assert_eq!(response.head.status, 200);
        assert!(response.body.starts_with("body of id-1"));
        assert_eq!(
            response.head.field("X-Shallotdeal-Response-Stamp"),
            Some("s-id-1")
        );
        let vm = fleet.vms.iter().find(|vm| vm.worker.count() == 1).unwrap();
        let received = vm.worker.received.borrow()[0].clone();
        assert_eq!(
            (received.head.method.as_str(), received.head.target.as_str()),
            ("POST", "/order/a?b=c")
        );
        assert_eq!(received.body, b"flour");
        assert_eq!(received.head.field("X-Other"), Some("1"));
        assert_eq!(
            received.head.field("X-Shallotdeal-Caller-Service"),
            Some("shop")
        );
        assert_eq!(
            received.head.field("X-Shallotdeal-Expect-Instance"),
            Some(vm.worker.id.as_str())
        );
        let remaining_ms: u64 = received
            .head
            .field("X-Shallotdeal-Deadline-Remaining")
            .and_then(|text| text.parse().ok())
            .unwrap();
        assert!((1_000..=1_500).contains(&remaining_ms), "{remaining_ms}");
        let callers = received.head.fields.iter();
        let callers = callers.filter(|(name, _)| name.ends_with("Caller-Service"));
        assert_eq!(callers.count(), 1);
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let fleet = Fleet::start(2).await;
        let mut client = Client::connect(&fleet.vms[0]).await;
        fleet.set_behaviour(Behaviour::Answer { after_ms: 300 });
        client.send("GET", "/read/1", "slow", "", b"").await;
        eventually("first request at a worker", || {
            fleet.received_requests() == 1
        })
        .await;
        fleet.set_behaviour(Behaviour::Answer { after_ms: 0 });
        client.send("GET", "/read/2", "fast", "", b"").await;
        eventually("second request at a worker", || {
            fleet.received_requests() == 2
        })
        .await;
        assert!(
            client
                .receive()
                .await
                .unwrap()
                .body
                .starts_with("body of slow")
        );
        assert!(
            client
                .receive()
                .await
                .unwrap()
                .body
                .starts_with("body of fast")
        );
    });
}

#[test]
fn a_chunked_body_is_forwarded_completely() {
    run(async {
        let fleet = Fleet::start(1).await;
        let mut client = Client::connect(&fleet.vms[0]).await;
        client
            .send(
                "POST",
                "/order/x",
                "id",
                "Transfer-Encoding: chunked\r\n",
                b"",
            )
            .await;
        for piece in [
            "3\r\nabc\r\n",
            "4;x=y\r\ndefg\r\n",
            "0\r\nTrailer: x\r\n\r\n",
        ] {
            client.conn.write_all(piece.as_bytes()).await.unwrap();
            sleep_ms(30).await;
        }
        assert_eq!(client.receive().await.unwrap().head.status, 200);
        assert_eq!(fleet.vms[0].worker.received.borrow()[0].body, b"abcdefg");
    });
}

#[test]
fn a_large_body_is_forwarded_to_another_daemon() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.vms[0].report(true);
        let body = vec![b'x'; 900_000];
        let mut client = Client::connect(&fleet.vms[0]).await;
        client.send("POST", "/order/x", "id", "", &body).await;
        assert_eq!(client.receive().await.unwrap().head.status, 200);
        assert_eq!(
            fleet.vms[1].worker.received.borrow()[0].body.len(),
            body.len()
        );
    });
}

#[test]
fn invalid_requests_are_rejected_and_reach_no_worker() {
    run(async {
        let fleet = Fleet::start(1).await;
        for (request, status) in [
            ("GARBAGE\r\n\r\n", 400),
            (
                "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
                400,
            ),
            (
                "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n",
                413,
            ),
            (
                "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Shallotdeal-Attempt-Id: a\r\n\
                 Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n\r\n\r\n",
                400,
            ),
            ("GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n", 400),
            (
                "GET /none/ HTTP/1.1\r\nHost: h\r\nX-Shallotdeal-Attempt-Id: a\r\n\r\n",
                404,
            ),
        ] {
            let mut client = Client::connect(&fleet.vms[0]).await;
            client.conn.write_all(request.as_bytes()).await.unwrap();
            assert_eq!(
                client.receive().await.unwrap().head.status,
                status,
                "{request}"
            );
        }
        let large = format!(
            "GET /read/x HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n",
            "x".repeat(5_000)
        );
        let mut client = Client::connect(&fleet.vms[0]).await;
        client.conn.write_all(large.as_bytes()).await.unwrap();
        assert_eq!(client.receive().await.unwrap().head.status, 431);
        assert_eq!(fleet.received_requests(), 0);
    });
}

#[test]
fn a_client_that_disconnects_cancels_its_request_at_the_worker() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.set_behaviour(Behaviour::Answer { after_ms: 1_400 });
        let client = Client::connect(&fleet.vms[0]).await;
        client.send("GET", "/read/x", "id", "", b"").await;
        eventually("request at a worker", || fleet.received_requests() == 1).await;
        drop(client);
        eventually("cancellation at the worker", || {
            fleet.vms.iter().any(|vm| vm.worker.cancelled.get() == 1)
        })
        .await;
    });
}

#[test]
fn a_request_without_an_answer_ends_at_the_timeout_of_its_route() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.set_behaviour(Behaviour::Answer { after_ms: 10_000 });
        let response = fleet.request("GET", "/read/x", "id").await;
        assert_eq!(response.head.status, 504);
        assert_eq!(response.head.field("Retry-After"), None);
    });
}

// Guards against a connection that is closed during a request which takes longer than the idle
// timeout, or too soon after its answer.
#[test]
fn a_connection_is_idle_only_while_it_has_no_open_request() {
    run(async {
        let fleet = Fleet::start(1).await;
        let short_idle =
            config(2, 3_000).replace(r#""IdleTimeoutMs":5000"#, r#""IdleTimeoutMs":400"#);
        fleet.store.write("op/config", short_idle.as_bytes(), 0);
        eventually("the short idle timeout", || {
            fleet.vms[0].mesh.client_limits().idle_timeout_ms == 400
        })
        .await;
        fleet.set_behaviour(Behaviour::Answer { after_ms: 1_000 });
        let mut client = Client::connect(&fleet.vms[0]).await;
        for number in 0..2 {
            let id = format!("id-{number}");
            client.send("GET", "/read/x", &id, "", b"").await;
            let response = client.receive().await.expect("an answer");
            assert_eq!(response.head.status, 200);
            sleep_ms(200).await;
        }
        sleep_ms(600).await;
        assert!(client.receive().await.is_none(), "the idle connection ends");
    });
}
