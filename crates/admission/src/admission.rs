//! Decisions about arrivals, completions and queued calls.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use shallottack_config::Catalog;
use shallottack_kernel::{ClassName, ErrorKind, Time};

use crate::{
    AdmissionDecision, Arrival, CallId, ClassReport, Completion, Dequeued, Load, Outcome, Refusal,
    Settings,
    class::{ClassState, Waiting},
    fair::RoundRobin,
    limit::{Limit, Sample},
};

/// Index of the class that stands for all classes that the catalog lacks, for example because the
/// caller's daemon already has a newer version.
const UNLISTED: usize = 0;
/// Weight of one answer in the mean service time of all classes is 1 / this.
const MEAN_WEIGHT: i64 = 32;

#[derive(Debug, Clone, Copy)]
struct Running {
    arrived: Time,
    started: Time,
    charge: i64,
}

#[derive(Debug, Clone, Copy)]
struct CallState {
    class: usize,
    /// `None` while the call is queued.
    running: Option<Running>,
}

/// Admission of calls to one backend server.
#[derive(Debug)]
pub struct AdmissionController {
    settings: Settings,
    limit: Limit,
    classes: Vec<ClassState>,
    names: HashMap<ClassName, usize>,
    calls: HashMap<CallId, CallState>,
    order: RoundRobin,
    in_flight: u32,
    queued: u32,
    /// Mean service time of all classes in microseconds.
    mean: Option<i64>,
    /// Time of the last start or end of a call at the backend server.
    progress: Time,
    checked: Time,
}

impl AdmissionController {
    /// Creates the admission to a backend server that announced `slots`.
    ///
    /// # Panics
    ///
    /// Never: the name of the class for unlisted calls is a valid constant.
    pub fn new(settings: Settings, slots: u32) -> AdmissionController {
        let name = ClassName::new("unlisted").expect("constant name is valid");
        let unlisted =
            ClassState::new(name, settings.unlisted_latency.clone(), settings.unlisted_failures);
        AdmissionController {
            limit: Limit::new(slots),
            classes: vec![unlisted],
            names: HashMap::new(),
            calls: HashMap::new(),
            order: RoundRobin::default(),
            in_flight: 0,
            queued: 0,
            mean: None,
            progress: Time(0),
            checked: Time(0),
            settings,
        }
    }

    /// Takes the slots of a new announcement; the limit starts there again when they differ.
    pub fn set_slots(&mut self, now: Time, slots: u32) -> Dequeued {
        let mut starts = Dequeued::default();
        self.limit.set_slots(slots);
        self.dispatch(now, &mut starts);
        starts
    }

    /// Takes the classes of a catalog. Calls of removed classes that are in progress go on.
    pub fn set_classes(&mut self, catalog: &Catalog) {
        self.names.retain(|name, _| catalog.classes.contains_key(name));
        for (name, class) in &catalog.classes {
            let known = self.classes.iter().skip(1).position(|it| it.name == *name);
            let index = known.map_or(self.classes.len(), |it| it + 1);
            if known.is_none() {
                let state = ClassState::new(name.clone(), class.latency.clone(), class.failures);
                self.classes.push(state);
            }
            let state = &mut self.classes[index];
            state.target = class.latency.clone();
            state.failures = class.failures;
            self.names.insert(name.clone(), index);
        }
    }

    /// Decides on an arriving call.
    ///
    /// A call whose identifier is already in progress is refused with `Internal`.
    pub fn arrive(&mut self, now: Time, arrival: &Arrival) -> AdmissionDecision {
        let index = self.names.get(&arrival.class).copied().unwrap_or(UNLISTED);
        if self.calls.contains_key(&arrival.call) {
            return AdmissionDecision::Refuse(Refusal {
                kind: ErrorKind::Internal,
                retry_after: self.settings.min_retry,
            });
        }
        let class = &mut self.classes[index];
        class.stats.rotate(now, self.settings.report_window);
        if let Some(cost) = arrival.cost {
            class.estimate(cost);
        }
        let verdict = self.judge(now, index, arrival.deadline);
        match verdict {
            AdmissionDecision::Run => self.run(now, now, arrival.call, index, 0),
            AdmissionDecision::Queue => {
                let waiting =
                    Waiting { call: arrival.call, arrived: now, deadline: arrival.deadline };
                self.enqueue(index, waiting);
            }
            AdmissionDecision::Refuse(_) => self.classes[index].stats.refused(),
        }
        verdict
    }

