//! Transitions of the row.

use shallottack_kernel::Time;
use shallottack_moves::{MoveRow, Phase, Reason, Refusal, Settings, Transition};

use crate::world::{request, row, row_at, secs, written};

fn finished(now: Time) -> MoveRow {
    let steps = Settings::default().steps.len();
    written(row_at(steps, Time(0)).finish(1, now))
}

/// Guards against two moves of one service that send its calls to three groups.
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

/// Guards against a repeat of a step, after a lost answer, that goes on to the next step.
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

/// Guards against a share that rises again after the move was taken back.
#[test]
fn taken_back_move_stays_so() {
    let settings = Settings::default();
    let back = written(row_at(2, Time(0)).roll_back(Reason::Cancelled, &settings, Time(5)));
    assert_eq!((back.share, back.phase), (0.0, Phase::RolledBack));
    assert_eq!(back.raise(9, 3, &settings, Time(6)), Transition::Refused(Refusal::Ended));
    assert_eq!(back.finish(9, Time(6)), Transition::Refused(Refusal::Ended));
}

/// Guards against a move that is taken back to a group that is no longer kept ready.
#[test]
fn finished_move_reverts_only_while_old_group_is_ready() {
    let settings = Settings::default();
    let late = |now| finished(secs(9)).roll_back(Reason::Cancelled, &settings, now);
    assert!(matches!(late(secs(600)), Transition::Write(_)));
    assert_eq!(late(secs(610)), Transition::Refused(Refusal::Ended));
}

/// Guards against a finish while a part of the calls was never sent to the new group.
#[test]
fn unfinished_share_is_not_finished() {
    assert_eq!(row_at(2, Time(0)).finish(1, Time(5)), Transition::Refused(Refusal::WrongStep));
}

/// Guards against rows that a newer daemon can't read back.
#[test]
fn row_survives_storage() {
    let settings = Settings::default();
    let back = written(row_at(2, Time(3)).roll_back(Reason::Cancelled, &settings, Time(5)));
    let text = serde_json::to_string(&back).unwrap();
    assert_eq!(serde_json::from_str::<MoveRow>(&text).unwrap(), back);
}
