//! Child processes: started, signalled by id, and killed when dropped.

use {
    derive_more::{Display, Error},
    smol_str::{SmolStr, format_smolstr},
    std::{
        ffi::OsString,
        fs::{self, File},
        io::{BufRead, BufReader},
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        sync::mpsc::Sender,
        thread,
        time::{Duration, Instant},
    },
};

/// Signals that the lab sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Signal {
    /// Stops the process until it is continued.
    #[display("STOP")]
    Stop,
    /// Continues a stopped process.
    #[display("CONT")]
    Continue,
    /// Asks for a graceful shutdown.
    #[display("TERM")]
    Terminate,
}

/// Failure to start or signal a child process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{step} of {name}: {detail}")]
pub struct ProcessError {
    step: &'static str,
    name: SmolStr,
    detail: SmolStr,
}

/// A child process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: SmolStr,
    child: Child,
}

impl Process {
    /// Starts a program whose output is appended to a file.
    pub fn with_log(
        name: &str,
        program: &Path,
        arguments: &[OsString],
        log: &Path,
    ) -> Result<Self, ProcessError> {
        let file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|error| failure("open log", name, &error))?;
        let errors = file
            .try_clone()
            .map_err(|error| failure("open log", name, &error))?;
        let mut command = command(program, arguments);
        command.stdout(file).stderr(errors);
        Self::spawn(name, command)
    }

    /// Starts a program whose output lines go to a channel, so that they outlive the process.
    pub fn with_lines(
        name: &str,
        program: &Path,
        arguments: &[OsString],
        lines: Sender<String>,
    ) -> Result<Self, ProcessError> {
        let mut command = command(program, arguments);
        command.stdout(Stdio::piped());
        let mut process = Self::spawn(name, command)?;
        if let Some(output) = process.child.stdout.take() {
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    lines.send(line).ok();
                }
            });
        }
        Ok(process)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Exit status, if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let status = Command::new("sh")
            .args(["-c", "kill -$0 $1"])
            .arg(signal.to_string())
            .arg(self.id().to_string())
            .status()
            .map_err(|error| failure("signal", &self.name, &error))?;
        if status.success() {
            return Ok(());
        }
        Err(failure("signal", &self.name, &status))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Waits until the process exits; returns whether it did within `limit`.
    pub fn wait(&mut self, limit: Duration) -> bool {
        const STEP: Duration = Duration::from_millis(10);
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.exit_status().is_some() {
                return true;
            }
            thread::sleep(STEP);
        }
        self.exit_status().is_some()
    }

    /// Resident memory.
    pub fn resident_bytes(&self) -> Option<u64> {
        const PAGE_BYTES: u64 = 4_096;
        let text = fs::read_to_string(format!("/proc/{}/statm", self.id())).ok()?;
        let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
        Some(pages * PAGE_BYTES)
    }

    /// Processor time used so far.
    pub fn processor_ms(&self) -> Option<u64> {
        const TICK_MS: u64 = 10;
        let text = fs::read_to_string(format!("/proc/{}/stat", self.id())).ok()?;
        // The name, which ends at the last bracket, may contain spaces; user and system time are
        // among the fields after it.
        let (_, fields) = text.rsplit_once(')')?;
        let times = fields.split_whitespace().skip(11).take(2);
        let ticks = times.map(|field| field.parse::<u64>().unwrap_or(0));
        Some(ticks.sum::<u64>() * TICK_MS)
    }

    fn spawn(name: &str, mut command: Command) -> Result<Self, ProcessError> {
        let child = command
            .stdin(Stdio::null())
            .env("ASYNC_STD_THREAD_COUNT", THREADS)
            .spawn()
            .map_err(|error| failure("start", name, &error))?;
        Ok(Self {
            name: name.into(),
            child,
        })
    }
}

/// Threads of each process. The number is small because many processes share the machine.
const THREADS: &str = "2";

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Creates a command that is killed when the lab itself is killed, if `setpriv` is installed.
fn command(program: &Path, arguments: &[OsString]) -> Command {
    let mut command = if Path::new(SETPRIV).exists() {
        let mut command = Command::new(SETPRIV);
        command.args(["--pdeathsig", "KILL", "--"]).arg(program);
        command
    } else {
        Command::new(program)
    };
    command.args(arguments);
    command
}

const SETPRIV: &str = "/usr/bin/setpriv";

fn failure(step: &'static str, name: &str, detail: &dyn std::fmt::Display) -> ProcessError {
    ProcessError {
        step,
        name: name.into(),
        detail: format_smolstr!("{detail}"),
    }
}
