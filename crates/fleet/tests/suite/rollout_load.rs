//! Simulation of a rollout over a fleet: placement, counts that spread by exchanges between
//! daemons, and backend servers whose faults depend on time, load or route.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use shallottack_fleet::{
    Choice, Evidence, Load, Member, Outcome, Placement, PlacementRequest, PlacementSettings,
    RetryBudget, RetryBudgetSettings, Rollout, RolloutOrder, RolloutSettings, RolloutState,
    RowVersion, SendHistory, Side, Step, Ticket,
};
use shallottack_kernel::{DataCentre, EndpointId, Time};

use crate::fixture::{at, group, id, member, ms, service};

const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];
/// Backend servers of the old version in a data centre, and as many of the new one; the size of a
/// large deployment.
const SERVERS: usize = 12;
const DAEMONS: usize = 48;
const SLOTS: u32 = 11;
/// Requests a second over all daemons; with `RUN_S`, four of eleven slots are busy.
const RATE: u64 = 850;
/// Mean run time in seconds.
const RUN_S: f64 = 0.23;
/// Time within which the rollout has to be complete, in milliseconds.
const WITHIN: u64 = 15_000;
/// Exchanges that each daemon begins in a second during a rollout.
const EXCHANGES: u64 = 24;
/// Time for a report to be written and read by all daemons, in milliseconds.
const REPORT: u64 = 500;
/// Requests that a bad version may get in addition to its share.
const SLACK: f64 = 50.0;
/// Share of all requests that a bad version may get.
const SHARE: f64 = 0.1;

/// Fault of the new version, which affects half of the requests concerned.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// Fails on all routes.
    Always,
    /// Fails from this time on, in milliseconds.
    Late(u64),
    /// Fails on the route `pay` only.
    OneRoute,
    /// Fails while the backend server runs at least this many requests.
    Load(u32),
    /// Takes eight times as long.
    Slow,
}

struct Daemon {
    placement: Placement,
    rollout: Rollout,
}

struct Backend {
    vm: EndpointId,
    new: bool,
    running: u32,
    /// Factor on the run time.
    speed: f64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    End { daemon: usize, backend: usize, number: usize },
    Exchange(usize),
    Report(bool),
}

struct Sent {
    request: PlacementRequest,
    history: SendHistory,
    failed: bool,
    run_ms: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    fault: Fault,
    daemons: Vec<Daemon>,
    backends: Vec<Backend>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sent: Vec<Sent>,
    number: u64,
    reported: bool,
    all: u32,
    exposed: u32,
}

/// Result of a rollout.
#[derive(Debug)]
struct Results {
    state: RolloutState,
    exposed: u32,
    allowed: f64,
}

