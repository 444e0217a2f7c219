//! Invariants of the accounting and of retries under arbitrary sequences of inputs.

use std::collections::BTreeMap;

use proptest::prelude::*;
use shallottack_kernel::{EndpointId, ErrorKind, Run};
use shallottack_routing::{CallId, CallInfo, CandidateState, Choice, NextStep, Outcome};

use crate::fixture::{
    ANSWERED, BROKEN, FAILED, Fixture, call, candidates, endpoint, ms, refused, service,
};

#[derive(Debug, Clone)]
enum Step {
    Send { idempotent: bool, retry_budget: Option<u8>, deadline_ms: u64 },
    End { nth: usize, outcome: Outcome },
    Cancel { nth: usize },
    Members(Vec<CandidateState>),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        3 => Just(ANSWERED),
        1 => Just(FAILED),
        1 => Just(BROKEN),
        1 => Just(Outcome::Broken { partial: true }),
        1 => Just(Outcome::Unreachable),
        1 => Just(Outcome::TimedOut),
        2 => Just(refused(ErrorKind::Overloaded)),
        1 => Just(refused(ErrorKind::Stopping)),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        4 => Just(CandidateState::Ready),
        1 => Just(CandidateState::Suspect),
        1 => Just(CandidateState::Leaving),
        1 => Just(CandidateState::Starting),
        1 => Just(CandidateState::Dead)
    ];
    prop_oneof![
        8 => (any::<bool>(), prop::option::of(0..9_u8), 1..500_u64).prop_map(
            |(idempotent, retry_budget, deadline_ms)| {
                Step::Send { idempotent, retry_budget, deadline_ms }
            }
        ),
        8 => (any::<usize>(), outcome()).prop_map(|(nth, outcome)| Step::End { nth, outcome }),
        1 => any::<usize>().prop_map(|nth| Step::Cancel { nth }),
        1 => prop::collection::vec(state, 0..7).prop_map(Step::Members),
    ]
}

/// Call as the daemon sees it.
#[derive(Debug, Clone)]
struct Call {
    info: CallInfo,
    endpoint: EndpointId,
    retries: u32,
    may_have_run: bool,
}

fn nth(calls: &BTreeMap<CallId, Call>, nth: usize) -> Option<CallId> {
    calls.keys().nth(nth % calls.len().max(1)).copied()
}

proptest! {
    /// Guards against calls to endpoints that take none, attempts missing from the accounting,
    /// second runs of non-idempotent calls, retries past the deadline, and answers that wrongly
    /// state "not run".
    #[test]
    fn accounting_holds(steps in prop::collection::vec((step(), 0..30_u64), 1..300)) {
        let mut fixture = Fixture::new(candidates(5));
        let mut calls: BTreeMap<CallId, Call> = BTreeMap::new();
        let mut states = vec![CandidateState::Ready; 5];
        for (id, (step, gap)) in steps.into_iter().enumerate() {
            fixture.advance(ms(gap));
            let mut sent_to = None;
            match step {
                Step::Send { idempotent, retry_budget, deadline_ms } => {
                    let deadline = fixture.now + ms(deadline_ms);
                    let info = CallInfo { idempotent, retry_budget, ..call(id as u64, deadline) };
                    if let Choice::Send { endpoint, retry_budget: sent } = fixture.choose(&info) {
                        prop_assert!(sent < retry_budget.unwrap_or(8).max(1));
                        sent_to = Some(endpoint.clone());
                        let state = Call { info, endpoint, retries: 0, may_have_run: false };
                        calls.insert(state.info.call, state);
                    }
                }
                Step::End { nth: at, outcome } => {
                    if let Some(id) = nth(&calls, at) {
                        let call = calls.get_mut(&id).unwrap();
                        call.may_have_run |= !matches!(
                            outcome,
                            Outcome::Unreachable | Outcome::Refused { not_run: true, .. }
                        );
                        match fixture.end_attempt(id, outcome) {
                            NextStep::Retry { endpoint, delay, .. } => {
                                prop_assert!(call.info.idempotent || !call.may_have_run);
                                prop_assert!(fixture.now + delay < call.info.deadline);
                                call.retries += 1;
                                prop_assert!(call.retries <= 2);
                                sent_to = Some(endpoint.clone());
                                call.endpoint = endpoint;
                            }
                            NextStep::Done => drop(calls.remove(&id)),
                            NextStep::Fail { kind, retry_after } => {
                                let answer = kind.answer();
                                prop_assert!(answer.run == Run::Unknown || !call.may_have_run);
                                prop_assert_eq!(answer.retry_after, retry_after.is_some());
                                calls.remove(&id);
                            }
                        }
                    }
                }
                Step::Cancel { nth: at } => {
                    if let Some(id) = nth(&calls, at) {
                        fixture.router.cancel(id);
                        calls.remove(&id);
                    }
                }
                Step::Members(list) => {
                    let mut members = candidates(list.len());
                    members.iter_mut().zip(&list).for_each(|it| it.0.state = *it.1);
                    fixture.router.set_endpoints(&service(), members);
                    states = list;
                }
            }
            if let Some(endpoint) = sent_to {
                let index: usize = endpoint.as_str()[1..].parse().unwrap();
                let state = states.get(index);
                let open = matches!(state, Some(CandidateState::Ready | CandidateState::Suspect));
                prop_assert!(open, "call sent to {endpoint}, which is {state:?}");
            }
            for index in 0..7 {
                let id = endpoint(&format!("e{index}"));
                let expected = calls.values().filter(|it| it.endpoint == id).count();
                prop_assert_eq!(fixture.router.in_flight(&id) as usize, expected);
            }
        }
    }
}
