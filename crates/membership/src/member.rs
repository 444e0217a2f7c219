//! Records of endpoints and their order of precedence.

use std::{cmp::Ordering, net::SocketAddr};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{DataCentre, EndpointId, GroupName, ServiceName};
use xxhash_rust::xxh3::Xxh3Default;

/// State of an endpoint. With equal incarnations the later state wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Announced, but its cold start has not ended or no call has succeeded yet.
    Starting,
    /// Serves calls.
    Ready,
    /// Receives no new work.
    Leaving,
    /// Did not answer probes; usable as a last resort.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Stopped after a graceful shutdown.
    Left,
}

impl State {
    /// Returns whether the endpoint no longer exists (`Dead` or `Left`).
    pub const fn is_gone(self) -> bool {
        matches!(self, State::Dead | State::Left)
    }
}

/// Addresses on which a daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Addresses {
    /// Forwarded calls from other daemons.
    pub relay: SocketAddr,
    /// Messages between daemons.
    pub peers: SocketAddr,
    /// The operators' API.
    pub operators: SocketAddr,
}

/// Record of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Endpoint that the record describes.
    pub endpoint: EndpointId,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Version of the service that the backend server runs.
    pub group: GroupName,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Addresses of the daemon.
    pub addresses: Addresses,
    /// Calls that the backend server runs at the same time.
    pub slots: u32,
    /// Number that only the owner of the record raises; the higher one wins.
    pub incarnation: u64,
    /// State of the endpoint.
    pub state: State,
}

impl Member {
    /// Compares two records of the same endpoint; the greater one wins.
    ///
    /// Records with equal incarnation and state but another content can come only from two
    /// daemons with the same endpoint id or from a clock that was set back. They are ordered by
    /// their digest, so that all daemons keep the same one until the owner raises the incarnation.
    pub fn cmp_precedence(&self, other: &Member) -> Ordering {
        (self.incarnation, self.state)
            .cmp(&(other.incarnation, other.state))
            .then_with(|| self.digest().cmp(&other.digest()))
    }

    /// Returns whether both records agree in everything except incarnation and state.
    pub fn same_content(&self, other: &Member) -> bool {
        self.endpoint == other.endpoint
            && self.service == other.service
            && self.group == other.group
            && self.data_centre == other.data_centre
            && self.addresses == other.addresses
            && self.slots == other.slots
    }

    /// Returns a copy in another state.
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
            // No name contains this byte, so that adjacent names can't be confused.
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
        // Four length prefixes, slots, incarnation and state take 4 + 2 + 6 + 1 bytes. An IPv4
        // address takes 8, an IPv6 address 20.
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
