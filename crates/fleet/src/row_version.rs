//! Versions of rows in the platform's store.

use serde::{Deserialize, Serialize};

/// Version of a row, or of the whole store.
///
/// Within an era, a later change has a higher number. The store begins a new era when it is restored
/// from an older copy; it then gives out the numbers of the changes that it lost again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RowVersion {
    /// Number of the era.
    pub era: u64,
    /// Number within the era; 0 for a row that does not exist.
    pub number: u64,
}

impl RowVersion {
    /// Creates a version.
    pub const fn new(era: u64, number: u64) -> RowVersion {
        RowVersion { era, number }
    }
}
