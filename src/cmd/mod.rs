//! Subcommands, one file each.

#[allow(missing_docs)]
mod args;
mod ask;
mod check;
mod daemon;
mod dump;
mod explain;

pub use args::{Shallotdeal, ShallotdealCmd};

use {
    crate::{
        mesh::{self, settings::MeshSettings},
        settings::{Settings, SettingsErrors},
    },
    derive_more::{Display, Error, From},
    smol_str::SmolStr,
    std::{path::Path, process::ExitCode},
};

/// Exit code for invalid settings, arguments or statements.
pub const EXIT_INVALID_INPUT: u8 = 2;

/// Exit code for all other failures.
pub const EXIT_FAILED: u8 = 1;

/// Subcommand.
pub trait Run {
    /// Runs the subcommand to completion.
    ///
    /// # Errors
    ///
    /// Fails with the error to print to the user.
    fn run(&self) -> Result<(), CommandError>;
}

/// Failure of a subcommand.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum CommandError {
    /// A file could not be read.
    #[display("read {path}: {error}")]
    #[from(skip)]
    File {
        /// Path as given on the command line.
        path: SmolStr,
        /// Cause.
        #[error(source)]
        error: std::io::Error,
    },
    /// The settings are invalid.
    #[display("{_0}")]
    Settings(SettingsErrors),
    /// A request to a daemon failed.
    #[display("{step} {peer}: {detail}")]
    #[from(skip)]
    Peer {
        /// Step that failed.
        step: &'static str,
        /// Address of the daemon.
        peer: SmolStr,
        /// Cause.
        detail: String,
    },
    /// Statements were refused; nothing was changed.
    #[display("{detail}")]
    #[from(skip)]
    Refused {
        /// Description of the error.
        #[error(not(source))]
        detail: String,
    },
    /// No log line mentions the request.
    #[display("{_0}")]
    RequestNotFound(crate::explain::NotFound),
    /// A task of the daemon could not be kept running.
    #[display("{_0}")]
    Task(crate::supervisor::TaskError),
}

impl CommandError {
    /// Exit code for this failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::Refused { .. } => EXIT_INVALID_INPUT,
            _ => EXIT_FAILED,
        }
    }
}

impl Run for Shallotdeal {
    fn run(&self) -> Result<(), CommandError> {
        match &self.subcommand {
            ShallotdealCmd::Daemon(cmd) => cmd.run(),
            ShallotdealCmd::Check(cmd) => cmd.run(),
            ShallotdealCmd::Ask(cmd) => cmd.run(),
            ShallotdealCmd::Dump(cmd) => cmd.run(),
            ShallotdealCmd::Explain(cmd) => cmd.run(),
        }
    }
}

/// Parses the arguments, runs the subcommand and returns its exit code.
pub fn main() -> ExitCode {
    if std::env::args()
        .nth(1)
        .is_some_and(|arg| arg == "--version" || arg == "-V")
    {
        println!("shallotdeal {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let parsed = Shallotdeal::from_env_or_exit();
    match parsed.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shallotdeal: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Settings of either mode of the daemon.
enum AnySettings {
    /// Daemon of the project's own mesh, which gossips and accepts operators' changes.
    Standalone(Box<Settings>),
    /// Daemon on the users' platform.
    Mesh(Box<MeshSettings>),
}

/// Reads and validates a settings file.
fn load(path: &Path) -> Result<AnySettings, CommandError> {
    let text = read(path)?;
    let text = text.as_str();
    if mesh::settings::is_mesh(text) {
        return Ok(AnySettings::Mesh(Box::new(MeshSettings::try_from(text)?)));
    }
    Ok(AnySettings::Standalone(Box::new(Settings::try_from(text)?)))
}

/// Reads a file, replacing bytes that are not valid UTF-8.
fn read(path: &Path) -> Result<String, CommandError> {
    let bytes = std::fs::read(path).map_err(|error| CommandError::File {
        path: path.display().to_string().into(),
        error,
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
