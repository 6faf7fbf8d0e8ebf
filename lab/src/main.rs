//! The `lab` binary.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run()
}
