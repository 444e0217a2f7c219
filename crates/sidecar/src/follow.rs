//! Watches the tables of the store: operator rows, members and rollout status.

use std::{sync::Arc, time::Duration};

use async_std::task;
use rand::RngExt;
use shallottack_fleet::{Member, RowVersion};
use shallottack_kernel::unix_ms;
use shallottack_site::{
    configuration, rollout,
    store::{Row, Rows, Store, StoreError},
};

use crate::{
    backoff::Backoff,
    events::Event,
    message::{OrderRow, decode},
    node::{Node, Origin},
};

/// Table in which each daemon writes its own description.
pub const MEMBERS_TABLE: &str = "members";
/// Long-poll timeout for operator rows in a small fleet.
const CONFIG_POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Long-poll timeout for operator rows of the first reader of a data centre, whatever the size of
/// the fleet. Polls that began while the store was silent, or whose connections went silent, are
/// never answered; with the time after which a poll fails, that is detected in 1.8 s, less than the
/// shortest time within which a configuration must take effect.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Long-poll timeout for members, which daemons also send each other.
const MEMBERS_POLL_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of daemons in a small fleet, the size of a deployment that has not grown. Daemons of
/// larger fleets learn of a newer configuration from more exchanges with each other, so the
/// long-poll timeout grows with the size.
const SMALL_FLEET_DAEMONS: f64 = 12.0;
/// Largest factor of the long-poll timeout; in a large fleet only a few daemons poll.
const MAX_TIMEOUT_FACTOR: f64 = 5.0;
/// Pause after a change of operator rows, so that a series of changes is read in one request. A
/// sixth of the shortest time within which a configuration must take effect.
const CONFIG_BATCH_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a change of members, for each daemon above `SMALL_FLEET_DAEMONS`. Daemons send each
/// other their changes, except daemons that start together and have not read each other's rows yet.
const MEMBERS_BATCH_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause after a change of members: the time for which members may be missing after an
/// outage of the store.
const MAX_MEMBERS_BATCH_PAUSE: Duration = Duration::from_secs(2);
/// Number of members at the first read above which a daemon waits before it polls.
const LARGE_FLEET_MEMBERS: usize = 24;
/// Time after which daemons that started together know each other.
const START_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Interval between checks of whether this daemon should poll the store.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Largest random delay of the first read in milliseconds, so that daemons that start together do
/// not read at once.
const MAX_START_JITTER_MS: u64 = 50;

/// A watched table.
#[derive(Debug, Clone, Copy)]
pub enum Table {
    /// Configuration, rollout orders and evacuations, written by operators.
    Operators,
    /// Descriptions of all daemons.
    Members,
    /// Status of rollouts, reported by daemons.
    Status,
}

impl Table {
    fn name(self) -> &'static str {
        match self {
            Table::Operators => configuration::TABLE,
            Table::Members => MEMBERS_TABLE,
            Table::Status => rollout::STATUS_TABLE,
        }
    }

    /// Returns the long-poll timeout in a fleet of this many daemons, for a daemon with this rank
    /// among the readers of its data centre.
    ///
    /// The first reader detects a poll that is lost. The second one polls less often, and the others as
    /// rarely as the size of the fleet allows, so that their polls do not begin and end together.
    fn poll_timeout(self, daemons: usize, rank: Option<usize>) -> Duration {
        let largest = CONFIG_POLL_TIMEOUT
            .mul_f64((daemons as f64 / SMALL_FLEET_DAEMONS).clamp(1.0, MAX_TIMEOUT_FACTOR));
        match (self, rank) {
            (Table::Operators, Some(0)) => FIRST_POLL_TIMEOUT,
            (Table::Operators, Some(1)) => largest.min(CONFIG_POLL_TIMEOUT * 2),
            (Table::Operators | Table::Status, _) => largest,
            (Table::Members, _) => MEMBERS_POLL_TIMEOUT,
        }
    }

    /// Returns the pause after a change in a fleet of this many daemons.
    fn batch_pause(self, daemons: usize) -> Duration {
        match self {
            Table::Operators | Table::Status => CONFIG_BATCH_PAUSE,
            Table::Members => {
                let above = (daemons as f64 - SMALL_FLEET_DAEMONS).max(0.0);
                MEMBERS_BATCH_PAUSE.mul_f64(above).min(MAX_MEMBERS_BATCH_PAUSE)
            }
        }
    }
}

/// Watches `table` and applies its rows to `node`, in an endless loop.
pub async fn follow(node: Arc<Node>, table: Table) {
    let store = Store::new(node.settings.store);
    let jitter = rand::rng().random_range(0..=MAX_START_JITTER_MS);
    task::sleep(Duration::from_millis(jitter)).await;
    let mut watcher = TableWatcher {
        node,
        table,
        store,
        version: None,
        backoff: Backoff::new(),
        reachable: None,
        settled: false,
        rank: None,
    };
    loop {
        match table {
            Table::Operators | Table::Members => watcher.wait_until_reader().await,
            Table::Status => watcher.wait_for_rollout().await,
        }
        watcher.step().await;
    }
}

struct TableWatcher {
    node: Arc<Node>,
    table: Table,
    store: Store,
    /// Version of the store up to which changes were read; `None` before the first read.
    version: Option<RowVersion>,
    backoff: Backoff,
    /// Whether the last request succeeded.
    reachable: Option<bool>,
    /// Whether the settle time after the first read has passed.
    settled: bool,
    /// Rank among the readers of the data centre at the last check.
    rank: Option<usize>,
}

