//! Backend servers that reject requests under load, replayed without sockets for a whole fleet.
//!
//! Runs of one service call another one. While the called service rejects half of what it gets,
//! runs fail, are repeated, and make their calls again.

use std::{
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use shallottack_fleet::{
    CallOrigin, FanOut, RepeatCause, RetryBudget, RetryBudgetSettings, StartedRun, TaskId,
};
use shallottack_kernel::ServiceName;

use crate::fixture::{at, ms, rng, service};

const DESKS: usize = 14;
const DAEMONS: usize = 24;
const WINDOW: u64 = 10_000;
const LENGTH: u64 = 40_000;
const RATIO: f64 = 0.2;
const EXTRA: f64 = 60.0;
/// Time in which backend servers of `stock` reject requests.
const TROUBLE: std::ops::Range<u64> = 13_000..21_000;
/// Run times in milliseconds.
const BROWSE_RUN: u64 = 140;
const ORDER_RUN: u64 = 180;
const STOCK_RUN: u64 = 40;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Route {
    /// Runs at a desk. The runs of seven in ten requests make two calls to `stock`.
    Browse,
    /// Runs at a desk, once at most.
    Order,
    /// Runs at `stock`.
    Check,
}

/// What makes the fleet uneven.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Uneven {
    /// Nothing.
    Even,
    /// A quarter of the daemons has most of the callers, and repeats go to a quarter of the desks.
    Load,
    /// All daemons restart one after the other during the trouble.
    Restarts,
    /// A third of the daemons joins during the trouble.
    Joins,
}

struct Daemon {
    budget: RetryBudget,
    fan_out: FanOut,
}

impl Daemon {
    fn new(now: u64) -> Daemon {
        let settings = RetryBudgetSettings {
            ratio: RATIO,
            extra: EXTRA,
            window: ms(WINDOW),
            usable_share: 0.85,
        };
        let mut budget = RetryBudget::new(settings, at(now));
        budget.set_daemons(at(now), DAEMONS);
        Daemon { budget, fan_out: FanOut::default() }
    }

    fn record_request(
        &mut self,
        now: u64,
        service: &ServiceName,
        parent: Option<&str>,
    ) -> CallOrigin {
        self.budget.record_request(at(now), service);
        self.fan_out.record_request(at(now), service, parent)
    }

    fn try_repeat(&mut self, now: u64, service: &ServiceName, cause: RepeatCause) -> bool {
        self.budget.try_repeat(at(now), service, cause).granted
    }

    /// Starts a run, and returns whether it may start.
    fn start(&mut self, now: u64, task: u64, route: Route, repeat: bool, named: bool) -> bool {
        let route = Arc::from(format!("{route:?}"));
        if repeat {
            let calls = self.fan_out.calls(&route);
            if !self.budget.calls_fit(at(now), &calls) {
                return false;
            }
        }
        let run = StartedRun { id: &task.to_string(), route: &route, repeat, named };
        let calls = self.fan_out.start(at(now), TaskId(task), &run);
        self.budget.charge_calls(at(now), &calls);
        true
    }

    fn finish(&mut self, now: u64, task: u64) {
        let more = self.fan_out.finish(at(now), TaskId(task));
        self.budget.charge_calls(at(now), &more);
    }
}

/// A request or call in progress.
#[derive(Debug, Clone)]
struct Job {
    route: Route,
    /// Daemon that received it.
    daemon: usize,
    /// Daemon beside the backend server that runs it.
    server: usize,
    arrivals: u32,
    /// Whether its daemon recognised it as a call.
    named: bool,
    /// The job that made this call.
    parent: Option<u64>,
    /// Whether its runs make calls.
    makes_calls: bool,
    /// Calls in progress, and whether one has failed.
    calls: u32,
    failed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A caller sends a request.
    Request(Route),
    /// The run of a job ends.
    End(u64),
}

/// What a service got at a time.
struct Count {
    time: u64,
    /// Whether it is a request, with `None`, or a repeat with its cause.
    cause: Option<RepeatCause>,
}

struct Replay {
    uneven: Uneven,
    /// Whether calls name the requests that make them.
    named: bool,
    daemons: Vec<Daemon>,
    jobs: BTreeMap<u64, Job>,
    steps: BinaryHeap<std::cmp::Reverse<(u64, u64, Step)>>,
    next: u64,
    counts: BTreeMap<ServiceName, Vec<Count>>,
    served: u32,
    requests: u32,
}

fn target(route: Route) -> ServiceName {
    service(if route == Route::Check { "stock" } else { "desk" })
}

