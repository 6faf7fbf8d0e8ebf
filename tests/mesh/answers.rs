//! Workers that fail or shed requests, or send incomplete, invalid, missing or repeated answers.

use {
    crate::harness::{Behaviour, Client, Fleet, config, eventually, run},
    shallotdeal::mesh::runtime::sleep_ms,
};

#[test]
fn an_extra_answer_is_discarded() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.set_behaviour(Behaviour::AnswerTwice);
        let mut client = Client::connect(&fleet.vms[0]).await;
        for number in 0..5 {
            client
                .send("GET", "/read/x", &format!("id-{number}"), "", b"")
                .await;
            let response = client.receive().await.unwrap();
            assert!(
                response.body.starts_with(&format!("body of id-{number} ")),
                "{response:?}"
            );
            sleep_ms(20).await;
        }
    });
}

#[test]
fn a_non_idempotent_request_is_not_retried_after_a_lost_answer() {
    run(async {
        for behaviour in [
            Behaviour::Truncate,
            Behaviour::Close,
            Behaviour::UnframedReset,
            Behaviour::Unstamped,
        ] {
            let fleet = Fleet::start(3).await;
            fleet.set_behaviour(behaviour);
            let response = fleet.request("POST", "/order/x", "id").await;
            assert_eq!(response.head.status, 502, "{behaviour:?}");
            assert_eq!(fleet.received_requests(), 1, "{behaviour:?}");
        }
    });
}

#[test]
fn a_part_of_an_answer_to_a_long_upload_is_not_forwarded() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.set_behaviour(Behaviour::EarlyReset);
        let document = config(2, 1_500).replace("1000000", "32000000");
        fleet.store.write("op/config", document.as_bytes(), 0);
        eventually("larger limit", || fleet.vms[0].mesh.config_version().0 == 2).await;
        let body = vec![b'x'; 16 << 20];
        for number in 0..3 {
            let mut client = Client::connect(&fleet.vms[0]).await;
            let id = format!("id-{number}");
            client.send("POST", "/order/x", &id, "", &body).await;
            let response = client.receive().await.unwrap();
            assert_eq!(response.head.status, 502, "{}", response.body);
        }
    });
}

#[test]
fn an_idempotent_request_is_retried_on_another_worker_within_the_retry_budget() {
    run(async {
        let fleet = Fleet::start(2).await;
        for number in 0..60 {
            fleet
                .request("GET", "/read/x", &format!("id-{number}"))
                .await;
        }
        for behaviour in [Behaviour::Truncate, Behaviour::Close, Behaviour::Fail] {
            let before = fleet.received_requests();
            fleet.vms[0].worker.behaviour.set(behaviour);
            let mut responses = Vec::new();
            while fleet.vms[0].worker.received.borrow().is_empty() || responses.len() < 2 {
                responses.push(
                    fleet
                        .request("GET", "/read/x", &format!("id-{}", responses.len()))
                        .await,
                );
            }
            assert!(
                responses.iter().all(|response| response.head.status == 200),
                "{responses:?}"
            );
            assert!(fleet.received_requests() - before <= responses.len() + 2);
            fleet.set_behaviour(Behaviour::Answer { after_ms: 0 });
        }
    });
}

#[test]
fn a_worker_failure_is_forwarded_with_its_stamp() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.set_behaviour(Behaviour::Fail);
        let response = fleet.request("POST", "/order/x", "id").await;
        assert_eq!(response.head.status, 500);
        assert_eq!(
            response.head.field("X-Shallotdeal-Response-Stamp"),
            Some("s-id")
        );
        assert_eq!(fleet.received_requests(), 1);
    });
}

#[test]
fn a_worker_failure_is_forwarded_when_no_other_worker_is_left() {
    run(async {
        let fleet = Fleet::start(1).await;
        for number in 0..60 {
            fleet
                .request("GET", "/read/x", &format!("id-{number}"))
                .await;
        }
        for (behaviour, status) in [(Behaviour::Fail, 500), (Behaviour::Shed, 503)] {
            fleet.set_behaviour(behaviour);
            let response = fleet.request("GET", "/read/x", "id").await;
            assert_eq!(response.head.status, status, "{behaviour:?}");
        }
        assert_eq!(fleet.vms[0].mesh.metrics.get("retry.sent"), 0);
    });
}

#[test]
fn a_worker_failure_is_forwarded_when_the_other_worker_gives_no_answer() {
    run(async {
        let fleet = Fleet::start(2).await;
        for number in 0..200 {
            fleet
                .request("GET", "/read/x", &format!("id-{number}"))
                .await;
        }
        let mut statuses = Vec::new();
        for (first, second) in [
            (Behaviour::Fail, Behaviour::Close),
            (Behaviour::Close, Behaviour::Fail),
        ] {
            fleet.vms[0].worker.behaviour.set(first);
            fleet.vms[1].worker.behaviour.set(second);
            statuses.push(fleet.request("GET", "/read/x", "id").await.head.status);
        }
        assert_eq!(statuses, [500, 500]);
        // One worker did not run the request; the other may have.
        for (first, second) in [
            (Behaviour::Shed, Behaviour::Close),
            (Behaviour::Close, Behaviour::Shed),
        ] {
            fleet.vms[0].worker.behaviour.set(first);
            fleet.vms[1].worker.behaviour.set(second);
            let response = fleet.request("GET", "/read/x", "id").await;
            assert!(
                !matches!(response.head.status, 429 | 503),
                "{}",
                response.head.status
            );
        }
    });
}

#[test]
fn a_shed_request_is_answered_with_503() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.set_behaviour(Behaviour::Shed);
        let response = fleet.request("POST", "/order/x", "id").await;
        assert_eq!(response.head.status, 503);
    });
}

#[test]
fn an_answer_without_length_ends_with_its_connection() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.set_behaviour(Behaviour::Unframed);
        let response = fleet.request("GET", "/read/x", "id").await;
        assert_eq!(response.body, "body of id by w0");
    });
}

#[test]
fn a_request_that_crashed_two_workers_is_not_sent_to_a_third() {
    run(async {
        let fleet = Fleet::start(4).await;
        fleet.set_behaviour(Behaviour::CrashOnKiller);
        let down_workers = || {
            let vms = fleet.vms.iter();
            vms.filter(|vm| vm.mesh.gate.borrow().worker_state().is_none())
                .count()
        };
        for round in 1..=4 {
            for number in 0..40 {
                fleet
                    .request("GET", "/read/good", &format!("good-{round}-{number}"))
                    .await;
            }
            fleet
                .request("POST", "/order/killer", &format!("killer-{round}"))
                .await;
            let expected = round.min(2);
            eventually("crash of the worker", || {
                fleet
                    .vms
                    .iter()
                    .filter(|vm| vm.worker.has_crashed.get())
                    .count()
                    == expected
            })
            .await;
            eventually("detection of the crash", || down_workers() == expected).await;
            assert_eq!(down_workers(), expected, "round {round}");
        }
    });
}
