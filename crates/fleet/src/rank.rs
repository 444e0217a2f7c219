//! Rank of a request among those that compete for the same room.

use serde::{Deserialize, Serialize};

/// Number of distinct priorities of organisations and of routes; less urgent ones share the last.
const PRIORITIES: u8 = 8;

/// Rank of a request; the least goes first.
///
/// The priority of the organisation goes before that of the route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    organisation: u8,
    route: u8,
}

impl Rank {
    /// Creates the rank of a request from the priorities of its organisation, if it has one, and of
    /// its route; 0 is the most urgent.
    pub fn new(organisation: Option<u8>, route: u8) -> Rank {
        let (organisation, route) = (organisation.unwrap_or(route), route);
        let last = PRIORITIES - 1;
        Rank { organisation: organisation.min(last), route: route.min(last) }
    }

    /// Returns the position of the rank in the order of all ranks, 0 for the most urgent.
    pub fn level(self) -> usize {
        usize::from(self.organisation) * usize::from(PRIORITIES) + usize::from(self.route)
    }
}
