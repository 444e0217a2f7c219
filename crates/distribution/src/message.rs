//! Messages between daemons.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_config::{Delta, Version};
use shallottack_kernel::{DataCentre, EndpointId};

use crate::Report;

/// The source of a data centre, that is, the holder of its source lease, as known to a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KnownSource {
    /// Data centre of the lease.
    pub data_centre: DataCentre,
    /// Holder of the lease.
    pub holder: EndpointId,
    /// Fencing epoch of the lease.
    pub epoch: u64,
}

/// State of the sender of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SenderState {
    /// Version that the sender holds.
    pub version: Version,
    /// Whether that version is in force; a version below the version floor is not.
    pub in_force: bool,
    /// Source of the sender's data centre, if known.
    pub source: Option<KnownSource>,
}

/// A delta in encoded form; relays forward `body` unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EncodedDelta {
    /// Version to which the delta applies.
    pub from: Version,
    /// Version that results from applying the delta.
    pub to: Version,
    /// The [`Delta`] as JSON.
    pub body: Arc<[u8]>,
}

impl EncodedDelta {
    /// Decodes `body`; returns `None` if it is malformed or its versions differ from `from` and
    /// `to`.
    pub(crate) fn decode(&self) -> Option<Delta> {
        let delta: Delta = serde_json::from_slice(&self.body).ok()?;
        (delta.from == self.from && delta.to == self.to).then_some(delta)
    }

    /// Reads the versions from the JSON in `body`; returns `None` if it is malformed.
    pub(crate) fn from_body(body: Arc<[u8]>) -> Option<EncodedDelta> {
        let Delta { from, to, .. } = serde_json::from_slice(&body).ok()?;
        Some(EncodedDelta { from, to, body })
    }
}

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// New deltas, sent down the tree or to random peers.
    Push {
        /// State of the sender.
        sender: SenderState,
        /// The deltas in order.
        deltas: Vec<EncodedDelta>,
    },
    /// Announces the sender's version, for pull repair and as the heartbeat of the source.
    Probe {
        /// State of the sender.
        sender: SenderState,
    },
    /// Requests everything after the version in `sender`.
    Pull {
        /// State of the sender.
        sender: SenderState,
    },
    /// Deltas that the receiver lacks; empty if the sender has none.
    Deltas {
        /// State of the sender.
        sender: SenderState,
        /// The deltas in order.
        deltas: Vec<EncodedDelta>,
    },
    /// A complete catalog.
    Snapshot {
        /// State of the sender.
        sender: SenderState,
        /// The catalog as JSON.
        body: Arc<[u8]>,
    },
    /// The sender has reached its limit on snapshot transfers.
    Busy {
        /// Time after which the receiver may repeat its request.
        retry_after: Duration,
    },
    /// Asks a peer for the versions that determine the version floor.
    FloorQuery {
        /// Random number that the sender draws at start, so that answers to queries from before
        /// a restart are ignored.
        nonce: u64,
    },
    /// Answers a floor query.
    FloorAnswer {
        /// Nonce of the query.
        nonce: u64,
        /// State of the sender.
        sender: SenderState,
        /// Highest version that the sender knows to have been in force on the receiver.
        yours: Option<Version>,
    },
    /// In-force report of the sender's subtree.
    Report(Report),
}
