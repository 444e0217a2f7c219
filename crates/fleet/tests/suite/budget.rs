//! Retry budget shared by daemons while backend servers fail.

use std::time::Duration;

use shallottack_fleet::{RepeatCause, RetryBudget, RetryBudgetSettings};
use shallottack_kernel::Time;
use smallvec::smallvec;

use crate::fixture::{at, service};

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    extra: 60.0,
    window: Duration::from_secs(10),
    usable_share: 0.6,
};

/// Time in milliseconds after the start at which the first window has passed.
const SETTLED: u64 = 20_000;

fn after(ms: u64) -> Time {
    at(SETTLED + ms)
}

/// Returns the budget of one of ten daemons, which started long ago.
fn fleet_budget(settings: RetryBudgetSettings) -> RetryBudget {
    let mut budget = RetryBudget::new(settings, at(0));
    budget.set_daemons(at(0), 10);
    budget
}

fn budget() -> RetryBudget {
    fleet_budget(SETTINGS)
}

/// Guards against a retry storm: every request fails, each of ten daemons retries as often as it
/// may, and together they stay within the fleet's budget in each window.
#[test]
fn fleet_stays_within_the_budget_when_all_requests_fail() {
    let stock = service("stock");
    let mut daemons: Vec<RetryBudget> = (0..10).map(|_| budget()).collect();
    let mut sent: Vec<(u64, u32)> = Vec::new();
    for step in 0..2_000 {
        let now = after(step * 20);
        let mut retries = 0;
        for daemon in &mut daemons {
            daemon.record_request(now, &stock);
            retries += u32::from(daemon.try_repeat(now, &stock, RepeatCause::Shed).granted);
        }
        sent.push((step * 20, retries));
    }
    for &(start, _) in &sent {
        let window = sent.iter().filter(|it| (start..start + 10_000).contains(&it.0));
        let (steps, retries) = window.fold((0, 0), |(n, sum), it| (n + 1, sum + it.1));
        let allowed = 0.2 * f64::from(steps * 10) + 60.0;
        assert!(f64::from(retries) <= allowed, "{retries} retries of {allowed} from {start} ms");
    }
}

/// Guards against uncounted retries: a backend server that runs a retried request makes its own
/// calls again.
#[test]
fn nested_calls_of_retried_requests_use_up_the_budget() {
    let stock = service("stock");
    let mut budget = budget();
    for step in 0..200 {
        budget.record_request(after(step), &stock);
        budget.charge_calls(after(step), &smallvec![(stock.clone(), 0.5)]);
    }
    assert!(!budget.try_repeat(after(200), &stock, RepeatCause::Shed).granted);
}

/// Guards against a budget that does not recover after its window.
#[test]
fn retries_count_for_one_window() {
    let stock = service("stock");
    let mut budget = budget();
    budget.record_request(after(0), &stock);
    while budget.try_repeat(after(0), &stock, RepeatCause::Shed).granted {}
    assert!(!budget.try_repeat(after(5_000), &stock, RepeatCause::Shed).granted);
    assert!(budget.try_repeat(after(10_500), &stock, RepeatCause::Shed).granted);
}

/// Guards against repeats that return before the window has passed: two bursts of repeats lie in one
/// window, the requests of the first before it.
#[test]
fn repeats_return_before_the_window_has_passed() {
    let stock = service("stock");
    let settings = RetryBudgetSettings { usable_share: 1.0, ..SETTINGS };
    let mut budget = fleet_budget(settings);
    let mut repeats = 0.0;
    for (requests, time) in [(0, 995), (10_005, 10_010)] {
        (0..100).for_each(|_| budget.record_request(after(requests), &stock));
        while budget.try_repeat(after(time), &stock, RepeatCause::Shed).granted {
            repeats += 1.0;
        }
    }
    assert!(repeats <= 0.2 * 100.0 + 6.0, "{repeats} repeats from 995 to 10,010 ms");
}

/// Guards against daemons that spend the budget of the window again after a restart, or in place of
/// the whole fleet while they know no other daemon.
#[test]
fn started_daemon_spends_the_budget_of_others() {
    let stock = service("stock");
    let spend = |budget: &mut RetryBudget, time: Time| {
        let repeats = (0..100).map(|_| budget.try_repeat(time, &stock, RepeatCause::Shed));
        repeats.filter(|it| it.granted).count() as f64
    };
    let (mut earlier, restart) = (budget(), after(1_000));
    earlier.record_request(after(0), &stock);
    let mut spent = spend(&mut earlier, after(0));
    assert!(spent > 0.0);
    let mut budget = RetryBudget::new(SETTINGS, restart);
    budget.record_request(restart, &stock);
    assert_eq!(spend(&mut budget, restart), 0.0);
    budget.set_daemons(restart, 10);
    spent += spend(&mut budget, restart);
    assert!(spent <= 0.2 * 2.0 + 6.0, "{spent} repeats");
    assert!(spend(&mut budget, after(11_100)) > 0.0);
}

/// Guards against daemons that divide the budget among those that they still see, while the others
/// are cut off and spend their parts.
#[test]
fn daemons_that_are_cut_off_lose_their_parts() {
    let stock = service("stock");
    let mut budget = budget();
    budget.record_request(after(0), &stock);
    let allowed = budget.usage(after(0), &stock).allowed;
    budget.set_daemons(after(0), 3);
    assert_eq!(budget.usage(after(0), &stock).allowed, allowed);
    budget.set_daemons(after(0), 20);
    assert!(budget.usage(after(0), &stock).allowed < allowed);
}
