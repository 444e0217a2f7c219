//! Applies rollout orders and reports the status of rollouts.

use std::{sync::Arc, time::Duration};

use async_std::task;
use rand::RngExt;
use shallottack_fleet::{
    OrderRelation, Rollout, RolloutOrder, RolloutSettings, RolloutState, RowVersion, Step,
};
use shallottack_kernel::{GroupName, ServiceName, Time};
use shallottack_site::{
    rollout::{STATUS_TABLE, decode_order, decode_status, encode_status, status_key},
    store::{Store, Written},
};

use crate::{events::Event, message::OrderRow, node::Node};

/// Interval between checks of the rollouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Largest random delay before a report, in milliseconds for each daemon of the fleet. The delays
/// spread the daemons so that usually only one reports; a report takes two requests to the store of
/// some 4 ms each.
const REPORT_JITTER_PER_DAEMON_MS: u64 = 12;
/// Largest random delay before a report in milliseconds, for any fleet size; a fifth of the time
/// within which a bad version must be rolled back.
const MAX_REPORT_JITTER_MS: u64 = 1_000;

impl Node {
    /// Applies the row of a rollout order, read from the store or received from another daemon.
    pub fn apply_order(self: &Arc<Self>, row: &OrderRow) {
        // The removal of an order does not end its rollout.
        let Some(bytes) = &row.bytes else { return };
        let order = match decode_order(row.row, bytes) {
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
            let mut shared = self.shared();
            let shared = &mut *shared;
            shared.newest_order = shared.newest_order.max(row.row);
            let rollout = match shared.rollouts.get_mut(&service) {
                None => Rollout::new(RolloutSettings::default(), now, order),
                Some(rollout) => match rollout.relation(&order) {
                    OrderRelation::Known => return,
                    OrderRelation::New => rollout.replace(now, order),
                    OrderRelation::Same => {
                        rollout.set_row_version(order.row_version);
                        self.log_rollout(rollout, now, "restored");
                        shared.orders.insert(service, row.clone());
                        return;
                    }
                },
            };
            self.log_rollout(&rollout, now, "ordered");
            shared.rollouts.insert(service.clone(), rollout);
            shared.orders.insert(service, row.clone());
        }
        self.announce();
    }

    /// Applies a rollout status reported by any daemon.
    pub fn apply_status(
        &self,
        service: &ServiceName,
        to: &GroupName,
        state: RolloutState,
        row: RowVersion,
    ) {
        let now = self.now();
        let mut shared = self.shared();
        let Some(rollout) = shared.rollouts.get_mut(service) else { return };
        if rollout.apply_report(to, state, row) {
            self.log_rollout(rollout, now, "reported");
        }
    }

    /// Changes the evidence of a rollout and logs the rollout if this changes the judgement.
    pub fn update_rollout(
        &self,
        rollout: &mut Rollout,
        reason: &str,
        change: impl FnOnce(&mut Rollout),
    ) {
        let before = rollout.judgement();
        change(rollout);
        if rollout.judgement() != before {
            self.log_rollout(rollout, self.now(), reason);
        }
    }

    fn log_rollout(&self, rollout: &Rollout, now: Time, reason: &str) {
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

/// Reports the status of rollouts to the store, in an endless loop.
pub async fn report(node: Arc<Node>) {
    let store = Store::new(node.settings.store);
    loop {
        task::sleep(CHECK_INTERVAL).await;
        for (order, state) in due_reports(&node) {
            let daemons = node.shared().directory.len() as u64;
            let jitter = (REPORT_JITTER_PER_DAEMON_MS * daemons).min(MAX_REPORT_JITTER_MS);
            let pause = rand::rng().random_range(0..=jitter);
            task::sleep(Duration::from_millis(pause)).await;
            // Another daemon may have reported in the meantime.
            if !due_reports(&node).iter().any(|it| it.0 == order && it.1 == state) {
                continue;
            }
            if let Err(reason) = write_report(&node, &store, &order, state).await {
                log::warn!("can't report the rollout of {}: {reason}", order.service);
            }
        }
    }
}

/// Returns the rollouts with a state that is due to be reported.
///
/// A report that the store may have lost is written again by the daemons that follow the store, so
/// that the others need not read it.
fn due_reports(node: &Node) -> Vec<(RolloutOrder, RolloutState)> {
    let now = node.now();
    let reader = node.is_reader();
    let shared = node.shared();
    shared
        .rollouts
        .values()
        .filter(|it| reader || it.state() == RolloutState::Running)
        .filter_map(|it| match it.step(now) {
            Step::Report(state) => Some((it.order().clone(), state)),
            Step::Wait => None,
        })
        .collect()
}

/// Writes a status report unless a final one was already written for the order.
async fn write_report(
    node: &Node,
    store: &Store,
    order: &RolloutOrder,
    state: RolloutState,
) -> Result<(), String> {
    let key = status_key(&order.service);
    let rows = store.rows(STATUS_TABLE).await.map_err(|it| it.to_string())?;
    let row = rows.rows.iter().find(|it| it.key == key);
    let version = row.map_or(RowVersion::default(), |it| it.version);
    if let Some(bytes) = row.and_then(|it| it.value.as_deref()) {
        let (to, found) = decode_status(bytes)?;
        let current = {
            let shared = node.shared();
            let rollout = shared.rollouts.get(&order.service);
            rollout.is_some_and(|it| it.is_current_report(&to, version))
        };
        if current && found != RolloutState::Running {
            node.apply_status(&order.service, &to, found, version);
            return Ok(());
        }
    }
    let value = encode_status(&order.to, state);
    let written = store.write(STATUS_TABLE, &key, version, Some(&value)).await;
    match written.map_err(|it| it.to_string())? {
        Written::Done(row) => node.apply_status(&order.service, &order.to, state, row),
        // Another daemon reported at the same time; its report is read at the next check.
        Written::Conflict(_) => {}
    }
    Ok(())
}
