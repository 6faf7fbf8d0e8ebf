//! Commits operators' changes to the store and waits until they are in force.

use {
    crate::{
        clock::Clock,
        config::{CONFIG_KEY, Config, Proposal, Revision},
        control::{
            commit::{Commit, CommitError, Step},
            confirm::{CONFIRM_PAUSE_MS, ChangeStatus, ConfirmationWait, Confirmations},
            enforced::LiveConfig,
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

/// Answer to an operator whose change was stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Receipt {
    /// Identifier of the change.
    pub id: SmolStr,
    /// Revision that the change made.
    pub revision: Revision,
    /// Whether the change is in force at every live daemon.
    #[serde(flatten)]
    pub status: ChangeStatus,
}

/// Committer of one daemon.
pub struct Committer {
    store: Arc<dyn Store>,
    live: Arc<LiveConfig>,
    confirmations: Arc<dyn Confirmations>,
    clock: Arc<dyn Clock>,
}

impl Committer {
    /// Creates a committer.
    pub fn new(
        store: Arc<dyn Store>,
        live: Arc<LiveConfig>,
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

    /// Stores a change and waits, for a bounded time, until all live daemons have confirmed it.
    ///
    /// # Errors
    ///
    /// Fails if the change was not stored, or is not known to be.
    pub async fn commit(&self, proposal: Proposal) -> Result<Receipt, CommitError> {
        let id = proposal.id.clone();
        let config = self.store_change(proposal).await?;
        self.live.offer(&config);
        let revision = config
            .change(&id)
            .map_or(config.revision, |change| change.revision);
        let status = self.wait_for_confirmations(revision).await;
        tracing::info!(change = %id, %revision, standing = %status, "configuration changed");
        Ok(Receipt {
            id,
            revision,
            status,
        })
    }

    async fn store_change(&self, proposal: Proposal) -> Result<Arc<Config>, CommitError> {
        let mut commit = Commit::new(proposal, self.live.config(), self.clock.now_unix_ms());
        let mut step = commit.start();
        loop {
            step = match step {
                Step::Read => {
                    let result = self.store.get(CONFIG_KEY).await;
                    commit.on_read(result, self.clock.now_us())
                }
                Step::Write { expected, value } => {
                    let result = self.store.swap(CONFIG_KEY, expected, value, None).await;
                    commit.on_write(result, self.clock.now_us())
                }
                Step::Pause { pause_ms } => {
                    pause(pause_ms).await;
                    commit.on_pause_end()
                }
                Step::Done(result) => return result,
            };
        }
    }

    async fn wait_for_confirmations(&self, revision: Revision) -> ChangeStatus {
        let wait = ConfirmationWait::new(revision, self.clock.now_us());
        loop {
            let now_us = self.clock.now_us();
            if let Some(status) = wait.poll(self.confirmations.as_ref(), now_us) {
                return status;
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
