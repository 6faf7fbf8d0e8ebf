//! Configuration: read from the store, changed there by compare-and-swap, and in force everywhere.

pub mod commit;
pub mod committer;
pub mod confirm;
pub mod election;
pub mod enforced;
pub mod load;
pub mod reader;
pub mod watcher;
