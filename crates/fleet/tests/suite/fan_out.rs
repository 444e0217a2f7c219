//! Calls that runs make, learned from the requests of a VM.

use std::sync::Arc;

use rand::RngExt;
use shallottack_fleet::{CallOrigin, Calls, FanOut, StartedRun, TaskId};

use crate::fixture::{at, rng, service};

/// Plays 20 s in which two routes run at a server and callers send requests to the service that one
/// of them calls. Returns the calls that are expected of a repeat of either route.
fn learn(names: bool) -> (Calls, Calls) {
    let (mut fan_out, mut rng) = (FanOut::default(), rng(1));
    let (browse, order) = (Arc::from("browse"), Arc::from("order"));
    let mut ends = Vec::new();
    for now in 0..20_000 {
        ends.retain(|&(end, task)| {
            if end == now {
                fan_out.finish(at(now), TaskId(task));
            }
            end > now
        });
        if rng.random_bool(0.05) {
            let id = now.to_string();
            let run = StartedRun { id: &id, route: &order, repeat: false, named: false };
            fan_out.start(at(now), TaskId(now), &run);
            ends.push((now + rng.random_range(50..250), now));
        }
        if rng.random_bool(0.04) {
            let id = format!("browse-{now}");
            let run = StartedRun { id: &id, route: &browse, repeat: false, named: false };
            fan_out.start(at(now), TaskId(now + 20_000), &run);
            ends.push((now + rng.random_range(50..250), now + 20_000));
            for _ in 0..2 {
                let parent = names.then_some(id.as_str());
                let origin = fan_out.record_request(at(now), &service("stock"), parent);
                assert_eq!(origin == CallOrigin::Run, names);
            }
        }
        if rng.random_bool(0.01) {
            let origin = fan_out.record_request(at(now), &service("stock"), None);
            assert_eq!(origin, CallOrigin::Unknown);
        }
    }
    (fan_out.calls(&browse), fan_out.calls(&order))
}

fn count(calls: &Calls) -> f64 {
    calls.iter().map(|it| it.1).sum()
}

/// Guards against requests of callers that are taken for calls of runs, so that repeats of routes
/// that make no calls are refused.
#[test]
fn requests_of_callers_count_for_runs() {
    let (browse, order) = learn(true);
    assert!((1.9..2.1).contains(&count(&browse)), "{browse:?}");
    assert!(order.is_empty(), "{order:?}");
}

/// Guards against calls that are not found where their identifiers do not name the request.
#[test]
fn calls_without_names_are_missed() {
    let (browse, order) = learn(false);
    assert!(count(&browse) > 1.5, "{browse:?}");
    assert!(count(&order) < count(&browse) / 2.0, "{order:?}");
}

/// Guards against repeats for which the average of their route is taken, though the requests that
/// fail are those that make calls.
#[test]
fn calls_of_repeats_are_averaged_with_those_of_other_runs() {
    let (mut fan_out, browse) = (FanOut::default(), Arc::from("browse"));
    for task in 0..100 {
        let (id, repeat) = (task.to_string(), task % 10 == 0);
        let run = StartedRun { id: &id, route: &browse, repeat, named: false };
        fan_out.start(at(task), TaskId(task), &run);
        if repeat {
            let origin = fan_out.record_request(at(task), &service("stock"), Some(&id));
            assert_eq!(origin, CallOrigin::Repeat);
        }
        fan_out.finish(at(task), TaskId(task));
    }
    assert!((0.95..1.05).contains(&count(&fan_out.calls(&browse))));
}

/// Guards against calls beyond the expected ones that no budget is charged for.
#[test]
fn unexpected_calls_of_a_repeat_are_not_counted() {
    let (mut fan_out, browse) = (FanOut::default(), Arc::from("browse"));
    let mut made = Vec::new();
    for (task, calls) in [(1, 1), (2, 3), (3, 0)] {
        let id = task.to_string();
        let run = StartedRun { id: &id, route: &browse, repeat: true, named: false };
        let expected = count(&fan_out.start(at(task), TaskId(task), &run));
        for _ in 0..calls {
            fan_out.record_request(at(task), &service("stock"), Some(&id));
        }
        made.push(expected + count(&fan_out.finish(at(task), TaskId(task))));
    }
    assert_eq!(made, [1.0, 3.0, 0.0]);
}
