//! Tests of the circuit breaker.

use std::time::Duration;

use shallottack_kernel::Time;
use shallottack_moves::{CircuitBreaker, Outcome, Settings, Side};

use crate::support::{FAILED, GOOD, class};

/// Returns the number of calls after which the circuit breaker opens, up to `max`.
fn opens_after(breaker: &mut CircuitBreaker, outcome: Outcome, max: usize) -> Option<usize> {
    let settings = Settings::default();
    (1..=max).find(|_| breaker.observe(&settings, Time(0), Side::New, outcome).is_some())
}

/// Guards against a daemon that waits for a decision of the holder while every call fails.
#[test]
fn burst_of_failures_opens_the_breaker() {
    let mut breaker = CircuitBreaker::new(&class());
    let calls = opens_after(&mut breaker, FAILED, 10).expect("the circuit breaker opens");
    assert!(calls <= 5, "{calls} calls failed");
    assert!(breaker.is_open(Time(0)));
    assert!(!breaker.is_open(Time(0) + Settings::default().breaker_hold));
}

/// Guards against a circuit breaker that counts only failures.
#[test]
fn burst_of_slow_calls_opens_the_breaker() {
    let slow = Outcome { latency: Duration::from_millis(90), ..GOOD };
    assert!(opens_after(&mut CircuitBreaker::new(&class()), slow, 5).is_some());
    assert!(
        opens_after(&mut CircuitBreaker::new(&class()), Outcome { cold: true, ..slow }, 50)
            .is_none()
    );
}

/// Guards against a circuit breaker that opens because of a fault of a shared backend.
#[test]
fn shared_fault_does_not_open_the_breaker() {
    let settings = Settings::default();
    let mut breaker = CircuitBreaker::new(&class());
    for _ in 0..100 {
        breaker.observe(&settings, Time(0), Side::Old, FAILED);
    }
    assert_eq!(opens_after(&mut breaker, FAILED, 100), None);
}

/// Guards against a circuit breaker that opens at the allowed rate of failures.
#[test]
fn single_failures_do_not_open_the_breaker() {
    let settings = Settings::default();
    let mut breaker = CircuitBreaker::new(&class());
    for call in 0..20_000 {
        let outcome = if call % 100 == 0 { FAILED } else { GOOD };
        assert_eq!(breaker.observe(&settings, Time(0), Side::New, outcome), None);
    }
}
