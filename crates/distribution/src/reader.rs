//! Scheduling of platform reads: the head row, deltas and snapshots.

use std::time::Duration;

use rand::Rng;
use shallottack_config::Version;
use shallottack_kernel::Time;

use crate::{
    Action, Settings,
    settings::{backoff, jitter},
};

/// Number of snapshots that the platform retains.
const RETAINED_SNAPSHOTS: u8 = 4;
/// Number of versions between two snapshots. A daemon that is further behind fetches a snapshot
/// first.
const VERSIONS_PER_SNAPSHOT: u64 = 64;

/// A fetch in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Fetch {
    Deltas,
    Snapshot { skip: u8 },
}

/// State of the platform reads.
#[derive(Debug, Clone)]
pub(crate) struct Reader {
    /// Time of the next read of the head row.
    pub(crate) head_at: Time,
    /// Whether a read of the head row is in progress; it then times out at `head_at`.
    pub(crate) head_pending: bool,
    /// Highest version read from the head row.
    pub(crate) head: Version,
    /// The fetch in progress and the time at which it times out.
    pub(crate) fetch: Option<(Fetch, Time)>,
    /// Consecutive failed requests, which determine the backoff.
    pub(crate) failures: u32,
    /// Whether no retained snapshot was usable, in which case deltas are fetched first.
    pub(crate) snapshots_unusable: bool,
}

impl Reader {
    pub(crate) fn new(head_at: Time) -> Reader {
        let head = Version::ZERO;
        Reader {
            head_at,
            head_pending: false,
            head,
            fetch: None,
            failures: 0,
            snapshots_unusable: false,
        }
    }

    /// Returns the delay after a failed request, drawn from half to all of the exponential backoff.
    pub(crate) fn back_off(&mut self, rng: &mut dyn Rng, settings: &Settings) -> Duration {
        let bound = backoff(settings.platform_base, settings.platform_cap, self.failures);
        self.failures = self.failures.saturating_add(1);
        bound / 2 + jitter(rng, bound / 2)
    }

    /// Delays the next read of the head row after a failed read or fetch.
    pub(crate) fn postpone(&mut self, now: Time, rng: &mut dyn Rng, settings: &Settings) {
        self.fetch = None;
        self.head_pending = false;
        self.head_at = now + self.back_off(rng, settings);
    }

    /// Starts fetching the versions between `held` and the head, unless a fetch is in progress.
    pub(crate) fn start_fetch(
        &mut self,
        now: Time,
        settings: &Settings,
        held: Version,
    ) -> Option<Action> {
        if self.fetch.is_some_and(|(_, until)| now < until) || self.head <= held {
            return None;
        }
        let far_behind =
            self.head.epoch != held.epoch || self.head.seq - held.seq > VERSIONS_PER_SNAPSHOT;
        let fetch = if far_behind && !self.snapshots_unusable {
            Fetch::Snapshot { skip: 0 }
        } else {
            Fetch::Deltas
        };
        Some(self.request(now, settings, fetch, held))
    }

    /// Clears and returns the fetch in progress.
    pub(crate) fn finish_fetch(&mut self) -> Option<Fetch> {
        self.fetch.take().map(|(fetch, _)| fetch)
    }

    /// Fetches the deltas up to the head after a fetch that made progress.
    pub(crate) fn next_deltas(
        &mut self,
        now: Time,
        settings: &Settings,
        held: Version,
    ) -> Option<Action> {
        (self.head > held).then(|| self.request(now, settings, Fetch::Deltas, held))
    }

    /// Tries the next older snapshot after a fetch that was unusable; returns `None` if there is
    /// none left.
    pub(crate) fn next_snapshot(
        &mut self,
        now: Time,
        settings: &Settings,
        held: Version,
        failed: Fetch,
    ) -> Option<Action> {
        let skip = match failed {
            Fetch::Deltas if self.snapshots_unusable => return None,
            Fetch::Deltas => 0,
            Fetch::Snapshot { skip } => skip + 1,
        };
        if skip >= RETAINED_SNAPSHOTS {
            self.snapshots_unusable = true;
            return None;
        }
        Some(self.request(now, settings, Fetch::Snapshot { skip }, held))
    }

    fn request(&mut self, now: Time, settings: &Settings, fetch: Fetch, held: Version) -> Action {
        self.fetch = Some((fetch, now + settings.platform_timeout));
        match fetch {
            Fetch::Deltas => Action::FetchDeltas { from: held },
            Fetch::Snapshot { skip } => Action::FetchSnapshot { skip },
        }
    }
}
