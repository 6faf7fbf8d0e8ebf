//! Simulated network of fleet views in virtual time, with seeded loss, delay, pauses and
//! partitions.
#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "shared by several test files, each of which uses only a part"
)]

pub mod slope;

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        fleet::{
            Fleet, FleetRules,
            member::{AdvertisedWorker, Generation},
            message::{MAX_DATAGRAM_BYTES, Message, Outgoing},
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

/// Daemon in the simulated network.
pub struct Node {
    pub fleet: Fleet,
    pub addr: SocketAddr,
    /// Side of a network partition; nodes reach only nodes of the same group.
    pub group: u32,
    pub is_up: bool,
    pub paused_until_us: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub sent_messages: u64,
    /// Bytes sent to other data centres.
    pub cross_centre_bytes: u64,
    /// Bytes sent to other regions.
    pub cross_region_bytes: u64,
    /// Processor time spent in the fleet view and its codec.
    pub cpu: Duration,
    pub events: Vec<(u64, Event)>,
}

/// Simulated network.
pub struct Net {
    pub nodes: Vec<Node>,
    pub now_us: u64,
    pub loss_percent: u64,
    /// Size of the largest datagram sent.
    pub largest_bytes: usize,
    pub rng: ChaCha8Rng,
    rules: FleetRules,
    by_addr: BTreeMap<SocketAddr, usize>,
    /// Datagrams by time of arrival and sequence number, with the index of the receiver.
    in_flight: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    /// Next tick of each node.
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

    /// Adds a daemon with a worker and returns its index.
    ///
    /// Its seeds are the first live daemons of all data centres.
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
        fleet.set_worker(Some(advertised_worker(generation.0, service)));
        let next_tick_us = self.now_us + self.rng.next_u64() % TICK_US;
        let at = self.nodes.len();
        self.ticks.insert((next_tick_us, at));
        self.nodes.push(Node {
            fleet,
            addr,
            group: 0,
            is_up: true,
            paused_until_us: 0,
            sent_bytes: 0,
            received_bytes: 0,
            sent_messages: 0,
            cross_centre_bytes: 0,
            cross_region_bytes: 0,
            cpu: Duration::ZERO,
            events: Vec::new(),
        });
        self.by_addr.insert(addr, at);
        at
    }

    /// Advances virtual time.
    pub fn run(&mut self, for_us: u64) {
        let end_us = self.now_us + for_us;
        while self.step(end_us) {}
        self.now_us = end_us;
    }

    /// Advances virtual time until `done` holds.
    ///
    /// Returns the elapsed time, or `None` if `done` does not hold within `limit_us`.
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

    /// Pauses a daemon; datagrams that arrive meanwhile are lost.
    pub fn pause(&mut self, node: usize, for_us: u64) {
        self.nodes[node].paused_until_us = self.now_us + for_us;
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_up)
    }

    /// Returns whether each daemon's live members are the running daemons of its data centre.
    pub fn views_agree(&self) -> bool {
        let mut expected: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for node in self.live() {
            let generations = expected.entry(node.fleet.data_centre()).or_default();
            generations.insert(node.fleet.local_member().generation);
        }
        self.live().all(|node| {
            let seen = node
                .fleet
                .members()
                .filter(|member| member.status.is_live());
            let seen: BTreeSet<_> = seen.map(|member| member.generation).collect();
            seen == expected[node.fleet.data_centre()]
        })
    }

    /// Counts the deaths recorded of daemons that are still running.
    pub fn false_deaths(&self) -> usize {
        let running: BTreeSet<_> = self
            .live()
            .map(|node| &node.fleet.local_member().place.name)
            .collect();
        let events = self.nodes.iter().flat_map(|node| &node.events);
        events
            .filter(|(_, event)| matches!(event, Event::Died { name } if running.contains(name)))
            .count()
    }

    /// Delivers a crafted message to a daemon at once.
    pub fn deliver(&mut self, node: usize, message: &Message) {
        let mut out = Vec::new();
        self.nodes[node]
            .fleet
            .receive(message, self.now_us, &mut out);
        self.send_all(node, out);
    }

    /// Processes the next tick or arrival; returns false if there is none until `end_us`.
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
                self.receive(to, &bytes);
            }
        } else if let Some((_, at)) = self.ticks.pop_first() {
            self.tick(at);
        }
        true
    }

    fn tick(&mut self, at: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[at];
        if !node.is_up {
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
        self.send_all(at, out);
    }

    fn receive(&mut self, at: usize, bytes: &[u8]) {
        let now_us = self.now_us;
        let node = &mut self.nodes[at];
        // Datagrams that arrive during a pause are lost, as when a socket buffer is full.
        if !node.is_up || node.paused_until_us > now_us {
            return;
        }
        node.received_bytes += bytes.len() as u64 + HEADER_BYTES;
        let mut out = Vec::new();
        let start = Instant::now();
        let message = Message::decode(bytes).expect("own datagrams can be read");
        node.fleet.receive(&message, now_us, &mut out);
        node.cpu += start.elapsed();
        self.send_all(at, out);
    }

    /// Records the events of a daemon and sends its messages.
    pub fn send_all(&mut self, from: usize, out: Vec<Outgoing>) {
        let now_us = self.now_us;
        for event in self.nodes[from].fleet.take_events() {
            self.nodes[from].events.push((now_us, event));
        }
        for Outgoing { to, message } in out {
            let start = Instant::now();
            let bytes = message.encode();
            let node = &mut self.nodes[from];
            node.cpu += start.elapsed();
            node.sent_bytes += bytes.len() as u64 + HEADER_BYTES;
            node.sent_messages += 1;
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            self.largest_bytes = self.largest_bytes.max(bytes.len());
            self.transmit(from, to, bytes);
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.by_addr.get(&to).copied() else {
            return;
        };
        let is_same_centre =
            self.nodes[from].fleet.data_centre() == self.nodes[to].fleet.data_centre();
        if !is_same_centre {
            self.nodes[from].cross_centre_bytes += bytes.len() as u64 + HEADER_BYTES;
        }
        let region = |index: usize| &self.nodes[index].fleet.local_member().place.region;
        if region(from) != region(to) {
            self.nodes[from].cross_region_bytes += bytes.len() as u64 + HEADER_BYTES;
        }
        let is_lost = self.rng.next_u64() % 100 < self.loss_percent;
        if is_lost || self.nodes[from].group != self.nodes[to].group {
            return;
        }
        let base_us = if is_same_centre { 300 } else { 12_000 };
        let at_us = self.now_us + base_us + self.rng.next_u64() % (base_us * 3);
        self.sequence += 1;
        self.in_flight.insert((at_us, self.sequence), (to, bytes));
    }
}

/// Announcement of an idle worker with 100 slots.
pub fn advertised_worker(incarnation: u64, service: &str) -> AdvertisedWorker {
    AdvertisedWorker {
        incarnation: Incarnation(incarnation),
        service: SmolStr::new(service),
        slots: 100,
        load: 0,
        level: Level::OPEN,
        draining: false,
    }
}

/// Creates a data centre with this many daemons that all know each other.
pub fn centre(seed: u64, members: usize) -> Net {
    let mut net = Net::new(seed, FleetRules::default());
    for _ in 0..members {
        net.add("wien", "ost", "orders");
    }
    net.run_until(60_000_000, Net::views_agree)
        .expect("the fleet forms");
    net
}
