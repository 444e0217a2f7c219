//! Queries of the local view.

use std::{net::SocketAddr, sync::Arc};

use shallottack_kernel::{DataCentre, EndpointId};

use crate::{Counters, Identity, Member, Membership, Settings, State};

impl Membership {
    /// Returns the local view of all records in the order of endpoint ids, including `Dead` and
    /// `Left` ones that are not removed yet.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.table.entries().map(|it| &it.view)
    }

    /// Returns the local view of the record of `endpoint`.
    pub fn member(&self, endpoint: &EndpointId) -> Option<&Arc<Member>> {
        self.table.get(endpoint).map(|it| &it.view)
    }

    /// Returns the members of a data centre whose daemon is alive (`Starting`, `Ready` or
    /// `Leaving`), including the local one.
    pub fn live_members(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Arc<Member>> {
        let own = self
            .table
            .get(&self.identity.endpoint)
            .filter(|_| *data_centre == self.identity.data_centre);
        let peers = self.table.peers(data_centre).iter().filter_map(|id| self.table.get(id));
        own.into_iter().chain(peers).map(|it| &it.view).filter(|it| it.state < State::Suspect)
    }

    /// Returns the members of a service in the order of endpoint ids, except `Dead` and `Left`
    /// ones.
    pub fn members_of_service(&self, service: &str) -> impl Iterator<Item = &Arc<Member>> {
        self.table.of_service(service).map(|it| &it.view)
    }

    /// Returns the data centres that have members besides the local one, not counting `Dead` and
    /// `Left` ones.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.table.data_centres()
    }

    /// Returns the address for messages to `endpoint`, or `None` if it has no record.
    pub fn peer_address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.table.get(endpoint).map(|it| it.record.addresses.peers)
    }

    /// Returns the number of records that are still being gossiped.
    pub fn pending_gossip(&self) -> usize {
        self.gossip_queue.len()
    }

    /// Returns the totals since the daemon started.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the identity of the local daemon.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}
