//! Pushes down the tree, reports up the tree, and the other modes.

use shallottack_distribution::{Mode, Settings};
use shallottack_kernel::Time;

use crate::sim::{SECOND, Sim};

/// Guards against a tree that leaves out daemons: pushes alone must reach all 370 daemons of a data
/// centre before pull repair could.
#[test]
fn push_reaches_a_whole_data_centre() {
    let settings = Settings { probe_interval: 600 * SECOND, ..Settings::default() };
    let mut sim = Sim::new(1, &[370], settings);
    sim.commit(None);
    sim.run(60 * SECOND);
    sim.commit(None);
    let took = sim.converge(5 * SECOND);
    let sources = sim.sources().len();
    assert_eq!(sources, 1);
    // One interval between head reads, one fetch and three levels of the tree.
    assert!(took < SECOND, "took {took:?}");
}

/// Guards against control traffic above 2 KB/s per daemon, with 370 daemons and a change every
/// 5.4 s (16,000 a day) for 60 s.
#[test]
fn steady_traffic_stays_within_budget() {
    let mut sim = Sim::settled(6, &[370], Settings::default(), 1);
    sim.nodes.iter_mut().for_each(|it| it.sent_bytes = 0);
    for _ in 0..11 {
        sim.commit(None);
        sim.run(SECOND * 54 / 10);
    }
    let rates: Vec<_> = sim.nodes.iter().map(|it| it.sent_bytes * 10 / 594).collect();
    let mean = rates.iter().sum::<usize>() / rates.len();
    let most = *rates.iter().max().unwrap();
    println!("bytes/s sent per daemon: mean {mean}, most {most}");
    assert!(mean < 500 && most < 2_000, "mean {mean}, most {most}");
}

/// Guards against a report at the source that leaves out daemons or does not list a lagging one.
#[test]
fn report_covers_the_data_centre_and_lists_lagging_daemons() {
    let mut sim = Sim::settled(2, &[100], Settings::default(), 3);
    sim.run(15 * SECOND);
    let source = sim.sources()[0];
    let report = sim.nodes[source].core.as_mut().unwrap().report();
    assert_eq!((report.daemons, report.lowest), (100, sim.platform.head()));
    assert!(report.lagging.is_empty(), "{report:?}");

    let slow = (source + 1) % 100;
    let before = sim.platform.head();
    sim.pause(slow, 60 * SECOND);
    sim.commit(None);
    sim.run(15 * SECOND);
    let report = sim.nodes[source].core.as_mut().unwrap().report();
    assert_eq!((report.daemons, report.lowest), (100, before));
    let names: Vec<_> = report.lagging.iter().map(|it| it.endpoint.clone()).collect();
    assert!(names.contains(&sim.nodes[slow].peer.endpoint), "{names:?}");
}

/// Guards against a mode that does not converge or exceeds its budget of head reads, with one data
/// centre of 100 daemons and one change per second for 20 s.
#[test]
fn every_mode_converges() {
    for (mode, limit) in [(Mode::Tree, 200), (Mode::Epidemic, 200), (Mode::Poll, 2_500)] {
        let mut sim = Sim::settled(3, &[100], Settings { mode, ..Settings::default() }, 1);
        let reads = sim.head_reads.len();
        let from = sim.now;
        for _ in 0..20 {
            sim.commit(None);
            sim.run(SECOND);
        }
        let took = sim.converge(10 * SECOND);
        let reads = sim.head_reads.len() - reads;
        println!("{mode:?}: {reads} head reads in {:?}, last change {took:?}", sim.now - from);
        assert!(reads < limit, "{mode:?} read the head row {reads} times");
    }
}

/// Guards against a lost push that is never repaired: with every push lost, pull repair alone must
/// converge, including across data centres.
#[test]
fn pull_repair_alone_converges() {
    let mut sim = Sim::settled(4, &[60, 60], Settings::default(), 2);
    sim.faults.drop_pushes = true;
    sim.faults.platform_unreachable.insert("dc1".to_owned());
    sim.commit(None);
    let took = sim.converge(18 * SECOND);
    println!("pull repair alone: {took:?}");
}

/// Guards against nondeterminism in the simulation, which would make failures impossible to replay.
#[test]
fn same_seed_gives_the_same_run() {
    let run = || -> (Time, Vec<u64>) {
        let mut sim = Sim::settled(5, &[10, 10], Settings::default(), 5);
        sim.faults.loss = 0.3;
        sim.commit(Some(3));
        sim.run(5 * SECOND);
        (sim.now, (0..20).map(|i| sim.core(i).fingerprint()).collect())
    };
    assert_eq!(run(), run());
}
