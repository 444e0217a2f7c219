//! Model check of two holders of the lease, an operator or daemon that takes the move back, and a
//! table that loses answers and delays transactions. All transitions are those of the row. A
//! holder is paused when other steps happen between its decision and its write.

use shallottack_kernel::Time;
use shallottack_moves::{Decision, Measure, MoveRow, Phase, Reason, Settings, Transition};
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    search::{Model, search},
    world::{route, row},
};

/// Mechanism that is taken out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// Writes have no condition on the row.
    RowCondition,
    /// Raises have no condition on the lease.
    LeaseCondition,
    /// A take-back keeps no reason.
    Reason,
}

const ROSE: &str = "the share rose after the move was taken back";
const STALE: &str = "the share rose without the newest epoch";
const REVERTED: &str = "a finished move was reverted without a reason";

#[derive(Debug, Clone, PartialEq)]
struct Write {
    row: MoveRow,
    revision: u64,
    /// Revision of the lease's row, for a fenced write.
    lease: Option<u64>,
    epoch: u64,
}

/// Holder 0 and 1 can get the lease; actor 2 takes moves back without it.
#[derive(Debug, Clone, Default)]
struct Actor {
    epoch: u64,
    lease: u64,
    read: Option<(MoveRow, u64)>,
    write: Option<Write>,
}

#[derive(Debug, Clone)]
struct Mesh {
    row: MoveRow,
    revision: u64,
    /// The lease's epoch; each change of holder also changes the revision of its row.
    lease: u64,
    actors: [Actor; 3],
    late: Vec<Write>,
    elections: u8,
    faults: u8,
    cancels: u8,
    broken: Option<&'static str>,
    without: Without,
}

fn mesh(without: Without) -> Mesh {
    Mesh {
        row: row(),
        revision: 0,
        lease: 0,
        actors: Default::default(),
        late: Vec::new(),
        elections: 3,
        faults: 2,
        cancels: 2,
        broken: None,
        without,
    }
}

fn settings() -> Settings {
    Settings { steps: vec![0.5, 1.0], ..Settings::default() }
}

impl Mesh {
    fn apply(&mut self, write: &Write) {
        let current = write.revision == self.revision || self.without == Without::RowCondition;
        let held = write.lease.is_none_or(|it| it == self.lease)
            || self.without == Without::LeaseCondition;
        if !current || !held {
            return;
        }
        let (before, after) = (&self.row, &write.row);
        if after.share > before.share {
            if before.phase == Phase::RolledBack {
                self.broken = Some(ROSE);
            } else if write.epoch < self.lease {
                self.broken = Some(STALE);
            }
        }
        let reverted = before.phase == Phase::Finished && after.phase != Phase::Finished;
        if reverted && (after.phase != Phase::RolledBack || after.reason.is_none()) {
            self.broken = Some(REVERTED);
        }
        self.row = write.row.clone();
        self.revision += 1;
    }

    fn decisions(&self, who: usize, row: &MoveRow) -> Vec<Decision> {
        if who == 2 {
            return vec![Decision::RollBack { reason: Reason::Cancelled }];
        }
        let worse = Reason::Worse { route: route(), measure: Measure::Slow };
        let mut all = vec![Decision::Finish, Decision::RollBack { reason: worse }];
        if let Some(&share) = settings().steps.get(row.step) {
            all.push(Decision::Raise { step: row.step + 1, share });
        }
        all
    }

    fn decide(&self, who: usize, push: &mut impl FnMut(String, Mesh)) {
        let actor = &self.actors[who];
        let Some((row, revision)) = &actor.read else { return };
        for decision in self.decisions(who, row) {
            let (mut row, lease) = match decision.transition(row, actor.epoch, &settings(), Time(1))
            {
                Transition::Write(row) => (row, None),
                Transition::Fenced(row) => (row, Some(actor.lease)),
                Transition::Unchanged | Transition::Refused(_) => continue,
            };
            if self.without == Without::Reason {
                row.reason = None;
            }
            let write = Write { row, revision: *revision, lease, epoch: actor.epoch };
            let mut next = self.clone();
            next.actors[who].write = Some(write);
            next.actors[who].read = None;
            push(format!("a{who} decides {decision:?}"), next);
        }
    }

    fn write(&self, who: usize, push: &mut impl FnMut(String, Mesh)) {
        let mut next = self.clone();
        let Some(write) = next.actors[who].write.take() else { return };
        let mut fault = next.clone();
        next.apply(&write);
        push(format!("a{who} has its write taken"), next);
        if let Some(faults) = fault.faults.checked_sub(1) {
            // A lost answer: the write is taken at any later time, and the actor reads again.
            fault.faults = faults;
            fault.late.push(write);
            push(format!("a{who} gets no answer to its write"), fault);
        }
    }
}

impl Model for Mesh {
    fn key(&self) -> u128 {
        xxh3_128(format!("{self:?}").as_bytes())
    }

    fn next(&self) -> Vec<(String, Mesh)> {
        let mut all = Vec::new();
        let mut push = |label: String, mesh: Mesh| all.push((label, mesh));
        for who in 0..3 {
            let actor = &self.actors[who];
            if who < 2 && self.elections > 0 {
                let mut next = self.clone();
                next.elections -= 1;
                next.lease += 1;
                (next.actors[who].epoch, next.actors[who].lease) = (next.lease, next.lease);
                push(format!("a{who} gets the lease"), next);
            }
            let may_read = if who < 2 { actor.epoch > 0 } else { self.cancels > 0 };
            if actor.read.is_none() && actor.write.is_none() && may_read {
                let mut next = self.clone();
                next.cancels -= u8::from(who == 2);
                next.actors[who].read = Some((self.row.clone(), self.revision));
                push(format!("a{who} reads the row"), next);
            }
            self.decide(who, &mut push);
            self.write(who, &mut push);
        }
        for at in 0..self.late.len() {
            let mut next = self.clone();
            let write = next.late.remove(at);
            next.apply(&write);
            push("a late write is taken".to_owned(), next);
        }
        all
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }
}

/// Guards against any order of steps in which a share rises after a take-back or without the
/// newest epoch, or in which a finished move reverts without a reason.
#[test]
fn invariants_hold() {
    let mesh = Mesh { elections: 2, faults: 1, cancels: 1, ..mesh(Without::Nothing) };
    assert_eq!(search("moves", mesh), None);
}

/// Guards against a model that can't see a take-back overwritten by a paused holder.
#[test]
fn condition_on_the_row_is_needed() {
    let found = search("no condition on the row", mesh(Without::RowCondition));
    assert!(found.is_some());
}

/// Guards against a model that can't see a paused holder whose successor has not written yet.
#[test]
fn condition_on_the_lease_is_needed() {
    let found = search("no condition on the lease", mesh(Without::LeaseCondition));
    assert!(found.is_some_and(|it| it.ends_with(STALE)));
}

/// Guards against a model that can't see a finished move reverted without a reason.
#[test]
fn reason_is_needed() {
    let mesh = Mesh { elections: 1, faults: 0, ..mesh(Without::Reason) };
    let found = search("no reason", mesh);
    assert!(found.is_some_and(|it| it.ends_with(REVERTED)));
}
