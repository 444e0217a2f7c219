//! Share of one daemon in the retry budget of a service.

use std::{collections::HashMap, time::Duration};

use shallottack_kernel::{ServiceName, Time};

/// Parts into which the window is divided; older parts leave it whole.
const PARTS: usize = 10;

/// Figures of the retry budget, which all daemons of the fleet share.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetSettings {
    /// Repeats allowed for each request in the window.
    pub ratio: f64,
    /// Repeats allowed in the window besides, over all daemons.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Part of the budget that is used, from 0 to 1; the rest covers repeats that backend servers
    /// cause with calls of their own and daemons that miscount the fleet.
    pub usable_share: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct Part {
    number: u64,
    requests: f64,
    repeats: f64,
}

/// Counts of requests and repeats for each service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<ServiceName, [Part; PARTS]>,
}

impl RetryBudget {
    /// Creates a budget without counts.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget { settings, services: HashMap::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &ServiceName) {
        self.part(now, service).requests += 1.0;
    }

    /// Counts a call that a running request makes and that is a repeat with the probability
    /// `share`, because a request that runs again makes its calls again.
    pub fn record_nested(&mut self, now: Time, service: &ServiceName, share: f64) {
        self.part(now, service).repeats += share;
    }

    /// Counts a repeat if the budget has room for it among `daemons` daemons.
    pub fn try_retry(&mut self, now: Time, service: &ServiceName, daemons: usize) -> bool {
        let number = self.number(now);
        let RetryBudgetSettings { ratio, extra, usable_share, .. } = self.settings;
        let Some(parts) = self.services.get(service) else { return false };
        let recent = parts.iter().filter(|it| it.number + PARTS as u64 > number);
        let (requests, repeats) = recent.fold((0.0, 0.0), |(requests, repeats), it| {
            (requests + it.requests, repeats + it.repeats)
        });
        let allowed = usable_share * (ratio * requests + extra / daemons.max(1) as f64);
        let fits = repeats + 1.0 <= allowed;
        if fits {
            self.part(now, service).repeats += 1.0;
        }
        fits
    }

    fn number(&self, now: Time) -> u64 {
        let part = (self.settings.window / PARTS as u32).as_micros().max(1) as u64;
        now.0 / part + PARTS as u64
    }

    fn part(&mut self, now: Time, service: &ServiceName) -> &mut Part {
        let number = self.number(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Default::default());
        }
        let parts = self.services.get_mut(service).expect("inserted above");
        let part = &mut parts[number as usize % PARTS];
        if part.number != number {
            *part = Part { number, ..Part::default() };
        }
        part
    }
}
