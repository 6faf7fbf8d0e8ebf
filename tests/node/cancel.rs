//! A request that nobody waits for is cancelled down the tree; what panics leaves nothing behind.

use {
    crate::{
        servers::Ended,
        world::{Said, World, incoming, pause_ms},
    },
    futures::FutureExt,
    shallotdeal::{
        ingress::{Handle, Incoming},
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

fn stall(world: &World) {
    (0..SERVICES.len()).for_each(|index| world.servers.set_paused(index, true));
}

#[test]
fn a_caller_that_goes_away_takes_the_whole_tree_along() {
    let world = World::new(&SERVICES, 1);
    world.run(async {
        stall(&world);
        let said = world
            .ask(0, incoming("orders", "read", "/tree/r", 1), 100)
            .await;
        assert_eq!(said, Said::Nothing);
        world.settle().await;
    });
    let runs = world.runs();
    assert!(runs.len() > 1, "no call was nested");
    assert!(
        runs.iter().all(|run| run.ended == Some(Ended::Dropped)),
        "{runs:?}"
    );
    world.assert_no_leak("gone");
}

#[test]
fn a_deadline_ends_the_whole_tree() {
    let world = World::new(&SERVICES, 2);
    world.run(async {
        stall(&world);
        let mut read = incoming("orders", "read", "/tree/r", 1);
        read.timeout_ms = Some(80);
        let said = world.ask(0, read, 4_000).await;
        assert!(matches!(said, Said::Refused(_)), "{said:?}");
        world.settle().await;
    });
    let runs = world.runs();
    let is_over = |ended: Option<Ended>| ended.is_some_and(|ended| ended != Ended::Answered);
    assert!(runs.iter().all(|run| is_over(run.ended)), "{runs:?}");
    world.assert_no_leak("late");
}

#[test]
fn a_started_order_outlives_its_caller_and_is_answered_again() {
    let world = World::new(&SERVICES, 3);
    world.run(async {
        let ticket = world.node(0).ticket("orders".into()).await.ok();
        let order = Incoming {
            ticket,
            ..incoming("orders", "order", "/slow/60", 1)
        };
        let said = world.ask(0, order.clone(), 20).await;
        assert_eq!(said, Said::Nothing);
        let again = Incoming {
            attempt: 2,
            ..order
        };
        let said = world.ask(1, again, 4_000).await;
        assert!(matches!(said, Said::Answer { status: 200, .. }), "{said:?}");
        world.settle().await;
    });
    let ended: Vec<_> = world.runs().iter().map(|run| run.ended).collect();
    assert_eq!(ended, [Some(Ended::Answered)]);
    world.assert_no_leak("order");
}

#[test]
fn a_panic_leaves_nothing_behind() {
    for class in ["read", "order"] {
        let world = World::new(&SERVICES[..1], 4);
        world.run(async {
            let request = incoming("orders", class, "/panic/now", 1);
            let asked = AssertUnwindSafe(world.ask(0, request, 500)).catch_unwind();
            match asked.await {
                Ok(Said::Refused(refusal)) => assert_eq!(refusal.outcome, Outcome::Unknown),
                Ok(said) => panic!("{class}: {said:?}"),
                Err(_) => assert_eq!(class, "read"),
            }
            pause_ms(5).await;
        });
        world.assert_no_leak(class);
    }
}
