//! Tests of the transitions of the row.

use shallottack_kernel::Time;
use shallottack_moves::{MoveRow, Phase, Reason, Refusal, Settings, Transition};

use crate::support::{request, row, row_at, secs, written};

fn finished(now: Time) -> MoveRow {
    let steps = Settings::default().steps.len();
    written(row_at(steps, Time(0)).finish(1, now))
}

/// Guards against two concurrent moves of a service, which would split its calls over three groups.
#[test]
fn second_move_is_refused() {
    let settings = Settings::default();
    let start =
        |row: &MoveRow, new: &str, now| MoveRow::start(Some(row), request(new), &settings, now);
    let refused = Transition::Refused(Refusal::MoveInProgress);
    assert_eq!(start(&row(), "v3", Time(1)), refused);
    assert_eq!(start(&row(), "v2", Time(1)), Transition::Unchanged);
    assert_eq!(start(&finished(secs(9)), "v3", secs(10)), refused);
    assert!(matches!(start(&finished(secs(9)), "v3", secs(610)), Transition::Write(_)));
    assert_eq!(start(&row(), "v1", Time(1)), Transition::Refused(Refusal::SameGroup));
}

/// Guards against a step that is repeated after a lost response and advances the move twice.
#[test]
fn repeated_step_changes_nothing() {
    let settings = Settings::default();
    let row = row_at(2, Time(0));
    assert_eq!(row.raise(1, 2, &settings, Time(5)), Transition::Unchanged);
    assert_eq!(row.raise(1, 4, &settings, Time(5)), Transition::Refused(Refusal::WrongStep));
    let back = written(row.roll_back(Reason::Cancelled, &settings, Time(5)));
    assert_eq!(back.roll_back(Reason::Cancelled, &settings, Time(6)), Transition::Unchanged);
    assert_eq!(finished(Time(5)).finish(1, Time(6)), Transition::Unchanged);
}

/// Guards against a share that is raised again after the move was rolled back.
#[test]
fn rolled_back_move_stays_rolled_back() {
    let settings = Settings::default();
    let back = written(row_at(2, Time(0)).roll_back(Reason::Cancelled, &settings, Time(5)));
    assert_eq!((back.share, back.phase), (0.0, Phase::RolledBack));
    assert_eq!(back.raise(9, 3, &settings, Time(6)), Transition::Refused(Refusal::Ended));
    assert_eq!(back.finish(9, Time(6)), Transition::Refused(Refusal::Ended));
}

/// Guards against a rollback to a group that is no longer kept ready.
#[test]
fn finished_move_is_rolled_back_only_while_old_group_is_ready() {
    let settings = Settings::default();
    let late = |now| finished(secs(9)).roll_back(Reason::Cancelled, &settings, now);
    assert!(matches!(late(secs(600)), Transition::Write(_)));
    assert_eq!(late(secs(610)), Transition::Refused(Refusal::Ended));
}

/// Guards against finishing a move before all calls went to the new group.
#[test]
fn move_is_not_finished_below_full_share() {
    assert_eq!(row_at(2, Time(0)).finish(1, Time(5)), Transition::Refused(Refusal::WrongStep));
}

/// Guards against rows that can't be decoded after they were stored.
#[test]
fn row_round_trips_through_json() {
    let settings = Settings::default();
    let back = written(row_at(2, Time(3)).roll_back(Reason::Cancelled, &settings, Time(5)));
    let text = serde_json::to_string(&back).unwrap();
    assert_eq!(serde_json::from_str::<MoveRow>(&text).unwrap(), back);
}
