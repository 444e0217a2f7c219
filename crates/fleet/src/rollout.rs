//! Rollout of a new version of a service, judged from the responses that all daemons saw.
//!
//! Every daemon follows the schedule in the order, counts responses by route and version, and
//! receives the counts of the other daemons. A daemon that judges the new version bad stops using
//! it at once. The final state is written under a condition, so that a rollout ends only once.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, GroupName, ServiceName, Time};

use crate::RowVersion;

/// Operators' order to roll out a version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Version of the order's row in the store.
    pub row_version: RowVersion,
    /// Service to roll out.
    pub service: ServiceName,
    /// New version.
    pub to: GroupName,
    /// Time from the order until the rollout has to be complete.
    pub within: Duration,
}

impl RolloutOrder {
    /// Returns whether both order the same, whatever the version of their rows.
    fn has_same_content(&self, other: &RolloutOrder) -> bool {
        (&self.service, &self.to, self.within) == (&other.service, &other.to, other.within)
    }
}

/// How an order that was read relates to the one that a rollout follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRelation {
    /// The order is new and replaces the one that the rollout follows.
    New,
    /// The order is the same one in a later era of the store.
    Same,
    /// The order is known already, or was replaced before.
    Known,
}

/// State of a rollout as reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Both versions receive requests.
    Running,
    /// Only the new version receives requests.
    Completed,
    /// Only the old versions receive requests.
    RolledBack,
}

/// Versions that may run a request.
#[derive(Debug, Clone, PartialEq)]
pub enum VersionFilter {
    /// All versions.
    Any,
    /// The canaries of a version. The other versions if no canary has a free slot, and for each
    /// further send.
    Canary {
        /// Version under test.
        group: GroupName,
        /// Fraction of its backend servers in a data centre that are canaries.
        fraction: f64,
    },
    /// One version, or any version if it has no available backend server.
    Only(GroupName),
    /// All versions except one.
    Except {
        /// Excluded version.
        group: GroupName,
        /// Whether it stays excluded if no other version is available.
        strict: bool,
    },
}

/// Side of a rollout that a version is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// A version in use before the rollout.
    Old,
    /// The version being rolled out.
    New,
}

/// Response counts of one side on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All responses.
    pub all: u32,
    /// Failed responses.
    pub failed: u32,
    /// Other responses with a run time above `slow_factor` times the usual one.
    pub slow: u32,
}

impl Counts {
    fn bad(&self) -> u32 {
        self.failed + self.slow
    }

    fn add(&mut self, other: &Counts) {
        self.all += other.all;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    fn remove(&mut self, other: &Counts) {
        self.all -= other.all;
        self.failed -= other.failed;
        self.slow -= other.slow;
    }
}

/// Response counts of one daemon for one rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Version of the order's row in the store.
    pub row_version: RowVersion,
    /// Whether the daemon judged the new version bad, or learned it from another daemon or the
    /// store.
    pub bad: bool,
    /// Counts of the old and the new side by route.
    pub routes: BTreeMap<Arc<str>, [Counts; 2]>,
}

impl Evidence {
    /// Returns a key that orders the evidence of one daemon by age: counts only grow, and a bad
    /// judgement is final.
    fn progress(&self) -> (bool, u32) {
        (self.bad, self.routes.values().flatten().map(|it| it.all).sum())
    }
}

/// Judgement of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// No sufficient evidence against the new version so far.
    Undecided,
    /// The new version is bad.
    Bad,
}

/// Next step of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing to report yet.
    Wait,
    /// Report this state to operators.
    Report(RolloutState),
}

/// Settings of a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutSettings {
    /// Share of the requests that the new version gets in the canary phase. A bad version may get
    /// at most a tenth of all requests.
    pub canary_share: f64,
    /// Length of the canary phase, as a fraction of the whole rollout.
    pub canary_phase: f64,
    /// Time before the end from which all requests go to the new version; the slowest requests of
    /// the old version end within it.
    pub drain_time: Duration,
    /// Time before the end at which the rollout is reported complete.
    pub report_lead: Duration,
    /// Multiple of the usual run time above which a response counts as slow. A bad version is
    /// several times slower.
    pub slow_factor: f64,
    /// Minimum number of bad responses on one route for a bad judgement.
    pub min_bad: u32,
    /// Minimum share of bad responses for a bad judgement.
    pub bad_share: f64,
    /// Minimum ratio of the bad share of the new version to that of the old one.
    pub excess_factor: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        RolloutSettings {
            canary_share: 0.07,
            canary_phase: 0.55,
            drain_time: Duration::from_millis(3_500),
            report_lead: Duration::from_millis(700),
            slow_factor: 4.0,
            min_bad: 4,
            bad_share: 0.12,
            excess_factor: 3.0,
        }
    }
}

