//! Anti-entropy: periodic comparison of all records with one other daemon.
//!
//! A round exchanges [`Body::Digests`], [`Body::Summaries`] of the buckets that differ, and
//! [`Body::Records`].

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use rand::RngExt;
use shallottack_kernel::{EndpointId, Time};

use crate::{
    Action, Body, Member, Membership, Message, ShortDigest, State, Summary,
    core::{Context, Dissemination, MergeResult, choose_random},
    reachability::jittered,
    table::BUCKETS,
};

/// Number of rounds after the start in which every second one goes to a seed, so that daemons that
/// restarted together and joined through different seeds soon discover each other.
const FIRST_ROUNDS: u32 = 12;

/// Schedule of the anti-entropy rounds.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    /// Time of the next round.
    pub next: Time,
    round: u32,
    /// Partner of the next round, if it is already chosen.
    partner: Option<EndpointId>,
}

impl AntiEntropy {
    pub fn new(next: Time) -> AntiEntropy {
        AntiEntropy { next, round: 0, partner: None }
    }

    /// Schedules the next round with `partner`, within a second.
    pub fn schedule_with(&mut self, cx: &mut Context<'_>, partner: EndpointId) {
        self.next = self.next.min(cx.now + Duration::from_millis(cx.rng.random_range(0..1_000)));
        self.partner = Some(partner);
    }
}

impl Membership {
    pub(crate) fn anti_entropy_round(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.anti_entropy.next {
            return;
        }
        self.remove_expired(cx);
        self.anti_entropy.next = cx.now + jittered(cx, self.settings.anti_entropy_period);
        let partner = self.anti_entropy.partner.take().filter(|id| self.table.get(id).is_some());
        self.anti_entropy.round = self.anti_entropy.round.wrapping_add(1);
        let body = Body::Digests { digests: self.table.digests() };
        if let Some(to) = partner {
            self.counters.anti_entropy_rounds += 1;
            return self.send(cx, &to, body);
        }
        let round = self.anti_entropy.round;
        let early = round < FIRST_ROUNDS && round % 2 == 1;
        let alone = self.table.peer_count() == 0;
        let reconnect =
            early || alone || round.is_multiple_of(self.settings.reconnect_interval.max(1));
        if reconnect && self.reconnect(cx, &body) {
            self.counters.anti_entropy_rounds += 1;
        } else if let Some(to) = self.random_members(cx, 1).pop() {
            self.counters.anti_entropy_rounds += 1;
            self.send(cx, &to, body);
        }
    }

    /// Starts a round with a seed or a `Dead` member and returns whether there was one.
    ///
    /// Two groups of daemons that consider each other `Dead` would otherwise never exchange a
    /// message again.
    fn reconnect(&mut self, cx: &mut Context<'_>, body: &Body) -> bool {
        let dead: Vec<EndpointId> = self
            .table
            .gone()
            .iter()
            .filter(|id| self.table.get(id).is_some_and(|it| it.record.state == State::Dead))
            .cloned()
            .collect();
        let seeds = self.join.seeds();
        let choice = cx.rng.random_bool(0.5);
        if let Some(to) = choose_random(cx, &dead).filter(|_| choice || seeds.is_empty()) {
            self.send(cx, to, body.clone());
            return true;
        }
        let Some(address) = choose_random(cx, seeds).copied() else { return false };
        self.send_to_seed(cx, address, body.clone());
        true
    }

    /// Sends a message to a seed, together with the local record.
    pub(crate) fn send_to_seed(&mut self, cx: &mut Context<'_>, address: SocketAddr, body: Body) {
        let own = self.local_member().map(Arc::clone);
        let gossip = self.gossip_for(None, own);
        cx.actions.push(Action::SendToSeed { address, message: Message { body, gossip } });
    }

