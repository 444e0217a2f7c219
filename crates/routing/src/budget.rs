//! Latency target and retry tokens of a class.

use std::time::Duration;

use shallottack_config::LatencyTarget;

use crate::Settings;

/// Smoothing factor of the moving average of the share of refused attempts.
const REFUSED_SMOOTHING: f64 = 0.02;

/// Latency target and retry tokens of a class.
#[derive(Debug)]
pub(crate) struct ClassState {
    pub within: Duration,
    /// Number of mean deviations above the mean at which the quantile of the target is expected.
    pub tail_deviations: f64,
    /// Retry tokens; a retry costs one.
    tokens: f64,
    /// Moving average of the share of attempts refused for overload.
    refused_share: f64,
}

impl ClassState {
    pub fn new(target: &LatencyTarget, settings: &Settings) -> ClassState {
        let mut state = ClassState {
            within: target.within,
            tail_deviations: 0.0,
            tokens: settings.retry_burst,
            refused_share: 0.0,
        };
        state.set_target(target);
        state
    }

    pub fn set_target(&mut self, target: &LatencyTarget) {
        self.within = target.within;
        // In an exponential distribution, quantile q is at ln(1 / (1 - q)) times the mean, which
        // is that number less 1 above the mean.
        self.tail_deviations = (-(1.0 - target.quantile).max(1e-6).ln() - 1.0).max(0.0);
    }

    /// Records a call, which earns part of a retry token.
    pub fn record_call(&mut self, settings: &Settings) {
        let (ratio, max) = if self.overloaded(settings) {
            (settings.overload_ratio, 1.0)
        } else {
            (settings.retry_ratio, settings.retry_burst)
        };
        // Under overload the maximum also discards tokens saved earlier, whose retries would add
        // to the load.
        self.tokens = (self.tokens + ratio).min(max);
    }

    /// Records the end of an attempt and whether it was refused for overload.
    pub fn record_attempt(&mut self, refused: bool) {
        self.refused_share +=
            (f64::from(u8::from(refused)) - self.refused_share) * REFUSED_SMOOTHING;
    }

    /// Takes the token for a retry and returns whether there was one.
    pub fn take_token(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    fn overloaded(&self, settings: &Settings) -> bool {
        self.refused_share > settings.overload_threshold
    }
}
