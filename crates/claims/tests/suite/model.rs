//! Model check of two daemons that claim the same key and may stop at any step.
//!
//! A caller repeats its request, and the table loses responses and delays or duplicates
//! transactions. All transitions of a daemon are those of [`Claims`].

use std::{hash::Hash, time::Duration};

use proptest::prelude::*;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use shallottack_claims::{
    Action, AttemptId, BatchOutcome, Claims, Input, ReadOutcome, RequestId, RunResult, Settings,
    State,
};
use shallottack_kernel::{Run as Ran, Time};
use shallottack_platform::Transaction;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    search::{Model, search},
    support::{Table, answer, arrival, claims},
};

/// Mechanism that is disabled, to show that the model detects its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disabled {
    Nothing,
    /// Claims are unconditional.
    ClaimCondition,
    /// Releases are unconditional.
    ReleaseCondition,
    /// Releases remove the row.
    ReleasedRow,
    /// A lost response is treated as a failure.
    InDoubt,
    /// Daemons do not recognise their own attempts.
    AttemptId,
    /// A restarted daemon reuses the attempt ids of its earlier start.
    Nonce,
    /// A run with an unknown outcome is treated as not run.
    UnknownState,
    /// A refusal by admission control is treated as the answer of the request.
    NotRunResult,
    /// Requests are refused by a timer outside of the state machine.
    Refusal,
}

const RAN_TWICE: &str = "the key may have run twice";
const FALSE_REFUSAL: &str = "a request was refused as not run and may have run";
const INVENTED_ANSWER: &str = "a stored answer was given that no run gave";
const KEY_BLOCKED: &str = "the key stays claimed although nothing ran";

#[derive(Debug, Clone, Copy, PartialEq, Hash)]
enum Response {
    Nothing,
    NotRun,
    Unknown,
    Stored,
}

#[derive(Debug, Clone, Copy, Hash)]
struct Request {
    response: Response,
    /// Whether the request was started and may have run.
    ran: bool,
    answered: bool,
    key: usize,
}

#[derive(Debug, Clone)]
enum Pending {
    Step(Action),
    Answer(Input),
}

#[derive(Debug, Clone)]
struct System {
    table: Table,
    daemons: [Claims; 2],
    starts: u64,
    now: Time,
    pending: Vec<(usize, Pending)>,
    delayed: Vec<Transaction>,
    requests: Vec<Request>,
    max_requests: usize,
    keys: usize,
    settings: Settings,
    faults: u8,
    /// Whether a daemon has stopped, after which a key can stay claimed.
    stopped: bool,
    disabled: Disabled,
    only: Option<&'static str>,
}

/// Times of the model in milliseconds. A claim times out between the first and the second. By the
/// third, retries are due and attempts have ended.
const TIMES_MS: [u64; 3] = [1, 600, 60_000];

fn system(requests: usize, faults: u8) -> System {
    let settings = Settings { batch_interval: Duration::ZERO, ..Settings::default() };
    System {
        table: Table::default(),
        daemons: [claims(0, settings.clone()), claims(1, settings.clone())],
        keys: 1,
        settings,
        starts: 2,
        now: Time::from_millis(TIMES_MS[0]),
        pending: Vec::new(),
        delayed: Vec::new(),
        requests: Vec::new(),
        max_requests: requests,
        faults,
        stopped: false,
        disabled: Disabled::Nothing,
        only: None,
    }
}

impl System {
    fn fault(&self) -> Option<System> {
        let mut next = self.clone();
        next.faults = next.faults.checked_sub(1)?;
        Some(next)
    }

    /// Returns the state after the events with these labels.
    fn follow(self, labels: &[&str]) -> System {
        labels.iter().fold(self, |system, label| {
            let found = system.next().into_iter().find(|(it, _)| it == label);
            found.unwrap_or_else(|| panic!("`{label}` is not a possible event")).1
        })
    }

