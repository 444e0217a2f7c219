//! Tests of the batching of claims into transactions.

use std::time::Duration;

use shallottack_claims::{Action, BatchOutcome, Input, RequestId};
use shallottack_kernel::ErrorKind;

use crate::support::{Daemon, Table, committed, refused, run};

/// Guards against more than one transaction per 5 ms, and against more than 25 rows in one.
#[test]
fn claims_of_5_ms_share_a_transaction() {
    let mut daemon = Daemon::new(1);
    assert_eq!(committed(&daemon.arrive(0, "first")).1.writes.len(), 1);
    for i in 1..=30 {
        assert!(daemon.arrive(i, &format!("k{i}")).is_empty());
    }
    assert!(daemon.wait(Duration::from_millis(4)).is_empty());
    assert_eq!(daemon.claims.wake_at(), daemon.now + Duration::from_millis(1));
    assert_eq!(committed(&daemon.wait(Duration::from_millis(1))).1.writes.len(), 25);
    assert_eq!(committed(&daemon.wait(Duration::from_millis(5))).1.writes.len(), 5);
    assert!(daemon.wait(Duration::from_millis(5)).is_empty());
}

/// Guards against a claimed key that delays the other claims of its batch.
#[test]
fn conflict_on_one_row_leaves_the_others() {
    let mut table = Table::default();
    let mut other = Daemon::new(2);
    let actions = other.arrive(9, "k2");
    other.settle(&mut table, actions);

    let mut daemon = Daemon::new(1);
    let actions = daemon.arrive(0, "first");
    daemon.settle(&mut table, actions);
    for i in 1..=3 {
        daemon.arrive(i, &format!("k{i}"));
    }
    let mut responses = daemon.settle_later(&mut table);
    responses.extend(daemon.settle_later(&mut table));
    assert_eq!(refused(&responses[..1]), ErrorKind::KeyInProgress);
    assert_eq!(responses[1..], [run(1), run(3)]);
}

/// Guards against treating all rows of a batch whose response was lost as failed or as committed.
#[test]
fn lost_response_of_a_batch_is_resolved_row_by_row() {
    let mut table = Table::default();
    let mut daemon = Daemon::new(1);
    let actions = daemon.arrive(0, "first");
    daemon.settle(&mut table, actions);
    for i in 1..=3 {
        daemon.arrive(i, &format!("k{i}"));
    }
    let (batch, transaction) = committed(&daemon.wait(Duration::from_millis(5)));
    table.commit(&transaction);
    let actions = daemon.handle(Input::BatchDone { batch, outcome: BatchOutcome::Unknown });
    assert_eq!(daemon.settle(&mut table, actions), [run(1), run(2), run(3)]);
}

/// Guards against callers that wait while the table is slow, and against a slow period whose end is
/// not noticed because no claim is tried.
#[test]
fn slow_table_refuses_on_arrival_and_is_retried() {
    let mut table = Table::default();
    let mut daemon = Daemon::new(1);
    for i in 0..40 {
        let (batch, transaction) = committed(&daemon.arrive(i, &format!("k{i}")));
        daemon.now = daemon.now + Duration::from_millis(490);
        let outcome = table.commit(&transaction);
        let actions = daemon.handle(Input::BatchDone { batch, outcome });
        assert_eq!(actions.to_vec(), [Action::Run { request: RequestId(i) }]);
    }
    committed(&daemon.arrive(50, "k50"));
    daemon.now = daemon.now + Duration::from_millis(5);
    let deadline = daemon.now + Duration::from_millis(400);
    let short = crate::support::arrival(51, "k51", deadline);
    assert_eq!(refused(&daemon.handle(Input::Arrive(short))), ErrorKind::DeadlineUnmet);
}

/// Guards against unbounded memory use during an outage of the table.
#[test]
fn open_requests_are_bounded() {
    let mut daemon = Daemon::new(1);
    for i in 0..1_024 {
        daemon.arrive(i, &format!("k{i}"));
    }
    assert_eq!(refused(&daemon.arrive(2_000, "more")), ErrorKind::Overloaded);
}
