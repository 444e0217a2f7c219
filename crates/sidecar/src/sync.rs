//! Exchange between daemons: liveness, load, configuration, members and evidence of rollouts.

use std::{sync::Arc, time::Duration};

use async_std::task;
use rand::{RngExt, seq::SliceRandom};
use shallottack_fleet::{FetchDecision, Load, Member, NeighbourSettings, Neighbours, RolloutState};
use shallottack_kernel::{EndpointId, Time};
use shallottack_rpc::PeerError;

use crate::{
    events::Event,
    message::{Counted, News, SyncReply, SyncRequest, Versions, decode, encode},
    node::{Cores, Node},
};

/// Time between looks at which daemons have to be asked.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Exchanges that this daemon begins at one look, enough for `JUDGED_PER_S`. A daemon that starts
/// has to reach all others, on a tenth of a core and a link of 10 Mbit/s.
const MOST_PER_LOOK: usize = 16;
/// Pause between two daemons that are told of a change, for the same reason.
const TELL_PAUSE: Duration = Duration::from_millis(4);
/// Exchanges that this daemon begins in a second, over all others; bounds the traffic of large
/// fleets to that of small ones.
const EXCHANGES_PER_S: f64 = 12.0;
/// The same while a rollout is judged: every pair of 110 daemons exchanges counts about once a
/// second, a fifth of the time in which a bad version has to be taken back.
const JUDGED_PER_S: f64 = 60.0;
/// The same in a sampled fleet, where counts are passed on: they reach all in two seconds.
const SAMPLED_JUDGED_PER_S: f64 = 24.0;
/// Shortest time between exchanges with a daemon that answers.
const LEAST_EVERY: Duration = Duration::from_millis(800);
/// Factor of that time for daemons of other data centres, where bytes cost more and fewer requests
/// go.
const REMOTE_FACTOR: u32 = 3;
/// Shortest time between exchanges with any daemon while a rollout is judged, so that all daemons
/// judge the same counts.
const ROLLOUT_EVERY: Duration = Duration::from_millis(500);
/// Time for a configuration to arrive: one of 1,500 routes over half of a link of 10 Mbit/s.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Neighbours that a daemon tells of newer operators' rows; three rounds reach 500 daemons.
const MOST_ANNOUNCED: usize = 8;
/// Neighbours that a daemon tells of a change of its own in a sampled fleet; they pass it on.
const MOST_TOLD: usize = 24;
/// One in this many exchanges of a sampled fleet compares the directories, which differ in many
/// members while many change; what is new is passed on at once.
const COMPARE_ONE_IN: u32 = 12;
/// Descriptions that are passed on in one message.
const MOST_RUMOURS: usize = 12;
/// Loads that are passed on in one message, a few hundred bytes.
const MOST_REPORTS: usize = 24;
/// Age up to which a load is passed on; by then most of the requests it counts have ended.
const OLDEST_REPORT: Duration = Duration::from_millis(1_000);
/// Counts of other daemons that are passed on in one message within a data centre, some 100 bytes
/// each.
const MOST_COUNTED: usize = 32;
/// The same to another data centre, where bytes cost more.
const REMOTE_COUNTED: usize = 6;
/// Time between draws of the neighbours.
const DRAW_EVERY: Duration = Duration::from_secs(1);
/// Time for one exchange; a VM at a fifth of its speed still answers.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

impl Node {
    /// Answers another daemon.
    pub fn answer_sync(self: &Arc<Self>, request: &SyncRequest) -> SyncReply {
        self.take_news(&request.news);
        let mut cores = self.cores();
        let held = request.news.versions.config;
        let config = if request.fetch { cores.configs.compress_newest(held) } else { Ok(None) };
        let config = config.unwrap_or_else(|reason| {
            log::error!("can't compress the configuration: {reason}");
            None
        });
        let mut news = self.news(&mut cores, &request.news.own);
        let digests = &request.news.digests;
        news.members.extend(cores.directory.differing(digests).cloned());
        let own = cores.directory.digests();
        if !digests.is_empty() && own != digests {
            news.digests = own.to_vec();
        }
        let orders = if request.fetch { cores.orders.values().cloned().collect() } else { vec![] };
        SyncReply { news, config, orders }
    }

