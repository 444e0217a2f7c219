//! Values and helpers shared by the tests.

use std::time::Duration;

use shallottack_kernel::{GroupName, RouteName, ServiceName, Time};
use shallottack_moves::{
    Evidence, MoveRequest, MoveRow, Outcome, RouteClass, Settings, Side, Transition,
};

pub const DEADLINE_S: u64 = 600;

pub fn secs(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

pub fn route() -> RouteName {
    RouteName::new("rounds").unwrap()
}

pub fn class() -> RouteClass {
    RouteClass {
        route: route(),
        within: Duration::from_millis(80),
        failures: 0.001,
        slow: 0.01,
        idempotent: true,
    }
}

pub fn request(new: &str) -> MoveRequest {
    MoveRequest {
        service: ServiceName::new("garden-book").unwrap(),
        old: GroupName::new("v1").unwrap(),
        new: GroupName::new(new).unwrap(),
        deadline: secs(DEADLINE_S),
    }
}

pub fn row() -> MoveRow {
    written(MoveRow::start(None, request("v2"), &Settings::default(), Time(0)))
}

#[track_caller]
pub fn written(transition: Transition) -> MoveRow {
    match transition {
        Transition::Write(row) | Transition::Fenced(row) => row,
        other => panic!("expected a row to write: {other:?}"),
    }
}

/// Returns the row of a move that reached `step` at `now`.
pub fn row_at(step: usize, now: Time) -> MoveRow {
    (1..=step).fold(row(), |row, step| written(row.raise(1, step, &Settings::default(), now)))
}

pub const GOOD: Outcome = Outcome { failed: false, latency: Duration::from_millis(5), cold: false };
pub const FAILED: Outcome = Outcome { failed: true, ..GOOD };

/// Returns the evidence of one time window with the given (calls, failures) of the old and the new
/// group. The calls of the new group are spread over its 6 endpoints.
pub fn evidence(from: Time, old: (usize, usize), new: (usize, usize)) -> Evidence {
    let mut evidence = Evidence::report(from);
    let counts = evidence.routes.entry(route()).or_default();
    for (side, (calls, failures)) in [(Side::Old, old), (Side::New, new)] {
        for call in 0..calls {
            let outcome = if call < failures { FAILED } else { GOOD };
            counts.add(side, call, outcome, class().within);
        }
    }
    evidence
}
