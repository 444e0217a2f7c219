//! Inputs and results of routing decisions.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ClassName, EndpointId, ErrorKind, GroupName, ServiceName, Time};

/// Identifier of a call, unique among the calls in progress at one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// Call that needs an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallInfo {
    /// Identifier, unique among the calls in progress.
    pub call: CallId,
    /// Service that the call is for.
    pub service: ServiceName,
    /// Class of the call.
    pub class: ClassName,
    /// Group of endpoints to use, or any group if absent.
    pub group: Option<GroupName>,
    /// Time by which the answer must be complete.
    pub deadline: Time,
    /// Whether the call may run more than once: its class is idempotent or it has an idempotency
    /// key.
    pub idempotent: bool,
    /// Retry budget received with the call, or `None` if the call starts at this daemon.
    pub retry_budget: Option<u8>,
}

/// Decision on the first attempt of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Choice {
    /// Send the call.
    Send {
        /// Endpoint to send the call to.
        endpoint: EndpointId,
        /// Retry budget to send with the call.
        retry_budget: u8,
    },
    /// Answer with an error. The call was not run.
    Fail {
        /// Error kind of the answer.
        kind: ErrorKind,
        /// Retry-after time, for error kinds whose answer includes it.
        retry_after: Option<Duration>,
    },
}

/// Load that the daemon of an endpoint reports with each answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of calls at the backend server.
    pub in_flight: u32,
    /// Number of calls queued at its daemon.
    pub queued: u32,
    /// Maximum number of concurrent calls at the backend server.
    pub limit: u32,
}

/// Result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server gave a complete answer.
    Answered {
        /// Whether the answer states a failure of the backend server.
        failed: bool,
        /// Load reported with the answer.
        load: Option<LoadReport>,
        /// Whether the answer states that the endpoint is leaving.
        leaving: bool,
    },
    /// The endpoint's daemon answered with an error.
    Refused {
        /// Error kind.
        kind: ErrorKind,
        /// Whether the daemon states that the call was not run.
        not_run: bool,
        /// Retry-after time, if stated.
        retry_after: Option<Duration>,
        /// Load reported with the answer.
        load: Option<LoadReport>,
        /// Whether the answer states that the endpoint is leaving.
        leaving: bool,
    },
    /// The connection ended before the answer was complete.
    Broken {
        /// Whether part of an answer had arrived.
        partial: bool,
    },
    /// No connection was made, so no byte of the call was sent.
    Unreachable,
    /// No answer arrived in time.
    TimedOut,
}

/// Decision after an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NextStep {
    /// Pass on the answer.
    Done,
    /// Send the call again.
    Retry {
        /// Endpoint to send the call to.
        endpoint: EndpointId,
        /// Time to wait before sending.
        delay: Duration,
        /// Retry budget to send with the call.
        retry_budget: u8,
    },
    /// Answer with an error.
    Fail {
        /// Error kind of the answer. It means "not run" only if no attempt can have run.
        kind: ErrorKind,
        /// Retry-after time, for error kinds whose answer includes it.
        retry_after: Option<Duration>,
    },
}

/// Sign of a failed endpoint for failure detection to verify.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hint {
    /// The daemon of the endpoint could not be reached.
    Unreachable {
        /// Endpoint concerned.
        endpoint: EndpointId,
        /// Last known incarnation of the endpoint.
        incarnation: u64,
    },
    /// Calls to the endpoint failed more often than calls to the others, or a connection to it
    /// ended before the answer was complete.
    Suspect {
        /// Endpoint concerned.
        endpoint: EndpointId,
        /// Last known incarnation of the endpoint.
        incarnation: u64,
    },
}
