//! Load patterns at one backend server, simulated in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, collections::HashMap, sync::Arc};

use rand::RngExt;
use shallottack_fleet::{Admission, Arrival, Slots, SlotsSettings, TaskId, Ticket, Wake};

use crate::fixture::{arrival, at, rng};

/// Mean run time of every route in milliseconds.
const RUN_MS: f64 = 60.0;
/// Time from the arrival to the latency goal in milliseconds.
const GOAL_MS: u64 = 200;
/// Time from the arrival to the deadline in milliseconds.
const DEADLINE_MS: u64 = 500;
const SLOTS: u32 = 9;

/// Results of the requests of one priority.
#[derive(Debug, Default, Clone, Copy)]
struct Results {
    asked: u32,
    on_time: u32,
    late: u32,
    held_ms: u64,
}

impl Results {
    fn share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }
}

/// Simulates 10 s of requests at `load` times the capacity, a fifth of them of priority 1 and the
/// rest of priority 2.
fn simulate(settings: SlotsSettings, seed: u64, load: f64) -> HashMap<u8, Results> {
    let mut rng = rng(seed);
    let mut slots = Slots::new(settings);
    slots.set_limit(at(0), SLOTS);
    let per_ms = load * f64::from(SLOTS) / RUN_MS;
    let mut results: HashMap<u8, Results> = HashMap::new();
    let mut arrivals: HashMap<TaskId, (u64, u8)> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, TaskId)>> = BinaryHeap::new();
    let mut next = 0;
    for now in 0..11_000 {
        let mut wakes = Vec::new();
        while let Some(&Reverse((end, task))) = ends.peek().filter(|it| it.0.0 <= now) {
            ends.pop();
            let (arrived, priority) = arrivals[&task];
            let entry = results.entry(priority).or_default();
            let time = end - arrived;
            entry.on_time += u32::from(time <= GOAL_MS);
            entry.late += u32::from((GOAL_MS + 1..=DEADLINE_MS).contains(&time));
            wakes.extend(slots.finish(at(now), task, true));
        }
        wakes.extend(slots.expire(at(now)));
        if now < 10_000 {
            let count = per_ms as u32 + u32::from(rng.random_bool(per_ms.fract()));
            for _ in 0..count {
                let priority = if rng.random_bool(0.2) { 1 } else { 2 };
                let task = TaskId(next);
                next += 1;
                arrivals.insert(task, (now, priority));
                results.entry(priority).or_default().asked += 1;
                let arrival = arrival(task.0, priority, at(now), GOAL_MS, DEADLINE_MS);
                if slots.arrive(at(now), arrival) == Admission::Run {
                    wakes.push(Wake::Start(task));
                }
            }
        }
        for wake in wakes {
            match wake {
                Wake::Start(task) => {
                    let run = RUN_MS * f64::exp(rng.random_range(-0.8..0.8)) * 0.9;
                    ends.push(Reverse((now + run as u64, task)));
                }
                Wake::Reject(task, _) => {
                    let (arrived, priority) = arrivals[&task];
                    results.entry(priority).or_default().held_ms += now - arrived;
                }
            }
        }
    }
    results
}

/// Guards against a sustained overload that makes every response late: most served requests are on
/// time, and as many are served as the slots allow.
#[test]
fn sustained_overload_leaves_served_requests_on_time() {
    let results = simulate(SlotsSettings::default(), 1, 1.4);
    let all = results.values().fold(Results::default(), |sum, it| Results {
        asked: sum.asked + it.asked,
        on_time: sum.on_time + it.on_time,
        late: sum.late + it.late,
        held_ms: sum.held_ms + it.held_ms,
    });
    assert!(all.late * 5 < all.on_time, "{all:?}");
    // The slots can serve 1 / 1.4 of the requests.
    assert!(all.share() > 0.6, "{all:?}");
}

/// Guards against requests that crowd out more urgent ones.
#[test]
fn urgent_requests_are_served_under_overload() {
    for seed in 0..5 {
        let results = simulate(SlotsSettings::default(), seed, 2.0);
        assert!(results[&1].share() > 0.9, "{results:?}");
        assert!(results[&1].share() > results[&2].share(), "{results:?}");
    }
}

