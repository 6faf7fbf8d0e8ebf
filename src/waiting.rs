//! Work that waits for a gate's decision.

use {
    crate::{
        collections::HashMap,
        policy::gate::{Action, WorkKey},
        request::Refusal,
    },
    futures::channel::oneshot,
};

/// Wait for the decision on one piece of work.
pub type Waiter = oneshot::Receiver<Result<(), Refusal>>;

/// Work that waits in the queue of one gate.
#[derive(Debug, Default)]
pub struct Waiting {
    by_key: HashMap<WorkKey, oneshot::Sender<Result<(), Refusal>>>,
}

impl Waiting {
    /// Waits for the gate's decision on queued work.
    pub fn wait(&mut self, key: WorkKey) -> Waiter {
        let (sender, receiver) = oneshot::channel();
        self.by_key.insert(key, sender);
        receiver
    }

    /// Forgets that work waits.
    pub fn forget(&mut self, key: WorkKey) {
        self.by_key.remove(&key);
    }

    /// Tells queued work what the gate decided.
    pub fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (key, verdict) = match action {
                Action::Start(key) => (key, Ok(())),
                Action::Refuse(key, refusal) => (key, Err(refusal)),
            };
            if let Some(waiting) = self.by_key.remove(&key) {
                // A receiver that has gone away gives its slot back by itself.
                let _ = waiting.send(verdict);
            }
        }
    }

    /// Number of pieces of work that wait.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
