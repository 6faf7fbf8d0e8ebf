//! Workers that send bytes without end: callers are answered in time, the connections are closed, and
//! other requests are served. `tests/endless_memory.rs` bounds the memory.

use {
    crate::harness::{Behaviour, Client, EndlessAnswer, Fleet, eventually, run},
    futures::future::join_all,
};

/// Endless answers at one time.
const ENDLESS: usize = 6;

async fn serves_beside(answer: EndlessAnswer) {
    let fleet = Fleet::start(1).await;
    fleet.set_behaviour(Behaviour::Endless(answer));
    let endless = (0..ENDLESS).map(|number| {
        let fleet = &fleet;
        async move {
            let id = format!("endless-{number}");
            fleet.request("POST", "/order/x", &id).await.head.status
        }
    });
    let short = async {
        let mut statuses = Vec::new();
        for number in 0..10 {
            let mut client = Client::connect(&fleet.vms[0]).await;
            client
                .send("GET", "/read/x", &format!("short-{number}"), "", b"")
                .await;
            statuses.push(client.receive().await.unwrap().head.status);
        }
        statuses
    };
    let (endless, short) = futures::future::join(join_all(endless), short).await;
    // The requests may have run.
    let are_failures = endless.iter().all(|status| [502, 504].contains(status));
    assert!(are_failures, "{answer:?}: {endless:?}");
    assert_eq!(short, [200; 10], "{answer:?}");
    eventually("closed connections", || {
        fleet.vms[0].worker.closed.get() as usize == ENDLESS
    })
    .await;
    assert_eq!(fleet.vms[0].mesh.pool.answer_bytes(), 0, "{answer:?}");
}

// Guards against loops that read an answer without end, and against short answers that fail because
// endless ones use up the memory.
#[test]
fn answers_without_end_are_given_up_and_harm_no_other_request() {
    for answer in EndlessAnswer::ALL {
        run(serves_beside(answer));
    }
}
