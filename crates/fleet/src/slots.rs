//! Admission control for the backend server on the same VM.
//!
//! If all slots are busy, requests wait in order of priority and latency goal. A request that can't
//! start in time is rejected at once.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ErrorKind, Time};
use smallvec::SmallVec;

/// Run time assumed for a route without measurements, in placement and admission; typical for the
/// sites' requests.
pub(crate) const DEFAULT_RUN: Duration = Duration::from_millis(100);
/// Share of the spare time before the latency goal for which a request may wait, in placement and
/// admission. A request that starts later misses its goal about as often as not.
pub(crate) const WAIT_SHARE: f64 = 0.5;
/// Minimum time after which a rejected caller may retry; a few runs end within it.
pub(crate) const MIN_RETRY: Duration = Duration::from_millis(50);

/// Identifier of a request at the slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId(pub u64);

/// Settings of [`Slots`].
#[derive(Debug, Clone, Copy)]
pub struct SlotsSettings {
    /// Run time assumed for a route without measurements; typical for the site's requests.
    pub default_run: Duration,
    /// Weight of one run in the average run time of a route; the average adapts within about ten
    /// runs.
    pub ewma_weight: f64,
    /// Maximum wait of a request, as a share of the time to its latency goal less the run time. Run
    /// times vary, so a request that starts one average run time before its goal is late half of
    /// the time. A longer queue serves no more requests, but more of them late.
    pub wait_share: f64,
    /// Maximum wait of a request that misses its latency goal, as a share of its remaining time.
    pub late_wait: f64,
    /// Time before its latency goal from which a request counts as late, in average run times; most
    /// runs end within it. Late requests queue behind all others of their priority, so that the
    /// slots serve requests that can meet their goals.
    pub late_margin: f64,
    /// Maximum number of late requests in the queue, as a share of the slots. More of them show
    /// that more requests arrive than can be served, so they would wait in vain.
    pub max_late: f64,
    /// Maximum time that a late request stays in the queue, as a share of its time to the deadline.
    pub max_held: f64,
    /// Time over which the work of each priority is averaged; a queue drains a few times within it.
    pub work_window: Duration,
    /// Maximum length of the queue; maintaining a longer one costs more time than it saves.
    pub max_queued: usize,
    /// Minimum time after which a rejected caller may retry; a few runs end within it.
    pub min_retry: Duration,
}

impl Default for SlotsSettings {
    fn default() -> Self {
        SlotsSettings {
            default_run: DEFAULT_RUN,
            ewma_weight: 0.05,
            wait_share: WAIT_SHARE,
            late_wait: 0.25,
            late_margin: 1.8,
            max_late: 0.5,
            max_held: 0.4,
            work_window: Duration::from_millis(500),
            max_queued: 256,
            min_retry: MIN_RETRY,
        }
    }
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Identifier of the request.
    pub task: TaskId,
    /// Name of the matching route.
    pub route: Arc<str>,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request was sent to another backend server before.
    pub retry: bool,
    /// Whether the caller was rejected earlier and retried after the stated wait.
    pub returned: bool,
    /// Time by which the response meets the latency goal.
    pub goal: Time,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Time,
    /// Whether the request may wait here, because no other backend server has a free slot.
    pub may_wait: bool,
}

/// Decision on an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run,
    /// The request waits for a slot.
    Wait,
    /// The request is rejected.
    Reject {
        /// Reason for the rejection.
        kind: ErrorKind,
        /// Time after which the expected wait is short enough.
        retry_after: Duration,
    },
}

/// Decision on a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake {
    /// The request runs now.
    Start(TaskId),
    /// The request can no longer be served in time; its caller may retry after the given time.
    Reject(TaskId, Duration),
}

/// Load of a backend server, as reported to other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that run at the backend server.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of requests that may run concurrently; 0 if none may be sent.
    pub limit: u32,
    /// Time for which the running requests have run, in thousandths of their usual run time.
    pub elapsed_permille: u32,
}

