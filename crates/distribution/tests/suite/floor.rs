//! Version floor: no endpoint returns to an older version by a restart.

use rand_chacha::ChaCha8Rng;
use shallottack_config::Version;
use shallottack_distribution::{
    Action, Distribution, EncodedDelta, Input, Message, SenderState, Settings, Unavailable,
};
use shallottack_kernel::{EndpointId, Time};

use crate::{
    platform::{encode, next_delta},
    sim::{SECOND, Sim},
};

/// Guards against a return to an older version when a daemon restarts without any state and reaches
/// only a lagging peer, while the head row holds a newer version.
#[test]
fn restart_behind_a_lagging_peer_waits_for_the_floor() {
    let mut sim = Sim::settled(21, &[1, 1], Settings::default(), 2);
    let old = sim.platform.head();
    sim.faults.platform_unreachable.insert("dc1".to_owned());
    sim.faults.partitioned_centres.insert("dc1".to_owned());
    sim.commit(None);
    sim.run(3 * SECOND);
    assert_eq!((sim.in_force(0), sim.in_force(1)), (Some(old.next()), Some(old)));
    sim.restart(0);
    sim.faults.partitioned_centres.clear();
    let held = sim.run_until(8 * SECOND, |sim| sim.core(0).held() == old);
    assert!(held.is_some(), "the lagging peer was not reached");
    assert_eq!(sim.in_force(0), None);
    sim.converge(30 * SECOND);
}

/// Guards against a return to an older version when the table is down too: the floor comes from
/// peers, and a lagging peer knows which version the endpoint had in force.
#[test]
fn restart_in_an_outage_takes_the_floor_from_peers() {
    let mut sim = Sim::settled(22, &[1, 2], Settings::default(), 2);
    let old = sim.platform.head();
    sim.faults.platform_unreachable.insert("dc1".to_owned());
    sim.faults.loss = 0.0;
    sim.commit(None);
    // The lagging peer learns the new version number from one message during the partition.
    sim.run_until(8 * SECOND, |sim| sim.in_force(0) > Some(old));
    sim.faults.partitioned_centres.insert("dc0".to_owned());
    let sender = SenderState { version: old.next(), in_force: true, source: None };
    let from = sim.nodes[0].peer.endpoint.clone();
    sim.input(1, Input::Message { from, message: Message::Probe { sender } });
    sim.faults.table_down = true;
    sim.restart(0);
    sim.faults.partitioned_centres.clear();
    sim.run(30 * SECOND);
    assert_eq!((sim.core(0).held(), sim.in_force(0)), (old, None));
    sim.faults.table_down = false;
    sim.converge(30 * SECOND);
}

/// Guards against a restart that an outage of the table blocks although peers have a version in
/// force.
#[test]
fn restart_in_an_outage_becomes_ready_from_peers() {
    let mut sim = Sim::settled(27, &[20, 20], Settings::default(), 2);
    sim.faults.table_down = true;
    for i in [3, 25, 7] {
        sim.restart(i);
        println!("ready after {:?}", sim.converge(15 * SECOND));
    }
}

/// Guards against a version that is put in force without a floor: while the table is down and no
/// peer has a version in force, a daemon is not ready. It recovers with the table.
#[test]
fn whole_fleet_restarted_in_an_outage_is_not_ready() {
    let mut sim = Sim::settled(23, &[10, 10], Settings::default(), 70);
    sim.faults.table_down = true;
    (0..20).for_each(|i| sim.restart(i));
    sim.run(60 * SECOND);
    assert!((0..20).all(|i| sim.in_force(i).is_none()));
    sim.faults.table_down = false;
    println!("ready {:?} after the end of the outage", sim.converge(30 * SECOND));
}

/// Guards against a deadlock when fewer than `floor_peers` daemons still have a version in force
/// during an outage: the others must still become ready from them.
#[test]
fn two_peers_in_force_suffice_in_an_outage() {
    let mut sim = Sim::settled(24, &[20], Settings::default(), 70);
    sim.faults.table_down = true;
    (2..20).for_each(|i| sim.restart(i));
    println!("ready after {:?}", sim.converge(40 * SECOND));
}

/// Guards against a floor that is too low: an answer to a query from before a restart may be older
/// than the version that the endpoint had in force since, and must be ignored.
#[test]
fn answer_to_a_query_before_a_restart_is_ignored() {
    let (mut core, mut rng, nonce) = querying_core(2);
    let sender =
        SenderState { version: Version { epoch: 0, seq: 1 }, in_force: true, source: None };
    let mut answer = |nonce| {
        let message = Message::FloorAnswer { nonce, sender: sender.clone(), yours: None };
        let from = "ep-0-1".parse().unwrap();
        core.handle(Time::from_millis(9_100), &mut rng, Input::Message { from, message });
        core.floor()
    };
    assert_eq!(answer(nonce ^ 1), None);
    assert_eq!(answer(nonce), Some(sender.version));
}

