//! Following the tables of the store: configuration and orders, members, and rollout reports.

use std::{sync::Arc, time::Duration};

use async_std::task;
use rand::RngExt;
use shallottack_fleet::Member;
use shallottack_site::{
    configuration, rollout,
    store::{Row, Rows, Store, StoreError},
};

use crate::{
    backoff::Backoff,
    config_history::StoredConfig,
    events::Event,
    message::{OrderRow, decode},
    node::Node,
};

/// Table in which each daemon describes itself.
pub const MEMBERS: &str = "members";
/// Longest wait for a change of the configuration in a small fleet. A connection that has gone silent
/// is noticed after it, within the time that a configuration has to be in force.
const CONFIG_WAIT: Duration = Duration::from_millis(1_500);
/// Longest wait for a change of the members, which the daemons also tell each other.
const MEMBERS_WAIT: Duration = Duration::from_secs(8);
/// Daemons in a small fleet, the size of today's ungrown sites. In larger ones more exchanges with
/// other daemons tell of a newer configuration, so that the wait grows with the size.
const SMALL_FLEET: f64 = 12.0;
/// Largest factor by which the wait grows; few daemons of a large fleet wait.
const MOST_WAIT_FACTOR: f64 = 5.0;
/// Pause after a change of the configuration, which joins a series of changes into one call. A
/// sixth of the shortest time within which a configuration has to be in force.
const CONFIG_PAUSE: Duration = Duration::from_millis(400);
/// The same for the members, for each daemon above `SMALL_FLEET`. Daemons tell each other of their
/// changes, but not those that started at the same time and have not read each other's rows yet.
const MEMBERS_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause of the members; as long as entries may be missing after an outage of the store.
const MOST_MEMBERS_PAUSE: Duration = Duration::from_secs(2);
/// Members at the first read above which a daemon waits before it follows.
const LARGE_START: usize = 24;
/// Time after which the daemons that started together have heard of each other.
const START_SETTLE: Duration = Duration::from_secs(2);
/// Time between looks whether this daemon is to follow the store.
const READER_LOOK: Duration = Duration::from_millis(500);
/// Jitter of the first read after the start, so that daemons that start together spread.
const START_JITTER_MS: u64 = 50;

/// A table that is followed.
#[derive(Debug, Clone, Copy)]
pub enum Table {
    /// What operators write.
    Operators,
    /// Descriptions of the daemons.
    Members,
    /// Reports of rollouts.
    Status,
}

impl Table {
    fn name(self) -> &'static str {
        match self {
            Table::Operators => configuration::TABLE,
            Table::Members => MEMBERS,
            Table::Status => rollout::STATUS_TABLE,
        }
    }

    fn wait(self, daemons: usize) -> Duration {
        match self {
            Table::Operators | Table::Status => {
                CONFIG_WAIT.mul_f64((daemons as f64 / SMALL_FLEET).clamp(1.0, MOST_WAIT_FACTOR))
            }
            Table::Members => MEMBERS_WAIT,
        }
    }

    fn pause(self, daemons: usize) -> Duration {
        match self {
            Table::Operators | Table::Status => CONFIG_PAUSE,
            Table::Members => {
                let above = (daemons as f64 - SMALL_FLEET).max(0.0);
                MEMBERS_PAUSE.mul_f64(above).min(MOST_MEMBERS_PAUSE)
            }
        }
    }
}

/// Follows `table` for ever.
pub async fn follow(node: Arc<Node>, table: Table) {
    let store = Store::new(node.settings.store);
    let jitter = rand::rng().random_range(0..=START_JITTER_MS);
    task::sleep(Duration::from_millis(jitter)).await;
    let mut follower = Follower {
        node,
        table,
        store,
        version: None,
        backoff: Backoff::new(),
        up: None,
        settled: false,
    };
    loop {
        match table {
            Table::Operators | Table::Members => follower.wait_to_read().await,
            Table::Status => follower.wait_for_rollout().await,
        }
        follower.step().await;
    }
}

