//! Open-loop load: Poisson arrivals by seed, whose rate and manners faults may change.

use {
    crate::{
        caller::Errand,
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

/// Requests of one load under way at once; arrivals beyond it wait and still count as offered.
const IN_FLIGHT_LIMIT: u32 = 20_000;

/// Callers of one load, each with an IP number of its own.
const SOURCES_PER_LOAD: usize = 4;
/// Second part of the callers' IP numbers.
const SOURCE_NET: u8 = 9;

/// What faults change about the callers while they run.
#[derive(Debug)]
pub struct Manners {
    factors: Vec<AtomicU64>,
    hard_resends: AtomicU32,
    stopped: AtomicBool,
    in_flight: AtomicU32,
    latest_us: AtomicU64,
}

/// Callers of a scenario.
pub struct Callers {
    scenario: Arc<Scenario>,
    clients: Vec<Arc<Vec<Client>>>,
    places: Vec<SmolStr>,
    tickets: bool,
    manners: Arc<Manners>,
    records: Sender<RequestRecord>,
    poison_rng: Mutex<ChaCha8Rng>,
}

impl Manners {
    fn new(loads: usize) -> Self {
        Self {
            factors: (0..loads)
                .map(|_| AtomicU64::new(1.0_f64.to_bits()))
                .collect(),
            hard_resends: AtomicU32::new(0),
            stopped: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            latest_us: AtomicU64::new(0),
        }
    }

    /// Longest delay of an arrival so far; a starved machine shows here.
    pub fn latest_us(&self) -> u64 {
        self.latest_us.load(Ordering::Relaxed)
    }

    /// Makes one load arrive `factor` times as often.
    pub fn surge(&self, load: usize, factor: f64) {
        self.factors[load].store(factor.to_bits(), Ordering::Relaxed);
    }

    /// Makes all callers resend hard this often; zero restores what the scenario says.
    pub fn resend_hard(&self, times: u32) {
        self.hard_resends.store(times, Ordering::Relaxed);
    }

    /// Ends all arrivals.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Requests under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn factor(&self, load: usize) -> f64 {
        f64::from_bits(self.factors[load].load(Ordering::Relaxed))
    }

    fn resend(&self, usual: Resend) -> Resend {
        match self.hard_resends.load(Ordering::Relaxed) {
            0 => usual,
            times => Resend::Hard(times),
        }
    }
}

impl Callers {
    /// Creates callers of daemons at these addresses; `places` are their data centres.
    pub fn new(
        scenario: Arc<Scenario>,
        daemons: &[SocketAddr],
        places: Vec<SmolStr>,
        tickets: bool,
        records: Sender<RequestRecord>,
    ) -> Arc<Self> {
        let clients = (0..scenario.loads.len() * SOURCES_PER_LOAD)
            .map(|source| Arc::new(clients_of(source, daemons)))
            .collect();
        let poison_rng = Mutex::new(ChaCha8Rng::seed_from_u64(!scenario.seed));
        Arc::new(Self {
            manners: Arc::new(Manners::new(scenario.loads.len())),
            scenario,
            clients,
            places,
            tickets,
            records,
            poison_rng,
        })
    }

    /// Handle by which faults change the callers.
    pub fn manners(&self) -> Arc<Manners> {
        self.manners.clone()
    }

    /// Starts the arrivals of one load; they end when the manners are stopped.
    pub fn start(self: &Arc<Self>, load: usize) {
        task::spawn(self.clone().arrivals(load));
    }

    /// Sends one request that crashes each backend server that runs it.
    pub fn poison(self: &Arc<Self>, call: &CallSpec) {
        let load = self.scenario.loads.iter().position(|it| it.call == *call);
        let errand = self.errand(load.unwrap_or(0), &mut self.poison_rng.lock());
        let Some(mut errand) = errand else { return };
        errand.call = call.clone();
        errand.body = CRASH_MARKER;
        errand.resend = Resend::Hard(5);
        self.send_off(errand);
    }

    async fn arrivals(self: Arc<Self>, load: usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ ((load as u64 + 1) << 32));
        let mut due = Instant::now();
        while !self.manners.stopped.load(Ordering::Relaxed) {
            let rate_per_s = self.scenario.loads[load].rate_per_s * self.manners.factor(load);
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            due += Duration::from_secs_f64(-uniform.ln() / rate_per_s.max(0.001));
            task::sleep(due.saturating_duration_since(Instant::now())).await;
            let late_us = due.elapsed().as_micros() as u64;
            self.manners.latest_us.fetch_max(late_us, Ordering::Relaxed);
            if self.manners.in_flight() < IN_FLIGHT_LIMIT
                && let Some(errand) = self.errand(load, &mut rng)
            {
                self.send_off(errand);
            }
        }
    }

    fn errand(&self, load: usize, rng: &mut ChaCha8Rng) -> Option<Errand> {
        let spec = &self.scenario.loads[load];
        let id = (u128::from(rng.next_u64()) << 64) | u128::from(rng.next_u64());
        Some(Errand {
            load,
            id,
            call: spec.call.clone(),
            class: self.scenario.class(&spec.class)?.clone(),
            resend: self.manners.resend(spec.resend),
            body: "{}",
            tickets: self.tickets,
            source: rng.random_range(0..SOURCES_PER_LOAD),
            daemons: self.daemons(&spec.from, rng),
        })
    }

    /// All daemons in random order, those of the caller's data centre first.
    fn daemons(&self, from: &[SmolStr], rng: &mut ChaCha8Rng) -> Vec<usize> {
        let mut daemons: Vec<usize> = (0..self.places.len()).collect();
        daemons.shuffle(rng);
        let pick = rng.random_range(0..from.len().max(1));
        if let Some(home) = from.get(pick) {
            daemons.sort_by_key(|daemon| self.places[*daemon] != *home);
        }
        daemons
    }

    fn send_off(&self, errand: Errand) {
        let clients = self.clients[errand.load * SOURCES_PER_LOAD + errand.source].clone();
        let records = self.records.clone();
        let manners = self.manners.clone();
        manners.in_flight.fetch_add(1, Ordering::Relaxed);
        task::spawn(async move {
            let record = errand.run(&clients).await;
            records.send(record).await.ok();
            manners.in_flight.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

fn clients_of(source: usize, daemons: &[SocketAddr]) -> Vec<Client> {
    let ip = Ipv4Addr::new(127, SOURCE_NET, 0, source as u8 + 1);
    daemons
        .iter()
        .map(|daemon| Client::new(*daemon).from_source(ip))
        .collect()
}
