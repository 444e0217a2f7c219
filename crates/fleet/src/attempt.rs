//! What is asked of the placement of a request, and what it answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallottack_kernel::{EndpointId, ErrorKind, ServiceName, Time};
use smallvec::SmallVec;

use crate::{Load, VersionFilter};

/// A request that needs a backend server.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Service that runs it.
    pub service: ServiceName,
    /// Versions of the service that may run it.
    pub versions: VersionFilter,
    /// Route that it came by.
    pub route: Arc<str>,
    /// Time by which the response is of full use.
    pub goal: Time,
    /// Time by which the caller needs an answer.
    pub deadline: Time,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Most backend servers to which it may be sent.
    pub attempts: u8,
    /// Whether its caller was rejected before and came back as told.
    pub returned: bool,
}

/// What has happened to a request so far.
#[derive(Debug, Clone, Default)]
pub struct SendHistory {
    /// VMs that were tried.
    pub tried: SmallVec<[EndpointId; 4]>,
    /// Times that it was sent towards a backend server.
    pub sent: u8,
    /// Backend servers that it may have reached.
    pub arrivals: u8,
    /// Whether it may have run.
    pub ran: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To the daemon of a VM.
    Send {
        /// Name of the VM.
        vm: EndpointId,
        /// Address of its daemon.
        address: SocketAddr,
        /// Identifier of the backend server that is expected there.
        server: EndpointId,
        /// Whether it may wait there.
        may_wait: bool,
        /// Load that decided, as it was last reported.
        load: Load,
        /// Age of the load.
        age: Duration,
    },
    /// Nowhere: it is answered with this error.
    Reject {
        /// Why.
        kind: ErrorKind,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server gave a whole answer.
    Answered {
        /// Status code.
        status: u16,
        /// Time that it ran.
        run: Duration,
        /// Bytes of the bodies of request and response.
        bytes: usize,
    },
    /// The backend server stated that it did not run the request.
    Shed,
    /// The daemon of the VM refused; the request did not reach the backend server.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// Time after which there may be room.
        retry_after: Duration,
    },
    /// The daemon of the VM could not be reached; nothing was sent.
    Unreachable,
    /// The connection to the daemon of the VM ended or fell silent after the request was sent.
    Cut,
    /// The backend server's answer was lost, broken or another request's.
    Broken,
    /// No answer came before the deadline.
    TimedOut {
        /// Whether the request may have reached the backend server.
        ran: bool,
    },
}

/// What to do after a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Deliver the backend server's answer.
    Deliver,
    /// Choose again.
    Retry,
    /// Answer with an error.
    Fail {
        /// Why.
        kind: ErrorKind,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}
