//! The `shallotdeal` binary.

fn main() {}
