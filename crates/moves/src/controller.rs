//! Decisions on a move by the holder of the lease, or by any daemon that may roll it back.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{RouteName, Time};
use smallvec::SmallVec;

use crate::{
    Evidence, MoveRow, Phase, Reason, RouteClass, RouteTests, Settings, TargetMiss, Transition,
    steered_share,
};

/// Decision on the next step of a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// Keep the share.
    Hold,
    /// Go to the next step.
    Raise {
        /// Number of the step, from 1.
        step: usize,
        /// Share of the new group.
        share: f64,
    },
    /// Send all calls to the old group again.
    RollBack {
        /// Reason of the rollback.
        reason: Reason,
    },
    /// Finish the move with the new group in force.
    Finish,
    /// Report that the move may miss its deadline, since routes lack calls to the new group.
    ReportAtRisk {
        /// Routes with the number of calls that they lack.
        missing: SmallVec<[(RouteName, u64); 4]>,
    },
}

impl Decision {
    /// Returns the transition of the row for a daemon with fencing epoch `epoch`.
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

/// Weight of one observation in the moving average of the fraction of open circuit breakers.
const OPEN_WEIGHT: f64 = 0.3;

#[derive(Debug, Clone)]
struct RouteState {
    class: RouteClass,
    tests: RouteTests,
    /// Number of calls of the new group that started after the last change of the share.
    new_calls: u64,
    /// Number of calls of both groups.
    calls: u64,
}

/// Collects the evidence about a move at one daemon and decides the next step.
///
/// The evidence is not stored; a new holder of the lease collects its own before it raises the
/// share.
#[derive(Debug, Clone)]
pub struct MoveController {
    settings: Settings,
    routes: BTreeMap<RouteName, RouteState>,
    observed_from: Option<Time>,
    observed_until: Time,
    row_changed: Time,
    open_fraction: f64,
    pause: Option<Pause>,
}

/// Pause during which the new group gets no calls, until calls of the old group show whether it has
/// the same fault.
#[derive(Debug, Clone)]
struct Pause {
    route: RouteName,
    miss: TargetMiss,
    /// Log-likelihood ratio of a shared fault against a healthy old group.
    shared_llr: f64,
}

impl MoveController {
    /// Creates a controller without evidence for a service with these routes.
    pub fn new(settings: Settings, routes: &[RouteClass]) -> MoveController {
        let state = |class: &RouteClass| RouteState {
            class: class.clone(),
            tests: RouteTests::new(&settings, routes.len(), class),
            new_calls: 0,
            calls: 0,
        };
        let states = routes.iter().map(|it| (it.route.clone(), state(it))).collect();
        MoveController {
            settings,
            routes: states,
            observed_from: None,
            observed_until: Time::default(),
            row_changed: Time::default(),
            open_fraction: 0.0,
            pause: None,
        }
    }

    /// Adds evidence. Calls that started before the last change of the share count in the tests but
    /// not as calls of the current step.
    pub fn observe(&mut self, now: Time, row: &MoveRow, evidence: &Evidence) {
        if row.changed != self.row_changed {
            self.row_changed = row.changed;
            self.routes.values_mut().for_each(|it| it.new_calls = 0);
        }
        if evidence.reports == 0 {
            return;
        }
        self.observed_from.get_or_insert(evidence.from);
        self.observed_until = self.observed_until.max(now);
        let open = f64::from(evidence.stopped) / f64::from(evidence.reports);
        self.open_fraction += OPEN_WEIGHT * (open - self.open_fraction);
        for (name, counts) in &evidence.routes {
            let Some(state) = self.routes.get_mut(name) else { continue };
            state.tests.observe(&self.settings, counts);
            let new = counts.new_total(&[]).calls;
            state.calls += new + counts.old.calls;
            if evidence.from >= row.changed {
                state.new_calls += new;
            }
        }
        if row.phase == Phase::Moving || row.old_ready(&self.settings, now) {
            self.update_pause(row, evidence);
        }
    }

    /// Starts a pause when a route misses the target of its class, and ends it when the old group
    /// misses the target as well.
    fn update_pause(&mut self, row: &MoveRow, evidence: &Evidence) {
        let Some(pause) = &mut self.pause else {
            // When most circuit breakers are open, the new group gets few calls, so that half of
            // the score has to suffice.
            let factor = if self.open_fraction > 0.5 { 0.5 } else { 1.0 };
            let score = factor * self.settings.target_score;
            let pause = |(name, state): (&RouteName, &RouteState)| {
                let miss = state.tests.target_miss(score)?;
                Some(Pause { route: name.clone(), miss, shared_llr: 0.0 })
            };
            self.pause = self.routes.iter().find_map(pause).filter(|_| row.share > 0.0);
            return;
        };
        let Some(counts) = evidence.routes.get(&pause.route) else { return };
        let max_llr = self.settings.max_llr;
        pause.shared_llr += pause.miss.shared_llr(&counts.old).clamp(-max_llr, max_llr);
        if pause.shared_llr >= self.settings.pause_score {
            self.pause = None;
            self.routes.values_mut().for_each(|it| it.tests.reset_target_tests());
        }
    }

