//! Command line of the lab.

mod backend;
mod call;
mod capacity;
mod fleet;
mod overhead;
mod run;
mod slopes;

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
        /// Runs a scenario with real daemons, under the policy and under the baseline.
        cmd run {
            /// Scenario file.
            required file: PathBuf
            /// Binary of the daemon; beside this one by default.
            optional --daemon file: PathBuf
            /// Rounds of each policy, in alternating order.
            optional --rounds count: u32
            /// Leave out the baseline.
            optional --no-baseline
            /// Run the baseline alone.
            optional --baseline-only
            /// Let each daemon keep its own store in memory.
            optional --memory
            /// Second part of the IP numbers that are used, and the next one.
            optional --net number: u8
            /// Factor of all surges, in place of the scenario's.
            optional --surge factor: f64
            /// Write each round's requests and runs as lines of JSON into this directory.
            optional --history directory: PathBuf
            /// Keep the daemons' settings and logs.
            optional --keep-logs
            /// Print JSON.
            optional --json
        }
        /// Compares a call through two daemons with the same call straight to the backend server.
        cmd overhead {
            /// Scenario file; its first service is called through the daemon of its last worker.
            required file: PathBuf
            /// Binary of the daemon; beside this one by default.
            optional --daemon file: PathBuf
            /// Second part of the IP numbers that are used.
            optional --net number: u8
            /// Print JSON.
            optional --json
        }
        /// Measures what grows with the fleet and its load, and writes the data file.
        cmd slopes {
            /// Data file; `docs/capacity/slopes.json` by default.
            optional --out file: PathBuf
            /// Binary of the daemon; beside this one by default.
            optional --daemon file: PathBuf
            /// Second part of the IP numbers that are used.
            optional --net number: u8
            /// Only take added latency into the data file, from this output of `lab overhead --json`.
            optional --overhead file: PathBuf
            /// Print the bytes of one kind of state and do nothing else.
            optional --state kind: String
            /// Records of that state.
            optional --count count: u64
        }
        /// Measures how fast a fleet of daemons learns of changes, and what it costs at rest.
        cmd fleet {
            /// Daemons of the fleet.
            required --daemons count: usize
            /// Data centres that they are spread over; 2 by default.
            optional --data-centres count: usize
            /// Binary of the daemon; beside this one by default.
            optional --daemon file: PathBuf
            /// Second part of the IP numbers that are used; 70 by default.
            optional --net number: u8
            /// Print JSON.
            optional --json
        }
        /// Writes the tables of the capacity page from the data file.
        cmd capacity {
            /// Data file; `docs/capacity/slopes.json` by default.
            optional --data file: PathBuf
            /// Page; `docs/CAPACITY.md` by default.
            optional --page file: PathBuf
            /// Change nothing; fail if the page is not up to date.
            optional --check
        }
    }
}

/// Parses the command line and runs what it names.
pub(crate) fn run() -> ExitCode {
    let flags = Lab::from_env_or_exit();
    let result = match flags.subcommand {
        LabCmd::Backend(flags) => backend::run(flags),
        LabCmd::Call(flags) => call::run(&flags),
        LabCmd::Run(flags) => run::run(&flags),
        LabCmd::Overhead(flags) => overhead::run(&flags),
        LabCmd::Slopes(flags) => slopes::run(&flags),
        LabCmd::Fleet(flags) => fleet::run(&flags),
        LabCmd::Capacity(flags) => capacity::run(&flags),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lab: {error}");
            ExitCode::FAILURE
        }
    }
}
