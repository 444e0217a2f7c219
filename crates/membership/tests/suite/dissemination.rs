//! Dissemination of records by gossip, immediate notification and anti-entropy.

use std::time::Duration;

use shallottack_membership::{Action, Announcement, Body, Input, State};

use crate::driver::{Net, SEC, WALL_CLOCK, announcement};

/// Guards against a leaving endpoint receiving new work for too long: all of 100 members must know
/// of the leave within 2 s.
#[test]
fn leave_is_known_everywhere_within_two_seconds() {
    let mut worst = Duration::ZERO;
    for seed in 0..5 {
        let mut net = Net::ready(seed, &[("kl-a", 40), ("kl-b", 30), ("kl-c", 30)]);
        net.loss = 0.02;
        net.input(50, Input::Leave { notify: Vec::new() });
        let took =
            net.run_until(5 * SEC, |net| net.all_see(50, State::Leaving)).expect("not known");
        worst = worst.max(took);
    }
    println!("leave known by 100 members: worst {worst:?}");
    assert!(worst <= 2 * SEC, "{worst:?}");
}

/// Guards against recent callers learning of a leave only through gossip.
#[test]
fn leave_notifies_recent_callers_immediately() {
    let mut net = Net::ready(1, &[("kl-a", 20), ("kl-b", 10)]);
    // A message takes less than 2 ms, far less than the gossip period.
    let notify: Vec<_> = (20..30).map(|it| net.id(it)).collect();
    net.input(3, Input::Leave { notify });
    net.run_for(Duration::from_millis(3));
    assert!((20..30).all(|it| net.state(it, 3) == Some(State::Leaving)));
}

/// Guards against reporting a daemon that stopped gracefully as failed.
#[test]
fn stopped_daemon_is_left_and_never_suspected() {
    let mut net = Net::ready(2, &[("kl-a", 30)]);
    let start = net.now;
    net.input(3, Input::Leave { notify: Vec::new() });
    net.run_for(3 * SEC);
    net.input(3, Input::Stop);
    net.run_for(Duration::from_millis(5));
    net.kill(3);
    net.run_until(5 * SEC, |net| net.all_see(3, State::Left)).expect("not known");
    net.run_for(20 * SEC);
    assert_eq!(net.observers(3, State::Suspect, start), 0);
    assert!(net.all_see(3, State::Left));
}

/// Guards against gossiping records for ever: each daemon sends a new record at most
/// ceil(3 log2 n) times.
#[test]
fn each_new_record_is_sent_a_bounded_number_of_times() {
    let mut net = Net::ready(3, &[("kl-a", 32)]);
    let sent = |net: &Net, node: usize| net.core(node).counters().gossip_sent;
    let before: Vec<_> = (0..32).map(|it| sent(&net, it)).collect();
    let changed = Announcement { slots: 12, ..announcement() };
    net.input(3, Input::Announce(changed));
    net.run_for(30 * SEC);
    for (node, before) in before.into_iter().enumerate() {
        let sends = sent(&net, node) - before;
        assert!(sends <= 15, "{sends} sends by member {node}");
        assert_eq!(net.core(node).pending_gossip(), 0);
    }
}

/// Guards against anti-entropy not repairing differences: a member must receive a record even if
/// all gossip of it was lost.
#[test]
fn anti_entropy_repairs_lost_gossip() {
    let mut net = Net::ready(4, &[("kl-a", 20)]);
    net.nodes[7].partition = 1;
    net.input(3, Input::Announce(Announcement { slots: 12, ..announcement() }));
    net.input(3, Input::BackendResponded);
    // Long enough for the gossip of the change to end, too short for the isolated member to be
    // declared `Dead`.
    net.run_for(Duration::from_millis(2_500));
    net.nodes[7].partition = 0;
    let slots = |net: &Net| net.core(7).member(&net.id(3)).map(|it| it.slots);
    let took = net.run_until(30 * SEC, |net| slots(net) == Some(12)).expect("not repaired");
    println!("repaired after {took:?}");
}

/// Guards against repair messages that grow with the number of differences.
#[test]
fn anti_entropy_is_bounded() {
    let mut net = Net::ready(5, &[("kl-a", 20)]);
    let digests = Body::Digests { digests: vec![[0; 4]; 64] };
    let record = net.record(4);
    let actions = net.receive(3, 4, digests, record);
    let [Action::Send { message, .. }] = actions.as_slice() else { panic!("{actions:?}") };
    let Body::Summaries { buckets, more, .. } = message.body else { panic!("{message:?}") };
    assert!(buckets.count_ones() == 8 && more, "buckets are bounded and the others announced");
}

/// Guards against two separately started groups of daemons staying separate: a single seed from
/// the other group must merge them, no matter how late it is added.
#[test]
fn late_seed_joins_two_groups() {
    let mut net = Net::new(3, &[("medina", 2), ("lac", 2)]);
    for node in 0..4 {
        net.nodes[node].partition = u32::from(node >= 2);
        net.start(node, WALL_CLOCK);
        let partner = net.nodes[node ^ 1].identity.addresses.peers;
        net.input(node, Input::Seeds { addresses: vec![partner] });
    }
    net.run_for(60 * SEC);
    for node in &mut net.nodes {
        node.partition = 0;
    }
    net.run_for(60 * SEC);
    assert_eq!(net.state(0, 2), None, "the groups already know each other");
    let seed = net.nodes[2].identity.addresses.peers;
    net.input(0, Input::Seeds { addresses: vec![seed] });
    let took = net.run_until(5 * SEC, |net| net.all_agree(State::Ready));
    assert!(took.is_some(), "the groups do not know each other after 5 s");
}
