//! Load and experiment tool for shallotdeal.

fn main() {}
