//! Model check of two daemons that claim the same key and stop at any step, for a caller that
//! repeats its request, with a table whose answers are lost, late or repeated. All transitions of
//! a daemon are those of `Claims`.

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
    world::{Table, answer, arrival, claims},
};

/// Mechanism that is taken out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// A claim has no condition on its row.
    ClaimCondition,
    /// A release has no condition on its row.
    ReleaseCondition,
    /// A release removes the row.
    ReleasedRow,
    /// A lost answer is taken as a failure.
    Doubt,
    /// A daemon does not recognise its own attempt.
    AttemptId,
    /// A restarted daemon gives its attempts the numbers of its earlier start.
    Nonce,
    /// An unknown outcome of a run is taken as not run.
    UnknownState,
    /// The refusal of a request by admission control is taken as its answer.
    NotRunResult,
    /// Requests are refused by a timer outside of the decisions.
    Refusal,
}

const TWICE: &str = "the key may have run twice";
const UNTRUE: &str = "a request was refused as not run and may have run";
const INVENTED: &str = "a stored answer was given that no run gave";
const BLOCKED: &str = "the key stays claimed although nothing ran";

#[derive(Debug, Clone, Copy, PartialEq, Hash)]
enum Told {
    Nothing,
    NotRun,
    Unknown,
    Stored,
}

#[derive(Debug, Clone, Copy, Hash)]
struct Request {
    told: Told,
    /// Whether the request was started and not proven not run.
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
struct Mesh {
    table: Table,
    daemons: [Claims; 2],
    starts: u64,
    now: Time,
    pending: Vec<(usize, Pending)>,
    late: Vec<Transaction>,
    requests: Vec<Request>,
    most: usize,
    keys: usize,
    settings: Settings,
    faults: u8,
    /// Whether a daemon stopped, after which a key can stay claimed.
    stopped: bool,
    without: Without,
    only: Option<&'static str>,
}

/// Times of the model: a claim is given up between the first two, and repeated steps of the table
/// are due and attempts are over by the third.
const TIMES_MS: [u64; 3] = [1, 600, 60_000];

fn mesh(requests: usize, faults: u8) -> Mesh {
    let settings = Settings { batch_interval: Duration::ZERO, ..Settings::default() };
    Mesh {
        table: Table::default(),
        daemons: [claims(0, settings.clone()), claims(1, settings.clone())],
        keys: 1,
        settings,
        starts: 2,
        now: Time::from_millis(TIMES_MS[0]),
        pending: Vec::new(),
        late: Vec::new(),
        requests: Vec::new(),
        most: requests,
        faults,
        stopped: false,
        without: Without::Nothing,
        only: None,
    }
}

impl Mesh {
    fn fault(&self) -> Option<Mesh> {
        let mut next = self.clone();
        next.faults = next.faults.checked_sub(1)?;
        Some(next)
    }

    /// Returns the state after these events.
    fn follow(self, labels: &[&str]) -> Mesh {
        labels.iter().fold(self, |mesh, label| {
            let found = mesh.next().into_iter().find(|(it, _)| it == label);
            found.unwrap_or_else(|| panic!("`{label}` is not possible")).1
        })
    }

    fn feed(mut self, who: usize, input: Input) -> Mesh {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let now = match self.without {
            Without::Refusal => Time::from_millis(TIMES_MS[0]),
            _ => self.now,
        };
        for action in self.daemons[who].handle(now, &mut rng, input) {
            match action {
                Action::Run { request } => {
                    self.requests[request.0 as usize].ran = true;
                    self.pending.push((who, Pending::Step(action)));
                }
                Action::AnswerStored { request, .. } => self.tell(request, Told::Stored),
                Action::Refuse { request, kind, .. } => {
                    let run = kind.answer().run;
                    self.tell(request, if run == Ran::No { Told::NotRun } else { Told::Unknown });
                }
                step => self.pending.push((who, Pending::Step(step))),
            }
        }
        self
    }

    fn tell(&mut self, request: RequestId, told: Told) {
        self.requests[request.0 as usize].told = told;
    }

    fn without_mechanism(&self, transaction: &Transaction) -> Transaction {
        let mut kept = transaction.clone();
        let state = |it: &Option<Vec<u8>>| {
            let row: shallottack_claims::ClaimRow =
                serde_json::from_slice(it.as_ref().expect("claims remove no rows")).unwrap();
            row.state
        };
        let states: Vec<_> = kept.writes.iter().map(|it| state(&it.value)).collect();
        match (self.without, &states[..]) {
            (Without::ClaimCondition, [State::Running])
            | (Without::ReleaseCondition, [State::Released]) => kept.conditions.clear(),
            (Without::ReleasedRow, [State::Released]) => kept.writes[0].value = None,
            _ => {}
        }
        kept
    }

