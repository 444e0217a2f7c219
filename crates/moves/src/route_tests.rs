//! Sequential tests of the new group on one route.

use serde::{Deserialize, Serialize};

use crate::{Counts, ENDPOINT_BUCKETS, RouteClass, RouteEvidence, Settings};

/// What is compared between the groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Share of calls that failed.
    Failures,
    /// Share of calls over the latency target.
    Slow,
}

/// Ratios of rates that are tested as alternatives, from a moderate to an extreme fault.
const RATIOS: [f64; 4] = [2.0, 6.0, 30.0, 300.0];
/// Part of the false alarm rate kept for faults that are there from the start.
const START_WEIGHT: f64 = 0.5;
/// Weight of the past in recent counts at each observation; at 10 observations/s it halves in
/// 1.4 s.
const RECENT: f64 = 0.95;
/// Least rate of bad calls that is taken as usual.
const LEAST_RATE: f64 = 0.005;
/// Largest rate of bad calls that is taken as usual.
const MOST_RATE: f64 = 0.4;

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
        self.bad = self.bad * RECENT + new.bad;
        self.calls = self.calls * RECENT + new.calls;
    }

    /// Returns the logarithm of the likelihood ratio of rate `high` against rate `low`.
    fn evidence(&self, high: f64, low: f64) -> f64 {
        let good = self.calls - self.bad;
        self.bad * (high / low).ln() + good * ((1.0 - high) / (1.0 - low)).ln()
    }
}

/// Tests of one measure.
///
/// `sums` compares the groups in the same window. Given the bad calls of both groups, the part that
/// falls on the new group follows from the calls alone when it is no worse, whatever the common
/// rate. The likelihood ratio against that is multiplied up over all times at which the fault may
/// have begun; an alarm is given at the inverse of the false alarm rate.
///
/// `scores` are cumulative sums of the new group's calls against the target of the class, for a
/// moderate and an extreme fault. They need few calls but can't see a fault of a shared backend.
#[derive(Debug, Clone, PartialEq)]
struct Detector {
    sums: [f64; RATIOS.len()],
    scores: [f64; 2],
    seen: u32,
    new: Sample,
}

impl Detector {
    fn new() -> Detector {
        let sums = [START_WEIGHT; RATIOS.len()];
        Detector { sums, scores: [0.0; 2], seen: 0, new: Sample::default() }
    }

    fn observe(&mut self, settings: &Settings, new: Sample, old: Sample, limits: &Limits) {
        let Limits { usual, threshold, .. } = *limits;
        self.new.decay(new);
        let weight = limits.weight(self.new.calls * (1.0 - RECENT));
        if new.calls == 0.0 {
            return;
        }
        for (score, high) in self.scores.iter_mut().zip(alternatives(usual)) {
            let most = settings.max_llr.max((high / usual).ln());
            let log = (weight * new.evidence(high, usual)).min(most);
            // The limit lets the effect of a stall pass soon.
            *score = (*score + log).clamp(0.0, settings.target_score);
        }
        if old.calls == 0.0 {
            return;
        }
        self.seen = self.seen.saturating_add(1);
        // After the horizon no further time of onset is added, which keeps the stated rate.
        let onset = if self.seen <= settings.horizon {
            (1.0 - START_WEIGHT) / f64::from(settings.horizon)
        } else {
            0.0
        };
        let most = threshold.exp() * RATIOS.len() as f64;
        let part = |ratio: f64| ratio * new.calls / (old.calls + ratio * new.calls);
        let fair = part(settings.tolerance);
        for (sum, ratio) in self.sums.iter_mut().zip(RATIOS) {
            let faulty = part(ratio * settings.tolerance);
            let log =
                new.bad * (faulty / fair).ln() + old.bad * ((1.0 - faulty) / (1.0 - fair)).ln();
            *sum = (*sum + onset) * (weight * log).min(settings.max_llr).exp();
            // The limit lets the effect of a stall pass soon.
            *sum = sum.min(most);
        }
    }

    fn compared(&self) -> f64 {
        (self.sums.iter().sum::<f64>() / RATIOS.len() as f64).ln()
    }

    fn score(&self) -> f64 {
        self.scores[0].max(self.scores[1])
    }
}

/// Observations whose bad calls count as one at most in [`Spread`]; 1 s at 10 observations/s.
const SPREAD: u32 = 10;

/// Cumulative sums against the target of the class over longer intervals, each of which counts at
/// most as one bad call. For sparse calls this needs fewer calls than leaving parts out, and a
/// stall of an endpoint can't reach the score, since it is too short.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Spread {
    scores: [f64; 2],
    interval: Sample,
    seen: u32,
}

