//! Measurement of the latency that daemons add to a call and of their memory.

use {
    crate::{
        caller::RequestPlan,
        client::Client,
        network::Network,
        record::RequestRecord,
        report::latency_histogram,
        round::{
            RoundError, RoundSettings,
            host::Host,
            {BOOT_LIMIT, POLL_INTERVAL},
        },
        scenario::{Resend, Scenario},
        wire::statements,
    },
    async_channel::Sender,
    async_std::task,
    hdrhistogram::Histogram,
    serde::Serialize,
    smol_str::SmolStr,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, mpsc},
        time::{Duration, Instant},
    },
};

/// Calls made before counting begins.
const WARM_UP_CALLS: u64 = 1_000;
/// Connections held open for the measurement of memory per connection.
const CONNECTIONS: usize = 2_000;
/// Connections from one source address.
const CONNECTIONS_PER_SOURCE: usize = 500;
/// Wait for the daemon to accept all connections.
const ACCEPT_WAIT: Duration = Duration::from_secs(2);
/// Second octet of the callers' IP addresses.
const SOURCE_NET: u8 = 9;

/// Results of the comparison.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Overhead {
    /// Calls sent directly to the backend server.
    pub direct: Latency,
    /// The same calls sent through two daemons.
    pub through: Latency,
    /// Resident memory of the callers' daemon before any call.
    pub idle_bytes: u64,
    /// Resident memory of that daemon after the load.
    pub loaded_bytes: u64,
    /// Resident memory of that daemon with the open connections.
    pub connected_bytes: u64,
    /// Open connections.
    pub connections: usize,
}

/// Latency of the calls on one route.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct Latency {
    /// Calls that succeeded.
    pub good: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
}

impl Overhead {
    /// Formats the results as text.
    pub fn text(&self) -> String {
        let line = |name: &str, latency: Latency| {
            format!(
                "  {name:<20} {:>6} good {:>4} failed  p50 {:>6} us  p99 {:>6} us\n",
                latency.good, latency.failed, latency.p50_us, latency.p99_us
            )
        };
        let mb = |bytes: u64| bytes as f64 / 1e6;
        format!(
            "{}{}  added                                   p50 {:>6} us  p99 {:>6} us\n  \
             resident             idle {:.1} MB, after the load {:.1} MB, with {} connections {:.1} MB\n",
            line("straight", self.direct),
            line("through two daemons", self.through),
            self.through.p50_us.cast_signed() - self.direct.p50_us.cast_signed(),
            self.through.p99_us.cast_signed() - self.direct.p99_us.cast_signed(),
            mb(self.idle_bytes),
            mb(self.loaded_bytes),
            self.connections,
            mb(self.connected_bytes),
        )
    }
}

/// Compares calls through two daemons with direct calls to the backend server, alternating both.
///
/// The first service of the scenario is called through the daemon of the second.
pub async fn overhead(
    scenario: &Arc<Scenario>,
    settings: &RoundSettings,
) -> Result<Overhead, RoundError> {
    let host_data_centres: Vec<SmolStr> = scenario
        .services
        .iter()
        .flat_map(|service| service.workers.iter().cloned())
        .collect();
    let network = Network::new(settings.net, scenario, &host_data_centres);
    let (lines, _events) = mpsc::channel();
    let mut hosts = Host::all(scenario, settings, &network, &lines);
    for host in &mut hosts {
        host.start_daemon()?;
        host.start_backend()?;
    }
    let text = statements(scenario);
    for host in &mut hosts {
        host.boot(Instant::now() + BOOT_LIMIT).await?;
        host.ask(&text).await.ok();
    }
    let entry = &hosts[hosts.len() - 1];
    let daemon = network.callers(hosts.len() - 1);
    let idle_bytes = entry.daemon_bytes();
    let (direct, through) = compare(scenario, network.backend(0), daemon).await;
    let loaded_bytes = entry.daemon_bytes();
    let open_clients = open_connections(daemon).await;
    task::sleep(ACCEPT_WAIT).await;
    let connected_bytes = entry.daemon_bytes();
    let connections = open_clients.iter().map(Client::idle_connections).sum();
    Ok(Overhead {
        direct,
        through,
        idle_bytes,
        loaded_bytes,
        connected_bytes,
        connections,
    })
}

/// Sends open-loop load in which every second call goes through the daemons.
async fn compare(
    scenario: &Scenario,
    backend: SocketAddr,
    daemon: SocketAddr,
) -> (Latency, Latency) {
    let clients = Arc::new(vec![Client::new(backend), Client::new(daemon)]);
    let load = &scenario.loads[0];
    let interval = Duration::from_secs_f64(1.0 / load.rate_per_s);
    let calls = (scenario.run_ms as f64 / 1_000.0 * load.rate_per_s) as u64;
    let (sender, receiver) = async_channel::unbounded();
    let mut due = Instant::now();
    for number in 0..WARM_UP_CALLS + calls {
        due += interval;
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let plan = plan_request(scenario, number);
        let counts = number >= WARM_UP_CALLS;
        task::spawn(send_and_record(
            plan,
            clients.clone(),
            counts.then(|| sender.clone()),
        ));
    }
    drop(sender);
    let mut tallies = [Tally::new(), Tally::new()];
    while let Ok((route, record)) = receiver.recv().await {
        tallies[route].add(&record);
    }
    let [direct, through] = tallies;
    (direct.latency(), through.latency())
}

type CountedRecord = (usize, RequestRecord);

async fn send_and_record(
    plan: RequestPlan,
    clients: Arc<Vec<Client>>,
    counted: Option<Sender<CountedRecord>>,
) {
    let record = plan.run(&clients).await;
    if let Some(sender) = counted {
        sender.send((plan.daemons[0], record)).await.ok();
    }
}

fn plan_request(scenario: &Scenario, number: u64) -> RequestPlan {
    let load = &scenario.loads[0];
    RequestPlan {
        load: 0,
        id: u128::from(number) << 64 | u128::from(scenario.seed),
        call: load.call.clone(),
        class: scenario.classes[0].clone(),
        resend: Resend::Polite(0),
        body: "{}",
        tickets: false,
        source: 0,
        daemons: vec![number as usize % 2],
    }
}

struct Tally {
    latency: Histogram<u64>,
    failed: u64,
}

impl Tally {
    fn new() -> Self {
        Self {
            latency: latency_histogram(),
            failed: 0,
        }
    }

    fn add(&mut self, record: &RequestRecord) {
        if record.good {
            let latency_us = record.ended_us.saturating_sub(record.offered_us);
            self.latency.saturating_record(latency_us);
        } else {
            self.failed += 1;
        }
    }

    fn latency(&self) -> Latency {
        Latency {
            good: self.latency.len(),
            failed: self.failed,
            p50_us: self.latency.value_at_quantile(0.5),
            p99_us: self.latency.value_at_quantile(0.99),
        }
    }
}

async fn open_connections(daemon: SocketAddr) -> Vec<Client> {
    let mut clients = Vec::new();
    for source in 0..CONNECTIONS / CONNECTIONS_PER_SOURCE {
        let ip = Ipv4Addr::new(127, SOURCE_NET, 1, source as u8 + 1);
        let client = Client::new(daemon).from_source(ip);
        client.open_connections(CONNECTIONS_PER_SOURCE).await;
        clients.push(client);
        task::sleep(POLL_INTERVAL).await;
    }
    clients
}
