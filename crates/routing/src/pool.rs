//! Endpoints of a service, grouped for selection.

use shallottack_kernel::{DataCentre, GroupName};

use crate::{CandidateState, endpoint::Endpoint};

/// Endpoints of a group by data centre, as indices into the endpoints of the router.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Ready endpoints in the data centre of this daemon.
    pub local: Vec<usize>,
    /// Ready endpoints in other data centres.
    pub remote: Vec<(DataCentre, Vec<usize>)>,
    /// Suspected endpoints, used only if no other is usable.
    pub suspect: Vec<usize>,
}

impl Pool {
    fn add(&mut self, index: usize, endpoint: &Endpoint, own: &DataCentre) {
        let centre = &endpoint.candidate.data_centre;
        match endpoint.candidate.state {
            CandidateState::Ready if centre == own => self.local.push(index),
            CandidateState::Ready => match self.remote.iter_mut().find(|it| it.0 == *centre) {
                Some((_, members)) => members.push(index),
                None => self.remote.push((centre.clone(), vec![index])),
            },
            CandidateState::Suspect => self.suspect.push(index),
            CandidateState::Starting | CandidateState::Leaving | CandidateState::Dead => {}
        }
    }

    /// Returns all endpoints of the pool.
    pub fn all(&self) -> impl Iterator<Item = usize> {
        let remote = self.remote.iter().flat_map(|it| &it.1);
        self.local.iter().chain(remote).chain(&self.suspect).copied()
    }
}

/// All endpoints of a service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    /// Listed endpoints in any state.
    pub members: Vec<usize>,
    all_groups: Pool,
    groups: Vec<(GroupName, Pool)>,
}

impl ServiceState {
    pub fn new(members: Vec<usize>, endpoints: &[Endpoint], own: &DataCentre) -> ServiceState {
        let mut state = ServiceState { members, ..ServiceState::default() };
        for &index in &state.members {
            let endpoint = &endpoints[index];
            state.all_groups.add(index, endpoint, own);
            let group = &endpoint.candidate.group;
            let at = state.groups.iter().position(|it| it.0 == *group).unwrap_or_else(|| {
                state.groups.push((group.clone(), Pool::default()));
                state.groups.len() - 1
            });
            state.groups[at].1.add(index, endpoint, own);
        }
        state
    }

    /// Returns the pool of a group, or of all groups if `group` is `None`.
    pub fn pool(&self, group: Option<&GroupName>) -> Option<&Pool> {
        match group {
            None => Some(&self.all_groups),
            Some(group) => self.groups.iter().find(|it| it.0 == *group).map(|it| &it.1),
        }
    }
}
