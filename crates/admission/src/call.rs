//! What goes into and comes out of an admission decision.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ClassName, ErrorKind, Time};
use smallvec::SmallVec;

/// Identifies a call among those in progress at one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// A call that arrives at the backend server's daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Identifier, unique among the calls in progress.
    pub call: CallId,
    /// Class of the call.
    pub class: ClassName,
    /// Time by which the answer must be complete.
    pub deadline: Time,
    /// Estimated service time. It is used only until the class has measured service times, so
    /// that a caller cannot lower its charge.
    pub cost: Option<Duration>,
}

/// A refusal; the call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind of the answer to the caller.
    pub kind: ErrorKind,
    /// Time after which the class is expected to have room for the call.
    pub retry_after: Duration,
}

/// Decision about an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionDecision {
    /// Send the call to the backend server now.
    Run,
    /// Hold the call until a later [`Dequeued`] names it.
    Queue,
    /// Answer with a refusal now.
    Refuse(Refusal),
}

/// How the backend server ended a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It gave a useful answer.
    Answered,
    /// It failed or its answer was broken.
    Failed,
    /// It refused the call because it is overloaded.
    Shed,
}

/// End of a call that was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Time from sending the call to the backend server to the end of its answer.
    pub latency: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// Queued calls whose wait is over.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dequeued {
    /// Calls to send to the backend server now, in this order.
    pub start: SmallVec<[CallId; 4]>,
    /// Calls to refuse now.
    pub refuse: SmallVec<[(CallId, Refusal); 4]>,
}

impl Dequeued {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.start.is_empty() && self.refuse.is_empty()
    }
}

/// Load of the backend server as its daemon sees it; reported in every answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls at the backend server.
    pub in_flight: u32,
    /// Calls held here.
    pub queued: u32,
    /// Largest number of calls at the backend server at a time.
    pub limit: u32,
}
