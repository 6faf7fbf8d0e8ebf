//! Tasks on the daemon's one thread.

use {
    async_std::task::{self, JoinHandle},
    futures::FutureExt,
    std::panic::AssertUnwindSafe,
};

/// Starts a task on the current thread; a panic ends only that task.
pub fn spawn(
    name: &'static str,
    work: impl Future<Output = ()> + 'static,
) -> JoinHandle<Result<(), Panicked>> {
    task::spawn_local(async move {
        let ended = AssertUnwindSafe(work).catch_unwind().await;
        ended.map_err(|_| {
            tracing::error!(task = name, "task panicked");
            Panicked { task: name }
        })
    })
}

/// A task that ended in a panic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Panicked {
    /// Name of the task.
    pub task: &'static str,
}
