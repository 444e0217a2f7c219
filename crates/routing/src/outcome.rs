//! Decisions after an attempt: evidence against the endpoint, retry or answer.

use std::time::Duration;

use rand::{Rng, RngExt};
use shallottack_kernel::{ErrorKind, Run, Time};
use smallvec::SmallVec;

use crate::{
    CallId, Hint, NextStep, Outcome, Router,
    router::{CallState, split},
};

/// Time between two hints about one endpoint.
const HINT_EVERY: Duration = Duration::from_secs(1);
/// Failure share of the other endpoints from which on faults are taken to be of the service.
const COMMON_SHARE: f64 = 0.5;

/// What an attempt tells of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// It works.
    Success,
    /// It refused because of load or of a stop, or the time was too short to tell.
    Nothing,
    /// It failed at one call.
    Fault,
    /// Its daemon could not be reached or the connection ended.
    Down,
}

impl Router {
    /// Takes the end of an attempt and decides what to do next.
    ///
    /// An unknown call is `Done`: it was cancelled or has ended.
    pub fn end_attempt(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        call: CallId,
        outcome: Outcome,
    ) -> NextStep {
        let Some(mut state) = self.calls.remove(&call) else { return NextStep::Done };
        self.learn(now, &state, &outcome);
        let refused = matches!(
            outcome,
            Outcome::Refused { kind: ErrorKind::Overloaded | ErrorKind::DeadlineUnmet, .. }
        );
        self.classes[state.class].count_attempt(refused);
        self.leave(state.endpoint);
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
            // Nothing further down ran, so what was sent along is unspent.
            state.kept += state.given;
        }
        state.given = 0;
        match self.retry(now, rng, &mut state, &outcome, not_run) {
            Some((endpoint, delay)) => {
                self.endpoints[endpoint].in_flight += 1;
                let retry_budget = state.given;
                self.calls.insert(call, state);
                NextStep::Retry {
                    endpoint: self.endpoints[endpoint].id.clone(),
                    delay,
                    retry_budget,
                }
            }
            None => self.give_up(&state, &outcome),
        }
    }

    /// Returns the endpoint and delay of a retry, if one is allowed.
    fn retry(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        state: &mut CallState,
        outcome: &Outcome,
        not_run: bool,
    ) -> Option<(usize, Duration)> {
        let useful = match outcome {
            Outcome::Answered { .. } => false,
            Outcome::Refused { kind, .. } => elsewhere(*kind),
            Outcome::Broken { .. } | Outcome::Unreachable | Outcome::TimedOut => true,
        };
        // A retry after a run multiplies the runs further down and is paid from the budget that
        // travels with the call. A retry of a call that was not run causes at most the one run
        // that the caller asked for and is bounded per hop and by the tokens of the class.
        let allowed = not_run || state.kept > 0;
        if !useful || !allowed || state.retried >= self.settings.hop_retries {
            return None;
        }
        // At most one run of a non-idempotent call.
        if !state.idempotent && state.may_have_run {
            return None;
        }
        state.tried.push(state.endpoint);
        let group = state.group.as_ref();
        let other = self.select(now, rng, state.service, group, state.class, &state.tried);
        // An idle connection that was closed at the other end is no reason to give up a call to
        // a service with one endpoint.
        let again =
            matches!(outcome, Outcome::Broken { .. }) && self.endpoints[state.endpoint].open();
        let endpoint = other.or(again.then_some(state.endpoint))?;
        let delay = self.delay(rng, state.retried, outcome);
        let mean = self.endpoints[endpoint].mean(now, &self.settings);
        let end = now + delay + Duration::from_micros(mean as u64);
        if end >= state.deadline || !self.classes[state.class].take_token() {
            return None;
        }
        if !not_run {
            state.kept -= 1;
        }
        (state.kept, state.given) = split(state.kept);
        state.retried += 1;
        state.endpoint = endpoint;
        state.sent = now + delay;
        Some((endpoint, delay))
    }

    fn delay(&self, rng: &mut dyn Rng, retried: u8, outcome: &Outcome) -> Duration {
        match outcome {
            // Spreads the retries of calls that were refused at the same time.
            Outcome::Refused { .. } => {
                let most = self.settings.retry_backoff.saturating_mul(1 << retried.min(8));
                most.mul_f64(rng.random::<f64>())
            }
            _ => Duration::ZERO,
        }
    }

    fn give_up(&self, state: &CallState, outcome: &Outcome) -> NextStep {
        let (kind, stated) = match *outcome {
            Outcome::Refused { kind, retry_after, .. } => (kind, retry_after),
            Outcome::Broken { partial: true } => (ErrorKind::AnswerBroken, None),
            Outcome::Unreachable => (ErrorKind::NoEndpoint, None),
            Outcome::Answered { .. } | Outcome::Broken { .. } | Outcome::TimedOut => {
                (ErrorKind::OutcomeUnknown, None)
            }
        };
        // A refusal by the last endpoint says nothing about an earlier attempt that may have run.
        let kind = match kind.answer().run {
            Run::No if state.may_have_run => ErrorKind::OutcomeUnknown,
            _ => kind,
        };
        let retry_after =
            kind.answer().retry_after.then(|| stated.unwrap_or(self.settings.retry_after));
        NextStep::Fail { kind, retry_after }
    }

    fn learn(&mut self, now: Time, state: &CallState, outcome: &Outcome) {
        let elapsed = now.since(state.sent);
        let within = self.classes[state.class].within;
        let endpoint = &mut self.endpoints[state.endpoint];
        match *outcome {
            Outcome::Answered { failed, load, leaving } => {
                endpoint.leaving |= leaving;
                load.into_iter().for_each(|it| endpoint.report(now, it));
                if !failed {
                    endpoint.measure(now, elapsed, &self.settings);
                }
            }
            Outcome::Refused { kind, load, leaving, .. } => {
                endpoint.leaving |= leaving || kind == ErrorKind::Stopping;
                endpoint.refused(now, load);
            }
            // The time passed is a lower bound of the latency.
            Outcome::TimedOut => endpoint.measure(now, elapsed, &self.settings),
            Outcome::Broken { .. } | Outcome::Unreachable => {}
        }
        let evidence = match *outcome {
            Outcome::Answered { failed: false, .. } => Evidence::Success,
            Outcome::Answered { failed: true, .. } => Evidence::Fault,
            Outcome::Refused { kind, .. } if kind.answer().run == Run::Unknown => Evidence::Fault,
            Outcome::Refused { .. } => Evidence::Nothing,
            // A caller's short deadline is no fault of the endpoint.
            Outcome::TimedOut if elapsed < within => Evidence::Nothing,
            Outcome::TimedOut => Evidence::Fault,
            Outcome::Broken { .. } | Outcome::Unreachable => Evidence::Down,
        };
        self.weigh(now, state.endpoint, evidence, matches!(outcome, Outcome::Unreachable));
    }

    fn weigh(&mut self, now: Time, index: usize, evidence: Evidence, unreachable: bool) {
        let health = &mut self.endpoints[index].health;
        match evidence {
            Evidence::Nothing => return,
            Evidence::Success => return health.success(now, &self.settings),
            // Calls sent before the ejection add nothing to it.
            _ if health.ejected(now) => return,
            Evidence::Fault | Evidence::Down => health.fault(&self.settings),
        }
        let eject = match evidence {
            Evidence::Down => true,
            _ => self.stands_out(index),
        };
        if eject {
            self.hint_at(now, index, unreachable);
            if self.may_eject(now, index) {
                self.endpoints[index].health.eject(now, &self.settings);
            }
        }
    }

    /// Returns whether the faults of an endpoint are its own.
    fn stands_out(&self, index: usize) -> bool {
        let health = &self.endpoints[index].health;
        let in_row = health.consecutive >= self.settings.consecutive_faults;
        let counts = health.calls >= self.settings.min_answers;
        let high = counts && health.share > self.settings.failure_excess;
        if !(in_row || high) {
            return false;
        }
        let median = self.median_share(index);
        (in_row && median < COMMON_SHARE)
            || (high && health.share > median + self.settings.failure_excess)
    }

    /// Returns the median failure share of the other endpoints of the same service and group.
    fn median_share(&self, index: usize) -> f64 {
        let mut shares: SmallVec<[f64; 32]> = self
            .peers(index)
            .filter(|&it| it != index)
            .map(|it| self.endpoints[it].health.share)
            .collect();
        if shares.is_empty() {
            return 0.0;
        }
        let middle = shares.len() / 2;
        *shares.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Returns whether at least half of the endpoints remain when this one is ejected.
    fn may_eject(&self, now: Time, index: usize) -> bool {
        let (mut open, mut ejected) = (0, 0);
        for peer in self.peers(index) {
            let endpoint = &self.endpoints[peer];
            open += usize::from(endpoint.open());
            ejected += usize::from(endpoint.open() && endpoint.health.ejected(now));
        }
        (ejected + 1) * 2 <= open
    }

    fn peers(&self, index: usize) -> impl Iterator<Item = usize> {
        let endpoint = &self.endpoints[index];
        let members = &self.services[endpoint.service].members;
        members
            .iter()
            .copied()
            .filter(|&it| self.endpoints[it].candidate.group == endpoint.candidate.group)
    }

    fn hint_at(&mut self, now: Time, index: usize, unreachable: bool) {
        let endpoint = &mut self.endpoints[index];
        let recent = endpoint.health.hinted.is_some_and(|at| now.since(at) < HINT_EVERY);
        if recent {
            return;
        }
        endpoint.health.hinted = Some(now);
        let (id, incarnation) = (endpoint.id.clone(), endpoint.candidate.incarnation);
        self.hint(if unreachable {
            Hint::Unreachable { endpoint: id, incarnation }
        } else {
            Hint::Suspect { endpoint: id, incarnation }
        });
    }
}

/// Returns whether another endpoint may well answer a call that was refused with this kind.
fn elsewhere(kind: ErrorKind) -> bool {
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
