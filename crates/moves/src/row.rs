//! Row of a move and its transitions.
//!
//! Every transition is written on condition that the row is unchanged since it was read.
//! [`Transition::Fenced`] is also written on condition that the row `lease/moves` is unchanged
//! since the holder last wrote it. A holder that was suspended until its lease expired then can't
//! raise a share, even if its successor has not written the move's row yet.

use serde::{Deserialize, Serialize};
use shallottack_kernel::{GroupName, RouteName, ServiceName, Time};

use crate::{Measure, Settings};

/// Returns the key of the row of a service's move.
pub fn move_key(service: &ServiceName) -> String {
    format!("move/{service}")
}

/// Request of an operator to move a service from one group to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRequest {
    /// Service to move.
    pub service: ServiceName,
    /// Group to move from, which is in force.
    pub old: GroupName,
    /// Group to move to.
    pub new: GroupName,
    /// Time by which the move should be finished.
    pub deadline: Time,
}

/// Reason for which a move was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The new group is worse than the old group on a route.
    Worse {
        /// Route on which it is worse.
        route: RouteName,
        /// Measure in which it is worse.
        measure: Measure,
    },
    /// On a route, the new group misses the target of the class, and the old group did not during a
    /// pause in which it had all calls.
    #[serde(rename = "old-is-well")]
    OldHealthy {
        /// Route on which the groups differ.
        route: RouteName,
        /// Measure in which they differ.
        measure: Measure,
    },
    /// An operator cancelled the move.
    Cancelled,
}

/// Phase of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The share is being raised.
    Moving,
    /// The new group is in force; the old group is kept ready for a time.
    Finished,
    /// The old group is in force again.
    #[serde(rename = "taken-back")]
    RolledBack,
}

/// Value of the row `move/<service>`. Times are Unix times in microseconds, since rows outlive
/// daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveRow {
    /// Request that started the move.
    pub request: MoveRequest,
    /// Share of the new group.
    pub share: f64,
    /// Number of steps taken.
    pub step: usize,
    /// Time at which the move started.
    pub started: Time,
    /// Time of the last change of the share or phase.
    pub changed: Time,
    /// Highest fencing epoch of the holders that wrote the row.
    pub epoch: u64,
    /// Phase of the move.
    pub phase: Phase,
    /// Reason for which the move was rolled back, if it was.
    pub reason: Option<Reason>,
}

/// Reason for which a transition is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Another move of the service is in progress, or its old group is still kept ready.
    MoveInProgress,
    /// A holder with a higher epoch has written the row.
    StaleEpoch,
    /// The move has ended.
    Ended,
    /// The step does not follow the step of the row.
    WrongStep,
    /// The old and the new group are the same.
    SameGroup,
}

/// Result of a transition: what to write to the row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Transition {
    /// Nothing to write; the row already is in the wanted state.
    Unchanged,
    /// Write the row on condition that it is unchanged since it was read.
    Write(MoveRow),
    /// Write the row on condition that it and the row of the lease are unchanged.
    Fenced(MoveRow),
    /// The transition is refused; nothing may be written.
    Refused(Refusal),
}

impl MoveRow {
    /// Starts a move, given the service's current row if there is one. A repeat of the request that
    /// started the current move changes nothing.
    pub fn start(
        current: Option<&MoveRow>,
        request: MoveRequest,
        settings: &Settings,
        now: Time,
    ) -> Transition {
        if request.old == request.new {
            return Transition::Refused(Refusal::SameGroup);
        }
        if let Some(row) = current {
            let in_progress = row.phase == Phase::Moving || row.old_ready(settings, now);
            match in_progress {
                true if row.request == request => return Transition::Unchanged,
                true => return Transition::Refused(Refusal::MoveInProgress),
                false => {}
            }
        }
        Transition::Write(MoveRow {
            request,
            share: 0.0,
            step: 0,
            started: now,
            changed: now,
            // Epochs never decrease over the moves of a service.
            epoch: current.map_or(0, |row| row.epoch),
            phase: Phase::Moving,
            reason: None,
        })
    }

    /// Returns whether the move is finished and its old group is still kept ready.
    pub fn old_ready(&self, settings: &Settings, now: Time) -> bool {
        self.phase == Phase::Finished && now < self.changed + settings.ready_time
    }

    /// Raises the share from that of step `step - 1` to that of `step`.
    pub fn raise(&self, epoch: u64, step: usize, settings: &Settings, now: Time) -> Transition {
        if let Some(refusal) = self.check_holder(epoch) {
            return Transition::Refused(refusal);
        }
        if self.step == step {
            return Transition::Unchanged;
        }
        match settings.steps.get(self.step) {
            Some(&share) if self.step + 1 == step => {
                Transition::Fenced(MoveRow { share, step, changed: now, epoch, ..self.clone() })
            }
            _ => Transition::Refused(Refusal::WrongStep),
        }
    }

    /// Finishes a move whose share is 1.
    pub fn finish(&self, epoch: u64, now: Time) -> Transition {
        if self.phase == Phase::Finished {
            return Transition::Unchanged;
        }
        if let Some(refusal) = self.check_holder(epoch) {
            return Transition::Refused(refusal);
        }
        if self.share < 1.0 {
            return Transition::Refused(Refusal::WrongStep);
        }
        let phase = Phase::Finished;
        Transition::Fenced(MoveRow { phase, changed: now, epoch, ..self.clone() })
    }

    /// Rolls the move back. Any daemon or operator may do so without the lease.
    pub fn roll_back(&self, reason: Reason, settings: &Settings, now: Time) -> Transition {
        match self.phase {
            Phase::RolledBack => Transition::Unchanged,
            Phase::Finished if !self.old_ready(settings, now) => {
                Transition::Refused(Refusal::Ended)
            }
            Phase::Moving | Phase::Finished => Transition::Write(MoveRow {
                share: 0.0,
                phase: Phase::RolledBack,
                reason: Some(reason),
                changed: now,
                ..self.clone()
            }),
        }
    }

    /// Returns why a holder with this epoch may not change the share, if so.
    fn check_holder(&self, epoch: u64) -> Option<Refusal> {
        if epoch < self.epoch {
            return Some(Refusal::StaleEpoch);
        }
        (self.phase != Phase::Moving).then_some(Refusal::Ended)
    }
}
