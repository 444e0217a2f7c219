//! Random heartbeats, leaves and restarts of one backend server, beside another process and late
//! messages.

use proptest::prelude::*;
use shallottack_fleet::{
    Heartbeat, LocalServer, Server, ServerAnswer, ServerState, ServerUpdate, Stay,
};

use crate::fixture::{at, beat, id, local_server};

/// Interval between heartbeats in milliseconds.
const INTERVAL_MS: u64 = 1_500;
/// Heartbeats after which a server that runs is used, whatever was sent before: one, and three
/// intervals.
const BOUND_HEARTBEATS: usize = 4;
/// Time of day at the start of a test, in milliseconds.
const START_MS: i64 = 1_000_000;

#[derive(Debug, Clone)]
enum Step {
    /// The server sends a heartbeat.
    Beat,
    /// The server ends without a word and starts again, under its identifier or another one, with the
    /// time of day off by some milliseconds.
    Restart { renamed: bool, clock: i64 },
    /// The server leaves, and states its start or not.
    Leave { stated: bool },
    /// The server states that it drains.
    Drain,
    /// The last heartbeat of an earlier incarnation arrives late.
    Late { incarnation: usize },
    /// Another process sends a heartbeat under the server's identifier or its own.
    Foreign { own: bool, started: u64, sequence: u64, drains: bool },
    /// Another process sends a leave notice under an identifier of its own.
    ForeignLeave { started: Option<u64> },
    /// The question in progress is answered.
    Answer,
    /// Time passes, in which the question in progress is answered.
    Wait { ms: u64 },
    /// The server answers questions from now on, or does not.
    Mute(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let started = prop_oneof![0..3_000_000_u64, Just(4_102_444_800_000), Just(u64::MAX)];
    prop_oneof![
        4 => Just(Step::Beat),
        2 => (any::<bool>(), -2_500..2_500_i64)
            .prop_map(|(renamed, clock)| Step::Restart { renamed, clock }),
        1 => any::<bool>().prop_map(|stated| Step::Leave { stated }),
        1 => Just(Step::Drain),
        2 => (0..8_usize).prop_map(|incarnation| Step::Late { incarnation }),
        2 => (any::<bool>(), started.clone(), prop_oneof![0..50_u64, Just(u64::MAX)], any::<bool>())
            .prop_map(|(own, started, sequence, drains)| Step::Foreign {
                own, started, sequence, drains
            }),
        1 => proptest::option::of(started).prop_map(|started| Step::ForeignLeave { started }),
        3 => Just(Step::Answer),
        3 => (1..4_000_u64).prop_map(|ms| Step::Wait { ms }),
        1 => any::<bool>().prop_map(Step::Mute),
    ]
}

/// One incarnation of the server.
#[derive(Debug, Clone)]
struct Incarnation {
    server: String,
    started: u64,
    sequence: u64,
    /// Whether its last heartbeat has also arrived late.
    late: bool,
    /// Whether its leave was acknowledged.
    left: bool,
}

struct World {
    local: LocalServer,
    now: u64,
    mute: bool,
    /// Whether the server is being asked which one it is.
    asked: bool,
    /// All incarnations of the server; the last one runs.
    incarnations: Vec<Incarnation>,
}

impl World {
    fn new() -> World {
        let first = Incarnation {
            server: "i-0".to_owned(),
            started: START_MS as u64,
            sequence: 0,
            late: false,
            left: false,
        };
        World {
            local: local_server(),
            now: 0,
            mute: false,
            asked: false,
            incarnations: vec![first],
        }
    }

    fn running(&mut self) -> &mut Incarnation {
        self.incarnations.last_mut().expect("there is always one")
    }

    fn receive(&mut self, heartbeat: &Heartbeat) -> ServerUpdate {
        let update = self.local.heartbeat(at(self.now), heartbeat);
        self.asked |= update == ServerUpdate::Unconfirmed;
        update
    }

    /// Answers the question in progress, if there is one.
    fn answer(&mut self) {
        if !std::mem::take(&mut self.asked) {
            return;
        }
        let server = self.running().server.clone();
        let answer = match self.mute {
            true => ServerAnswer::Silent,
            false => ServerAnswer::Named(id(&server), Stay::Stays),
        };
        self.local.answer(at(self.now), &answer);
    }

