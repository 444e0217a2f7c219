//! Orders of rollouts, and the reports on them.

use std::{sync::Arc, time::Duration};

use async_std::task;
use rand::RngExt;
use shallottack_fleet::{Rollout, RolloutOrder, RolloutSettings, RolloutState, Step};
use shallottack_kernel::{GroupName, ServiceName, Time};
use shallottack_site::{
    rollout::{STATUS_TABLE, decode_order, decode_status, encode_status, status_key},
    store::{Store, Written},
};

use crate::{events::Event, message::OrderRow, node::Node};

/// Time between looks at the rollouts.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Longest random wait before a report for each daemon of the fleet, so that one mostly reports for
/// all: one report takes two calls of the store of some 4 ms each.
const REPORT_JITTER_MS: u64 = 12;
/// Longest random wait in fleets of any size; a fifth of the time within which a bad version has to
/// be taken back.
const MOST_JITTER_MS: u64 = 1_000;

impl Node {
    /// Takes the row of an order, from the store or from another daemon.
    pub fn offer_order(self: &Arc<Self>, row: &OrderRow) {
        let order = match decode_order(row.row, &row.bytes) {
            Ok(order) => order,
            Err(reason) => {
                let reason = format!("row {}: {reason}", row.key);
                self.events.write(&Event::Store { table: "", state: "malformed", reason: &reason });
                return;
            }
        };
        let now = self.now();
        let service = order.service.clone();
        {
            let mut cores = self.cores();
            if cores
                .rollouts
                .get(&service)
                .is_some_and(|it| it.order().row_version >= order.row_version)
            {
                return;
            }
            let rollout = Rollout::new(RolloutSettings::default(), now, order);
            self.note_rollout(&rollout, now, "ordered");
            cores.rollouts.insert(service.clone(), rollout);
            cores.orders.insert(service, row.clone());
        }
        self.announce();
    }

    /// Takes a report of any daemon. One that is older than the order is about an earlier move.
    pub fn reported(&self, service: &ServiceName, to: &GroupName, state: RolloutState, row: u64) {
        let now = self.now();
        let mut cores = self.cores();
        let Some(rollout) = cores.rollouts.get_mut(service) else { return };
        let about = rollout.order().to == *to && row > rollout.order().row_version;
        if about && rollout.state() != state {
            rollout.set_state(state);
            self.note_rollout(rollout, now, "reported");
        }
    }

    /// Changes the counts of a move, and notes it when they decide the move.
    pub fn judge(&self, rollout: &mut Rollout, reason: &str, change: impl FnOnce(&mut Rollout)) {
        let before = rollout.judgement();
        change(rollout);
        if rollout.judgement() != before {
            self.note_rollout(rollout, self.now(), reason);
        }
    }

    fn note_rollout(&self, rollout: &Rollout, now: Time, reason: &str) {
        let [old, new] = rollout.totals();
        self.events.write(&Event::Rollout {
            service: rollout.order().service.as_str(),
            to: rollout.order().to.as_str(),
            state: rollout.state(),
            share: rollout.share(now),
            reason,
            old_all: old.all,
            old_failed: old.failed,
            old_slow: old.slow,
            new_all: new.all,
            new_failed: new.failed,
            new_slow: new.slow,
            heard: rollout.peer_count(),
        });
    }
}

/// Reports what rollouts come to, for ever.
pub async fn report(node: Arc<Node>) {
    let store = Store::new(node.settings.store);
    loop {
        task::sleep(LOOK_EVERY).await;
        for (order, state) in due(&node) {
            let daemons = node.cores().directory.len() as u64;
            let jitter = (REPORT_JITTER_MS * daemons).min(MOST_JITTER_MS);
            let pause = rand::rng().random_range(0..=jitter);
            task::sleep(Duration::from_millis(pause)).await;
            // Another daemon may have reported meanwhile.
            if !due(&node).iter().any(|it| it.0 == order && it.1 == state) {
                continue;
            }
            if let Err(reason) = write(&node, &store, &order, state).await {
                log::warn!("can't report the rollout of {}: {reason}", order.service);
            }
        }
    }
}

/// Returns the states to report: the first one, and the last.
fn due(node: &Node) -> Vec<(RolloutOrder, RolloutState)> {
    let now = node.now();
    let cores = node.cores();
    let running = cores.rollouts.values().filter(|it| it.state() == RolloutState::Running);
    running
        .filter_map(|it| match it.step(now) {
            Step::Report(state) => Some((it.order().clone(), state)),
            Step::Wait => None,
        })
        .collect()
}

/// Writes a report under the condition that no final one has been written for the order.
async fn write(
    node: &Node,
    store: &Store,
    order: &RolloutOrder,
    state: RolloutState,
) -> Result<(), String> {
    let key = status_key(&order.service);
    let rows = store.rows(STATUS_TABLE).await.map_err(|it| it.to_string())?;
    let row = rows.rows.iter().find(|it| it.key == key);
    let version = row.map_or(0, |it| it.version);
    if let Some(bytes) = row.and_then(|it| it.value.as_deref()) {
        let (to, found) = decode_status(bytes)?;
        if to == order.to && version > order.row_version && found != RolloutState::Running {
            node.reported(&order.service, &to, found, version);
            return Ok(());
        }
    }
    let value = encode_status(&order.to, state);
    let written = store.write(STATUS_TABLE, &key, version, Some(&value)).await;
    match written.map_err(|it| it.to_string())? {
        Written::Done(row) => node.reported(&order.service, &order.to, state, row),
        // Another daemon reported at the same time; its report is read at the next look.
        Written::Conflict(_) => {}
    }
    Ok(())
}
