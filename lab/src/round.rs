//! One round: processes, load and faults under one policy, and the history that it leaves.

mod fault;
mod host;
mod overhead;

use {
    crate::{
        forward::Forwarders,
        history::{Departure, History, Run},
        load::{Callers, Manners},
        network::Network,
        platform::{Platform, Running},
        process::ProcessError,
        record::{RequestRecord, RunEvent, unix_us},
        round::{
            fault::{Asked, Timeline},
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
    fault::FaultNote,
    overhead::{Latency, Overhead, overhead},
};

/// Time until all daemons have to answer.
const BOOT_LIMIT: Duration = Duration::from_secs(15);
/// Pause between two looks at the processes.
const TICK: Duration = Duration::from_millis(20);
/// Time for the last requests to end.
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
/// Time for the last records to come through the pipes.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// Port of the stand-in store.
const STORE_PORT: u16 = 7_100;

/// Policy of the daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// What the product does.
    #[display("shallotdeal")]
    Shallotdeal,
    /// No shedding, and naive retries at each hop.
    #[display("baseline")]
    Baseline,
}

/// What a round needs besides its scenario.
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
    /// Second part of the hosts' IP numbers; the next one is the forwarders'.
    pub net: u8,
    /// Policy of the daemons.
    pub policy: Policy,
    /// Whether all daemons share a stand-in store; else each keeps its own in memory.
    pub store: bool,
    /// Whether forwarders stand between the daemons.
    pub forwarders: bool,
}

/// Why a round failed.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum RoundError {
    /// A process could not be handled.
    Process(ProcessError),
    /// A socket or file could not be handled.
    Io(io::Error),
    /// The stand-in store could not be filled.
    Store(StoreError),
    /// The daemons did not come up.
    #[from(ignore)]
    #[display("{name} does not serve after {} s: {detail}", BOOT_LIMIT.as_secs())]
    Boot {
        /// Name of the worker.
        name: SmolStr,
        /// Last lines of its log.
        detail: SmolStr,
    },
}

/// What a round leaves besides its history.
#[derive(Debug)]
pub struct Outcome {
    /// Requests and runs.
    pub history: History,
    /// Processes that ended unasked, and faults that could not be injected.
    pub notes: Vec<FaultNote>,
    /// Bytes between regions during the round.
    pub region_bytes: u64,
    /// Largest resident memory of a daemon at the end.
    pub daemon_bytes: u64,
    /// Processor time of the busiest daemon over the counted load.
    pub daemon_processor_ms: u64,
    /// Longest delay of an arrival.
    pub latest_us: u64,
}

/// A round under way.
struct Round {
    scenario: Arc<Scenario>,
    network: Arc<Network>,
    hosts: Vec<Host>,
    callers: Arc<Callers>,
    manners: Arc<Manners>,
    store: Option<Running>,
    events: mpsc::Receiver<String>,
    records: Receiver<RequestRecord>,
    departures: Vec<Departure>,
    notes: Vec<FaultNote>,
    asked: Vec<JoinHandle<Asked>>,
    daemon_bytes: u64,
    daemon_processor_ms: u64,
}

/// Runs a scenario once under one policy.
pub async fn run(scenario: &Arc<Scenario>, settings: RoundSettings) -> Result<Outcome, RoundError> {
    let places: Vec<SmolStr> = scenario
        .services
        .iter()
        .flat_map(|service| service.workers.iter().cloned())
        .collect();
    let network = Network::new(settings.net, scenario, &places);
    let forwarders = Forwarders::start(&network).await?;
    let mut round = Round::start(scenario.clone(), settings, network, places).await?;
    let result = round.perform().await;
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
        places: Vec<SmolStr>,
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
        let callers = Callers::new(scenario.clone(), &daemons, places, tickets, sender);
        Ok(Self {
            manners: callers.manners(),
            scenario,
            network,
            hosts,
            callers,
            store,
            events,
            records,
            departures: Vec::new(),
            notes: Vec::new(),
            asked: Vec::new(),
            daemon_bytes: 0,
            daemon_processor_ms: 0,
        })
    }

    /// Returns the start of the counted load.
    async fn perform(&mut self) -> Result<u64, RoundError> {
        self.boot().await?;
        self.configure().await;
        for load in 0..self.scenario.loads.len() {
            self.callers.start(load);
        }
        self.idle(Duration::from_millis(self.scenario.warm_up_ms))
            .await;
        let begin_us = unix_us();
        let begin = Instant::now();
        let used_before: Vec<u64> = self.hosts.iter().map(Host::daemon_processor_ms).collect();
        let mut timeline = Timeline::new(&self.scenario.faults);
        while let Some((at, action)) = timeline.next() {
            self.idle_until(begin + at).await;
            self.act(action).await;
        }
        let end = begin + Duration::from_millis(self.scenario.run_ms);
        self.idle_until(end).await;
        self.daemon_processor_ms = self
            .hosts
            .iter()
            .zip(used_before)
            .map(|(host, before)| host.daemon_processor_ms().saturating_sub(before))
            .max()
            .unwrap_or(0);
        self.daemon_bytes = self.hosts.iter().map(Host::daemon_bytes).max().unwrap_or(0);
        self.manners.stop();
        let settled = Instant::now() + SETTLE_LIMIT;
        while self.manners.in_flight() > 0 && Instant::now() < settled {
            self.idle(TICK).await;
        }
        self.gather_answers().await;
        task::sleep(DRAIN_TIME).await;
        Ok(begin_us)
    }

    /// Waits until each daemon answers.
    async fn boot(&mut self) -> Result<(), RoundError> {
        let until = Instant::now() + BOOT_LIMIT;
        for host in &mut self.hosts {
            host.boot(until).await?;
        }
        Ok(())
    }

    /// Tells each daemon the classes and services, unless a shared store does.
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

    async fn idle(&mut self, time: Duration) {
        self.idle_until(Instant::now() + time).await;
    }

    /// Waits, and looks after the processes meanwhile.
    async fn idle_until(&mut self, until: Instant) {
        loop {
            for host in 0..self.hosts.len() {
                if let Some(note) = self.hosts[host].look_after() {
                    self.note(note);
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            task::sleep(left.min(TICK)).await;
        }
    }

    fn note(&mut self, text: SmolStr) {
        self.notes.push(FaultNote {
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
            latest_us: self.manners.latest_us(),
        }
    }
}

/// Starts a store that already holds the scenario's configuration.
async fn start_store(scenario: &Scenario, addr: SocketAddr) -> Result<Running, RoundError> {
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
