//! Collection of row writes into transactions.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use shallottack_kernel::Time;

/// Number of a batch transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BatchId(pub u64);

/// Outcome of a batch transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BatchOutcome {
    /// It took effect.
    Committed,
    /// A condition did not hold; nothing was written.
    Conflict {
        /// Key of the row whose condition did not hold.
        key: Arc<str>,
    },
    /// The table did not take it; nothing was written.
    Unavailable,
    /// No answer came; it may have taken effect or may do so later.
    Unknown,
}

/// A batch whose transaction is under way.
#[derive(Debug, Clone)]
pub(crate) struct Flight {
    pub(crate) sent: Time,
    pub(crate) keys: Vec<Arc<str>>,
}

/// Rows that wait for a transaction and the transactions under way.
#[derive(Debug, Clone, Default)]
pub(crate) struct Batches {
    queue: VecDeque<Arc<str>>,
    flights: BTreeMap<BatchId, Flight>,
    sent: u64,
    next: Time,
}

impl Batches {
    pub(crate) fn push(&mut self, key: Arc<str>) {
        self.queue.push_back(key);
    }

    /// Puts rows of a transaction without effect in front, since they have waited the longest.
    pub(crate) fn push_front(&mut self, keys: Vec<Arc<str>>) {
        for key in keys.into_iter().rev() {
            self.queue.push_front(key);
        }
    }

    pub(crate) fn remove(&mut self, key: &str) {
        self.queue.retain(|it| &**it != key);
    }

    pub(crate) fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.flights.is_empty()
    }

    /// Returns when the next transaction may be sent, or `None` when there is nothing to send or
    /// too many transactions are under way.
    pub(crate) fn due(&self, most: usize) -> Option<Time> {
        (!self.queue.is_empty() && self.flights.len() < most).then_some(self.next)
    }

    /// Takes up to `rows` rows for a transaction that is sent now.
    pub(crate) fn take(&mut self, now: Time, rows: usize, next: Time) -> (BatchId, Vec<Arc<str>>) {
        let keys: Vec<_> = self.queue.drain(..rows.min(self.queue.len())).collect();
        let batch = BatchId(self.sent);
        self.sent += 1;
        self.next = next;
        self.flights.insert(batch, Flight { sent: now, keys: keys.clone() });
        (batch, keys)
    }

    pub(crate) fn land(&mut self, batch: BatchId) -> Option<Flight> {
        self.flights.remove(&batch)
    }
}
