//! Calls that the runs of a backend server make, learned for each route.
//!
//! A call does not state which run made it, and callers on the same VM send requests of their own.
//! Each request that arrives is therefore divided among the runs in progress and the callers, in
//! proportion to the rates at which they made calls to its service before.

use std::{collections::HashMap, sync::Arc, time::Duration};

use shallottack_kernel::{ServiceName, Time};
use smallvec::SmallVec;

use crate::TaskId;

/// Time over which calls are averaged; a route with few runs makes some within it.
const MEMORY: Duration = Duration::from_secs(10);
/// Number of calls, and of seconds, by which the rate of a source without calls is assumed.
const PRIOR: f64 = 0.5;
/// Calls in one run below which a route is taken to make none.
const MIN_CALLS: f64 = 0.05;
/// Decayed number of calls, or of runs, below which it is forgotten.
const FORGOTTEN: f64 = 0.01;
/// Routes after which those without recent runs are forgotten.
const MAX_ROUTES: usize = 64;

/// Expected number of calls to each service.
pub type Calls = SmallVec<[(ServiceName, f64); 2]>;

/// Runs of one route, or the callers, as a source of requests. All numbers decay.
#[derive(Debug, Default)]
struct Source {
    running: u32,
    starts: f64,
    /// Time in progress in seconds.
    seconds: f64,
    calls: Calls,
}

impl Source {
    fn advance(&mut self, passed: f64, decay: f64) {
        self.starts *= decay;
        self.seconds = self.seconds * decay + f64::from(self.running) * passed;
        self.calls.iter_mut().for_each(|it| it.1 *= decay);
        self.calls.retain(|it| it.1 >= FORGOTTEN);
    }

    /// Returns the rate of calls to a service of all runs in progress, in calls per second.
    fn rate(&self, service: &ServiceName) -> f64 {
        let calls = self.calls.iter().find(|it| it.0 == *service).map_or(0.0, |it| it.1);
        f64::from(self.running) * (calls + PRIOR) / (self.seconds + PRIOR)
    }

    fn add_calls(&mut self, service: &ServiceName, calls: f64) {
        match self.calls.iter_mut().find(|it| it.0 == *service) {
            Some(it) => it.1 += calls,
            None => self.calls.push((service.clone(), calls)),
        }
    }
}

/// Number of calls that runs at one backend server make.
#[derive(Debug)]
pub struct FanOut {
    running: HashMap<TaskId, Arc<str>>,
    routes: HashMap<Arc<str>, Source>,
    callers: Source,
    updated: Time,
}

impl Default for FanOut {
    fn default() -> Self {
        FanOut {
            running: HashMap::new(),
            routes: HashMap::new(),
            callers: Source { running: 1, ..Source::default() },
            updated: Time::default(),
        }
    }
}

impl FanOut {
    /// Records the start of a run.
    pub fn start(&mut self, now: Time, task: TaskId, route: &Arc<str>) {
        self.advance(now);
        if self.routes.len() >= MAX_ROUTES {
            self.routes.retain(|_, it| it.running > 0 || it.starts >= FORGOTTEN);
        }
        let source = self.routes.entry(Arc::clone(route)).or_default();
        source.running += 1;
        source.starts += 1.0;
        self.running.insert(task, Arc::clone(route));
    }

    /// Records the end of a run.
    pub fn finish(&mut self, now: Time, task: TaskId) {
        self.advance(now);
        let Some(route) = self.running.remove(&task) else { return };
        if let Some(source) = self.routes.get_mut(&route) {
            source.running -= 1;
        }
    }

    /// Records a request for `service` that was made on this VM, by a run or by a caller.
    pub fn record_request(&mut self, now: Time, service: &ServiceName) {
        self.advance(now);
        let sources = self.routes.values_mut().filter(|it| it.running > 0);
        let mut sources: SmallVec<[(f64, &mut Source); 8]> =
            sources.chain([&mut self.callers]).map(|it| (it.rate(service), it)).collect();
        let total: f64 = sources.iter().map(|it| it.0).sum();
        for (rate, source) in &mut sources {
            source.add_calls(service, *rate / total);
        }
    }

    /// Returns the number of calls that one run of a route is expected to make.
    pub fn calls(&self, route: &str) -> Calls {
        let Some(source) = self.routes.get(route) else { return Calls::new() };
        let calls = source.calls.iter();
        let calls = calls.map(|(service, calls)| (service.clone(), calls / source.starts.max(1.0)));
        calls.filter(|it| it.1 >= MIN_CALLS).collect()
    }

    /// Forgets what was learned, since another backend server runs on the VM.
    pub fn reset(&mut self) {
        for source in self.routes.values_mut() {
            *source = Source { running: source.running, ..Source::default() };
        }
    }

    fn advance(&mut self, now: Time) {
        let passed = now.since(self.updated).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        self.updated = now;
        let decay = (-passed / MEMORY.as_secs_f64()).exp();
        for source in self.routes.values_mut().chain([&mut self.callers]) {
            source.advance(passed, decay);
        }
    }
}
