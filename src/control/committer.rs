//! Carries operators' changes into the store and waits until they are in force.

use {
    crate::{
        clock::Clock,
        config::{CONFIG_KEY, Config, Proposal, Revision},
        control::{
            commit::{Commit, CommitError, Step},
            confirm::{CONFIRM_PAUSE_MS, Confirm, Confirmations, Standing},
            enforced::Live,
        },
        store::Store,
    },
    async_std::task,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        fmt::{self, Debug, Formatter},
        sync::Arc,
        time::Duration,
    },
};

/// What an operator is told of a change that is in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Receipt {
    /// Identity of the change.
    pub id: SmolStr,
    /// Revision that it made.
    pub revision: Revision,
    /// How far it has come.
    #[serde(flatten)]
    pub standing: Standing,
}

/// Committer of one daemon.
pub struct Committer {
    store: Arc<dyn Store>,
    live: Arc<Live>,
    confirmations: Arc<dyn Confirmations>,
    clock: Arc<dyn Clock>,
}

impl Committer {
    /// Creates a committer.
    pub fn new(
        store: Arc<dyn Store>,
        live: Arc<Live>,
        confirmations: Arc<dyn Confirmations>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            store,
            live,
            confirmations,
            clock,
        }
    }

    /// Stores a change and waits for its confirmations, for a bounded time.
    pub async fn commit(&self, proposal: Proposal) -> Result<Receipt, CommitError> {
        let id = proposal.id.clone();
        let config = self.store(proposal).await?;
        self.live.offer(&config);
        let revision = config
            .change(&id)
            .map_or(config.revision, |change| change.revision);
        let standing = self.confirm(revision).await;
        tracing::info!(change = %id, %revision, %standing, "configuration changed");
        Ok(Receipt {
            id,
            revision,
            standing,
        })
    }

    async fn store(&self, proposal: Proposal) -> Result<Arc<Config>, CommitError> {
        let mut commit = Commit::new(proposal, self.live.config(), self.clock.now_unix_ms());
        let mut step = commit.start();
        loop {
            step = match step {
                Step::Read => {
                    let result = self.store.get(CONFIG_KEY).await;
                    commit.read(result, self.clock.now_us())
                }
                Step::Write { expected, value } => {
                    let result = self.store.swap(CONFIG_KEY, expected, value, None).await;
                    commit.written(result, self.clock.now_us())
                }
                Step::Pause { pause_ms } => {
                    pause(pause_ms).await;
                    commit.paused()
                }
                Step::Done(result) => return result,
            };
        }
    }

    async fn confirm(&self, revision: Revision) -> Standing {
        let confirm = Confirm::new(revision, self.clock.now_us());
        loop {
            let now_us = self.clock.now_us();
            if let Some(standing) = confirm.poll(self.confirmations.as_ref(), now_us) {
                return standing;
            }
            pause(CONFIRM_PAUSE_MS).await;
        }
    }
}

impl Debug for Committer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Committer")
            .field("live", &self.live)
            .finish_non_exhaustive()
    }
}

async fn pause(pause_ms: u32) {
    task::sleep(Duration::from_millis(u64::from(pause_ms))).await;
}
