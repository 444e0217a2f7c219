//! Latency target and retry tokens of a class.

use std::time::Duration;

use shallottack_config::LatencyTarget;

use crate::Settings;

/// Weight of one attempt in the share of refused attempts.
const REFUSED_WEIGHT: f64 = 0.02;

/// What routing keeps for a class.
#[derive(Debug)]
pub(crate) struct ClassState {
    pub within: Duration,
    /// Number of mean deviations above the mean at which the quantile of the target is expected.
    pub spread: f64,
    tokens: f64,
    refused: f64,
}

impl ClassState {
    pub fn new(target: &LatencyTarget, settings: &Settings) -> ClassState {
        let mut state = ClassState {
            within: target.within,
            spread: 0.0,
            tokens: settings.retry_burst,
            refused: 0.0,
        };
        state.set_target(target);
        state
    }

    pub fn set_target(&mut self, target: &LatencyTarget) {
        self.within = target.within;
        // Of an exponential tail: quantile q lies at ln(1 / (1 - q)) means, one of which is the
        // mean itself.
        self.spread = (-(1.0 - target.quantile).max(1e-6).ln() - 1.0).max(0.0);
    }

    /// Counts a call, which earns part of a retry.
    pub fn count_call(&mut self, settings: &Settings) {
        let (share, most) = if self.overloaded(settings) {
            (settings.overload_ratio, 1.0)
        } else {
            (settings.retry_ratio, settings.retry_burst)
        };
        // Savings from before an overload would feed it.
        self.tokens = (self.tokens + share).min(most);
    }

    /// Counts the end of an attempt.
    pub fn count_attempt(&mut self, refused: bool) {
        self.refused += (f64::from(u8::from(refused)) - self.refused) * REFUSED_WEIGHT;
    }

    /// Takes the token for a retry, if there is one.
    pub fn take_token(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    fn overloaded(&self, settings: &Settings) -> bool {
        self.refused > settings.overload_threshold
    }
}
