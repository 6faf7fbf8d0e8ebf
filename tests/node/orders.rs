//! An order runs at most once, and no caller is told otherwise.

use {
    crate::{
        faults::{FAULTS, Fault},
        seeds,
        spec::{AttemptResult, OnceSpec, Op},
        world::{Said, World, incoming, pause_ms},
    },
    futures::future::{join, join_all},
    shallotdeal::{
        clock::Clock,
        ingress::{Handle, Incoming, Origin},
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
const PATIENCE_MS: u64 = 60;

/// How a caller names its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Naming {
    Ticket,
    Key,
    RequestId,
}

const NAMINGS: [Naming; 3] = [Naming::Ticket, Naming::Key, Naming::RequestId];

fn order(naming: Naming, order: u64, ticket: Option<SmolStr>) -> Incoming {
    let caller = Ipv4Addr::new(10, 1, 0, order as u8);
    Incoming {
        origin: Origin::Caller(caller.into()),
        has_own_id: naming == Naming::RequestId,
        key: (naming == Naming::Key).then(|| format_smolstr!("key-{order}")),
        ticket,
        ..incoming(
            "orders",
            "order",
            &format!("/order/{order}"),
            7 + u128::from(order),
        )
    }
}

/// One attempt, as the caller sees it.
async fn attempt(world: &World, send: &Incoming, number: u32, patience_ms: u64) -> Said {
    let target = send.request.target.clone();
    let process = number as usize;
    let op = |told| Op::Attempt {
        attempt: number,
        result: told,
    };
    let mut send = send.clone();
    send.attempt = number;
    send.timeout_ms = Some(patience_ms);
    send.request.headers.push(shallotdeal::call::Header {
        name: "attempt".into(),
        value: number.to_string().into(),
    });
    let call = Action::Call(op(AttemptResult::Nothing));
    world.servers.note(&target, process, call);
    let at = world.draw(NODES as u64) as usize;
    let said = world.ask(at, send.clone(), 2 * patience_ms).await;
    let told = match &said {
        Said::Answer { body, .. } => {
            let mut words = body.split(' ');
            let id = send.request_id.to_string();
            assert_eq!(words.next(), Some(id.as_str()), "another request's answer");
            assert_eq!(words.next(), Some(target.as_str()));
            AttemptResult::Done(words.next().expect("a run").parse().expect("a number"))
        }
        said if said.is_not_run() => AttemptResult::NotRun,
        Said::Refused(_) => AttemptResult::Unknown,
        Said::Nothing => AttemptResult::Nothing,
    };
    let response = Action::Response(op(told));
    world.servers.note(&target, process, response);
    said
}

/// A caller that sends its order again until it has an answer, and sometimes still then.
async fn caller(world: &World, naming: Naming, number: u64, patience_ms: u64) -> bool {
    pause_ms(world.draw(40)).await;
    let ticket = match naming {
        Naming::Ticket => {
            let at = world.draw(NODES as u64) as usize;
            world.node(at).ticket("orders".into()).await.ok()
        }
        Naming::Key | Naming::RequestId => None,
    };
    let mut send = order(naming, number, ticket);
    send.first_sent_unix_ms = Some(world.clock.now_unix_ms());
    let mut is_done = false;
    let mut next = 1;
    while next <= ATTEMPTS {
        let said = if next < ATTEMPTS && world.draw(4) == 0 {
            let both = join(
                attempt(world, &send, next, patience_ms),
                attempt(world, &send, next + 1, patience_ms),
            );
            next += 1;
            both.await.1
        } else {
            attempt(world, &send, next, patience_ms).await
        };
        next += 1;
        is_done |= matches!(said, Said::Answer { .. });
        if is_done && world.draw(3) > 0 {
            break;
        }
        pause_ms(world.draw(10)).await;
    }
    is_done
}

/// Brings a fault about for a while.
async fn strike(world: &Arc<World>, fault: Fault) {
    pause_ms(world.draw(60)).await;
    let index = world.draw(NODES as u64) as usize;
    let until_ms = 10 + world.draw(40);
    match fault {
        Fault::ServerCrash => return world.crash_server(index, until_ms / 2).await,
        Fault::DaemonRestart => return world.restart_daemon(index),
        Fault::Cut => world.net.lock().island = Some(index),
        Fault::Loss => {
            let mut net = world.net.lock();
            (net.lost_before, net.lost_after, net.refused) = (20, 20, 10);
        }
        Fault::Duplicates => {
            let mut net = world.net.lock();
            (net.duplicated, net.delay_ms) = (60, 4);
        }
        Fault::Slow => world.servers.set_paused(index, true),
        Fault::StoreOutage => world.store.is_away.store(true, Ordering::Relaxed),
        Fault::LostWrites => world.store.loses_answers.store(true, Ordering::Relaxed),
        Fault::Unlisted => world.net.lock().is_unlisted = true,
        Fault::Leaving => {
            world.node(index).ask_drain(|asked| asked.daemon = true);
        }
        Fault::Shut => {
            let worker = Incarnation(1);
            let now_us = world.clock.now_us();
            let node = world.node(index);
            let mut paths = node.edge_paths.lock();
            paths.observe(&"orders".into(), Importance(0), worker, Level(0), now_us);
        }
    }
    pause_ms(until_ms).await;
    match fault {
        Fault::Cut => world.net.lock().island = None,
        Fault::Loss => {
            let mut net = world.net.lock();
            (net.lost_before, net.lost_after, net.refused) = (0, 0, 0);
        }
        Fault::Duplicates => {
            let mut net = world.net.lock();
            (net.duplicated, net.delay_ms) = (0, 0);
        }
        Fault::Slow => world.servers.set_paused(index, false),
        Fault::StoreOutage => world.store.is_away.store(false, Ordering::Relaxed),
        Fault::LostWrites => world.store.loses_answers.store(false, Ordering::Relaxed),
        Fault::Unlisted => world.net.lock().is_unlisted = false,
        Fault::Leaving => {
            world.node(index).ask_drain(|asked| asked.daemon = false);
        }
        Fault::ServerCrash | Fault::DaemonRestart | Fault::Shut => {}
    }
}

/// Orders that got their answer in one history, after all checks.
async fn history(naming: Naming, faults: Vec<Fault>, seed: u64, patience_ms: u64) -> usize {
    let world = World::new(&[("orders", 8); NODES], seed);
    let context = format!("{naming:?} {faults:?} seed {seed}");
    let events = async {
        let callers = (0..ORDERS).map(|number| caller(&world, naming, number, patience_ms));
        let strikes = faults.iter().map(|fault| strike(&world, *fault));
        let (done, _) = join(join_all(callers), join_all(strikes)).await;
        world.settle().await;
        done.into_iter().filter(|is_done| *is_done).count()
    };
    let done = world.drive(events).await;
    check(&world, &context);
    world.assert_no_leak(&context);
    done
}

fn check(world: &World, context: &str) {
    let mut histories: BTreeMap<SmolStr, Vec<_>> = BTreeMap::new();
    for (target, process, action) in world.servers.log() {
        histories.entry(target).or_default().push((process, action));
    }
    for (target, actions) in histories {
        let runs = world.runs();
        let runs = runs.iter().filter(|run| run.target == target).count();
        assert!(runs <= 1, "{context}: {target} ran {runs} times");
        let is_valid =
            WGLChecker::<OnceSpec>::is_linearizable(History::from_actions(actions.clone()));
        assert!(is_valid, "{context} {target}: {actions:#?}");
    }
}

fn all(histories: impl IntoIterator<Item = impl Future<Output = usize>>) -> usize {
    let ended = async_std::task::block_on(join_all(histories));
    ended.into_iter().sum()
}

#[test]
fn orders_are_answered_without_faults() {
    for naming in NAMINGS {
        let count = seeds(2);
        let done = all((0..count).map(|seed| history(naming, Vec::new(), seed, 4_000)));
        assert_eq!(done as u64, count * ORDERS, "{naming:?}");
    }
}

#[test]
fn orders_run_at_most_once_under_each_fault() {
    for seed in 0..seeds(1) {
        let single = |naming| FAULTS.map(|fault| history(naming, vec![fault], seed, PATIENCE_MS));
        all(NAMINGS.into_iter().flat_map(single));
    }
}

#[test]
fn orders_run_at_most_once_under_pairs_of_faults() {
    for seed in 0..seeds(1) {
        let pairs = FAULTS.iter().enumerate().flat_map(|(index, first)| {
            let rest = FAULTS[index..].iter().enumerate();
            rest.map(move |(step, second)| (index + step, vec![*first, *second]))
        });
        all(pairs.map(|(turn, pair)| {
            let naming = NAMINGS[(turn + seed as usize) % NAMINGS.len()];
            history(naming, pair, seed, PATIENCE_MS)
        }));
    }
}
