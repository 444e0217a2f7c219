//! Kills, freezes and stops of processes under load.

use std::path::PathBuf;

use shallottack_bench::faults::{FaultSettings, run};

/// Guards against a keyed request that runs twice, a refusal that wrongly says that a request was
/// not run, a crossed or partial answer, and a planned stop that cuts requests or takes new work,
/// while daemons, backend servers and the platform fail.
#[test]
fn callers_are_told_the_truth_under_faults() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    std::env::set_current_dir(root).unwrap();
    let settings = FaultSettings {
        deployment: PathBuf::from("examples/bench/four.yaml"),
        requests: 3_000,
        seed: 7,
        callers: 8,
        stops: 1,
    };
    let report = async_std::task::block_on(run(&settings)).unwrap();
    assert!(report.answered > 0, "{report:?}");
    let violations = [
        report.ran_twice,
        report.false_not_run,
        report.answered_without_run,
        report.wrong_or_partial_answers,
        report.cut_by_planned_stop as u64,
        report.failed_stops,
    ];
    assert_eq!(violations, [0; 6], "{report:?}");
    assert!(report.new_work_after_leave_ms < 2_000, "{report:?}");
}
