//! Measures the time of taking a token and the memory of an organisation.

use std::{
    fs,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use shallottack_fleet::{Quota, QuotaBounds, Quotas, TokenDecision};
use shallottack_kernel::{EndpointId, Time};

/// Number of organisations whose tokens are taken.
const ORGANISATIONS: usize = 77;
/// Number of organisations for the measurement of memory, which counts whole pages.
const MANY: usize = 77_000;
const TAKES: u64 = 1_000_000;
/// Number of tokens that are taken between requests to the brokers.
const ROUND: u64 = 1_000;

fn quotas(organisations: usize) -> (Quotas, Vec<Arc<str>>) {
    let vm = EndpointId::new("vm-a").expect("a valid name");
    let mut quotas = Quotas::new(QuotaBounds::default(), vm, 1, Time::default());
    let names = (0..organisations).map(|it| Arc::from(format!("organisation-{it}")));
    let names: Vec<Arc<str>> = names.collect();
    let quota = Quota { rate: 100.0, burst: 100.0 };
    quotas.set_organisations(Time::default(), names.iter().map(|it| (it, quota)));
    quotas.set_daemons(Time::default(), 1);
    (quotas, names)
}

/// Returns the memory in bytes that the process holds.
fn held() -> u64 {
    let status = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split(' ').nth(1).and_then(|it| it.parse().ok());
    pages.map_or(0, |it: u64| it * 4096)
}

fn main() {
    let (mut few, names) = quotas(ORGANISATIONS);
    for ms in (0..10_000).step_by(50) {
        few.requests(Time::from_millis(ms), &[]);
    }
    let mut passed = 0;
    let mut elapsed = Duration::ZERO;
    for round in 0..TAKES / ROUND {
        // 1,000 requests in 20 ms, most of them beyond the quotas.
        let now = Time(10_000_000 + round * 20_000);
        few.requests(now, &[]);
        let began = Instant::now();
        for number in 0..ROUND {
            let name = &names[number as usize % ORGANISATIONS];
            let decision = few.take(now, name, false);
            passed += u64::from(black_box(decision) == TokenDecision::Pass);
        }
        elapsed += began.elapsed();
    }
    let each = elapsed / TAKES as u32;
    println!("take: {each:?} each, {passed} of {TAKES} passed, {ORGANISATIONS} organisations");
    let before = held();
    let many = quotas(MANY);
    let bytes = held().saturating_sub(before) / MANY as u64;
    println!("memory: {bytes} bytes an organisation, with its name");
    black_box(many);
}
