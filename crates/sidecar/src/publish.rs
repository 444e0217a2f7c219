//! This daemon's own row in the store.

use std::{sync::Arc, time::Duration};

use async_std::task;
use rand::RngExt;
use shallottack_fleet::Member;
use shallottack_site::store::{Store, StoreError, Written};

use crate::{
    events::Event,
    follow::MEMBERS,
    message::{decode, encode},
    node::Node,
};

/// Pause after the first failed write; doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause between writes that fail: the entries have to be back two seconds after the
/// store.
const LONGEST_PAUSE: Duration = Duration::from_millis(700);

/// Writes the daemon's description whenever it has changed, for ever.
pub async fn publish(node: Arc<Node>) {
    let store = Store::new(node.settings.store);
    let mut row = restore(&node, &store).await;
    loop {
        if node.publish.1.recv().await.is_err() {
            return;
        }
        node.broadcast();
        row = write(&node, &store, row).await;
    }
}

/// Reads the row of an earlier daemon on this VM and raises the incarnation above it. Returns the
/// version of the row.
async fn restore(node: &Arc<Node>, store: &Store) -> u64 {
    let mut pause = FIRST_PAUSE;
    loop {
        match store.rows(MEMBERS).await {
            Ok(rows) => {
                let key = node.settings.vm.as_str();
                let Some(row) = rows.rows.iter().find(|it| it.key == key) else { return 0 };
                let earlier = row.value.as_deref().map(decode::<Member>);
                if let Some(Ok(earlier)) = earlier {
                    node.redescribe(|own| {
                        own.incarnation = own.incarnation.max(earlier.incarnation + 1);
                    });
                }
                return row.version;
            }
            Err(error) => {
                log::debug!("can't read the members: {error}");
                pause = sleep(pause).await;
            }
        }
    }
}

/// Writes the present description; returns the version of the row.
async fn write(node: &Arc<Node>, store: &Store, mut row: u64) -> u64 {
    let mut pause = FIRST_PAUSE;
    loop {
        let own = node.cores().own.clone();
        let left = own.stopping && own.server.is_none();
        let bytes = encode(&own);
        let value = (!left).then_some(bytes.as_slice());
        match store.write(MEMBERS, node.settings.vm.as_str(), row, value).await {
            Ok(Written::Done(version)) => {
                node.events.write(&Event::Published { sequence: own.sequence, row: version });
                return version;
            }
            // A write without an answer was done, or an earlier daemon of this VM wrote late.
            Ok(Written::Conflict(version)) => row = version,
            Err(error) => {
                if let StoreError::Refused(403 | 400) = error {
                    log::error!("the store does not take the description: {error}");
                }
                pause = sleep(pause).await;
            }
        }
    }
}

async fn sleep(pause: Duration) -> Duration {
    let jitter = rand::rng().random_range(0.6..1.4);
    task::sleep(pause.mul_f64(jitter)).await;
    (pause * 2).min(LONGEST_PAUSE)
}
