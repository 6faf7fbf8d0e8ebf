//! Configuration in force: routes of requests to services, organisations, and limits on clients.

use {
    crate::{
        collections::HashMap,
        mesh::organisations::{Organisation, OrganisationKey, Organisations},
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
    /// Whether requests need no API key.
    pub is_public: bool,
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

/// Longest timeout of a route or a client, in milliseconds. Longer ones are limited to it, so that a
/// time plus a timeout does not overflow.
const MAX_TIMEOUT_MS: u64 = 24 * 3_600 * 1_000;

impl ClientLimits {
    fn with_bounded_timeouts(self) -> Self {
        Self {
            head_timeout_ms: self.head_timeout_ms.min(MAX_TIMEOUT_MS),
            idle_timeout_ms: self.idle_timeout_ms.min(MAX_TIMEOUT_MS),
            ..self
        }
    }
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
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version.
    pub version: ConfigVersion,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// Organisations whose clients send requests.
    pub organisations: Organisations,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<SmolStr, Vec<Rc<Route>>>,
    /// Importances of routes in use, highest first.
    route_importances: Vec<Importance>,
    /// Importances of organisations in use, highest first.
    organisation_importances: Vec<Importance>,
}

impl RouteTable {
    /// Validates the routes and sorts those of each host. Limits all timeouts to a day.
    ///
    /// # Errors
    ///
    /// Fails if a prefix does not begin and end with a slash, if a timeout or number of attempts
    /// is zero, or if the weights of a route's services add up to zero.
    pub fn new(
        version: ConfigVersion,
        limits: ClientLimits,
        organisations: Organisations,
        routes: impl IntoIterator<Item = (SmolStr, Route)>,
    ) -> Result<Self, ConfigError> {
        let mut hosts: HashMap<SmolStr, Vec<Rc<Route>>> = HashMap::default();
        let mut route_importances = Vec::new();
        for (host, mut route) in routes {
            validate(&route)?;
            route.timeout_ms = route.timeout_ms.min(MAX_TIMEOUT_MS);
            route_importances.push(route.importance);
            let host = SmolStr::from(host.to_ascii_lowercase());
            hosts.entry(host).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        let organisation_importances = organisations.iter().map(|known| known.importance);
        Ok(Self {
            version,
            limits: limits.with_bounded_timeouts(),
            hosts,
            route_importances: distinct(route_importances),
            organisation_importances: distinct(organisation_importances.collect()),
            organisations,
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

    /// Importance of a client's request: that of its organisation first, then that of its route. A
    /// request without an organisation counts as one of the most important organisation.
    pub fn importance(&self, route: &Route, organisation: Option<OrganisationKey>) -> Importance {
        let Some(key) = organisation else {
            return route.importance;
        };
        let Organisation { importance, .. } = self.organisations.get(key);
        let more_important = partition(&self.organisation_importances, *importance);
        let stride = self.importance_stride();
        let combined = more_important * stride + usize::from(route.importance.0);
        Importance(u8::try_from(combined).unwrap_or(u8::MAX))
    }

    /// Number of levels of organisations in use that are more important than this one.
    pub fn organisation_rank(&self, organisation: Option<OrganisationKey>) -> usize {
        organisation.map_or(0, |key| {
            let importance = self.organisations.get(key).importance;
            partition(&self.organisation_importances, importance)
        })
    }

    /// Precedence of the route in an importance returned by [`Self::importance`], between 0 and 1; 1
    /// for the most important routes.
    pub fn route_precedence(&self, importance: Importance) -> f64 {
        let levels = self.route_importances.len().max(1) as f64;
        1.0 - self.route_importance_index(importance) as f64 / levels
    }

    /// Difference between the importances of one route for two adjacent levels of organisations.
    fn importance_stride(&self) -> usize {
        let lowest = self.route_importances.last();
        lowest.map_or(1, |lowest| usize::from(lowest.0) + 1)
    }

    /// Number of route importances in use that are higher than the one in an importance returned by
    /// [`Self::importance`].
    pub fn route_importance_index(&self, importance: Importance) -> usize {
        let of_route = usize::from(importance.0) % self.importance_stride();
        partition(&self.route_importances, Importance(of_route as u8))
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

fn distinct(mut importances: Vec<Importance>) -> Vec<Importance> {
    importances.sort_unstable();
    importances.dedup();
    importances
}

/// Number of importances that are higher than this one.
fn partition(importances: &[Importance], importance: Importance) -> usize {
    importances.partition_point(|known| *known < importance)
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
