//! Version floor: the lowest version that a restarted daemon may put in force, so that an endpoint
//! never returns to an older version.

use std::collections::BTreeMap;

use shallottack_config::Version;
use shallottack_kernel::{EndpointId, Time};

use crate::{SenderState, Settings};

/// The version floor and the state of the peer queries that determine it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Floor {
    /// The floor, once known.
    pub(crate) known: Option<Version>,
    /// Time of the first failed read of the head row.
    pub(crate) unavailable_since: Option<Time>,
    /// Time of the next round of peer queries.
    pub(crate) query_at: Time,
    /// Peers that answered, and whether each had a version in force.
    pub(crate) answers: BTreeMap<EndpointId, bool>,
    /// Highest version in the answers.
    pub(crate) highest: Version,
}

impl Floor {
    /// Starts querying peers because the platform does not answer.
    pub(crate) fn head_read_failed(&mut self, now: Time) {
        if self.known.is_none() && self.unavailable_since.is_none() {
            self.unavailable_since = Some(now);
            self.query_at = now;
        }
    }

    /// Records a peer's answer.
    pub(crate) fn add_answer(
        &mut self,
        from: EndpointId,
        sender: &SenderState,
        yours: Option<Version>,
    ) {
        self.highest = self.highest.max(sender.version).max(yours.unwrap_or_default());
        self.answers.insert(from, sender.in_force);
    }

    /// Sets the floor once there are enough answers.
    ///
    /// At least one answer must come from a peer with a version in force. Answers of other peers
    /// count towards the required number only after `floor_wait`.
    pub(crate) fn determine(&mut self, now: Time, peers: usize, settings: &Settings) {
        let (None, Some(since)) = (self.known, self.unavailable_since) else { return };
        let needed = settings.floor_peers.min(peers);
        let in_force = self.answers.values().filter(|it| **it).count();
        let waited = now - since >= settings.floor_wait;
        let enough = in_force >= needed || (waited && self.answers.len() >= needed);
        if in_force > 0 && enough {
            self.known = Some(self.highest);
        }
    }

    /// Returns whether `version` may be put in force.
    pub(crate) fn allows(&self, version: Version) -> bool {
        self.known.is_some_and(|floor| version >= floor)
    }
}
