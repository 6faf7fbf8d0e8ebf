//! Under faults, an order runs at most once, and the outcomes that callers get agree with that.

use {
    crate::{
        cluster::{CallerResult, Cluster, incoming, pause_ms},
        faults::{FAULTS, Fault},
        seeds,
        spec::{AttemptResult, OnceSpec, Op},
    },
    futures::future::{join, join_all},
    shallotdeal::{
        clock::Clock,
        ingress::{Handler, IncomingRequest, Origin},
        request::{Importance, Incarnation, Level},
    },
    smol_str::{SmolStr, format_smolstr},
    std::{
        collections::BTreeMap,
        net::Ipv4Addr,
        sync::{Arc, atomic::Ordering},
    },
    todc_utils::{Action, History, WGLChecker},
};

const NODES: usize = 3;
const ORDERS: u64 = 6;
const ATTEMPTS: u32 = 4;
const TIMEOUT_MS: u64 = 60;

/// How a caller identifies its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderIdentity {
    Ticket,
    Key,
    RequestId,
}

const ORDER_IDENTITIES: [OrderIdentity; 3] = [
    OrderIdentity::Ticket,
    OrderIdentity::Key,
    OrderIdentity::RequestId,
];

fn order(identity: OrderIdentity, order: u64, ticket: Option<SmolStr>) -> IncomingRequest {
    let caller = Ipv4Addr::new(10, 1, 0, order as u8);
    IncomingRequest {
        origin: Origin::Caller(caller.into()),
        is_id_from_caller: identity == OrderIdentity::RequestId,
        key: (identity == OrderIdentity::Key).then(|| format_smolstr!("key-{order}")),
        ticket,
        ..incoming(
            "orders",
            "order",
            &format!("/order/{order}"),
            7 + u128::from(order),
        )
    }
}

/// Sends one attempt and records its result as the caller sees it.
async fn attempt(
    cluster: &Cluster,
    send: &IncomingRequest,
    number: u32,
    timeout_ms: u64,
) -> CallerResult {
    let target = send.request.target.clone();
    let process = number as usize;
    let op = |attempt_result| Op::Attempt {
        attempt: number,
        result: attempt_result,
    };
    let mut send = send.clone();
    send.attempt = number;
    send.timeout_ms = Some(timeout_ms);
    send.request.headers.push(shallotdeal::call::Header {
        name: "attempt".into(),
        value: number.to_string().into(),
    });
    let call = Action::Call(op(AttemptResult::Nothing));
    cluster.servers.record(&target, process, call);
    let at = cluster.draw(NODES as u64) as usize;
    let result = cluster.ask(at, send.clone(), 2 * timeout_ms).await;
    let attempt_result = match &result {
        CallerResult::Answer { body, .. } => {
            let mut words = body.split(' ');
            let id = send.request_id.to_string();
            assert_eq!(words.next(), Some(id.as_str()), "another request's answer");
            assert_eq!(words.next(), Some(target.as_str()));
            AttemptResult::Done(words.next().expect("a run").parse().expect("a number"))
        }
        result if result.is_not_run() => AttemptResult::NotRun,
        CallerResult::Refused(_) => AttemptResult::Unknown,
        CallerResult::NoReply => AttemptResult::Nothing,
    };
    let response = Action::Response(op(attempt_result));
    cluster.servers.record(&target, process, response);
    result
}

/// Resends an order until it is answered, and sometimes after that; returns whether it was.
async fn caller(cluster: &Cluster, identity: OrderIdentity, number: u64, timeout_ms: u64) -> bool {
    pause_ms(cluster.draw(40)).await;
    let ticket = match identity {
        OrderIdentity::Ticket => {
            let at = cluster.draw(NODES as u64) as usize;
            cluster.node(at).ticket("orders".into()).await.ok()
        }
        OrderIdentity::Key | OrderIdentity::RequestId => None,
    };
    let mut send = order(identity, number, ticket);
    send.first_sent_unix_ms = Some(cluster.clock.now_unix_ms());
    let mut is_done = false;
    let mut next = 1;
    while next <= ATTEMPTS {
        let result = if next < ATTEMPTS && cluster.draw(4) == 0 {
            let both = join(
                attempt(cluster, &send, next, timeout_ms),
                attempt(cluster, &send, next + 1, timeout_ms),
            );
            next += 1;
            both.await.1
        } else {
            attempt(cluster, &send, next, timeout_ms).await
        };
        next += 1;
        is_done |= matches!(result, CallerResult::Answer { .. });
        if is_done && cluster.draw(3) > 0 {
            break;
        }
        pause_ms(cluster.draw(10)).await;
    }
    is_done
}

