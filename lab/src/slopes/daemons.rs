//! Processor time and memory of real daemon processes on loopback.

use {
    crate::{
        caller::RequestPlan,
        client::Client,
        platform::Platform,
        process::Process,
        scenario::{Resend, Scenario},
        slopes::{Series, Slopes, SlopesError},
        wire::{
            BACKEND_PORT, CALLERS_PORT, CALLS_PORT, DaemonSettings, GOSSIP_PORT, OPERATORS_PORT,
            WORKER_PORT, statements,
        },
    },
    async_std::task,
    http_types::Method,
    smol_str::format_smolstr,
    std::{
        ffi::OsString,
        fs,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        sync::{Arc, mpsc},
        time::{Duration, Instant},
    },
};

/// Sizes of the measured fleets.
const FLEET_SIZES: [u8; 3] = [5, 20, 40];
/// Measured rates of calls.
const RATES_PER_S: [u32; 4] = [50, 100, 200, 400];
/// Measured numbers of open connections.
const CONNECTION_COUNTS: [usize; 3] = [0, 500, 1_000];
const CONNECTIONS_PER_SOURCE: usize = 250;
/// Wait for a fleet to form before it is measured.
const FORM_WAIT: Duration = Duration::from_secs(6);
const IDLE_DURATION: Duration = Duration::from_secs(12);
const LOAD_DURATION: Duration = Duration::from_secs(5);
const BOOT_LIMIT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const ASK_TIMEOUT: Duration = Duration::from_secs(12);
const SEEDS_PER_FLEET: usize = 2;
const STORE_PORT: u16 = 7_100;
const MS_TO_US: f64 = 1_000.0;

/// Settings for the measured daemons.
#[derive(Debug, Clone)]
pub struct DaemonLauncher {
    /// Binary of the daemon.
    pub daemon: PathBuf,
    /// The lab's own binary.
    pub lab: PathBuf,
    /// Scenario whose first service is called.
    pub file: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Second octet of the IP addresses.
    pub net: u8,
}

/// Running daemons.
struct Daemons {
    processes: Vec<Process>,
    settings: Vec<DaemonSettings>,
}

/// Measures idle fleets, open connections and calls.
pub async fn measure(launcher: &DaemonLauncher, slopes: &mut Slopes) -> Result<(), SlopesError> {
    measure_idle(launcher, slopes).await?;
    measure_connections(launcher, slopes).await?;
    measure_calls(launcher, slopes).await
}

async fn measure_idle(launcher: &DaemonLauncher, slopes: &mut Slopes) -> Result<(), SlopesError> {
    let (mut cpu, mut memory, mut calls) = (Vec::new(), Vec::new(), Vec::new());
    for (number, size) in FLEET_SIZES.into_iter().enumerate() {
        let store = SocketAddr::from((launcher.ip(number as u8, 250), STORE_PORT));
        let running = Platform::new()
            .serve(store)
            .await
            .map_err(|error| SlopesError::new("start store", &error))?;
        let fleet = launcher.start(number as u8, size, Some(store)).await?;
        task::sleep(FORM_WAIT).await;
        calls.push((f64::from(size), store_calls(&running.platform)));
        let before_ms = fleet.processor_ms();
        let start = Instant::now();
        task::sleep(IDLE_DURATION).await;
        let seconds = start.elapsed().as_secs_f64();
        let at = f64::from(size);
        let used_us = (fleet.processor_ms() - before_ms) * MS_TO_US;
        cpu.push((at, used_us / seconds / at));
        memory.push((at, fleet.resident_bytes()));
        drop(fleet);
        running.task.cancel().await;
    }
    slopes.add("idle-cpu", Series::new("members", "us/s", cpu));
    slopes.add("idle-memory", Series::new("members", "B", memory));
    let series = Series::new("daemons started at once", "calls", calls);
    slopes.add("start-store", series);
    Ok(())
}

