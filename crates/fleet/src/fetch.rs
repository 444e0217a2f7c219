//! When another daemon is asked for newer rows of the operators.
//!
//! Answers slow links and daemons that end: several answers at once would hold each other up on a
//! slow link, while a single one may never come.

use std::time::Duration;

use shallottack_kernel::{EndpointId, Time};
use smallvec::SmallVec;

/// Figures of the questions to other daemons.
#[derive(Debug, Clone, Copy)]
pub struct FetchSettings {
    /// Time after which a daemon is asked that has newer rows; most daemons get them from the store
    /// or from their own data centre meanwhile. A sixth of the shortest time within which a
    /// configuration has to be in force.
    pub remote_delay: Duration,
    /// Time for an answer after which a second daemon is asked too: a configuration of 1,500 routes
    /// takes a third of it over half of a link of 10 Mbit/s.
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

/// What to do about newer rows that another daemon has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchDecision {
    /// Ask it now.
    Now,
    /// Ask it after this time, unless they have come by then.
    After(Duration),
    /// Leave it; another daemon is being asked.
    Skip,
}

/// Daemons that are being asked.
#[derive(Debug, Default)]
pub struct FetchTracker {
    settings: FetchSettings,
    asked: SmallVec<[(EndpointId, Time); 2]>,
}

impl FetchTracker {
    /// Most daemons that are asked at once.
    const MOST: usize = 2;

    /// Decides what to do about newer rows of another daemon; `near` states whether it is the one
    /// that they are expected from.
    pub fn decide(&self, now: Time, near: bool) -> FetchDecision {
        match (near, self.may_ask(now)) {
            (false, _) => FetchDecision::After(self.settings.remote_delay),
            (true, true) => FetchDecision::Now,
            (true, false) => FetchDecision::Skip,
        }
    }

    /// Notes that a daemon is asked. Returns whether it may be.
    pub fn begin(&mut self, now: Time, vm: &EndpointId) -> bool {
        let asked = self.asked.iter().any(|it| it.0 == *vm);
        let begun = !asked && self.may_ask(now);
        if begun {
            self.asked.push((vm.clone(), now));
        }
        begun
    }

    /// Notes that a daemon has answered, or that its answer is given up.
    pub fn end(&mut self, vm: &EndpointId) {
        self.asked.retain(|it| it.0 != *vm);
    }

    fn may_ask(&self, now: Time) -> bool {
        let patience = self.settings.hedge_delay;
        self.asked.len() < Self::MOST && self.asked.iter().all(|it| now.since(it.1) >= patience)
    }
}
