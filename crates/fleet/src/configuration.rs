//! A whole version of the operators' configuration and the match of requests to routes.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{Rng, RngExt};
use shallottack_kernel::ServiceName;
use smallvec::SmallVec;

/// One part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service that takes the part.
    pub service: ServiceName,
    /// Size of the part, relative to the other parts.
    pub weight: u32,
}

/// Requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host in lower case.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which a response is of full use.
    pub goal: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests.
    pub targets: SmallVec<[Target; 2]>,
    /// Most backend servers to which one request may be sent.
    pub attempts: u8,
}

impl Route {
    /// Returns the service for one request, drawn by weight.
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

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Result of matching a request.
#[derive(Debug, Clone)]
pub enum Match {
    /// The route that takes the request.
    Found(Arc<Route>),
    /// No route takes it.
    Missing,
}

/// A whole version of the configuration.
#[derive(Debug)]
pub struct Configuration {
    /// Version of the row in the store, which orders configurations.
    pub row_version: u64,
    /// Version that the operators gave it.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    count: usize,
}

impl Configuration {
    /// Creates a configuration from its routes.
    pub fn new(
        row_version: u64,
        version: u64,
        routes: Vec<Route>,
        limits: Limits,
    ) -> Configuration {
        let count = routes.len();
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = hosts.entry(Arc::clone(&route.host)).or_default();
            host.insert(Arc::clone(&route.prefix), Arc::new(route));
        }
        Configuration { row_version, version, limits, hosts, count }
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the route with the longest prefix that begins `path`, among those of `host`, whose
    /// port and case are ignored.
    pub fn find(&self, host: &str, path: &str) -> Match {
        let name = host.rsplit_once(':').map_or(host, |it| it.0).to_ascii_lowercase();
        let Some(routes) = self.hosts.get(name.as_str()) else { return Match::Missing };
        let mut end = path.len();
        // Every prefix ends with a slash, so that only those ends are looked up.
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Match::Found(Arc::clone(route));
            }
            end = slash;
        }
        Match::Missing
    }
}
