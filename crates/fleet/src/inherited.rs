//! Runs that an earlier daemon on the VM may have left at the backend server.

use std::time::Duration;

use shallottack_kernel::Time;

/// Runs of an earlier daemon, which end one after the other until a given time.
#[derive(Debug, Default)]
pub(crate) struct InheritedRuns {
    count: u32,
    from: Time,
    within: Duration,
}

impl InheritedRuns {
    /// Assumes that `count` runs were in progress at `from`, the last of which ends `within` then.
    pub(crate) fn new(count: u32, from: Time, within: Duration) -> InheritedRuns {
        InheritedRuns { count, from, within }
    }

    /// Returns the number of runs that may still be in progress.
    pub(crate) fn running(&self, now: Time) -> u32 {
        let left = (self.from + self.within).since(now);
        if left.is_zero() {
            return 0;
        }
        let share = left.as_secs_f64() / self.within.as_secs_f64();
        (f64::from(self.count) * share.min(1.0)).ceil() as u32
    }

    /// Returns the time until the next run is assumed to have ended, zero if none is in progress.
    pub(crate) fn next_end(&self, now: Time) -> Duration {
        let running = self.running(now);
        if running == 0 {
            return Duration::ZERO;
        }
        let ended = f64::from(self.count - running + 1) / f64::from(self.count);
        (self.from + self.within.mul_f64(ended)).since(now)
    }
}
