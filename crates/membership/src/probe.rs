//! Probes of other members.

use std::collections::VecDeque;

use rand::{RngExt, seq::SliceRandom};
use shallottack_kernel::{DataCentre, EndpointId, Time};

use crate::{Body, Membership, Settings, State, core::Context, table::Table};

/// Most members waiting to be probed out of turn.
const MAX_EVIDENCE: usize = 64;

/// A probe that was not answered yet.
#[derive(Debug)]
struct Probe {
    target: EndpointId,
    seq: u16,
    /// Time at which helpers are asked; `None` when they were, or are not to be.
    helpers_at: Option<Time>,
    /// Time at which the probe has failed.
    until: Time,
    /// Number of helpers asked.
    helpers: usize,
    /// Number of helpers that could not reach the target either.
    nacks: usize,
}

/// A probe on behalf of another daemon.
#[derive(Debug)]
struct Relay {
    seq: u16,
    origin: EndpointId,
    origin_seq: u32,
    until: Time,
}

/// State of the failure detection.
#[derive(Debug)]
pub(crate) struct Prober {
    next: Time,
    seq: u16,
    /// Members still to be probed in this pass.
    order: Vec<EndpointId>,
    /// Members that a call found unresponsive, to be probed first.
    evidence: VecDeque<EndpointId>,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
}

impl Prober {
    /// The first number depends on the start, so that a late reply to an earlier process of this
    /// daemon is unlikely to match.
    pub fn new(incarnation: u64, first: Time) -> Prober {
        Prober {
            next: first,
            seq: incarnation as u16,
            order: Vec::new(),
            evidence: VecDeque::new(),
            probes: Vec::new(),
            relays: Vec::new(),
        }
    }

    pub fn wake_at(&self) -> Time {
        let probes = self.probes.iter().map(|it| it.helpers_at.unwrap_or(it.until));
        let relays = self.relays.iter().map(|it| it.until);
        probes.chain(relays).chain([self.next]).min().unwrap_or(self.next)
    }

    pub fn forget(&mut self, now: Time) {
        self.probes.clear();
        self.relays.clear();
        self.next = self.next.max(now);
    }

    /// Adds a new member at a random place of the current pass.
    pub fn add(&mut self, cx: &mut Context<'_>, id: &EndpointId) {
        let at = cx.rng.random_range(0..=self.order.len());
        self.order.insert(at, id.clone());
    }

    fn next_seq(&mut self) -> u16 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}

impl Probe {
    /// Creates a probe; one that only tests whether another data centre is reachable (`contact`)
    /// asks no helpers.
    fn new(settings: &Settings, target: EndpointId, seq: u16, now: Time, contact: bool) -> Probe {
        Probe {
            target,
            seq,
            helpers_at: (!contact).then_some(now + settings.direct_timeout),
            until: now + settings.probe_timeout,
            helpers: 0,
            nacks: 0,
        }
    }
}

impl Membership {
    /// Notes that a call to a member was not answered, so that it is probed next.
    pub(crate) fn unanswered(&mut self, endpoint: EndpointId) {
        let alive = self.table.get(&endpoint).is_some_and(|it| !it.record.state.is_gone());
        let other = endpoint != self.identity.endpoint;
        let evidence = &mut self.prober.evidence;
        let room = evidence.len() < MAX_EVIDENCE && !evidence.contains(&endpoint);
        if alive && other && room && !self.prober.probes.iter().any(|it| it.target == endpoint) {
            evidence.push_back(endpoint);
        }
    }

    /// Sends the probe of this period.
    pub(crate) fn probe_next(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.prober.next {
            return;
        }
        let urgent =
            self.suspected(&self.identity.data_centre).count() > 1 && !self.is_isolated(cx.now);
        let period =
            if urgent { self.settings.urgent_probe_period } else { self.settings.probe_period };
        self.prober.next = cx.now + period;
        if let Some(target) = self.next_target(cx, urgent) {
            self.probe(cx, target, false);
        }
    }

    /// Returns the member to probe; in urgent rounds one that is not suspected yet.
    fn next_target(&mut self, cx: &mut Context<'_>, urgent: bool) -> Option<EndpointId> {
        let limit = if urgent { State::Suspect } else { State::Dead };
        let usable = |table: &Table, id: &EndpointId| {
            table.get(id).is_some_and(|it| it.record.state < limit)
        };
        while let Some(id) = self.prober.evidence.pop_front() {
            if usable(&self.table, &id) {
                return Some(id);
            }
        }
        if self.prober.order.is_empty() {
            self.prober.order = self.table.peers(&self.identity.data_centre).to_vec();
            self.prober.order.shuffle(cx.rng);
        }
        while let Some(id) = self.prober.order.pop() {
            if usable(&self.table, &id) {
                return Some(id);
            }
        }
        None
    }

    pub(crate) fn probe(&mut self, cx: &mut Context<'_>, target: EndpointId, contact: bool) {
        let seq = self.prober.next_seq();
        self.counters.probes += 1;
        self.send(cx, &target, Body::Probe { seq: seq.into() });
        self.prober.probes.push(Probe::new(&self.settings, target, seq, cx.now, contact));
    }

