//! Inputs and results of placing a request on a backend server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallottack_kernel::{EndpointId, ErrorKind, Run, ServiceName, Time};
use smallvec::SmallVec;

use crate::{Load, RepeatCause, RepeatDecision, RequestKey, Server, Ticket, VersionFilter};

/// A request that needs a backend server.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Service that runs the request.
    pub service: ServiceName,
    /// Versions of the service that may run the request.
    pub versions: VersionFilter,
    /// Name of the matching route.
    pub route: Arc<str>,
    /// Rank among the requests of the route.
    pub ticket: Ticket,
    /// Time by which the response meets the latency goal.
    pub goal: Time,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Time,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Maximum number of backend servers that may receive the request.
    pub attempts: u8,
    /// Whether the caller was rejected earlier and retried after the stated wait.
    pub returned: bool,
    /// Set if the request may run at one backend server only, which all daemons choose alike.
    pub trial: Option<RequestKey>,
}

/// Sends of one request so far.
#[derive(Debug, Clone, Default)]
pub struct SendHistory {
    /// VMs that the request was sent to.
    pub tried: SmallVec<[EndpointId; 4]>,
    /// Number of sends, including those that did not reach a backend server.
    pub sent: u8,
    /// Number of sends that reached a backend server or may have.
    pub arrivals: u8,
    /// Whether a backend server may have run the request.
    pub ran: bool,
    /// Why the last granted repeat was needed; `None` for a request that arrived nowhere yet.
    pub repeat: Option<RepeatCause>,
    /// Decision on a repeat after the last send, `None` if the retry budget was not asked.
    pub decision: Option<RepeatDecision>,
}

impl SendHistory {
    /// Returns the error kind that is consistent with the sends so far.
    pub fn final_kind(&self, kind: ErrorKind) -> ErrorKind {
        match kind.answer().run {
            Run::No if self.ran => ErrorKind::OutcomeUnknown,
            _ => kind,
        }
    }
}

/// Decision on where to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send it to the daemon of a VM.
    Send {
        /// Name of the VM.
        vm: EndpointId,
        /// Address of its daemon.
        address: SocketAddr,
        /// Backend server expected on the VM.
        server: Server,
        /// Whether the request may wait there for a slot.
        may_wait: bool,
        /// Whether a free slot is expected there.
        has_room: bool,
        /// Last reported load of the backend server, which the decision used.
        load: Load,
        /// Age of that load.
        age: Duration,
    },
    /// Answer it with an error.
    Reject {
        /// Reason for the error.
        kind: ErrorKind,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Result of one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server returned a complete response.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Run time at the backend server.
        run: Duration,
        /// Size of the request and response bodies in bytes.
        bytes: usize,
    },
    /// The backend server stated that it did not run the request.
    Shed,
    /// The daemon of the VM refused the request before it reached the backend server.
    Refused {
        /// Reason for the refusal.
        kind: ErrorKind,
        /// Time after which a slot may be free.
        retry_after: Duration,
    },
    /// The daemon of the VM could not be reached, and nothing was sent.
    Unreachable,
    /// The daemon of the VM confirmed that it has not started the request and never will.
    Revoked,
    /// The connection to the daemon of the VM closed or timed out after the request was sent.
    Cut,
    /// The backend server's response was lost, malformed or meant for another request.
    Broken,
    /// No response arrived before the deadline.
    TimedOut {
        /// Whether the request may have run.
        ran: bool,
    },
}

/// Next step after a send has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Deliver the backend server's response to the caller.
    Deliver,
    /// Choose a backend server again.
    Retry,
    /// Answer the caller with an error.
    Fail {
        /// Reason for the error.
        kind: ErrorKind,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}
