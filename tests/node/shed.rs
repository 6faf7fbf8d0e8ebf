//! Importance at one daemon under a burst.

use {
    crate::world::{Said, World, incoming, pause_ms},
    futures::future::{join, join_all},
    shallotdeal::request::Reason,
};

/// Cold limit of a server with two slots.
const STARTED_AT_ONCE: usize = 1;

#[test]
fn no_order_is_refused_while_a_read_of_the_same_moment_is_admitted() {
    for seed in 0..crate::seeds(8) {
        let world = World::new(&[("orders", 2)], seed);
        let said = world.run(async {
            world.servers.set_paused(0, true);
            let asks = (0..60).map(|number| {
                let class = if world.draw(3) == 0 { "order" } else { "read" };
                let send = incoming("orders", class, &format!("/work/{number}"), number);
                let ask = world.ask(0, send, 8_000);
                async move { (class, ask.await) }
            });
            let resume = async {
                pause_ms(30).await;
                world.servers.set_paused(0, false);
            };
            let (said, ()) = join(join_all(asks), resume).await;
            world.settle().await;
            said
        });
        let is_shed = |said: &Said| {
            matches!(said, Said::Refused(refusal)
                if matches!(refusal.reason, Reason::Overload | Reason::WorkerFull))
        };
        let shed = said
            .iter()
            .filter(|(class, said)| *class == "order" && is_shed(said));
        let is_answered = |said: &Said| matches!(said, Said::Answer { .. });
        let reads = said
            .iter()
            .filter(|(class, said)| *class == "read" && is_answered(said));
        let (shed, reads) = (shed.count(), reads.count());
        assert!(shed > 0, "seed {seed}: the burst is too small");
        assert!(
            reads <= STARTED_AT_ONCE,
            "seed {seed}: {shed} orders shed, {reads} reads run"
        );
        for (_, said) in said.iter().filter(|(_, said)| said.is_not_run()) {
            assert!(is_shed(said) || matches!(said, Said::Refused(_)));
        }
        world.assert_no_leak("burst");
    }
}
