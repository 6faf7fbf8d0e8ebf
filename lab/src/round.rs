//! One round: runs a scenario under one policy and records its history.

mod fault;
mod host;
mod overhead;

use {
    crate::{
        forward::Forwarders,
        history::{Departure, History, Run},
        load::{Callers, LoadControls},
        network::Network,
        platform::{Platform, RunningPlatform},
        process::ProcessError,
        record::{RequestRecord, RunEvent, unix_us},
        round::{
            fault::{AnsweredStatement, Timeline},
            host::Host,
        },
        scenario::Scenario,
        wire::{configuration, statements},
    },
    async_channel::Receiver,
    async_std::{
        io,
        task::{self, JoinHandle},
    },
    derive_more::{Display, Error, From},
    serde::Serialize,
    shallotdeal::{
        config::CONFIG_KEY,
        store::{Store, StoreError, Version, http::HttpStore},
    },
    smol_str::{SmolStr, format_smolstr},
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        sync::{Arc, mpsc},
        time::{Duration, Instant},
    },
};

pub use crate::round::{
    fault::EventNote,
    overhead::{Latency, Overhead, overhead},
};

/// Time limit for all daemons to start answering.
const BOOT_LIMIT: Duration = Duration::from_secs(15);
/// Interval between checks of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for requests still in flight when the load stops.
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
/// Wait for the last records to arrive through the pipes.
const RECORD_DRAIN_TIME: Duration = Duration::from_millis(300);
/// Port of the stand-in store.
const STORE_PORT: u16 = 7_100;

/// Policy of the daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Full overload control.
    #[display("shallotdeal")]
    Shallotdeal,
    /// No shedding, and naive retries at each hop.
    #[display("baseline")]
    Baseline,
}

/// Settings of a round besides its scenario.
#[derive(Debug, Clone)]
pub struct RoundSettings {
    /// File of the scenario, which the stand-in backend servers read as well.
    pub file: PathBuf,
    /// The daemon's binary.
    pub daemon: PathBuf,
    /// The lab's own binary.
    pub lab: PathBuf,
    /// Directory for settings and logs of the daemons.
    pub directory: PathBuf,
    /// Second octet of the hosts' IP addresses; the forwarders use the next number.
    pub net: u8,
    /// Policy of the daemons.
    pub policy: Policy,
    /// Whether all daemons share a stand-in store; otherwise each keeps its own in memory.
    pub store: bool,
    /// Whether traffic between daemons passes through forwarders.
    pub forwarders: bool,
}

/// Error that ends a round.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum RoundError {
    /// A child process could not be started or signalled.
    Process(ProcessError),
    /// An operation on a socket or file failed.
    Io(io::Error),
    /// The configuration could not be written to the stand-in store.
    Store(StoreError),
    /// A daemon or its backend server did not start serving in time.
    #[from(ignore)]
    #[display("{name} does not serve after {} s: {detail}", BOOT_LIMIT.as_secs())]
    Boot {
        /// Name of the worker.
        name: SmolStr,
        /// Last lines of its log.
        detail: SmolStr,
    },
}

/// Results of a round.
#[derive(Debug)]
pub struct Outcome {
    /// Recorded requests and runs.
    pub history: History,
    /// Notes on processes that exited unexpectedly, operators' statements and faults that could not
    /// be injected.
    pub notes: Vec<EventNote>,
    /// Bytes sent between regions during the round.
    pub region_bytes: u64,
    /// Largest resident memory of any daemon at the end of the load.
    pub daemon_bytes: u64,
    /// Processor time of the busiest daemon during the counted load.
    pub daemon_processor_ms: u64,
    /// Longest delay of an arrival behind its schedule.
    pub max_arrival_delay_us: u64,
}

/// A round in progress.
struct Round {
    scenario: Arc<Scenario>,
    network: Arc<Network>,
    hosts: Vec<Host>,
    callers: Arc<Callers>,
    controls: Arc<LoadControls>,
    store: Option<RunningPlatform>,
    events: mpsc::Receiver<String>,
    records: Receiver<RequestRecord>,
    departures: Vec<Departure>,
    notes: Vec<EventNote>,
    pending_statements: Vec<JoinHandle<AnsweredStatement>>,
    daemon_bytes: u64,
    daemon_processor_ms: u64,
}

/// Runs a scenario once under one policy.
pub async fn run(scenario: &Arc<Scenario>, settings: RoundSettings) -> Result<Outcome, RoundError> {
    let host_data_centres: Vec<SmolStr> = scenario
        .services
        .iter()
        .flat_map(|service| service.workers.iter().cloned())
        .collect();
    let network = Network::new(settings.net, scenario, &host_data_centres);
    let forwarders = Forwarders::start(&network).await?;
    let mut round = Round::start(scenario.clone(), settings, network, host_data_centres).await?;
    let result = round.execute().await;
    round.hosts.clear();
    if let Some(store) = round.store.take() {
        store.task.cancel().await;
    }
    forwarders.stop().await;
    let begin_us = result?;
    Ok(round.outcome(begin_us))
}

