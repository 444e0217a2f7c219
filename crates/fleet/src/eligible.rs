//! Backend servers that a request may be sent to, by service and version.
//!
//! Answers versions whose faults show under load only: a version on trial runs at few of its
//! backend servers, so that each has the load that it will have in use.

use shallottack_kernel::{EndpointId, GroupName, Time};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Placement, PlacementRequest, SendHistory, VersionFilter, candidate::Candidate};

impl Placement {
    /// Returns whether there is a backend server that the request was not sent to.
    pub(crate) fn others(&self, now: Time, ask: &PlacementRequest, attempt: &SendHistory) -> bool {
        self.usable(now, ask, false).any(|it| !attempt.tried.contains(&it.member.vm))
    }

    /// Returns the candidates of a service that may be sent to, by version if possible; `trial`
    /// states whether a version on trial may be among them.
    pub(crate) fn usable<'a>(
        &'a self,
        now: Time,
        ask: &'a PlacementRequest,
        trial: bool,
    ) -> impl Iterator<Item = &'a Candidate> {
        let on_trial = match &ask.versions {
            VersionFilter::Canary { group, fraction } if trial => {
                Some(self.on_trial(now, ask, group, *fraction))
            }
            _ => None,
        };
        let strict = on_trial.is_some() || ask.versions.strict();
        let fits = move |it: &Candidate| match &on_trial {
            Some(vms) => vms.contains(&&it.member.vm),
            None => ask.versions.allows(&it.server.group),
        };
        let any = !strict && !self.open(now, ask).any(&fits);
        self.open(now, ask).filter(move |it| any || fits(it))
    }

    fn open<'a>(
        &'a self,
        now: Time,
        ask: &'a PlacementRequest,
    ) -> impl Iterator<Item = &'a Candidate> {
        self.candidates.values().filter(move |it| it.server.service == ask.service && it.open(now))
    }

    /// Returns the VMs whose backend servers try a version: a part of those in the own data centre,
    /// or of all where there is none. All daemons of a data centre take the same ones.
    fn on_trial<'a>(
        &'a self,
        now: Time,
        ask: &'a PlacementRequest,
        group: &GroupName,
        fraction: f64,
    ) -> SmallVec<[&'a EndpointId; 8]> {
        let of_group = |it: &&Candidate| it.server.group == *group;
        let here = |it: &&Candidate| it.member.data_centre == self.here;
        let any_here = self.open(now, ask).filter(of_group).any(|it| here(&it));
        let tried = self.open(now, ask).filter(of_group).filter(|it| !any_here || here(it));
        let mut vms: SmallVec<[&EndpointId; 8]> = tried.map(|it| &it.member.vm).collect();
        vms.sort_unstable_by_key(|it| xxh3_64(it.as_str().as_bytes()));
        // The nearest number, so that their load is about that of all in the end.
        vms.truncate((vms.len() as f64 * fraction).round().max(1.0) as usize);
        vms
    }
}

impl VersionFilter {
    /// Returns whether a version may run the request.
    fn allows(&self, group: &GroupName) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(only) => group == only,
            VersionFilter::Canary { group: other, .. }
            | VersionFilter::Except { group: other, .. } => group != other,
        }
    }

    /// Returns whether the request is rejected rather than run by another version.
    fn strict(&self) -> bool {
        matches!(self, VersionFilter::Except { strict: true, .. })
    }
}
