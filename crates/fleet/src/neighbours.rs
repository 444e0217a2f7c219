//! Which daemons this one exchanges with and sends requests to.
//!
//! Answers large fleets: between all pairs, connections grow with the square of the fleet, and what
//! a daemon knows of another one gets older the more there are. A daemon takes the members of its
//! own data centre and a sample of each service elsewhere, so that its work does not grow with the
//! fleet. Samples differ from daemon to daemon, so that all members are taken equally often.

use std::{cmp::Reverse, collections::HashMap};

use shallottack_kernel::{DataCentre, EndpointId, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

use crate::Member;

/// Sizes of the samples.
#[derive(Debug, Clone, Copy)]
pub struct NeighbourSettings {
    /// Members of each service in the own data centre.
    pub local: usize,
    /// Members of each service in all other data centres together.
    pub remote: usize,
    /// Daemons of a data centre that follow the store; others go on while one is away.
    pub store_readers: usize,
}

impl Default for NeighbourSettings {
    fn default() -> Self {
        NeighbourSettings { local: 48, remote: 12, store_readers: 3 }
    }
}

type Group = (bool, Option<ServiceName>);

/// The neighbours of one daemon.
#[derive(Debug, Default)]
pub struct Neighbours {
    me: Option<EndpointId>,
    here: Option<DataCentre>,
    /// Part of each group of members that is taken.
    shares: HashMap<Group, f64>,
}

impl Neighbours {
    /// Draws the neighbours of the daemon `me` among `members`.
    pub fn new<'a>(
        settings: &NeighbourSettings,
        me: &Member,
        members: impl Iterator<Item = &'a Member>,
    ) -> Neighbours {
        let mut counts: HashMap<Group, usize> = HashMap::new();
        for member in members.filter(|it| it.vm != me.vm) {
            *counts.entry(group(&me.data_centre, member)).or_default() += 1;
        }
        let share = |(group, count): (Group, usize)| {
            let most = if group.0 { settings.local } else { settings.remote };
            (group, most as f64 / count as f64)
        };
        let shares = counts.into_iter().map(share).collect();
        Neighbours { me: Some(me.vm.clone()), here: Some(me.data_centre.clone()), shares }
    }

    /// Returns whether all members are neighbours.
    pub fn covers_all(&self) -> bool {
        self.shares.values().all(|it| *it >= 1.0)
    }

    /// Returns whether a member is a neighbour; all are until the first draw.
    pub fn contains(&self, member: &Member) -> bool {
        let (Some(me), Some(here)) = (&self.me, &self.here) else { return true };
        let share = self.shares.get(&group(here, member));
        share.is_none_or(|it| *it >= 1.0 || point(me, &member.vm) < *it)
    }
}

/// Returns whether the daemon `me` follows the store, given those of its data centre
/// that answer. Those with the fastest links do: a whole configuration takes a slow one as long as
/// it takes to reach half of the fleet, and fills it in a series of changes.
pub fn is_store_reader<'a>(
    settings: &NeighbourSettings,
    me: &Member,
    answering: impl Iterator<Item = &'a Member>,
) -> bool {
    let rank = |it: &Member| (Reverse(it.link_kbps), xxh3_64(it.vm.as_str().as_bytes()));
    let own = rank(me);
    answering.filter(|it| it.vm != me.vm && rank(it) < own).count() < settings.store_readers
}

fn group(here: &DataCentre, member: &Member) -> Group {
    (member.data_centre == *here, member.server.as_ref().map(|it| it.service.clone()))
}

/// Returns a number from 0 to 1 that is fixed for a pair of daemons.
fn point(me: &EndpointId, other: &EndpointId) -> f64 {
    let mut bytes = me.as_str().as_bytes().to_vec();
    // No name contains this byte, so that adjacent names can't be confused.
    bytes.push(0);
    bytes.extend(other.as_str().as_bytes());
    xxh3_64(&bytes) as f64 / u64::MAX as f64
}