/// Share of the new version at the start of the ramp; small enough that a version that fails only
/// under load affects few requests.
const RAMP_START: f64 = 0.15;
/// Share of the new version's requests that may go to any of its backend servers, so that a single
/// faulty one is found before many requests depend on it.
const EXPLORATION_SHARE: f64 = 0.15;
/// Bad share of the old version above which both versions may have the same fault.
const SHARED_FAULT_SHARE: f64 = 0.06;
/// Minimum number of runs of the old version for a usual run time; run times vary by a factor of
/// five.
const MIN_USUAL_RUNS: u32 = 12;
/// Failure share that a version without a fault may have; up to four in a thousand requests of the
/// sites fail.
const BASE_FAILURE_SHARE: f64 = 0.01;
/// Ratio of the failure share of a bad version to the usual one; a bad version fails a large part
/// of its requests at some load.
const FAILURE_RATIO: f64 = 4.0;
/// Minimum number of responses of the old version for a reliable bad share.
const MIN_COMPARED: u32 = 60;
/// Number of replaced orders that are kept; a restored store shows one of the last.
const MAX_REPLACED: usize = 8;
/// Log-likelihood ratio needed for a bad judgement; reached by chance in one of a thousand
/// rollouts.
const MIN_LOG_RATIO: f64 = 7.0;
/// Weight of one response of the old version in the usual run time of a route.
const USUAL_WEIGHT: f64 = 0.05;

/// Moving average of the run time of a route at the old version.
#[derive(Debug, Clone, Copy, Default)]
struct Usual {
    seconds: f64,
    runs: u32,
}

impl Usual {
    fn add(&mut self, seconds: f64) {
        self.runs += 1;
        // The plain mean at first, so that the first run does not dominate.
        let weight = (1.0 / f64::from(self.runs)).max(USUAL_WEIGHT);
        self.seconds += (seconds - self.seconds) * weight;
    }

    fn is_known(&self) -> bool {
        self.runs >= MIN_USUAL_RUNS
    }
}

/// Rollout of one service.
#[derive(Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    order: RolloutOrder,
    started: Time,
    state: RolloutState,
    /// Whether the store may have lost the report of the final state.
    unreported: bool,
    /// Earlier orders for the service, oldest first.
    replaced: VecDeque<RolloutOrder>,
    own: Evidence,
    /// Evidence of other daemons by VM and incarnation.
    others: HashMap<(EndpointId, u64), Evidence>,
    /// Sums of the counts in `others` by route.
    sums: BTreeMap<Arc<str>, [Counts; 2]>,
    /// Keys of `others`, most recently changed first.
    recent: VecDeque<(EndpointId, u64)>,
    /// Usual run time of each route at the old version.
    usual: HashMap<Arc<str>, Usual>,
    judgement: Judgement,
}

impl Rollout {
    /// Creates a rollout that starts now.
    pub fn new(settings: RolloutSettings, now: Time, order: RolloutOrder) -> Rollout {
        let own = Evidence { row_version: order.row_version, ..Evidence::default() };
        Rollout {
            settings,
            order,
            started: now,
            state: RolloutState::Running,
            unreported: false,
            replaced: VecDeque::new(),
            own,
            others: HashMap::new(),
            sums: BTreeMap::new(),
            recent: VecDeque::new(),
            usual: HashMap::new(),
            judgement: Judgement::Undecided,
        }
    }

    /// Creates the rollout of a new order for the service, which starts now.
    pub fn replace(&self, now: Time, order: RolloutOrder) -> Rollout {
        let mut replaced = self.replaced.clone();
        replaced.push_back(self.order.clone());
        if replaced.len() > MAX_REPLACED {
            replaced.pop_front();
        }
        Rollout { replaced, ..Rollout::new(self.settings, now, order) }
    }

    /// Returns how an order that was read relates to the current one.
    ///
    /// A store that was restored from an older copy shows replaced orders until the operators write
    /// the current one again, with a row version that is not comparable to the earlier one.
    pub fn relation(&self, order: &RolloutOrder) -> OrderRelation {
        let (known, read) = (self.order.row_version, order.row_version);
        if read <= known {
            OrderRelation::Known
        } else if read.era == known.era {
            OrderRelation::New
        } else if self.order.has_same_content(order) {
            OrderRelation::Same
        } else if self.replaced.iter().any(|it| it.has_same_content(order)) {
            OrderRelation::Known
        } else {
            OrderRelation::New
        }
    }

