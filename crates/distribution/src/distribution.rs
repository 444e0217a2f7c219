//! The core: its state, its timers and what it puts in force.

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
    pull::{Pull, Transfers},
    reader::Reader,
    report::Reports,
    settings::{jitter, spread},
    store::{Store, Taken},
    view::View,
};

/// A time that never comes.
pub(crate) const NEVER: Time = Time(u64::MAX);

/// Events counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Deltas and snapshots applied.
    pub applied: u64,
    /// Deltas received that were in hand already.
    pub duplicates: u64,
    /// Deltas received that did not start at the version in hand.
    pub gaps: u64,
    /// Deltas and snapshots that were malformed or would have made the catalog invalid.
    pub rejected: u64,
    /// Snapshots sent to peers.
    pub snapshots_sent: u64,
    /// Snapshot requests put off.
    pub snapshots_deferred: u64,
}

/// What one call of `handle` works with.
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

/// Decision core that keeps one daemon's configuration up to date.
#[derive(Debug, Clone)]
pub struct Distribution {
    pub(crate) settings: Settings,
    pub(crate) me: Peer,
    /// Number of this life of the daemon, by which answers to an earlier life are told apart.
    pub(crate) nonce: u64,
    pub(crate) view: View,
    pub(crate) store: Store,
    /// Version in force, which is the version in hand once that reached the floor.
    pub(crate) in_force: Option<Version>,
    pub(crate) floor: Floor,
    pub(crate) source: Option<KnownSource>,
    pub(crate) lease: Lease,
    pub(crate) reader: Reader,
    pub(crate) pull: Pull,
    pub(crate) transfers: Transfers,
    /// Highest version known to have been in force on each endpoint.
    pub(crate) seen: BTreeMap<EndpointId, Version>,
    pub(crate) reports: Reports,
    pub(crate) probe_at: Time,
    pub(crate) probes: u32,
    /// When to send the next heartbeat, while this daemon is the source.
    pub(crate) beat_at: Time,
    pub(crate) counters: Counters,
}

