//! Shared retry budget under failing backend servers.

use shallottack_fleet::{RetryBudget, RetryBudgetSettings};

use crate::fixture::{at, ms, service};

fn budget() -> RetryBudget {
    RetryBudget::new(RetryBudgetSettings {
        ratio: 0.2,
        extra: 60.0,
        window: ms(10_000),
        usable_share: 0.6,
    })
}

/// Guards against a fleet that multiplies its load when every request fails: each of ten daemons
/// repeats whatever it may, and together they stay under the fleet's budget in each window.
#[test]
fn fleet_stays_within_the_budget_when_all_requests_fail() {
    let stock = service("stock");
    let mut daemons: Vec<RetryBudget> = (0..10).map(|_| budget()).collect();
    let mut sent: Vec<(u64, u32)> = Vec::new();
    for step in 0..2_000 {
        let now = at(step * 20);
        let mut repeats = 0;
        for daemon in &mut daemons {
            daemon.record_request(now, &stock);
            repeats += u32::from(daemon.try_retry(now, &stock, 10));
        }
        sent.push((step * 20, repeats));
    }
    for &(start, _) in &sent {
        let window = sent.iter().filter(|it| (start..start + 10_000).contains(&it.0));
        let (steps, repeats) = window.fold((0, 0), |(n, sum), it| (n + 1, sum + it.1));
        let allowed = 0.2 * f64::from(steps * 10) + 60.0;
        assert!(f64::from(repeats) <= allowed, "{repeats} repeats of {allowed} from {start} ms");
    }
}

/// Guards against repeats by backend servers whose own calls nobody counted.
#[test]
fn nested_calls_of_repeated_runs_use_up_the_budget() {
    let stock = service("stock");
    let mut budget = budget();
    for step in 0..200 {
        budget.record_request(at(step), &stock);
        budget.record_nested(at(step), &stock, 0.5);
    }
    assert!(!budget.try_retry(at(200), &stock, 10));
}

/// Guards against a budget that is never given back.
#[test]
fn repeats_count_for_one_window() {
    let stock = service("stock");
    let mut budget = budget();
    budget.record_request(at(0), &stock);
    while budget.try_retry(at(0), &stock, 10) {}
    assert!(!budget.try_retry(at(5_000), &stock, 10));
    assert!(budget.try_retry(at(10_500), &stock, 10));
}
