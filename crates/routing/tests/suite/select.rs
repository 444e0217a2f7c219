//! Guards against endpoints that get more or less than their part.

use shallottack_kernel::{ErrorKind, GroupName};
use shallottack_routing::{CallInfo, CandidateState, Choice, LoadReport};

use crate::fixture::{ANSWERED, Fixture, answered_with, call, candidates, endpoint, ms};

/// Guards against calls going to the endpoint with the most calls in flight.
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

/// Guards against a slow endpoint getting its full part.
#[test]
fn slow_endpoint_gets_fewer_calls() {
    let mut fixture = Fixture::new(candidates(4));
    let slow = endpoint("e0");
    let counts = fixture.calls(2_000, |it| (ms(if *it == slow { 40 } else { 5 }), ANSWERED));
    assert!(counts[&slow] < 2_000 / 8, "{counts:?}");
    // It is still tried: otherwise nobody would notice that it is quick again.
    assert!(counts[&slow] > 0);
}

/// Guards against ignoring the queue that an endpoint reports.
#[test]
fn reported_queue_sends_calls_elsewhere() {
    let mut fixture = Fixture::new(candidates(4));
    let full = endpoint("e0");
    let counts = fixture.calls(1_000, |it| {
        let queued = if *it == full { 30 } else { 0 };
        (ms(5), answered_with(LoadReport { in_flight: 12, queued, limit: 12 }))
    });
    assert!(counts[&full] < 1_000 / 8, "{counts:?}");
}

/// Guards against a health endpoint that takes an endpoint out altogether or has no effect.
#[test]
fn lowered_share_lowers_the_calls() {
    let mut list = candidates(4);
    list[0].weight = 0.2;
    let mut fixture = Fixture::new(list);
    let counts = fixture.calls(4_000, |_| (ms(5), ANSWERED));
    let low = counts[&endpoint("e0")];
    assert!((20..400).contains(&low), "{counts:?}");
}

/// Guards against a call for one version of a service reaching another one.
#[test]
fn group_is_kept() {
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

/// Guards against suspicion alone making a service unreachable, and against suspected endpoints
/// being used while others are left.
#[test]
fn suspected_endpoints_are_the_last_resort() {
    let mut list = candidates(3);
    list[1].state = CandidateState::Suspect;
    let mut fixture = Fixture::new(list.clone());
    let counts = fixture.calls(200, |_| (ms(1), ANSWERED));
    assert!(!counts.contains_key(&endpoint("e1")));
    list.iter_mut().for_each(|it| it.state = CandidateState::Suspect);
    fixture.router.set_endpoints(&crate::fixture::service(), list);
    let counts = fixture.calls(200, |_| (ms(1), ANSWERED));
    assert_eq!(counts.len(), 3);
}

/// Guards against calls to endpoints that are not ready or gone, and against a call that waits
/// for one: it is answered at once with the time to come back.
#[test]
fn no_endpoint_is_answered_at_once() {
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
