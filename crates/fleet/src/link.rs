//! Pacing of large messages on the VM's link.
//!
//! Answers a slow link that carries large responses besides the small answers of calls that running
//! requests wait for. A large message is sent once those before it have left the link, so that small
//! ones, which are never held back, wait behind a part of one at most.

use std::time::Duration;

use shallottack_kernel::Time;

/// Size from which a message counts as large, in bytes.
pub const LARGE_BYTES: usize = 16 * 1024;
/// Share of the link that large messages fill. The rest is left to headers, acknowledgements and
/// messages that this record does not see.
pub(crate) const PACED_SHARE: f64 = 0.8;

/// Messages that a VM sends over its link.
#[derive(Debug)]
pub struct Link {
    /// Paced bandwidth in bytes per second.
    rate: f64,
    /// Time at which the link has carried all messages so far.
    free_at: Time,
}

impl Link {
    /// Creates an idle link of `kbps` kilobits per second.
    pub fn new(kbps: u32) -> Link {
        let rate = f64::from(kbps.max(1)) * 1_000.0 / 8.0 * PACED_SHARE;
        Link { rate, free_at: Time::default() }
    }

    /// Records a message of `bytes` and returns how long to hold it back.
    pub fn send(&mut self, now: Time, bytes: usize) -> Duration {
        let backlog = self.backlog(now);
        self.free_at = now + backlog + Duration::from_secs_f64(bytes as f64 / self.rate);
        if bytes >= LARGE_BYTES { backlog } else { Duration::ZERO }
    }

    /// Returns the time until the link has carried all messages so far.
    pub fn backlog(&self, now: Time) -> Duration {
        self.free_at.since(now)
    }
}
