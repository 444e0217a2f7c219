//! Rate limit that a backend server states in its responses.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Lowest rate at which requests are sent, in requests per second. Only a response shows that the
/// limit has ended, also that of a backend server that takes no requests.
const MIN_RATE: f64 = 0.5;

/// Number of requests per second that a backend server takes from all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit {
    /// Mean time between two requests in microseconds.
    interval_us: u32,
}

impl RateLimit {
    /// Creates a limit of `rate` requests per second; `None` if this is negative or not a number.
    pub fn per_second(rate: f64) -> Option<RateLimit> {
        let interval_us = (1_000_000.0 / rate.max(MIN_RATE)).ceil() as u32;
        (rate >= 0.0).then_some(RateLimit { interval_us })
    }

    /// Returns the mean time between two requests.
    pub fn interval(self) -> Duration {
        Duration::from_micros(u64::from(self.interval_us))
    }

    /// Returns the number of requests per second.
    pub fn rate(self) -> f64 {
        1.0 / self.interval().as_secs_f64()
    }
}
