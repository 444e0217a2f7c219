//! Requests that crash the backend servers that run them, and are therefore blocked.
//!
//! The daemon beside a backend server reports each crash with the requests in progress. Daemons pass
//! the reports on with their descriptions, and each judges for itself. A request is blocked if it was
//! in progress at several crashes, no other request was at all of them, and it is very unlikely to
//! have been there by chance. Each crash counts against one request only.
//!
//! A request that was in progress at crashes and is not blocked yet is tried at one backend server at
//! a time, and not right after a crash. If it is sound, it runs to its end there and is cleared.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, ServiceName};
use smallvec::SmallVec;

use crate::{Member, RequestKey, runs::MAX_SUSPECTS};

/// Number of crashes below which no request is blocked.
const MIN_CRASHES: usize = 3;
/// Number of runs that crashes must have cut before a request is a suspect.
const MIN_SUSPECT_RUNS: usize = 3;
/// Number of crashes at which these runs must have been in progress.
const MIN_SUSPECT_CRASHES: usize = 2;
/// Largest expected number of sound requests that are blocked by chance for the same crashes.
const MAX_CHANCE: f64 = 0.01;
/// Time within which daemons and callers repeat a request whose run was cut.
const REPEAT_TIME: Duration = Duration::from_secs(2);
/// Assumed probability that a request which is repeated meets the next crash within `REPEAT_TIME`,
/// since it is one of a few backend servers that are left.
const REPEAT_CHANCE: f64 = 0.25;
/// Number of other requests that may explain crashes at which a suspect was not in progress, so that
/// a few can be told apart that crash servers at the same time.
const MAX_ALTERNATIVES: usize = 2;
/// Assumed share of runs that crashes end while there are no other crashes to compare with.
const PRIOR_SHARE: f64 = 0.1;
/// Time for which the report of a crash is evidence.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);
/// Time for which a request is blocked after the last crash, by the number of trials so far. A
/// request may run again after it, and a single crash blocks it again.
const BLOCK_TIMES: [Duration; 4] = [
    Duration::from_secs(60),
    Duration::from_secs(15 * 60),
    Duration::from_secs(4 * 3_600),
    VERDICT_TIME,
];
/// Time after the last crash for which a blocked request is remembered.
const VERDICT_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Largest difference between the clocks of two VMs; reports from further ahead are ignored.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);
/// Maximum number of crashes remembered.
const MAX_CRASHES: usize = 256;
/// Maximum number of verdicts remembered.
const MAX_VERDICTS: usize = 256;
/// Maximum number of requests that one more crash can prove to crash backend servers.
const MAX_NEW_VERDICTS: usize = 8;
/// Maximum number of own crashes in a daemon's description.
pub const MAX_REPORTED_CRASHES: usize = 4;
/// Maximum number of verdicts in a daemon's description.
pub const MAX_REPORTED_VERDICTS: usize = 32;

/// Crash of a backend server, as reported by the daemon beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Unix time of the crash in milliseconds.
    pub at_ms: u64,
    /// Service that the backend server ran.
    pub service: ServiceName,
    /// Number of requests that it had run to their end since its start.
    pub completions: u32,
    /// Requests in progress, once for each run.
    pub requests: SmallVec<[RequestKey; 12]>,
}

/// Whether a request crashes the backend servers that run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Finding {
    /// It ran to its end, so that earlier crashes had another cause.
    Cleared,
    /// It does.
    Blocked,
}

/// What is known about a request that was in progress at several crashes. Of two verdicts on a
/// request, the later one holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The request.
    pub key: RequestKey,
    /// Service that runs it.
    pub service: ServiceName,
    /// Unix time of the last crash or of the completed run in milliseconds.
    pub at_ms: u64,
    /// Whether it crashes backend servers.
    pub finding: Finding,
    /// Number of times that it crashed one again after it had been blocked for a time.
    pub trials: u8,
}

impl Verdict {
    fn new(key: RequestKey, service: &ServiceName, at_ms: u64, finding: Finding) -> Verdict {
        Verdict { key, service: service.clone(), at_ms, finding, trials: 0 }
    }

    /// Returns the Unix time in milliseconds until which the request is blocked, 0 if it is not.
    fn blocked_until(&self) -> u64 {
        let time = BLOCK_TIMES[usize::from(self.trials).min(BLOCK_TIMES.len() - 1)];
        match self.finding {
            Finding::Blocked => self.at_ms.saturating_add(millis(time)),
            Finding::Cleared => 0,
        }
    }

