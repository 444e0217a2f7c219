//! Types of the operators' API, shared by the daemon and the client.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use shallottack_config::Version;
use shallottack_kernel::{
    ClassName, DataCentre, EndpointId, ErrorKind, GroupName, Run, ServiceName,
};

/// Path of the configuration in force; `GET` returns a catalog.
pub const CONFIG_PATH: &str = "/v1/config";
/// Path of changes; `POST` takes a [`shallottack_config::Change`] and returns [`Accepted`].
pub const CHANGES_PATH: &str = "/v1/config/changes";
/// Path of the mesh's status; `GET` returns [`Status`].
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the daemon's own data centre's status; `GET` returns [`DataCentreStatus`].
pub const LOCAL_STATUS_PATH: &str = "/v1/status/local";
/// Path of the class reports of this daemon; `GET` returns a list of [`ClassStatus`].
pub const CLASSES_PATH: &str = "/v1/classes";
/// Path of a planned stop; `POST` starts it.
pub const DRAIN_PATH: &str = "/v1/drain";
/// Path of the metrics in Prometheus' text format; `GET`, needs no token.
pub const METRICS_PATH: &str = "/metrics";

/// Header that says whether a refused or failed request was run: `no` or `unknown`.
pub const RUN_HEADER: &str = "shallottack-run";
/// Header that names the error kind of a refused or failed request.
pub const ERROR_HEADER: &str = "shallottack-error";
/// Header with the remaining time of a call, in milliseconds.
pub const DEADLINE_HEADER: &str = "shallottack-deadline-ms";
/// Header with the retries that remain for a call and all that it calls in turn.
pub const RETRIES_HEADER: &str = "shallottack-retries";
/// Header of a caller's key for a request that must run at most once.
pub const KEY_HEADER: &str = "idempotency-key";

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that holds the change.
    pub version: Version,
    /// Whether the change was merged onto other changes made since its base.
    pub merged: bool,
}

/// Body of every refusal and failure.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind from the closed list.
    pub error: ErrorKind,
    /// What went wrong, for a person.
    pub detail: String,
    /// Whether the request was run.
    pub run: Run,
    /// Whether the same request may be sent again without the risk of running it twice.
    pub repeat_safe: bool,
    /// Time after which to come back, in milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Option<Duration>,
}

/// State of the mesh as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Daemon that answers.
    pub endpoint: EndpointId,
    /// Version in force on this daemon.
    pub in_force: Version,
    /// Every data centre known.
    pub data_centres: Vec<DataCentreStatus>,
    /// Endpoints of each service.
    pub services: Vec<ServiceStatus>,
}

/// Versions in force in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Daemon that reads the platform for the data centre, when known.
    pub source: Option<EndpointId>,
    /// Number of live daemons by membership.
    pub members: u32,
    /// Number of daemons that the report covers.
    pub reported: u32,
    /// Lowest version in force of the covered daemons.
    pub lowest: Version,
    /// Covered daemons that are behind, at most 16.
    pub lagging: Vec<EndpointId>,
    /// Why there is no report, when there is none.
    pub problem: Option<String>,
}

/// Endpoints of one service by state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: ServiceName,
    /// Group of the endpoints.
    pub group: GroupName,
    /// Endpoints that take calls.
    pub ready: u32,
    /// Endpoints in any other state.
    pub other: u32,
}

/// Report on one class at one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// Name of the class.
    pub class: ClassName,
    /// Calls answered in the last 10 to 20 s.
    pub answered: u64,
    /// Calls refused in the last 10 to 20 s.
    pub refused: u64,
    /// Calls that failed in the last 10 to 20 s.
    pub failed: u64,
    /// Latency at the target's quantile, in milliseconds, when there were calls.
    pub latency_ms: Option<f64>,
    /// Whether the targets are met, when there were calls.
    pub met: Option<bool>,
    /// What holds the class back when its targets are not met.
    pub held_back: Option<String>,
}
