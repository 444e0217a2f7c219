//! State of a class: its queue, mean cost and statistics.

use std::{collections::VecDeque, time::Duration};

use shallottack_config::LatencyTarget;
use shallottack_kernel::{ClassName, Time};

use crate::{CallId, report::Stats};

/// Answers in the first window of the latency baseline. The window is short so that a new class
/// has a baseline soon.
const FIRST_WINDOW_CALLS: u32 = 32;
/// Answers in each later window. The mean of 256 exponentially distributed times has a relative
/// standard deviation of 6 %.
const WINDOW_CALLS: u32 = 256;
/// Share of the difference by which the baseline moves towards a higher mean in each window. After
/// about 50 windows the latency of a permanently slower backend server is accepted as the baseline.
const BASELINE_DRIFT: f64 = 0.02;
/// Divisor for the weight of one answer in the moving average of the service time.
const COST_WEIGHT_DIVISOR: i64 = 32;

/// Scheduling state of a class in the round robin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SchedulerState {
    /// Not in the round robin.
    Idle,
    /// Newly backlogged; served before the others.
    New,
    /// Takes its turn in the round.
    Old,
}

/// Call in the queue of a class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedCall {
    pub call: CallId,
    pub arrived: Time,
    pub deadline: Time,
}

/// Queue, cost and statistics of a class.
#[derive(Debug)]
pub(crate) struct ClassState {
    pub name: ClassName,
    pub target: LatencyTarget,
    /// Highest share of failed calls that meets the target of the class.
    pub failures: f64,
    pub queue: VecDeque<QueuedCall>,
    pub scheduling: SchedulerState,
    /// Service time in microseconds that the class may still use in this round. Negative when its
    /// calls cost more than its quantum.
    pub deficit: i64,
    /// Time until which the expected capacity is reserved for the retries of refused callers.
    pub reserved_until: Time,
    pub stats: Stats,
    /// Moving average of the service time in microseconds.
    cost: Option<i64>,
    /// Shortest service times of the current and the previous window in microseconds.
    shortest: [u64; 2],
    /// Latency baseline in microseconds.
    baseline: Option<u64>,
    /// Sum of the service times of the current window in microseconds.
    window_sum: u64,
    /// Answers in the current window.
    window_calls: u32,
}

impl ClassState {
    pub fn new(name: ClassName, target: LatencyTarget, failures: f64) -> ClassState {
        ClassState {
            name,
            target,
            failures,
            queue: VecDeque::new(),
            scheduling: SchedulerState::Idle,
            deficit: 0,
            reserved_until: Time(0),
            stats: Stats::default(),
            cost: None,
            shortest: [u64::MAX; 2],
            baseline: None,
            window_sum: 0,
            window_calls: 0,
        }
    }

    /// Returns the mean service time in microseconds, at least 1. `initial` is used while there
    /// is neither a measurement nor an estimate.
    pub fn cost(&self, initial: Duration) -> u64 {
        self.cost.map_or(initial.as_micros() as u64, |it| it as u64).max(1)
    }

    /// Sets the service time to an estimate unless there is a measurement.
    pub fn set_estimate(&mut self, cost: Duration) {
        if self.baseline.is_none() && self.window_calls == 0 {
            self.cost = Some((cost.as_micros() as i64).max(1));
        }
    }

    /// Returns the shortest service time of the last two windows in microseconds, or 0 when none
    /// has been measured.
    pub fn shortest_service(&self) -> u64 {
        let shortest = self.shortest[0].min(self.shortest[1]);
        if shortest == u64::MAX { 0 } else { shortest }
    }

    /// Returns the latency baseline in microseconds, if one has been measured.
    pub fn baseline(&self) -> Option<u64> {
        self.baseline
    }

    /// Records the service time of an answer.
    ///
    /// `above_slots` states whether the limit is above the announced slots. Calls may then wait
    /// inside the backend server; raising the baseline by that wait would let the limit rise
    /// without end.
    pub fn record_service(&mut self, micros: u64, above_slots: bool) {
        let value = micros as i64;
        self.cost = Some(match self.cost {
            Some(cost) if self.baseline.is_some() || self.window_calls > 0 => {
                cost + (value - cost) / COST_WEIGHT_DIVISOR
            }
            _ => value.max(1),
        });
        self.shortest[0] = self.shortest[0].min(micros);
        self.window_sum += micros;
        self.window_calls += 1;
        let full = if self.baseline.is_some() { WINDOW_CALLS } else { FIRST_WINDOW_CALLS };
        if self.window_calls == full {
            self.end_window(above_slots);
        }
    }

    fn end_window(&mut self, above_slots: bool) {
        let mean = (self.window_sum / u64::from(self.window_calls)).max(1);
        self.baseline = Some(match self.baseline {
            Some(baseline) if mean > baseline && above_slots => baseline,
            Some(baseline) if mean > baseline => {
                baseline + ((mean - baseline) as f64 * BASELINE_DRIFT) as u64
            }
            _ => mean,
        });
        self.shortest = [u64::MAX, self.shortest[0]];
        (self.window_sum, self.window_calls) = (0, 0);
    }
}