    /// Returns whether the move is paused, so that no daemon should send to the new group.
    pub fn is_paused(&self) -> bool {
        self.pause.is_some()
    }

    /// Returns the share of the new group on each route, to be sent to the daemons with the row.
    ///
    /// All shares are 0 during a pause, and 1 once the old group is no longer kept ready.
    pub fn shares(&self, now: Time, row: &MoveRow) -> Vec<(RouteName, f64)> {
        if row.phase == Phase::Finished && !row.old_ready(&self.settings, now) {
            return self.routes.keys().map(|name| (name.clone(), 1.0)).collect();
        }
        let move_share = if self.is_paused() { 0.0 } else { row.share };
        let total = self.total_rate();
        let share = |(name, state): (&RouteName, &RouteState)| {
            let rate = (self.rate(state), total);
            let idempotent = state.class.idempotent;
            (name.clone(), steered_share(&self.settings, move_share, rate, idempotent))
        };
        self.routes.iter().map(share).collect()
    }

    /// Decides the next step. Only the holder of the lease may raise or finish.
    pub fn decide(&self, now: Time, row: &MoveRow) -> Decision {
        let reversible = row.phase == Phase::Moving || row.old_ready(&self.settings, now);
        if !reversible {
            return Decision::Hold;
        }
        if let Some(reason) = self.rollback_reason().filter(|_| row.share > 0.0) {
            return Decision::RollBack { reason };
        }
        if row.phase == Phase::Finished || row.changed > now {
            return Decision::Hold;
        }
        let missing = self.missing_calls(now, row);
        if missing.is_empty()
            && now.since(row.changed) >= self.dwell(now, row)
            && !self.is_suspect()
        {
            return match self.settings.steps.get(row.step) {
                Some(&share) => Decision::Raise { step: row.step + 1, share },
                None => Decision::Finish,
            };
        }
        let total = row.request.deadline.since(row.started);
        if !missing.is_empty()
            && row.request.deadline.since(now) <= total.mul_f64(self.settings.risk_fraction)
        {
            return Decision::ReportAtRisk { missing };
        }
        Decision::Hold
    }

    fn rollback_reason(&self) -> Option<Reason> {
        let worse = |(name, state): (&RouteName, &RouteState)| {
            let measure = state.tests.alarm()?;
            Some(Reason::Worse { route: name.clone(), measure })
        };
        let old_healthy = |it: &Pause| {
            let reason = Reason::OldHealthy { route: it.route.clone(), measure: it.miss.measure };
            (it.shared_llr <= -self.settings.pause_score).then_some(reason)
        };
        self.routes.iter().find_map(worse).or_else(|| self.pause.as_ref().and_then(old_healthy))
    }

    fn is_suspect(&self) -> bool {
        self.is_paused()
            || self.open_fraction > 0.05
            || self.routes.values().any(|it| it.tests.is_suspect(&self.settings))
    }

    /// Returns the time to stay at the current step (dwell time).
    fn dwell(&self, now: Time, row: &MoveRow) -> Duration {
        if row.step == 0 {
            return Duration::ZERO;
        }
        let steps = self.settings.steps.len() + 1 - row.step.min(self.settings.steps.len());
        // Counted from the start of the step, so that the result does not change during the step.
        let left = row.request.deadline.since(row.changed.max(row.started).min(now));
        left.mul_f64(self.settings.dwell_fraction / steps as f64).max(self.settings.min_dwell)
    }

    /// Returns the routes that lack calls to the new group at this step, with the number of calls.
    fn missing_calls(&self, now: Time, row: &MoveRow) -> SmallVec<[(RouteName, u64); 4]> {
        if row.step == 0 {
            return SmallVec::new();
        }
        let dwell = self.dwell(now, row).as_secs_f64();
        let total = self.total_rate();
        let missing = |(name, state): (&RouteName, &RouteState)| {
            let rate = self.rate(state);
            let share =
                steered_share(&self.settings, row.share, (rate, total), state.class.idempotent);
            // A route with too few calls for the full number needs half of those expected at its
            // rate.
            let expected = (rate * share * dwell / 2.0) as u64;
            let needed = self.settings.step_calls.min(expected.max(1));
            let missing = if row.changed == self.row_changed {
                needed.saturating_sub(state.new_calls)
            } else {
                needed
            };
            (missing > 0).then(|| (name.clone(), missing))
        };
        self.routes.iter().filter_map(missing).collect()
    }

    fn total_rate(&self) -> f64 {
        self.routes.values().map(|it| self.rate(it)).sum()
    }

    /// Returns the rate of a route in calls per second.
    fn rate(&self, state: &RouteState) -> f64 {
        let time =
            self.observed_from.map_or(0.0, |from| self.observed_until.since(from).as_secs_f64());
        state.calls as f64 / time.max(1.0)
    }
}
