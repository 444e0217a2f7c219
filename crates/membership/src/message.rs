//! Messages between daemons.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallottack_kernel::EndpointId;

use crate::Member;

/// First four bytes of a digest. At this length, the digests of all 64 buckets take 256 bytes. A
/// collision hides a difference only until the bucket changes again.
pub type ShortDigest = [u8; 4];

/// A message with piggybacked records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Purpose of the message.
    pub body: Body,
    /// Recently changed records, which the receiver may not know yet.
    pub gossip: Vec<Arc<Member>>,
}

/// Purpose of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Carries only piggybacked records.
    Gossip,
    /// Requests a [`Body::Ack`].
    Probe {
        /// Sequence number, which the reply repeats.
        seq: u32,
    },
    /// Confirms that the probed daemon is alive.
    Ack {
        /// Sequence number of the probe.
        seq: u32,
    },
    /// Asks the receiver to probe another member as a proxy.
    IndirectProbe {
        /// Sequence number, which the reply repeats.
        seq: u32,
        /// Member to probe.
        target: EndpointId,
    },
    /// Reports that the target of a [`Body::IndirectProbe`] did not answer the proxy in time.
    Nack {
        /// Sequence number of the request.
        seq: u32,
    },
    /// Starts an anti-entropy round.
    Digests {
        /// Digest of each bucket of records.
        digests: Vec<ShortDigest>,
    },
    /// Answers [`Body::Digests`] with the records in the buckets that differ.
    Summaries {
        /// Bit set of the listed buckets.
        buckets: u64,
        /// Summaries of the records in these buckets.
        entries: Vec<Summary>,
        /// Whether further buckets differ that are not listed.
        more: bool,
    },
    /// Exchanges the records in which the two sides differ.
    Records {
        /// Records that the receiver lacks or may hold in an older version.
        records: Vec<Arc<Member>>,
        /// Keys of the records that the sender requests.
        wanted: Vec<ShortDigest>,
    },
    /// Requests all records in the order of endpoint ids.
    Join {
        /// Last endpoint already received.
        after: Option<EndpointId>,
    },
    /// Answers a [`Body::Join`] with the next records.
    JoinReply {
        /// Records in the order of endpoint ids.
        records: Vec<Arc<Member>>,
        /// Endpoint after which the next reply has to start; `None` when there are no more records.
        next: Option<EndpointId>,
    },
}

/// Identifies a version of one record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Summary {
    /// Digest of the endpoint id.
    pub key: ShortDigest,
    /// Digest of the whole record.
    pub digest: ShortDigest,
}
