//! Sequential tests of the new group on one route.

use serde::{Deserialize, Serialize};

use crate::{Counts, ENDPOINT_BUCKETS, RouteClass, RouteEvidence, Settings};

/// Measure by which the groups are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Share of calls that failed.
    Failures,
    /// Share of calls over the latency target.
    Slow,
}

/// Ratios of the rates of bad calls (new to old) that are tested as alternative hypotheses, from a
/// moderate to an extreme fault.
const RATIOS: [f64; 4] = [2.0, 6.0, 30.0, 300.0];
/// Fraction of the false alarm rate that is reserved for faults present from the start.
const START_WEIGHT: f64 = 0.5;
/// Factor by which recent counts decay at each observation. At 10 observations/s the half-life is
/// 1.4 s.
const RECENT_DECAY: f64 = 0.95;
/// Lower bound of the baseline rate of bad calls.
const MIN_BASELINE: f64 = 0.005;
/// Upper bound of the baseline rate of bad calls.
const MAX_BASELINE: f64 = 0.4;

/// Number of calls and of bad calls, which failed or were slow according to the measure.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Sample {
    bad: f64,
    calls: f64,
}

impl Sample {
    fn of(measure: Measure, counts: &Counts) -> Sample {
        let (bad, calls) = match measure {
            Measure::Failures => (counts.failures, counts.calls),
            Measure::Slow => (counts.slow, counts.timed),
        };
        Sample { bad: bad as f64, calls: calls as f64 }
    }

    fn rate(&self) -> f64 {
        self.bad / self.calls.max(1.0)
    }

    fn decay(&mut self, new: Sample) {
        self.bad = self.bad * RECENT_DECAY + new.bad;
        self.calls = self.calls * RECENT_DECAY + new.calls;
    }

    /// Returns the log-likelihood ratio of the rate of bad calls `high` against `low`.
    fn llr(&self, high: f64, low: f64) -> f64 {
        let good = self.calls - self.bad;
        self.bad * (high / low).ln() + good * ((1.0 - high) / (1.0 - low)).ln()
    }
}

/// Sequential tests of one measure over one set of calls.
///
/// `comparison` compares the groups in the same time window (Shiryaev-Roberts procedure). If the
/// new group is no worse, its expected fraction of the bad calls of both groups depends only on the
/// numbers of calls, whatever the common rate. The likelihood ratio against this is accumulated
/// over all times at which the fault may have begun. The alarm threshold is the inverse of the
/// false alarm rate.
///
/// `cusums` are cumulative sums (CUSUM) of the new group's calls against the target of the class,
/// for a moderate and an extreme fault. They need few calls but can't recognise a fault of a shared
/// backend.
#[derive(Debug, Clone, PartialEq)]
struct Detector {
    comparison: [f64; RATIOS.len()],
    cusums: [f64; 2],
    seen: u32,
    new: Sample,
}

impl Detector {
    fn new() -> Detector {
        let comparison = [START_WEIGHT; RATIOS.len()];
        Detector { comparison, cusums: [0.0; 2], seen: 0, new: Sample::default() }
    }

    fn observe(&mut self, settings: &Settings, new: Sample, old: Sample, params: &Params) {
        let Params { baseline, threshold, .. } = *params;
        self.new.decay(new);
        let weight = params.weight(self.new.calls * (1.0 - RECENT_DECAY));
        if new.calls == 0.0 {
            return;
        }
        for (cusum, high) in self.cusums.iter_mut().zip(fault_rates(baseline)) {
            let max_llr = settings.max_llr.max((high / baseline).ln());
            let llr = (weight * new.llr(high, baseline)).min(max_llr);
            // Bounded, so that the effect of a short stall decays quickly.
            *cusum = (*cusum + llr).clamp(0.0, settings.target_score);
        }
        if old.calls == 0.0 {
            return;
        }
        self.seen = self.seen.saturating_add(1);
        // No onset time is added after the horizon, which keeps the false alarm rate as configured.
        let onset = if self.seen <= settings.horizon {
            (1.0 - START_WEIGHT) / f64::from(settings.horizon)
        } else {
            0.0
        };
        let max_sum = threshold.exp() * RATIOS.len() as f64;
        let new_fraction = |ratio: f64| ratio * new.calls / (old.calls + ratio * new.calls);
        let null = new_fraction(settings.tolerance);
        for (sum, ratio) in self.comparison.iter_mut().zip(RATIOS) {
            let alternative = new_fraction(ratio * settings.tolerance);
            let llr = new.bad * (alternative / null).ln()
                + old.bad * ((1.0 - alternative) / (1.0 - null)).ln();
            *sum = (*sum + onset) * (weight * llr).min(settings.max_llr).exp();
            // Bounded, so that the effect of a short stall decays quickly.
            *sum = sum.min(max_sum);
        }
    }

