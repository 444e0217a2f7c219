//! Endpoints must get the calls that their load, weight and state allow.

use shallottack_kernel::{ErrorKind, GroupName};
use shallottack_routing::{CallInfo, CandidateState, Choice, LoadReport};

use crate::fixture::{ANSWERED, Fixture, answered_with, call, candidates, endpoint, ms};

/// Guards against sending calls to the endpoint with the most calls in flight.
#[test]
fn calls_in_flight_are_spread() {
    let mut fixture = Fixture::new(candidates(5));
    for _ in 0..100 {
        fixture.send(true);
    }
    for index in 0..5 {
        let calls = fixture.router.in_flight(&endpoint(&format!("e{index}")));
        assert!((17..=23).contains(&calls), "{calls} calls at e{index}");
    }
}

/// Guards against a slow endpoint that gets as many calls as the others.
#[test]
fn slow_endpoint_gets_fewer_calls() {
    let mut fixture = Fixture::new(candidates(4));
    let slow = endpoint("e0");
    let counts = fixture.run_calls(2_000, |it| (ms(if *it == slow { 40 } else { 5 }), ANSWERED));
    assert!(counts[&slow] < 2_000 / 8, "{counts:?}");
    // The endpoint must still get some calls; otherwise its recovery would go unnoticed.
    assert!(counts[&slow] > 0);
}

/// Guards against ignoring the queue length that an endpoint reports.
#[test]
fn reported_queue_sends_calls_elsewhere() {
    let mut fixture = Fixture::new(candidates(4));
    let full = endpoint("e0");
    let counts = fixture.run_calls(1_000, |it| {
        let queued = if *it == full { 30 } else { 0 };
        (ms(5), answered_with(LoadReport { in_flight: 12, queued, limit: 12 }))
    });
    assert!(counts[&full] < 1_000 / 8, "{counts:?}");
}

/// Guards against a lowered weight that has no effect or excludes an endpoint entirely.
#[test]
fn lowered_weight_reduces_the_calls() {
    let mut list = candidates(4);
    list[0].weight = 0.2;
    let mut fixture = Fixture::new(list);
    let counts = fixture.run_calls(4_000, |_| (ms(5), ANSWERED));
    let low = counts[&endpoint("e0")];
    assert!((20..400).contains(&low), "{counts:?}");
}

/// Guards against sending a call for one version of a service to another one.
#[test]
fn calls_stay_in_their_group() {
    let mut list = candidates(4);
    list[3].group = GroupName::new("v2").unwrap();
    let mut fixture = Fixture::new(list);
    for id in 0..50 {
        let group = GroupName::new("v2").ok();
        let info = CallInfo { group, ..call(id, fixture.now + ms(1000)) };
        let Choice::Send { endpoint: chosen, .. } = fixture.choose(&info) else { panic!() };
        assert_eq!(chosen, endpoint("e3"));
    }
}

/// Guards against an unreachable service when all its endpoints are suspected, and against using
/// suspected endpoints while others are usable.
#[test]
fn suspected_endpoints_are_the_last_resort() {
    let mut list = candidates(3);
    list[1].state = CandidateState::Suspect;
    let mut fixture = Fixture::new(list.clone());
    let counts = fixture.run_calls(200, |_| (ms(1), ANSWERED));
    assert!(!counts.contains_key(&endpoint("e1")));
    list.iter_mut().for_each(|it| it.state = CandidateState::Suspect);
    fixture.router.set_endpoints(&crate::fixture::service(), list);
    let counts = fixture.run_calls(200, |_| (ms(1), ANSWERED));
    assert_eq!(counts.len(), 3);
}

/// Guards against calls to endpoints that are not ready or are gone, and against calls that wait
/// for an endpoint. They must be answered at once with a retry-after time.
#[test]
fn call_without_endpoint_is_answered_at_once() {
    let mut list = candidates(2);
    list[0].state = CandidateState::Starting;
    list[1].state = CandidateState::Dead;
    let mut fixture = Fixture::new(list);
    let choice = fixture.choose(&call(1, fixture.now + ms(1000)));
    let expected = Choice::Fail { kind: ErrorKind::NoEndpoint, retry_after: Some(ms(1000)) };
    assert_eq!(choice, expected);
    let choice = fixture.choose(&call(2, fixture.now));
    assert!(matches!(choice, Choice::Fail { kind: ErrorKind::DeadlineUnmet, .. }));
}