impl Replay {
    fn run(uneven: Uneven, named: bool, seed: u64) -> Replay {
        let mut rng = rng(seed);
        let mut replay = Replay {
            uneven,
            named,
            daemons: (0..DAEMONS).map(|_| Daemon::new(0)).collect(),
            jobs: BTreeMap::new(),
            steps: BinaryHeap::new(),
            next: 0,
            counts: BTreeMap::new(),
            served: 0,
            requests: 0,
        };
        for (route, every) in [(Route::Browse, 4), (Route::Order, 10), (Route::Check, 6)] {
            for time in (0..LENGTH).step_by(every) {
                replay.push(time, Step::Request(route));
            }
        }
        while let Some(std::cmp::Reverse((now, _, step))) = replay.steps.pop() {
            replay.change_daemons(now);
            match step {
                Step::Request(route) => replay.request(now, route, None, &mut rng),
                Step::End(job) => replay.end(now, job, &mut rng),
            }
        }
        replay
    }

    fn push(&mut self, time: u64, step: Step) {
        self.next += 1;
        self.steps.push(std::cmp::Reverse((time, self.next, step)));
    }

    /// Restarts the daemons that are due.
    fn change_daemons(&mut self, now: u64) {
        let due = |number: usize| match self.uneven {
            Uneven::Restarts => Some(TROUBLE.start + 200 * number as u64),
            Uneven::Joins if number.is_multiple_of(3) => Some(TROUBLE.start + 500),
            _ => None,
        };
        for number in 0..DAEMONS {
            if due(number) == Some(now) {
                self.daemons[number] = Daemon::new(now);
            }
        }
    }

    fn count(&mut self, now: u64, route: Route, cause: Option<RepeatCause>) {
        self.counts.entry(target(route)).or_default().push(Count { time: now, cause });
    }

    /// Returns whether the run that made a call is a repeat.
    fn is_nested(&self, job: &Job) -> bool {
        job.parent.is_some_and(|it| self.jobs[&it].arrivals > 1)
    }

    fn request(&mut self, now: u64, route: Route, parent: Option<u64>, rng: &mut ChaCha8Rng) {
        let daemon = match parent {
            Some(parent) => self.jobs[&parent].server,
            None if self.uneven == Uneven::Load && rng.random_bool(0.7) => {
                rng.random_range(0..DAEMONS / 4)
            }
            None => rng.random_range(0..DAEMONS),
        };
        let stated = parent.filter(|_| self.named).map(|it| it.to_string());
        let origin = self.daemons[daemon].record_request(now, &target(route), stated.as_deref());
        let named = origin != CallOrigin::Unknown;
        let makes_calls = rng.random_bool(0.7);
        let (server, arrivals, calls, failed) = (0, 0, 0, false);
        let job =
            Job { route, daemon, server, arrivals, named, parent, makes_calls, calls, failed };
        if !self.is_nested(&job) {
            self.count(now, route, None);
        }
        self.requests += u32::from(parent.is_none());
        self.next += 1;
        let id = self.next;
        self.jobs.insert(id, job);
        self.send(now, id, None, rng);
    }

    /// Returns a daemon that starts the run of a job, or `None` if three of them refuse it.
    fn place(&mut self, now: u64, id: u64, repeat: bool, rng: &mut ChaCha8Rng) -> Option<usize> {
        let Job { route, named, .. } = self.jobs[&id];
        let servers = match route {
            Route::Check => DESKS..DAEMONS,
            _ if self.uneven == Uneven::Load && repeat => 0..DESKS / 4,
            _ => 0..DESKS,
        };
        (0..3)
            .map(|_| rng.random_range(servers.clone()))
            .find(|it| self.daemons[*it].start(now, id, route, repeat, named))
    }

    /// Sends a job to backend servers until one of them runs it.
    fn send(&mut self, now: u64, id: u64, mut cause: Option<RepeatCause>, rng: &mut ChaCha8Rng) {
        loop {
            let job = self.jobs[&id].clone();
            let Some(server) = self.place(now, id, cause.is_some(), rng) else {
                self.conclude(id, false);
                return;
            };
            let nested = self.is_nested(&job).then_some(RepeatCause::Nested);
            if let Some(cause) = cause.or(nested) {
                self.count(now, job.route, Some(cause));
            }
            let job = self.jobs.get_mut(&id).unwrap();
            (job.server, job.arrivals) = (server, job.arrivals + 1);
            let (route, arrivals, daemon) = (job.route, job.arrivals, job.daemon);
            let rejected = route == Route::Check && TROUBLE.contains(&now) && rng.random_bool(0.55);
            if !rejected {
                return self.begin(now, id, rng);
            }
            self.daemons[server].finish(now, id);
            let service = target(route);
            if arrivals >= 2 || !self.daemons[daemon].try_repeat(now, &service, RepeatCause::Shed) {
                self.conclude(id, false);
                return;
            }
            cause = Some(RepeatCause::Shed);
        }
    }

