//! Answers of workers that fail, spoil, lose or repeat them.

use {
    crate::world::{Act, Client, Fleet, eventually, run},
    shallotdeal::mesh::runtime::sleep_ms,
};

#[test]
fn an_extra_answer_goes_to_nobody() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.act(Act::AnswerTwice);
        let mut client = Client::connect(&fleet.vms[0]).await;
        for number in 0..5 {
            client
                .send("GET", "/read/x", &format!("id-{number}"), "", b"")
                .await;
            let got = client.receive().await.unwrap();
            assert!(
                got.body.starts_with(&format!("body of id-{number} ")),
                "{got:?}"
            );
            sleep_ms(20).await;
        }
    });
}

#[test]
fn an_order_whose_answer_is_lost_is_not_sent_again() {
    run(async {
        for act in [Act::Cut, Act::Close, Act::UnframedReset, Act::Unstamped] {
            let fleet = Fleet::start(3).await;
            fleet.act(act);
            let got = fleet.ask("POST", "/order/x", "id").await;
            assert_eq!(got.head.status, 502, "{act:?}");
            assert_eq!(fleet.runs(), 1, "{act:?}");
        }
    });
}

#[test]
fn a_read_whose_answer_is_lost_is_sent_elsewhere_within_the_allowance() {
    run(async {
        let fleet = Fleet::start(2).await;
        for number in 0..60 {
            fleet.ask("GET", "/read/x", &format!("id-{number}")).await;
        }
        for act in [Act::Cut, Act::Close, Act::Fail] {
            let before = fleet.runs();
            fleet.vms[0].worker.act.set(act);
            let mut statuses = Vec::new();
            while fleet.vms[0].worker.seen.borrow().is_empty() || statuses.len() < 2 {
                statuses.push(
                    fleet
                        .ask("GET", "/read/x", &format!("id-{}", statuses.len()))
                        .await,
                );
            }
            assert!(
                statuses.iter().all(|got| got.head.status == 200),
                "{statuses:?}"
            );
            assert!(fleet.runs() - before <= statuses.len() + 2);
            fleet.act(Act::Answer { after_ms: 0 });
        }
    });
}

#[test]
fn a_failure_of_the_worker_is_passed_on_with_its_stamp() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.act(Act::Fail);
        let got = fleet.ask("POST", "/order/x", "id").await;
        assert_eq!(got.head.status, 500);
        assert_eq!(got.head.field("X-Shallotdeal-Response-Stamp"), Some("s-id"));
        assert_eq!(fleet.runs(), 1);
    });
}

#[test]
fn a_failure_is_passed_on_when_no_other_worker_is_left() {
    run(async {
        let fleet = Fleet::start(1).await;
        for number in 0..60 {
            fleet.ask("GET", "/read/x", &format!("id-{number}")).await;
        }
        for (act, status) in [(Act::Fail, 500), (Act::Shed, 503)] {
            fleet.act(act);
            let got = fleet.ask("GET", "/read/x", "id").await;
            assert_eq!(got.head.status, status, "{act:?}");
        }
        assert_eq!(fleet.vms[0].mesh.metrics.get("retry.sent"), 0);
    });
}

#[test]
fn a_failure_is_passed_on_when_the_second_worker_gives_no_answer() {
    run(async {
        let fleet = Fleet::start(2).await;
        for number in 0..200 {
            fleet.ask("GET", "/read/x", &format!("id-{number}")).await;
        }
        let mut statuses = Vec::new();
        for (first, second) in [(Act::Fail, Act::Close), (Act::Close, Act::Fail)] {
            fleet.vms[0].worker.act.set(first);
            fleet.vms[1].worker.act.set(second);
            statuses.push(fleet.ask("GET", "/read/x", "id").await.head.status);
        }
        assert_eq!(statuses, [500, 500]);
        // The first worker did not run it, the second one may have.
        for (first, second) in [(Act::Shed, Act::Close), (Act::Close, Act::Shed)] {
            fleet.vms[0].worker.act.set(first);
            fleet.vms[1].worker.act.set(second);
            let got = fleet.ask("GET", "/read/x", "id").await;
            assert!(!matches!(got.head.status, 429 | 503), "{}", got.head.status);
        }
    });
}

#[test]
fn a_shed_order_is_told_not_run() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.act(Act::Shed);
        let got = fleet.ask("POST", "/order/x", "id").await;
        assert_eq!(got.head.status, 503);
    });
}

#[test]
fn an_answer_without_length_is_whole_at_the_end_of_its_connection() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.act(Act::Unframed);
        let got = fleet.ask("GET", "/read/x", "id").await;
        assert_eq!(got.body, "body of id by w0");
    });
}

#[test]
fn a_request_that_crashed_two_workers_reaches_no_third() {
    run(async {
        let fleet = Fleet::start(4).await;
        fleet.act(Act::CrashOnKiller);
        let dead = || {
            let vms = fleet.vms.iter();
            vms.filter(|vm| vm.mesh.gate.borrow().worker_state().is_none())
                .count()
        };
        for round in 1..=4 {
            for number in 0..40 {
                fleet
                    .ask("GET", "/read/good", &format!("good-{round}-{number}"))
                    .await;
            }
            fleet
                .ask("POST", "/order/killer", &format!("killer-{round}"))
                .await;
            let expected = round.min(2);
            eventually("the death of the worker", || {
                fleet
                    .vms
                    .iter()
                    .filter(|vm| vm.worker.is_dead.get())
                    .count()
                    == expected
            })
            .await;
            eventually("the notice of it", || dead() == expected).await;
            assert_eq!(dead(), expected, "round {round}");
        }
    });
}