    /// Takes a report of load from another daemon.
    pub fn heard_from(&self, vm: &EndpointId, load: Load) {
        let regained = self.cores().placement.record_load(self.now(), vm, load);
        if regained {
            self.events.write(&Event::Peer { vm: vm.as_str(), state: "regained", reason: "" });
        }
    }

    /// Takes note that a daemon has operators' rows of these versions, and asks for them when they are
    /// newer. Before another data centre is asked, the own one has a moment to bring them; so has the
    /// store in a fleet in which every daemon follows it.
    pub fn heard_versions(self: &Arc<Self>, vm: &EndpointId, theirs: Versions) {
        let held = self.versions();
        if !theirs.newer_than(held) {
            return;
        }
        let decision = {
            let now = self.now();
            let mut cores = self.cores();
            // Read again, since it may have come meanwhile.
            if theirs.config > self.config_row() {
                cores.behind_since.get_or_insert(now);
            }
            let member = cores.directory.get(vm);
            let local = member.is_some_and(|it| it.data_centre == self.settings.data_centre);
            let near = held.config == 0 || (cores.sampled() && local);
            cores.fetches.decide(now, near)
        };
        let wait = match decision {
            FetchDecision::Now => Duration::ZERO,
            FetchDecision::After(wait) => wait,
            FetchDecision::Skip => return,
        };
        let (node, vm) = (Arc::clone(self), vm.clone());
        task::spawn(async move {
            task::sleep(wait).await;
            let newer = theirs.newer_than(node.versions());
            if newer && node.cores().fetches.begin(node.now(), &vm) {
                node.fetch(&vm).await;
                node.cores().fetches.end(&vm);
            }
        });
    }

    async fn fetch(self: &Arc<Self>, vm: &EndpointId) {
        let Some(member) = self.cores().directory.get(vm).cloned() else { return };
        let began = self.now();
        let request = SyncRequest { news: self.news_for(&member, false), fetch: true };
        let reply = self.exchange(&member, request, FETCH_TIMEOUT).await;
        let theirs = reply.as_ref().map_or(Versions::default(), |it| it.news.versions);
        let outcome = match &reply {
            Some(reply) if reply.config.is_some() => "config",
            Some(_) => "no-config",
            None => "no-answer",
        };
        metrics::counter!("shallottack_fetches_total", "outcome" => outcome).increment(1);
        self.events.write(&Event::Fetched {
            vm: vm.as_str(),
            config: theirs.config,
            orders: theirs.orders,
            outcome,
            bytes: reply.as_ref().and_then(|it| it.config.as_ref()).map_or(0, |it| it.bytes.len()),
            ms: self.now().since(began).as_millis() as u64,
        });
        let Some(reply) = reply else { return };
        for order in &reply.orders {
            self.offer_order(order);
        }
        if let Some(packed) = &reply.config {
            let config = self.cores().configs.decompress(packed);
            match config {
                Ok(config) => self.offer_config(&config, "peer"),
                Err(reason) => {
                    let reason = reason.to_string();
                    self.events.write(&Event::ConfigRejected { row: packed.row, reason: &reason });
                }
            }
        }
        self.take_news(&reply.news);
    }

    /// Returns the versions of the operators' rows that this daemon holds.
    pub fn versions(&self) -> Versions {
        Versions { config: self.config_row(), orders: self.cores().newest_order() }
    }

    /// Tells some neighbours of newer operators' rows, which they ask for and tell of in turn. In a
    /// fleet in which every daemon follows the store, they have them already.
    pub fn announce(self: &Arc<Self>) {
        if self.cores().sampled() {
            self.tell(MOST_ANNOUNCED);
        }
    }

    /// Tells other daemons how this one describes itself now: all neighbours, or some that pass it
    /// on.
    pub fn broadcast(self: &Arc<Self>) {
        let most = if self.cores().sampled() { MOST_TOLD } else { usize::MAX };
        self.tell(most);
    }

    fn tell(self: &Arc<Self>, most: usize) {
        let node = Arc::clone(self);
        task::spawn(async move {
            let mut neighbours = node.neighbours();
            if neighbours.len() > most {
                neighbours.shuffle(&mut rand::rng());
                neighbours.truncate(most);
            }
            for member in neighbours {
                let teller = Arc::clone(&node);
                task::spawn(async move { teller.sync_with(&member, false).await });
                task::sleep(TELL_PAUSE).await;
            }
        });
    }

