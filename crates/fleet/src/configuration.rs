//! The operators' configuration, and route matching.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt};
use shallottack_kernel::ServiceName;
use smallvec::SmallVec;

use crate::{Credential, KeyCheck, Organisations};

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Settings for the requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name in lower case, without a port.
    pub host: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Maximum time until the caller gets a response.
    pub timeout: Option<Duration>,
    /// Latency goal of a response.
    pub goal: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests by weight.
    pub targets: SmallVec<[Target; 2]>,
    /// Maximum number of backend servers that may receive one request.
    pub attempts: u8,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// Returns the service for one request, drawn at random by weight, or `None` if all weights are
    /// zero.
    pub fn draw_service(&self, rng: &mut dyn Rng) -> Option<&ServiceName> {
        if let [only] = self.targets.as_slice() {
            return Some(&only.service);
        }
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        if total == 0 {
            return None;
        }
        let mut point = rng.random_range(0..total);
        for target in &self.targets {
            if point < target.weight {
                return Some(&target.service);
            }
            point -= target.weight;
        }
        None
    }
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Limit on the requests to a cold backend server of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdLimit {
    /// Requests per second that a cold backend server takes from all VMs together.
    pub rate: f64,
    /// Time for which a backend server is cold after it starts.
    pub warmup: Duration,
    /// Path of its health check, if it has one.
    pub health_path: Option<Arc<str>>,
}

/// Result of matching a request against the routes.
#[derive(Debug, Clone)]
pub enum Match {
    /// The matching route.
    Found(Arc<Route>),
    /// No route matches.
    Missing,
}

/// One version of the operators' configuration.
pub struct Configuration {
    /// Version that the operators assigned; a higher one is newer. Unlike the version of the row,
    /// it stays valid when the store is restored from an older copy.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    /// Organisations that send requests; empty if requests need no key.
    pub organisations: Organisations,
    /// Services that the configuration lists, or to which a route leads.
    services: HashSet<ServiceName>,
    cold_limits: HashMap<ServiceName, ColdLimit>,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    count: usize,
}

impl Configuration {
    /// Creates a configuration from its routes and limits.
    pub fn new(version: u64, routes: Vec<Route>, limits: Limits) -> Configuration {
        let count = routes.len();
        let targets = routes.iter().flat_map(|it| &it.targets);
        let services = targets.map(|it| it.service.clone()).collect();
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = hosts.entry(Arc::clone(&route.host)).or_default();
            host.insert(Arc::clone(&route.prefix), Arc::new(route));
        }
        Configuration {
            version,
            limits,
            organisations: Organisations::default(),
            services,
            cold_limits: HashMap::new(),
            hosts,
            count,
        }
    }

    /// Adds services to which no route may lead.
    pub fn with_services(
        mut self,
        services: impl IntoIterator<Item = ServiceName>,
    ) -> Configuration {
        self.services.extend(services);
        self
    }

    /// Returns whether the configuration names a service.
    pub fn names(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// Sets the organisations.
    pub fn with_organisations(self, organisations: Organisations) -> Configuration {
        Configuration { organisations, ..self }
    }

    /// Checks the key of a request for a route.
    ///
    /// On a public route a known key names the organisation of the request, and all others are
    /// ignored.
    pub fn check_key(&self, route: &Route, credential: Credential<'_>) -> KeyCheck {
        if self.organisations.is_empty() {
            return KeyCheck::NotNeeded;
        }
        let holder = match credential {
            Credential::Key(key) => self.organisations.of_key(key),
            Credential::Absent | Credential::Malformed => None,
        };
        match (holder, credential) {
            (Some(organisation), _) => KeyCheck::Found(Arc::clone(organisation)),
            (None, _) if route.public => KeyCheck::NotNeeded,
            (None, Credential::Absent) => KeyCheck::Missing,
            (None, Credential::Key(_) | Credential::Malformed) => KeyCheck::Unknown,
        }
    }

    /// Returns the longest timeout of a route; one without a timeout counts as `unlimited`.
    pub fn longest_timeout(&self, unlimited: Duration) -> Duration {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes.map(|it| it.timeout.unwrap_or(unlimited)).max().unwrap_or_default()
    }

    /// Sets the limits on requests to cold backend servers, by service.
    pub fn with_cold_limits(self, cold_limits: HashMap<ServiceName, ColdLimit>) -> Configuration {
        Configuration { cold_limits, ..self }
    }

    /// Returns the limit on requests to a cold backend server of a service, if it has one.
    pub fn cold_limit(&self, service: &ServiceName) -> Option<ColdLimit> {
        self.cold_limits.get(service).cloned()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether the configuration has no routes.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// The port and the case of `host` are ignored.
    pub fn find(&self, host: &str, path: &str) -> Match {
        let name = host.rsplit_once(':').map_or(host, |it| it.0).to_ascii_lowercase();
        let Some(routes) = self.hosts.get(name.as_str()) else { return Match::Missing };
        let mut end = path.len();
        // Route prefixes end with a slash, so only path prefixes that end with one can match.
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Match::Found(Arc::clone(route));
            }
            end = slash;
        }
        Match::Missing
    }
}
