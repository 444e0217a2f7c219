//! Backend servers that are leaving, by their responses or by the description of their VM.

use std::collections::HashMap;

use shallottack_kernel::{EndpointId, Time};
use smallvec::SmallVec;

use crate::{
    LeaveNotice, Member, Placement, Server,
    candidate::Candidate,
    leaves::{MAX_LEAVES, RETENTION},
};

/// Leaves that this daemon knows of.
///
/// They are kept apart from what other daemons describe now: the daemon beside a leaving backend
/// server may start again, and describe it as ready until it is told of the leave.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    /// Leaves of each VM, oldest first, and since when each is known. They are not ordered by the
    /// starts that they state, since the time of day may jump.
    servers: HashMap<EndpointId, SmallVec<[(LeaveNotice, Time); 1]>>,
}

impl Leaving {
    fn record(&mut self, now: Time, vm: &EndpointId, notice: LeaveNotice) {
        let known = self.servers.get(vm);
        if known.is_some_and(|it| it.iter().any(|(it, _)| *it == notice)) {
            return;
        }
        self.servers.retain(|_, known| {
            known.retain(|(_, since)| now.since(*since) < RETENTION);
            !known.is_empty()
        });
        let known = self.servers.entry(vm.clone()).or_default();
        if known.len() == MAX_LEAVES {
            known.remove(0);
        }
        known.push((notice, now));
    }

    /// Returns whether this incarnation of the backend server of a VM is leaving.
    pub(crate) fn contains(&self, vm: &EndpointId, server: &Server) -> bool {
        let notice = LeaveNotice { id: server.id.clone(), started_ms: Some(server.started_ms) };
        self.servers.get(vm).is_some_and(|it| it.iter().any(|(it, _)| *it == notice))
    }
}

impl Placement {
    /// Records that a response stated that the backend server of a VM is leaving.
    pub fn record_leaving(&mut self, now: Time, vm: &EndpointId, server: &Server) {
        let notice = LeaveNotice { id: server.id.clone(), started_ms: Some(server.started_ms) };
        self.leaving.record(now, vm, notice);
    }

    /// Records the leaves that the description of a VM states.
    ///
    /// A notice without a start time does not tell which incarnation it is about. It is held for the
    /// daemon of that VM only.
    pub fn record_described_leave(&mut self, now: Time, member: &Member) {
        let described = member.server.as_ref().and_then(LeaveNotice::of);
        for notice in described.into_iter().chain(member.left.iter().cloned()) {
            self.leaving.record(now, &member.vm, notice);
        }
    }

    /// Returns the leaves of backend servers that are known for a VM.
    pub fn known_leaves(&self, vm: &EndpointId) -> SmallVec<[LeaveNotice; 1]> {
        let known = self.leaving.servers.get(vm);
        known.into_iter().flatten().map(|(notice, _)| notice.clone()).collect()
    }

    /// Returns whether the backend server of a candidate has stated that it is leaving.
    pub(crate) fn is_leaving(&self, candidate: &Candidate) -> bool {
        self.leaving.contains(&candidate.member.vm, &candidate.server)
    }
}
