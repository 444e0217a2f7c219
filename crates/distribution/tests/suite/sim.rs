//! Deterministic simulation of daemons, a network with faults and a platform, on one clock.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallottack_config::{Catalog, Version};
use shallottack_distribution::{
    Action, Distribution, Input, LeaseOutcome, Message, Peer, Settings,
};
use shallottack_kernel::{EndpointId, Time};

use crate::platform::Platform;

/// Injected faults of the network and the platform; `f64` fields are probabilities.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplicates: f64,
    /// Probability that the response to a lease commit that took effect is lost.
    pub lost_commits: f64,
    pub table_down: bool,
    /// Data centres partitioned from the others.
    pub partitioned_centres: BTreeSet<String>,
    /// Data centres that cannot reach the platform.
    pub platform_unreachable: BTreeSet<String>,
    /// Drops every `Push`.
    pub drop_pushes: bool,
}

pub struct Node {
    pub peer: Peer,
    pub core: Option<Distribution>,
    /// Highest version ever in force on the endpoint, across restarts.
    pub highest: Version,
    pub last: Option<Version>,
    /// Whether the version floor since the last restart was read from the head row, in which case
    /// returning to a version below `highest` is a fault.
    floor_from_head: bool,
    incarnation: u32,
    paused_until: Time,
    next_wake: Time,
    /// Times at which snapshots were sent.
    pub transfers: Vec<Time>,
    /// Size of all messages sent, without envelopes, in bytes.
    pub sent_bytes: usize,
}

enum Event {
    Wake,
    Deliver(EndpointId, Message),
    Answer(u32, Input),
}

/// A simulated fleet.
pub struct Sim {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    pub faults: Faults,
    /// Time and node of every read of the head row.
    pub head_reads: Vec<(Time, usize)>,
    pub lease_reads: usize,
    pub lease_commits: usize,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    order: u64,
    index: BTreeMap<EndpointId, usize>,
}

pub const SECOND: Duration = Duration::from_secs(1);

impl Sim {
    /// Creates a fleet with `centres[i]` daemons in data centre `dc<i>`, all started at once.
    pub fn new(seed: u64, centres: &[usize], settings: Settings) -> Sim {
        let mut nodes = Vec::new();
        for (centre, count) in centres.iter().enumerate() {
            for i in 0..*count {
                let endpoint = format!("ep-{centre}-{i}").parse().unwrap();
                let peer = Peer { endpoint, data_centre: format!("dc{centre}").parse().unwrap() };
                nodes.push(Node {
                    peer,
                    core: None,
                    highest: Version::ZERO,
                    last: None,
                    floor_from_head: false,
                    incarnation: 0,
                    paused_until: Time(0),
                    next_wake: Time(u64::MAX),
                    transfers: Vec::new(),
                    sent_bytes: 0,
                });
            }
        }
        let index = nodes.iter().enumerate().map(|(i, it)| (it.peer.endpoint.clone(), i)).collect();
        let mut sim = Sim {
            now: Time::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            nodes,
            platform: Platform::default(),
            faults: Faults::default(),
            head_reads: Vec::new(),
            lease_reads: 0,
            lease_commits: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            order: 0,
            index,
        };
        (0..sim.nodes.len()).for_each(|i| sim.restart(i));
        sim
    }

    /// Creates a fleet in which `versions` versions are accepted and all daemons have the last in
    /// force.
    pub fn settled(seed: u64, centres: &[usize], settings: Settings, versions: usize) -> Sim {
        let mut sim = Sim::new(seed, centres, settings);
        (0..versions).for_each(|_| drop(sim.platform.commit()));
        sim.converge(30 * SECOND);
        // Long enough for every data centre to have a source.
        sim.run(10 * SECOND);
        sim
    }

    pub fn stop(&mut self, i: usize) {
        self.nodes[i].core = None;
        self.nodes[i].incarnation += 1;
    }