impl TableWatcher {
    async fn step(&mut self) {
        let name = self.table.name();
        let daemons = self.node.shared().directory.len();
        self.check_rank(daemons);
        let began = self.node.now();
        let read = match self.version {
            None => self.store.rows(name).await,
            Some(version) => self.store.changes(name, version, self.wait(daemons)).await,
        };
        let polled = self.version.is_some();
        let open = self.node.now().since(began);
        match read {
            Ok(rows) => {
                self.apply(&rows, !polled);
                if polled && !rows.rows.is_empty() {
                    task::sleep(self.table.batch_pause(daemons)).await;
                }
            }
            Err(error @ (StoreError::Compacted | StoreError::Restored)) => {
                self.version = None;
                self.log_reachable(true, &error.to_string());
            }
            Err(error) => {
                self.log_reachable(false, &format!("{error}, after {} ms", open.as_millis()));
                self.backoff.wait().await;
            }
        }
    }

    /// Updates the rank of this daemon, and logs a change of those who read the operators' rows.
    fn check_rank(&mut self, daemons: usize) {
        if !matches!(self.table, Table::Operators) {
            return;
        }
        let rank = self.node.reader_rank();
        if rank != std::mem::replace(&mut self.rank, rank) {
            let poll_ms = self.table.poll_timeout(daemons, rank).as_millis() as u64;
            self.node.events.write(&Event::Reader { rank, poll_ms, daemons });
        }
    }

    /// Returns how long to wait for changes. After an outage the answer comes at once, since the
    /// store may have been restored from an older copy.
    fn wait(&self, daemons: usize) -> Duration {
        if self.reachable == Some(false) {
            Duration::ZERO
        } else {
            self.table.poll_timeout(daemons, self.rank)
        }
    }

    /// Applies rows; `whole` states whether these are all rows of the table.
    fn apply(&mut self, rows: &Rows, whole: bool) {
        self.log_reachable(true, "");
        self.node.observe_era(rows.version.era, "store");
        self.backoff = Backoff::new();
        for reason in &rows.malformed {
            let (table, state) = (self.table.name(), "malformed");
            self.node.events.write(&Event::Store { table, state, reason });
        }
        if matches!(self.table, Table::Operators) {
            // Known before the configuration, without which no request is sent.
            self.node.apply_evacuation_rows(rows, whole);
        }
        for row in &rows.rows {
            match self.table {
                Table::Operators => apply_operator_row(&self.node, row),
                Table::Members => apply_member_row(&self.node, row),
                Table::Status => apply_status_row(&self.node, row),
            }
        }
        if whole && matches!(self.table, Table::Members) {
            self.node.shared().members_read = true;
        }
        self.version = Some(rows.version);
    }

    /// Waits until this daemon should read.
    ///
    /// After the first read, only a few daemons of a large fleet keep polling the store. Which ones
    /// is known only after daemons that start together have learned of each other.
    async fn wait_until_reader(&mut self) {
        let first = !std::mem::replace(&mut self.settled, self.version.is_some());
        if first
            && self.version.is_some()
            && self.node.shared().directory.len() > LARGE_FLEET_MEMBERS
        {
            task::sleep(START_SETTLE_TIME).await;
        }
        while self.version.is_some() && !self.node.is_reader() {
            let daemons = self.node.shared().directory.len();
            self.check_rank(daemons);
            task::sleep(READER_CHECK_INTERVAL).await;
        }
    }

    /// Waits until there is a rollout order; status rows are of no use without one.
    async fn wait_for_rollout(&mut self) {
        while self.node.shared().rollouts.is_empty() {
            task::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Logs a change of whether the store can be reached.
    fn log_reachable(&mut self, reachable: bool, reason: &str) {
        if self.reachable != Some(reachable) {
            self.reachable = Some(reachable);
            let state = if reachable { "reached" } else { "lost" };
            self.node.events.write(&Event::Store { table: self.table.name(), state, reason });
        }
    }
}

fn apply_operator_row(node: &Arc<Node>, row: &Row) {
    let Some(bytes) = &row.value else { return };
    if row.key == configuration::KEY {
        node.apply_config(bytes.as_slice().into(), None, Origin::STORE);
    } else if rollout::is_rollout(&row.key) {
        let (key, bytes) = (row.key.clone(), Some(bytes.clone()));
        node.apply_order(&OrderRow { key, row: row.version, bytes });
    }
}

fn apply_member_row(node: &Arc<Node>, row: &Row) {
    // A row without a value was deleted by its daemon when it stopped.
    let Some(bytes) = &row.value else { return };
    match decode_member(&row.key, bytes) {
        Ok(member) => node.apply_member(&member),
        Err(reason) => log_malformed(node, &row.key, &reason),
    }
}

/// Decodes the description of a daemon from the row `key`.
///
/// # Errors
///
/// Returns the reason why the row is not the description of the daemon of that VM.
pub fn decode_member(key: &str, bytes: &[u8]) -> Result<Member, String> {
    let member: Member = decode(bytes)?;
    member.check(key, unix_ms())?;
    Ok(member)
}

fn apply_status_row(node: &Arc<Node>, row: &Row) {
    let (Some(bytes), Some(service)) = (&row.value, rollout::service(&row.key)) else { return };
    match rollout::decode_status(bytes) {
        Ok((to, state)) => node.apply_status(&service, &to, state, row.version),
        Err(reason) => log_malformed(node, &row.key, &reason),
    }
}

/// Logs that a row of another writer is left out.
pub fn log_malformed(node: &Node, key: &str, reason: &str) {
    let reason = format!("row {key}: {reason}");
    node.events.write(&Event::Store { table: "", state: "malformed", reason: &reason });
}
