//! Configuration in force: which service a request goes to, and by which rules.

use {
    crate::{
        collections::HashMap,
        request::{Importance, ServiceName},
    },
    derive_more::{Display, Error},
    smol_str::SmolStr,
    std::{cmp::Reverse, rc::Rc},
};

/// Version of a configuration; grows with each change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Display)]
pub struct ConfigVersion(pub u64);

/// One part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Service that gets the part.
    pub service: ServiceName,
    /// Part of the sum of all weights.
    pub weight: u32,
}

/// Rules for the requests below one path of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, the same in all versions.
    pub name: SmolStr,
    /// Path that the route covers; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer is of full use.
    pub target_latency_ms: u64,
    /// Rank; zero is the most important.
    pub importance: Importance,
    /// Workers that one request may be sent to.
    pub max_attempts: u32,
    /// Services that take the requests.
    pub shares: Vec<Share>,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Head of a request.
    pub max_head_bytes: usize,
    /// Body of a request.
    pub max_body_bytes: u64,
    /// Time for a head, from its first byte.
    pub head_timeout_ms: u64,
    /// Time without a request after which a connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    /// Bounds until a configuration is known; those of the platform's example.
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 64 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A configuration that breaks its own rules.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{place}: {detail}")]
pub struct ConfigError {
    /// Where in the document.
    pub place: SmolStr,
    /// What is wrong there.
    pub detail: SmolStr,
}

impl ConfigError {
    /// Describes a fault at one place.
    pub fn new(place: impl Into<SmolStr>, detail: impl Into<SmolStr>) -> Self {
        Self {
            place: place.into(),
            detail: detail.into(),
        }
    }
}

/// One checked version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTable {
    /// Version.
    pub version: ConfigVersion,
    /// Bounds on clients.
    pub limits: ClientLimits,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<SmolStr, Vec<Rc<Route>>>,
    /// Importances in use, the most important first.
    importances: Vec<Importance>,
}

impl RouteTable {
    /// Checks and orders the routes of each host.
    ///
    /// # Errors
    ///
    /// Fails if a prefix is not a directory, a route has no share, or two routes are alike.
    pub fn new(
        version: ConfigVersion,
        limits: ClientLimits,
        routes: impl IntoIterator<Item = (SmolStr, Route)>,
    ) -> Result<Self, ConfigError> {
        let mut hosts: HashMap<SmolStr, Vec<Rc<Route>>> = HashMap::default();
        let mut importances = Vec::new();
        for (host, route) in routes {
            check(&route)?;
            importances.push(route.importance);
            let host = SmolStr::from(host.to_ascii_lowercase());
            hosts.entry(host).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        importances.sort_unstable();
        importances.dedup();
        Ok(Self {
            version,
            limits,
            hosts,
            importances,
        })
    }

    /// Route of a request, by its host and the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(host).or_else(|| {
            let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
            self.hosts.get(name.to_ascii_lowercase().as_str())
        })?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Number of importances in use that go before this one.
    pub fn place(&self, importance: Importance) -> usize {
        self.importances
            .partition_point(|known| *known < importance)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

fn check(route: &Route) -> Result<(), ConfigError> {
    let fault = |detail: &str| Err(ConfigError::new(route.name.clone(), detail));
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return fault("the prefix does not begin and end with a slash");
    }
    if route.timeout_ms == 0 || route.max_attempts == 0 {
        return fault("the time-out and the number of attempts are not above zero");
    }
    if route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum::<u64>()
        == 0
    {
        return fault("no service takes the requests");
    }
    Ok(())
}

/// Even sequence over the shares of each route: after any number of requests each share has got
/// its part, give or take one.
#[derive(Debug, Default)]
pub struct Splitter {
    credits: HashMap<SmolStr, (Vec<Share>, Vec<i64>)>,
}

impl Splitter {
    /// Service for the next request of a route.
    pub fn next(&mut self, route: &Route) -> ServiceName {
        if let [only] = route.shares.as_slice() {
            return only.service.clone();
        }
        let (shares, credits) = self.credits.entry(route.name.clone()).or_default();
        if *shares != route.shares {
            shares.clone_from(&route.shares);
            *credits = vec![0; route.shares.len()];
        }
        let mut best = 0;
        let mut sum = 0;
        for (index, share) in route.shares.iter().enumerate() {
            credits[index] += i64::from(share.weight);
            sum += i64::from(share.weight);
            if credits[index] > credits[best] {
                best = index;
            }
        }
        credits[best] -= sum;
        route.shares[best].service.clone()
    }
}
