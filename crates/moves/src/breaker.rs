//! Guard of one daemon against a burst of faults of the new group.

use serde::{Deserialize, Serialize};
use shallottack_kernel::Time;

use crate::{Outcome, RouteClass, Settings, Side};

/// The daemon sends nothing to the new group until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopSending {
    /// Time at which the daemon may send again, if the move was not taken back.
    pub until: Time,
}

/// Least rate of bad calls that is taken as usual.
const LEAST_RATE: f64 = 0.02;
/// Least rate of bad calls that the guard looks for; slower faults are left to the fleet.
const BURST_RATE: f64 = 0.25;
/// Weight of one call in the recent rate of its group.
const WEIGHT: f64 = 0.05;

/// Guard of one daemon for one route: a cumulative sum test of the new group's bad calls against
/// twice the larger of the class target and the old group's recent rate.
#[derive(Debug, Clone, PartialEq)]
pub struct CircuitBreaker {
    within: std::time::Duration,
    allowed: f64,
    old_rate: f64,
    new_rate: f64,
    score: f64,
    stopped: Option<Time>,
}

impl CircuitBreaker {
    /// Creates the guard of a route.
    pub fn new(class: &RouteClass) -> CircuitBreaker {
        CircuitBreaker {
            within: class.within,
            allowed: class.failures.max(class.slow),
            old_rate: 0.0,
            new_rate: 0.0,
            score: 0.0,
            stopped: None,
        }
    }

    /// Takes the outcome of a call, and returns when the daemon must stop sending.
    pub fn observe(
        &mut self,
        settings: &Settings,
        now: Time,
        side: Side,
        outcome: Outcome,
    ) -> Option<StopSending> {
        let bad = outcome.failed || (!outcome.cold && outcome.latency > self.within);
        if side == Side::Old {
            self.old_rate += WEIGHT * (f64::from(u8::from(bad)) - self.old_rate);
            return None;
        }
        self.new_rate += WEIGHT * (f64::from(u8::from(bad)) - self.new_rate);
        if self.is_open(now) {
            return None;
        }
        let usual = (2.0 * self.allowed.max(self.old_rate)).clamp(LEAST_RATE, 0.45);
        let burst = (3.0 * usual).clamp(BURST_RATE, 0.9);
        let gain = if bad { burst / usual } else { (1.0 - burst) / (1.0 - usual) };
        self.score = (self.score + gain.ln()).max(0.0);
        // During a fault of the backend both groups are bad, and stopping would not help.
        if self.score < settings.breaker_score || self.new_rate < 2.0 * self.old_rate {
            return None;
        }
        self.score = 0.0;
        let until = now + settings.breaker_hold;
        self.stopped = Some(until);
        Some(StopSending { until })
    }

    /// Returns whether the daemon must not send to the new group.
    pub fn is_open(&self, now: Time) -> bool {
        self.stopped.is_some_and(|until| now < until)
    }
}
