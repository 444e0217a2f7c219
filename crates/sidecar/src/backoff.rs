//! Exponential backoff for failed requests to the store.

use std::time::Duration;

use async_std::task;
use rand::RngExt;

/// Pause after the first failure; doubles with each further one up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause. Members must be visible again within two seconds after the store recovers.
const MAX_PAUSE: Duration = Duration::from_millis(700);

/// Exponential backoff with jitter.
pub struct Backoff {
    pause: Duration,
}

impl Backoff {
    /// Creates a backoff that starts with the shortest pause.
    pub fn new() -> Backoff {
        Backoff { pause: FIRST_PAUSE }
    }

    /// Waits for the current pause and doubles it.
    ///
    /// Jitter spreads the retries of daemons that failed at the same time.
    pub async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.6..1.4);
        task::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
