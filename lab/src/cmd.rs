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
    /// Stand-ins, load generation and experiments for shallotdeal.
    cmd lab {
        /// Runs one stand-in backend server until it is killed or its daemon stops it.
        cmd backend {
            /// Scenario file that describes the service.
            required --scenario file: PathBuf
            /// Service to run.
            required --service name: String
            /// Name of the worker in its records.
            optional --worker name: String
            /// Address on which it accepts calls.
            required --listen address: SocketAddr
            /// Worker address of its daemon, for announcements.
            optional --announce address: SocketAddr
            /// Callers address of its daemon, for nested calls.
            optional --callers address: SocketAddr
            /// Seed of its service times.
            optional --seed seed: u64
        }
        /// Sends the open-loop load of a scenario to daemons and prints the results.
        cmd call {
            /// Scenario file that describes the loads.
            required --scenario file: PathBuf
            /// Callers address of a daemon; may be given more than once.
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
        /// Runs a scenario with real daemons, under the policy and under the baseline policy.
        cmd run {
            /// Scenario file.
            required file: PathBuf
            /// Binary of the daemon; by default the one next to this binary.
            optional --daemon file: PathBuf
            /// Number of rounds of each policy, in alternating order.
            optional --rounds count: u32
            /// Do not run the baseline.
            optional --no-baseline
            /// Run only the baseline.
            optional --baseline-only
            /// Give each daemon its own store in memory instead of a shared one.
            optional --memory
            /// Second octet of the IP addresses; the next number is used as well.
            optional --net number: u8
            /// Factor of all surges, instead of the scenario's.
            optional --surge factor: f64
            /// Directory for the requests and runs of each round, as lines of JSON.
            optional --history directory: PathBuf
            /// Keep the daemons' settings and logs.
            optional --keep-logs
            /// Print JSON.
            optional --json
        }
        /// Compares calls through two daemons with direct calls to the backend server.
        cmd overhead {
            /// Scenario file; its first service is called through the daemon of its last worker.
            required file: PathBuf
            /// Binary of the daemon; by default the one next to this binary.
            optional --daemon file: PathBuf
            /// Second octet of the IP addresses.
            optional --net number: u8
            /// Print JSON.
            optional --json
        }
        /// Measures costs that grow with the fleet and its load, and writes the data file.
        cmd slopes {
            /// Data file; `docs/capacity/slopes.json` by default.
            optional --out file: PathBuf
            /// Binary of the daemon; by default the one next to this binary.
            optional --daemon file: PathBuf
            /// Second octet of the IP addresses.
            optional --net number: u8
            /// Only copy the added latency from this output of `lab overhead --json` to the data file.
            optional --overhead file: PathBuf
            /// Only print the memory of one kind of state, in bytes.
            optional --state kind: String
            /// Number of records of that state.
            optional --count count: u64
        }
        /// Measures how fast changes reach a fleet of daemons, and its costs while idle.
        cmd fleet {
            /// Number of daemons.
            required --daemons count: usize
            /// Number of data centres that they are spread over; 2 by default.
            optional --data-centres count: usize
            /// Binary of the daemon; by default the one next to this binary.
            optional --daemon file: PathBuf
            /// Second octet of the IP addresses; 70 by default.
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
            /// Do not write the page; fail if it is not up to date.
            optional --check
        }
    }
}

/// Parses the command line and runs the subcommand.
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
