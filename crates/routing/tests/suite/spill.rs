//! Calls must spill over to another data centre only if that meets their latency target.

use shallottack_kernel::EndpointId;
use shallottack_routing::{Candidate, LoadReport};

use crate::fixture::{ANSWERED, Fixture, answered_with, candidate, ms};

fn two_centres() -> Vec<Candidate> {
    ["l0", "l1", "l2"]
        .map(|it| candidate(it, "here"))
        .into_iter()
        .chain(["r0", "r1", "r2"].map(|it| candidate(it, "there")))
        .collect()
}

fn is_local(endpoint: &EndpointId) -> bool {
    endpoint.as_str().starts_with('l')
}

/// Runs 500 calls and returns the number of those that went to local endpoints.
fn run_and_count_local(fixture: &mut Fixture, local_ms: u64, remote_ms: u64) -> usize {
    let counts = fixture.run_calls(500, |it| {
        let time = ms(if is_local(it) { local_ms } else { remote_ms });
        (time, ANSWERED)
    });
    counts.iter().filter(|it| is_local(it.0)).map(|it| it.1).sum()
}

/// Guards against leaving the local data centre for one that is merely faster.
#[test]
fn calls_stay_local_while_the_target_is_met() {
    let mut fixture = Fixture::new(two_centres());
    assert_eq!(run_and_count_local(&mut fixture, 60, 5), 500);
}

/// Guards against calls that miss their target in the local data centre while another one meets it,
/// and against calls that never return.
#[test]
fn calls_spill_over_when_the_target_is_missed_and_return() {
    let mut fixture = Fixture::new(two_centres());
    run_and_count_local(&mut fixture, 200, 10);
    // Local endpoints still get calls once their last measurements are old.
    let kept = run_and_count_local(&mut fixture, 200, 10);
    assert!(kept < 150, "{kept} of 500 stayed");
    run_and_count_local(&mut fixture, 20, 10);
    fixture.advance(ms(10_000));
    let back = run_and_count_local(&mut fixture, 20, 10);
    assert!(back > 450, "{back} of 500 returned");
}

/// Guards against moving an overload to another data centre that doesn't meet the target either.
#[test]
fn calls_stay_when_no_data_centre_meets_the_target() {
    let mut fixture = Fixture::new(two_centres());
    run_and_count_local(&mut fixture, 200, 300);
    let kept = run_and_count_local(&mut fixture, 200, 300);
    assert!(kept > 350, "{kept} of 500 stayed");
}

/// Guards against ignoring a long reported queue until the answers of its calls arrive.
#[test]
fn reported_queues_make_calls_spill_over() {
    let mut fixture = Fixture::new(two_centres());
    let counts = fixture.run_calls(500, |it| {
        let queued = if is_local(it) { 200 } else { 0 };
        (ms(20), answered_with(LoadReport { in_flight: 9, queued, limit: 9 }))
    });
    let kept: usize = counts.iter().filter(|it| is_local(it.0)).map(|it| it.1).sum();
    assert!(kept < 100, "{kept} of 500 stayed");
}

/// Guards against failing calls when the local data centre has no endpoint.
#[test]
fn calls_go_elsewhere_when_no_local_endpoint_is_left() {
    let remote = two_centres().split_off(3);
    let mut fixture = Fixture::new(remote);
    assert_eq!(run_and_count_local(&mut fixture, 1, 20), 0);
}
