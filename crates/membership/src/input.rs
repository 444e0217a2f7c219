//! Inputs of the core and the actions it asks for.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{DataCentre, EndpointId, GroupName, ServiceName};
use smallvec::SmallVec;

use crate::{Addresses, Member, Message};

/// What a daemon knows about itself before its backend server announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Endpoint of this daemon.
    pub endpoint: EndpointId,
    /// Data centre of this daemon.
    pub data_centre: DataCentre,
    /// Addresses on which this daemon listens.
    pub addresses: Addresses,
    /// Wall-clock time of the daemon's start in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// What a backend server states when it announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Version of the service.
    pub group: GroupName,
    /// Calls that it runs at the same time.
    pub slots: u32,
    /// Time during which it is still warming up.
    pub cold_start: Duration,
}

/// Something that happened to the daemon.
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
    /// Peers addresses of daemons through which to join; replaces the earlier list.
    Seeds {
        /// The addresses; the daemon's own one is ignored.
        addresses: Vec<SocketAddr>,
    },
    /// The own backend server announced itself. Each announcement starts its cold start anew,
    /// except one that repeats the last while the record is `Starting`.
    Announce(Announcement),
    /// The own backend server or the daemon begins a graceful shutdown. Only a later
    /// [`Input::Announce`] ends it, which a daemon that is itself shutting down must not pass on.
    Leave {
        /// Members that serve recent calls from this daemon or forwarded recent calls to it; they
        /// are told immediately.
        notify: Vec<EndpointId>,
    },
    /// The daemon has drained and is about to exit; every later input is ignored.
    Stop,
    /// The daemon could not connect to the own backend server.
    BackendConnectFailed,
    /// A call to, or a probe of, the own backend server succeeded. Passing the first success after
    /// each announcement and after each failed connection is enough.
    BackendResponded,
    /// A peer's daemon did not answer a forwarded call.
    PeerUnresponsive {
        /// The endpoint that was called.
        endpoint: EndpointId,
    },
}

/// Something that the daemon has to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Sends a message to a member.
    ///
    /// The address is that of [`crate::Membership::peer_address`]. A sender that has no record
    /// yet has no address here: the message to it goes into the reply to its envelope.
    Send {
        /// Receiver.
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
    /// A record changed as seen by this daemon.
    MemberChanged {
        /// The record as it is now.
        member: Arc<Member>,
    },
}

/// Actions that result from one input.
pub type Actions = SmallVec<[Action; 4]>;
