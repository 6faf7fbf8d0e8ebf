//! Drain of a worker and of a daemon.

use {
    crate::cluster::{CallerResult, Cluster, incoming, pause_ms},
    futures::{
        channel::oneshot,
        future::{join, join_all},
    },
    shallotdeal::{policy::drain::OperatorOrder, request::Outcome},
};

const TWO_SERVERS: [(&str, u32); 2] = [("orders", 512), ("orders", 512)];

fn reads(
    cluster: &Cluster,
    at: usize,
    task: &str,
    count: u128,
) -> impl Future<Output = Vec<CallerResult>> {
    join_all((0..count).map(move |number| {
        let read = incoming("orders", "read", &format!("/{task}-{number}"), number);
        cluster.ask(at, read, 4_000)
    }))
}

fn is_answered(result: &CallerResult) -> bool {
    matches!(result, CallerResult::Answer { status: 200, .. })
}

#[test]
fn a_draining_worker_finishes_its_requests_and_gets_no_new_ones() {
    let cluster = Cluster::new(&TWO_SERVERS, 1);
    cluster.run(async {
        let before = reads(&cluster, 1, "slow/60", 16);
        let after = async {
            pause_ms(20).await;
            cluster
                .node(0)
                .update_drain(|requests| requests.backend = true);
            let running = cluster.runs().len();
            let results = reads(&cluster, 1, "work/x", 24).await;
            (running, results)
        };
        let (before, (running, after)) = join(before, after).await;
        assert!(before.iter().chain(&after).all(is_answered));
        let runs = cluster.runs();
        assert!(
            runs[..running].iter().any(|run| run.at == 0),
            "nothing was in flight"
        );
        assert!(runs[running..].iter().all(|run| run.at == 1));
        cluster.settle().await;
    });
    assert!(cluster.total_count("call.moved") > 0);
    assert_eq!(cluster.total_count("retry.sent"), 0);
    assert!(cluster.has_stopped(0));
    cluster.assert_no_leak("drain");
}

#[test]
fn a_daemon_exits_only_after_the_requests_that_it_forwards() {
    let cluster = Cluster::new(&TWO_SERVERS, 2);
    cluster.run(async {
        let (exit, mut exited) = oneshot::channel();
        cluster.node(0).local.lock().exit = Some(exit);
        let before = reads(&cluster, 0, "slow/60", 8);
        let after = async {
            pause_ms(20).await;
            cluster
                .node(0)
                .update_drain(|requests| requests.daemon = true);
            let refused = reads(&cluster, 0, "work/x", 4).await;
            assert!(refused.iter().all(CallerResult::is_not_run), "{refused:?}");
            assert_eq!(exited.try_recv(), Ok(None), "the daemon exits too early");
        };
        let (before, ()) = join(before, after).await;
        assert!(before.iter().all(is_answered));
        cluster.settle().await;
        pause_ms(20).await;
        assert_eq!(exited.try_recv(), Ok(Some(())));
    });
    cluster.assert_no_leak("daemon");
}

#[test]
fn a_restarted_server_does_not_cancel_the_exit_of_its_daemon() {
    let cluster = Cluster::new(&TWO_SERVERS, 3);
    cluster.run(async {
        cluster.servers.set_paused(1, true);
        let (exit, mut exited) = oneshot::channel();
        cluster.node(0).local.lock().exit = Some(exit);
        // The draining daemon forwards some of these to the other; its own server runs the rest.
        let before = reads(&cluster, 0, "slow/30", 8);
        let after = async {
            pause_ms(10).await;
            cluster
                .node(0)
                .update_drain(|requests| requests.daemon = true);
            cluster.crash_server(0, 1).await;
            pause_ms(20).await;
            assert_eq!(exited.try_recv(), Ok(None), "the daemon exits too early");
            let refused = reads(&cluster, 0, "work/x", 1).await;
            assert!(refused.iter().all(CallerResult::is_not_run), "{refused:?}");
            cluster.servers.set_paused(1, false);
        };
        let (before, ()) = join(before, after).await;
        assert!(before.iter().any(is_answered));
        cluster.settle().await;
        pause_ms(20).await;
        assert_eq!(exited.try_recv(), Ok(Some(())));
    });
    cluster.assert_no_leak("daemon");
}

#[test]
fn requests_in_flight_are_cancelled_at_the_stop_limit() {
    let cluster = Cluster::with_config(&TWO_SERVERS[..1], 4, |config| {
        config.rules.stop_limit_ms = 30;
    });
    cluster.run(async {
        cluster.servers.set_paused(0, true);
        let orders = join_all((0..3).map(|number| {
            let order = incoming("orders", "order", &format!("/work/{number}"), number);
            cluster.ask(0, order, 4_000)
        }));
        let stop = async {
            pause_ms(20).await;
            cluster.node(0).update_drain(|requests| requests.operator = OperatorOrder::Stop);
        };
        let (results, ()) = join(orders, stop).await;
        let is_unknown = |result: &CallerResult| {
            matches!(result, CallerResult::Refused(refusal) if refusal.outcome == Outcome::Unknown)
        };
        assert!(results.iter().all(is_unknown), "{results:?}");
        cluster.settle().await;
    });
    assert_eq!(cluster.node(0).local.lock().drain.report().cut, 3);
    assert!(cluster.has_stopped(0));
    cluster.assert_no_leak("cut");
}
