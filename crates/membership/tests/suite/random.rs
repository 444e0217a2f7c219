//! Random schedules of failures.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use proptest::prelude::*;
use shallottack_membership::{Input, Member, State};

use crate::driver::{Net, WALL_CLOCK, announcement};

const NODES: usize = 9;

#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Kill(usize),
    Start { node: usize, clock: i64 },
    StartUnannounced { node: usize, clock: i64 },
    Pause(usize),
    Resume(usize),
    Partition { node: usize, id: u32 },
    Loss(u8),
    Leave(usize),
    Announce(usize),
    BackendConnectFailed(usize),
    Unresponsive { caller: usize, node: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let clock = -10_000_i64..10_000;
    prop_oneof![
        6 => (100_u64..15_000).prop_map(Step::Run),
        2 => node.clone().prop_map(Step::Kill),
        2 => (node.clone(), clock.clone()).prop_map(|(node, clock)| Step::Start { node, clock }),
        1 => (node.clone(), clock).prop_map(|(node, clock)| Step::StartUnannounced { node, clock }),
        1 => node.clone().prop_map(Step::Pause),
        1 => node.clone().prop_map(Step::Resume),
        2 => (node.clone(), 0..2_u32).prop_map(|(node, id)| Step::Partition { node, id }),
        1 => (0..40_u8).prop_map(Step::Loss),
        1 => node.clone().prop_map(Step::Leave),
        1 => node.clone().prop_map(Step::Announce),
        1 => node.clone().prop_map(Step::BackendConnectFailed),
        1 => (node.clone(), node).prop_map(|(caller, node)| Step::Unresponsive { caller, node }),
    ]
}

fn apply(net: &mut Net, step: &Step) {
    let wall = |clock: i64| WALL_CLOCK.saturating_add_signed(clock);
    match *step {
        Step::Run(millis) => net.run_for(Duration::from_millis(millis)),
        Step::Kill(node) => net.kill(node),
        Step::Start { node, clock } => net.start(node, wall(clock)),
        Step::StartUnannounced { node, clock } => net.start_unannounced(node, wall(clock)),
        Step::Pause(node) => net.pause(node),
        Step::Resume(node) => net.resume(node),
        Step::Partition { node, id } => net.nodes[node].partition = id,
        Step::Loss(percent) => net.loss = f64::from(percent) / 100.0,
        Step::Leave(node) => net.input(node, Input::Leave { notify: Vec::new() }),
        Step::Announce(node) => {
            net.input(node, Input::Announce(announcement()));
            net.input(node, Input::BackendResponded);
        }
        Step::BackendConnectFailed(node) => net.input(node, Input::BackendConnectFailed),
        Step::Unresponsive { caller, node } => {
            let endpoint = net.id(node);
            net.input(caller, Input::PeerUnresponsive { endpoint });
        }
    }
}

/// Returns whether every running daemon holds the current record of each running daemon that has
/// one, and no record of any other endpoint except `Dead` and `Left` ones.
fn converged(net: &Net) -> bool {
    let running = net.running();
    running.iter().all(|&observer| {
        (0..NODES).all(|node| {
            let seen = net.core(observer).member(&net.id(node));
            match net.nodes[node].core.as_ref().and_then(|it| it.local_member()) {
                Some(own) => seen == Some(own),
                None => seen.is_none_or(|it| it.state.is_gone()),
            }
        })
    })
}

/// Returns whether no process reported an older record of a member of its own data centre after a
/// newer one. Members of other data centres may also be reported as `Suspect` while unreachable.
fn monotonic(net: &Net) -> bool {
    net.nodes.iter().all(|node| {
        let mut last = BTreeMap::new();
        let local = |it: &&Arc<Member>| it.data_centre == node.identity.data_centre;
        node.changes.iter().map(|(_, member)| member).filter(local).all(|it| {
            let shown = (it.incarnation, it.state);
            last.insert(&it.endpoint, shown).is_none_or(|before| before <= shown)
        })
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against schedules of failures, partitions, pauses, restarts with clocks set back, and
    /// lost, reordered or repeated messages after which daemons do not agree again by themselves,
    /// or during which the state that a daemon reports for an incarnation goes backwards.
    #[test]
    fn any_schedule_settles(seed: u64, steps in prop::collection::vec(step(), 1..40)) {
        let mut net = Net::new(seed, &[("kl-a", 5), ("kl-b", 4)]);
        net.duplicates = 0.05;
        net.max_delay = Duration::from_millis(50);
        for node in 0..NODES {
            net.start(node, WALL_CLOCK);
        }
        for step in &steps {
            apply(&mut net, step);
        }
        net.loss = 0.0;
        for node in 0..NODES {
            net.nodes[node].partition = 0;
            net.resume(node);
            // At least one daemon of each data centre runs, so that failures can be detected.
            if net.nodes[node].core.is_none() && node % 4 == 0 {
                net.start(node, WALL_CLOCK + 20_000);
            }
        }
        let took = net.run_until(Duration::from_secs(180), converged);
        prop_assert!(took.is_some(), "daemons do not agree");
        prop_assert!(monotonic(&net), "a record went backwards");
        for node in &net.nodes {
            let own = node.core.as_ref().and_then(|it| it.local_member());
            prop_assert!(own.is_none_or(|it| it.state < State::Suspect));
        }
    }
}
