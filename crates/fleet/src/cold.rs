//! Cold backend servers: whether the one on this VM is cold, and the rate that it then takes.
//!
//! Only the daemon beside a backend server sends requests to it, so that this daemon alone keeps
//! the rate for the fleet. Heartbeats state how long the backend server stays cold. Between two of
//! them it may start again or become cold, so that signs of this count until it states otherwise.

use std::{collections::VecDeque, time::Duration};

use serde::Serialize;
use shallottack_kernel::Time;

use crate::RateLimit;

/// Length of the sliding window over which starts are counted: one second, and the time by which
/// some requests may take longer than others from their start to the backend server.
const WINDOW: Duration = Duration::from_millis(1_100);
/// Time for which unused starts are kept, so that requests that arrive together need not wait.
const BURST: Duration = Duration::from_millis(500);
/// Time after a sign in which a heartbeat of the same incarnation may have been sent before it.
const HEARTBEAT_TRANSIT: Duration = Duration::from_millis(200);
/// Shortest interval between two health checks; heartbeats tell the same every 1.5 s.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest interval after a health check that found the backend server warm, since it costs a slot
/// and the sign may go on.
const WARM_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Mean ratio of the run times to the usual ones from which a health check is due. A cold backend
/// server takes twice the usual time, and the usual time adapts meanwhile.
const SLOW_RATIO: f64 = 1.4;
/// Largest ratio of one run, so that a single slow one is no sign.
const MAX_RATIO: f64 = 3.0;
/// Weight of one run in the mean ratio; the mean passes `SLOW_RATIO` about four runs after the
/// backend server became cold.
const RATIO_WEIGHT: f64 = 0.15;

/// Rate at which a cold backend server takes requests, and how closely it is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRate {
    limit: RateLimit,
    /// Maximum number of starts within the window.
    max_starts: usize,
}

impl ColdRate {
    /// Creates the rate for `rate` requests per second, of which at most `rate` x `overage` +
    /// `slack` may start in any second; `None` if the rate is negative or not a number.
    pub fn new(rate: f64, overage: f64, slack: f64) -> Option<ColdRate> {
        let limit = RateLimit::per_second(rate)?;
        // A backend server that gets no request at all can't show that it is warm.
        let max_starts = (rate * overage + slack).floor().max(1.0) as usize;
        Some(ColdRate { limit, max_starts })
    }
}

/// Sign that the backend server may have become cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ColdSign {
    /// It refused a connection.
    Refused,
    /// Its connections ended together.
    Closed,
    /// The evacuation of its data centre has ended.
    Returned,
}

/// Pace of a backend server that may be cold.
#[derive(Debug, Default)]
pub(crate) struct ColdPacer {
    rate: Option<ColdRate>,
    /// Time until which the backend server is cold, as it stated last.
    cold_until: Time,
    /// Last sign, until the backend server states whether it is cold.
    suspected: Option<(Time, ColdSign)>,
    /// Time until which connections that end are no sign, since such a sign has proved false.
    trusted_until: Time,
    /// Earliest start of the next request while it is cold.
    next: Time,
    /// Last starts, oldest first, as many as may start within the window.
    starts: VecDeque<Time>,
    /// Mean ratio of the run times to the usual ones; 0 before the first run.
    slow_ratio: f64,
    /// Whether a sign is to be followed by a health check.
    check_due: bool,
    /// Earliest time of the next health check.
    next_check: Time,
}

impl ColdPacer {
    /// Sets the rate, `None` if the service has none. Returns whether it changed.
    pub(crate) fn set_rate(&mut self, rate: Option<ColdRate>) -> bool {
        if rate.is_none() {
            self.starts.clear();
        }
        std::mem::replace(&mut self.rate, rate) != rate
    }

    /// Returns whether the service has a rate.
    pub(crate) fn has_rate(&self) -> bool {
        self.rate.is_some()
    }

    /// Forgets the incarnation of the backend server, but not the starts, since its successor under
    /// the same identifier may have received them.
    pub(crate) fn reset(&mut self) {
        (self.cold_until, self.suspected) = (Time::default(), None);
        (self.slow_ratio, self.check_due) = (0.0, false);
    }

    /// Returns the rate in force, `None` if the backend server is warm.
    pub(crate) fn limit(&self, now: Time) -> Option<RateLimit> {
        self.rate.filter(|_| self.is_cold(now)).map(|it| it.limit)
    }

