//! Overload control layer for service call graphs.
//!
//! One daemon runs beside each backend server. Decisions are state machines in [`policy`] that do
//! no I/O and take the present time as an argument; sockets, timers and tasks live around them.

pub mod backend;
pub mod call;
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub, unused_qualifications)]
#[rustfmt::skip]
pub mod call_capnp;
pub mod clock;
pub mod collections;
pub mod config;
pub mod control;
pub mod ingress;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod place;
pub mod policy;
pub mod request;
pub mod rpc;
pub mod settings;
pub mod store;
pub mod supervisor;
pub mod worker;
