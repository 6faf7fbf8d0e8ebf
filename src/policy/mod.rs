//! Decisions without I/O: input and the present time go in, verdicts come out.

pub mod admission;
pub mod allowance;
pub mod alone;
pub mod bind;
pub mod drain;
pub mod floor;
pub mod gate;
pub mod limit;
pub mod once;
pub mod paths;
pub mod prospect;
pub mod queue;
pub mod recent;
pub mod retry;
pub mod shed;
pub mod suspect;
pub mod ticket;
pub mod verdict;
pub mod work;