/// Checks that the limit on the wait is what keeps responses on time: without it, far more are
/// late.
#[test]
fn unbounded_wait_makes_responses_late() {
    let unbounded = SlotsSettings { wait_share: 1.0, max_held: 1.0, ..SlotsSettings::default() };
    let (bounded, unbounded) =
        (simulate(SlotsSettings::default(), 1, 1.4), simulate(unbounded, 1, 1.4));
    assert!(unbounded[&2].late > bounded[&2].late * 2, "{unbounded:?} {bounded:?}");
}

/// A route whose requests compete for the slots.
struct Competitor {
    route: &'static str,
    priority: u8,
    per_s: f64,
    run_ms: f64,
    goal_ms: u64,
}

/// Simulates 10 s of the requests of several routes, and returns the share of each that is served
/// within its goal.
fn compete(settings: SlotsSettings, seed: u64, routes: &[Competitor]) -> Vec<f64> {
    let mut rng = rng(seed);
    let mut slots = Slots::new(settings);
    slots.set_limit(at(0), SLOTS);
    let mut arrivals: HashMap<TaskId, (u64, usize)> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, TaskId)>> = BinaryHeap::new();
    let mut results = vec![(0_u32, 0_u32); routes.len()];
    for now in 0..11_000 {
        let mut wakes = Vec::new();
        while let Some(&Reverse((end, task))) = ends.peek().filter(|it| it.0.0 <= now) {
            ends.pop();
            let (arrived, route) = arrivals[&task];
            results[route].1 += u32::from(end - arrived <= routes[route].goal_ms);
            wakes.extend(slots.finish(at(now), task, true));
        }
        wakes.extend(slots.expire(at(now)));
        for (index, it) in routes.iter().enumerate() {
            // The averages of the run times settle within the first second.
            if now >= 10_000 || !rng.random_bool(it.per_s / 1_000.0) {
                continue;
            }
            let task = TaskId(arrivals.len() as u64);
            arrivals.insert(task, (now, index));
            results[index].0 += 1;
            let arrival = Arrival {
                route: Arc::from(it.route),
                ticket: Ticket(rng.random()),
                ..arrival(task.0, it.priority, at(now), it.goal_ms, it.goal_ms * 3)
            };
            if slots.arrive(at(now), arrival) == Admission::Run {
                wakes.push(Wake::Start(task));
            }
        }
        for wake in wakes {
            if let Wake::Start(task) = wake {
                let run = routes[arrivals[&task].1].run_ms * f64::exp(rng.random_range(-0.5..0.5));
                ends.push(Reverse((now + run as u64, task)));
            }
        }
    }
    results.iter().map(|(asked, served)| f64::from(*served) / f64::from(*asked)).collect()
}

/// One of three backend servers is left. Calls of running requests ask for one and a half times its
/// slots, callers of the same priority for half of them, and a less urgent route for two fifths.
const ONE_SERVER_LEFT: [Competitor; 3] = [
    Competitor { route: "calls", priority: 1, per_s: 240.0, run_ms: 55.0, goal_ms: 200 },
    Competitor { route: "callers", priority: 1, per_s: 47.0, run_ms: 88.0, goal_ms: 300 },
    Competitor { route: "downloads", priority: 2, per_s: 20.0, run_ms: 180.0, goal_ms: 600 },
];

/// Guards against a route that crowds out another one of its priority because it asks for more and
/// its goal is earlier.
#[test]
fn route_that_asks_for_little_has_its_turn() {
    for seed in 0..5 {
        let turns = compete(SlotsSettings::default(), seed, &ONE_SERVER_LEFT);
        let off = SlotsSettings { equal_turns: false, ..SlotsSettings::default() };
        let none = compete(off, seed, &ONE_SERVER_LEFT);
        assert!(turns[1] > 0.8, "seed {seed}: {turns:?}");
        assert!(none[1] < 0.6, "seed {seed}: {none:?}");
    }
}

/// Guards against a less urgent route that gets nothing for as long as a shortage lasts.
#[test]
fn least_urgent_route_is_not_starved() {
    for seed in 0..5 {
        let floor = compete(SlotsSettings::default(), seed, &ONE_SERVER_LEFT);
        let off = SlotsSettings { min_share: 0.0, ..SlotsSettings::default() };
        let none = compete(off, seed, &ONE_SERVER_LEFT);
        // The minimum share is a fifth of what the route asks for.
        assert!(floor[2] > 0.15, "seed {seed}: {floor:?}");
        assert!(none[2] < 0.15, "seed {seed}: {none:?}");
    }
}
