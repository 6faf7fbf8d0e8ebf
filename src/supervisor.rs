//! Supervisor tree: each long task has a parent that restarts it with backoff, counts it, and gives
//! up upwards.

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

/// First wait before a restart.
const FIRST_BACKOFF_MS: u64 = 50;

/// Longest wait before a restart.
const MAX_BACKOFF_MS: u64 = 5_000;

/// Restarts in a row after which a parent gives up.
const MAX_RESTARTS: u32 = 10;

/// Run time after which a task counts as healthy again.
const HEALTHY_AFTER_MS: u64 = 30_000;

/// Failure of a task.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
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

/// Way to start a task, again and again.
pub type Start = Box<dyn Fn() -> LocalBoxFuture<'static, Result<(), TaskError>>>;

/// Parent of long tasks.
pub struct Supervisor {
    metrics: Arc<Metrics>,
    children: Vec<(&'static str, Start)>,
}

impl Supervisor {
    /// Creates a parent without children.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
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

    /// Runs all children on the present thread until one of them cannot be kept running.
    pub async fn run(self) -> TaskError {
        let metrics = self.metrics;
        let running: Vec<_> = self
            .children
            .into_iter()
            .map(|(name, start)| task::spawn_local(keep(name, start, Arc::clone(&metrics))))
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

async fn keep(name: &'static str, start: Start, metrics: Arc<Metrics>) -> TaskError {
    let mut restarts = 0;
    loop {
        let started = std::time::Instant::now();
        let ended = AssertUnwindSafe(start()).catch_unwind().await;
        let fault = match ended {
            Ok(Ok(())) => TaskError::new(name, &"ended"),
            Ok(Err(fault)) => fault,
            Err(_) => TaskError::new(name, &"panicked"),
        };
        if started.elapsed() > Duration::from_millis(HEALTHY_AFTER_MS) {
            restarts = 0;
        }
        restarts += 1;
        metrics.count("task.restart");
        if restarts > MAX_RESTARTS {
            tracing::error!(task = name, %fault, "task given up");
            return fault;
        }
        tracing::warn!(task = name, %fault, restarts, "task restarted");
        Timer::after(backoff(restarts)).await;
    }
}

/// Wait before the restart of this number.
fn backoff(restarts: u32) -> Duration {
    let doubled_ms = FIRST_BACKOFF_MS << restarts.saturating_sub(1).min(16);
    Duration::from_millis(doubled_ms.min(MAX_BACKOFF_MS))
}
