//! Overload control layer for service call graphs.
//!
//! One daemon runs beside each backend server. The state machines in [`policy`] make the
//! decisions; they do no I/O and take the current time as an argument. The other modules run the
//! sockets, timers and tasks.

pub mod announce;
pub mod ask;
pub mod backend;
pub mod binding;
pub mod call;
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub, reason = "generated code")]
#[rustfmt::skip]
pub mod call_capnp;
pub mod chunks;
pub mod clock;
pub mod cmd;
pub mod collections;
pub mod config;
pub mod connection;
pub mod control;
pub mod daemon;
pub mod directory;
pub mod dump;
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
pub mod place;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod policy;
pub mod request;
pub mod response;
pub mod rpc;
pub mod serve;
pub mod settings;
pub mod spawn;
pub mod store;
pub mod supervisor;
pub mod sync;
pub mod tasks;
pub mod trace;
pub mod validation;
pub mod view;
pub mod waiting;
pub mod worker;
