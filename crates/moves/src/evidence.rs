//! Counts of calls by group, route and time window.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{RouteName, Time};

/// Which of the two groups of a move answered a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// The group that the service moves from.
    Old,
    /// The group that the service moves to.
    New,
}

/// Outcome of one call. Calls refused by admission control are not counted for any group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the call failed.
    pub failed: bool,
    /// Time from sending the call to the response.
    pub latency: Duration,
    /// Whether the endpoint was in its announced cold start. The latency is then not counted.
    pub cold: bool,
}

/// Counts over the calls of one group on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// Number of calls.
    pub calls: u64,
    /// Number of calls that failed.
    pub failures: u64,
    /// Number of calls whose latency counts: those that succeeded on an endpoint that was not in
    /// its cold start.
    pub timed: u64,
    /// Number of timed calls over the latency target of the class.
    pub slow: u64,
    /// Sum of the latencies of the timed calls, in microseconds.
    pub latency_us: u64,
}

impl Counts {
    /// Adds a call of a class whose latency target is `within`.
    pub fn add(&mut self, outcome: Outcome, within: Duration) {
        self.calls += 1;
        if outcome.failed {
            self.failures += 1;
        } else if !outcome.cold {
            self.timed += 1;
            self.slow += u64::from(outcome.latency > within);
            self.latency_us += outcome.latency.as_micros() as u64;
        }
    }

    fn merge(&mut self, other: &Counts) {
        self.calls += other.calls;
        self.failures += other.failures;
        self.timed += other.timed;
        self.slow += other.slow;
        self.latency_us += other.latency_us;
    }
}

/// Number of buckets into which the endpoints of the new group are divided, so that a fault of one
/// endpoint can be distinguished from a fault of the version.
pub const ENDPOINT_BUCKETS: usize = 6;

/// Counts of both groups on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Counts of the old group.
    pub old: Counts,
    /// Counts of the new group by bucket of its endpoints.
    pub new: [Counts; ENDPOINT_BUCKETS],
}

impl RouteEvidence {
    /// Adds a call. `endpoint` is the index of the endpoint among the members of its group.
    pub fn add(&mut self, side: Side, endpoint: usize, outcome: Outcome, within: Duration) {
        match side {
            Side::Old => self.old.add(outcome, within),
            Side::New => self.new[endpoint % ENDPOINT_BUCKETS].add(outcome, within),
        }
    }

    /// Returns the counts of the new group over all buckets except those in `excluded`.
    pub fn new_total(&self, excluded: &[usize]) -> Counts {
        let mut sum = Counts::default();
        for (bucket, counts) in self.new.iter().enumerate() {
            if !excluded.contains(&bucket) {
                sum.merge(counts);
            }
        }
        sum
    }
}

/// Counts from one or more daemons in one time window. A route has one class, so counts are not
/// split by class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Time before which no counted call started.
    pub from: Time,
    /// Counts by route.
    pub routes: BTreeMap<RouteName, RouteEvidence>,
    /// Number of reports that were merged.
    pub reports: u32,
    /// Number of reports from daemons whose circuit breaker was open.
    pub stopped: u32,
}

impl Evidence {
    /// Creates an empty report of one daemon, for calls that start at `from` or later.
    pub fn report(from: Time) -> Evidence {
        Evidence { from, reports: 1, ..Evidence::default() }
    }

    /// Adds the counts of another daemon or window.
    pub fn merge(&mut self, other: &Evidence) {
        self.from = if self.reports == 0 { other.from } else { self.from.min(other.from) };
        self.reports += other.reports;
        self.stopped += other.stopped;
        for (route, counts) in &other.routes {
            let sum = self.routes.entry(route.clone()).or_default();
            sum.old.merge(&counts.old);
            sum.new.iter_mut().zip(&counts.new).for_each(|(sum, it)| sum.merge(it));
        }
    }
}
