//! State of one class: its queue, measured cost and statistics.

use std::{collections::VecDeque, time::Duration};

use shallottack_config::LatencyTarget;
use shallottack_kernel::{ClassName, Time};

use crate::{CallId, report::Stats};

/// Answers in the first window of the latency floor, so that a new class has one soon.
const FIRST_FLOOR_CALLS: u32 = 32;
/// Answers in each later window; the mean of 256 exponential times varies by 6 %.
const FLOOR_CALLS: u32 = 256;
/// Share of the gap by which the floor follows a higher mean per window. A backend server that
/// has become slower for good is accepted after some 50 windows.
const FLOOR_DRIFT: f64 = 0.02;
/// Weight of one answer in the mean service time is 1 / this.
const COST_WEIGHT: i64 = 32;

/// Place of a class in the round robin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    Idle,
    Fresh,
    Backlogged,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub call: CallId,
    pub arrived: Time,
    pub deadline: Time,
}

#[derive(Debug)]
pub(crate) struct ClassState {
    pub name: ClassName,
    pub target: LatencyTarget,
    pub failures: f64,
    pub queue: VecDeque<Waiting>,
    pub place: Place,
    /// Service time in microseconds that the class may still use in this round; negative when
    /// its calls took longer than charged.
    pub deficit: i64,
    /// Time until which the expected room of the queue is promised to refused callers.
    pub promised: Time,
    pub stats: Stats,
    cost: Option<i64>,
    quickest: [u64; 2],
    floor: Option<u64>,
    sum: u64,
    calls: u32,
}

impl ClassState {
    pub fn new(name: ClassName, target: LatencyTarget, failures: f64) -> ClassState {
        ClassState {
            name,
            target,
            failures,
            queue: VecDeque::new(),
            place: Place::Idle,
            deficit: 0,
            promised: Time(0),
            stats: Stats::default(),
            cost: None,
            quickest: [u64::MAX; 2],
            floor: None,
            sum: 0,
            calls: 0,
        }
    }

    /// Returns the mean service time in microseconds, or `first` before the first measurement.
    pub fn cost(&self, first: Duration) -> u64 {
        self.cost.map_or(first.as_micros() as u64, |it| it as u64).max(1)
    }

    /// Takes an estimate of the service time while there is no measurement.
    pub fn estimate(&mut self, cost: Duration) {
        if self.floor.is_none() && self.calls == 0 {
            self.cost = Some((cost.as_micros() as i64).max(1));
        }
    }

    /// Returns the shortest recent service time in microseconds, or 0 when none is known.
    pub fn quickest(&self) -> u64 {
        let quickest = self.quickest[0].min(self.quickest[1]);
        if quickest == u64::MAX { 0 } else { quickest }
    }

    /// Returns the latency floor in microseconds.
    pub fn floor(&self) -> Option<u64> {
        self.floor
    }

    /// Takes the service time of an answer into account. `crowded` tells that the limit is above
    /// the slots: calls may then wait inside the backend server, which must not raise the floor,
    /// or the limit would creep upwards.
    pub fn measured(&mut self, micros: u64, crowded: bool) {
        let value = micros as i64;
        self.cost = Some(match self.cost {
            Some(cost) if self.floor.is_some() || self.calls > 0 => {
                cost + (value - cost) / COST_WEIGHT
            }
            _ => value.max(1),
        });
        self.quickest[0] = self.quickest[0].min(micros);
        self.sum += micros;
        self.calls += 1;
        let full = if self.floor.is_some() { FLOOR_CALLS } else { FIRST_FLOOR_CALLS };
        if self.calls == full {
            self.end_window(crowded);
        }
    }

    fn end_window(&mut self, crowded: bool) {
        let mean = (self.sum / u64::from(self.calls)).max(1);
        self.floor = Some(match self.floor {
            Some(floor) if mean > floor && crowded => floor,
            Some(floor) if mean > floor => floor + ((mean - floor) as f64 * FLOOR_DRIFT) as u64,
            _ => mean,
        });
        self.quickest = [u64::MAX, self.quickest[0]];
        (self.sum, self.calls) = (0, 0);
    }
}
