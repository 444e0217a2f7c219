//! Decisions of the holder of the lease, or of any daemon that may take a move back.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{RouteName, Time};
use smallvec::SmallVec;

use crate::{
    Evidence, MoveRow, Phase, Reason, RouteClass, RouteTests, Settings, TargetMiss, Transition,
    steered_share,
};

/// What to do with a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// Leave the share as it is.
    Hold,
    /// Go to this step with its share.
    Raise {
        /// Number of the step, from 1.
        step: usize,
        /// Share of the new group.
        share: f64,
    },
    /// Give the old group all calls again.
    RollBack {
        /// Why.
        reason: Reason,
    },
    /// Put the new group in force.
    Finish,
    /// The deadline is near, and these routes lack this many calls to the new group.
    ReportAtRisk {
        /// Routes with the number of calls they lack.
        missing: SmallVec<[(RouteName, u64); 4]>,
    },
}

impl Decision {
    /// Returns the transition of the row that a daemon with fencing epoch `epoch` writes.
    pub fn transition(
        &self,
        row: &MoveRow,
        epoch: u64,
        settings: &Settings,
        now: Time,
    ) -> Transition {
        match self {
            Decision::Hold | Decision::ReportAtRisk { .. } => Transition::Unchanged,
            Decision::Raise { step, .. } => row.raise(epoch, *step, settings, now),
            Decision::RollBack { reason } => row.roll_back(reason.clone(), settings, now),
            Decision::Finish => row.finish(epoch, now),
        }
    }
}

/// Weight of one observation in the part of daemons whose guards have stopped.
const STOPPED_WEIGHT: f64 = 0.3;

#[derive(Debug, Clone)]
struct RouteState {
    class: RouteClass,
    judge: RouteTests,
    /// Calls of the new group that started after the last change of the share.
    fresh: u64,
    calls: u64,
}

/// Evidence that one daemon holds about a move. It is not stored: a new holder collects its own
/// before it raises the share.
#[derive(Debug, Clone)]
pub struct MoveController {
    settings: Settings,
    routes: BTreeMap<RouteName, RouteState>,
    since: Option<Time>,
    last: Time,
    changed: Time,
    stopped: f64,
    pause: Option<Pause>,
}

/// The move has no calls until the old group's calls show whether it shares the fault.
#[derive(Debug, Clone)]
struct Pause {
    route: RouteName,
    burst: TargetMiss,
    /// Logarithm of the evidence that the fault is shared.
    shared: f64,
}

impl MoveController {
    /// Creates the state without evidence for a service with these routes.
    pub fn new(settings: Settings, routes: &[RouteClass]) -> MoveController {
        let state = |class: &RouteClass| RouteState {
            class: class.clone(),
            judge: RouteTests::new(&settings, routes.len(), class),
            fresh: 0,
            calls: 0,
        };
        let states = routes.iter().map(|it| (it.route.clone(), state(it))).collect();
        MoveController {
            settings,
            routes: states,
            since: None,
            last: Time::default(),
            changed: Time::default(),
            stopped: 0.0,
            pause: None,
        }
    }

    /// Adds evidence. Calls older than the last change of the share count for the tests only.
    pub fn observe(&mut self, now: Time, row: &MoveRow, evidence: &Evidence) {
        if row.changed != self.changed {
            self.changed = row.changed;
            self.routes.values_mut().for_each(|it| it.fresh = 0);
        }
        if evidence.reports == 0 {
            return;
        }
        self.since.get_or_insert(evidence.from);
        self.last = self.last.max(now);
        let part = f64::from(evidence.stopped) / f64::from(evidence.reports);
        self.stopped += STOPPED_WEIGHT * (part - self.stopped);
        for (name, counts) in &evidence.routes {
            let Some(state) = self.routes.get_mut(name) else { continue };
            state.judge.observe(&self.settings, counts);
            let new = counts.new_total(&[]).calls;
            state.calls += new + counts.old.calls;
            if evidence.from >= row.changed {
                state.fresh += new;
            }
        }
        if row.phase == Phase::Moving || row.old_ready(&self.settings, now) {
            self.follow_pause(row, evidence);
        }
    }

    /// Starts a pause when a route misses the target of its class, and ends it when the old group
    /// misses it as well.
    fn follow_pause(&mut self, row: &MoveRow, evidence: &Evidence) {
        let Some(pause) = &mut self.pause else {
            // When most daemons have stopped by themselves, little more evidence can come.
            let part = if self.stopped > 0.5 { 0.5 } else { 1.0 };
            let score = part * self.settings.target_score;
            let burst = |(name, state): (&RouteName, &RouteState)| {
                let burst = state.judge.target_miss(score)?;
                Some(Pause { route: name.clone(), burst, shared: 0.0 })
            };
            self.pause = self.routes.iter().find_map(burst).filter(|_| row.share > 0.0);
            return;
        };
        let Some(counts) = evidence.routes.get(&pause.route) else { return };
        let most = self.settings.max_llr;
        pause.shared += pause.burst.shared_llr(&counts.old).clamp(-most, most);
        if pause.shared >= self.settings.pause_score {
            self.pause = None;
            self.routes.values_mut().for_each(|it| it.judge.reset_target_tests());
        }
    }

