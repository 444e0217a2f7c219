//! Move of a service to another version, judged from the answers that all daemons saw.
//!
//! Every daemon follows the same timetable from the order, counts answers by route and version
//! and hears the counts of the others. A daemon that finds the new version bad stops using it at
//! once. The state is reported under a condition, so that it ends only once.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, GroupName, ServiceName, Time};

/// Operators' order to move a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Version of the order's row in the store.
    pub row_version: u64,
    /// Service that moves.
    pub service: ServiceName,
    /// Version that it moves to.
    pub to: GroupName,
    /// Time from the order until the move has to be complete.
    pub within: Duration,
}

/// State of a move as operators are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Both versions run.
    Running,
    /// Only the new version runs.
    Completed,
    /// Only the old version runs.
    RolledBack,
}

/// Versions that may run a request.
#[derive(Debug, Clone, PartialEq)]
pub enum VersionFilter {
    /// All.
    Any,
    /// A part of the backend servers of a version that is on trial; the other versions where they
    /// have no room, and for each further send.
    Canary {
        /// Version on trial.
        group: GroupName,
        /// Part of its backend servers in a data centre.
        fraction: f64,
    },
    /// One, or any when none of it is there.
    Only(GroupName),
    /// All but one.
    Except {
        /// Version that is not used.
        group: GroupName,
        /// Whether it is not used even when there is no other.
        strict: bool,
    },
}

/// Version that gave an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// One of those in use before.
    Old,
    /// The one that the order names.
    New,
}

/// Answers of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All answers.
    pub all: u32,
    /// Failures.
    pub failed: u32,
    /// Other answers that were several times slower than usual.
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

/// Counts of one daemon for one order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Version of the order's row in the store.
    pub row_version: u64,
    /// Whether the daemon found the new version bad, or heard or read that it is.
    pub bad: bool,
    /// Old and new version by route.
    pub routes: BTreeMap<Arc<str>, [Counts; 2]>,
}

impl Evidence {
    /// Returns what orders the evidence of one daemon; counts only grow, and a verdict is final.
    fn order(&self) -> (bool, u32) {
        (self.bad, self.routes.values().flatten().map(|it| it.all).sum())
    }
}

/// What the counts say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// Nothing against the new version.
    Undecided,
    /// The new version is bad.
    Bad,
}

/// What to report now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing; look again later.
    Wait,
    /// Report the state.
    Report(RolloutState),
}

/// Figures of a move.
#[derive(Debug, Clone, Copy)]
pub struct RolloutSettings {
    /// Share of the new version in the first part of the time. A bad version gets at most a tenth
    /// of the requests.
    pub canary_share: f64,
    /// Part of the time after which the share rises.
    pub canary_phase: f64,
    /// Time before the end at which all requests go to the new version; the slowest requests of
    /// the old one end in it.
    pub drain_time: Duration,
    /// Time before the end at which the move is reported complete.
    pub report_lead: Duration,
    /// Factor of the usual run time above which an answer is bad. A bad version is several times
    /// slower.
    pub slow_factor: f64,
    /// Bad answers on one route that are needed for a judgement.
    pub min_bad: u32,
    /// Share of bad answers that is needed for a judgement.
    pub bad_share: f64,
    /// Factor by which the bad share exceeds that of the old version.
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

/// Share of the new version when the rise begins; small enough that a version that fails under
/// load only shows itself to few.
const RISE_FROM: f64 = 0.15;
/// Part of the new version's requests that any of its backend servers may get, so that a single
/// one that does not work shows before many requests depend on it.
const EXPLORED: f64 = 0.15;
/// Share of bad answers of the old version above which both versions may have one fault.
const SHARED_SHARE: f64 = 0.06;
/// Runs of the old version that make its usual run time known; run times spread over a factor of
/// five.
const LEAST_USUAL: u32 = 12;
/// Share of failures that a version without a fault may have; requests of the sites fail in up to
/// four of a thousand.
const LEAST_FAILURES: f64 = 0.01;
/// Factor by which failures exceed the usual share at a version that is worse; a bad version fails
/// a good part of its requests at some load.
const FAILURE_EXCESS: f64 = 4.0;
/// Answers of the old version below which its share of bad ones is not known well.
const LEAST_COMPARED: u32 = 60;
/// Evidence needed then, as the logarithm of a likelihood ratio; it is reached by chance in one of
/// a thousand moves.
const SURE: f64 = 7.0;
/// Weight of one answer of the old version in the usual run time of a route.
const USUAL_WEIGHT: f64 = 0.05;

/// Mean run time of a route at the old version.
#[derive(Debug, Clone, Copy, Default)]
struct Usual {
    seconds: f64,
    runs: u32,
}

impl Usual {
    fn add(&mut self, seconds: f64) {
        self.runs += 1;
        // The plain mean at first, so that a single run does not stand for the usual time.
        let weight = (1.0 / f64::from(self.runs)).max(USUAL_WEIGHT);
        self.seconds += (seconds - self.seconds) * weight;
    }