    fn send(&mut self, state: ServerState) -> ServerUpdate {
        let running = self.running();
        running.sequence += 1;
        let heartbeat = beat(&running.server, running.started, running.sequence, state);
        self.receive(&heartbeat)
    }

    fn take(&mut self, step: &Step) {
        self.now += 1;
        match step {
            // A server that leaves sends no heartbeats in state ready.
            Step::Beat if !self.running().left => {
                self.send(ServerState::Ready);
            }
            Step::Beat => {}
            Step::Restart { renamed, clock } => self.restart(*renamed, *clock),
            Step::Leave { stated } => {
                let running = self.running().clone();
                let started = stated.then_some(running.started);
                let update = self.local.leave(at(self.now), &id(&running.server), started);
                self.running().left |= update != ServerUpdate::Refused;
            }
            Step::Drain => {
                let update = self.send(ServerState::Draining);
                self.running().left |= update != ServerUpdate::Refused;
            }
            Step::Late { incarnation } => self.deliver_late(*incarnation),
            Step::Foreign { own, started, sequence, drains } => {
                let running = self.running().clone();
                if running.started != *started {
                    let server = if *own { running.server.as_str() } else { "i-foreign" };
                    let state = if *drains { ServerState::Draining } else { ServerState::Ready };
                    self.receive(&beat(server, *started, *sequence, state));
                }
            }
            Step::ForeignLeave { started } => {
                self.local.leave(at(self.now), &id("i-foreign"), *started);
            }
            Step::Wait { ms } => {
                self.answer();
                self.now += ms;
            }
            Step::Answer => self.answer(),
            Step::Mute(mute) => self.mute = *mute,
        }
    }

    fn restart(&mut self, renamed: bool, clock: i64) {
        self.now += 100;
        let started = (START_MS + self.now as i64 + clock) as u64;
        let server = match renamed {
            true => format!("i-{}", self.incarnations.len()),
            false => self.running().server.clone(),
        };
        if self.incarnations.iter().any(|it| it.server == server && it.started == started) {
            return;
        }
        let next = Incarnation { server, started, sequence: 0, late: false, left: false };
        self.incarnations.push(next);
    }

    /// Delivers the last heartbeat of an incarnation once more; a late one comes alone.
    fn deliver_late(&mut self, incarnation: usize) {
        let number = incarnation % self.incarnations.len();
        let Incarnation { server, started, sequence, late, .. } = &mut self.incarnations[number];
        if *sequence > 0 && !std::mem::replace(late, true) {
            let heartbeat = beat(server, *started, *sequence, ServerState::Ready);
            self.receive(&heartbeat);
        }
    }

    /// Returns the server that gets requests.
    fn offered(&self) -> Option<&Server> {
        self.local.server().filter(|_| self.local.is_ready())
    }

    /// Checks that no incarnation gets requests whose leave was acknowledged.
    fn check_leaves(&self) -> Result<(), TestCaseError> {
        let Some(offered) = self.offered() else { return Ok(()) };
        for it in self.incarnations.iter().filter(|it| it.left) {
            let same = it.server == offered.id.as_str() && it.started == offered.started_ms;
            prop_assert!(!same, "{it:?} has left and gets requests");
        }
        Ok(())
    }

    /// Checks that the server that runs is used after some heartbeats, unless it has left.
    fn check_recovery(&mut self) -> Result<(), TestCaseError> {
        if self.running().left {
            return Ok(());
        }
        for _ in 0..BOUND_HEARTBEATS {
            self.now += INTERVAL_MS;
            self.send(ServerState::Ready);
            self.answer();
            self.check_leaves()?;
        }
        let running = self.running().clone();
        let offered = self.offered().map(|it| (it.id.as_str(), it.started_ms));
        prop_assert_eq!(offered, Some((running.server.as_str(), running.started)));
        Ok(())
    }
}

proptest! {
    /// Guards against a server that goes on sending heartbeats and gets no requests, and against one
    /// that gets requests although its leave was acknowledged.
    #[test]
    fn running_server_is_used_and_one_that_left_is_not(
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        let mut world = World::new();
        for step in &steps {
            world.take(step);
            world.check_leaves()?;
        }
        world.check_recovery()?;
    }
}
