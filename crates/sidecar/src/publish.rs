//! Writes this daemon's own row in the store.

use std::{sync::Arc, time::Duration};

use async_std::task;
use shallottack_fleet::{LeaveNotice, Member, RowVersion};
use shallottack_site::store::{Store, StoreError, Written};
use smallvec::SmallVec;

use crate::{
    backoff::Backoff,
    events::Event,
    follow::{MEMBERS_TABLE, decode_member, log_malformed},
    message::encode,
    node::Node,
};

/// Time within which a running backend server sends a heartbeat, whose interval is 1.5 s.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Interval between checks for the first heartbeat.
const FIRST_HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Writes the daemon's description after each change, in an endless loop.
pub async fn publish(node: Arc<Node>) {
    let store = Store::new(node.settings.store);
    let (mut row, earlier) = read_earlier_row(&node, &store).await;
    let mut recorded = false;
    wait_for_server(&node).await;
    loop {
        if node.publish_signal.1.recv().await.is_err() {
            return;
        }
        row = write_row(&node, &store, row).await;
        // The next daemon on this VM finds this start from now on.
        if !std::mem::replace(&mut recorded, true) {
            node.shared().record_restart(earlier);
        }
    }
}

/// Waits for the first heartbeat of the backend server, or until there would have been one.
///
/// The first description is then complete and has to be written only once.
async fn wait_for_server(node: &Node) {
    let began = node.now();
    while node.shared().own.server.is_none() && node.now().since(began) < FIRST_HEARTBEAT_TIMEOUT {
        task::sleep(FIRST_HEARTBEAT_CHECK_INTERVAL).await;
    }
}

/// Reads the row of an earlier daemon on this VM and raises the incarnation above the earlier one.
///
/// Returns the version of the row and the incarnation of the earlier daemon.
async fn read_earlier_row(node: &Arc<Node>, store: &Store) -> (RowVersion, Option<u64>) {
    let mut backoff = Backoff::new();
    loop {
        match store.row(MEMBERS_TABLE, node.settings.vm.as_str()).await {
            Ok(row) => {
                let version = row.as_ref().map_or_else(RowVersion::default, |it| it.version);
                let earlier = row.as_ref().and_then(|row| {
                    Some((&row.key, decode_member(&row.key, row.value.as_deref()?)))
                });
                let incarnation = match earlier {
                    Some((_, Ok(earlier))) => {
                        restore(node, &earlier);
                        Some(earlier.incarnation)
                    }
                    Some((key, Err(reason))) => {
                        log_malformed(node, key, &reason);
                        None
                    }
                    None => None,
                };
                node.apply_leaves(&[], "store");
                return (version, incarnation);
            }
            Err(error) => {
                log::debug!("can't read this daemon's row from the store: {error}");
                backoff.wait().await;
            }
        }
    }
}

/// Takes over what an earlier daemon on this VM described.
fn restore(node: &Arc<Node>, earlier: &Member) {
    node.restore_runs(earlier);
    restore_leaves(node, earlier);
    node.restore_crashes(earlier);
    node.update_own(|own| own.incarnation = own.incarnation.max(earlier.incarnation + 1));
}

/// Takes over from an earlier daemon on this VM which backend servers are leaving, since a late
/// heartbeat may still state that one is ready.
fn restore_leaves(node: &Node, earlier: &Member) {
    let own = earlier.server.as_ref().and_then(LeaveNotice::of);
    let notices: SmallVec<[LeaveNotice; 1]> = own.into_iter().chain(earlier.left.clone()).collect();
    node.apply_leaves(&notices, "earlier daemon");
}

/// Sends the current description to the other daemons, writes it and returns the version of the
/// row.
///
/// Changes made while the store is unavailable are still sent to the other daemons at once.
async fn write_row(node: &Arc<Node>, store: &Store, mut row: RowVersion) -> RowVersion {
    let mut backoff = Backoff::new();
    let mut announced = 0;
    loop {
        let own = node.shared().own.clone();
        if own.sequence != announced {
            announced = own.sequence;
            node.broadcast();
        }
        let departed = own.stopping && own.server.is_none();
        let bytes = encode(&own);
        let value = (!departed).then_some(bytes.as_slice());
        match store.write(MEMBERS_TABLE, node.settings.vm.as_str(), row, value).await {
            Ok(Written::Done(version)) => {
                let row = version.number;
                node.shared().kept.record_stored(own.sequence);
                node.events.write(&Event::Published { sequence: own.sequence, row });
                node.observe_era(version.era, "store");
                return version;
            }
            // An earlier write succeeded although its reply was lost, or an earlier daemon on this
            // VM wrote late.
            Ok(Written::Conflict(version)) => row = version,
            Err(error) => {
                if let StoreError::Refused(403 | 400) = error {
                    log::error!("the store rejected this daemon's description: {error}");
                }
                backoff.wait().await;
            }
        }
    }
}