#[derive(Debug)]
struct Waiting {
    arrival: Arrival,
    arrived: Time,
    run_time: Duration,
}

/// Run time of the requests that started, as an exponentially decaying sum.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    seconds: f64,
    updated: Time,
}

impl Work {
    fn at(&self, now: Time, window: Duration) -> f64 {
        self.seconds * (-now.since(self.updated).as_secs_f64() / window.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time, window: Duration, run_time: Duration) {
        self.seconds = self.at(now, window) + run_time.as_secs_f64();
        self.updated = now;
    }
}

/// Number of distinct priorities; less urgent ones share the last.
const PRIORITIES: usize = 8;
/// Minimum share of the slots that the least urgent requests are assumed to get, so that the
/// expected wait stays finite.
const MIN_SHARE: f64 = 0.05;

#[derive(Debug)]
struct Running {
    route: Arc<str>,
    started: Time,
    run_time: Duration,
    retry: bool,
}

/// Slots of one backend server.
#[derive(Debug)]
pub struct Slots {
    settings: SlotsSettings,
    limit: u32,
    running: HashMap<TaskId, Running>,
    /// Waiting requests in the order of their ranks at arrival. Ranks change while requests wait.
    queue: Vec<Waiting>,
    work: [Work; PRIORITIES],
    /// Average run time of each route in microseconds.
    run_times: HashMap<Arc<str>, f64>,
}

impl Slots {
    /// Creates slots that admit nothing until [`Slots::set_limit`].
    pub fn new(settings: SlotsSettings) -> Slots {
        Slots {
            settings,
            limit: 0,
            running: HashMap::new(),
            queue: Vec::new(),
            work: [Work::default(); PRIORITIES],
            run_times: HashMap::new(),
        }
    }

    /// Sets the number of requests that may run concurrently.
    ///
    /// Starts waiting requests if there are free slots; a limit of 0 rejects all of them.
    pub fn set_limit(&mut self, now: Time, limit: u32) -> SmallVec<[Wake; 4]> {
        self.limit = limit;
        if limit > 0 {
            return self.dispatch(now);
        }
        let min_retry = self.settings.min_retry;
        self.queue.drain(..).map(|it| Wake::Reject(it.arrival.task, min_retry)).collect()
    }

    /// Resets the average run times, for use when another backend server runs on the VM.
    pub fn reset_run_times(&mut self) {
        self.run_times.clear();
    }

    /// Decides on an arrival.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Admission {
        if self.limit == 0 {
            let retry_after = self.settings.min_retry;
            return Admission::Reject { kind: ErrorKind::NoEndpoint, retry_after };
        }
        if self.running() < self.limit && self.queue.is_empty() {
            self.start(now, &arrival);
            return Admission::Run;
        }
        let run_time = self.run_time(&arrival.route);
        let position = self.position(now, &arrival, run_time);
        let wait = self.expected_wait(now, position, &arrival);
        let max_wait = self.max_wait(now, &arrival, run_time);
        if !arrival.may_wait || wait > max_wait || self.queue.len() >= self.settings.max_queued {
            let retry_after = wait.saturating_sub(max_wait).max(self.settings.min_retry);
            return Admission::Reject { kind: ErrorKind::Overloaded, retry_after };
        }
        self.queue.insert(position, Waiting { arrival, arrived: now, run_time });
        Admission::Wait
    }

    /// Frees the slot of a request and starts waiting ones.
    ///
    /// `measured` states whether the request ran to completion, so that its run time counts.
    pub fn finish(&mut self, now: Time, task: TaskId, measured: bool) -> SmallVec<[Wake; 4]> {
        let Some(run) = self.running.remove(&task) else { return SmallVec::new() };
        if measured {
            let weight = self.settings.ewma_weight;
            let micros = now.since(run.started).as_micros() as f64;
            let first = self.settings.default_run.as_micros() as f64;
            let mean = self.run_times.entry(run.route).or_insert(first);
            *mean += (micros - *mean) * weight;
        }
        self.dispatch(now)
    }

