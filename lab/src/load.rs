//! Open-loop load: seeded Poisson arrivals, whose rate and resends faults can change.

use {
    crate::{
        caller::RequestPlan,
        client::Client,
        record::RequestRecord,
        scenario::{CallSpec, Resend, Scenario},
        wire::CRASH_MARKER,
    },
    async_channel::Sender,
    async_std::task,
    parking_lot::Mutex,
    rand::{Rng, RngExt, SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    smol_str::SmolStr,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Limit of requests in flight over all loads; arrivals beyond it are skipped and not recorded.
const IN_FLIGHT_LIMIT: u32 = 20_000;

/// Callers of one load, each with its own IP address.
const SOURCES_PER_LOAD: usize = 4;
/// Second octet of the callers' IP addresses.
const SOURCE_NET: u8 = 9;

/// Controls and counters of running callers, shared with fault injection.
#[derive(Debug)]
pub struct LoadControls {
    rate_factors: Vec<AtomicU64>,
    hard_resends: AtomicU32,
    stopped: AtomicBool,
    in_flight: AtomicU32,
    max_arrival_delay_us: AtomicU64,
}

/// Callers of a scenario.
pub struct Callers {
    scenario: Arc<Scenario>,
    clients: Vec<Arc<Vec<Client>>>,
    host_data_centres: Vec<SmolStr>,
    tickets: bool,
    controls: Arc<LoadControls>,
    records: Sender<RequestRecord>,
    poison_rng: Mutex<ChaCha8Rng>,
}

impl LoadControls {
    fn new(loads: usize) -> Self {
        Self {
            rate_factors: (0..loads)
                .map(|_| AtomicU64::new(1.0_f64.to_bits()))
                .collect(),
            hard_resends: AtomicU32::new(0),
            stopped: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            max_arrival_delay_us: AtomicU64::new(0),
        }
    }

    /// Longest delay of an arrival behind its schedule so far. It grows on an overloaded machine.
    pub fn max_arrival_delay_us(&self) -> u64 {
        self.max_arrival_delay_us.load(Ordering::Relaxed)
    }

    /// Multiplies the arrival rate of one load by `factor`.
    pub fn set_rate_factor(&self, load: usize, factor: f64) {
        self.rate_factors[load].store(factor.to_bits(), Ordering::Relaxed);
    }

    /// Makes all callers resend hard up to `times` times; zero restores the scenario's behaviour.
    pub fn set_hard_resends(&self, times: u32) {
        self.hard_resends.store(times, Ordering::Relaxed);
    }

    /// Stops all arrivals.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn rate_factor(&self, load: usize) -> f64 {
        f64::from_bits(self.rate_factors[load].load(Ordering::Relaxed))
    }

    fn resend(&self, configured: Resend) -> Resend {
        match self.hard_resends.load(Ordering::Relaxed) {
            0 => configured,
            times => Resend::Hard(times),
        }
    }
}

impl Callers {
    /// Creates callers of the daemons; `host_data_centres` holds the data centre of each.
    pub fn new(
        scenario: Arc<Scenario>,
        daemons: &[SocketAddr],
        host_data_centres: Vec<SmolStr>,
        tickets: bool,
        records: Sender<RequestRecord>,
    ) -> Arc<Self> {
        let clients = (0..scenario.loads.len() * SOURCES_PER_LOAD)
            .map(|source| Arc::new(clients_of_source(source, daemons)))
            .collect();
        let poison_rng = Mutex::new(ChaCha8Rng::seed_from_u64(!scenario.seed));
        Arc::new(Self {
            controls: Arc::new(LoadControls::new(scenario.loads.len())),
            scenario,
            clients,
            host_data_centres,
            tickets,
            records,
            poison_rng,
        })
    }

    /// Returns the controls of the callers.
    pub fn controls(&self) -> Arc<LoadControls> {
        self.controls.clone()
    }

    /// Starts the arrivals of one load, which run until the controls are stopped.
    pub fn start(self: &Arc<Self>, load: usize) {
        task::spawn(self.clone().arrivals(load));
    }

    /// Sends a request that crashes each backend server that runs it.
    pub fn poison(self: &Arc<Self>, call: &CallSpec) {
        let load = self.scenario.loads.iter().position(|it| it.call == *call);
        let plan = self.plan_request(load.unwrap_or(0), &mut self.poison_rng.lock());
        let Some(mut plan) = plan else { return };
        plan.call = call.clone();
        plan.body = CRASH_MARKER;
        plan.resend = Resend::Hard(5);
        self.spawn_request(plan);
    }

    async fn arrivals(self: Arc<Self>, load: usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ ((load as u64 + 1) << 32));
        let mut due = Instant::now();
        while !self.controls.stopped.load(Ordering::Relaxed) {
            let rate_per_s = self.scenario.loads[load].rate_per_s * self.controls.rate_factor(load);
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            due += Duration::from_secs_f64(-uniform.ln() / rate_per_s.max(0.001));
            task::sleep(due.saturating_duration_since(Instant::now())).await;
            let delay_us = due.elapsed().as_micros() as u64;
            self.controls
                .max_arrival_delay_us
                .fetch_max(delay_us, Ordering::Relaxed);
            if self.controls.in_flight() < IN_FLIGHT_LIMIT
                && let Some(plan) = self.plan_request(load, &mut rng)
            {
                self.spawn_request(plan);
            }
        }
    }

    fn plan_request(&self, load: usize, rng: &mut ChaCha8Rng) -> Option<RequestPlan> {
        let spec = &self.scenario.loads[load];
        let id = (u128::from(rng.next_u64()) << 64) | u128::from(rng.next_u64());
        Some(RequestPlan {
            load,
            id,
            call: spec.call.clone(),
            class: self.scenario.class(&spec.class)?.clone(),
            resend: self.controls.resend(spec.resend),
            body: "{}",
            tickets: self.tickets,
            source: rng.random_range(0..SOURCES_PER_LOAD),
            daemons: self.daemons(&spec.from, rng),
        })
    }

    /// Returns all daemons in random order, with those of the caller's data centre first.
    fn daemons(&self, from: &[SmolStr], rng: &mut ChaCha8Rng) -> Vec<usize> {
        let mut daemons: Vec<usize> = (0..self.host_data_centres.len()).collect();
        daemons.shuffle(rng);
        let pick = rng.random_range(0..from.len().max(1));
        if let Some(home) = from.get(pick) {
            daemons.sort_by_key(|daemon| self.host_data_centres[*daemon] != *home);
        }
        daemons
    }

    /// Sends a request in its own task and records its result.
    fn spawn_request(&self, plan: RequestPlan) {
        let clients = self.clients[plan.load * SOURCES_PER_LOAD + plan.source].clone();
        let records = self.records.clone();
        let controls = self.controls.clone();
        controls.in_flight.fetch_add(1, Ordering::Relaxed);
        task::spawn(async move {
            let record = plan.run(&clients).await;
            records.send(record).await.ok();
            controls.in_flight.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

fn clients_of_source(source: usize, daemons: &[SocketAddr]) -> Vec<Client> {
    let ip = Ipv4Addr::new(127, SOURCE_NET, 0, source as u8 + 1);
    daemons
        .iter()
        .map(|daemon| Client::new(*daemon).from_source(ip))
        .collect()
}
