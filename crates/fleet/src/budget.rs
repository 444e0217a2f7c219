//! Retry budget of a service, divided among the daemons of the fleet.

use std::{collections::HashMap, time::Duration};

use shallottack_kernel::{ServiceName, Time};

/// Buckets that make up the sliding window; counts expire one whole bucket at a time.
const BUCKETS: usize = 10;

/// Settings of the retry budget that all daemons of the fleet share.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetSettings {
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Additional retries allowed in the window, summed over all daemons.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Share of the budget to use, from 0 to 1. The rest covers retries that backend servers cause
    /// with their own calls, and daemons with a wrong count of the fleet.
    pub usable_share: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: f64,
    retries: f64,
}

/// Retry budget of each service, with the recent requests and retries seen by this daemon.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<ServiceName, [Bucket; BUCKETS]>,
}

impl RetryBudget {
    /// Creates a budget with all counts at zero.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget { settings, services: HashMap::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &ServiceName) {
        self.bucket(now, service).requests += 1.0;
    }

    /// Counts a call made by a running request as a retry with probability `share`.
    ///
    /// A request that runs again makes its calls again, so they count as retries too.
    pub fn record_nested(&mut self, now: Time, service: &ServiceName, share: f64) {
        self.bucket(now, service).retries += share;
    }

    /// Takes a retry out of the budget, which `daemons` daemons share. Returns whether it fits.
    pub fn try_retry(&mut self, now: Time, service: &ServiceName, daemons: usize) -> bool {
        let index = self.index(now);
        let RetryBudgetSettings { ratio, extra, usable_share, .. } = self.settings;
        let Some(buckets) = self.services.get(service) else { return false };
        let recent = buckets.iter().filter(|it| it.index + BUCKETS as u64 > index);
        let (requests, retries) = recent.fold((0.0, 0.0), |(requests, retries), it| {
            (requests + it.requests, retries + it.retries)
        });
        let allowed = usable_share * (ratio * requests + extra / daemons.max(1) as f64);
        let fits = retries + 1.0 <= allowed;
        if fits {
            self.bucket(now, service).retries += 1.0;
        }
        fits
    }

    fn index(&self, now: Time) -> u64 {
        let length = (self.settings.window / BUCKETS as u32).as_micros().max(1) as u64;
        now.0 / length + BUCKETS as u64
    }

    fn bucket(&mut self, now: Time, service: &ServiceName) -> &mut Bucket {
        let index = self.index(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Default::default());
        }
        let buckets = self.services.get_mut(service).expect("inserted above");
        let bucket = &mut buckets[index as usize % BUCKETS];
        if bucket.index != index {
            *bucket = Bucket { index, ..Bucket::default() };
        }
        bucket
    }
}
