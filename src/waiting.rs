//! Queued work that waits for a gate's decision.

use {
    crate::{
        collections::HashMap,
        policy::gate::{Action, WorkKey},
        request::Refusal,
    },
    futures::channel::oneshot,
};

/// Receives the gate's decision on one piece of work.
pub type DecisionReceiver = oneshot::Receiver<Result<(), Refusal>>;

/// Senders of the decisions on the work queued at one gate.
#[derive(Debug, Default)]
pub struct GateWaiters {
    by_key: HashMap<WorkKey, oneshot::Sender<Result<(), Refusal>>>,
}

impl GateWaiters {
    /// Registers queued work and returns the receiver of its decision.
    pub fn register(&mut self, key: WorkKey) -> DecisionReceiver {
        let (sender, receiver) = oneshot::channel();
        self.by_key.insert(key, sender);
        receiver
    }

    /// Removes work that no longer waits.
    pub fn remove(&mut self, key: WorkKey) {
        self.by_key.remove(&key);
    }

    /// Sends the gate's decisions to the queued work.
    pub fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (key, verdict) = match action {
                Action::Start(key) => (key, Ok(())),
                Action::Refuse(key, refusal) => (key, Err(refusal)),
            };
            if let Some(sender) = self.by_key.remove(&key) {
                // Work that was cancelled releases its slot when it is dropped.
                let _ = sender.send(verdict);
            }
        }
    }

    /// Number of pieces of waiting work.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Tells whether no work waits.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
