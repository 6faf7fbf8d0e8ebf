//! Stand-ins, load and experiments for shallotdeal.
//!
//! Real daemon processes run on loopback; the backend servers and callers are small stand-ins that
//! record what they ran and what they were told, so that promises are checked from a history.

pub mod backend;
pub mod caller;
pub mod capacity;
pub mod client;
pub mod fleet;
pub mod forward;
pub mod history;
pub mod judge;
pub mod load;
pub mod network;
pub mod platform;
pub mod process;
pub mod record;
pub mod report;
pub mod round;
pub mod scenario;
pub mod slopes;
pub mod summary;
pub mod wire;
