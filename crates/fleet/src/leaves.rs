//! Leaves of the backend server on the same VM that its daemon acknowledged or was told of.

use std::time::Duration;

use shallottack_kernel::{EndpointId, Time};
use smallvec::SmallVec;

use crate::{LeaveNotice, Server};

/// Time for which a leave is kept, well above the time that a leaving backend server runs on.
pub(crate) const RETENTION: Duration = Duration::from_secs(3_600);
/// Most leaves that are kept for one VM, so that its description stays short.
pub(crate) const MAX_LEAVES: usize = 16;

/// What the leaves tell of an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// No leave is about it.
    Free,
    /// It may be the one that left: the notice named no start, or a later one.
    Doubtful,
    /// It has left.
    Left,
}

/// Leaves of incarnations other than the current one.
#[derive(Debug, Default)]
pub(crate) struct Leaves {
    entries: SmallVec<[Entry; 1]>,
    /// Number of changes.
    revision: u64,
}

#[derive(Debug)]
struct Entry {
    notice: LeaveNotice,
    since: Time,
    /// Start of the first incarnation seen after a notice without a start.
    assumed: Option<u64>,
    /// Whether an incarnation that was in doubt went on running.
    refuted: bool,
    /// Whether another incarnation has run on the VM since.
    ended: bool,
}

impl Leaves {
    /// Records a leave. Returns whether it is kept; there may be no room for it.
    pub(crate) fn record(&mut self, now: Time, notice: LeaveNotice) -> bool {
        self.contains(&notice) || self.push(now, notice, false)
    }

    /// Records the leave of an incarnation that another one has replaced, if there is room for it.
    pub(crate) fn record_ended(&mut self, now: Time, notice: LeaveNotice) {
        match self.entries.iter_mut().find(|it| it.notice == notice) {
            Some(entry) => entry.ended = true,
            None => {
                self.push(now, notice, true);
            }
        }
    }

    /// Adds a leave, in place of the oldest one that is no longer needed if there are many.
    fn push(&mut self, now: Time, notice: LeaveNotice, ended: bool) -> bool {
        self.entries.retain(|it| now.since(it.since) < RETENTION);
        if self.entries.len() == MAX_LEAVES {
            let needless = self.entries.iter().position(|it| it.ended || it.refuted);
            let Some(needless) = needless else { return false };
            self.entries.remove(needless);
        }
        self.entries.push(Entry { notice, since: now, assumed: None, refuted: false, ended });
        self.revision += 1;
        true
    }

    /// Returns whether a leave is recorded.
    pub(crate) fn contains(&self, notice: &LeaveNotice) -> bool {
        self.entries.iter().any(|it| it.notice == *notice)
    }

    /// Returns what the leaves tell of an incarnation that has sent a heartbeat.
    pub(crate) fn standing(&mut self, server: &Server) -> Standing {
        let started = server.started_ms;
        let mut standing = Standing::Free;
        for entry in self.entries.iter_mut().filter(|it| it.notice.id == server.id) {
            if entry.notice.started_ms == Some(started) {
                return Standing::Left;
            }
            let last = entry.notice.started_ms;
            let last = last.unwrap_or_else(|| *entry.assumed.get_or_insert(started));
            if started <= last && !entry.refuted {
                standing = Standing::Doubtful;
            }
        }
        standing
    }

    /// Records that an incarnation that was in doubt goes on running.
    pub(crate) fn refute(&mut self, id: &EndpointId) {
        for entry in self.entries.iter_mut().filter(|it| it.notice.id == *id) {
            entry.refuted = true;
        }
    }

    /// Returns the leaves that other daemons have to hold.
    pub(crate) fn notices(&self) -> impl Iterator<Item = &LeaveNotice> {
        self.entries.iter().map(|it| &it.notice)
    }

    /// Returns a number that rises with each recorded leave.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }
}