    /// Takes the end of a started call; returns the queued calls to start or refuse now.
    pub fn complete(&mut self, now: Time, call: CallId, completion: Completion) -> Dequeued {
        let mut starts = Dequeued::default();
        let Some(&CallState { class, running: Some(running) }) = self.calls.get(&call) else {
            return starts;
        };
        self.calls.remove(&call);
        let saturated = self.in_flight >= self.limit.get();
        self.in_flight -= 1;
        self.progress = now;
        self.observe(now, class, running, completion, saturated);
        self.dispatch(now, &mut starts);
        starts
    }

    /// Forgets a call whose caller has gone. The daemon also cancels it at the backend server
    /// when it was started.
    pub fn cancel(&mut self, now: Time, call: CallId) -> Dequeued {
        let mut starts = Dequeued::default();
        let Some(state) = self.calls.remove(&call) else { return starts };
        match state.running {
            None => {
                self.classes[state.class].queue.retain(|it| it.call != call);
                self.queued -= 1;
            }
            Some(running) => {
                let saturated = self.in_flight >= self.limit.get();
                self.in_flight -= 1;
                self.observe_cancelled(now, state.class, running, saturated);
                self.dispatch(now, &mut starts);
            }
        }
        starts
    }

    /// Refuses queued calls that can no longer meet their deadline and lets the limit recover.
    pub fn tick(&mut self, now: Time) -> Dequeued {
        let mut starts = Dequeued::default();
        let saturated = self.in_flight >= self.limit.get();
        self.limit.tick(now, saturated, &self.settings);
        self.dispatch(now, &mut starts);
        if self.queued > 0 && now.since(self.checked) >= self.settings.check_interval {
            self.checked = now;
            self.check(now, &mut starts);
        }
        starts
    }

    /// Returns the time of the next tick, which is in the far future when none is needed.
    pub fn wake_at(&self) -> Time {
        let check = (self.queued > 0).then(|| self.checked + self.settings.check_interval);
        let recover = self.limit.wake_at(&self.settings);
        check.into_iter().chain(recover).min().unwrap_or(Time(u64::MAX))
    }

    /// Returns the present load.
    pub fn load(&self) -> Load {
        Load { in_flight: self.in_flight, queued: self.queued, limit: self.limit.get() }
    }

    /// Returns how each class in the catalog, and unlisted calls if there were any, fared.
    pub fn report(&self) -> Vec<ClassReport> {
        self.classes
            .iter()
            .enumerate()
            .map(|(index, class)| {
                let queued = class.queue.len() as u32;
                let report = class.stats.report(&class.name, &class.target, class.failures, queued);
                (index, report)
            })
            .filter(|(index, report)| {
                self.names.get(&report.class) == Some(index)
                    || report.answered + report.failed + report.refused > 0
            })
            .map(|(_, report)| report)
            .collect()
    }

    fn judge(&mut self, now: Time, index: usize, deadline: Time) -> AdmissionDecision {
        let class = &self.classes[index];
        if self.in_flight < self.limit.get() && self.queued == 0 {
            if now + micros(class.quickest()) < deadline {
                return AdmissionDecision::Run;
            }
            return self.refuse(now, index, ErrorKind::DeadlineUnmet, Duration::ZERO);
        }
        let cost = self.cost(class);
        let wait = self.wait(now, class.queue.len() as u64 * cost);
        let left = deadline.since(now).as_micros() as u64;
        let most =
            ((left as f64 * self.settings.deadline_share) as u64).min(left.saturating_sub(cost));
        if wait > most {
            return self.refuse(now, index, ErrorKind::DeadlineUnmet, micros(wait - most));
        }
        // A longer queue would make every answer of the class miss its latency target without
        // serving more calls. One call per slot may always wait, so that no slot runs empty.
        let target = class.target.within.as_micros() as f64 * self.settings.target_share;
        let long = wait + cost > target as u64 && class.queue.len() >= self.limit.get() as usize;
        if long || class.queue.len() >= self.settings.max_queued {
            let excess = micros((wait + cost).saturating_sub(target as u64));
            return self.refuse(now, index, ErrorKind::Overloaded, excess);
        }
        AdmissionDecision::Queue
    }

