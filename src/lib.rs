//! Overload control layer for service call graphs.
//!
//! One daemon runs beside each backend server. Decisions are state machines in [`policy`] that do
//! no I/O and take the present time as an argument; sockets, timers and tasks live around them.

pub mod announce;
pub mod ask;
pub mod backend;
pub mod call;
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub, reason = "generated code")]
#[rustfmt::skip]
pub mod call_capnp;
pub mod clock;
pub mod cmd;
pub mod collections;
pub mod config;
pub mod connection;
pub mod control;
pub mod daemon;
pub mod directory;
pub mod dump;
pub mod entry;
pub mod explain;
pub mod fleet;
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub, reason = "generated code")]
#[rustfmt::skip]
pub mod fleet_capnp;
pub mod forward;
pub mod framed;
pub mod ingress;
pub mod local;
pub mod logs;
pub mod mesh;
pub mod metrics;
pub mod net;
pub mod node;
pub mod operators;
pub mod order;
pub mod place;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod policy;
pub mod request;
pub mod rpc;
pub mod serve;
pub mod settings;
pub mod spawn;
pub mod store;
pub mod supervisor;
pub mod sync;
pub mod tasks;
pub mod trace;
pub mod view;
pub mod waiting;
pub mod worker;