impl Simulation {
    fn new(seed: u64, fault: Fault) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut members = Vec::new();
        let mut backends = Vec::new();
        for (number, new) in (0..DATA_CENTRES.len() * SERVERS * 2).map(|it| (it, it % 2 == 1)) {
            let name = format!("vm-{}{number}", if new { "new-" } else { "" });
            let mut member = member(&name, DATA_CENTRES[number / 2 % DATA_CENTRES.len()], 1);
            let server = member.server.as_mut().unwrap();
            server.group = group(if new { "v2" } else { "v1" });
            server.slots = SLOTS;
            let speed = *[0.6, 1.0, 1.4].choose(&mut rng).unwrap();
            backends.push(Backend { vm: member.vm.clone(), new, running: 0, speed });
            members.push(member);
        }
        let daemons = (0..DAEMONS).map(|it| Daemon::new(it, &members)).collect();
        Simulation {
            rng,
            fault,
            daemons,
            backends,
            events: BinaryHeap::new(),
            sent: Vec::new(),
            number: 0,
            reported: false,
            all: 0,
            exposed: 0,
        }
    }

    fn push(&mut self, time: Time, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, event)));
    }

    fn run_to_end(mut self) -> Results {
        self.push(at(0), Event::Arrival);
        for daemon in 0..DAEMONS {
            self.push(at(daemon as u64), Event::Exchange(daemon));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= at(WITHIN) {
                break;
            }
            match event {
                Event::Arrival => {
                    self.arrive(now);
                    let gap = -(1.0 - self.rng.random::<f64>()).ln() * 1e6 / RATE as f64;
                    self.push(Time(now.0 + gap as u64), Event::Arrival);
                }
                Event::End { daemon, backend, number } => self.end(now, daemon, backend, number),
                Event::Exchange(daemon) => {
                    self.exchange(daemon);
                    self.push(now + ms(1_000 / EXCHANGES), Event::Exchange(daemon));
                }
                Event::Report(bad) => {
                    let state =
                        if bad { RolloutState::RolledBack } else { RolloutState::Completed };
                    self.daemons.iter_mut().for_each(|it| it.rollout.set_state(state));
                }
            }
            self.schedule_report(now);
        }
        let allowed = f64::from(self.all) * SHARE + SLACK;
        Results { state: self.daemons[0].rollout.state(), exposed: self.exposed, allowed }
    }

    /// Schedules the report of the first daemon that has one.
    fn schedule_report(&mut self, now: Time) {
        if self.reported {
            return;
        }
        let steps = self.daemons.iter().map(|it| it.rollout.step(now));
        let report = steps.into_iter().find_map(|it| match it {
            Step::Report(state) => Some(state == RolloutState::RolledBack),
            Step::Wait => None,
        });
        if let Some(bad) = report {
            self.reported = true;
            self.push(now + ms(REPORT), Event::Report(bad));
        }
    }

    fn arrive(&mut self, now: Time) {
        self.all += 1;
        let daemon = self.rng.random_range(0..DAEMONS);
        let route: Arc<str> = Arc::from(if self.rng.random_bool(0.7) { "view" } else { "pay" });
        let versions = self.daemons[daemon].rollout.draw_versions(now, &mut self.rng);
        let request = PlacementRequest {
            service: service("stock"),
            versions,
            route,
            ticket: Ticket(self.rng.random()),
            goal: now + ms(600),
            deadline: now + ms(1_500),
            idempotent: true,
            attempts: 2,
            returned: false,
            trial: None,
        };
        self.daemons[daemon].placement.budget_mut().record_request(now, &request.service);
        self.send(now, daemon, request, SendHistory::default());
    }

    fn send(
        &mut self,
        now: Time,
        daemon: usize,
        request: PlacementRequest,
        mut history: SendHistory,
    ) {
        loop {
            let placement = &mut self.daemons[daemon].placement;
            let choice = placement.choose(now, &mut self.rng, &request, &mut history);
            let Choice::Send { vm, .. } = choice else { return };
            let backend = self.backends.iter().position(|it| it.vm == vm).unwrap();
            if self.backends[backend].running < SLOTS {
                return self.run(now, daemon, backend, request, history);
            }
            let outcome = Outcome::Refused {
                kind: shallottack_kernel::ErrorKind::Overloaded,
                retry_after: ms(50),
            };
            placement.record_load(now, &vm, load(SLOTS));
            placement.finish_send(now, &mut self.rng, &request, &mut history, &vm, outcome);
            if history.sent >= PlacementSettings::default().max_sends {
                return;
            }
        }
    }

    fn run(
        &mut self,
        now: Time,
        daemon: usize,
        backend: usize,
        request: PlacementRequest,
        history: SendHistory,
    ) {
        let it = &mut self.backends[backend];
        it.running += 1;
        let spread = (self.rng.random::<f64>() + self.rng.random::<f64>() - 1.0) * 1.6;
        let mut seconds = RUN_S * spread.exp() * it.speed;
        let mut failed = self.rng.random_bool(0.004);
        if it.new {
            self.exposed += 1;
            let half = self.rng.random_bool(0.5);
            match self.fault {
                Fault::None => {}
                Fault::Always => failed |= half,
                Fault::Late(from) => failed |= half && now >= at(from),
                Fault::OneRoute => failed |= half && &*request.route == "pay",
                Fault::Load(from) => failed |= half && it.running >= from,
                Fault::Slow if half => seconds *= 8.0,
                Fault::Slow => {}
            }
        }
        let run_ms = (seconds * 1_000.0) as u64;
        let number = self.sent.len();
        self.sent.push(Sent { request, history, failed, run_ms });
        self.push(now + ms(run_ms), Event::End { daemon, backend, number });
    }

    fn end(&mut self, now: Time, daemon: usize, backend: usize, number: usize) {
        let it = &mut self.backends[backend];
        it.running -= 1;
        let sent = &mut self.sent[number];
        let side = if it.new { Side::New } else { Side::Old };
        let (route, run) = (&sent.request.route, ms(sent.run_ms));
        let daemon = &mut self.daemons[daemon];
        daemon.rollout.record_answer(route, side, sent.failed, run, false);
        daemon.placement.record_load(now, &it.vm, load(it.running));
        let status = if sent.failed { 500 } else { 200 };
        let outcome = Outcome::Answered { status, run, bytes: 1_000 };
        let (request, history) = (&sent.request, &mut sent.history);
        // The simulation does not retry failed requests.
        daemon.placement.finish_send(now, &mut self.rng, request, history, &it.vm, outcome);
    }

    /// Exchanges counts with a random daemon, as `sync.rs` in the sidecar crate does.
    fn exchange(&mut self, me: usize) {
        let other = self.rng.random_range(0..DAEMONS);
        if other == me {
            return;
        }
        let most = if me % DATA_CENTRES.len() == other % DATA_CENTRES.len() { 32 } else { 6 };
        for (from, to) in [(me, other), (other, me)] {
            let sender = &self.daemons[from].rollout;
            let own = (id(&format!("daemon-{from}")), 1, sender.evidence().clone());
            let others =
                sender.recent_evidence(most).map(|(vm, start, it)| (vm.clone(), start, it.clone()));
            let exchanged: Vec<(EndpointId, u64, Evidence)> =
                [own].into_iter().chain(others).collect();
            let me = id(&format!("daemon-{to}"));
            for (vm, start, evidence) in exchanged.iter().filter(|it| it.0 != me) {
                self.daemons[to].rollout.merge_evidence(vm, *start, evidence);
            }
        }
    }
}