    fn comparison_llr(&self) -> f64 {
        (self.comparison.iter().sum::<f64>() / RATIOS.len() as f64).ln()
    }

    fn cusum(&self) -> f64 {
        self.cusums[0].max(self.cusums[1])
    }
}

/// Number of observations in an interval; an interval is 1 s at 10 observations/s.
const INTERVAL_OBSERVATIONS: u32 = 10;

/// Cumulative sums against the target of the class over intervals of several observations, each of
/// which counts as one bad call at most.
///
/// On routes with few calls this needs fewer calls than excluding buckets. A stall of an endpoint
/// is too short to reach the target score.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct IntervalCusum {
    cusums: [f64; 2],
    interval: Sample,
    seen: u32,
}

impl IntervalCusum {
    fn observe(&mut self, new: Sample, baseline: f64) {
        self.interval.bad += new.bad;
        self.interval.calls += new.calls;
        self.seen += 1;
        if self.seen < INTERVAL_OBSERVATIONS {
            return;
        }
        for (cusum, high) in self.cusums.iter_mut().zip(fault_rates(baseline)) {
            let llr = self.interval.llr(high, baseline).min((high / baseline).ln());
            *cusum = (*cusum + llr).max(0.0);
        }
        (self.interval, self.seen) = (Sample::default(), 0);
    }

    fn cusum(&self) -> f64 {
        self.cusums[0].max(self.cusums[1])
    }
}

/// Returns the rates of bad calls in a moderate and in an extreme fault.
fn fault_rates(baseline: f64) -> [f64; 2] {
    [3.0 * baseline, 0.5].map(|it| it.clamp(1.5 * baseline, 0.9))
}

/// Factor by which the overdispersion estimate decays at each interval. At intervals of 1 s the
/// half-life is 140 s.
const OVERDISPERSION_DECAY: f64 = 0.995;

/// Estimates the overdispersion of the old group's bad calls, which come in clusters when endpoints
/// stall: the squared coefficient of variation of their rate between intervals, in excess of that
/// of independent calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Overdispersion {
    interval: Sample,
    seen: u32,
    excess: f64,
    expected: f64,
}

impl Overdispersion {
    fn observe(&mut self, old: Sample, rate: f64) {
        self.interval.bad += old.bad;
        self.interval.calls += old.calls;
        self.seen += 1;
        if self.seen < INTERVAL_OBSERVATIONS {
            return;
        }
        let mean = self.interval.calls * rate;
        let excess = (self.interval.bad - mean).powi(2) - mean * (1.0 - rate);
        self.excess = self.excess * OVERDISPERSION_DECAY + excess;
        self.expected = self.expected * OVERDISPERSION_DECAY + mean * mean;
        (self.interval, self.seen) = (Sample::default(), 0);
    }

    fn value(&self) -> f64 {
        if self.expected > 0.0 { (self.excess / self.expected).max(0.0) } else { 0.0 }
    }
}

/// Parameters of all detectors of a measure for one observation.
struct Params {
    baseline: f64,
    threshold: f64,
    old_rate: f64,
    overdispersion: f64,
}

impl Params {
    /// Returns the weight of a log-likelihood ratio of clustered calls (quasi-likelihood) when the
    /// new group has `calls` calls per observation. A weight below 1 only lowers the rate of false
    /// alarms.
    fn weight(&self, calls: f64) -> f64 {
        1.0 / (1.0 + self.overdispersion * calls * f64::from(INTERVAL_OBSERVATIONS) * self.old_rate)
    }
}