async fn measure_connections(
    launcher: &DaemonLauncher,
    slopes: &mut Slopes,
) -> Result<(), SlopesError> {
    let fleet = launcher.start(8, 1, None).await?;
    let mut clients = Vec::new();
    let mut memory = Vec::new();
    for wanted in CONNECTION_COUNTS {
        while clients.len() * CONNECTIONS_PER_SOURCE < wanted {
            let source = Ipv4Addr::new(127, launcher.net, 200, clients.len() as u8 + 1);
            let client = Client::new(fleet.settings[0].callers).from_source(source);
            client.open_connections(CONNECTIONS_PER_SOURCE).await;
            clients.push(client);
        }
        task::sleep(Duration::from_secs(1)).await;
        let open: usize = clients.iter().map(Client::idle_connections).sum();
        memory.push((open as f64, fleet.resident_bytes()));
    }
    slopes.add("connection-memory", Series::new("connections", "B", memory));
    Ok(())
}

/// Measures calls through the worker's own daemon alone, and through another daemon in front of it.
async fn measure_calls(launcher: &DaemonLauncher, slopes: &mut Slopes) -> Result<(), SlopesError> {
    let scenario = Scenario::read(&launcher.file)
        .map_err(|error| SlopesError::new("read scenario", &error))?;
    let fleet = launcher.start(9, 2, None).await?;
    let _backend = launcher.start_backend(&fleet.settings[0], &scenario)?;
    let text = statements(&scenario);
    for settings in &fleet.settings {
        ask(settings.operators, &text).await?;
    }
    task::sleep(FORM_WAIT).await;
    for (name, entry) in [("calls-one", 0), ("calls-two", 1)] {
        let clients = Arc::new(vec![Client::new(fleet.settings[entry].callers)]);
        let (mut cpu, mut failed) = (Vec::new(), Vec::new());
        for rate in RATES_PER_S {
            let before_ms = fleet.processor_ms();
            let start = Instant::now();
            let failures = send_load(&scenario, &clients, rate).await;
            let seconds = start.elapsed().as_secs_f64();
            let used_us = (fleet.processor_ms() - before_ms) * MS_TO_US;
            cpu.push((f64::from(rate), used_us / seconds));
            failed.push((f64::from(rate), failures as f64));
        }
        slopes.add(name, Series::new("calls/s", "us/s", cpu));
        let name = format!("{name}-failed");
        slopes.add(&name, Series::new("calls/s", "calls", failed));
    }
    Ok(())
}

/// Sends calls at a rate; returns the number of failed calls.
async fn send_load(scenario: &Scenario, clients: &Arc<Vec<Client>>, rate: u32) -> usize {
    let mut calls = Vec::new();
    let mut due = Instant::now();
    for number in 0..rate * LOAD_DURATION.as_secs() as u32 {
        due += Duration::from_secs(1) / rate;
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let plan = RequestPlan {
            load: 0,
            id: u128::from(number) << 64 | u128::from(rate),
            call: scenario.loads[0].call.clone(),
            class: scenario.classes[0].clone(),
            resend: Resend::Polite(0),
            body: "{}",
            tickets: false,
            source: 0,
            daemons: vec![0],
        };
        let clients = Arc::clone(clients);
        calls.push(task::spawn(async move { plan.run(&clients).await.good }));
    }
    let mut failures = 0;
    for call in calls {
        failures += usize::from(!call.await);
    }
    failures
}

async fn ask(operators: SocketAddr, text: &str) -> Result<(), SlopesError> {
    let client = Client::new(operators);
    let mut request = client.request(Method::Post, "/ask");
    request.set_body(text);
    match client.send_within(request, ASK_TIMEOUT).await {
        Some(Ok(_)) => Ok(()),
        Some(Err(error)) => Err(SlopesError::new("configure", &error)),
        None => Err(SlopesError::new("configure", &"no answer in time")),
    }
}

fn store_calls(platform: &Platform) -> f64 {
    platform.report().counts.calls.values().sum::<u64>() as f64
}

