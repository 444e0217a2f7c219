//! Log lines on what a daemon believes about its mesh.

use shallottack_distribution::{KnownSource, Peer};

/// What a daemon believes about its mesh.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Beliefs {
    /// The records of a seed have been received in full.
    pub(super) joined: bool,
    /// Source of the own data centre.
    pub(super) source: Option<KnownSource>,
    /// This daemon holds the source lease.
    pub(super) leads: bool,
}

impl Beliefs {
    /// Logs one line for each belief that differs from `before`.
    pub(super) fn log_changes(&self, before: &Beliefs, me: &Peer) {
        let (endpoint, data_centre) = (me.endpoint.as_str(), me.data_centre.as_str());
        if self.joined != before.joined {
            log::info!(endpoint, data_centre, joined = self.joined; "membership");
        }
        if self.source != before.source {
            let source = self.source.as_ref().map(|it| it.holder.as_str());
            let epoch = self.source.as_ref().map(|it| it.epoch);
            log::info!(endpoint, data_centre, source, epoch; "source of the data centre");
        }
        if self.leads != before.leads {
            log::info!(endpoint, data_centre, held = self.leads; "source lease");
        }
    }
}
