//! Outages, partitions, and lost, reordered or duplicated messages.

use std::time::Duration;

use proptest::prelude::*;
use shallottack_distribution::Settings;

use crate::sim::{Faults, SECOND, Sim};

/// Guards against a version that is never delivered, or applied twice or out of order, when deltas
/// are reordered, duplicated and lost.
#[test]
fn reordered_duplicated_and_lost_deltas_converge() {
    let mut sim = Sim::settled(31, &[30, 30], Settings::default(), 2);
    sim.faults = Faults { loss: 0.2, duplicates: 0.3, ..Faults::default() };
    for i in 0..100 {
        sim.commit((i % 3 == 0).then_some(i % 60));
        sim.run(Duration::from_millis(50));
    }
    let took = sim.converge(10 * SECOND);
    println!("100 versions in 5 s with 20 % loss: last in force everywhere after {took:?}");
}

/// Guards against a long outage of the table after which daemons no longer have a version in force
/// or stay behind, or in which retries overload the table.
#[test]
fn long_table_outage_keeps_versions_and_bounds_reads() {
    let mut sim = Sim::settled(32, &[30, 30], Settings::default(), 2);
    sim.faults.table_down = true;
    let head = sim.platform.head();
    sim.run(60 * SECOND);
    let before = (sim.head_reads.len(), sim.lease_reads);
    sim.run(600 * SECOND);
    assert!(sim.all_at(head));
    let heads = sim.head_reads.len() - before.0;
    let leases = sim.lease_reads - before.1;
    println!("600 s of outage: {heads} head reads, {leases} lease reads of 60 daemons");
    // Only the six candidates read; their mean backoff at the maximum is 3.75 s.
    assert!(heads <= 10 && leases <= 6 * 250);
    sim.faults.table_down = false;
    sim.commit(None);
    println!("converged {:?} after the outage", sim.converge(18 * SECOND));
}

/// Guards against a data centre that stays at an old version while only the platform is
/// unreachable from it, or after a full partition has healed.
#[test]
fn partitioned_data_centre_catches_up() {
    let mut sim = Sim::settled(33, &[20, 20, 20], Settings::default(), 2);
    sim.faults.platform_unreachable.insert("dc2".to_owned());
    sim.commit(None);
    println!("cut off from the platform: {:?}", sim.converge(18 * SECOND));
    sim.faults.partitioned_centres.insert("dc2".to_owned());
    let cut_at = sim.platform.head();
    // More versions than the delta log holds.
    for _ in 0..300 {
        sim.commit(None);
        sim.run(Duration::from_millis(100));
    }
    assert!((40..60).all(|i| sim.in_force(i) == Some(cut_at)));
    sim.faults.partitioned_centres.clear();
    println!("healed, without the platform: {:?}", sim.converge(18 * SECOND));
}

/// Guards against a data centre that stops updating because of an incomplete or missing object: the
/// source must fall back to an older snapshot and the deltas after it.
#[test]
fn missing_and_incomplete_objects_are_skipped() {
    let mut sim = Sim::new(34, &[10], Settings::default());
    (0..200).for_each(|_| drop(sim.platform.commit()));
    sim.platform.snapshots.insert(192, b"torn".as_slice().into());
    sim.platform.snapshots.remove(&128);
    (1..=64).for_each(|seq| drop(sim.platform.deltas.remove(&seq)));
    sim.converge(30 * SECOND);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against orders of commits, pauses, restarts, partitions, outages, loss and
    /// duplication in which a daemon returns to an older version or never converges.
    #[test]
    fn random_schedules_keep_versions_monotonic(
        seed in any::<u64>(),
        loss in 0.0..0.4,
        duplicates in 0.0..0.4,
        lost_commits in 0.0..0.5,
        steps in prop::collection::vec((0..9u8, 0..12usize, 10..3_000u64), 1..60),
    ) {
        let settings = Settings { log_len: 4, ..Settings::default() };
        let mut sim = Sim::new(seed, &[5, 5, 2], settings);
        sim.faults = Faults { loss, duplicates, lost_commits, ..Faults::default() };
        for (kind, node, millis) in steps {
            let length = Duration::from_millis(millis);
            match kind {
                0 => drop(sim.commit(Some(node).filter(|_| !sim.faults.table_down))),
                1 | 2 => drop(sim.commit(None)),
                3 => sim.pause(node, length * 4),
                4 => sim.restart(node),
                5 => sim.faults.table_down = !sim.faults.table_down,
                6 => {
                    let cut = &mut sim.faults.partitioned_centres;
                    let centre = format!("dc{}", node % 3);
                    if !cut.remove(&centre) { cut.insert(centre); }
                }
                7 => {
                    let cut = &mut sim.faults.platform_unreachable;
                    let centre = format!("dc{}", node % 3);
                    if !cut.remove(&centre) { cut.insert(centre); }
                }
                _ => {}
            }
            sim.run(length);
        }
        sim.faults = Faults::default();
        // Waits for pauses of up to 12 s to end.
        sim.run(15 * SECOND);
        sim.converge(30 * SECOND);
    }
}
