//! Tests of the move controller.

use shallottack_kernel::Time;
use shallottack_moves::{Decision, MoveController, MoveRow, Phase, Reason, Settings};

use crate::support::{DEADLINE_S, class, evidence, row, row_at, secs, written};

fn controller() -> MoveController {
    MoveController::new(Settings::default(), &[class()])
}

/// Feeds one time window per 100 ms from `from` to `until` seconds, and returns the first decision
/// other than to hold.
fn feed(
    controller: &mut MoveController,
    row: &MoveRow,
    (from, until): (u64, u64),
    old: (usize, usize),
    new: (usize, usize),
) -> Option<Decision> {
    (from * 10..until * 10).find_map(|tenth| {
        let start = Time::from_millis(tenth * 100);
        let now = Time::from_millis(tenth * 100 + 100);
        controller.observe(now, row, &evidence(start, old, new));
        Some(controller.decide(now, row)).filter(|it| *it != Decision::Hold)
    })
}

/// Guards against a move to a good version that misses its deadline.
#[test]
fn good_version_finishes_before_the_deadline() {
    let settings = Settings::default();
    let (mut controller, mut row) = (controller(), row());
    let mut now = 0;
    while row.phase == Phase::Moving {
        let decision = feed(&mut controller, &row, (now, DEADLINE_S), (100, 0), (20, 0))
            .expect("expected a decision before the deadline");
        let at = (now..DEADLINE_S).find(|at| controller.decide(secs(*at), &row) == decision);
        now = at.expect("expected the time of the decision");
        row = written(decision.transition(&row, 1, &settings, secs(now)));
    }
    assert_eq!((row.share, row.phase), (1.0, Phase::Finished));
}

/// Guards against raising the share of a version without calls that show that it works.
#[test]
fn missing_evidence_is_reported_near_the_deadline() {
    let mut controller = controller();
    let row = row_at(2, Time(0));
    let early = feed(&mut controller, &row, (0, 400), (10, 0), (0, 0));
    assert_eq!(early, None);
    let late = feed(&mut controller, &row, (400, DEADLINE_S), (10, 0), (0, 0));
    assert!(
        matches!(&late, Some(Decision::ReportAtRisk { missing }) if missing[0].1 > 0),
        "{late:?}"
    );
}

/// Guards against hundreds of failed calls at a large share, where the old group has too few calls
/// to distinguish the fault from one of a shared backend.
#[test]
fn fault_at_a_large_share_pauses_and_is_rolled_back() {
    let mut controller = controller();
    let row = row_at(7, Time(0));
    feed(&mut controller, &row, (0, 5), (1, 0), (30, 0));
    assert_eq!(feed(&mut controller, &row, (5, 6), (0, 0), (30, 12)), None);
    assert!(controller.is_paused());
    assert!(controller.shares(secs(6), &row).iter().all(|it| it.1 == 0.0));
    let back = feed(&mut controller, &row, (6, 7), (30, 0), (0, 0));
    let reason =
        |it: &Decision| matches!(it, Decision::RollBack { reason: Reason::OldHealthy { .. } });
    assert!(back.as_ref().is_some_and(reason), "{back:?}");
}

/// Guards against a move that is rolled back or stays paused because of a fault of a shared
/// backend.
#[test]
fn shared_fault_ends_the_pause() {
    let mut controller = controller();
    let row = row_at(7, Time(0));
    feed(&mut controller, &row, (0, 5), (1, 0), (30, 0));
    feed(&mut controller, &row, (5, 6), (0, 0), (30, 12));
    assert!(controller.is_paused());
    assert_eq!(feed(&mut controller, &row, (6, 8), (30, 12), (0, 0)), None);
    assert!(!controller.is_paused());
}

/// Guards against a faulty version that stays in force since its fault shows only after the move.
#[test]
fn late_fault_rolls_a_finished_move_back() {
    let row = written(row_at(7, Time(0)).finish(1, secs(1)));
    let mut early = controller();
    let back = feed(&mut early, &row, (300, 305), (10, 0), (90, 30));
    assert!(matches!(back, Some(Decision::RollBack { .. })), "{back:?}");
    // There is no group to roll back to once the old group is no longer kept ready.
    let mut late = controller();
    assert_eq!(feed(&mut late, &row, (601, 606), (10, 0), (90, 30)), None);
}

/// Guards against sending calls to an old group that may have been stopped.
#[test]
fn old_group_gets_no_calls_after_its_ready_time() {
    let row = written(row_at(7, Time(0)).finish(1, secs(1)));
    let mut controller = controller();
    feed(&mut controller, &row, (0, 5), (10, 0), (90, 0));
    let share = |controller: &MoveController, now| controller.shares(secs(now), &row)[0].1;
    assert!(share(&controller, 600) < 1.0);
    assert_eq!(share(&controller, 601), 1.0);
    feed(&mut controller, &row, (601, 606), (0, 0), (90, 60));
    assert!(!controller.is_paused());
    assert_eq!(share(&controller, 606), 1.0);
}
