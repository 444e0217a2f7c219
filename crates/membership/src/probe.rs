//! Failure detection by direct and indirect probes of other members.

use std::collections::VecDeque;

use rand::{RngExt, seq::SliceRandom};
use shallottack_kernel::{DataCentre, EndpointId, Time};

use crate::{Body, Membership, Settings, State, core::Context, table::Table};

/// Maximum number of members waiting to be probed out of turn.
const MAX_PRIORITY_TARGETS: usize = 64;

/// A probe that has not been answered.
#[derive(Debug)]
struct Probe {
    target: EndpointId,
    seq: u16,
    /// Time at which proxies are asked; `None` if they already were, or if the probe uses none.
    indirect_at: Option<Time>,
    /// Time at which the probe fails.
    until: Time,
    /// Number of proxies asked.
    proxies: usize,
    /// Number of proxies that reported that the target did not answer them either.
    nacks: usize,
}

/// A probe sent as a proxy for another daemon.
#[derive(Debug)]
struct ProxyProbe {
    seq: u16,
    origin: EndpointId,
    origin_seq: u32,
    until: Time,
}

/// State of the failure detector.
#[derive(Debug)]
pub(crate) struct Prober {
    next: Time,
    seq: u16,
    /// Members that are still to be probed in this pass, the next one last.
    order: Vec<EndpointId>,
    /// Members that did not answer a call, to be probed first.
    priority_targets: VecDeque<EndpointId>,
    probes: Vec<Probe>,
    proxy_probes: Vec<ProxyProbe>,
}

impl Prober {
    /// Creates a failure detector that sends its first probe at `first`.
    ///
    /// The first sequence number depends on the incarnation, so that a late reply to an earlier
    /// process of the same daemon is unlikely to match a probe.
    pub fn new(incarnation: u64, first: Time) -> Prober {
        Prober {
            next: first,
            seq: incarnation as u16,
            order: Vec::new(),
            priority_targets: VecDeque::new(),
            probes: Vec::new(),
            proxy_probes: Vec::new(),
        }
    }

    pub fn wake_at(&self) -> Time {
        let probes = self.probes.iter().map(|it| it.indirect_at.unwrap_or(it.until));
        let proxy_probes = self.proxy_probes.iter().map(|it| it.until);
        probes.chain(proxy_probes).chain([self.next]).min().unwrap_or(self.next)
    }

    pub fn clear_pending(&mut self, now: Time) {
        self.probes.clear();
        self.proxy_probes.clear();
        self.next = self.next.max(now);
    }

    /// Adds a new member at a random position of the current pass.
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
    /// Creates a probe of `target`. If `reachability` is set, it only tests whether another data
    /// centre is reachable and uses no proxies.
    fn new(
        settings: &Settings,
        target: EndpointId,
        seq: u16,
        now: Time,
        reachability: bool,
    ) -> Probe {
        Probe {
            target,
            seq,
            indirect_at: (!reachability).then_some(now + settings.direct_timeout),
            until: now + settings.probe_timeout,
            proxies: 0,
            nacks: 0,
        }
    }
}

impl Membership {
    /// Schedules a probe of a member that did not answer a call.
    pub(crate) fn peer_unresponsive(&mut self, endpoint: EndpointId) {
        let alive = self.table.get(&endpoint).is_some_and(|it| !it.record.state.is_gone());
        let other = endpoint != self.identity.endpoint;
        let targets = &mut self.prober.priority_targets;
        let room = targets.len() < MAX_PRIORITY_TARGETS && !targets.contains(&endpoint);
        if alive && other && room && !self.prober.probes.iter().any(|it| it.target == endpoint) {
            targets.push_back(endpoint);
        }
    }

    /// Probes the next member if the probe period has elapsed.
    pub(crate) fn probe_next_member(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.prober.next {
            return;
        }
        let urgent = self.suspected_members(&self.identity.data_centre).count() > 1
            && !self.is_isolated(cx.now);
        let period =
            if urgent { self.settings.urgent_probe_period } else { self.settings.probe_period };
        self.prober.next = cx.now + period;
        if let Some(target) = self.next_target(cx, urgent) {
            self.send_probe(cx, target, false);
        }
    }

    /// Returns the next member to probe; with `urgent`, only one that is not suspected yet.
    fn next_target(&mut self, cx: &mut Context<'_>, urgent: bool) -> Option<EndpointId> {
        let limit = if urgent { State::Suspect } else { State::Dead };
        let eligible = |table: &Table, id: &EndpointId| {
            table.get(id).is_some_and(|it| it.record.state < limit)
        };
        while let Some(id) = self.prober.priority_targets.pop_front() {
            if eligible(&self.table, &id) {
                return Some(id);
            }
        }
        if self.prober.order.is_empty() {
            self.prober.order = self.table.peers(&self.identity.data_centre).to_vec();
            self.prober.order.shuffle(cx.rng);
        }
        while let Some(id) = self.prober.order.pop() {
            if eligible(&self.table, &id) {
                return Some(id);
            }
        }
        None
    }

