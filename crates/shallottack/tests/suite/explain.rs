//! `explain`: steps and cause of failure of a request from the logs of several daemons.

use std::process::{Command, Output};

fn explain(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shallottack"))
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/suite/logs"))
        .arg("explain")
        .args(arguments)
        .output()
        .unwrap()
}

fn text(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).unwrap()
}

/// Guards against lines of another request, a wrong order across logs, and a rejection that is not
/// traced to the refusal that caused it.
#[test]
fn rejection_is_traced_to_its_refusal() {
    let output = explain(&["6fd2", "medina-1.log", "lac-1.log"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(text(&output));
}

/// Guards against reporting a cause for a request that was answered.
#[test]
fn answered_request_has_no_cause() {
    let output = explain(&["77aa", "medina-1.log", "lac-1.log", "--json"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(text(&output));
}

/// Guards against unknown requests and unreadable logs that are not reported.
#[test]
fn unknown_request_and_missing_log_are_reported() {
    let output = explain(&["ffff", "medina-1.log"]);
    assert_eq!((output.status.code(), text(&output)), (Some(1), "no line of request ffff\n"));
    let output = explain(&["6fd2", "absent.log"]);
    assert_ne!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stderr).contains("absent.log"));
}