    /// Returns whether the verdict still matters.
    fn is_current(&self, now_ms: u64) -> bool {
        let max_age = match self.finding {
            Finding::Blocked => VERDICT_TIME,
            Finding::Cleared => EVIDENCE_TIME,
        };
        is_current(now_ms, self.at_ms, max_age)
    }
}

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Like any other.
    Free,
    /// At one backend server at a time, since it may be the cause of crashes.
    Trial,
    /// Not before this time has passed.
    Wait(Duration),
}

/// Runs of a request that crashes have cut.
#[derive(Debug, Clone, Copy, Default)]
struct Suspicion {
    crashes: usize,
    runs: usize,
    /// Unix time of the last of the crashes in milliseconds.
    last_ms: u64,
}

/// A report with the VM that it came from.
#[derive(Debug)]
struct Report {
    vm: EndpointId,
    /// The crash, without requests that have run to their end since.
    crash: Crash,
    /// Number of requests that were in progress.
    cut: usize,
}

/// Crashes of backend servers of the fleet, and the requests that are blocked for them.
#[derive(Debug, Default)]
pub struct Blocklist {
    /// Recent crashes in the order in which they became known.
    reports: VecDeque<Report>,
    verdicts: BTreeMap<RequestKey, Verdict>,
    /// Requests that may run as trials only.
    suspects: BTreeMap<RequestKey, Suspicion>,
}

impl Blocklist {
    /// Records what a daemon describes of crashes. Returns the verdicts that are new.
    ///
    /// `now_ms` is the Unix time in milliseconds.
    pub fn record_member(&mut self, now_ms: u64, member: &Member) -> SmallVec<[Verdict; 1]> {
        let mut changed = SmallVec::new();
        for verdict in member.verdicts.iter().take(MAX_REPORTED_VERDICTS) {
            if self.record_verdict(now_ms, verdict) {
                changed.push(verdict.clone());
            }
        }
        for crash in member.crashes.iter().take(MAX_REPORTED_CRASHES) {
            changed.extend(self.record_crash(now_ms, &member.vm, crash));
        }
        changed
    }

