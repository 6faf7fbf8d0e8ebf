//! Real daemons on loopback, each with a worker that only announces itself.

use {
    crate::{
        backend::announce,
        client::Client,
        fleet::{
            FleetError, figures,
            watch::{Look, Sight},
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
/// First contacts in each data centre.
const SEEDS: usize = 2;
const SERVICE: &str = "menu-board";
const SLOTS: u32 = 60;
const STORE_PORT: u16 = 7_100;
/// Third part of the store's IP number.
const STORE_NET: u8 = 250;
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const ANNOUNCE_RETRY: Duration = Duration::from_millis(50);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const LOOK_WAIT: Duration = Duration::from_secs(2);
const ASK_WAIT: Duration = Duration::from_secs(12);

/// What is needed to start daemons.
#[derive(Debug, Clone)]
pub struct Bench {
    /// Binary of the daemon.
    pub daemon: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Second part of the IP numbers.
    pub net: u8,
    /// Daemons of the fleet.
    pub daemons: usize,
    /// Data centres that they are spread over.
    pub data_centres: usize,
}

/// A daemon that runs, and its worker.
pub(super) struct Daemon {
    pub(super) settings: DaemonSettings,
    process: Process,
    announcing: Option<JoinHandle<()>>,
    client: Client,
}

/// Daemons that are looked at.
pub(super) struct Fleet {
    pub(super) daemons: Vec<Daemon>,
    looks_ms: Mutex<Vec<f64>>,
}

impl Bench {
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
            looks_ms: Mutex::default(),
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
            announcing: Some(task::spawn(keep_announcing(settings.worker, announcement))),
            process,
            settings,
        })
    }

    fn ip(&self, host: usize) -> Ipv4Addr {
        let (place, position) = (host % self.data_centres, host / self.data_centres);
        Ipv4Addr::new(127, self.net, place as u8, position as u8 + 1)
    }

    fn settings(&self, host: usize, store: SocketAddr) -> DaemonSettings {
        let ip = self.ip(host);
        let at = |port| SocketAddr::from((ip, port));
        let seeds = 0..(SEEDS * self.data_centres).min(self.daemons);
        let place = host % self.data_centres;
        DaemonSettings {
            name: format_smolstr!("worker-{host}"),
            region: REGIONS[place % REGIONS.len()].into(),
            data_centre: format_smolstr!("centre-{place}"),
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
        let wait = answer.map_or(ANNOUNCE_RETRY, |_| ANNOUNCE_INTERVAL);
        task::sleep(wait).await;
    }
}

impl Daemon {
    /// Kills the daemon, and its worker with it.
    pub(super) async fn kill(&mut self) {
        self.process.kill();
        if let Some(announcing) = self.announcing.take() {
            announcing.cancel().await;
        }
    }

    /// Time until a statement was told to be accepted.
    pub(super) async fn ask(&self, text: &str) -> Option<Duration> {
        let start = Instant::now();
        let mut request = self.client.request(Method::Post, "/ask");
        request.insert_header("accept", "application/json");
        request.set_body(text);
        let answer = self.client.send_within(request, ASK_WAIT).await?;
        let told = match answer {
            Ok(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
            Err(error) => error.to_string(),
        };
        if told.contains("\"accepted\"") {
            return Some(start.elapsed());
        }
        eprintln!("lab: {text}: {told}");
        None
    }

    async fn look(&self) -> Option<Sight> {
        let mut request = self.client.request(Method::Get, "/dump");
        request.insert_header("accept", "application/json");
        let answer = self.client.send_within(request, LOOK_WAIT).await?.ok()?;
        serde_json::from_slice(&answer.body).ok().map(Sight)
    }
}

impl Fleet {
    pub(super) async fn look(&self) -> Look {
        future::join_all(self.daemons.iter().map(Daemon::look)).await
    }

    /// Time from `start` until `test` holds of all dumps; `None` if that takes too long.
    pub(super) async fn wait(
        &self,
        start: Instant,
        limit: Duration,
        test: impl Fn(&Self, &Look) -> bool,
    ) -> Option<Duration> {
        while start.elapsed() < limit {
            let looked = Instant::now();
            let look = self.look().await;
            let time = start.elapsed();
            if test(self, &look) {
                return Some(time);
            }
            task::sleep(LOOK_INTERVAL).await;
            self.looks_ms
                .lock()
                .push(looked.elapsed().as_secs_f64() * 1_000.0);
        }
        None
    }

    /// Tells whether `test` holds of all dumps, given the data centre of each.
    pub(super) fn all(&self, look: &Look, test: impl Fn(&SmolStr, &Sight) -> bool) -> bool {
        let mut pairs = self.daemons.iter().zip(look);
        pairs.all(|(daemon, sight)| {
            let place = &daemon.settings.data_centre;
            sight.as_ref().is_some_and(|sight| test(place, sight))
        })
    }

    /// Tells whether each daemon knows all others of its data centre, and the other data centres.
    pub(super) fn is_formed(&self, look: &Look) -> bool {
        self.all(look, |place, sight| self.knows_all(place, sight))
    }

    /// Names of the daemons that do not know all others.
    pub(super) async fn missing(&self) -> String {
        let look = self.look().await;
        let pairs = self.daemons.iter().zip(&look);
        let missing = pairs.filter(|(daemon, sight)| {
            let place = &daemon.settings.data_centre;
            !sight
                .as_ref()
                .is_some_and(|sight| self.knows_all(place, sight))
        });
        let names: Vec<_> = missing
            .map(|(daemon, _)| daemon.settings.name.as_str())
            .collect();
        format!("not in time: {}", names.join(", "))
    }

    fn knows_all(&self, place: &SmolStr, sight: &Sight) -> bool {
        let places = self.daemons.iter().map(|it| &it.settings.data_centre);
        let near = places.clone().filter(|it| *it == place).count() - 1;
        let mut centres: Vec<_> = places.collect();
        centres.sort_unstable();
        centres.dedup();
        sight.workers() == near && sight.centres() == centres.len() - 1
    }

    pub(super) fn look_ms(&self) -> f64 {
        figures::median(&self.looks_ms.lock()).unwrap_or(0.0)
    }

    pub(super) fn processor_ms(&self) -> u64 {
        let processes = self.daemons.iter().map(|daemon| &daemon.process);
        processes.filter_map(Process::processor_ms).sum()
    }

    /// Mean of the daemons.
    pub(super) fn resident_bytes(&self) -> f64 {
        let processes = self.daemons.iter().map(|daemon| &daemon.process);
        let total: u64 = processes.filter_map(Process::resident_bytes).sum();
        total as f64 / self.daemons.len().max(1) as f64
    }
}
