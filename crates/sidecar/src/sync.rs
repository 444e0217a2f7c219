//! Exchange between daemons: liveness, load, configuration, members and evidence of rollouts.

use std::{sync::Arc, time::Duration};

use async_std::task;
use rand::{RngExt, seq::SliceRandom};
use shallottack_fleet::{Evidence, Load, Member, RolloutState};
use shallottack_kernel::EndpointId;
use shallottack_rpc::PeerError;

use crate::{
    events::Event,
    message::{Document, SyncReply, SyncRequest, decode, encode},
    node::Node,
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
/// Shortest time between exchanges with a daemon that answers.
const LEAST_EVERY: Duration = Duration::from_millis(800);
/// Factor of that time for daemons of other data centres, where bytes cost more and fewer requests
/// go.
const REMOTE_FACTOR: u32 = 3;
/// Shortest time between exchanges with any daemon while a rollout is judged, so that all daemons
/// judge the same counts.
const ROLLOUT_EVERY: Duration = Duration::from_millis(500);
/// Time for which a configuration is in force before it is sent to daemons with an older one, which
/// mostly get it from the store meanwhile. A sixth of the shortest time within which it has to be in
/// force everywhere.
const DOCUMENT_AGE: Duration = Duration::from_millis(400);
/// Shortest time between exchanges because another daemon has a newer configuration; half of
/// `DOCUMENT_AGE`.
const FETCH_EVERY: Duration = Duration::from_millis(200);
/// Time for one exchange; a VM at a fifth of its speed still answers.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

impl Node {
    /// Answers another daemon.
    pub fn answer_sync(&self, request: &SyncRequest) -> SyncReply {
        self.take_members(&request.own, &request.members);
        self.heard_from(&request.own.vm, request.load);
        if let Some(document) = &request.document {
            self.offer_config(document, "peer");
        }
        self.hear_evidence(&request.own, &request.evidence);
        let document = self.document_newer_than(request.config);
        let config = self.config_row();
        let cores = self.cores();
        let members = cores.directory.differing(&request.digests).cloned().collect();
        let load = cores.load(self.now());
        let own_digests = cores.directory.digests();
        let differs = !request.digests.is_empty() && own_digests != request.digests;
        let digests = if differs { own_digests.to_vec() } else { Vec::new() };
        let evidence = cores.evidence();
        SyncReply { own: cores.own.clone(), load, config, evidence, document, members, digests }
    }

    /// Takes a report of load from another daemon.
    pub fn heard_from(&self, vm: &EndpointId, load: Load) {
        let regained = self.cores().placement.heard(self.now(), vm, load);
        if regained {
            self.events.write(&Event::Peer { vm: vm.as_str(), state: "regained", reason: "" });
        }
    }

    /// Exchanges with a daemon that is known to have a newer configuration, unless that was done a
    /// moment ago.
    pub fn fetch_config(self: &Arc<Self>, vm: &EndpointId) {
        let now = self.now();
        let member = {
            let mut cores = self.cores();
            if cores.fetched.is_some_and(|it| now.since(it) < FETCH_EVERY) {
                return;
            }
            cores.fetched = Some(now);
            cores.directory.get(vm).cloned()
        };
        if let Some(member) = member {
            let node = Arc::clone(self);
            task::spawn(async move { node.sync_with(&member).await });
        }
    }

    /// Tells all other daemons how this one describes itself now.
    pub fn broadcast(self: &Arc<Self>) {
        let node = Arc::clone(self);
        task::spawn(async move {
            for member in node.others() {
                let teller = Arc::clone(&node);
                task::spawn(async move { teller.tell(&member).await });
                task::sleep(TELL_PAUSE).await;
            }
        });
    }

    /// Asks daemons that have said nothing for some time, for ever.
    pub async fn probe(self: Arc<Self>) {
        loop {
            let jitter = rand::rng().random_range(0.7..1.3);
            task::sleep(LOOK_EVERY.mul_f64(jitter)).await;
            let now = self.now();
            let (every, judged) = self.probe_every();
            let mut others = self.others();
            others.shuffle(&mut rand::rng());
            // Evaluated one by one as they are taken, so that only those that are asked are noted.
            let due = others.into_iter().filter(|it| {
                let remote = it.data_centre != self.settings.data_centre;
                let every = if remote && !judged { every * REMOTE_FACTOR } else { every };
                self.cores().placement.probe_due(now, &it.vm, every)
            });
            for member in due.take(MOST_PER_LOOK) {
                task::spawn(Arc::clone(&self).ask(member));
            }
        }
    }

    async fn ask(self: Arc<Self>, member: Member) {
        if self.cores().placement.is_proven(&member.vm) {
            self.sync_with(&member).await;
        } else {
            self.tell(&member).await;
        }
    }

    /// Returns the time between exchanges with one daemon, and whether a rollout is judged.
    fn probe_every(&self) -> (Duration, bool) {
        let cores = self.cores();
        let judged = cores.rollouts.values().any(|it| it.state() == RolloutState::Running);
        let least = if judged { ROLLOUT_EVERY } else { LEAST_EVERY };
        let rate = if judged { JUDGED_PER_S } else { EXCHANGES_PER_S };
        let fair = Duration::from_secs_f64(cores.directory.len() as f64 / rate);
        (least.max(fair), judged)
    }

    fn others(&self) -> Vec<Member> {
        let cores = self.cores();
        let me = &cores.own.vm;
        cores.directory.members().filter(|it| it.vm != *me).cloned().collect()
    }

    /// Tells another daemon about this one without a comparison of members, which may differ
    /// widely while many daemons start.
    async fn tell(&self, member: &Member) {
        let request = SyncRequest { digests: Vec::new(), ..self.sync_request() };
        if let Some(reply) = self.exchange(member, request).await {
            self.take_reply(member, &reply);
        }
    }

    async fn sync_with(&self, member: &Member) {
        let Some(reply) = self.exchange(member, self.sync_request()).await else { return };
        self.take_reply(member, &reply);
        let document = self.document_newer_than(reply.config);
        let members: Vec<Member> = {
            let cores = self.cores();
            let missing = |it: &&Member| !reply.members.contains(it);
            cores.directory.differing(&reply.digests).filter(missing).cloned().collect()
        };
        if document.is_some() || !members.is_empty() {
            let digests = Vec::new();
            let request = SyncRequest { document, members, digests, ..self.sync_request() };
            self.exchange(&reply.own, request).await;
        }
    }

    fn take_reply(&self, asked: &Member, reply: &SyncReply) {
        if reply.own.vm != asked.vm {
            // Another VM has the address now.
            self.remove_member(&asked.vm);
        }
        self.take_members(&reply.own, &reply.members);
        self.heard_from(&reply.own.vm, reply.load);
        self.hear_evidence(&reply.own, &reply.evidence);
        if let Some(document) = &reply.document {
            self.offer_config(document, "peer");
        }
    }

    /// Returns a request that tells what this daemon is and holds.
    fn sync_request(&self) -> SyncRequest {
        let config = self.config_row();
        let cores = self.cores();
        SyncRequest {
            own: cores.own.clone(),
            load: cores.load(self.now()),
            config,
            digests: cores.directory.digests().to_vec(),
            evidence: cores.evidence(),
            document: None,
            members: Vec::new(),
        }
    }

    async fn exchange(&self, member: &Member, request: SyncRequest) -> Option<SyncReply> {
        let answer = self.peers.sync(member.address, encode(&request), EXCHANGE_TIMEOUT).await;
        let reply = match answer {
            Ok(frame) => decode(&frame.head),
            Err(PeerError::Unsent(reason) | PeerError::Cut(reason)) => Err(reason),
        };
        match reply {
            Ok(reply) => Some(reply),
            Err(reason) => {
                let was_up = self.cores().placement.lost(self.now(), &member.vm);
                if was_up {
                    let (vm, reason) = (member.vm.as_str(), reason.as_str());
                    self.events.write(&Event::Peer { vm, state: "lost", reason });
                }
                None
            }
        }
    }

    fn take_members(&self, own: &Member, members: &[Member]) {
        self.offer_member(own);
        members.iter().for_each(|it| self.offer_member(it));
    }

    fn hear_evidence(&self, own: &Member, evidence: &[Evidence]) {
        let mut cores = self.cores();
        for rollout in cores.rollouts.values_mut() {
            evidence.iter().for_each(|it| rollout.hear(&own.vm, own.incarnation, it));
        }
    }

    fn document_newer_than(&self, row: u64) -> Option<Document> {
        let current = self.current()?;
        let ripe = self.now().since(current.since) >= DOCUMENT_AGE;
        (ripe && current.document.row > row).then(|| current.document.clone())
    }
}
