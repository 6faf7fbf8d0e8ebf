//! The daemon's one thread: its executor, its alarms and its clock.
//!
//! `async_std::task` and `async-io` keep a second thread that takes part in waiting for events, which
//! costs thread switches at each event on a VM with less than one core: half of all processor time on
//! the users' bench (docs/design/platform.md). The request path therefore runs an executor of its own
//! on tokio's event loop, which has one thread.

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

/// Resolution of alarms. Half the 50 ms by which callers may notice a late time-out.
const ALARM_TICK_MS: u64 = 20;

// Both are leaked: tasks that are left at the end of the thread use them while they are dropped.
thread_local! {
    static EXECUTOR: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    static ALARMS: &'static RefCell<BTreeMap<(u64, u64), Waker>> = Box::leak(Box::default());
    static NEXT_ALARM: Cell<u64> = const { Cell::new(0) };
}

/// Runs a future and all spawned tasks on the present thread until the future ends.
pub fn block_on<T>(main: impl Future<Output = T>) -> T {
    EXECUTOR.with(|executor| {
        let reactor = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the kernel gives an event queue");
        reactor.block_on(executor.run(async {
            let ticker = executor.spawn(tick());
            let ended = main.await;
            drop(ticker);
            ended
        }))
    })
}

/// Starts a task on the present thread; dropping the handle cancels it.
pub fn spawn<T: 'static>(work: impl Future<Output = T> + 'static) -> Task<T> {
    EXECUTOR.with(|executor| executor.spawn(work))
}

/// Starts a task that nobody waits for; a panic ends that task only and is logged.
pub fn detach(name: &'static str, work: impl Future<Output = ()> + 'static) {
    spawn(async move {
        if AssertUnwindSafe(work).catch_unwind().await.is_err() {
            tracing::error!(task = name, "task panicked");
        }
    })
    .detach();
}

/// Microseconds since boot, time in suspension included, so that a deadline passes while the VM
/// is suspended.
pub fn now_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Wall clock in milliseconds since the Unix epoch; it may jump.
pub fn now_unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Waits until the present time reaches `at_us`, to the resolution of the alarms.
pub fn until(at_us: u64) -> Alarm {
    Alarm { at_us, key: None }
}

/// Waits for a time span.
pub async fn sleep_ms(span_ms: u64) {
    until(now_us() + span_ms * 1_000).await;
}

/// Runs a future for at most a time span.
pub async fn within<T>(span_ms: u64, work: impl Future<Output = T>) -> Option<T> {
    let work = std::pin::pin!(work);
    match futures::future::select(work, until(now_us() + span_ms * 1_000)).await {
        futures::future::Either::Left((value, _)) => Some(value),
        futures::future::Either::Right(_) => None,
    }
}

/// Wait for a point in time; one timer of the reactor serves all of them.
#[derive(Debug)]
pub struct Alarm {
    at_us: u64,
    key: Option<(u64, u64)>,
}

impl Future for Alarm {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if now_us() >= self.at_us {
            return Poll::Ready(());
        }
        let key = *self.key.get_or_insert_with(|| {
            let id = NEXT_ALARM.get();
            NEXT_ALARM.set(id + 1);
            (0, id)
        });
        let key = (self.at_us, key.1);
        self.key = Some(key);
        alarms().insert(key, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Alarm {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            alarms().remove(&key);
        }
    }
}

fn alarms() -> RefMut<'static, BTreeMap<(u64, u64), Waker>> {
    ALARMS.with(|alarms| alarms.borrow_mut())
}

async fn tick() {
    loop {
        tokio::time::sleep(Duration::from_millis(ALARM_TICK_MS)).await;
        let now_us = now_us();
        let due = {
            let mut alarms = alarms();
            let later = alarms.split_off(&(now_us + 1, 0));
            std::mem::replace(&mut *alarms, later)
        };
        due.into_values().for_each(Waker::wake);
    }
}
