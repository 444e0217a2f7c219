//! Guards against new work for endpoints that are leaving.

use shallottack_kernel::ErrorKind;
use shallottack_routing::{CandidateState, NextStep, Outcome};

use crate::fixture::{ANSWERED, Fixture, candidates, endpoint, ms, refused, service};

const LEAVING: Outcome = Outcome::Answered { failed: false, load: None, leaving: true };

/// Guards against waiting for membership: an answer that says so is enough, and membership's
/// older view of the same incarnation does not undo it.
#[test]
fn endpoint_that_says_it_leaves_gets_no_new_calls() {
    let mut fixture = Fixture::new(candidates(3));
    let (call, gone) = fixture.send(true);
    fixture.outcome(call, LEAVING);
    fixture.router.set_endpoints(&service(), candidates(3));
    let counts = fixture.calls(200, |_| (ms(1), ANSWERED));
    assert!(!counts.contains_key(&gone), "{counts:?}");
    let mut list = candidates(3);
    list.iter_mut().for_each(|it| it.incarnation = 2);
    fixture.router.set_endpoints(&service(), list);
    let counts = fixture.calls(200, |_| (ms(1), ANSWERED));
    assert!(counts.contains_key(&gone), "{counts:?}");
}

/// Guards against a leaving endpoint being used as the last resort.
#[test]
fn leaving_endpoints_are_never_a_last_resort() {
    let mut list = candidates(2);
    list[0].state = CandidateState::Leaving;
    let mut fixture = Fixture::new(list);
    for _ in 0..20 {
        let (call, chosen) = fixture.send(false);
        assert_eq!(chosen, endpoint("e1"));
        assert!(matches!(fixture.outcome(call, Outcome::Unreachable), NextStep::Fail { .. }));
    }
}

/// Guards against a call being lost to a stop: the refusal was not run and goes elsewhere, and the
/// endpoint gets no more calls.
#[test]
fn refusal_of_a_stopping_daemon_is_retried_elsewhere() {
    let mut fixture = Fixture::new(candidates(3));
    let (call, gone) = fixture.send(false);
    let next = fixture.outcome(call, refused(ErrorKind::Stopping));
    assert!(matches!(&next, NextStep::Retry { endpoint, .. } if *endpoint != gone), "{next:?}");
    let counts = fixture.calls(100, |_| (ms(1), ANSWERED));
    assert!(!counts.contains_key(&gone));
}

/// Guards against an in-flight call being lost when its endpoint is no longer listed, and against
/// its accounting ending up at another endpoint.
#[test]
fn call_in_flight_ends_normally_after_its_endpoint_is_gone() {
    let mut fixture = Fixture::new(candidates(1));
    let (call, gone) = fixture.send(true);
    let others = candidates(3).split_off(1);
    fixture.router.set_endpoints(&service(), others);
    fixture.send(true);
    assert_eq!(fixture.router.in_flight(&gone), 1);
    assert_eq!(fixture.outcome(call, ANSWERED), NextStep::Done);
    assert_eq!(fixture.router.in_flight(&gone), 0);
    let total = ["e1", "e2"].map(|it| fixture.router.in_flight(&endpoint(it)));
    assert_eq!(total.iter().sum::<u32>(), 1);
}
