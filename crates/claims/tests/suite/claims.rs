//! Tests of the life cycle of a keyed request.

use std::time::Duration;

use shallottack_claims::{
    Action, BatchOutcome, Input, ReadOutcome, RequestDigest, RequestId, RunResult, State,
    StoredAnswer,
};
use shallottack_kernel::ErrorKind;

use crate::support::{Daemon, KEY, Table, answer, arrival, committed, refused, run};

fn finished(request: u64, result: RunResult) -> Input {
    Input::RunDone { request: RequestId(request), result }
}

fn row(daemon: &mut Daemon, outcome: ReadOutcome) -> Vec<Action> {
    daemon.handle(Input::ReadDone { key: KEY.into(), outcome }).into_vec()
}

/// Returns a new daemon that has just started to run request 1.
fn started(table: &mut Table) -> Daemon {
    let mut daemon = Daemon::new(1);
    let actions = daemon.arrive(1, "k1");
    assert_eq!(daemon.settle(table, actions), [run(1)]);
    daemon
}

/// Returns the response of another daemon to a repeat of the request.
fn repeat(table: &mut Table, later: Duration) -> Vec<Action> {
    let mut daemon = Daemon::new(2);
    daemon.now = daemon.now + later;
    let actions = daemon.arrive(9, "k1");
    let mut response = daemon.settle(table, actions);
    response.extend(daemon.settle_later(table));
    response
}

/// Guards against a second run of a request that is repeated after its answer was lost.
#[test]
fn repeat_of_a_request_that_ran_gets_the_stored_answer() {
    let mut table = Table::default();
    let mut daemon = started(&mut table);
    assert_eq!(refused(&repeat(&mut table, Duration::ZERO)), ErrorKind::KeyInProgress);
    assert!(daemon.handle(finished(1, RunResult::Answer(answer(10)))).is_empty());
    let stored = StoredAnswer::Inline(answer(10));
    let local = Action::AnswerStored { request: RequestId(2), answer: stored.clone() };
    assert_eq!(daemon.arrive(2, "k1").to_vec(), [local]);
    assert!(daemon.settle_later(&mut table).is_empty());
    let response = Action::AnswerStored { request: RequestId(9), answer: stored };
    assert_eq!(repeat(&mut table, Duration::ZERO), [response]);
    assert_eq!(daemon.claims.open_requests(), 0);
}

/// Guards against rows of unbounded size.
#[test]
fn long_answer_goes_to_an_object() {
    let mut table = Table::default();
    let mut daemon = started(&mut table);
    let actions = daemon.handle(finished(1, RunResult::Answer(answer(16 * 1024 + 1))));
    let [Action::PutObject { name, .. }] = &actions[..] else { panic!("{actions:?}") };
    daemon.handle(Input::PutDone { key: KEY.into(), written: true });
    assert!(daemon.settle_later(&mut table).is_empty());
    assert_eq!(table.row(KEY).unwrap().state, State::Done(StoredAnswer::Object(name.clone())));
}

/// Guards against a run whose outcome is never recorded because the object store stays unavailable.
#[test]
fn answer_that_cannot_be_stored_is_recorded_as_unknown() {
    let mut table = Table::default();
    let mut daemon = started(&mut table);
    daemon.handle(finished(1, RunResult::Answer(answer(16 * 1024 + 1))));
    for _ in 0..5 {
        let actions = daemon.handle(Input::PutDone { key: KEY.into(), written: false });
        daemon.settle(&mut table, actions);
        let actions = daemon.wait(Duration::from_secs(30));
        daemon.settle(&mut table, actions);
    }
    assert_eq!(table.row(KEY).unwrap().state, State::Unknown);
    assert_eq!(refused(&repeat(&mut table, Duration::ZERO)), ErrorKind::OutcomeUnknown);
}

/// Guards against a second run after the backend server failed during the first one.
#[test]
fn repeat_of_a_request_with_unknown_outcome_is_not_run() {
    let mut table = Table::default();
    let mut daemon = started(&mut table);
    daemon.handle(finished(1, RunResult::Unknown));
    assert!(daemon.settle_later(&mut table).is_empty());
    assert_eq!(refused(&repeat(&mut table, Duration::ZERO)), ErrorKind::OutcomeUnknown);
}

/// Guards against a second run after the daemon failed during the first one, and against asking
/// callers to retry while no run is in progress.
#[test]
fn running_row_of_a_failed_daemon_becomes_unknown_after_its_deadline() {
    let mut table = Table::default();
    drop(started(&mut table));
    assert_eq!(refused(&repeat(&mut table, Duration::from_secs(5))), ErrorKind::KeyInProgress);
    assert_eq!(refused(&repeat(&mut table, Duration::from_secs(7))), ErrorKind::OutcomeUnknown);
    let day = Duration::from_secs(24 * 3_600);
    assert_eq!(repeat(&mut table, day), [run(9)]);
}

/// Guards against answering a request with the stored answer of a different request.
#[test]
fn key_with_another_digest_is_refused() {
    let mut table = Table::default();
    let mut daemon = started(&mut table);
    let mut other = arrival(2, "k1", daemon.now + Duration::from_secs(1));
    other.digest = RequestDigest(8);
    let local = daemon.handle(Input::Arrive(other.clone()));
    assert_eq!(refused(&local), ErrorKind::KeyReused);
    let mut second = Daemon::new(2);
    let actions = second.handle(Input::Arrive(other));
    assert_eq!(refused(&second.settle(&mut table, actions)), ErrorKind::KeyReused);
}

