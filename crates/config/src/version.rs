//! Total order of configuration versions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version of the configuration, ordered by epoch and then by sequence number.
///
/// The epoch is raised only after the platform's table was restored from a backup, so that versions
/// stay ordered even when the restored table reuses sequence numbers.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Epoch of the table.
    pub epoch: u32,
    /// Number of the change within the epoch.
    pub seq: u64,
}

impl Version {
    /// The version before the first change.
    pub const ZERO: Version = Version { epoch: 0, seq: 0 };

    /// Returns the version that the next change gets.
    pub const fn next(self) -> Version {
        Version { epoch: self.epoch, seq: self.seq + 1 }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.seq)
    }
}
