//! Guards against retries that run a call twice, come too late or add to an overload.

use shallottack_kernel::{EndpointId, ErrorKind, Run};
use shallottack_routing::{CallId, CallInfo, Choice, NextStep, Outcome};

use crate::fixture::{ANSWERED, BROKEN, Fixture, call, candidates, ms, refused};

fn retried(next: NextStep) -> EndpointId {
    match next {
        NextStep::Retry { endpoint, .. } => endpoint,
        other => panic!("expected a retry, got {other:?}"),
    }
}

fn given_up(next: NextStep) -> ErrorKind {
    match next {
        NextStep::Fail { kind, .. } => kind,
        other => panic!("expected an error, got {other:?}"),
    }
}

/// Guards against a non-idempotent call that may have run being sent again.
#[test]
fn non_idempotent_call_that_may_have_run_is_never_retried() {
    let unproven = Outcome::Refused {
        kind: ErrorKind::OutcomeUnknown,
        not_run: false,
        retry_after: None,
        load: None,
        leaving: false,
    };
    let cases = [BROKEN, Outcome::Broken { partial: true }, Outcome::TimedOut, unproven];
    for outcome in cases {
        let mut fixture = Fixture::new(candidates(5));
        let (call, _) = fixture.send(false);
        let kind = given_up(fixture.outcome(call, outcome));
        assert_eq!(kind.answer().run, Run::Unknown, "{outcome:?}");
    }
}

/// Guards against a second run after a first retry of a call that was proven not run.
#[test]
fn non_idempotent_call_is_retried_only_until_it_may_have_run() {
    let mut fixture = Fixture::new(candidates(5));
    let (call, first) = fixture.send(false);
    let second = retried(fixture.outcome(call, Outcome::Unreachable));
    assert_ne!(first, second);
    assert_eq!(given_up(fixture.outcome(call, BROKEN)), ErrorKind::OutcomeUnknown);
}

/// Guards against an answer that says "not run" because the last attempt was refused, while an
/// earlier attempt may have run.
#[test]
fn refusal_after_a_lost_answer_is_not_reported_as_not_run() {
    for last in [refused(ErrorKind::Overloaded), Outcome::Unreachable] {
        let mut fixture = Fixture::new(candidates(5));
        let (call, _) = fixture.send(true);
        retried(fixture.outcome(call, BROKEN));
        retried(fixture.outcome(call, last));
        assert_eq!(given_up(fixture.outcome(call, last)), ErrorKind::OutcomeUnknown);
    }
}

/// Guards against a third retry, and against retries of the same endpoint.
#[test]
fn call_is_retried_at_most_twice_and_elsewhere() {
    let mut fixture = Fixture::new(candidates(6));
    let (call, first) = fixture.send(true);
    let second = retried(fixture.outcome(call, refused(ErrorKind::Overloaded)));
    let third = retried(fixture.outcome(call, refused(ErrorKind::Overloaded)));
    assert!(first != second && second != third && first != third);
    let next = fixture.outcome(call, refused(ErrorKind::Overloaded));
    let expected = NextStep::Fail { kind: ErrorKind::Overloaded, retry_after: Some(ms(700)) };
    assert_eq!(next, expected);
}

/// Guards against retrying what no other endpoint can answer better.
#[test]
fn faults_of_the_request_are_not_retried() {
    for kind in [ErrorKind::BadRequest, ErrorKind::KeyReused, ErrorKind::PlatformDown] {
        let mut fixture = Fixture::new(candidates(5));
        let (call, _) = fixture.send(true);
        assert_eq!(given_up(fixture.outcome(call, refused(kind))), kind);
    }
}

/// Guards against a retry that can't be answered before the deadline.
#[test]
fn no_retry_past_the_deadline() {
    let mut fixture = Fixture::new(candidates(5));
    fixture.calls(200, |_| (ms(50), ANSWERED));
    let info = call(1_000, fixture.now + ms(100));
    let Choice::Send { .. } = fixture.choose(&info) else { panic!() };
    fixture.pass(ms(60));
    assert_eq!(given_up(fixture.outcome(CallId(1_000), BROKEN)), ErrorKind::OutcomeUnknown);
    let info = CallInfo { call: CallId(1_001), deadline: fixture.now + ms(200), ..info };
    let Choice::Send { .. } = fixture.choose(&info) else { panic!() };
    fixture.pass(ms(60));
    retried(fixture.outcome(CallId(1_001), BROKEN));
}

/// Guards against retries multiplying the load of a service that fails or refuses everything: 10 %
/// more calls at failures, 1 % at refusals for load, beyond the saved-up tokens.
#[test]
fn retries_are_bounded_by_the_tokens_of_the_class() {
    for (outcome, most) in [(BROKEN, 1_010), (refused(ErrorKind::Overloaded), 120)] {
        let mut fixture = Fixture::new(candidates(10));
        let mut retries = 0;
        for _ in 0..10_000 {
            let (call, _) = fixture.send(true);
            fixture.pass(ms(1));
            while let NextStep::Retry { .. } = fixture.outcome(call, outcome) {
                retries += 1;
            }
        }
        assert!(retries > 50 && retries <= most, "{retries} retries after {outcome:?}");
    }
}

/// Guards against an idle connection that the other end closed failing the calls of a service
/// with one endpoint.
#[test]
fn broken_connection_to_the_only_endpoint_is_retried_there() {
    let mut fixture = Fixture::new(candidates(1));
    let (call, only) = fixture.send(true);
    assert_eq!(retried(fixture.outcome(call, BROKEN)), only);
    assert_eq!(fixture.outcome(call, ANSWERED), NextStep::Done);
}

/// Guards against a retry after the caller has gone.
#[test]
fn cancelled_call_is_not_retried() {
    let mut fixture = Fixture::new(candidates(3));
    let (call, chosen) = fixture.send(true);
    fixture.router.cancel(call);
    assert_eq!(fixture.outcome(call, BROKEN), NextStep::Done);
    assert_eq!(fixture.router.in_flight(&chosen), 0);
}
