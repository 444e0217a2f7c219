//! Callers that were rejected and told when to come back.
//!
//! Answers load beyond the slots: without it, a caller who comes back as told competes with those
//! who come for the first time and is often rejected twice, after having waited. A caller who
//! returns too early gains nothing by it.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use shallottack_kernel::Time;
use smallvec::SmallVec;

/// Figures of the returns.
#[derive(Debug, Clone, Copy)]
pub struct RejectedCallersSettings {
    /// Callers that are remembered; a daemon rejects fewer in a second.
    pub capacity: usize,
    /// Part of the stated wait after which a caller counts as returning as told, since clocks and
    /// rounding differ.
    pub min_wait: f64,
    /// Longest time after the rejection in which a caller is remembered; longer than the longest
    /// wait that is stated, with time to connect.
    pub retention: Duration,
}

impl Default for RejectedCallersSettings {
    fn default() -> Self {
        RejectedCallersSettings {
            capacity: 2_048,
            min_wait: 0.9,
            retention: Duration::from_secs(3),
        }
    }
}

/// Identifies what a caller asked for, by a hash of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerKey(pub u64);

#[derive(Debug, Clone, Copy)]
struct Told {
    /// Time of the caller's first request.
    first: Time,
    /// Time from which the caller counts as returning as told.
    due: Time,
    /// Time of the rejection.
    at: Time,
}

/// Callers that were told to come back.
#[derive(Debug, Default)]
pub struct RejectedCallers {
    settings: RejectedCallersSettings,
    /// Rejections by what was asked for; equal requests of several callers share an entry.
    told: HashMap<CallerKey, SmallVec<[Told; 1]>>,
    /// Times of the rejections, the oldest first.
    order: VecDeque<(Time, CallerKey)>,
}

impl RejectedCallers {
    /// Creates an empty memory.
    pub fn new(settings: RejectedCallersSettings) -> RejectedCallers {
        RejectedCallers { settings, ..RejectedCallers::default() }
    }

    /// Notes that a caller, who asked first at `first`, was told to come back after `wait`.
    pub fn record_rejection(&mut self, now: Time, key: CallerKey, first: Time, wait: Duration) {
        self.forget(now);
        let due = now + wait.mul_f64(self.settings.min_wait);
        self.told.entry(key).or_default().push(Told { first, due, at: now });
        self.order.push_back((now, key));
    }

    /// Returns the time of the first request of a caller who comes back as told, and forgets it.
    pub fn take_return(&mut self, now: Time, key: CallerKey) -> Option<Time> {
        self.forget(now);
        let told = self.told.get_mut(&key)?;
        let place = told.iter().position(|it| it.due <= now)?;
        let first = told.remove(place).first;
        if told.is_empty() {
            self.told.remove(&key);
        }
        Some(first)
    }

    fn forget(&mut self, now: Time) {
        while let Some(&(at, key)) = self.order.front() {
            let old = now.since(at) > self.settings.retention;
            if !old && self.order.len() < self.settings.capacity {
                return;
            }
            self.order.pop_front();
            if let Some(told) = self.told.get_mut(&key) {
                told.retain(|it| it.at != at);
                if told.is_empty() {
                    self.told.remove(&key);
                }
            }
        }
    }
}
