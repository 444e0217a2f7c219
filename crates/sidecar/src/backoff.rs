//! Pauses between calls of the store that fail.

use std::time::Duration;

use async_std::task;
use rand::RngExt;

/// Pause after the first failed call; doubled up to the longest.
const FIRST: Duration = Duration::from_millis(60);
/// Longest pause: the entries have to be back two seconds after the store.
const LONGEST: Duration = Duration::from_millis(700);

/// Pause that grows with each failed call.
pub struct Backoff {
    pause: Duration,
}

impl Backoff {
    /// Creates the pause after a first failure.
    pub fn new() -> Backoff {
        Backoff { pause: FIRST }
    }

    /// Waits, with jitter so that daemons that failed together spread.
    pub async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.6..1.4);
        task::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(LONGEST);
    }
}
