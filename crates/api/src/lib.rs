//! Paths, headers and JSON types of the operators' API, shared by the daemon and the client.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use shallottack_config::Version;
use shallottack_kernel::{
    ClassName, DataCentre, EndpointId, ErrorKind, GroupName, Run, ServiceName,
};

/// Path of the configuration in force; `GET` returns a [`shallottack_config::Catalog`].
pub const CONFIG_PATH: &str = "/v1/config";
/// Path of configuration changes; `POST` takes a [`shallottack_config::Change`] and returns
/// [`Accepted`].
pub const CHANGES_PATH: &str = "/v1/config/changes";
/// Path of the status of the whole mesh; `GET` returns [`Status`].
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the status of the daemon's data centre; `GET` returns [`DataCentreStatus`].
pub const LOCAL_STATUS_PATH: &str = "/v1/status/local";
/// Path of the status of each class on this daemon; `GET` returns a list of [`ClassStatus`].
pub const CLASSES_PATH: &str = "/v1/classes";
/// Path of the graceful shutdown of the daemon; `POST` starts it.
pub const DRAIN_PATH: &str = "/v1/drain";
/// Path of the metrics; `GET` returns them in the Prometheus text format and needs no token.
pub const METRICS_PATH: &str = "/metrics";

/// Header that states whether a refused or failed request was run: `no` or `unknown`.
pub const RUN_HEADER: &str = "shallottack-run";
/// Header that names the error kind of a refused or failed request.
pub const ERROR_HEADER: &str = "shallottack-error";
/// Header with the remaining time of a call, in milliseconds.
pub const DEADLINE_HEADER: &str = "shallottack-deadline-ms";
/// Header with the number of retries that remain for a call and all calls it makes in turn.
pub const RETRIES_HEADER: &str = "shallottack-retries";
/// Header with the caller's idempotency key for a request that must run at most once.
pub const KEY_HEADER: &str = "idempotency-key";

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that contains the change.
    pub version: Version,
    /// Whether the change was merged with other changes made since its base version.
    pub merged: bool,
}

/// Body of the answer to a refused or failed request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind of the error.
    pub error: ErrorKind,
    /// Human-readable description of the error.
    pub detail: String,
    /// Whether the request was run.
    pub run: Run,
    /// Whether the request can be repeated without the risk of running it twice.
    pub repeat_safe: bool,
    /// Delay before a retry, in milliseconds in JSON.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Option<Duration>,
}

/// Status of the mesh as seen by one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Daemon that sent this status.
    pub endpoint: EndpointId,
    /// Version in force on this daemon.
    pub in_force: Version,
    /// Status of each known data centre.
    pub data_centres: Vec<DataCentreStatus>,
    /// Number of endpoints of each service and group.
    pub services: Vec<ServiceStatus>,
}

/// Versions in force in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Daemon that fetches the configuration from the platform for the data centre, if known.
    pub source: Option<EndpointId>,
    /// Number of live daemons according to the membership protocol.
    pub members: u32,
    /// Number of daemons included in the report.
    pub reported: u32,
    /// Lowest version in force among the reported daemons.
    pub lowest: Version,
    /// Reported daemons that are behind, at most 16.
    pub lagging: Vec<EndpointId>,
    /// Reason why there is no report, if there is none.
    pub problem: Option<String>,
}

/// Number of endpoints of one service and group by state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: ServiceName,
    /// Version of the service that the endpoints run.
    pub group: GroupName,
    /// Number of endpoints that accept calls.
    pub ready: u32,
    /// Number of endpoints in any other state.
    pub other: u32,
}

/// Status of one class on one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// Name of the class.
    pub class: ClassName,
    /// Number of calls answered in the last 10 to 20 s.
    pub answered: u64,
    /// Number of calls refused in the last 10 to 20 s.
    pub refused: u64,
    /// Number of calls that failed in the last 10 to 20 s.
    pub failed: u64,
    /// Latency at the quantile of the target, in milliseconds; `None` without calls.
    pub latency_ms: Option<f64>,
    /// Whether the targets are met; `None` without calls.
    pub met: Option<bool>,
    /// Cause of the missed targets, if they are not met and the cause is known.
    pub held_back: Option<String>,
}