    fn feed(mut self, index: usize, input: Input) -> System {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let now = match self.disabled {
            Disabled::Refusal => Time::from_millis(TIMES_MS[0]),
            _ => self.now,
        };
        for action in self.daemons[index].handle(now, &mut rng, input) {
            match action {
                Action::Run { request } => {
                    self.requests[request.0 as usize].ran = true;
                    self.pending.push((index, Pending::Step(action)));
                }
                Action::AnswerStored { request, .. } => self.respond(request, Response::Stored),
                Action::Refuse { request, kind, .. } => {
                    let run = kind.answer().run;
                    self.respond(
                        request,
                        if run == Ran::No { Response::NotRun } else { Response::Unknown },
                    );
                }
                step => self.pending.push((index, Pending::Step(step))),
            }
        }
        self
    }

    fn respond(&mut self, request: RequestId, response: Response) {
        self.requests[request.0 as usize].response = response;
    }

    fn remove_mechanism(&self, transaction: &Transaction) -> Transaction {
        let mut kept = transaction.clone();
        let state = |it: &Option<Vec<u8>>| {
            let row: shallottack_claims::ClaimRow =
                serde_json::from_slice(it.as_ref().expect("claims remove no rows")).unwrap();
            row.state
        };
        let states: Vec<_> = kept.writes.iter().map(|it| state(&it.value)).collect();
        match (self.disabled, &states[..]) {
            (Disabled::ClaimCondition, [State::Running])
            | (Disabled::ReleaseCondition, [State::Released]) => kept.conditions.clear(),
            (Disabled::ReleasedRow, [State::Released]) => kept.writes[0].value = None,
            _ => {}
        }
        kept
    }

    fn steps(&self, at: usize, push: &mut impl FnMut(String, System)) {
        let mut taken = self.clone();
        let (index, pending) = taken.pending.remove(at);
        match pending {
            Pending::Answer(input) => {
                let label = match &input {
                    Input::ReadDone { .. } => "gets the row",
                    _ => "gets the outcome of its transaction",
                };
                push(format!("d{index} {label}"), taken.feed(index, input));
            }
            Pending::Step(Action::Commit { batch, transaction }) => {
                let transaction = self.remove_mechanism(&transaction);
                let outcome = |outcome| Pending::Answer(Input::BatchDone { batch, outcome });
                taken.commit(index, &transaction, outcome, push);
            }
            Pending::Step(Action::ReadRow { key }) => {
                let mut read = taken.clone();
                let mut outcome = read.table.read(&key);
                if let (Disabled::AttemptId, ReadOutcome::Found { row, .. }) =
                    (self.disabled, &mut outcome)
                {
                    row.attempt = AttemptId { nonce: u64::MAX, number: 0 };
                }
                let row = |outcome| Input::ReadDone { key: key.clone(), outcome };
                read.pending.push((index, Pending::Answer(row(outcome))));
                push(format!("d{index} has its row read"), read);
                if let Some(next) = taken.fault() {
                    let next = next.feed(index, row(ReadOutcome::Unavailable));
                    push(format!("d{index} gets no row"), next);
                }
            }
            Pending::Step(Action::Run { request }) => taken.runs(index, request, push),
            Pending::Step(other) => panic!("unexpected action: {other:?}"),
        }
    }

    fn commit(
        &self,
        index: usize,
        transaction: &Transaction,
        answer: impl Fn(BatchOutcome) -> Pending,
        push: &mut impl FnMut(String, System),
    ) {
        let mut next = self.clone();
        let outcome = next.table.commit(transaction);
        next.pending.push((index, answer(outcome)));
        push(format!("d{index} has its transaction processed"), next);
        let Some(fault) = self.fault() else { return };
        let lost = match self.disabled {
            Disabled::InDoubt => BatchOutcome::Unavailable,
            _ => BatchOutcome::Unknown,
        };
        let mut next = fault.clone();
        next.table.commit(transaction);
        next.pending.push((index, answer(lost.clone())));
        push(format!("d{index} has its transaction processed, response lost"), next);
        let mut next = fault.clone();
        next.delayed.push(transaction.clone());
        next.pending.push((index, answer(lost)));
        push(format!("d{index} has its transaction delayed"), next);
        let mut next = fault.clone();
        let outcome = next.table.commit(transaction);
        next.delayed.push(transaction.clone());
        next.pending.push((index, answer(outcome)));
        push(
            format!("d{index} has its transaction processed, to be duplicated by the network"),
            next,
        );
        let mut next = fault;
        next.pending.push((index, answer(BatchOutcome::Unavailable)));
        push(format!("d{index} has its transaction refused"), next);
    }

