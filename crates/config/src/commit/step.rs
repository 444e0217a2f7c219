//! Steps requested by a commit, and their outcomes.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::Failure;

use super::{ChangeRow, HeadRead, WriteRow};
use crate::{Catalog, Version};

/// Condition on a row that must hold for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; `None` when the row must be absent.
    pub revision: Option<u64>,
}

/// Write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: Vec<u8>,
}

/// Table transaction: all writes take effect if all conditions hold, otherwise none does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions on rows.
    pub conditions: Vec<Condition>,
    /// Writes of rows.
    pub writes: Vec<RowWrite>,
}

impl Transaction {
    pub(super) fn when(mut self, key: String, revision: Option<u64>) -> Transaction {
        self.conditions.push(Condition { key, revision });
        self
    }

    pub(super) fn put(mut self, key: String, value: Vec<u8>) -> Transaction {
        self.writes.push(RowWrite { key, value });
        self
    }
}

/// Result of an accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// Version with which the change was accepted, or would be for a dry run.
    pub version: Version,
    /// Whether the change was only checked and nothing was written.
    pub dry_run: bool,
}

/// Next step that the daemon carries out for a submitted change.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the head row; answer with [`Outcome::Head`].
    ReadHead,
    /// Read the row `config/write/<id>`; answer with [`Outcome::WriteRow`].
    ReadWriteRow {
        /// Key of the row.
        key: String,
    },
    /// Read the change rows after `from` up to and including `to`; answer with
    /// [`Outcome::Changes`] in the order of the keys.
    ReadChanges {
        /// Version after which to start.
        from: Version,
        /// Last version to read.
        to: Version,
    },
    /// Supply the catalog of this or a later version; answer with [`Outcome::Catalog`].
    LoadCatalog {
        /// Lowest acceptable version.
        at_least: Version,
    },
    /// Write an object; answer with [`Outcome::Stored`].
    PutObject {
        /// Name of the object.
        name: String,
        /// Body of the object, without the digest that the platform's client adds.
        body: Vec<u8>,
    },
    /// Commit a transaction; answer with [`Outcome::Committed`], [`Outcome::Conflict`],
    /// [`Outcome::Unavailable`] or [`Outcome::Unknown`].
    Transact(Transaction),
    /// Wait, then answer with [`Outcome::Waited`].
    Wait(Duration),
    /// The change was accepted; the commit has ended.
    Done(Accepted),
    /// The change was not accepted, or its outcome is unknown; the commit has ended. The kind of
    /// the failure distinguishes the two.
    Failed(Failure),
}

/// Outcome of a step. Any step may end with [`Outcome::Unavailable`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The head row, or `None` when the table has none.
    Head(Option<HeadRead>),
    /// The write row, or `None` when it is absent.
    WriteRow(Option<WriteRow>),
    /// Change rows in the order of their keys.
    Changes(Vec<ChangeRow>),
    /// A catalog.
    Catalog(Arc<Catalog>),
    /// The object was written.
    Stored,
    /// The transaction took effect.
    Committed,
    /// A condition of the transaction did not hold; nothing was written.
    Conflict {
        /// Key of the row whose condition did not hold.
        key: String,
    },
    /// The platform did not carry out the step; a transaction was certainly not applied.
    Unavailable(String),
    /// The transaction was not answered; it may have taken effect or may still do so.
    Unknown(String),
    /// The wait is over.
    Waited,
}