    /// Restarts the daemon without any state.
    pub fn restart(&mut self, i: usize) {
        self.stop(i);
        let peers = self.nodes.iter().map(|it| it.peer.clone()).collect();
        let me = self.nodes[i].peer.clone();
        let core = Distribution::new(self.settings.clone(), me, self.now, &mut self.rng);
        self.nodes[i].core = Some(core);
        self.nodes[i].last = None;
        self.nodes[i].floor_from_head = false;
        self.nodes[i].next_wake = Time(u64::MAX);
        self.input(i, Input::Peers(peers));
    }

    pub fn pause(&mut self, i: usize, length: Duration) {
        self.nodes[i].paused_until = self.now + length;
    }

    /// Accepts a change that node `i` committed, or with `None` one that no daemon knows of yet.
    pub fn commit(&mut self, i: Option<usize>) -> Version {
        let body = self.platform.commit();
        if let Some(i) = i {
            self.input(i, Input::Committed(body));
        }
        self.platform.head()
    }

    pub fn core(&self, i: usize) -> &Distribution {
        self.nodes[i].core.as_ref().unwrap()
    }

    pub fn in_force(&self, i: usize) -> Option<Version> {
        self.nodes[i].core.as_ref().and_then(Distribution::in_force)
    }

    pub fn all_at(&self, version: Version) -> bool {
        let mut live = self.nodes.iter().filter_map(|it| it.core.as_ref());
        live.all(|it| it.in_force() == Some(version))
    }

    /// Returns the nodes that currently act as sources.
    pub fn sources(&self) -> Vec<usize> {
        let source =
            |i: &usize| self.nodes[*i].core.as_ref().is_some_and(|it| it.is_source(self.now));
        (0..self.nodes.len()).filter(source).collect()
    }

    /// Runs until all running daemons have the head in force and returns how long that took.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than `limit`.
    pub fn converge(&mut self, limit: Duration) -> Duration {
        let head = self.platform.head();
        self.run_until(limit, |sim| sim.all_at(head)).unwrap_or_else(|| {
            let behind = self.nodes.iter().filter(|it| it.last != Some(head)).count();
            panic!("{behind} daemons are not at {head} after {limit:?}")
        })
    }