    fn is_known(&self) -> bool {
        self.runs >= LEAST_USUAL
    }
}

/// One move.
#[derive(Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    order: RolloutOrder,
    begun: Time,
    state: RolloutState,
    own: Evidence,
    /// Counts of other daemons by VM and incarnation.
    others: HashMap<(EndpointId, u64), Evidence>,
    /// Sums of `others` by route.
    sums: BTreeMap<Arc<str>, [Counts; 2]>,
    /// Keys of `others`, those that changed last first.
    news: VecDeque<(EndpointId, u64)>,
    /// Usual run time of each route at the old version.
    usual: HashMap<Arc<str>, Usual>,
    judged: Judgement,
}

impl Rollout {
    /// Creates a move that begins now.
    pub fn new(settings: RolloutSettings, now: Time, order: RolloutOrder) -> Rollout {
        let own = Evidence { row_version: order.row_version, ..Evidence::default() };
        Rollout {
            settings,
            order,
            begun: now,
            state: RolloutState::Running,
            own,
            others: HashMap::new(),
            sums: BTreeMap::new(),
            news: VecDeque::new(),
            usual: HashMap::new(),
            judged: Judgement::Undecided,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the state.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Takes the reported state, which is final once it is no longer running.
    pub fn set_state(&mut self, state: RolloutState) {
        if self.state == RolloutState::Running {
            self.state = state;
        }
        if self.state == RolloutState::RolledBack {
            self.condemn();
        }
    }

    /// Draws the versions that may run a request.
    pub fn draw_versions(&self, now: Time, rng: &mut dyn Rng) -> VersionFilter {
        let group = self.order.to.clone();
        match self.state {
            RolloutState::Completed => return VersionFilter::Only(group),
            RolloutState::RolledBack => return VersionFilter::Except { group, strict: true },
            RolloutState::Running => {}
        }
        if self.judged == Judgement::Bad {
            return VersionFilter::Except { group, strict: true };
        }
        let share = self.share(now);
        if share >= 1.0 {
            return VersionFilter::Only(group);
        }
        if rng.random::<f64>() >= share {
            return VersionFilter::Except { group, strict: false };
        }
        // As many servers as carry the share with the load that all will have in the end.
        let fraction = if rng.random::<f64>() < EXPLORED { 1.0 } else { share };
        VersionFilter::Canary { group, fraction }
    }

    /// Returns the share of the new version by the timetable.
    pub fn share(&self, now: Time) -> f64 {
        let elapsed = now.since(self.begun).as_secs_f64();
        let hold = self.order.within.as_secs_f64() * self.settings.canary_phase;
        let full = self.order.within.saturating_sub(self.settings.drain_time).as_secs_f64();
        if elapsed >= full {
            1.0
        } else if elapsed < hold {
            self.settings.canary_share
        } else {
            let part = (elapsed - hold) / (full - hold);
            RISE_FROM + (1.0 - RISE_FROM) * part
        }
    }

    /// Returns the version that a backend server's group stands for.
    pub fn side(&self, group: &GroupName) -> Side {
        if *group == self.order.to { Side::New } else { Side::Old }
    }

    /// Counts an answer; `cold` runs are not compared with the usual time.
    pub fn record_answer(
        &mut self,
        route: &Arc<str>,
        side: Side,
        failed: bool,
        run: Duration,
        cold: bool,
    ) {
        let seconds = run.as_secs_f64();
        let usual = self.usual.get(route).filter(|it| it.is_known());
        let slow =
            !cold && usual.is_some_and(|it| seconds > it.seconds * self.settings.slow_factor);
        let counts = self.own.routes.entry(Arc::clone(route)).or_default();
        let counts = &mut counts[side as usize];
        counts.all += 1;
        counts.failed += u32::from(failed);
        counts.slow += u32::from(slow && !failed);
        if side == Side::Old && !failed && !cold {
            self.usual.entry(Arc::clone(route)).or_default().add(seconds);
        }
        self.judge();
    }

    /// Returns this daemon's counts.
    pub fn evidence(&self) -> &Evidence {
        &self.own
    }

    /// Returns what daemons that still use the new version have to know once it was found bad.
    pub fn verdict(&self) -> Option<Evidence> {
        let verdict =
            Evidence { row_version: self.order.row_version, bad: true, routes: BTreeMap::new() };
        self.own.bad.then_some(verdict)
    }

    /// Takes the counts of another daemon, from it or from one that passes them on.
    pub fn merge_evidence(&mut self, vm: &EndpointId, incarnation: u64, evidence: &Evidence) {
        if evidence.row_version != self.order.row_version {
            return;
        }
        let key = (vm.clone(), incarnation);
        let before = self.others.get(&key);
        if before.is_some_and(|it| it.order() >= evidence.order()) {
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
        self.news.retain(|it| *it != key);
        self.news.push_front(key);
        if evidence.bad {
            self.condemn();
        }
        self.judge();
    }

    /// Returns the counts of other daemons that changed last, at most `most`, to be passed on.
    pub fn recent_evidence(
        &self,
        most: usize,
    ) -> impl Iterator<Item = (&EndpointId, u64, &Evidence)> {
        let news = self.news.iter().take(most);
        news.filter_map(|key| self.others.get(key).map(|it| (&key.0, key.1, it)))
    }

    /// Returns the counts of the old and the new version over all routes and daemons.
    pub fn totals(&self) -> [Counts; 2] {
        let mut totals = [Counts::default(); 2];
        for counts in self.sums.values().chain(self.own.routes.values()) {
            add(&mut totals, counts);
        }
        totals
    }

    /// Returns the number of other daemons whose counts were heard.
    pub fn peer_count(&self) -> usize {
        self.others.len()
    }

    /// Returns what the counts say; a bad version stays bad.
    pub fn judgement(&self) -> Judgement {
        self.judged
    }

    /// Returns what to report.
    pub fn step(&self, now: Time) -> Step {
        if self.state != RolloutState::Running {
            return Step::Wait;
        }
        if self.judged == Judgement::Bad {
            return Step::Report(RolloutState::RolledBack);
        }
        let end = self.begun + self.order.within.saturating_sub(self.settings.report_lead);
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
            self.condemn();
        }
    }

    fn condemn(&mut self) {
        self.judged = Judgement::Bad;
        self.own.bad = true;
    }

    fn is_bad(&self, [old, new]: &[Counts; 2]) -> bool {
        let share = |it: &Counts| f64::from(it.bad()) / f64::from(it.all.max(1));
        let old_share = known_share(old.bad(), old.all);
        let stands_out = new.bad() >= self.settings.min_bad
            && share(new) >= self.settings.bad_share
            && share(new) >= old_share * self.settings.excess_factor;
        if old.all >= LEAST_COMPARED && old_share < SHARED_SHARE {
            // Servers differ in speed but not in failures, so that few of these say much.
            let usual = known_share(old.failed, old.all).max(LEAST_FAILURES);
            stands_out || evidence_against(new.failed, new.all, usual, FAILURE_EXCESS) >= SURE
        } else {
            let usual = old_share.max(SHARED_SHARE);
            stands_out
                && evidence_against(new.bad(), new.all, usual, self.settings.excess_factor) >= SURE
        }
    }
}

/// Returns a share with one more bad answer than seen, since there are few at first.
fn known_share(bad: u32, all: u32) -> f64 {
    f64::from(bad + 1) / f64::from(all + 10)
}

/// Returns the logarithm of the likelihood ratio of the counts: `excess` times the usual share of
/// bad answers against the usual one.
fn evidence_against(bad: u32, all: u32, usual: f64, excess: f64) -> f64 {
    let usual = usual.min(0.9);
    let worse = (usual * excess).min(0.95);
    let good = f64::from(all - bad);
    f64::from(bad) * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}

fn add(totals: &mut [Counts; 2], counts: &[Counts; 2]) {
    totals.iter_mut().zip(counts).for_each(|(total, it)| total.add(it));
}
