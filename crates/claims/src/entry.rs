//! State of one keyed request that this daemon claims, runs or releases.

use std::sync::Arc;

use shallottack_kernel::Time;

use crate::{Answer, AttemptId, ReadOutcome, RequestDigest, RequestId, State};

/// Write to a claim row that an entry waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RowWrite {
    /// The claim, conditional on the entry's `expected_revision`.
    Claim,
    /// The release, conditional on this revision, so that a delayed duplicate cannot undo the claim
    /// of another daemon.
    Release(Option<u64>),
    /// The state after the run. It is unconditional, since no other daemon writes the row of an
    /// attempt that may have run.
    Final,
}

/// Phase of an entry, by what it waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// To be taken into a transaction.
    Queued(RowWrite),
    /// The outcome of a transaction.
    Committing(RowWrite),
    /// The outcome of a read.
    Reading,
    /// Its timer, to read the row again.
    Paused,
    /// The result of the run.
    Running,
    /// The write of the answer object.
    Storing,
    /// Its timer, to write the object or the row again.
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
    /// Whether the request still waits to be started. It was neither started nor refused; a refused
    /// request never runs.
    pub(crate) waiting: bool,
    /// Revision on which the claim is conditional; `None` if the row must be absent.
    pub(crate) expected_revision: Option<u64>,
    /// Whether a claim transaction may have taken effect or may still do so.
    pub(crate) in_doubt: bool,
    /// State of the claim after the run.
    pub(crate) final_state: Option<State>,
    /// Answer whose object has not been written yet.
    pub(crate) answer: Option<Arc<Answer>>,
    /// Time at which the phase is given up or retried.
    pub(crate) timer: Option<Time>,
    /// Number of retries so far.
    pub(crate) retries: u32,
    /// Time at which to stop storing the outcome of the run.
    pub(crate) store_until: Time,
}

/// Meaning of a claim row for an entry that still waits to be started.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ClaimCheck {
    /// The row holds the entry's attempt.
    Ours,
    /// The row is free and can be claimed on condition of this revision.
    Free(Option<u64>),
    /// The key was used with another request.
    Reused,
    /// Another attempt may be running until this Unix time, in milliseconds.
    InProgress(u64),
    /// Another attempt ran and has this answer.
    Done(crate::StoredAnswer),
    /// Another attempt may have run.
    Unknown,
    /// The row could not be read.
    Unavailable,
}

/// Meaning of a claim row for an entry that must never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReleaseCheck {
    /// The row is not claimed by the entry, and none of its transactions can take effect any more.
    NotNeeded,
    /// The row must be released on condition of this revision.
    Needed(Option<u64>),
    /// The row could not be read.
    Unavailable,
}

impl Entry {
    /// Returns what a read of the row means for this entry, which still waits to be started.
    pub(crate) fn check_claim(&self, outcome: ReadOutcome, unix_ms: u64) -> ClaimCheck {
        let (revision, row) = match outcome {
            ReadOutcome::Unavailable => return ClaimCheck::Unavailable,
            ReadOutcome::Absent => return ClaimCheck::Free(None),
            ReadOutcome::Found { revision, row } => (revision, row),
        };
        if row.attempt == self.attempt {
            return ClaimCheck::Ours;
        }
        if row.is_free(unix_ms) {
            return ClaimCheck::Free(Some(revision));
        }
        if row.digest != self.digest {
            return ClaimCheck::Reused;
        }
        match row.state {
            State::Done(answer) => ClaimCheck::Done(answer),
            State::Running if unix_ms < row.until_ms => ClaimCheck::InProgress(row.until_ms),
            State::Running | State::Unknown | State::Released => ClaimCheck::Unknown,
        }
    }

    /// Returns whether the row must be released, so that no transaction of this entry leaves a
    /// claim behind.
    ///
    /// A claim transaction that is still in flight takes effect only while the row has the revision
    /// on which it is conditional, so any write to the row prevents that.
    pub(crate) fn check_release(&self, outcome: &ReadOutcome) -> ReleaseCheck {
        match outcome {
            ReadOutcome::Unavailable => ReleaseCheck::Unavailable,
            ReadOutcome::Absent => ReleaseCheck::Needed(None),
            ReadOutcome::Found { revision, row } => {
                let ours = row.attempt == self.attempt;
                let released = ours && row.state == State::Released;
                if !released && (ours || self.expected_revision == Some(*revision)) {
                    ReleaseCheck::Needed(Some(*revision))
                } else {
                    ReleaseCheck::NotNeeded
                }
            }
        }
    }
}
