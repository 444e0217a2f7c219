//! Faulty endpoints, and only these, must be ejected.

use shallottack_kernel::ErrorKind;
use shallottack_routing::{Hint, NextStep, Outcome};

use crate::fixture::{
    ANSWERED, BROKEN, FAILED, Fixture, candidates, endpoint, ms, refused, service,
};

/// Returns the number of ejected endpoints among the first `count`.
fn ejected(fixture: &Fixture, count: usize) -> usize {
    (0..count)
        .filter(|it| fixture.router.is_ejected(fixture.now, &endpoint(&format!("e{it}"))))
        .count()
}

/// Guards against further calls to an endpoint that answers with failures.
#[test]
fn consecutive_failures_eject() {
    let mut fixture = Fixture::new(candidates(4));
    let bad = endpoint("e0");
    let counts = fixture.run_calls(100, |it| (ms(1), if *it == bad { FAILED } else { ANSWERED }));
    assert!(fixture.router.is_ejected(fixture.now, &bad));
    assert_eq!(counts[&bad], 5);
    assert_eq!(ejected(&fixture, 4), 1);
}

/// Guards against keeping an endpoint that fails every third call and thus never 5 in a row.
#[test]
fn failure_share_above_the_others_ejects() {
    let mut fixture = Fixture::new(candidates(4));
    let bad = endpoint("e0");
    let mut nth = 0;
    fixture.run_calls(600, |it| {
        nth += usize::from(*it == bad);
        (ms(1), if *it == bad && nth.is_multiple_of(3) { FAILED } else { ANSWERED })
    });
    assert!(fixture.router.is_ejected(fixture.now, &bad));
}

/// Guards against ejecting endpoints for a fault of the whole service, such as a bad release or a
/// failed dependency. With half of them ejected, the load on the others doubles.
#[test]
fn fault_of_all_endpoints_ejects_at_most_half() {
    for count in 1..=7 {
        let mut fixture = Fixture::new(candidates(count));
        for _ in 0..1_000 {
            fixture.run_calls(1, |_| (ms(1), FAILED));
            assert!(ejected(&fixture, count) * 2 <= count);
        }
    }
}

/// Guards against ejecting all endpoints of a service when all connections end at once.
#[test]
fn connection_faults_of_all_endpoints_leave_half() {
    for count in 1..=7 {
        let mut fixture = Fixture::new(candidates(count));
        for round in 0..200 {
            let outcome = if round % 2 == 0 { BROKEN } else { Outcome::Unreachable };
            fixture.run_calls(1, |_| (ms(1), outcome));
            assert!(ejected(&fixture, count) * 2 <= count);
        }
    }
}

/// Guards against a long ejection after a single false alarm. The endpoint must get calls again
/// after 1 s.
#[test]
fn ejection_by_false_alarm_ends_after_the_first_ejection_time() {
    let mut fixture = Fixture::new(candidates(4));
    let (call, chosen) = fixture.send(false);
    fixture.end_attempt(call, Outcome::Unreachable);
    assert!(fixture.router.is_ejected(fixture.now, &chosen));
    fixture.advance(ms(1001));
    let counts = fixture.run_calls(400, |_| (ms(1), ANSWERED));
    assert!(counts[&chosen] > 60, "{counts:?}");
}

/// Guards against sending a call to a dead endpoint every second forever.
#[test]
fn ejection_time_doubles_up_to_30_seconds() {
    let mut fixture = Fixture::new(candidates(4));
    let bad = endpoint("e0");
    let mut times = Vec::new();
    for _ in 0..2_000 {
        fixture
            .run_calls(1, |it| (ms(1), if *it == bad { Outcome::Unreachable } else { ANSWERED }));
        let start = fixture.now;
        while fixture.router.is_ejected(fixture.now, &bad) {
            fixture.advance(ms(100));
        }
        if fixture.now > start {
            times.push(fixture.now.since(start).as_secs());
        }
    }
    assert_eq!(times[..7], [1, 2, 4, 8, 16, 30, 30]);
}

/// Guards against treating overload as a fault, which would move the load to the other endpoints.
#[test]
fn refusals_for_overload_do_not_eject() {
    let mut fixture = Fixture::new(candidates(4));
    fixture.run_calls(200, |_| (ms(1), refused(ErrorKind::Overloaded)));
    assert_eq!(ejected(&fixture, 4), 0);
}

/// Guards against ejecting endpoints because of callers with very short deadlines.
#[test]
fn timeouts_shorter_than_the_target_do_not_eject() {
    let mut fixture = Fixture::new(candidates(4));
    fixture.run_calls(100, |_| (ms(20), Outcome::TimedOut));
    assert_eq!(ejected(&fixture, 4), 0);
    let bad = endpoint("e0");
    // A slow endpoint gets few calls, so 5 timeouts in a row take about a minute.
    let is_ejected = (0..400).any(|_| {
        fixture.run_calls(50, |it| match *it == bad {
            true => (ms(300), Outcome::TimedOut),
            false => (ms(5), ANSWERED),
        });
        fixture.router.is_ejected(fixture.now, &bad)
    });
    assert!(is_ejected);
    assert_eq!(ejected(&fixture, 4), 1);
}

/// Guards against a dead daemon that is reported to failure detection not at all, or once per call.
#[test]
fn hint_is_given_once_per_endpoint() {
    let mut fixture = Fixture::new(candidates(4));
    let (first, chosen) = fixture.send(false);
    fixture.end_attempt(first, Outcome::Unreachable);
    let hints = fixture.router.take_hints();
    assert_eq!(hints.as_slice(), [Hint::Unreachable { endpoint: chosen, incarnation: 1 }]);
    let mut single = Fixture::new(candidates(1));
    single.run_calls(50, |_| (ms(1), Outcome::Unreachable));
    assert_eq!(single.router.take_hints().len(), 1);
}

/// Guards against keeping an ejection after the process of the endpoint has been replaced.
#[test]
fn new_incarnation_is_not_ejected() {
    let mut fixture = Fixture::new(candidates(4));
    let (call, chosen) = fixture.send(false);
    assert!(matches!(fixture.end_attempt(call, Outcome::Unreachable), NextStep::Retry { .. }));
    let mut list = candidates(4);
    list.iter_mut().for_each(|it| it.incarnation = 2);
    fixture.router.set_endpoints(&service(), list);
    assert!(!fixture.router.is_ejected(fixture.now, &chosen));
}
