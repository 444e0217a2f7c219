//! Inputs and actions of the [`Claims`](crate::Claims) state machine.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ErrorKind, ServiceName, Time};
use shallottack_platform::Transaction;
use smallvec::SmallVec;

use crate::{Answer, BatchId, BatchOutcome, ClaimRow, RequestDigest, StoredAnswer};

/// Number by which the daemon identifies a request. It is not reused while the request is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// A keyed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the request.
    pub request: RequestId,
    /// Service to which the request is addressed.
    pub service: ServiceName,
    /// Idempotency key.
    pub key: Arc<str>,
    /// Digest of the method, path and body of the request.
    pub digest: RequestDigest,
    /// Deadline of the request.
    pub deadline: Time,
}

/// Outcome of the read of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReadOutcome {
    /// The row was read.
    Found {
        /// Revision of the row.
        revision: u64,
        /// Value of the row.
        row: ClaimRow,
    },
    /// The row does not exist.
    Absent,
    /// The table did not respond, or the row could not be decoded.
    Unavailable,
}

/// Result of the run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunResult {
    /// The backend server answered.
    Answer(Arc<Answer>),
    /// The request was definitely not run, for example because admission control refused it.
    NotRun,
    /// The request may have run, and no complete answer came.
    Unknown,
}

/// Input of the state machine.
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
        /// Result of the run.
        result: RunResult,
    },
    /// The write of an answer object ended.
    PutDone {
        /// Key of the claim row.
        key: Arc<str>,
        /// Whether the object was written.
        written: bool,
    },
    /// The time that [`Claims::wake_at`](crate::Claims::wake_at) returned has come.
    Tick,
}

/// Action for the daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Commit a transaction and report with [`Input::BatchDone`].
    Commit {
        /// Number of the batch.
        batch: BatchId,
        /// The transaction.
        transaction: Transaction,
    },
    /// Read a row and report with [`Input::ReadDone`].
    ReadRow {
        /// Key of the row.
        key: Arc<str>,
    },
    /// Write an answer object and report with [`Input::PutDone`].
    PutObject {
        /// Key of the claim row.
        key: Arc<str>,
        /// Name of the object.
        name: String,
        /// Answer, to be stored as JSON.
        answer: Arc<Answer>,
    },
    /// Run the request and report with [`Input::RunDone`]. The response is sent to the caller
    /// without waiting for its storage.
    Run {
        /// Number of the request.
        request: RequestId,
    },
    /// Answer the request with the stored answer of an earlier attempt.
    AnswerStored {
        /// Number of the request.
        request: RequestId,
        /// Stored answer.
        answer: StoredAnswer,
    },
    /// Refuse the request. It was not started and never will be.
    Refuse {
        /// Number of the request.
        request: RequestId,
        /// Error kind of the refusal.
        kind: ErrorKind,
        /// Time after which the caller may retry, for kinds whose response has `Retry-After`.
        retry_after: Option<Duration>,
    },
}

/// Actions that result from one input.
pub type Actions = SmallVec<[Action; 4]>;
