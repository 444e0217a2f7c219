//! Bounded statistics of a class and the report made from them.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use shallottack_config::LatencyTarget;
use shallottack_kernel::{ClassName, Time};
use smallvec::SmallVec;

/// Unit of the histograms in microseconds; coarser than a microsecond to bound their size.
const UNIT_MICROS: u64 = 100;
/// Longest latency that the histograms distinguish, in units (60 s).
const MAX_UNITS: u64 = 600_000;

/// What keeps a class from its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Waiting in the queue of this daemon; the backend server alone would meet the target.
    Queueing,
    /// The latency of the backend server.
    BackendLatency,
    /// Failed answers of the backend server.
    Failures,
    /// Refusals by this daemon or by the backend server.
    Refusals,
}

/// How a class fared in the last one to two report windows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: ClassName,
    /// Whether latency and failure targets are met.
    pub met: bool,
    /// What keeps the class from its target; empty when it is met.
    pub causes: SmallVec<[Cause; 4]>,
    /// Calls answered.
    pub answered: u64,
    /// Calls that failed at the backend server.
    pub failed: u64,
    /// Calls refused here or shed by the backend server.
    pub refused: u64,
    /// Latency at the quantile of the target, waiting included.
    pub latency: Duration,
    /// Latency of the backend server at the quantile of the target.
    pub service_latency: Duration,
    /// Calls queued now.
    pub queued: u32,
}

#[derive(Debug, Default)]
struct Epoch {
    latency: Option<Histogram<u32>>,
    service: Option<Histogram<u32>>,
    answered: u64,
    failed: u64,
    refused: u64,
}

impl Epoch {
    fn clear(&mut self) {
        self.latency.iter_mut().chain(&mut self.service).for_each(Histogram::reset);
        (self.answered, self.failed, self.refused) = (0, 0, 0);
    }
}

/// Statistics of one class over the current and the previous window.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    current: Epoch,
    previous: Epoch,
    started: Time,
}

impl Stats {
    pub fn answered(&mut self, latency: u64, service: u64) {
        self.current.answered += 1;
        record(&mut self.current.latency, latency);
        record(&mut self.current.service, service);
    }

    pub fn failed(&mut self) {
        self.current.failed += 1;
    }

    pub fn refused(&mut self) {
        self.current.refused += 1;
    }

    /// Starts a new window when the current one has lasted `window`.
    pub fn rotate(&mut self, now: Time, window: Duration) {
        if now.since(self.started) >= window {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.clear();
            self.started = now;
        }
    }

    /// Returns the share of calls that failed, were shed or were refused.
    pub fn failure_share(&self) -> f64 {
        let (answered, failed, refused) = self.counts();
        (failed + refused) as f64 / (answered + failed + refused).max(1) as f64
    }

    /// Returns the report for a class with these targets.
    pub fn report(
        &self,
        class: &ClassName,
        target: &LatencyTarget,
        failures: f64,
        queued: u32,
    ) -> ClassReport {
        let (answered, failed, refused) = self.counts();
        let quantile = |pick: fn(&Epoch) -> &Option<Histogram<u32>>| {
            at_quantile(pick(&self.current), pick(&self.previous), target.quantile)
        };
        let latency = quantile(|it| &it.latency);
        let service_latency = quantile(|it| &it.service);
        let mut causes = SmallVec::new();
        if service_latency > target.within {
            causes.push(Cause::BackendLatency);
        } else if latency > target.within {
            causes.push(Cause::Queueing);
        }
        if self.failure_share() > failures {
            let total = (answered + failed + refused).max(1) as f64;
            // Both are named when each of them alone would miss the target; else the larger one.
            if failed as f64 / total > failures || failed >= refused {
                causes.push(Cause::Failures);
            }
            if refused as f64 / total > failures || refused > failed {
                causes.push(Cause::Refusals);
            }
        }
        ClassReport {
            class: class.clone(),
            met: causes.is_empty(),
            causes,
            answered,
            failed,
            refused,
            latency,
            service_latency,
            queued,
        }
    }

    fn counts(&self) -> (u64, u64, u64) {
        let (now, before) = (&self.current, &self.previous);
        (now.answered + before.answered, now.failed + before.failed, now.refused + before.refused)
    }
}

fn record(histogram: &mut Option<Histogram<u32>>, micros: u64) {
    let histogram = histogram.get_or_insert_with(empty);
    histogram.saturating_record(micros.div_ceil(UNIT_MICROS).clamp(1, MAX_UNITS));
}

fn empty() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_UNITS, 2).expect("constant bounds are valid")
}

fn at_quantile(
    current: &Option<Histogram<u32>>,
    previous: &Option<Histogram<u32>>,
    quantile: f64,
) -> Duration {
    let mut merged = empty();
    for histogram in current.iter().chain(previous) {
        merged.add(histogram).expect("all histograms have the same bounds");
    }
    // The lower end of the bucket is compared: an answer on time never counts as late.
    let units = merged.lowest_equivalent(merged.value_at_quantile(quantile));
    Duration::from_micros(if merged.is_empty() { 0 } else { units * UNIT_MICROS })
}
