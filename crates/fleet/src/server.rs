//! Backend servers, their heartbeats and their leave notices.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, GroupName, ServiceName};

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Draining,
    /// Has left or does not respond.
    Gone,
}

/// Heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// State of the backend server.
    pub server: Server,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
}

/// Most requests that a backend server runs at once; each takes a connection to its one address.
const MAX_SLOTS: u32 = 65_535;

impl Heartbeat {
    /// Checks the figures of a heartbeat, which any process on the VM may have sent.
    ///
    /// # Errors
    ///
    /// Returns the reason why no backend server states them.
    pub fn check(&self) -> Result<(), String> {
        let slots = self.server.slots;
        if !(1..=MAX_SLOTS).contains(&slots) {
            return Err(format!("{slots} requests at once are not between 1 and {MAX_SLOTS}"));
        }
        Ok(())
    }
}

/// State of a backend server that is published to other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Identifier of the backend server.
    pub id: EndpointId,
    /// Unix time of its start in milliseconds; identifies the incarnation.
    pub started_ms: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of its software.
    pub group: GroupName,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Remaining warm-up time, during which it is slow, counted from the report.
    pub warmup_left: Duration,
}

impl Server {
    /// Returns whether both are states of one incarnation of a backend server.
    pub fn is_same_start(&self, other: &Server) -> bool {
        self.id == other.id && self.started_ms == other.started_ms
    }
}

/// Notice that a backend server leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveNotice {
    /// Identifier of the backend server.
    pub id: EndpointId,
    /// Unix time of its start in milliseconds, if the notice states it.
    pub started_ms: Option<u64>,
}

impl LeaveNotice {
    /// Returns whether the notice is about an incarnation, as far as it states one.
    pub fn is_about(&self, server: &Server) -> bool {
        self.id == server.id && self.started_ms.is_none_or(|it| it == server.started_ms)
    }

    /// Returns the notice for a backend server that is leaving, `None` for another one.
    pub fn of(server: &Server) -> Option<LeaveNotice> {
        let leaving = server.state != ServerState::Ready;
        leaving.then(|| LeaveNotice { id: server.id.clone(), started_ms: Some(server.started_ms) })
    }
}
