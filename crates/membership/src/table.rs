//! All records with the indexes and digests over them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use shallottack_kernel::{DataCentre, EndpointId, ServiceName, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, ShortDigest, Summary};

/// Number of buckets that anti-entropy compares.
pub(crate) const BUCKETS: usize = 64;

/// One record as held by this daemon.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The record as it is disseminated.
    pub record: Arc<Member>,
    /// The record as this daemon sees it; differs from `record` only while the data centre is
    /// unreachable from here.
    pub shown: Arc<Member>,
    /// Time at which the record last changed.
    pub since: Time,
    key: u64,
    digest: u64,
}

impl Entry {
    fn bucket(&self) -> usize {
        self.key as usize % BUCKETS
    }

    /// Returns the digest of the endpoint id.
    pub fn key(&self) -> ShortDigest {
        short(self.key)
    }

    /// Returns the line of this record in a list of summaries.
    pub fn summary(&self) -> Summary {
        Summary { key: self.key(), digest: short(self.digest) }
    }
}

/// All records by endpoint.
#[derive(Debug)]
pub(crate) struct Table {
    entries: BTreeMap<EndpointId, Entry>,
    /// Digests over the records that are not gone. Gone ones are left out, so that a daemon that
    /// has removed one and a daemon that has not still agree.
    digests: [u64; BUCKETS],
    by_service: BTreeMap<ServiceName, BTreeSet<EndpointId>>,
    /// Other members that are not gone, in no particular order, for random choice.
    peers: BTreeMap<DataCentre, Vec<EndpointId>>,
    gone: BTreeSet<EndpointId>,
    own: EndpointId,
}

impl Table {
    pub fn new(own: EndpointId) -> Table {
        Table {
            entries: BTreeMap::new(),
            digests: [0; BUCKETS],
            by_service: BTreeMap::new(),
            peers: BTreeMap::new(),
            gone: BTreeSet::new(),
            own,
        }
    }

    pub fn get(&self, endpoint: &EndpointId) -> Option<&Entry> {
        self.entries.get(endpoint)
    }

    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the records after `endpoint` in the order of ids.
    pub fn after(&self, endpoint: Option<&EndpointId>) -> impl Iterator<Item = &Entry> {
        use std::ops::Bound::{Excluded, Unbounded};
        let start = endpoint.map_or(Unbounded, Excluded);
        self.entries.range::<EndpointId, _>((start, Unbounded)).map(|(_, entry)| entry)
    }

    /// Returns the endpoints of a service that are not gone.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Entry> {
        self.by_service.get(service).into_iter().flatten().filter_map(|id| self.entries.get(id))
    }

    /// Returns the other members of a data centre that are not gone.
    pub fn peers(&self, data_centre: &DataCentre) -> &[EndpointId] {
        self.peers.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Returns the data centres that have members besides this daemon.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.peers.keys()
    }

    /// Returns the number of other members that are not gone.
    pub fn peer_count(&self) -> usize {
        self.peers.values().map(Vec::len).sum()
    }

    /// Returns the endpoints whose record is gone but not yet removed.
    pub fn gone(&self) -> &BTreeSet<EndpointId> {
        &self.gone
    }

    /// Returns the digest of each bucket.
    pub fn digests(&self) -> Vec<ShortDigest> {
        self.digests.iter().map(|&it| short(it)).collect()
    }

    /// Returns the entries that lie in one of `buckets`.
    pub fn in_buckets(&self, buckets: u64) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |it| buckets & (1 << it.bucket()) != 0)
    }

    /// Stores `record`, shown as `shown`, in place of an earlier record of the endpoint.
    pub fn put(&mut self, record: Arc<Member>, shown: Arc<Member>, now: Time) {
        let id = record.endpoint.clone();
        self.remove(&id);
        let entry = Entry {
            key: xxh3_64(id.as_str().as_bytes()),
            digest: record.digest(),
            record,
            shown,
            since: now,
        };
        if entry.record.state.is_gone() {
            self.gone.insert(id.clone());
        } else {
            self.digests[entry.bucket()] ^= entry.digest;
            let service = entry.record.service.clone();
            self.by_service.entry(service).or_default().insert(id.clone());
            if id != self.own {
                let data_centre = entry.record.data_centre.clone();
                self.peers.entry(data_centre).or_default().push(id.clone());
            }
        }
        self.entries.insert(id, entry);
    }

    /// Replaces what is shown of an endpoint.
    pub fn show(&mut self, endpoint: &EndpointId, shown: Arc<Member>) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.shown = shown;
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

fn short(digest: u64) -> ShortDigest {
    // The low bits already select the bucket.
    let [a, b, c, d, ..] = digest.to_be_bytes();
    [a, b, c, d]
}
