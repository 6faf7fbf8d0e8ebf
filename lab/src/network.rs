//! Loopback addresses of hosts and links between their data centres.

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

/// Hosts of one round, each with its own IP address, and the links between them.
#[derive(Debug)]
pub struct Network {
    net: u8,
    /// Index of the data centre of each host.
    host_data_centres: Vec<usize>,
    /// Name and region of each data centre.
    data_centres: Vec<(SmolStr, SmolStr)>,
    links: Vec<Arc<Link>>,
    /// Link without delay for sources that are not hosts of the network.
    local_link: Arc<Link>,
}

/// Link between two data centres, shared by both directions.
#[derive(Debug, Default)]
pub struct Link {
    configured_delay_us: u64,
    delay_us: AtomicU64,
    cut: AtomicBool,
    sent_bytes: AtomicU64,
    dropped_datagrams: AtomicU64,
    between_regions: bool,
}

impl Link {
    fn new(configured_delay_us: u64, between_regions: bool) -> Self {
        Self {
            configured_delay_us,
            delay_us: AtomicU64::new(configured_delay_us),
            between_regions,
            ..Self::default()
        }
    }

    /// One-way delay.
    pub fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_us.load(Ordering::Relaxed))
    }

    /// Returns whether the link is cut.
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }

    /// Number of datagrams dropped while the link was cut.
    pub fn dropped_datagrams(&self) -> u64 {
        self.dropped_datagrams.load(Ordering::Relaxed)
    }

    /// Counts a datagram dropped by a cut.
    pub fn count_dropped_datagram(&self) {
        self.dropped_datagrams.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts bytes sent over the link.
    pub fn count_bytes(&self, sent_bytes: usize) {
        self.sent_bytes
            .fetch_add(sent_bytes as u64, Ordering::Relaxed);
    }
}

impl Network {
    /// Creates hosts and links; `host_data_centres` holds the data centre of each host.
    pub fn new(net: u8, scenario: &Scenario, host_data_centres: &[SmolStr]) -> Arc<Self> {
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
            host_data_centres: host_data_centres
                .iter()
                .map(|name| position(name).unwrap_or(0))
                .collect(),
            data_centres,
            links,
            local_link: Arc::new(Link::default()),
        })
    }

    /// Indices of all hosts.
    pub fn hosts(&self) -> Range<usize> {
        0..self.host_data_centres.len()
    }

    /// Listen address of a daemon for callers.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.address_of(host, CALLERS_PORT)
    }

    /// Listen address of a daemon for calls of other daemons.
    pub fn calls(&self, host: usize) -> SocketAddr {
        self.address_of(host, CALLS_PORT)
    }

    /// Listen address of a daemon for gossip.
    pub fn gossip(&self, host: usize) -> SocketAddr {
        self.address_of(host, GOSSIP_PORT)
    }

    /// Listen address of a daemon for operators.
    pub fn operators(&self, host: usize) -> SocketAddr {
        self.address_of(host, OPERATORS_PORT)
    }

    /// Listen address of a daemon for announcements of its backend server.
    pub fn worker(&self, host: usize) -> SocketAddr {
        self.address_of(host, WORKER_PORT)
    }

    /// Listen address of a backend server.
    pub fn backend(&self, host: usize) -> SocketAddr {
        self.address_of(host, BACKEND_PORT)
    }

    /// Advertised address of a daemon for calls of other daemons, at its forwarder.
    pub fn advertised_calls(&self, host: usize) -> SocketAddr {
        address(self.net + 1, host, CALLS_PORT)
    }

    /// Advertised address of a daemon for gossip, at its forwarder.
    pub fn advertised_gossip(&self, host: usize) -> SocketAddr {
        address(self.net + 1, host, GOSSIP_PORT)
    }

    /// Finds the host that an address belongs to; advertised addresses belong to none.
    pub fn host_of(&self, addr: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = addr.ip() else {
            return None;
        };
        let [127, net, 0, last] = ip.octets() else {
            return None;
        };
        let host = usize::from(last).checked_sub(1)?;
        (net == self.net && host < self.host_data_centres.len()).then_some(host)
    }

    /// Returns the link between two hosts. An unknown source uses the link without delay.
    pub fn link(&self, source: Option<usize>, target: usize) -> Arc<Link> {
        let Some(source) = source else {
            return self.local_link.clone();
        };
        // Only one of the two entries of a pair is used, so that both directions share a link.
        let (low, high) = ordered(
            self.host_data_centres[source],
            self.host_data_centres[target],
        );
        self.links[low * self.data_centres.len() + high].clone()
    }

    /// Cuts or restores all links between two data centres or regions.
    pub fn cut(&self, left: &str, right: &str, cut: bool) {
        for link in self.links_between(left, right) {
            link.cut.store(cut, Ordering::Relaxed);
        }
    }

    /// Sets the one-way delay between two data centres or regions; `None` restores the configured
    /// one.
    pub fn delay(&self, left: &str, right: &str, delay_us: Option<u64>) {
        for link in self.links_between(left, right) {
            let delay_us = delay_us.unwrap_or(link.configured_delay_us);
            link.delay_us.store(delay_us, Ordering::Relaxed);
        }
    }

    /// Number of bytes sent between regions so far.
    pub fn region_bytes(&self) -> u64 {
        self.links
            .iter()
            .filter(|link| link.between_regions)
            .map(|link| link.sent_bytes.load(Ordering::Relaxed))
            .sum()
    }

    fn links_between(&self, left: &str, right: &str) -> Vec<Arc<Link>> {
        let within = |data_centre: usize, name: &str| {
            let (own_name, region) = &self.data_centres[data_centre];
            own_name == name || region == name
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

    fn address_of(&self, host: usize, port: u16) -> SocketAddr {
        address(self.net, host, port)
    }
}

fn address(net: u8, host: usize, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, net, 0, host as u8 + 1), port).into()
}

fn ordered(left: usize, right: usize) -> (usize, usize) {
    (left.min(right), left.max(right))
}
