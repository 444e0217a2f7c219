//! Router: its state, its inputs and the first attempt of a call.

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

/// Index of the class used for calls whose class is not in the catalog.
const UNLISTED: usize = 0;
/// Maximum number of hints kept until the daemon takes them.
const MAX_HINTS: usize = 64;

/// Call in progress.
#[derive(Debug)]
pub(crate) struct CallState {
    pub service: usize,
    pub class: usize,
    pub group: Option<GroupName>,
    pub deadline: Time,
    pub idempotent: bool,
    /// Endpoint of the current attempt.
    pub endpoint: usize,
    /// Time at which the current attempt is sent.
    pub sent: Time,
    /// Endpoints of earlier attempts.
    pub tried: SmallVec<[usize; 3]>,
    /// Number of retries made at this hop.
    pub retries: u8,
    /// Retry budget kept at this hop.
    pub kept_budget: u8,
    /// Retry budget sent with the current attempt.
    pub sent_budget: u8,
    /// Whether an attempt that has ended may have run.
    pub may_have_run: bool,
}

/// Router for the calls that enter the mesh at one daemon.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) services: Vec<ServiceState>,
    pub(crate) classes: Vec<ClassState>,
    pub(crate) calls: HashMap<CallId, CallState>,
    /// Data centre of this daemon.
    data_centre: DataCentre,
    endpoint_indices: HashMap<EndpointId, usize>,
    /// Indices in `endpoints` that may be reused.
    free_indices: Vec<usize>,
    service_indices: HashMap<ServiceName, usize>,
    class_indices: HashMap<ClassName, usize>,
    hints: SmallVec<[Hint; 4]>,
}

impl Router {
    /// Creates a router for a daemon in the given data centre.
    pub fn new(settings: Settings, data_centre: DataCentre) -> Router {
        Router {
            classes: vec![ClassState::new(&settings.unlisted_target, &settings)],
            settings,
            endpoints: Vec::new(),
            services: Vec::new(),
            calls: HashMap::new(),
            data_centre,
            endpoint_indices: HashMap::new(),
            free_indices: Vec::new(),
            service_indices: HashMap::new(),
            class_indices: HashMap::new(),
            hints: SmallVec::new(),
        }
    }

    /// Applies the classes of a catalog. Classes that it lacks are kept.
    pub fn set_classes(&mut self, catalog: &Catalog) {
        for (name, class) in &catalog.classes {
            match self.class_indices.get(name) {
                Some(&index) => self.classes[index].set_target(&class.latency),
                None => {
                    self.class_indices.insert(name.clone(), self.classes.len());
                    self.classes.push(ClassState::new(&class.latency, &self.settings));
                }
            }
        }
    }

    /// Replaces the candidates of a service. Observations of endpoints that remain are kept.
    pub fn set_endpoints(&mut self, service: &ServiceName, candidates: Vec<Candidate>) {
        let at = *self.service_indices.entry(service.clone()).or_insert_with(|| {
            self.services.push(ServiceState::default());
            self.services.len() - 1
        });
        let before = std::mem::take(&mut self.services[at].members);
        for &index in &before {
            let endpoint = &mut self.endpoints[index];
            // Another service may list the endpoint by now.
            endpoint.listed &= endpoint.service != at;
        }
        let members = candidates.into_iter().map(|it| self.upsert_endpoint(at, it)).collect();
        before.iter().for_each(|&it| self.release_unlisted(it));
        self.services[at] = ServiceState::new(members, &self.endpoints, &self.data_centre);
    }

    /// Chooses the endpoint for the first attempt of a call.
    pub fn choose(&mut self, now: Time, rng: &mut dyn Rng, info: &CallInfo) -> Choice {
        if info.deadline <= now {
            return fail(ErrorKind::DeadlineUnmet, &self.settings);
        }
        let class = self.class_indices.get(&info.class).copied().unwrap_or(UNLISTED);
        self.classes[class].record_call(&self.settings);
        let service = self.service_indices.get(&info.service).copied();
        let found = service.and_then(|service| {
            let endpoint = self.select(now, rng, service, info.group.as_ref(), class, &[])?;
            Some((service, endpoint))
        });
        let Some((service, endpoint)) = found else {
            return fail(ErrorKind::NoEndpoint, &self.settings);
        };
        self.cancel(info.call);
        let budget = info.retry_budget.unwrap_or(self.settings.initial_budget);
        let (kept_budget, sent_budget) = split_budget(budget);
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
            retries: 0,
            kept_budget,
            sent_budget,
            may_have_run: false,
        };
        self.calls.insert(info.call, state);
        Choice::Send { endpoint: self.endpoints[endpoint].id.clone(), retry_budget: sent_budget }
    }

    /// Removes a call whose caller has gone.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(state) = self.calls.remove(&call) {
            self.release(state.endpoint);
        }
    }

    /// Returns and removes the hints for failure detection.
    pub fn take_hints(&mut self) -> SmallVec<[Hint; 4]> {
        std::mem::take(&mut self.hints)
    }

    /// Returns the number of attempts in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        self.endpoint_indices.get(endpoint).map_or(0, |&it| self.endpoints[it].in_flight)
    }

    /// Returns whether an endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Time, endpoint: &EndpointId) -> bool {
        self.endpoint_indices
            .get(endpoint)
            .is_some_and(|&it| self.endpoints[it].health.ejected(now))
    }

    pub(crate) fn push_hint(&mut self, hint: Hint) {
        if self.hints.len() < MAX_HINTS {
            self.hints.push(hint);
        }
    }

    /// Counts an attempt at an endpoint as ended.
    pub(crate) fn release(&mut self, endpoint: usize) {
        let state = &mut self.endpoints[endpoint];
        state.in_flight = state.in_flight.saturating_sub(1);
        self.release_unlisted(endpoint);
    }

    /// Adds or updates an endpoint and returns its index.
    fn upsert_endpoint(&mut self, service: usize, candidate: Candidate) -> usize {
        if let Some(&index) = self.endpoint_indices.get(&candidate.endpoint) {
            self.endpoints[index].update(service, candidate);
            return index;
        }
        let id = candidate.endpoint.clone();
        let endpoint = Endpoint::new(service, candidate, &self.settings);
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.endpoints[index] = endpoint;
                index
            }
            None => {
                self.endpoints.push(endpoint);
                self.endpoints.len() - 1
            }
        };
        self.endpoint_indices.insert(id, index);
        index
    }

    /// Frees the index of an endpoint that is neither listed nor in use.
    fn release_unlisted(&mut self, index: usize) {
        let endpoint = &self.endpoints[index];
        if !endpoint.listed
            && endpoint.in_flight == 0
            && self.endpoint_indices.remove(&endpoint.id).is_some()
        {
            self.free_indices.push(index);
        }
    }
}

/// Splits a retry budget into the part kept at this hop and the part sent with the call.
///
/// The part that was sent counts as spent once the call may have run, since it is not known how
/// much of it the next hops used. A hop that keeps 1 of a budget of b and sends b - 1 causes at
/// most b + 1 runs at any depth, however many hops fail.
pub(crate) fn split_budget(budget: u8) -> (u8, u8) {
    let kept = budget.min(1);
    (kept, budget - kept)
}

fn fail(kind: ErrorKind, settings: &Settings) -> Choice {
    let retry_after = kind.answer().retry_after.then_some(settings.retry_after);
    Choice::Fail { kind, retry_after }
}
