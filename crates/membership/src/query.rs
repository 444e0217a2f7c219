//! Queries over the records.

use std::{net::SocketAddr, sync::Arc};

use shallottack_kernel::{DataCentre, EndpointId};

use crate::{Counters, Identity, Member, Membership, Settings, State};

impl Membership {
    /// Returns all records as seen by this daemon, in the order of endpoint ids, including those
    /// that are gone but not yet removed.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.table.entries().map(|it| &it.shown)
    }

    /// Returns the record of one endpoint.
    pub fn member(&self, endpoint: &EndpointId) -> Option<&Arc<Member>> {
        self.table.get(endpoint).map(|it| &it.shown)
    }

    /// Returns the members of a data centre whose daemon is alive (`Starting`, `Ready` or
    /// `Leaving`), including this daemon.
    pub fn live_members(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Arc<Member>> {
        let own = self
            .table
            .get(&self.identity.endpoint)
            .filter(|_| *data_centre == self.identity.data_centre);
        let peers = self.table.peers(data_centre).iter().filter_map(|id| self.table.get(id));
        own.into_iter().chain(peers).map(|it| &it.shown).filter(|it| it.state < State::Suspect)
    }

    /// Returns the endpoints of a service that are not gone, in the order of endpoint ids, with
    /// their group and state.
    pub fn members_of_service(&self, service: &str) -> impl Iterator<Item = &Arc<Member>> {
        self.table.of_service(service).map(|it| &it.shown)
    }

    /// Returns the data centres that have members besides this daemon.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.table.data_centres()
    }

    /// Returns the address for messages to an endpoint, or `None` when it has no record.
    pub fn peer_address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.table.get(endpoint).map(|it| it.record.addresses.peers)
    }

    /// Returns the number of records that are still being gossiped.
    pub fn pending_gossip(&self) -> usize {
        self.queue.len()
    }

    /// Returns the totals since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns what the daemon knows about itself.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the timings and sizes in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}
