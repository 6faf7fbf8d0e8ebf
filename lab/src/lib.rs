//! Stand-ins and load for shallotdeal.

pub mod platform;
