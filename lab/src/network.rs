//! Loopback addresses of the hosts and the links between their data centres.

use {
    crate::{
        scenario::Scenario,
        wire::{BACKEND_PORT, CALLERS_PORT, CALLS_PORT, GOSSIP_PORT, OPERATORS_PORT, WORKER_PORT},
    },
    smol_str::SmolStr,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        ops::Range,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Hosts of one round, each with an IP number of its own.
#[derive(Debug)]
pub struct Network {
    net: u8,
    places: Vec<usize>,
    data_centres: Vec<(SmolStr, SmolStr)>,
    links: Vec<Arc<Link>>,
    near: Arc<Link>,
}

/// Link between two data centres, the same in both directions.
#[derive(Debug, Default)]
pub struct Link {
    usual_us: u64,
    delay_us: AtomicU64,
    cut: AtomicBool,
    sent_bytes: AtomicU64,
    dropped: AtomicU64,
    between_regions: bool,
}

impl Link {
    fn new(usual_us: u64, between_regions: bool) -> Self {
        Self {
            usual_us,
            delay_us: AtomicU64::new(usual_us),
            between_regions,
            ..Self::default()
        }
    }

    /// One-way delay.
    pub fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_us.load(Ordering::Relaxed))
    }

    /// Tells whether nothing passes.
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }

    /// Datagrams lost in cuts.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Counts a datagram lost in a cut.
    pub fn drop_datagram(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts what passes.
    pub fn count(&self, sent_bytes: usize) {
        self.sent_bytes
            .fetch_add(sent_bytes as u64, Ordering::Relaxed);
    }
}

impl Network {
    /// Lays out hosts; `places` holds the data centre of each.
    pub fn new(net: u8, scenario: &Scenario, places: &[SmolStr]) -> Arc<Self> {
        let data_centres: Vec<_> = scenario
            .data_centres
            .iter()
            .map(|spec| (spec.name.clone(), spec.region.clone()))
            .collect();
        let position = |name: &SmolStr| data_centres.iter().position(|(it, _)| it == name);
        let mut links = Vec::new();
        for (left, left_region) in &data_centres {
            for (right, right_region) in &data_centres {
                let between_regions = left_region != right_region;
                let delay_us = match (left == right, between_regions) {
                    (true, _) => 0,
                    (false, false) => scenario.delay_us,
                    (false, true) => scenario.region_delay_us,
                };
                links.push(Arc::new(Link::new(delay_us, between_regions)));
            }
        }
        Arc::new(Self {
            net,
            places: places
                .iter()
                .map(|name| position(name).unwrap_or(0))
                .collect(),
            data_centres,
            links,
            near: Arc::new(Link::default()),
        })
    }

    /// Positions of all hosts.
    pub fn hosts(&self) -> Range<usize> {
        0..self.places.len()
    }

    /// Where a daemon takes callers.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.own(host, CALLERS_PORT)
    }

    /// Where a daemon takes calls of other daemons.
    pub fn calls(&self, host: usize) -> SocketAddr {
        self.own(host, CALLS_PORT)
    }

    /// Where a daemon gossips.
    pub fn gossip(&self, host: usize) -> SocketAddr {
        self.own(host, GOSSIP_PORT)
    }

    /// Where a daemon takes operators.
    pub fn operators(&self, host: usize) -> SocketAddr {
        self.own(host, OPERATORS_PORT)
    }

    /// Where a daemon takes its backend server's announcements.
    pub fn worker(&self, host: usize) -> SocketAddr {
        self.own(host, WORKER_PORT)
    }

    /// Where a backend server takes calls.
    pub fn backend(&self, host: usize) -> SocketAddr {
        self.own(host, BACKEND_PORT)
    }

    /// Where other daemons reach a daemon's calls, through a forwarder.
    pub fn advertised_calls(&self, host: usize) -> SocketAddr {
        address(self.net + 1, host, CALLS_PORT)
    }

    /// Where other daemons reach a daemon's gossip, through a forwarder.
    pub fn advertised_gossip(&self, host: usize) -> SocketAddr {
        address(self.net + 1, host, GOSSIP_PORT)
    }

    /// Host that an own address belongs to.
    pub fn host_of(&self, addr: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = addr.ip() else {
            return None;
        };
        let [127, net, 0, last] = ip.octets() else {
            return None;
        };
        let host = usize::from(last).checked_sub(1)?;
        (net == self.net && host < self.places.len()).then_some(host)
    }

    /// Link between two hosts; an unknown source is near.
    pub fn link(&self, source: Option<usize>, target: usize) -> Arc<Link> {
        let Some(source) = source else {
            return self.near.clone();
        };
        // One link for both directions.
        let (low, high) = ordered(self.places[source], self.places[target]);
        self.links[low * self.data_centres.len() + high].clone()
    }

    /// Cuts or heals all links between two data centres or regions.
    pub fn cut(&self, left: &str, right: &str, cut: bool) {
        for link in self.between(left, right) {
            link.cut.store(cut, Ordering::Relaxed);
        }
    }

    /// Sets the delay between two data centres or regions; `None` restores the usual one.
    pub fn delay(&self, left: &str, right: &str, delay_us: Option<u64>) {
        for link in self.between(left, right) {
            let delay_us = delay_us.unwrap_or(link.usual_us);
            link.delay_us.store(delay_us, Ordering::Relaxed);
        }
    }

    /// Bytes that daemons sent between regions so far.
    pub fn region_bytes(&self) -> u64 {
        self.links
            .iter()
            .filter(|link| link.between_regions)
            .map(|link| link.sent_bytes.load(Ordering::Relaxed))
            .sum()
    }

    fn between(&self, left: &str, right: &str) -> Vec<Arc<Link>> {
        let within = |place: usize, name: &str| {
            let (data_centre, region) = &self.data_centres[place];
            data_centre == name || region == name
        };
        let count = self.data_centres.len();
        (0..count * count)
            .filter(|index| {
                let (low, high) = (index / count, index % count);
                (within(low, left) && within(high, right))
                    || (within(low, right) && within(high, left))
            })
            .map(|index| self.links[index].clone())
            .collect()
    }

    fn own(&self, host: usize, port: u16) -> SocketAddr {
        address(self.net, host, port)
    }
}

fn address(net: u8, host: usize, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, net, 0, host as u8 + 1), port).into()
}

fn ordered(left: usize, right: usize) -> (usize, usize) {
    (left.min(right), left.max(right))
}
