//! Snapshot schedule, retention and read plans for reaching the head row's version.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{HEAD_KEY, Head, HeadRead, Transaction, encode, snapshot_object};
use crate::Version;

/// Number of changes after which the next snapshot is due.
pub const SNAPSHOT_INTERVAL: u64 = 64;
/// Number of retained snapshots.
pub const RETAINED_SNAPSHOTS: usize = 4;
/// Number of changes whose rows are retained, about 4 days at 16,000 changes a day. The rows
/// outlive the delta objects because they answer retries of a write id.
pub const RETAINED_CHANGES: u64 = 65_536;
/// Number of changes, up to the last removable one, that each round removes (again), so that later
/// rounds make up for one that was interrupted.
const REMOVAL_OVERLAP: u64 = 4 * SNAPSHOT_INTERVAL;

/// Returns whether a snapshot of the head's version is due.
pub fn snapshot_due(head: &Head) -> bool {
    head.version.seq.saturating_sub(head.snapshot_seq) >= SNAPSHOT_INTERVAL
}

/// Returns the transaction that records the snapshot of `version` after its object was written,
/// or `None` when a snapshot at least as new is recorded or the version is not part of this
/// history.
///
/// On a conflict, the caller reads the head row again and retries.
pub fn record_snapshot(read: &HeadRead, version: Version) -> Option<Transaction> {
    let head = &read.head;
    let known = version.epoch == head.version.epoch && version <= head.version;
    if !known || version.seq <= head.snapshot_seq {
        return None;
    }
    let next = push_snapshot(head, version.seq);
    let when = Transaction::default().when(HEAD_KEY.to_owned(), Some(read.revision));
    Some(when.put(HEAD_KEY.to_owned(), encode(&next)))
}

/// Returns the head row's value with `seq` as the newest snapshot.
pub(super) fn push_snapshot(head: &Head, seq: u64) -> Head {
    let mut older = head.older.clone();
    if head.snapshot.is_some() {
        older.insert(0, head.snapshot_seq);
    }
    older.truncate(RETAINED_SNAPSHOTS - 1);
    Head { version: head.version, snapshot: Some(snapshot_object(seq)), snapshot_seq: seq, older }
}

/// Objects and rows to remove after a snapshot was recorded. Removals may be repeated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removals {
    /// Names of snapshot objects to remove.
    pub snapshots: Vec<String>,
    /// Range of changes, after the first number up to and including the second, whose delta
    /// objects (named by the change rows) are to be removed.
    pub deltas: Option<(u64, u64)>,
    /// Range of changes, after the first number up to and including the second, whose change rows
    /// and the write rows that they name are to be removed.
    pub rows: Option<(u64, u64)>,
}

/// Returns what to remove after recording a snapshot changed the head row from `before` to `after`.
pub fn removals(before: &Head, after: &Head) -> Removals {
    let retained = retained_snapshots(after);
    let dropped = retained_snapshots(before).into_iter().filter(|seq| !retained.contains(seq));
    let oldest = if retained.len() == RETAINED_SNAPSHOTS { retained.last().copied() } else { None };
    let last_removed = after.version.seq.saturating_sub(RETAINED_CHANGES);
    let span = |last: u64| (last > 0).then(|| (last.saturating_sub(REMOVAL_OVERLAP), last));
    Removals {
        snapshots: dropped.map(snapshot_object).collect(),
        deltas: oldest.and_then(span),
        rows: span(last_removed),
    }
}

/// Returns the sequence numbers of the retained snapshots, newest first.
fn retained_snapshots(head: &Head) -> Vec<u64> {
    let newest = head.snapshot.is_some().then_some(head.snapshot_seq);
    newest.into_iter().chain(head.older.iter().copied()).collect()
}

/// Objects that a reader found corrupt or missing, by sequence number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableObjects {
    /// Snapshots that cannot be used.
    pub snapshots: BTreeSet<u64>,
    /// Deltas that cannot be used.
    pub deltas: BTreeSet<u64>,
}

/// What to read to reach the version of the head row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadPlan {
    /// The held catalog has that version or a newer one.
    Current,
    /// Apply the deltas after `from` up to and including `to` to the held catalog, or to an
    /// empty one when `from` is [`Version::ZERO`].
    Deltas {
        /// Version of the catalog to start from.
        from: Version,
        /// Version to reach.
        to: Version,
    },
    /// Read a snapshot, then apply the deltas after it up to and including `to`.
    Snapshot {
        /// Name of the snapshot object.
        name: String,
        /// Sequence number of the snapshot.
        seq: u64,
        /// Version to reach.
        to: Version,
    },
    /// The objects do not suffice; the catalog has to be fetched from a peer.
    Peer,
}

/// Returns what to read to reach the version of `head`, given the held version and the objects
/// known to be unusable.
///
/// A reader that finds another unusable object adds it and plans again. Plans avoid all objects in
/// `unusable`, so this terminates.
pub fn plan_read(head: &Head, held: Option<Version>, unusable: &UnusableObjects) -> ReadPlan {
    let to = head.version;
    if held.is_some_and(|held| held >= to) {
        return ReadPlan::Current;
    }
    let retained = retained_snapshots(head);
    // No delta is removed before the set of snapshots is complete.
    let oldest = if retained.len() == RETAINED_SNAPSHOTS {
        retained.last().copied().unwrap_or(0)
    } else {
        0
    };
    let last_unusable = unusable.deltas.range(..=to.seq).next_back().copied().unwrap_or(0);
    let intact = |seq: u64| seq >= oldest && seq >= last_unusable;
    // A version of an earlier epoch may be missing from the restored table.
    let start = held.filter(|held| held.epoch == to.epoch && intact(held.seq));
    if let Some(from) = start.filter(|it| to.seq - it.seq <= SNAPSHOT_INTERVAL) {
        return ReadPlan::Deltas { from, to };
    }
    let usable = |seq: &u64| !unusable.snapshots.contains(seq) && intact(*seq);
    if let Some(seq) = retained.into_iter().find(usable) {
        return ReadPlan::Snapshot { name: snapshot_object(seq), seq, to };
    }
    match start {
        Some(from) => ReadPlan::Deltas { from, to },
        None if oldest == 0 && intact(0) => ReadPlan::Deltas { from: Version::ZERO, to },
        None => ReadPlan::Peer,
    }
}
