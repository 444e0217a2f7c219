//! Settings of the router.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_config::LatencyTarget;

/// Settings of the router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time over which the weight of a cold endpoint rises to its full weight (slow start).
    pub warm_up: Duration,
    /// Smallest weight of an endpoint, such as a cold one at the start of its warm-up.
    pub min_weight: f64,
    /// Latency assumed for an endpoint without measurements.
    pub initial_latency: Duration,
    /// Smoothing factor of the moving average of an endpoint's latency.
    pub latency_smoothing: f64,
    /// Time after which a latency or queue length that was not measured again counts half.
    pub half_life: Duration,
    /// Number of consecutive failed answers or timeouts that eject an endpoint.
    pub consecutive_faults: u32,
    /// Difference between the failure share of an endpoint and the median of the others above which
    /// the endpoint is ejected.
    pub failure_excess: f64,
    /// Number of answers from which on the failure share of an endpoint is used.
    pub min_answers: u32,
    /// Smoothing factor of the moving average of an endpoint's failure share.
    pub failure_smoothing: f64,
    /// Duration of the first ejection, doubled with each further ejection.
    pub base_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
    /// Maximum number of retries of a call at this hop.
    pub hop_retries: u8,
    /// Retry budget of a call that starts at this daemon.
    pub initial_budget: u8,
    /// Retry tokens that a class earns per call.
    pub retry_ratio: f64,
    /// Retry tokens that a class earns per call under overload.
    pub overload_ratio: f64,
    /// Maximum number of retry tokens of a class.
    pub retry_burst: f64,
    /// Share of attempts refused for overload above which a class counts as under overload.
    pub overload_threshold: f64,
    /// Longest random delay before the first retry after a refusal, doubled for the second.
    pub retry_backoff: Duration,
    /// Retry-after time for callers when no endpoint states one.
    pub retry_after: Duration,
    /// Latency target for calls whose class is not in the catalog.
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
