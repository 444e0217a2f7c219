//! Messages between the membership cores of two daemons.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallottack_kernel::EndpointId;

use crate::Member;

/// First four bytes of a digest. Four bytes a bucket keep one comparison of 64 buckets at 256
/// bytes; a collision hides a difference only until the bucket changes again.
pub type ShortDigest = [u8; 4];

/// A message with the new records that travel with it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Purpose of the message.
    pub body: Body,
    /// Records that the receiver may not have yet.
    pub gossip: Vec<Arc<Member>>,
}

/// Purpose of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Only carries records.
    Gossip,
    /// Asks for an [`Body::Ack`].
    Probe {
        /// Number that the reply repeats.
        seq: u32,
    },
    /// Confirms that the probed daemon is alive.
    Ack {
        /// Number of the probe.
        seq: u32,
    },
    /// Asks the receiver to probe another member.
    IndirectProbe {
        /// Number that the reply repeats.
        seq: u32,
        /// Member to probe.
        target: EndpointId,
    },
    /// Reports that the member named in a [`Body::IndirectProbe`] did not answer the probe.
    Nack {
        /// Number of the request.
        seq: u32,
    },
    /// Starts anti-entropy.
    Digests {
        /// Digest of each bucket.
        digests: Vec<ShortDigest>,
    },
    /// Lists the records in the buckets that differ.
    Summaries {
        /// Bit set of the buckets listed.
        buckets: u64,
        /// Records in these buckets.
        entries: Vec<Summary>,
        /// Whether further buckets differ.
        more: bool,
    },
    /// Carries the records in which the two sides differ.
    Records {
        /// Records that the receiver lacks or has in an older form.
        records: Vec<Arc<Member>>,
        /// Keys of the records that the sender asks for.
        wanted: Vec<ShortDigest>,
    },
    /// Asks for all records in the order of endpoint ids.
    Join {
        /// Last endpoint already received.
        after: Option<EndpointId>,
    },
    /// Answers a [`Body::Join`].
    JoinReply {
        /// Records in the order of endpoint ids.
        records: Vec<Arc<Member>>,
        /// Endpoint after which the next chunk starts; `None` at the end.
        next: Option<EndpointId>,
    },
}

/// One record in a bucket that differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Summary {
    /// Digest of the endpoint id.
    pub key: ShortDigest,
    /// Digest of the record.
    pub digest: ShortDigest,
}
