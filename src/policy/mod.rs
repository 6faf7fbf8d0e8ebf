//! Decisions without I/O: input and the present time go in, verdicts come out.

pub mod gate;
pub mod limit;
pub mod paths;
pub mod queue;
pub mod retry;
pub mod shed;
pub mod work;
