//! The backend server on the same VM, as its heartbeats describe it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, GroupName, ServiceName, Time};

/// Whether a backend server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Takes new requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Has left or does not answer.
    Gone,
}

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The backend server.
    pub server: Server,
    /// Unix time of its start in milliseconds.
    pub started_ms: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
}

/// A backend server as other daemons know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Identifier of the backend server.
    pub id: EndpointId,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of its software.
    pub group: GroupName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ServerState,
    /// Time for which it stays slow, counted from the report.
    pub warmup_left: Duration,
}

/// What a heartbeat or a notice of leaving changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerUpdate {
    /// Another backend server, incarnation or state, which other daemons need to hear of.
    Changed,
    /// Nothing new.
    Unchanged,
    /// Late news of an earlier incarnation; ignored.
    Stale,
}

/// State of the backend server on the same VM.
#[derive(Debug, Default)]
pub struct LocalServer {
    known: Option<Known>,
    /// Server whose leave was acknowledged although it had sent no heartbeat, with the start of
    /// that incarnation once it is known.
    unheard: Option<(EndpointId, Option<u64>)>,
}

#[derive(Debug)]
struct Known {
    server: Server,
    started_ms: u64,
    sequence: u64,
    heard: Time,
    /// Draining binds for the rest of the incarnation.
    drained: Option<Time>,
}

impl LocalServer {
    /// Takes a heartbeat.
    pub fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> ServerUpdate {
        if let Some((id, started_ms)) = &mut self.unheard
            && *id == beat.server.id
            // Without a stated start, the first incarnation that is heard of is the one that left.
            && beat.started_ms <= *started_ms.get_or_insert(beat.started_ms)
        {
            return ServerUpdate::Stale;
        }
        if let Some(known) = &mut self.known {
            let same = known.server.id == beat.server.id;
            if beat.started_ms < known.started_ms
                || (same && beat.started_ms == known.started_ms && known.left())
            {
                return ServerUpdate::Stale;
            }
            if same && beat.started_ms == known.started_ms {
                return known.update(now, beat);
            }
        }
        let drained = (beat.server.state != ServerState::Ready).then_some(now);
        self.known = Some(Known {
            server: beat.server.clone(),
            started_ms: beat.started_ms,
            sequence: beat.sequence,
            heard: now,
            drained,
        });
        ServerUpdate::Changed
    }

    /// Takes the notice that the backend server `id`, which started at `started_ms` if that is stated,
    /// leaves without a drain before.
    pub fn leave(&mut self, now: Time, id: &EndpointId, started_ms: Option<u64>) -> ServerUpdate {
        let Some(known) = self.known.as_mut().filter(|it| it.server.id == *id) else {
            self.unheard = Some((id.clone(), started_ms));
            return ServerUpdate::Stale;
        };
        if started_ms.is_some_and(|it| it < known.started_ms) {
            return ServerUpdate::Stale;
        }
        known.drained.get_or_insert(now);
        if known.left() {
            return ServerUpdate::Unchanged;
        }
        known.server.state = ServerState::Gone;
        ServerUpdate::Changed
    }

    /// Returns the backend server if it has said anything.
    pub fn server(&self) -> Option<&Server> {
        self.known.as_ref().map(|it| &it.server)
    }

    /// Returns whether new requests may be sent to the backend server.
    pub fn is_ready(&self) -> bool {
        self.known.as_ref().is_some_and(|it| it.server.state == ServerState::Ready)
    }

    /// Returns the time since the last heartbeat, or `None` before the first.
    pub fn heartbeat_age(&self, now: Time) -> Option<Duration> {
        self.known.as_ref().map(|it| now.since(it.heard))
    }
}

impl Known {
    fn left(&self) -> bool {
        self.server.state == ServerState::Gone
    }

    fn update(&mut self, now: Time, beat: &Heartbeat) -> ServerUpdate {
        if beat.sequence <= self.sequence {
            return ServerUpdate::Stale;
        }
        self.sequence = beat.sequence;
        self.heard = now;
        self.server.warmup_left = beat.server.warmup_left;
        let state = if self.drained.is_some() { ServerState::Draining } else { beat.server.state };
        if state != ServerState::Ready {
            self.drained.get_or_insert(now);
        }
        let changed = self.server.state != state || self.server.slots != beat.server.slots;
        self.server.state = state;
        self.server.slots = beat.server.slots;
        if changed { ServerUpdate::Changed } else { ServerUpdate::Unchanged }
    }
}