    fn runs(&self, index: usize, request: RequestId, push: &mut impl FnMut(String, System)) {
        let finish = |result| Input::RunDone { request, result };
        let mut next = self.clone();
        next.requests[request.0 as usize].answered = true;
        let next = next.feed(index, finish(RunResult::Answer(answer(1))));
        push(format!("d{index} runs r{}", request.0), next);
        let mut next = self.clone();
        next.requests[request.0 as usize].ran = false;
        next.respond(request, Response::NotRun);
        let result = match self.disabled {
            Disabled::NotRunResult => RunResult::Answer(answer(1)),
            _ => RunResult::NotRun,
        };
        let next = next.feed(index, finish(result));
        push(format!("d{index} has r{} refused by its backend server", request.0), next);
        if let Some(mut next) = self.fault() {
            let result = match self.disabled {
                Disabled::UnknownState => RunResult::NotRun,
                _ => RunResult::Unknown,
            };
            next.respond(request, Response::Unknown);
            let next = next.feed(index, finish(result));
            push(format!("d{index} loses its backend server in r{}", request.0), next);
        }
    }

    /// Restarts a daemon. Its open transactions may still reach the table, and requests that it
    /// started may still run.
    fn restart(&self, index: usize) -> Option<System> {
        if self.daemons[index].open_requests() == 0 {
            return None;
        }
        let mut next = self.fault()?;
        let (gone, kept) = next.pending.into_iter().partition(|(it, _)| *it == index);
        next.pending = kept;
        let gone: Vec<(usize, Pending)> = gone;
        for (_, pending) in gone {
            if let Pending::Step(Action::Commit { transaction, .. }) = pending {
                next.delayed.push(self.remove_mechanism(&transaction));
            }
        }
        let nonce = if self.disabled == Disabled::Nonce { index as u64 } else { self.starts };
        next.daemons[index] = claims(nonce, self.settings.clone());
        next.starts += 1;
        next.stopped = true;
        Some(next)
    }

    /// Returns whether no daemon has anything left to do until another request arrives.
    fn is_quiet(&self) -> bool {
        self.pending.is_empty() && self.daemons.iter().all(|it| it.open_requests() == 0)
    }
}

/// Hashes a transaction without formatting it, since formatting encoded rows would take most of the
/// time of the search.
fn hash_transaction(hash: &mut Xxh3, transaction: &Transaction) {
    for condition in &transaction.conditions {
        (&condition.key, condition.revision).hash(hash);
    }
    for write in &transaction.writes {
        (&write.key, &write.value).hash(hash);
    }
}

impl Model for System {
    fn key(&self) -> u128 {
        let mut hash = Xxh3::new();
        (&self.table, self.now, &self.requests, self.faults, self.stopped).hash(&mut hash);
        hash.update(format!("{:?}", self.daemons).as_bytes());
        for (index, pending) in &self.pending {
            match pending {
                Pending::Step(Action::Commit { batch, transaction }) => {
                    (index, batch).hash(&mut hash);
                    hash_transaction(&mut hash, transaction);
                }
                other => hash.update(format!("{index} {other:?}").as_bytes()),
            }
        }
        self.delayed.iter().for_each(|it| hash_transaction(&mut hash, it));
        hash.digest128()
    }

