//! Directory of the known daemons and their backend servers.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{DataCentre, EndpointId};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Crash, LeaveNotice, Server, Verdict};

/// Buckets in which members are compared by digest; with 110 members, a bucket holds about four.
const BUCKETS: usize = 32;

/// Maximum number of queued updates; members beyond it spread by the comparison of digests only.
const MAX_QUEUED_UPDATES: usize = 64;
/// Number of times that an update is sent for each doubling of the fleet size. Each send reaches
/// one daemon: one send for each doubling would reach most daemons, and the second reaches the
/// others.
const SENDS_PER_DOUBLING: u32 = 2;

/// Largest difference between the start of a daemon and the clock of another one. A daemon may start
/// often within a millisecond of its clock, or after its clock was set back.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(24 * 3_600);

/// Digest of the members in one bucket.
pub type Digest = u32;

/// Record of a daemon and the backend server on its VM, as published by that daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: EndpointId,
    /// Orders the starts of the daemon on one VM.
    pub incarnation: u64,
    /// Orders the records of one incarnation.
    pub sequence: u64,
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Bandwidth of the VM's network link in kbit/s.
    pub link_kbps: u32,
    /// Whether the daemon is stopping.
    pub stopping: bool,
    /// Backend server on the VM; `None` before its first heartbeat.
    pub server: Option<Server>,
    /// Leaves of other incarnations than that of the backend server.
    pub left: SmallVec<[LeaveNotice; 1]>,
    /// Recent crashes of the backend server that no blocked request explains.
    pub crashes: SmallVec<[Crash; 1]>,
    /// What is known about requests that were in progress when backend servers of its service
    /// crashed.
    pub verdicts: SmallVec<[Verdict; 1]>,
}

impl Member {
    /// Checks a record that is stored under `key`, which any writer may have written.
    ///
    /// `now_ms` is the Unix time in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns the reason why no daemon writes such a record.
    pub fn check(&self, key: &str, now_ms: u64) -> Result<(), String> {
        if self.vm.as_str() != key {
            return Err(format!("describes {}", self.vm));
        }
        let latest = now_ms.saturating_add(MAX_CLOCK_LEAD.as_millis() as u64);
        if self.incarnation > latest {
            return Err(format!("incarnation {} is in the future", self.incarnation));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(format!("{} is not an address of a daemon", self.address));
        }
        Ok(())
    }

    fn version_key(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    fn digest(&self) -> Digest {
        let (incarnation, sequence) = self.version_key();
        let mut bytes = self.vm.as_str().as_bytes().to_vec();
        bytes.extend(incarnation.to_le_bytes());
        bytes.extend(sequence.to_le_bytes());
        xxh3_64(&bytes) as Digest
    }

    fn bucket(&self) -> usize {
        xxh3_64(self.vm.as_str().as_bytes()) as usize % BUCKETS
    }
}

/// Effect of merging a member record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// The member was not known.
    Added,
    /// The record replaced an older one of the member.
    Updated,
    /// The record is not newer than the known one, or the member was removed.
    Unchanged,
}

/// Known members by VM.
///
/// Records may arrive in any order and from any daemon.
#[derive(Debug, Default)]
pub struct Directory {
    members: BTreeMap<EndpointId, Member>,
    /// Incarnation and sequence of removed members, so that older records do not restore them.
    removed: BTreeMap<EndpointId, (u64, u64)>,
    digests: [Digest; BUCKETS],
    /// Members with new records, and how many more times to send each.
    updates: VecDeque<(EndpointId, u32)>,
}

impl Directory {
    /// Merges a member record into the directory.
    pub fn merge(&mut self, member: &Member) -> MergeResult {
        if self.removed.get(&member.vm).is_some_and(|it| *it >= member.version_key()) {
            return MergeResult::Unchanged;
        }
        let before = self.members.get(&member.vm);
        if before.is_some_and(|it| it.version_key() >= member.version_key()) {
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
        self.updates.retain(|(vm, _)| *vm != member.vm);
        self.updates.truncate(MAX_QUEUED_UPDATES - 1);
        let doublings = self.members.len().next_power_of_two().ilog2();
        self.updates.push_front((member.vm.clone(), SENDS_PER_DOUBLING * (doublings + 1)));
        merged
    }

    /// Returns up to `limit` recently changed member records to send to one daemon.
    ///
    /// Counts each of them as sent once.
    pub fn take_updates(&mut self, limit: usize) -> Vec<Member> {
        let mut taken = Vec::new();
        for _ in 0..limit.min(self.updates.len()) {
            let Some((vm, sends)) = self.updates.pop_front() else { break };
            let Some(member) = self.members.get(&vm) else { continue };
            taken.push(member.clone());
            if sends > 1 {
                self.updates.push_back((vm, sends - 1));
            }
        }
        taken
    }

    /// Removes a member that has ended, and returns its record.
    pub fn remove(&mut self, vm: &EndpointId) -> Option<Member> {
        let member = self.members.remove(vm)?;
        self.digests[member.bucket()] ^= member.digest();
        self.removed.insert(vm.clone(), member.version_key());
        Some(member)
    }

    /// Returns the member on a VM.
    pub fn get(&self, vm: &EndpointId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns all members, sorted by VM.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the directory has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns one digest for each bucket; equal directories have equal digests.
    pub fn digests(&self) -> &[Digest] {
        &self.digests
    }

    /// Returns the members of the buckets whose digests differ from `digests`.
    ///
    /// Returns no members if `digests` does not hold one digest for each bucket.
    pub fn differing(&self, digests: &[Digest]) -> impl Iterator<Item = &Member> {
        let complete = digests.len() == BUCKETS;
        let differs = move |it: &&Member| {
            let bucket = it.bucket();
            complete && digests[bucket] != self.digests[bucket]
        };
        self.members.values().filter(differs)
    }
}
