//! The pull under way, and the bound on snapshot transfers served.

use std::{collections::VecDeque, time::Duration};

use rand::Rng;
use shallottack_config::Version;
use shallottack_kernel::{EndpointId, Time};

use crate::{Settings, settings::jitter};

/// Window over which snapshot transfers are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// State of this daemon's own pulls; at most one is under way, so that snapshots of several peers
/// never arrive at once.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pull {
    /// The peer asked and when the pull is given up.
    pub(crate) pending: Option<(EndpointId, Time)>,
    /// A peer known to be ahead.
    pub(crate) ahead: Option<(EndpointId, Version)>,
    /// The peer that was busy last and when it may be asked again.
    pub(crate) busy: Option<(EndpointId, Time)>,
    /// When to pull from a random peer, while nothing is in force.
    pub(crate) retry_at: Time,
    /// Pulls from random peers so far.
    pub(crate) retries: u32,
}

impl Pull {
    /// Ends the pull from `from`, if that is the one under way.
    pub(crate) fn finish(&mut self, from: &EndpointId) {
        if self.pending.as_ref().is_some_and(|(peer, _)| peer == from) {
            self.pending = None;
        }
    }

    /// Remembers a peer that is ahead, unless one that is at least as far is known or the peer
    /// asked for time.
    pub(crate) fn note(&mut self, now: Time, from: &EndpointId, version: Version) {
        if self.busy.as_ref().is_some_and(|(peer, until)| peer == from && now < *until) {
            return;
        }
        if self.ahead.as_ref().is_none_or(|(_, known)| version > *known) {
            self.ahead = Some((from.clone(), version));
        }
    }

    /// Forgets that `from` is ahead.
    pub(crate) fn forget(&mut self, from: &EndpointId) {
        if self.ahead.as_ref().is_some_and(|(peer, _)| peer == from) {
            self.ahead = None;
        }
    }

    /// Gives up a pull that got no answer.
    pub(crate) fn expire(&mut self, now: Time) {
        if let Some((peer, _)) = self.pending.take_if(|(_, until)| now >= *until) {
            self.forget(&peer);
        }
    }

    /// Returns the peer to pull from now, with `held` in hand.
    pub(crate) fn next(&mut self, now: Time, held: Version) -> Option<EndpointId> {
        if self.pending.as_ref().is_some_and(|(_, until)| now < *until) {
            return None;
        }
        self.pending = None;
        self.ahead.take_if(|(_, version)| *version <= held);
        self.ahead.as_ref().map(|(peer, _)| peer.clone())
    }
}

/// Bound on the snapshot transfers served in any second.
#[derive(Debug, Clone, Default)]
pub(crate) struct Transfers {
    /// Times of the transfers in the window.
    served: VecDeque<Time>,
    /// Requests put off since the last transfer was served.
    deferred: u32,
}

impl Transfers {
    /// Admits a transfer, or returns the time after which to ask again.
    ///
    /// # Errors
    ///
    /// Returns that time when the bound is reached. It grows with the number of requests put off,
    /// so that they do not all return at once.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        settings: &Settings,
    ) -> Result<(), Duration> {
        while self.served.front().is_some_and(|at| now - *at >= WINDOW) {
            self.served.pop_front();
        }
        if self.served.len() < settings.transfer_rate {
            self.served.push_back(now);
            self.deferred = 0;
            return Ok(());
        }
        let free = self.served.front().map_or(WINDOW, |at| (*at + WINDOW) - now);
        let rounds = self.deferred / settings.transfer_rate.max(1) as u32 + 1;
        self.deferred += 1;
        Err(free + jitter(rng, (WINDOW * rounds).min(settings.transfer_wait)))
    }
}
