//! Calls, their outcomes and what to do next.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ClassName, EndpointId, ErrorKind, GroupName, ServiceName, Time};

/// Identifies a call among those in progress at one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// A call that needs an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallInfo {
    /// Identifier, unique among the calls in progress.
    pub call: CallId,
    /// Service that answers the call.
    pub service: ServiceName,
    /// Class of the call.
    pub class: ClassName,
    /// Group of endpoints to use; any group when absent.
    pub group: Option<GroupName>,
    /// Time by which the answer must be complete.
    pub deadline: Time,
    /// Whether running the call twice does no harm: its class is idempotent or it is keyed.
    pub idempotent: bool,
    /// Retry budget that came with the call; absent when the call starts at this daemon.
    pub retry_budget: Option<u8>,
}

/// Where to send a call first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Choice {
    /// Send the call.
    Send {
        /// Endpoint to send it to.
        endpoint: EndpointId,
        /// Retry budget to send along.
        retry_budget: u8,
    },
    /// Answer with an error now; the call was not run.
    Fail {
        /// Kind of the answer.
        kind: ErrorKind,
        /// Time after which to retry, for kinds whose answer carries it.
        retry_after: Option<Duration>,
    },
}

/// Load that an endpoint's daemon reports with each answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls at the backend server.
    pub in_flight: u32,
    /// Calls queued at its daemon.
    pub queued: u32,
    /// Largest number of calls at the backend server at a time.
    pub limit: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server gave a complete answer.
    Answered {
        /// Whether the answer says that the backend server failed.
        failed: bool,
        /// Load reported with the answer.
        load: Option<LoadReport>,
        /// Whether the answer says that the endpoint is leaving.
        leaving: bool,
    },
    /// The endpoint's daemon answered with an error.
    Refused {
        /// Kind of the error.
        kind: ErrorKind,
        /// Whether the daemon states that the call was not run.
        not_run: bool,
        /// Time after which to retry, if stated.
        retry_after: Option<Duration>,
        /// Load reported with the answer.
        load: Option<LoadReport>,
        /// Whether the answer says that the endpoint is leaving.
        leaving: bool,
    },
    /// The connection ended before the answer was complete.
    Broken {
        /// Whether part of an answer had arrived.
        partial: bool,
    },
    /// The connection was refused; no byte of the call was sent.
    Unreachable,
    /// No answer in time.
    TimedOut,
}

/// What to do after an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NextStep {
    /// Pass the answer on.
    Done,
    /// Send the call again.
    Retry {
        /// Endpoint to send it to.
        endpoint: EndpointId,
        /// Time to wait first.
        delay: Duration,
        /// Retry budget to send along.
        retry_budget: u8,
    },
    /// Answer with an error now.
    Fail {
        /// Kind of the answer. It says "not run" only when no attempt may have run.
        kind: ErrorKind,
        /// Time after which to retry, for kinds whose answer carries it.
        retry_after: Option<Duration>,
    },
}

/// Evidence from calls that failure detection should look into.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hint {
    /// The endpoint's daemon refused a connection.
    Unreachable {
        /// Endpoint in question.
        endpoint: EndpointId,
        /// Its incarnation when the call was sent.
        incarnation: u64,
    },
    /// The endpoint was ejected because of faults.
    Suspect {
        /// Endpoint in question.
        endpoint: EndpointId,
        /// Its incarnation when the call was sent.
        incarnation: u64,
    },
}
