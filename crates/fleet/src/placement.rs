//! Load balancing: choice of the backend server for a request.
//!
//! A request goes to the backend server with the shortest expected completion time, with a
//! preference for the own data centre. While several are expected to have a free slot, its first sends
//! look for one; a daemon without one refuses, and the request is sent elsewhere. Others may wait.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{Rng, RngExt};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use shallottack_kernel::{DataCentre, EndpointId, ErrorKind, Time};
use smallvec::SmallVec;

use crate::{
    Choice, Member, Next, Outcome, PlacementRequest, RepeatCause, RetryBudget, SendHistory, Ticket,
    VersionFilter,
    candidate::{Candidate, Gate, Reach, initial_load},
    candidates::Candidates,
    leaving::Leaving,
    slots::{DEFAULT_RUN, MIN_RETRY},
    spread::{Estimate, Spread, has_room},
};

/// Settings of [`Placement`].
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Run time assumed for a route without measurements; typical for the site's requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_run: Duration,
    /// Weight of one sample in the moving averages; they adapt within about ten samples.
    pub ewma_weight: f64,
    /// Penalty for another data centre, as a share of the time left to the latency goal.
    pub remote_penalty: f64,
    /// Additional penalty for each kilobyte of a route's requests and responses, since traffic
    /// between data centres is costly.
    pub kb_penalty: f64,
    /// Maximum penalty for another data centre, as a share of the time left to the latency goal.
    pub max_penalty: f64,
    /// Age at which a reported load is ignored, in run times; by then other requests hold the
    /// slots.
    pub load_expiry: f64,
    /// Age at which the gate of a route at a VM is ignored; the next request finds out whether the
    /// shortage has ended.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub gate_expiry: Duration,
    /// Factor on the run time while a backend server is warming up, as stated by the sites.
    pub warmup_factor: f64,
    /// Weight of one message in the average link delay; links fill and clear within a few messages.
    pub delay_weight: f64,
    /// Age at which the average link delay is ignored; most queued messages have left the link by
    /// then.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay_expiry: Duration,
    /// Share of the slots that may be busy before a wait is expected and requests leave the data
    /// centre.
    pub fill_share: f64,
    /// Number of sends that look for a free slot before the request may wait for one.
    pub search_sends: u8,
    /// Maximum number of sends of one request; each takes a round trip between VMs.
    pub max_sends: u8,
    /// Time after which an unanswered probe is repeated; longer than any exchange takes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub probe_timeout: Duration,
    /// Backoff after a VM became unreachable; doubled on each failure up to `max_backoff`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub min_backoff: Duration,
    /// Maximum backoff before an unreachable VM is tried again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_backoff: Duration,
    /// Number of known backend servers of all services, and so of daemons that may send at the same
    /// time, from which loads are drawn from the range that outdated reports leave.
    pub spread_from: usize,
    /// Number of candidates from which a choice compares a random sample of this size; those of one
    /// service that a daemon knows in a large fleet are fewer.
    pub max_compared: usize,
    /// Minimum time after which a rejected caller may retry.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub min_retry: Duration,
    /// Maximum time after which a rejected caller may retry.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_retry: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            default_run: DEFAULT_RUN,
            ewma_weight: 0.08,
            remote_penalty: 0.15,
            kb_penalty: 0.12,
            max_penalty: 0.9,
            load_expiry: 4.0,
            gate_expiry: Duration::from_millis(400),
            warmup_factor: 2.0,
            delay_weight: 0.3,
            delay_expiry: Duration::from_millis(1_500),
            fill_share: 0.9,
            search_sends: 2,
            max_sends: 4,
            probe_timeout: Duration::from_secs(2),
            min_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(2),
            spread_from: 12,
            max_compared: 64,
            min_retry: MIN_RETRY,
            max_retry: Duration::from_secs(1),
        }
    }
}

