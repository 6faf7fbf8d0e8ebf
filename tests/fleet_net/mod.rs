//! Daemons' views joined by a network in virtual time: seeded loss, delay, pauses and cuts.
#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "shared by test files of which each uses a part"
)]

pub mod slope;

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        fleet::{
            Fleet, FleetRules,
            member::{Generation, WorkerAd},
            message::{MAX_DATAGRAM_BYTES, Message, Send},
            report::Event,
        },
        place::{DataCentre, Place, Region},
        request::{Incarnation, Level},
    },
    smol_str::{SmolStr, format_smolstr},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Bytes of the IP and UDP headers of one datagram.
pub const HEADER_BYTES: u64 = 28;

const TICK_US: u64 = 50_000;

pub struct Node {
    pub fleet: Fleet,
    pub addr: SocketAddr,
    pub group: u32,
    pub up: bool,
    pub paused_until_us: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub sent_messages: u64,
    pub between_bytes: u64,
    pub cpu: Duration,
    pub events: Vec<(u64, Event)>,
}

pub struct Net {
    pub nodes: Vec<Node>,
    pub now_us: u64,
    pub loss_percent: u64,
    pub largest_bytes: usize,
    pub rng: ChaCha8Rng,
    rules: FleetRules,
    by_addr: BTreeMap<SocketAddr, usize>,
    in_flight: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    ticks: BTreeSet<(u64, usize)>,
    sequence: u64,
    next_port: u16,
}

impl Net {
    pub fn new(seed: u64, rules: FleetRules) -> Self {
        Self {
            nodes: Vec::new(),
            now_us: 1_000_000,
            loss_percent: 0,
            largest_bytes: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            rules,
            by_addr: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            ticks: BTreeSet::new(),
            sequence: 0,
            next_port: 10_000,
        }
    }

    /// Adds a daemon with a worker; it knows the first daemon of each data centre.
    pub fn add(&mut self, data_centre: &str, region: &str, service: &str) -> usize {
        let port = self.next_port;
        self.next_port += 1;
        let name = format_smolstr!("{data_centre}-{port}");
        self.add_named(&name, port, data_centre, region, service)
    }

    pub fn add_named(
        &mut self,
        name: &str,
        port: u16,
        data_centre: &str,
        region: &str,
        service: &str,
    ) -> usize {
        let addr = SocketAddr::from(([10, 0, 0, 1], port));
        let place = Place {
            name: SmolStr::new(name),
            region: Region(SmolStr::new(region)),
            data_centre: DataCentre(SmolStr::new(data_centre)),
            call_addr: SocketAddr::from(([10, 0, 0, 1], port + 20_000)),
            gossip_addr: addr,
        };
        let generation = Generation::starting(self.now_us / 1_000, self.rng.next_u64());
        let mut fleet = Fleet::new(self.rules.clone(), place, generation, self.rng.next_u64());
        let mut first = BTreeMap::new();
        for node in self.live() {
            let data_centre = node.fleet.data_centre().clone();
            first.entry(data_centre).or_insert(node.addr);
        }
        fleet.join(&first.into_values().collect::<Vec<_>>());
        fleet.set_worker(Some(ad(generation.0, service)));
        let next_tick_us = self.now_us + self.rng.next_u64() % TICK_US;
        let at = self.nodes.len();
        self.ticks.insert((next_tick_us, at));
        self.nodes.push(Node {
            fleet,
            addr,
            group: 0,
            up: true,
            paused_until_us: 0,
            sent_bytes: 0,
            received_bytes: 0,
            sent_messages: 0,
            between_bytes: 0,
            cpu: Duration::ZERO,
            events: Vec::new(),
        });
        self.by_addr.insert(addr, at);
        at
    }

    pub fn run(&mut self, for_us: u64) {
        let end_us = self.now_us + for_us;
        while self.step(end_us) {}
        self.now_us = end_us;
    }

    /// Runs until `done` holds; tells the time that took, or `None` after `limit_us`.
    pub fn run_until(&mut self, limit_us: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_us = self.now_us;
        while !done(self) {
            if self.now_us - start_us >= limit_us {
                return None;
            }
            self.run(50_000);
        }
        Some(self.now_us - start_us)
    }

