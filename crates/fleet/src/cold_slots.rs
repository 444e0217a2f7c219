//! Slots of a backend server that may be cold, and the slot of a health check.

use std::time::Duration;

use shallottack_kernel::Time;
use smallvec::SmallVec;

use crate::{ColdRate, ColdSign, RateLimit, Slots, Wake};

/// Slot that a health check takes like a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum CheckSlot {
    /// No health check is in progress.
    #[default]
    Unused,
    /// A health check waits for the next free slot, before all requests.
    Wanted,
    /// A health check is in progress.
    Taken,
}

/// Decision on a health check that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckStart {
    /// It takes a slot and starts now.
    Run,
    /// No slot is free yet, or the rate does not allow it.
    Wait,
}

impl Slots {
    /// Sets the rate at which the backend server takes requests while it is cold; `None` if its
    /// service has none.
    pub fn set_cold_rate(&mut self, now: Time, rate: Option<ColdRate>) -> SmallVec<[Wake; 4]> {
        if self.pacer.cold.set_rate(rate) { self.dispatch(now) } else { SmallVec::new() }
    }

    /// Returns whether the backend server takes requests at another rate while it is cold.
    pub fn has_cold_rate(&self) -> bool {
        self.pacer.cold.has_rate()
    }

    /// Returns the rate in force since the backend server may be cold.
    pub fn cold_limit(&self, now: Time) -> Option<RateLimit> {
        self.pacer.cold.limit(now)
    }

    /// Records how long the backend server stays cold, as its heartbeat stated.
    ///
    /// `same` states whether the heartbeat is of the incarnation that was known before.
    pub fn record_warmup(&mut self, now: Time, left: Duration, same: bool) -> SmallVec<[Wake; 4]> {
        let changed = self.pacer.cold.record_heartbeat(now, left, same);
        if changed { self.dispatch(now) } else { SmallVec::new() }
    }

    /// Records a sign that the backend server may have become cold. The rate is then in force until
    /// a heartbeat or a health check tells how long it stays cold.
    pub fn suspect_cold(&mut self, now: Time, sign: ColdSign) {
        self.pacer.cold.suspect(now, sign);
    }

    /// Returns whether to ask the backend server now how long it stays cold, and begins the health
    /// check if so. It is due after a sign that may be false, and when run times rise.
    pub fn begin_check(&mut self, now: Time) -> bool {
        let due = self.check == CheckSlot::Unused && self.pacer.cold.begin_check(now);
        if due {
            self.check = CheckSlot::Wanted;
        }
        due
    }

    /// Takes a slot for the health check that was begun.
    pub fn start_check(&mut self, now: Time) -> CheckStart {
        let free = self.running() < self.limit();
        if self.check != CheckSlot::Wanted || !free || !self.pacer.may_start(now) {
            return CheckStart::Wait;
        }
        self.check = CheckSlot::Taken;
        self.pacer.record_start(now);
        CheckStart::Run
    }

    /// Ends the health check that was due at `asked`. `left` is how long the backend server stays
    /// cold, `None` if it did not state this.
    pub fn finish_check(
        &mut self,
        asked: Time,
        now: Time,
        left: Option<Duration>,
    ) -> SmallVec<[Wake; 4]> {
        self.check = CheckSlot::Unused;
        if let Some(left) = left {
            self.pacer.cold.record_check(asked, now, left);
        }
        self.dispatch(now)
    }

    /// Returns the number of slots that are kept for the health check.
    pub(crate) fn check_slots(&self) -> u32 {
        u32::from(self.check != CheckSlot::Unused)
    }
}
