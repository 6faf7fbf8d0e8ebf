//! Task that reads the configuration from the store and enforces it.

use {
    crate::{
        clock::Clock,
        config::CONFIG_KEY,
        control::{
            election::ReaderRole,
            enforced::LiveConfig,
            watcher::{Step, WatchOutcome, Watcher},
        },
        store::Store,
    },
    async_std::task,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    smol_str::SmolStr,
    std::{sync::Arc, time::Duration},
};

/// Membership view from which the daemons' roles are derived.
pub trait Members: Send + Sync {
    /// Names of the live daemons of this daemon's data centre, including its own.
    fn members(&self) -> Vec<SmolStr>;
}

/// Reads the configuration until the future is dropped.
pub async fn run(
    own: SmolStr,
    store: Arc<dyn Store>,
    live: Arc<LiveConfig>,
    members: Arc<dyn Members>,
    clock: Arc<dyn Clock>,
    seed: u64,
) {
    let mut watcher = Watcher::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let names = members.members();
        let names = names.iter().map(SmolStr::as_str);
        let role = ReaderRole::of(&own, names, clock.now_unix_ms());
        match watcher.step(role) {
            Step::Pause { pause_ms } => {
                task::sleep(Duration::from_millis(u64::from(pause_ms))).await;
            }
            Step::Watch { after, wait_ms } => {
                let result = store.watch(CONFIG_KEY, after, wait_ms).await;
                let failures = watcher.failures();
                apply(watcher.on_response(result, &mut rng), failures, &live);
            }
        }
    }
}

fn apply(outcome: WatchOutcome, failures: u32, live: &LiveConfig) {
    match outcome {
        WatchOutcome::Config(config) => {
            live.offer(&config);
        }
        WatchOutcome::Empty => live.mark_authoritative(),
        WatchOutcome::Unreadable(error) => {
            tracing::error!(%error, "stored configuration cannot be decoded");
        }
        WatchOutcome::Failed(error) if failures == 0 => tracing::warn!(%error, "store lost"),
        WatchOutcome::Unchanged | WatchOutcome::Failed(_) => {}
    }
}
