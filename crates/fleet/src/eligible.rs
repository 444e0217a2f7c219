//! Selection of the backend servers that may run a request, by service and version.
//!
//! During a rollout, the new version runs on few of its backend servers, the canaries, so that each
//! has about the load of normal operation. Some faults show only under load.

use shallottack_kernel::{EndpointId, GroupName, Time};
use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    Placement, PlacementRequest, RequestKey, SendHistory, VersionFilter, candidate::Candidate,
};

impl Placement {
    /// Returns whether an eligible backend server has not been tried yet.
    pub(crate) fn has_untried(
        &self,
        now: Time,
        request: &PlacementRequest,
        history: &SendHistory,
    ) -> bool {
        self.eligible(now, request, false).any(|it| !history.tried.contains(&it.member.vm))
    }

    /// Returns the candidates that may run the request.
    ///
    /// Falls back to all versions of the service if the filter matches none and is not strict.
    /// A trial has a single candidate, the same one at all daemons that know the same candidates.
    /// `canary` states whether the canaries of a [`VersionFilter::Canary`] may be returned.
    pub(crate) fn eligible<'a>(
        &'a self,
        now: Time,
        request: &'a PlacementRequest,
        canary: bool,
    ) -> impl Iterator<Item = &'a Candidate> {
        let canaries = match &request.versions {
            VersionFilter::Canary { group, fraction } if canary => {
                Some(self.canary_vms(now, request, group, *fraction))
            }
            _ => None,
        };
        let strict = canaries.is_some() || request.versions.is_strict();
        let fits = move |it: &Candidate| match &canaries {
            Some(vms) => vms.contains(&&it.member.vm),
            None => request.versions.allows(&it.server.group),
        };
        let any = !strict && !self.available(now, request).any(&fits);
        let fitting = self.available(now, request).filter(move |it| any || fits(it));
        let (all, one) = match request.trial {
            None => (Some(fitting), None),
            Some(key) => (None, fitting.max_by_key(|it| trial_rank(it, key))),
        };
        all.into_iter().flatten().chain(one)
    }

    /// Returns the candidates of the service that take requests now.
    fn available<'a>(
        &'a self,
        now: Time,
        request: &'a PlacementRequest,
    ) -> impl Iterator<Item = &'a Candidate> {
        self.candidates
            .of_service(&request.service)
            .iter()
            .filter(move |it| it.is_available(now) && !self.is_leaving(it))
    }

    /// Returns the VMs of the canaries of a version: a fraction of its backend servers in this data
    /// centre, or of all of them if this data centre has none. All daemons of a data centre select
    /// the same canaries.
    fn canary_vms<'a>(
        &'a self,
        now: Time,
        request: &'a PlacementRequest,
        group: &GroupName,
        fraction: f64,
    ) -> SmallVec<[&'a EndpointId; 8]> {
        let of_group = |it: &&Candidate| it.server.group == *group;
        let local = |it: &&Candidate| it.member.data_centre == self.data_centre;
        let any_local = self.available(now, request).filter(of_group).any(|it| local(&it));
        let group_members =
            self.available(now, request).filter(of_group).filter(|it| !any_local || local(it));
        let mut vms: SmallVec<[&EndpointId; 8]> = group_members.map(|it| &it.member.vm).collect();
        vms.sort_unstable_by_key(|it| xxh3_64(it.as_str().as_bytes()));
        // Rounded to the nearest number, so that the load of a canary is about that of normal
        // operation.
        vms.truncate((vms.len() as f64 * fraction).round().max(1.0) as usize);
        vms
    }
}

/// Returns the rank of a candidate for trials of a request.
fn trial_rank(candidate: &Candidate, key: RequestKey) -> u64 {
    xxh3_64_with_seed(candidate.member.vm.as_str().as_bytes(), key.0)
}

impl VersionFilter {
    /// Returns whether the filter accepts a version.
    fn allows(&self, group: &GroupName) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(only) => group == only,
            VersionFilter::Canary { group: other, .. }
            | VersionFilter::Except { group: other, .. } => group != other,
        }
    }

    /// Returns whether the request is rejected if no accepted version is available.
    fn is_strict(&self) -> bool {
        matches!(self, VersionFilter::Except { strict: true, .. })
    }
}
