//! Guards against faulty endpoints that stay and good ones that go.

use shallottack_kernel::ErrorKind;
use shallottack_routing::{Hint, NextStep, Outcome};

use crate::fixture::{
    ANSWERED, BROKEN, FAILED, Fixture, candidates, endpoint, ms, refused, service,
};

fn ejected(fixture: &Fixture, count: usize) -> usize {
    (0..count)
        .filter(|it| fixture.router.is_ejected(fixture.now, &endpoint(&format!("e{it}"))))
        .count()
}

/// Guards against calls to an endpoint that answers with failures.
#[test]
fn consecutive_failures_eject() {
    let mut fixture = Fixture::new(candidates(4));
    let bad = endpoint("e0");
    let counts = fixture.calls(100, |it| (ms(1), if *it == bad { FAILED } else { ANSWERED }));
    assert!(fixture.router.is_ejected(fixture.now, &bad));
    assert_eq!(counts[&bad], 5);
    assert_eq!(ejected(&fixture, 4), 1);
}

/// Guards against an endpoint that fails every third call and so never fails 5 in a row.
#[test]
fn failure_share_above_the_others_ejects() {
    let mut fixture = Fixture::new(candidates(4));
    let bad = endpoint("e0");
    let mut nth = 0;
    fixture.calls(600, |it| {
        nth += usize::from(*it == bad);
        (ms(1), if *it == bad && nth.is_multiple_of(3) { FAILED } else { ANSWERED })
    });
    assert!(fixture.router.is_ejected(fixture.now, &bad));
}

/// Guards against blaming endpoints for a fault of the whole service, such as a bad release or a
/// failed dependency: ejecting half of them would double the load on the rest.
#[test]
fn fault_of_all_endpoints_ejects_at_most_half() {
    for count in 1..=7 {
        let mut fixture = Fixture::new(candidates(count));
        for _ in 0..1_000 {
            fixture.calls(1, |_| (ms(1), FAILED));
            assert!(ejected(&fixture, count) * 2 <= count);
        }
    }
}

/// Guards against ejection emptying a service when every connection ends at once.
#[test]
fn connection_faults_of_all_endpoints_leave_half() {
    for count in 1..=7 {
        let mut fixture = Fixture::new(candidates(count));
        for round in 0..200 {
            let outcome = if round % 2 == 0 { BROKEN } else { Outcome::Unreachable };
            fixture.calls(1, |_| (ms(1), outcome));
            assert!(ejected(&fixture, count) * 2 <= count);
        }
    }
}

/// Guards against a single false alarm taking an endpoint out for long: it is back after 1 s.
#[test]
fn false_alarm_ends_after_the_first_ejection_time() {
    let mut fixture = Fixture::new(candidates(4));
    let (call, hit) = fixture.send(false);
    fixture.outcome(call, Outcome::Unreachable);
    assert!(fixture.router.is_ejected(fixture.now, &hit));
    fixture.pass(ms(1001));
    let counts = fixture.calls(400, |_| (ms(1), ANSWERED));
    assert!(counts[&hit] > 60, "{counts:?}");
}

/// Guards against probing a dead endpoint every second for ever.
#[test]
fn ejection_time_doubles_up_to_30_seconds() {
    let mut fixture = Fixture::new(candidates(4));
    let bad = endpoint("e0");
    let mut times = Vec::new();
    for _ in 0..2_000 {
        fixture.calls(1, |it| (ms(1), if *it == bad { Outcome::Unreachable } else { ANSWERED }));
        let start = fixture.now;
        while fixture.router.is_ejected(fixture.now, &bad) {
            fixture.pass(ms(100));
        }
        if fixture.now > start {
            times.push(fixture.now.since(start).as_secs());
        }
    }
    assert_eq!(times[..7], [1, 2, 4, 8, 16, 30, 30]);
}

/// Guards against overload being taken for a fault, which would push its load onto the others.
#[test]
fn refusals_for_load_do_not_eject() {
    let mut fixture = Fixture::new(candidates(4));
    fixture.calls(200, |_| (ms(1), refused(ErrorKind::Overloaded)));
    assert_eq!(ejected(&fixture, 4), 0);
}

/// Guards against callers with very short deadlines getting endpoints ejected.
#[test]
fn timeouts_shorter_than_the_target_do_not_eject() {
    let mut fixture = Fixture::new(candidates(4));
    fixture.calls(100, |_| (ms(20), Outcome::TimedOut));
    assert_eq!(ejected(&fixture, 4), 0);
    let bad = endpoint("e0");
    // A slow endpoint gets few calls, so that 5 in a row take a minute.
    let found = (0..400).any(|_| {
        fixture.calls(50, |it| match *it == bad {
            true => (ms(300), Outcome::TimedOut),
            false => (ms(5), ANSWERED),
        });
        fixture.router.is_ejected(fixture.now, &bad)
    });
    assert!(found);
    assert_eq!(ejected(&fixture, 4), 1);
}

/// Guards against membership learning of a dead daemon only by its own probes, and against a hint
/// for every call.
#[test]
fn hints_name_the_endpoint_once() {
    let mut fixture = Fixture::new(candidates(4));
    let (first, hit) = fixture.send(false);
    fixture.outcome(first, Outcome::Unreachable);
    let hints = fixture.router.take_hints();
    assert_eq!(hints.as_slice(), [Hint::Unreachable { endpoint: hit, incarnation: 1 }]);
    let mut single = Fixture::new(candidates(1));
    single.calls(50, |_| (ms(1), Outcome::Unreachable));
    assert_eq!(single.router.take_hints().len(), 1);
}

/// Guards against evidence of a process that has been replaced being held against the new one.
#[test]
fn new_incarnation_starts_afresh() {
    let mut fixture = Fixture::new(candidates(4));
    let (call, hit) = fixture.send(false);
    assert!(matches!(fixture.outcome(call, Outcome::Unreachable), NextStep::Retry { .. }));
    let mut list = candidates(4);
    list.iter_mut().for_each(|it| it.incarnation = 2);
    fixture.router.set_endpoints(&service(), list);
    assert!(!fixture.router.is_ejected(fixture.now, &hit));
}
