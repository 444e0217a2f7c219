//! The row of a move and its transitions.
//!
//! A transition is written under the condition that the row is unchanged since it was read. A
//! transition marked [`Transition::Fenced`] is also written under the condition that the row
//! `lease/moves` is unchanged since the holder last wrote it, so that a holder that was paused
//! beyond its lease can't raise a share even when its successor has not touched the move's row.

use serde::{Deserialize, Serialize};
use shallottack_kernel::{GroupName, RouteName, ServiceName, Time};

use crate::{Measure, Settings};

/// Returns the key of a service's row.
pub fn move_key(service: &ServiceName) -> String {
    format!("move/{service}")
}

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRequest {
    /// Service to move.
    pub service: ServiceName,
    /// Group in force.
    pub old: GroupName,
    /// Group to move to.
    pub new: GroupName,
    /// Time by which the move should be finished.
    pub deadline: Time,
}

/// Why a move was taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The new group is worse on this route.
    Worse {
        /// Route on which it is worse.
        route: RouteName,
        /// Measure by which it is worse.
        measure: Measure,
    },
    /// The new group misses the target of the class on this route and the old group, which then
    /// had all calls, does not.
    #[serde(rename = "old-is-well")]
    OldHealthy {
        /// Route on which the groups differ.
        route: RouteName,
        /// Measure by which they differ.
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
    /// The new group is in force; the old one stays ready for a time.
    Finished,
    /// The old group is in force again.
    #[serde(rename = "taken-back")]
    RolledBack,
}

/// Row `move/<service>`. Times are microseconds of Unix time, since rows outlive daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveRow {
    /// What was asked for.
    pub request: MoveRequest,
    /// Share of the new group.
    pub share: f64,
    /// Number of steps taken.
    pub step: usize,
    /// Start of the move.
    pub started: Time,
    /// Time of the last change of the share or phase.
    pub changed: Time,
    /// Newest fencing epoch of a holder that wrote the row.
    pub epoch: u64,
    /// Phase.
    pub phase: Phase,
    /// Why the move was taken back.
    pub reason: Option<Reason>,
}

/// Why a transition is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Another move of the service is under way or its old group is still kept ready.
    MoveInProgress,
    /// A holder with a newer epoch has written the row.
    StaleEpoch,
    /// The move has ended.
    Ended,
    /// The step doesn't follow the step of the row.
    WrongStep,
    /// Both groups are the same.
    SameGroup,
}

/// What to write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Transition {
    /// The row already has the effect.
    Unchanged,
    /// Write the row if it is unchanged since it was read.
    Write(MoveRow),
    /// Write the row if it and the row of the lease are unchanged.
    Fenced(MoveRow),
    /// Nothing may be written.
    Refused(Refusal),
}

impl MoveRow {
    /// Starts a move, given the service's row if there is one. A repeat of the request that
    /// started the current move is unchanged.
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
            let busy = row.phase == Phase::Moving || row.old_ready(settings, now);
            match busy {
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
            // Epochs never fall over the moves of a service.
            epoch: current.map_or(0, |row| row.epoch),
            phase: Phase::Moving,
            reason: None,
        })
    }

    /// Returns whether the move is finished and its old group still kept ready.
    pub fn old_ready(&self, settings: &Settings, now: Time) -> bool {
        self.phase == Phase::Finished && now < self.changed + settings.ready_time
    }

    /// Goes from step `step - 1` to `step` with its share.
    pub fn raise(&self, epoch: u64, step: usize, settings: &Settings, now: Time) -> Transition {
        if let Some(refusal) = self.fence(epoch) {
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
        if let Some(refusal) = self.fence(epoch) {
            return Transition::Refused(refusal);
        }
        if self.share < 1.0 {
            return Transition::Refused(Refusal::WrongStep);
        }
        let phase = Phase::Finished;
        Transition::Fenced(MoveRow { phase, changed: now, epoch, ..self.clone() })
    }

    /// Takes the move back. Any daemon or operator may do this, without the lease.
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

    fn fence(&self, epoch: u64) -> Option<Refusal> {
        if epoch < self.epoch {
            return Some(Refusal::StaleEpoch);
        }
        (self.phase != Phase::Moving).then_some(Refusal::Ended)
    }
}
