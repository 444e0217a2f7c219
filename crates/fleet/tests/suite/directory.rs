//! Member records that arrive in any order.

use proptest::prelude::*;
use shallottack_fleet::{Directory, Member, MergeResult};

use crate::fixture::{id, member};

/// Guards against an older record that replaces a newer one.
#[test]
fn older_records_change_nothing() {
    let mut directory = Directory::default();
    assert_eq!(directory.merge(&member("vm-1", "a", 2)), MergeResult::Added);
    assert_eq!(directory.merge(&member("vm-1", "a", 1)), MergeResult::Unchanged);
    let restarted = Member { incarnation: 2, ..member("vm-1", "a", 1) };
    assert_eq!(directory.merge(&restarted), MergeResult::Updated);
    assert_eq!(directory.merge(&member("vm-1", "a", 9)), MergeResult::Unchanged);
}

/// Guards against a removed member that an outdated directory of another daemon restores.
#[test]
fn removed_member_returns_only_with_a_newer_record() {
    let mut directory = Directory::default();
    directory.merge(&member("vm-1", "a", 2));
    directory.remove(&id("vm-1"));
    assert_eq!(directory.merge(&member("vm-1", "a", 2)), MergeResult::Unchanged);
    assert_eq!(directory.merge(&member("vm-1", "a", 3)), MergeResult::Added);
}

/// Guards against two daemons that exchange all records of a large fleet because one has changed.
#[test]
fn one_change_exchanges_few_records() {
    let all: Vec<Member> = (0..110).map(|it| member(&format!("vm-{it}"), "a", 1)).collect();
    let (mut one, mut two) = (Directory::default(), Directory::default());
    for it in &all {
        one.merge(it);
        two.merge(it);
    }
    two.merge(&member("vm-7", "a", 2));
    let sent: Vec<&Member> = two.differing(one.digests()).collect();
    assert!(sent.contains(&&member("vm-7", "a", 2)));
    assert!(sent.len() <= all.len() / 8, "{} of {} records", sent.len(), all.len());
    assert_eq!(two.differing(&[]).count(), 0);
}

proptest! {
    /// Guards against daemons that receive the same records in different orders and never converge.
    #[test]
    fn order_of_records_does_not_matter(
        order in proptest::collection::vec((0u8..4, 0u64..3, 0u64..4), 1..30),
        seed in any::<u64>(),
    ) {
        let record = |&(vm, incarnation, sequence): &(u8, u64, u64)| Member {
            incarnation,
            ..member(&format!("vm-{vm}"), "a", sequence)
        };
        let mut shuffled = order.clone();
        let rotate = seed as usize % shuffled.len();
        shuffled.rotate_left(rotate);
        shuffled.reverse();
        let (mut one, mut two) = (Directory::default(), Directory::default());
        order.iter().for_each(|it| { one.merge(&record(it)); });
        shuffled.iter().for_each(|it| { two.merge(&record(it)); });
        prop_assert_eq!(one.digests(), two.digests());
        prop_assert_eq!(one.differing(two.digests()).count(), 0);
        prop_assert!(one.members().eq(two.members()));
    }
}
