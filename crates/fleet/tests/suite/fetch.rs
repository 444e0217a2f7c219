//! Fetches of newer operators' rows from other daemons.

use proptest::prelude::*;
use shallottack_fleet::{FetchStep, FetchTracker};
use shallottack_kernel::{EndpointId, Time};

use crate::fixture::{at, id, ms};

/// Number of daemons that are remembered as sources.
const REMEMBERED: usize = 8;

/// Returns the next step while rows are missing and connections to all daemons are open.
fn step(fetches: &mut FetchTracker, now: Time) -> FetchStep {
    fetches.step(now, true, |_| true)
}

fn fetch(vm: &str) -> FetchStep {
    FetchStep::Fetch(id(vm))
}

/// Guards against several responses that saturate a slow link at the same time.
#[test]
fn one_fetch_is_pending_at_a_time() {
    let mut fetches = FetchTracker::default();
    assert!(fetches.record_source(at(0), &id("vm-1"), true));
    assert!(!fetches.record_source(at(0), &id("vm-2"), true), "the steps are taken already");
    assert_eq!(step(&mut fetches, at(0)), fetch("vm-1"));
    assert_eq!(step(&mut fetches, at(100)), FetchStep::Wait(ms(400)));
    fetches.end(&id("vm-1"), true);
    assert_eq!(step(&mut fetches, at(150)), fetch("vm-2"));
    fetches.end(&id("vm-2"), true);
    assert_eq!(fetches.step(at(200), false, |_| true), FetchStep::Done);
    assert!(fetches.record_source(at(300), &id("vm-1"), true));
}

/// Guards against a late change because the daemon asked first has ended: the fetch from it times
/// out only after most of the time within which a change has to be in force.
#[test]
fn unresponsive_daemon_does_not_delay_fetches() {
    let mut fetches = FetchTracker::default();
    for vm in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        fetches.record_source(at(0), &id(vm), true);
    }
    assert_eq!(step(&mut fetches, at(0)), fetch("vm-1"));
    assert_eq!(step(&mut fetches, at(500)), fetch("vm-2"));
    assert_eq!(step(&mut fetches, at(1_000)), fetch("vm-3"));
    assert_eq!(step(&mut fetches, at(1_500)), FetchStep::Wait(ms(500)), "three are pending");
    assert_eq!(step(&mut fetches, at(2_000)), fetch("vm-4"));
}

/// Guards against a configuration fetched from another data centre although it is about to arrive
/// from the own one or the store.
#[test]
fn remote_daemon_is_asked_later() {
    let mut fetches = FetchTracker::default();
    fetches.record_source(at(0), &id("vm-1"), false);
    assert_eq!(step(&mut fetches, at(0)), FetchStep::Wait(ms(400)));
    fetches.record_source(at(100), &id("vm-2"), true);
    assert_eq!(step(&mut fetches, at(100)), fetch("vm-2"));
}

/// Guards against a connection that is opened over a full link, which takes longer than a fetch, while
/// one to another daemon is open.
#[test]
fn daemon_with_a_connection_is_asked_first() {
    let mut fetches = FetchTracker::default();
    fetches.record_source(at(0), &id("vm-1"), true);
    fetches.record_source(at(0), &id("vm-2"), true);
    let step = fetches.step(at(0), true, |it| *it == id("vm-2"));
    assert_eq!(step, fetch("vm-2"));
}

/// Guards against a version that is missing until another message comes, since the daemons that were
/// asked did not answer.
#[test]
fn missing_rows_are_not_asked_for_again() {
    let mut fetches = FetchTracker::default();
    fetches.record_source(at(0), &id("vm-1"), true);
    assert_eq!(step(&mut fetches, at(0)), fetch("vm-1"));
    fetches.end(&id("vm-1"), false);
    assert_eq!(step(&mut fetches, at(100)), FetchStep::Wait(ms(400)));
    assert_eq!(step(&mut fetches, at(500)), fetch("vm-1"));
}

/// Guards against a daemon that is asked for ever for rows that it does not have: it stated a version that
/// nobody can send.
#[test]
fn daemon_that_has_answered_is_asked_again_and_again() {
    let mut fetches = FetchTracker::default();
    fetches.record_source(at(0), &id("vm-1"), true);
    assert_eq!(step(&mut fetches, at(0)), fetch("vm-1"));
    fetches.end(&id("vm-1"), true);
    assert_eq!(step(&mut fetches, at(600)), FetchStep::Done);
    assert!(fetches.record_source(at(700), &id("vm-1"), true), "it states newer rows again");
    assert_eq!(step(&mut fetches, at(700)), fetch("vm-1"));
}

proptest! {
    /// Guards against a daemon that is behind and asks nobody for long, or asks too often, whatever
    /// it is answered and when.
    #[test]
    fn fetches_go_on_at_a_bounded_rate(
        sources in 1_usize..12,
        answers in prop::collection::vec(prop::option::of(0_u64..3_000), 64),
    ) {
        let mut fetches = FetchTracker::default();
        for source in 0..sources {
            fetches.record_source(at(0), &id(&format!("vm-{source}")), source % 2 == 0);
        }
        // Since when a daemon could be asked.
        let (mut now, mut idle_since, mut begun): (u64, u64, Vec<u64>) = (0, 0, Vec::new());
        let mut ends: Vec<(u64, EndpointId)> = Vec::new();
        while now < 20_000 {
            ends.retain(|(end, vm)| {
                if *end <= now {
                    fetches.end(vm, false);
                }
                *end > now
            });
            match step(&mut fetches, at(now)) {
                FetchStep::Fetch(vm) => {
                    let answer = answers[begun.len() % answers.len()];
                    ends.push((now + answer.unwrap_or(8_000), vm));
                    begun.push(now);
                    idle_since = now;
                }
                FetchStep::Wait(wait) => {
                    if ends.len() == sources.min(REMEMBERED) {
                        idle_since = now;
                    }
                    prop_assert!(now - idle_since <= 1_050, "{now} after {begun:?}");
                    now += wait.as_millis().clamp(1, 50) as u64;
                }
                FetchStep::Done => prop_assert!(false, "rows are missing"),
            }
        }
        let of_second = |from: u64| begun.iter().filter(|it| (from..from + 1_000).contains(*it)).count();
        let most = (0..20).map(|it| of_second(it * 1_000)).max();
        // Each daemon that fails at once is asked again after half a second.
        prop_assert!(most <= Some(2 * REMEMBERED + 2), "{most:?}");
    }
}
