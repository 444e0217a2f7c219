//! Decisions after an attempt: outlier ejection, retry or answer.

use std::time::Duration;

use rand::{Rng, RngExt};
use shallottack_kernel::{ErrorKind, Run, Time};
use smallvec::SmallVec;

use crate::{
    CallId, Hint, NextStep, Outcome, Router,
    router::{CallState, split_budget},
};

/// Shortest time between two hints about one endpoint.
const HINT_INTERVAL: Duration = Duration::from_secs(1);
/// Median failure share of the other endpoints from which on consecutive faults are attributed to
/// the whole service.
const COMMON_FAILURE_SHARE: f64 = 0.5;

/// Evidence of an attempt about the health of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The endpoint works.
    Success,
    /// The endpoint refused because of load or a stop, or the deadline was too short to tell.
    Inconclusive,
    /// The call failed or timed out at the endpoint.
    Fault,
    /// Its daemon could not be reached or the connection ended.
    ConnectionFault,
}

impl Router {
    /// Records the outcome of an attempt and decides on the next step.
    ///
    /// The step for an unknown call is `Done`, since the call was cancelled or has ended.
    pub fn end_attempt(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        call: CallId,
        outcome: Outcome,
    ) -> NextStep {
        let Some(mut state) = self.calls.remove(&call) else { return NextStep::Done };
        self.record_outcome(now, &state, &outcome);
        let refused = matches!(
            outcome,
            Outcome::Refused { kind: ErrorKind::Overloaded | ErrorKind::DeadlineUnmet, .. }
        );
        self.classes[state.class].record_attempt(refused);
        self.release(state.endpoint);
        if let Outcome::Answered { .. } = outcome {
            return NextStep::Done;
        }
        let not_run = match outcome {
            Outcome::Refused { not_run, .. } => not_run,
            Outcome::Unreachable => true,
            _ => false,
        };
        state.may_have_run |= !not_run;
        if not_run {
            // The next hops did not run the call, so the budget sent with it is unspent.
            state.kept_budget += state.sent_budget;
        }
        state.sent_budget = 0;
        match self.plan_retry(now, rng, &mut state, &outcome, not_run) {
            Some((endpoint, delay)) => {
                self.endpoints[endpoint].in_flight += 1;
                let retry_budget = state.sent_budget;
                self.calls.insert(call, state);
                NextStep::Retry {
                    endpoint: self.endpoints[endpoint].id.clone(),
                    delay,
                    retry_budget,
                }
            }
            None => self.fail(&state, &outcome),
        }
    }

    /// Returns the endpoint and delay of a retry, if one is allowed.
    fn plan_retry(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        state: &mut CallState,
        outcome: &Outcome,
        not_run: bool,
    ) -> Option<(usize, Duration)> {
        let useful = match outcome {
            Outcome::Answered { .. } => false,
            Outcome::Refused { kind, .. } => is_retryable(*kind),
            Outcome::Broken { .. } | Outcome::Unreachable | Outcome::TimedOut => true,
        };
        // A retry of a call that may have run multiplies the runs at later hops and is paid for
        // from the budget that is sent with the call. A retry of a call that was not run causes at
        // most the one run that the caller asked for; it is bounded per hop and by the tokens of
        // the class.
        let allowed = not_run || state.kept_budget > 0;
        if !useful || !allowed || state.retries >= self.settings.hop_retries {
            return None;
        }
        // A non-idempotent call may run at most once.
        if !state.idempotent && state.may_have_run {
            return None;
        }
        state.tried.push(state.endpoint);
        let group = state.group.as_ref();
        let other = self.select(now, rng, state.service, group, state.class, &state.tried);
        // The peer may just have closed an idle connection, so a call to the only endpoint of a
        // service is retried there.
        let again = matches!(outcome, Outcome::Broken { .. })
            && self.endpoints[state.endpoint].accepts_calls();
        let endpoint = other.or(again.then_some(state.endpoint))?;
        let delay = self.retry_delay(rng, state.retries, outcome);
        let mean = self.endpoints[endpoint].mean_latency(now, &self.settings);
        let end = now + delay + Duration::from_micros(mean as u64);
        if end >= state.deadline || !self.classes[state.class].take_token() {
            return None;
        }
        if !not_run {
            state.kept_budget -= 1;
        }
        (state.kept_budget, state.sent_budget) = split_budget(state.kept_budget);
        state.retries += 1;
        state.endpoint = endpoint;
        state.sent = now + delay;
        Some((endpoint, delay))
    }