    fn begin(&mut self, now: u64, id: u64, rng: &mut ChaCha8Rng) {
        let job = self.jobs.get_mut(&id).unwrap();
        job.failed = false;
        let run = match job.route {
            Route::Browse => BROWSE_RUN,
            Route::Order => ORDER_RUN,
            Route::Check => STOCK_RUN,
        };
        let calls = job.route == Route::Browse && job.makes_calls;
        job.calls = if calls { 2 } else { 0 };
        self.push(now + run + u64::from(rng.next_u32() % 20), Step::End(id));
        if calls {
            self.request(now, Route::Check, Some(id), rng);
            self.request(now, Route::Check, Some(id), rng);
        }
    }

    /// Ends the run of a job, which fails if one of its calls has failed.
    fn end(&mut self, now: u64, id: u64, rng: &mut ChaCha8Rng) {
        let job = self.jobs[&id].clone();
        self.daemons[job.server].finish(now, id);
        let service = target(job.route);
        let repeated = job.failed
            && job.arrivals < 2
            && self.daemons[job.daemon].try_repeat(now, &service, RepeatCause::Failed);
        if repeated {
            return self.send(now, id, Some(RepeatCause::Failed), rng);
        }
        self.conclude(id, !job.failed);
    }

    fn conclude(&mut self, id: u64, served: bool) {
        let job = self.jobs.remove(&id).unwrap();
        match job.parent {
            Some(parent) => {
                if let Some(parent) = self.jobs.get_mut(&parent) {
                    parent.calls -= 1;
                    parent.failed |= !served;
                }
            }
            None => self.served += u32::from(served),
        }
    }

    /// Returns the window in which the repeats of a service exceed what is allowed by most, or come
    /// closest to it, with the repeats by cause, their total and what is allowed.
    fn worst_window(&self, service: &ServiceName) -> (u64, BTreeMap<&'static str, u32>, f64, f64) {
        let counts = &self.counts[service];
        let windows = (0..LENGTH - WINDOW).step_by(100).map(|start| {
            let within = counts.iter().filter(|it| (start..start + WINDOW).contains(&it.time));
            let (mut requests, mut causes) = (0.0, BTreeMap::new());
            for count in within {
                match count.cause {
                    Some(cause) => *causes.entry(cause.as_str()).or_insert(0) += 1,
                    None => requests += 1.0,
                }
            }
            let repeats = f64::from(causes.values().sum::<u32>());
            (start, causes, repeats, RATIO * requests + EXTRA)
        });
        windows.max_by(|a, b| (a.2 - a.3).total_cmp(&(b.2 - b.3))).unwrap()
    }
}

fn check(uneven: Uneven) {
    for (named, seed) in [false, true].into_iter().flat_map(|it| (1..4).map(move |seed| (it, seed)))
    {
        let replay = Replay::run(uneven, named, seed);
        for name in ["desk", "stock"] {
            let (start, causes, repeats, allowed) = replay.worst_window(&service(name));
            println!(
                "{uneven:?} {named} {seed} {name}: {repeats} of {allowed:.0} from {start} ms, {causes:?}; \
                 served {} of {}",
                replay.served, replay.requests
            );
            assert!(
                repeats <= allowed,
                "{uneven:?}, seed {seed}, {name}: {repeats} repeats of {allowed:.0} from {start} ms, {causes:?}"
            );
        }
    }
}

/// Guards against calls of repeated runs that no budget holds: the called service gets more repeats
/// than the fleet allows.
#[test]
fn calls_of_repeated_runs_exceed_the_retry_budget() {
    check(Uneven::Even);
}

/// Guards against the same where repeats gather at a few daemons.
#[test]
fn uneven_load_exceeds_the_retry_budget() {
    check(Uneven::Load);
}

/// Guards against daemons that spend the budget of the window again after a restart.
#[test]
fn restarted_daemons_exceed_the_retry_budget() {
    check(Uneven::Restarts);
}

/// Guards against daemons that spend a part of the budget that others still use.
#[test]
fn joining_daemons_exceed_the_retry_budget() {
    check(Uneven::Joins);
}
