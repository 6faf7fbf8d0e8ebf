//! One VM: the processes of a daemon and its backend server.

use {
    crate::{
        client::Client,
        network::Network,
        process::{Process, ProcessError, Signal},
        round::{POLL_INTERVAL, Policy, RoundError, RoundSettings, store_address},
        scenario::Scenario,
        wire::DaemonSettings,
    },
    async_std::task,
    http_types::Method,
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::{
        ffi::OsString,
        fs,
        net::SocketAddr,
        path::PathBuf,
        sync::{Arc, mpsc::Sender},
        time::{Duration, Instant},
    },
};

/// Delay before a process that exited unexpectedly is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Gossip seeds taken from each data centre.
const SEEDS_PER_DATA_CENTRE: usize = 2;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of an operator's statement, which is answered when the change is in force.
const ASK_TIMEOUT: Duration = Duration::from_secs(12);
/// Log lines shown when a daemon does not start.
const LOG_TAIL_LINES: usize = 5;

/// One VM with its two processes.
pub(super) struct Host {
    /// Name of the worker.
    pub(super) name: SmolStr,
    /// Service of the worker.
    pub(super) service: SmolStr,
    settings: DaemonSettings,
    backend_address: SocketAddr,
    program: Program,
    daemon: ProcessSlot,
    backend: ProcessSlot,
    lines: Sender<String>,
}

/// Paths and seed needed to start the processes.
struct Program {
    daemon: PathBuf,
    lab: PathBuf,
    scenario: PathBuf,
    directory: PathBuf,
    seed: u64,
}

/// One child process and its restart state.
#[derive(Default)]
struct ProcessSlot {
    process: Option<Process>,
    /// Whether the process is not expected to run, so that it is not restarted.
    expected_absent: bool,
    restart_at: Option<Instant>,
}

impl ProcessSlot {
    /// Checks for an exit and for a restart that is due.
    fn poll(&mut self) -> Option<ProcessEvent> {
        if let Some(at) = self.restart_at {
            if Instant::now() < at {
                return None;
            }
            self.restart_at = None;
            return Some(ProcessEvent::RestartDue);
        }
        let status = self.process.as_mut()?.exit_status()?;
        self.process = None;
        if self.expected_absent {
            return None;
        }
        if status.success() {
            self.expected_absent = true;
            return Some(ProcessEvent::Exited);
        }
        self.restart_at = Some(Instant::now() + RESTART_DELAY);
        Some(ProcessEvent::Failed(status.to_smolstr()))
    }

    fn kill(&mut self) {
        self.expected_absent = true;
        self.restart_at = None;
        self.process = None;
    }

    fn set_running(&mut self, process: Process) {
        self.expected_absent = false;
        self.restart_at = None;
        self.process = Some(process);
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        self.process
            .as_ref()
            .map_or(Ok(()), |process| process.signal(signal))
    }
}

/// State change of a process found by a check.
enum ProcessEvent {
    /// Exited with a failure; holds its exit status.
    Failed(SmolStr),
    /// Exited with success.
    Exited,
    /// The delay before a restart has passed.
    RestartDue,
}

impl Host {
    /// Creates all hosts of a scenario without starting them.
    pub(super) fn all(
        scenario: &Scenario,
        round: &RoundSettings,
        network: &Arc<Network>,
        lines: &Sender<String>,
    ) -> Vec<Self> {
        let mut hosts: Vec<Self> = Vec::new();
        for service in &scenario.services {
            for (number, data_centre) in service.workers.iter().enumerate() {
                let host = hosts.len();
                let name = format_smolstr!("{}-{}", service.name, number + 1);
                hosts.push(Self {
                    settings: daemon_settings(scenario, round, network, host, &name, data_centre),
                    name,
                    service: service.name.clone(),
                    backend_address: network.backend(host),
                    program: Program {
                        daemon: round.daemon.clone(),
                        lab: round.lab.clone(),
                        scenario: round.file.clone(),
                        directory: round.directory.clone(),
                        seed: scenario.seed * 1_000 + host as u64,
                    },
                    daemon: ProcessSlot::default(),
                    backend: ProcessSlot::default(),
                    lines: lines.clone(),
                });
            }
        }
        hosts
    }

