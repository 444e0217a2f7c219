//! Data centres cut off from each other, joining and removal.

use std::time::Duration;

use shallottack_membership::{Body, Input, Member, State};

use crate::driver::{Net, SEC, WALL_CLOCK};

fn cut(net: &mut Net, nodes: std::ops::Range<usize>, island: u32) {
    for node in nodes {
        net.nodes[node].island = island;
    }
}

/// Guards against a data centre that is cut off losing its own members, keeping the unreachable
/// ones as `Ready`, or needing an operator afterwards.
#[test]
fn data_centre_cut_off_keeps_its_own_and_recovers() {
    let mut net = Net::ready(1, &[("kl-a", 20), ("kl-b", 20), ("kl-c", 10)]);
    let start = net.now;
    let refutations: Vec<_> = (0..50).map(|it| net.core(it).counters().refutations).collect();
    cut(&mut net, 0..20, 1);
    let suspects = |net: &Net, from: std::ops::Range<usize>, to: std::ops::Range<usize>| {
        from.clone().all(|a| to.clone().all(|b| net.state(a, b) == Some(State::Suspect)))
    };
    let took = net
        .until(120 * SEC, |net| suspects(net, 0..20, 20..50) && suspects(net, 20..50, 0..20))
        .expect("the other side is not suspected");
    println!("other side suspected by all after {took:?}");
    net.run(300 * SEC);
    assert!((0..20).all(|a| (0..20).all(|b| net.state(a, b) == Some(State::Ready))));
    assert!((20..50).all(|a| (20..50).all(|b| net.state(a, b) == Some(State::Ready))));
    // A record that changes during the cut is known on the other side after it.
    net.input(3, Input::Leave { notify: Vec::new() });
    net.run(5 * SEC);
    cut(&mut net, 0..20, 0);
    let healed = |net: &Net| {
        let seen = |b| if b == 3 { State::Leaving } else { State::Ready };
        (0..50).all(|a| (0..50).all(|b| net.state(a, b) == Some(seen(b))))
    };
    let took = net.until(60 * SEC, healed).expect("did not recover");
    println!("recovered after {took:?}");
    for node in 0..50 {
        assert_eq!(net.saw(node, State::Dead, start), 0, "member {node}");
    }
    let after = (0..50).map(|it| net.core(it).counters().refutations);
    assert!(after.eq(refutations), "the view of one side was disseminated");
}

/// Guards against separate groups that never find each other when all daemons restart at once
/// and each joins through whichever seed answers first.
#[test]
fn everyone_restarts_at_once() {
    for seed in 0..5 {
        let mut net = Net::ready(seed, &[("kl-a", 30), ("kl-b", 20), ("kl-c", 10)]);
        for node in 0..60 {
            net.kill(node);
        }
        net.run(Duration::from_millis(100));
        for node in 0..60 {
            net.start(node, WALL_CLOCK + 60_000);
        }
        let took = net.until(60 * SEC, |net| net.agreed(State::Ready)).expect("separate groups");
        println!("all 60 agreed {took:?} after the restart");
        assert!(took <= 30 * SEC);
    }
}

/// Guards against a joining daemon that stays without records when its first seed is gone, and
/// against responses that grow with the number of members.
#[test]
fn joins_in_bounded_chunks_through_the_seeds_that_answer() {
    let mut net = Net::new(3, &[("kl-a", 60)]);
    net.settings.chunk_records = 16;
    for node in 0..59 {
        net.start(node, WALL_CLOCK);
    }
    net.until(60 * SEC, |net| net.agreed(State::Ready)).expect("not started");
    net.run(10 * SEC);
    net.kill(0);
    net.boot(59, WALL_CLOCK);
    let took = net.until(20 * SEC, |net| net.core(59).has_joined()).expect("not joined");
    println!("joined after {took:?}");
    assert!(net.core(59).members().count() >= 59);
    let chunks: u64 = (1..59).map(|it| net.core(it).counters().join_replies).sum();
    assert!(chunks >= 4, "{chunks} chunks");
}

/// Guards against removed records coming back through a daemon that removes them later, and
/// against keeping them for ever.
#[test]
fn removed_records_do_not_come_back() {
    let mut net = Net::new(4, &[("kl-a", 20)]);
    net.settings.retention = 60 * SEC;
    for node in 0..20 {
        net.start(node, WALL_CLOCK);
    }
    net.until(60 * SEC, |net| net.agreed(State::Ready)).expect("not started");
    net.kill(7);
    net.until(20 * SEC, |net| net.seen_as(7, State::Dead)).expect("not dead");
    net.run(50 * SEC);
    assert!(net.seen_as(7, State::Dead), "removed before the retention time");
    // This daemon restarts and so holds the record later than the others, if at all.
    net.kill(5);
    net.start(5, WALL_CLOCK + 1);
    net.run(30 * SEC);
    let start = net.now;
    let id = net.id(7);
    net.run(200 * SEC);
    for node in net.running() {
        assert_eq!(net.core(node).member(&id), None, "still held by {node}");
        let back = net.nodes[node].changes.iter().any(|(at, it)| *at >= start && it.endpoint == id);
        assert!(!back, "came back at {node}");
    }
}

/// Guards against an old `Ready` record from a daemon that was cut off reviving an endpoint that
/// has left.
#[test]
fn old_record_does_not_revive_a_departed_endpoint() {
    let mut net = Net::ready(5, &[("kl-a", 20), ("kl-b", 10)]);
    cut(&mut net, 25..26, 1);
    net.input(7, Input::Stop);
    net.run(SEC);
    net.kill(7);
    net.run(30 * SEC);
    let start = net.now;
    cut(&mut net, 25..26, 0);
    net.until(60 * SEC, |net| net.seen_as(7, State::Left)).expect("not known as Left");
    net.run(20 * SEC);
    assert_eq!(net.saw(7, State::Ready, start), 0);
}

/// Guards against a `Dead` record of an unknown endpoint being stored: a daemon that has removed
/// it would take it back from one that has not.
#[test]
fn unknown_departed_record_is_not_stored() {
    let mut net = Net::ready(6, &[("kl-a", 3)]);
    let departed = Member { endpoint: "order-desk-9".parse().unwrap(), ..net.record(1) };
    net.receive(0, 1, Body::Gossip, departed.with_state(State::Dead));
    assert_eq!(net.core(0).member(&departed.endpoint), None);
    net.receive(0, 1, Body::Gossip, departed.clone());
    assert!(net.core(0).member(&departed.endpoint).is_some());
}

/// Guards against two halves that hold each other for dead and never exchange a message again,
/// when no third data centre and no seed connects them.
#[test]
fn both_halves_of_a_single_data_centre_find_each_other() {
    let mut net = Net::ready(7, &[("kl-a", 12)]);
    cut(&mut net, 0..6, 1);
    net.until(120 * SEC, |net| {
        (0..6).all(|a| (6..12).all(|b| net.state(a, b) == Some(State::Dead)))
            && (6..12).all(|a| (0..6).all(|b| net.state(a, b) == Some(State::Dead)))
    })
    .expect("not dead");
    // No probe of the last member to die may still be under way.
    net.run(10 * SEC);
    // Both seeds are in the first half.
    for node in 0..12 {
        net.input(node, Input::Seeds { addresses: Vec::new() });
    }
    cut(&mut net, 0..6, 0);
    let took = net.until(120 * SEC, |net| net.agreed(State::Ready)).expect("still separate");
    println!("both halves agreed {took:?} after the cut");
}
