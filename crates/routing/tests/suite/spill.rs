//! Guards against calls crossing data centres needlessly, or staying in an overloaded one.

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

fn local(endpoint: &EndpointId) -> bool {
    endpoint.as_str().starts_with('l')
}

fn share(fixture: &mut Fixture, local_ms: u64, remote_ms: u64) -> usize {
    let counts = fixture.calls(500, |it| {
        let time = ms(if local(it) { local_ms } else { remote_ms });
        (time, ANSWERED)
    });
    counts.iter().filter(|it| local(it.0)).map(|it| it.1).sum()
}

/// Guards against leaving the own data centre for one that is merely quicker.
#[test]
fn own_data_centre_is_kept_while_it_meets_the_target() {
    let mut fixture = Fixture::new(two_centres());
    assert_eq!(share(&mut fixture, 60, 5), 500);
}

/// Guards against calls that miss their target at home while another data centre has room, and
/// against never coming back.
#[test]
fn calls_spill_over_when_the_target_is_missed_and_return() {
    let mut fixture = Fixture::new(two_centres());
    share(&mut fixture, 200, 10);
    // Local endpoints are still tried when their last answers have become old.
    let kept = share(&mut fixture, 200, 10);
    assert!(kept < 150, "{kept} of 500 stayed");
    share(&mut fixture, 20, 10);
    fixture.pass(ms(10_000));
    let back = share(&mut fixture, 20, 10);
    assert!(back > 450, "{back} of 500 came back");
}

/// Guards against moving the overload: when no data centre meets the target, calls stay.
#[test]
fn calls_stay_when_no_data_centre_meets_the_target() {
    let mut fixture = Fixture::new(two_centres());
    share(&mut fixture, 200, 300);
    let kept = share(&mut fixture, 200, 300);
    assert!(kept > 350, "{kept} of 500 stayed");
}

/// Guards against a long reported queue going unnoticed until its answers come.
#[test]
fn reported_queues_make_calls_spill_over() {
    let mut fixture = Fixture::new(two_centres());
    let counts = fixture.calls(500, |it| {
        let queued = if local(it) { 200 } else { 0 };
        (ms(20), answered_with(LoadReport { in_flight: 9, queued, limit: 9 }))
    });
    let kept: usize = counts.iter().filter(|it| local(it.0)).map(|it| it.1).sum();
    assert!(kept < 100, "{kept} of 500 stayed");
}

/// Guards against a data centre without endpoints failing calls.
#[test]
fn calls_go_elsewhere_when_no_local_endpoint_is_left() {
    let remote = two_centres().split_off(3);
    let mut fixture = Fixture::new(remote);
    assert_eq!(share(&mut fixture, 1, 20), 0);
}
