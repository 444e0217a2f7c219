//! Reads of the platform: the head row, deltas and snapshots.

use std::time::Duration;

use rand::Rng;
use shallottack_config::Version;
use shallottack_kernel::Time;

use crate::{
    Action, Settings,
    settings::{backoff, jitter},
};

/// Snapshots that the platform retains.
const RETAINED_SNAPSHOTS: u8 = 4;
/// Changes between two snapshots. From further behind, a snapshot is fetched first.
const SNAPSHOT_EVERY: u64 = 64;

/// A fetch under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Fetch {
    Deltas,
    Snapshot { skip: u8 },
}

/// State of the platform reads.
#[derive(Debug, Clone)]
pub(crate) struct Reader {
    /// When to read the head row next.
    pub(crate) head_at: Time,
    /// A read of the head row is under way; `head_at` is when it counts as failed.
    pub(crate) head_pending: bool,
    /// Highest version read from the head row.
    pub(crate) head: Version,
    /// The fetch under way and when it counts as failed.
    pub(crate) fetch: Option<(Fetch, Time)>,
    /// Failures since the last success.
    pub(crate) failures: u32,
    /// No snapshot could be used, so that deltas are tried first.
    pub(crate) no_snapshot: bool,
}

impl Reader {
    pub(crate) fn new(head_at: Time) -> Reader {
        let head = Version::ZERO;
        Reader { head_at, head_pending: false, head, fetch: None, failures: 0, no_snapshot: false }
    }

    /// Returns the time to wait after a failed read: half of the bound for certain, the other half
    /// random.
    pub(crate) fn back_off(&mut self, rng: &mut dyn Rng, settings: &Settings) -> Duration {
        let bound = backoff(settings.platform_base, settings.platform_cap, self.failures);
        self.failures = self.failures.saturating_add(1);
        bound / 2 + jitter(rng, bound / 2)
    }

    /// Puts off the next read of the head row after a failed read or fetch.
    pub(crate) fn failed(&mut self, now: Time, rng: &mut dyn Rng, settings: &Settings) {
        self.fetch = None;
        self.head_pending = false;
        self.head_at = now + self.back_off(rng, settings);
    }

    /// Starts to fetch what lies between `held` and the head, unless a fetch is under way.
    pub(crate) fn start(
        &mut self,
        now: Time,
        settings: &Settings,
        held: Version,
    ) -> Option<Action> {
        if self.fetch.is_some_and(|(_, until)| now < until) || self.head <= held {
            return None;
        }
        let far = self.head.epoch != held.epoch || self.head.seq - held.seq > SNAPSHOT_EVERY;
        let fetch =
            if far && !self.no_snapshot { Fetch::Snapshot { skip: 0 } } else { Fetch::Deltas };
        Some(self.request(now, settings, fetch, held))
    }

    /// Returns the fetch under way and ends it.
    pub(crate) fn take(&mut self) -> Option<Fetch> {
        self.fetch.take().map(|(fetch, _)| fetch)
    }

    /// Fetches deltas after others were applied.
    pub(crate) fn next_deltas(
        &mut self,
        now: Time,
        settings: &Settings,
        held: Version,
    ) -> Option<Action> {
        (self.head > held).then(|| self.request(now, settings, Fetch::Deltas, held))
    }

    /// Tries the next older snapshot after one that could not be used.
    pub(crate) fn next_snapshot(
        &mut self,
        now: Time,
        settings: &Settings,
        held: Version,
        last: Fetch,
    ) -> Option<Action> {
        let skip = match last {
            Fetch::Deltas if self.no_snapshot => return None,
            Fetch::Deltas => 0,
            Fetch::Snapshot { skip } => skip + 1,
        };
        if skip >= RETAINED_SNAPSHOTS {
            self.no_snapshot = true;
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