    fn steps(&self, at: usize, push: &mut impl FnMut(String, Mesh)) {
        let mut taken = self.clone();
        let (who, pending) = taken.pending.remove(at);
        match pending {
            Pending::Answer(input) => {
                let label = match &input {
                    Input::ReadDone { .. } => "gets the row",
                    _ => "gets the outcome of its transaction",
                };
                push(format!("d{who} {label}"), taken.feed(who, input));
            }
            Pending::Step(Action::Commit { batch, transaction }) => {
                let transaction = self.without_mechanism(&transaction);
                let outcome = |outcome| Pending::Answer(Input::BatchDone { batch, outcome });
                taken.commit(who, &transaction, outcome, push);
            }
            Pending::Step(Action::ReadRow { key }) => {
                let mut read = taken.clone();
                let mut outcome = read.table.read(&key);
                if let (Without::AttemptId, ReadOutcome::Found { row, .. }) =
                    (self.without, &mut outcome)
                {
                    row.attempt = AttemptId { nonce: u64::MAX, number: 0 };
                }
                let row = |outcome| Input::ReadDone { key: key.clone(), outcome };
                read.pending.push((who, Pending::Answer(row(outcome))));
                push(format!("d{who} has its row read"), read);
                if let Some(next) = taken.fault() {
                    let next = next.feed(who, row(ReadOutcome::Unavailable));
                    push(format!("d{who} gets no row"), next);
                }
            }
            Pending::Step(Action::Run { request }) => taken.runs(who, request, push),
            Pending::Step(other) => panic!("not expected here: {other:?}"),
        }
    }

    fn commit(
        &self,
        who: usize,
        transaction: &Transaction,
        answer: impl Fn(BatchOutcome) -> Pending,
        push: &mut impl FnMut(String, Mesh),
    ) {
        let mut next = self.clone();
        let outcome = next.table.commit(transaction);
        next.pending.push((who, answer(outcome)));
        push(format!("d{who} has its transaction taken"), next);
        let Some(fault) = self.fault() else { return };
        let lost = match self.without {
            Without::Doubt => BatchOutcome::Unavailable,
            _ => BatchOutcome::Unknown,
        };
        let mut next = fault.clone();
        next.table.commit(transaction);
        next.pending.push((who, answer(lost.clone())));
        push(format!("d{who} has its transaction taken, answer lost"), next);
        let mut next = fault.clone();
        next.late.push(transaction.clone());
        next.pending.push((who, answer(lost)));
        push(format!("d{who} has its transaction delayed"), next);
        let mut next = fault.clone();
        let outcome = next.table.commit(transaction);
        next.late.push(transaction.clone());
        next.pending.push((who, answer(outcome)));
        push(format!("d{who} has its transaction taken, to be repeated by the network"), next);
        let mut next = fault;
        next.pending.push((who, answer(BatchOutcome::Unavailable)));
        push(format!("d{who} has its transaction refused"), next);
    }

    fn runs(&self, who: usize, request: RequestId, push: &mut impl FnMut(String, Mesh)) {
        let finish = |result| Input::RunDone { request, result };
        let mut next = self.clone();
        next.requests[request.0 as usize].answered = true;
        let next = next.feed(who, finish(RunResult::Answer(answer(1))));
        push(format!("d{who} runs r{}", request.0), next);
        let mut next = self.clone();
        next.requests[request.0 as usize].ran = false;
        next.tell(request, Told::NotRun);
        let result = match self.without {
            Without::NotRunResult => RunResult::Answer(answer(1)),
            _ => RunResult::NotRun,
        };
        let next = next.feed(who, finish(result));
        push(format!("d{who} has r{} refused by its backend server", request.0), next);
        if let Some(mut next) = self.fault() {
            let result = match self.without {
                Without::UnknownState => RunResult::NotRun,
                _ => RunResult::Unknown,
            };
            next.tell(request, Told::Unknown);
            let next = next.feed(who, finish(result));
            push(format!("d{who} loses its backend server in r{}", request.0), next);
        }
    }

