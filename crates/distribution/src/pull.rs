//! Pulls from peers, and the rate limit of snapshot transfers to peers.

use std::{collections::VecDeque, time::Duration};

use rand::Rng;
use shallottack_config::Version;
use shallottack_kernel::{EndpointId, Time};

use crate::{Settings, settings::jitter};

/// Window over which snapshot transfers are counted.
const TRANSFER_WINDOW: Duration = Duration::from_secs(1);

/// State of the local daemon's pulls. At most one is in progress, so that several peers never send
/// snapshots at the same time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pull {
    /// The peer of the pull in progress and the time at which the pull times out.
    pub(crate) pending: Option<(EndpointId, Time)>,
    /// The peer with the highest known version, and that version.
    pub(crate) ahead: Option<(EndpointId, Version)>,
    /// The last peer that was busy, and the time from which it may be asked again.
    pub(crate) busy: Option<(EndpointId, Time)>,
    /// Time of the next pull from a random peer while no version is in force.
    pub(crate) retry_at: Time,
    /// Number of pulls from random peers, which determines the backoff.
    pub(crate) retries: u32,
}

impl Pull {
    /// Ends the pull in progress if it is from `from`.
    pub(crate) fn finish(&mut self, from: &EndpointId) {
        if self.pending.as_ref().is_some_and(|(peer, _)| peer == from) {
            self.pending = None;
        }
    }

    /// Records the version of a peer, unless the recorded one is at least as high or the peer is
    /// busy.
    pub(crate) fn record_ahead(&mut self, now: Time, from: &EndpointId, version: Version) {
        if self.busy.as_ref().is_some_and(|(peer, until)| peer == from && now < *until) {
            return;
        }
        if self.ahead.as_ref().is_none_or(|(_, known)| version > *known) {
            self.ahead = Some((from.clone(), version));
        }
    }

    /// Removes the recorded version of `from`.
    pub(crate) fn forget(&mut self, from: &EndpointId) {
        if self.ahead.as_ref().is_some_and(|(peer, _)| peer == from) {
            self.ahead = None;
        }
    }

    /// Abandons a pull that has timed out.
    pub(crate) fn expire(&mut self, now: Time) {
        if let Some((peer, _)) = self.pending.take_if(|(_, until)| now >= *until) {
            self.forget(&peer);
        }
    }

    /// Returns the peer to pull from, if there is one ahead of `held` and no pull is in progress.
    pub(crate) fn next_peer(&mut self, now: Time, held: Version) -> Option<EndpointId> {
        if self.pending.as_ref().is_some_and(|(_, until)| now < *until) {
            return None;
        }
        self.pending = None;
        self.ahead.take_if(|(_, version)| *version <= held);
        self.ahead.as_ref().map(|(peer, _)| peer.clone())
    }
}

/// Rate limiter of snapshot transfers to peers.
#[derive(Debug, Clone, Default)]
pub(crate) struct TransferLimiter {
    /// Times of the transfers in the window.
    served: VecDeque<Time>,
    /// Number of requests refused since the last admitted transfer.
    deferred: u32,
}

impl TransferLimiter {
    /// Admits a transfer.
    ///
    /// # Errors
    ///
    /// Returns the delay after which to repeat the request if the limit is reached. The delay grows
    /// with the number of refused requests, so that they are not all repeated at once.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        settings: &Settings,
    ) -> Result<(), Duration> {
        while self.served.front().is_some_and(|at| now - *at >= TRANSFER_WINDOW) {
            self.served.pop_front();
        }
        if self.served.len() < settings.transfer_rate {
            self.served.push_back(now);
            self.deferred = 0;
            return Ok(());
        }
        let free = self.served.front().map_or(TRANSFER_WINDOW, |at| (*at + TRANSFER_WINDOW) - now);
        let rounds = self.deferred / settings.transfer_rate.max(1) as u32 + 1;
        self.deferred += 1;
        Err(free + jitter(rng, (TRANSFER_WINDOW * rounds).min(settings.transfer_wait)))
    }
}
