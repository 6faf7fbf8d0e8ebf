//! Supervisor tree: restarts, backoff, and failure of a parent after too many restarts.

use {
    async_std::task,
    futures::FutureExt,
    shallotdeal::{
        metrics::Metrics,
        supervisor::{RestartRules, Supervisor, TaskError},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
};

const RULES: RestartRules = RestartRules {
    first_backoff_ms: 1,
    max_backoff_ms: 4,
    max_restarts: 3,
    healthy_after_ms: 60_000,
};

type TaskResult = Result<(), TaskError>;

fn parent(metrics: &Arc<Metrics>) -> Supervisor {
    Supervisor::with_rules(Arc::clone(metrics), RULES)
}

async fn run(supervisor: Supervisor) -> TaskError {
    let timeout = Duration::from_secs(20);
    let ended = async_std::future::timeout(timeout, supervisor.run()).await;
    ended.expect("the parent gives up")
}

#[test]
fn a_child_that_keeps_failing_is_restarted_counted_and_given_up() {
    let metrics = Arc::new(Metrics::local());
    let starts = Arc::new(AtomicU32::new(0));
    let mut parent = parent(&metrics);
    let counted = Arc::clone(&starts);
    parent.add("failing", move || {
        counted.fetch_add(1, Ordering::SeqCst);
        async { Err(TaskError::new("failing", &"out of order")) }
    });
    parent.add("healthy", std::future::pending::<TaskResult>);
    let fault = task::block_on(run(parent));
    assert_eq!(fault, TaskError::new("failing", &"out of order"));
    assert_eq!(starts.load(Ordering::SeqCst), 4);
    assert_eq!(metrics.get("task.restart"), 3);
    assert_eq!(metrics.get("task.given_up"), 1);
}

#[test]
fn a_child_that_panics_or_ends_is_restarted_without_its_siblings() {
    let metrics = Arc::new(Metrics::local());
    let sibling_starts = Arc::new(AtomicU32::new(0));
    let mut parent = parent(&metrics);
    let counted = Arc::clone(&sibling_starts);
    parent.add("sibling", move || {
        counted.fetch_add(1, Ordering::SeqCst);
        std::future::pending::<TaskResult>()
    });
    let starts = AtomicU32::new(0);
    parent.add("faulty", move || {
        let start = starts.fetch_add(1, Ordering::SeqCst);
        async move {
            assert!(start > 1, "panics at first");
            Ok(())
        }
    });
    let fault = task::block_on(run(parent));
    assert_eq!(fault, TaskError::new("faulty", &"ended"));
    assert_eq!(metrics.get("task.restart"), 3);
    assert_eq!(sibling_starts.load(Ordering::SeqCst), 1);
}

#[test]
fn a_branch_that_gives_up_is_restarted_by_its_own_parent() {
    let metrics = Arc::new(Metrics::local());
    let starts = Arc::new(AtomicU32::new(0));
    let mut root = parent(&metrics);
    let (counted, shared) = (Arc::clone(&starts), Arc::clone(&metrics));
    root.add("branch", move || {
        let mut branch = parent(&shared);
        let counted = Arc::clone(&counted);
        branch.add("failing", move || {
            counted.fetch_add(1, Ordering::SeqCst);
            async { Err(TaskError::new("failing", &"out of order")) }
        });
        branch.run().map(Err)
    });
    assert_eq!(task::block_on(run(root)).task, "failing");
    assert_eq!(starts.load(Ordering::SeqCst), 16);
    assert_eq!(metrics.get("task.given_up"), 5);
}

#[test]
fn restarts_before_a_long_enough_run_are_not_counted() {
    let metrics = Arc::new(Metrics::local());
    let rules = RestartRules {
        healthy_after_ms: 0,
        ..RULES
    };
    let mut parent = Supervisor::with_rules(Arc::clone(&metrics), rules);
    parent.add("failing", || async {
        task::sleep(Duration::from_millis(1)).await;
        Err(TaskError::new("failing", &"out of order"))
    });
    task::block_on(async {
        let running = task::spawn_local(parent.run());
        while metrics.get("task.restart") < 10 {
            task::sleep(Duration::from_millis(1)).await;
        }
        running.cancel().await;
    });
    assert_eq!(metrics.get("task.given_up"), 0);
}

#[test]
fn the_backoff_doubles_up_to_its_maximum() {
    let rules = RestartRules::default();
    let backoffs_ms: Vec<_> = (1..=9).map(|n| rules.backoff(n).as_millis()).collect();
    assert_eq!(
        backoffs_ms,
        [50, 100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000]
    );
    assert_eq!(rules.backoff(u32::MAX).as_millis(), 5_000);
}
