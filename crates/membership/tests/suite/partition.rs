//! Partitions between and within data centres, joining, and removal of records.

use std::time::Duration;

use shallottack_membership::{Body, Input, Member, State};

use crate::driver::{Net, SEC, WALL_CLOCK};

fn set_partition(net: &mut Net, nodes: std::ops::Range<usize>, partition: u32) {
    for node in nodes {
        net.nodes[node].partition = partition;
    }
}

/// Guards against an isolated data centre losing its own members, keeping unreachable ones as
/// `Ready`, or needing an operator to recover.
#[test]
fn isolated_data_centre_keeps_its_members_and_recovers() {
    let mut net = Net::ready(1, &[("kl-a", 20), ("kl-b", 20), ("kl-c", 10)]);
    let start = net.now;
    let refutations: Vec<_> = (0..50).map(|it| net.core(it).counters().refutations).collect();
    set_partition(&mut net, 0..20, 1);
    let suspects = |net: &Net, from: std::ops::Range<usize>, to: std::ops::Range<usize>| {
        from.clone().all(|a| to.clone().all(|b| net.state(a, b) == Some(State::Suspect)))
    };
    let took = net
        .run_until(120 * SEC, |net| suspects(net, 0..20, 20..50) && suspects(net, 20..50, 0..20))
        .expect("the other side is not suspected");
    println!("other side suspected by all after {took:?}");
    net.run_for(300 * SEC);
    assert!((0..20).all(|a| (0..20).all(|b| net.state(a, b) == Some(State::Ready))));
    assert!((20..50).all(|a| (20..50).all(|b| net.state(a, b) == Some(State::Ready))));
    // A record that changes during the partition must reach the other side afterwards.
    net.input(3, Input::Leave { notify: Vec::new() });
    net.run_for(5 * SEC);
    set_partition(&mut net, 0..20, 0);
    let healed = |net: &Net| {
        let seen = |b| if b == 3 { State::Leaving } else { State::Ready };
        (0..50).all(|a| (0..50).all(|b| net.state(a, b) == Some(seen(b))))
    };
    let took = net.run_until(60 * SEC, healed).expect("did not recover");
    println!("recovered after {took:?}");
    for node in 0..50 {
        assert_eq!(net.observers(node, State::Dead, start), 0, "member {node}");
    }
    let after = (0..50).map(|it| net.core(it).counters().refutations);
    assert!(after.eq(refutations), "the view of one side was disseminated");
}

/// Guards against separate groups that never merge when all daemons restart at once and each joins
/// through whichever seed answers first.
#[test]
fn simultaneous_restart_converges() {
    for seed in 0..5 {
        let mut net = Net::ready(seed, &[("kl-a", 30), ("kl-b", 20), ("kl-c", 10)]);
        for node in 0..60 {
            net.kill(node);
        }
        net.run_for(Duration::from_millis(100));
        for node in 0..60 {
            net.start(node, WALL_CLOCK + 60_000);
        }
        let took =
            net.run_until(60 * SEC, |net| net.all_agree(State::Ready)).expect("separate groups");
        println!("all 60 agreed {took:?} after the restart");
        assert!(took <= 30 * SEC);
    }
}

/// Guards against a joining daemon receiving no records because its first seed is down, and against
/// join replies that grow with the number of members.
#[test]
fn join_uses_bounded_replies_of_responsive_seeds() {
    let mut net = Net::new(3, &[("kl-a", 60)]);
    net.settings.chunk_records = 16;
    for node in 0..59 {
        net.start(node, WALL_CLOCK);
    }
    net.run_until(60 * SEC, |net| net.all_agree(State::Ready)).expect("not started");
    net.run_for(10 * SEC);
    net.kill(0);
    net.start_unannounced(59, WALL_CLOCK);
    let took = net.run_until(20 * SEC, |net| net.core(59).has_joined()).expect("not joined");
    println!("joined after {took:?}");
    assert!(net.core(59).members().count() >= 59);
    let chunks: u64 = (1..59).map(|it| net.core(it).counters().join_replies).sum();
    assert!(chunks >= 4, "{chunks} chunks");
}

