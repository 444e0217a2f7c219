//! Reports must name the right causes.

use shallottack_admission::{CallId, Cause, Completion, Outcome};

use crate::simulation::{OfferedLoad, Simulation, admission, answered, arrival, at, ms};

const LOAD: OfferedLoad = OfferedLoad {
    class: "a",
    per_second: 300,
    service: std::time::Duration::from_millis(20),
    deadline: std::time::Duration::from_millis(1000),
};

fn causes(simulation: &Simulation) -> Vec<Cause> {
    let report = simulation.admission.report().remove(0);
    assert_eq!(report.met, report.causes.is_empty());
    report.causes.to_vec()
}

/// Guards against reporting a missed target for a class that meets it.
#[test]
fn class_with_low_load_meets_its_target() {
    let mut simulation = Simulation::new(admission(12, &["a"], ms(100)), &[LOAD], 11);
    simulation.run_for(ms(30_000));
    assert_eq!(causes(&simulation), []);
}

/// Guards against attributing refusals by the daemon to the backend server.
#[test]
fn refusals_are_reported_under_overload() {
    let load = OfferedLoad { per_second: 3_000, ..LOAD };
    let mut simulation = Simulation::new(admission(12, &["a"], ms(500)), &[load], 12);
    simulation.run_for(ms(30_000));
    assert_eq!(causes(&simulation), [Cause::Refusals]);
}

/// Guards against attributing the latency of a slow backend server to the queue.
#[test]
fn latency_of_the_backend_server_is_reported() {
    let mut simulation = Simulation::new(admission(12, &["a"], ms(10)), &[LOAD], 13);
    simulation.run_for(ms(30_000));
    assert_eq!(causes(&simulation), [Cause::BackendLatency]);
}

/// Guards against attributing the time in the queue to the backend server.
#[test]
fn queueing_is_reported() {
    let mut admission = admission(12, &["a"], ms(25));
    // One call per slot may wait, however short the target is.
    for round in 0..100 {
        let now = at(round * 100);
        for call in 0..24 {
            let _ = admission.arrive(now, &arrival(round * 24 + call, "a", now + ms(90)));
        }
        for call in 0..24 {
            let end = now + ms(if call < 12 { 20 } else { 40 });
            admission.complete(end, CallId(round * 24 + call), answered(ms(20)));
        }
    }
    let report = admission.report().remove(0);
    assert_eq!(report.causes.as_slice(), [Cause::Queueing], "{report:?}");
}

/// Guards against counting failures of the backend server as answers.
#[test]
fn failures_are_reported() {
    let mut admission = admission(12, &["a"], ms(500));
    for call in 0..100 {
        let _ = admission.arrive(at(call), &arrival(call, "a", at(call + 1000)));
        let outcome = if call % 10 == 0 { Outcome::Failed } else { Outcome::Answered };
        admission.complete(at(call + 1), CallId(call), Completion { latency: ms(1), outcome });
    }
    let report = admission.report().remove(0);
    assert_eq!(report.causes.as_slice(), [Cause::Failures]);
    assert_eq!((report.answered, report.failed, report.refused), (90, 10, 0));
}

/// Guards against a report that includes failures from before its windows.
#[test]
fn old_windows_are_dropped() {
    let mut admission = admission(12, &["a"], ms(500));
    for call in 0..100 {
        let now = at(call * 300);
        let _ = admission.arrive(now, &arrival(call, "a", now + ms(1000)));
        let outcome = if call < 10 { Outcome::Failed } else { Outcome::Answered };
        admission.complete(now + ms(1), CallId(call), Completion { latency: ms(1), outcome });
    }
    assert!(admission.report()[0].met);
}
