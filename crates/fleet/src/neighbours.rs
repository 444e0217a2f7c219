//! Selection of the daemons that this one exchanges state with and sends requests to.
//!
//! In a full mesh, the number of connections grows with the square of the fleet, and the state
//! known of each member gets older. Each daemon instead samples the members of each service, more
//! of them in its own data centre than elsewhere, so that its work does not grow with the fleet.
//! The samples differ between daemons, so that all members are selected about equally often.

use std::{cmp::Reverse, collections::HashMap};

use shallottack_kernel::{DataCentre, EndpointId, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

use crate::Member;

/// Sample sizes.
#[derive(Debug, Clone, Copy)]
pub struct NeighbourSettings {
    /// Members of each service to select in the own data centre.
    pub local: usize,
    /// Members of each service to select in all other data centres together.
    pub remote: usize,
    /// Daemons of each data centre that follow the store; the others continue if one fails.
    pub store_readers: usize,
}

impl Default for NeighbourSettings {
    fn default() -> Self {
        NeighbourSettings { local: 48, remote: 12, store_readers: 3 }
    }
}

/// Members that are sampled together: whether they are in the own data centre, and their service.
type Group = (bool, Option<ServiceName>);

/// Neighbours of one daemon.
#[derive(Debug, Default)]
pub struct Neighbours {
    vm: Option<EndpointId>,
    data_centre: Option<DataCentre>,
    /// Probability with which a member of each group is selected.
    rates: HashMap<Group, f64>,
}

impl Neighbours {
    /// Samples the neighbours of the daemon `me` from `members`.
    pub fn new<'a>(
        settings: &NeighbourSettings,
        me: &Member,
        members: impl Iterator<Item = &'a Member>,
    ) -> Neighbours {
        let mut counts: HashMap<Group, usize> = HashMap::new();
        for member in members.filter(|it| it.vm != me.vm) {
            *counts.entry(group(&me.data_centre, member)).or_default() += 1;
        }
        let rate = |(group, count): (Group, usize)| {
            let limit = if group.0 { settings.local } else { settings.remote };
            (group, limit as f64 / count as f64)
        };
        let rates = counts.into_iter().map(rate).collect();
        Neighbours { vm: Some(me.vm.clone()), data_centre: Some(me.data_centre.clone()), rates }
    }

    /// Returns whether all members are neighbours.
    pub fn covers_all(&self) -> bool {
        self.rates.values().all(|it| *it >= 1.0)
    }

    /// Returns whether a member is a neighbour. All members are neighbours before the first
    /// sampling.
    pub fn contains(&self, member: &Member) -> bool {
        let (Some(vm), Some(data_centre)) = (&self.vm, &self.data_centre) else { return true };
        let rate = self.rates.get(&group(data_centre, member));
        rate.is_none_or(|it| *it >= 1.0 || pair_hash(vm, &member.vm) < *it)
    }
}

/// Returns the rank of the daemon `me` among those of its data centre that follow the store, the
/// first of which is 0; `None` if it does not. `reachable` are the reachable daemons there.
///
/// The daemons with the fastest links do: over a slow link, a whole configuration takes as long as
/// it takes to reach half of the fleet, and a series of changes saturates the link.
pub fn store_reader_rank<'a>(
    settings: &NeighbourSettings,
    me: &Member,
    reachable: impl Iterator<Item = &'a Member>,
) -> Option<usize> {
    let rank = |it: &Member| (Reverse(it.link_kbps), xxh3_64(it.vm.as_str().as_bytes()));
    let own = rank(me);
    let before = reachable.filter(|it| it.vm != me.vm && rank(it) < own).count();
    (before < settings.store_readers).then_some(before)
}

fn group(data_centre: &DataCentre, member: &Member) -> Group {
    (member.data_centre == *data_centre, member.server.as_ref().map(|it| it.service.clone()))
}

/// Returns a number from 0 to 1 that depends only on the two VMs.
fn pair_hash(vm: &EndpointId, other: &EndpointId) -> f64 {
    let mut bytes = vm.as_str().as_bytes().to_vec();
    // Names contain no zero byte, so different pairs do not run together to the same bytes.
    bytes.push(0);
    bytes.extend(other.as_str().as_bytes());
    xxh3_64(&bytes) as f64 / u64::MAX as f64
}
