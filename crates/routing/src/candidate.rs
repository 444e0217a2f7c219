//! Endpoints of a service as membership knows them.

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
    /// Suspected; takes calls only when no other candidate can.
    Suspect,
    /// Leaving; takes no new calls.
    Leaving,
    /// Dead or left; takes no calls.
    Dead,
}

/// An endpoint that may answer calls of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Data centre that it is in.
    pub data_centre: DataCentre,
    /// Group (version of the service) that it runs.
    pub group: GroupName,
    /// State according to membership.
    pub state: CandidateState,
    /// Incarnation that the state belongs to.
    pub incarnation: u64,
    /// Time since when it is ready after a cold start, on the clock of this daemon.
    pub cold_since: Option<Time>,
    /// Share of its usual new calls, from 0 to 1; lowered by its health endpoint.
    pub weight: f64,
}