/// Injects a fault, and ends it after a while.
async fn inject_fault(cluster: &Arc<Cluster>, fault: Fault) {
    pause_ms(cluster.draw(60)).await;
    let index = cluster.draw(NODES as u64) as usize;
    let duration_ms = 10 + cluster.draw(40);
    match fault {
        Fault::ServerCrash => return cluster.crash_server(index, duration_ms / 2).await,
        Fault::DaemonRestart => return cluster.restart_daemon(index),
        Fault::Partition => cluster.net.lock().isolated = Some(index),
        Fault::MessageLoss => {
            let mut net = cluster.net.lock();
            (net.lost_before, net.lost_after, net.refused) = (20, 20, 10);
        }
        Fault::Duplicates => {
            let mut net = cluster.net.lock();
            (net.duplicated, net.delay_ms) = (60, 4);
        }
        Fault::ServerPause => cluster.servers.set_paused(index, true),
        Fault::StoreOutage => cluster.store.is_unavailable.store(true, Ordering::Relaxed),
        Fault::LostStoreAnswers => cluster.store.loses_answers.store(true, Ordering::Relaxed),
        Fault::NoKnownWorker => cluster.net.lock().hides_workers = true,
        Fault::DaemonDrain => {
            cluster
                .node(index)
                .update_drain(|requests| requests.daemon = true);
        }
        Fault::ClosedPath => {
            let worker = Incarnation(1);
            let now_us = cluster.clock.now_us();
            let node = cluster.node(index);
            let mut paths = node.edge_paths.lock();
            paths.observe(&"orders".into(), Importance(0), worker, Level(0), now_us);
        }
    }
    pause_ms(duration_ms).await;
    match fault {
        Fault::Partition => cluster.net.lock().isolated = None,
        Fault::MessageLoss => {
            let mut net = cluster.net.lock();
            (net.lost_before, net.lost_after, net.refused) = (0, 0, 0);
        }
        Fault::Duplicates => {
            let mut net = cluster.net.lock();
            (net.duplicated, net.delay_ms) = (0, 0);
        }
        Fault::ServerPause => cluster.servers.set_paused(index, false),
        Fault::StoreOutage => cluster.store.is_unavailable.store(false, Ordering::Relaxed),
        Fault::LostStoreAnswers => cluster.store.loses_answers.store(false, Ordering::Relaxed),
        Fault::NoKnownWorker => cluster.net.lock().hides_workers = false,
        Fault::DaemonDrain => {
            cluster
                .node(index)
                .update_drain(|requests| requests.daemon = false);
        }
        Fault::ServerCrash | Fault::DaemonRestart | Fault::ClosedPath => {}
    }
}

/// Runs one history, checks it, and returns the number of orders that were answered.
async fn history(identity: OrderIdentity, faults: Vec<Fault>, seed: u64, timeout_ms: u64) -> usize {
    let cluster = Cluster::new(&[("orders", 8); NODES], seed);
    let context = format!("{identity:?} {faults:?} seed {seed}");
    let events = async {
        let callers = (0..ORDERS).map(|number| caller(&cluster, identity, number, timeout_ms));
        let injections = faults.iter().map(|fault| inject_fault(&cluster, *fault));
        let (done, _) = join(join_all(callers), join_all(injections)).await;
        cluster.settle().await;
        done.into_iter().filter(|is_done| *is_done).count()
    };
    let done = cluster.drive(events).await;
    check(&cluster, &context);
    cluster.assert_no_leak(&context);
    done
}

fn check(cluster: &Cluster, context: &str) {
    let mut histories: BTreeMap<SmolStr, Vec<_>> = BTreeMap::new();
    for (target, process, action) in cluster.servers.log() {
        histories.entry(target).or_default().push((process, action));
    }
    for (target, actions) in histories {
        let runs = cluster.runs();
        let runs = runs.iter().filter(|run| run.target == target).count();
        assert!(runs <= 1, "{context}: {target} ran {runs} times");
        let is_valid =
            WGLChecker::<OnceSpec>::is_linearizable(History::from_actions(actions.clone()));
        assert!(is_valid, "{context} {target}: {actions:#?}");
    }
}

/// Runs histories concurrently and returns the number of orders that were answered in all of them.
fn run_all(histories: impl IntoIterator<Item = impl Future<Output = usize>>) -> usize {
    let ended = async_std::task::block_on(join_all(histories));
    ended.into_iter().sum()
}

#[test]
fn orders_are_answered_without_faults() {
    for identity in ORDER_IDENTITIES {
        let count = seeds(2);
        let done = run_all((0..count).map(|seed| history(identity, Vec::new(), seed, 4_000)));
        assert_eq!(done as u64, count * ORDERS, "{identity:?}");
    }
}

#[test]
fn orders_run_at_most_once_under_each_fault() {
    for seed in 0..seeds(1) {
        let histories_of =
            |identity| FAULTS.map(|fault| history(identity, vec![fault], seed, TIMEOUT_MS));
        run_all(ORDER_IDENTITIES.into_iter().flat_map(histories_of));
    }
}

#[test]
fn orders_run_at_most_once_under_pairs_of_faults() {
    for seed in 0..seeds(1) {
        let pairs = FAULTS.iter().enumerate().flat_map(|(index, first)| {
            let rest = FAULTS[index..].iter().enumerate();
            rest.map(move |(step, second)| (index + step, vec![*first, *second]))
        });
        run_all(pairs.map(|(number, pair)| {
            let identity = ORDER_IDENTITIES[(number + seed as usize) % ORDER_IDENTITIES.len()];
            history(identity, pair, seed, TIMEOUT_MS)
        }));
    }
}
