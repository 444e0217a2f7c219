//! Limits on snapshot transfers and table reads when many daemons start at once.

use shallottack_distribution::Settings;
use shallottack_kernel::Time;

use crate::sim::{SECOND, Sim};

/// Returns the maximum number of snapshots that one daemon sent in any second.
fn busiest_second(sim: &Sim) -> usize {
    let in_second = |times: &[Time], i: usize| {
        times[i..].iter().take_while(|at| **at - times[i] < SECOND).count()
    };
    let times = sim.nodes.iter().map(|it| &it.transfers);
    times.flat_map(|it| (0..it.len()).map(move |i| in_second(it, i))).max().unwrap_or(0)
}

/// Guards against a mass restart that overloads the few peers that still hold the configuration:
/// 350 of 370 daemons restart, and no peer sends more than 32 snapshots in any second.
#[test]
fn mass_restart_bounds_transfers() {
    let mut sim = Sim::settled(41, &[370], Settings::default(), 300);
    let source = sim.sources()[0];
    for i in (0..370).filter(|i| *i != source).take(350) {
        sim.restart(i);
    }
    let took = sim.converge(18 * SECOND);
    let deferred: u64 = (0..370).map(|i| sim.core(i).counters().snapshots_deferred).sum();
    let busiest = busiest_second(&sim);
    println!("350 of 370 restarted: {took:?}, busiest {busiest}/s, {deferred} deferred");
    assert!(busiest <= 32);
}

/// Guards against overload of a single daemon that holds the configuration: with a flat tree, the
/// source announces its first snapshot to 199 daemons, which all request it at once.
#[test]
fn single_holder_serves_all_within_the_limit() {
    let settings = Settings { arity: 400, ..Settings::default() };
    let mut sim = Sim::new(42, &[200], settings);
    (0..300).for_each(|_| drop(sim.platform.commit()));
    let took = sim.converge(30 * SECOND);
    let busiest = busiest_second(&sim);
    let deferred: u64 = (0..200).map(|i| sim.core(i).counters().snapshots_deferred).sum();
    println!("flat tree of 200 started: {took:?}, busiest {busiest}/s, {deferred} deferred");
    assert!(busiest <= 32);
}

/// Guards against a restart of the whole fleet that overloads the table or does not recover: all
/// daemons of three data centres restart at the same time.
#[test]
fn whole_fleet_restart_bounds_table_reads() {
    let mut sim = Sim::settled(43, &[120, 120, 120], Settings::default(), 300);
    let before = sim.head_reads.len();
    let start = sim.now;
    (0..360).for_each(|i| sim.restart(i));
    let took = sim.converge(30 * SECOND);
    let reads = &sim.head_reads[before..];
    let per_second = |s: u32| {
        let from = start + s * SECOND;
        reads.iter().filter(|(at, _)| *at >= from && *at - from < SECOND).count()
    };
    let busiest = (0..30).map(per_second).max().unwrap_or(0);
    println!("360 restarted: {took:?}, busiest second of the table {busiest} head reads");
    // 360 in 5 s are 72/s on average.
    assert!(busiest <= 110);
    assert!(busiest_second(&sim) <= 32);
}
