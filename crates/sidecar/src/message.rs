//! Messages between daemons.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use shallottack_fleet::{Digest, Evidence, Load, LoadReport, Member};
use shallottack_kernel::{EndpointId, ErrorKind, ServiceName};

use crate::config_history::CompressedConfig;

/// Head of a request on its way to the daemon beside the backend server; the body follows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identifier that the caller gave the request.
    pub id: String,
    /// Identifier of the backend server that is meant.
    pub server: EndpointId,
    /// Service on whose VM the request started.
    pub caller: ServiceName,
    /// Route that it came by.
    pub route: Arc<str>,
    /// Rank of the route.
    pub priority: u8,
    /// Whether it was sent to another backend server before.
    pub repeat: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its caller was rejected before and came back as told.
    pub returned: bool,
    /// Time left in which the response is of full use.
    pub goal: Duration,
    /// Time left in which the response is of any use.
    pub left: Duration,
    /// Whether it may wait for a slot.
    pub may_wait: bool,
    /// Method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers that are passed on.
    pub headers: Vec<(String, Vec<u8>)>,
}

/// Head of the answer to a [`RunRequest`]; the body of a response follows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunReply {
    /// VM of the sender, which differs from the one that was meant when an address is used again.
    pub vm: EndpointId,
    /// How the request ended.
    pub end: End,
    /// Time from the arrival of the request to this answer.
    pub held: Duration,
    /// Load of the backend server.
    pub load: Load,
    /// Versions of the operators' rows that the sender holds.
    pub versions: Versions,
}

/// How a request ended at the daemon beside the backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum End {
    /// The backend server gave a whole answer.
    Answered {
        /// Status code.
        status: u16,
        /// Headers that are passed on.
        headers: Vec<(String, Vec<u8>)>,
        /// Time that it ran.
        run: Duration,
    },
    /// The backend server stated that it did not run the request.
    Shed,
    /// It did not reach the backend server.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// Time after which there may be room.
        after: Duration,
    },
    /// The backend server's answer was lost, broken or another request's.
    Broken(String),
    /// No answer came before the deadline.
    TimedOut,
}

/// Order of a rollout as it lies in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderRow {
    /// Key of its row.
    pub key: String,
    /// Version of its row.
    pub row: u64,
    /// Value of the row.
    pub bytes: Vec<u8>,
}

/// Versions of the operators' rows that a daemon holds, 0 for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Row version of the configuration.
    pub config: u64,
    /// Newest row version among the orders of rollouts.
    pub orders: u64,
}

impl Versions {
    /// Returns whether any of the rows is newer than those of `other`.
    pub fn newer_than(self, other: Versions) -> bool {
        self.config > other.config || self.orders > other.orders
    }
}

/// Counts of one daemon for the rollouts in progress.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Counted {
    /// VM of the daemon.
    pub vm: EndpointId,
    /// Its incarnation.
    pub incarnation: u64,
    /// The counts for one order.
    pub evidence: Evidence,
}

/// What a daemon tells another one about itself, and what it has heard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct News {
    /// Description of the sender.
    pub own: Member,
    /// Load of its backend server.
    pub load: Load,
    /// Versions of the operators' rows that it holds.
    pub versions: Versions,
    /// Counts of the rollouts in progress, its own ones first.
    pub counted: Vec<Counted>,
    /// Loads of other backend servers.
    pub reports: Vec<LoadReport>,
    /// Members whose descriptions are new, or that the receiver is known to lack.
    pub members: Vec<Member>,
    /// Digests of its directory; empty when the directories are not to be compared.
    pub digests: Vec<Digest>,
}

/// What a daemon asks another one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncRequest {
    /// What it tells.
    pub news: News,
    /// Whether the answer is to bring the operators' rows.
    pub fetch: bool,
}

/// Answer to a [`SyncRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncReply {
    /// What the answering daemon tells; its digests are there when they differ.
    pub news: News,
    /// Configuration that was asked for, if it is newer than the asking daemon's.
    pub config: Option<CompressedConfig>,
    /// Orders of rollouts that were asked for.
    pub orders: Vec<OrderRow>,
}

/// Encodes a message.
///
/// # Panics
///
/// Never: the messages have no type that the codec can't encode.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages can be encoded")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns the codec's message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|it| it.to_string())
}