    /// Asks neighbours that have said nothing for some time, for ever.
    pub async fn probe(self: Arc<Self>) {
        let mut drawn = self.now();
        loop {
            let jitter = rand::rng().random_range(0.7..1.3);
            task::sleep(LOOK_EVERY.mul_f64(jitter)).await;
            let now = self.now();
            if now.since(drawn) >= DRAW_EVERY {
                drawn = now;
                self.cores().draw(now);
            }
            let (every, judged) = self.probe_every();
            let frequent = judged && !self.cores().sampled();
            let mut neighbours = self.neighbours();
            neighbours.shuffle(&mut rand::rng());
            // Evaluated one by one as they are taken, so that only those that are asked are noted.
            let due = neighbours.into_iter().filter(|it| {
                let remote = it.data_centre != self.settings.data_centre;
                let every = if remote && !frequent { every * REMOTE_FACTOR } else { every };
                self.cores().placement.probe_due(now, &it.vm, every)
            });
            for member in due.take(MOST_PER_LOOK) {
                task::spawn(Arc::clone(&self).ask(member));
            }
        }
    }

    async fn ask(self: Arc<Self>, member: Member) {
        let compare = {
            let cores = self.cores();
            cores.placement.has_answered(&member.vm)
                && (!cores.sampled() || rand::rng().random_ratio(1, COMPARE_ONE_IN))
        };
        self.sync_with(&member, compare).await;
    }

    /// Returns the time between exchanges with one daemon, and whether a rollout is judged.
    fn probe_every(&self) -> (Duration, bool) {
        let cores = self.cores();
        let judged = cores.rollouts.values().any(|it| it.state() == RolloutState::Running);
        let least = if judged { ROLLOUT_EVERY } else { LEAST_EVERY };
        let rate = match (judged, cores.sampled()) {
            (false, _) => EXCHANGES_PER_S,
            (true, false) => JUDGED_PER_S,
            (true, true) => SAMPLED_JUDGED_PER_S,
        };
        let fair = Duration::from_secs_f64(cores.near().count() as f64 / rate);
        (least.max(fair), judged)
    }

    fn neighbours(&self) -> Vec<Member> {
        let cores = self.cores();
        cores.near().cloned().collect()
    }

    /// Exchanges with another daemon. Directories are not compared with a daemon that was never
    /// heard from, since they may differ widely while many daemons start.
    async fn sync_with(self: &Arc<Self>, member: &Member, compare: bool) {
        let request = SyncRequest { news: self.news_for(member, compare), fetch: false };
        let Some(reply) = self.exchange(member, request, EXCHANGE_TIMEOUT).await else { return };
        if reply.news.own.vm != member.vm {
            // Another VM has the address now.
            self.remove_member(&member.vm);
        }
        self.take_news(&reply.news);
        let members: Vec<Member> = {
            let cores = self.cores();
            let missing = |it: &&Member| !reply.news.members.contains(it);
            cores.directory.differing(&reply.news.digests).filter(missing).cloned().collect()
        };
        if !members.is_empty() {
            let news = News { members, ..self.news_for(&reply.news.own, false) };
            let request = SyncRequest { news, fetch: false };
            self.exchange(&reply.news.own, request, EXCHANGE_TIMEOUT).await;
        }
    }

    fn news_for(&self, receiver: &Member, compare: bool) -> News {
        let mut cores = self.cores();
        let news = self.news(&mut cores, receiver);
        let digests = if compare { cores.directory.digests().to_vec() } else { Vec::new() };
        News { digests, ..news }
    }

    /// Returns what this daemon tells another one. In a sampled fleet it passes on what it has
    /// heard of others, loads only within its data centre.
    fn news(&self, cores: &mut Cores, receiver: &Member) -> News {
        let now = self.now();
        let mut news = News {
            own: cores.own.clone(),
            load: cores.load(now),
            versions: Versions { config: self.config_row(), orders: cores.newest_order() },
            counted: cores.counted(0),
            reports: Vec::new(),
            members: Vec::new(),
            digests: Vec::new(),
        };
        if cores.sampled() {
            let local = receiver.data_centre == self.settings.data_centre;
            news.counted = cores.counted(if local { MOST_COUNTED } else { REMOTE_COUNTED });
            news.members = cores.directory.take_updates(MOST_RUMOURS);
            if local {
                news.reports = cores.placement.recent_reports(now, OLDEST_REPORT, MOST_REPORTS);
            }
        }
        news
    }

