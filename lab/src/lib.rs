//! Stand-ins, load generation and experiments for shallotdeal.
//!
//! Real daemon processes run on loopback. The backend servers and callers are small stand-ins that
//! record their runs and the answers they received, so that guarantees can be checked from the
//! recorded history.

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
