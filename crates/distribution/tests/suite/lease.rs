//! Acquiring, renewing and losing the source lease.

use std::time::Duration;

use shallottack_config::Version;
use shallottack_distribution::{Input, KnownSource, Message, SenderState, Settings};

use crate::sim::{SECOND, Sim};

/// Guards against a data centre that has no source after its source has failed.
#[test]
fn another_daemon_takes_over_from_a_failed_source() {
    let mut sim = Sim::settled(11, &[40], Settings::default(), 1);
    let old = sim.sources()[0];
    let epoch = sim.core(old).source().unwrap().epoch;
    sim.stop(old);
    let took = sim.run_until(10 * SECOND, |sim| !sim.sources().is_empty()).unwrap();
    let new = sim.sources()[0];
    assert!(sim.core(new).source().unwrap().epoch > epoch);
    println!("takeover after {took:?}");
    sim.commit(None);
    assert!(sim.converge(5 * SECOND) < 2 * SECOND);
}

/// Guards against a source that still acts as one after its process was paused: its lease has
/// expired on its own clock, and another daemon holds it with a higher fencing epoch.
#[test]
fn paused_source_steps_down_when_it_resumes() {
    for seed in 0..8 {
        let mut sim = Sim::settled(seed, &[20], Settings::default(), 1);
        sim.run(Duration::from_millis(70 * seed));
        let old = sim.sources()[0];
        sim.pause(old, 12 * SECOND);
        sim.run(12 * SECOND);
        let (new, woken) = (sim.sources(), sim.now);
        assert!(new.len() == 1 && new[0] != old, "{new:?}");
        for _ in 0..5 {
            sim.commit(None);
            sim.run(SECOND);
            assert_eq!(sim.sources(), new);
        }
        sim.converge(5 * SECOND);
        let reads = sim.head_reads.iter().filter(|(at, node)| *at >= woken && *node == old);
        assert_eq!(reads.count(), 0, "the old source read the head row after its pause");
        assert_eq!(sim.core(old).source(), sim.core(new[0]).source());
    }
}

/// Guards against faults while two daemons act as sources: both push the same versions, which
/// arrive interleaved, and no daemon may return to an older version or miss one.
#[test]
fn two_concurrent_sources_keep_versions_consistent() {
    let mut sim = Sim::settled(13, &[40], Settings::default(), 1);
    sim.faults.duplicates = 0.2;
    let mut both = 0;
    for round in 0..20 {
        let second = (0..40).cycle().skip(round * 7).find(|i| !sim.sources().contains(i)).unwrap();
        sim.force_source(second);
        both += usize::from(sim.sources().len() == 2);
        for _ in 0..5 {
            sim.commit(None);
            sim.run(Duration::from_millis(60));
        }
        sim.run(6 * SECOND);
        assert!(sim.sources().len() <= 1);
    }
    assert!(both >= 10, "two sources in {both} rounds only");
    sim.converge(8 * SECOND);
}

/// Guards against a source that continues until its next renewal after it has learned of a higher
/// fencing epoch from a peer.
#[test]
fn higher_epoch_ends_a_valid_lease_immediately() {
    let mut sim = Sim::settled(16, &[10], Settings::default(), 1);
    let old = sim.sources()[0];
    let known = sim.core(old).source().unwrap().clone();
    let from = sim.nodes[(old + 1) % 10].peer.endpoint.clone();
    let probe = |epoch| {
        let source = Some(KnownSource { holder: from.clone(), epoch, ..known.clone() });
        let sender = SenderState { version: Version::ZERO, in_force: true, source };
        Input::Message { from: from.clone(), message: Message::Probe { sender } }
    };
    sim.input(old, probe(known.epoch - 1));
    assert_eq!(sim.sources(), [old], "a lower epoch must not end a lease");
    sim.input(old, probe(known.epoch + 1));
    assert!(sim.sources().is_empty());
}

/// Guards against two sources, or a source that misjudges its lease, when responses to lease
/// commits are lost.
#[test]
fn lost_commit_responses_keep_one_source() {
    let mut sim = Sim::settled(14, &[40], Settings::default(), 1);
    sim.faults.lost_commits = 0.3;
    for _ in 0..30 {
        sim.commit(None);
        sim.run(SECOND);
        assert!(sim.sources().len() <= 1);
    }
    sim.converge(8 * SECOND);
}

/// Guards against table reads and writes above the budget of one data centre, over 60 s.
#[test]
fn lease_and_head_reads_stay_in_budget() {
    let mut sim = Sim::settled(15, &[100], Settings::default(), 1);
    let before = (sim.head_reads.len(), sim.lease_reads, sim.lease_commits);
    sim.run(60 * SECOND);
    let heads = sim.head_reads.len() - before.0;
    let (reads, commits) = (sim.lease_reads - before.1, sim.lease_commits - before.2);
    println!("60 s: {heads} head reads, {reads} lease reads, {commits} lease commits");
    assert!(heads <= 121 && reads <= 65 && commits <= 61);
}
