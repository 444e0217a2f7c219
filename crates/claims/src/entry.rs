//! One keyed request that this daemon claims, runs or releases.

use std::sync::Arc;

use shallottack_kernel::Time;

use crate::{Answer, AttemptId, ReadOutcome, RequestDigest, RequestId, State};

/// Write of a claim row that an entry waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RowWrite {
    /// The claim, conditional on the entry's `expect`.
    Claim,
    /// The release, conditional on this revision, so that a late repeat of it cannot undo the
    /// claim of another daemon.
    Release(Option<u64>),
    /// The state after the run. It has no condition, since no one else writes the row of an
    /// attempt that may have run.
    Final,
}

/// What an entry waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// A transaction with room.
    Queued(RowWrite),
    /// The outcome of a transaction.
    Committing(RowWrite),
    /// The outcome of a read.
    Reading,
    /// The time of its timer, then a read.
    Paused,
    /// The end of the run.
    Running,
    /// The write of the answer's object.
    Storing,
    /// The time of its timer, then another write of the object or the row.
    StorePaused,
}

/// One keyed request.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) digest: RequestDigest,
    pub(crate) deadline: Time,
    pub(crate) phase: Phase,
    /// Whether the request still waits for its run; a request that was refused never runs.
    pub(crate) live: bool,
    /// Revision on which the claim is conditional; `None` when the row must be absent.
    pub(crate) expect: Option<u64>,
    /// Whether a claim transaction may have taken effect or may still do so.
    pub(crate) doubt: bool,
    /// State after the run.
    pub(crate) outcome: Option<State>,
    /// Answer whose object is not written yet.
    pub(crate) answer: Option<Arc<Answer>>,
    /// When the phase is given up or tried again.
    pub(crate) timer: Option<Time>,
    pub(crate) tries: u32,
    /// When to stop storing the outcome of the run.
    pub(crate) store_until: Time,
}

/// What a claim row means for an entry that still waits for its run.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Verdict {
    /// The row holds the entry's attempt.
    Ours,
    /// The row can be claimed under this condition.
    Claim(Option<u64>),
    /// The key was used for another request.
    Reused,
    /// Another attempt may be running until this Unix time in milliseconds.
    Busy(u64),
    /// Another attempt ran.
    Done(crate::StoredAnswer),
    /// Another attempt may have run.
    Unknown,
    /// The table did not answer.
    Unavailable,
}

/// What a claim row means for an entry that must never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fence {
    /// No transaction of the entry can take effect any more, and the row is not held by it.
    Closed,
    /// The row must be released under this condition.
    Release(Option<u64>),
    /// The table did not answer.
    Unavailable,
}

impl Entry {
    pub(crate) fn verdict(&self, outcome: ReadOutcome, wall_ms: u64) -> Verdict {
        let (revision, row) = match outcome {
            ReadOutcome::Unavailable => return Verdict::Unavailable,
            ReadOutcome::Absent => return Verdict::Claim(None),
            ReadOutcome::Found { revision, row } => (revision, row),
        };
        if row.attempt == self.attempt {
            return Verdict::Ours;
        }
        if row.is_free(wall_ms) {
            return Verdict::Claim(Some(revision));
        }
        if row.digest != self.digest {
            return Verdict::Reused;
        }
        match row.state {
            State::Done(answer) => Verdict::Done(answer),
            State::Running if wall_ms < row.until_ms => Verdict::Busy(row.until_ms),
            State::Running | State::Unknown | State::Released => Verdict::Unknown,
        }
    }

    /// Returns how to make sure that no transaction of this entry leaves its claim behind.
    ///
    /// A claim transaction that is still under way takes effect only while the row has the
    /// revision on which it is conditional, so any write of the row ends that.
    pub(crate) fn fence(&self, outcome: &ReadOutcome) -> Fence {
        match outcome {
            ReadOutcome::Unavailable => Fence::Unavailable,
            ReadOutcome::Absent => Fence::Release(None),
            ReadOutcome::Found { revision, row } => {
                let ours = row.attempt == self.attempt;
                let released = ours && row.state == State::Released;
                if !released && (ours || self.expect == Some(*revision)) {
                    Fence::Release(Some(*revision))
                } else {
                    Fence::Closed
                }
            }
        }
    }
}
