//! Callers that retry after a rejection, and their results under load.

use rand::RngExt;
use shallottack_fleet::{
    Admission, Arrival, RejectedCallers, RejectedCallersSettings, RequestKey, Slots, SlotsSettings,
    TaskId, Wake,
};

use crate::fixture::{arrival, at, ms, rng};

const KEY: RequestKey = RequestKey(7);

/// Guards against callers that gain by retrying early, or more than once for one rejection.
#[test]
fn caller_returns_once_and_on_time() {
    let mut returns = RejectedCallers::new(RejectedCallersSettings::default());
    returns.record_rejection(at(100), KEY, at(20), ms(200));
    assert_eq!(returns.take_return(at(150), KEY), None);
    assert_eq!(returns.take_return(at(300), KEY), Some(at(20)));
    assert_eq!(returns.take_return(at(301), KEY), None);
}

/// Guards against callers with equal requests that use up each other's rejection, and against a
/// record that grows without bound.
#[test]
fn rejections_are_counted_and_expire() {
    let settings = RejectedCallersSettings { capacity: 3, ..RejectedCallersSettings::default() };
    let mut returns = RejectedCallers::new(settings);
    returns.record_rejection(at(0), KEY, at(0), ms(100));
    returns.record_rejection(at(10), KEY, at(10), ms(100));
    assert_eq!(returns.take_return(at(200), KEY), Some(at(0)));
    assert_eq!(returns.take_return(at(200), KEY), Some(at(10)));
    (0..5).for_each(|it| returns.record_rejection(at(300 + it), RequestKey(it), at(0), ms(1)));
    assert_eq!(returns.take_return(at(400), RequestKey(0)), None);
    assert!(returns.take_return(at(400), RequestKey(4)).is_some());
    returns.record_rejection(at(500), KEY, at(0), ms(100));
    assert_eq!(returns.take_return(at(4_000), KEY), None);
}

#[derive(Debug, Default)]
struct Results {
    served: u32,
    rejected_twice: u32,
}

/// Simulates 30 s at half of the capacity of nine slots with runs of about 60 ms, and at twice the
/// capacity for half a second of every two. Each rejected caller retries once after the stated
/// time; `preferred` states whether the slots know that.
fn simulate(seed: u64, preferred: bool) -> Results {
    let mut rng = rng(seed);
    let mut slots = Slots::new(SlotsSettings::default());
    slots.set_limit(at(0), 9);
    let mut results = Results::default();
    let mut ends: Vec<(u64, TaskId)> = Vec::new();
    let mut retries: Vec<(u64, u64)> = Vec::new();
    let mut callers = std::collections::HashMap::new();
    let mut next = 0;
    for now in 0..30_000_u64 {
        let load = if now % 2_000 < 500 { 0.08 } else { 0.02 };
        let (ended, rest): (Vec<_>, Vec<_>) = ends.into_iter().partition(|it| it.0 <= now);
        ends = rest;
        results.served += ended.len() as u32;
        let mut wakes: Vec<Wake> =
            ended.iter().flat_map(|it| slots.finish(at(now), it.1, true)).collect();
        wakes.extend(slots.expire(at(now)));
        let (due, later): (Vec<_>, Vec<_>) = retries.into_iter().partition(|it| it.0 <= now);
        retries = later;
        let fresh = (0..4).filter(|_| rng.random_bool(load)).map(|_| (now, false));
        let arrivals: Vec<_> = due.iter().map(|it| (it.1, true)).chain(fresh).collect();
        for (first, returned) in arrivals {
            let task = TaskId(next);
            next += 1;
            callers.insert(task, (first, returned));
            let left = 1_000_u64.saturating_sub(now - first);
            let goal = 400_u64.saturating_sub(now - first);
            let arrival = arrival(task.0, 1, at(now), goal, left);
            match slots.arrive(at(now), Arrival { returned: returned && preferred, ..arrival }) {
                Admission::Run => wakes.push(Wake::Start(task)),
                Admission::Wait => {}
                Admission::Reject { retry_after, .. } => {
                    wakes.push(Wake::Reject(task, retry_after));
                }
            }
        }
        for wake in wakes {
            match wake {
                Wake::Start(task) => ends.push((now + rng.random_range(30..90), task)),
                Wake::Reject(task, _) if callers[&task].1 => results.rejected_twice += 1,
                Wake::Reject(task, after) => {
                    retries.push((now + after.as_millis() as u64, callers[&task].0));
                }
            }
        }
    }
    results
}

/// Guards against callers that wait as stated and are rejected again: fewer of them are rejected
/// twice, and about as many requests are served in all.
#[test]
fn callers_that_retry_on_time_are_served() {
    for seed in 0..4 {
        let (with, without) = (simulate(seed, true), simulate(seed, false));
        assert!(with.rejected_twice * 10 < without.rejected_twice * 9, "{with:?} {without:?}");
        assert!(with.served * 100 >= without.served * 98, "{with:?} {without:?}");
    }
}
