//! Endpoint records and their order of precedence.

use std::{cmp::Ordering, net::SocketAddr};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{DataCentre, EndpointId, GroupName, ServiceName};
use xxhash_rust::xxh3::Xxh3Default;

/// State of an endpoint. Among records of the same incarnation, the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Announced, but still in its cold start or without a successful call.
    Starting,
    /// Serves calls.
    Ready,
    /// Shutting down; receives no new work.
    Leaving,
    /// Did not answer probes; used only as a last resort.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Stopped after a graceful shutdown.
    Left,
}

impl State {
    /// Returns whether the endpoint is considered to no longer exist (`Dead` or `Left`).
    pub const fn is_gone(self) -> bool {
        matches!(self, State::Dead | State::Left)
    }
}

/// Addresses on which a daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Addresses {
    /// Address for calls forwarded by other daemons.
    pub relay: SocketAddr,
    /// Address for messages between daemons.
    pub peers: SocketAddr,
    /// Address of the operators' API.
    pub operators: SocketAddr,
}

/// The record of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Endpoint that the record describes.
    pub endpoint: EndpointId,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Version of the service that the backend server runs.
    pub group: GroupName,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Addresses of the daemon.
    pub addresses: Addresses,
    /// Maximum number of calls that the backend server runs concurrently.
    pub slots: u32,
    /// Version of the record. Only the endpoint itself raises it; the higher one wins.
    pub incarnation: u64,
    /// State of the endpoint.
    pub state: State,
}

impl Member {
    /// Compares two records of the same endpoint by precedence; the greater one wins.
    ///
    /// Records with the same incarnation and state but different content only arise from two
    /// daemons with the same endpoint id or from a clock that was set back. They are ordered by
    /// digest, so that all daemons keep the same one until the endpoint raises its incarnation.
    pub fn cmp_precedence(&self, other: &Member) -> Ordering {
        (self.incarnation, self.state)
            .cmp(&(other.incarnation, other.state))
            .then_with(|| self.digest().cmp(&other.digest()))
    }

    /// Returns whether both records are equal except for incarnation and state.
    pub fn same_content(&self, other: &Member) -> bool {
        self.endpoint == other.endpoint
            && self.service == other.service
            && self.group == other.group
            && self.data_centre == other.data_centre
            && self.addresses == other.addresses
            && self.slots == other.slots
    }

    /// Returns a copy of the record in state `state`.
    #[must_use]
    pub fn with_state(&self, state: State) -> Member {
        Member { state, ..self.clone() }
    }

    /// Returns a digest of the whole record that is the same on every daemon.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3Default::new();
        for text in [
            self.endpoint.as_str(),
            self.service.as_str(),
            self.group.as_str(),
            self.data_centre.as_str(),
        ] {
            hash.update(text.as_bytes());
            // No name contains this byte, so the boundaries between names are unambiguous.
            hash.update(&[0]);
        }
        for address in [self.addresses.relay, self.addresses.peers, self.addresses.operators] {
            hash_address(&mut hash, address);
        }
        hash.update(&self.slots.to_le_bytes());
        hash.update(&self.incarnation.to_le_bytes());
        hash.update(&[self.state as u8]);
        hash.digest()
    }

    /// Returns the approximate encoded size in bytes.
    pub(crate) fn encoded_bytes(&self) -> usize {
        // Four length prefixes, slots, incarnation and state take 4 + 2 + 6 + 1 bytes. A socket
        // address takes 8 bytes with IPv4 and 20 with IPv6.
        let address = |it: SocketAddr| if it.is_ipv4() { 8 } else { 20 };
        self.endpoint.as_str().len()
            + self.service.as_str().len()
            + self.group.as_str().len()
            + self.data_centre.as_str().len()
            + address(self.addresses.relay)
            + address(self.addresses.peers)
            + address(self.addresses.operators)
            + 13
    }
}

fn hash_address(hash: &mut Xxh3Default, address: SocketAddr) {
    match address {
        SocketAddr::V4(it) => hash.update(&it.ip().octets()),
        SocketAddr::V6(it) => hash.update(&it.ip().octets()),
    }
    hash.update(&address.port().to_le_bytes());
}
