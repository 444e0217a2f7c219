//! When to write snapshots, what to retain and what to read to reach a version.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{HEAD_KEY, Head, HeadRead, Transaction, encode, snapshot_object};
use crate::Version;

/// Changes after which the next snapshot is due.
pub const SNAPSHOT_INTERVAL: u64 = 64;
/// Snapshots that are retained.
pub const RETAINED_SNAPSHOTS: usize = 4;
/// Changes whose rows are retained, about 4 days at 16,000 changes a day. The rows outlive the
/// delta objects, since they answer a repeat of a write id.
pub const RETAINED_CHANGES: u64 = 65_536;
/// Changes before the oldest snapshot whose objects are removed again in each round, so that a
/// round that was cut short is made up for by the next ones.
const REMOVAL_OVERLAP: u64 = 4 * SNAPSHOT_INTERVAL;

/// Returns whether a snapshot of the head's version is due.
pub fn snapshot_due(head: &Head) -> bool {
    head.version.seq.saturating_sub(head.snapshot_seq) >= SNAPSHOT_INTERVAL
}

/// Returns the transaction that records the snapshot of `version` after its object was written,
/// or `None` when a snapshot at least as new is recorded or the version is not of this history.
///
/// On a conflict the daemon reads the head row again and asks once more.
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

/// Returns the head with the snapshot of `seq` as its newest.
pub(super) fn push_snapshot(head: &Head, seq: u64) -> Head {
    let mut older = head.older.clone();
    if head.snapshot.is_some() {
        older.insert(0, head.snapshot_seq);
    }
    older.truncate(RETAINED_SNAPSHOTS - 1);
    Head { version: head.version, snapshot: Some(snapshot_object(seq)), snapshot_seq: seq, older }
}

/// What may be removed after a snapshot was recorded. Removals may be repeated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removals {
    /// Names of snapshot objects to remove.
    pub snapshots: Vec<String>,
    /// Sequence numbers after the first up to and including the second whose delta objects, named
    /// by the change rows, are removed.
    pub deltas: Option<(u64, u64)>,
    /// Sequence numbers after the first up to and including the second whose change rows, and the
    /// write rows that they name, are removed.
    pub rows: Option<(u64, u64)>,
}

/// Returns what may be removed when the head row changed from `before` to `after` through the
/// recording of a snapshot.
pub fn removals(before: &Head, after: &Head) -> Removals {
    let kept = snapshots(after);
    let dropped = snapshots(before).into_iter().filter(|seq| !kept.contains(seq));
    let oldest = if kept.len() == RETAINED_SNAPSHOTS { kept.last().copied() } else { None };
    let last_row = after.version.seq.saturating_sub(RETAINED_CHANGES);
    let span = |last: u64| (last > 0).then(|| (last.saturating_sub(REMOVAL_OVERLAP), last));
    Removals {
        snapshots: dropped.map(snapshot_object).collect(),
        deltas: oldest.and_then(span),
        rows: span(last_row),
    }
}

/// Returns the sequence numbers of the retained snapshots, newest first.
fn snapshots(head: &Head) -> Vec<u64> {
    let newest = head.snapshot.is_some().then_some(head.snapshot_seq);
    newest.into_iter().chain(head.older.iter().copied()).collect()
}

/// Objects that a reader found torn or missing, by sequence number.
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
    /// The catalog at hand is of that version or newer.
    Current,
    /// Apply the deltas after `from` up to and including `to` to the catalog at hand, or to an
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
    /// The objects do not suffice: ask a peer.
    Peer,
}

/// Returns what to read to reach the version of `head`, given the version at hand and the objects
/// found broken so far. The reader adds what it finds broken and asks again; each answer avoids
/// all objects in `broken`, so that the questions end.
pub fn plan_read(head: &Head, held: Option<Version>, unusable: &UnusableObjects) -> ReadPlan {
    let to = head.version;
    if held.is_some_and(|held| held >= to) {
        return ReadPlan::Current;
    }
    let kept = snapshots(head);
    // Without a full set of snapshots no delta was removed yet.
    let oldest =
        if kept.len() == RETAINED_SNAPSHOTS { kept.last().copied().unwrap_or(0) } else { 0 };
    let last_unusable = unusable.deltas.range(..=to.seq).next_back().copied().unwrap_or(0);
    let intact = |seq: u64| seq >= oldest && seq >= last_unusable;
    // A version of an earlier epoch may be one that the table has lost.
    let start = held.filter(|held| held.epoch == to.epoch && intact(held.seq));
    if let Some(from) = start.filter(|it| to.seq - it.seq <= SNAPSHOT_INTERVAL) {
        return ReadPlan::Deltas { from, to };
    }
    let usable = |seq: &u64| !unusable.snapshots.contains(seq) && intact(*seq);
    if let Some(seq) = kept.into_iter().find(usable) {
        return ReadPlan::Snapshot { name: snapshot_object(seq), seq, to };
    }
    match start {
        Some(from) => ReadPlan::Deltas { from, to },
        None if oldest == 0 && intact(0) => ReadPlan::Deltas { from: Version::ZERO, to },
        None => ReadPlan::Peer,
    }
}
