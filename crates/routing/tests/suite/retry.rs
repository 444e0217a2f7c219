//! Retries must not run a call twice, come too late or add to an overload.

use shallottack_kernel::{EndpointId, ErrorKind, Run};
use shallottack_routing::{CallId, CallInfo, Choice, NextStep, Outcome};

use crate::fixture::{ANSWERED, BROKEN, Fixture, call, candidates, ms, refused};

fn expect_retry(next: NextStep) -> EndpointId {
    match next {
        NextStep::Retry { endpoint, .. } => endpoint,
        other => panic!("expected a retry, got {other:?}"),
    }
}

fn expect_failure(next: NextStep) -> ErrorKind {
    match next {
        NextStep::Fail { kind, .. } => kind,
        other => panic!("expected an error, got {other:?}"),
    }
}

/// Guards against retrying a non-idempotent call that may have run.
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
        let kind = expect_failure(fixture.end_attempt(call, outcome));
        assert_eq!(kind.answer().run, Run::Unknown, "{outcome:?}");
    }
}

/// Guards against a second run of a non-idempotent call after a retry that was allowed because the
/// first attempt was not run.
#[test]
fn non_idempotent_call_is_retried_only_until_it_may_have_run() {
    let mut fixture = Fixture::new(candidates(5));
    let (call, first) = fixture.send(false);
    let second = expect_retry(fixture.end_attempt(call, Outcome::Unreachable));
    assert_ne!(first, second);
    assert_eq!(expect_failure(fixture.end_attempt(call, BROKEN)), ErrorKind::OutcomeUnknown);
}

/// Guards against an answer that states "not run" because the last attempt was refused, although an
/// earlier attempt may have run.
#[test]
fn refusal_after_a_lost_answer_is_not_reported_as_not_run() {
    for last in [refused(ErrorKind::Overloaded), Outcome::Unreachable] {
        let mut fixture = Fixture::new(candidates(5));
        let (call, _) = fixture.send(true);
        expect_retry(fixture.end_attempt(call, BROKEN));
        expect_retry(fixture.end_attempt(call, last));
        assert_eq!(expect_failure(fixture.end_attempt(call, last)), ErrorKind::OutcomeUnknown);
    }
}

/// Guards against a third retry, and against retries at an endpoint that was already tried.
#[test]
fn call_is_retried_at_most_twice_and_elsewhere() {
    let mut fixture = Fixture::new(candidates(6));
    let (call, first) = fixture.send(true);
    let second = expect_retry(fixture.end_attempt(call, refused(ErrorKind::Overloaded)));
    let third = expect_retry(fixture.end_attempt(call, refused(ErrorKind::Overloaded)));
    assert!(first != second && second != third && first != third);
    let next = fixture.end_attempt(call, refused(ErrorKind::Overloaded));
    let expected = NextStep::Fail { kind: ErrorKind::Overloaded, retry_after: Some(ms(700)) };
    assert_eq!(next, expected);
}

/// Guards against retrying calls that fail in the same way at every endpoint.
#[test]
fn faults_of_the_request_are_not_retried() {
    for kind in [ErrorKind::BadRequest, ErrorKind::KeyReused, ErrorKind::PlatformDown] {
        let mut fixture = Fixture::new(candidates(5));
        let (call, _) = fixture.send(true);
        assert_eq!(expect_failure(fixture.end_attempt(call, refused(kind))), kind);
    }
}

/// Guards against a retry that can't be answered before the deadline.
#[test]
fn no_retry_past_the_deadline() {
    let mut fixture = Fixture::new(candidates(5));
    fixture.run_calls(200, |_| (ms(50), ANSWERED));
    let info = call(1_000, fixture.now + ms(100));
    let Choice::Send { .. } = fixture.choose(&info) else { panic!() };
    fixture.advance(ms(60));
    assert_eq!(
        expect_failure(fixture.end_attempt(CallId(1_000), BROKEN)),
        ErrorKind::OutcomeUnknown
    );
    let info = CallInfo { call: CallId(1_001), deadline: fixture.now + ms(200), ..info };
    let Choice::Send { .. } = fixture.choose(&info) else { panic!() };
    fixture.advance(ms(60));
    expect_retry(fixture.end_attempt(CallId(1_001), BROKEN));
}

/// Guards against retries that multiply the load of a service that fails or refuses all calls.
/// Beyond the saved tokens, 10 % more calls are allowed on failures and 1 % on refusals for
/// overload.
#[test]
fn retries_are_bounded_by_the_tokens_of_the_class() {
    for (outcome, max) in [(BROKEN, 1_010), (refused(ErrorKind::Overloaded), 120)] {
        let mut fixture = Fixture::new(candidates(10));
        let mut retries = 0;
        for _ in 0..10_000 {
            let (call, _) = fixture.send(true);
            fixture.advance(ms(1));
            while let NextStep::Retry { .. } = fixture.end_attempt(call, outcome) {
                retries += 1;
            }
        }
        assert!(retries > 50 && retries <= max, "{retries} retries after {outcome:?}");
    }
}

/// Guards against a failed call to a service with one endpoint when the peer has closed an idle
/// connection.
#[test]
fn broken_connection_to_the_only_endpoint_is_retried_there() {
    let mut fixture = Fixture::new(candidates(1));
    let (call, only) = fixture.send(true);
    assert_eq!(expect_retry(fixture.end_attempt(call, BROKEN)), only);
    assert_eq!(fixture.end_attempt(call, ANSWERED), NextStep::Done);
}

/// Guards against a retry after the caller has gone.
#[test]
fn cancelled_call_is_not_retried() {
    let mut fixture = Fixture::new(candidates(3));
    let (call, chosen) = fixture.send(true);
    fixture.router.cancel(call);
    assert_eq!(fixture.end_attempt(call, BROKEN), NextStep::Done);
    assert_eq!(fixture.router.in_flight(&chosen), 0);
}
