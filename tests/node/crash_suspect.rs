//! A request that crashes each backend server that runs it is quarantined after two crashes.

use {
    crate::cluster::{CallerResult, Cluster, incoming, pause_ms},
    futures::future::{join, join_all},
    shallotdeal::{
        policy::suspect::{Fingerprint, SuspectVerdict},
        request::Reason,
    },
};

const NODES: usize = 4;
const CRASH_PATH: &str = "/kill/er";

fn fingerprint() -> Fingerprint {
    Fingerprint::new("orders", "POST", CRASH_PATH, &[])
}

async fn send_crasher(cluster: &Cluster, at: usize, attempt: u32) -> CallerResult {
    let mut crasher = incoming("orders", "read", CRASH_PATH, 99);
    crasher.attempt = attempt;
    cluster.ask(at, crasher, 4_000).await
}

/// Sends a crashing request beside others: the others are answered and not quarantined, and the
/// crashing request is quarantined after two crashes, until an operator releases it.
fn check_crash_limit(seed: u64, is_shared: bool, ingresses: [usize; 3]) {
    let cluster = Cluster::with_config(&[("orders", 64); NODES], seed, |config| {
        config
            .classes
            .get_mut("read")
            .expect("a class")
            .retry_allowance = 3;
    });
    cluster.run(async {
        let other_requests = join_all((0..12).map(|number| {
            let read = incoming("orders", "read", &format!("/slow/30-{number}"), number);
            cluster.ask(number as usize % NODES, read, 8_000)
        }));
        let crasher = async {
            pause_ms(10).await;
            for (attempt, at) in (1..).zip(ingresses) {
                let result = send_crasher(&cluster, at, attempt).await;
                assert!(matches!(result, CallerResult::Refused(_)), "{result:?}");
                if is_shared {
                    cluster.share_suspects();
                }
            }
        };
        let (results, ()) = join(other_requests, crasher).await;
        let answered = results
            .iter()
            .filter(|result| matches!(result, CallerResult::Answer { .. }));
        assert_eq!(answered.count(), results.len(), "{results:?}");
        assert!(
            cluster.servers.crashes() <= 2,
            "seed {seed}: {} crashes",
            cluster.servers.crashes()
        );
        let node = cluster.node(ingresses[0]);
        let quarantined = |node: &shallotdeal::node::Node| {
            let rows = node.local.lock().suspects.list(node.now().unix_ms);
            let quarantined = rows
                .into_iter()
                .filter(|row| row.verdict == SuspectVerdict::Quarantined);
            quarantined.map(|row| row.fingerprint).collect::<Vec<_>>()
        };
        assert_eq!(quarantined(&node), [fingerprint()]);
        for index in 0..NODES {
            cluster
                .node(index)
                .local
                .lock()
                .suspects
                .lift(fingerprint());
        }
        let earlier_crashes = cluster.servers.crashes();
        let result = send_crasher(&cluster, ingresses[0], 1).await;
        assert!(
            !matches!(result, CallerResult::Refused(refusal) if refusal.reason == Reason::NoWorker)
        );
        assert!(
            cluster.servers.crashes() > earlier_crashes,
            "the request did not run after its release"
        );
        pause_ms(40).await;
        cluster.settle().await;
    });
    cluster.assert_no_leak("crasher");
}

#[test]
fn a_crashing_request_at_one_ingress_crashes_at_most_two_servers() {
    (0..crate::seeds(4)).for_each(|seed| check_crash_limit(seed, false, [0, 0, 0]));
}

#[test]
fn a_crashing_request_at_several_ingresses_crashes_at_most_two_servers() {
    (0..crate::seeds(4)).for_each(|seed| check_crash_limit(seed, true, [0, 1, 2]));
}
