//! Counts of calls by group, route and window.

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

/// Result of one call as evidence. Refusals by admission control are not calls of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the call failed.
    pub failed: bool,
    /// Time until the response.
    pub latency: Duration,
    /// Whether the endpoint was in its announced cold start; its latency is then not counted.
    pub cold: bool,
}

/// Sums over the calls of one group and route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// Calls.
    pub calls: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Calls whose latency counts: those that did not fail and met no cold endpoint.
    pub timed: u64,
    /// Timed calls over the latency target of the class.
    pub slow: u64,
    /// Sum of the latency of timed calls in microseconds.
    pub latency_us: u64,
}

impl Counts {
    /// Adds one call of a class whose latency target is `within`.
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

/// Parts into which the endpoints of the new group are divided, so that a fault of one endpoint
/// can be told from a fault of the version.
pub const ENDPOINT_BUCKETS: usize = 6;

/// Counts of both groups on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Calls of the old group.
    pub old: Counts,
    /// Calls of the new group by part of its endpoints.
    pub new: [Counts; ENDPOINT_BUCKETS],
}

impl RouteEvidence {
    /// Adds a call. `endpoint` is the rank of the endpoint among the members of its group.
    pub fn add(&mut self, side: Side, endpoint: usize, outcome: Outcome, within: Duration) {
        match side {
            Side::Old => self.old.add(outcome, within),
            Side::New => self.new[endpoint % ENDPOINT_BUCKETS].add(outcome, within),
        }
    }

    /// Returns the sum over the endpoints of the new group but for those of the parts `without`.
    pub fn new_total(&self, without: &[usize]) -> Counts {
        let mut sum = Counts::default();
        for (part, counts) in self.new.iter().enumerate() {
            if !without.contains(&part) {
                sum.merge(counts);
            }
        }
        sum
    }
}

/// Evidence of one or more daemons in one window. A route has one class, so that the route also
/// names the class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Start of the earliest call.
    pub from: Time,
    /// Counts by route.
    pub routes: BTreeMap<RouteName, RouteEvidence>,
    /// Reports in the sum.
    pub reports: u32,
    /// Reports whose daemon's guard stopped sending to the new group.
    pub stopped: u32,
}

impl Evidence {
    /// Creates the empty report of one daemon for calls that start at `from` or later.
    pub fn report(from: Time) -> Evidence {
        Evidence { from, reports: 1, ..Evidence::default() }
    }

    /// Adds the evidence of another daemon or window.
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