impl Spread {
    fn observe(&mut self, new: Sample, usual: f64) {
        self.interval.bad += new.bad;
        self.interval.calls += new.calls;
        self.seen += 1;
        if self.seen < SPREAD {
            return;
        }
        for (score, high) in self.scores.iter_mut().zip(alternatives(usual)) {
            let log = self.interval.evidence(high, usual).min((high / usual).ln());
            *score = (*score + log).max(0.0);
        }
        (self.interval, self.seen) = (Sample::default(), 0);
    }

    fn score(&self) -> f64 {
        self.scores[0].max(self.scores[1])
    }
}

/// Returns the rates of a moderate and of an extreme fault.
fn alternatives(usual: f64) -> [f64; 2] {
    [3.0 * usual, 0.5].map(|it| it.clamp(1.5 * usual, 0.9))
}

/// Weight of the past in the clustering at each interval; at intervals of 1 s it halves in 140 s.
const CLUSTERING: f64 = 0.995;

/// How far the old group's bad calls come in clusters, such as stalls of endpoints: the squared
/// coefficient of variation of their rate between intervals, beyond that of independent calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Clustering {
    interval: Sample,
    seen: u32,
    excess: f64,
    expected: f64,
}

impl Clustering {
    fn observe(&mut self, old: Sample, rate: f64) {
        self.interval.bad += old.bad;
        self.interval.calls += old.calls;
        self.seen += 1;
        if self.seen < SPREAD {
            return;
        }
        let mean = self.interval.calls * rate;
        let excess = (self.interval.bad - mean).powi(2) - mean * (1.0 - rate);
        self.excess = self.excess * CLUSTERING + excess;
        self.expected = self.expected * CLUSTERING + mean * mean;
        (self.interval, self.seen) = (Sample::default(), 0);
    }

    fn value(&self) -> f64 {
        if self.expected > 0.0 { (self.excess / self.expected).max(0.0) } else { 0.0 }
    }
}

/// What the old group's calls say about usual calls.
struct Limits {
    usual: f64,
    threshold: f64,
    old_rate: f64,
    clustering: f64,
}

impl Limits {
    /// Returns the weight of the evidence of clustered calls (quasi-likelihood) when the new group
    /// has `calls` calls per observation. A weight below 1 only lowers the rate of false alarms.
    fn weight(&self, calls: f64) -> f64 {
        1.0 / (1.0 + self.clustering * calls * f64::from(SPREAD) * self.old_rate)
    }
}

/// Pairs of parts that are left out, and each part alone (as a pair with itself).
const LEFT_OUT: usize = ENDPOINT_BUCKETS * (ENDPOINT_BUCKETS + 1) / 2;

fn left_out() -> [[usize; 2]; LEFT_OUT] {
    let mut pairs = [[0; 2]; LEFT_OUT];
    let all = (0..ENDPOINT_BUCKETS)
        .flat_map(|first| (first..ENDPOINT_BUCKETS).map(move |second| [first, second]));
    pairs.iter_mut().zip(all).for_each(|(pair, it)| *pair = it);
    pairs
}

/// One measure on one route: the tests over all calls, and those without the calls of each pair
/// of parts of the new group's endpoints. Faults of one or two endpoints, such as stalls that
/// overlap, are not faults of the version.
#[derive(Debug, Clone, PartialEq)]
struct Tests {
    measure: Measure,
    allowed: f64,
    threshold: f64,
    old: Sample,
    /// Calls of the new group with the bad calls expected at the old group's rate in the same
    /// observations. After a stop the old group has had many calls that the new one has not.
    paired: Sample,
    spread: Spread,
    clustering: Clustering,
    /// All calls of the old group.
    old_all: Sample,
    whole: Detector,
    without: [Detector; LEFT_OUT],
}

impl Tests {
    fn new(measure: Measure, allowed: f64, threshold: f64) -> Tests {
        let without = std::array::from_fn(|_| Detector::new());
        Tests {
            measure,
            allowed,
            threshold,
            paired: Sample::default(),
            spread: Spread::default(),
            clustering: Clustering::default(),
            old: Sample::default(),
            old_all: Sample::default(),
            whole: Detector::new(),
            without,
        }
    }

    /// Returns the rate of bad calls up to which a group is taken as usual.
    fn usual(&self) -> f64 {
        let old = self.old.rate().max(self.old_all.rate());
        (2.0 * self.allowed.max(old)).clamp(LEAST_RATE, MOST_RATE)
    }

