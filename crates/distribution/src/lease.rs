//! Source lease of a data centre.
//!
//! Clocks of different daemons are never compared. A daemon takes over a lease only after it has
//! seen the row's revision unchanged for the whole TTL on its own clock. The holder counts the TTL
//! from before its commit, so its lease expires first.

use std::time::Duration;

use rand::Rng;
use shallottack_kernel::{EndpointId, Time};

use crate::{
    Action, LeaseOutcome, LeaseRow, ObservedLease, Settings,
    settings::{jitter, spread},
};

/// The lease while the local daemon holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldLease {
    pub(crate) epoch: u64,
    pub(crate) valid_until: Time,
}

/// Next step of the lease protocol.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum LeaseStep {
    /// Nothing to do now.
    Wait,
    /// Execute the action.
    Act(Action),
    /// Another daemon holds the lease.
    Follow { holder: EndpointId, epoch: u64 },
}

/// State of the source lease as known to the local daemon.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    me: EndpointId,
    pub(crate) held: Option<HeldLease>,
    /// Revision of a lease held by another daemon, and the time at which it was first seen.
    watched: Option<(u64, Time)>,
    /// Start time and epoch of the commit in progress.
    committing: Option<(Time, u64)>,
    /// Time of the next read of the row.
    pub(crate) next_at: Time,
}

impl Lease {
    pub(crate) fn new(me: EndpointId) -> Lease {
        Lease { me, held: None, watched: None, committing: None, next_at: Time::default() }
    }

    pub(crate) fn watched_revision(&self) -> Option<u64> {
        self.watched.map(|(revision, _)| revision)
    }

    pub(crate) fn is_valid(&self, now: Time) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Delays the next attempt to acquire the lease by its TTL and a random delay, for example
    /// because a message from the source has arrived.
    pub(crate) fn postpone(&mut self, now: Time, rng: &mut dyn Rng, settings: &Settings) {
        self.next_at = now + settings.lease_ttl + jitter(rng, settings.lease_jitter);
    }

    /// Gives up the lease to another holder and ignores the result of a commit in progress.
    pub(crate) fn step_down(&mut self) {
        self.held = None;
        self.committing = None;
    }

    /// Reads the row if that is due and the local daemon holds the lease or is a candidate.
    pub(crate) fn poll(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        settings: &Settings,
        candidate: bool,
    ) -> LeaseStep {
        if now < self.next_at {
            return LeaseStep::Wait;
        }
        if !candidate && self.held.is_none() {
            self.postpone(now, rng, settings);
            return LeaseStep::Wait;
        }
        // Takes effect only if the answer to this read is lost.
        self.next_at = now + settings.platform_timeout;
        LeaseStep::Act(Action::ReadLease)
    }

    /// Decides whether to renew, acquire or follow the lease in the row `seen`. `known_epoch` is
    /// the highest fencing epoch known.
    pub(crate) fn evaluate(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        settings: &Settings,
        known_epoch: u64,
        seen: Option<ObservedLease>,
    ) -> LeaseStep {
        let Some(ObservedLease { revision, row }) = seen else {
            return self.commit(now, settings, None, known_epoch + 1);
        };
        let next_epoch = known_epoch.max(row.epoch) + 1;
        if row.holder == self.me {
            // A row written before a restart of this daemon is taken over with a higher epoch.
            let renewal = self.held.is_some_and(|held| held.epoch == row.epoch);
            let epoch = if renewal { row.epoch } else { next_epoch };
            return self.commit(now, settings, Some(revision), epoch);
        }
        self.step_down();
        let since = match self.watched {
            Some((watched, since)) if watched == revision => since,
            _ => now,
        };
        self.watched = Some((revision, since));
        let ttl = Duration::from_millis(row.ttl_ms).max(settings.lease_ttl);
        if now - since >= ttl {
            return self.commit(now, settings, Some(revision), next_epoch);
        }
        self.next_at = since + ttl + jitter(rng, settings.lease_jitter);
        LeaseStep::Follow { holder: row.holder, epoch: row.epoch }
    }

    fn commit(
        &mut self,
        now: Time,
        settings: &Settings,
        revision: Option<u64>,
        epoch: u64,
    ) -> LeaseStep {
        self.committing = Some((now, epoch));
        self.next_at = now + settings.platform_timeout;
        let ttl_ms = settings.lease_ttl.as_millis() as u64;
        let row = LeaseRow { holder: self.me.clone(), epoch, ttl_ms };
        LeaseStep::Act(Action::CommitLease { revision, row, requested: now })
    }

    /// Processes the result of a commit; ignores a result of any but the latest.
    pub(crate) fn commit_finished(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        settings: &Settings,
        requested: Time,
        outcome: LeaseOutcome,
    ) {
        let Some((_, epoch)) = self.committing.filter(|(at, _)| *at == requested) else {
            return;
        };
        self.committing = None;
        match outcome {
            LeaseOutcome::Committed => {
                self.held = Some(HeldLease { epoch, valid_until: requested + settings.lease_ttl });
                self.watched = None;
                self.next_at = requested + settings.lease_renew;
            }
            LeaseOutcome::Conflict => {
                self.step_down();
                self.postpone(now, rng, settings);
            }
            // The next read shows whether the write took effect.
            LeaseOutcome::Unconfirmed => {
                self.next_at = now + spread(rng, settings.platform_base);
            }
        }
    }
}