    /// Asks helpers, reports to those who asked this daemon, and ends failed probes.
    pub(crate) fn check_probes(&mut self, cx: &mut Context<'_>) {
        let mut at = 0;
        while at < self.prober.probes.len() {
            let probe = &mut self.prober.probes[at];
            if probe.until <= cx.now {
                let probe = self.prober.probes.swap_remove(at);
                self.probe_failed(cx, &probe);
                continue;
            }
            if probe.helpers_at.is_some_and(|it| it <= cx.now) {
                probe.helpers_at = None;
                self.ask_helpers(cx, at);
            }
            at += 1;
        }
        let now = cx.now;
        let (late, open) = self.prober.relays.drain(..).partition(|it| it.until <= now);
        self.prober.relays = open;
        for relay in late {
            self.send(cx, &relay.origin, Body::Nack { seq: relay.origin_seq });
        }
    }

    fn ask_helpers(&mut self, cx: &mut Context<'_>, at: usize) {
        let probe = &self.prober.probes[at];
        let (target, seq) = (probe.target.clone(), probe.seq);
        let helpers = self.helpers(cx, &target);
        self.prober.probes[at].helpers = helpers.len();
        for helper in helpers {
            self.counters.indirect_probes += 1;
            let body = Body::IndirectProbe { seq: seq.into(), target: target.clone() };
            self.send(cx, &helper, body);
        }
    }

    /// Returns the members that probe `target` on behalf of this daemon.
    ///
    /// For a member of the own data centre, one of them is of another data centre when there is
    /// any, so that a conclusion stays possible when most of the own data centre has failed. For
    /// a member of another data centre they are peers of it, since only they can tell a failed
    /// member from an unreachable data centre.
    fn helpers(&self, cx: &mut Context<'_>, target: &EndpointId) -> Vec<EndpointId> {
        let Some(entry) = self.table.get(target) else { return Vec::new() };
        let count = self.settings.indirect_fanout;
        let near = self.live_peers(cx, &entry.record.data_centre, target);
        if entry.record.data_centre != self.identity.data_centre {
            return near.into_iter().take(count).collect();
        }
        let remote = self.random_remote(cx);
        let far = remote.map(|it| self.live_peers(cx, &it, target)).unwrap_or_default();
        let reserved = usize::from(!far.is_empty()).min(count);
        let mut helpers: Vec<_> = near.into_iter().take(count - reserved).collect();
        let missing = count - helpers.len();
        helpers.extend(far.into_iter().take(missing));
        helpers
    }

    /// Returns the live members of a data centre except `target`, shuffled.
    fn live_peers(
        &self,
        cx: &mut Context<'_>,
        data_centre: &DataCentre,
        target: &EndpointId,
    ) -> Vec<EndpointId> {
        let live = |id: &&EndpointId| {
            self.table.get(id).is_some_and(|it| it.record.state < State::Suspect)
        };
        let mut ids: Vec<_> = self
            .table
            .peers(data_centre)
            .iter()
            .filter(|id| *id != target)
            .filter(live)
            .cloned()
            .collect();
        ids.shuffle(cx.rng);
        ids
    }

    /// Draws the conclusion from a probe that no one answered.
    ///
    /// A suspicion needs a helper that answered: when none did, this daemon may be the one that
    /// is cut off.
    fn probe_failed(&mut self, cx: &mut Context<'_>, probe: &Probe) {
        self.counters.probe_failures += 1;
        let Some(entry) = self.table.get(&probe.target) else { return };
        let data_centre = entry.record.data_centre.clone();
        let local = data_centre == self.identity.data_centre;
        if probe.nacks > 0 || (local && probe.helpers == 0) {
            self.suspect(cx, &probe.target);
        } else if local {
            self.counters.inconclusive_probes += 1;
        } else {
            self.contact_failed(cx, &data_centre);
        }
    }

    pub(crate) fn acked(&mut self, cx: &mut Context<'_>, seq: u32) {
        self.prober.probes.retain(|it| u32::from(it.seq) != seq);
        if let Some(at) = self.prober.relays.iter().position(|it| u32::from(it.seq) == seq) {
            let relay = self.prober.relays.swap_remove(at);
            self.send(cx, &relay.origin, Body::Ack { seq: relay.origin_seq });
        }
    }

    pub(crate) fn nacked(&mut self, seq: u32) {
        if let Some(probe) = self.prober.probes.iter_mut().find(|it| u32::from(it.seq) == seq) {
            probe.nacks += 1;
        }
    }

    pub(crate) fn probe_for(
        &mut self,
        cx: &mut Context<'_>,
        origin: &EndpointId,
        origin_seq: u32,
        target: &EndpointId,
    ) {
        if *target == self.identity.endpoint {
            self.send(cx, origin, Body::Ack { seq: origin_seq });
            return;
        }
        // The result comes later than the reply to this message and needs an address.
        if self.table.get(origin).is_none() || self.table.get(target).is_none() {
            return;
        }
        let seq = self.prober.next_seq();
        let until = cx.now + self.settings.indirect_timeout;
        self.prober.relays.push(Relay { seq, origin: origin.clone(), origin_seq, until });
        self.send(cx, target, Body::Probe { seq: seq.into() });
    }
}
