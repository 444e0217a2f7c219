//! Guards against retries multiplying over a deep call tree.

use shallottack_kernel::ErrorKind;
use shallottack_routing::{CallId, CallInfo, Choice, NextStep, Outcome, Settings};

use crate::fixture::{BROKEN, Fixture, call, candidates, ms, refused};

const DEPTH: usize = 28;

/// Attempts sent and runs caused at each depth.
#[derive(Default)]
struct Counts {
    sent: [u64; DEPTH],
    run: [u64; DEPTH],
}

/// A chain of daemons, each with its own router and unlimited tokens, so that only the budget that
/// travels with the call bounds the retries.
fn chain() -> Vec<Fixture> {
    let settings = Settings { retry_burst: 1e12, overload_threshold: 2.0, ..Settings::default() };
    (0..DEPTH).map(|_| Fixture::with(settings.clone(), candidates(10))).collect()
}

/// Runs one call at `hop`. Each attempt runs the rest of the chain when `run` says so, and then
/// ends with `outcome`.
fn descend(
    hops: &mut [Fixture],
    hop: usize,
    id: &mut u64,
    retry_budget: Option<u8>,
    last: &dyn Fn(usize, u64) -> Outcome,
    counts: &mut Counts,
) {
    if hop == DEPTH {
        return;
    }
    *id += 1;
    let info = CallInfo { retry_budget, ..call(*id, hops[hop].now + ms(1_000_000)) };
    let Choice::Send { retry_budget, .. } = hops[hop].choose(&info) else { panic!("no endpoint") };
    let (mut budget, mut attempt) = (retry_budget, 0);
    loop {
        counts.sent[hop] += 1;
        let outcome = last(hop, attempt);
        attempt += 1;
        if !matches!(outcome, Outcome::Refused { .. } | Outcome::Unreachable) {
            counts.run[hop] += 1;
            descend(hops, hop + 1, id, Some(budget), last, counts);
        }
        match hops[hop].outcome(info.call, outcome) {
            NextStep::Retry { retry_budget, .. } => budget = retry_budget,
            NextStep::Done | NextStep::Fail { .. } => return,
        }
    }
}

fn run(last: &dyn Fn(usize, u64) -> Outcome) -> Counts {
    let mut counts = Counts::default();
    descend(&mut chain(), 0, &mut 0, None, last, &mut counts);
    counts
}

/// Guards against retry storms: with 28 hops that each lose every answer, unlimited retries of 2
/// per hop would run the deepest call 3^28 times. The budget allows 8 runs more than one.
#[test]
fn lost_answers_at_every_hop_do_not_multiply() {
    let counts = run(&|_, _| BROKEN);
    assert!(counts.run.iter().all(|&it| it <= 9), "{:?}", counts.run);
    assert!(counts.run[DEPTH - 1] > 1, "the budget is of use");
    let total: u64 = counts.sent.iter().sum();
    assert!(total <= 9 * DEPTH as u64, "{total} attempts");
}

/// Guards against refused attempts multiplying: each hop sends a call at most 3 times and runs it
/// once, however deep the tree.
#[test]
fn refusals_at_every_hop_do_not_multiply() {
    let counts = run(&|_, attempt| match attempt {
        0 | 1 => refused(ErrorKind::Overloaded),
        _ => Outcome::Answered { failed: false, load: None, leaving: false },
    });
    assert_eq!(counts.run, [1; DEPTH]);
    assert_eq!(counts.sent, [3; DEPTH]);
}

/// Guards against mixed failures getting past the bounds: every first attempt is unreachable and
/// every second one loses its answer.
#[test]
fn mixed_failures_at_every_hop_do_not_multiply() {
    let counts = run(&|_, attempt| match attempt {
        0 => Outcome::Unreachable,
        _ => BROKEN,
    });
    assert!(counts.run.iter().all(|&it| it <= 9), "{:?}", counts.run);
    let total: u64 = counts.sent.iter().sum();
    assert!(total <= 3 * 9 * DEPTH as u64, "{total} attempts");
}

/// Guards against a daemon taking a spent budget for a new one.
#[test]
fn spent_budget_allows_no_second_run() {
    let mut fixture = Fixture::new(candidates(5));
    let info = CallInfo { retry_budget: Some(0), ..call(1, fixture.now + ms(1000)) };
    assert!(matches!(fixture.choose(&info), Choice::Send { retry_budget: 0, .. }));
    assert!(matches!(fixture.outcome(CallId(1), BROKEN), NextStep::Fail { .. }));
    // A call that was not run may still be sent again: it causes no second run.
    let info = CallInfo { call: CallId(2), ..info };
    assert!(matches!(fixture.choose(&info), Choice::Send { retry_budget: 0, .. }));
    let next = fixture.outcome(CallId(2), Outcome::Unreachable);
    assert!(matches!(next, NextStep::Retry { retry_budget: 0, .. }));
}

/// Guards against a connection that was refused costing the hops further down their budget.
#[test]
fn attempt_that_was_not_run_leaves_the_budget_whole() {
    let mut fixture = Fixture::new(candidates(5));
    let info = CallInfo { retry_budget: Some(4), ..call(1, fixture.now + ms(1000)) };
    assert!(matches!(fixture.choose(&info), Choice::Send { retry_budget: 3, .. }));
    let next = fixture.outcome(CallId(1), Outcome::Unreachable);
    assert!(matches!(next, NextStep::Retry { retry_budget: 3, .. }), "{next:?}");
}
