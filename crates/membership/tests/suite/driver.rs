//! Deterministic simulation of a network of daemons.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallottack_kernel::{EndpointId, Time};
use shallottack_membership::{
    Action, Actions, Addresses, Announcement, Body, Identity, Input, Member, Membership, Message,
    Settings, State,
};

/// Wall-clock time of the first start, in milliseconds since the Unix epoch.
pub const WALL_CLOCK: u64 = 1_800_000_000_000;

pub const SEC: Duration = Duration::from_secs(1);

/// One daemon and a log of the record changes that it reported.
pub struct Node {
    pub core: Option<Membership>,
    pub identity: Identity,
    pub changes: Vec<(Time, Arc<Member>)>,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    /// Nodes in different partitions can't reach each other.
    pub partition: u32,
    paused: bool,
    inbox: Vec<(EndpointId, Message)>,
    wake: Time,
}

enum Event {
    Wake(usize),
    Deliver { to: usize, from: usize, message: Message },
}

/// A network of daemons that share a simulated clock.
pub struct Net {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub settings: Settings,
    /// Probability that a message is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a message is delivered twice, from 0 to 1.
    pub duplicates: f64,
    /// Maximum delay of a message. Delays vary from 200 µs up, so messages may be reordered.
    pub max_delay: Duration,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    pending: BTreeMap<u64, Event>,
    order: u64,
    ids: BTreeMap<EndpointId, usize>,
}

fn identity(node: usize, data_centre: &str, incarnation: u64) -> Identity {
    let [high, low] = (node as u16).to_be_bytes();
    let address = |port: u16| SocketAddr::from(([10, 0, high, low], port));
    Identity {
        endpoint: format!("order-desk-{node:03}").parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        addresses: Addresses {
            relay: address(7001),
            peers: address(7002),
            operators: address(7003),
        },
        incarnation,
    }
}

pub fn announcement() -> Announcement {
    Announcement {
        service: "order-desk".parse().unwrap(),
        group: "v1".parse().unwrap(),
        slots: 9,
        cold_start: Duration::from_millis(500),
    }
}

impl Net {
    /// Creates a network of daemons that are not started yet.
    pub fn new(seed: u64, data_centres: &[(&str, usize)]) -> Net {
        let names = data_centres.iter().flat_map(|(name, count)| vec![*name; *count]);
        let nodes: Vec<Node> = names
            .enumerate()
            .map(|(at, name)| Node {
                core: None,
                identity: identity(at, name, WALL_CLOCK),
                changes: Vec::new(),
                sent_bytes: 0,
                sent_messages: 0,
                partition: 0,
                paused: false,
                inbox: Vec::new(),
                wake: Time(u64::MAX),
            })
            .collect();
        let ids = nodes.iter().enumerate().map(|(at, it)| (it.identity.endpoint.clone(), at));
        Net {
            now: Time::from_millis(1_000),
            settings: Settings::default(),
            loss: 0.0,
            duplicates: 0.0,
            max_delay: Duration::from_millis(2),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            order: 0,
            ids: ids.collect(),
            nodes,
        }
    }

    /// Creates a network of daemons that all know each other and are `Ready`.
    pub fn ready(seed: u64, data_centres: &[(&str, usize)]) -> Net {
        let mut net = Net::new(seed, data_centres);
        for node in 0..net.nodes.len() {
            net.start(node, WALL_CLOCK);
        }
        // Comparing all views is slow with many members, so it is done only once a second.
        let agreed = (0..120).any(|_| {
            net.run_for(SEC);
            net.all_agree(State::Ready)
        });
        assert!(agreed, "daemons did not agree after the start");
        // Lets the gossip caused by the start end.
        net.run_for(20 * SEC);
        net
    }

    pub fn id(&self, node: usize) -> EndpointId {
        self.nodes[node].identity.endpoint.clone()
    }

    pub fn core(&self, node: usize) -> &Membership {
        self.nodes[node].core.as_ref().unwrap()
    }

