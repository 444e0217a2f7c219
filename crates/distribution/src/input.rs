//! Inputs of the state machine and the actions that it returns.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallottack_config::{Catalog, Version};
use shallottack_kernel::{DataCentre, EndpointId, Time};
use smallvec::SmallVec;

use crate::{Message, Report};

/// A daemon and its data centre.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Endpoint of the daemon.
    pub endpoint: EndpointId,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
}

/// The part of the head row that distribution uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObservedHead {
    /// Latest accepted version.
    pub version: Version,
}

/// Value of the row `lease/source/<data centre>`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Daemon that holds the lease.
    pub holder: EndpointId,
    /// Fencing epoch, incremented with every change of holder.
    pub epoch: u64,
    /// Time without a renewal after which the lease expires, in milliseconds.
    pub ttl_ms: u64,
}

/// The lease row as read from the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObservedLease {
    /// Revision of the row.
    pub revision: u64,
    /// Value of the row.
    pub row: LeaseRow,
}

/// The platform could not be reached or did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Unavailable;

/// Why deltas or a snapshot could not be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FetchError {
    /// An object or row is missing or incomplete.
    Missing,
    /// The platform could not be reached or did not answer.
    Unavailable,
}

/// Result of a conditional write of the lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The row was written.
    Committed,
    /// Another daemon has written the row in the meantime.
    Conflict,
    /// The row was not written, or it is unknown whether it was.
    Unconfirmed,
}

/// An event that the daemon passes to [`crate::Distribution::handle`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Input {
    /// The time of [`crate::Distribution::wake_at`] was reached.
    Tick,
    /// The live members of all data centres; may include the local daemon.
    Peers(Vec<Peer>),
    /// A message from another daemon arrived.
    Message {
        /// Endpoint of the sender.
        from: EndpointId,
        /// The message.
        message: Message,
    },
    /// Another message is about to be sent to this peer; a probe can be piggybacked on it.
    Piggyback {
        /// Endpoint of the peer.
        to: EndpointId,
    },
    /// Result of [`Action::ReadHead`]; `None` if no version was ever accepted.
    HeadRead(Result<Option<ObservedHead>, Unavailable>),
    /// Result of [`Action::ReadLease`]; `None` if the row is absent.
    LeaseRead(Result<Option<ObservedLease>, Unavailable>),
    /// Result of [`Action::CommitLease`].
    LeaseCommitted {
        /// Value of `requested` in the action.
        requested: Time,
        /// Result of the commit.
        outcome: LeaseOutcome,
    },
    /// Result of [`Action::FetchDeltas`]: deltas as JSON in version order, starting at the
    /// requested version.
    DeltasFetched(Result<Vec<Arc<[u8]>>, FetchError>),
    /// Result of [`Action::FetchSnapshot`]: a catalog as JSON.
    SnapshotFetched(Result<Arc<[u8]>, FetchError>),
    /// This daemon committed a change; holds the delta as JSON.
    Committed(Arc<[u8]>),
}

/// An action that the daemon executes.
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
    /// Read the lease row of the local data centre.
    ReadLease,
    /// Write the lease row of the local data centre.
    CommitLease {
        /// Revision that the row must have; `None` if it must be absent.
        revision: Option<u64>,
        /// New value.
        row: LeaseRow,
        /// Time of the request; identifies it in [`Input::LeaseCommitted`].
        requested: Time,
    },
    /// Fetch the deltas that follow a version from the platform.
    FetchDeltas {
        /// Version that the daemon holds.
        from: Version,
    },
    /// Fetch a snapshot from the platform.
    FetchSnapshot {
        /// Number of newer snapshots to skip because they were missing or incomplete.
        skip: u8,
    },
    /// Put a validated catalog in force.
    Apply(Arc<Catalog>),
    /// The in-force report of the data centre changed or is due again; only a source returns this.
    Report(Report),
}

/// Actions that one input causes, in the order in which to execute them.
pub type Actions = SmallVec<[Action; 4]>;
