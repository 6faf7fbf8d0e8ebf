//! Single-threaded runtime of the daemon: executor, timers and clocks.
//!
//! `async_std::task` and `async-io` use a second thread to wait for events. On a VM with less than
//! one core, the thread switches at each event cost half of all processor time on the users' bench
//! (docs/design/platform.md). The request path therefore runs its own executor on tokio's event
//! loop, which uses one thread.

use {
    async_executor::{LocalExecutor, Task},
    futures::FutureExt,
    std::{
        cell::{Cell, RefCell, RefMut},
        collections::BTreeMap,
        panic::AssertUnwindSafe,
        pin::Pin,
        task::{Context, Poll, Waker},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Resolution of timers. Less than half of the 50 ms by which an answer may be late after a
/// timeout.
const TIMER_TICK_MS: u64 = 20;

// The executor and the timers are leaked, as tasks that remain at the end of the thread use them
// while they are dropped.
thread_local! {
    static EXECUTOR: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    static TIMERS: &'static RefCell<BTreeMap<(u64, u64), Waker>> = Box::leak(Box::default());
    static NEXT_TIMER: Cell<u64> = const { Cell::new(0) };
}

/// Runs a future and all spawned tasks on the current thread until the future completes.
pub fn block_on<T>(main: impl Future<Output = T>) -> T {
    EXECUTOR.with(|executor| {
        let reactor = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the event loop can be created");
        reactor.block_on(executor.run(async {
            let ticker = executor.spawn(tick());
            let ended = main.await;
            drop(ticker);
            ended
        }))
    })
}

/// Spawns a task on the current thread; dropping the handle cancels it.
pub fn spawn<T: 'static>(work: impl Future<Output = T> + 'static) -> Task<T> {
    EXECUTOR.with(|executor| executor.spawn(work))
}

/// Spawns a detached task. A panic ends only this task and is logged.
pub fn detach(name: &'static str, work: impl Future<Output = ()> + 'static) {
    spawn(async move {
        if AssertUnwindSafe(work).catch_unwind().await.is_err() {
            tracing::error!(task = name, "task panicked");
        }
    })
    .detach();
}

/// Microseconds since boot, including time in suspension, so that deadlines expire while the VM is
/// suspended.
pub fn now_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Wall clock in milliseconds since the Unix epoch; not monotonic.
pub fn now_unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Waits until [`now_us`] reaches `at_us`, to the resolution of the timers.
pub fn sleep_until(at_us: u64) -> Timer {
    Timer { at_us, key: None }
}

/// Waits for a duration.
pub async fn sleep_ms(span_ms: u64) {
    sleep_until(now_us() + span_ms * 1_000).await;
}

/// Runs a future for at most a duration; returns `None` if it has not completed by then.
pub async fn within<T>(span_ms: u64, work: impl Future<Output = T>) -> Option<T> {
    let work = std::pin::pin!(work);
    match futures::future::select(work, sleep_until(now_us() + span_ms * 1_000)).await {
        futures::future::Either::Left((value, _)) => Some(value),
        futures::future::Either::Right(_) => None,
    }
}

/// Timer future; one timer of the reactor drives all of them.
#[derive(Debug)]
pub struct Timer {
    at_us: u64,
    key: Option<(u64, u64)>,
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if now_us() >= self.at_us {
            return Poll::Ready(());
        }
        let key = *self.key.get_or_insert_with(|| {
            let id = NEXT_TIMER.get();
            NEXT_TIMER.set(id + 1);
            (0, id)
        });
        let key = (self.at_us, key.1);
        self.key = Some(key);
        timers().insert(key, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            timers().remove(&key);
        }
    }
}

fn timers() -> RefMut<'static, BTreeMap<(u64, u64), Waker>> {
    TIMERS.with(|timers| timers.borrow_mut())
}

async fn tick() {
    loop {
        tokio::time::sleep(Duration::from_millis(TIMER_TICK_MS)).await;
        let now_us = now_us();
        let due = {
            let mut timers = timers();
            let later = timers.split_off(&(now_us + 1, 0));
            std::mem::replace(&mut *timers, later)
        };
        due.into_values().for_each(Waker::wake);
    }
}
