//! Figures of the moves core.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_config::{Class, Route};
use shallottack_kernel::RouteName;

/// Figures of the moves core.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Shares of the new group, step by step; the last one is 1.
    pub steps: Vec<f64>,
    /// Share of calls that stay with the old group until its ready time ends, so that late faults
    /// can be told from faults of a shared backend.
    pub control_share: f64,
    /// Shortest time at a step.
    pub min_dwell: Duration,
    /// Part of the time to the deadline over which the remaining steps are spread.
    pub dwell_fraction: f64,
    /// Calls of the new group that a route needs at each step when its rate allows.
    pub step_calls: u64,
    /// Probability that a version no worse than the old one is taken back by the sequential
    /// test during one move, for calls that fail independently.
    pub false_alarms: f64,
    /// Ratio of failure rates (new to old) up to which the new group counts as no worse.
    pub tolerance: f64,
    /// Observations of a route over which the false alarm rate is spread.
    pub horizon: u32,
    /// Largest logarithm of the evidence of one observation with several bad calls. One short stall of an endpoint then
    /// never takes a move back.
    pub max_llr: f64,
    /// Logarithm of the evidence at which the test against the class target pauses the move.
    pub target_score: f64,
    /// Logarithm of the evidence about the old group that ends a pause.
    pub pause_score: f64,
    /// Part of the threshold (as logarithm) above which a route is suspect and no share is raised.
    pub suspect_fraction: f64,
    /// Calls to the new group per second that steering gives a sparse idempotent route.
    pub steered_rate: f64,
    /// Largest share that steering gives.
    pub steered_share: f64,
    /// Largest part of the service's calls that steering sends from one route, so that a sparse
    /// service is not moved faster by it.
    pub steered_fraction: f64,
    /// Time for which the old group stays ready after the move.
    pub ready_time: Duration,
    /// Part of the time from start to deadline in which missing evidence is reported.
    pub risk_fraction: f64,
    /// Time for which a guard stops sending.
    pub breaker_hold: Duration,
    /// Score at which a guard stops; e to this power is the mean number of calls between false
    /// stops.
    pub breaker_score: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            steps: vec![0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0],
            control_share: 0.05,
            min_dwell: Duration::from_secs(5),
            dwell_fraction: 0.7,
            step_calls: 30,
            false_alarms: 0.001,
            tolerance: 2.0,
            horizon: 24_000,
            max_llr: 2.5,
            target_score: 14.0,
            pause_score: 7.0,
            suspect_fraction: 0.5,
            steered_rate: 40.0,
            steered_share: 0.3,
            steered_fraction: 0.05,
            ready_time: Duration::from_secs(600),
            risk_fraction: 0.2,
            breaker_hold: Duration::from_secs(3),
            breaker_score: 9.0,
        }
    }
}

/// A route of the moved service with the targets of its class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteClass {
    /// Name of the route.
    pub route: RouteName,
    /// Longest time for a call to count as in time.
    pub within: Duration,
    /// Share of calls that may fail.
    pub failures: f64,
    /// Share of calls that may be over `within`.
    pub slow: f64,
    /// Whether calls may be steered to the new group.
    pub idempotent: bool,
}

impl RouteClass {
    /// Creates the entry of a route from its class.
    pub fn new(route: &Route, class: &Class) -> RouteClass {
        RouteClass {
            route: route.name.clone(),
            within: class.latency.within,
            failures: class.failures,
            slow: 1.0 - class.latency.quantile,
            idempotent: class.idempotent,
        }
    }
}
