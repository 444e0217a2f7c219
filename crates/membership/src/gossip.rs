//! Gossip: dissemination of new records, each with a bounded number of sends.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::RngExt;
use shallottack_kernel::{DataCentre, EndpointId, Time};

use crate::{
    Body, Member, Membership, Message,
    core::{Context, choose_random},
};

/// Endpoints whose records are being gossiped, with the number of sends so far.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    sends: BTreeMap<EndpointId, u32>,
    order: BTreeSet<(u32, EndpointId)>,
    /// Earliest time of the next gossip round.
    pub next: Time,
}

impl GossipQueue {
    /// Returns whether any record was sent fewer than `sends` times.
    fn any_sent_below(&self, sends: u32) -> bool {
        self.order.first().is_some_and(|(least, _)| *least < sends)
    }

    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Adds an endpoint whose record changed and resets its number of sends. If `limit` endpoints
    /// are queued already, the one sent most often is dropped.
    pub fn push(&mut self, endpoint: &EndpointId, limit: usize) {
        self.remove(endpoint);
        if self.sends.len() >= limit
            && let Some((_, dropped)) = self.order.pop_last()
        {
            self.sends.remove(&dropped);
        }
        self.sends.insert(endpoint.clone(), 0);
        self.order.insert((0, endpoint.clone()));
    }

    pub fn remove(&mut self, endpoint: &EndpointId) {
        if let Some(sends) = self.sends.remove(endpoint) {
            self.order.remove(&(sends, endpoint.clone()));
        }
    }

    /// Counts a send and drops the endpoint once `limit` is reached. Returns whether the endpoint
    /// was queued.
    fn count_send(&mut self, endpoint: &EndpointId, limit: u32) -> bool {
        let Some(sends) = self.sends.get_mut(endpoint) else { return false };
        self.order.remove(&(*sends, endpoint.clone()));
        *sends += 1;
        if *sends >= limit {
            self.sends.remove(endpoint);
        } else {
            self.order.insert((*sends, endpoint.clone()));
        }
        true
    }
}

impl Membership {
    /// Sends a message with the least sent queued records piggybacked.
    pub(crate) fn send(&mut self, cx: &mut Context<'_>, to: &EndpointId, body: Body) {
        self.send_with(cx, to, body, None);
    }

    /// Like [`Membership::send`], with `first` among the piggybacked records.
    pub(crate) fn send_with(
        &mut self,
        cx: &mut Context<'_>,
        to: &EndpointId,
        body: Body,
        first: Option<Arc<Member>>,
    ) {
        let gossip = self.gossip_for(Some(to), first);
        cx.send(to.clone(), Message { body, gossip });
    }

    /// Returns the records to piggyback on a message to `to`, starting with `first`.
    ///
    /// A receiver that is `Suspect`, `Dead` or `Left` also receives its own record, so that it can
    /// refute it.
    pub(crate) fn gossip_for(
        &mut self,
        to: Option<&EndpointId>,
        first: Option<Arc<Member>>,
    ) -> Vec<Arc<Member>> {
        let suspected = to
            .and_then(|id| self.table.get(id))
            .filter(|it| it.record.state >= crate::State::Suspect)
            .map(|it| Arc::clone(&it.record));
        let mut records: Vec<_> = first.into_iter().collect();
        if let Some(record) = suspected.filter(|it| !records.contains(it)) {
            records.push(record);
        }
        let mut bytes: usize = records.iter().map(|it| it.encoded_bytes()).sum();
        for (_, id) in &self.gossip_queue.order {
            let Some(entry) = self.table.get(id) else { continue };
            if Some(id) == to || records.iter().any(|it| it.endpoint == *id) {
                continue;
            }
            bytes += entry.record.encoded_bytes();
            if bytes > self.settings.gossip_bytes && !records.is_empty() {
                break;
            }
            records.push(Arc::clone(&entry.record));
        }
        let limit = self.send_limit();
        for record in &records {
            self.counters.gossip_sent +=
                u64::from(self.gossip_queue.count_send(&record.endpoint, limit));
        }
        records
    }

    /// Returns how many times a new record is sent: ceil(factor x log2(members)).
    fn send_limit(&self) -> u32 {
        let members = self.table.peer_count() + 1;
        let sends = f64::from(self.settings.gossip_factor) * (members.max(2) as f64).log2();
        sends.ceil() as u32
    }

    /// Returns the time of the next gossip round, or `None` if no record needs one.
    pub(crate) fn next_gossip_at(&self) -> Option<Time> {
        let sends = self.send_limit().div_ceil(self.settings.dedicated_divisor.max(1));
        let due = self.gossip_queue.any_sent_below(sends) && self.table.peer_count() > 0;
        due.then_some(self.gossip_queue.next)
    }

    pub(crate) fn gossip_round(&mut self, cx: &mut Context<'_>) {
        if self.next_gossip_at().is_none_or(|at| cx.now < at) {
            return;
        }
        self.gossip_queue.next = cx.now + self.settings.gossip_period;
        for target in self.random_members(cx, self.settings.gossip_fanout) {
            self.send(cx, &target, Body::Gossip);
        }
    }

    /// Sends `record` immediately to some random members and to the known members in `extra`.
    pub(crate) fn push(
        &mut self,
        cx: &mut Context<'_>,
        record: &Arc<Member>,
        extra: Vec<EndpointId>,
    ) {
        let mut targets = self.random_members(cx, self.settings.push_fanout);
        let known = |id: &EndpointId| *id != self.identity.endpoint && self.table.get(id).is_some();
        targets.extend(extra.into_iter().filter(known));
        targets.sort();
        targets.dedup();
        for target in targets {
            self.send_with(cx, &target, Body::Gossip, Some(Arc::clone(record)));
        }
    }

    /// Returns up to `count` distinct random members, most of them of the local data centre.
    pub(crate) fn random_members(&self, cx: &mut Context<'_>, count: usize) -> Vec<EndpointId> {
        let mut targets: Vec<EndpointId> = Vec::with_capacity(count);
        // Draws may repeat a member. Bounding them ends the loop when there are few members.
        for _ in 0..2 * count {
            if targets.len() == count {
                break;
            }
            if let Some(id) = self.random_member(cx).filter(|id| !targets.contains(id)) {
                targets.push(id);
            }
        }
        targets
    }

    fn random_member(&self, cx: &mut Context<'_>) -> Option<EndpointId> {
        let local = self.table.peers(&self.identity.data_centre);
        let remote =
            cx.rng.random_ratio(1, self.settings.remote_divisor.max(1)) || local.is_empty();
        let data_centre = if remote { self.random_remote(cx) } else { None };
        let ids = data_centre.as_ref().map_or(local, |it| self.table.peers(it));
        choose_random(cx, ids).cloned()
    }

    /// Returns a random reachable data centre other than the local one.
    pub(crate) fn random_remote(&self, cx: &mut Context<'_>) -> Option<DataCentre> {
        let others: Vec<_> = self
            .table
            .data_centres()
            .filter(|it| **it != self.identity.data_centre && self.is_reachable(it))
            .collect();
        choose_random(cx, &others).map(|it| (*it).clone())
    }
}
