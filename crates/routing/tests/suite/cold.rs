//! Cold endpoints must get a growing share of the calls.

use crate::fixture::{ANSWERED, Fixture, candidates, endpoint, ms};

/// Guards against a cold endpoint getting its full share of the calls at once, and against a share
/// that does not grow to the full one within the warm-up time.
#[test]
fn share_of_a_cold_endpoint_grows() {
    let mut list = candidates(4);
    list[0].cold_since = Some(crate::fixture::at(1000));
    let mut fixture = Fixture::new(list);
    let mut shares = Vec::new();
    for _ in 0..6 {
        // 4,000 calls of 0.5 ms each take 2 s.
        let counts = fixture.run_calls(4_000, |_| (ms(1) / 2, ANSWERED));
        shares.push(counts.get(&endpoint("e0")).copied().unwrap_or(0));
    }
    assert!(shares[0] > 0 && shares[0] < 400, "{shares:?}");
    assert!(shares[..4].is_sorted(), "{shares:?}");
    assert!((900..1_100).contains(&shares[5]), "{shares:?}");
}

/// Guards against finding no endpoint when all endpoints of a service are cold.
#[test]
fn cold_endpoints_are_used_when_there_are_no_others() {
    let mut list = candidates(2);
    list.iter_mut().for_each(|it| it.cold_since = Some(crate::fixture::at(1000)));
    let mut fixture = Fixture::new(list);
    let counts = fixture.run_calls(200, |_| (ms(0), ANSWERED));
    assert_eq!(counts.values().sum::<usize>(), 200);
}
