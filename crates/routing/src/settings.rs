//! Figures of the routing core.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_config::LatencyTarget;

/// Figures of the routing core.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time over which the share of a cold endpoint grows to its full share.
    pub warm_up: Duration,
    /// Share of a cold endpoint at the start.
    pub min_weight: f64,
    /// Latency assumed for an endpoint without measurements.
    pub initial_latency: Duration,
    /// Weight of one answer in the latency average of an endpoint.
    pub latency_smoothing: f64,
    /// Time in which latency and queue length without new measurements count half.
    pub half_life: Duration,
    /// Consecutive failed answers or timeouts that eject an endpoint.
    pub consecutive_faults: u32,
    /// Excess of an endpoint's failure share over the median that ejects it.
    pub failure_excess: f64,
    /// Answers before the failure share counts.
    pub min_answers: u32,
    /// Weight of one answer in the failure share of an endpoint.
    pub failure_smoothing: f64,
    /// First ejection time; doubled with each further ejection.
    pub base_ejection: Duration,
    /// Longest ejection time.
    pub max_ejection: Duration,
    /// Retries of one call at this hop.
    pub hop_retries: u8,
    /// Retry budget of a call that starts at this daemon.
    pub initial_budget: u8,
    /// Retries per call of a class.
    pub retry_ratio: f64,
    /// Retries per call of a class under overload.
    pub overload_ratio: f64,
    /// Retries that a class can save up.
    pub retry_burst: f64,
    /// Share of attempts refused for overload above which a class is under overload.
    pub overload_threshold: f64,
    /// Longest random delay before the first retry after a refusal; doubled for the second.
    pub retry_backoff: Duration,
    /// Time after which to retry that is told when no endpoint states one.
    pub retry_after: Duration,
    /// Latency target of calls whose class is not in the catalog.
    pub unlisted_target: LatencyTarget,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            warm_up: Duration::from_secs(10),
            min_weight: 0.02,
            initial_latency: Duration::from_millis(5),
            latency_smoothing: 0.1,
            half_life: Duration::from_secs(2),
            consecutive_faults: 5,
            failure_excess: 0.2,
            min_answers: 20,
            failure_smoothing: 0.05,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            hop_retries: 2,
            initial_budget: 8,
            retry_ratio: 0.1,
            overload_ratio: 0.01,
            retry_burst: 10.0,
            overload_threshold: 0.1,
            retry_backoff: Duration::from_millis(5),
            retry_after: Duration::from_secs(1),
            unlisted_target: LatencyTarget { quantile: 0.99, within: Duration::from_secs(1) },
        }
    }
}
