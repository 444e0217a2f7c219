//! Samples of a large fleet: size, uniformity and propagation of updates.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallottack_fleet::{Directory, Member, NeighbourSettings, Neighbours, store_reader_rank};

use crate::fixture::member;

const DATA_CENTRES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn fleet(daemons: usize) -> Vec<Member> {
    let named = |it: usize| member(&format!("vm-{it}"), DATA_CENTRES[it % DATA_CENTRES.len()], 1);
    (0..daemons).map(named).collect()
}

fn neighbours(me: &Member, all: &[Member]) -> Vec<usize> {
    let sampled = Neighbours::new(&NeighbourSettings::default(), me, all.iter());
    let near = |it: &usize| all[*it].vm != me.vm && sampled.contains(&all[*it]);
    (0..all.len()).filter(near).collect()
}

/// Guards against a small fleet whose daemons are not all neighbours of each other.
#[test]
fn small_fleet_is_a_full_mesh() {
    let all = fleet(12);
    for me in &all {
        assert!(Neighbours::new(&NeighbourSettings::default(), me, all.iter()).covers_all());
        assert_eq!(neighbours(me, &all).len(), 11);
    }
}

/// Guards against work of a daemon that grows with the fleet: the sample sizes add up to 60, and
/// random sampling exceeds them by at most a half.
#[test]
fn neighbours_do_not_grow_with_the_fleet() {
    for daemons in [300, 1_000, 3_700] {
        let all = fleet(daemons);
        let most = all.iter().step_by(37).map(|it| neighbours(it, &all).len()).max();
        assert!(most.is_some_and(|it| it <= 90), "{most:?} of {daemons}");
    }
}

/// Guards against backend servers that few daemons send to and that stay idle while others are
/// overloaded.
#[test]
fn all_members_are_selected_about_equally_often() {
    let all = fleet(300);
    let mut selected = BTreeMap::new();
    for it in all.iter().flat_map(|it| neighbours(it, &all)) {
        *selected.entry(it).or_insert(0_usize) += 1;
    }
    let mean = selected.values().sum::<usize>() as f64 / all.len() as f64;
    assert_eq!(selected.len(), all.len());
    assert!(selected.values().all(|it| (*it as f64) > mean * 0.75 && (*it as f64) < mean * 1.25));
}

/// Guards against a data centre in which no daemon follows the store, or all do.
#[test]
fn few_daemons_follow_the_store_and_others_take_over() {
    let settings = NeighbourSettings::default();
    let mut all = fleet(50);
    for _ in 0..3 {
        let readers =
            all.iter().filter(|it| store_reader_rank(&settings, it, all.iter()).is_some());
        let readers: Vec<_> = readers.cloned().collect();
        assert_eq!(readers.len(), settings.store_readers);
        all.retain(|it| !readers.contains(it));
    }
}

/// Guards against a change that is delayed by the transfer of the whole configuration from the
/// store over a slow link, although other VMs of the data centre have faster ones.
#[test]
fn daemons_with_fast_links_follow_the_store() {
    let settings = NeighbourSettings::default();
    let mut all = fleet(50);
    for (number, it) in all.iter_mut().enumerate() {
        it.link_kbps = if number % 20 == 7 { 200_000 } else { 10_000 };
    }
    let readers: Vec<_> =
        all.iter().filter(|it| store_reader_rank(&settings, it, all.iter()).is_some()).collect();
    assert_eq!(readers.iter().filter(|it| it.link_kbps == 200_000).count(), 3, "{readers:?}");
    assert_eq!(readers.len(), settings.store_readers);
}

/// Guards against an update that takes seconds to reach a large fleet. Simulates 300 daemons that
/// begin twelve exchanges a second each, in rounds of a twelfth of a second.
#[test]
fn change_reaches_all_within_a_second_and_a_half() {
    let all = fleet(300);
    let near: Vec<Vec<usize>> = all.iter().map(|it| neighbours(it, &all)).collect();
    for seed in 0..5 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut directories: Vec<Directory> =
            (0..all.len()).map(|_| Directory::default()).collect();
        for directory in &mut directories {
            all.iter().for_each(|it| {
                directory.merge(it);
            });
            // Drains the updates of the initial records.
            while !directory.take_updates(64).is_empty() {}
        }
        let changed = Member { sequence: 2, ..all[7].clone() };
        directories[7].merge(&changed);
        for _ in 0..18 {
            for me in 0..all.len() {
                let other = near[me][rng.random_range(0..near[me].len())];
                let sent = directories[me].take_updates(12);
                let back = directories[other].take_updates(12);
                sent.iter().for_each(|it| {
                    directories[other].merge(it);
                });
                back.iter().for_each(|it| {
                    directories[me].merge(it);
                });
            }
        }
        let updated = directories.iter().filter(|it| it.get(&changed.vm) == Some(&changed)).count();
        assert!(updated >= all.len() * 99 / 100, "{updated} of {} with seed {seed}", all.len());
    }
}
