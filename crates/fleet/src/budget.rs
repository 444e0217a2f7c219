//! Retry budget of a service, divided among the daemons of the fleet.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ServiceName, Time};

use crate::Calls;

/// Buckets that make up the sliding window; counts expire one whole bucket at a time.
const BUCKETS: usize = 40;
/// Buckets that are kept: those of the window, and the one that its start lies in.
const KEPT: usize = BUCKETS + 1;
/// Time for which daemons that are no longer known still count; they may be cut off and go on.
const SHRINK_DELAY: Duration = Duration::from_secs(60);
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
    /// Share of the budget to use, from 0 to 1. The rest is for daemons that have just started, and
    /// covers runs that make more calls than expected.
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

/// This daemon's parts of the retry budgets of all services.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    started: Time,
    /// Daemons that share the budget; `None` until they are known.
    daemons: Option<usize>,
    /// When there were as many daemons last.
    counted: Time,
    services: HashMap<ServiceName, Box<[Bucket; KEPT]>>,
}

impl RetryBudget {
    /// Creates a budget with all counts at zero, for a daemon that starts at `now`.
    pub fn new(settings: RetryBudgetSettings, now: Time) -> RetryBudget {
        RetryBudget {
            settings,
            started: now,
            daemons: None,
            counted: now,
            services: HashMap::new(),
        }
    }

    /// Sets the number of daemons that share the budget.
    pub fn set_daemons(&mut self, now: Time, daemons: usize) {
        let fewer = self.daemons.is_some_and(|it| daemons < it);
        if !fewer || now.since(self.counted) > SHRINK_DELAY {
            self.daemons = Some(daemons.max(1));
            self.counted = now;
        }
    }

    /// Counts a request of a caller, or a call of a run.
    pub fn record_request(&mut self, now: Time, service: &ServiceName) {
        self.bucket(now, service).requests += 1.0;
    }

    /// Returns whether the calls that a repeated run makes again fit into the budgets of the called
    /// services.
    pub fn calls_fit(&self, now: Time, calls: &Calls) -> bool {
        calls.iter().all(|(service, calls)| {
            let budget = self.usage(now, service);
            budget.total() + calls <= budget.allowed
        })
    }

    /// Takes the calls that a repeated run makes again out of the budgets of the called services, or
    /// gives back those that it did not make.
    ///
    /// They are repeats and no requests, so that they do not add to what is allowed when they come.
    pub fn charge_calls(&mut self, now: Time, calls: &Calls) {
        for (service, calls) in calls {
            let bucket = self.bucket(now, service);
            bucket.repeats[RepeatCause::Nested as usize] += calls;
            bucket.requests -= calls;
        }
    }

    /// Takes a repeat out of the budget, if it fits.
    pub fn try_repeat(
        &mut self,
        now: Time,
        service: &ServiceName,
        cause: RepeatCause,
    ) -> RepeatDecision {
        let budget = self.usage(now, service);
        let granted = budget.total() + 1.0 <= budget.allowed;
        if granted {
            self.bucket(now, service).repeats[cause as usize] += 1.0;
        }
        RepeatDecision { cause, granted, budget }
    }

    /// Returns what this daemon used of its part of the budget.
    pub fn usage(&self, now: Time, service: &ServiceName) -> BudgetUse {
        let index = self.index(now);
        let ratio = self.settings.ratio;
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
        usage.allowed = self.usable_share(now) * (ratio * usage.requests + self.extra());
        usage
    }

    /// Returns whether what an earlier daemon on the VM used no longer counts.
    fn settled(&self, now: Time) -> bool {
        now.since(self.started) > self.settings.window
    }

    /// Returns the share of the budget to use.
    ///
    /// In the first window after its start, a daemon uses what an earlier one on the VM has left at
    /// least.
    fn usable_share(&self, now: Time) -> f64 {
        let share = self.settings.usable_share;
        if self.settled(now) { share } else { 1.0 - share }
    }

    /// Returns this daemon's part of the additional repeats; none until the others are known.
    fn extra(&self) -> f64 {
        self.daemons.map_or(0.0, |it| self.settings.extra / it as f64)
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