/// Guards against a key that stays claimed by a request that admission control refused.
#[test]
fn request_that_was_not_run_frees_its_key() {
    let mut table = Table::default();
    let mut daemon = started(&mut table);
    let actions = daemon.handle(finished(1, RunResult::NotRun));
    daemon.settle(&mut table, actions);
    daemon.settle_later(&mut table);
    assert_eq!(table.row(KEY).unwrap().state, State::Released);
    assert_eq!(repeat(&mut table, Duration::ZERO), [run(9)]);
}

/// Guards against a claim that took effect and is not recognised because its response was lost.
#[test]
fn claim_with_lost_response_is_recognised_by_its_attempt_id() {
    let mut table = Table::default();
    let mut daemon = Daemon::new(1);
    let (batch, transaction) = committed(&daemon.arrive(1, "k1"));
    table.commit(&transaction);
    let actions = daemon.handle(Input::BatchDone { batch, outcome: BatchOutcome::Unknown });
    assert_eq!(daemon.settle(&mut table, actions), [run(1)]);
}

/// Guards against a run without a claim while the table is unavailable.
#[test]
fn outage_refuses_as_not_run() {
    let mut daemon = Daemon::new(1);
    let (batch, _) = committed(&daemon.arrive(1, "k1"));
    let actions = daemon.handle(Input::BatchDone { batch, outcome: BatchOutcome::Unavailable });
    assert_eq!(refused(&actions), ErrorKind::PlatformDown);
    assert_eq!(daemon.claims.open_requests(), 0);
}

/// Guards against a run of a refused request, against a refusal only at the deadline, and against a
/// delayed claim transaction that blocks the key of a refused request.
#[test]
fn unconfirmed_claim_is_refused_early_and_released_later() {
    let mut table = Table::default();
    let mut daemon = Daemon::new(1);
    let (batch, delayed) = committed(&daemon.arrive(1, "k1"));
    assert!(daemon.wait(Duration::from_millis(499)).is_empty());
    assert_eq!(refused(&daemon.wait(Duration::from_millis(1))), ErrorKind::PlatformDown);
    let actions = daemon.handle(Input::BatchDone { batch, outcome: BatchOutcome::Unknown });
    assert_eq!(actions.to_vec(), [Action::ReadRow { key: KEY.into() }]);
    assert!(row(&mut daemon, ReadOutcome::Unavailable).is_empty());
    let wake = daemon.claims.wake_at();
    let actions = daemon.wait(wake - daemon.now);
    assert!(daemon.settle(&mut table, actions).is_empty());
    assert_eq!(table.row(KEY).unwrap().state, State::Released);
    assert!(matches!(table.commit(&delayed), BatchOutcome::Conflict { .. }));
    assert_eq!(repeat(&mut table, Duration::ZERO), [run(9)]);
    assert_eq!(daemon.claims.open_requests(), 0);
}

/// Guards against a late confirmation that starts the run of a refused request.
#[test]
fn late_confirmation_starts_no_run() {
    let mut table = Table::default();
    let mut daemon = Daemon::new(1);
    let (batch, transaction) = committed(&daemon.arrive(1, "k1"));
    table.commit(&transaction);
    daemon.now = daemon.now + Duration::from_millis(500);
    let actions = daemon.handle(Input::BatchDone { batch, outcome: BatchOutcome::Committed });
    assert_eq!(refused(&daemon.settle(&mut table, actions)), ErrorKind::PlatformDown);
    assert_eq!(table.row(KEY).unwrap().state, State::Released);
}

/// Guards against the release of a delayed claim undoing a claim that another daemon made in
/// the meantime.
#[test]
fn release_leaves_the_claim_of_another_daemon() {
    let mut table = Table::default();
    let mut daemon = Daemon::new(1);
    let (batch, _) = committed(&daemon.arrive(1, "k1"));
    daemon.handle(Input::BatchDone { batch, outcome: BatchOutcome::Unknown });
    daemon.now = daemon.now + Duration::from_millis(600);
    assert_eq!(repeat(&mut table, Duration::ZERO), [run(9)]);
    let actions = row(&mut daemon, ReadOutcome::Absent);
    let [refusal, release] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(refused(std::slice::from_ref(refusal)), ErrorKind::PlatformDown);
    assert!(daemon.settle(&mut table, [release.clone()].into_iter().collect()).is_empty());
    assert_eq!(table.row(KEY).unwrap().state, State::Running);
    assert_eq!(daemon.claims.open_requests(), 0);
}

/// Guards against a restarted daemon that takes a claim from before its restart as its own.
#[test]
fn restarted_daemon_does_not_run_its_earlier_claim() {
    let mut table = Table::default();
    drop(started(&mut table));
    let mut daemon = Daemon::new(3);
    let actions = daemon.arrive(1, "k1");
    assert_eq!(refused(&daemon.settle(&mut table, actions)), ErrorKind::KeyInProgress);
}