    async fn exchange(
        &self,
        member: &Member,
        request: SyncRequest,
        within: Duration,
    ) -> Option<SyncReply> {
        let answer = self.peers.sync(member.address, encode(&request), within).await;
        let reply = match answer {
            Ok(frame) => decode(&frame.head),
            Err(PeerError::Unsent(reason) | PeerError::Cut(reason)) => Err(reason),
        };
        match reply {
            Ok(reply) => Some(reply),
            Err(reason) => {
                let was_up = self.cores().placement.mark_unreachable(self.now(), &member.vm);
                if was_up {
                    let (vm, reason) = (member.vm.as_str(), reason.as_str());
                    self.events.write(&Event::Peer { vm, state: "lost", reason });
                }
                None
            }
        }
    }

    fn take_news(self: &Arc<Self>, news: &News) {
        self.offer_member(&news.own);
        news.members.iter().for_each(|it| self.offer_member(it));
        self.heard_from(&news.own.vm, news.load);
        {
            let now = self.now();
            let mut cores = self.cores();
            news.reports.iter().for_each(|it| cores.placement.record_report(now, it));
            let me = (cores.own.vm.clone(), cores.own.incarnation);
            for it in news.counted.iter().filter(|it| (&it.vm, it.incarnation) != (&me.0, me.1)) {
                for rollout in cores.rollouts.values_mut() {
                    self.judge(rollout, "heard", |rollout| {
                        rollout.merge_evidence(&it.vm, it.incarnation, &it.evidence);
                    });
                }
            }
        }
        self.heard_versions(&news.own.vm, news.versions);
    }
}

impl Cores {
    /// Draws the neighbours anew and takes the backend servers beside them, and no others, as
    /// candidates.
    fn draw(&mut self, now: Time) {
        let settings = NeighbourSettings::default();
        self.neighbours = Neighbours::new(&settings, &self.own, self.directory.members());
        self.placement.set_daemon_count(self.directory.len());
        for member in self.directory.members().filter(|it| it.vm != self.own.vm) {
            match (self.neighbours.contains(member), self.placement.contains(&member.vm)) {
                (true, false) => self.placement.set_member(now, member),
                (false, true) => self.placement.remove_member(&member.vm),
                _ => {}
            }
        }
    }

    /// Returns the newest version among the orders of rollouts, 0 without any.
    fn newest_order(&self) -> u64 {
        self.orders.values().map(|it| it.row).max().unwrap_or(0)
    }

    /// Returns whether this daemon exchanges with a sample of the fleet only.
    pub fn sampled(&self) -> bool {
        !self.neighbours.covers_all()
    }

    /// Returns the neighbours.
    fn near(&self) -> impl Iterator<Item = &Member> {
        let near = |it: &&Member| it.vm != self.own.vm && self.neighbours.contains(it);
        self.directory.members().filter(near)
    }

    /// Returns the counts of the rollouts in progress: this daemon's own, and up to `most` of
    /// others for each; and the verdict of those that ended with a bad version, for daemons that
    /// have not read the report.
    fn counted(&self, most: usize) -> Vec<Counted> {
        let mut all = Vec::new();
        for rollout in self.rollouts.values() {
            let counted = |vm: &EndpointId, incarnation, evidence| Counted {
                vm: vm.clone(),
                incarnation,
                evidence,
            };
            let own = match rollout.state() {
                RolloutState::Running => Some(rollout.evidence().clone()),
                RolloutState::RolledBack => rollout.verdict(),
                RolloutState::Completed => None,
            };
            all.extend(own.map(|it| counted(&self.own.vm, self.own.incarnation, it)));
            if rollout.state() == RolloutState::Running {
                let heard = rollout.recent_evidence(most);
                all.extend(heard.map(|(vm, start, it)| counted(vm, start, it.clone())));
            }
        }
        all
    }
}
