//! Table of all records with its indexes and digests.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use shallottack_kernel::{DataCentre, EndpointId, ServiceName, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, ShortDigest, Summary};

/// Number of buckets that anti-entropy compares.
pub(crate) const BUCKETS: usize = 64;

/// A stored record.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Record as it is disseminated.
    pub record: Arc<Member>,
    /// Local view of the record; differs from `record` only while its data centre is unreachable
    /// from the local daemon.
    pub view: Arc<Member>,
    /// Time at which the record last changed.
    pub changed_at: Time,
    key: u64,
    digest: u64,
}

impl Entry {
    fn bucket(&self) -> usize {
        self.key as usize % BUCKETS
    }

    /// Returns the digest of the endpoint id.
    pub fn key(&self) -> ShortDigest {
        shorten(self.key)
    }

    /// Returns the summary of the record.
    pub fn summary(&self) -> Summary {
        Summary { key: self.key(), digest: shorten(self.digest) }
    }
}

/// All records by endpoint.
#[derive(Debug)]
pub(crate) struct Table {
    entries: BTreeMap<EndpointId, Entry>,
    /// XOR of the record digests in each bucket. `Dead` and `Left` records are left out, so that a
    /// daemon that has already removed such a record agrees with one that has not.
    digests: [u64; BUCKETS],
    by_service: BTreeMap<ServiceName, BTreeSet<EndpointId>>,
    /// Peers: the members except the local one and those in `gone`, unordered, for random choice.
    peers: BTreeMap<DataCentre, Vec<EndpointId>>,
    gone: BTreeSet<EndpointId>,
    local: EndpointId,
}

impl Table {
    pub fn new(local: EndpointId) -> Table {
        Table {
            entries: BTreeMap::new(),
            digests: [0; BUCKETS],
            by_service: BTreeMap::new(),
            peers: BTreeMap::new(),
            gone: BTreeSet::new(),
            local,
        }
    }

    pub fn get(&self, endpoint: &EndpointId) -> Option<&Entry> {
        self.entries.get(endpoint)
    }

    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the records after `endpoint` in the order of endpoint ids.
    pub fn after(&self, endpoint: Option<&EndpointId>) -> impl Iterator<Item = &Entry> {
        use std::ops::Bound::{Excluded, Unbounded};
        let start = endpoint.map_or(Unbounded, Excluded);
        self.entries.range::<EndpointId, _>((start, Unbounded)).map(|(_, entry)| entry)
    }

    /// Returns the records of a service, except `Dead` and `Left` ones.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Entry> {
        self.by_service.get(service).into_iter().flatten().filter_map(|id| self.entries.get(id))
    }

    /// Returns the peers in a data centre: its members except the local one and `Dead` and `Left`
    /// ones.
    pub fn peers(&self, data_centre: &DataCentre) -> &[EndpointId] {
        self.peers.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Returns the data centres that have peers.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.peers.keys()
    }

    /// Returns the number of peers in all data centres.
    pub fn peer_count(&self) -> usize {
        self.peers.values().map(Vec::len).sum()
    }

    /// Returns the endpoints whose `Dead` or `Left` record is not removed yet.
    pub fn gone(&self) -> &BTreeSet<EndpointId> {
        &self.gone
    }

    /// Returns the digest of each bucket.
    pub fn digests(&self) -> Vec<ShortDigest> {
        self.digests.iter().map(|&it| shorten(it)).collect()
    }

    /// Returns the entries in the buckets of the bit set `buckets`.
    pub fn in_buckets(&self, buckets: u64) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |it| buckets & (1 << it.bucket()) != 0)
    }

    /// Stores `record` with its local view, replacing an earlier record of the endpoint.
    pub fn put(&mut self, record: Arc<Member>, view: Arc<Member>, now: Time) {
        let id = record.endpoint.clone();
        self.remove(&id);
        let entry = Entry {
            key: xxh3_64(id.as_str().as_bytes()),
            digest: record.digest(),
            record,
            view,
            changed_at: now,
        };
        if entry.record.state.is_gone() {
            self.gone.insert(id.clone());
        } else {
            self.digests[entry.bucket()] ^= entry.digest;
            let service = entry.record.service.clone();
            self.by_service.entry(service).or_default().insert(id.clone());
            if id != self.local {
                let data_centre = entry.record.data_centre.clone();
                self.peers.entry(data_centre).or_default().push(id.clone());
            }
        }
        self.entries.insert(id, entry);
    }

    /// Replaces the local view of an endpoint.
    pub fn set_view(&mut self, endpoint: &EndpointId, view: Arc<Member>) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.view = view;
        }
    }

    pub fn remove(&mut self, endpoint: &EndpointId) {
        let Some(entry) = self.entries.remove(endpoint) else { return };
        if entry.record.state.is_gone() {
            self.gone.remove(endpoint);
            return;
        }
        self.digests[entry.bucket()] ^= entry.digest;
        if let Some(ids) = self.by_service.get_mut(&entry.record.service) {
            ids.remove(endpoint);
            if ids.is_empty() {
                self.by_service.remove(&entry.record.service);
            }
        }
        if let Some(ids) = self.peers.get_mut(&entry.record.data_centre) {
            if let Some(at) = ids.iter().position(|id| id == endpoint) {
                ids.swap_remove(at);
            }
            if ids.is_empty() {
                self.peers.remove(&entry.record.data_centre);
            }
        }
    }
}

fn shorten(digest: u64) -> ShortDigest {
    // Takes the high bits, since the low bits of a key already select the bucket.
    let [a, b, c, d, ..] = digest.to_be_bytes();
    [a, b, c, d]
}
