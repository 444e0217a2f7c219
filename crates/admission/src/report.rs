//! Windowed statistics of a class and the report on its targets.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use shallottack_config::LatencyTarget;
use shallottack_kernel::{ClassName, Time};
use smallvec::SmallVec;

/// Unit of the histograms in microseconds. It is coarser than 1 to bound their size.
const UNIT_MICROS: u64 = 100;
/// Largest latency in the histograms, in units (60 s).
const MAX_UNITS: u64 = 600_000;

/// Reason why a class misses its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Time in the queue of this daemon. The latency of the backend server alone would meet the
    /// target.
    Queueing,
    /// Latency of the backend server.
    BackendLatency,
    /// Failed answers of the backend server.
    Failures,
    /// Refusals by this daemon or by the backend server.
    Refusals,
}

/// Calls and latency of a class over the last one to two report windows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: ClassName,
    /// Whether the latency and failure targets are met.
    pub met: bool,
    /// Reasons why a target is missed; empty when both targets are met.
    pub causes: SmallVec<[Cause; 4]>,
    /// Number of calls answered.
    pub answered: u64,
    /// Number of calls that failed at the backend server.
    pub failed: u64,
    /// Number of calls refused by this daemon or shed by the backend server.
    pub refused: u64,
    /// Latency at the quantile of the target, including the time in the queue.
    pub latency: Duration,
    /// Latency of the backend server at the quantile of the target.
    pub service_latency: Duration,
    /// Number of calls queued now.
    pub queued: u32,
}

/// Counts and latencies of one window, in histogram units.
#[derive(Debug, Default)]
struct WindowStats {
    latency: Option<Histogram<u32>>,
    service_latency: Option<Histogram<u32>>,
    answered: u64,
    failed: u64,
    refused: u64,
}

impl WindowStats {
    fn clear(&mut self) {
        self.latency.iter_mut().chain(&mut self.service_latency).for_each(Histogram::reset);
        (self.answered, self.failed, self.refused) = (0, 0, 0);
    }
}

/// Statistics of one class over the current and the previous window.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    current: WindowStats,
    previous: WindowStats,
    /// Start of the current window.
    started: Time,
}

impl Stats {
    /// Records an answer with its latency including the time in the queue and the latency of the
    /// backend server, both in microseconds.
    pub fn record_answer(&mut self, latency: u64, service_latency: u64) {
        self.current.answered += 1;
        record(&mut self.current.latency, latency);
        record(&mut self.current.service_latency, service_latency);
    }

    /// Records a call that failed at the backend server.
    pub fn record_failure(&mut self) {
        self.current.failed += 1;
    }

    /// Records a call that was refused or shed.
    pub fn record_refusal(&mut self) {
        self.current.refused += 1;
    }

    /// Starts a new window once the current one has lasted `window`.
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

    /// Returns the report of a class with the given targets.
    pub fn report(
        &self,
        class: &ClassName,
        target: &LatencyTarget,
        failures: f64,
        queued: u32,
    ) -> ClassReport {
        let (answered, failed, refused) = self.counts();
        let quantile = |pick: fn(&WindowStats) -> &Option<Histogram<u32>>| {
            at_quantile(pick(&self.current), pick(&self.previous), target.quantile)
        };
        let latency = quantile(|it| &it.latency);
        let service_latency = quantile(|it| &it.service_latency);
        let mut causes = SmallVec::new();
        if service_latency > target.within {
            causes.push(Cause::BackendLatency);
        } else if latency > target.within {
            causes.push(Cause::Queueing);
        }
        if self.failure_share() > failures {
            let total = (answered + failed + refused).max(1) as f64;
            // Names each cause that alone exceeds the target, or the larger one if neither does.
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
    // The lower end of the bucket, so that an answer on time never counts as late.
    let units = merged.lowest_equivalent(merged.value_at_quantile(quantile));
    Duration::from_micros(if merged.is_empty() { 0 } else { units * UNIT_MICROS })
}
