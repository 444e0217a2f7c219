//! Removal of expired claim rows.

use shallottack_platform::Transaction;

use crate::{AttemptId, ClaimRow, State, StoredAnswer};

/// Transactions and objects that remove expired rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sweep {
    /// Transactions to commit. A transaction that conflicts can be dropped: its rows were taken
    /// over by a new claim, or are found again by the next sweep.
    pub transactions: Vec<Transaction>,
    /// Attempts and names of the objects to remove after the transactions have been committed.
    pub objects: Vec<(AttemptId, String)>,
}

/// Returns the removal of the expired rows among `rows` (key, revision, value), in transactions of
/// up to `max_rows` rows. `unix_ms` is the current Unix time in milliseconds.
///
/// Removal is conditional on the revision, since an expired row can be taken over by a new claim at
/// any time.
pub fn sweep(rows: &[(String, u64, ClaimRow)], unix_ms: u64, max_rows: usize) -> Sweep {
    let expired: Vec<_> = rows.iter().filter(|(_, _, row)| unix_ms >= row.expires_ms).collect();
    let transactions = expired.chunks(max_rows.max(1)).map(|chunk| {
        chunk.iter().fold(Transaction::default(), |transaction, (key, revision, _)| {
            transaction.when(key.as_str(), Some(*revision)).remove(key.as_str())
        })
    });
    let objects = expired.iter().filter_map(|(_, _, row)| match &row.state {
        State::Done(StoredAnswer::Object(name)) => Some((row.attempt, name.clone())),
        _ => None,
    });
    Sweep { transactions: transactions.collect(), objects: objects.collect() }
}
