//! Settings of the admission controller.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_config::LatencyTarget;

/// Settings of the admission controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Highest concurrency limit, as a multiple of the announced slots.
    pub limit_factor: u32,
    /// Factor by which the limit is multiplied on a sign of overload.
    pub decrease_factor: f64,
    /// Factor used instead of `decrease_factor` when the class of a shed call misses its failure
    /// target.
    pub failing_factor: f64,
    /// Ratio of latency to its baseline above which the backend server counts as slow.
    pub slow_ratio: f64,
    /// Ratio of latency to its baseline below which the limit may rise above the announced slots.
    pub increase_ratio: f64,
    /// Ratio of latency to its baseline above which a limit above the announced slots is lowered
    /// by 1.
    pub decrease_ratio: f64,
    /// Time without a sign of overload after which a limit below the announced slots is raised
    /// by 1.
    pub recovery_interval: Duration,
    /// Largest share of the time between a call's arrival and its deadline that the call may
    /// spend in the queue. Without this bound, a call whose expected end stays just before its
    /// deadline would be refused only just before the deadline.
    pub deadline_share: f64,
    /// Largest share of a class's latency target that its queue may use up. The rest allows for
    /// the variance of service times.
    pub target_share: f64,
    /// Maximum number of queued calls per class.
    pub max_queued: usize,
    /// Interval at which the deadlines of queued calls are checked.
    pub check_interval: Duration,
    /// Service time assumed for a class that has neither a measurement nor an estimate.
    pub initial_cost: Duration,
    /// Shortest retry-after time given to a refused caller.
    pub min_retry: Duration,
    /// Longest retry-after time given to a refused caller.
    pub max_retry: Duration,
    /// Length of each of the two windows that a class report covers.
    pub report_window: Duration,
    /// Latency target for calls whose class is not in the catalog.
    pub unlisted_latency: LatencyTarget,
    /// Highest share of failed calls among calls whose class is not in the catalog.
    pub unlisted_failures: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            limit_factor: 4,
            decrease_factor: 0.9,
            failing_factor: 0.7,
            slow_ratio: 2.0,
            increase_ratio: 1.05,
            decrease_ratio: 1.15,
            recovery_interval: Duration::from_secs(1),
            deadline_share: 0.5,
            target_share: 0.75,
            max_queued: 512,
            check_interval: Duration::from_millis(5),
            initial_cost: Duration::from_millis(10),
            min_retry: Duration::from_millis(10),
            max_retry: Duration::from_secs(30),
            report_window: Duration::from_secs(10),
            unlisted_latency: LatencyTarget { quantile: 0.99, within: Duration::from_secs(1) },
            unlisted_failures: 0.05,
        }
    }
}