    /// Starts a new daemon process.
    pub(super) fn start_daemon(&mut self) -> Result<(), ProcessError> {
        let file = self.program.directory.join(format!("{}.ini", self.name));
        fs::write(&file, self.settings.ini()).ok();
        let arguments = ["daemon".into(), "--config".into(), file.into()];
        let log = self.log_file();
        let process = Process::with_log(&self.name, &self.program.daemon, &arguments, &log)?;
        self.daemon.set_running(process);
        Ok(())
    }

    /// Starts a new backend server process.
    pub(super) fn start_backend(&mut self) -> Result<(), ProcessError> {
        let text = |value: &dyn ToString| OsString::from(value.to_string());
        let arguments = [
            "backend".into(),
            "--scenario".into(),
            self.program.scenario.clone().into(),
            "--service".into(),
            text(&self.service),
            "--worker".into(),
            text(&self.name),
            "--listen".into(),
            text(&self.backend_address),
            "--announce".into(),
            text(&self.settings.worker),
            "--callers".into(),
            text(&self.settings.callers),
            "--seed".into(),
            text(&self.program.seed),
        ];
        let lines = self.lines.clone();
        let process = Process::with_lines(&self.name, &self.program.lab, &arguments, lines)?;
        self.backend.set_running(process);
        Ok(())
    }

    /// Restarts processes that exited unexpectedly; returns a note on an exit.
    pub(super) fn check_processes(&mut self) -> Option<SmolStr> {
        let name = self.name.clone();
        match self.daemon.poll() {
            Some(ProcessEvent::Failed(status)) => {
                return Some(format_smolstr!("daemon {name} ended: {status}"));
            }
            Some(ProcessEvent::Exited) => return Some(format_smolstr!("daemon {name} left")),
            Some(ProcessEvent::RestartDue) => drop(self.start_daemon()),
            None => (),
        }
        match self.backend.poll() {
            Some(ProcessEvent::Failed(status)) => {
                Some(format_smolstr!("backend server {name} ended: {status}"))
            }
            Some(ProcessEvent::Exited) => {
                Some(format_smolstr!("backend server {name} was released"))
            }
            Some(ProcessEvent::RestartDue) => {
                drop(self.start_backend());
                None
            }
            None => None,
        }
    }

    /// Kills the daemon, the backend server, or both.
    pub(super) fn kill(&mut self, daemon: bool, backend: bool) {
        if daemon {
            self.daemon.kill();
        }
        if backend {
            self.backend.kill();
        }
    }

    /// Starts new processes in place of killed ones.
    pub(super) fn replace(&mut self, daemon: bool, backend: bool) -> Result<(), ProcessError> {
        if daemon {
            self.start_daemon()?;
        }
        if backend {
            self.start_backend()?;
        }
        Ok(())
    }

    /// Signals the daemon, the backend server, or both.
    pub(super) fn signal(
        &self,
        signal: Signal,
        daemon: bool,
        backend: bool,
    ) -> Result<(), ProcessError> {
        if daemon {
            self.daemon.signal(signal)?;
        }
        if backend {
            self.backend.signal(signal)?;
        }
        Ok(())
    }

    /// Returns whether the daemon has exited.
    fn daemon_has_exited(&mut self) -> bool {
        self.daemon
            .process
            .as_mut()
            .is_none_or(|process| process.exit_status().is_some())
    }

    /// Resident memory of the daemon.
    pub(super) fn daemon_bytes(&self) -> u64 {
        self.daemon
            .process
            .as_ref()
            .and_then(Process::resident_bytes)
            .unwrap_or(0)
    }

    /// Processor time that the daemon has used so far.
    pub(super) fn daemon_processor_ms(&self) -> u64 {
        self.daemon
            .process
            .as_ref()
            .and_then(Process::processor_ms)
            .unwrap_or(0)
    }

