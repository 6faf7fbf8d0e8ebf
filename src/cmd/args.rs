//! Definition of the command line.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Overload control layer for service call graphs.
    ///
    /// Exit codes: 0 success, 1 failure, 2 invalid arguments, settings or statements.
    cmd shallotdeal {
        /// Run the daemon beside a backend server.
        cmd daemon {
            /// Settings file.
            required --config config: PathBuf
        }
        /// Check a settings file and report all its errors.
        cmd check {
            /// Settings file.
            required file: PathBuf
        }
        /// Query a daemon or change the configuration, in the operators' language.
        cmd ask {
            /// Operators' address of a daemon.
            required --at at: SocketAddr
            /// Environment variable that holds the operators' token.
            optional --token-env token_env: String
            /// Read the statements from this file.
            optional --file file: PathBuf
            /// Print JSON.
            optional --json
            /// Statements, separated by semicolons.
            optional statements: String
        }
        /// Print the state of a daemon.
        cmd dump {
            /// Operators' address of the daemon.
            required address: SocketAddr
            /// Environment variable that holds the operators' token.
            optional --token-env token_env: String
            /// Print JSON.
            optional --json
        }
        /// Print the events of one request, collected from the log files of several daemons.
        cmd explain {
            /// Identifier of the request.
            required id: String
            /// Log files.
            repeated files: PathBuf
        }
    }
}
