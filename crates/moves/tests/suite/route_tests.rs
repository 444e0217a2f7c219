//! Tests of the sequential tests.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use shallottack_moves::{Counts, Measure, Outcome, RouteEvidence, RouteTests, Settings, Side};

use crate::support::{FAILED, GOOD, class};

fn route_tests(settings: &Settings) -> RouteTests {
    RouteTests::new(settings, 1, &class())
}

/// Feeds time windows with 60 calls per group. Calls of the given endpoints of the new group fail
/// with probability `bad`, calls of the old group with probability `old_bad`.
fn feed(tests: &mut RouteTests, windows: usize, endpoints: &[usize], bad: f64, old_bad: f64) {
    let settings = Settings::default();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..windows {
        let mut counts = RouteEvidence::default();
        for call in 0..60 {
            let mut outcome = |rate: f64| if rng.random::<f64>() < rate { FAILED } else { GOOD };
            let rate = if endpoints.contains(&(call % 6)) { bad } else { 0.0 };
            counts.add(Side::New, call, outcome(rate), class().within);
            counts.add(Side::Old, call, outcome(old_bad), class().within);
        }
        tests.observe(&settings, &counts);
    }
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// Guards against a faulty version that is not detected.
#[test]
fn faulty_version_is_detected_within_2_s() {
    let mut it = route_tests(&Settings::default());
    feed(&mut it, 20, &ALL, 0.1, 0.0);
    assert_eq!(it.alarm(), Some(Measure::Failures));
}

/// Guards against a fault of a shared backend that rolls back a good version.
#[test]
fn shared_fault_is_not_blamed_on_the_version() {
    let mut it = route_tests(&Settings::default());
    feed(&mut it, 50, &ALL, 0.0, 0.0);
    feed(&mut it, 300, &ALL, 0.6, 0.6);
    assert_eq!(it.alarm(), None);
    assert_eq!(it.target_miss(Settings::default().target_score), None);
}

/// Guards against blaming the version for a fault of a shared backend that ends while all circuit
/// breakers are open: the new group's last calls are bad, the old group's later calls are good.
#[test]
fn shared_fault_that_ends_while_breakers_are_open_is_not_blamed_on_the_version() {
    let settings = Settings::default();
    let mut it = route_tests(&settings);
    feed(&mut it, 50, &ALL, 0.0, 0.0);
    feed(&mut it, 50, &ALL, 0.95, 0.95);
    let mut counts = RouteEvidence::default();
    (0..1_200).for_each(|call| counts.add(Side::Old, call, GOOD, class().within));
    for _ in 0..30 {
        it.observe(&settings, &counts);
        assert_eq!(it.target_miss(settings.target_score / 2.0), None);
    }
    counts.add(Side::New, 0, GOOD, class().within);
    it.observe(&settings, &counts);
    assert_eq!(it.target_miss(settings.target_score / 2.0), None);
}

/// Guards against stalls of two endpoints that roll back a good version.
#[test]
fn stalls_of_two_endpoints_are_not_blamed_on_the_version() {
    let mut it = route_tests(&Settings::default());
    feed(&mut it, 50, &ALL, 0.0, 0.0);
    feed(&mut it, 10, &[1, 4], 0.9, 0.0);
    assert_eq!(it.alarm(), None);
    assert_eq!(it.target_miss(Settings::default().target_score), None);
    feed(&mut it, 20, &[1, 3, 4], 0.9, 0.0);
    assert_eq!(it.alarm(), Some(Measure::Failures));
}

/// Guards against counting calls during a cold start as slow.
#[test]
fn cold_calls_are_not_timed() {
    let mut counts = Counts::default();
    let slow = Outcome { latency: Duration::from_millis(300), ..GOOD };
    counts.add(Outcome { cold: true, ..slow }, class().within);
    assert_eq!((counts.calls, counts.timed, counts.slow), (1, 0, 0));
    counts.add(slow, class().within);
    assert_eq!((counts.calls, counts.timed, counts.slow), (2, 1, 1));
}

/// Guards against a comparison with more false alarms than configured.
#[test]
fn false_alarms_keep_to_the_configured_rate() {
    let settings = Settings { false_alarms: 0.05, horizon: 80, ..Settings::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut alarms = 0;
    for _ in 0..400 {
        let mut it = RouteTests::new(&settings, 1, &class());
        for _ in 0..80 {
            let mut counts = RouteEvidence::default();
            // At the limit of the tolerance: the rate of the new group is twice that of the old.
            for (side, calls, rate) in [(Side::New, 20, 0.08), (Side::Old, 60, 0.04)] {
                for call in 0..calls {
                    let outcome = if rng.random::<f64>() < rate { FAILED } else { GOOD };
                    counts.add(side, call, outcome, class().within);
                }
            }
            it.observe(&settings, &counts);
            if it.alarm().is_some() {
                alarms += 1;
                break;
            }
        }
    }
    // 0.05 of 400 moves plus three standard deviations.
    assert!(alarms <= 33, "{alarms} false alarms in 400 moves");
}

/// Guards against treating clustered faults as independent: both groups have the same bursts, but
/// at different times.
#[test]
fn clustered_faults_of_both_groups_are_not_blamed_on_the_version() {
    let mut it = route_tests(&Settings::default());
    for _ in 0..30 {
        feed(&mut it, 10, &ALL, 0.0, 0.0);
        feed(&mut it, 10, &ALL, 0.0, 0.6);
        feed(&mut it, 10, &ALL, 0.0, 0.0);
        feed(&mut it, 10, &ALL, 0.6, 0.0);
        assert_eq!(it.alarm(), None);
        assert_eq!(it.target_miss(Settings::default().target_score), None);
    }
}

/// Guards against a faulty version that is detected only after dozens of faults on a route with few
/// calls, because excluding buckets removes most of them.
#[test]
fn fault_on_a_sparse_route_is_detected_after_a_few_calls() {
    let settings = Settings::default();
    let mut it = route_tests(&settings);
    for call in 0..4 {
        let mut counts = RouteEvidence::default();
        counts.add(Side::New, call, FAILED, class().within);
        it.observe(&settings, &counts);
        (0..9).for_each(|_| it.observe(&settings, &RouteEvidence::default()));
    }
    assert!(it.target_miss(settings.target_score).is_some());
}
