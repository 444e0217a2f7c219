//! The life of one keyed request.

use std::time::Duration;

use shallottack_claims::{
    Action, BatchOutcome, Input, ReadOutcome, RequestDigest, RequestId, RunResult, State,
    StoredAnswer,
};
use shallottack_kernel::ErrorKind;

use crate::world::{Daemon, KEY, Table, answer, arrival, committed, refused, run};

fn finished(request: u64, result: RunResult) -> Input {
    Input::RunDone { request: RequestId(request), result }
}

fn row(daemon: &mut Daemon, outcome: ReadOutcome) -> Vec<Action> {
    daemon.handle(Input::ReadDone { key: KEY.into(), outcome }).into_vec()
}

/// Runs request 1 at a new daemon up to its start.
fn started(table: &mut Table) -> Daemon {
    let mut daemon = Daemon::new(1);
    let actions = daemon.arrive(1, "k1");
    assert_eq!(daemon.settle(table, actions), [run(1)]);
    daemon
}

/// What a repeat is told by another daemon.
fn repeat(table: &mut Table, later: Duration) -> Vec<Action> {
    let mut daemon = Daemon::new(2);
    daemon.now = daemon.now + later;
    let actions = daemon.arrive(9, "k1");
    let mut told = daemon.settle(table, actions);
    told.extend(daemon.settle_later(table));
    told
}

/// Guards against a second run of a request whose caller repeats it after its answer was lost.
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
    let told = Action::AnswerStored { request: RequestId(9), answer: stored };
    assert_eq!(repeat(&mut table, Duration::ZERO), [told]);
    assert_eq!(daemon.claims.open_requests(), 0);
}

/// Guards against a row that grows without bound.
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

/// Guards against an answer that is never recorded because the object store stays down.
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

/// Guards against a second run after the backend server died during the first one.
#[test]
fn repeat_of_a_request_with_unknown_outcome_is_not_run() {
    let mut table = Table::default();
    let mut daemon = started(&mut table);
    daemon.handle(finished(1, RunResult::Unknown));
    assert!(daemon.settle_later(&mut table).is_empty());
    assert_eq!(refused(&repeat(&mut table, Duration::ZERO)), ErrorKind::OutcomeUnknown);
}

/// Guards against a second run after the daemon died during the first one, and against telling
/// callers to come back for a run that is over.
#[test]
fn running_row_of_a_dead_daemon_becomes_unknown_in_time() {
    let mut table = Table::default();
    drop(started(&mut table));
    assert_eq!(refused(&repeat(&mut table, Duration::from_secs(5))), ErrorKind::KeyInProgress);
    assert_eq!(refused(&repeat(&mut table, Duration::from_secs(7))), ErrorKind::OutcomeUnknown);
    let day = Duration::from_secs(24 * 3_600);
    assert_eq!(repeat(&mut table, day), [run(9)]);
}

/// Guards against the answer of one request being given to another.
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

/// Guards against a request that admission control refused blocking its key.
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

/// Guards against a claim that took effect being lost with its answer.
#[test]
fn lost_answer_of_a_claim_is_recognised_by_the_attempt() {
    let mut table = Table::default();
    let mut daemon = Daemon::new(1);
    let (batch, transaction) = committed(&daemon.arrive(1, "k1"));
    table.commit(&transaction);
    let actions = daemon.handle(Input::BatchDone { batch, outcome: BatchOutcome::Unknown });
    assert_eq!(daemon.settle(&mut table, actions), [run(1)]);
}

/// Guards against a run without a claim while the table is down.
#[test]
fn outage_refuses_as_not_run() {
    let mut daemon = Daemon::new(1);
    let (batch, _) = committed(&daemon.arrive(1, "k1"));
    let actions = daemon.handle(Input::BatchDone { batch, outcome: BatchOutcome::Unavailable });
    assert_eq!(refused(&actions), ErrorKind::PlatformDown);
    assert_eq!(daemon.claims.open_requests(), 0);
}

/// Guards against a run of a request that was refused, against a refusal only at the deadline, and
/// against a late claim transaction that blocks the key of a refused request.
#[test]
fn unconfirmed_claim_is_refused_early_and_released_later() {
    let mut table = Table::default();
    let mut daemon = Daemon::new(1);
    let (batch, late) = committed(&daemon.arrive(1, "k1"));
    assert!(daemon.wait(Duration::from_millis(499)).is_empty());
    assert_eq!(refused(&daemon.wait(Duration::from_millis(1))), ErrorKind::PlatformDown);
    let actions = daemon.handle(Input::BatchDone { batch, outcome: BatchOutcome::Unknown });
    assert_eq!(actions.to_vec(), [Action::ReadRow { key: KEY.into() }]);
    assert!(row(&mut daemon, ReadOutcome::Unavailable).is_empty());
    let wake = daemon.claims.wake_at();
    let actions = daemon.wait(wake - daemon.now);
    assert!(daemon.settle(&mut table, actions).is_empty());
    assert_eq!(table.row(KEY).unwrap().state, State::Released);
    assert!(matches!(table.commit(&late), BatchOutcome::Conflict { .. }));
    assert_eq!(repeat(&mut table, Duration::ZERO), [run(9)]);
    assert_eq!(daemon.claims.open_requests(), 0);
}

/// Guards against a confirmation that comes too late starting a run whose caller was refused.
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

/// Guards against the release of a late claim undoing the claim that another daemon made meanwhile.
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

/// Guards against a restarted daemon taking a claim of its earlier start for its own.
#[test]
fn restarted_daemon_does_not_run_its_earlier_claim() {
    let mut table = Table::default();
    drop(started(&mut table));
    let mut daemon = Daemon::new(3);
    let actions = daemon.arrive(1, "k1");
    assert_eq!(refused(&daemon.settle(&mut table, actions)), ErrorKind::KeyInProgress);
}
