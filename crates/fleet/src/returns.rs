//! Callers that were rejected and told when to retry.
//!
//! Under overload, a caller that retries after the stated wait would compete with new requests and
//! would often be rejected again. It is preferred instead. A caller that retries too early gains
//! nothing.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use shallottack_kernel::Time;
use smallvec::SmallVec;

use crate::RequestKey;

/// Settings of [`RejectedCallers`].
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RejectedCallersSettings {
    /// Maximum number of rejections remembered; a daemon rejects fewer callers in a second.
    pub capacity: usize,
    /// Share of the stated wait after which a retry counts as on time, since clocks and rounding
    /// differ.
    pub min_wait: f64,
    /// Time for which a rejection is remembered; longer than the longest stated wait plus the time
    /// to connect.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
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

#[derive(Debug, Clone, Copy)]
struct Rejection {
    /// Time of the caller's first request.
    first: Time,
    /// Time from which a retry counts as on time.
    due: Time,
    /// Time of the rejection.
    at: Time,
}

/// Callers that were rejected recently and told when to retry.
#[derive(Debug, Default)]
pub struct RejectedCallers {
    settings: RejectedCallersSettings,
    /// Rejections by request; callers with equal requests share an entry.
    rejections: HashMap<RequestKey, SmallVec<[Rejection; 1]>>,
    /// Times of the rejections, oldest first.
    order: VecDeque<(Time, RequestKey)>,
}

impl RejectedCallers {
    /// Creates an empty record.
    pub fn new(settings: RejectedCallersSettings) -> RejectedCallers {
        RejectedCallers { settings, ..RejectedCallers::default() }
    }

    /// Records that a caller whose first request came at `first` was told to retry after `wait`.
    pub fn record_rejection(&mut self, now: Time, key: RequestKey, first: Time, wait: Duration) {
        self.expire(now);
        let due = now + wait.mul_f64(self.settings.min_wait);
        self.rejections.entry(key).or_default().push(Rejection { first, due, at: now });
        self.order.push_back((now, key));
    }

    /// Returns the time of the first request of a caller that retries on time, and removes the
    /// rejection. Returns `None` for any other caller.
    pub fn take_return(&mut self, now: Time, key: RequestKey) -> Option<Time> {
        self.expire(now);
        let rejections = self.rejections.get_mut(&key)?;
        let position = rejections.iter().position(|it| it.due <= now)?;
        let first = rejections.remove(position).first;
        if rejections.is_empty() {
            self.rejections.remove(&key);
        }
        Some(first)
    }

    fn expire(&mut self, now: Time) {
        while let Some(&(at, key)) = self.order.front() {
            let expired = now.since(at) > self.settings.retention;
            if !expired && self.order.len() < self.settings.capacity {
                return;
            }
            self.order.pop_front();
            if let Some(rejections) = self.rejections.get_mut(&key) {
                rejections.retain(|it| it.at != at);
                if rejections.is_empty() {
                    self.rejections.remove(&key);
                }
            }
        }
    }
}