    /// Waits until daemon and backend server answer.
    pub(super) async fn boot(&mut self, until: Instant) -> Result<(), RoundError> {
        while !self.is_ready().await {
            if Instant::now() > until || self.daemon_has_exited() {
                return Err(RoundError::Boot {
                    name: self.name.clone(),
                    detail: self.log_tail(),
                });
            }
            task::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let daemon = self.responds(self.settings.operators, "/dump").await;
        daemon && self.responds(self.backend_address, "/health").await
    }

    /// Sends operators' statements to the daemon and returns its answer.
    pub(super) fn ask(
        &self,
        statements: &str,
    ) -> impl Future<Output = Result<SmolStr, SmolStr>> + Send + 'static {
        ask(self.settings.operators, statements.to_owned())
    }

    /// Sends a lab command to the backend server.
    pub(super) async fn command(&self, command: &str) -> Result<(), SmolStr> {
        let client = Client::new(self.backend_address);
        let request = client.request(Method::Put, &format!("/.lab/{command}"));
        match client.send_within(request, ANSWER_TIMEOUT).await {
            Some(Ok(answer)) if answer.status < 300 => Ok(()),
            Some(Ok(answer)) => Err(String::from_utf8_lossy(&answer.body).to_smolstr()),
            Some(Err(error)) => Err(error.to_smolstr()),
            None => Err("no answer in time".into()),
        }
    }

    /// Last lines of the daemon's log.
    fn log_tail(&self) -> SmolStr {
        let text = fs::read_to_string(self.log_file()).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        let tail = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[tail..].join("\n").into()
    }

    async fn responds(&self, address: SocketAddr, path: &str) -> bool {
        let client = Client::new(address);
        let request = client.request(Method::Get, path);
        matches!(client.send_within(request, ANSWER_TIMEOUT).await, Some(Ok(answer)) if answer.status < 300)
    }

    fn log_file(&self) -> PathBuf {
        self.program.directory.join(format!("{}.log", self.name))
    }
}

async fn ask(daemon: SocketAddr, statements: String) -> Result<SmolStr, SmolStr> {
    let client = Client::new(daemon);
    let mut request = client.request(Method::Post, "/ask");
    request.set_body(statements);
    match client.send_within(request, ASK_TIMEOUT).await {
        Some(Ok(answer)) => {
            let text = String::from_utf8_lossy(&answer.body);
            let text = text.trim().to_smolstr();
            if answer.status < 300 {
                Ok(text)
            } else {
                Err(text)
            }
        }
        Some(Err(error)) => Err(error.to_smolstr()),
        None => Err("no answer in time".into()),
    }
}

fn daemon_settings(
    scenario: &Scenario,
    round: &RoundSettings,
    network: &Arc<Network>,
    host: usize,
    name: &SmolStr,
    data_centre: &SmolStr,
) -> DaemonSettings {
    DaemonSettings {
        name: name.clone(),
        region: scenario.region(data_centre),
        data_centre: data_centre.clone(),
        callers: network.callers(host),
        calls: network.calls(host),
        gossip: network.gossip(host),
        operators: network.operators(host),
        worker: network.worker(host),
        advertised: round.forwarders.then(|| {
            (
                network.advertised_calls(host),
                network.advertised_gossip(host),
            )
        }),
        seeds: seeds(scenario, network, round.forwarders),
        store: round.store.then(|| store_address(round.net)),
        baseline: round.policy == Policy::Baseline,
    }
}

/// Gossip addresses of the first hosts in each data centre.
fn seeds(scenario: &Scenario, network: &Network, forwarders: bool) -> Vec<SocketAddr> {
    let gossip = |host| {
        if forwarders {
            network.advertised_gossip(host)
        } else {
            network.gossip(host)
        }
    };
    let mut data_centres = scenario.services.iter().flat_map(|it| it.workers.iter());
    let data_centres: Vec<_> = data_centres.by_ref().collect();
    let mut seeds = Vec::new();
    for data_centre in &scenario.data_centres {
        let own = (0..data_centres.len()).filter(|host| *data_centres[*host] == data_centre.name);
        let first = own.take(SEEDS_PER_DATA_CENTRE);
        seeds.extend(first.map(gossip));
    }
    seeds
}
