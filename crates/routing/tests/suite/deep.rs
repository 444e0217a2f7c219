//! Retries must not multiply over a deep call chain.

use shallottack_kernel::ErrorKind;
use shallottack_routing::{CallId, CallInfo, Choice, NextStep, Outcome, Settings};

use crate::fixture::{BROKEN, Fixture, call, candidates, ms, refused};

const DEPTH: usize = 28;

/// Number of attempts and runs at each hop.
#[derive(Default)]
struct Counts {
    sent: [u64; DEPTH],
    run: [u64; DEPTH],
}

/// Returns a chain of daemons, each with its own router. Their retry tokens are unlimited, so that
/// only the budget sent with the call bounds the retries.
fn chain() -> Vec<Fixture> {
    let settings = Settings { retry_burst: 1e12, overload_threshold: 2.0, ..Settings::default() };
    (0..DEPTH).map(|_| Fixture::with(settings.clone(), candidates(10))).collect()
}

/// Sends one call from `hop`. Each attempt ends with the result of `outcome` for its hop and
/// number. It runs the rest of the chain first, unless the result means that it was not run.
fn send_down(
    hops: &mut [Fixture],
    hop: usize,
    id: &mut u64,
    retry_budget: Option<u8>,
    outcome: &dyn Fn(usize, u64) -> Outcome,
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
        let result = outcome(hop, attempt);
        attempt += 1;
        if !matches!(result, Outcome::Refused { .. } | Outcome::Unreachable) {
            counts.run[hop] += 1;
            send_down(hops, hop + 1, id, Some(budget), outcome, counts);
        }
        match hops[hop].end_attempt(info.call, result) {
            NextStep::Retry { retry_budget, .. } => budget = retry_budget,
            NextStep::Done | NextStep::Fail { .. } => return,
        }
    }
}

fn run(outcome: &dyn Fn(usize, u64) -> Outcome) -> Counts {
    let mut counts = Counts::default();
    send_down(&mut chain(), 0, &mut 0, None, outcome, &mut counts);
    counts
}

/// Guards against a retry storm. If each of 28 hops loses every answer and retries twice, the
/// deepest call runs 3^28 times. The retry budget allows 8 runs in addition to the first.
#[test]
fn lost_answers_at_every_hop_do_not_multiply() {
    let counts = run(&|_, _| BROKEN);
    assert!(counts.run.iter().all(|&it| it <= 9), "{:?}", counts.run);
    assert!(counts.run[DEPTH - 1] > 1, "the budget allows no retry");
    let total: u64 = counts.sent.iter().sum();
    assert!(total <= 9 * DEPTH as u64, "{total} attempts");
}

/// Guards against retries of refused attempts that multiply. Each hop must send a call at most 3
/// times and cause one run, however deep the chain.
#[test]
fn refusals_at_every_hop_do_not_multiply() {
    let counts = run(&|_, attempt| match attempt {
        0 | 1 => refused(ErrorKind::Overloaded),
        _ => Outcome::Answered { failed: false, load: None, leaving: false },
    });
    assert_eq!(counts.run, [1; DEPTH]);
    assert_eq!(counts.sent, [3; DEPTH]);
}

/// Guards against mixed failures that exceed the bounds. Every first attempt is unreachable, and
/// every later one loses its answer.
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

/// Guards against treating a spent retry budget like a missing one.
#[test]
fn spent_budget_allows_no_second_run() {
    let mut fixture = Fixture::new(candidates(5));
    let info = CallInfo { retry_budget: Some(0), ..call(1, fixture.now + ms(1000)) };
    assert!(matches!(fixture.choose(&info), Choice::Send { retry_budget: 0, .. }));
    assert!(matches!(fixture.end_attempt(CallId(1), BROKEN), NextStep::Fail { .. }));
    // A call that was not run may be sent again, since that causes no second run.
    let info = CallInfo { call: CallId(2), ..info };
    assert!(matches!(fixture.choose(&info), Choice::Send { retry_budget: 0, .. }));
    let next = fixture.end_attempt(CallId(2), Outcome::Unreachable);
    assert!(matches!(next, NextStep::Retry { retry_budget: 0, .. }));
}

/// Guards against a refused connection that uses up the retry budget of the next hops.
#[test]
fn attempt_that_was_not_run_spends_no_budget() {
    let mut fixture = Fixture::new(candidates(5));
    let info = CallInfo { retry_budget: Some(4), ..call(1, fixture.now + ms(1000)) };
    assert!(matches!(fixture.choose(&info), Choice::Send { retry_budget: 3, .. }));
    let next = fixture.end_attempt(CallId(1), Outcome::Unreachable);
    assert!(matches!(next, NextStep::Retry { retry_budget: 3, .. }), "{next:?}");
}
