//! Backend servers that a request may be sent to, by service and version.
//!
//! Answers versions whose faults show under load only: a version on trial runs at few of its
//! backend servers, so that each has the load that it will have in use.

use shallottack_kernel::{EndpointId, GroupName, Time};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Ask, Attempt, Placement, Split, candidate::Candidate};

impl Placement {
    /// Returns whether there is a backend server that the request was not sent to.
    pub(crate) fn others(&self, now: Time, ask: &Ask, attempt: &Attempt) -> bool {
        self.usable(now, ask, false).any(|it| !attempt.tried.contains(&it.member.vm))
    }

    /// Returns the candidates of a service that may be sent to, by version if possible; `trial`
    /// states whether a version on trial may be among them.
    pub(crate) fn usable<'a>(
        &'a self,
        now: Time,
        ask: &'a Ask,
        trial: bool,
    ) -> impl Iterator<Item = &'a Candidate> {
        let on_trial = match &ask.split {
            Split::Trial { group, part } if trial => Some(self.on_trial(now, ask, group, *part)),
            _ => None,
        };
        let strict = on_trial.is_some() || ask.split.strict();
        let fits = move |it: &Candidate| match &on_trial {
            Some(vms) => vms.contains(&&it.member.vm),
            None => ask.split.allows(&it.server.group),
        };
        let any = !strict && !self.open(now, ask).any(&fits);
        self.open(now, ask).filter(move |it| any || fits(it))
    }

    fn open<'a>(&'a self, now: Time, ask: &'a Ask) -> impl Iterator<Item = &'a Candidate> {
        self.candidates.values().filter(move |it| it.server.service == ask.service && it.open(now))
    }

    /// Returns the VMs whose backend servers try a version: a part of those in the own data centre,
    /// or of all where there is none. All daemons of a data centre take the same ones.
    fn on_trial<'a>(
        &'a self,
        now: Time,
        ask: &'a Ask,
        group: &GroupName,
        part: f64,
    ) -> SmallVec<[&'a EndpointId; 8]> {
        let of_group = |it: &&Candidate| it.server.group == *group;
        let here = |it: &&Candidate| it.member.data_centre == self.here;
        let any_here = self.open(now, ask).filter(of_group).any(|it| here(&it));
        let tried = self.open(now, ask).filter(of_group).filter(|it| !any_here || here(it));
        let mut vms: SmallVec<[&EndpointId; 8]> = tried.map(|it| &it.member.vm).collect();
        vms.sort_unstable_by_key(|it| xxh3_64(it.as_str().as_bytes()));
        // The nearest number, so that their load is about that of all in the end.
        vms.truncate((vms.len() as f64 * part).round().max(1.0) as usize);
        vms
    }
}

impl Split {
    /// Returns whether a version may run the request.
    fn allows(&self, group: &GroupName) -> bool {
        match self {
            Split::Any => true,
            Split::Only(only) => group == only,
            Split::Trial { group: other, .. } | Split::Except { group: other, .. } => {
                group != other
            }
        }
    }

    /// Returns whether the request is rejected rather than run by another version.
    fn strict(&self) -> bool {
        matches!(self, Split::Except { strict: true, .. })
    }
}
