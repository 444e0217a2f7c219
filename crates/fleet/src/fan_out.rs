//! Calls that the runs of a backend server make, learned for each route.
//!
//! Requests that fail are often those that make calls, so that repeats are counted apart.
//!
//! Callers on the VM send requests of their own. Where backend servers give their calls identifiers
//! that begin with that of the request which makes them, each call is counted for its run. Elsewhere,
//! each request that arrives is divided among the runs in progress, in proportion to the rates at
//! which they made calls to its service before. This takes requests of callers for calls, so that
//! more repeats are refused than need be.

use std::{collections::HashMap, sync::Arc, time::Duration};

use shallottack_kernel::{ServiceName, Time};
use smallvec::SmallVec;

use crate::TaskId;

/// Time over which calls are averaged; a route with few runs makes some within it.
const MEMORY: Duration = Duration::from_secs(10);
/// Time without calls that name their requests after which calls may come without. Callers are not
/// taken for runs in a short pause of the calls.
const NAMED_EXPIRY: Duration = Duration::from_secs(60);
/// Number of calls, and of seconds, by which the rate of a source without calls is assumed.
const PRIOR: f64 = 0.5;
/// Calls in one run below which a route is taken to make none.
const MIN_CALLS: f64 = 0.05;
/// Decayed number of calls, or of runs, below which it is forgotten.
const FORGOTTEN: f64 = 0.01;
/// Sources after which those without recent runs are forgotten.
const MAX_SOURCES: usize = 64;

/// Expected number of calls to each service.
pub type Calls = SmallVec<[(ServiceName, f64); 2]>;

/// Runs of one route as a source of calls. All numbers decay.
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
}

fn add_calls(sum: &mut Calls, service: &ServiceName, calls: f64) {
    match sum.iter_mut().find(|it| it.0 == *service) {
        Some(it) => it.1 += calls,
        None => sum.push((service.clone(), calls)),
    }
}

#[derive(Debug)]
struct Run {
    id: String,
    source: SourceKey,
    /// Calls that a repeat is expected to make, and those that it made.
    expected: Calls,
    made: Calls,
}

/// Route of a run, and [`StartedRun::repeat`].
type SourceKey = (Arc<str>, bool);

/// What is known of where a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller, or a run that it does not name.
    Unknown,
    /// It is a call of a run in progress.
    Run,
    /// It is a call of a run in progress that is a repeat.
    Repeat,
}

/// A run that starts.
#[derive(Debug, Clone, Copy)]
pub struct StartedRun<'a> {
    /// Identifier of the request.
    pub id: &'a str,
    /// Name of the matching route.
    pub route: &'a Arc<str>,
    /// Whether the run is a repeat, or a call that a repeat makes again.
    pub repeat: bool,
    /// Whether the request is a call that its daemon recognised by [`FanOut::record_request`].
    pub named: bool,
}

/// Calls that runs at one backend server make.
#[derive(Debug, Default)]
pub struct FanOut {
    running: HashMap<TaskId, Run>,
    /// When a call that names the request of its run was last seen.
    named: Option<Time>,
    sources: HashMap<SourceKey, Source>,
    updated: Time,
}

impl FanOut {
    /// Records the start of a run. Returns the number of calls that it is expected to make if it is a
    /// repeat.
    pub fn start(&mut self, now: Time, task: TaskId, run: &StartedRun<'_>) -> Calls {
        self.advance(now);
        let expected = if run.repeat { self.calls(run.route) } else { Calls::new() };
        if run.named {
            self.named = Some(now);
        }
        if self.sources.len() >= MAX_SOURCES {
            self.sources.retain(|_, it| it.running > 0 || it.starts >= FORGOTTEN);
        }
        let key = (Arc::clone(run.route), run.repeat);
        let source = self.sources.entry(key.clone()).or_default();
        source.running += 1;
        source.starts += 1.0;
        let (id, made) = (run.id.to_owned(), Calls::new());
        self.running.insert(task, Run { id, source: key, expected: expected.clone(), made });
        expected
    }

    /// Records the end of a run. Returns how many more calls, or fewer, a repeat made than expected.
    pub fn finish(&mut self, now: Time, task: TaskId) -> Calls {
        self.advance(now);
        let Some(run) = self.running.remove(&task) else { return Calls::new() };
        if let Some(source) = self.sources.get_mut(&run.source) {
            source.running -= 1;
        }
        // Which run made a call is certain only if calls name their requests.
        if !run.source.1 || self.named.is_none() {
            return Calls::new();
        }
        let mut difference = run.made;
        for (service, calls) in &run.expected {
            add_calls(&mut difference, service, -calls);
        }
        difference
    }

    /// Records a request for `service` that was made on this VM, by a run or by a caller.
    ///
    /// `parent` is the identifier of the request that it names as the one that makes it.
    pub fn record_request(
        &mut self,
        now: Time,
        service: &ServiceName,
        parent: Option<&str>,
    ) -> CallOrigin {
        self.advance(now);
        let mut runs = self.running.values_mut();
        if let Some(run) = parent.and_then(|parent| runs.find(|it| it.id == parent)) {
            add_calls(&mut run.made, service, 1.0);
            if let Some(source) = self.sources.get_mut(&run.source) {
                add_calls(&mut source.calls, service, 1.0);
            }
            self.named = Some(now);
            return if run.source.1 { CallOrigin::Repeat } else { CallOrigin::Run };
        }
        if self.named.is_none() {
            self.divide_call(service);
        }
        CallOrigin::Unknown
    }

    /// Divides a request among the runs that may have made it.
    fn divide_call(&mut self, service: &ServiceName) {
        let sources = self.sources.values_mut().filter(|it| it.running > 0);
        let mut sources: SmallVec<[(f64, &mut Source); 8]> =
            sources.map(|it| (it.rate(service), it)).collect();
        let total: f64 = sources.iter().map(|it| it.0).sum();
        for (rate, source) in &mut sources {
            add_calls(&mut source.calls, service, *rate / total);
        }
    }

    /// Returns the number of calls that a repeated run of a route is expected to make: as many as
    /// runs of the route make on average, and as repeats of them do.
    pub fn calls(&self, route: &Arc<str>) -> Calls {
        let mut expected = Calls::new();
        for repeat in [false, true] {
            let Some(source) = self.sources.get(&(Arc::clone(route), repeat)) else { continue };
            for (service, calls) in &source.calls {
                let calls = calls / source.starts.max(1.0);
                match expected.iter_mut().find(|it| it.0 == *service) {
                    Some(it) => it.1 = it.1.max(calls),
                    None => expected.push((service.clone(), calls)),
                }
            }
        }
        expected.retain(|it| it.1 >= MIN_CALLS);
        expected
    }

    /// Forgets what was learned, since another backend server runs on the VM.
    pub fn reset(&mut self) {
        for source in self.sources.values_mut() {
            *source = Source { running: source.running, ..Source::default() };
        }
    }

    fn advance(&mut self, now: Time) {
        self.named = self.named.filter(|it| now.since(*it) < NAMED_EXPIRY);
        let passed = now.since(self.updated).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        self.updated = now;
        let decay = (-passed / MEMORY.as_secs_f64()).exp();
        self.sources.values_mut().for_each(|it| it.advance(passed, decay));
    }
}
