//! The core: dispatch of inputs and timers.

use std::{cmp::Ordering, collections::BTreeMap, sync::Arc};

use rand::{Rng, RngExt};
use shallottack_kernel::{DataCentre, EndpointId, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Action, Actions, Body, Counters, Identity, Input, Member, Message, Settings, State,
    entropy::Entropy, gossip::Queue, join::Join, owner::Owner, probe::Prober, reach::Reach,
    suspicion::Suspicion, table::Table,
};

/// Decides which endpoints exist and what state they are in, as seen by one daemon.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) owner: Owner,
    pub(crate) table: Table,
    pub(crate) queue: Queue,
    pub(crate) prober: Prober,
    pub(crate) suspicions: BTreeMap<EndpointId, Suspicion>,
    pub(crate) reach: BTreeMap<DataCentre, Reach>,
    pub(crate) entropy: Entropy,
    pub(crate) join: Join,
    /// Time of the last message from any daemon.
    pub(crate) heard: Time,
    pub(crate) counters: Counters,
}

/// Time, randomness and output of one call.
pub(crate) struct Context<'a> {
    pub now: Time,
    pub rng: &'a mut dyn Rng,
    pub out: Actions,
}

impl Context<'_> {
    pub fn send(&mut self, to: EndpointId, message: Message) {
        self.out.push(Action::Send { to, message });
    }
}

/// How a record was received, which decides whether it is gossiped further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Spread {
    Gossip,
    Keep,
}

/// Result of merging a received record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merged {
    New,
    Same,
    /// The record held here supersedes the received one.
    Older,
}

/// Returns a random element.
pub(crate) fn pick<'a, T>(cx: &mut Context<'_>, items: &'a [T]) -> Option<&'a T> {
    if items.is_empty() { None } else { items.get(cx.rng.random_range(0..items.len())) }
}

impl Membership {
    /// Creates the core of a daemon that knows no other member yet.
    pub fn new(settings: Settings, identity: Identity, now: Time) -> Membership {
        // Daemons that start together must not probe at the same moments ever after.
        let phase = (xxh3_64(identity.endpoint.as_str().as_bytes()) % 1_000) as f64 / 1_000.0;
        Membership {
            owner: Owner::new(identity.incarnation),
            table: Table::new(identity.endpoint.clone()),
            queue: Queue::default(),
            prober: Prober::new(identity.incarnation, now + settings.probe_period.mul_f64(phase)),
            suspicions: BTreeMap::new(),
            reach: BTreeMap::new(),
            entropy: Entropy::new(now + settings.anti_entropy_period.mul_f64(phase)),
            join: Join::default(),
            heard: now,
            counters: Counters::default(),
            settings,
            identity,
        }
    }

    /// Handles one input and returns what to do.
    pub fn handle(&mut self, now: Time, rng: &mut dyn Rng, input: Input) -> Actions {
        let mut cx = Context { now, rng, out: Actions::new() };
        if self.owner.stopped {
            return cx.out;
        }
        if now.since(self.wake_at()) > self.settings.pause_threshold {
            self.resume(now);
        }
        match input {
            Input::Tick => self.tick(&mut cx),
            Input::Message { from, message } => self.receive(&mut cx, &from, message),
            Input::Seeds { addresses } => self.set_seeds(&mut cx, addresses),
            Input::Announce(announcement) => self.announce(&mut cx, announcement),
            Input::Leave { notify } => self.leave(&mut cx, notify),
            Input::Stop => self.stop(&mut cx),
            Input::BackendConnectFailed => self.connect_failed(&mut cx),
            Input::BackendResponded => self.succeeded(&mut cx),
            Input::PeerUnresponsive { endpoint } => self.unanswered(endpoint),
        }
        cx.out
    }

    /// Returns the time of the next [`Input::Tick`].
    ///
    /// Every call of [`Membership::handle`] may bring it forward. A tick that comes later than it by more than [`Settings::pause_threshold`] is taken as a
    /// pause of the process.
    pub fn wake_at(&self) -> Time {
        if self.owner.stopped {
            return Time(u64::MAX);
        }
        let suspicion = self.suspicions.values().map(|it| it.deadline).min();
        let reach = self.reach.values().map(|it| it.next).min();
        [self.gossip_at(), suspicion, reach, self.ready_at(), self.join.wake_at()]
            .into_iter()
            .flatten()
            .chain([self.prober.wake_at(), self.entropy.next])
            .min()
            .unwrap_or(Time(u64::MAX))
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        self.check_ready(cx);
        self.check_probes(cx);
        self.check_suspicions(cx);
        self.check_contacts(cx);
        self.check_join(cx);
        self.probe_next(cx);
        self.entropy_round(cx);
        self.gossip_round(cx);
    }