    /// Stops a daemon and starts it again. Its open transactions may still reach the table, and
    /// what it started may still run.
    fn restart(&self, who: usize) -> Option<Mesh> {
        if self.daemons[who].open_requests() == 0 {
            return None;
        }
        let mut next = self.fault()?;
        let (gone, kept) = next.pending.into_iter().partition(|(it, _)| *it == who);
        next.pending = kept;
        let gone: Vec<(usize, Pending)> = gone;
        for (_, pending) in gone {
            if let Pending::Step(Action::Commit { transaction, .. }) = pending {
                next.late.push(self.without_mechanism(&transaction));
            }
        }
        let nonce = if self.without == Without::Nonce { who as u64 } else { self.starts };
        next.daemons[who] = claims(nonce, self.settings.clone());
        next.starts += 1;
        next.stopped = true;
        Some(next)
    }

    /// Returns whether no daemon will write the row unless another request arrives.
    fn is_quiet(&self) -> bool {
        self.pending.is_empty() && self.daemons.iter().all(|it| it.open_requests() == 0)
    }
}

/// The debug form of encoded rows would take most of the search's time.
fn hash_transaction(hash: &mut Xxh3, transaction: &Transaction) {
    for condition in &transaction.conditions {
        (&condition.key, condition.revision).hash(hash);
    }
    for write in &transaction.writes {
        (&write.key, &write.value).hash(hash);
    }
}

impl Model for Mesh {
    fn key(&self) -> u128 {
        let mut hash = Xxh3::new();
        (&self.table, self.now, &self.requests, self.faults, self.stopped).hash(&mut hash);
        hash.update(format!("{:?}", self.daemons).as_bytes());
        for (who, pending) in &self.pending {
            match pending {
                Pending::Step(Action::Commit { batch, transaction }) => {
                    (who, batch).hash(&mut hash);
                    hash_transaction(&mut hash, transaction);
                }
                other => hash.update(format!("{who} {other:?}").as_bytes()),
            }
        }
        self.late.iter().for_each(|it| hash_transaction(&mut hash, it));
        hash.digest128()
    }

    fn next(&self) -> Vec<(String, Mesh)> {
        let mut all = Vec::new();
        let mut push = |label, next| all.push((label, next));
        for who in 0..2 {
            let request = self.requests.len();
            // The daemons are alike, so that the first request may as well arrive at the first.
            if request < self.most && (who == 0 || request > 0) {
                let mut next = self.clone();
                let (told, key) = (Told::Nothing, request % self.keys);
                next.requests.push(Request { told, ran: false, answered: false, key });
                let deadline = self.now + Duration::from_secs(1);
                let name = format!("k{}", key + 1);
                let input = Input::Arrive(arrival(request as u64, &name, deadline));
                push(format!("r{request} arrives at d{who}"), next.feed(who, input));
            }
            if let Some(next) = self.restart(who) {
                push(format!("d{who} is restarted"), next);
            }
        }
        for at in 0..self.pending.len() {
            self.steps(at, &mut push);
        }
        for at in 0..self.late.len() {
            let mut next = self.clone();
            let transaction = next.late.remove(at);
            next.table.commit(&transaction);
            push("a late transaction reaches the table".to_owned(), next);
        }
        let later = TIMES_MS.iter().map(|it| Time::from_millis(*it)).find(|it| *it > self.now);
        if let Some(now) = later {
            let mut next = self.clone();
            next.now = now;
            if self.without == Without::Refusal {
                let open = next.requests.iter_mut().filter(|it| !it.ran);
                open.for_each(|it| it.told = Told::NotRun);
            }
            let next = next.feed(0, Input::Tick).feed(1, Input::Tick);
            push(format!("time passes to {} ms", now.0 / 1_000), next);
        }
        all
    }

    fn broken(&self) -> Option<&'static str> {
        (0..self.keys).find_map(|key| self.broken_of(key))
    }
}

impl Mesh {
    fn broken_of(&self, key: usize) -> Option<&'static str> {
        let requests: Vec<_> = self.requests.iter().filter(|it| it.key == key).collect();
        let ran = requests.iter().filter(|it| it.ran).count();
        let untrue = requests.iter().any(|it| it.ran && it.told == Told::NotRun);
        let stored = requests.iter().any(|it| it.told == Told::Stored);
        let invented = stored && !requests.iter().any(|it| it.answered);
        let row = self.table.row(&format!("claim/order-desk/k{}", key + 1));
        let claimed = row.is_some_and(|row| row.state != State::Released);
        let found = [
            (TWICE, ran > 1),
            (UNTRUE, untrue),
            (INVENTED, invented),
            (BLOCKED, ran == 0 && !self.stopped && claimed && self.is_quiet()),
        ];
        let wanted = |name: &&str| self.only.is_none_or(|only| only == *name);
        found.into_iter().find(|(name, broken)| *broken && wanted(name)).map(|(name, _)| name)
    }

    /// Takes all steps without faults until the daemons have nothing to do.
    fn drain(mut self) -> Mesh {
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
            // The first of the possible ways of a step is the one without a fault.
            self.steps(0, &mut |_, mesh| {
                next.get_or_insert(mesh);
            });
            self = next.expect("every step can be taken");
        }
        panic!("the daemons do not come to rest: {self:?}");
    }
}

