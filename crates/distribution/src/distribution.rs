//! The state machine: its state and timers, and how catalogs are put in force.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use rand::{Rng, RngExt};
use shallottack_config::{Catalog, Version};
use shallottack_kernel::{EndpointId, Time};

use crate::{
    Action, Actions, EncodedDelta, Input, KnownSource, Message, Mode, Peer, Report, SenderState,
    Settings,
    floor::Floor,
    lease::Lease,
    pull::{Pull, TransferLimiter},
    reader::Reader,
    report::Reports,
    settings::{jitter, spread},
    store::{ApplyOutcome, Store},
    view::View,
};

/// Time of a disabled timer.
pub(crate) const NEVER: Time = Time(u64::MAX);

/// Event counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Deltas and snapshots applied.
    pub applied: u64,
    /// Deltas and snapshots received that were not newer than the held version.
    pub duplicates: u64,
    /// Deltas received that did not start at the held version.
    pub gaps: u64,
    /// Deltas and snapshots that were malformed or would have made the catalog invalid.
    pub rejected: u64,
    /// Snapshots sent to peers.
    pub snapshots_sent: u64,
    /// Snapshot requests answered with [`Message::Busy`].
    pub snapshots_deferred: u64,
}

/// State of one call of [`Distribution::handle`].
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) rng: &'a mut dyn Rng,
    pub(crate) out: Actions,
}

impl Context<'_> {
    pub(crate) fn send(&mut self, to: EndpointId, message: Message) {
        self.out.push(Action::Send { to, message });
    }
}

/// State machine that keeps one daemon's configuration up to date.
#[derive(Debug, Clone)]
pub struct Distribution {
    pub(crate) settings: Settings,
    pub(crate) me: Peer,
    /// Random number drawn at start; answers to floor queries from before a restart don't match it.
    pub(crate) nonce: u64,
    pub(crate) view: View,
    pub(crate) store: Store,
    /// Version in force; follows the held version once that has reached the floor.
    pub(crate) in_force: Option<Version>,
    pub(crate) floor: Floor,
    pub(crate) source: Option<KnownSource>,
    pub(crate) lease: Lease,
    pub(crate) reader: Reader,
    pub(crate) pull: Pull,
    pub(crate) transfer_limiter: TransferLimiter,
    /// Highest version known to have been in force on each endpoint.
    pub(crate) highest_in_force: BTreeMap<EndpointId, Version>,
    pub(crate) reports: Reports,
    pub(crate) probe_at: Time,
    pub(crate) probe_count: u32,
    /// Time of the next heartbeat while this daemon is the source, otherwise [`NEVER`].
    pub(crate) heartbeat_at: Time,
    pub(crate) counters: Counters,
}

impl Distribution {
    /// Creates the state of a daemon that starts without a configuration.
    pub fn new(settings: Settings, me: Peer, now: Time, rng: &mut dyn Rng) -> Distribution {
        let mut lease = Lease::new(me.endpoint.clone());
        lease.postpone(now, rng, &settings);
        let pull = Pull { retry_at: now + jitter(rng, settings.retry_base), ..Default::default() };
        let next_at = now + spread(rng, settings.report_interval);
        Distribution {
            nonce: rng.random(),
            view: View::new(me.clone()),
            store: Store::default(),
            in_force: None,
            floor: Floor::default(),
            source: None,
            lease,
            reader: Reader::new(now + jitter(rng, settings.start_jitter)),
            pull,
            transfer_limiter: TransferLimiter::default(),
            highest_in_force: BTreeMap::new(),
            reports: Reports { next_at, ..Default::default() },
            probe_at: now + spread(rng, settings.probe_interval),
            probe_count: 0,
            heartbeat_at: NEVER,
            counters: Counters::default(),
            settings,
            me,
        }
    }