    pub fn run(&mut self, length: Duration) {
        self.run_until(length, |_| false);
    }

    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Sim) -> bool) -> Option<Duration> {
        let start = self.now;
        let end = start + limit;
        let mut check_at = start;
        loop {
            if self.now >= check_at {
                if done(self) {
                    return Some(self.now - start);
                }
                check_at = self.now + Duration::from_millis(5);
            }
            match self.queue.peek() {
                Some(Reverse((at, ..))) if *at <= end => self.step(),
                _ => {
                    self.now = end;
                    return done(self).then_some(limit);
                }
            }
        }
    }

    fn step(&mut self) {
        let Some(Reverse((at, id, i))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        let paused_until = self.nodes[i].paused_until;
        if paused_until > self.now {
            self.queue.push(Reverse((paused_until, id, i)));
            return;
        }
        let event = self.events.remove(&id).unwrap();
        let Some(wake_at) = self.nodes[i].core.as_ref().map(Distribution::wake_at) else { return };
        match event {
            Event::Wake => {
                self.nodes[i].next_wake = Time(u64::MAX);
                if wake_at <= self.now { self.input(i, Input::Tick) } else { self.schedule_wake(i) }
            }
            Event::Deliver(from, message) => self.input(i, Input::Message { from, message }),
            Event::Answer(incarnation, input) if incarnation == self.nodes[i].incarnation => {
                let read = matches!(input, Input::HeadRead(Ok(_)));
                self.nodes[i].floor_from_head |= read && self.core(i).floor().is_none();
                self.input(i, input);
            }
            Event::Answer(..) => {}
        }
    }

    fn push(&mut self, at: Time, i: usize, event: Event) {
        self.order += 1;
        let id = self.order;
        self.events.insert(id, event);
        self.queue.push(Reverse((at, id, i)));
    }

    fn schedule_wake(&mut self, i: usize) {
        let at = self.core(i).wake_at();
        if at < self.nodes[i].next_wake {
            self.nodes[i].next_wake = at;
            self.push(at.max(self.now), i, Event::Wake);
        }
    }

    pub fn input(&mut self, i: usize, input: Input) {
        let now = self.now;
        let core = self.nodes[i].core.as_mut().unwrap();
        let actions = core.handle(now, &mut self.rng, input);
        actions.iter().for_each(|action| self.act(i, action));
        self.schedule_wake(i);
    }

    fn act(&mut self, i: usize, action: &Action) {
        match action {
            Action::Send { to, message } => return self.send(i, to, message),
            Action::Apply(catalog) => return self.applied(i, catalog),
            Action::ReadHead => self.head_reads.push((self.now, i)),
            Action::ReadLease => self.lease_reads += 1,
            Action::CommitLease { .. } => self.lease_commits += 1,
            _ => {}
        }
        let centre = self.nodes[i].peer.data_centre.as_str();
        let down = self.faults.table_down || self.faults.platform_unreachable.contains(centre);
        let Some(mut input) = self.platform.answer(centre, down, action) else { return };
        if let Input::LeaseCommitted { outcome, .. } = &mut input
            && self.rng.random_bool(self.faults.lost_commits)
        {
            *outcome = LeaseOutcome::Unconfirmed;
        }
        let at = self.now + Duration::from_micros(self.rng.random_range(1_000..20_000));
        self.push(at, i, Event::Answer(self.nodes[i].incarnation, input));
    }

    /// Makes node `i` assume that it acquired the lease although the row names another holder.
    pub fn force_source(&mut self, i: usize) {
        let now = self.now;
        let core = self.nodes[i].core.as_mut().unwrap();
        let actions = core.handle(now, &mut self.rng, Input::LeaseRead(Ok(None)));
        let Some(Action::CommitLease { requested, .. }) = actions.first() else { return };
        let (requested, outcome) = (*requested, LeaseOutcome::Committed);
        self.input(i, Input::LeaseCommitted { requested, outcome });
    }

    fn send(&mut self, from: usize, to: &EndpointId, message: &Message) {
        let i = self.index[to];
        if let Message::Snapshot { .. } = message {
            self.nodes[from].transfers.push(self.now);
        }
        let bytes = postcard::to_stdvec(message).unwrap();
        self.nodes[from].sent_bytes += bytes.len();
        let [ours, theirs] = [from, i].map(|it| self.nodes[it].peer.data_centre.as_str());
        let cut = ours != theirs
            && [ours, theirs].iter().any(|it| self.faults.partitioned_centres.contains(*it));
        let dropped = self.faults.drop_pushes && matches!(message, Message::Push { .. });
        if cut || dropped || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicates));
        for _ in 0..copies {
            let message = postcard::from_bytes(&bytes).unwrap();
            let at = self.now + Duration::from_micros(self.rng.random_range(200..20_000));
            let from = self.nodes[from].peer.endpoint.clone();
            self.push(at, i, Event::Deliver(from, message));
        }
    }

    /// Asserts, whenever a catalog is put in force, that it is newer than the last one, not below
    /// `highest` if the floor came from the head row, and equal to the accepted catalog.
    fn applied(&mut self, i: usize, catalog: &Catalog) {
        let node = &mut self.nodes[i];
        let version = catalog.version;
        assert!(
            node.last.is_none_or(|last| version > last),
            "{:?} returned to an older version",
            node.peer
        );
        let back = node.floor_from_head && version < node.highest;
        assert!(!back, "{:?} restarted below its version {}", node.peer, node.highest);
        self.platform.check(catalog);
        node.last = Some(version);
        node.highest = node.highest.max(version);
    }
}
