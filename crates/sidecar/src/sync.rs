//! Gossip between daemons: liveness, load, configuration, members and rollout evidence.

use std::{sync::Arc, time::Duration};

use async_std::task;
use rand::{RngExt, seq::SliceRandom};
use shallottack_fleet::{FetchStep, Load, Member, NeighbourSettings, Neighbours, RolloutState};
use shallottack_kernel::{EndpointId, Time};
use shallottack_rpc::{ExchangeWaits, PeerError};
use shallottack_site::evacuation;

use crate::{
    config_history::DecompressError,
    events::Event,
    message::{
        Gossip, OperatorRows, PeerMessage, SourcedEvidence, SyncReply, SyncRequest, Versions,
        decode, encode,
    },
    node::{Node, Origin, Shared, Way},
};

/// Interval between checks of which daemons are due for a probe.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of exchanges started per check, enough for `ROLLOUT_EXCHANGES_PER_S`. Limits the
/// load when a daemon starts and has to reach all others, possibly on a tenth of a core and a link
/// of 10 Mbit/s.
const MAX_PROBES_PER_CHECK: usize = 16;
/// Pause between the notifications of two daemons, for the same reason.
const NOTIFY_PAUSE: Duration = Duration::from_millis(4);
/// Exchanges per second that this daemon starts with all others together, so that its traffic does
/// not grow with the fleet.
const EXCHANGES_PER_S: f64 = 12.0;
/// Exchanges per second while a rollout is in progress. Each pair of 110 daemons then exchanges its
/// evidence about once a second, a fifth of the time within which a bad version must be rolled
/// back.
const ROLLOUT_EXCHANGES_PER_S: f64 = 60.0;
/// Exchanges per second while a rollout is in progress in a sampled fleet. Evidence is forwarded
/// there and reaches all daemons in two seconds.
const SAMPLED_ROLLOUT_EXCHANGES_PER_S: f64 = 24.0;
/// Shortest interval between exchanges with a daemon that responds.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// Factor of the interval for daemons of other data centres, to which traffic is more expensive and
/// fewer requests are sent.
const REMOTE_INTERVAL_FACTOR: u32 = 3;
/// Shortest interval between exchanges with a daemon while a rollout is in progress, so that all
/// daemons judge the same evidence.
const ROLLOUT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the answer to an exchange is awaited, although the daemon has counted as lost
/// before: on a busy link it waits behind other messages for as long as a connection counts as busy.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(8);
/// Largest compressed configuration, and largest orders, that are sent along with an exchange, in
/// bytes: 3 ms on a link of 10 Mbit/s. Longer ones are fetched, from one daemon.
const MAX_ATTACHED_BYTES: usize = 4 * 1024;
/// Largest number of neighbours notified of newer operator rows; three rounds reach 500 daemons.
const MAX_ANNOUNCED_NEIGHBOURS: usize = 8;
/// Largest number of neighbours notified of a change of this daemon in a sampled fleet; they
/// forward it.
const MAX_BROADCAST_NEIGHBOURS: usize = 24;
/// In a sampled fleet, one in this many exchanges compares the directories. These differ in many
/// members while many change, and new descriptions are forwarded at once anyway.
const COMPARE_ONE_IN: u32 = 12;
/// Largest number of member descriptions forwarded in one message.
const MAX_GOSSIPED_MEMBERS: usize = 12;
/// Largest number of loads forwarded in one message, a few hundred bytes.
const MAX_GOSSIPED_LOADS: usize = 24;
/// Largest age of a load that is forwarded; most requests counted in an older one have ended.
const MAX_GOSSIPED_LOAD_AGE: Duration = Duration::from_millis(1_000);
/// Largest number of other daemons' evidence forwarded in one message within a data centre, some
/// 100 bytes each.
const MAX_GOSSIPED_EVIDENCE: usize = 32;
/// Largest number of other daemons' evidence forwarded in one message to another data centre, to
/// which traffic is more expensive.
const MAX_REMOTE_EVIDENCE: usize = 6;
/// Interval between draws of the neighbours.
const DRAW_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one exchange; a VM at a fifth of its normal speed still responds within it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time between checks of whether rows are still missing while they are fetched.
const FETCH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether another daemon answered within [`EXCHANGE_TIMEOUT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    InTime,
    Late,
}

impl Node {
    /// Handles an exchange started by another daemon.
    pub fn handle_sync(self: &Arc<Self>, request: &SyncRequest) -> SyncReply {
        self.apply_gossip(&request.gossip, Way::Announced);
        let mut shared = self.shared();
        let held = request.gossip.versions;
        let mut gossip = self.gossip(&mut shared, &request.gossip.own);
        gossip.rows = if request.fetch {
            self.rows_for(&mut shared, held, usize::MAX)
        } else {
            self.rows_for(&mut shared, held, MAX_ATTACHED_BYTES)
        };
        let digests = &request.gossip.digests;
        gossip.members.extend(shared.directory.differing(digests).cloned());
        let own = shared.directory.digests();
        if !digests.is_empty() && own != digests {
            gossip.digests = own.to_vec();
        }
        SyncReply { gossip }
    }

    /// Returns the operator rows for a daemon that holds the versions `held`, without those that are
    /// longer than `max_bytes`.
    fn rows_for(&self, shared: &mut Shared, held: Versions, max_bytes: usize) -> OperatorRows {
        let own = shared.versions(self.config_version());
        let mut rows = OperatorRows::default();
        if own.config > held.config {
            rows.config = shared.configs.compress_newest(held.config).unwrap_or_else(|reason| {
                log::error!("can't compress the configuration: {reason}");
                None
            });
            rows.config.take_if(|it| it.bytes.len() > max_bytes);
        }
        if own.orders > held.orders {
            rows.orders = shared.order_rows();
            let bytes = rows.orders.iter().map(|it| it.bytes.as_ref().map_or(0, Vec::len));
            if bytes.sum::<usize>() > max_bytes {
                rows.orders.clear();
            }
        }
        rows
    }

    /// Records the load of another daemon's backend server, received from that daemon.
    pub fn record_load(&self, vm: &EndpointId, load: Load) {
        let regained = self.shared().placement.record_load(self.now(), vm, load);
        if regained {
            self.events.write(&Event::Peer { vm: vm.as_str(), state: "regained", reason: "" });
        }
    }

    /// Fetches operator rows if the daemon of `vm` holds newer versions.
    ///
    /// A fetch from another data centre is delayed, so that the rows can arrive from the own one
    /// first. In a fleet where every daemon polls the store, every fetch is delayed in favour of
    /// the store. A daemon without a configuration does not wait.
    pub fn check_versions(self: &Arc<Self>, vm: &EndpointId, theirs: Versions) {
        if theirs.era > 0 {
            self.observe_era(theirs.era, vm.as_str());
        }
        let start = {
            let now = self.now();
            let mut shared = self.shared();
            shared.stated.insert(vm.clone(), theirs);
            shared.newest_stated = shared.newest_stated.max(theirs);
            // Compared under the lock, since a configuration may arrive in the meantime.
            let held = shared.versions(self.config_version());
            if !theirs.newer_than(held) {
                return;
            }
            if theirs.config > held.config && shared.behind_since.is_none() {
                shared.behind_since = Some(now);
                let (vm, version) = (vm.as_str(), theirs.config);
                self.events.write(&Event::Behind { vm, version, held: held.config });
            }
            let member = shared.directory.get(vm);
            let local = member.is_some_and(|it| it.data_centre == self.settings.data_centre);
            let near = held.config == 0 || (shared.sampled() && local);
            shared.fetches.record_source(now, vm, near)
        };
        if start {
            task::spawn(Arc::clone(self).catch_up());
        }
    }

    /// Fetches operator rows until none is missing.
    async fn catch_up(self: Arc<Self>) {
        loop {
            let step = {
                let shared = &mut *self.shared();
                let held = shared.versions(self.config_version());
                let missing = shared.newest_stated.newer_than(held);
                let is_connected = |vm: &EndpointId| {
                    let member = shared.directory.get(vm);
                    member.is_some_and(|it| self.peers.is_connected(it.address))
                };
                shared.fetches.step(self.now(), missing, is_connected)
            };
            match step {
                FetchStep::Fetch(vm) => {
                    let node = Arc::clone(&self);
                    task::spawn(async move {
                        let answered = node.fetch(&vm).await;
                        node.shared().fetches.end(&vm, answered);
                    });
                }
                FetchStep::Wait(wait) => task::sleep(wait.min(FETCH_CHECK_INTERVAL)).await,
                FetchStep::Done => return,
            }
        }
    }

    /// Fetches the operator rows from the daemon of a VM and applies them, also late ones. Returns whether
    /// it answered, or no longer exists.
    async fn fetch(self: &Arc<Self>, vm: &EndpointId) -> bool {
        let Some(member) = self.shared().directory.get(vm).cloned() else { return true };
        let began = self.now();
        let request = SyncRequest { gossip: self.gossip_for(&member, false), fetch: true };
        let reply = self.exchange(&member, request).await;
        let gossip = reply.as_ref().map(|it| &it.0.gossip);
        let theirs = gossip.map_or(Versions::default(), |it| it.versions);
        let config = gossip.and_then(|it| it.rows.config.as_ref());
        let outcome = match (gossip, config) {
            (_, Some(_)) => "config",
            (Some(_), None) => "no-config",
            (None, None) => "no-answer",
        };
        metrics::counter!("shallottack_fetches_total", "outcome" => outcome).increment(1);
        self.events.write(&Event::Fetched {
            vm: vm.as_str(),
            config: theirs.config,
            orders: theirs.orders.number,
            outcome,
            bytes: config.map_or(0, |it| it.bytes.len()),
            ms: self.now().since(began).as_millis() as u64,
        });
        let Some((reply, answer)) = reply else { return false };
        self.apply_reply(&reply.gossip, answer, Way::Fetched);
        true
    }

    /// Applies operator rows that the daemon of a VM sent, which holds `theirs`.
    fn apply_rows(
        self: &Arc<Self>,
        vm: &EndpointId,
        rows: &OperatorRows,
        theirs: Versions,
        way: Way,
    ) {
        for row in &rows.orders {
            if evacuation::is_evacuation(&row.key) {
                self.apply_evacuation(row, vm.as_str());
            } else {
                self.apply_order(row);
            }
        }
        if way == Way::Fetched || !rows.orders.is_empty() {
            // Also covers orders that the other daemon has read and ignored.
            let mut shared = self.shared();
            shared.newest_order = shared.newest_order.max(theirs.orders);
        }
        let Some(compressed) = &rows.config else { return };
        if compressed.version <= self.config_version() {
            return;
        }
        let origin = Origin { source: vm.as_str(), way };
        let config = self.shared().configs.decompress(compressed);
        match config {
            Ok(config) => self.apply_config(config.bytes, Some(compressed.clone()), origin),
            // The delta is based on a version that this daemon no longer holds, or not yet.
            Err(DecompressError::MissingBase(_)) => {}
            Err(reason) => {
                let reason = reason.to_string();
                self.events.write(&Event::ConfigRejected { source: "peer", reason: &reason });
            }
        }
    }

    /// Returns the versions of the operator rows held by this daemon.
    pub fn versions(&self) -> Versions {
        self.shared().versions(self.config_version())
    }

    /// Sends newer operator rows to some neighbours, which announce them to theirs.
    ///
    /// Does nothing in a fleet where every daemon polls the store and already has the rows.
    pub fn announce(self: &Arc<Self>) {
        if self.shared().sampled() {
            let held = self.versions();
            self.notify_neighbours(MAX_ANNOUNCED_NEIGHBOURS, move |stated| held.newer_than(stated));
        }
    }

    /// Sends this daemon's description to all neighbours, or to some that forward it.
    pub fn broadcast(self: &Arc<Self>) {
        let max = if self.shared().sampled() { MAX_BROADCAST_NEIGHBOURS } else { usize::MAX };
        self.notify_neighbours(max, |_| true);
    }

    /// Starts an exchange with up to `max` random neighbours, of which those are left out for whose
    /// last stated versions `concerns` is false.
    ///
    /// They are drawn among all neighbours, so that those behind slow links do not get more.
    fn notify_neighbours(
        self: &Arc<Self>,
        max: usize,
        concerns: impl Fn(Versions) -> bool + Send + 'static,
    ) {
        let node = Arc::clone(self);
        task::spawn(async move {
            let mut neighbours = node.neighbours();
            if neighbours.len() > max {
                neighbours.shuffle(&mut rand::rng());
                neighbours.truncate(max);
            }
            for member in neighbours {
                let stated = node.shared().stated.get(&member.vm).copied();
                if stated.is_some_and(|it| !concerns(it)) {
                    continue;
                }
                let sender = Arc::clone(&node);
                task::spawn(async move { sender.sync_with(&member, false).await });
                task::sleep(NOTIFY_PAUSE).await;
            }
        });
    }

    /// Probes neighbours with no exchange for some time, in an endless loop.
    pub async fn probe(self: Arc<Self>) {
        let mut drawn = self.now();
        loop {
            let jitter = rand::rng().random_range(0.7..1.3);
            task::sleep(PROBE_CHECK_INTERVAL.mul_f64(jitter)).await;
            let now = self.now();
            if now.since(drawn) >= DRAW_INTERVAL {
                drawn = now;
                self.shared().draw_neighbours(now);
            }
            let (interval, rollout_running) = self.probe_interval();
            let frequent = rollout_running && !self.shared().sampled();
            let mut neighbours = self.neighbours();
            neighbours.shuffle(&mut rand::rng());
            // Evaluated lazily: `probe_due` records the probe, so it must only see neighbours that
            // are probed.
            let due = neighbours.into_iter().filter(|it| {
                let remote = it.data_centre != self.settings.data_centre;
                let interval =
                    if remote && !frequent { interval * REMOTE_INTERVAL_FACTOR } else { interval };
                self.shared().placement.probe_due(now, &it.vm, interval)
            });
            for member in due.take(MAX_PROBES_PER_CHECK) {
                task::spawn(Arc::clone(&self).probe_member(member));
            }
        }
    }

    /// Exchanges with a neighbour; whether the directories are compared depends on the fleet.
    async fn probe_member(self: Arc<Self>, member: Member) {
        let compare = {
            let shared = self.shared();
            shared.placement.has_answered(&member.vm)
                && (!shared.sampled() || rand::rng().random_ratio(1, COMPARE_ONE_IN))
        };
        self.sync_with(&member, compare).await;
    }

    /// Returns the interval between exchanges with one daemon, and whether a rollout is in
    /// progress.
    fn probe_interval(&self) -> (Duration, bool) {
        let shared = self.shared();
        let rollout_running =
            shared.rollouts.values().any(|it| it.state() == RolloutState::Running);
        let min = if rollout_running { ROLLOUT_EXCHANGE_INTERVAL } else { MIN_EXCHANGE_INTERVAL };
        let rate = match (rollout_running, shared.sampled()) {
            (false, _) => EXCHANGES_PER_S,
            (true, false) => ROLLOUT_EXCHANGES_PER_S,
            (true, true) => SAMPLED_ROLLOUT_EXCHANGES_PER_S,
        };
        let fair = Duration::from_secs_f64(shared.neighbours().count() as f64 / rate);
        (min.max(fair), rollout_running)
    }

    fn neighbours(&self) -> Vec<Member> {
        let shared = self.shared();
        shared.neighbours().cloned().collect()
    }

    /// Exchanges state with another daemon.
    ///
    /// `compare` must be false for a daemon that has not answered yet: while many daemons start,
    /// the directories may differ widely.
    async fn sync_with(self: &Arc<Self>, member: &Member, compare: bool) {
        let request = SyncRequest { gossip: self.gossip_for(member, compare), fetch: false };
        let Some((reply, answer)) = self.exchange(member, request).await else { return };
        if reply.gossip.own.vm != member.vm {
            // The address now belongs to another VM.
            self.remove_member(&member.vm);
        }
        self.apply_reply(&reply.gossip, answer, Way::Replied);
        let members: Vec<Member> = {
            let shared = self.shared();
            let missing = |it: &&Member| !reply.gossip.members.contains(it);
            shared.directory.differing(&reply.gossip.digests).filter(missing).cloned().collect()
        };
        if !members.is_empty() {
            let gossip = Gossip { members, ..self.gossip_for(&reply.gossip.own, false) };
            let request = SyncRequest { gossip, fetch: false };
            self.exchange(&reply.gossip.own, request).await;
        }
    }

    /// Returns the gossip for another daemon, with digests if the directories are to be compared, and
    /// with the operator rows that it lacks by what it stated last.
    fn gossip_for(&self, receiver: &Member, compare: bool) -> Gossip {
        let mut shared = self.shared();
        let mut gossip = self.gossip(&mut shared, receiver);
        if let Some(stated) = shared.stated.get(&receiver.vm).copied() {
            gossip.rows = self.rows_for(&mut shared, stated, MAX_ATTACHED_BYTES);
        }
        let digests = if compare { shared.directory.digests().to_vec() } else { Vec::new() };
        Gossip { digests, ..gossip }
    }

    /// Returns the gossip for another daemon, without digests and operator rows.
    ///
    /// In a sampled fleet it includes data received about other daemons; loads are only forwarded
    /// within the data centre.
    fn gossip(&self, shared: &mut Shared, receiver: &Member) -> Gossip {
        let now = self.now();
        let mut gossip = Gossip {
            own: shared.own.clone(),
            load: shared.load(now),
            versions: shared.versions(self.config_version()),
            evidence: shared.evidence(0),
            reports: Vec::new(),
            members: Vec::new(),
            leaves: shared.placement.known_leaves(&receiver.vm),
            digests: Vec::new(),
            rows: OperatorRows::default(),
        };
        if shared.sampled() {
            let local = receiver.data_centre == self.settings.data_centre;
            gossip.evidence =
                shared.evidence(if local { MAX_GOSSIPED_EVIDENCE } else { MAX_REMOTE_EVIDENCE });
            gossip.members = shared.directory.take_updates(MAX_GOSSIPED_MEMBERS);
            if local {
                gossip.reports =
                    shared.placement.recent_reports(now, MAX_GOSSIPED_LOAD_AGE, MAX_GOSSIPED_LOADS);
            }
        }
        gossip
    }

    /// Sends a request to another daemon; marks the daemon as lost if there is no valid reply in
    /// time, and goes on waiting for one.
    async fn exchange(&self, member: &Member, request: SyncRequest) -> Option<(SyncReply, Answer)> {
        let sequence = request.gossip.own.sequence;
        let message = encode(&PeerMessage::Sync(Box::new(request)));
        let mut answer = Answer::InTime;
        let overdue = || {
            answer = Answer::Late;
            self.mark_lost(member, "timed out");
        };
        let waits = ExchangeWaits { prompt: EXCHANGE_TIMEOUT, late: LATE_ANSWER_TIME };
        let frame = self.peers.sync_late(member.address, message, waits, overdue).await;
        let reply = match frame {
            Ok(frame) => decode::<SyncReply>(&frame.head),
            Err(PeerError::Unsent(reason) | PeerError::Cut(reason)) => Err(reason),
        };
        match reply {
            Ok(reply) => {
                if reply.gossip.own.vm == member.vm {
                    self.shared().kept.record_holder(&member.vm, sequence);
                }
                Some((reply, answer))
            }
            Err(reason) => {
                if answer == Answer::InTime {
                    self.mark_lost(member, &reason);
                }
                None
            }
        }
    }

    fn mark_lost(&self, member: &Member, reason: &str) {
        let was_up = self.shared().placement.mark_unreachable(self.now(), &member.vm);
        if was_up {
            self.events.write(&Event::Peer { vm: member.vm.as_str(), state: "lost", reason });
        }
    }

    /// Applies a reply. Of a late one, only what is ordered by versions: its load is outdated.
    fn apply_reply(self: &Arc<Self>, gossip: &Gossip, answer: Answer, way: Way) {
        match answer {
            Answer::InTime => self.apply_gossip(gossip, way),
            Answer::Late => {
                metrics::counter!("shallottack_late_answers_total").increment(1);
                self.apply_versioned(gossip, way);
            }
        }
    }

    /// Applies what is ordered by versions of the state of another daemon.
    fn apply_versioned(self: &Arc<Self>, gossip: &Gossip, way: Way) {
        self.apply_leaves(&gossip.leaves, gossip.own.vm.as_str());
        self.apply_member(&gossip.own);
        gossip.members.iter().for_each(|it| self.apply_member(it));
        self.apply_rows(&gossip.own.vm, &gossip.rows, gossip.versions, way);
    }

    /// Applies everything received from another daemon.
    fn apply_gossip(self: &Arc<Self>, gossip: &Gossip, way: Way) {
        self.apply_versioned(gossip, way);
        self.record_load(&gossip.own.vm, gossip.load);
        {
            let now = self.now();
            let mut shared = self.shared();
            gossip.reports.iter().for_each(|it| shared.placement.record_report(now, it));
            let me = (shared.own.vm.clone(), shared.own.incarnation);
            for it in gossip.evidence.iter().filter(|it| (&it.vm, it.incarnation) != (&me.0, me.1))
            {
                for rollout in shared.rollouts.values_mut() {
                    self.update_rollout(rollout, "heard", |rollout| {
                        rollout.merge_evidence(&it.vm, it.incarnation, &it.evidence);
                    });
                }
            }
        }
        self.check_versions(&gossip.own.vm, gossip.versions);
    }
}

impl Shared {
    /// Redraws the neighbours and makes exactly their backend servers the candidates for requests.
    fn draw_neighbours(&mut self, now: Time) {
        let settings = NeighbourSettings::default();
        self.neighbours = Neighbours::new(&settings, &self.own, self.directory.members());
        self.placement.budget_mut().set_daemons(now, self.directory.len());
        for member in self.directory.members().filter(|it| it.vm != self.own.vm) {
            match (self.neighbours.contains(member), self.placement.contains(&member.vm)) {
                (true, false) => self.placement.set_member(now, member),
                (false, true) => self.placement.remove_member(&member.vm),
                _ => {}
            }
        }
    }

    /// Returns the versions of what the operators wrote, with that of the configuration.
    fn versions(&self, config: u64) -> Versions {
        Versions { config, orders: self.newest_order, era: self.era.unwrap_or_default() }
    }

    /// Returns whether this daemon exchanges state only with a sample of the fleet.
    pub fn sampled(&self) -> bool {
        !self.neighbours.covers_all()
    }

    /// Returns the neighbours of this daemon.
    fn neighbours(&self) -> impl Iterator<Item = &Member> {
        let is_neighbour = |it: &&Member| it.vm != self.own.vm && self.neighbours.contains(it);
        self.directory.members().filter(is_neighbour)
    }

    /// Returns the evidence to send about rollouts.
    ///
    /// For each rollout in progress this is the daemon's own evidence and that of up to
    /// `max_others` other daemons. For each one that was rolled back it is the verdict, for daemons
    /// that have not read the report.
    fn evidence(&self, max_others: usize) -> Vec<SourcedEvidence> {
        let mut all = Vec::new();
        for rollout in self.rollouts.values() {
            let sourced = |vm: &EndpointId, incarnation, evidence| SourcedEvidence {
                vm: vm.clone(),
                incarnation,
                evidence,
            };
            let own = match rollout.state() {
                RolloutState::Running => Some(rollout.evidence().clone()),
                RolloutState::RolledBack => rollout.verdict(),
                RolloutState::Completed => None,
            };
            all.extend(own.map(|it| sourced(&self.own.vm, self.own.incarnation, it)));
            if rollout.state() == RolloutState::Running {
                let others = rollout.recent_evidence(max_others);
                all.extend(
                    others.map(|(vm, incarnation, it)| sourced(vm, incarnation, it.clone())),
                );
            }
        }
        all
    }
}
