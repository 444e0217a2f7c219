//! Failure detection, refutation and protection against false positives.

use std::time::Duration;

use shallottack_kernel::Time;
use shallottack_membership::{Input, State};

use crate::driver::{Net, SEC};

/// Guards against a killed daemon staying routable. It should be `Dead` after about 4.5 s: 0.5 s
/// until the next probe, 1 s until it is suspected and 3 s to refute the suspicion.
#[test]
fn killed_member_is_dead_everywhere() {
    let (mut worst, mut total) = (Duration::ZERO, Duration::ZERO);
    for seed in 0..6 {
        let mut net = Net::ready(seed, &[("kl-a", 40), ("kl-b", 20)]);
        net.kill(7);
        let took = net.run_until(20 * SEC, |net| net.all_see(7, State::Dead)).expect("not dead");
        worst = worst.max(took);
        total += took;
    }
    println!("dead everywhere: mean {:?}, worst {worst:?}", total / 6);
    assert!(worst <= 10 * SEC, "{worst:?}");
}

/// Guards against ignoring unanswered calls: probing the called member in the next period shortens
/// detection.
#[test]
fn unanswered_call_speeds_up_detection() {
    let mut worst = Duration::ZERO;
    for seed in 0..5 {
        let mut net = Net::ready(seed, &[("kl-a", 40)]);
        net.kill(7);
        let endpoint = net.id(7);
        for caller in [1, 2, 3] {
            net.input(caller, Input::PeerUnresponsive { endpoint: endpoint.clone() });
        }
        let took = net.run_until(20 * SEC, |net| net.all_see(7, State::Dead)).expect("not dead");
        worst = worst.max(took);
    }
    println!("dead everywhere after unanswered calls: worst {worst:?}");
    assert!(worst <= 6 * SEC, "{worst:?}");
}

/// Guards against unanswered calls removing a member that still answers probes.
#[test]
fn unanswered_calls_alone_do_not_remove_a_member() {
    let mut net = Net::ready(1, &[("kl-a", 20)]);
    let start = net.now;
    let endpoint = net.id(7);
    for _ in 0..10 {
        for caller in (0..20).filter(|&it| it != 7) {
            net.input(caller, Input::PeerUnresponsive { endpoint: endpoint.clone() });
        }
        net.run_for(SEC);
    }
    assert_eq!(net.observers(7, State::Suspect, start), 0);
    assert!(net.all_agree(State::Ready));
}

/// Guards against removing a member that is only slow: it is suspected, but refutes in time.
#[test]
fn slow_member_refutes_and_stays() {
    for seed in 0..5 {
        let mut net = Net::ready(seed, &[("kl-a", 30)]);
        let start = net.now;
        net.pause(7);
        net.run_until(20 * SEC, |net| net.observers(7, State::Suspect, start) > 0)
            .expect("not suspected");
        net.run_for(Duration::from_millis(700));
        net.resume(7);
        net.run_until(5 * SEC, |net| net.all_agree(State::Ready)).expect("not refuted");
        net.run_for(10 * SEC);
        assert_eq!(net.observers(7, State::Dead, start), 0, "seed {seed}");
        assert!(net.core(7).counters().refutations > 0);
    }
}

/// Guards against taking lost messages for failures: with a tenth of the messages lost, no member
/// may become `Dead`.
#[test]
fn message_loss_alone_removes_no_one() {
    let mut net = Net::ready(3, &[("kl-a", 30), ("kl-b", 10)]);
    let start = net.now;
    net.loss = 0.1;
    net.duplicates = 0.05;
    net.max_delay = Duration::from_millis(100);
    net.run_for(120 * SEC);
    for node in 0..40 {
        assert_eq!(net.observers(node, State::Dead, start), 0, "member {node}");
    }
}

/// Guards against an isolated observer declaring all others `Dead`, and against it disseminating
/// suspicions of them after it reconnects.
#[test]
fn isolated_observer_keeps_its_view() {
    let mut net = Net::ready(2, &[("kl-a", 30), ("kl-b", 10)]);
    let start = net.now;
    net.nodes[7].partition = 1;
    net.run_for(60 * SEC);
    let usable =
        net.core(7).members_of_service("order-desk").filter(|it| it.state < State::Suspect).count();
    assert!(usable >= 39, "{usable} members left");
    assert!(net.all_see(7, State::Dead));
    net.nodes[7].partition = 0;
    net.run_until(60 * SEC, |net| net.all_agree(State::Ready)).expect("did not reconnect");
    for node in (0..40).filter(|&it| it != 7) {
        assert_eq!(net.observers(node, State::Dead, start), 0, "member {node}");
    }
}

/// Guards against an observer whose process was paused suspecting others because their replies
/// arrived during the pause.
#[test]
fn paused_observer_suspects_no_one() {
    let mut net = Net::ready(4, &[("kl-a", 20)]);
    let start = net.now;
    for _ in 0..10 {
        net.pause(7);
        net.run_for(2 * SEC);
        net.resume(7);
        net.run_for(SEC);
    }
    assert_eq!(net.core(7).counters().suspicions, 0);
    for node in (0..20).filter(|&it| it != 7) {
        assert_eq!(net.observers(node, State::Suspect, start), 0, "member {node}");
    }
}

/// Guards against both sides of a partition within a data centre quickly declaring each other
/// `Dead`: suspected members stay for 10 s, and both sides agree again after the partition.
#[test]
fn mass_failure_extends_suspicions() {
    for seed in 0..8 {
        let mut net = Net::ready(seed, &[("kl-a", 30), ("kl-b", 10)]);
        let start = net.now;
        for node in 0..14 {
            net.nodes[node].partition = 1;
        }
        net.run_until(60 * SEC, |net| first_death(net, start).is_some()).expect("no one dead");
        let took = first_death(&net, start).unwrap().since(start);
        assert!(took >= 10 * SEC, "seed {seed}: {took:?}");
        net.run_for(20 * SEC);
        for node in 0..40 {
            net.nodes[node].partition = 0;
        }
        let healed =
            net.run_until(120 * SEC, |net| net.all_agree(State::Ready)).expect("not healed");
        println!("first Dead after {took:?}, both sides agreed {healed:?} after the partition");
    }
}

fn first_death(net: &Net, start: Time) -> Option<Time> {
    let changes = net.nodes.iter().flat_map(|it| &it.changes);
    let deaths = changes.filter(|(at, it)| *at >= start && it.state == State::Dead);
    deaths.map(|(at, _)| *at).min()
}

/// Guards against never removing the members of a data centre that has really failed.
#[test]
fn mass_failure_ends_with_dead_members() {
    let mut net = Net::ready(6, &[("kl-a", 30), ("kl-b", 10)]);
    for node in 0..20 {
        net.kill(node);
    }
    let took = net
        .run_until(60 * SEC, |net| (0..20).all(|it| net.all_see(it, State::Dead)))
        .expect("not dead");
    println!("20 of 30 killed members dead everywhere after {took:?}");
    assert!(took >= 10 * SEC && took <= 30 * SEC, "{took:?}");
}
