//! State machine of the protocol: dispatch of inputs and timers, and merging of records.

use std::{cmp::Ordering, collections::BTreeMap, sync::Arc};

use rand::{Rng, RngExt};
use shallottack_kernel::{DataCentre, EndpointId, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Action, Actions, Body, Counters, Identity, Input, Member, Message, Settings, State,
    anti_entropy::AntiEntropy, gossip::GossipQueue, join::JoinState, local::LocalState,
    probe::Prober, reachability::Reachability, suspicion::Suspicion, table::Table,
};

/// Membership state machine of one daemon.
///
/// It is driven by [`Input`]s and returns the [`Action`]s to carry out.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) local: LocalState,
    pub(crate) table: Table,
    pub(crate) gossip_queue: GossipQueue,
    pub(crate) prober: Prober,
    pub(crate) suspicions: BTreeMap<EndpointId, Suspicion>,
    pub(crate) reachability: BTreeMap<DataCentre, Reachability>,
    pub(crate) anti_entropy: AntiEntropy,
    pub(crate) join: JoinState,
    /// Time at which the last message from any daemon arrived.
    pub(crate) last_received: Time,
    pub(crate) counters: Counters,
}

/// Time, randomness and resulting actions of one call to [`Membership::handle`].
pub(crate) struct Context<'a> {
    pub now: Time,
    pub rng: &'a mut dyn Rng,
    pub actions: Actions,
}

impl Context<'_> {
    pub fn send(&mut self, to: EndpointId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }
}

/// Whether a stored record is gossiped further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Dissemination {
    Gossip,
    StoreOnly,
}

/// Result of merging a received record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeResult {
    Applied,
    Unchanged,
    /// The stored record supersedes the received one.
    Stale,
}

/// Returns a random element of `items`, or `None` if there is none.
pub(crate) fn choose_random<'a, T>(cx: &mut Context<'_>, items: &'a [T]) -> Option<&'a T> {
    if items.is_empty() { None } else { items.get(cx.rng.random_range(0..items.len())) }
}

impl Membership {
    /// Creates the state machine of a daemon that knows no other member yet.
    pub fn new(settings: Settings, identity: Identity, now: Time) -> Membership {
        // The phase keeps daemons that start together from probing in lockstep.
        let phase = (xxh3_64(identity.endpoint.as_str().as_bytes()) % 1_000) as f64 / 1_000.0;
        Membership {
            local: LocalState::new(identity.incarnation),
            table: Table::new(identity.endpoint.clone()),
            gossip_queue: GossipQueue::default(),
            prober: Prober::new(identity.incarnation, now + settings.probe_period.mul_f64(phase)),
            suspicions: BTreeMap::new(),
            reachability: BTreeMap::new(),
            anti_entropy: AntiEntropy::new(now + settings.anti_entropy_period.mul_f64(phase)),
            join: JoinState::default(),
            last_received: now,
            counters: Counters::default(),
            settings,
            identity,
        }
    }

    /// Handles one input and returns the resulting actions.
    pub fn handle(&mut self, now: Time, rng: &mut dyn Rng, input: Input) -> Actions {
        let mut cx = Context { now, rng, actions: Actions::new() };
        if self.local.stopped {
            return cx.actions;
        }
        if now.since(self.wake_at()) > self.settings.pause_threshold {
            self.resume_after_pause(now);
        }
        match input {
            Input::Tick => self.tick(&mut cx),
            Input::Message { from, message } => self.receive(&mut cx, &from, message),
            Input::Seeds { addresses } => self.set_seeds(&mut cx, addresses),
            Input::Announce(announcement) => self.announce(&mut cx, announcement),
            Input::Leave { notify } => self.leave(&mut cx, notify),
            Input::Stop => self.stop(&mut cx),
            Input::BackendConnectFailed => self.backend_connect_failed(&mut cx),
            Input::BackendResponded => self.backend_responded(&mut cx),
            Input::PeerUnresponsive { endpoint } => self.peer_unresponsive(endpoint),
        }
        cx.actions
    }

    /// Returns the time of the next [`Input::Tick`].
    ///
    /// Every call to [`Membership::handle`] may bring it forward. If an input arrives more than
    /// [`Settings::pause_threshold`] after this time, the process is assumed to have been paused.
    pub fn wake_at(&self) -> Time {
        if self.local.stopped {
            return Time(u64::MAX);
        }
        let suspicion = self.suspicions.values().map(|it| it.deadline).min();
        let reachability_at = self.reachability.values().map(|it| it.next).min();
        [self.next_gossip_at(), suspicion, reachability_at, self.ready_at(), self.join.wake_at()]
            .into_iter()
            .flatten()
            .chain([self.prober.wake_at(), self.anti_entropy.next])
            .min()
            .unwrap_or(Time(u64::MAX))
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        self.check_ready(cx);
        self.check_probes(cx);
        self.check_suspicions(cx);
        self.check_reachability(cx);
        self.check_join(cx);
        self.probe_next_member(cx);
        self.anti_entropy_round(cx);
        self.gossip_round(cx);
    }

    /// Drops outstanding probes and postpones deadlines after a pause of the process, during which
    /// replies may have arrived unread.
    fn resume_after_pause(&mut self, now: Time) {
        self.counters.process_pauses += 1;
        self.prober.clear_pending(now);
        for suspicion in self.suspicions.values_mut() {
            suspicion.deadline = suspicion.deadline.max(now + self.settings.suspicion_timeout);
        }
        for reachability in self.reachability.values_mut() {
            reachability.resume(now);
        }
        self.gossip_queue.next = self.gossip_queue.next.max(now);
        self.anti_entropy.next = self.anti_entropy.next.max(now);
        self.join.resume(now);
        self.last_received = now;
    }

