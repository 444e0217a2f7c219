//! Removal of expired claim rows.

use shallottack_platform::Transaction;

use crate::{AttemptId, ClaimRow, State, StoredAnswer};

/// What removes expired rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sweep {
    /// Transactions to commit. One that conflicts is dropped: its rows were taken over, or are
    /// found again by the next sweep.
    pub transactions: Vec<Transaction>,
    /// Names of the objects to remove, once the transactions have committed.
    pub objects: Vec<(AttemptId, String)>,
}

/// Returns what removes the expired ones of `rows` (key, revision, value), in transactions of up
/// to `most` rows. Removal is conditional on the revision, since an expired row can be taken over
/// by a new claim at any time.
pub fn sweep(rows: &[(String, u64, ClaimRow)], wall_ms: u64, most: usize) -> Sweep {
    let expired: Vec<_> = rows.iter().filter(|(_, _, row)| wall_ms >= row.expires_ms).collect();
    let transactions = expired.chunks(most.max(1)).map(|chunk| {
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
