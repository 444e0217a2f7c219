//! Retry budget of a service, divided among the daemons of the fleet.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ServiceName, Time};

use crate::Calls;

/// Buckets that make up the sliding window; counts expire one whole bucket at a time.
const BUCKETS: usize = 40;
/// Buckets that are kept: those of the window, and the one that its start lies in.
const KEPT: usize = BUCKETS + 1;
/// Number of values of [`RepeatCause`].
const CAUSES: usize = 5;

/// Settings of the retry budget that all daemons of the fleet share.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetSettings {
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Additional retries allowed in the window, summed over all daemons.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Share of the budget to use, from 0 to 1. The rest covers runs that make more calls than
    /// expected, and repeats that arrive later than they are counted.
    pub usable_share: f64,
}

/// Why a request reaches backend servers of its service once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatCause {
    /// The backend server stated that it did not run the request.
    Shed,
    /// The connection to the daemon beside the backend server ended.
    Cut,
    /// The backend server's response was lost, malformed or meant for another request.
    Broken,
    /// The backend server failed to serve the request.
    Failed,
    /// The request is a call that a repeated run of another request makes again.
    Nested,
}

impl RepeatCause {
    /// All causes.
    pub const ALL: [RepeatCause; CAUSES] = [
        RepeatCause::Shed,
        RepeatCause::Cut,
        RepeatCause::Broken,
        RepeatCause::Failed,
        RepeatCause::Nested,
    ];

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RepeatCause::Shed => "shed",
            RepeatCause::Cut => "cut",
            RepeatCause::Broken => "broken",
            RepeatCause::Failed => "failed",
            RepeatCause::Nested => "nested",
        }
    }
}

/// This daemon's part of the retry budget of one service, and what it used of it in the window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BudgetUse {
    /// Requests for the service.
    pub requests: f64,
    /// Repeats by cause, in the order of [`RepeatCause::ALL`].
    pub repeats: [f64; CAUSES],
    /// Repeats allowed.
    pub allowed: f64,
}

impl BudgetUse {
    /// Returns the number of calls that repeated runs make again.
    pub fn nested(&self) -> f64 {
        self.repeats[RepeatCause::Nested as usize]
    }

    /// Returns the number of repeats of all causes.
    pub fn total(&self) -> f64 {
        self.repeats.iter().sum()
    }
}

/// Decision on whether a request may be sent once more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatDecision {
    /// Why it would be sent once more.
    pub cause: RepeatCause,
    /// Whether it fits into the budget.
    pub granted: bool,
    /// State of the budget before the decision.
    pub budget: BudgetUse,
}

#[derive(Debug, Default, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: f64,
    repeats: [f64; CAUSES],
}

/// Retry budget of each service, with the recent requests and retries seen by this daemon.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<ServiceName, Box<[Bucket; KEPT]>>,
}

impl RetryBudget {
    /// Creates a budget with all counts at zero.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget { settings, services: HashMap::new() }
    }

    /// Counts a request of a caller, or a call of a run.
    pub fn record_request(&mut self, now: Time, service: &ServiceName) {
        self.bucket(now, service).requests += 1.0;
    }

    /// Returns whether the calls that a repeated run makes again fit into the budgets of the called
    /// services, which `daemons` daemons share.
    pub fn calls_fit(&self, now: Time, calls: &Calls, daemons: usize) -> bool {
        calls.iter().all(|(service, calls)| {
            let budget = self.usage(now, service, daemons);
            budget.total() + calls <= budget.allowed
        })
    }

    /// Takes the calls that a repeated run makes again out of the budgets of the called services.
    ///
    /// They are repeats and no requests, so that they do not add to what is allowed when they come.
    pub fn charge_calls(&mut self, now: Time, calls: &Calls) {
        for (service, calls) in calls {
            let bucket = self.bucket(now, service);
            bucket.repeats[RepeatCause::Nested as usize] += calls;
            bucket.requests -= calls;
        }
    }

    /// Takes a repeat out of the budget, which `daemons` daemons share, if it fits.
    pub fn try_repeat(
        &mut self,
        now: Time,
        service: &ServiceName,
        daemons: usize,
        cause: RepeatCause,
    ) -> RepeatDecision {
        let budget = self.usage(now, service, daemons);
        let granted = budget.total() + 1.0 <= budget.allowed;
        if granted {
            self.bucket(now, service).repeats[cause as usize] += 1.0;
        }
        RepeatDecision { cause, granted, budget }
    }

    /// Returns what this daemon used of its part of the budget, which `daemons` daemons share.
    pub fn usage(&self, now: Time, service: &ServiceName, daemons: usize) -> BudgetUse {
        let index = self.index(now);
        let RetryBudgetSettings { ratio, extra, usable_share, .. } = self.settings;
        let mut usage = BudgetUse::default();
        let Some(buckets) = self.services.get(service) else { return usage };
        for bucket in buckets.iter().filter(|it| it.index + KEPT as u64 > index) {
            // Only requests that are certainly within the window raise what is allowed.
            if bucket.index + BUCKETS as u64 > index {
                usage.requests += bucket.requests;
            }
            for (sum, repeats) in usage.repeats.iter_mut().zip(bucket.repeats) {
                *sum += repeats;
            }
        }
        usage.requests = usage.requests.max(0.0);
        usage.allowed = usable_share * (ratio * usage.requests + extra / daemons.max(1) as f64);
        usage
    }

    /// Returns the services with requests or repeats since the start.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    fn index(&self, now: Time) -> u64 {
        let length = (self.settings.window / BUCKETS as u32).as_micros().max(1) as u64;
        now.0 / length + KEPT as u64
    }

    fn bucket(&mut self, now: Time, service: &ServiceName) -> &mut Bucket {
        let index = self.index(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Box::new([Bucket::default(); KEPT]));
        }
        let buckets = self.services.get_mut(service).expect("inserted above");
        let bucket = &mut buckets[index as usize % KEPT];
        if bucket.index != index {
            *bucket = Bucket { index, ..Bucket::default() };
        }
        bucket
    }
}
