//! Detection of crashes of the backend server from the ends of its runs.

use shallottack_fleet::{CrashSign, RequestKey, RunEnd, Runs, TaskId};

use crate::fixture::at;

/// Runs one request after another, each with its own key, from `first` on.
fn complete(runs: &mut Runs, first: u64, count: u64) {
    for it in first..first + count {
        runs.start(TaskId(it), RequestKey(it));
        runs.finish(at(it), TaskId(it), RunEnd::Completed);
    }
}

/// Guards against a single lost response that is taken for a crash.
#[test]
fn lost_response_is_no_crash() {
    let mut runs = Runs::default();
    runs.start(TaskId(1), RequestKey(1));
    runs.start(TaskId(2), RequestKey(2));
    runs.finish(at(10), TaskId(1), RunEnd::Unanswered);
    assert!(!runs.may_have_crashed(at(10)));
    runs.finish(at(20), TaskId(2), RunEnd::Completed);
    assert!(runs.may_have_crashed(at(20)));
    assert!(!runs.may_have_crashed(at(1_011)));
}

/// Guards against reports that name requests which ended before the crash or run on every server.
#[test]
fn crash_names_the_requests_in_progress() {
    let mut runs = Runs::default();
    complete(&mut runs, 100, 3);
    for key in [1, 2, 102, 2] {
        runs.start(TaskId(key), RequestKey(key));
        runs.finish(at(200 + key), TaskId(key), RunEnd::Unanswered);
    }
    runs.start(TaskId(5), RequestKey(5));
    runs.finish(at(300), TaskId(5), RunEnd::NotRun);
    insta::assert_debug_snapshot!(runs.take_crash(at(400), CrashSign::Refused));
    assert_eq!(runs.take_crash(at(400), CrashSign::Restarted), None);
}

/// Guards against memory that grows with the number of different requests.
#[test]
fn flood_of_requests_is_bounded() {
    let mut runs = Runs::default();
    complete(&mut runs, 0, 100_000);
    for key in 200_000..300_000 {
        runs.start(TaskId(key), RequestKey(key));
        runs.finish(at(200_000), TaskId(key), RunEnd::Unanswered);
    }
    let crash = runs.take_crash(at(200_000), CrashSign::Refused).unwrap();
    assert_eq!((crash.completions, crash.requests.len()), (100_000, 64));
    assert_eq!(crash.requests[0], RequestKey(299_999));
}