impl Round {
    async fn start(
        scenario: Arc<Scenario>,
        settings: RoundSettings,
        network: Arc<Network>,
        host_data_centres: Vec<SmolStr>,
    ) -> Result<Self, RoundError> {
        let store = if settings.store {
            Some(start_store(&scenario, store_address(settings.net)).await?)
        } else {
            None
        };
        let (lines, events) = mpsc::channel();
        let mut hosts = Host::all(&scenario, &settings, &network, &lines);
        for host in &mut hosts {
            host.start_daemon()?;
            host.start_backend()?;
        }
        let (sender, records) = async_channel::unbounded();
        let daemons: Vec<_> = network.hosts().map(|host| network.callers(host)).collect();
        let tickets = settings.policy == Policy::Shallotdeal;
        let callers = Callers::new(
            scenario.clone(),
            &daemons,
            host_data_centres,
            tickets,
            sender,
        );
        Ok(Self {
            controls: callers.controls(),
            scenario,
            network,
            hosts,
            callers,
            store,
            events,
            records,
            departures: Vec::new(),
            notes: Vec::new(),
            pending_statements: Vec::new(),
            daemon_bytes: 0,
            daemon_processor_ms: 0,
        })
    }

    /// Runs the load and the faults; returns the start time of the counted load.
    async fn execute(&mut self) -> Result<u64, RoundError> {
        self.boot().await?;
        self.configure().await;
        for load in 0..self.scenario.loads.len() {
            self.callers.start(load);
        }
        self.wait(Duration::from_millis(self.scenario.warm_up_ms))
            .await;
        let begin_us = unix_us();
        let begin = Instant::now();
        let processor_before_ms: Vec<u64> =
            self.hosts.iter().map(Host::daemon_processor_ms).collect();
        let mut timeline = Timeline::new(&self.scenario.faults);
        while let Some((at, action)) = timeline.next() {
            self.wait_until(begin + at).await;
            self.apply(action).await;
        }
        let end = begin + Duration::from_millis(self.scenario.run_ms);
        self.wait_until(end).await;
        self.daemon_processor_ms = self
            .hosts
            .iter()
            .zip(processor_before_ms)
            .map(|(host, before)| host.daemon_processor_ms().saturating_sub(before))
            .max()
            .unwrap_or(0);
        self.daemon_bytes = self.hosts.iter().map(Host::daemon_bytes).max().unwrap_or(0);
        self.controls.stop();
        let settle_until = Instant::now() + SETTLE_LIMIT;
        while self.controls.in_flight() > 0 && Instant::now() < settle_until {
            self.wait(POLL_INTERVAL).await;
        }
        self.collect_statement_answers().await;
        task::sleep(RECORD_DRAIN_TIME).await;
        Ok(begin_us)
    }

    /// Waits until each daemon and backend server answers.
    async fn boot(&mut self) -> Result<(), RoundError> {
        let until = Instant::now() + BOOT_LIMIT;
        for host in &mut self.hosts {
            host.boot(until).await?;
        }
        Ok(())
    }

    /// Sends the classes and services to each daemon, unless a shared store provides them.
    async fn configure(&mut self) {
        if self.store.is_some() {
            return;
        }
        let text = statements(&self.scenario);
        for host in 0..self.hosts.len() {
            if let Err(detail) = self.hosts[host].ask(&text).await {
                let name = self.hosts[host].name.clone();
                self.note(format_smolstr!(
                    "{name} refused its configuration: {detail}"
                ));
            }
        }
    }

    async fn wait(&mut self, time: Duration) {
        self.wait_until(Instant::now() + time).await;
    }

    /// Waits until `until`, restarting processes that fail meanwhile.
    async fn wait_until(&mut self, until: Instant) {
        loop {
            for host in 0..self.hosts.len() {
                if let Some(note) = self.hosts[host].check_processes() {
                    self.note(note);
                }
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            task::sleep(remaining.min(POLL_INTERVAL)).await;
        }
    }

    fn note(&mut self, text: SmolStr) {
        self.notes.push(EventNote {
            at_us: unix_us(),
            text,
        });
    }

    fn outcome(self, begin_us: u64) -> Outcome {
        let mut requests = Vec::new();
        while let Ok(record) = self.records.try_recv() {
            if record.offered_us >= begin_us {
                requests.push(record);
            }
        }
        requests.sort_by_key(|record| record.offered_us);
        let events = self.events.try_iter();
        let events = events.filter_map(|line| serde_json::from_str::<RunEvent>(&line).ok());
        let runs: Vec<Run> = History::join_runs(events);
        Outcome {
            history: History {
                scenario: self.scenario,
                begin_us,
                requests,
                runs,
                departures: self.departures,
            },
            notes: self.notes,
            region_bytes: self.network.region_bytes(),
            daemon_bytes: self.daemon_bytes,
            daemon_processor_ms: self.daemon_processor_ms,
            max_arrival_delay_us: self.controls.max_arrival_delay_us(),
        }
    }
}

/// Starts a stand-in store that holds the scenario's configuration.
async fn start_store(scenario: &Scenario, addr: SocketAddr) -> Result<RunningPlatform, RoundError> {
    let running = Platform::new().serve(addr).await?;
    let value = configuration(scenario).encode();
    HttpStore::new(addr)
        .swap(CONFIG_KEY, Version::ABSENT, value, None)
        .await?;
    Ok(running)
}

/// Address of the stand-in store of a round.
fn store_address(net: u8) -> SocketAddr {
    (Ipv4Addr::new(127, net, 1, 1), STORE_PORT).into()
}
