//! Shedding by importance at one daemon under a burst.
//!
//! If orders of a burst are shed, no queued read of that burst may run. Only reads that started
//! before the concurrency limit was reached are answered.

use {
    crate::cluster::{CallerResult, Cluster, incoming, pause_ms},
    futures::future::{join, join_all},
    shallotdeal::request::Reason,
};

/// Initial concurrency limit of a server with two slots.
const INITIAL_LIMIT: usize = 1;

#[test]
fn no_order_is_shed_while_a_read_of_the_same_burst_is_admitted() {
    for seed in 0..crate::seeds(8) {
        let cluster = Cluster::new(&[("orders", 2)], seed);
        let results = cluster.run(async {
            cluster.servers.set_paused(0, true);
            let asks = (0..60).map(|number| {
                let class = if cluster.draw(3) == 0 {
                    "order"
                } else {
                    "read"
                };
                let send = incoming("orders", class, &format!("/work/{number}"), number);
                let ask = cluster.ask(0, send, 8_000);
                async move { (class, ask.await) }
            });
            let resume = async {
                pause_ms(30).await;
                cluster.servers.set_paused(0, false);
            };
            let (results, ()) = join(join_all(asks), resume).await;
            cluster.settle().await;
            results
        });
        let is_shed = |result: &CallerResult| {
            matches!(result, CallerResult::Refused(refusal)
                if matches!(refusal.reason, Reason::Overload | Reason::WorkerFull))
        };
        let shed = results
            .iter()
            .filter(|(class, result)| *class == "order" && is_shed(result));
        let is_answered = |result: &CallerResult| matches!(result, CallerResult::Answer { .. });
        let reads = results
            .iter()
            .filter(|(class, result)| *class == "read" && is_answered(result));
        let (shed, reads) = (shed.count(), reads.count());
        assert!(shed > 0, "seed {seed}: the burst is too small");
        assert!(
            reads <= INITIAL_LIMIT,
            "seed {seed}: {shed} orders shed, {reads} reads run"
        );
        for (_, result) in results.iter().filter(|(_, result)| result.is_not_run()) {
            assert!(is_shed(result) || matches!(result, CallerResult::Refused(_)));
        }
        cluster.assert_no_leak("burst");
    }
}
