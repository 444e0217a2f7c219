//! Questions for newer rows of the operators.

use shallottack_fleet::{FetchDecision, FetchTracker};

use crate::fixture::{at, id, ms};

/// Guards against several answers that fill a slow link at the same time.
#[test]
fn one_daemon_is_asked_at_a_time() {
    let mut fetches = FetchTracker::default();
    assert_eq!(fetches.decide(at(0), true), FetchDecision::Now);
    assert!(fetches.begin(at(0), &id("vm-1")));
    assert_eq!(fetches.decide(at(100), true), FetchDecision::Skip);
    assert!(!fetches.begin(at(100), &id("vm-2")));
    fetches.end(&id("vm-1"));
    assert!(fetches.begin(at(150), &id("vm-2")));
}

/// Guards against a change that is late because the daemon that was asked first has ended: its
/// question is given up on after most of the time in which a change has to be in force.
#[test]
fn daemon_that_does_not_answer_holds_up_nothing() {
    let mut fetches = FetchTracker::default();
    assert!(fetches.begin(at(0), &id("vm-1")));
    assert_eq!(fetches.decide(at(600), true), FetchDecision::Now);
    assert!(!fetches.begin(at(600), &id("vm-1")), "it is being asked");
    assert!(fetches.begin(at(600), &id("vm-2")));
    assert!(!fetches.begin(at(2_000), &id("vm-3")), "two are being asked");
    fetches.end(&id("vm-1"));
    assert!(fetches.begin(at(2_000), &id("vm-3")));
}

/// Guards against a whole configuration from another data centre that the own one, or the store, is
/// about to bring.
#[test]
fn far_daemon_is_asked_later() {
    assert_eq!(FetchTracker::default().decide(at(0), false), FetchDecision::After(ms(400)));
}
