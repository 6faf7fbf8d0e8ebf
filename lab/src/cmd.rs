//! Command line of the lab.

mod backend;
mod call;

use {
    std::{net::SocketAddr, path::PathBuf, process::ExitCode},
    xflags::xflags,
};

xflags! {
    /// Stand-ins, load and experiments for shallotdeal.
    cmd lab {
        /// Runs one stand-in backend server until it is killed or released.
        cmd backend {
            /// Scenario file that describes the service.
            required --scenario file: PathBuf
            /// Service to run.
            required --service name: String
            /// Name of the worker in its records.
            optional --worker name: String
            /// Address on which it takes calls.
            required --listen address: SocketAddr
            /// Worker address of its daemon.
            optional --announce address: SocketAddr
            /// Callers' address of its daemon, for nested calls.
            optional --callers address: SocketAddr
            /// Seed of its service times.
            optional --seed seed: u64
        }
        /// Sends open-loop load of a scenario's loads to daemons and prints what came back.
        cmd call {
            /// Scenario file that describes the loads.
            required --scenario file: PathBuf
            /// Callers' address of a daemon; may be given more than once.
            repeated --daemon address: SocketAddr
            /// Send only this load.
            optional --load name: String
            /// Duration of the load in seconds.
            optional --seconds seconds: u64
            /// Send orders without tickets.
            optional --no-tickets
            /// Print each request as one line of JSON.
            optional --records
        }
    }
}

/// Parses the command line and runs what it names.
pub(crate) fn run() -> ExitCode {
    let flags = Lab::from_env_or_exit();
    let result = match flags.subcommand {
        LabCmd::Backend(flags) => backend::run(flags),
        LabCmd::Call(flags) => call::run(&flags),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lab: {error}");
            ExitCode::FAILURE
        }
    }
}
