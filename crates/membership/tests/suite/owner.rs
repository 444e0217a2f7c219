//! Announcement, cold start, failed connections and restarts.

use std::time::Duration;

use shallottack_membership::{Action, Actions, Body, Input, Member, State};

use crate::driver::{Net, SEC, WALL_CLOCK, announcement};

fn single() -> Net {
    let mut net = Net::new(1, &[("kl-a", 1)]);
    net.boot(0, WALL_CLOCK);
    net
}

/// Guards against a cold endpoint taking its full share: `Ready` needs the end of the cold start
/// and a success, in either order.
#[test]
fn cold_start_and_a_success_make_ready() {
    let mut net = single();
    assert_eq!(net.state(0, 0), None);
    // A success from before the announcement does not count.
    net.input(0, Input::BackendResponded);
    net.input(0, Input::Announce(announcement()));
    net.run(2 * SEC);
    assert_eq!(net.state(0, 0), Some(State::Starting), "no success yet");
    net.input(0, Input::BackendResponded);
    assert_eq!(net.state(0, 0), Some(State::Ready));

    net.input(0, Input::Announce(announcement()));
    net.input(0, Input::BackendResponded);
    net.run(Duration::from_millis(499));
    assert_eq!(net.state(0, 0), Some(State::Starting), "cold start has not ended");
    net.run(Duration::from_millis(2));
    assert_eq!(net.state(0, 0), Some(State::Ready));
}

/// Guards against a backend server that is gone staying routable, and against one failed
/// connection removing it.
#[test]
fn three_failed_connections_make_leaving_until_announced_again() {
    let mut net = single();
    net.input(0, Input::Announce(announcement()));
    net.input(0, Input::BackendConnectFailed);
    net.input(0, Input::BackendConnectFailed);
    net.input(0, Input::BackendResponded);
    net.input(0, Input::BackendConnectFailed);
    net.input(0, Input::BackendConnectFailed);
    net.run(SEC);
    assert_eq!(net.state(0, 0), Some(State::Ready), "not three in a row");
    net.input(0, Input::BackendConnectFailed);
    assert_eq!(net.state(0, 0), Some(State::Leaving));
    net.input(0, Input::BackendResponded);
    assert_eq!(net.state(0, 0), Some(State::Leaving), "not announced again");
    let before = net.core(0).local_member().unwrap().incarnation;
    net.input(0, Input::Announce(announcement()));
    assert_eq!(net.state(0, 0), Some(State::Starting));
    assert!(net.core(0).local_member().unwrap().incarnation > before);
}

/// Guards against a repeated announcement, whose first response was lost, starting over.
#[test]
fn repeated_announcement_changes_nothing() {
    let mut net = single();
    net.input(0, Input::Announce(announcement()));
    let before = net.core(0).local_member().cloned();
    net.run(Duration::from_millis(400));
    net.input(0, Input::Announce(announcement()));
    net.input(0, Input::BackendResponded);
    assert_eq!(net.core(0).local_member().cloned(), before);
    net.run(Duration::from_millis(101));
    assert_eq!(net.state(0, 0), Some(State::Ready));
}

/// Guards against a restarted daemon being ignored because its clock was set back by an hour,
/// also when it was held for dead, or stands exactly where it stood.
#[test]
fn restart_supersedes_with_the_clock_set_back() {
    for (seed, clock) in [WALL_CLOCK - 3_600_000, WALL_CLOCK, WALL_CLOCK + 5_000].iter().enumerate()
    {
        for pause in [0, 1, 15] {
            let mut net = Net::ready(seed as u64, &[("kl-a", 20), ("kl-b", 10)]);
            net.kill(7);
            net.run(pause * SEC);
            net.start(7, *clock);
            let mut slow = announcement();
            slow.slots = 3;
            net.input(7, Input::Announce(slow));
            net.input(7, Input::BackendResponded);
            let new = |net: &Net| {
                let id = net.id(7);
                net.running().iter().all(|&it| {
                    let member = net.core(it).member(&id);
                    member.is_some_and(|it| it.slots == 3 && it.state == State::Ready)
                })
            };
            let took = net.until(20 * SEC, new).expect("earlier record not superseded");
            assert!(took <= 8 * SEC, "clock {clock}, {pause} s later: {took:?}");
        }
    }
}

/// Guards against calls to a daemon that was restarted but whose backend server has not announced
/// itself to the new process: its earlier `Ready` record must not stay.
#[test]
fn restart_without_announcement_withdraws_the_earlier_record() {
    let mut net = Net::ready(6, &[("kl-a", 20)]);
    net.kill(7);
    net.boot(7, WALL_CLOCK + 1);
    net.until(5 * SEC, |net| net.seen_as(7, State::Leaving)).expect("still Ready");
    net.input(7, Input::Announce(announcement()));
    net.input(7, Input::BackendResponded);
    net.until(5 * SEC, |net| net.agreed(State::Ready)).expect("not Ready again");
}

/// Guards against two records with the same incarnation: an owner that hears other content with
/// its own incarnation supersedes it, as after a restart within the same millisecond.
#[test]
fn owner_supersedes_other_content_of_the_same_incarnation() {
    let mut net = Net::ready(7, &[("kl-a", 2)]);
    let own = net.record(0);
    let older = Member { slots: 1, state: State::Starting, ..own.clone() };
    net.receive(0, 1, Body::Gossip, older);
    assert_eq!(net.record(0).incarnation, own.incarnation + 1);
    // The own record from an earlier moment is no conflict.
    let starting = net.record(0).with_state(State::Starting);
    net.receive(0, 1, Body::Gossip, starting);
    assert_eq!(net.record(0).incarnation, own.incarnation + 1);
}

/// Guards against a restarted daemon with a clock that was set back, or one that is held for
/// dead, not learning of it from a receiver that has nothing else to send.
#[test]
fn sender_is_told_of_its_record() {
    let mut net = Net::ready(8, &[("kl-a", 3)]);
    let held = net.record(1);
    let older = Member { incarnation: held.incarnation - 5, ..held.clone() };
    let told = |actions: &Actions, record: &Member| {
        actions.iter().any(|it| match it {
            Action::Send { to, message } => {
                *to == record.endpoint && message.gossip.iter().any(|it| **it == *record)
            }
            _ => false,
        })
    };
    let actions = net.receive(0, 1, Body::Gossip, older);
    assert!(told(&actions, &held), "{actions:?}");
    let dead = held.with_state(State::Dead);
    net.receive(0, 2, Body::Gossip, dead.clone());
    let actions = net.receive(0, 1, Body::Ack { seq: 1 }, net.record(2));
    assert!(told(&actions, &dead), "{actions:?}");
}