    fn observe(&mut self, settings: &Settings, counts: &RouteEvidence) {
        let old = Sample::of(self.measure, &counts.old);
        let usual = self.usual();
        let sample = |without: &[usize]| Sample::of(self.measure, &counts.new_total(without));
        let limits = Limits {
            usual,
            threshold: self.threshold,
            old_rate: self.old_all.rate(),
            clustering: self.clustering.value(),
        };
        self.clustering.observe(old, self.old_all.rate());
        let new = sample(&[]);
        self.spread.observe(new, usual);
        if new.calls > 0.0 {
            let rate = if old.calls > 0.0 { old.rate() } else { self.old.rate() };
            self.paired.decay(Sample { bad: new.calls * rate, calls: new.calls });
        }
        self.whole.observe(settings, new, old, &limits);
        for (pair, it) in left_out().iter().zip(&mut self.without) {
            it.observe(settings, sample(pair), old, &limits);
        }
        self.old.decay(old);
        self.old_all.bad += old.bad;
        self.old_all.calls += old.calls;
    }

    /// Returns the least value over the tests that leave a part out, when the new group is worse
    /// than its class allows.
    fn least(&self, parts: usize, value: fn(&Detector) -> f64) -> f64 {
        if self.whole.new.rate() <= self.allowed {
            return f64::NEG_INFINITY;
        }
        // At least two parts stay in the test, so that no single endpoint decides.
        let pairs = left_out();
        let used = |pair: &([usize; 2], &Detector)| match parts {
            0..3 => false,
            3 => pair.0[0] == pair.0[1],
            _ => true,
        };
        let tests = pairs.into_iter().zip(&self.without);
        tests.filter(used).map(|it| value(it.1)).fold(value(&self.whole), f64::min)
    }
}

/// The new group misses the target of the class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetMiss {
    /// Measure by which it misses the target.
    pub measure: Measure,
    /// Rate of bad calls of the new group.
    pub rate: f64,
    /// Rate of bad calls that is taken as usual.
    pub baseline: f64,
}

impl TargetMiss {
    /// Returns the logarithm of the likelihood ratio of a fault that the old group shares against
    /// an old group that is well, given calls of the old group.
    pub fn shared_llr(&self, old: &Counts) -> f64 {
        let high = (self.rate / 2.0).min(0.9);
        Sample::of(self.measure, old).evidence(high, self.baseline.min(high / 3.0))
    }
}

/// Sequential tests per measure on one route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTests {
    tests: [Tests; 2],
    used: [bool; ENDPOINT_BUCKETS],
    threshold: f64,
}

impl RouteTests {
    /// Creates the tests of a route of a service with `routes` routes.
    pub fn new(settings: &Settings, routes: usize, class: &RouteClass) -> RouteTests {
        // Two measures per route share the false alarm rate of the move.
        let tests = (2 * routes.max(1)) as f64;
        let threshold = (tests / settings.false_alarms).ln();
        RouteTests {
            tests: [
                Tests::new(Measure::Failures, class.failures, threshold),
                Tests::new(Measure::Slow, class.slow, threshold),
            ],
            used: [false; ENDPOINT_BUCKETS],
            threshold,
        }
    }

    /// Adds the counts of both groups in one window.
    pub fn observe(&mut self, settings: &Settings, counts: &RouteEvidence) {
        for (used, it) in self.used.iter_mut().zip(&counts.new) {
            *used |= it.calls > 0;
        }
        self.tests.iter_mut().for_each(|it| it.observe(settings, counts));
    }

    fn parts(&self) -> usize {
        self.used.iter().filter(|it| **it).count()
    }

    /// Returns the measure by which the new group is worse than the old one, if the comparison has
    /// ended.
    pub fn alarm(&self) -> Option<Measure> {
        let found = |it: &&Tests| it.least(self.parts(), Detector::compared) >= self.threshold;
        self.tests.iter().find(found).map(|it| it.measure)
    }

    /// Returns by how much the new group misses the target of its class, if the test against the
    /// target has reached `score`.
    pub fn target_miss(&self, score: f64) -> Option<TargetMiss> {
        // During a fault of the backend both groups miss the target.
        let found = |it: &&Tests| {
            it.whole.new.rate() > it.allowed.max(2.0 * it.paired.rate())
                && it.least(self.parts(), Detector::score).max(it.spread.score()) >= score
        };
        let burst = |it: &Tests| TargetMiss {
            measure: it.measure,
            rate: it.whole.new.rate(),
            baseline: it.usual(),
        };
        self.tests.iter().find(found).map(burst)
    }

    /// Starts the tests against the class target again.
    pub fn reset_target_tests(&mut self) {
        for it in &mut self.tests {
            let all = it.without.iter_mut().chain([&mut it.whole]);
            all.for_each(|it| it.scores = [0.0; 2]);
            it.spread = Spread::default();
        }
    }

    /// Returns whether the evidence against the new group has gone this part of the way.
    pub fn is_suspect(&self, settings: &Settings) -> bool {
        self.tests.iter().any(|it| {
            it.least(0, Detector::compared) >= settings.suspect_fraction * self.threshold
                || it.least(0, Detector::score) >= settings.suspect_fraction * settings.target_score
        })
    }
}