    fn next(&self) -> Vec<(String, System)> {
        let mut all = Vec::new();
        let mut push = |label, next| all.push((label, next));
        for index in 0..2 {
            let request = self.requests.len();
            // The daemons are identical, so the first request can be assumed to arrive at the
            // first.
            if request < self.max_requests && (index == 0 || request > 0) {
                let mut next = self.clone();
                let (response, key) = (Response::Nothing, request % self.keys);
                next.requests.push(Request { response, ran: false, answered: false, key });
                let deadline = self.now + Duration::from_secs(1);
                let name = format!("k{}", key + 1);
                let input = Input::Arrive(arrival(request as u64, &name, deadline));
                push(format!("r{request} arrives at d{index}"), next.feed(index, input));
            }
            if let Some(next) = self.restart(index) {
                push(format!("d{index} is restarted"), next);
            }
        }
        for at in 0..self.pending.len() {
            self.steps(at, &mut push);
        }
        for at in 0..self.delayed.len() {
            let mut next = self.clone();
            let transaction = next.delayed.remove(at);
            next.table.commit(&transaction);
            push("a delayed transaction reaches the table".to_owned(), next);
        }
        let later = TIMES_MS.iter().map(|it| Time::from_millis(*it)).find(|it| *it > self.now);
        if let Some(now) = later {
            let mut next = self.clone();
            next.now = now;
            if self.disabled == Disabled::Refusal {
                let open = next.requests.iter_mut().filter(|it| !it.ran);
                open.for_each(|it| it.response = Response::NotRun);
            }
            let next = next.feed(0, Input::Tick).feed(1, Input::Tick);
            push(format!("time passes to {} ms", now.0 / 1_000), next);
        }
        all
    }

    fn violated_invariant(&self) -> Option<&'static str> {
        (0..self.keys).find_map(|key| self.broken_of(key))
    }
}

impl System {
    fn broken_of(&self, key: usize) -> Option<&'static str> {
        let requests: Vec<_> = self.requests.iter().filter(|it| it.key == key).collect();
        let ran = requests.iter().filter(|it| it.ran).count();
        let untrue = requests.iter().any(|it| it.ran && it.response == Response::NotRun);
        let stored = requests.iter().any(|it| it.response == Response::Stored);
        let invented = stored && !requests.iter().any(|it| it.answered);
        let row = self.table.row(&format!("claim/order-desk/k{}", key + 1));
        let claimed = row.is_some_and(|row| row.state != State::Released);
        let found = [
            (RAN_TWICE, ran > 1),
            (FALSE_REFUSAL, untrue),
            (INVENTED_ANSWER, invented),
            (KEY_BLOCKED, ran == 0 && !self.stopped && claimed && self.is_quiet()),
        ];
        let wanted = |name: &&str| self.only.is_none_or(|only| only == *name);
        found.into_iter().find(|(name, broken)| *broken && wanted(name)).map(|(name, _)| name)
    }

    /// Takes all steps without faults until the daemons have nothing left to do.
    fn drain(mut self) -> System {
        for _ in 0..1_000 {
            if self.is_quiet() {
                return self;
            }
            if self.pending.is_empty() {
                self.now = self.now + Duration::from_secs(60);
                self = self.feed(0, Input::Tick).feed(1, Input::Tick);
                continue;
            }
            let mut next = None;
            // The first outcome of a step is the one without a fault.
            self.steps(0, &mut |_, system| {
                next.get_or_insert(system);
            });
            self = next.expect("every step has an outcome");
        }
        panic!("the daemons do not become idle: {self:?}");
    }
}

fn find_violation(system: System, disabled: Disabled, only: &'static str) -> String {
    let system = System { disabled, only: Some(only), ..system };
    search(&format!("disabled: {disabled:?}"), system)
        .expect("the model detects the missing mechanism")
}

