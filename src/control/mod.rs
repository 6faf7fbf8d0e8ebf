//! Control of the configuration: reads and changes it in the store, and enforces it at each daemon.

pub mod commit;
pub mod committer;
pub mod confirm;
pub mod election;
pub mod enforced;
pub mod load;
pub mod reader;
pub mod watcher;
