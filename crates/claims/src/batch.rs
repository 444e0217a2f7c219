//! Batching of row writes into transactions.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use shallottack_kernel::Time;

/// Sequence number of a batch transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BatchId(pub u64);

/// Outcome of a batch transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BatchOutcome {
    /// The transaction took effect.
    Committed,
    /// A condition did not hold, and nothing was written.
    Conflict {
        /// Key of the row whose condition did not hold.
        key: Arc<str>,
    },
    /// The table did not accept the transaction, and nothing was written.
    Unavailable,
    /// No response came; the transaction may have taken effect or may do so later.
    Unknown,
}

/// Batch whose transaction is in flight.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    pub(crate) sent: Time,
    pub(crate) keys: Vec<Arc<str>>,
}

/// Rows that wait for a transaction, and the transactions in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct Batches {
    queue: VecDeque<Arc<str>>,
    in_flight: BTreeMap<BatchId, InFlight>,
    sent: u64,
    /// Time from which the next transaction may be sent.
    next: Time,
}

impl Batches {
    pub(crate) fn push(&mut self, key: Arc<str>) {
        self.queue.push_back(key);
    }

    /// Puts the rows of a transaction that had no effect at the front, since they have waited
    /// longest.
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
        self.queue.is_empty() && self.in_flight.is_empty()
    }

    /// Returns when the next transaction may be sent, or `None` if there is nothing to send or
    /// `max_in_flight` transactions are in flight.
    pub(crate) fn due(&self, max_in_flight: usize) -> Option<Time> {
        (!self.queue.is_empty() && self.in_flight.len() < max_in_flight).then_some(self.next)
    }

    /// Takes up to `rows` rows for a transaction that is sent now. The next one may be sent at
    /// `next`.
    pub(crate) fn take(&mut self, now: Time, rows: usize, next: Time) -> (BatchId, Vec<Arc<str>>) {
        let keys: Vec<_> = self.queue.drain(..rows.min(self.queue.len())).collect();
        let batch = BatchId(self.sent);
        self.sent += 1;
        self.next = next;
        self.in_flight.insert(batch, InFlight { sent: now, keys: keys.clone() });
        (batch, keys)
    }

    pub(crate) fn complete(&mut self, batch: BatchId) -> Option<InFlight> {
        self.in_flight.remove(&batch)
    }
}
