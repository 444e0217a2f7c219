//! The local record: announcement, cold start, failed connections and restarts.

use std::time::Duration;

use shallottack_membership::{Action, Actions, Body, Input, Member, State};

use crate::driver::{Net, SEC, WALL_CLOCK, announcement};

fn single() -> Net {
    let mut net = Net::new(1, &[("kl-a", 1)]);
    net.start_unannounced(0, WALL_CLOCK);
    net
}

/// Guards against a cold endpoint receiving its full share of calls: `Ready` requires the end of
/// the cold start and a success, in either order.
#[test]
fn ready_needs_cold_start_end_and_a_success() {
    let mut net = single();
    assert_eq!(net.state(0, 0), None);
    // A success from before the announcement does not count.
    net.input(0, Input::BackendResponded);
    net.input(0, Input::Announce(announcement()));
    net.run_for(2 * SEC);
    assert_eq!(net.state(0, 0), Some(State::Starting), "no success yet");
    net.input(0, Input::BackendResponded);
    assert_eq!(net.state(0, 0), Some(State::Ready));

    net.input(0, Input::Announce(announcement()));
    net.input(0, Input::BackendResponded);
    net.run_for(Duration::from_millis(499));
    assert_eq!(net.state(0, 0), Some(State::Starting), "cold start has not ended");
    net.run_for(Duration::from_millis(2));
    assert_eq!(net.state(0, 0), Some(State::Ready));
}

/// Guards against a backend server that has stopped staying routable, and against a single failed
/// connection removing it.
#[test]
fn three_failed_connections_cause_leaving_until_next_announcement() {
    let mut net = single();
    net.input(0, Input::Announce(announcement()));
    net.input(0, Input::BackendConnectFailed);
    net.input(0, Input::BackendConnectFailed);
    net.input(0, Input::BackendResponded);
    net.input(0, Input::BackendConnectFailed);
    net.input(0, Input::BackendConnectFailed);
    net.run_for(SEC);
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

/// Guards against a repeated announcement restarting the cold start. A backend server repeats it
/// if the response was lost.
#[test]
fn repeated_announcement_changes_nothing() {
    let mut net = single();
    net.input(0, Input::Announce(announcement()));
    let before = net.core(0).local_member().cloned();
    net.run_for(Duration::from_millis(400));
    net.input(0, Input::Announce(announcement()));
    net.input(0, Input::BackendResponded);
    assert_eq!(net.core(0).local_member().cloned(), before);
    net.run_for(Duration::from_millis(101));
    assert_eq!(net.state(0, 0), Some(State::Ready));
}

/// Guards against ignoring a restarted daemon whose clock was set back by an hour or reads exactly
/// the same as before, also when it has been declared `Dead` in the meantime.
#[test]
fn restart_with_clock_set_back_supersedes_old_record() {
    for (seed, clock) in [WALL_CLOCK - 3_600_000, WALL_CLOCK, WALL_CLOCK + 5_000].iter().enumerate()
    {
        for pause in [0, 1, 15] {
            let mut net = Net::ready(seed as u64, &[("kl-a", 20), ("kl-b", 10)]);
            net.kill(7);
            net.run_for(pause * SEC);
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
            let took = net.run_until(20 * SEC, new).expect("earlier record not superseded");
            assert!(took <= 8 * SEC, "clock {clock}, {pause} s later: {took:?}");
        }
    }
}

/// Guards against calls to a restarted daemon whose backend server has not announced itself to the
/// new process: the earlier `Ready` record must not stay in force.
#[test]
fn restart_without_announcement_withdraws_the_earlier_record() {
    let mut net = Net::ready(6, &[("kl-a", 20)]);
    net.kill(7);
    net.start_unannounced(7, WALL_CLOCK + 1);
    net.run_until(5 * SEC, |net| net.all_see(7, State::Leaving)).expect("still Ready");
    net.input(7, Input::Announce(announcement()));
    net.input(7, Input::BackendResponded);
    net.run_until(5 * SEC, |net| net.all_agree(State::Ready)).expect("not Ready again");
}

/// Guards against two different records with the same incarnation, as after a restart within the
/// same millisecond: an endpoint that receives a conflicting record of itself supersedes it.
#[test]
fn conflicting_record_of_same_incarnation_is_refuted() {
    let mut net = Net::ready(7, &[("kl-a", 2)]);
    let own = net.record(0);
    let older = Member { slots: 1, state: State::Starting, ..own.clone() };
    net.receive(0, 1, Body::Gossip, older);
    assert_eq!(net.record(0).incarnation, own.incarnation + 1);
    // An earlier version of the same record does not conflict.
    let starting = net.record(0).with_state(State::Starting);
    net.receive(0, 1, Body::Gossip, starting);
    assert_eq!(net.record(0).incarnation, own.incarnation + 1);
}

/// Guards against a restarted daemon whose clock was set back, or one that was declared `Dead`, not
/// learning of its stored record from a receiver that has nothing else to send.
#[test]
fn sender_of_stale_record_receives_stored_one() {
    let mut net = Net::ready(8, &[("kl-a", 3)]);
    let held = net.record(1);
    let older = Member { incarnation: held.incarnation - 5, ..held.clone() };
    let sends_record = |actions: &Actions, record: &Member| {
        actions.iter().any(|it| match it {
            Action::Send { to, message } => {
                *to == record.endpoint && message.gossip.iter().any(|it| **it == *record)
            }
            _ => false,
        })
    };
    let actions = net.receive(0, 1, Body::Gossip, older);
    assert!(sends_record(&actions, &held), "{actions:?}");
    let dead = held.with_state(State::Dead);
    net.receive(0, 2, Body::Gossip, dead.clone());
    let actions = net.receive(0, 1, Body::Ack { seq: 1 }, net.record(2));
    assert!(sends_record(&actions, &dead), "{actions:?}");
}
