//! Inputs of the state machine and the actions that it returns.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{DataCentre, EndpointId, GroupName, ServiceName};
use smallvec::SmallVec;

use crate::{Addresses, Member, Message};

/// Properties of the local daemon that are known before its backend server announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Endpoint id of the local daemon.
    pub endpoint: EndpointId,
    /// Data centre of the local daemon.
    pub data_centre: DataCentre,
    /// Addresses on which the local daemon listens.
    pub addresses: Addresses,
    /// Wall-clock time of the daemon's start in milliseconds since the Unix epoch;
    /// the incarnations of its record count up from it.
    pub incarnation: u64,
}

/// Announcement of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Version of the service.
    pub group: GroupName,
    /// Maximum number of calls that it runs concurrently.
    pub slots: u32,
    /// Time that it needs to warm up.
    pub cold_start: Duration,
}

/// An event that the daemon passes to [`crate::Membership::handle`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The time of [`crate::Membership::wake_at`] was reached.
    Tick,
    /// A message from another daemon arrived.
    Message {
        /// Sender of the message.
        from: EndpointId,
        /// The message.
        message: Message,
    },
    /// Addresses of daemons through which to join; replaces the earlier list.
    Seeds {
        /// Peers addresses of the seeds; that of the local daemon is ignored.
        addresses: Vec<SocketAddr>,
    },
    /// The local backend server announced itself. Each announcement restarts its cold start,
    /// except one that repeats the last while the record is `Starting`.
    Announce(Announcement),
    /// The local backend server or the daemon begins a graceful shutdown. Only a later
    /// [`Input::Announce`] ends it; a daemon that is itself shutting down must not pass one on.
    Leave {
        /// Members to notify immediately: those that recently served calls from this daemon or
        /// forwarded calls to it.
        notify: Vec<EndpointId>,
    },
    /// The daemon has drained and is about to exit; every later input is ignored.
    Stop,
    /// The daemon could not connect to the local backend server.
    BackendConnectFailed,
    /// A call to, or a probe of, the local backend server succeeded. Passing only the first
    /// success after each announcement and after each failed connection is enough.
    BackendResponded,
    /// The daemon of another endpoint did not answer a forwarded call.
    PeerUnresponsive {
        /// Endpoint that was called.
        endpoint: EndpointId,
    },
}

/// A side effect that the daemon has to carry out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Sends a message to a member.
    ///
    /// [`crate::Membership::peer_address`] returns its address. A message to a sender without a
    /// record, whose address is unknown, goes into the reply to the sender's envelope.
    Send {
        /// Endpoint of the receiver.
        to: EndpointId,
        /// The message.
        message: Message,
    },
    /// Sends a message to a seed whose endpoint id is not known.
    SendToSeed {
        /// Peers address of the seed.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The local view of a record changed.
    MemberChanged {
        /// Current view of the record.
        member: Arc<Member>,
    },
}

/// Actions that result from one input.
pub type Actions = SmallVec<[Action; 4]>;