/// Number of pairs of buckets, with each single bucket as a pair with itself.
const BUCKET_PAIRS: usize = ENDPOINT_BUCKETS * (ENDPOINT_BUCKETS + 1) / 2;

fn bucket_pairs() -> [[usize; 2]; BUCKET_PAIRS] {
    let mut pairs = [[0; 2]; BUCKET_PAIRS];
    let all = (0..ENDPOINT_BUCKETS)
        .flat_map(|first| (first..ENDPOINT_BUCKETS).map(move |second| [first, second]));
    pairs.iter_mut().zip(all).for_each(|(pair, it)| *pair = it);
    pairs
}

/// Sequential tests of one measure on one route: over all calls, and over the calls outside of each
/// pair of buckets of the new group's endpoints.
///
/// Faults of one or two endpoints, such as overlapping stalls, are not faults of the version.
#[derive(Debug, Clone, PartialEq)]
struct MeasureTests {
    measure: Measure,
    allowed: f64,
    threshold: f64,
    recent_old: Sample,
    /// Recent calls of the new group, with the bad calls expected at the old group's rate in the
    /// same observations. While sending to the new group is stopped, only the old group has calls,
    /// so the overall rates of the groups can't be compared.
    expected_new: Sample,
    interval_cusum: IntervalCusum,
    overdispersion: Overdispersion,
    /// All calls of the old group since the start.
    total_old: Sample,
    all_buckets: Detector,
    excluding_pair: [Detector; BUCKET_PAIRS],
}

impl MeasureTests {
    fn new(measure: Measure, allowed: f64, threshold: f64) -> MeasureTests {
        let excluding_pair = std::array::from_fn(|_| Detector::new());
        MeasureTests {
            measure,
            allowed,
            threshold,
            expected_new: Sample::default(),
            interval_cusum: IntervalCusum::default(),
            overdispersion: Overdispersion::default(),
            recent_old: Sample::default(),
            total_old: Sample::default(),
            all_buckets: Detector::new(),
            excluding_pair,
        }
    }

    /// Returns the baseline: the rate of bad calls up to which a group counts as healthy.
    fn baseline(&self) -> f64 {
        let old = self.recent_old.rate().max(self.total_old.rate());
        (2.0 * self.allowed.max(old)).clamp(MIN_BASELINE, MAX_BASELINE)
    }

    fn observe(&mut self, settings: &Settings, counts: &RouteEvidence) {
        let old = Sample::of(self.measure, &counts.old);
        let baseline = self.baseline();
        let sample = |excluded: &[usize]| Sample::of(self.measure, &counts.new_total(excluded));
        let params = Params {
            baseline,
            threshold: self.threshold,
            old_rate: self.total_old.rate(),
            overdispersion: self.overdispersion.value(),
        };
        self.overdispersion.observe(old, self.total_old.rate());
        let new = sample(&[]);
        self.interval_cusum.observe(new, baseline);
        if new.calls > 0.0 {
            let rate = if old.calls > 0.0 { old.rate() } else { self.recent_old.rate() };
            self.expected_new.decay(Sample { bad: new.calls * rate, calls: new.calls });
        }
        self.all_buckets.observe(settings, new, old, &params);
        for (pair, it) in bucket_pairs().iter().zip(&mut self.excluding_pair) {
            it.observe(settings, sample(pair), old, &params);
        }
        self.recent_old.decay(old);
        self.total_old.bad += old.bad;
        self.total_old.calls += old.calls;
    }

    /// Returns the minimum of a statistic over the detectors with and without excluded buckets, or
    /// negative infinity when the new group is within the target of its class. `buckets` is the
    /// number of buckets that have had calls.
    fn min_statistic(&self, buckets: usize, statistic: fn(&Detector) -> f64) -> f64 {
        if self.all_buckets.new.rate() <= self.allowed {
            return f64::NEG_INFINITY;
        }
        // At least two buckets stay in each detector, so that no single endpoint decides.
        let pairs = bucket_pairs();
        let used = |pair: &([usize; 2], &Detector)| match buckets {
            0..3 => false,
            3 => pair.0[0] == pair.0[1],
            _ => true,
        };
        let tests = pairs.into_iter().zip(&self.excluding_pair);
        tests.filter(used).map(|it| statistic(it.1)).fold(statistic(&self.all_buckets), f64::min)
    }
}

