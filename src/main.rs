//! The `shallotdeal` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    shallotdeal::cmd::main()
}
