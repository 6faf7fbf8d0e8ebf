//! Overload control layer for service call graphs.
//!
//! One daemon runs beside each backend server. Decisions are state machines in [`policy`] that do
//! no I/O and take the present time as an argument; sockets, timers and tasks live around them.

pub mod ask;
pub mod clock;
pub mod collections;
pub mod config;
pub mod control;
pub mod place;
pub mod policy;
pub mod request;
pub mod store;
