//! Cancellation of whole call trees, and cleanup after cancellation and panics.

use {
    crate::{
        cluster::{CallerResult, Cluster, incoming, pause_ms},
        servers::RunEnd,
    },
    futures::FutureExt,
    shallotdeal::{
        ingress::{Handler, IncomingRequest},
        request::Outcome,
    },
    std::panic::AssertUnwindSafe,
};

const SERVICES: [(&str, u32); 4] = [
    ("orders", 512),
    ("orders", 512),
    ("stock", 512),
    ("stock", 512),
];

fn pause_all_servers(cluster: &Cluster) {
    (0..SERVICES.len()).for_each(|index| cluster.servers.set_paused(index, true));
}

#[test]
fn a_disconnect_of_the_caller_cancels_the_whole_call_tree() {
    let cluster = Cluster::new(&SERVICES, 1);
    cluster.run(async {
        pause_all_servers(&cluster);
        let result = cluster
            .ask(0, incoming("orders", "read", "/tree/r", 1), 100)
            .await;
        assert_eq!(result, CallerResult::NoReply);
        cluster.settle().await;
    });
    let runs = cluster.runs();
    assert!(runs.len() > 1, "no call was nested");
    assert!(
        runs.iter().all(|run| run.ended == Some(RunEnd::Dropped)),
        "{runs:?}"
    );
    cluster.assert_no_leak("disconnect");
}

#[test]
fn a_passed_deadline_cancels_the_whole_call_tree() {
    let cluster = Cluster::new(&SERVICES, 2);
    cluster.run(async {
        pause_all_servers(&cluster);
        let mut read = incoming("orders", "read", "/tree/r", 1);
        read.timeout_ms = Some(80);
        let result = cluster.ask(0, read, 4_000).await;
        assert!(matches!(result, CallerResult::Refused(_)), "{result:?}");
        cluster.settle().await;
    });
    let runs = cluster.runs();
    let is_cancelled = |ended: Option<RunEnd>| ended.is_some_and(|ended| ended != RunEnd::Answered);
    assert!(runs.iter().all(|run| is_cancelled(run.ended)), "{runs:?}");
    cluster.assert_no_leak("deadline");
}

#[test]
fn a_started_order_continues_without_its_caller_and_a_resend_gets_its_answer() {
    let cluster = Cluster::new(&SERVICES, 3);
    cluster.run(async {
        let ticket = cluster.node(0).ticket("orders".into()).await.ok();
        let order = IncomingRequest {
            ticket,
            ..incoming("orders", "order", "/slow/60", 1)
        };
        let result = cluster.ask(0, order.clone(), 20).await;
        assert_eq!(result, CallerResult::NoReply);
        let resend = IncomingRequest {
            attempt: 2,
            ..order
        };
        let result = cluster.ask(1, resend, 4_000).await;
        assert!(
            matches!(result, CallerResult::Answer { status: 200, .. }),
            "{result:?}"
        );
        cluster.settle().await;
    });
    let ended: Vec<_> = cluster.runs().iter().map(|run| run.ended).collect();
    assert_eq!(ended, [Some(RunEnd::Answered)]);
    cluster.assert_no_leak("order");
}

#[test]
fn a_panic_leaves_no_state() {
    for class in ["read", "order"] {
        let cluster = Cluster::new(&SERVICES[..1], 4);
        cluster.run(async {
            let request = incoming("orders", class, "/panic/now", 1);
            let asked = AssertUnwindSafe(cluster.ask(0, request, 500)).catch_unwind();
            match asked.await {
                Ok(CallerResult::Refused(refusal)) => assert_eq!(refusal.outcome, Outcome::Unknown),
                Ok(result) => panic!("{class}: {result:?}"),
                Err(_) => assert_eq!(class, "read"),
            }
            pause_ms(5).await;
        });
        cluster.assert_no_leak(class);
    }
}
