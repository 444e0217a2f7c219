//! Messages between the distribution cores of two daemons.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_config::{Delta, Version};
use shallottack_kernel::{DataCentre, EndpointId};

use crate::Report;

/// The holder of a data centre's source lease, as a daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KnownSource {
    /// Data centre of the lease.
    pub data_centre: DataCentre,
    /// Holder of the lease.
    pub holder: EndpointId,
    /// Fencing epoch of the lease.
    pub epoch: u64,
}

/// What the sender of a message knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SenderState {
    /// Version that the sender holds.
    pub version: Version,
    /// Whether that version is in force; it is not while it is below the version floor.
    pub in_force: bool,
    /// Source of the sender's data centre.
    pub source: Option<KnownSource>,
}

/// A delta as it travels: its versions and its JSON, which a relay passes on as it came.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EncodedDelta {
    /// Version to which the delta applies.
    pub from: Version,
    /// Version that results.
    pub to: Version,
    /// JSON of the [`Delta`].
    pub body: Arc<[u8]>,
}

impl EncodedDelta {
    /// Returns the delta in `body`, or `None` when it is malformed or of other versions.
    pub(crate) fn decode(&self) -> Option<Delta> {
        let delta: Delta = serde_json::from_slice(&self.body).ok()?;
        (delta.from == self.from && delta.to == self.to).then_some(delta)
    }

    /// Returns the delta in the JSON `body` with its versions, or `None` when it is malformed.
    pub(crate) fn from_body(body: Arc<[u8]>) -> Option<EncodedDelta> {
        let Delta { from, to, .. } = serde_json::from_slice(&body).ok()?;
        Some(EncodedDelta { from, to, body })
    }
}

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// New deltas, sent down the tree.
    Push {
        /// What the sender knows.
        sender: SenderState,
        /// The deltas in order.
        deltas: Vec<EncodedDelta>,
    },
    /// The sender's version, for pull repair and as a heartbeat of the source.
    Probe {
        /// What the sender knows.
        sender: SenderState,
    },
    /// Asks for everything after the version in `sender`.
    Pull {
        /// What the sender knows.
        sender: SenderState,
    },
    /// Deltas that the receiver lacks; empty when the sender has none.
    Deltas {
        /// What the sender knows.
        sender: SenderState,
        /// The deltas in order.
        deltas: Vec<EncodedDelta>,
    },
    /// A whole catalog.
    Snapshot {
        /// What the sender knows.
        sender: SenderState,
        /// JSON of the catalog.
        body: Arc<[u8]>,
    },
    /// The sender serves no snapshot now.
    Busy {
        /// Time after which the receiver may ask again.
        retry_after: Duration,
    },
    /// Asks a peer for its part of the version floor.
    FloorQuery {
        /// Random number of the asking daemon's life, so that answers to an earlier life are
        /// ignored.
        nonce: u64,
    },
    /// Answers a floor query.
    FloorAnswer {
        /// Number from the query.
        nonce: u64,
        /// What the sender knows.
        sender: SenderState,
        /// Highest version that the sender knows to have been in force on the receiver.
        yours: Option<Version>,
    },
    /// In-force report of the sender's subtree.
    Report(Report),
}
