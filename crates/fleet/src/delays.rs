//! Time that messages of other daemons were on the way.
//!
//! The clocks of two daemons have different origins. The least difference between the time of
//! arrival and the time of sending, each on its own clock, is that of a message that was hardly
//! delayed. What another message exceeds it by is a lower bound of its time on the way.

use std::{collections::HashMap, time::Duration};

use shallottack_kernel::Time;

/// Largest drift between two clocks, as a share of the time that passes; crystals stay below a
/// tenth of it.
const MAX_DRIFT: f64 = 0.000_5;
/// Time over which the least difference is taken; the one before it counts as well. After a VM was
/// paused with its clock, its messages look late for two of them.
const WINDOW: Duration = Duration::from_secs(5);
/// Time after which a daemon that sends nothing is forgotten; it has stopped.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);
/// Number of daemons from which those to forget are looked for.
const MIN_TRACKED: usize = 1_024;

/// Least differences between the clocks, as receiver's time less sender's time in microseconds.
#[derive(Debug, Clone, Copy)]
struct Baseline {
    /// Least one of the current window.
    current: f64,
    /// Least one of the window before.
    previous: f64,
    /// Start of the current window.
    began: Time,
    updated: Time,
}

/// Least delays of the messages of each daemon.
#[derive(Debug, Default)]
pub struct Delays {
    daemons: HashMap<u64, Baseline>,
}

impl Delays {
    /// Records a message that `daemon` sent at `sent` on its own clock. Returns a lower bound of the
    /// time that it was on the way, zero for the first message.
    pub fn record(&mut self, now: Time, daemon: u64, sent: Time) -> Duration {
        if self.daemons.len() >= MIN_TRACKED && !self.daemons.contains_key(&daemon) {
            self.daemons.retain(|_, it| now.since(it.updated) < FORGET_AFTER);
        }
        let micros = now.0 as f64 - sent.0 as f64;
        let first = Baseline { current: micros, previous: micros, began: now, updated: now };
        let it = self.daemons.entry(daemon).or_insert(first);
        // The clocks may have drifted apart since the last message.
        let drift = now.since(it.updated).as_micros() as f64 * MAX_DRIFT;
        (it.current, it.previous) = (it.current + drift, it.previous + drift);
        it.updated = now;
        if now.since(it.began) >= WINDOW {
            (it.previous, it.current, it.began) = (it.current, micros, now);
        }
        it.current = it.current.min(micros);
        Duration::from_micros((micros - it.current.min(it.previous)).max(0.0) as u64)
    }
}
