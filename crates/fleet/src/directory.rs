//! The daemons that this one knows, with their backend servers.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{DataCentre, EndpointId};
use xxhash_rust::xxh3::xxh3_64;

use crate::Server;

/// Buckets of members that are compared; with 110 members, one bucket holds some four.
const BUCKETS: usize = 32;

/// Descriptions that are passed on at once; those beyond are left to the comparison of digests.
const MOST_RUMOURS: usize = 64;
/// Times that a description is passed on for each doubling of the fleet. Each pass reaches one
/// daemon, so that one for each doubling would reach most, and the second those that were missed.
const SENDS_PER_DOUBLING: u32 = 2;

/// Digest of the descriptions in one bucket.
pub type Digest = u32;

/// A daemon and the backend server beside it, as it described them itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: EndpointId,
    /// Orders the starts of daemons of one VM.
    pub incarnation: u64,
    /// Orders the descriptions within one incarnation.
    pub sequence: u64,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Bandwidth of the VM's link in kbit/s.
    pub link_kbps: u32,
    /// Whether the daemon is stopping.
    pub stopping: bool,
    /// The backend server, once it has said anything.
    pub server: Option<Server>,
}

impl Member {
    fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    fn digest(&self) -> Digest {
        let (incarnation, sequence) = self.order();
        let mut bytes = self.vm.as_str().as_bytes().to_vec();
        bytes.extend(incarnation.to_le_bytes());
        bytes.extend(sequence.to_le_bytes());
        xxh3_64(&bytes) as Digest
    }

    fn bucket(&self) -> usize {
        xxh3_64(self.vm.as_str().as_bytes()) as usize % BUCKETS
    }
}

/// What a description changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// A member that was not known.
    Added,
    /// A newer description of a known member.
    Updated,
    /// Nothing.
    Unchanged,
}

/// Known members by VM; descriptions may arrive in any order and from anyone.
#[derive(Debug, Default)]
pub struct Directory {
    members: BTreeMap<EndpointId, Member>,
    /// Order of descriptions whose member was removed; older ones do not bring it back.
    removed: BTreeMap<EndpointId, (u64, u64)>,
    digests: [Digest; BUCKETS],
    /// Members whose description is new, with the times that it is still to be passed on.
    rumours: VecDeque<(EndpointId, u32)>,
}

impl Directory {
    /// Takes a description.
    pub fn merge(&mut self, member: &Member) -> MergeResult {
        if self.removed.get(&member.vm).is_some_and(|it| *it >= member.order()) {
            return MergeResult::Unchanged;
        }
        let before = self.members.get(&member.vm);
        if before.is_some_and(|it| it.order() >= member.order()) {
            return MergeResult::Unchanged;
        }
        let merged = match before {
            Some(before) => {
                self.digests[before.bucket()] ^= before.digest();
                MergeResult::Updated
            }
            None => MergeResult::Added,
        };
        self.digests[member.bucket()] ^= member.digest();
        self.members.insert(member.vm.clone(), member.clone());
        self.rumours.retain(|(vm, _)| *vm != member.vm);
        self.rumours.truncate(MOST_RUMOURS - 1);
        let doublings = self.members.len().next_power_of_two().ilog2();
        self.rumours.push_front((member.vm.clone(), SENDS_PER_DOUBLING * (doublings + 1)));
        merged
    }

    /// Returns up to `most` descriptions that are new, to be passed on to one daemon.
    pub fn take_updates(&mut self, most: usize) -> Vec<Member> {
        let mut passed = Vec::new();
        for _ in 0..most.min(self.rumours.len()) {
            let Some((vm, sends)) = self.rumours.pop_front() else { break };
            let Some(member) = self.members.get(&vm) else { continue };
            passed.push(member.clone());
            if sends > 1 {
                self.rumours.push_back((vm, sends - 1));
            }
        }
        passed
    }

    /// Removes a member that is known to have ended.
    pub fn remove(&mut self, vm: &EndpointId) -> Option<Member> {
        let member = self.members.remove(vm)?;
        self.digests[member.bucket()] ^= member.digest();
        self.removed.insert(vm.clone(), member.order());
        Some(member)
    }

    /// Returns the member on a VM.
    pub fn get(&self, vm: &EndpointId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns all members by VM.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns one digest for each bucket of members; equal directories have equal ones.
    pub fn digests(&self) -> &[Digest] {
        &self.digests
    }

    /// Returns the members of the buckets in which a directory with these digests differs; none
    /// when there are no digests.
    pub fn differing(&self, digests: &[Digest]) -> impl Iterator<Item = &Member> {
        let comparable = digests.len() == BUCKETS;
        let differs = move |it: &&Member| {
            let bucket = it.bucket();
            comparable && digests[bucket] != self.digests[bucket]
        };
        self.members.values().filter(differs)
    }
}
