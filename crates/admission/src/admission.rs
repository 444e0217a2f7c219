//! Admission controller: decisions on arriving, ended and queued calls.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use shallottack_config::Catalog;
use shallottack_kernel::{ClassName, ErrorKind, Time};

use crate::{
    AdmissionDecision, Arrival, CallId, ClassReport, Completion, Dequeued, Load, Outcome, Refusal,
    Settings,
    class::{ClassState, QueuedCall},
    fair::RoundRobin,
    limit::{Limit, Sample},
};

/// Index of the class used for calls whose class is not in the catalog, for example because the
/// caller's daemon already has a newer version of it.
const UNLISTED: usize = 0;
/// Divisor for the weight of one answer in the moving average of the service time of all classes.
const MEAN_WEIGHT_DIVISOR: i64 = 32;

/// Call at the backend server.
#[derive(Debug, Clone, Copy)]
struct RunningCall {
    arrived: Time,
    started: Time,
    /// Service time in microseconds charged to the class, or 0 when the call was not queued.
    charge: i64,
}

/// Call in progress, with the index of its class.
#[derive(Debug, Clone, Copy)]
struct CallState {
    class: usize,
    /// `None` while the call is queued.
    running: Option<RunningCall>,
}

/// Admission controller for the calls to one backend server.
#[derive(Debug)]
pub struct AdmissionController {
    settings: Settings,
    limit: Limit,
    classes: Vec<ClassState>,
    /// Indices of the classes in the catalog.
    class_indices: HashMap<ClassName, usize>,
    calls: HashMap<CallId, CallState>,
    scheduler: RoundRobin,
    in_flight: u32,
    queued: u32,
    /// Moving average of the service time of all classes in microseconds.
    mean_service: Option<i64>,
    /// Time of the last start or end of a call at the backend server.
    last_progress: Time,
    /// Time of the last check of the deadlines of queued calls.
    last_check: Time,
}

impl AdmissionController {
    /// Creates an admission controller for a backend server that announced `slots` slots.
    ///
    /// # Panics
    ///
    /// Does not panic: the name of the class for unlisted calls is a valid constant.
    pub fn new(settings: Settings, slots: u32) -> AdmissionController {
        let name = ClassName::new("unlisted").expect("constant name is valid");
        let unlisted =
            ClassState::new(name, settings.unlisted_latency.clone(), settings.unlisted_failures);
        AdmissionController {
            limit: Limit::new(slots),
            classes: vec![unlisted],
            class_indices: HashMap::new(),
            calls: HashMap::new(),
            scheduler: RoundRobin::default(),
            in_flight: 0,
            queued: 0,
            mean_service: None,
            last_progress: Time(0),
            last_check: Time(0),
            settings,
        }
    }

    /// Sets the slots of a new announcement and returns the calls that leave the queue. The limit
    /// restarts at the slots if they differ from the last ones.
    pub fn set_slots(&mut self, now: Time, slots: u32) -> Dequeued {
        let mut dequeued = Dequeued::default();
        self.limit.set_slots(slots);
        self.dispatch(now, &mut dequeued);
        dequeued
    }

