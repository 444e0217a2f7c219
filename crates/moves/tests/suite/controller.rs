//! Decisions on a move.

use shallottack_kernel::Time;
use shallottack_moves::{Decision, MoveController, MoveRow, Phase, Reason, Settings};

use crate::world::{DEADLINE_S, class, evidence, row, row_at, secs, written};

fn core() -> MoveController {
    MoveController::new(Settings::default(), &[class()])
}

/// Feeds a window per 100 ms in `from..until` seconds, and returns the first decision that isn't
/// to hold.
fn feed(
    core: &mut MoveController,
    row: &MoveRow,
    (from, until): (u64, u64),
    old: (usize, usize),
    new: (usize, usize),
) -> Option<Decision> {
    (from * 10..until * 10).find_map(|tenth| {
        let start = Time::from_millis(tenth * 100);
        let now = Time::from_millis(tenth * 100 + 100);
        core.observe(now, row, &evidence(start, old, new));
        Some(core.decide(now, row)).filter(|it| *it != Decision::Hold)
    })
}

/// Guards against a good version that is not moved by its deadline.
#[test]
fn good_version_finishes_before_the_deadline() {
    let settings = Settings::default();
    let (mut core, mut row) = (core(), row());
    let mut now = 0;
    while row.phase == Phase::Moving {
        let decision = feed(&mut core, &row, (now, DEADLINE_S), (100, 0), (20, 0))
            .expect("a step comes before the deadline");
        let at = (now..DEADLINE_S).find(|at| core.decide(secs(*at), &row) == decision);
        now = at.expect("the decision has a time");
        row = written(decision.transition(&row, 1, &settings, secs(now)));
    }
    assert_eq!((row.share, row.phase), (1.0, Phase::Finished));
}

/// Guards against a version that is raised without calls that show that it works.
#[test]
fn missing_evidence_is_reported_near_the_deadline() {
    let mut core = core();
    let row = row_at(2, Time(0));
    let early = feed(&mut core, &row, (0, 400), (10, 0), (0, 0));
    assert_eq!(early, None);
    let late = feed(&mut core, &row, (400, DEADLINE_S), (10, 0), (0, 0));
    assert!(
        matches!(&late, Some(Decision::ReportAtRisk { missing }) if missing[0].1 > 0),
        "{late:?}"
    );
}

/// Guards against a fault that can be told from one of the backend only after hundreds of failed
/// calls, since the old group has few calls.
#[test]
fn fault_at_a_large_share_pauses_and_is_taken_back() {
    let mut core = core();
    let row = row_at(7, Time(0));
    feed(&mut core, &row, (0, 5), (1, 0), (30, 0));
    assert_eq!(feed(&mut core, &row, (5, 6), (0, 0), (30, 12)), None);
    assert!(core.is_paused());
    assert!(core.shares(secs(6), &row).iter().all(|it| it.1 == 0.0));
    let back = feed(&mut core, &row, (6, 7), (30, 0), (0, 0));
    let reason =
        |it: &Decision| matches!(it, Decision::RollBack { reason: Reason::OldHealthy { .. } });
    assert!(back.as_ref().is_some_and(reason), "{back:?}");
}

/// Guards against a move that is taken back, or stays paused, for a fault of a shared backend.
#[test]
fn shared_fault_ends_the_pause() {
    let mut core = core();
    let row = row_at(7, Time(0));
    feed(&mut core, &row, (0, 5), (1, 0), (30, 0));
    feed(&mut core, &row, (5, 6), (0, 0), (30, 12));
    assert!(core.is_paused());
    assert_eq!(feed(&mut core, &row, (6, 8), (30, 12), (0, 0)), None);
    assert!(!core.is_paused());
}

/// Guards against a fault after the move that is left in force.
#[test]
fn late_fault_takes_a_finished_move_back() {
    let row = written(row_at(7, Time(0)).finish(1, secs(1)));
    let mut early = core();
    let back = feed(&mut early, &row, (300, 305), (10, 0), (90, 30));
    assert!(matches!(back, Some(Decision::RollBack { .. })), "{back:?}");
    // Once the old group is no longer ready, there is nothing to go back to.
    let mut late = core();
    assert_eq!(feed(&mut late, &row, (601, 606), (10, 0), (90, 30)), None);
}

/// Guards against calls to an old group that may have been stopped.
#[test]
fn old_group_gets_no_calls_after_its_ready_time() {
    let row = written(row_at(7, Time(0)).finish(1, secs(1)));
    let mut core = core();
    feed(&mut core, &row, (0, 5), (10, 0), (90, 0));
    let share = |core: &MoveController, now| core.shares(secs(now), &row)[0].1;
    assert!(share(&core, 600) < 1.0);
    assert_eq!(share(&core, 601), 1.0);
    feed(&mut core, &row, (601, 606), (0, 0), (90, 60));
    assert!(!core.is_paused());
    assert_eq!(share(&core, 606), 1.0);
}