    /// Processes one input and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Time, rng: &mut dyn Rng, input: Input) -> Actions {
        let mut ctx = Context { now, rng, out: Actions::new() };
        match input {
            Input::Tick => self.tick(&mut ctx),
            Input::Peers(peers) => self.set_peers(peers),
            Input::Message { from, message } => self.handle_message(&mut ctx, from, message),
            Input::Piggyback { to } => self.piggyback_probe(&mut ctx, to),
            Input::HeadRead(result) => self.handle_head(&mut ctx, result),
            Input::LeaseRead(result) => self.handle_lease(&mut ctx, result),
            Input::LeaseCommitted { requested, outcome } => {
                self.handle_lease_commit(&mut ctx, requested, outcome);
            }
            Input::DeltasFetched(result) => self.handle_deltas(&mut ctx, result),
            Input::SnapshotFetched(result) => self.handle_snapshot(&mut ctx, result),
            Input::Committed(body) => self.handle_commit(&mut ctx, body),
        }
        ctx.out
    }

    /// Returns the time at which the next [`Input::Tick`] is due.
    pub fn wake_at(&self) -> Time {
        let mut at = self.reader.head_at;
        if self.settings.mode == Mode::Poll {
            return at;
        }
        at = at.min(self.probe_at);
        if self.settings.mode == Mode::Tree {
            at = at.min(self.lease.next_at).min(self.heartbeat_at).min(self.reports.next_at);
        }
        if let Some((_, until)) = &self.pull.pending {
            at = at.min(*until);
        }
        if self.in_force.is_none() {
            at = at.min(self.pull.retry_at);
        }
        if self.floor.known.is_none() && self.floor.unavailable_since.is_some() {
            at = at.min(self.floor.query_at);
        }
        at
    }

    /// Returns the catalog in force, if any.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.in_force.map(|_| &self.store.catalog)
    }

    /// Returns the version in force, if any.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// Returns the held version, which is not in force while it is below the version floor.
    pub fn held(&self) -> Version {
        self.store.version()
    }

    /// Returns the version floor, if known.
    pub fn floor(&self) -> Option<Version> {
        self.floor.known
    }

    /// Returns the source of the local data centre, if known.
    pub fn source(&self) -> Option<&KnownSource> {
        self.source.as_ref()
    }

    /// Returns whether this daemon is the source of its data centre.
    pub fn is_source(&self, now: Time) -> bool {
        self.settings.mode == Mode::Tree && self.lease.is_valid(now)
    }

    /// Returns the in-force report of this daemon's subtree.
    pub fn report(&mut self) -> Report {
        let own = self.in_force.unwrap_or_default();
        let newest = self.held().max(self.reader.head);
        let arity = self.settings.arity;
        let children = match &self.source {
            Some(source) => self.view.position(&source.holder, arity).children.as_slice(),
            None => &[],
        };
        self.reports.aggregate(&self.me.endpoint, own, newest, children)
    }

    /// Returns the event counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns a hash of the state without timers and counters, by which a model checker compares
    /// states.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.held().hash(&mut hasher);
        self.store.log_range().hash(&mut hasher);
        self.in_force.hash(&mut hasher);
        self.nonce.hash(&mut hasher);
        self.source.hash(&mut hasher);
        self.highest_in_force.hash(&mut hasher);
        self.view.local.hash(&mut hasher);
        self.view.remote.hash(&mut hasher);
        self.reports.children.hash(&mut hasher);
        let floor = &self.floor;
        (floor.known, floor.unavailable_since.is_some(), &floor.answers, floor.highest)
            .hash(&mut hasher);
        let lease = &self.lease;
        (lease.held.map(|it| it.epoch), lease.watched_revision()).hash(&mut hasher);
        let reader = &self.reader;
        (reader.head, reader.head_pending, reader.fetch.map(|(it, _)| it)).hash(&mut hasher);
        let pull = &self.pull;
        (pull.pending.as_ref().map(|(it, _)| it), &pull.ahead).hash(&mut hasher);
        pull.busy.as_ref().map(|(it, _)| it).hash(&mut hasher);
        hasher.finish()
    }

    pub(crate) fn sender_state(&self) -> SenderState {
        let in_force = self.in_force.is_some();
        SenderState { version: self.held(), in_force, source: self.source.clone() }
    }

    /// Puts the held catalog in force if it has reached the version floor.
    pub(crate) fn update_in_force(&mut self, ctx: &mut Context<'_>) {
        self.floor.determine(ctx.now, self.view.other_members(), &self.settings);
        let version = self.held();
        if self.in_force != Some(version) && self.floor.allows(version) {
            self.in_force = Some(version);
            ctx.out.push(Action::Apply(self.store.catalog.clone()));
        }
    }

    /// Applies the deltas that follow the held version and forwards them, except to `from`; returns
    /// whether any were applied.
    pub(crate) fn apply_deltas(
        &mut self,
        ctx: &mut Context<'_>,
        from: Option<&EndpointId>,
        deltas: &[EncodedDelta],
    ) -> bool {
        let mut fresh = Vec::new();
        for delta in deltas {
            match self.store.apply_delta(delta, &self.settings) {
                ApplyOutcome::Applied => fresh.push(delta.clone()),
                ApplyOutcome::Stale => self.counters.duplicates += 1,
                ApplyOutcome::Gap => {
                    self.counters.gaps += 1;
                    break;
                }
                ApplyOutcome::Invalid => {
                    self.counters.rejected += 1;
                    break;
                }
            }
        }
        if fresh.is_empty() {
            return false;
        }
        self.counters.applied += fresh.len() as u64;
        self.update_in_force(ctx);
        self.push_deltas(ctx, from, fresh);
        true
    }

    /// Applies a snapshot and announces its version downstream.
    pub(crate) fn apply_snapshot(
        &mut self,
        ctx: &mut Context<'_>,
        body: &Arc<[u8]>,
    ) -> ApplyOutcome {
        let outcome = self.store.apply_snapshot(body);
        match outcome {
            ApplyOutcome::Applied => {
                self.counters.applied += 1;
                self.update_in_force(ctx);
                self.announce_version(ctx);
            }
            ApplyOutcome::Stale => self.counters.duplicates += 1,
            ApplyOutcome::Gap | ApplyOutcome::Invalid => self.counters.rejected += 1,
        }
        outcome
    }

    fn tick(&mut self, ctx: &mut Context<'_>) {
        self.tick_head(ctx);
        if self.settings.mode == Mode::Poll {
            return;
        }
        if self.settings.mode == Mode::Tree {
            self.tick_lease(ctx);
            self.tick_report(ctx);
        }
        self.tick_floor(ctx);
        self.tick_pull(ctx);
    }
}
