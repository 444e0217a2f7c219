//! The version floor of a daemon that starts empty.

use std::collections::BTreeMap;

use shallottack_config::Version;
use shallottack_kernel::{EndpointId, Time};

use crate::{SenderState, Settings};

/// The lowest version that may be put in force, and how it is found.
#[derive(Debug, Clone, Default)]
pub(crate) struct Floor {
    /// The floor, once known.
    pub(crate) known: Option<Version>,
    /// When the first read of the head row failed.
    pub(crate) down_since: Option<Time>,
    /// When to query peers next.
    pub(crate) query_at: Time,
    /// Peers that answered, and whether they had a version in force.
    pub(crate) answers: BTreeMap<EndpointId, bool>,
    /// Highest version in the answers.
    pub(crate) best: Version,
}

impl Floor {
    /// Starts to query peers, since the table does not answer.
    pub(crate) fn table_failed(&mut self, now: Time) {
        if self.known.is_none() && self.down_since.is_none() {
            self.down_since = Some(now);
            self.query_at = now;
        }
    }

    /// Takes in a peer's answer.
    pub(crate) fn answered(
        &mut self,
        from: EndpointId,
        sender: &SenderState,
        yours: Option<Version>,
    ) {
        self.best = self.best.max(sender.version).max(yours.unwrap_or_default());
        self.answers.insert(from, sender.in_force);
    }

    /// Sets the floor from the answers when they suffice.
    ///
    /// Answers of peers that have nothing in force count only towards the number of peers asked,
    /// and only after a wait: a floor needs at least one peer in force.
    pub(crate) fn settle(&mut self, now: Time, peers: usize, settings: &Settings) {
        let (None, Some(since)) = (self.known, self.down_since) else { return };
        let needed = settings.floor_peers.min(peers);
        let in_force = self.answers.values().filter(|it| **it).count();
        let waited = now - since >= settings.floor_wait;
        let enough = in_force >= needed || (waited && self.answers.len() >= needed);
        if in_force > 0 && enough {
            self.known = Some(self.best);
        }
    }

    /// Returns whether `version` may be put in force.
    pub(crate) fn allows(&self, version: Version) -> bool {
        self.known.is_some_and(|floor| version >= floor)
    }
}