    pub fn pause(&mut self, node: usize, for_us: u64) {
        self.nodes[node].paused_until_us = self.now_us + for_us;
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.up)
    }

    /// Tells whether all live daemons of each data centre know exactly each other.
    pub fn agrees(&self) -> bool {
        let mut truth: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for node in self.live() {
            let names = truth.entry(node.fleet.data_centre()).or_default();
            names.insert(node.fleet.me().generation);
        }
        self.live().all(|node| {
            let seen = node
                .fleet
                .members()
                .filter(|member| member.status.is_live());
            let seen: BTreeSet<_> = seen.map(|member| member.generation).collect();
            seen == truth[node.fleet.data_centre()]
        })
    }

    /// Verdicts of death on daemons that are still up.
    pub fn false_deaths(&self) -> usize {
        let up: BTreeSet<_> = self
            .live()
            .map(|node| &node.fleet.me().place.name)
            .collect();
        let events = self.nodes.iter().flat_map(|node| &node.events);
        events
            .filter(|(_, event)| matches!(event, Event::Died { name } if up.contains(name)))
            .count()
    }

    pub fn deliver(&mut self, node: usize, message: &Message) {
        let mut out = Vec::new();
        self.nodes[node]
            .fleet
            .receive(message, self.now_us, &mut out);
        self.post(node, out);
    }

    fn step(&mut self, end_us: u64) -> bool {
        let tick = self.ticks.first().copied();
        let tick_us = tick.map_or(u64::MAX, |(tick_us, _)| tick_us);
        let arrival_us = self.in_flight.keys().next().map_or(u64::MAX, |key| key.0);
        let at_us = tick_us.min(arrival_us);
        if at_us > end_us {
            return false;
        }
        self.now_us = self.now_us.max(at_us);
        if arrival_us <= tick_us {
            if let Some((_, (to, bytes))) = self.in_flight.pop_first() {
                self.arrive(to, &bytes);
            }
        } else if let Some((_, at)) = self.ticks.pop_first() {
            self.tick(at);
        }
        true
    }

    fn tick(&mut self, at: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[at];
        if !node.up {
            return;
        }
        if node.paused_until_us > now_us {
            self.ticks.insert((node.paused_until_us, at));
            return;
        }
        self.ticks.insert((now_us + TICK_US, at));
        let mut out = Vec::new();
        let start = Instant::now();
        node.fleet.tick(now_us, &mut out);
        node.cpu += start.elapsed();
        self.post(at, out);
    }

    fn arrive(&mut self, at: usize, bytes: &[u8]) {
        let now_us = self.now_us;
        let node = &mut self.nodes[at];
        // What arrives during a pause is lost, as from a socket whose buffer is full.
        if !node.up || node.paused_until_us > now_us {
            return;
        }
        node.received_bytes += bytes.len() as u64 + HEADER_BYTES;
        let mut out = Vec::new();
        let start = Instant::now();
        let message = Message::decode(bytes).expect("own datagrams can be read");
        node.fleet.receive(&message, now_us, &mut out);
        node.cpu += start.elapsed();
        self.post(at, out);
    }

    pub fn post(&mut self, from: usize, out: Vec<Send>) {
        let now_us = self.now_us;
        for event in self.nodes[from].fleet.events() {
            self.nodes[from].events.push((now_us, event));
        }
        for Send { to, message } in out {
            let start = Instant::now();
            let bytes = message.encode();
            let node = &mut self.nodes[from];
            node.cpu += start.elapsed();
            node.sent_bytes += bytes.len() as u64 + HEADER_BYTES;
            node.sent_messages += 1;
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            self.largest_bytes = self.largest_bytes.max(bytes.len());
            self.carry(from, to, bytes);
        }
    }

    fn carry(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.by_addr.get(&to).copied() else {
            return;
        };
        let is_near = self.nodes[from].fleet.data_centre() == self.nodes[to].fleet.data_centre();
        if !is_near {
            self.nodes[from].between_bytes += bytes.len() as u64 + HEADER_BYTES;
        }
        let is_lost = self.rng.next_u64() % 100 < self.loss_percent;
        if is_lost || self.nodes[from].group != self.nodes[to].group {
            return;
        }
        let base_us = if is_near { 300 } else { 12_000 };
        let at_us = self.now_us + base_us + self.rng.next_u64() % (base_us * 3);
        self.sequence += 1;
        self.in_flight.insert((at_us, self.sequence), (to, bytes));
    }
}

pub fn ad(incarnation: u64, service: &str) -> WorkerAd {
    WorkerAd {
        incarnation: Incarnation(incarnation),
        service: SmolStr::new(service),
        slots: 100,
        load: 0,
        level: Level::OPEN,
        draining: false,
    }
}

/// A data centre of this size whose daemons all know each other.
pub fn centre(seed: u64, members: usize) -> Net {
    let mut net = Net::new(seed, FleetRules::default());
    for _ in 0..members {
        net.add("wien", "ost", "orders");
    }
    net.run_until(60_000_000, Net::agrees)
        .expect("the fleet forms");
    net
}