    /// Returns the delay before a retry.
    fn retry_delay(&self, rng: &mut dyn Rng, retries: u8, outcome: &Outcome) -> Duration {
        match outcome {
            // Spreads the retries of calls that were refused at the same time.
            Outcome::Refused { .. } => {
                let max = self.settings.retry_backoff.saturating_mul(1 << retries.min(8));
                max.mul_f64(rng.random::<f64>())
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns the error to answer with when there is no retry.
    fn fail(&self, state: &CallState, outcome: &Outcome) -> NextStep {
        let (kind, stated) = match *outcome {
            Outcome::Refused { kind, retry_after, .. } => (kind, retry_after),
            Outcome::Broken { partial: true } => (ErrorKind::AnswerBroken, None),
            Outcome::Unreachable => (ErrorKind::NoEndpoint, None),
            Outcome::Answered { .. } | Outcome::Broken { .. } | Outcome::TimedOut => {
                (ErrorKind::OutcomeUnknown, None)
            }
        };
        // An earlier attempt may have run even if the last endpoint states that its own did not.
        let kind = match kind.answer().run {
            Run::No if state.may_have_run => ErrorKind::OutcomeUnknown,
            _ => kind,
        };
        let retry_after =
            kind.answer().retry_after.then(|| stated.unwrap_or(self.settings.retry_after));
        NextStep::Fail { kind, retry_after }
    }

    /// Updates the latency, load and health of the endpoint.
    fn record_outcome(&mut self, now: Time, state: &CallState, outcome: &Outcome) {
        let elapsed = now.since(state.sent);
        let within = self.classes[state.class].within;
        let endpoint = &mut self.endpoints[state.endpoint];
        match *outcome {
            Outcome::Answered { failed, load, leaving } => {
                endpoint.leaving |= leaving;
                load.into_iter().for_each(|it| endpoint.record_load(now, it));
                if !failed {
                    endpoint.record_latency(now, elapsed, &self.settings);
                }
            }
            Outcome::Refused { kind, load, leaving, .. } => {
                endpoint.leaving |= leaving || kind == ErrorKind::Stopping;
                endpoint.record_refusal(now, load);
            }
            // The elapsed time is a lower bound of the latency.
            Outcome::TimedOut => endpoint.record_latency(now, elapsed, &self.settings),
            Outcome::Broken { .. } | Outcome::Unreachable => {}
        }
        let evidence = match *outcome {
            Outcome::Answered { failed: false, .. } => Evidence::Success,
            Outcome::Answered { failed: true, .. } => Evidence::Fault,
            Outcome::Refused { kind, .. } if kind.answer().run == Run::Unknown => Evidence::Fault,
            Outcome::Refused { .. } => Evidence::Inconclusive,
            // A timeout within the latency target is due to the short deadline of the caller.
            Outcome::TimedOut if elapsed < within => Evidence::Inconclusive,
            Outcome::TimedOut => Evidence::Fault,
            Outcome::Broken { .. } | Outcome::Unreachable => Evidence::ConnectionFault,
        };
        self.apply_evidence(now, state.endpoint, evidence, matches!(outcome, Outcome::Unreachable));
    }

    /// Updates the health of an endpoint and ejects it if needed.
    fn apply_evidence(&mut self, now: Time, index: usize, evidence: Evidence, unreachable: bool) {
        let health = &mut self.endpoints[index].health;
        match evidence {
            Evidence::Inconclusive => return,
            Evidence::Success => return health.record_success(now, &self.settings),
            // Faults of calls that were sent before the ejection don't prolong it.
            _ if health.ejected(now) => return,
            Evidence::Fault | Evidence::ConnectionFault => health.record_fault(&self.settings),
        }
        let eject = match evidence {
            Evidence::ConnectionFault => true,
            _ => self.is_outlier(index),
        };
        if eject {
            self.add_hint(now, index, unreachable);
            if self.may_eject(now, index) {
                self.endpoints[index].health.eject(now, &self.settings);
            }
        }
    }

    /// Returns whether the endpoint has many faults and the other endpoints don't.
    fn is_outlier(&self, index: usize) -> bool {
        let health = &self.endpoints[index].health;
        let in_row = health.consecutive_faults >= self.settings.consecutive_faults;
        let counts = health.answers >= self.settings.min_answers;
        let high = counts && health.failure_share > self.settings.failure_excess;
        if !(in_row || high) {
            return false;
        }
        let median = self.median_failure_share(index);
        (in_row && median < COMMON_FAILURE_SHARE)
            || (high && health.failure_share > median + self.settings.failure_excess)
    }

    /// Returns the median failure share of the other endpoints of the same service and group.
    fn median_failure_share(&self, index: usize) -> f64 {
        let mut shares: SmallVec<[f64; 32]> = self
            .peers(index)
            .filter(|&it| it != index)
            .map(|it| self.endpoints[it].health.failure_share)
            .collect();
        if shares.is_empty() {
            return 0.0;
        }
        let middle = shares.len() / 2;
        *shares.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Returns whether at least half of the endpoints that take calls remain after this one is
    /// ejected.
    fn may_eject(&self, now: Time, index: usize) -> bool {
        let (mut open, mut ejected) = (0, 0);
        for peer in self.peers(index) {
            let endpoint = &self.endpoints[peer];
            open += usize::from(endpoint.accepts_calls());
            ejected += usize::from(endpoint.accepts_calls() && endpoint.health.ejected(now));
        }
        (ejected + 1) * 2 <= open
    }

    /// Returns the endpoints of the same service and group, including this one.
    fn peers(&self, index: usize) -> impl Iterator<Item = usize> {
        let endpoint = &self.endpoints[index];
        let members = &self.services[endpoint.service].members;
        members
            .iter()
            .copied()
            .filter(|&it| self.endpoints[it].candidate.group == endpoint.candidate.group)
    }

    /// Adds a hint about an endpoint unless there was one recently.
    fn add_hint(&mut self, now: Time, index: usize, unreachable: bool) {
        let endpoint = &mut self.endpoints[index];
        let recent = endpoint.health.last_hint.is_some_and(|at| now.since(at) < HINT_INTERVAL);
        if recent {
            return;
        }
        endpoint.health.last_hint = Some(now);
        let (id, incarnation) = (endpoint.id.clone(), endpoint.candidate.incarnation);
        self.push_hint(if unreachable {
            Hint::Unreachable { endpoint: id, incarnation }
        } else {
            Hint::Suspect { endpoint: id, incarnation }
        });
    }
}

/// Returns whether another endpoint may answer a call that was refused with this error kind.
fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::DeadlineUnmet
            | ErrorKind::Stopping
            | ErrorKind::NotReady
            | ErrorKind::OutcomeUnknown
            | ErrorKind::AnswerBroken
            | ErrorKind::Internal
    )
}
