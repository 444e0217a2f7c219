//! Inputs and actions of the claim decisions.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ErrorKind, ServiceName, Time};
use shallottack_platform::Transaction;
use smallvec::SmallVec;

use crate::{Answer, BatchId, BatchOutcome, ClaimRow, RequestDigest, StoredAnswer};

/// Number that the daemon gives a request; it is not used again while the request is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// A keyed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the request.
    pub request: RequestId,
    /// Service that answers the request.
    pub service: ServiceName,
    /// Idempotency key.
    pub key: Arc<str>,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Deadline of the request.
    pub deadline: Time,
}

/// Outcome of reading a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReadOutcome {
    /// The row.
    Found {
        /// Revision of the row.
        revision: u64,
        /// Value of the row.
        row: ClaimRow,
    },
    /// There is no such row.
    Absent,
    /// The table did not answer, or the row could not be decoded.
    Unavailable,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunResult {
    /// The backend server answered.
    Answer(Arc<Answer>),
    /// The request was certainly not run, for example because it was refused by admission control.
    NotRun,
    /// The request may have been run and no complete answer came.
    Unknown,
}

/// Input of the claim decisions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// A keyed request arrived.
    Arrive(Arrival),
    /// A batch transaction ended.
    BatchDone {
        /// Number of the batch.
        batch: BatchId,
        /// Outcome of the transaction.
        outcome: BatchOutcome,
    },
    /// The read of a row ended.
    ReadDone {
        /// Key of the row.
        key: Arc<str>,
        /// Outcome of the read.
        outcome: ReadOutcome,
    },
    /// The run of a request ended.
    RunDone {
        /// Number of the request.
        request: RequestId,
        /// How it ended.
        result: RunResult,
    },
    /// The write of an answer's object ended.
    PutDone {
        /// Key of the claim row.
        key: Arc<str>,
        /// Whether the object was written.
        written: bool,
    },
    /// The time of `wake_at` has come.
    Tick,
}

/// What the daemon does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Commit a transaction; answer with [`Input::BatchDone`].
    Commit {
        /// Number of the batch.
        batch: BatchId,
        /// The transaction.
        transaction: Transaction,
    },
    /// Read a row; answer with [`Input::ReadDone`].
    ReadRow {
        /// Key of the row.
        key: Arc<str>,
    },
    /// Write an object; answer with [`Input::PutDone`].
    PutObject {
        /// Key of the claim row.
        key: Arc<str>,
        /// Name of the object.
        name: String,
        /// The answer, which is stored as JSON.
        answer: Arc<Answer>,
    },
    /// Run the request; answer with [`Input::RunDone`]. The response goes to the caller at once.
    Run {
        /// Number of the request.
        request: RequestId,
    },
    /// Answer the request with the stored answer of an earlier one.
    AnswerStored {
        /// Number of the request.
        request: RequestId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Refuse the request. It was not started and will not be.
    Refuse {
        /// Number of the request.
        request: RequestId,
        /// Kind of the refusal.
        kind: ErrorKind,
        /// When to come back, for kinds whose answer carries `Retry-After`.
        retry_after: Option<Duration>,
    },
}

/// Actions of one input.
pub type Actions = SmallVec<[Action; 4]>;
