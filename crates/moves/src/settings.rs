//! Settings of moves and the class targets they are tested against.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_config::{Class, Route};
use shallottack_kernel::RouteName;

/// Settings of the [`MoveController`](crate::MoveController) and the
/// [`CircuitBreaker`](crate::CircuitBreaker).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Share of the new group at each step; the last one is 1.
    pub steps: Vec<f64>,
    /// Share of calls that stay with the old group until its ready time ends, so that late faults
    /// of the version can be distinguished from faults of a shared backend.
    pub control_share: f64,
    /// Minimum time at a step.
    pub min_dwell: Duration,
    /// Fraction of the time to the deadline over which the remaining steps are spread.
    pub dwell_fraction: f64,
    /// Number of calls of the new group that a route needs at each step, if its rate allows.
    pub step_calls: u64,
    /// Probability that the comparison rolls back a version no worse than the old one during one
    /// move, if calls fail independently.
    pub false_alarms: f64,
    /// Ratio of the rates of bad calls (new to old) up to which the new group counts as no worse.
    pub tolerance: f64,
    /// Number of observations of a route over which the false alarm rate is spread.
    pub horizon: u32,
    /// Maximum log-likelihood ratio of one observation with several bad calls, so that one short
    /// stall of an endpoint never rolls back a move.
    pub max_llr: f64,
    /// Log-likelihood ratio at which the test against the class target pauses the move.
    pub target_score: f64,
    /// Log-likelihood ratio about the old group that ends a pause, in either direction.
    pub pause_score: f64,
    /// Fraction of the (logarithmic) threshold of a test from which a route is suspect. The share
    /// is not raised while a route is suspect.
    pub suspect_fraction: f64,
    /// Calls per second to the new group that steering aims at on an idempotent route with few
    /// calls.
    pub steered_rate: f64,
    /// Maximum share of the new group on a route by steering.
    pub steered_share: f64,
    /// Maximum fraction of the service's calls that steering sends to the new group on one route,
    /// so that steering does not speed up the move of a service with few calls.
    pub steered_fraction: f64,
    /// Time for which the old group is kept ready after the move finished.
    pub ready_time: Duration,
    /// Last fraction of the time from start to deadline, in which missing evidence is reported.
    pub risk_fraction: f64,
    /// Time for which an open circuit breaker stops sending.
    pub breaker_hold: Duration,
    /// Score at which a circuit breaker opens; e to this power is the mean number of calls between
    /// false openings.
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

/// Route of the moved service with the targets of its class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteClass {
    /// Name of the route.
    pub route: RouteName,
    /// Latency target: a call that takes longer is slow.
    pub within: Duration,
    /// Share of calls that may fail.
    pub failures: f64,
    /// Share of calls that may be slow.
    pub slow: f64,
    /// Whether calls are idempotent, so that they may be steered to the new group.
    pub idempotent: bool,
}

impl RouteClass {
    /// Creates the targets of a route from its class.
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
