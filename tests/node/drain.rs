//! A worker or a daemon that leaves.

use {
    crate::world::{Said, World, incoming, pause_ms},
    futures::{
        channel::oneshot,
        future::{join, join_all},
    },
    shallotdeal::{policy::drain::OperatorOrder, request::Outcome},
};

const BOTH: [(&str, u32); 2] = [("orders", 512), ("orders", 512)];

fn reads(world: &World, at: usize, task: &str, count: u128) -> impl Future<Output = Vec<Said>> {
    join_all((0..count).map(move |number| {
        let read = incoming("orders", "read", &format!("/{task}-{number}"), number);
        world.ask(at, read, 4_000)
    }))
}

fn is_whole(said: &Said) -> bool {
    matches!(said, Said::Answer { status: 200, .. })
}

#[test]
fn a_leaving_worker_ends_its_work_and_gets_none() {
    let world = World::new(&BOTH, 1);
    world.run(async {
        let before = reads(&world, 1, "slow/60", 16);
        let after = async {
            pause_ms(20).await;
            world.node(0).ask_drain(|asked| asked.backend = true);
            let running = world.runs().len();
            let said = reads(&world, 1, "work/x", 24).await;
            (running, said)
        };
        let (before, (running, after)) = join(before, after).await;
        assert!(before.iter().chain(&after).all(is_whole));
        let runs = world.runs();
        assert!(
            runs[..running].iter().any(|run| run.at == 0),
            "nothing was in flight"
        );
        assert!(runs[running..].iter().all(|run| run.at == 1));
        world.settle().await;
    });
    assert!(world.counted("call.moved") > 0);
    assert_eq!(world.counted("retry.sent"), 0);
    assert!(world.has_stopped(0));
    world.assert_no_leak("drain");
}

#[test]
fn a_daemon_that_ends_waits_for_what_it_passes_on() {
    let world = World::new(&BOTH, 2);
    world.run(async {
        let (exit, mut exited) = oneshot::channel();
        world.node(0).local.lock().exit = Some(exit);
        let before = reads(&world, 0, "slow/60", 8);
        let after = async {
            pause_ms(20).await;
            world.node(0).ask_drain(|asked| asked.daemon = true);
            let refused = reads(&world, 0, "work/x", 4).await;
            assert!(refused.iter().all(Said::is_not_run), "{refused:?}");
            assert_eq!(exited.try_recv(), Ok(None), "it ends too early");
        };
        let (before, ()) = join(before, after).await;
        assert!(before.iter().all(is_whole));
        world.settle().await;
        pause_ms(20).await;
        assert_eq!(exited.try_recv(), Ok(Some(())));
    });
    world.assert_no_leak("daemon");
}

#[test]
fn a_new_server_does_not_call_off_the_end_of_its_daemon() {
    let world = World::new(&BOTH, 3);
    world.run(async {
        world.servers.set_paused(1, true);
        let (exit, mut exited) = oneshot::channel();
        world.node(0).local.lock().exit = Some(exit);
        // Passed on by the ending daemon to the other one, or run by its own server.
        let before = reads(&world, 0, "slow/30", 8);
        let after = async {
            pause_ms(10).await;
            world.node(0).ask_drain(|asked| asked.daemon = true);
            world.crash_server(0, 1).await;
            pause_ms(20).await;
            assert_eq!(exited.try_recv(), Ok(None), "it ends too early");
            let refused = reads(&world, 0, "work/x", 1).await;
            assert!(refused.iter().all(Said::is_not_run), "{refused:?}");
            world.servers.set_paused(1, false);
        };
        let (before, ()) = join(before, after).await;
        assert!(before.iter().any(is_whole));
        world.settle().await;
        pause_ms(20).await;
        assert_eq!(exited.try_recv(), Ok(Some(())));
    });
    world.assert_no_leak("daemon");
}

#[test]
fn a_stop_without_end_is_cut_at_the_limit() {
    let world = World::with(&BOTH[..1], 4, |config| config.rules.stop_limit_ms = 30);
    world.run(async {
        world.servers.set_paused(0, true);
        let orders = join_all((0..3).map(|number| {
            let order = incoming("orders", "order", &format!("/work/{number}"), number);
            world.ask(0, order, 4_000)
        }));
        let stop = async {
            pause_ms(20).await;
            world.node(0).ask_drain(|asked| asked.operator = OperatorOrder::Stop);
        };
        let (said, ()) = join(orders, stop).await;
        let is_unknown = |said: &Said| {
            matches!(said, Said::Refused(refusal) if refusal.outcome == Outcome::Unknown)
        };
        assert!(said.iter().all(is_unknown), "{said:?}");
        world.settle().await;
    });
    assert_eq!(world.node(0).local.lock().drain.report().cut, 3);
    assert!(world.has_stopped(0));
    world.assert_no_leak("cut");
}
