//! State of the routing core and its inputs.

use std::collections::HashMap;

use rand::Rng;
use shallottack_config::Catalog;
use shallottack_kernel::{
    ClassName, DataCentre, EndpointId, ErrorKind, GroupName, ServiceName, Time,
};
use smallvec::SmallVec;

use crate::{
    CallId, CallInfo, Candidate, Choice, Hint, Settings, budget::ClassState, endpoint::Endpoint,
    pool::ServiceState,
};

/// Index of the class that stands for all classes that the catalog lacks.
const UNLISTED: usize = 0;
/// Hints kept until the daemon takes them.
const MAX_HINTS: usize = 64;

/// A call in progress.
#[derive(Debug)]
pub(crate) struct CallState {
    pub service: usize,
    pub class: usize,
    pub group: Option<GroupName>,
    pub deadline: Time,
    pub idempotent: bool,
    /// Endpoint of the present attempt.
    pub endpoint: usize,
    pub sent: Time,
    /// Endpoints of earlier attempts.
    pub tried: SmallVec<[usize; 3]>,
    /// Retries made at this hop.
    pub retried: u8,
    /// Retry budget still held here.
    pub kept: u8,
    /// Retry budget sent along with the present attempt.
    pub given: u8,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

/// Selection of endpoints for the calls that reach one daemon.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) services: Vec<ServiceState>,
    pub(crate) classes: Vec<ClassState>,
    pub(crate) calls: HashMap<CallId, CallState>,
    here: DataCentre,
    index: HashMap<EndpointId, usize>,
    free: Vec<usize>,
    service_names: HashMap<ServiceName, usize>,
    class_names: HashMap<ClassName, usize>,
    hints: SmallVec<[Hint; 4]>,
}

impl Router {
    /// Creates a router for a daemon in the data centre `here`.
    pub fn new(settings: Settings, here: DataCentre) -> Router {
        Router {
            classes: vec![ClassState::new(&settings.unlisted_target, &settings)],
            settings,
            endpoints: Vec::new(),
            services: Vec::new(),
            calls: HashMap::new(),
            here,
            index: HashMap::new(),
            free: Vec::new(),
            service_names: HashMap::new(),
            class_names: HashMap::new(),
            hints: SmallVec::new(),
        }
    }

    /// Takes the classes of a catalog.
    pub fn set_classes(&mut self, catalog: &Catalog) {
        for (name, class) in &catalog.classes {
            match self.class_names.get(name) {
                Some(&index) => self.classes[index].set_target(&class.latency),
                None => {
                    self.class_names.insert(name.clone(), self.classes.len());
                    self.classes.push(ClassState::new(&class.latency, &self.settings));
                }
            }
        }
    }

    /// Replaces the candidates of a service. What was observed of endpoints that stay is kept.
    pub fn set_endpoints(&mut self, service: &ServiceName, candidates: Vec<Candidate>) {
        let at = *self.service_names.entry(service.clone()).or_insert_with(|| {
            self.services.push(ServiceState::default());
            self.services.len() - 1
        });
        let before = std::mem::take(&mut self.services[at].members);
        for &index in &before {
            let endpoint = &mut self.endpoints[index];
            // Another service may list it by now.
            endpoint.listed &= endpoint.service != at;
        }
        let members = candidates.into_iter().map(|it| self.place(at, it)).collect();
        before.iter().for_each(|&it| self.release_unlisted(it));
        self.services[at] = ServiceState::new(members, &self.endpoints, &self.here);
    }

    /// Chooses the endpoint for the first attempt of a call.
    pub fn choose(&mut self, now: Time, rng: &mut dyn Rng, info: &CallInfo) -> Choice {
        if info.deadline <= now {
            return give_up(ErrorKind::DeadlineUnmet, &self.settings);
        }
        let class = self.class_names.get(&info.class).copied().unwrap_or(UNLISTED);
        self.classes[class].count_call(&self.settings);
        let service = self.service_names.get(&info.service).copied();
        let found = service.and_then(|service| {
            let endpoint = self.select(now, rng, service, info.group.as_ref(), class, &[])?;
            Some((service, endpoint))
        });
        let Some((service, endpoint)) = found else {
            return give_up(ErrorKind::NoEndpoint, &self.settings);
        };
        self.cancel(info.call);
        let budget = info.retry_budget.unwrap_or(self.settings.initial_budget);
        let (kept, given) = split(budget);
        self.endpoints[endpoint].in_flight += 1;
        let state = CallState {
            service,
            class,
            group: info.group.clone(),
            deadline: info.deadline,
            idempotent: info.idempotent,
            endpoint,
            sent: now,
            tried: SmallVec::new(),
            retried: 0,
            kept,
            given,
            may_have_run: false,
        };
        self.calls.insert(info.call, state);
        Choice::Send { endpoint: self.endpoints[endpoint].id.clone(), retry_budget: given }
    }

    /// Forgets a call whose caller has gone.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(state) = self.calls.remove(&call) {
            self.leave(state.endpoint);
        }
    }

    /// Returns and forgets the evidence that membership should look into.
    pub fn take_hints(&mut self) -> SmallVec<[Hint; 4]> {
        std::mem::take(&mut self.hints)
    }

    /// Returns the number of attempts under way at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        self.index.get(endpoint).map_or(0, |&it| self.endpoints[it].in_flight)
    }

    /// Returns whether an endpoint is ejected.
    pub fn is_ejected(&self, now: Time, endpoint: &EndpointId) -> bool {
        self.index.get(endpoint).is_some_and(|&it| self.endpoints[it].health.ejected(now))
    }

    pub(crate) fn hint(&mut self, hint: Hint) {
        if self.hints.len() < MAX_HINTS {
            self.hints.push(hint);
        }
    }

    /// Ends an attempt at an endpoint.
    pub(crate) fn leave(&mut self, endpoint: usize) {
        let state = &mut self.endpoints[endpoint];
        state.in_flight = state.in_flight.saturating_sub(1);
        self.release_unlisted(endpoint);
    }

    fn place(&mut self, service: usize, candidate: Candidate) -> usize {
        if let Some(&index) = self.index.get(&candidate.endpoint) {
            self.endpoints[index].update(service, candidate);
            return index;
        }
        let id = candidate.endpoint.clone();
        let endpoint = Endpoint::new(service, candidate, &self.settings);
        let index = match self.free.pop() {
            Some(index) => {
                self.endpoints[index] = endpoint;
                index
            }
            None => {
                self.endpoints.push(endpoint);
                self.endpoints.len() - 1
            }
        };
        self.index.insert(id, index);
        index
    }

    fn release_unlisted(&mut self, index: usize) {
        let endpoint = &self.endpoints[index];
        if !endpoint.listed && endpoint.in_flight == 0 && self.index.remove(&endpoint.id).is_some()
        {
            self.free.push(index);
        }
    }
}

/// Splits a retry budget into the part kept at this hop and the part sent along.
///
/// Budget that is sent along counts as spent once the call may have run, since what happened
/// further down is not known. A hop that keeps 1 of a budget b and sends b - 1 causes at most
/// b + 1 runs at any depth, however many hops fail.
pub(crate) fn split(budget: u8) -> (u8, u8) {
    let kept = budget.min(1);
    (kept, budget - kept)
}

fn give_up(kind: ErrorKind, settings: &Settings) -> Choice {
    let retry_after = kind.answer().retry_after.then_some(settings.retry_after);
    Choice::Fail { kind, retry_after }
}
