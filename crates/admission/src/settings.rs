//! Figures of the admission core.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_config::LatencyTarget;

/// Figures of the admission core.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Highest concurrency limit as a multiple of the announced slots.
    pub limit_factor: u32,
    /// Factor applied to the limit on evidence of overload.
    pub decrease_factor: f64,
    /// Factor applied instead when the class of a shed call misses its failure target.
    pub failing_factor: f64,
    /// Ratio of latency to its floor above which the backend server counts as slow.
    pub slow_ratio: f64,
    /// Ratio below which the limit may grow above the announced slots.
    pub increase_ratio: f64,
    /// Ratio above which a limit above the announced slots goes down by one.
    pub decrease_ratio: f64,
    /// Time without evidence of overload after which a limit below the slots goes up by one.
    pub recovery_interval: Duration,
    /// Share of its time to the deadline that a call is queued at most. Without such a bound a call
    /// whose expected end is always just before its deadline is refused just before it.
    pub deadline_share: f64,
    /// Share of the latency target of a class that its queue takes at most; the rest is for the
    /// spread of service times.
    pub target_share: f64,
    /// Longest queue of a class in calls.
    pub max_queued: usize,
    /// Time between two checks of the deadlines of queued calls.
    pub check_interval: Duration,
    /// Service time assumed for a class without any measurement or estimate.
    pub initial_cost: Duration,
    /// Shortest time after which a refused caller is told to retry.
    pub min_retry: Duration,
    /// Longest time after which a refused caller is told to retry.
    pub max_retry: Duration,
    /// Length of each of the two windows that a class report covers.
    pub report_window: Duration,
    /// Latency target of calls whose class is not in the catalog.
    pub unlisted_latency: LatencyTarget,
    /// Failure target of calls whose class is not in the catalog.
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