    /// Sets the classes of a catalog. Calls in progress are kept when their class is removed.
    pub fn set_classes(&mut self, catalog: &Catalog) {
        self.class_indices.retain(|name, _| catalog.classes.contains_key(name));
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
            self.class_indices.insert(name.clone(), index);
        }
    }

    /// Decides on an arriving call.
    ///
    /// A call is refused with `Internal` if a call with the same identifier is in progress.
    pub fn arrive(&mut self, now: Time, arrival: &Arrival) -> AdmissionDecision {
        let index = self.class_indices.get(&arrival.class).copied().unwrap_or(UNLISTED);
        if self.calls.contains_key(&arrival.call) {
            return AdmissionDecision::Refuse(Refusal {
                kind: ErrorKind::Internal,
                retry_after: self.settings.min_retry,
            });
        }
        let class = &mut self.classes[index];
        class.stats.rotate(now, self.settings.report_window);
        if let Some(cost) = arrival.cost {
            class.set_estimate(cost);
        }
        let decision = self.decide(now, index, arrival.deadline);
        match decision {
            AdmissionDecision::Run => self.start(now, now, arrival.call, index, 0),
            AdmissionDecision::Queue => {
                let queued =
                    QueuedCall { call: arrival.call, arrived: now, deadline: arrival.deadline };
                self.enqueue(index, queued);
            }
            AdmissionDecision::Refuse(_) => self.classes[index].stats.record_refusal(),
        }
        decision
    }

    /// Records the end of a started call and returns the calls that leave the queue. Other calls
    /// are ignored.
    pub fn complete(&mut self, now: Time, call: CallId, completion: Completion) -> Dequeued {
        let mut dequeued = Dequeued::default();
        let Some(&CallState { class, running: Some(running) }) = self.calls.get(&call) else {
            return dequeued;
        };
        self.calls.remove(&call);
        let saturated = self.in_flight >= self.limit.get();
        self.in_flight -= 1;
        self.last_progress = now;
        self.record_completion(now, class, running, completion, saturated);
        self.dispatch(now, &mut dequeued);
        dequeued
    }

    /// Removes a call whose caller has gone and returns the calls that leave the queue.
    ///
    /// The daemon also cancels the call at the backend server if it was started.
    pub fn cancel(&mut self, now: Time, call: CallId) -> Dequeued {
        let mut dequeued = Dequeued::default();
        let Some(state) = self.calls.remove(&call) else { return dequeued };
        match state.running {
            None => {
                self.classes[state.class].queue.retain(|it| it.call != call);
                self.queued -= 1;
            }
            Some(running) => {
                let saturated = self.in_flight >= self.limit.get();
                self.in_flight -= 1;
                self.record_cancellation(now, state.class, running, saturated);
                self.dispatch(now, &mut dequeued);
            }
        }
        dequeued
    }

    /// Refuses queued calls that can't meet their deadline any more, raises a limit that may
    /// recover, and returns the calls that leave the queue.
    pub fn tick(&mut self, now: Time) -> Dequeued {
        let mut dequeued = Dequeued::default();
        let saturated = self.in_flight >= self.limit.get();
        self.limit.tick(now, saturated, &self.settings);
        self.dispatch(now, &mut dequeued);
        if self.queued > 0 && now.since(self.last_check) >= self.settings.check_interval {
            self.last_check = now;
            self.check_deadlines(now, &mut dequeued);
        }
        dequeued
    }

    /// Returns the time of the next tick, or the largest time when none is needed.
    pub fn wake_at(&self) -> Time {
        let check = (self.queued > 0).then(|| self.last_check + self.settings.check_interval);
        let recover = self.limit.wake_at(&self.settings);
        check.into_iter().chain(recover).min().unwrap_or(Time(u64::MAX))
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        Load { in_flight: self.in_flight, queued: self.queued, limit: self.limit.get() }
    }

    /// Returns the report of each class in the catalog, and of unlisted calls if there were any.
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
                self.class_indices.get(&report.class) == Some(index)
                    || report.answered + report.failed + report.refused > 0
            })
            .map(|(_, report)| report)
            .collect()
    }

    /// Decides whether a call of a class runs, waits or is refused.
    fn decide(&mut self, now: Time, index: usize, deadline: Time) -> AdmissionDecision {
        let class = &self.classes[index];
        if self.in_flight < self.limit.get() && self.queued == 0 {
            if now + micros(class.shortest_service()) < deadline {
                return AdmissionDecision::Run;
            }
            return self.refuse(now, index, ErrorKind::DeadlineUnmet, Duration::ZERO);
        }
        let cost = self.cost(class);
        let wait = self.expected_wait(now, class.queue.len() as u64 * cost);
        let left = deadline.since(now).as_micros() as u64;
        let max_wait =
            ((left as f64 * self.settings.deadline_share) as u64).min(left.saturating_sub(cost));
        if wait > max_wait {
            return self.refuse(now, index, ErrorKind::DeadlineUnmet, micros(wait - max_wait));
        }
        // A longer queue would serve no more calls and make every answer of the class miss its
        // latency target. One call per slot may always wait, so that no slot becomes idle.
        let target = class.target.within.as_micros() as f64 * self.settings.target_share;
        let too_long =
            wait + cost > target as u64 && class.queue.len() >= self.limit.get() as usize;
        if too_long || class.queue.len() >= self.settings.max_queued {
            let excess = micros((wait + cost).saturating_sub(target as u64));
            return self.refuse(now, index, ErrorKind::Overloaded, excess);
        }
        AdmissionDecision::Queue
    }

    /// Returns the decision to refuse a call of a class; see [`Self::refusal`].
    fn refuse(
        &mut self,
        now: Time,
        index: usize,
        kind: ErrorKind,
        excess: Duration,
    ) -> AdmissionDecision {
        AdmissionDecision::Refuse(self.refusal(now, index, kind, excess))
    }

    /// Returns a refusal of a call of a class. `excess` is the time until the queue has room.
    ///
    /// The retry-after times of successive refusals are spread over the rate at which the class
    /// is served, so that earlier refused callers retry first.
    fn refusal(&mut self, now: Time, index: usize, kind: ErrorKind, excess: Duration) -> Refusal {
        let (min, max) = (self.settings.min_retry, self.settings.max_retry);
        let active = self.scheduler.active().filter(|&it| it != index).count() as u64 + 1;
        let cost = self.cost(&self.classes[index]);
        let interval = cost * active / u64::from(self.limit.get());
        let class = &mut self.classes[index];
        let reserved = class.reserved_until.max(now) + micros(interval);
        class.reserved_until = reserved.min(now + max);
        let retry_after = reserved.since(now).max(excess).clamp(min, max);
        Refusal { kind, retry_after }
    }

    /// Returns the expected time in microseconds until a call starts that is queued behind calls of
    /// its class with a total cost of `ahead` microseconds.
    fn expected_wait(&self, now: Time, ahead: u64) -> u64 {
        let limit = u64::from(self.limit.get());
        let before: u64 = self
            .scheduler
            .active()
            .map(|it| {
                let class = &self.classes[it];
                (class.queue.len() as u64 * self.cost(class)).min(ahead)
            })
            .sum();
        before / limit + self.time_to_free_slot(now)
    }

    /// Returns the expected time in microseconds until a slot is free.
    ///
    /// If no call has started or ended for some time, the same time is expected to pass once more.
    /// Otherwise a call at the head of the queue of a stalled backend server would wait until its
    /// deadline.
    fn time_to_free_slot(&self, now: Time) -> u64 {
        if self.in_flight < self.limit.get() {
            return 0;
        }
        let usual = self.mean_service() / u64::from(self.limit.get());
        usual.max(now.since(self.last_progress).as_micros() as u64)
    }

    fn mean_service(&self) -> u64 {
        self.mean_service
            .map_or(self.settings.initial_cost.as_micros() as u64, |it| it as u64)
            .max(1)
    }

    fn cost(&self, class: &ClassState) -> u64 {
        class.cost(self.settings.initial_cost)
    }

    fn enqueue(&mut self, index: usize, call: QueuedCall) {
        let cost = self.cost(&self.classes[index]);
        let class = &mut self.classes[index];
        self.scheduler.activate(index, class, cost);
        class.queue.push_back(call);
        self.calls.insert(call.call, CallState { class: index, running: None });
        if self.queued == 0 {
            self.last_check = call.arrived;
        }
        self.queued += 1;
    }

    /// Counts a call as sent to the backend server.
    fn start(&mut self, now: Time, arrived: Time, call: CallId, class: usize, charge: i64) {
        let running = Some(RunningCall { arrived, started: now, charge });
        self.calls.insert(call, CallState { class, running });
        self.in_flight += 1;
        self.last_progress = now;
    }

    /// Starts queued calls while slots are free.
    fn dispatch(&mut self, now: Time, dequeued: &mut Dequeued) {
        while self.queued > 0 && self.in_flight < self.limit.get() {
            let initial = self.settings.initial_cost;
            let next = self.scheduler.next(&mut self.classes, |it| it.cost(initial));
            let Some((index, charge)) = next else { return };
            let class = &mut self.classes[index];
            let Some(queued) = class.queue.pop_front() else { return };
            self.queued -= 1;
            if now + micros(class.cost(initial)) > queued.deadline {
                class.deficit += charge;
                self.refuse_queued(now, index, queued.call, dequeued);
            } else {
                self.start(now, queued.arrived, queued.call, index, charge);
                dequeued.start.push(queued.call);
            }
        }
        if self.queued == 0 {
            // The backlog behind earlier retry-after times is gone.
            self.scheduler.active().for_each(|it| self.classes[it].reserved_until = now);
        }
    }

    /// Refuses every queued call that is expected to end after its deadline or has already waited
    /// too long.
    fn check_deadlines(&mut self, now: Time, dequeued: &mut Dequeued) {
        let active: smallvec::SmallVec<[usize; 16]> = self.scheduler.active().collect();
        for index in active {
            let cost = self.cost(&self.classes[index]);
            let queue = std::mem::take(&mut self.classes[index].queue);
            let backlog = queue.len() as u64 * cost;
            let last_end = now
                + micros(self.expected_wait(now, backlog) + backlog / u64::from(self.limit.get()))
                + micros(cost);
            // The first call has waited longest.
            let overdue = queue.front().is_some_and(|it| self.waited_too_long(now, it));
            if !overdue && queue.iter().all(|it| it.deadline >= last_end) {
                self.classes[index].queue = queue;
                continue;
            }
            self.check_class_queue(now, index, queue, dequeued);
        }
        let initial = self.settings.initial_cost;
        self.scheduler.update_quantum(&self.classes, |it| it.cost(initial));
    }

    fn waited_too_long(&self, now: Time, call: &QueuedCall) -> bool {
        let budget = call.deadline.since(call.arrived);
        now.since(call.arrived) > budget.mul_f64(self.settings.deadline_share)
    }

    /// Checks each call of `queue`, which was taken from the class.
    fn check_class_queue(
        &mut self,
        now: Time,
        index: usize,
        mut queue: VecDeque<QueuedCall>,
        dequeued: &mut Dequeued,
    ) {
        let cost = self.cost(&self.classes[index]);
        let mut kept = 0;
        queue.retain(|it| {
            // `expected_wait` does not count this queue, which was taken from the class.
            let own = kept * cost / u64::from(self.limit.get());
            let end = now + micros(self.expected_wait(now, kept * cost) + own + cost);
            if end <= it.deadline && !self.waited_too_long(now, it) {
                kept += 1;
                return true;
            }
            self.queued -= 1;
            self.refuse_queued(now, index, it.call, dequeued);
            false
        });
        self.classes[index].queue = queue;
    }

    fn refuse_queued(&mut self, now: Time, index: usize, call: CallId, dequeued: &mut Dequeued) {
        self.calls.remove(&call);
        self.classes[index].stats.record_refusal();
        let refusal = self.refusal(now, index, ErrorKind::DeadlineUnmet, Duration::ZERO);
        dequeued.refuse.push((call, refusal));
    }

    /// Updates the statistics and the limit with the result of a call.
    fn record_completion(
        &mut self,
        now: Time,
        index: usize,
        running: RunningCall,
        completion: Completion,
        saturated: bool,
    ) {
        let service = completion.latency.as_micros() as u64;
        let class = &mut self.classes[index];
        class.stats.rotate(now, self.settings.report_window);
        self.scheduler.correct_charge(class, running.charge, service);
        match completion.outcome {
            Outcome::Answered => {
                class.record_service(service, self.limit.above_slots());
                class.stats.record_answer(now.since(running.arrived).as_micros() as u64, service);
                let mean = self.mean_service.unwrap_or(service as i64);
                self.mean_service = Some(mean + (service as i64 - mean) / MEAN_WEIGHT_DIVISOR);
                self.record_sample(now, index, service, saturated);
            }
            // Failures are often faster than answers, so their latency is not recorded.
            Outcome::Failed => class.stats.record_failure(),
            Outcome::Shed => {
                class.stats.record_refusal();
                let failing = class.stats.failure_share() > class.failures;
                let cooldown = micros(self.mean_service());
                self.limit.record_shed(now, cooldown, failing, &self.settings);
            }
        }
    }

    /// Records the time that a cancelled call has run so far as a lower bound of its latency. It
    /// is the only sample that a stalled backend server yields.
    fn record_cancellation(
        &mut self,
        now: Time,
        index: usize,
        running: RunningCall,
        saturated: bool,
    ) {
        let elapsed = now.since(running.started).as_micros() as u64;
        let class = &mut self.classes[index];
        self.scheduler.correct_charge(class, running.charge, elapsed);
        let slow = class
            .baseline()
            .is_some_and(|it| elapsed as f64 > it as f64 * self.settings.slow_ratio);
        if slow {
            self.record_sample(now, index, elapsed, saturated);
        }
    }

    fn record_sample(&mut self, now: Time, index: usize, service: u64, saturated: bool) {
        let class = &self.classes[index];
        let Some(baseline) = class.baseline() else { return };
        let late = micros(service) > class.target.within;
        let allowed_late = 1.0 - class.target.quantile;
        let sample = Sample { latency: service, baseline, late, allowed_late, saturated };
        self.limit.record_answer(now, sample, &self.settings);
    }
}

fn micros(value: u64) -> Duration {
    Duration::from_micros(value)
}