impl Distribution {
    /// Creates the core of a daemon that starts with no configuration.
    pub fn new(settings: Settings, me: Peer, now: Time, rng: &mut dyn Rng) -> Distribution {
        let mut lease = Lease::new(me.endpoint.clone());
        lease.heard(now, rng, &settings);
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
            transfers: Transfers::default(),
            seen: BTreeMap::new(),
            reports: Reports { next_at, ..Default::default() },
            probe_at: now + spread(rng, settings.probe_interval),
            probes: 0,
            beat_at: NEVER,
            counters: Counters::default(),
            settings,
            me,
        }
    }

    /// Takes in one input and returns what to do, in order.
    pub fn handle(&mut self, now: Time, rng: &mut dyn Rng, input: Input) -> Actions {
        let mut ctx = Context { now, rng, out: Actions::new() };
        match input {
            Input::Tick => self.tick(&mut ctx),
            Input::Peers(peers) => self.set_peers(peers),
            Input::Message { from, message } => self.message(&mut ctx, from, message),
            Input::Piggyback { to } => self.contact(&mut ctx, to),
            Input::HeadRead(result) => self.head_read(&mut ctx, result),
            Input::LeaseRead(result) => self.lease_read(&mut ctx, result),
            Input::LeaseCommitted { requested, outcome } => {
                self.lease_committed(&mut ctx, requested, outcome);
            }
            Input::DeltasFetched(result) => self.deltas_fetched(&mut ctx, result),
            Input::SnapshotFetched(result) => self.snapshot_fetched(&mut ctx, result),
            Input::Committed(body) => self.committed(&mut ctx, body),
        }
        ctx.out
    }

    /// Returns when to give the next [`Input::Tick`].
    pub fn wake_at(&self) -> Time {
        let mut at = self.reader.head_at;
        if self.settings.mode == Mode::Poll {
            return at;
        }
        at = at.min(self.probe_at);
        if self.settings.mode == Mode::Tree {
            at = at.min(self.lease.next_at).min(self.beat_at).min(self.reports.next_at);
        }
        if let Some((_, until)) = &self.pull.pending {
            at = at.min(*until);
        }
        if self.in_force.is_none() {
            at = at.min(self.pull.retry_at);
        }
        if self.floor.known.is_none() && self.floor.down_since.is_some() {
            at = at.min(self.floor.query_at);
        }
        at
    }

    /// Returns the catalog in force, once there is one.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.in_force.map(|_| &self.store.catalog)
    }

    /// Returns the version in force, once there is one.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// Returns the version in hand, which may be below the floor and so not in force.
    pub fn held(&self) -> Version {
        self.store.version()
    }

    /// Returns the version floor, once known.
    pub fn floor(&self) -> Option<Version> {
        self.floor.known
    }

    /// Returns the source of this data centre, as far as known.
    pub fn source(&self) -> Option<&KnownSource> {
        self.source.as_ref()
    }

    /// Returns whether this daemon is the source of its data centre.
    pub fn is_source(&self, now: Time) -> bool {
        self.settings.mode == Mode::Tree && self.lease.valid(now)
    }

    /// Returns the in-force report of this daemon's subtree.
    pub fn report(&mut self) -> Report {
        let own = self.in_force.unwrap_or_default();
        let newest = self.held().max(self.reader.head);
        let arity = self.settings.arity;
        let children = match &self.source {
            Some(source) => self.view.place(&source.holder, arity).children.as_slice(),
            None => &[],
        };
        self.reports.aggregate(&self.me.endpoint, own, newest, children)
    }

    /// Returns the events counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns a hash of the state without its timers and counters, for a model checker.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.held().hash(&mut hasher);
        self.store.log_range().hash(&mut hasher);
        self.in_force.hash(&mut hasher);
        self.nonce.hash(&mut hasher);
        self.source.hash(&mut hasher);
        self.seen.hash(&mut hasher);
        self.view.local.hash(&mut hasher);
        self.view.remote.hash(&mut hasher);
        self.reports.children.hash(&mut hasher);
        let floor = &self.floor;
        (floor.known, floor.down_since.is_some(), &floor.answers, floor.best).hash(&mut hasher);
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

    /// Puts the catalog in hand in force when it has reached the floor.
    pub(crate) fn settle(&mut self, ctx: &mut Context<'_>) {
        self.floor.settle(ctx.now, self.view.len(), &self.settings);
        let version = self.held();
        if self.in_force != Some(version) && self.floor.allows(version) {
            self.in_force = Some(version);
            ctx.out.push(Action::Apply(self.store.catalog.clone()));
        }
    }

    /// Applies the deltas that follow the version in hand and passes them on; returns whether
    /// there were any.
    pub(crate) fn take_deltas(
        &mut self,
        ctx: &mut Context<'_>,
        from: Option<&EndpointId>,
        deltas: &[EncodedDelta],
    ) -> bool {
        let mut fresh = Vec::new();
        for delta in deltas {
            match self.store.take_delta(delta, &self.settings) {
                Taken::New => fresh.push(delta.clone()),
                Taken::Old => self.counters.duplicates += 1,
                Taken::Gap => {
                    self.counters.gaps += 1;
                    break;
                }
                Taken::Invalid => {
                    self.counters.rejected += 1;
                    break;
                }
            }
        }
        if fresh.is_empty() {
            return false;
        }
        self.counters.applied += fresh.len() as u64;
        self.settle(ctx);
        self.push(ctx, from, fresh);
        true
    }

    /// Takes over a snapshot and tells those downstream; returns what came of it.
    pub(crate) fn take_snapshot(&mut self, ctx: &mut Context<'_>, body: &Arc<[u8]>) -> Taken {
        let taken = self.store.take_snapshot(body);
        match taken {
            Taken::New => {
                self.counters.applied += 1;
                self.settle(ctx);
                self.announce(ctx);
            }
            Taken::Old => self.counters.duplicates += 1,
            Taken::Gap | Taken::Invalid => self.counters.rejected += 1,
        }
        taken
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
