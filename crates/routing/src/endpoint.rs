//! What this daemon has observed of one endpoint.

use std::time::Duration;

use shallottack_kernel::{EndpointId, Time};

use crate::{Candidate, CandidateState, LoadReport, Settings};

/// Age below which measurements are not discounted, to keep the exponent off the hot path.
const FRESH: Duration = Duration::from_millis(100);
/// Queue length assumed of an endpoint that refuses and reports no load.
const REFUSED_QUEUE: u32 = 8;

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub id: EndpointId,
    pub service: usize,
    pub candidate: Candidate,
    /// Whether membership still lists it.
    pub listed: bool,
    pub in_flight: u32,
    /// Whether an answer of the present incarnation said that it is leaving.
    pub leaving: bool,
    pub health: Health,
    latency: f64,
    deviation: f64,
    measured: Option<Time>,
    load: LoadReport,
    reported: Time,
}

/// Evidence of faults.
#[derive(Debug, Default)]
pub(crate) struct Health {
    pub consecutive: u32,
    pub share: f64,
    pub calls: u32,
    pub until: Time,
    pub hinted: Option<Time>,
    level: u32,
}

impl Health {
    pub fn ejected(&self, now: Time) -> bool {
        self.until > now
    }

    pub fn success(&mut self, now: Time, settings: &Settings) {
        self.consecutive = 0;
        self.count(0.0, settings);
        if self.level > 0 && now.since(self.until) > settings.max_ejection {
            self.level = 0;
        }
    }

    pub fn fault(&mut self, settings: &Settings) {
        self.consecutive += 1;
        self.count(1.0, settings);
    }

    /// Ejects for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Time, settings: &Settings) {
        let time = settings.base_ejection.saturating_mul(1 << self.level.min(16));
        self.until = now + time.min(settings.max_ejection);
        self.level += 1;
        // The next fault after the return ejects again, and the old share is not held against it.
        self.consecutive = settings.consecutive_faults.saturating_sub(1);
        (self.share, self.calls) = (0.0, 0);
    }

    fn count(&mut self, fault: f64, settings: &Settings) {
        self.calls = self.calls.saturating_add(1);
        self.share += (fault - self.share) * settings.failure_smoothing;
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
            measured: None,
            load: LoadReport::default(),
            reported: Time(0),
        }
    }

    /// Takes the view of membership. What answers told of this incarnation stays.
    pub fn update(&mut self, service: usize, candidate: Candidate) {
        if candidate.incarnation != self.candidate.incarnation {
            self.leaving = false;
            self.health = Health::default();
        }
        self.service = service;
        self.listed = true;
        self.candidate = candidate;
    }

    /// Returns whether the endpoint may take new calls apart from ejection and suspicion.
    pub fn open(&self) -> bool {
        self.listed
            && !self.leaving
            && matches!(self.candidate.state, CandidateState::Ready | CandidateState::Suspect)
    }

    /// Returns whether the endpoint may take new calls.
    pub fn usable(&self, now: Time) -> bool {
        self.open() && self.candidate.state == CandidateState::Ready && !self.health.ejected(now)
    }

    /// Returns the share of its usual calls that the endpoint gets.
    pub fn share(&self, now: Time, settings: &Settings) -> f64 {
        let warm = self
            .candidate
            .cold_since
            .map_or(1.0, |since| now.since(since).as_secs_f64() / settings.warm_up.as_secs_f64());
        (warm.min(1.0) * self.candidate.weight).clamp(settings.min_weight, 1.0)
    }

    /// Returns the score; the lower one of two candidates gets the call.
    pub fn score(&self, now: Time, settings: &Settings) -> f64 {
        let queue = f64::from(self.load.queued) * discount(now, self.reported, settings);
        let calls = f64::from(self.in_flight) + queue + 1.0;
        // One call at a time finds out how an endpoint without measurements does; compared by an
        // assumed latency it would get all calls or none.
        let unknown = self.measured.is_none() && self.in_flight == 0;
        let mean = if unknown { 0.0 } else { self.mean(now, settings) };
        calls * mean
    }

    /// Returns the mean latency in microseconds. It fades without new answers, so that an endpoint
    /// that was slow once is tried again.
    pub fn mean(&self, now: Time, settings: &Settings) -> f64 {
        self.latency * self.measured.map_or(1.0, |at| discount(now, at, settings))
    }

    /// Returns the expected latency at a quantile in microseconds; see `ClassState::spread`.
    pub fn expected(&self, now: Time, spread: f64, settings: &Settings) -> f64 {
        let mean = self.mean(now, settings);
        let age = self.measured.map_or(1.0, |at| discount(now, at, settings));
        let queue = f64::from(self.load.queued) * discount(now, self.reported, settings);
        let wait = queue * mean / f64::from(self.load.limit.max(1));
        mean + spread * self.deviation * age + wait
    }

    pub fn measure(&mut self, now: Time, latency: Duration, settings: &Settings) {
        let value = latency.as_micros() as f64;
        // The older the last answer, the less the average before it counts.
        let (weight, gap) = match self.measured {
            None => (1.0, 0.0),
            Some(at) => {
                let stale = 1.0 - discount(now, at, settings);
                (stale.max(settings.latency_smoothing), value - self.latency)
            }
        };
        self.latency += (value - self.latency) * weight;
        self.deviation += (gap.abs().min(value) - self.deviation) * weight;
        self.measured = Some(now);
    }

    pub fn report(&mut self, now: Time, load: LoadReport) {
        self.load = load;
        self.reported = now;
    }

    /// Takes a refusal into account, which otherwise looks like a quick answer.
    pub fn refused(&mut self, now: Time, load: Option<LoadReport>) {
        let mut load = load.unwrap_or(self.load);
        load.queued = load.queued.max(load.limit).max(REFUSED_QUEUE);
        self.report(now, load);
    }
}

fn discount(now: Time, at: Time, settings: &Settings) -> f64 {
    let age = now.since(at);
    if age < FRESH { 1.0 } else { (-age.as_secs_f64() / settings.half_life.as_secs_f64()).exp2() }
}