    /// Removes a request whose caller has disconnected, whether it waits or runs.
    pub fn cancel(&mut self, now: Time, task: TaskId) -> SmallVec<[Wake; 4]> {
        if let Some(position) = self.queue.iter().position(|it| it.arrival.task == task) {
            self.queue.remove(position);
            return SmallVec::new();
        }
        self.finish(now, task, false)
    }

    /// Rejects waiting requests that can no longer be served in time.
    pub fn expire(&mut self, now: Time) -> SmallVec<[Wake; 4]> {
        let mut wakes = self.drop_late(now);
        let mut position = 0;
        while position < self.queue.len() {
            let waiting = &self.queue[position];
            let wait = self.expected_wait(now, position, &waiting.arrival);
            let too_late = now + wait + waiting.run_time / 2 > waiting.arrival.deadline;
            if too_late || self.exceeds_max_held(now, waiting) {
                let retry_after = wait.max(self.settings.min_retry);
                wakes.push(Wake::Reject(waiting.arrival.task, retry_after));
                self.queue.remove(position);
            } else {
                position += 1;
            }
        }
        wakes
    }

    /// Returns the load to report to other daemons.
    pub fn load(&self, now: Time) -> Load {
        Load {
            running: self.running(),
            queued: self.queue.len() as u32,
            limit: self.limit,
            elapsed_permille: (self.elapsed_ratio(now) * 1_000.0) as u32,
        }
    }

    /// Rejects the longest-waiting late requests beyond the maximum number of them.
    fn drop_late(&mut self, now: Time) -> SmallVec<[Wake; 4]> {
        let late = |it: &Waiting| self.is_late(now, &it.arrival, it.run_time);
        let count = self.queue.iter().filter(|it| late(it)).count();
        let max_late = (f64::from(self.limit) * self.settings.max_late).ceil() as usize;
        let mut tasks: SmallVec<[(Time, TaskId); 4]> = self
            .queue
            .iter()
            .filter(|it| late(it))
            .map(|it| (it.arrived, it.arrival.task))
            .collect();
        tasks.sort_unstable();
        tasks.truncate(count.saturating_sub(max_late));
        self.queue.retain(|it| !tasks.iter().any(|(_, task)| *task == it.arrival.task));
        let min_retry = self.settings.min_retry;
        tasks.into_iter().map(|(_, task)| Wake::Reject(task, min_retry)).collect()
    }

    /// Returns the share of retries among the running requests.
    pub fn retry_share(&self) -> f64 {
        let retries = self.running.values().filter(|it| it.retry).count();
        retries as f64 / self.running.len().max(1) as f64
    }

    /// Returns whether a late request has exceeded its maximum time in the queue.
    fn exceeds_max_held(&self, now: Time, waiting: &Waiting) -> bool {
        let time = waiting.arrival.deadline.since(waiting.arrived);
        self.is_late(now, &waiting.arrival, waiting.run_time)
            && now.since(waiting.arrived) > time.mul_f64(self.settings.max_held)
    }

    fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the time for which the running requests have run, relative to their usual run time.
    ///
    /// The ratio is about 1 in steady state, and grows while the backend server is slow or stalled.
    fn elapsed_ratio(&self, now: Time) -> f64 {
        let (elapsed, usual) = self.running.values().fold((0.0, 0.0), |(elapsed, usual), it| {
            (elapsed + now.since(it.started).as_secs_f64(), usual + it.run_time.as_secs_f64())
        });
        if usual > 0.0 { elapsed / usual } else { 0.0 }
    }

    /// Returns the expected run time of a route.
    fn run_time(&self, route: &str) -> Duration {
        let mean = self.run_times.get(route);
        mean.map_or(self.settings.default_run, |it| Duration::from_micros(*it as u64))
    }

