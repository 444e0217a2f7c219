//! Resources declared by operators.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use shallottack_kernel::{ClassName, GroupName, RouteName, ServiceName};
use smallvec::SmallVec;

/// Latency target of a class.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyTarget {
    /// Share of answers that must arrive in time, above 0 and below 1.
    pub quantile: f64,
    /// Time within which that share of answers must arrive, serialised in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "within_ms")]
    pub within: Duration,
}

/// Class of requests and its targets.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: ClassName,
    /// Target for the latency of answers.
    pub latency: LatencyTarget,
    /// Largest share of calls that may fail, from 0 to 1.
    pub failures: f64,
    /// Maximum duration of a call, serialised in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Whether a call may safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
}

/// A service and the group of endpoints that serves it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Group of endpoints (version of the service) in force.
    pub group: GroupName,
}

/// Rule that assigns a class and a service to matching requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Path prefix of the requests; the longest matching prefix wins.
    pub prefix: String,
    /// Methods of the requests; all methods when empty.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub methods: SmallVec<[String; 4]>,
    /// Class of the requests.
    pub class: ClassName,
    /// Service that answers the requests.
    pub service: ServiceName,
}

/// A resource of any kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Resource {
    /// A class of work.
    Class(Class),
    /// A service.
    Service(Service),
    /// A route.
    Route(Route),
}

impl Resource {
    /// Returns the key of the resource.
    pub fn key(&self) -> ResourceKey {
        match self {
            Resource::Class(class) => ResourceKey::new(Kind::Class, class.name.as_str()),
            Resource::Service(service) => ResourceKey::new(Kind::Service, service.name.as_str()),
            Resource::Route(route) => ResourceKey::new(Kind::Route, route.name.as_str()),
        }
    }
}

/// Kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A class of work.
    Class,
    /// A service.
    Service,
    /// A route.
    Route,
}

/// Kind and name of a resource.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: std::sync::Arc<str>,
}

impl ResourceKey {
    /// Creates a key.
    pub fn new(kind: Kind, name: &str) -> ResourceKey {
        ResourceKey { kind, name: name.into() }
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Class => "class",
            Kind::Service => "service",
            Kind::Route => "route",
        };
        write!(f, "{kind} {}", self.name)
    }
}
