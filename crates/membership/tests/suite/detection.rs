//! Failure detection, refutation and the guards against false conclusions.

use std::time::Duration;

use shallottack_kernel::Time;
use shallottack_membership::{Input, State};

use crate::driver::{Net, SEC};

/// Guards against a killed daemon that stays routable: the page states `Dead` after about 4.5 s,
/// which are 0.5 s to the next probe, 1 s to the suspicion and 3 s to refute it.
#[test]
fn killed_member_is_dead_everywhere() {
    let (mut worst, mut total) = (Duration::ZERO, Duration::ZERO);
    for seed in 0..6 {
        let mut net = Net::ready(seed, &[("kl-a", 40), ("kl-b", 20)]);
        net.kill(7);
        let took = net.until(20 * SEC, |net| net.seen_as(7, State::Dead)).expect("not dead");
        worst = worst.max(took);
        total += took;
    }
    println!("dead everywhere: mean {:?}, worst {worst:?}", total / 6);
    assert!(worst <= 10 * SEC, "{worst:?}");
}

/// Guards against evidence from calls being ignored: a probe that starts with the next period
/// shortens detection.
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
        let took = net.until(20 * SEC, |net| net.seen_as(7, State::Dead)).expect("not dead");
        worst = worst.max(took);
    }
    println!("dead everywhere after evidence from calls: worst {worst:?}");
    assert!(worst <= 6 * SEC, "{worst:?}");
}

/// Guards against evidence from calls removing a member by itself.
#[test]
fn unanswered_call_does_not_remove() {
    let mut net = Net::ready(1, &[("kl-a", 20)]);
    let start = net.now;
    let endpoint = net.id(7);
    for _ in 0..10 {
        for caller in (0..20).filter(|&it| it != 7) {
            net.input(caller, Input::PeerUnresponsive { endpoint: endpoint.clone() });
        }
        net.run(SEC);
    }
    assert_eq!(net.saw(7, State::Suspect, start), 0);
    assert!(net.agreed(State::Ready));
}

/// Guards against removing a member that is only slow: it is suspected, refutes and stays.
#[test]
fn slow_member_is_refuted_and_stays() {
    for seed in 0..5 {
        let mut net = Net::ready(seed, &[("kl-a", 30)]);
        let start = net.now;
        net.pause(7);
        net.until(20 * SEC, |net| net.saw(7, State::Suspect, start) > 0).expect("not suspected");
        net.run(Duration::from_millis(700));
        net.unpause(7);
        net.until(5 * SEC, |net| net.agreed(State::Ready)).expect("not refuted");
        net.run(10 * SEC);
        assert_eq!(net.saw(7, State::Dead, start), 0, "seed {seed}");
        assert!(net.core(7).counters().refutations > 0);
    }
}

/// Guards against lost messages being taken for failures: with a tenth of the messages lost, no
/// member may become `Dead`.
#[test]
fn loss_alone_kills_no_one() {
    let mut net = Net::ready(3, &[("kl-a", 30), ("kl-b", 10)]);
    let start = net.now;
    net.loss = 0.1;
    net.duplicates = 0.05;
    net.max_delay = Duration::from_millis(100);
    net.run(120 * SEC);
    for node in 0..40 {
        assert_eq!(net.saw(node, State::Dead, start), 0, "member {node}");
    }
}

/// Guards against one observer that is cut off emptying its view, and against it spreading
/// suspicions of all others once it is back.
#[test]
fn cut_off_observer_keeps_its_view() {
    let mut net = Net::ready(2, &[("kl-a", 30), ("kl-b", 10)]);
    let start = net.now;
    net.nodes[7].island = 1;
    net.run(60 * SEC);
    let usable =
        net.core(7).members_of_service("order-desk").filter(|it| it.state < State::Suspect).count();
    assert!(usable >= 39, "{usable} members left");
    assert!(net.seen_as(7, State::Dead));
    net.nodes[7].island = 0;
    net.until(60 * SEC, |net| net.agreed(State::Ready)).expect("did not come back");
    for node in (0..40).filter(|&it| it != 7) {
        assert_eq!(net.saw(node, State::Dead, start), 0, "member {node}");
    }
}

/// Guards against an observer whose process was paused taking its own pause for the failure of
/// others.
#[test]
fn paused_observer_draws_no_conclusions() {
    let mut net = Net::ready(4, &[("kl-a", 20)]);
    let start = net.now;
    for _ in 0..10 {
        net.pause(7);
        net.run(2 * SEC);
        net.unpause(7);
        net.run(SEC);
    }
    assert_eq!(net.core(7).counters().suspicions, 0);
    for node in (0..20).filter(|&it| it != 7) {
        assert_eq!(net.saw(node, State::Suspect, start), 0, "member {node}");
    }
}

/// Guards against a mass failure seen from a cut through a data centre removing either side
/// quickly: suspected members stay for 10 s, and both sides find each other again.
#[test]
fn mass_failure_is_held_for_longer() {
    for seed in 0..8 {
        let mut net = Net::ready(seed, &[("kl-a", 30), ("kl-b", 10)]);
        let start = net.now;
        for node in 0..14 {
            net.nodes[node].island = 1;
        }
        net.until(60 * SEC, |net| first_death(net, start).is_some()).expect("no one dead");
        let took = first_death(&net, start).unwrap().since(start);
        assert!(took >= 10 * SEC, "seed {seed}: {took:?}");
        net.run(20 * SEC);
        for node in 0..40 {
            net.nodes[node].island = 0;
        }
        let healed = net.until(120 * SEC, |net| net.agreed(State::Ready)).expect("not healed");
        println!("first Dead after {took:?}, both sides agreed {healed:?} after the cut");
    }
}

fn first_death(net: &Net, start: Time) -> Option<Time> {
    let changes = net.nodes.iter().flat_map(|it| &it.changes);
    let deaths = changes.filter(|(at, it)| *at >= start && it.state == State::Dead);
    deaths.map(|(at, _)| *at).min()
}

/// Guards against removing members whose data centre has really failed never happening.
#[test]
fn mass_failure_ends_in_death() {
    let mut net = Net::ready(6, &[("kl-a", 30), ("kl-b", 10)]);
    for node in 0..20 {
        net.kill(node);
    }
    let took = net
        .until(60 * SEC, |net| (0..20).all(|it| net.seen_as(it, State::Dead)))
        .expect("not dead");
    println!("20 of 30 killed members dead everywhere after {took:?}");
    assert!(took >= 10 * SEC && took <= 30 * SEC, "{took:?}");
}
