//! Task that reads the configuration from the store.

use {
    crate::{
        clock::Clock,
        config::CONFIG_KEY,
        control::{
            election::Duty,
            enforced::Live,
            watcher::{Seen, Step, Watcher},
        },
        store::Store,
    },
    async_std::task,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    smol_str::SmolStr,
    std::{sync::Arc, time::Duration},
};

/// The view that duties are derived from.
pub trait Members: Send + Sync {
    /// Names of the live daemons of the own data centre, the own one included.
    fn members(&self) -> Vec<SmolStr>;
}

/// Reads the configuration as long as it is polled.
pub async fn run(
    own: SmolStr,
    store: Arc<dyn Store>,
    live: Arc<Live>,
    members: Arc<dyn Members>,
    clock: Arc<dyn Clock>,
    seed: u64,
) {
    let mut watcher = Watcher::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let names = members.members();
        let names = names.iter().map(SmolStr::as_str);
        let duty = Duty::of(&own, names, clock.now_unix_ms());
        match watcher.step(duty) {
            Step::Pause { pause_ms } => {
                task::sleep(Duration::from_millis(u64::from(pause_ms))).await;
            }
            Step::Watch { after, wait_ms } => {
                let result = store.watch(CONFIG_KEY, after, wait_ms).await;
                let failures = watcher.failures();
                take(watcher.answered(result, &mut rng), failures, &live);
            }
        }
    }
}

fn take(seen: Seen, failures: u32, live: &Live) {
    match seen {
        Seen::Config(config) => {
            live.offer(&config);
        }
        Seen::Empty => live.settle(),
        Seen::Unreadable(error) => tracing::error!(%error, "configuration not read"),
        Seen::Failed(error) if failures == 0 => tracing::warn!(%error, "store lost"),
        Seen::Same | Seen::Failed(_) => {}
    }
}