    /// Returns the state of `node` in the view of `observer`.
    pub fn state(&self, observer: usize, node: usize) -> Option<State> {
        let member = self.core(observer).member(&self.nodes[node].identity.endpoint);
        member.map(|it| it.state)
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&it| self.nodes[it].core.is_some()).collect()
    }

    /// Starts the process of `node`, whose backend server has not announced itself. The first two
    /// nodes of each data centre are the seeds.
    pub fn start_unannounced(&mut self, node: usize, wall_clock: u64) {
        let mut seeds = Vec::new();
        for at in 0..self.nodes.len() {
            let data_centre = |it: usize| &self.nodes[it].identity.data_centre;
            if at < 2 || data_centre(at) != data_centre(at - 2) {
                seeds.push(self.nodes[at].identity.addresses.peers);
            }
        }
        let now = self.now;
        let state = &mut self.nodes[node];
        state.identity.incarnation = wall_clock;
        state.core = Some(Membership::new(self.settings.clone(), state.identity.clone(), now));
        state.paused = false;
        state.inbox.clear();
        state.changes.clear();
        self.input(node, Input::Seeds { addresses: seeds });
    }

    /// Starts the process of `node`, whose backend server announces itself and responds.
    pub fn start(&mut self, node: usize, wall_clock: u64) {
        self.start_unannounced(node, wall_clock);
        self.input(node, Input::Announce(announcement()));
        self.input(node, Input::BackendResponded);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// Resumes a paused process. Its timers fire before it reads the messages
    /// received during the pause.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        self.input(node, Input::Tick);
        for (from, message) in inbox {
            self.input(node, Input::Message { from, message });
        }
    }

    /// Passes a message to `node` and returns the resulting actions without carrying them out.
    pub fn receive(&mut self, node: usize, from: usize, body: Body, record: Member) -> Actions {
        let message = Message { body, gossip: vec![Arc::new(record)] };
        let input = Input::Message { from: self.id(from), message };
        let core = self.nodes[node].core.as_mut().unwrap();
        core.handle(self.now, &mut self.rng as &mut dyn Rng, input)
    }

    /// Returns the record of `node` as held by `node` itself.
    pub fn record(&self, node: usize) -> Member {
        self.core(node).local_member().unwrap().as_ref().clone()
    }

    pub fn input(&mut self, node: usize, input: Input) {
        let now = self.now;
        let Some(core) = self.nodes[node].core.as_mut() else { return };
        let replying_to = match &input {
            Input::Message { from, .. } => Some(from.clone()),
            _ => None,
        };
        let actions = core.handle(now, &mut self.rng as &mut dyn Rng, input);
        for action in actions {
            self.apply_action(node, action, replying_to.as_ref());
        }
        self.schedule_tick(node);
    }

    /// Schedules the next tick of `node`, unless an earlier one is already scheduled.
    fn schedule_tick(&mut self, node: usize) {
        let wake = self.core(node).wake_at();
        if self.nodes[node].wake > wake || self.nodes[node].wake <= self.now {
            self.nodes[node].wake = wake;
            self.schedule(wake.max(self.now), Event::Wake(node));
        }
    }

    fn apply_action(&mut self, node: usize, action: Action, replying_to: Option<&EndpointId>) {
        match action {
            Action::MemberChanged { member } => self.nodes[node].changes.push((self.now, member)),
            Action::Send { to, message } => {
                let known = self.core(node).peer_address(&to).is_some();
                assert!(known || replying_to == Some(&to), "no address for {to}");
                self.transmit(node, self.ids[&to], &message);
            }
            Action::SendToSeed { address, message } => {
                let to = self.nodes.iter().position(|it| it.identity.addresses.peers == address);
                self.transmit(node, to.unwrap(), &message);
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: &Message) {
        let bytes = postcard::to_stdvec(message).unwrap().len();
        assert!(bytes < 16 * 1024, "a message of {bytes} bytes");
        self.nodes[from].sent_bytes += bytes as u64;
        self.nodes[from].sent_messages += 1;
        if self.nodes[from].partition != self.nodes[to].partition || self.rng.random_bool(self.loss)
        {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.duplicates));
        for _ in 0..copies {
            let micros = self.rng.random_range(200..=self.max_delay.as_micros() as u64);
            let at = self.now + Duration::from_micros(micros);
            self.schedule(at, Event::Deliver { to, from, message: message.clone() });
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order)));
        self.pending.insert(self.order, event);
    }

    /// Advances the clock by `time` and processes all events until then.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(&Reverse((at, order))) = self.events.peek()
            && at <= end
        {
            self.events.pop();
            self.now = at;
            match self.pending.remove(&order).unwrap() {
                Event::Wake(node) => self.wake(node),
                Event::Deliver { to, from, message } => self.deliver(to, from, message),
            }
        }
        self.now = end;
    }

    fn wake(&mut self, node: usize) {
        if self.nodes[node].paused || self.nodes[node].core.is_none() {
            self.nodes[node].wake = Time(u64::MAX);
        } else if self.core(node).wake_at() <= self.now {
            self.input(node, Input::Tick);
            assert!(self.core(node).wake_at() > self.now, "the tick left a timer in the past");
        } else {
            self.schedule_tick(node);
        }
    }

    fn deliver(&mut self, to: usize, from: usize, message: Message) {
        let from = self.id(from);
        if self.nodes[to].paused {
            self.nodes[to].inbox.push((from, message));
        } else {
            self.input(to, Input::Message { from, message });
        }
    }

    /// Runs until `done` returns true and returns the elapsed time, or `None` if `limit` is reached
    /// first.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Net) -> bool) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run_for(Duration::from_millis(50));
        }
        Some(self.now.since(start))
    }

    /// Returns whether every running daemon sees every running daemon in `state`.
    pub fn all_agree(&self, state: State) -> bool {
        let running = self.running();
        running.iter().all(|&a| running.iter().all(|&b| self.state(a, b) == Some(state)))
    }

    /// Returns whether every running daemon except `node` sees `node` in `state`.
    pub fn all_see(&self, node: usize, state: State) -> bool {
        self.running().iter().all(|&it| it == node || self.state(it, node) == Some(state))
    }

    /// Returns the number of running daemons that saw `node` in `state` since `start`.
    pub fn observers(&self, node: usize, state: State, start: Time) -> usize {
        let id = &self.nodes[node].identity.endpoint;
        let saw = |it: &&Node| {
            it.changes
                .iter()
                .any(|(at, member)| *at >= start && member.endpoint == *id && member.state == state)
        };
        self.nodes.iter().filter(|it| it.core.is_some()).filter(saw).count()
    }
}
