//! Latency, load and health of one endpoint as observed by this daemon.

use std::time::Duration;

use shallottack_kernel::{EndpointId, Time};

use crate::{Candidate, CandidateState, LoadReport, Settings};

/// Age below which measurements count in full, which keeps `exp2` off the hot path.
const DECAY_FREE_AGE: Duration = Duration::from_millis(100);
/// Smallest queue length assumed for an endpoint that refused a call.
const MIN_REFUSED_QUEUE: u32 = 8;

/// Endpoint known to the router.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub id: EndpointId,
    /// Index of the service.
    pub service: usize,
    pub candidate: Candidate,
    /// Whether membership still lists the endpoint.
    pub listed: bool,
    /// Number of attempts of this daemon at the endpoint.
    pub in_flight: u32,
    /// Whether an answer of the current incarnation stated that it is leaving.
    pub leaving: bool,
    pub health: Health,
    /// Moving average of the latency in microseconds.
    latency: f64,
    /// Moving average of the deviation from `latency` in microseconds.
    deviation: f64,
    last_measured: Option<Time>,
    load: LoadReport,
    last_reported: Time,
}

/// Faults and ejections of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Health {
    pub consecutive_faults: u32,
    /// Moving average of the share of failed answers.
    pub failure_share: f64,
    /// Number of answers in `failure_share`.
    pub answers: u32,
    pub ejected_until: Time,
    pub last_hint: Option<Time>,
    /// Number of ejections that the duration of the next one depends on.
    ejections: u32,
}

impl Health {
    pub fn ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }

    pub fn record_success(&mut self, now: Time, settings: &Settings) {
        self.consecutive_faults = 0;
        self.record(0.0, settings);
        if self.ejections > 0 && now.since(self.ejected_until) > settings.max_ejection {
            self.ejections = 0;
        }
    }

    pub fn record_fault(&mut self, settings: &Settings) {
        self.consecutive_faults += 1;
        self.record(1.0, settings);
    }

    /// Ejects the endpoint for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Time, settings: &Settings) {
        let time = settings.base_ejection.saturating_mul(1 << self.ejections.min(16));
        self.ejected_until = now + time.min(settings.max_ejection);
        self.ejections += 1;
        // The next fault after the ejection ejects again; the failure share starts afresh.
        self.consecutive_faults = settings.consecutive_faults.saturating_sub(1);
        (self.failure_share, self.answers) = (0.0, 0);
    }

    fn record(&mut self, fault: f64, settings: &Settings) {
        self.answers = self.answers.saturating_add(1);
        self.failure_share += (fault - self.failure_share) * settings.failure_smoothing;
    }
}

impl Endpoint {
    pub fn new(service: usize, candidate: Candidate, settings: &Settings) -> Endpoint {
        Endpoint {
            id: candidate.endpoint.clone(),
            service,
            candidate,
            listed: true,
            in_flight: 0,
            leaving: false,
            health: Health::default(),
            latency: settings.initial_latency.as_micros() as f64,
            deviation: 0.0,
            last_measured: None,
            load: LoadReport::default(),
            last_reported: Time(0),
        }
    }

    /// Applies an update from membership. What was learned from calls to a replaced incarnation is
    /// dropped, except for latency and load.
    pub fn update(&mut self, service: usize, candidate: Candidate) {
        if candidate.incarnation != self.candidate.incarnation {
            self.leaving = false;
            self.health = Health::default();
        }
        self.service = service;
        self.listed = true;
        self.candidate = candidate;
    }

    /// Returns whether the endpoint takes new calls, regardless of ejection and suspicion.
    pub fn accepts_calls(&self) -> bool {
        self.listed
            && !self.leaving
            && matches!(self.candidate.state, CandidateState::Ready | CandidateState::Suspect)
    }

    /// Returns whether the endpoint takes new calls and is neither suspected nor ejected.
    pub fn usable(&self, now: Time) -> bool {
        self.accepts_calls()
            && self.candidate.state == CandidateState::Ready
            && !self.health.ejected(now)
    }

    /// Returns the weight of the endpoint for new calls, from `min_weight` to 1.
    pub fn weight(&self, now: Time, settings: &Settings) -> f64 {
        let warm = self
            .candidate
            .cold_since
            .map_or(1.0, |since| now.since(since).as_secs_f64() / settings.warm_up.as_secs_f64());
        (warm.min(1.0) * self.candidate.weight).clamp(settings.min_weight, 1.0)
    }

    /// Returns the load score in microseconds. Of two candidates, the one with the lower score gets
    /// the call.
    pub fn score(&self, now: Time, settings: &Settings) -> f64 {
        let queue = f64::from(self.load.queued) * decay(now, self.last_reported, settings);
        let calls = f64::from(self.in_flight) + queue + 1.0;
        // One call at a time probes an endpoint without measurements. With an assumed latency it
        // would get all calls or none.
        let unknown = self.last_measured.is_none() && self.in_flight == 0;
        let mean = if unknown { 0.0 } else { self.mean_latency(now, settings) };
        calls * mean
    }

    /// Returns the mean latency in microseconds. It decays without new answers, so that an endpoint
    /// that was slow is tried again.
    pub fn mean_latency(&self, now: Time, settings: &Settings) -> f64 {
        self.latency * self.last_measured.map_or(1.0, |at| decay(now, at, settings))
    }

    /// Returns the expected latency at a quantile in microseconds, including the wait in the
    /// reported queue. The quantile is given by `ClassState::tail_deviations`.
    pub fn expected_latency(&self, now: Time, tail_deviations: f64, settings: &Settings) -> f64 {
        let mean = self.mean_latency(now, settings);
        let factor = self.last_measured.map_or(1.0, |at| decay(now, at, settings));
        let queue = f64::from(self.load.queued) * decay(now, self.last_reported, settings);
        let wait = queue * mean / f64::from(self.load.limit.max(1));
        mean + tail_deviations * self.deviation * factor + wait
    }

    /// Records a measured latency.
    pub fn record_latency(&mut self, now: Time, latency: Duration, settings: &Settings) {
        let value = latency.as_micros() as f64;
        // The older the last measurement, the less the current average counts.
        let (weight, gap) = match self.last_measured {
            None => (1.0, 0.0),
            Some(at) => {
                let stale = 1.0 - decay(now, at, settings);
                (stale.max(settings.latency_smoothing), value - self.latency)
            }
        };
        self.latency += (value - self.latency) * weight;
        self.deviation += (gap.abs().min(value) - self.deviation) * weight;
        self.last_measured = Some(now);
    }

    /// Records a reported load.
    pub fn record_load(&mut self, now: Time, load: LoadReport) {
        self.load = load;
        self.last_reported = now;
    }

    /// Records a refusal as a long queue, since it would otherwise look like a fast answer.
    pub fn record_refusal(&mut self, now: Time, load: Option<LoadReport>) {
        let mut load = load.unwrap_or(self.load);
        load.queued = load.queued.max(load.limit).max(MIN_REFUSED_QUEUE);
        self.record_load(now, load);
    }
}

/// Returns the factor by which a value measured at `at` counts now.
fn decay(now: Time, at: Time, settings: &Settings) -> f64 {
    let age = now.since(at);
    if age < DECAY_FREE_AGE {
        1.0
    } else {
        (-age.as_secs_f64() / settings.half_life.as_secs_f64()).exp2()
    }
}