    /// Records that the backend server stays cold for `left`, as its heartbeat stated.
    ///
    /// `same` states whether the heartbeat is of the incarnation that the last sign was about.
    /// Returns whether requests may start earlier than before.
    pub(crate) fn record_heartbeat(&mut self, now: Time, left: Duration, same: bool) -> bool {
        let earlier = |it: (Time, ColdSign)| now.since(it.0) < HEARTBEAT_TRANSIT;
        if same && left.is_zero() && self.suspected.is_some_and(earlier) {
            return false;
        }
        let before = self.limit(now);
        self.record_left(now, left);
        before.is_some()
    }

    /// Records that the backend server stays cold for `left`, as its response to a health check
    /// stated that was due at `asked`.
    pub(crate) fn record_check(&mut self, asked: Time, now: Time, left: Duration) {
        if left.is_zero() && self.suspected.is_some_and(|it| it.0 > asked) {
            return;
        }
        if left.is_zero() {
            self.next_check = now + WARM_CHECK_INTERVAL;
            if self.suspected.is_some_and(|it| it.1 == ColdSign::Closed) {
                self.trusted_until = self.next_check;
            }
        }
        self.record_left(now, left);
    }

    /// Records a sign that the backend server may have become cold.
    pub(crate) fn suspect(&mut self, now: Time, sign: ColdSign) {
        if self.rate.is_none() {
            return;
        }
        // A sign that has just proved false may go on, such as connections that end for another
        // reason.
        if sign == ColdSign::Closed && now < self.trusted_until {
            return;
        }
        self.become_cold(now);
        self.suspected = Some((now, sign));
        // After a refused connection a check would be refused as well, and the heartbeats of data
        // centres that return are not asked for by each daemon.
        self.check_due |= sign == ColdSign::Closed;
    }

    /// Records the run time of a request as a ratio to the usual one.
    pub(crate) fn record_run(&mut self, now: Time, ratio: f64) {
        if self.rate.is_none() || self.is_cold(now) {
            return;
        }
        let ratio = ratio.min(MAX_RATIO);
        let mean = if self.slow_ratio > 0.0 { self.slow_ratio } else { 1.0 };
        self.slow_ratio = mean + (ratio - mean) * RATIO_WEIGHT;
        self.check_due |= self.slow_ratio >= SLOW_RATIO;
    }

    /// Returns whether to ask the backend server now whether it is cold, and begins the health
    /// check if so.
    pub(crate) fn begin_check(&mut self, now: Time) -> bool {
        let due = self.check_due && self.rate.is_some() && now >= self.next_check;
        if due {
            (self.check_due, self.slow_ratio) = (false, 0.0);
            self.next_check = now + CHECK_INTERVAL;
        }
        due
    }

    /// Records that a request starts.
    pub(crate) fn record_start(&mut self, now: Time) {
        let Some(rate) = self.rate else { return };
        self.starts.push_back(now);
        while self.starts.len() > rate.max_starts {
            self.starts.pop_front();
        }
        if self.is_cold(now) {
            self.next = self.next.max(unused_since(now)) + rate.limit.interval();
        }
    }

    /// Returns the time until a request can start that has `ahead` others before it.
    pub(crate) fn wait(&self, now: Time, ahead: usize) -> Duration {
        let Some(rate) = self.rate.filter(|_| self.is_cold(now)) else { return Duration::ZERO };
        let before = rate.limit.interval().saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX));
        let paced = self.next.max(unused_since(now)) + before;
        let wait = paced.max(self.window_start(rate, ahead)).since(now);
        if self.suspected.is_some() { wait } else { wait.min(self.cold_until.since(now)) }
    }

    /// Returns the time at which the window has room for a start that has `ahead` others before it.
    fn window_start(&self, rate: ColdRate, ahead: usize) -> Time {
        // Those of an earlier daemon on this VM are not known.
        let unknown = Time::default() + WINDOW;
        let surplus = (self.starts.len() + ahead).checked_sub(rate.max_starts);
        // Those beyond the last start are further apart than the window allows anyway.
        let leaving = surplus.and_then(|it| self.starts.get(it).or(self.starts.back()));
        leaving.map_or(unknown, |it| (*it + WINDOW).max(unknown))
    }

    fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until || self.suspected.is_some()
    }

    fn record_left(&mut self, now: Time, left: Duration) {
        if !left.is_zero() {
            self.become_cold(now);
        }
        (self.cold_until, self.suspected) = (now + left, None);
        self.check_due = false;
    }

    /// The pace begins without any unused starts.
    fn become_cold(&mut self, now: Time) {
        if !self.is_cold(now) {
            self.next = now;
        }
    }
}

/// Starts that were not used since then are lost.
fn unused_since(now: Time) -> Time {
    Time(now.0.saturating_sub(BURST.as_micros() as u64))
}