/// Load balancer that chooses a backend server for each request.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    pub(crate) vm: EndpointId,
    pub(crate) data_centre: DataCentre,
    pub(crate) candidates: Candidates,
    /// Mean run time of each route in seconds.
    run_times: HashMap<Arc<str>, f64>,
    /// Mean size of the requests and responses of each route in kilobytes.
    sizes: HashMap<Arc<str>, f64>,
    pub(crate) leaving: Leaving,
    /// Data centres whose backend servers get no requests.
    pub(crate) evacuated: SmallVec<[DataCentre; 2]>,
    budget: RetryBudget,
}

impl Placement {
    /// Creates a placement without candidates for the daemon on `vm` in `data_centre`.
    pub fn new(
        settings: PlacementSettings,
        vm: EndpointId,
        data_centre: DataCentre,
        budget: RetryBudget,
    ) -> Placement {
        Placement {
            settings,
            vm,
            data_centre,
            candidates: Candidates::default(),
            run_times: HashMap::new(),
            sizes: HashMap::new(),
            leaving: Leaving::default(),
            evacuated: SmallVec::new(),
            budget,
        }
    }

    /// Adds or updates the backend server of a member, or removes it if the member has none.
    pub fn set_member(&mut self, now: Time, member: &Member) {
        let Some(server) = &member.server else {
            self.candidates.remove(&member.vm);
            return;
        };
        let warm_at = now + server.warmup_left;
        let evacuated = self.evacuated.contains(&member.data_centre);
        self.candidates.set_service(&member.vm, &server.service);
        match self.candidates.get_mut(&member.vm) {
            Some(it) if it.server.is_same_start(server) => {
                it.member = member.clone();
                it.server = server.clone();
                it.evacuated = evacuated;
                it.warm_at = warm_at;
            }
            Some(it) => {
                it.member = member.clone();
                it.server = server.clone();
                it.evacuated = evacuated;
                it.warm_at = warm_at;
                it.load = initial_load(server);
                (it.relative_run, it.fault_share) = (1.0, 0.0);
                it.gates.clear();
            }
            None => {
                let own = member.vm == self.vm;
                let candidate = Candidate {
                    member: member.clone(),
                    server: server.clone(),
                    evacuated,
                    reach: if own { Reach::Up } else { Reach::Unknown },
                    load: initial_load(server),
                    load_time: now,
                    last_contact: now,
                    probed: None,
                    in_flight: 0,
                    sent_since: 0,
                    last_sent: now,
                    relative_run: 1.0,
                    fault_share: 0.0,
                    warm_at,
                    gates: HashMap::new(),
                    link_delay: 0.0,
                    delay_time: now,
                };
                self.candidates.insert(candidate);
            }
        }
    }

    /// Removes the backend server of a member.
    pub fn remove_member(&mut self, vm: &EndpointId) {
        self.candidates.remove(vm);
    }

    /// Records the lowest ticket with which the daemon of a VM admits requests of a route now.
    pub fn record_gate(
        &mut self,
        now: Time,
        vm: &EndpointId,
        route: &Arc<str>,
        lowest: Option<Ticket>,
    ) {
        let expiry = self.settings.gate_expiry;
        let Some(it) = self.candidates.get_mut(vm) else { return };
        it.gates.retain(|_, gate| now.since(gate.time) <= expiry);
        it.gates.insert(Arc::clone(route), Gate { lowest, time: now });
    }

    /// Records the transit time of a request and its response of `bytes` bytes, to and from the
    /// daemon of a VM together.
    pub fn record_transit(&mut self, now: Time, vm: &EndpointId, transit: Duration, bytes: usize) {
        let settings = self.settings;
        let Some(it) = self.candidates.get_mut(vm) else { return };
        let queued = (transit.as_secs_f64() - it.transfer_time(bytes as f64 / 1_024.0)).max(0.0);
        let delay = it.expected_delay(now, &settings);
        it.link_delay = delay + (queued - delay) * settings.delay_weight;
        it.delay_time = now;
    }

    /// Returns whether the backend server of a VM is among the candidates.
    pub fn contains(&self, vm: &EndpointId) -> bool {
        self.candidates.contains_key(vm)
    }

