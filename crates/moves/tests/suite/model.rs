//! Model check of two holders of the lease, an operator or daemon that rolls the move back, and a
//! table that loses responses and delays transactions.
//!
//! All transitions are those of [`MoveRow`]. Steps of others between the decision and the write of
//! a holder model a holder that is suspended.

use shallottack_kernel::Time;
use shallottack_moves::{Decision, Measure, MoveRow, Phase, Reason, Settings, Transition};
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    search::{Model, search},
    support::{route, row},
};

/// Mechanism that is disabled, to show that the model detects its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disabled {
    Nothing,
    /// Writes without the condition on the row.
    RowCondition,
    /// Raises without the condition on the lease.
    LeaseCondition,
    /// Rollbacks without a reason.
    Reason,
}

const RAISED_AFTER_ROLLBACK: &str = "the share was raised after the move was rolled back";
const RAISED_BY_STALE_HOLDER: &str = "the share was raised without the highest epoch";
const ROLLED_BACK_WITHOUT_REASON: &str = "a finished move was rolled back without a reason";

#[derive(Debug, Clone, PartialEq)]
struct Write {
    row: MoveRow,
    revision: u64,
    /// Revision of the row of the lease on which a fenced write is conditional.
    lease: Option<u64>,
    epoch: u64,
}

/// Daemon or operator. Actors 0 and 1 can get the lease; actor 2 rolls moves back without it.
#[derive(Debug, Clone, Default)]
struct Actor {
    epoch: u64,
    lease: u64,
    read: Option<(MoveRow, u64)>,
    write: Option<Write>,
}

#[derive(Debug, Clone)]
struct System {
    row: MoveRow,
    revision: u64,
    /// Epoch of the lease and revision of its row, which change together with the holder.
    lease: u64,
    actors: [Actor; 3],
    delayed: Vec<Write>,
    elections: u8,
    faults: u8,
    cancels: u8,
    broken: Option<&'static str>,
    disabled: Disabled,
}

fn system(disabled: Disabled) -> System {
    System {
        row: row(),
        revision: 0,
        lease: 0,
        actors: Default::default(),
        delayed: Vec::new(),
        elections: 3,
        faults: 2,
        cancels: 2,
        broken: None,
        disabled,
    }
}

fn settings() -> Settings {
    Settings { steps: vec![0.5, 1.0], ..Settings::default() }
}

impl System {
    fn apply(&mut self, write: &Write) {
        let current = write.revision == self.revision || self.disabled == Disabled::RowCondition;
        let held = write.lease.is_none_or(|it| it == self.lease)
            || self.disabled == Disabled::LeaseCondition;
        if !current || !held {
            return;
        }
        let (before, after) = (&self.row, &write.row);
        if after.share > before.share {
            if before.phase == Phase::RolledBack {
                self.broken = Some(RAISED_AFTER_ROLLBACK);
            } else if write.epoch < self.lease {
                self.broken = Some(RAISED_BY_STALE_HOLDER);
            }
        }
        let rolled_back = before.phase == Phase::Finished && after.phase != Phase::Finished;
        if rolled_back && (after.phase != Phase::RolledBack || after.reason.is_none()) {
            self.broken = Some(ROLLED_BACK_WITHOUT_REASON);
        }
        self.row = write.row.clone();
        self.revision += 1;
    }

    fn decisions(&self, index: usize, row: &MoveRow) -> Vec<Decision> {
        if index == 2 {
            return vec![Decision::RollBack { reason: Reason::Cancelled }];
        }
        let worse = Reason::Worse { route: route(), measure: Measure::Slow };
        let mut all = vec![Decision::Finish, Decision::RollBack { reason: worse }];
        if let Some(&share) = settings().steps.get(row.step) {
            all.push(Decision::Raise { step: row.step + 1, share });
        }
        all
    }