    /// Sets the version of the order's row in a later era of the store, which may have lost the
    /// report of the final state.
    pub fn set_row_version(&mut self, version: RowVersion) {
        self.order.row_version = version;
        self.own.row_version = version;
        self.others.values_mut().for_each(|it| it.row_version = version);
        self.unreported = self.state != RolloutState::Running;
    }

    /// Processes a state read from or written to the store.
    ///
    /// `version` is the version of its row. A report that is older than the order is about an
    /// earlier rollout, and one of another era can't be compared with it; both are ignored. Returns
    /// whether the state changed.
    pub fn apply_report(
        &mut self,
        to: &GroupName,
        state: RolloutState,
        version: RowVersion,
    ) -> bool {
        if !self.is_current_report(to, version) {
            return false;
        }
        self.unreported &= state == RolloutState::Running;
        let before = self.state;
        self.set_state(state);
        self.state != before
    }

    /// Returns whether a report is about this rollout.
    pub fn is_current_report(&self, to: &GroupName, version: RowVersion) -> bool {
        let order = self.order.row_version;
        self.order.to == *to && version.era == order.era && version > order
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the state.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Sets the state reported in the store, which is final unless it is running.
    pub fn set_state(&mut self, state: RolloutState) {
        if self.state == RolloutState::Running {
            self.state = state;
        }
        if self.state == RolloutState::RolledBack {
            self.mark_bad();
        }
    }

    /// Draws at random the versions that may run one request.
    pub fn draw_versions(&self, now: Time, rng: &mut dyn Rng) -> VersionFilter {
        let group = self.order.to.clone();
        match self.state {
            RolloutState::Completed => return VersionFilter::Only(group),
            RolloutState::RolledBack => return VersionFilter::Except { group, strict: true },
            RolloutState::Running => {}
        }
        if self.judgement == Judgement::Bad {
            return VersionFilter::Except { group, strict: true };
        }
        let share = self.share(now);
        if share >= 1.0 {
            return VersionFilter::Only(group);
        }
        if rng.random::<f64>() >= share {
            return VersionFilter::Except { group, strict: false };
        }
        // As large a fraction of the backend servers as of the requests, so that each canary has
        // the load of normal operation.
        let fraction = if rng.random::<f64>() < EXPLORATION_SHARE { 1.0 } else { share };
        VersionFilter::Canary { group, fraction }
    }

    /// Returns the scheduled share of the requests that the new version gets.
    pub fn share(&self, now: Time) -> f64 {
        let elapsed = now.since(self.started).as_secs_f64();
        let canary_end = self.order.within.as_secs_f64() * self.settings.canary_phase;
        let ramp_end = self.order.within.saturating_sub(self.settings.drain_time).as_secs_f64();
        if elapsed >= ramp_end {
            1.0
        } else if elapsed < canary_end {
            self.settings.canary_share
        } else {
            let progress = (elapsed - canary_end) / (ramp_end - canary_end);
            RAMP_START + (1.0 - RAMP_START) * progress
        }
    }

    /// Returns the side of a version.
    pub fn side(&self, group: &GroupName) -> Side {
        if *group == self.order.to { Side::New } else { Side::Old }
    }

    /// Counts a response.
    ///
    /// Runs of a backend server that is warming up are not compared with the usual run time.
    pub fn record_answer(
        &mut self,
        route: &Arc<str>,
        side: Side,
        failed: bool,
        run: Duration,
        warming: bool,
    ) {
        let seconds = run.as_secs_f64();
        let usual = self.usual.get(route).filter(|it| it.is_known());
        let slow =
            !warming && usual.is_some_and(|it| seconds > it.seconds * self.settings.slow_factor);
        let counts = self.own.routes.entry(Arc::clone(route)).or_default();
        let counts = &mut counts[side as usize];
        counts.all += 1;
        counts.failed += u32::from(failed);
        counts.slow += u32::from(slow && !failed);
        if side == Side::Old && !failed && !warming {
            self.usual.entry(Arc::clone(route)).or_default().add(seconds);
        }
        self.judge();
    }

    /// Returns the evidence of this daemon.
    pub fn evidence(&self) -> &Evidence {
        &self.own
    }

    /// Returns evidence without counts that marks the new version bad, if it was judged bad.
    ///
    /// Daemons that still use the new version need no more to stop.
    pub fn verdict(&self) -> Option<Evidence> {
        let verdict =
            Evidence { row_version: self.order.row_version, bad: true, routes: BTreeMap::new() };
        self.own.bad.then_some(verdict)
    }

    /// Merges the evidence of another daemon, received from it or from a third one.
    ///
    /// Evidence of another order, or older than what is known of that daemon, is ignored.
    pub fn merge_evidence(&mut self, vm: &EndpointId, incarnation: u64, evidence: &Evidence) {
        if evidence.row_version != self.order.row_version {
            return;
        }
        let key = (vm.clone(), incarnation);
        let before = self.others.get(&key);
        if before.is_some_and(|it| it.progress() >= evidence.progress()) {
            return;
        }
        for (route, counts) in &evidence.routes {
            add(self.sums.entry(Arc::clone(route)).or_default(), counts);
        }
        for (route, counts) in before.into_iter().flat_map(|it| &it.routes) {
            let sums = self.sums.entry(Arc::clone(route)).or_default();
            sums.iter_mut().zip(counts).for_each(|(sum, it)| sum.remove(it));
        }
        self.others.insert(key.clone(), evidence.clone());
        self.recent.retain(|it| *it != key);
        self.recent.push_front(key);
        if evidence.bad {
            self.mark_bad();
        }
        self.judge();
    }

    /// Returns up to `limit` of the most recently changed evidence of other daemons, to pass on.
    pub fn recent_evidence(
        &self,
        limit: usize,
    ) -> impl Iterator<Item = (&EndpointId, u64, &Evidence)> {
        let recent = self.recent.iter().take(limit);
        recent.filter_map(|key| self.others.get(key).map(|it| (&key.0, key.1, it)))
    }

    /// Returns the counts of the old and the new side over all routes and daemons.
    pub fn totals(&self) -> [Counts; 2] {
        let mut totals = [Counts::default(); 2];
        for counts in self.sums.values().chain(self.own.routes.values()) {
            add(&mut totals, counts);
        }
        totals
    }

    /// Returns the number of other daemons whose evidence is known.
    pub fn peer_count(&self) -> usize {
        self.others.len()
    }

    /// Returns the judgement of the new version, which stays bad once it is.
    pub fn judgement(&self) -> Judgement {
        self.judgement
    }

    /// Returns the next step, such as a state to report.
    pub fn step(&self, now: Time) -> Step {
        if self.state != RolloutState::Running {
            return if self.unreported { Step::Report(self.state) } else { Step::Wait };
        }
        if self.judgement == Judgement::Bad {
            return Step::Report(RolloutState::RolledBack);
        }
        let end = self.started + self.order.within.saturating_sub(self.settings.report_lead);
        if now >= end { Step::Report(RolloutState::Completed) } else { Step::Wait }
    }

    fn judge(&mut self) {
        let routes = self.sums.keys().chain(self.own.routes.keys());
        let bad = routes.into_iter().any(|route| {
            let mut total = self.sums.get(route).copied().unwrap_or_default();
            let own = self.own.routes.get(route).copied().unwrap_or_default();
            add(&mut total, &own);
            self.is_bad(&total)
        });
        if bad {
            self.mark_bad();
        }
    }

    fn mark_bad(&mut self) {
        self.judgement = Judgement::Bad;
        self.own.bad = true;
    }

    fn is_bad(&self, [old, new]: &[Counts; 2]) -> bool {
        let share = |it: &Counts| f64::from(it.bad()) / f64::from(it.all.max(1));
        let old_share = smoothed_share(old.bad(), old.all);
        let exceeds_limits = new.bad() >= self.settings.min_bad
            && share(new) >= self.settings.bad_share
            && share(new) >= old_share * self.settings.excess_factor;
        if old.all >= MIN_COMPARED && old_share < SHARED_FAULT_SHARE {
            // Backend servers differ in speed but not in failures, so a few failures are
            // significant.
            let usual = smoothed_share(old.failed, old.all).max(BASE_FAILURE_SHARE);
            exceeds_limits
                || log_likelihood_ratio(new.failed, new.all, usual, FAILURE_RATIO) >= MIN_LOG_RATIO
        } else {
            let usual = old_share.max(SHARED_FAULT_SHARE);
            exceeds_limits
                && log_likelihood_ratio(new.bad(), new.all, usual, self.settings.excess_factor)
                    >= MIN_LOG_RATIO
        }
    }
}

/// Returns the bad share with one bad response in ten added, for use with low counts.
fn smoothed_share(bad: u32, all: u32) -> f64 {
    f64::from(bad + 1) / f64::from(all + 10)
}

/// Returns the logarithm of the likelihood ratio of the counts, for a bad share of `excess` times
/// the usual one against the usual one.
fn log_likelihood_ratio(bad: u32, all: u32, usual: f64, excess: f64) -> f64 {
    let usual = usual.min(0.9);
    let worse = (usual * excess).min(0.95);
    let good = f64::from(all - bad);
    f64::from(bad) * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}

fn add(totals: &mut [Counts; 2], counts: &[Counts; 2]) {
    totals.iter_mut().zip(counts).for_each(|(total, it)| total.add(it));
}