    /// Returns whether the daemon of a VM is not known to be unreachable.
    pub fn is_reachable(&self, vm: &EndpointId) -> bool {
        self.candidates.get(vm).is_some_and(|it| !matches!(it.reach, Reach::Down { .. }))
    }

    /// Records that the daemon of a VM failed to answer. Returns whether it was reachable before.
    pub fn mark_unreachable(&mut self, now: Time, vm: &EndpointId) -> bool {
        let (min, max) = (self.settings.min_backoff, self.settings.max_backoff);
        let Some(it) = self.candidates.get_mut(vm).filter(|it| it.member.vm != self.vm) else {
            return false;
        };
        it.probed = None;
        let (was_up, backoff) = match it.reach {
            Reach::Down { retry_at, .. } if now < retry_at => return false,
            Reach::Down { backoff, .. } => (false, (backoff * 2).min(max)),
            Reach::Up => (true, min),
            Reach::Unknown => (false, min),
        };
        it.reach = Reach::Down { retry_at: now + backoff, backoff };
        was_up
    }

    /// Returns whether the daemon of a VM has ever answered this one directly.
    pub fn has_answered(&self, vm: &EndpointId) -> bool {
        self.candidates.get(vm).is_some_and(|it| it.reach != Reach::Unknown)
    }

    /// Returns whether to probe the daemon of a VM now, and records the probe as pending if so.
    ///
    /// `every` is the interval for reachable daemons. Daemons without a backend server are not
    /// probed, since they get no requests.
    pub fn probe_due(&mut self, now: Time, vm: &EndpointId, every: Duration) -> bool {
        let Some(it) = self.candidates.get_mut(vm) else { return false };
        if it.probed.is_some_and(|probed| now.since(probed) < self.settings.probe_timeout) {
            return false;
        }
        let due = match it.reach {
            Reach::Up => now.since(it.last_contact) >= every,
            Reach::Unknown => true,
            Reach::Down { retry_at, .. } => now >= retry_at,
        };
        if due {
            it.probed = Some(now);
        }
        due
    }

    /// Returns this daemon's part of the retry budgets.
    pub fn budget(&self) -> &RetryBudget {
        &self.budget
    }

