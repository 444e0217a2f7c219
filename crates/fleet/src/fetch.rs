//! Scheduling of fetches of newer operators' rows from other daemons.
//!
//! Rows that are missing are asked for until they are there, at a bounded rate. A fetch whose answer
//! is late does not end, since the answer may only wait on a busy link; it does not keep the next
//! daemon from being asked either.

use std::time::Duration;

use shallottack_kernel::{EndpointId, Time};
use smallvec::SmallVec;

/// Settings of the fetches.
#[derive(Debug, Clone, Copy)]
pub struct FetchSettings {
    /// Delay before newer rows are fetched from a daemon that is not the expected source. During
    /// this delay most daemons get them from the store or from their own data centre. A sixth of
    /// the shortest time within which a configuration has to be in force.
    pub remote_delay: Duration,
    /// Time after a fetch began at which another daemon is asked as well. A configuration of 1,500
    /// routes takes a third of it over half of a link of 10 Mbit/s.
    pub hedge_delay: Duration,
    /// Number of pending fetches from which on the time between two of them is doubled, since their
    /// answers delay each other on a slow link.
    pub max_prompt: usize,
}

impl Default for FetchSettings {
    fn default() -> Self {
        FetchSettings {
            remote_delay: Duration::from_millis(400),
            hedge_delay: Duration::from_millis(500),
            max_prompt: 3,
        }
    }
}

/// Next step while rows are missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchStep {
    /// Fetch them from the daemon of this VM, and ask for the next step.
    Fetch(EndpointId),
    /// Ask for the next step after this time.
    Wait(Duration),
    /// Nothing is missing, or no daemon is known that has it.
    Done,
}

/// A daemon that has stated newer rows.
#[derive(Debug)]
struct Source {
    vm: EndpointId,
    /// Time from which on it may be asked.
    from: Time,
    /// Time at which it was last asked.
    asked: Option<Time>,
}

/// Fetches of the rows that are missing.
#[derive(Debug, Default)]
pub struct FetchTracker {
    settings: FetchSettings,
    /// Daemons that may have the rows, in the order in which they first stated them.
    sources: SmallVec<[Source; FetchTracker::MAX_SOURCES]>,
    /// Daemons whose answers have not arrived.
    pending: SmallVec<[EndpointId; 4]>,
    /// Time at which the last fetch began.
    last: Option<Time>,
    /// Whether the steps are being taken.
    running: bool,
}

impl FetchTracker {
    /// Maximum number of daemons that are remembered as sources.
    const MAX_SOURCES: usize = 8;

    /// Records that the daemon of a VM has rows that are missing here. Returns whether the caller
    /// has to start taking the steps.
    ///
    /// `near` states whether the rows are expected from that daemon.
    pub fn record_source(&mut self, now: Time, vm: &EndpointId, near: bool) -> bool {
        let from = if near { now } else { now + self.settings.remote_delay };
        match self.sources.iter_mut().find(|it| it.vm == *vm) {
            Some(source) => source.from = source.from.min(from),
            None => {
                if self.sources.len() == FetchTracker::MAX_SOURCES {
                    self.sources.remove(0);
                }
                self.sources.push(Source { vm: vm.clone(), from, asked: None });
            }
        }
        !std::mem::replace(&mut self.running, true)
    }

    /// Returns the next step, and records the fetch if it is one.
    ///
    /// `missing` states whether rows are still missing, and `is_connected` whether a connection to
    /// the daemon of a VM is open, since opening one takes further messages.
    pub fn step(
        &mut self,
        now: Time,
        missing: bool,
        is_connected: impl Fn(&EndpointId) -> bool,
    ) -> FetchStep {
        if !missing || self.sources.is_empty() {
            self.sources.clear();
            self.running = false;
            return FetchStep::Done;
        }
        let FetchSettings { hedge_delay, max_prompt, .. } = self.settings;
        let pause = if self.pending.len() < max_prompt { hedge_delay } else { hedge_delay * 2 };
        if !self.pending.is_empty()
            && let Some(left) = self.last.map(|it| (it + pause).since(now))
            && !left.is_zero()
        {
            return FetchStep::Wait(left);
        }
        let pending = &self.pending;
        let idle = self.sources.iter_mut().filter(|it| !pending.contains(&it.vm));
        let next = idle.min_by_key(|it| (it.from.max(now), !is_connected(&it.vm), it.asked));
        let Some(source) = next else { return FetchStep::Wait(pause) };
        let wait = source.from.since(now).max(retry_wait(now, source.asked, hedge_delay));
        if !wait.is_zero() {
            return FetchStep::Wait(wait);
        }
        source.asked = Some(now);
        self.last = Some(now);
        self.pending.push(source.vm.clone());
        FetchStep::Fetch(source.vm.clone())
    }

    /// Records that the fetch from the daemon of a VM has ended. One that was answered is not repeated
    /// until the daemon states newer rows again.
    pub fn end(&mut self, vm: &EndpointId, answered: bool) {
        self.pending.retain(|it| it != vm);
        if answered {
            self.sources.retain(|it| it.vm != *vm);
        }
    }
}

/// Returns how long to wait before a daemon is asked again that has failed to answer.
fn retry_wait(now: Time, asked: Option<Time>, pause: Duration) -> Duration {
    asked.map_or(Duration::ZERO, |it| (it + pause).since(now))
}
