//! A request that crashes each backend server that runs it.

use {
    crate::world::{Said, World, incoming, pause_ms},
    futures::future::{join, join_all},
    shallotdeal::{
        policy::suspect::{Fingerprint, SuspectVerdict},
        request::Reason,
    },
};

const NODES: usize = 4;
const KILL: &str = "/kill/er";

fn fingerprint() -> Fingerprint {
    Fingerprint::new("orders", "POST", KILL, &[])
}

async fn kill(world: &World, at: usize, attempt: u32) -> Said {
    let mut killer = incoming("orders", "read", KILL, 99);
    killer.attempt = attempt;
    world.ask(at, killer, 4_000).await
}

/// Neighbours in flight are answered and not blamed for good; the killer stops after two deaths.
fn killed(seed: u64, is_shared: bool, ways: [usize; 3]) {
    let world = World::with(&[("orders", 64); NODES], seed, |config| {
        config
            .classes
            .get_mut("read")
            .expect("a class")
            .retry_allowance = 3;
    });
    world.run(async {
        let neighbours = join_all((0..12).map(|number| {
            let read = incoming("orders", "read", &format!("/slow/30-{number}"), number);
            world.ask(number as usize % NODES, read, 8_000)
        }));
        let killer = async {
            pause_ms(10).await;
            for (attempt, at) in (1..).zip(ways) {
                let said = kill(&world, at, attempt).await;
                assert!(matches!(said, Said::Refused(_)), "{said:?}");
                if is_shared {
                    world.share_suspects();
                }
            }
        };
        let (said, ()) = join(neighbours, killer).await;
        let whole = said
            .iter()
            .filter(|said| matches!(said, Said::Answer { .. }));
        assert_eq!(whole.count(), said.len(), "{said:?}");
        assert!(
            world.servers.deaths() <= 2,
            "seed {seed}: {} deaths",
            world.servers.deaths()
        );
        let node = world.node(ways[0]);
        let held = |node: &shallotdeal::node::Node| {
            let rows = node.local.lock().suspects.list(node.now().unix_ms);
            let held = rows
                .into_iter()
                .filter(|row| row.verdict == SuspectVerdict::Quarantined);
            held.map(|row| row.fingerprint).collect::<Vec<_>>()
        };
        assert_eq!(held(&node), [fingerprint()]);
        for index in 0..NODES {
            world.node(index).local.lock().suspects.lift(fingerprint());
        }
        let deaths = world.servers.deaths();
        let said = kill(&world, ways[0], 1).await;
        assert!(!matches!(said, Said::Refused(refusal) if refusal.reason == Reason::NoWorker));
        assert!(
            world.servers.deaths() > deaths,
            "it does not run after the release"
        );
        pause_ms(40).await;
        world.settle().await;
    });
    world.assert_no_leak("killer");
}

#[test]
fn a_killer_at_one_ingress_takes_two_servers_at_most() {
    (0..crate::seeds(4)).for_each(|seed| killed(seed, false, [0, 0, 0]));
}

#[test]
fn a_killer_at_several_ingresses_takes_two_servers_at_most() {
    (0..crate::seeds(4)).for_each(|seed| killed(seed, true, [0, 1, 2]));
}
