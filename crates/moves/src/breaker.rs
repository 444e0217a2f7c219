//! Circuit breaker that stops one daemon from sending to the new group.

use serde::{Deserialize, Serialize};
use shallottack_kernel::Time;

use crate::{Outcome, RouteClass, Settings, Side};

/// Order to send no calls to the new group for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopSending {
    /// Time from which the daemon may send again, unless the move was rolled back.
    pub until: Time,
}

/// Lower bound of the baseline rate of bad calls.
const MIN_BASELINE: f64 = 0.02;
/// Lowest rate of bad calls that the circuit breaker detects. Lower rates are left to the
/// comparison over all daemons.
const MIN_FAULT_RATE: f64 = 0.25;
/// Weight of one call in the moving average of its group's rate of bad calls.
const RATE_WEIGHT: f64 = 0.05;

/// Circuit breaker of one daemon for one route.
///
/// Runs a cumulative sum (CUSUM) test on the new group's bad calls, which failed or were slow. The
/// baseline is twice the larger of the class target and the old group's recent rate.
#[derive(Debug, Clone, PartialEq)]
pub struct CircuitBreaker {
    within: std::time::Duration,
    allowed: f64,
    old_rate: f64,
    new_rate: f64,
    score: f64,
    open_until: Option<Time>,
}

impl CircuitBreaker {
    /// Creates the closed circuit breaker of a route.
    pub fn new(class: &RouteClass) -> CircuitBreaker {
        CircuitBreaker {
            within: class.within,
            allowed: class.failures.max(class.slow),
            old_rate: 0.0,
            new_rate: 0.0,
            score: 0.0,
            open_until: None,
        }
    }

    /// Records the outcome of a call. Returns the order to stop sending if this call opens the
    /// circuit breaker.
    pub fn observe(
        &mut self,
        settings: &Settings,
        now: Time,
        side: Side,
        outcome: Outcome,
    ) -> Option<StopSending> {
        let bad = outcome.failed || (!outcome.cold && outcome.latency > self.within);
        if side == Side::Old {
            self.old_rate += RATE_WEIGHT * (f64::from(u8::from(bad)) - self.old_rate);
            return None;
        }
        self.new_rate += RATE_WEIGHT * (f64::from(u8::from(bad)) - self.new_rate);
        if self.is_open(now) {
            return None;
        }
        let baseline = (2.0 * self.allowed.max(self.old_rate)).clamp(MIN_BASELINE, 0.45);
        let fault = (3.0 * baseline).clamp(MIN_FAULT_RATE, 0.9);
        let gain = if bad { fault / baseline } else { (1.0 - fault) / (1.0 - baseline) };
        self.score = (self.score + gain.ln()).max(0.0);
        // A fault of a shared backend affects both groups, so stopping would not help.
        if self.score < settings.breaker_score || self.new_rate < 2.0 * self.old_rate {
            return None;
        }
        self.score = 0.0;
        let until = now + settings.breaker_hold;
        self.open_until = Some(until);
        Some(StopSending { until })
    }

    /// Returns whether the circuit breaker is open, so that the daemon must not send to the new
    /// group.
    pub fn is_open(&self, now: Time) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }
}