impl DaemonLauncher {
    fn ip(&self, fleet: u8, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, fleet, host)
    }

    async fn start(
        &self,
        fleet: u8,
        size: u8,
        store: Option<SocketAddr>,
    ) -> Result<Daemons, SlopesError> {
        let mut daemons = Daemons {
            processes: Vec::new(),
            settings: Vec::new(),
        };
        for host in 0..size {
            let settings = self.settings(fleet, host + 1, store);
            daemons.processes.push(self.start_daemon(&settings)?);
            daemons.settings.push(settings);
        }
        for settings in &daemons.settings {
            wait_until_ready(settings).await?;
        }
        // If another run used the same addresses, its daemons would answer in place of one that
        // could not start, so each process is checked as well.
        for process in &mut daemons.processes {
            if let Some(status) = process.exit_status() {
                return Err(SlopesError::new("run daemon", &status));
            }
        }
        Ok(daemons)
    }

    fn settings(&self, fleet: u8, host: u8, store: Option<SocketAddr>) -> DaemonSettings {
        let ip = self.ip(fleet, host);
        let at = |port| SocketAddr::from((ip, port));
        let seeds =
            (1..=SEEDS_PER_FLEET as u8).map(|seed| (self.ip(fleet, seed), GOSSIP_PORT).into());
        DaemonSettings {
            name: format_smolstr!("d-{fleet}-{host}"),
            region: "ost".into(),
            data_centre: "wien".into(),
            callers: at(CALLERS_PORT),
            calls: at(CALLS_PORT),
            gossip: at(GOSSIP_PORT),
            operators: at(OPERATORS_PORT),
            worker: at(WORKER_PORT),
            advertised: None,
            seeds: seeds.collect(),
            store,
            baseline: false,
        }
    }

    fn start_daemon(&self, settings: &DaemonSettings) -> Result<Process, SlopesError> {
        let file = self.directory.join(format!("{}.ini", settings.name));
        fs::write(&file, settings.ini()).map_err(|error| SlopesError::new("settings", &error))?;
        let arguments = ["daemon".into(), "--config".into(), file.into()];
        let log = self.directory.join(format!("{}.log", settings.name));
        Process::with_log(&settings.name, &self.daemon, &arguments, &log)
            .map_err(|error| SlopesError::new("start daemon", &error))
    }

    fn start_backend(
        &self,
        settings: &DaemonSettings,
        scenario: &Scenario,
    ) -> Result<Process, SlopesError> {
        let text = |value: &dyn ToString| OsString::from(value.to_string());
        let arguments = [
            "backend".into(),
            "--scenario".into(),
            self.file.clone().into(),
            "--service".into(),
            text(&scenario.services[0].name),
            "--listen".into(),
            text(&SocketAddr::from((settings.callers.ip(), BACKEND_PORT))),
            "--announce".into(),
            text(&settings.worker),
            "--callers".into(),
            text(&settings.callers),
        ];
        let (lines, _) = mpsc::channel();
        Process::with_lines("backend", &self.lab, &arguments, lines)
            .map_err(|error| SlopesError::new("start backend", &error))
    }
}

async fn wait_until_ready(settings: &DaemonSettings) -> Result<(), SlopesError> {
    let client = Client::new(settings.operators);
    let until = Instant::now() + BOOT_LIMIT;
    while Instant::now() < until {
        let request = client.request(Method::Get, "/dump");
        if let Some(Ok(answer)) = client.send_within(request, Duration::from_secs(1)).await
            && answer.status < 300
        {
            return Ok(());
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Err(SlopesError::new("start daemon", &settings.name))
}

impl Daemons {
    fn processor_ms(&self) -> f64 {
        let used = self.processes.iter().filter_map(Process::processor_ms);
        used.sum::<u64>() as f64
    }

    /// Mean resident memory of a daemon.
    fn resident_bytes(&self) -> f64 {
        let used = self.processes.iter().filter_map(Process::resident_bytes);
        used.sum::<u64>() as f64 / self.processes.len().max(1) as f64
    }
}
