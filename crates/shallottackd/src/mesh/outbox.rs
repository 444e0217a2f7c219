//! Messages and platform requests that result from one batch of inputs.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::Serialize;
use shallottack_config::Catalog;
use shallottack_distribution::{self as distribution, Report};
use shallottack_kernel::EndpointId;
use shallottack_membership::{self as membership, Member, Membership};
use shallottack_rpc::Envelope;
use smallvec::SmallVec;

/// Encoded messages for one receiver.
#[derive(Default)]
pub(super) struct Parcel {
    pub(super) address: Option<SocketAddr>,
    distribution: Vec<Vec<u8>>,
    membership: Vec<Vec<u8>>,
}

impl Parcel {
    pub(super) fn fill(self, envelope: &mut Envelope) {
        envelope.distribution.extend(self.distribution.into_iter().map(Into::into));
        envelope.membership.extend(self.membership.into_iter().map(Into::into));
    }
}

/// Requests to the platform that the distribution core asks for.
pub(super) type PlatformRequests = SmallVec<[distribution::Action; 2]>;

/// Messages and platform requests that result from one batch of inputs.
#[derive(Default)]
pub(super) struct Outbox {
    pub(super) parcels: BTreeMap<EndpointId, Parcel>,
    pub(super) seeds: Vec<(SocketAddr, Parcel)>,
    pub(super) requests: PlatformRequests,
    pub(super) report: Option<Report>,
}

impl Outbox {
    pub(super) fn add_distribution(
        &mut self,
        action: distribution::Action,
        applied: &mut Option<Arc<Catalog>>,
    ) {
        match action {
            distribution::Action::Send { to, message } => {
                self.parcels.entry(to).or_default().distribution.push(encode(&message));
            }
            distribution::Action::Apply(catalog) => *applied = Some(catalog),
            distribution::Action::Report(report) => self.report = Some(report),
            request => self.requests.push(request),
        }
    }

    /// Adds an action and returns the member that it reports as changed.
    pub(super) fn add_membership(&mut self, action: membership::Action) -> Option<Arc<Member>> {
        match action {
            membership::Action::Send { to, message } => {
                self.parcels.entry(to).or_default().membership.push(encode(&message));
            }
            membership::Action::SendToSeed { address, message } => {
                let parcel = Parcel { membership: vec![encode(&message)], ..Parcel::default() };
                self.seeds.push((address, parcel));
            }
            membership::Action::MemberChanged { member } => return Some(member),
        }
        None
    }

    /// Returns the receivers of membership messages only.
    pub(super) fn without_distribution(&self) -> SmallVec<[EndpointId; 4]> {
        let alone = self.parcels.iter().filter(|(_, parcel)| parcel.distribution.is_empty());
        alone.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Looks up the receivers' addresses.
    pub(super) fn resolve(&mut self, membership: &Membership) {
        for (endpoint, parcel) in &mut self.parcels {
            parcel.address = membership.peer_address(endpoint);
        }
    }
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages are plain data")
}
