//! Backend servers that are leaving, by their responses or by the description of their VM.

use std::{collections::HashMap, time::Duration};

use shallottack_kernel::{EndpointId, Time};

use crate::{LeaveNotice, Member, Placement, Server, candidate::Candidate};

/// Time for which a statement is kept, well above the time that a leaving backend server runs on.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Leaves that this daemon knows of.
///
/// They are kept apart from what other daemons describe now: the daemon beside a leaving backend
/// server may start again, and describe it as ready until it is told of the leave.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    /// Leaving backend server of each VM with the start of its incarnation, and since when it is
    /// known.
    servers: HashMap<EndpointId, (EndpointId, u64, Time)>,
}

impl Leaving {
    fn record(&mut self, now: Time, vm: &EndpointId, id: &EndpointId, started_ms: u64) {
        // A late description of an earlier incarnation does not replace the leave of a later one.
        if self
            .servers
            .get(vm)
            .is_some_and(|it| it.1 > started_ms || (&it.0, it.1) == (id, started_ms))
        {
            return;
        }
        self.servers.retain(|_, (_, _, time)| now.since(*time) < RETENTION);
        self.servers.insert(vm.clone(), (id.clone(), started_ms, now));
    }

    /// Returns whether this incarnation of the backend server of a VM is leaving.
    pub(crate) fn contains(&self, vm: &EndpointId, server: &Server) -> bool {
        let known = self.servers.get(vm);
        known.is_some_and(|it| (&it.0, it.1) == (&server.id, server.started_ms))
    }
}

impl Placement {
    /// Records that a response stated that the backend server of a VM is leaving.
    pub fn record_leaving(&mut self, now: Time, vm: &EndpointId, server: &Server) {
        self.leaving.record(now, vm, &server.id, server.started_ms);
    }

    /// Records the leave that the description of a VM states, if there is one.
    ///
    /// A notice without a start time does not tell which incarnation it is about.
    pub fn record_described_leave(&mut self, now: Time, member: &Member) {
        let described = member.server.as_ref().and_then(LeaveNotice::of);
        for notice in [described.as_ref(), member.left.as_ref()].into_iter().flatten() {
            if let Some(started_ms) = notice.started_ms {
                self.leaving.record(now, &member.vm, &notice.id, started_ms);
            }
        }
    }

    /// Returns the leave of a backend server that is known for a VM.
    pub fn known_leave(&self, vm: &EndpointId) -> Option<LeaveNotice> {
        let (id, started_ms, _) = self.leaving.servers.get(vm)?;
        Some(LeaveNotice { id: id.clone(), started_ms: Some(*started_ms) })
    }

    /// Returns whether the backend server of a candidate has stated that it is leaving.
    pub(crate) fn is_leaving(&self, candidate: &Candidate) -> bool {
        self.leaving.contains(&candidate.member.vm, &candidate.server)
    }
}