    /// Returns the sort key in the queue: by priority, then requests that can still meet their
    /// latency goal, then callers that retry after a rejection, then the earliest goal.
    fn rank(&self, now: Time, arrival: &Arrival, run_time: Duration) -> (usize, bool, bool, Time) {
        let late = self.is_late(now, arrival, run_time);
        (Slots::priority(arrival), late, !arrival.returned, arrival.goal)
    }

    /// Returns whether a request is unlikely to meet its latency goal.
    fn is_late(&self, now: Time, arrival: &Arrival, run_time: Duration) -> bool {
        now + run_time.mul_f64(self.settings.late_margin) > arrival.goal
    }

    fn priority(arrival: &Arrival) -> usize {
        usize::from(arrival.priority).min(PRIORITIES - 1)
    }

    /// Returns the share of the slots that more urgent requests leave free. For a late request,
    /// those include all requests of its own priority.
    fn remaining_share(&self, now: Time, arrival: &Arrival, late: bool) -> f64 {
        let window = self.settings.work_window;
        let urgent = &self.work[..Slots::priority(arrival) + usize::from(late)];
        let work: f64 = urgent.iter().map(|it| it.at(now, window)).sum();
        let slots = f64::from(self.limit.max(1)) * window.as_secs_f64();
        (1.0 - work / slots).max(MIN_SHARE)
    }

    /// Returns the position in the queue at which to insert an arrival.
    fn position(&self, now: Time, arrival: &Arrival, run_time: Duration) -> usize {
        let rank = self.rank(now, arrival, run_time);
        self.queue.partition_point(|it| self.rank(now, &it.arrival, it.run_time) <= rank)
    }

    /// Returns the expected time until the request at a position of the queue starts, including the
    /// more urgent requests expected to arrive before.
    fn expected_wait(&self, now: Time, position: usize, arrival: &Arrival) -> Duration {
        let late = self.is_late(now, arrival, self.run_time(&arrival.route));
        let limit = self.limit.max(1);
        // A slot is freed when one of the running requests ends; on average, they are half done.
        let residual: Duration = self
            .running
            .values()
            .map(|it| it.run_time.saturating_sub(now.since(it.started)).max(it.run_time / 4))
            .sum::<Duration>()
            / (limit * limit);
        let before: Duration = self.queue[..position].iter().map(|it| it.run_time).sum();
        (residual + before / limit).div_f64(self.remaining_share(now, arrival, late))
    }

    /// Returns the maximum wait of a request.
    fn max_wait(&self, now: Time, arrival: &Arrival, run_time: Duration) -> Duration {
        let left = arrival.deadline.since(now).saturating_sub(run_time);
        let spare = arrival.goal.since(now).saturating_sub(run_time);
        if spare.is_zero() {
            return left.mul_f64(self.settings.late_wait);
        }
        let share = if arrival.returned { 1.0 } else { self.settings.wait_share };
        spare.mul_f64(share).min(left)
    }

    /// Takes a slot for a request.
    fn start(&mut self, now: Time, arrival: &Arrival) {
        let run_time = self.run_time(&arrival.route);
        self.work[Slots::priority(arrival)].add(now, self.settings.work_window, run_time);
        let (route, retry) = (Arc::clone(&arrival.route), arrival.retry);
        let run = Running { route, started: now, run_time, retry };
        self.running.insert(arrival.task, run);
    }

    /// Rejects requests that can't be served in time, then starts others in the free slots.
    fn dispatch(&mut self, now: Time) -> SmallVec<[Wake; 4]> {
        let mut wakes = self.expire(now);
        while self.running() < self.limit && !self.queue.is_empty() {
            // Ranks change while requests wait: late ones move behind the others.
            let next = (0..self.queue.len())
                .min_by_key(|&it| self.rank(now, &self.queue[it].arrival, self.queue[it].run_time))
                .unwrap_or(0);
            let waiting = self.queue.remove(next);
            self.start(now, &waiting.arrival);
            wakes.push(Wake::Start(waiting.arrival.task));
        }
        wakes
    }
}