    /// Returns this daemon's part of the retry budgets, to count requests and calls in it.
    pub fn budget_mut(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Chooses where to send a request next, and records the send.
    pub fn choose(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        request: &PlacementRequest,
        history: &mut SendHistory,
    ) -> Choice {
        if request.deadline <= now {
            return self.reject(rng, ErrorKind::DeadlineUnmet, history, Duration::ZERO);
        }
        let sample = self.may_sample(request).then(|| rng.random());
        let mut best = self.best(now, rng, request, history, history.tried.is_empty(), sample);
        let narrowed = sample.is_some() || matches!(request.versions, VersionFilter::Canary { .. });
        if narrowed && !matches!(best, Best::Send { .. }) {
            best = self.best(now, rng, request, history, false, None);
        }
        let (vm, search, has_room) = match best {
            Best::Send { vm, search, has_room } => (vm, search, has_room),
            Best::Full(wait) => return self.reject(rng, ErrorKind::Overloaded, history, wait),
            Best::None => return self.reject(rng, ErrorKind::NoEndpoint, history, Duration::ZERO),
        };
        history.sent += 1;
        history.tried.push(vm.clone());
        let may_wait = !search || history.sent > self.settings.search_sends;
        let it = self.candidates.get_mut(&vm).expect("chosen among the candidates");
        it.in_flight += 1;
        it.sent_since += 1;
        it.last_sent = now;
        Choice::Send {
            address: it.member.address,
            server: it.server.clone(),
            may_wait,
            has_room,
            load: it.load,
            age: now.since(it.load_time),
            vm,
        }
    }

    /// Ends a send whose caller has disconnected.
    pub fn cancel_send(&mut self, vm: &EndpointId) {
        if let Some(it) = self.candidates.get_mut(vm) {
            it.in_flight = it.in_flight.saturating_sub(1);
        }
    }

    /// Records the outcome of a send, and decides how the request continues.
    pub fn finish_send(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        request: &PlacementRequest,
        history: &mut SendHistory,
        vm: &EndpointId,
        outcome: Outcome,
    ) -> Next {
        self.record_outcome(now, request, vm, outcome);
        history.decision = None;
        let (kind, wait) = match outcome {
            Outcome::Answered { status, .. } => {
                history.arrivals += 1;
                history.ran = true;
                if status < 500 || !self.may_rerun(now, request, history, RepeatCause::Failed) {
                    return Next::Deliver;
                }
                return Next::Retry;
            }
            // All daemons beside backend servers of the service refuse a blocked request.
            Outcome::Refused { kind: ErrorKind::Blocked, retry_after } => {
                return Next::Fail { kind: history.final_kind(ErrorKind::Blocked), retry_after };
            }
            Outcome::Refused { kind, retry_after } => {
                if history.sent < self.settings.max_sends && request.deadline > now {
                    return Next::Retry;
                }
                (kind, retry_after)
            }
            Outcome::Unreachable => {
                if history.sent < self.settings.max_sends && request.deadline > now {
                    return Next::Retry;
                }
                (ErrorKind::NoEndpoint, Duration::ZERO)
            }
            Outcome::Revoked => {
                if history.sent < self.settings.max_sends && request.deadline > now {
                    return Next::Retry;
                }
                (ErrorKind::DeadlineUnmet, Duration::ZERO)
            }
            Outcome::Shed => {
                history.arrivals += 1;
                if self.may_resend(now, request, history, RepeatCause::Shed) {
                    return Next::Retry;
                }
                (ErrorKind::Overloaded, self.settings.min_retry)
            }
            Outcome::Cut | Outcome::Broken => {
                history.arrivals += 1;
                history.ran = true;
                let cause = match outcome {
                    Outcome::Cut => RepeatCause::Cut,
                    _ => RepeatCause::Broken,
                };
                if self.may_rerun(now, request, history, cause) {
                    return Next::Retry;
                }
                (ErrorKind::AnswerBroken, Duration::ZERO)
            }
            Outcome::TimedOut { ran } => {
                history.ran |= ran;
                (ErrorKind::DeadlineUnmet, Duration::ZERO)
            }
        };
        Next::Fail { kind: history.final_kind(kind), retry_after: self.retry_after(rng, wait) }
    }

    /// Returns whether a request that may have run may be sent to another backend server.
    fn may_rerun(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        history: &mut SendHistory,
        cause: RepeatCause,
    ) -> bool {
        request.idempotent && self.may_resend(now, request, history, cause)
    }

    /// Returns whether a request that reached a backend server may be sent to another one.
    fn may_resend(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        history: &mut SendHistory,
        cause: RepeatCause,
    ) -> bool {
        let run = Duration::from_secs_f64(self.run_time(&request.route));
        let possible = history.arrivals < request.attempts
            && history.sent < self.settings.max_sends
            && now + run / 2 < request.deadline
            && self.has_untried(now, request, history);
        if !possible {
            return false;
        }
        let decision = self.budget.try_repeat(now, &request.service, cause);
        history.decision = Some(decision);
        if decision.granted {
            history.repeat = Some(cause);
        }
        decision.granted
    }

    /// Returns the VM with the shortest expected completion time, among those with an expected wait
    /// that the request can afford.
    fn best(
        &self,
        now: Time,
        rng: &mut dyn Rng,
        request: &PlacementRequest,
        history: &SendHistory,
        canary: bool,
        sample: Option<u64>,
    ) -> Best {
        let run_time = self.run_time(&request.route);
        let goal = request.goal.since(now).as_secs_f64().max(run_time);
        // Requests do not wait for a canary; another version can run them.
        let canary = canary && matches!(request.versions, VersionFilter::Canary { .. });
        let left = request.deadline.since(now).as_secs_f64() - run_time;
        let max_wait = if canary { 0.0 } else { left.max(0.0) };
        let size = self.sizes.get(&request.route).copied().unwrap_or(0.0);
        let penalty = self.settings.remote_penalty + self.settings.kb_penalty * size;
        let remote_penalty = goal * penalty.min(self.settings.max_penalty);
        let mut best: Option<(f64, &Candidate, f64)> = None;
        let mut free_count = 0;
        let mut full: Option<f64> = None;
        let compared = self.compared(now, request, canary, sample);
        let blocked = is_blocked(request, &compared);
        let mut spread = self.spreads(request).then(|| {
            Spread::new(now, run_time, compared.iter().map(|it| it.candidate), rng.random())
        });
        let untried = compared.iter().any(|it| !history.tried.contains(&it.candidate.member.vm));
        for &Compared { candidate: it, gate } in &compared {
            // A VM that refused may have a free slot again once all others have refused as well.
            if untried && history.tried.contains(&it.member.vm) {
                continue;
            }
            let Estimate { time, wait, free, weight } = match &spread {
                Some(spread) => spread.estimate(now, it, run_time, goal, &self.settings),
                None => it.estimate(now, run_time, &self.settings),
            };
            let admitted = request.returned
                || gate.map_or(wait <= 0.0 || !blocked, |gate| gate.admits(request.ticket));
            if wait > max_wait || !admitted {
                full = Some(full.map_or(wait, |other| other.min(wait)));
                continue;
            }
            let remote = it.member.data_centre != self.data_centre;
            let remote_cost = if remote { remote_penalty } else { 0.0 };
            let own = it.member.vm == self.vm;
            let network = if own {
                0.0
            } else {
                it.expected_delay(now, &self.settings)
                    + it.transfer_time(size)
                    + it.link_backlog(now, size)
            };
            let unknown_cost = if it.reach == Reach::Up { 0.0 } else { goal };
            let jitter = if spread.is_some() { 1.0 } else { 1.0 + rng.random::<f64>() * 0.05 };
            let score =
                ((time + network) * (1.0 + 4.0 * it.fault_share) + remote_cost + unknown_cost)
                    * jitter;
            free_count += usize::from(wait <= 0.0);
            let better = match &mut spread {
                Some(spread) => spread.takes(score, weight, run_time),
                None => best.is_none_or(|(other, ..)| score < other),
            };
            if better {
                best = Some((score, it, free));
            }
        }
        match (best, full) {
            (Some((_, it, free)), _) => {
                let has_room = has_room(free, history.sent);
                Best::Send {
                    vm: it.member.vm.clone(),
                    search: has_room && free_count > 1,
                    has_room,
                }
            }
            (None, Some(wait)) => Best::Full(Duration::from_secs_f64((wait - max_wait).max(0.0))),
            (None, None) => Best::None,
        }
    }

    /// Returns whether the choice for a request is random by expected room, since many daemons may
    /// choose at the same time.
    ///
    /// Not while a rollout divides the requests among versions: the share of those that reach a bad
    /// version would change.
    fn spreads(&self, request: &PlacementRequest) -> bool {
        let divided = matches!(
            request.versions,
            VersionFilter::Canary { .. } | VersionFilter::Except { strict: false, .. }
        );
        !divided && self.candidates.len() >= self.settings.spread_from
    }

    /// Returns the candidates to compare for a request, with their gates; a random sample if `sample`
    /// is a random number and there are many.
    fn compared<'a>(
        &'a self,
        now: Time,
        request: &'a PlacementRequest,
        canary: bool,
        sample: Option<u64>,
    ) -> SmallVec<[Compared<'a>; 64]> {
        let expiry = self.settings.gate_expiry;
        let compared = |it: &'a Candidate| Compared {
            candidate: it,
            gate: it.gate(now, &request.route, expiry),
        };
        let Some(first) = sample else {
            return self.eligible(now, request, canary).map(compared).collect();
        };
        let all = self.candidates.of_service(&request.service);
        let offset = first as usize % all.len();
        // Neighbours in the list are often in one rack or data centre, so the sample has gaps.
        let stride = all.len() / self.settings.max_compared.max(1);
        (0..self.settings.max_compared)
            .map(|it| &all[(offset + it * stride) % all.len()])
            .filter(|it| it.is_available(now) && !self.is_leaving(it))
            .map(compared)
            .collect()
    }

    /// Returns whether a request may go to any of a sample of the candidates.
    fn may_sample(&self, request: &PlacementRequest) -> bool {
        let count = self.candidates.of_service(&request.service).len();
        count > self.settings.max_compared
            && request.trial.is_none()
            && self.spreads(request)
            && matches!(request.versions, VersionFilter::Any)
    }

    /// Returns the expected run time of a route in seconds.
    fn run_time(&self, route: &str) -> f64 {
        self.run_times.get(route).copied().unwrap_or(self.settings.default_run.as_secs_f64())
    }

    /// Updates the averages of the route and the backend server with the outcome of a send.
    fn record_outcome(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        vm: &EndpointId,
        outcome: Outcome,
    ) {
        let weight = self.settings.ewma_weight;
        if let Outcome::Answered { status, run, bytes } = outcome
            && status < 500
        {
            let size = bytes as f64 / 1_024.0;
            let mean = self.sizes.entry(Arc::clone(&request.route)).or_insert(size);
            *mean += (size - *mean) * weight;
            let usual = self.run_time(&request.route);
            let run = run.as_secs_f64();
            let mean = self.run_times.entry(Arc::clone(&request.route)).or_insert(run);
            *mean += (run - *mean) * weight;
            if let Some(it) = self.candidates.get_mut(vm)
                && now >= it.warm_at
            {
                let ratio = (run / usual.max(0.001)).clamp(0.05, 20.0);
                it.relative_run += (ratio - it.relative_run) * weight;
            }
        }
        let Some(it) = self.candidates.get_mut(vm) else { return };
        it.in_flight = it.in_flight.saturating_sub(1);
        let fault = match outcome {
            Outcome::Answered { status, .. } => f64::from(u8::from(status >= 500)),
            Outcome::Shed | Outcome::Broken | Outcome::Cut => 1.0,
            Outcome::TimedOut { ran: true } => 1.0,
            Outcome::Refused { .. }
            | Outcome::Unreachable
            | Outcome::Revoked
            | Outcome::TimedOut { ran: false } => it.fault_share,
        };
        it.fault_share += (fault - it.fault_share) * weight;
        if matches!(outcome, Outcome::Unreachable | Outcome::Cut) {
            self.mark_unreachable(now, vm);
        }
    }

    /// Returns a rejection that is consistent with the earlier sends of the request.
    fn reject(
        &self,
        rng: &mut dyn Rng,
        kind: ErrorKind,
        history: &SendHistory,
        wait: Duration,
    ) -> Choice {
        let retry_after = self.retry_after(rng, wait);
        Choice::Reject { kind: history.final_kind(kind), retry_after }
    }

    /// Returns the time after which a caller may retry, with jitter so that callers rejected at the
    /// same time do not retry at the same time.
    fn retry_after(&self, rng: &mut dyn Rng, wait: Duration) -> Duration {
        let spread = 1.0 + rng.random::<f64>();
        wait.max(self.settings.min_retry).mul_f64(spread).min(self.settings.max_retry)
    }
}

/// A candidate for one request.
#[derive(Clone, Copy)]
struct Compared<'a> {
    candidate: &'a Candidate,
    /// Gate of the route there, unless it is outdated.
    gate: Option<&'a Gate>,
}

/// Returns whether all known gates reject the ticket of a request.
fn is_blocked(request: &PlacementRequest, compared: &[Compared<'_>]) -> bool {
    let mut gates = compared.iter().filter_map(|it| it.gate).peekable();
    gates.peek().is_some() && gates.all(|gate| !gate.admits(request.ticket))
}

/// Result of comparing the candidates.
enum Best {
    /// Send to this VM; `has_room` states whether a free slot is expected there, and `search` whether
    /// one is also expected at another VM.
    Send { vm: EndpointId, search: bool, has_room: bool },
    /// All candidates are busy; after this time, the expected wait is short enough.
    Full(Duration),
    /// There are no candidates.
    None,
}
