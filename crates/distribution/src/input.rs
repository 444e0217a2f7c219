//! Inputs and actions of the core.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallottack_config::{Catalog, Version};
use shallottack_kernel::{DataCentre, EndpointId, Time};
use smallvec::SmallVec;

use crate::{Message, Report};

/// A daemon and where it is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Endpoint of the daemon.
    pub endpoint: EndpointId,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
}

/// The head row as far as distribution needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObservedHead {
    /// Latest accepted version.
    pub version: Version,
}

/// Value of the row `lease/source/<data centre>`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder of the lease.
    pub holder: EndpointId,
    /// Fencing epoch, raised with each change of holder.
    pub epoch: u64,
    /// Time after which the lease may be taken over when it was not renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// The lease row as read from the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObservedLease {
    /// Revision of the row.
    pub revision: u64,
    /// Value of the row.
    pub row: LeaseRow,
}

/// The platform did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Unavailable;

/// Why deltas or a snapshot were not fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FetchError {
    /// An object or row is missing or torn.
    Missing,
    /// The platform did not answer.
    Unavailable,
}

/// Result of a commit of the lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The row was written.
    Committed,
    /// Another daemon wrote the row.
    Conflict,
    /// The row was not written, or its state is unknown.
    Unconfirmed,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Input {
    /// The time of `wake_at` has come.
    Tick,
    /// The live members of all data centres, with or without this daemon.
    Peers(Vec<Peer>),
    /// A message arrived.
    Message {
        /// Endpoint of the sender.
        from: EndpointId,
        /// The message.
        message: Message,
    },
    /// Another message is about to be sent to this peer, so that a probe can share its envelope.
    Piggyback {
        /// Endpoint of the peer.
        to: EndpointId,
    },
    /// Answer to [`Action::ReadHead`]; `None` when no version was ever accepted.
    HeadRead(Result<Option<ObservedHead>, Unavailable>),
    /// Answer to [`Action::ReadLease`].
    LeaseRead(Result<Option<ObservedLease>, Unavailable>),
    /// Answer to [`Action::CommitLease`].
    LeaseCommitted {
        /// Time from the action.
        requested: Time,
        /// Result of the commit.
        outcome: LeaseOutcome,
    },
    /// Answer to [`Action::FetchDeltas`]: JSON of deltas in order, the first from the version
    /// asked for.
    DeltasFetched(Result<Vec<Arc<[u8]>>, FetchError>),
    /// Answer to [`Action::FetchSnapshot`]: JSON of a catalog.
    SnapshotFetched(Result<Arc<[u8]>, FetchError>),
    /// This daemon committed a change: JSON of its delta.
    Committed(Arc<[u8]>),
}

/// Something to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// Endpoint of the receiver.
        to: EndpointId,
        /// The message.
        message: Message,
    },
    /// Read the head row.
    ReadHead,
    /// Read the lease row of this daemon's data centre.
    ReadLease,
    /// Write the lease row of this daemon's data centre.
    CommitLease {
        /// Revision that the row must have; `None` when it must be absent.
        revision: Option<u64>,
        /// New value.
        row: LeaseRow,
        /// Time of the request, to be returned with its result.
        requested: Time,
    },
    /// Fetch the deltas that follow a version from the platform.
    FetchDeltas {
        /// Version in hand.
        from: Version,
    },
    /// Fetch a snapshot from the platform.
    FetchSnapshot {
        /// Number of newer snapshots to pass over, since they were missing or torn.
        skip: u8,
    },
    /// Put a validated catalog in force.
    Apply(Arc<Catalog>),
    /// The in-force report of the data centre changed; given by a source.
    Report(Report),
}

/// Actions of one input, in the order in which to carry them out.
pub type Actions = SmallVec<[Action; 4]>;