    fn decide(&self, index: usize, push: &mut impl FnMut(String, System)) {
        let actor = &self.actors[index];
        let Some((row, revision)) = &actor.read else { return };
        for decision in self.decisions(index, row) {
            let (mut row, lease) = match decision.transition(row, actor.epoch, &settings(), Time(1))
            {
                Transition::Write(row) => (row, None),
                Transition::Fenced(row) => (row, Some(actor.lease)),
                Transition::Unchanged | Transition::Refused(_) => continue,
            };
            if self.disabled == Disabled::Reason {
                row.reason = None;
            }
            let write = Write { row, revision: *revision, lease, epoch: actor.epoch };
            let mut next = self.clone();
            next.actors[index].write = Some(write);
            next.actors[index].read = None;
            push(format!("a{index} decides {decision:?}"), next);
        }
    }

    fn write(&self, index: usize, push: &mut impl FnMut(String, System)) {
        let mut next = self.clone();
        let Some(write) = next.actors[index].write.take() else { return };
        let mut fault = next.clone();
        next.apply(&write);
        push(format!("a{index} has its write processed"), next);
        if let Some(faults) = fault.faults.checked_sub(1) {
            // Lost response: the write is processed at any later time, and the actor reads again.
            fault.faults = faults;
            fault.delayed.push(write);
            push(format!("a{index} gets no response to its write"), fault);
        }
    }
}

impl Model for System {
    fn key(&self) -> u128 {
        xxh3_128(format!("{self:?}").as_bytes())
    }

    fn next(&self) -> Vec<(String, System)> {
        let mut all = Vec::new();
        let mut push = |label: String, system: System| all.push((label, system));
        for index in 0..3 {
            let actor = &self.actors[index];
            if index < 2 && self.elections > 0 {
                let mut next = self.clone();
                next.elections -= 1;
                next.lease += 1;
                (next.actors[index].epoch, next.actors[index].lease) = (next.lease, next.lease);
                push(format!("a{index} gets the lease"), next);
            }
            let may_read = if index < 2 { actor.epoch > 0 } else { self.cancels > 0 };
            if actor.read.is_none() && actor.write.is_none() && may_read {
                let mut next = self.clone();
                next.cancels -= u8::from(index == 2);
                next.actors[index].read = Some((self.row.clone(), self.revision));
                push(format!("a{index} reads the row"), next);
            }
            self.decide(index, &mut push);
            self.write(index, &mut push);
        }
        for at in 0..self.delayed.len() {
            let mut next = self.clone();
            let write = next.delayed.remove(at);
            next.apply(&write);
            push("a delayed write is processed".to_owned(), next);
        }
        all
    }

    fn violated_invariant(&self) -> Option<&'static str> {
        self.broken
    }
}

/// Guards against any order of steps in which a share is raised after a rollback or without the
/// highest epoch, or in which a finished move is rolled back without a reason.
#[test]
fn invariants_hold() {
    let system = System { elections: 2, faults: 1, cancels: 1, ..system(Disabled::Nothing) };
    assert_eq!(search("moves", system), None);
}

/// Guards against a model that does not detect that a suspended holder overwrites a rollback.
#[test]
fn condition_on_the_row_is_needed() {
    let found = search("no condition on the row", system(Disabled::RowCondition));
    assert!(found.is_some());
}

/// Guards against a model that does not detect a write of a suspended holder whose successor has
/// not written yet.
#[test]
fn condition_on_the_lease_is_needed() {
    let found = search("no condition on the lease", system(Disabled::LeaseCondition));
    assert!(found.is_some_and(|it| it.ends_with(RAISED_BY_STALE_HOLDER)));
}

/// Guards against a model that does not detect a rollback of a finished move without a reason.
#[test]
fn reason_is_needed() {
    let system = System { elections: 1, faults: 0, ..system(Disabled::Reason) };
    let found = search("no reason", system);
    assert!(found.is_some_and(|it| it.ends_with(ROLLED_BACK_WITHOUT_REASON)));
}
