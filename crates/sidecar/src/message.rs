//! Messages between daemons and their encoding.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use shallottack_fleet::{
    Digest, Evidence, LeaveNotice, Load, LoadReport, Member, Rank, RateLimit, RepeatCause,
    RequestKey, Revocation, RowVersion, SendId, ShareRequest, Ticket,
};
use shallottack_kernel::{EndpointId, ErrorKind, ServiceName, Time};
use smallvec::SmallVec;

use crate::config_history::CompressedConfig;

/// Identifies a send, and states when it was sent.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct SendStamp {
    /// Identifier of the send.
    pub id: SendId,
    /// Time at which the message was sent, on the sender's clock.
    pub sent: Time,
}

/// Header of a request to the daemon beside the chosen backend server; the body follows separately.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRequest {
    /// Request identifier set by the caller.
    pub id: String,
    /// Identifies this send; `None` within one daemon.
    pub stamp: Option<SendStamp>,
    /// Identifier of the chosen backend server.
    pub server: EndpointId,
    /// Service on whose VM the request originated.
    pub caller: ServiceName,
    /// Recognises the request when it is sent again.
    pub key: RequestKey,
    /// Route of the request.
    pub route: Arc<str>,
    /// Organisation whose key the caller sent, if any.
    pub organisation: Option<Arc<str>>,
    /// Rank among the requests that compete for the slots.
    pub rank: Rank,
    /// Rank among the requests of the route.
    pub ticket: Ticket,
    /// Whether it is a call that names the request whose run makes it.
    pub named_call: bool,
    /// Why the request is a repeat, `None` if it reached no backend server before and no repeat
    /// makes it.
    pub repeat: Option<RepeatCause>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the caller was rejected before and waited as told by `Retry-After`.
    pub returned: bool,
    /// Time left until the latency goal.
    pub goal: Duration,
    /// Time left until the deadline.
    pub left: Duration,
    /// Rate limit of the backend server as far as the sender knows, for a receiver that has just
    /// started.
    pub rate_limit: Option<RateLimit>,
    /// Whether the request may wait for a slot.
    pub may_wait: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query as sent by the caller.
    pub target: String,
    /// Headers to forward, without hop-by-hop headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Lower bound of the time on the way, which the receiver finds.
    #[serde(skip)]
    pub delay: Duration,
}

/// Header of the reply to a [`RunRequest`]; the body of the response follows separately.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunReply {
    /// VM of the sender; differs from the expected one if its address was reassigned.
    pub vm: EndpointId,
    /// Outcome of the request.
    pub outcome: RunOutcome,
    /// Time from the arrival of the request to this reply.
    pub elapsed: Duration,
    /// Load of the sender's backend server.
    pub load: Load,
    /// Lowest ticket with which another request of the route would be admitted.
    pub lowest: Option<Ticket>,
    /// Versions of the operator rows held by the sender.
    pub versions: Versions,
}

/// Outcome of a request at the daemon beside the backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The backend server sent a complete response.
    Answered {
        /// Status code.
        status: u16,
        /// Headers to forward, without hop-by-hop headers.
        headers: Vec<(String, Vec<u8>)>,
        /// Run time at the backend server.
        run: Duration,
    },
    /// The backend server stated that it did not run the request.
    Shed,
    /// The daemon refused the request, which did not reach the backend server.
    Refused {
        /// Kind of error.
        kind: ErrorKind,
        /// Time after which a slot may be free.
        retry_after: Duration,
    },
    /// The response was lost, malformed or belongs to another request.
    Broken(String),
    /// No response arrived before the deadline.
    TimedOut,
}

/// Revocation of a request that has not been answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// Identifies the send of the request; the time is that of the revocation.
    pub stamp: SendStamp,
    /// Time from the send to the revocation.
    pub age: Duration,
    /// Request identifier set by the caller, for the log.
    pub request: String,
}

/// Reply to a [`RevokeRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RevokeReply {
    /// VM of the sender of the reply.
    pub vm: EndpointId,
    /// Whether the request has started.
    pub revocation: Revocation,
}

/// An encoded rollout order or evacuation as stored by the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row.
    pub row: RowVersion,
    /// Value of the row, `None` if it was removed.
    pub bytes: Option<Vec<u8>>,
}

/// Versions of the configuration, the rollout orders and the evacuations held by a daemon, 0 for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the configuration.
    pub config: u64,
    /// Newest row version among the rollout orders and the evacuations.
    pub orders: RowVersion,
    /// Era of the store, 0 if it is not known.
    pub era: u64,
}

impl Versions {
    /// Returns the newer of each pair.
    pub fn max(self, other: Versions) -> Versions {
        Versions {
            config: self.config.max(other.config),
            orders: self.orders.max(other.orders),
            era: self.era.max(other.era),
        }
    }

    /// Returns whether any of them is newer than that of `other`.
    pub fn newer_than(self, other: Versions) -> bool {
        self.config > other.config || self.orders > other.orders
    }
}

/// Evidence of one daemon about one rollout, labelled with its source.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SourcedEvidence {
    /// VM of the daemon.
    pub vm: EndpointId,
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// The evidence for one rollout order.
    pub evidence: Evidence,
}

/// What a daemon sends another one about itself and about other daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Gossip {
    /// Description of the sender.
    pub own: Member,
    /// Load of the sender's backend server.
    pub load: Load,
    /// Versions of the operator rows held by the sender.
    pub versions: Versions,
    /// Evidence about rollouts in progress; for each one, the sender's own comes first.
    pub evidence: Vec<SourcedEvidence>,
    /// Loads of other backend servers.
    pub reports: Vec<LoadReport>,
    /// Members whose descriptions are new or missing at the receiver.
    pub members: Vec<Member>,
    /// Leaves of backend servers that the sender knows for the VM of the receiver, whose daemon may
    /// have started again since.
    pub leaves: SmallVec<[LeaveNotice; 1]>,
    /// Digests of the sender's directory; empty if the directories are not compared.
    pub digests: Vec<Digest>,
    /// Operator rows that the receiver lacks, as far as the sender knows.
    pub rows: OperatorRows,
}

/// Operator rows, sent by a daemon that holds newer ones than the receiver.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OperatorRows {
    /// Configuration, if it is newer than the receiver's.
    pub config: Option<CompressedConfig>,
    /// All rollout orders and evacuations, if any of them is newer than the receiver's.
    pub orders: Vec<OrderRow>,
}

/// Message of a daemon that another one replies to at once.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Exchanges state; the reply is a [`SyncReply`].
    Sync(Box<SyncRequest>),
    /// Lends shares of quotas and asks for others; the reply is a
    /// [`ShareReply`](shallottack_fleet::ShareReply).
    Share(ShareRequest),
}

/// Request of a daemon to exchange state with another one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncRequest {
    /// State of the sender.
    pub gossip: Gossip,
    /// Whether the reply should contain the operator rows, however long they are.
    pub fetch: bool,
}

/// Reply to a [`SyncRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncReply {
    /// State of the replying daemon, with its digests if they differ.
    pub gossip: Gossip,
}

/// Encodes a message.
///
/// # Panics
///
/// Never panics for the messages of this module: the codec can encode all of their types.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages can be encoded")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns the error message of the codec.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|it| it.to_string())
}