    /// Refuses a call of a class. `excess` is the time until the queue has room; callers refused
    /// before come back first, one for each call that the class can serve.
    fn refuse(
        &mut self,
        now: Time,
        index: usize,
        kind: ErrorKind,
        excess: Duration,
    ) -> AdmissionDecision {
        AdmissionDecision::Refuse(self.refusal(now, index, kind, excess))
    }

    fn refusal(&mut self, now: Time, index: usize, kind: ErrorKind, excess: Duration) -> Refusal {
        let (min, max) = (self.settings.min_retry, self.settings.max_retry);
        let active = self.order.active().filter(|&it| it != index).count() as u64 + 1;
        let cost = self.cost(&self.classes[index]);
        let each = cost * active / u64::from(self.limit.get());
        let class = &mut self.classes[index];
        let promised = class.promised.max(now) + micros(each);
        class.promised = promised.min(now + max);
        let retry_after = promised.since(now).max(excess).clamp(min, max);
        Refusal { kind, retry_after }
    }

    /// Returns the expected time in microseconds until a call is started that has calls of its
    /// class worth `ahead` microseconds before it.
    fn wait(&self, now: Time, ahead: u64) -> u64 {
        let limit = u64::from(self.limit.get());
        let before: u64 = self
            .order
            .active()
            .map(|it| {
                let class = &self.classes[it];
                (class.queue.len() as u64 * self.cost(class)).min(ahead)
            })
            .sum();
        before / limit + self.next_free(now)
    }

    /// Returns the expected time in microseconds until a slot is free. A backend server that has
    /// ended no call for some time is expected to take as long again; otherwise a call at the
    /// head of the queue of a stalled backend server would be held until its deadline.
    fn next_free(&self, now: Time) -> u64 {
        if self.in_flight < self.limit.get() {
            return 0;
        }
        let usual = self.mean() / u64::from(self.limit.get());
        usual.max(now.since(self.progress).as_micros() as u64)
    }

    fn mean(&self) -> u64 {
        self.mean.map_or(self.settings.initial_cost.as_micros() as u64, |it| it as u64).max(1)
    }

    fn cost(&self, class: &ClassState) -> u64 {
        class.cost(self.settings.initial_cost)
    }

    fn enqueue(&mut self, index: usize, waiting: Waiting) {
        let cost = self.cost(&self.classes[index]);
        let class = &mut self.classes[index];
        self.order.activate(index, class, cost);
        class.queue.push_back(waiting);
        self.calls.insert(waiting.call, CallState { class: index, running: None });
        if self.queued == 0 {
            self.checked = waiting.arrived;
        }
        self.queued += 1;
    }

    fn run(&mut self, now: Time, arrived: Time, call: CallId, class: usize, charge: i64) {
        let running = Some(Running { arrived, started: now, charge });
        self.calls.insert(call, CallState { class, running });
        self.in_flight += 1;
        self.progress = now;
    }

    fn dispatch(&mut self, now: Time, starts: &mut Dequeued) {
        while self.queued > 0 && self.in_flight < self.limit.get() {
            let first = self.settings.initial_cost;
            let next = self.order.next(&mut self.classes, |it| it.cost(first));
            let Some((index, charge)) = next else { return };
            let class = &mut self.classes[index];
            let Some(waiting) = class.queue.pop_front() else { return };
            self.queued -= 1;
            if now + micros(class.cost(first)) > waiting.deadline {
                class.deficit += charge;
                self.drop_queued(now, index, waiting.call, starts);
            } else {
                self.run(now, waiting.arrived, waiting.call, index, charge);
                starts.start.push(waiting.call);
            }
        }
        if self.queued == 0 {
            // The backlog that earlier refusals referred to is gone.
            self.order.active().for_each(|it| self.classes[it].promised = now);
        }
    }

