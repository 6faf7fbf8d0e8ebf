//! Supervisor tree: each long-running task has a parent that restarts it with backoff and counts
//! the restarts. After too many of them the parent itself fails, and its own parent restarts it.

use {
    crate::metrics::Metrics,
    async_io::Timer,
    async_std::task,
    derive_more::{Display, Error},
    futures::{
        FutureExt,
        future::{LocalBoxFuture, select_all},
    },
    smol_str::{SmolStr, ToSmolStr},
    std::{panic::AssertUnwindSafe, sync::Arc, time::Duration},
};

/// When a failed task is restarted, and when its parent gives up.
#[derive(Debug, Clone, Copy)]
pub struct RestartRules {
    /// Delay before the first restart; it doubles with each further one.
    pub first_backoff_ms: u64,
    /// Maximum delay before a restart.
    pub max_backoff_ms: u64,
    /// Consecutive restarts after which a parent gives up.
    pub max_restarts: u32,
    /// Run time after which earlier restarts of a task no longer count.
    pub healthy_after_ms: u64,
}

impl Default for RestartRules {
    fn default() -> Self {
        Self {
            first_backoff_ms: 50,
            max_backoff_ms: 5_000,
            max_restarts: 10,
            healthy_after_ms: 30_000,
        }
    }
}

impl RestartRules {
    /// Delay before the restart of this number, counted from one.
    pub fn backoff(&self, restarts: u32) -> Duration {
        let doubled_ms = self.first_backoff_ms << restarts.saturating_sub(1).min(16);
        Duration::from_millis(doubled_ms.min(self.max_backoff_ms))
    }
}

/// Failure of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("task {task}: {detail}")]
pub struct TaskError {
    /// Name of the task.
    pub task: &'static str,
    /// Cause.
    pub detail: SmolStr,
}

impl TaskError {
    /// Wraps the cause of a task's failure.
    pub fn new(task: &'static str, cause: &dyn std::fmt::Display) -> Self {
        Self {
            task,
            detail: cause.to_smolstr(),
        }
    }
}

/// Function that starts a task, called for each restart.
pub type TaskFactory = Box<dyn Fn() -> LocalBoxFuture<'static, Result<(), TaskError>>>;

/// Parent of long-running tasks.
pub struct Supervisor {
    metrics: Arc<Metrics>,
    rules: RestartRules,
    children: Vec<(&'static str, TaskFactory)>,
}

impl Supervisor {
    /// Creates a parent without children.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self::with_rules(metrics, RestartRules::default())
    }

    /// Creates a parent without children that uses these restart rules.
    pub fn with_rules(metrics: Arc<Metrics>, rules: RestartRules) -> Self {
        Self {
            metrics,
            rules,
            children: Vec::new(),
        }
    }

    /// Adds a child.
    pub fn add<F, T>(&mut self, name: &'static str, start: F)
    where
        F: Fn() -> T + 'static,
        T: Future<Output = Result<(), TaskError>> + 'static,
    {
        self.children
            .push((name, Box::new(move || start().boxed_local())));
    }

    /// Runs all children on the current thread until one of them has failed too often; cancels the
    /// others.
    pub async fn run(self) -> TaskError {
        let (metrics, rules) = (self.metrics, self.rules);
        let running: Vec<_> = self
            .children
            .into_iter()
            .map(|(name, start)| {
                task::spawn_local(run_restarting(name, start, rules, Arc::clone(&metrics)))
            })
            .collect();
        if running.is_empty() {
            return TaskError::new("supervisor", &"no children");
        }
        let (fault, _, others) = select_all(running).await;
        for other in others {
            other.cancel().await;
        }
        fault
    }
}

async fn run_restarting(
    name: &'static str,
    start: TaskFactory,
    rules: RestartRules,
    metrics: Arc<Metrics>,
) -> TaskError {
    let mut restarts = 0;
    loop {
        let started = std::time::Instant::now();
        let ended = AssertUnwindSafe(start()).catch_unwind().await;
        let fault = match ended {
            Ok(Ok(())) => TaskError::new(name, &"ended"),
            Ok(Err(fault)) => fault,
            Err(_) => TaskError::new(name, &"panicked"),
        };
        if started.elapsed() > Duration::from_millis(rules.healthy_after_ms) {
            restarts = 0;
        }
        restarts += 1;
        if restarts > rules.max_restarts {
            metrics.count("task.given_up");
            tracing::error!(task = name, %fault, "task given up");
            return fault;
        }
        metrics.count("task.restart");
        tracing::warn!(task = name, %fault, restarts, "task restarted");
        Timer::after(rules.backoff(restarts)).await;
    }
}
