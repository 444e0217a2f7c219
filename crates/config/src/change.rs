//! Changes submitted by operators, and the deltas that result from them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Rejection, Resource, ResourceKey, Version};

/// Identifier of one submitted change, chosen by the client.
///
/// A retry with the same id is recognised as the same change when the first answer was lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub std::sync::Arc<str>);

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Change submitted by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifier of the write.
    pub id: WriteId,
    /// Version on which the change is based.
    pub base: Version,
    /// Resources to add or replace.
    #[serde(default)]
    pub upserts: Vec<Resource>,
    /// Resources to remove.
    #[serde(default)]
    pub removes: Vec<ResourceKey>,
}

impl Change {
    /// Returns the keys that the change touches, sorted and without duplicates.
    pub fn touched(&self) -> Vec<ResourceKey> {
        let mut keys: Vec<_> =
            self.upserts.iter().map(Resource::key).chain(self.removes.iter().cloned()).collect();
        keys.sort();
        keys.dedup();
        keys
    }
}

/// Difference between two versions of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version to which the delta applies.
    pub from: Version,
    /// Version that results.
    pub to: Version,
    /// Resources added or replaced.
    pub upserts: Vec<Resource>,
    /// Resources removed.
    pub removes: Vec<ResourceKey>,
}

/// Error returned when a delta cannot be applied.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// The delta does not start at the version in force.
    #[error("delta starts at {from}, version in force is {in_force}")]
    Gap {
        /// Version at which the delta starts.
        from: Version,
        /// Version in force.
        in_force: Version,
    },
    /// The result would be invalid.
    #[error(transparent)]
    Rejected(#[from] Rejection),
}
