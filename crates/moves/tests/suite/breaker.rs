//! The guard of one daemon.

use std::time::Duration;

use shallottack_kernel::Time;
use shallottack_moves::{CircuitBreaker, Outcome, Settings, Side};

use crate::world::{FAILED, GOOD, class};

/// Returns the number of calls after which a guard stops.
fn stops_after(guard: &mut CircuitBreaker, outcome: Outcome, most: usize) -> Option<usize> {
    let settings = Settings::default();
    (1..=most).find(|_| guard.observe(&settings, Time(0), Side::New, outcome).is_some())
}

/// Guards against a daemon that waits for the fleet while every call fails.
#[test]
fn burst_of_failures_stops_the_daemon() {
    let mut guard = CircuitBreaker::new(&class());
    let calls = stops_after(&mut guard, FAILED, 10).expect("the guard stops");
    assert!(calls <= 5, "{calls} calls failed");
    assert!(guard.is_open(Time(0)));
    assert!(!guard.is_open(Time(0) + Settings::default().breaker_hold));
}

/// Guards against a guard that looks at errors only.
#[test]
fn burst_of_slow_calls_stops_the_daemon() {
    let slow = Outcome { latency: Duration::from_millis(90), ..GOOD };
    assert!(stops_after(&mut CircuitBreaker::new(&class()), slow, 5).is_some());
    assert!(
        stops_after(&mut CircuitBreaker::new(&class()), Outcome { cold: true, ..slow }, 50)
            .is_none()
    );
}

/// Guards against a guard that stops for the faults of a shared backend.
#[test]
fn shared_fault_does_not_stop_the_daemon() {
    let settings = Settings::default();
    let mut guard = CircuitBreaker::new(&class());
    for _ in 0..100 {
        guard.observe(&settings, Time(0), Side::Old, FAILED);
    }
    assert_eq!(stops_after(&mut guard, FAILED, 100), None);
}

/// Guards against a guard that stops at the usual rate of failures.
#[test]
fn single_failures_do_not_stop_the_daemon() {
    let settings = Settings::default();
    let mut guard = CircuitBreaker::new(&class());
    for call in 0..20_000 {
        let outcome = if call % 100 == 0 { FAILED } else { GOOD };
        assert_eq!(guard.observe(&settings, Time(0), Side::New, outcome), None);
    }
}
