//! Joining through seeds: fetches all records of one seed, then compares with the others.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use rand::{RngExt, seq::SliceRandom};
use shallottack_kernel::{EndpointId, Time};

use crate::{
    Body, Member, Membership,
    core::{Context, Dissemination},
};

/// Base of the exponential backoff between passes over the seeds.
const BACKOFF_BASE_MILLIS: u64 = 100;

/// Progress of joining.
#[derive(Debug, Default)]
pub(crate) struct JoinState {
    seeds: Vec<SocketAddr>,
    /// Seeds that were not tried yet in this pass.
    untried: Vec<SocketAddr>,
    /// Seed with an outstanding request, and the time at which the request times out.
    pending: Option<(SocketAddr, Time)>,
    /// Last endpoint received. Any seed can continue from there.
    after: Option<EndpointId>,
    next: Time,
    passes: u32,
    done: bool,
}

impl JoinState {
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    pub fn wake_at(&self) -> Option<Time> {
        if self.done || self.seeds.is_empty() {
            return None;
        }
        Some(self.pending.map_or(self.next, |(_, until)| until))
    }

    pub fn resume(&mut self, now: Time) {
        self.pending = None;
        self.next = self.next.max(now);
    }
}

impl Membership {
    /// Returns whether all records of a seed have been received.
    pub fn has_joined(&self) -> bool {
        self.join.done
    }

    pub(crate) fn set_seeds(&mut self, cx: &mut Context<'_>, mut addresses: Vec<SocketAddr>) {
        addresses.retain(|it| *it != self.identity.addresses.peers);
        self.join.untried.clear();
        self.join.seeds = addresses;
        self.join.next = self.join.next.max(cx.now);
        if self.join.done {
            self.sync_with_unknown_seeds(cx);
        }
    }

    /// Starts anti-entropy with the seeds that are not members. They may belong to a separately
    /// started group of daemons, which would not be discovered otherwise.
    fn sync_with_unknown_seeds(&mut self, cx: &mut Context<'_>) {
        let known: BTreeSet<SocketAddr> =
            self.table.entries().map(|it| it.record.addresses.peers).collect();
        let body = Body::Digests { digests: self.table.digests() };
        for seed in self.join.seeds.clone().into_iter().filter(|it| !known.contains(it)) {
            self.send_to_seed(cx, seed, body.clone());
        }
    }

    pub(crate) fn check_join(&mut self, cx: &mut Context<'_>) {
        if self.join.wake_at().is_none_or(|at| cx.now < at) {
            return;
        }
        if self.join.pending.take().is_some() {
            self.counters.join_timeouts += 1;
        }
        if self.join.untried.is_empty() {
            if self.join.next > cx.now {
                return;
            }
            self.join.untried = self.join.seeds.clone();
            self.join.untried.shuffle(cx.rng);
            // Full jitter spreads the requests of daemons that restart together.
            let limit = Duration::from_millis(BACKOFF_BASE_MILLIS << self.join.passes.min(16));
            let micros = limit.min(self.settings.join_backoff).as_micros() as u64;
            let delay = Duration::from_micros(cx.rng.random_range(0..=micros));
            self.join.passes += 1;
            self.join.next = cx.now + self.settings.join_timeout + delay;
        }
        if let Some(seed) = self.join.untried.pop() {
            self.request_join(cx, seed);
        }
    }

    fn request_join(&mut self, cx: &mut Context<'_>, seed: SocketAddr) {
        self.join.pending = Some((seed, cx.now + self.settings.join_timeout));
        let after = self.join.after.clone();
        self.send_to_seed(cx, seed, Body::Join { after });
    }

    pub(crate) fn send_join_reply(
        &mut self,
        cx: &mut Context<'_>,
        from: &EndpointId,
        after: Option<&EndpointId>,
    ) {
        let limit = self.settings.chunk_records;
        let mut records: Vec<Arc<Member>> =
            self.table.after(after).take(limit + 1).map(|it| Arc::clone(&it.record)).collect();
        let more = records.len() > limit;
        records.truncate(limit);
        let next = records.last().filter(|_| more).map(|it| it.endpoint.clone());
        self.counters.join_replies += 1;
        self.send(cx, from, Body::JoinReply { records, next });
    }

    pub(crate) fn receive_join_reply(
        &mut self,
        cx: &mut Context<'_>,
        records: Vec<Arc<Member>>,
        next: Option<EndpointId>,
    ) {
        for record in records {
            self.merge(cx, &record, Dissemination::StoreOnly);
        }
        let Some((seed, _)) = self.join.pending.take().filter(|_| !self.join.done) else { return };
        if next.is_some() {
            self.join.after = next;
            self.request_join(cx, seed);
            return;
        }
        self.join.after = None;
        // A seed that restarted at the same time does not know any members yet.
        if self.table.peer_count() > 0 {
            self.join.done = true;
            self.sync_with_other_seeds(cx, seed);
        }
    }

    /// Starts anti-entropy with all seeds except `asked`. Daemons that restarted together and
    /// joined through different seeds would otherwise form separate groups until the next
    /// anti-entropy round with a seed.
    fn sync_with_other_seeds(&mut self, cx: &mut Context<'_>, asked: SocketAddr) {
        let body = Body::Digests { digests: self.table.digests() };
        for seed in self.join.seeds.clone().into_iter().filter(|it| *it != asked) {
            self.send_to_seed(cx, seed, body.clone());
        }
    }
}