    /// Returns whether no daemon should send to the new group at present.
    pub fn is_paused(&self) -> bool {
        self.pause.is_some()
    }

    /// Returns the share of the new group on each route, to be sent to the daemons with the row.
    /// All are zero during a pause, and 1 once the old group is no longer kept ready.
    pub fn shares(&self, now: Time, row: &MoveRow) -> Vec<(RouteName, f64)> {
        if row.phase == Phase::Finished && !row.old_ready(&self.settings, now) {
            return self.routes.keys().map(|name| (name.clone(), 1.0)).collect();
        }
        let whole = if self.is_paused() { 0.0 } else { row.share };
        let total = self.total_rate();
        let share = |(name, state): (&RouteName, &RouteState)| {
            let rate = (self.rate(state), total);
            let idempotent = state.class.idempotent;
            (name.clone(), steered_share(&self.settings, whole, rate, idempotent))
        };
        self.routes.iter().map(share).collect()
    }

    /// Decides the next step. Only the holder of the lease may raise or finish.
    pub fn decide(&self, now: Time, row: &MoveRow) -> Decision {
        let open = row.phase == Phase::Moving || row.old_ready(&self.settings, now);
        if !open {
            return Decision::Hold;
        }
        if let Some(reason) = self.fault().filter(|_| row.share > 0.0) {
            return Decision::RollBack { reason };
        }
        if row.phase == Phase::Finished || row.changed > now {
            return Decision::Hold;
        }
        let missing = self.missing(now, row);
        if missing.is_empty() && now.since(row.changed) >= self.dwell(now, row) && !self.suspect() {
            return match self.settings.steps.get(row.step) {
                Some(&share) => Decision::Raise { step: row.step + 1, share },
                None => Decision::Finish,
            };
        }
        let whole = row.request.deadline.since(row.started);
        if !missing.is_empty()
            && row.request.deadline.since(now) <= whole.mul_f64(self.settings.risk_fraction)
        {
            return Decision::ReportAtRisk { missing };
        }
        Decision::Hold
    }

    fn fault(&self) -> Option<Reason> {
        let worse = |(name, state): (&RouteName, &RouteState)| {
            let measure = state.judge.alarm()?;
            Some(Reason::Worse { route: name.clone(), measure })
        };
        let well = |it: &Pause| {
            let reason = Reason::OldHealthy { route: it.route.clone(), measure: it.burst.measure };
            (it.shared <= -self.settings.pause_score).then_some(reason)
        };
        self.routes.iter().find_map(worse).or_else(|| self.pause.as_ref().and_then(well))
    }

    fn suspect(&self) -> bool {
        self.is_paused()
            || self.stopped > 0.05
            || self.routes.values().any(|it| it.judge.is_suspect(&self.settings))
    }

    /// Returns the time to stay at the current step.
    fn dwell(&self, now: Time, row: &MoveRow) -> Duration {
        if row.step == 0 {
            return Duration::ZERO;
        }
        let steps = self.settings.steps.len() + 1 - row.step.min(self.settings.steps.len());
        // The time already spent at this step is part of what is left to spread.
        let left = row.request.deadline.since(row.changed.max(row.started).min(now));
        left.mul_f64(self.settings.dwell_fraction / steps as f64).max(self.settings.min_dwell)
    }

    fn missing(&self, now: Time, row: &MoveRow) -> SmallVec<[(RouteName, u64); 4]> {
        if row.step == 0 {
            return SmallVec::new();
        }
        let dwell = self.dwell(now, row).as_secs_f64();
        let total = self.total_rate();
        let lack = |(name, state): (&RouteName, &RouteState)| {
            let rate = self.rate(state);
            let share =
                steered_share(&self.settings, row.share, (rate, total), state.class.idempotent);
            // A route too sparse for the full number needs half of what its rate promises.
            let promised = (rate * share * dwell / 2.0) as u64;
            let needed = self.settings.step_calls.min(promised.max(1));
            let missing = if row.changed == self.changed {
                needed.saturating_sub(state.fresh)
            } else {
                needed
            };
            (missing > 0).then(|| (name.clone(), missing))
        };
        self.routes.iter().filter_map(lack).collect()
    }

    fn total_rate(&self) -> f64 {
        self.routes.values().map(|it| self.rate(it)).sum()
    }

    /// Returns the calls per second of a route.
    fn rate(&self, state: &RouteState) -> f64 {
        let time = self.since.map_or(0.0, |since| self.last.since(since).as_secs_f64());
        state.calls as f64 / time.max(1.0)
    }
}