    pub(crate) fn send_probe(
        &mut self,
        cx: &mut Context<'_>,
        target: EndpointId,
        reachability: bool,
    ) {
        let seq = self.prober.next_seq();
        self.counters.probes += 1;
        self.send(cx, &target, Body::Probe { seq: seq.into() });
        self.prober.probes.push(Probe::new(&self.settings, target, seq, cx.now, reachability));
    }

    /// Ends failed probes, asks proxies for overdue ones and reports timeouts of probes sent as a
    /// proxy.
    pub(crate) fn check_probes(&mut self, cx: &mut Context<'_>) {
        let mut at = 0;
        while at < self.prober.probes.len() {
            let probe = &mut self.prober.probes[at];
            if probe.until <= cx.now {
                let probe = self.prober.probes.swap_remove(at);
                self.probe_failed(cx, &probe);
                continue;
            }
            if probe.indirect_at.is_some_and(|it| it <= cx.now) {
                probe.indirect_at = None;
                self.send_indirect_probes(cx, at);
            }
            at += 1;
        }
        let now = cx.now;
        let (late, open) = self.prober.proxy_probes.drain(..).partition(|it| it.until <= now);
        self.prober.proxy_probes = open;
        for proxy_probe in late {
            self.send(cx, &proxy_probe.origin, Body::Nack { seq: proxy_probe.origin_seq });
        }
    }

    fn send_indirect_probes(&mut self, cx: &mut Context<'_>, at: usize) {
        let probe = &self.prober.probes[at];
        let (target, seq) = (probe.target.clone(), probe.seq);
        let proxies = self.choose_proxies(cx, &target);
        self.prober.probes[at].proxies = proxies.len();
        for proxy in proxies {
            self.counters.indirect_probes += 1;
            let body = Body::IndirectProbe { seq: seq.into(), target: target.clone() };
            self.send(cx, &proxy, body);
        }
    }

    /// Returns the members to ask to probe `target`.
    ///
    /// For a target in the local data centre, one of them is in another data centre if possible,
    /// so that a probe stays conclusive when most of the local data centre has failed. For a target
    /// in another data centre, all of them are in that data centre, since only they can tell a
    /// failed member from an unreachable data centre.
    fn choose_proxies(&self, cx: &mut Context<'_>, target: &EndpointId) -> Vec<EndpointId> {
        let Some(entry) = self.table.get(target) else { return Vec::new() };
        let count = self.settings.indirect_fanout;
        let near = self.live_peers(cx, &entry.record.data_centre, target);
        if entry.record.data_centre != self.identity.data_centre {
            return near.into_iter().take(count).collect();
        }
        let remote = self.random_remote(cx);
        let far = remote.map(|it| self.live_peers(cx, &it, target)).unwrap_or_default();
        let reserved = usize::from(!far.is_empty()).min(count);
        let mut proxies: Vec<_> = near.into_iter().take(count - reserved).collect();
        let missing = count - proxies.len();
        proxies.extend(far.into_iter().take(missing));
        proxies
    }

    /// Returns the live members of a data centre except `target`, in random order.
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

    /// Handles a probe that failed.
    ///
    /// The target is suspected if a proxy could not reach it either, or if it is in the local data
    /// centre and there was no proxy to ask. If proxies were asked but none of them answered, the
    /// local daemon may be the one that is cut off.
    fn probe_failed(&mut self, cx: &mut Context<'_>, probe: &Probe) {
        self.counters.probe_failures += 1;
        let Some(entry) = self.table.get(&probe.target) else { return };
        let data_centre = entry.record.data_centre.clone();
        let local = data_centre == self.identity.data_centre;
        if probe.nacks > 0 || (local && probe.proxies == 0) {
            self.suspect(cx, &probe.target);
        } else if local {
            self.counters.inconclusive_probes += 1;
        } else {
            self.reachability_probe_failed(cx, &data_centre);
        }
    }

    pub(crate) fn receive_ack(&mut self, cx: &mut Context<'_>, seq: u32) {
        self.prober.probes.retain(|it| u32::from(it.seq) != seq);
        if let Some(at) = self.prober.proxy_probes.iter().position(|it| u32::from(it.seq) == seq) {
            let proxy_probe = self.prober.proxy_probes.swap_remove(at);
            self.send(cx, &proxy_probe.origin, Body::Ack { seq: proxy_probe.origin_seq });
        }
    }

    pub(crate) fn receive_nack(&mut self, seq: u32) {
        if let Some(probe) = self.prober.probes.iter_mut().find(|it| u32::from(it.seq) == seq) {
            probe.nacks += 1;
        }
    }

    pub(crate) fn relay_probe(
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
        // The result is sent after the reply to this message, so it needs a known address.
        if self.table.get(origin).is_none() || self.table.get(target).is_none() {
            return;
        }
        let seq = self.prober.next_seq();
        let until = cx.now + self.settings.indirect_timeout;
        self.prober.proxy_probes.push(ProxyProbe {
            seq,
            origin: origin.clone(),
            origin_seq,
            until,
        });
        self.send(cx, target, Body::Probe { seq: seq.into() });
    }
}
