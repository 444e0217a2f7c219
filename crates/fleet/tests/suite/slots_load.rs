//! Load patterns at one backend server, replayed in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, collections::HashMap};

use rand::RngExt;
use shallottack_fleet::{Admission, Slots, SlotsSettings, TaskId, Wake};

use crate::fixture::{arrival, at, rng};

/// Mean run time of every route in milliseconds.
const RUN_MS: f64 = 60.0;
/// Time to the goal and to the deadline in milliseconds.
const GOAL_MS: u64 = 200;
const DEADLINE_MS: u64 = 500;
const SLOTS: u32 = 9;

/// How the requests of one priority fared.
#[derive(Debug, Default, Clone, Copy)]
struct Fared {
    asked: u32,
    on_time: u32,
    late: u32,
    held_ms: u64,
}

impl Fared {
    fn share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }
}

/// Plays 10 s of requests at `load` times the capacity, a fifth of them of priority 1 and the rest
/// of priority 2.
fn play(settings: SlotsSettings, seed: u64, load: f64) -> HashMap<u8, Fared> {
    let mut rng = rng(seed);
    let mut slots = Slots::new(settings);
    slots.set_limit(at(0), SLOTS);
    let per_ms = load * f64::from(SLOTS) / RUN_MS;
    let mut fared: HashMap<u8, Fared> = HashMap::new();
    let mut begun: HashMap<TaskId, (u64, u8)> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, TaskId)>> = BinaryHeap::new();
    let mut next = 0;
    for now in 0..11_000 {
        let mut wakes = Vec::new();
        while let Some(&Reverse((end, task))) = ends.peek().filter(|it| it.0.0 <= now) {
            ends.pop();
            let (arrived, priority) = begun[&task];
            let entry = fared.entry(priority).or_default();
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
                begun.insert(task, (now, priority));
                fared.entry(priority).or_default().asked += 1;
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
                    let (arrived, priority) = begun[&task];
                    fared.entry(priority).or_default().held_ms += now - arrived;
                }
            }
        }
    }
    fared
}

/// Guards against steady excess that makes every answer late: the served requests are on time, and
/// as many are served as the slots allow.
#[test]
fn steady_excess_leaves_the_served_requests_on_time() {
    let fared = play(SlotsSettings::default(), 1, 1.4);
    let all = fared.values().fold(Fared::default(), |sum, it| Fared {
        asked: sum.asked + it.asked,
        on_time: sum.on_time + it.on_time,
        late: sum.late + it.late,
        held_ms: sum.held_ms + it.held_ms,
    });
    assert!(all.late * 5 < all.on_time, "{all:?}");
    // 1 / 1.4 of the requests fit.
    assert!(all.share() > 0.6, "{all:?}");
}

/// Guards against routine requests that crowd out urgent ones.
#[test]
fn urgent_requests_are_served_under_excess() {
    for seed in 0..5 {
        let fared = play(SlotsSettings::default(), seed, 2.0);
        assert!(fared[&1].share() > 0.9, "{fared:?}");
        assert!(fared[&1].share() > fared[&2].share(), "{fared:?}");
    }
}

/// Shows that the bound on the wait is what keeps the answers on time: without it most are late.
#[test]
fn unbounded_wait_makes_answers_late() {
    let unbounded = SlotsSettings { wait_share: 1.0, max_held: 1.0, ..SlotsSettings::default() };
    let (bounded, unbounded) = (play(SlotsSettings::default(), 1, 1.4), play(unbounded, 1, 1.4));
    assert!(unbounded[&2].late > bounded[&2].late * 2, "{unbounded:?} {bounded:?}");
}