    /// Refuses every queued call whose expected end is after its deadline or that has been held
    /// for too much of its time.
    fn check(&mut self, now: Time, starts: &mut Dequeued) {
        let active: smallvec::SmallVec<[usize; 16]> = self.order.active().collect();
        for index in active {
            let cost = self.cost(&self.classes[index]);
            let queue = std::mem::take(&mut self.classes[index].queue);
            let backlog = queue.len() as u64 * cost;
            let last = now
                + micros(self.wait(now, backlog) + backlog / u64::from(self.limit.get()))
                + micros(cost);
            // The longest-waiting call is the first one.
            let held = queue.front().is_some_and(|it| self.held_too_long(now, it));
            if !held && queue.iter().all(|it| it.deadline >= last) {
                self.classes[index].queue = queue;
                continue;
            }
            self.check_queue(now, index, queue, starts);
        }
        let first = self.settings.initial_cost;
        self.order.adjust(&self.classes, |it| it.cost(first));
    }

    fn held_too_long(&self, now: Time, waiting: &Waiting) -> bool {
        let budget = waiting.deadline.since(waiting.arrived);
        now.since(waiting.arrived) > budget.mul_f64(self.settings.deadline_share)
    }

    fn check_queue(
        &mut self,
        now: Time,
        index: usize,
        mut queue: VecDeque<Waiting>,
        starts: &mut Dequeued,
    ) {
        let cost = self.cost(&self.classes[index]);
        let mut kept = 0;
        queue.retain(|it| {
            // The queue of the class itself is taken out, so its part is added here.
            let own = kept * cost / u64::from(self.limit.get());
            let end = now + micros(self.wait(now, kept * cost) + own + cost);
            if end <= it.deadline && !self.held_too_long(now, it) {
                kept += 1;
                return true;
            }
            self.queued -= 1;
            self.drop_queued(now, index, it.call, starts);
            false
        });
        self.classes[index].queue = queue;
    }

    fn drop_queued(&mut self, now: Time, index: usize, call: CallId, starts: &mut Dequeued) {
        self.calls.remove(&call);
        self.classes[index].stats.refused();
        let refusal = self.refusal(now, index, ErrorKind::DeadlineUnmet, Duration::ZERO);
        starts.refuse.push((call, refusal));
    }

    fn observe(
        &mut self,
        now: Time,
        index: usize,
        running: Running,
        completion: Completion,
        saturated: bool,
    ) {
        let service = completion.latency.as_micros() as u64;
        let class = &mut self.classes[index];
        class.stats.rotate(now, self.settings.report_window);
        self.order.settle(class, running.charge, service);
        match completion.outcome {
            Outcome::Answered => {
                class.measured(service, self.limit.above_slots());
                class.stats.answered(now.since(running.arrived).as_micros() as u64, service);
                let mean = self.mean.unwrap_or(service as i64);
                self.mean = Some(mean + (service as i64 - mean) / MEAN_WEIGHT);
                self.sample(now, index, service, saturated);
            }
            // Failures are often quicker than answers and tell nothing of the usual latency.
            Outcome::Failed => class.stats.failed(),
            Outcome::Shed => {
                class.stats.refused();
                let failing = class.stats.failure_share() > class.failures;
                let pause = micros(self.mean());
                self.limit.shed(now, pause, failing, &self.settings);
            }
        }
    }

    /// Takes the time that a cancelled call has run so far as a lower bound of its latency: with
    /// a stalled backend server there are no other samples.
    fn observe_cancelled(&mut self, now: Time, index: usize, running: Running, saturated: bool) {
        let elapsed = now.since(running.started).as_micros() as u64;
        let class = &mut self.classes[index];
        self.order.settle(class, running.charge, elapsed);
        let slow =
            class.floor().is_some_and(|it| elapsed as f64 > it as f64 * self.settings.slow_ratio);
        if slow {
            self.sample(now, index, elapsed, saturated);
        }
    }

    fn sample(&mut self, now: Time, index: usize, service: u64, saturated: bool) {
        let class = &self.classes[index];
        let Some(floor) = class.floor() else { return };
        let late = micros(service) > class.target.within;
        let allowed = 1.0 - class.target.quantile;
        let sample = Sample { latency: service, floor, late, allowed, saturated };
        self.limit.answered(now, sample, &self.settings);
    }
}

fn micros(value: u64) -> Duration {
    Duration::from_micros(value)
}
