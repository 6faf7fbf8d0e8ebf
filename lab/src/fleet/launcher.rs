//! Real daemon processes on loopback, each with a worker that only sends announcements.

use {
    crate::{
        backend::announce,
        client::Client,
        fleet::{
            FleetError,
            dump::{Dump, Dumps},
            figures,
        },
        platform::{Platform, RunningPlatform},
        process::Process,
        wire::{
            Announcement, BACKEND_PORT, CALLERS_PORT, CALLS_PORT, DaemonSettings, GOSSIP_PORT,
            OPERATORS_PORT, WORKER_PORT,
        },
    },
    async_std::task::{self, JoinHandle},
    futures::future,
    http_types::Method,
    parking_lot::Mutex,
    smol_str::{SmolStr, format_smolstr},
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::{Duration, Instant},
    },
};

const REGIONS: [&str; 2] = ["ost", "west"];
/// Gossip seeds from each data centre.
const SEEDS_PER_DATA_CENTRE: usize = 2;
const SERVICE: &str = "menu-board";
const SLOTS: u32 = 60;
const STORE_PORT: u16 = 7_100;
/// Third octet of the store's IP address.
const STORE_NET: u8 = 250;
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const ANNOUNCE_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);
const ASK_TIMEOUT: Duration = Duration::from_secs(12);

/// Settings of a fleet of daemons.
#[derive(Debug, Clone)]
pub struct FleetLauncher {
    /// Binary of the daemon.
    pub daemon: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Second octet of the IP addresses.
    pub net: u8,
    /// Number of daemons in the fleet.
    pub daemons: usize,
    /// Number of data centres that the daemons are spread over.
    pub data_centres: usize,
}

/// A running daemon and its worker.
pub(super) struct Daemon {
    pub(super) settings: DaemonSettings,
    process: Process,
    announcer: Option<JoinHandle<()>>,
    client: Client,
}

/// Running daemons whose dumps are polled.
pub(super) struct Fleet {
    pub(super) daemons: Vec<Daemon>,
    poll_intervals_ms: Mutex<Vec<f64>>,
}

impl FleetLauncher {
    pub(super) async fn start_store(&self) -> Result<RunningPlatform, FleetError> {
        let ip = Ipv4Addr::new(127, self.net, STORE_NET, 1);
        let serving = Platform::new().serve(SocketAddr::from((ip, STORE_PORT)));
        serving
            .await
            .map_err(|error| FleetError::new("start store", &error))
    }

    pub(super) fn start(&self, store: &RunningPlatform) -> Result<Fleet, FleetError> {
        let all = 0..self.daemons;
        let daemons: Result<_, _> = all
            .map(|host| self.start_daemon(host, SERVICE, store))
            .collect();
        Ok(Fleet {
            daemons: daemons?,
            poll_intervals_ms: Mutex::default(),
        })
    }

    pub(super) fn start_daemon(
        &self,
        host: usize,
        service: &str,
        store: &RunningPlatform,
    ) -> Result<Daemon, FleetError> {
        let settings = self.settings(host, store.addr);
        let file = self.directory.join(format!("{}.ini", settings.name));
        fs::write(&file, settings.ini()).map_err(|error| FleetError::new("settings", &error))?;
        let arguments = ["daemon".into(), "--config".into(), file.into()];
        let log = self.directory.join(format!("{}.log", settings.name));
        let process = Process::with_log(&settings.name, &self.daemon, &arguments, &log)
            .map_err(|error| FleetError::new("start daemon", &error))?;
        let announcement = Announcement {
            service: service.into(),
            address: SocketAddr::from((settings.callers.ip(), BACKEND_PORT)),
            slots: SLOTS,
            connections: SLOTS,
            instance: settings.name.clone(),
        };
        Ok(Daemon {
            client: Client::new(settings.operators),
            announcer: Some(task::spawn(keep_announcing(settings.worker, announcement))),
            process,
            settings,
        })
    }

    fn ip(&self, host: usize) -> Ipv4Addr {
        let (data_centre, position) = (host % self.data_centres, host / self.data_centres);
        Ipv4Addr::new(127, self.net, data_centre as u8, position as u8 + 1)
    }

    fn settings(&self, host: usize, store: SocketAddr) -> DaemonSettings {
        let ip = self.ip(host);
        let at = |port| SocketAddr::from((ip, port));
        let seeds = 0..(SEEDS_PER_DATA_CENTRE * self.data_centres).min(self.daemons);
        let data_centre = host % self.data_centres;
        DaemonSettings {
            name: format_smolstr!("worker-{host}"),
            region: REGIONS[data_centre % REGIONS.len()].into(),
            data_centre: format_smolstr!("centre-{data_centre}"),
            callers: at(CALLERS_PORT),
            calls: at(CALLS_PORT),
            gossip: at(GOSSIP_PORT),
            operators: at(OPERATORS_PORT),
            worker: at(WORKER_PORT),
            advertised: None,
            seeds: seeds
                .map(|seed| (self.ip(seed), GOSSIP_PORT).into())
                .collect(),
            store: Some(store),
            baseline: false,
        }
    }
}