/// Guards against a partially applied or invalid version: a delta without the service of its route,
/// a truncated snapshot and a snapshot without services change nothing.
#[test]
fn invalid_versions_change_nothing() {
    let (mut core, mut rng) = lone_core(2);
    let now = Time::from_millis(9_000);
    core.handle(now, &mut rng, Input::HeadRead(Ok(None)));
    let mut sim = Sim::new(25, &[1], Settings::default());
    sim.platform.commit();
    let catalog = sim.platform.history[0].clone();
    let mut delta = next_delta(&Default::default());
    delta.upserts.remove(0);
    let (body, whole) = (encode(&delta), encode(catalog.as_ref()));
    let mut missing = catalog.as_ref().clone();
    missing.services.clear();
    let sender = SenderState { version: catalog.version, in_force: true, source: None };
    let encoded = EncodedDelta { from: delta.from, to: delta.to, body };
    let message = Message::Push { sender: sender.clone(), deltas: vec![encoded] };
    let snapshot = |body| Message::Snapshot { sender: sender.clone(), body };
    let from: EndpointId = "ep-0-1".parse().unwrap();
    for message in [message, snapshot(whole[..100].into()), snapshot(encode(&missing))] {
        let input = Input::Message { from: from.clone(), message };
        core.handle(now, &mut rng, input);
        assert_eq!(core.in_force(), Some(Version::ZERO));
        assert_eq!(**core.catalog().unwrap(), Default::default());
    }
    assert_eq!(core.counters().rejected, 3);
}

/// Guards against a floor determined by one lagging peer because two others have restarted too:
/// answers from fewer than three peers in force are accepted only after `floor_wait`, which gives
/// the others time to answer.
#[test]
fn floor_waits_for_peers_in_force() {
    let (mut core, mut rng, nonce) = querying_core(5);
    let old = Version { epoch: 0, seq: 1 };
    let mut answer = |millis, i: usize, version, in_force| {
        let sender = SenderState { version, in_force, source: None };
        let message = Message::FloorAnswer { nonce, sender, yours: None };
        let from = format!("ep-0-{i}").parse().unwrap();
        core.handle(Time::from_millis(millis), &mut rng, Input::Message { from, message });
        core.floor()
    };
    assert_eq!(answer(9_100, 1, Version::ZERO, false), None);
    assert_eq!(answer(9_200, 2, Version::ZERO, false), None);
    assert_eq!(answer(9_300, 3, old, true), None);
    assert_eq!(answer(9_400, 4, old.next(), true), None);
    assert_eq!(answer(14_000, 4, old.next(), true), Some(old.next()));
}

/// Guards against a return to an older version by a snapshot that was in flight while newer deltas
/// arrived.
#[test]
fn older_snapshot_changes_nothing() {
    let mut sim = Sim::settled(29, &[2], Settings::default(), 3);
    let head = sim.platform.head();
    let from = sim.nodes[1].peer.endpoint.clone();
    let sender = SenderState { version: head, in_force: true, source: None };
    let body = encode(sim.platform.history[1].as_ref());
    sim.input(0, Input::Message { from, message: Message::Snapshot { sender, body } });
    assert_eq!((sim.core(0).held(), sim.in_force(0)), (head, Some(head)));
}

/// Returns the state machine of a daemon that knows `members` members and has read nothing yet.
fn lone_core(members: usize) -> (Distribution, ChaCha8Rng) {
    let mut sim = Sim::new(26, &[members], Settings::default());
    (sim.nodes[0].core.take().unwrap(), sim.rng)
}

/// Returns a state machine whose read of the head row failed at 9 s, and the nonce of its floor
/// queries.
fn querying_core(members: usize) -> (Distribution, ChaCha8Rng, u64) {
    let (mut core, mut rng) = lone_core(members);
    let now = Time::from_millis(9_000);
    core.handle(now, &mut rng, Input::HeadRead(Err(Unavailable)));
    let actions = core.handle(now, &mut rng, Input::Tick);
    let nonce = actions.iter().find_map(|it| match it {
        Action::Send { message: Message::FloorQuery { nonce }, .. } => Some(*nonce),
        _ => None,
    });
    (core, rng, nonce.expect("a query follows a failed read"))
}
