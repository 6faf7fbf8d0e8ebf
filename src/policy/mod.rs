//! Decisions without I/O: each takes its input and the present time, and returns what to do.

pub mod admission;
pub mod bind;
pub mod circuit_breaker;
pub mod dedup;
pub mod drain;
pub mod ewma;
pub mod failures;
pub mod floor;
pub mod gate;
pub mod isolation;
pub mod limit;
pub mod outcome;
pub mod paths;
pub mod queue;
pub mod quota;
pub mod rate;
pub mod retry;
pub mod retry_budget;
pub mod shared_memory;
pub mod shed;
pub mod suspect;
pub mod ticket;
pub mod work;
