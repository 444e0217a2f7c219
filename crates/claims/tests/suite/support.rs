//! In-memory table, and daemons that claim keys in it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use shallottack_claims::{
    Action, Actions, Answer, Arrival, BatchId, BatchOutcome, ClaimRow, Claims, Input, ReadOutcome,
    RequestDigest, RequestId, Settings,
};
use shallottack_kernel::{ErrorKind, Time};
use shallottack_platform::Transaction;

pub const KEY: &str = "claim/order-desk/k1";
/// Unix time in milliseconds at the origin of the test clock.
pub const ORIGIN_MS: u64 = 1_000_000;

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Table {
    pub rows: BTreeMap<String, (u64, Vec<u8>)>,
    pub revision: u64,
}

impl Table {
    pub fn commit(&mut self, transaction: &Transaction) -> BatchOutcome {
        for condition in &transaction.conditions {
            if self.rows.get(&condition.key).map(|it| it.0) != condition.revision {
                return BatchOutcome::Conflict { key: condition.key.as_str().into() };
            }
        }
        self.revision += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    self.rows.insert(write.key.clone(), (self.revision, value.clone()));
                }
                None => drop(self.rows.remove(&write.key)),
            }
        }
        BatchOutcome::Committed
    }

    pub fn read(&self, key: &str) -> ReadOutcome {
        match self.rows.get(key) {
            Some((revision, value)) => ReadOutcome::Found {
                revision: *revision,
                row: serde_json::from_slice(value).unwrap(),
            },
            None => ReadOutcome::Absent,
        }
    }

    pub fn row(&self, key: &str) -> Option<ClaimRow> {
        match self.read(key) {
            ReadOutcome::Found { row, .. } => Some(row),
            _ => None,
        }
    }
}

/// Daemon with its clock. The tests carry out its actions on the table.
pub struct Daemon {
    pub claims: Claims,
    pub now: Time,
    rng: ChaCha8Rng,
}

impl Daemon {
    pub fn new(nonce: u64) -> Daemon {
        Daemon {
            claims: claims(nonce, Settings::default()),
            now: Time::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(nonce),
        }
    }

    pub fn handle(&mut self, input: Input) -> Actions {
        self.claims.handle(self.now, &mut self.rng, input)
    }

    pub fn wait(&mut self, time: Duration) -> Actions {
        self.now = self.now + time;
        self.handle(Input::Tick)
    }

    pub fn arrive(&mut self, request: u64, key: &str) -> Actions {
        let deadline = self.now + Duration::from_secs(1);
        self.handle(Input::Arrive(arrival(request, key, deadline)))
    }

    /// Carries out all actions on the table, without faults, until only other actions are left, and
    /// returns those.
    pub fn settle(&mut self, table: &mut Table, actions: Actions) -> Vec<Action> {
        let mut open: Vec<_> = actions.into_vec();
        let mut others = Vec::new();
        while !open.is_empty() {
            let next = match open.remove(0) {
                Action::Commit { batch, transaction } => {
                    let outcome = table.commit(&transaction);
                    self.handle(Input::BatchDone { batch, outcome })
                }
                Action::ReadRow { key } => {
                    let outcome = table.read(&key);
                    self.handle(Input::ReadDone { key, outcome })
                }
                other => {
                    others.push(other);
                    continue;
                }
            };
            open.extend(next);
        }
        others
    }

    /// As `settle`, after waiting for the interval between two batches.
    pub fn settle_later(&mut self, table: &mut Table) -> Vec<Action> {
        let actions = self.wait(Duration::from_millis(5));
        self.settle(table, actions)
    }
}

pub fn claims(nonce: u64, settings: Settings) -> Claims {
    Claims::new(settings, format!("d{nonce}").parse().unwrap(), nonce, ORIGIN_MS)
}

pub fn arrival(request: u64, key: &str, deadline: Time) -> Arrival {
    Arrival {
        request: RequestId(request),
        service: "order-desk".parse().unwrap(),
        key: key.into(),
        digest: RequestDigest(7),
        deadline,
    }
}

pub fn answer(bytes: usize) -> Arc<Answer> {
    Arc::new(Answer { status: 201, headers: Vec::new(), body: vec![1; bytes] })
}

pub fn run(request: u64) -> Action {
    Action::Run { request: RequestId(request) }
}

/// Returns the error kind of the only action, which must be a refusal.
pub fn refused(actions: &[Action]) -> ErrorKind {
    match actions {
        [Action::Refuse { kind, retry_after, .. }] => {
            assert_eq!(retry_after.is_some(), kind.answer().retry_after, "{kind}");
            *kind
        }
        other => panic!("expected a refusal: {other:?}"),
    }
}

/// Returns the batch of the only action, which must be a commit.
pub fn committed(actions: &[Action]) -> (BatchId, Transaction) {
    match actions {
        [Action::Commit { batch, transaction }] => (*batch, transaction.clone()),
        other => panic!("expected a commit: {other:?}"),
    }
}