/// Amount by which the new group misses the target of its class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetMiss {
    /// Measure in which the new group misses the target.
    pub measure: Measure,
    /// Rate of bad calls of the new group.
    pub rate: f64,
    /// Baseline rate of bad calls.
    pub baseline: f64,
}

impl TargetMiss {
    /// Returns the log-likelihood ratio of a fault that the old group shares against a healthy old
    /// group, given calls of the old group.
    pub fn shared_llr(&self, old: &Counts) -> f64 {
        let high = (self.rate / 2.0).min(0.9);
        Sample::of(self.measure, old).llr(high, self.baseline.min(high / 3.0))
    }
}

/// Sequential tests of the new group on one route, by measure.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTests {
    tests: [MeasureTests; 2],
    used: [bool; ENDPOINT_BUCKETS],
    threshold: f64,
}

impl RouteTests {
    /// Creates the tests of a route that belongs to a service with `routes` routes.
    pub fn new(settings: &Settings, routes: usize, class: &RouteClass) -> RouteTests {
        // The false alarm rate of the move is divided among two measures per route.
        let tests = (2 * routes.max(1)) as f64;
        let threshold = (tests / settings.false_alarms).ln();
        RouteTests {
            tests: [
                MeasureTests::new(Measure::Failures, class.failures, threshold),
                MeasureTests::new(Measure::Slow, class.slow, threshold),
            ],
            used: [false; ENDPOINT_BUCKETS],
            threshold,
        }
    }

    /// Adds the counts of both groups in one time window.
    pub fn observe(&mut self, settings: &Settings, counts: &RouteEvidence) {
        for (used, it) in self.used.iter_mut().zip(&counts.new) {
            *used |= it.calls > 0;
        }
        self.tests.iter_mut().for_each(|it| it.observe(settings, counts));
    }

    fn used_buckets(&self) -> usize {
        self.used.iter().filter(|it| **it).count()
    }

    /// Returns the measure in which the comparison found the new group worse than the old one.
    pub fn alarm(&self) -> Option<Measure> {
        let found = |it: &&MeasureTests| {
            it.min_statistic(self.used_buckets(), Detector::comparison_llr) >= self.threshold
        };
        self.tests.iter().find(found).map(|it| it.measure)
    }

    /// Returns by how much the new group misses the target of its class, if a test against the
    /// target has reached `score`.
    pub fn target_miss(&self, score: f64) -> Option<TargetMiss> {
        // A fault of a shared backend makes both groups miss the target.
        let found = |it: &&MeasureTests| {
            it.all_buckets.new.rate() > it.allowed.max(2.0 * it.expected_new.rate())
                && it
                    .min_statistic(self.used_buckets(), Detector::cusum)
                    .max(it.interval_cusum.cusum())
                    >= score
        };
        let miss = |it: &MeasureTests| TargetMiss {
            measure: it.measure,
            rate: it.all_buckets.new.rate(),
            baseline: it.baseline(),
        };
        self.tests.iter().find(found).map(miss)
    }

    /// Restarts the tests against the class target.
    pub fn reset_target_tests(&mut self) {
        for it in &mut self.tests {
            let all = it.excluding_pair.iter_mut().chain([&mut it.all_buckets]);
            all.for_each(|it| it.cusums = [0.0; 2]);
            it.interval_cusum = IntervalCusum::default();
        }
    }

    /// Returns whether a test has reached the fraction of its threshold from which the share is not
    /// raised.
    pub fn is_suspect(&self, settings: &Settings) -> bool {
        self.tests.iter().any(|it| {
            it.min_statistic(0, Detector::comparison_llr)
                >= settings.suspect_fraction * self.threshold
                || it.min_statistic(0, Detector::cusum)
                    >= settings.suspect_fraction * settings.target_score
        })
    }
}
