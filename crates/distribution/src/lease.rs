//! The source lease of a data centre.
//!
//! Clocks of different daemons are not compared: a daemon takes over a lease only after it saw
//! the row's revision unchanged for the whole ttl on its own clock, and the holder counts the ttl
//! from before its commit, so that it stops first.

use std::time::Duration;

use rand::Rng;
use shallottack_kernel::{EndpointId, Time};

use crate::{
    Action, LeaseOutcome, LeaseRow, ObservedLease, Settings,
    settings::{jitter, spread},
};

/// The lease while this daemon holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) epoch: u64,
    pub(crate) valid_until: Time,
}

/// What to do about the lease row.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Step {
    /// Nothing now.
    Wait,
    /// Carry out the action.
    Act(Action),
    /// Another daemon holds the lease.
    Follow { holder: EndpointId, epoch: u64 },
}

/// State of the source lease as this daemon sees it.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    me: EndpointId,
    pub(crate) held: Option<Held>,
    /// Revision of another daemon's lease and when it was first seen.
    watched: Option<(u64, Time)>,
    /// Time of the commit under way and its epoch.
    committing: Option<(Time, u64)>,
    /// When to read the row next.
    pub(crate) next_at: Time,
}

impl Lease {
    pub(crate) fn new(me: EndpointId) -> Lease {
        Lease { me, held: None, watched: None, committing: None, next_at: Time::default() }
    }

    pub(crate) fn watched_revision(&self) -> Option<u64> {
        self.watched.map(|(revision, _)| revision)
    }

    pub(crate) fn valid(&self, now: Time) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Puts off the next attempt, since a source was heard from.
    pub(crate) fn heard(&mut self, now: Time, rng: &mut dyn Rng, settings: &Settings) {
        self.next_at = now + settings.lease_ttl + jitter(rng, settings.lease_jitter);
    }

    /// Gives up the lease, since a higher fencing epoch was seen.
    pub(crate) fn step_down(&mut self) {
        self.held = None;
        self.committing = None;
    }

    /// Reads the row when it is time to, if this daemon holds the lease or may acquire it.
    pub(crate) fn due(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        settings: &Settings,
        candidate: bool,
    ) -> Step {
        if now < self.next_at {
            return Step::Wait;
        }
        if !candidate && self.held.is_none() {
            self.heard(now, rng, settings);
            return Step::Wait;
        }
        // Comes into use only when the answer to this read is lost.
        self.next_at = now + settings.platform_timeout;
        Step::Act(Action::ReadLease)
    }

    /// Decides on the row as read; `known_epoch` is the highest fencing epoch heard of.
    pub(crate) fn read(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        settings: &Settings,
        known_epoch: u64,
        seen: Option<ObservedLease>,
    ) -> Step {
        let Some(ObservedLease { revision, row }) = seen else {
            return self.commit(now, settings, None, known_epoch + 1);
        };
        let next_epoch = known_epoch.max(row.epoch) + 1;
        if row.holder == self.me {
            // A row of an earlier life of this daemon is taken over with a higher epoch.
            let ours = self.held.is_some_and(|held| held.epoch == row.epoch);
            let epoch = if ours { row.epoch } else { next_epoch };
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
        Step::Follow { holder: row.holder, epoch: row.epoch }
    }

    fn commit(
        &mut self,
        now: Time,
        settings: &Settings,
        revision: Option<u64>,
        epoch: u64,
    ) -> Step {
        self.committing = Some((now, epoch));
        self.next_at = now + settings.platform_timeout;
        let ttl_ms = settings.lease_ttl.as_millis() as u64;
        let row = LeaseRow { holder: self.me.clone(), epoch, ttl_ms };
        Step::Act(Action::CommitLease { revision, row, requested: now })
    }

    /// Takes in the result of a commit.
    pub(crate) fn committed(
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
                self.held = Some(Held { epoch, valid_until: requested + settings.lease_ttl });
                self.watched = None;
                self.next_at = requested + settings.lease_renew;
            }
            LeaseOutcome::Conflict => {
                self.step_down();
                self.heard(now, rng, settings);
            }
            // The next read shows whether the write took effect.
            LeaseOutcome::Unconfirmed => {
                self.next_at = now + spread(rng, settings.platform_base);
            }
        }
    }
}
