//! Transactional table of the platform.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// A row of the table.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Revision, which rises with every write of the row.
    pub revision: u64,
    /// Value of the row.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}

/// Condition on a row's revision that must hold for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; `None` if the row must be absent.
    pub revision: Option<u64>,
}

/// Write or removal of one row.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value; `None` removes the row.
    #[serde_as(as = "Option<Base64>")]
    pub value: Option<Vec<u8>>,
}

/// Writes that take effect together if all conditions hold, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions on rows.
    pub conditions: Vec<Condition>,
    /// Writes of rows.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that the row has `revision`, or is absent if it is `None`.
    #[must_use]
    pub fn when(mut self, key: impl Into<String>, revision: Option<u64>) -> Transaction {
        self.conditions.push(Condition { key: key.into(), revision });
        self
    }

    /// Adds a write of `value` to a row.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: Vec<u8>) -> Transaction {
        self.writes.push(Write { key: key.into(), value: Some(value) });
        self
    }

    /// Adds the removal of a row.
    #[must_use]
    pub fn remove(mut self, key: impl Into<String>) -> Transaction {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// Error of a table read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("platform read failed: {0}")]
pub struct ReadError(pub String);

/// Error of a transaction; tells whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// A condition did not hold; nothing was written.
    #[error("row `{key}` was changed by another writer")]
    Conflict {
        /// Key of the row whose condition did not hold.
        key: String,
    },
    /// The platform was not reached or refused the transaction; nothing was written.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The outcome was not reported; the transaction may have taken effect.
    #[error("outcome of the write unknown: {0}")]
    Unknown(String),
}

/// Client of the platform's transactional table.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the platform does not answer or reports an error.
    async fn read(&self, key: &str) -> Result<Option<Row>, ReadError>;

    /// Reads up to `limit` rows in key order whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the platform does not answer or reports an error.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, ReadError>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`CommitError`], which tells whether the transaction may have taken effect.
    async fn commit(&self, transaction: Transaction) -> Result<(), CommitError>;
}
