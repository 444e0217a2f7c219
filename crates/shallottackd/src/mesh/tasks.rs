//! Sends messages and carries out platform requests, each in a task of its own.

use std::{net::SocketAddr, sync::Arc};

use shallottack_distribution as distribution;
use shallottack_kernel::EndpointId;
use shallottack_rpc::Envelope;

use super::{
    CoreInput, Mesh,
    outbox::{Outbox, Parcel},
};

impl Mesh {
    /// Sends what an outbox holds; messages for `reply_to` are returned instead.
    pub(super) fn dispatch(
        self: &Arc<Self>,
        outbox: Outbox,
        reply_to: Option<&EndpointId>,
    ) -> Option<Envelope> {
        let mut reply = None;
        for (to, parcel) in outbox.parcels {
            if Some(&to) == reply_to {
                let mut envelope = self.envelope();
                parcel.fill(&mut envelope);
                reply = Some(envelope);
            } else if let Some(address) = parcel.address {
                async_std::task::spawn(Arc::clone(self).send(address, parcel));
            }
        }
        for (address, parcel) in outbox.seeds {
            async_std::task::spawn(Arc::clone(self).send(address, parcel));
        }
        for request in outbox.requests {
            async_std::task::spawn(Arc::clone(self).request(request));
        }
        reply
    }

    /// Delivers a parcel and handles the receiver's messages in the reply. The cores notice a
    /// failed delivery by the missing answer.
    async fn send(self: Arc<Self>, address: SocketAddr, parcel: Parcel) {
        let mut envelope = self.envelope();
        parcel.fill(&mut envelope);
        let Ok(reply) = self.peers.deliver(address, envelope).await else { return };
        let Some((from, inputs)) = Mesh::open(&reply) else { return };
        if inputs.is_empty() {
            return;
        }
        let outbox = self.handle(inputs);
        if let Some(envelope) = self.dispatch(outbox, Some(&from)) {
            async_std::task::spawn(Arc::clone(&self).send_envelope(address, envelope));
        }
    }

    async fn send_envelope(self: Arc<Self>, address: SocketAddr, envelope: Envelope) {
        let Ok(reply) = self.peers.deliver(address, envelope).await else { return };
        if let Some((_, inputs)) = Mesh::open(&reply) {
            self.feed(inputs);
        }
    }

    async fn request(self: Arc<Self>, request: distribution::Action) {
        let data_centre = &self.me.data_centre;
        let input = match request {
            distribution::Action::ReadHead => {
                distribution::Input::HeadRead(self.store.observe_head().await)
            }
            distribution::Action::ReadLease => {
                distribution::Input::LeaseRead(self.store.read_lease(data_centre).await)
            }
            distribution::Action::CommitLease { revision, row, requested } => {
                let outcome = self.store.commit_lease(data_centre, revision, &row).await;
                distribution::Input::LeaseCommitted { requested, outcome }
            }
            distribution::Action::FetchDeltas { from } => {
                distribution::Input::DeltasFetched(self.store.fetch_deltas(from).await)
            }
            distribution::Action::FetchSnapshot { skip } => {
                distribution::Input::SnapshotFetched(self.store.fetch_snapshot(skip).await)
            }
            distribution::Action::Send { .. }
            | distribution::Action::Apply(_)
            | distribution::Action::Report(_) => return,
        };
        self.feed([CoreInput::Distribution(input)]);
    }
}
