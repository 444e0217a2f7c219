//! Endpoints of a service according to membership.

use serde::{Deserialize, Serialize};
use shallottack_kernel::{DataCentre, EndpointId, GroupName, Time};

/// State of a candidate according to membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CandidateState {
    /// Not ready for calls yet.
    Starting,
    /// Takes calls.
    Ready,
    /// Suspected of failure; used only if no other candidate is usable.
    Suspect,
    /// Leaving; takes no new calls.
    Leaving,
    /// Dead or gone; takes no calls.
    Dead,
}

/// Endpoint that may take calls of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Group (version of the service) that the endpoint runs.
    pub group: GroupName,
    /// State according to membership.
    pub state: CandidateState,
    /// Incarnation that the state belongs to.
    pub incarnation: u64,
    /// Time at which the endpoint became ready after a cold start, on the clock of this daemon.
    pub cold_since: Option<Time>,
    /// Weight for new calls, from 0 to 1 (full). The health endpoint of the backend server can
    /// lower it.
    pub weight: f64,
}
