//! Compares sequential tests on the same generated windows of one route.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use shallottack_bench::report::{quantile, rounded};
use shallottack_kernel::RouteName;
use shallottack_moves::{Outcome, RouteClass, RouteEvidence, RouteTests, Settings, Side};

use crate::world::exponential;

const WITHIN: Duration = Duration::from_millis(80);
const ALLOWED: f64 = 0.01;
const ALPHA: f64 = 0.001;
/// Calls per window of 100 ms.
const CALLS: usize = 100;
const WINDOWS: u64 = 900;
const ENDPOINTS: usize = 6;
const NAMES: [&str; 5] =
    ["comparison", "class_target", "sprt_on_slow_calls", "mixture_on_means", "bound_on_share"];

/// Name, share of the new group, window of the onset, rate of slow calls at the new and at the old
/// group from then on, and whether endpoints stall.
const CASES: [(&str, f64, u64, f64, f64, bool); 7] = [
    ("no_fault", 0.05, 300, 0.0, 0.0, false),
    ("stalls", 0.05, 300, 0.0, 0.0, true),
    ("shared_fault", 0.5, 300, 0.5, 0.5, false),
    ("at_once_0.1_share_0.05", 0.05, 0, 0.1, 0.0, false),
    ("late_0.1_share_0.05", 0.05, 300, 0.1, 0.0, false),
    ("late_0.1_share_0.95", 0.95, 300, 0.1, 0.0, false),
    ("late_0.5_share_0.95", 0.95, 300, 0.5, 0.0, false),
];

/// Sums of one group for the tests that are not used by the decisions.
#[derive(Default, Clone, Copy)]
struct Sums {
    calls: f64,
    slow: f64,
    latency: f64,
    squares: f64,
}

impl Sums {
    fn mean(&self) -> f64 {
        self.latency / self.calls.max(1.0)
    }

    fn variance(&self) -> f64 {
        (self.squares / self.calls.max(1.0) - self.mean().powi(2)).max(1e-9)
    }

    /// Returns a bound on the error of the share of slow calls that holds at all times (Hoeffding's
    /// inequality on a sequence of doubling sizes).
    fn radius(&self) -> f64 {
        let rounds = self.calls.max(2.0).log2() + 1.0;
        ((2.0 * rounds * (rounds + 1.0) / ALPHA).ln() / self.calls.max(1.0)).sqrt()
    }
}

/// Wald's sequential probability ratio test of the new group's slow calls, started again whenever
/// it accepts the usual rate.
fn ratio(score: &mut f64, slow: bool) -> bool {
    let (low, high) = (2.0 * ALLOWED, 6.0 * ALLOWED);
    *score += if slow { (high / low).ln() } else { ((1.0 - high) / (1.0 - low)).ln() };
    if *score < ALPHA.ln() {
        *score = 0.0;
    }
    *score >= -ALPHA.ln()
}

/// Mixture sequential test of the difference of mean latencies, with a normal mixture of 5 ms.
fn means(new: &Sums, old: &Sums) -> bool {
    if new.calls < 30.0 || old.calls < 30.0 {
        return false;
    }
    let spread = new.variance() / new.calls + old.variance() / old.calls;
    let mixture = 25.0;
    let difference = new.mean() - old.mean();
    let log = 0.5 * (spread / (spread + mixture)).ln()
        + mixture * difference.powi(2) / (2.0 * spread * (spread + mixture));
    difference > 0.0 && log >= -ALPHA.ln()
}

/// Returns for each test the window of its first alarm.
fn windows(rng: &mut StdRng, case: usize) -> [Option<u64>; NAMES.len()] {
    let (_, share, onset, new_rate, old_rate, stalls) = CASES[case];
    let settings = Settings { false_alarms: ALPHA, ..Settings::default() };
    let class = RouteClass {
        route: RouteName::new("rounds").expect("a name"),
        within: WITHIN,
        failures: 0.001,
        slow: ALLOWED,
        idempotent: true,
    };
    let mut judge = RouteTests::new(&settings, 1, &class);
    let (mut new, mut old, mut score) = (Sums::default(), Sums::default(), 0.0);
    let mut until = [0u64; 2 * ENDPOINTS];
    let mut found = [None; NAMES.len()];
    for window in 0..WINDOWS {
        let mut counts = RouteEvidence::default();
        let mut by_ratio = false;
        for it in until.iter_mut().filter(|it| stalls && **it <= window) {
            // A stall of up to 1 s about every 60 s.
            if rng.random::<f64>() < 1.0 / 600.0 {
                *it = window + rng.random_range(1..=10);
            }
        }
        for _ in 0..CALLS {
            let side = if rng.random::<f64>() < share { Side::New } else { Side::Old };
            let endpoint = rng.random_range(0..ENDPOINTS);
            let index = endpoint + if side == Side::New { ENDPOINTS } else { 0 };
            let mut rate = 0.3 * ALLOWED;
            if window >= onset {
                rate += if side == Side::New { new_rate } else { old_rate };
            }
            if until[index] > window {
                rate += 0.8;
            }
            let slow = rng.random::<f64>() < rate;
            let millis = if slow { 120.0 } else { (2.0 + 5.0 * exponential(rng)).min(79.0) };
            let latency = Duration::from_micros((millis * 1e3) as u64);
            counts.add(side, endpoint, Outcome { failed: false, latency, cold: false }, WITHIN);
            let sums = if side == Side::New { &mut new } else { &mut old };
            sums.calls += 1.0;
            sums.slow += f64::from(u8::from(slow));
            sums.latency += millis;
            sums.squares += millis * millis;
            by_ratio |= side == Side::New && ratio(&mut score, slow);
        }
        judge.observe(&settings, &counts);
        let excess = new.slow / new.calls.max(1.0) - old.slow / old.calls.max(1.0);
        let alarms = [
            judge.alarm().is_some(),
            judge.target_miss(settings.target_score).is_some(),
            by_ratio,
            means(&new, &old),
            excess > new.radius() + old.radius(),
        ];
        for (first, _) in found.iter_mut().zip(alarms).filter(|it| it.1) {
            first.get_or_insert(window);
        }
    }
    found
}

/// Returns for each case and test the part of runs with an alarm before the onset or without a
/// fault of the new group, the part in which a fault was missed, and the time to the alarm.
pub fn compare(seed: u64, runs: u64) -> Value {
    let mut value = json!({});
    for (case, it) in CASES.iter().enumerate() {
        let all: Vec<_> = (0..runs)
            .map(|run| windows(&mut StdRng::seed_from_u64(seed * 1_000_003 + run), case))
            .collect();
        for (at, name) in NAMES.iter().enumerate() {
            let faulty = it.3 > it.4;
            let early = |found: &Option<u64>| found.is_some_and(|found| !faulty || found < it.2);
            let firsts: Vec<_> = all.iter().map(|it| it[at]).collect();
            let count = |part: usize| rounded(part as f64 / runs as f64);
            let right = firsts.iter().flatten().filter(|found| **found >= it.2);
            let mut delays: Vec<f64> =
                right.map(|found| (found - it.2 + 1) as f64 * 100.0).collect();
            let mut result =
                json!({ "false": count(firsts.iter().filter(|it| early(it)).count()) });
            if faulty {
                result["missed"] = json!(count(firsts.iter().filter(|it| it.is_none()).count()));
                result["ms_p50"] = json!(quantile(&mut delays, 0.5));
                result["ms_p99"] = json!(quantile(&mut delays, 0.99));
            }
            value[it.0][*name] = result;
        }
    }
    value
}
