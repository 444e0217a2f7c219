//! Fetches of newer operators' rows from other daemons.

use shallottack_fleet::{FetchDecision, FetchTracker};

use crate::fixture::{at, id, ms};

/// Guards against several responses that saturate a slow link at the same time.
#[test]
fn one_fetch_is_pending_at_a_time() {
    let mut fetches = FetchTracker::default();
    assert_eq!(fetches.decide(at(0), true), FetchDecision::Now);
    assert!(fetches.begin(at(0), &id("vm-1")));
    assert_eq!(fetches.decide(at(100), true), FetchDecision::Skip);
    assert!(!fetches.begin(at(100), &id("vm-2")));
    fetches.end(&id("vm-1"));
    assert!(fetches.begin(at(150), &id("vm-2")));
}

/// Guards against a late change because the daemon asked first has ended: the fetch from it times
/// out only after most of the time within which a change has to be in force.
#[test]
fn unresponsive_daemon_does_not_delay_fetches() {
    let mut fetches = FetchTracker::default();
    assert!(fetches.begin(at(0), &id("vm-1")));
    assert_eq!(fetches.decide(at(600), true), FetchDecision::Now);
    assert!(!fetches.begin(at(600), &id("vm-1")), "a fetch from it is pending");
    assert!(fetches.begin(at(600), &id("vm-2")));
    assert!(!fetches.begin(at(2_000), &id("vm-3")), "two fetches are pending");
    fetches.end(&id("vm-1"));
    assert!(fetches.begin(at(2_000), &id("vm-3")));
}

/// Guards against a configuration fetched from another data centre although it is about to arrive
/// from the own one or the store.
#[test]
fn remote_daemon_is_asked_later() {
    assert_eq!(FetchTracker::default().decide(at(0), false), FetchDecision::After(ms(400)));
}