fn without(mesh: Mesh, without: Without, only: &'static str) -> String {
    let mesh = Mesh { without, only: Some(only), ..mesh };
    search(&format!("without {without:?}"), mesh).expect("the mechanism is needed")
}

/// Guards against a second run of a key, a refusal as not run of a request that ran or may still
/// run, and a key that stays claimed by a request that was refused.
#[test]
fn two_daemons_run_a_key_at_most_once() {
    assert_eq!(search("two requests, 1 fault", mesh(2, 1)), None);
}

/// As above with more requests and faults; takes minutes, so that it runs only on request.
#[test]
#[ignore = "takes minutes"]
fn two_daemons_run_a_key_at_most_once_with_more_faults() {
    assert_eq!(search("three requests, 1 fault", mesh(3, 1)), None);
    assert_eq!(search("two requests, 2 faults", mesh(2, 2)), None);
}

/// Guards against a claim that overwrites the claim of another daemon.
#[test]
fn condition_of_a_claim_is_needed() {
    insta::assert_snapshot!(without(mesh(2, 0), Without::ClaimCondition, TWICE));
}

/// Guards against attempts of a restarted daemon being taken for those of its earlier start.
#[test]
fn nonce_is_needed() {
    insta::assert_snapshot!(without(mesh(2, 1), Without::Nonce, TWICE));
}

/// Guards against a key that is blocked by a claim whose answer was lost.
#[test]
fn doubt_and_attempt_id_are_needed() {
    insta::assert_snapshot!(without(mesh(1, 1), Without::Doubt, BLOCKED));
    insta::assert_snapshot!(without(mesh(1, 1), Without::AttemptId, BLOCKED));
}

/// Guards against a second run after the backend server died.
#[test]
fn unknown_state_is_needed() {
    let start = mesh(2, 1).follow(&["r0 arrives at d0", "d0 has its transaction taken"]);
    insta::assert_snapshot!(without(start, Without::UnknownState, TWICE));
}

/// Guards against the refusal of an admission control being stored as the answer of a run.
#[test]
fn result_not_run_is_needed() {
    insta::assert_snapshot!(without(mesh(2, 0), Without::NotRunResult, INVENTED));
}

/// Guards against a run of a request that was refused as not run.
#[test]
fn refusal_and_start_are_decided_together() {
    insta::assert_snapshot!(without(mesh(1, 0), Without::Refusal, UNTRUE));
}

/// Guards against a late claim transaction that blocks the key after its release.
#[test]
fn released_row_is_needed() {
    insta::assert_snapshot!(without(mesh(1, 1), Without::ReleasedRow, BLOCKED));
}

/// Guards against a release that undoes the claim of another daemon. The search starts when d0 has
/// read that the row is absent and its own claim is late, since all states take a minute.
#[test]
fn condition_of_a_release_is_needed() {
    let start = mesh(3, 1).follow(&[
        "r0 arrives at d0",
        "d0 has its transaction delayed",
        "d0 gets the outcome of its transaction",
        "d0 has its row read",
    ]);
    insta::assert_snapshot!(without(start, Without::ReleaseCondition, TWICE));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against faults of batches with several keys, which the search does not reach, and
    /// against daemons that never come to rest.
    #[test]
    fn batches_of_several_keys_keep_all_invariants(
        choices in prop::collection::vec(any::<prop::sample::Index>(), 1..120),
    ) {
        let mut mesh = Mesh { keys: 4, ..mesh(12, 6) };
        // One transaction at a time, so that claims collect.
        mesh.settings.in_flight = 1;
        let one = |nonce| claims(nonce, mesh.settings.clone());
        mesh.daemons = [one(0), one(1)];
        let mut labels = Vec::new();
        for choice in choices {
            let mut next = mesh.next();
            if next.is_empty() {
                break;
            }
            let (label, state) = next.swap_remove(choice.index(next.len()));
            labels.push(label);
            prop_assert_eq!(state.broken(), None, "{:#?}", labels);
            mesh = state;
        }
        prop_assert_eq!(mesh.drain().broken(), None, "{:#?}", labels);
    }
}
