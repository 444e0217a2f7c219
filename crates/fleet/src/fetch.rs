//! Scheduling of fetches of newer operators' rows from other daemons.
//!
//! At most two fetches run at once, the second as a hedge: several responses at a time delay each
//! other on a slow link, but the daemon asked first may have ended.

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
    /// Age of a pending fetch at which a second daemon is asked as well. A configuration of 1,500
    /// routes takes a third of it over half of a link of 10 Mbit/s.
    pub hedge_delay: Duration,
}

impl Default for FetchSettings {
    fn default() -> Self {
        FetchSettings {
            remote_delay: Duration::from_millis(400),
            hedge_delay: Duration::from_millis(500),
        }
    }
}

/// Decision on fetching newer rows that another daemon has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchDecision {
    /// Fetch them now.
    Now,
    /// Fetch them after this delay, unless they have arrived by then.
    After(Duration),
    /// Do not fetch them; another fetch is pending.
    Skip,
}

/// Pending fetches.
#[derive(Debug, Default)]
pub struct FetchTracker {
    settings: FetchSettings,
    pending: SmallVec<[(EndpointId, Time); 2]>,
}

impl FetchTracker {
    /// Maximum number of concurrent fetches.
    const MAX_PENDING: usize = 2;

    /// Decides whether to fetch newer rows from another daemon.
    ///
    /// `near` states whether the rows are expected from that daemon.
    pub fn decide(&self, now: Time, near: bool) -> FetchDecision {
        match (near, self.may_begin(now)) {
            (false, _) => FetchDecision::After(self.settings.remote_delay),
            (true, true) => FetchDecision::Now,
            (true, false) => FetchDecision::Skip,
        }
    }

    /// Begins a fetch from a daemon. Returns `false` if it must not be asked now.
    pub fn begin(&mut self, now: Time, vm: &EndpointId) -> bool {
        let pending = self.pending.iter().any(|it| it.0 == *vm);
        let begun = !pending && self.may_begin(now);
        if begun {
            self.pending.push((vm.clone(), now));
        }
        begun
    }

    /// Ends the fetch from a daemon, whether it succeeded or not.
    pub fn end(&mut self, vm: &EndpointId) {
        self.pending.retain(|it| it.0 != *vm);
    }

    fn may_begin(&self, now: Time) -> bool {
        let hedge_delay = self.settings.hedge_delay;
        self.pending.len() < Self::MAX_PENDING
            && self.pending.iter().all(|it| now.since(it.1) >= hedge_delay)
    }
}
