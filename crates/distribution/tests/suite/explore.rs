//! Model checking: breadth-first search over all orders of events in a small fleet that runs the
//! real state machine.
//!
//! States that differ only in their timers are merged. Every explored state is reachable, but
//! orders that need two different timer states of the same data may be missed.

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use pathfinding::directed::bfs::bfs_reach;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shallottack_config::Version;
use shallottack_distribution::{
    Action, Distribution, Input, LeaseOutcome, Message, Peer, Settings,
};
use shallottack_kernel::{EndpointId, Time};

use crate::platform::Platform;

const DAEMONS: usize = 3;
const VERSIONS: u64 = 2;
const START: Time = Time::from_millis(1_000);
/// Maximum number of states of one exploration, so that a change that makes it endless fails.
const MAX_STATES: usize = 100_000;

/// Remaining events of each kind that must be bounded for the exploration to end. Message loss
/// needs no event: a lost message is one that is never delivered.
type Budget = [u8; 4];
const COMMITS: usize = 0;
const DUPLICATES: usize = 1;
const RESTARTS: usize = 2;
const TICKS: usize = 3;

/// A message in flight.
#[derive(Clone)]
struct InFlight {
    hash: u64,
    to: usize,
    from: usize,
    message: Arc<Message>,
}

#[derive(Clone)]
struct World {
    /// Hash of the state without clocks and depth, by which states are compared.
    key: u64,
    depth: usize,
    budget: Budget,
    cores: [Arc<Distribution>; DAEMONS],
    fingerprints: [u64; DAEMONS],
    clocks: [Time; DAEMONS],
    /// Lowest version that each daemon may put in force next.
    lowest_allowed: [Version; DAEMONS],
    in_flight: Vec<InFlight>,
    table_up: bool,
    platform: Arc<Platform>,
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.key == other.key
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn endpoint(i: usize) -> EndpointId {
    format!("ep-{i}").parse().unwrap()
}

fn peer(i: usize) -> Peer {
    Peer { endpoint: endpoint(i), data_centre: "dc0".parse().unwrap() }
}

fn fresh_core(i: usize, now: Time, seed: usize) -> Arc<Distribution> {
    // Without a delta log, every pull is answered with a snapshot, which may be older than deltas
    // that arrived in the meantime.
    let never = Duration::from_secs(1_000_000);
    let settings = Settings { log_len: 0, report_interval: never, ..Settings::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(seed as u64);
    let mut core = Distribution::new(settings, peer(i), now, &mut rng);
    core.handle(now, &mut rng, Input::Peers((0..DAEMONS).map(peer).collect()));
    Arc::new(core)
}

impl World {
    /// Returns a fleet with the first `settled` versions in force and daemon 0 as its source.
    fn start(settled: u64, budget: Budget) -> World {
        let mut world = World {
            key: 0,
            depth: 0,
            budget,
            cores: std::array::from_fn(|i| fresh_core(i, START, i)),
            fingerprints: [0; DAEMONS],
            clocks: [START; DAEMONS],
            lowest_allowed: [Version::ZERO; DAEMONS],
            in_flight: Vec::new(),
            table_up: true,
            platform: Arc::default(),
        };
        (0..DAEMONS).for_each(|i| world.input(i, Input::HeadRead(Ok(None))));
        world.input(0, Input::LeaseRead(Ok(None)));
        let outcome = LeaseOutcome::Committed;
        world.input(0, Input::LeaseCommitted { requested: START, outcome });
        world.drain();
        for _ in 0..settled {
            world.commit(0);
            world.drain();
        }
        world
    }

    fn drain(&mut self) {
        while let Some(sent) = self.in_flight.pop() {
            self.deliver(&sent);
        }
    }

    fn deliver(&mut self, sent: &InFlight) {
        let message = (*sent.message).clone();
        self.input(sent.to, Input::Message { from: endpoint(sent.from), message });
    }

    fn commit(&mut self, i: usize) {
        let body = Arc::make_mut(&mut self.platform).commit();
        self.input(i, Input::Committed(body));
    }

    fn input(&mut self, i: usize, input: Input) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.fingerprints[i]);
        let core = Arc::make_mut(&mut self.cores[i]);
        let actions = core.handle(self.clocks[i], &mut rng, input);
        self.fingerprints[i] = core.fingerprint();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let to = (0..DAEMONS).find(|it| endpoint(*it) == to).unwrap();
                    let (hash, message) = (hash_of((to, i, &message)), Arc::new(message));
                    self.in_flight.push(InFlight { hash, to, from: i, message });
                }
                Action::Apply(catalog) => {
                    let (version, lowest_allowed) = (catalog.version, self.lowest_allowed[i]);
                    assert!(
                        version >= lowest_allowed,
                        "daemon {i} must not go below {lowest_allowed}, but applied {version}"
                    );
                    self.lowest_allowed[i] = version;
                    self.platform.check(&catalog);
                }
                // The lease does not change here; it has tests of its own.
                Action::ReadLease | Action::CommitLease { .. } | Action::Report(_) => {}
                request => {
                    let platform = Arc::make_mut(&mut self.platform);
                    let answer = platform.answer("dc0", !self.table_up, &request);
                    self.input(i, answer.unwrap());
                }
            }
        }
    }

    /// Restarts a daemon without any state and runs it up to its first messages. While the table is
    /// down, it may go back as far as the highest version that a peer holds.
    fn restart(&mut self, i: usize) {
        if !self.table_up {
            let others = (0..DAEMONS).filter(|it| *it != i);
            let known = others.map(|it| self.cores[it].held()).max().unwrap();
            self.lowest_allowed[i] = self.lowest_allowed[i].min(known);
        }
        self.cores[i] = fresh_core(i, self.clocks[i], 100 + i);
        let answer =
            Arc::make_mut(&mut self.platform).answer("", !self.table_up, &Action::ReadHead);
        self.input(i, answer.unwrap());
        let before = self.in_flight.len();
        while self.in_flight.len() == before {
            self.tick(i);
        }
    }

    fn tick(&mut self, i: usize) {
        self.clocks[i] = self.clocks[i].max(self.cores[i].wake_at());
        self.input(i, Input::Tick);
    }

    /// Returns the state after one event, or `None` if the budget of its kind is used up. Events of
    /// kind `None` are not bounded.
    fn next(&self, budget: Option<usize>, change: impl FnOnce(&mut World)) -> Option<World> {
        let mut next = self.clone();
        if let Some(kind) = budget {
            next.budget[kind] = next.budget[kind].checked_sub(1)?;
        }
        next.depth += 1;
        change(&mut next);
        let mut in_flight: Vec<_> = next.in_flight.iter().map(|it| it.hash).collect();
        in_flight.sort_unstable();
        let head = next.platform.head();
        next.key = hash_of((next.fingerprints, next.lowest_allowed, in_flight, head, next.budget));
        Some(next)
    }

    fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        let mut seen = BTreeSet::new();
        for (i, sent) in self.in_flight.iter().enumerate().filter(|(_, it)| seen.insert(it.hash)) {
            next.extend(self.next(None, |it| {
                it.in_flight.swap_remove(i);
                it.deliver(sent);
            }));
            next.extend(self.next(Some(DUPLICATES), |it| it.deliver(sent)));
        }
        for i in 0..DAEMONS {
            // Only a daemon that holds the head can commit its successor.
            if self.table_up && self.cores[i].held() == self.platform.head() {
                next.extend(self.next(Some(COMMITS), |it| it.commit(i)));
            }
            next.extend(self.next(Some(RESTARTS), |it| it.restart(i)));
            next.extend(self.next(Some(TICKS), |it| it.tick(i)));
        }
        next
    }
}

