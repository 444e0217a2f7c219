//! Breadth-first exploration of every order of events in a small fleet, with the real core.
//!
//! States that differ only in their timers are merged: each explored state is reachable, but
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
/// Bound on the states of one exploration, so that a change that makes it endless shows.
const MAX_STATES: usize = 100_000;

/// Events left of each kind that would make the exploration endless. A lost message is one that
/// is never delivered, which needs no event of its own.
type Budget = [u8; 4];
const COMMITS: usize = 0;
const REPEATS: usize = 1;
const RESTARTS: usize = 2;
const TICKS: usize = 3;

/// A message on its way.
#[derive(Clone)]
struct Flight {
    hash: u64,
    to: usize,
    from: usize,
    message: Arc<Message>,
}

#[derive(Clone)]
struct World {
    /// Hash of all but the clocks and the depth.
    key: u64,
    depth: usize,
    budget: Budget,
    cores: [Arc<Distribution>; DAEMONS],
    prints: [u64; DAEMONS],
    clocks: [Time; DAEMONS],
    /// Lowest version that each daemon may put in force next.
    owed: [Version; DAEMONS],
    flights: Vec<Flight>,
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
    // Without a log, every pull brings a snapshot, which may be older than what came meanwhile.
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
            prints: [0; DAEMONS],
            clocks: [START; DAEMONS],
            owed: [Version::ZERO; DAEMONS],
            flights: Vec::new(),
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
        while let Some(flight) = self.flights.pop() {
            self.deliver(&flight);
        }
    }

    fn deliver(&mut self, flight: &Flight) {
        let message = (*flight.message).clone();
        self.input(flight.to, Input::Message { from: endpoint(flight.from), message });
    }

    fn commit(&mut self, i: usize) {
        let body = Arc::make_mut(&mut self.platform).commit();
        self.input(i, Input::Committed(body));
    }

    fn input(&mut self, i: usize, input: Input) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.prints[i]);
        let core = Arc::make_mut(&mut self.cores[i]);
        let actions = core.handle(self.clocks[i], &mut rng, input);
        self.prints[i] = core.fingerprint();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let to = (0..DAEMONS).find(|it| endpoint(*it) == to).unwrap();
                    let (hash, message) = (hash_of((to, i, &message)), Arc::new(message));
                    self.flights.push(Flight { hash, to, from: i, message });
                }
                Action::Apply(catalog) => {
                    let (version, owed) = (catalog.version, self.owed[i]);
                    assert!(version >= owed, "daemon {i} went back from {owed} to {version}");
                    self.owed[i] = version;
                    self.platform.check(&catalog);
                }
                // The lease stays as it is: its tests have their own schedules.
                Action::ReadLease | Action::CommitLease { .. } | Action::Report(_) => {}
                request => {
                    let platform = Arc::make_mut(&mut self.platform);
                    let answer = platform.answer("dc0", !self.table_up, &request);
                    self.input(i, answer.unwrap());
                }
            }
        }
    }

    /// Restarts a daemon from nothing, up to its first messages. Without the table, it owes only
    /// what a peer holds.
    fn restart(&mut self, i: usize) {
        if !self.table_up {
            let others = (0..DAEMONS).filter(|it| *it != i);
            let known = others.map(|it| self.cores[it].held()).max().unwrap();
            self.owed[i] = self.owed[i].min(known);
        }
        self.cores[i] = fresh_core(i, self.clocks[i], 100 + i);
        let answer =
            Arc::make_mut(&mut self.platform).answer("", !self.table_up, &Action::ReadHead);
        self.input(i, answer.unwrap());
        let before = self.flights.len();
        while self.flights.len() == before {
            self.tick(i);
        }
    }

    fn tick(&mut self, i: usize) {
        self.clocks[i] = self.clocks[i].max(self.cores[i].wake_at());
        self.input(i, Input::Tick);
    }

    /// Returns the state after one event, which is of the kind `budget` if there is one.
    fn next(&self, budget: Option<usize>, change: impl FnOnce(&mut World)) -> Option<World> {
        let mut next = self.clone();
        if let Some(kind) = budget {
            next.budget[kind] = next.budget[kind].checked_sub(1)?;
        }
        next.depth += 1;
        change(&mut next);
        let mut flights: Vec<_> = next.flights.iter().map(|it| it.hash).collect();
        flights.sort_unstable();
        let head = next.platform.head();
        next.key = hash_of((next.prints, next.owed, flights, head, next.budget));
        Some(next)
    }

    fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        let mut seen = BTreeSet::new();
        for (i, flight) in self.flights.iter().enumerate().filter(|(_, it)| seen.insert(it.hash)) {
            next.extend(self.next(None, |it| {
                it.flights.swap_remove(i);
                it.deliver(flight);
            }));
            next.extend(self.next(Some(REPEATS), |it| it.deliver(flight)));
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

/// Explores all states that can be reached from `start`.
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

/// Guards against any order of crossing, lost and repeated messages and commits by several
/// daemons that takes a daemon back or leaves it a partial version.
#[test]
fn no_order_of_messages_takes_a_daemon_back() {
    explore(World::start(0, [2, 2, 0, 0]));
    explore(World::start(0, [2, 0, 0, 1]));
}

/// Guards against a restart that takes a daemon back behind lagging peers.
#[test]
fn no_order_of_events_around_a_restart_takes_a_daemon_back() {
    explore(World::start(0, [2, 0, 1, 0]));
}

/// Guards against a restart in an outage of the table that goes below what a queried peer holds.
#[test]
fn no_restart_in_an_outage_goes_below_the_peers() {
    let mut world = World::start(1, [0, 1, 1, 0]);
    world.commit(0);
    world.table_up = false;
    explore(world);
}
