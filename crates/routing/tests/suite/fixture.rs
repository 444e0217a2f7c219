//! Router with endpoints `e0`, `e1`, ... and helpers to drive it.

use std::{collections::BTreeMap, time::Duration};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use shallottack_config::{Catalog, Class, LatencyTarget};
use shallottack_kernel::{
    ClassName, DataCentre, EndpointId, ErrorKind, GroupName, ServiceName, Time,
};
use shallottack_routing::{
    CallId, CallInfo, Candidate, CandidateState, Choice, LoadReport, NextStep, Outcome, Router,
    Settings,
};

pub const ANSWERED: Outcome = Outcome::Answered { failed: false, load: None, leaving: false };
pub const FAILED: Outcome = Outcome::Answered { failed: true, load: None, leaving: false };
pub const BROKEN: Outcome = Outcome::Broken { partial: false };

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub fn endpoint(text: &str) -> EndpointId {
    EndpointId::new(text).unwrap()
}

pub fn service() -> ServiceName {
    ServiceName::new("desk").unwrap()
}

pub fn refused(kind: ErrorKind) -> Outcome {
    Outcome::Refused { kind, not_run: true, retry_after: Some(ms(700)), load: None, leaving: false }
}

pub fn answered_with(load: LoadReport) -> Outcome {
    Outcome::Answered { failed: false, load: Some(load), leaving: false }
}

pub fn candidate(text: &str, centre: &str) -> Candidate {
    Candidate {
        endpoint: endpoint(text),
        data_centre: DataCentre::new(centre).unwrap(),
        group: GroupName::new("v1").unwrap(),
        state: CandidateState::Ready,
        incarnation: 1,
        cold_since: None,
        weight: 1.0,
    }
}

pub fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(|it| candidate(&format!("e{it}"), "here")).collect()
}

pub fn call(call: u64, deadline: Time) -> CallInfo {
    CallInfo {
        call: CallId(call),
        service: service(),
        class: ClassName::new("reads").unwrap(),
        group: None,
        deadline,
        idempotent: true,
        retry_budget: None,
    }
}

/// Router with its random numbers and virtual time.
pub struct Fixture {
    pub router: Router,
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub next_id: u64,
}

impl Fixture {
    pub fn new(candidates: Vec<Candidate>) -> Fixture {
        Fixture::with(Settings::default(), candidates)
    }

    /// Creates a router for calls whose latency target is a 99th percentile of at most 100 ms.
    pub fn with(settings: Settings, candidates: Vec<Candidate>) -> Fixture {
        let mut router = Router::new(settings, DataCentre::new("here").unwrap());
        let class = Class {
            name: ClassName::new("reads").unwrap(),
            latency: LatencyTarget { quantile: 0.99, within: ms(100) },
            failures: 0.01,
            deadline: ms(1000),
            idempotent: true,
        };
        let mut catalog = Catalog::default();
        catalog.classes.insert(class.name.clone(), class.into());
        router.set_classes(&catalog);
        router.set_endpoints(&service(), candidates);
        Fixture { router, rng: ChaCha8Rng::seed_from_u64(7), now: at(1000), next_id: 0 }
    }

    /// Advances the time.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    pub fn choose(&mut self, info: &CallInfo) -> Choice {
        self.router.choose(self.now, &mut self.rng, info)
    }

    /// Starts a call and returns its endpoint.
    ///
    /// # Panics
    ///
    /// Panics if the router finds no endpoint.
    pub fn send(&mut self, idempotent: bool) -> (CallId, EndpointId) {
        self.next_id += 1;
        let info = CallInfo { idempotent, ..call(self.next_id, self.now + ms(1000)) };
        match self.choose(&info) {
            Choice::Send { endpoint, .. } => (info.call, endpoint),
            other => panic!("expected an endpoint, got {other:?}"),
        }
    }

    pub fn end_attempt(&mut self, call: CallId, outcome: Outcome) -> NextStep {
        self.router.end_attempt(self.now, &mut self.rng, call, outcome)
    }

    /// Runs `count` calls one at a time and returns their number by endpoint. Each call ends after
    /// the time and with the outcome that `answer` returns for its endpoint.
    pub fn run_calls(
        &mut self,
        count: usize,
        mut answer: impl FnMut(&EndpointId) -> (Duration, Outcome),
    ) -> BTreeMap<EndpointId, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            let (call, endpoint) = self.send(false);
            let (time, outcome) = answer(&endpoint);
            *counts.entry(endpoint).or_default() += 1;
            self.advance(time);
            self.end_attempt(call, outcome);
            self.router.cancel(call);
        }
        counts
    }
}
