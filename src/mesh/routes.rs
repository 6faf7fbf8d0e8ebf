//! Configuration in force: routes of requests to services, and limits on clients.

use {
    crate::{
        collections::HashMap,
        request::{Importance, ServiceName},
    },
    derive_more::{Display, Error},
    smol_str::SmolStr,
    std::{cmp::Reverse, rc::Rc},
};

/// Version of a configuration; increases with each change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Display)]
pub struct ConfigVersion(pub u64);

/// Share of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Weight, relative to the sum of the weights of the route.
    pub weight: u32,
}

/// Rules for the requests below a path prefix of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name; the same in all versions.
    pub name: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time limit for answering a request.
    pub timeout_ms: u64,
    /// Latency target of answers.
    pub target_latency_ms: u64,
    /// Importance; zero is the highest.
    pub importance: Importance,
    /// Largest number of workers that one request may be sent to.
    pub max_attempts: u32,
    /// Services that share the requests.
    pub shares: Vec<Share>,
}

/// Limits on clients' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head of a request.
    pub max_head_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: u64,
    /// Time limit for a head, from its first byte.
    pub head_timeout_ms: u64,
    /// Idle time after which a connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    /// Limits until a configuration is known, taken from the platform's example configuration.
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 64 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Malformed or inconsistent configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{place}: {detail}")]
pub struct ConfigError {
    /// Affected part of the document.
    pub place: SmolStr,
    /// Description of the error.
    pub detail: SmolStr,
}

impl ConfigError {
    /// Creates an error for one part of the document.
    pub fn new(place: impl Into<SmolStr>, detail: impl Into<SmolStr>) -> Self {
        Self {
            place: place.into(),
            detail: detail.into(),
        }
    }
}

/// Validated version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTable {
    /// Version.
    pub version: ConfigVersion,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<SmolStr, Vec<Rc<Route>>>,
    /// Importances in use, highest first.
    importances: Vec<Importance>,
}

impl RouteTable {
    /// Validates the routes and sorts those of each host.
    ///
    /// # Errors
    ///
    /// Fails if a prefix does not begin and end with a slash, if a timeout or number of attempts
    /// is zero, or if the weights of a route's services add up to zero.
    pub fn new(
        version: ConfigVersion,
        limits: ClientLimits,
        routes: impl IntoIterator<Item = (SmolStr, Route)>,
    ) -> Result<Self, ConfigError> {
        let mut hosts: HashMap<SmolStr, Vec<Rc<Route>>> = HashMap::default();
        let mut importances = Vec::new();
        for (host, route) in routes {
            validate(&route)?;
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

    /// Finds the route of a request by its host and the longest matching prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(host).or_else(|| {
            let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
            self.hosts.get(name.to_ascii_lowercase().as_str())
        })?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Number of importances in use that are higher than this one.
    pub fn importance_index(&self, importance: Importance) -> usize {
        self.importances
            .partition_point(|known| *known < importance)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

fn validate(route: &Route) -> Result<(), ConfigError> {
    let error = |detail: &str| Err(ConfigError::new(route.name.clone(), detail));
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return error("the prefix does not begin and end with a slash");
    }
    if route.timeout_ms == 0 || route.max_attempts == 0 {
        return error("the timeout or the number of attempts is zero");
    }
    if route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum::<u64>()
        == 0
    {
        return error("the weights of the services add up to zero");
    }
    Ok(())
}

/// Smooth weighted round-robin over the services of each route: after any number of requests, each
/// service has received its share to within one request.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: HashMap<SmolStr, (Vec<Share>, Vec<i64>)>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request of a route.
    pub fn next_service(&mut self, route: &Route) -> ServiceName {
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