    /// Records the crash of the backend server of a VM. Returns the verdicts that are new.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        vm: &EndpointId,
        crash: &Crash,
    ) -> SmallVec<[Verdict; 1]> {
        let known = self.reports.iter().any(|it| it.vm == *vm && it.crash.at_ms == crash.at_ms);
        if known || !is_current(now_ms, crash.at_ms, EVIDENCE_TIME) {
            return SmallVec::new();
        }
        self.reports.retain(|it| is_current(now_ms, it.crash.at_ms, EVIDENCE_TIME));
        if self.reports.len() >= MAX_CRASHES {
            self.reports.pop_front();
        }
        let mut crash = crash.clone();
        crash.requests.truncate(MAX_SUSPECTS);
        let mut changed = SmallVec::new();
        for key in &crash.requests {
            let Some(verdict) = self.verdicts.get_mut(key) else { continue };
            if verdict.finding == Finding::Blocked && verdict.at_ms < crash.at_ms {
                let trial = verdict.blocked_until() < crash.at_ms;
                verdict.trials = verdict.trials.saturating_add(u8::from(trial));
                verdict.at_ms = crash.at_ms;
                changed.push(verdict.clone());
            }
        }
        let cut = crash.requests.len();
        self.reports.push_back(Report { vm: vm.clone(), crash, cut });
        // Bounded, since a full list may forget a verdict that its crashes still prove.
        for _ in 0..MAX_NEW_VERDICTS {
            let Some(verdict) = self.judge() else { break };
            self.insert(now_ms, verdict.clone());
            changed.push(verdict);
        }
        self.update_suspects();
        changed
    }

    /// Records a verdict of another daemon. Returns whether it is new.
    pub fn record_verdict(&mut self, now_ms: u64, verdict: &Verdict) -> bool {
        let held = self.verdicts.get(&verdict.key);
        let order = |it: &Verdict| (it.at_ms, it.finding);
        let newer = held.is_none_or(|it| order(it) < order(verdict));
        let new = newer && verdict.is_current(now_ms);
        if new {
            self.insert(now_ms, verdict.clone());
            self.update_suspects();
        }
        new
    }

    /// Records that a request ran to its end, so that it did not cause the crashes before.
    ///
    /// Returns the verdict if other daemons may hold the crashes against the request.
    pub fn record_completion(&mut self, now_ms: u64, key: RequestKey) -> Option<Verdict> {
        if self.reports.is_empty() && self.verdicts.is_empty() {
            return None;
        }
        let crashes = self.reports.iter().filter(|it| self.counts(&it.crash, key)).count();
        let blocked = self.verdicts.get(&key).filter(|it| it.finding == Finding::Blocked);
        let service = match blocked {
            Some(verdict) => verdict.service.clone(),
            None => {
                self.reports.iter().find(|it| self.counts(&it.crash, key))?.crash.service.clone()
            }
        };
        let publish = blocked.is_some() || crashes >= MIN_SUSPECT_CRASHES;
        if !publish {
            self.reports.iter_mut().for_each(|it| it.crash.requests.retain(|it| *it != key));
            return None;
        }
        let verdict = Verdict::new(key, &service, now_ms, Finding::Cleared);
        self.record_verdict(now_ms, &verdict).then_some(verdict)
    }

    /// Returns whether and how a request may run now.
    pub fn standing(&self, now_ms: u64, key: RequestKey) -> Standing {
        if let Some(verdict) = self.verdicts.get(&key).filter(|it| it.finding == Finding::Blocked) {
            return verdict.blocked_until().checked_sub(now_ms).map_or(Standing::Trial, wait);
        }
        let current = |it: &&Suspicion| is_current(now_ms, it.last_ms, EVIDENCE_TIME);
        let Some(suspect) = self.suspects.get(&key).filter(current) else { return Standing::Free };
        let resumes_ms = suspect.last_ms + millis(REPEAT_TIME);
        resumes_ms.checked_sub(now_ms).map_or(Standing::Trial, wait)
    }

    /// Returns the time for which a request is still blocked, or `None` if it is not.
    pub fn blocked(&self, now_ms: u64, key: RequestKey) -> Option<Duration> {
        let until = self.verdicts.get(&key)?.blocked_until();
        (now_ms < until).then(|| Duration::from_millis(until - now_ms))
    }

    /// Returns the number of requests that are blocked.
    pub fn blocked_count(&self, now_ms: u64) -> usize {
        self.verdicts.keys().filter(|it| self.blocked(now_ms, **it).is_some()).count()
    }

    /// Returns the verdicts that the daemons beside the backend servers of a service describe, the
    /// latest ones if there are many.
    pub fn verdicts(&self, service: &ServiceName) -> SmallVec<[Verdict; 1]> {
        let mut verdicts: SmallVec<[Verdict; 1]> =
            self.verdicts.values().filter(|it| it.service == *service).cloned().collect();
        if verdicts.len() > MAX_REPORTED_VERDICTS {
            verdicts.sort_by_key(|it| std::cmp::Reverse((it.finding, it.at_ms)));
            verdicts.truncate(MAX_REPORTED_VERDICTS);
        }
        verdicts
    }

    /// Returns whether a daemon should go on reporting a crash of its backend server: it is recent
    /// and no blocked request explains it.
    pub fn is_evidence(&self, now_ms: u64, crash: &Crash) -> bool {
        is_current(now_ms, crash.at_ms, EVIDENCE_TIME) && !self.is_explained(crash)
    }

    fn insert(&mut self, now_ms: u64, verdict: Verdict) {
        self.verdicts.retain(|_, it| it.is_current(now_ms));
        if self.verdicts.len() >= MAX_VERDICTS && !self.verdicts.contains_key(&verdict.key) {
            let least = self.verdicts.values().min_by_key(|it| (it.finding, it.at_ms));
            let least = least.map(|it| it.key);
            least.and_then(|it| self.verdicts.remove(&it));
        }
        self.verdicts.insert(verdict.key, verdict);
    }

    /// Returns whether a blocked request was in progress at a crash.
    fn is_explained(&self, crash: &Crash) -> bool {
        let blocked = |it: &Verdict| it.finding == Finding::Blocked && crash.at_ms <= it.at_ms;
        crash.requests.iter().any(|it| self.verdicts.get(it).is_some_and(blocked))
    }

    /// Returns whether a request was in progress at a crash and has not run to its end since.
    fn counts(&self, crash: &Crash, key: RequestKey) -> bool {
        let cleared = self.verdicts.get(&key).filter(|it| it.finding == Finding::Cleared);
        crash.requests.contains(&key) && cleared.is_none_or(|it| it.at_ms < crash.at_ms)
    }

    /// Returns the crashes that no blocked request explains.
    fn open_reports(&self) -> Vec<&Report> {
        self.reports.iter().filter(|it| !self.is_explained(&it.crash)).collect()
    }

    /// Returns the requests that were in progress at crashes that no blocked request explains.
    fn suspicions(&self) -> HashMap<RequestKey, Suspicion> {
        let mut all: HashMap<RequestKey, Suspicion> = HashMap::new();
        for Report { crash, .. } in self.open_reports() {
            for (index, key) in crash.requests.iter().enumerate() {
                if !self.counts(crash, *key) {
                    continue;
                }
                let it = all.entry(*key).or_default();
                it.runs += 1;
                it.crashes += usize::from(!crash.requests[..index].contains(key));
                it.last_ms = it.last_ms.max(crash.at_ms);
            }
        }
        all
    }

    fn update_suspects(&mut self) {
        let mut suspects = self.suspicions();
        suspects.retain(|_, it| it.crashes >= MIN_SUSPECT_CRASHES && it.runs >= MIN_SUSPECT_RUNS);
        self.suspects = suspects.into_iter().collect();
    }

    /// Returns a verdict that the evidence allows and that is not known yet.
    fn judge(&self) -> Option<Verdict> {
        let mut repeated: Vec<(usize, RequestKey)> = self
            .suspicions()
            .into_iter()
            .filter(|(_, it)| it.crashes >= MIN_CRASHES)
            .map(|(key, it)| (it.crashes, key))
            .collect();
        repeated.sort_unstable_by(|a, b| b.cmp(a));
        let repeated: Vec<RequestKey> = repeated.into_iter().map(|it| it.1).collect();
        let open = self.open_reports();
        repeated.iter().find_map(|it| self.evaluate(&open, &repeated, *it))
    }

    /// Returns the verdict that a request is blocked if the crashes prove that it causes them.
    ///
    /// `repeated` are the requests that were in progress at several of the crashes, most frequent
    /// first.
    fn evaluate(
        &self,
        open: &[&Report],
        repeated: &[RequestKey],
        key: RequestKey,
    ) -> Option<Verdict> {
        let service = &open.iter().find(|it| self.counts(&it.crash, key))?.crash.service;
        let of_service = open.iter().copied().filter(|it| it.crash.service == *service);
        let (mut with, without): (Vec<&Report>, Vec<&Report>) =
            of_service.partition(|it| self.counts(&it.crash, key));
        with.sort_unstable_by_key(|it| it.crash.at_ms);
        let (first, others) = with.split_first()?;
        let in_all =
            |it: RequestKey| it != key && with.iter().all(|report| self.counts(&report.crash, it));
        if with.len() < MIN_CRASHES || first.crash.requests.iter().any(|it| in_all(*it)) {
            return None;
        }
        let alternatives: SmallVec<[RequestKey; MAX_ALTERNATIVES]> =
            repeated.iter().copied().filter(|it| *it != key).take(MAX_ALTERNATIVES).collect();
        let unexplained = without
            .iter()
            .filter(|report| !alternatives.iter().any(|it| self.counts(&report.crash, *it)));
        let cut = unexplained.map(|it| it.cut).sum::<usize>() as f64;
        let all = with.iter().chain(&without);
        let completed: f64 = all.map(|it| f64::from(it.crash.completions)).sum();
        let share = (cut + PRIOR_SHARE) / (cut + completed + 1.0);
        // The first crash makes a request a suspect, only the others are evidence.
        let mut chance = first.cut as f64;
        let mut last_ms = first.crash.at_ms;
        for it in others {
            let at_ms = it.crash.at_ms;
            if at_ms - last_ms < millis(REPEAT_TIME) {
                chance *= share.max(REPEAT_CHANCE);
            } else {
                chance *= share;
                last_ms = at_ms;
            }
        }
        let last_ms = with.last()?.crash.at_ms;
        let verdict = Verdict::new(key, service, last_ms, Finding::Blocked);
        (chance <= MAX_CHANCE).then_some(verdict)
    }
}

fn wait(ms: u64) -> Standing {
    if ms == 0 { Standing::Trial } else { Standing::Wait(Duration::from_millis(ms)) }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Returns whether something that happened at `at_ms` on the clock of any VM is at most `max_age`
/// old.
fn is_current(now_ms: u64, at_ms: u64, max_age: Duration) -> bool {
    at_ms <= now_ms.saturating_add(millis(MAX_CLOCK_SKEW))
        && now_ms.saturating_sub(at_ms) <= millis(max_age)
}
