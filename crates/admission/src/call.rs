//! Inputs and results of admission decisions.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ClassName, ErrorKind, Time};
use smallvec::SmallVec;

/// Identifier of a call, unique among the calls in progress at one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// Call that arrives at the backend server's daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Identifier, unique among the calls in progress.
    pub call: CallId,
    /// Class of the call.
    pub class: ClassName,
    /// Time by which the answer must be complete.
    pub deadline: Time,
    /// Estimated service time. Ignored once service times of the class have been measured, so
    /// that callers can't understate the cost of their calls.
    pub cost: Option<Duration>,
}

/// Refusal of a call that was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Error kind of the answer to the caller.
    pub kind: ErrorKind,
    /// Time after which the queue of the class is expected to have room for the call.
    pub retry_after: Duration,
}

/// Decision on an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionDecision {
    /// Send the call to the backend server now.
    Run,
    /// Keep the call queued until a later [`Dequeued`] lists it.
    Queue,
    /// Answer the caller with the refusal now.
    Refuse(Refusal),
}

/// How a call ended at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server answered.
    Answered,
    /// The call failed or its answer was incomplete.
    Failed,
    /// The backend server refused the call because it is overloaded.
    Shed,
}

/// Result of a call that was sent to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Time from sending the call to the backend server to the end of its answer.
    pub latency: Duration,
    /// How the call ended.
    pub outcome: Outcome,
}

/// Calls that leave the queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dequeued {
    /// Calls to send to the backend server now, in this order.
    pub start: SmallVec<[CallId; 4]>,
    /// Calls to refuse now.
    pub refuse: SmallVec<[(CallId, Refusal); 4]>,
}

impl Dequeued {
    /// Returns whether no call leaves the queue.
    pub fn is_empty(&self) -> bool {
        self.start.is_empty() && self.refuse.is_empty()
    }
}

/// Load of the backend server as seen by its daemon, reported in every answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls at the backend server.
    pub in_flight: u32,
    /// Calls queued at its daemon.
    pub queued: u32,
    /// Maximum number of concurrent calls at the backend server.
    pub limit: u32,
}
