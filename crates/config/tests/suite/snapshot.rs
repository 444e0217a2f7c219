//! Tests of snapshots, their retention and read plans.

use proptest::{collection::btree_set, prelude::*};
use shallottack_config::{
    Version,
    commit::{
        Head, HeadRead, ReadPlan, SNAPSHOT_INTERVAL, UnusableObjects, change_key, decode,
        plan_read, record_snapshot, removals, snapshot_due, snapshot_object,
    },
};

fn at(seq: u64) -> Version {
    Version { epoch: 0, seq }
}

fn head(seq: u64, kept: &[u64]) -> Head {
    Head {
        version: at(seq),
        snapshot: kept.first().map(|seq| snapshot_object(*seq)),
        snapshot_seq: kept.first().copied().unwrap_or(0),
        older: kept.iter().skip(1).copied().collect(),
    }
}

fn snapshot(seq: u64, to: u64) -> ReadPlan {
    ReadPlan::Snapshot { name: snapshot_object(seq), seq, to: at(to) }
}

fn recorded(before: &Head, seq: u64) -> Option<Head> {
    let read = HeadRead { revision: 7, head: before.clone() };
    let transaction = record_snapshot(&read, at(seq))?;
    assert_eq!(transaction.conditions[0].revision, Some(7));
    Some(decode(&transaction.writes[0].value).unwrap())
}

/// Guards against a scan that returns change 10 before change 9.
#[test]
fn change_keys_are_in_numeric_order() {
    assert!(change_key(9) < change_key(10));
    assert!(change_key(u64::MAX - 1) < change_key(u64::MAX));
}

/// Guards against a reader that needs an unbounded number of deltas.
#[test]
fn snapshot_is_due_after_64_changes() {
    assert!(!snapshot_due(&head(63, &[])));
    assert!(snapshot_due(&head(64, &[])));
    assert!(!snapshot_due(&head(127, &[64])));
}

/// Guards against the removal of an object that a read plan may still name.
#[test]
fn retention_keeps_four_snapshots_and_the_deltas_after_the_oldest() {
    let mut current = head(0, &[]);
    for round in 1..=10 {
        let seq = round * SNAPSHOT_INTERVAL;
        let before = Head { version: at(seq), ..current.clone() };
        current = recorded(&before, seq).unwrap();
        assert_eq!(recorded(&current, seq), None, "a snapshot is recorded once");
        let removed = removals(&before, &current);
        let oldest = current.older.last().copied().unwrap_or(seq);
        if round < 4 {
            assert_eq!((removed.snapshots.len(), removed.deltas), (0, None));
        } else {
            assert_eq!(removed.deltas.unwrap().1, oldest);
            assert_eq!(oldest, seq - 3 * SNAPSHOT_INTERVAL);
        }
        if round > 4 {
            assert_eq!(removed.snapshots, [snapshot_object(oldest - SNAPSHOT_INTERVAL)]);
        }
    }
}

/// Guards against a restarted daemon that cannot recover from a corrupt or missing object.
#[test]
fn unusable_objects_are_avoided() {
    let head = head(300, &[256, 192, 128, 64]);
    let mut unusable = UnusableObjects::default();
    let plan =
        |held: Option<u64>, unusable: &UnusableObjects| plan_read(&head, held.map(at), unusable);
    assert_eq!(plan(Some(300), &unusable), ReadPlan::Current);
    assert_eq!(plan(Some(290), &unusable), ReadPlan::Deltas { from: at(290), to: at(300) });
    assert_eq!(plan(Some(100), &unusable), snapshot(256, 300));
    assert_eq!(plan(None, &unusable), snapshot(256, 300));
    unusable.snapshots.insert(256);
    assert_eq!(plan(None, &unusable), snapshot(192, 300));
    unusable.deltas.insert(200);
    assert_eq!(plan(None, &unusable), ReadPlan::Peer);
    assert_eq!(plan(Some(250), &unusable), ReadPlan::Deltas { from: at(250), to: at(300) });
    assert_eq!(plan(Some(150), &unusable), ReadPlan::Peer);
}

/// Guards against a read plan that fails when no change follows the newest snapshot.
#[test]
fn snapshot_of_the_head_needs_no_deltas() {
    let unusable = UnusableObjects { deltas: [64, 65].into(), ..UnusableObjects::default() };
    assert_eq!(plan_read(&head(64, &[64]), None, &unusable), snapshot(64, 64));
}

/// Guards against deltas being applied to a version that is missing from the restored table.
#[test]
fn version_of_an_earlier_epoch_is_replaced_by_a_snapshot() {
    let mut head = head(300, &[290, 256]);
    head.version.epoch = 1;
    let plan = plan_read(&head, Some(at(299)), &UnusableObjects::default());
    assert_eq!(plan, ReadPlan::Snapshot { name: snapshot_object(290), seq: 290, to: head.version });
    let empty = Head { version: at(5), ..Head::default() };
    let plan = plan_read(&empty, None, &UnusableObjects::default());
    assert_eq!(plan, ReadPlan::Deltas { from: Version::ZERO, to: at(5) });
}

proptest! {
    /// Guards against a plan that names an object known to be unusable, which would make the reader
    /// plan and read without end, and against a plan that misses a usable snapshot.
    #[test]
    fn plan_avoids_unusable_objects(
        to in 0..400u64,
        held in prop::option::of(0..400u64),
        snapshots in btree_set(prop::sample::select(vec![64u64, 128, 192, 256, 320, 384]), 0..4),
        deltas in btree_set(1..400u64, 0..4),
    ) {
        let newest = to / SNAPSHOT_INTERVAL;
        let kept: Vec<_> = (1..=newest).rev().take(4).map(|it| it * SNAPSHOT_INTERVAL).collect();
        let unusable = UnusableObjects { snapshots: snapshots.clone(), deltas: deltas.clone() };
        let whole = |from: u64| !deltas.iter().any(|it| *it > from && *it <= to);
        match plan_read(&head(to, &kept), held.map(at), &unusable) {
            ReadPlan::Current => prop_assert!(held.is_some_and(|it| it >= to)),
            ReadPlan::Deltas { from, .. } => {
                prop_assert!(whole(from.seq) && (from == Version::ZERO || held == Some(from.seq)));
            }
            ReadPlan::Snapshot { seq, .. } => {
                prop_assert!(kept.contains(&seq) && !snapshots.contains(&seq) && whole(seq));
            }
            ReadPlan::Peer => {
                prop_assert!(!kept.iter().any(|it| !snapshots.contains(it) && whole(*it)));
            }
        }
    }
}