/// Guards against a second run of a key, against refusing a request as not run that ran or may
/// still run, and against a key that stays claimed by a refused request.
#[test]
fn two_daemons_run_a_key_at_most_once() {
    assert_eq!(search("two requests, 1 fault", system(2, 1)), None);
}

/// As above with more requests and faults. Takes minutes, so it runs only on request.
#[test]
#[ignore = "takes minutes"]
fn two_daemons_run_a_key_at_most_once_with_more_faults() {
    assert_eq!(search("three requests, 1 fault", system(3, 1)), None);
    assert_eq!(search("two requests, 2 faults", system(2, 2)), None);
}

/// Guards against a claim that overwrites the claim of another daemon.
#[test]
fn condition_of_a_claim_is_needed() {
    insta::assert_snapshot!(find_violation(system(2, 0), Disabled::ClaimCondition, RAN_TWICE));
}

/// Guards against confusing the attempts of a restarted daemon with those of its earlier start.
#[test]
fn nonce_is_needed() {
    insta::assert_snapshot!(find_violation(system(2, 1), Disabled::Nonce, RAN_TWICE));
}

/// Guards against a key that stays blocked by a claim whose response was lost.
#[test]
fn in_doubt_flag_and_attempt_id_are_needed() {
    insta::assert_snapshot!(find_violation(system(1, 1), Disabled::InDoubt, KEY_BLOCKED));
    insta::assert_snapshot!(find_violation(system(1, 1), Disabled::AttemptId, KEY_BLOCKED));
}

/// Guards against a second run after the backend server failed.
#[test]
fn unknown_state_is_needed() {
    let start = system(2, 1).follow(&["r0 arrives at d0", "d0 has its transaction processed"]);
    insta::assert_snapshot!(find_violation(start, Disabled::UnknownState, RAN_TWICE));
}

/// Guards against storing a refusal by admission control as the answer of a run.
#[test]
fn result_not_run_is_needed() {
    insta::assert_snapshot!(find_violation(system(2, 0), Disabled::NotRunResult, INVENTED_ANSWER));
}

/// Guards against a run of a request that was refused as not run.
#[test]
fn refusal_and_start_are_decided_together() {
    insta::assert_snapshot!(find_violation(system(1, 0), Disabled::Refusal, FALSE_REFUSAL));
}

/// Guards against a delayed claim transaction that blocks the key after its release.
#[test]
fn released_row_is_needed() {
    insta::assert_snapshot!(find_violation(system(1, 1), Disabled::ReleasedRow, KEY_BLOCKED));
}

/// Guards against a release that undoes the claim of another daemon. The search starts after d0 has
/// read that the row is absent while its own claim is delayed, since a full search takes a minute.
#[test]
fn condition_of_a_release_is_needed() {
    let start = system(3, 1).follow(&[
        "r0 arrives at d0",
        "d0 has its transaction delayed",
        "d0 gets the outcome of its transaction",
        "d0 has its row read",
    ]);
    insta::assert_snapshot!(find_violation(start, Disabled::ReleaseCondition, RAN_TWICE));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against faults in batches with several keys, which the search does not cover, and
    /// against daemons that never become idle.
    #[test]
    fn batches_of_several_keys_keep_all_invariants(
        choices in prop::collection::vec(any::<prop::sample::Index>(), 1..120),
    ) {
        let mut system = System { keys: 4, ..system(12, 6) };
        // One transaction at a time, so that claims are batched.
        system.settings.in_flight = 1;
        let one = |nonce| claims(nonce, system.settings.clone());
        system.daemons = [one(0), one(1)];
        let mut labels = Vec::new();
        for choice in choices {
            let mut next = system.next();
            if next.is_empty() {
                break;
            }
            let (label, state) = next.swap_remove(choice.index(next.len()));
            labels.push(label);
            prop_assert_eq!(state.violated_invariant(), None, "{:#?}", labels);
            system = state;
        }
        prop_assert_eq!(system.drain().violated_invariant(), None, "{:#?}", labels);
    }
}