struct Follower {
    node: Arc<Node>,
    table: Table,
    store: Store,
    /// Version of the store up to which changes are known.
    version: Option<u64>,
    backoff: Backoff,
    up: Option<bool>,
    /// Whether the wait after the first read is over.
    settled: bool,
}

impl Follower {
    async fn step(&mut self) {
        let name = self.table.name();
        let daemons = self.node.cores().directory.len();
        let read = match self.version {
            None => self.store.rows(name).await,
            Some(version) => self.store.changes(name, version, self.table.wait(daemons)).await,
        };
        let follows = self.version.is_some();
        match read {
            Ok(rows) => {
                self.take(&rows);
                if follows && !rows.rows.is_empty() {
                    task::sleep(self.table.pause(daemons)).await;
                }
            }
            Err(StoreError::Compacted) => {
                self.version = None;
                self.note(true, "history is gone");
            }
            Err(error) => {
                self.note(false, &error.to_string());
                self.backoff.wait().await;
            }
        }
    }

    fn take(&mut self, rows: &Rows) {
        self.note(true, "");
        self.backoff = Backoff::new();
        for row in &rows.rows {
            match self.table {
                Table::Operators => take_operators_row(&self.node, row),
                Table::Members => take_member_row(&self.node, row),
                Table::Status => take_status_row(&self.node, row),
            }
        }
        self.version = Some(rows.version);
    }

    /// After the first read, few daemons of a large fleet follow the store. Which ones they are is
    /// known only when those that start together have heard of each other.
    async fn wait_to_read(&mut self) {
        let first = !std::mem::replace(&mut self.settled, self.version.is_some());
        if first && self.version.is_some() && self.node.cores().directory.len() > LARGE_START {
            task::sleep(START_SETTLE).await;
        }
        while self.version.is_some() && !self.node.is_reader() {
            task::sleep(READER_LOOK).await;
        }
    }

    /// Reports of rollouts are of use only while there is an order.
    async fn wait_for_rollout(&mut self) {
        while self.node.cores().rollouts.is_empty() {
            task::sleep(Duration::from_millis(200)).await;
        }
    }

    fn note(&mut self, up: bool, reason: &str) {
        if self.up != Some(up) {
            self.up = Some(up);
            let state = if up { "reached" } else { "lost" };
            self.node.events.write(&Event::Store { table: self.table.name(), state, reason });
        }
    }
}

fn take_operators_row(node: &Arc<Node>, row: &Row) {
    let Some(bytes) = &row.value else { return };
    if row.key == configuration::KEY {
        let config = StoredConfig { row: row.version, bytes: bytes.as_slice().into() };
        node.offer_config(&config, "store");
    } else if rollout::is_rollout(&row.key) {
        let (key, bytes) = (row.key.clone(), bytes.clone());
        node.offer_order(&OrderRow { key, row: row.version, bytes });
    }
}

fn take_member_row(node: &Arc<Node>, row: &Row) {
    // Rows without a value were removed by the daemon itself at its end.
    let Some(bytes) = &row.value else { return };
    match decode::<Member>(bytes) {
        Ok(member) => node.offer_member(&member),
        Err(reason) => malformed(node, &row.key, &reason),
    }
}

fn take_status_row(node: &Arc<Node>, row: &Row) {
    let (Some(bytes), Some(service)) = (&row.value, rollout::service(&row.key)) else { return };
    match rollout::decode_status(bytes) {
        Ok((to, state)) => node.reported(&service, &to, state, row.version),
        Err(reason) => malformed(node, &row.key, &reason),
    }
}

fn malformed(node: &Node, key: &str, reason: &str) {
    let reason = format!("row {key}: {reason}");
    node.events.write(&Event::Store { table: "", state: "malformed", reason: &reason });
}