    fn receive(&mut self, cx: &mut Context<'_>, from: &EndpointId, message: Message) {
        if *from == self.identity.endpoint {
            return;
        }
        self.last_received = cx.now;
        let mut stale = false;
        for record in message.gossip {
            let from_owner = record.endpoint == *from;
            stale |=
                self.merge(cx, &record, Dissemination::Gossip) == MergeResult::Stale && from_owner;
        }
        self.mark_reachable(cx, from);
        self.receive_body(cx, from, message.body);
        self.correct_sender(cx, from, stale);
    }

    fn receive_body(&mut self, cx: &mut Context<'_>, from: &EndpointId, body: Body) {
        match body {
            Body::Gossip => {}
            Body::Probe { seq } => self.send(cx, from, Body::Ack { seq }),
            Body::Ack { seq } => self.receive_ack(cx, seq),
            Body::IndirectProbe { seq, target } => self.relay_probe(cx, from, seq, &target),
            Body::Nack { seq } => self.receive_nack(seq),
            Body::Digests { digests } => self.compare_digests(cx, from, &digests),
            Body::Summaries { buckets, entries, more } => {
                self.compare_summaries(cx, from, buckets, entries, more);
            }
            Body::Records { records, wanted } => self.receive_records(cx, from, records, wanted),
            Body::Join { after } => self.send_join_reply(cx, from, after.as_ref()),
            Body::JoinReply { records, next } => self.receive_join_reply(cx, records, next),
        }
    }

    /// Sends the stored record of a message's sender back to it if the sender has to supersede it:
    /// when it is `Suspect`, `Dead` or `Left`, or when the sender restarted with a clock that was
    /// set back and so sent a `stale` record.
    fn correct_sender(&mut self, cx: &mut Context<'_>, from: &EndpointId, stale: bool) {
        let Some(entry) = self.table.get(from) else { return };
        let record = Arc::clone(&entry.record);
        let already_sent = cx.actions.iter().any(|it| match it {
            Action::Send { to, message } => to == from && message.gossip.contains(&record),
            _ => false,
        });
        if (stale || record.state >= State::Suspect) && !already_sent {
            self.send_with(cx, from, Body::Gossip, Some(record));
        }
    }

    /// Merges a received record into the table.
    pub(crate) fn merge(
        &mut self,
        cx: &mut Context<'_>,
        record: &Arc<Member>,
        dissemination: Dissemination,
    ) -> MergeResult {
        if record.endpoint == self.identity.endpoint {
            self.receive_local_record(cx, record);
            return MergeResult::Unchanged;
        }
        let order = match self.table.get(&record.endpoint) {
            Some(entry) => record.cmp_precedence(&entry.record),
            // An unknown `Dead` or `Left` record was either removed after the retention time or
            // is of no use. Storing it would bring removed records back.
            None if record.state.is_gone() => Ordering::Equal,
            None => Ordering::Greater,
        };
        match order {
            Ordering::Greater => {
                self.counters.records_applied += 1;
                self.store(cx, record, dissemination);
                MergeResult::Applied
            }
            Ordering::Equal => {
                self.counters.records_ignored += 1;
                MergeResult::Unchanged
            }
            Ordering::Less => {
                self.counters.records_ignored += 1;
                MergeResult::Stale
            }
        }
    }

    /// Stores a record that supersedes the stored one of the endpoint, if any.
    pub(crate) fn store(
        &mut self,
        cx: &mut Context<'_>,
        record: &Arc<Member>,
        dissemination: Dissemination,
    ) {
        let id = record.endpoint.clone();
        let known = self.table.get(&id).is_some_and(|it| !it.record.state.is_gone());
        if id != self.identity.endpoint {
            self.update_detection(cx, record, known);
        }
        let view = self.local_view(record);
        let changed = self.table.get(&id).is_none_or(|it| it.view != view);
        self.table.put(Arc::clone(record), Arc::clone(&view), cx.now);
        if changed {
            cx.actions.push(Action::MemberChanged { member: view });
        }
        match dissemination {
            Dissemination::Gossip => self.enqueue(cx, &id),
            Dissemination::StoreOnly => self.gossip_queue.remove(&id),
        }
    }

    /// Updates suspicions, probing and reachability checks after a change of another member.
    fn update_detection(&mut self, cx: &mut Context<'_>, record: &Member, known: bool) {
        let id = &record.endpoint;
        if record.state == State::Suspect {
            self.suspicions.insert(id.clone(), self.new_suspicion(cx.now, record));
        } else {
            self.suspicions.remove(id);
        }
        if record.state.is_gone() {
            return;
        }
        if record.data_centre == self.identity.data_centre {
            if !known {
                self.prober.add(cx, id);
            }
        } else {
            self.track_data_centre(cx, &record.data_centre);
        }
    }

    fn enqueue(&mut self, cx: &Context<'_>, id: &EndpointId) {
        if self.gossip_queue.is_empty() {
            self.gossip_queue.next = self.gossip_queue.next.max(cx.now);
        }
        self.gossip_queue.push(id, self.settings.queue_limit);
    }
}
