//! Leaving endpoints must get no new calls.

use shallottack_kernel::ErrorKind;
use shallottack_routing::{CandidateState, NextStep, Outcome};

use crate::fixture::{ANSWERED, Fixture, candidates, endpoint, ms, refused, service};

const LEAVING: Outcome = Outcome::Answered { failed: false, load: None, leaving: true };

/// Guards against waiting until membership lists an endpoint as leaving. An answer that states it
/// is enough, and an older state from membership for the same incarnation must not revert it.
#[test]
fn endpoint_that_announces_leaving_gets_no_new_calls() {
    let mut fixture = Fixture::new(candidates(3));
    let (call, gone) = fixture.send(true);
    fixture.end_attempt(call, LEAVING);
    fixture.router.set_endpoints(&service(), candidates(3));
    let counts = fixture.run_calls(200, |_| (ms(1), ANSWERED));
    assert!(!counts.contains_key(&gone), "{counts:?}");
    let mut list = candidates(3);
    list.iter_mut().for_each(|it| it.incarnation = 2);
    fixture.router.set_endpoints(&service(), list);
    let counts = fixture.run_calls(200, |_| (ms(1), ANSWERED));
    assert!(counts.contains_key(&gone), "{counts:?}");
}

/// Guards against using a leaving endpoint as the last resort.
#[test]
fn leaving_endpoints_are_never_a_last_resort() {
    let mut list = candidates(2);
    list[0].state = CandidateState::Leaving;
    let mut fixture = Fixture::new(list);
    for _ in 0..20 {
        let (call, chosen) = fixture.send(false);
        assert_eq!(chosen, endpoint("e1"));
        assert!(matches!(fixture.end_attempt(call, Outcome::Unreachable), NextStep::Fail { .. }));
    }
}

/// Guards against losing a call that a stopping daemon refused. It was not run and must be retried
/// elsewhere, and the endpoint must get no more calls.
#[test]
fn refusal_of_a_stopping_daemon_is_retried_elsewhere() {
    let mut fixture = Fixture::new(candidates(3));
    let (call, gone) = fixture.send(false);
    let next = fixture.end_attempt(call, refused(ErrorKind::Stopping));
    assert!(matches!(&next, NextStep::Retry { endpoint, .. } if *endpoint != gone), "{next:?}");
    let counts = fixture.run_calls(100, |_| (ms(1), ANSWERED));
    assert!(!counts.contains_key(&gone));
}

/// Guards against losing a call in flight when its endpoint is no longer listed, and against
/// counting the call at another endpoint.
#[test]
fn call_in_flight_ends_normally_after_its_endpoint_is_removed() {
    let mut fixture = Fixture::new(candidates(1));
    let (call, gone) = fixture.send(true);
    let others = candidates(3).split_off(1);
    fixture.router.set_endpoints(&service(), others);
    fixture.send(true);
    assert_eq!(fixture.router.in_flight(&gone), 1);
    assert_eq!(fixture.end_attempt(call, ANSWERED), NextStep::Done);
    assert_eq!(fixture.router.in_flight(&gone), 0);
    let total = ["e1", "e2"].map(|it| fixture.router.in_flight(&endpoint(it)));
    assert_eq!(total.iter().sum::<u32>(), 1);
}