/// Guards against a daemon that removes records later than others restoring them, and against
/// keeping records for ever.
#[test]
fn removed_records_are_not_restored() {
    let mut net = Net::new(4, &[("kl-a", 20)]);
    net.settings.retention = 60 * SEC;
    for node in 0..20 {
        net.start(node, WALL_CLOCK);
    }
    net.run_until(60 * SEC, |net| net.all_agree(State::Ready)).expect("not started");
    net.kill(7);
    net.run_until(20 * SEC, |net| net.all_see(7, State::Dead)).expect("not dead");
    net.run_for(50 * SEC);
    assert!(net.all_see(7, State::Dead), "removed before the retention time");
    // The restarted daemon receives the record again, if at all, and so keeps it for longer.
    net.kill(5);
    net.start(5, WALL_CLOCK + 1);
    net.run_for(30 * SEC);
    let start = net.now;
    let id = net.id(7);
    net.run_for(200 * SEC);
    for node in net.running() {
        assert_eq!(net.core(node).member(&id), None, "still held by {node}");
        let back = net.nodes[node].changes.iter().any(|(at, it)| *at >= start && it.endpoint == id);
        assert!(!back, "restored at {node}");
    }
}

/// Guards against a stale `Ready` record from a daemon that was isolated reviving an endpoint that
/// has left.
#[test]
fn stale_record_does_not_revive_a_left_endpoint() {
    let mut net = Net::ready(5, &[("kl-a", 20), ("kl-b", 10)]);
    set_partition(&mut net, 25..26, 1);
    net.input(7, Input::Stop);
    net.run_for(SEC);
    net.kill(7);
    net.run_for(30 * SEC);
    let start = net.now;
    set_partition(&mut net, 25..26, 0);
    net.run_until(60 * SEC, |net| net.all_see(7, State::Left)).expect("not known as Left");
    net.run_for(20 * SEC);
    assert_eq!(net.observers(7, State::Ready, start), 0);
}

/// Guards against storing a `Dead` record of an unknown endpoint: a daemon that has removed the
/// record would restore it from one that has not.
#[test]
fn unknown_dead_record_is_not_stored() {
    let mut net = Net::ready(6, &[("kl-a", 3)]);
    let departed = Member { endpoint: "order-desk-9".parse().unwrap(), ..net.record(1) };
    net.receive(0, 1, Body::Gossip, departed.with_state(State::Dead));
    assert_eq!(net.core(0).member(&departed.endpoint), None);
    net.receive(0, 1, Body::Gossip, departed.clone());
    assert!(net.core(0).member(&departed.endpoint).is_some());
}

/// Guards against two halves that have declared each other `Dead` never exchanging a message again
/// when neither another data centre nor a seed connects them.
#[test]
fn halves_of_a_split_data_centre_reconnect() {
    let mut net = Net::ready(7, &[("kl-a", 12)]);
    set_partition(&mut net, 0..6, 1);
    net.run_until(120 * SEC, |net| {
        (0..6).all(|a| (6..12).all(|b| net.state(a, b) == Some(State::Dead)))
            && (6..12).all(|a| (0..6).all(|b| net.state(a, b) == Some(State::Dead)))
    })
    .expect("not dead");
    // Lets outstanding probes of the last members declared `Dead` end.
    net.run_for(10 * SEC);
    // Both seeds are in the first half.
    for node in 0..12 {
        net.input(node, Input::Seeds { addresses: Vec::new() });
    }
    set_partition(&mut net, 0..6, 0);
    let took = net.run_until(120 * SEC, |net| net.all_agree(State::Ready)).expect("still separate");
    println!("both halves agreed {took:?} after the partition");
}