impl Daemon {
    fn new(number: usize, members: &[Member]) -> Daemon {
        let here = DataCentre::new(DATA_CENTRES[number % DATA_CENTRES.len()]).unwrap();
        let budget = RetryBudget::new(
            RetryBudgetSettings { ratio: 0.2, extra: 60.0, window: ms(10_000), usable_share: 0.6 },
            at(0),
        );
        let me = id(&format!("daemon-{number}"));
        let mut placement = Placement::new(PlacementSettings::default(), me, here, budget);
        placement.budget_mut().set_daemons(at(0), DAEMONS);
        for member in members {
            placement.set_member(at(0), member);
            placement.record_load(at(0), &member.vm, load(0));
        }
        let order = RolloutOrder {
            row_version: RowVersion::new(0, 3),
            service: service("stock"),
            to: group("v2"),
            within: ms(WITHIN),
        };
        Daemon { placement, rollout: Rollout::new(RolloutSettings::default(), at(0), order) }
    }
}

fn load(running: u32) -> Load {
    Load { running, queued: 0, limit: SLOTS, ..Load::default() }
}

/// Checks that a bad version is rolled back before it gets too many requests.
fn assert_limited_exposure(fault: Fault) {
    for seed in 0..4 {
        let results = Simulation::new(seed, fault).run_to_end();
        assert!(
            f64::from(results.exposed) <= results.allowed,
            "{fault:?}, seed {seed}: {results:?}"
        );
        assert_eq!(results.state, RolloutState::RolledBack, "{fault:?}, seed {seed}: {results:?}");
    }
}

/// Guards against a bad version that gets more than a tenth of the requests before it is rolled
/// back.
#[test]
fn version_that_fails_from_the_start_stays_within_its_share() {
    assert_limited_exposure(Fault::Always);
    assert_limited_exposure(Fault::OneRoute);
    assert_limited_exposure(Fault::Slow);
}

/// Guards against the same for a version that is good at first.
#[test]
fn version_that_fails_late_stays_within_its_share() {
    for from in [3_000, 6_000, 8_000] {
        assert_limited_exposure(Fault::Late(from));
    }
}

/// Guards against the same for a version that fails at backend servers with half of their slots
/// busy.
#[test]
fn version_that_fails_under_load_stays_within_its_share() {
    assert_limited_exposure(Fault::Load(6));
}

/// Guards against failures that are too few for a fixed threshold: at this load, one response in
/// thirty of the version fails.
#[test]
fn version_that_rarely_fails_stays_within_its_share() {
    assert_limited_exposure(Fault::Load(9));
}

/// Guards against the rollback of a good version because its backend servers differ in speed.
#[test]
fn good_version_on_servers_of_uneven_speed_is_completed() {
    for seed in 0..8 {
        let results = Simulation::new(seed, Fault::None).run_to_end();
        assert_eq!(results.state, RolloutState::Completed, "seed {seed}: {results:?}");
    }
}
