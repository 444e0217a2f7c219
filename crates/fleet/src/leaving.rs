//! Backend servers that have stated in a response that they are leaving.

use std::{collections::HashMap, time::Duration};

use shallottack_kernel::{EndpointId, Time};

use crate::{Placement, Server, candidate::Candidate};

/// Time for which a statement is kept, well above the time that a leaving backend server runs on.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Statements of backend servers in responses that this daemon received.
///
/// They are kept apart from what other daemons describe: the daemon beside a leaving backend server
/// may start again, and describe it as ready until it states again that it is leaving.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    /// Leaving backend server of each VM, and the time of its statement.
    servers: HashMap<EndpointId, (Server, Time)>,
}

impl Leaving {
    pub(crate) fn record(&mut self, now: Time, vm: &EndpointId, server: &Server) {
        if self.contains(vm, server) {
            return;
        }
        self.servers.retain(|_, (_, time)| now.since(*time) < RETENTION);
        self.servers.insert(vm.clone(), (server.clone(), now));
    }

    /// Returns whether this incarnation of the backend server of a VM is leaving.
    pub(crate) fn contains(&self, vm: &EndpointId, server: &Server) -> bool {
        self.servers.get(vm).is_some_and(|(it, _)| it.is_same_start(server))
    }
}

impl Placement {
    /// Records that a response stated that the backend server of a VM is leaving.
    pub fn record_leaving(&mut self, now: Time, vm: &EndpointId, server: &Server) {
        self.leaving.record(now, vm, server);
    }

    /// Returns whether the backend server of a candidate has stated that it is leaving.
    pub(crate) fn is_leaving(&self, candidate: &Candidate) -> bool {
        self.leaving.contains(&candidate.member.vm, &candidate.server)
    }
}