    pub(crate) fn compare_digests(
        &mut self,
        cx: &mut Context<'_>,
        from: &EndpointId,
        digests: &[ShortDigest],
    ) {
        let own = self.table.digests();
        let differs = |it: &usize| digests.get(*it) != own.get(*it);
        // Starting at a random bucket keeps one that can't be repaired from starving the others.
        let start = cx.rng.random_range(0..BUCKETS);
        let all: Vec<usize> =
            (0..BUCKETS).map(|it| (it + start) % BUCKETS).filter(differs).collect();
        if all.is_empty() {
            return;
        }
        self.counters.anti_entropy_repairs += 1;
        let listed = all.len().min(self.settings.anti_entropy_buckets as usize);
        let buckets = all[..listed].iter().fold(0_u64, |bits, it| bits | 1 << it);
        let entries = self
            .table
            .in_buckets(buckets)
            .filter(|it| !it.record.state.is_gone())
            .map(|it| it.summary())
            .collect();
        let body = Body::Summaries { buckets, entries, more: all.len() > listed };
        let own = self.local_member().map(Arc::clone).filter(|_| self.table.get(from).is_none());
        self.send_with(cx, from, body, own);
    }

    /// Sends the records that the other side lacks or holds in another version, and requests those
    /// that are unknown locally. If a sent version turns out to be the older one, the other side
    /// replies with the newer one.
    pub(crate) fn compare_summaries(
        &mut self,
        cx: &mut Context<'_>,
        from: &EndpointId,
        buckets: u64,
        entries: Vec<Summary>,
        more: bool,
    ) {
        let limit = self.settings.chunk_records;
        let theirs: BTreeSet<Summary> = entries.into_iter().collect();
        let their_keys: BTreeSet<ShortDigest> = theirs.iter().map(|it| it.key).collect();
        let mut own_keys = BTreeSet::new();
        let mut records = Vec::new();
        for entry in self.table.in_buckets(buckets) {
            own_keys.insert(entry.key());
            let differs = !theirs.contains(&entry.summary());
            let listed = !entry.record.state.is_gone() || their_keys.contains(&entry.key());
            if differs && listed {
                records.push(Arc::clone(&entry.record));
            }
        }
        let mut wanted: Vec<_> = their_keys.difference(&own_keys).copied().collect();
        if more || records.len() > limit || wanted.len() > limit {
            self.anti_entropy.next = cx.now + self.settings.anti_entropy_pause;
            self.anti_entropy.partner = self.table.get(from).map(|_| from.clone());
        }
        records.truncate(limit);
        wanted.truncate(limit);
        if !records.is_empty() || !wanted.is_empty() {
            self.send(cx, from, Body::Records { records, wanted });
        }
    }

    pub(crate) fn receive_records(
        &mut self,
        cx: &mut Context<'_>,
        from: &EndpointId,
        records: Vec<Arc<Member>>,
        wanted: Vec<ShortDigest>,
    ) {
        let few = records.len() <= self.settings.regossip_limit;
        let dissemination = if few { Dissemination::Gossip } else { Dissemination::StoreOnly };
        let mut reply = Vec::new();
        for record in records {
            if self.merge(cx, &record, dissemination) == MergeResult::Stale
                && let Some(entry) = self.table.get(&record.endpoint)
            {
                reply.push(Arc::clone(&entry.record));
            }
        }
        if !wanted.is_empty() {
            let wanted: BTreeSet<ShortDigest> = wanted.into_iter().collect();
            let found = self.table.entries().filter(|it| wanted.contains(&it.key()));
            reply.extend(found.map(|it| Arc::clone(&it.record)));
        }
        if !reply.is_empty() {
            self.send(cx, from, Body::Records { records: reply, wanted: Vec::new() });
        }
    }

    /// Removes the records that have been `Dead` or `Left` for the retention time.
    fn remove_expired(&mut self, cx: &Context<'_>) {
        let expired: Vec<EndpointId> = self
            .table
            .gone()
            .iter()
            .filter(|id| **id != self.identity.endpoint)
            .filter(|id| {
                self.table
                    .get(id)
                    .is_some_and(|it| cx.now.since(it.changed_at) >= self.settings.retention)
            })
            .cloned()
            .collect();
        for id in expired {
            self.counters.expired_records += 1;
            self.table.remove(&id);
            self.gossip_queue.remove(&id);
        }
    }
}