/// Explores all states that are reachable from `start`.
fn explore(start: World) {
    let last = Version { epoch: 0, seq: VERSIONS };
    let (mut states, mut depth, mut done) = (0, 0, 0);
    let mut worlds = bfs_reach(start, World::successors);
    for world in worlds.by_ref().take(MAX_STATES) {
        states += 1;
        depth = world.depth;
        done += usize::from(world.cores.iter().all(|it| it.in_force() == Some(last)));
    }
    println!("{states} states, depth {depth}, {done} with the last version everywhere");
    assert!(worlds.next().is_none(), "more than {MAX_STATES} states");
    assert!(states > 5_000 && depth > 10 && done > 0, "the exploration is too small");
}

/// Guards against orders of reordered, lost and duplicated messages and commits by several daemons
/// in which a daemon returns to an older version or applies a partial one.
#[test]
fn versions_stay_monotonic_in_every_message_order() {
    explore(World::start(0, [2, 2, 0, 0]));
    explore(World::start(0, [2, 0, 0, 1]));
}

/// Guards against a daemon that restarts and returns to the older version of a lagging peer.
#[test]
fn versions_stay_monotonic_across_a_restart() {
    explore(World::start(0, [2, 0, 1, 0]));
}

/// Guards against a daemon that restarts during an outage of the table and puts a version in force
/// that is older than that of a queried peer.
#[test]
fn restart_in_an_outage_does_not_go_below_the_peers() {
    let mut world = World::start(1, [0, 1, 1, 0]);
    world.commit(0);
    world.table_up = false;
    explore(world);
}
