//! Rate limit that a backend server states in its responses, and the pace that keeps to it.
//!
//! Only the daemon beside a backend server sends requests to it, so that this daemon alone keeps
//! the limit for the fleet. The other daemons know the limit from its load reports. They state it
//! with each request, for a daemon that has started again and has not seen any response yet.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_kernel::Time;

use crate::cold::ColdPacer;

/// Lowest rate at which requests are sent, in requests per second. Only a response shows that the
/// limit has ended, also that of a backend server that takes no requests.
const MIN_RATE: f64 = 0.5;
/// Time for which unused starts are kept, so that requests that arrive together need not wait.
const BURST: Duration = Duration::from_millis(500);

/// Number of requests per second that a backend server takes from all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit {
    /// Mean time between two requests in microseconds.
    interval_us: u32,
}

impl RateLimit {
    /// Creates a limit of `rate` requests per second; `None` if this is negative or not a number.
    pub fn per_second(rate: f64) -> Option<RateLimit> {
        let interval_us = (1_000_000.0 / rate.max(MIN_RATE)).ceil() as u32;
        (rate >= 0.0).then_some(RateLimit { interval_us })
    }

    /// Returns the mean time between two requests.
    pub fn interval(self) -> Duration {
        Duration::from_micros(u64::from(self.interval_us))
    }

    /// Returns the number of requests per second.
    pub fn rate(self) -> f64 {
        1.0 / self.interval().as_secs_f64()
    }
}

/// What a daemon knows of the rate at which a backend server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Pace {
    /// The backend server has not responded to this daemon yet.
    #[default]
    Unknown,
    /// It states no limit.
    Unlimited,
    /// It states a limit.
    Limited {
        /// The limit.
        limit: RateLimit,
        /// Time until a request that arrives now can start, in milliseconds.
        wait_ms: u32,
    },
}

impl Pace {
    /// Returns the limit, if one is known.
    pub fn limit(self) -> Option<RateLimit> {
        match self {
            Pace::Limited { limit, .. } => Some(limit),
            Pace::Unknown | Pace::Unlimited => None,
        }
    }
}

/// Where the limit in force comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// Nothing is known.
    Nobody,
    /// Another daemon, which received it in an earlier response of the backend server.
    OtherDaemon,
    /// The backend server's last response to this daemon.
    Response,
}

/// Spaces the starts of requests at one backend server according to its rate limit.
#[derive(Debug)]
pub(crate) struct Pacer {
    limit: Option<RateLimit>,
    source: Source,
    /// Earliest start of the next request.
    next: Time,
    /// Pace while the backend server may be cold.
    pub(crate) cold: ColdPacer,
}

impl Pacer {
    /// Creates a pacer that knows nothing of the backend server.
    pub(crate) fn new() -> Pacer {
        let (limit, source) = (None, Source::Nobody);
        Pacer { limit, source, next: Time::default(), cold: ColdPacer::default() }
    }

    /// Forgets what the responses and heartbeats of an incarnation of the backend server stated.
    pub(crate) fn reset(&mut self) {
        (self.limit, self.source, self.next) = (None, Source::Nobody, Time::default());
        self.cold.reset();
    }

    /// Sets the limit that the backend server states in a response. Returns whether it changed.
    pub(crate) fn set(&mut self, now: Time, limit: Option<RateLimit>) -> bool {
        self.source = Source::Response;
        let changed = self.limit != limit;
        self.replace(now, limit);
        changed
    }

    /// Sets the limit that another daemon knows, unless the backend server has responded to this
    /// one. Of several, the lowest one holds.
    pub(crate) fn assume(&mut self, now: Time, limit: RateLimit) {
        let lower = self.limit.is_none_or(|it| it.interval() < limit.interval());
        if self.source != Source::Response && lower {
            self.source = Source::OtherDaemon;
            self.replace(now, Some(limit));
        }
    }

    /// The starts before a limit are not counted, so that it begins without any unused ones.
    fn replace(&mut self, now: Time, limit: Option<RateLimit>) {
        if self.limit.is_none() {
            self.next = now;
        }
        self.limit = limit;
    }

    /// Returns the limit that the backend server states.
    pub(crate) fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Returns the limit in force: the lower one of the stated limit and the rate while the backend
    /// server may be cold.
    pub(crate) fn limit_in_force(&self, now: Time) -> Option<RateLimit> {
        self.limit.into_iter().chain(self.cold.limit(now)).max_by_key(|it| it.interval())
    }

    /// Returns whether a request may start now.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        self.wait(now, 0).is_zero()
    }

    /// Records that a request starts.
    pub(crate) fn record_start(&mut self, now: Time) {
        self.cold.record_start(now);
        let Some(limit) = self.limit else { return };
        // Starts that were not used within the burst time are lost.
        let unused = Time(now.0.saturating_sub(BURST.as_micros() as u64));
        self.next = self.next.max(unused) + limit.interval();
    }

    /// Returns the time until a request can start that has `ahead` others before it.
    pub(crate) fn wait(&self, now: Time, ahead: usize) -> Duration {
        self.stated_wait(now, ahead).max(self.cold.wait(now, ahead))
    }

    fn stated_wait(&self, now: Time, ahead: usize) -> Duration {
        let Some(limit) = self.limit else { return Duration::ZERO };
        let unused = Time(now.0.saturating_sub(BURST.as_micros() as u64));
        let ahead = limit.interval().saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX));
        (self.next.max(unused) + ahead).since(now)
    }

    /// Returns what to report to other daemons, with `queued` requests that wait.
    pub(crate) fn pace(&self, now: Time, queued: usize) -> Pace {
        match (self.limit_in_force(now), self.source) {
            (None, Source::Response) => Pace::Unlimited,
            (None, _) => Pace::Unknown,
            (Some(limit), _) => {
                let wait_ms = u32::try_from(self.wait(now, queued).as_millis());
                Pace::Limited { limit, wait_ms: wait_ms.unwrap_or(u32::MAX) }
            }
        }
    }
}
