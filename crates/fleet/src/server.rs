//! State of the backend server on the same VM, taken from its heartbeats.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, GroupName, ServiceName, Time};

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
    /// Returns the notice for a backend server that is leaving, `None` for another one.
    pub fn of(server: &Server) -> Option<LeaveNotice> {
        let leaving = server.state != ServerState::Ready;
        leaving.then(|| LeaveNotice { id: server.id.clone(), started_ms: Some(server.started_ms) })
    }
}

/// Effect of a heartbeat or a leave notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerUpdate {
    /// The backend server, its incarnation or its state changed; other daemons must be notified.
    Changed,
    /// Nothing changed that concerns other daemons.
    Unchanged,
    /// The message is about an earlier incarnation or an unknown backend server, or is out of date.
    Stale,
}

/// State of the backend server on the same VM.
#[derive(Debug, Default)]
pub struct LocalServer {
    current: Option<Current>,
    /// Leave notice that came before any heartbeat, with the start time of that incarnation once it
    /// is known.
    early_leave: Option<LeaveNotice>,
}

#[derive(Debug)]
struct Current {
    server: Server,
    sequence: u64,
    last_heartbeat: Time,
    /// Start of the drain, which lasts for the rest of the incarnation.
    draining_since: Option<Time>,
}

impl LocalServer {
    /// Processes a heartbeat.
    pub fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> ServerUpdate {
        if let Some(notice) = &mut self.early_leave
            && notice.id == beat.server.id
            // A leave notice without a start time is about the first incarnation seen afterwards.
            && beat.server.started_ms <= *notice.started_ms.get_or_insert(beat.server.started_ms)
        {
            return ServerUpdate::Stale;
        }
        if let Some(current) = &mut self.current {
            let same = current.server.is_same_start(&beat.server);
            if beat.server.started_ms < current.server.started_ms || (same && current.has_left()) {
                return ServerUpdate::Stale;
            }
            if same {
                return current.update(now, beat);
            }
        }
        let draining_since = (beat.server.state != ServerState::Ready).then_some(now);
        self.current = Some(Current {
            server: beat.server.clone(),
            sequence: beat.sequence,
            last_heartbeat: now,
            draining_since,
        });
        ServerUpdate::Changed
    }

    /// Returns whether a heartbeat is the first one of a later incarnation.
    pub fn is_restart(&self, beat: &Heartbeat) -> bool {
        let server = self.server();
        server.is_some_and(|it| it.started_ms < beat.server.started_ms)
    }

    /// Processes a notice that the backend server `id` leaves without a drain.
    ///
    /// `started_ms` is the start time of the incarnation, if the notice states it.
    pub fn leave(&mut self, now: Time, id: &EndpointId, started_ms: Option<u64>) -> ServerUpdate {
        let Some(current) = self.current.as_mut().filter(|it| it.server.id == *id) else {
            self.early_leave = Some(LeaveNotice { id: id.clone(), started_ms });
            return ServerUpdate::Stale;
        };
        if started_ms.is_some_and(|it| it < current.server.started_ms) {
            return ServerUpdate::Stale;
        }
        current.draining_since.get_or_insert(now);
        if current.has_left() {
            return ServerUpdate::Unchanged;
        }
        current.server.state = ServerState::Gone;
        ServerUpdate::Changed
    }

    /// Processes a leave notice that the store or another daemon holds.
    ///
    /// It does not replace the notice of a later incarnation, or of an unknown one, which this daemon
    /// has received itself.
    pub fn restore_leave(&mut self, now: Time, notice: &LeaveNotice) -> ServerUpdate {
        let is_current = self.server().is_some_and(|it| it.id == notice.id);
        let is_later = |it: &LeaveNotice| {
            it.started_ms.is_none_or(|started_ms| Some(started_ms) >= notice.started_ms)
        };
        if !is_current && self.early_leave.as_ref().is_some_and(is_later) {
            return ServerUpdate::Stale;
        }
        self.leave(now, &notice.id, notice.started_ms)
    }

    /// Returns the leave notice that came before any heartbeat.
    pub fn early_leave(&self) -> Option<&LeaveNotice> {
        self.early_leave.as_ref()
    }

    /// Processes a response in which the backend server states that it is leaving.
    pub fn observe_leaving(&mut self, now: Time) -> ServerUpdate {
        let Some(current) = &mut self.current else { return ServerUpdate::Stale };
        current.draining_since.get_or_insert(now);
        if current.server.state != ServerState::Ready {
            return ServerUpdate::Unchanged;
        }
        current.server.state = ServerState::Draining;
        ServerUpdate::Changed
    }

    /// Returns the state of the backend server, or `None` before its first heartbeat.
    pub fn server(&self) -> Option<&Server> {
        self.current.as_ref().map(|it| &it.server)
    }

    /// Returns whether the backend server accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.current.as_ref().is_some_and(|it| it.server.state == ServerState::Ready)
    }

    /// Returns the time since the last heartbeat, or `None` before the first.
    pub fn heartbeat_age(&self, now: Time) -> Option<Duration> {
        self.current.as_ref().map(|it| now.since(it.last_heartbeat))
    }
}

impl Current {
    fn has_left(&self) -> bool {
        self.server.state == ServerState::Gone
    }

    fn update(&mut self, now: Time, beat: &Heartbeat) -> ServerUpdate {
        if beat.sequence <= self.sequence {
            return ServerUpdate::Stale;
        }
        self.sequence = beat.sequence;
        self.last_heartbeat = now;
        self.server.warmup_left = beat.server.warmup_left;
        let state =
            if self.draining_since.is_some() { ServerState::Draining } else { beat.server.state };
        if state != ServerState::Ready {
            self.draining_since.get_or_insert(now);
        }
        let changed = self.server.state != state || self.server.slots != beat.server.slots;
        self.server.state = state;
        self.server.slots = beat.server.slots;
        if changed { ServerUpdate::Changed } else { ServerUpdate::Unchanged }
    }
}