    /// Forgets what is outstanding after a pause of the process, during which replies may have
    /// arrived unread.
    fn resume(&mut self, now: Time) {
        self.counters.process_pauses += 1;
        self.prober.forget(now);
        for suspicion in self.suspicions.values_mut() {
            suspicion.deadline = suspicion.deadline.max(now + self.settings.suspicion_timeout);
        }
        for reach in self.reach.values_mut() {
            reach.resume(now);
        }
        self.queue.next = self.queue.next.max(now);
        self.entropy.next = self.entropy.next.max(now);
        self.join.resume(now);
        self.heard = now;
    }

    fn receive(&mut self, cx: &mut Context<'_>, from: &EndpointId, message: Message) {
        if *from == self.identity.endpoint {
            return;
        }
        self.heard = cx.now;
        let mut stale = false;
        for record in message.gossip {
            let own = record.endpoint == *from;
            stale |= self.merge(cx, &record, Spread::Gossip) == Merged::Older && own;
        }
        self.heard_from(cx, from);
        self.receive_body(cx, from, message.body);
        self.correct(cx, from, stale);
    }

    fn receive_body(&mut self, cx: &mut Context<'_>, from: &EndpointId, body: Body) {
        match body {
            Body::Gossip => {}
            Body::Probe { seq } => self.send(cx, from, Body::Ack { seq }),
            Body::Ack { seq } => self.acked(cx, seq),
            Body::IndirectProbe { seq, target } => self.probe_for(cx, from, seq, &target),
            Body::Nack { seq } => self.nacked(seq),
            Body::Digests { digests } => self.compare_digests(cx, from, &digests),
            Body::Summaries { buckets, entries, more } => {
                self.compare_summaries(cx, from, buckets, entries, more);
            }
            Body::Records { records, wanted } => self.take_records(cx, from, records, wanted),
            Body::Join { after } => self.serve_join(cx, from, after.as_ref()),
            Body::JoinReply { records, next } => self.take_chunk(cx, records, next),
        }
    }

    /// Tells the sender of a message how its record stands here when it has to act on it: it is
    /// suspected or held for dead, or it restarted with a clock that was set back.
    fn correct(&mut self, cx: &mut Context<'_>, from: &EndpointId, stale: bool) {
        let Some(entry) = self.table.get(from) else { return };
        let record = Arc::clone(&entry.record);
        let told = cx.out.iter().any(|it| match it {
            Action::Send { to, message } => to == from && message.gossip.contains(&record),
            _ => false,
        });
        if (stale || record.state >= State::Suspect) && !told {
            self.send_with(cx, from, Body::Gossip, Some(record));
        }
    }

    /// Merges a received record.
    pub(crate) fn merge(
        &mut self,
        cx: &mut Context<'_>,
        record: &Arc<Member>,
        spread: Spread,
    ) -> Merged {
        if record.endpoint == self.identity.endpoint {
            self.hear_self(cx, record);
            return Merged::Same;
        }
        let order = match self.table.get(&record.endpoint) {
            Some(entry) => record.cmp_precedence(&entry.record),
            // An unknown record that is gone was removed here after the retention time, or never
            // mattered here. Storing it would bring removed records back.
            None if record.state.is_gone() => Ordering::Equal,
            None => Ordering::Greater,
        };
        match order {
            Ordering::Greater => {
                self.counters.records_applied += 1;
                self.store(cx, record, spread);
                Merged::New
            }
            Ordering::Equal => {
                self.counters.records_ignored += 1;
                Merged::Same
            }
            Ordering::Less => {
                self.counters.records_ignored += 1;
                Merged::Older
            }
        }
    }

    /// Stores a record that supersedes the one held here.
    pub(crate) fn store(&mut self, cx: &mut Context<'_>, record: &Arc<Member>, spread: Spread) {
        let id = record.endpoint.clone();
        let known = self.table.get(&id).is_some_and(|it| !it.record.state.is_gone());
        if id != self.identity.endpoint {
            self.track(cx, record, known);
        }
        let shown = self.shown(record);
        let changed = self.table.get(&id).is_none_or(|it| it.shown != shown);
        self.table.put(Arc::clone(record), Arc::clone(&shown), cx.now);
        if changed {
            cx.out.push(Action::MemberChanged { member: shown });
        }
        match spread {
            Spread::Gossip => self.enqueue(cx, &id),
            Spread::Keep => self.queue.remove(&id),
        }
    }

    /// Updates what depends on the state of another member.
    fn track(&mut self, cx: &mut Context<'_>, record: &Member, known: bool) {
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
            self.add_reach(cx, &record.data_centre);
        }
    }

    fn enqueue(&mut self, cx: &Context<'_>, id: &EndpointId) {
        if self.queue.is_empty() {
            self.queue.next = self.queue.next.max(cx.now);
        }
        self.queue.push(id, self.settings.queue_limit);
    }
}