async fn keep_announcing(daemon: SocketAddr, announcement: Announcement) {
    let client = Client::new(daemon);
    loop {
        let answer = announce::exchange(&client, &announcement).await;
        let wait = answer.map_or(ANNOUNCE_RETRY_INTERVAL, |_| ANNOUNCE_INTERVAL);
        task::sleep(wait).await;
    }
}

impl Daemon {
    /// Kills the daemon and stops its worker's announcements.
    pub(super) async fn kill(&mut self) {
        self.process.kill();
        if let Some(announcer) = self.announcer.take() {
            announcer.cancel().await;
        }
    }

    /// Sends a statement; returns the time until the answer, or `None` if it was not accepted.
    pub(super) async fn ask(&self, text: &str) -> Option<Duration> {
        let start = Instant::now();
        let mut request = self.client.request(Method::Post, "/ask");
        request.insert_header("accept", "application/json");
        request.set_body(text);
        let answer = self.client.send_within(request, ASK_TIMEOUT).await?;
        let answer_text = match answer {
            Ok(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
            Err(error) => error.to_string(),
        };
        if answer_text.contains("\"accepted\"") {
            return Some(start.elapsed());
        }
        eprintln!("lab: {text}: {answer_text}");
        None
    }

    async fn dump(&self) -> Option<Dump> {
        let mut request = self.client.request(Method::Get, "/dump");
        request.insert_header("accept", "application/json");
        let answer = self.client.send_within(request, DUMP_TIMEOUT).await?.ok()?;
        serde_json::from_slice(&answer.body).ok().map(Dump)
    }
}

impl Fleet {
    pub(super) async fn dumps(&self) -> Dumps {
        future::join_all(self.daemons.iter().map(Daemon::dump)).await
    }

    /// Polls dumps until `test` holds; returns the time since `start`, or `None` after `limit`.
    pub(super) async fn wait_until(
        &self,
        start: Instant,
        limit: Duration,
        test: impl Fn(&Self, &Dumps) -> bool,
    ) -> Option<Duration> {
        while start.elapsed() < limit {
            let poll_start = Instant::now();
            let dumps = self.dumps().await;
            let time = start.elapsed();
            if test(self, &dumps) {
                return Some(time);
            }
            task::sleep(POLL_INTERVAL).await;
            self.poll_intervals_ms
                .lock()
                .push(poll_start.elapsed().as_secs_f64() * 1_000.0);
        }
        None
    }

    /// Returns whether `test` holds for the data centre and the dump of each daemon.
    pub(super) fn all_dumps(&self, dumps: &Dumps, test: impl Fn(&SmolStr, &Dump) -> bool) -> bool {
        let mut pairs = self.daemons.iter().zip(dumps);
        pairs.all(|(daemon, dump)| {
            let data_centre = &daemon.settings.data_centre;
            dump.as_ref().is_some_and(|dump| test(data_centre, dump))
        })
    }

    /// Returns whether each daemon knows all others of its data centre and all other data centres.
    pub(super) fn is_formed(&self, dumps: &Dumps) -> bool {
        self.all_dumps(dumps, |data_centre, dump| {
            self.has_full_view(data_centre, dump)
        })
    }

    /// Lists the daemons that do not know all others.
    pub(super) async fn incomplete_daemons(&self) -> String {
        let dumps = self.dumps().await;
        let pairs = self.daemons.iter().zip(&dumps);
        let missing = pairs.filter(|(daemon, dump)| {
            let data_centre = &daemon.settings.data_centre;
            !dump
                .as_ref()
                .is_some_and(|dump| self.has_full_view(data_centre, dump))
        });
        let names: Vec<_> = missing
            .map(|(daemon, _)| daemon.settings.name.as_str())
            .collect();
        format!("not in time: {}", names.join(", "))
    }

    fn has_full_view(&self, data_centre: &SmolStr, dump: &Dump) -> bool {
        let data_centres = self.daemons.iter().map(|it| &it.settings.data_centre);
        let peers = data_centres.clone().filter(|it| *it == data_centre).count() - 1;
        let mut all_data_centres: Vec<_> = data_centres.collect();
        all_data_centres.sort_unstable();
        all_data_centres.dedup();
        dump.peer_worker_count() == peers
            && dump.other_data_centre_count() == all_data_centres.len() - 1
    }

    pub(super) fn median_poll_interval_ms(&self) -> f64 {
        figures::median(&self.poll_intervals_ms.lock()).unwrap_or(0.0)
    }

    pub(super) fn processor_ms(&self) -> u64 {
        let processes = self.daemons.iter().map(|daemon| &daemon.process);
        processes.filter_map(Process::processor_ms).sum()
    }

    /// Mean resident memory of a daemon.
    pub(super) fn resident_bytes(&self) -> f64 {
        let processes = self.daemons.iter().map(|daemon| &daemon.process);
        let total: u64 = processes.filter_map(Process::resident_bytes).sum();
        total as f64 / self.daemons.len().max(1) as f64
    }
}
